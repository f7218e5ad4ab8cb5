//! The cases: what is done to the system, and when.

use crate::Rig;
use crate::client::Mode;
use crate::world::Srv;
use std::thread;
use std::time::{Duration, Instant};

pub struct Run {
    pub pooler: String,
    pub folder: String,
    pub record: String,
    pub trouble: bool,
    pub seed: u64,
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
        "slow-platform" => slow_platform(run),
        "late-beat" => late_beat(run),
        "refused" => refused(run),
        "refused-planned" => refused_planned(run),
        _ => None,
    }
}

fn traffic(rig: &mut Rig, seed: u64) {
    rig.clients(Mode::Leader, 14, 0.6, 0.3, 0.02, seed);
    rig.clients(Mode::Bounded, 3, 0.0, 0.2, 0.04, seed + 100);
    rig.clients(Mode::Own, 8, 0.5, 0.2, 0.02, seed + 200);
}

/// All replicas but the first server, once it is one, are up to 60 ms further behind, by turns.
fn wobble(rig: &Rig) {
    for s in rig.me.lock().servers.iter_mut().skip(1) {
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
    let mut rig = begin(run, 2, &[0.03, 0.03])?;
    wobble(&rig);
    traffic(&mut rig, run.seed);
    sleep(3.0);
    if run.trouble {
        rig.me.lock().platform.next_delays.extend([1.05, 1.95]);
        rig.me.note("the platform is slow: it runs the next two calls 1.05 s and 1.95 s after it has read them".into());
    }
    // It catches up, a second behind, so one of the old replicas comes next.
    new_server(&rig, 1, 1.0, 0.0, 0.0);
    sleep(0.3);
    drain(&rig, "db1-a");
    let second = next_leader(&rig, "db1-a", 6.0);
    sleep(0.1);
    new_server(&rig, 2, 1.0, 0.0, 0.0);
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
        refuse(&rig, "db1-b", true);
        sleep(2.5);
        rig.me.crash("db1-a");
        sleep(2.5);
        refuse(&rig, "db1-b", false);
        sleep(1.5);
        rig.me.start_again("db1-a");
    }
    sleep(4.0);
    Some(rig.finish(&run.record))
}

/// A replica is cut off from the system by a cut that refuses, not from its primary. The primary is replaced.
fn refused_planned(run: &Run) -> Option<Vec<String>> {
    let mut rig = begin(run, 2, &[0.002, 0.03])?;
    traffic(&mut rig, run.seed);
    sleep(3.0);
    new_server(&rig, 1, 0.03, 0.0, 0.0);
    sleep(1.0);
    if run.trouble {
        refuse(&rig, "db1-b", true);
    }
    sleep(0.5);
    drain(&rig, "db1-a");
    sleep(5.0);
    if run.trouble {
        refuse(&rig, "db1-b", false);
    }
    sleep(3.5);
    let m = rig.me.clone();
    thread::spawn(move || m.depart("db1-a"));
    sleep(2.0);
    Some(rig.finish(&run.record))
}

/// Cuts a server off from the system, or lets it be reached again.
fn refuse(rig: &Rig, id: &str, on: bool) {
    let mut w = rig.me.lock();
    if let Some(i) = w.find(id) {
        w.servers[i].refusing = on;
    }
    drop(w);
    let what = if on {
        "is cut off from the system, refused"
    } else {
        "is reached again"
    };
    rig.me.note(format!("server {id} {what}"));
}
