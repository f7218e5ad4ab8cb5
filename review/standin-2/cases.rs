//! The cases: what is done to the system, and when.

use crate::client::{Mode, Rng};
use crate::world::Srv;
use crate::{CONT, KILL, Rig, STOP, TERM};
use std::thread;
use std::time::{Duration, Instant};

pub struct Run {
    pub pooler: String,
    pub folder: String,
    pub record: String,
    pub trouble: bool,
    pub seed: u64,
    pub seconds: f64,
}

pub fn sleep(s: f64) {
    thread::sleep(Duration::from_secs_f64(s.max(0.0)));
}

/// Three control machines, routers, a primary and its replicas, a configuration, and all routers ready.
pub fn begin(run: &Run, routers: usize, replicas: &[f64]) -> Option<Rig> {
    let rig = Rig::new(&run.pooler, &run.folder, 3, routers, replicas, run.seed);
    if !rig.configure(0, 1) || !rig.ready() {
        return None;
    }
    Some(rig)
}

pub fn play(case: &str, run: &Run) -> Option<Vec<String>> {
    match case {
        "soak" => soak(run),
        "slow-platform" => slow_platform(run),
        "late-beat" => late_beat(run),
        "refused" => refused(run),
        "terms" => terms(run),
        _ => None,
    }
}

fn soak(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 3, &[0.002, 0.06])?;
    let me = rig.me.clone();
    rig.clients(Mode::Leader, 8, 0.35, 0.4, 0.02, run.seed);
    rig.clients(Mode::Bounded, 5, 0.0, 0.2, 0.02, run.seed + 100);
    rig.clients(Mode::Own, 8, 0.35, 0.3, 0.02, run.seed + 200);
    sleep(2.0);
    let started = Instant::now();
    let mut rng = Rng(run.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    // What is undone later: a moment, and the deed.
    let mut undo: Vec<(f64, u32, String)> = Vec::new();
    let mut next = 0.5;
    let mut new_servers = 0;
    let mut epoch = 1;
    let mut core_until = 0.0;
    while started.elapsed().as_secs_f64() < run.seconds {
        let t = started.elapsed().as_secs_f64();
        let due: Vec<(f64, u32, String)> = undo.iter().filter(|u| u.0 <= t).cloned().collect();
        undo.retain(|u| u.0 > t);
        for (_, what, name) in due {
            match what {
                0 => me.start_again(&name),
                1 => {
                    let i = rig.index(&name);
                    rig.signal(i, CONT);
                }
                2 => {
                    let i = rig.index(&name);
                    rig.reap(i);
                    rig.start(i);
                }
                3 => {
                    let mut w = me.lock();
                    if let Some(i) = w.find(&name) {
                        let s = &mut w.servers[i];
                        s.dark_to.clear();
                        s.deaf = false;
                        s.lose = 0.0;
                        s.refusing = false;
                        if s.receive_s > 0.1 {
                            s.receive_s = 0.06;
                        }
                    }
                    drop(w);
                    me.note(format!("server {name} is well again"));
                }
                _ => {
                    let m = me.clone();
                    thread::spawn(move || m.depart(&name));
                }
            }
        }
        if !run.trouble || t < next {
            sleep(0.01);
            continue;
        }
        let wild = run.seed >= 1000;
        next = t + if wild {
            0.05 + rng.f() * rng.f() * 2.5
        } else {
            0.2 + rng.f() * rng.f() * 6.0
        };
        let (top, ids): (String, Vec<String>) = {
            let w = me.lock();
            let t = w.top();
            (
                w.servers[t].id.clone(),
                w.servers
                    .iter()
                    .filter(|s| !s.gone)
                    .map(|s| s.id.clone())
                    .collect(),
            )
        };
        let replicas: Vec<String> = ids.iter().filter(|i| **i != top).cloned().collect();
        let pick = |rng: &mut Rng, of: &[String]| of[rng.n(of.len())].clone();
        let for_s = [0.3, 0.7, 1.2, 2.5, 4.0, 6.0][rng.n(6)];
        let set = |id: &str, f: &mut dyn FnMut(&mut Srv), text: &str| {
            let mut w = me.lock();
            if let Some(i) = w.find(id) {
                f(&mut w.servers[i]);
            }
            drop(w);
            me.note(format!("server {id}: {text} for {for_s} s"));
        };
        let busy = |id: &str, undo: &[(f64, u32, String)]| undo.iter().any(|u| u.2 == id);
        match rng.n(22) {
            0 | 1 => {
                if !busy(&top, &undo) {
                    me.crash(&top);
                    undo.push((t + for_s, 0, top));
                }
            }
            2 | 3 => {
                if !busy(&top, &undo) {
                    set(&top, &mut |s| s.dark_to.push("*".into()), "dark");
                    undo.push((t + for_s, 3, top));
                }
            }
            4 => {
                let id = pick(&mut rng, &replicas);
                if !busy(&id, &undo) {
                    me.crash(&id);
                    undo.push((t + for_s, 0, id));
                }
            }
            5 => {
                let id = pick(&mut rng, &replicas);
                set(&id, &mut |s| s.dark_to.push("*".into()), "dark");
                undo.push((t + for_s, 3, id));
            }
            6 => {
                let id = pick(&mut rng, &replicas);
                set(&id, &mut |s| s.deaf = true, "deaf");
                undo.push((t + for_s, 3, id));
            }
            7 => {
                let id = pick(&mut rng, &replicas);
                set(&id, &mut |s| s.receive_s = 0.3, "lags by 300 ms");
                undo.push((t + for_s, 3, id));
            }
            8 => {
                let id = pick(&mut rng, &ids);
                set(
                    &id,
                    &mut |s| s.dark_to.push("control".into()),
                    "cut off from control",
                );
                undo.push((t + for_s, 3, id));
            }
            9 => {
                let id = pick(&mut rng, &ids);
                let r = format!("router-{}", 1 + rng.n(3));
                set(
                    &id,
                    &mut |s| s.dark_to.push(r.clone()),
                    "cut off from a router",
                );
                undo.push((t + for_s, 3, id));
            }
            10 => {
                let id = pick(&mut rng, &ids);
                set(&id, &mut |s| s.lose = 0.05, "answers are lost");
                undo.push((t + for_s, 3, id));
            }
            11 | 12 => {
                let name = format!("router-{}", 1 + rng.n(3));
                if !busy(&name, &undo) {
                    let i = rig.index(&name);
                    rig.signal(i, STOP);
                    undo.push((t + for_s, 1, name));
                }
            }
            13 => {
                let name = format!("router-{}", 1 + rng.n(3));
                if !busy(&name, &undo) {
                    let i = rig.index(&name);
                    rig.signal(i, KILL);
                    undo.push((t + 0.5, 2, name));
                }
            }
            14 => {
                let name = format!("router-{}", 1 + rng.n(3));
                if !busy(&name, &undo) {
                    let i = rig.index(&name);
                    rig.signal(i, TERM);
                    undo.push((t + 6.5, 2, name));
                }
            }
            15 | 16 => {
                let leader = rig.leader();
                let i = if rng.f() < 0.7 { leader } else { None }.unwrap_or(rng.n(3));
                let name = rig.processes[i].name.clone();
                if !busy(&name, &undo) && (wild || t > core_until) {
                    core_until = t + for_s + 4.0;
                    rig.signal(i, STOP);
                    undo.push((t + for_s, 1, name));
                }
            }
            17 if wild && rng.f() < 0.4 => {
                for i in 0..3 {
                    let name = rig.processes[i].name.clone();
                    if !busy(&name, &undo) {
                        rig.signal(i, KILL);
                        undo.push((t + 0.3 + rng.f(), 2, name));
                    }
                }
            }
            17 | 18 => {
                let leader = rig.leader();
                let i = if rng.f() < 0.7 { leader } else { None }.unwrap_or(rng.n(3));
                let name = rig.processes[i].name.clone();
                if !busy(&name, &undo) && (wild || t > core_until) {
                    core_until = t + 4.5;
                    rig.signal(i, if rng.f() < 0.6 { KILL } else { TERM });
                    undo.push((t + 0.5 + for_s / 3.0, 2, name));
                }
            }
            19 | 20 => {
                let id = if rng.f() < 0.6 {
                    top
                } else {
                    pick(&mut rng, &replicas)
                };
                let drains = me.lock().servers.iter().any(|s| !s.gone && s.draining);
                if !busy(&id, &undo) && !drains && new_servers < 20 {
                    new_servers += 1;
                    let first = me.lock().servers[0].log[0].clone();
                    let mut s = Srv::new(
                        &format!("db1-n{new_servers}"),
                        &format!("{}.{}", me.net, 120 + new_servers),
                        false,
                        if rng.f() < 0.5 { 0.002 } else { 0.06 },
                    );
                    s.log = vec![first];
                    me.note(format!("server db1-n{new_servers} starts; {id} drains"));
                    me.add_server(s);
                    sleep(0.3);
                    let mut w = me.lock();
                    if let Some(i) = w.find(&id) {
                        w.servers[i].draining = true;
                    }
                    drop(w);
                    undo.push((t + 8.0 + rng.f() * 4.0, 4, id));
                }
            }
            _ => {
                if rng.f() < 0.5 {
                    let now = me.now();
                    let d = [0.5, 0.9, 1.9][rng.n(3)];
                    me.lock().platform.delays.push((now, now + for_s, d));
                    me.note(format!("the platform is slow by {d} s for {for_s} s"));
                } else {
                    epoch += 1;
                    rig.configure(epoch - 1, epoch);
                }
            }
        }
    }
    for (_, what, name) in undo {
        match what {
            0 => me.start_again(&name),
            3 => {
                let mut w = me.lock();
                if let Some(i) = w.find(&name) {
                    w.servers[i].dark_to.clear();
                    w.servers[i].deaf = false;
                    w.servers[i].lose = 0.0;
                }
            }
            1 | 2 => {
                let i = rig.index(&name);
                rig.signal(i, CONT);
                if what == 2 {
                    rig.signal(i, KILL);
                    rig.reap(i);
                    rig.start(i);
                }
            }
            _ => {}
        }
    }
    sleep(1.0);
    Some(rig.finish(&run.record))
}

fn traffic(rig: &mut Rig, seed: u64) {
    rig.clients(Mode::Leader, 14, 0.6, 0.3, 0.02, seed);
    rig.clients(Mode::Bounded, 3, 0.0, 0.2, 0.04, seed + 100);
    rig.clients(Mode::Own, 8, 0.5, 0.2, 0.02, seed + 200);
}

/// Replicas are up to 60 ms further behind, by turns.
fn wobble(rig: &Rig) {
    for s in &mut rig.me.lock().servers {
        s.wobble_s = 0.06;
    }
}

fn drain(rig: &Rig, id: &str) {
    let mut w = rig.me.lock();
    if let Some(i) = w.find(id) {
        w.servers[i].draining = true;
    }
    drop(w);
    rig.me.note(format!("server {id} says that it drains"));
}

/// A server that is new in the service, at an address of its own.
fn new_server(rig: &Rig, n: u8, receive_s: f64, wobble_s: f64, beats_after_s: f64) {
    let first = rig.me.lock().servers[0].log[0].clone();
    let mut s = Srv::new(
        &format!("db1-n{n}"),
        &format!("{}.{}", rig.me.net, 120 + n),
        false,
        receive_s,
    );
    s.log = vec![first];
    s.wobble_s = wobble_s;
    s.beats_from = rig.me.now() + beats_after_s;
    rig.me.note(format!("server db1-n{n} starts"));
    rig.me.add_server(s);
}

/// The server that leads instead of this one, once one does.
fn next_leader(rig: &Rig, old: &str, within_s: f64) -> Option<String> {
    let started = Instant::now();
    while started.elapsed().as_secs_f64() < within_s {
        {
            let w = rig.me.lock();
            let t = w.top();
            if w.servers[t].id != old && w.servers[t].leader {
                return Some(w.servers[t].id.clone());
            }
        }
        sleep(0.005);
    }
    None
}

/// The servers of a service are replaced one after the other. The platform is slow while the first change of the primary is asked
/// for: the calls that it reads in that time are run four seconds later.
fn slow_platform(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 2, &[0.004, 0.004])?;
    wobble(&rig);
    traffic(&mut rig, run.seed);
    sleep(3.0);
    if run.trouble {
        rig.me.lock().platform.next_delays.extend([1.05, 1.95]);
        rig.me.note("the platform is slow: it runs the next two calls 1.05 s and 1.95 s after it has read them".into());
    }
    new_server(&rig, 1, 0.004, 0.06, 0.0);
    sleep(0.3);
    drain(&rig, "db1-a");
    let second = next_leader(&rig, "db1-a", 6.0);
    sleep(0.1);
    new_server(&rig, 2, 0.004, 0.06, 0.0);
    sleep(0.3);
    if let Some(second) = &second {
        drain(&rig, second);
    }
    sleep(6.0);
    let m = rig.me.clone();
    thread::spawn(move || m.depart("db1-a"));
    sleep(2.0);
    if let Some(second) = second {
        let m = rig.me.clone();
        thread::spawn(move || m.depart(&second));
    }
    sleep(3.0);
    Some(rig.finish(&run.record))
}

/// The servers of a service are replaced in turn. The first beat of the new one comes three seconds late; it has the log meanwhile.
fn late_beat(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 2, &[0.03, 0.03])?;
    wobble(&rig);
    traffic(&mut rig, run.seed);
    sleep(3.0);
    new_server(&rig, 1, 0.004, 0.0, if run.trouble { 3.0 } else { 0.0 });
    sleep(0.8);
    drain(&rig, "db1-a");
    sleep(8.0);
    let m = rig.me.clone();
    thread::spawn(move || m.depart("db1-a"));
    sleep(3.0);
    Some(rig.finish(&run.record))
}

/// A replica is cut off from the system by a cut that refuses, not from its primary. The primary crashes.
fn refused(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 2, &[0.002, 0.03])?;
    traffic(&mut rig, run.seed);
    sleep(3.0);
    if run.trouble {
        let mut w = rig.me.lock();
        if let Some(i) = w.find("db1-b") {
            w.servers[i].refusing = true;
        }
        drop(w);
        rig.me
            .note("server db1-b is cut off from the system: refused".into());
        sleep(2.5);
        rig.me.crash("db1-a");
        sleep(2.5);
        let mut w = rig.me.lock();
        if let Some(i) = w.find("db1-b") {
            w.servers[i].refusing = false;
        }
        drop(w);
        rig.me.note("server db1-b is reached again".into());
        sleep(1.5);
        rig.me.start_again("db1-a");
    }
    sleep(4.0);
    Some(rig.finish(&run.record))
}

/// Routers are stopped and started in turn, settings are read again, the configuration changes, a primary drains.
fn terms(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 3, &[0.004, 0.004])?;
    rig.me.lock().answer_delay = 1.8;
    traffic(&mut rig, run.seed);
    rig.clients(Mode::Leader, 12, 0.5, 0.9, 0.3, run.seed + 400);
    sleep(2.0);
    let mut rng = Rng(run.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let started = Instant::now();
    let mut epoch = 1;
    let mut n = 0;
    while started.elapsed().as_secs_f64() < run.seconds {
        let i = 3 + n % 3;
        n += 1;
        rig.signal(i, TERM);
        let back = Instant::now() + Duration::from_secs_f64(6.3);
        if rng.f() < 0.5 {
            sleep(rng.f() * 2.0);
            epoch += 1;
            rig.configure(epoch - 1, epoch);
        }
        if rng.f() < 0.4 {
            sleep(rng.f());
            let top = {
                let w = rig.me.lock();
                let t = w.top();
                w.servers[t].id.clone()
            };
            let drains = rig.me.lock().servers.iter().any(|s| !s.gone && s.draining);
            if !drains {
                new_server(&rig, n as u8, 0.004, 0.0, 0.0);
                sleep(0.3);
                drain(&rig, &top);
                let m = rig.me.clone();
                thread::spawn(move || {
                    sleep(9.0);
                    m.depart(&top);
                });
            }
        }
        sleep(back.saturating_duration_since(Instant::now()).as_secs_f64());
        rig.reap(i);
        rig.start(i);
        sleep(1.0);
    }
    Some(rig.finish(&run.record))
}
