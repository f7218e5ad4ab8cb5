//! Plays a case of the review: processes of the pooler on loopback, stand-ins round them, and one judge.

#[path = "standin-2-cases.rs"]
mod cases;
#[path = "standin-2-client.rs"]
mod client;
#[path = "standin-2-world.rs"]
mod world;

use client::{Client, Mode, Rng, config};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::{PLATFORM_PORT, Shared, Srv, World, http};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const KILL: i32 = 9;

/// A process of the system.
pub struct Process {
    pub name: String,
    pub ip: String,
    pub child: Option<Child>,
}

pub struct Rig {
    pub me: Arc<Shared>,
    pub folder: PathBuf,
    pub pooler: PathBuf,
    pub processes: Vec<Process>,
    pub clients: Vec<thread::JoinHandle<Vec<(String, String)>>>,
}

impl Rig {
    pub fn new(
        pooler: &str,
        folder: &str,
        controls: usize,
        routers: usize,
        replicas: &[f64],
        seed: u64,
    ) -> Rig {
        let p = std::process::id();
        let nets = (0..50).map(|n| format!("127.{}.{}", 100 + (p + n) % 100, (p / 100 + n) % 250));
        let free = |net: &String| TcpListener::bind(format!("{net}.2:{PLATFORM_PORT}")).is_ok();
        let net = nets.into_iter().find(free).expect("free addresses");
        let control_ips: Vec<String> = (0..controls).map(|i| format!("{net}.{}", 11 + i)).collect();
        let me = Arc::new(Shared {
            w: Mutex::new(World {
                servers: Vec::new(),
                runs: Default::default(),
                acked: Vec::new(),
                entries: Default::default(),
                record: Vec::new(),
                broken: Vec::new(),
                platform: Default::default(),
                stop: false,
                rng: seed.wrapping_mul(0x9E37_79B9).max(77),
                sync: 1,
                promote_s: 0.6,
            }),
            cv: Condvar::new(),
            t0: Instant::now(),
            controls: control_ips.iter().map(|ip| format!("{ip}:8782")).collect(),
            net: net.clone(),
            beat_s: 1.2,
        });
        let mut processes: Vec<Process> = control_ips
            .iter()
            .enumerate()
            .map(|(i, ip)| Process {
                name: format!("control-{}", i + 1),
                ip: ip.clone(),
                child: None,
            })
            .collect();
        processes.extend((0..routers).map(|i| Process {
            name: format!("router-{}", i + 1),
            ip: format!("{net}.{}", 41 + i),
            child: None,
        }));
        let mut rig = Rig {
            me: me.clone(),
            folder: PathBuf::from(folder),
            pooler: PathBuf::from(pooler),
            processes,
            clients: Vec::new(),
        };
        let platform = me.clone();
        let platform_ip = format!("{net}.2");
        thread::spawn(move || platform.run_platform(&platform_ip));
        let replication = me.clone();
        for (i, receive_s) in std::iter::once(&0.0).chain(replicas).enumerate() {
            let s = Srv::new(
                &format!("db1-{}", (b'a' + i as u8) as char),
                &format!("{net}.{}", 101 + i),
                i == 0,
                *receive_s,
            );
            me.add_server(s);
        }
        thread::spawn(move || replication.replicate());
        for i in 0..rig.processes.len() {
            rig.write_settings(i, true);
            rig.start(i);
        }
        rig
    }

    pub fn router_ips(&self) -> Vec<String> {
        self.processes
            .iter()
            .filter(|p| p.name.starts_with("router"))
            .map(|p| p.ip.clone())
            .collect()
    }

    fn write_settings(&self, i: usize, bootstrap: bool) {
        let p = &self.processes[i];
        let control = p.name.starts_with("control");
        let dir = self.folder.join(&p.name);
        let net = &self.me.net;
        let mut text = format!(
            "node_name={}\nrole={}\nmachine_class={}\nserves={}\nip={}\nzone=z-a\nregion=r\nzones.z-a=r\nseeds={}\nbootstrap={bootstrap}\nlimits.mem_mb=256\nlimits.file_limit=4096\nheartbeat_ms=1200\ninvariants=base,drain,config,cost,sql,recover\nfault_budget.machine_loss=1\nfault_budget.zones=0\nfault_budget.sites=0\nbounds.seed_stale_s=3\nbounds.addr_reuse_s=2\nbounds.quiet_ms=4000\nbounds.ack_ms=5000\nbounds.catchup_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.apply_ms=3000\nbounds.revert_slack_ms=250\nbounds.stretch_ms=12000\nbounds.recovery_s=12\nbounds.fencing=false\nbounds.thaw_ms=300\nprovider.endpoint={net}.2:{PLATFORM_PORT}\nprovider.rate_per_s=50.0\nprovider.duties=failover\nprovider.duty_per_s=50.0\nport_range=7440,7455\nvoting={control}\n",
            p.name,
            if control { "control" } else { "router" },
            if control { "core" } else { "edge" },
            if control { "coordinator" } else { "edge" },
            p.ip,
            self.me
                .controls
                .iter()
                .take(3)
                .cloned()
                .collect::<Vec<_>>()
                .join(","),
        );
        if control {
            let _ = std::fs::create_dir_all(&dir);
            text.push_str(&format!(
                "bind_addrs.control={}:8782\nlimits.storage_mb=128\nstate_dir={}\n",
                p.ip,
                dir.display()
            ));
        } else {
            text.push_str(&format!(
                "bind_addrs.front={0}:8784\nbind_addrs.readiness={0}:8785\nlimits.storage_mb=0\n",
                p.ip
            ));
        }
        std::fs::write(self.folder.join(format!("{}.conf", p.name)), text).expect("settings file");
    }

    pub fn start(&mut self, i: usize) {
        let name = self.processes[i].name.clone();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log file");
        let child = Command::new(&self.pooler)
            .args(["serve", "--metrics", "9464"])
            .env_clear()
            .env(
                "BADGERSTREAM_BOOT",
                self.folder.join(format!("{name}.conf")),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("pooler");
        self.processes[i].child = Some(child);
        self.me.note(format!("process {name} starts"));
    }

    pub fn signal(&self, i: usize, signal: i32) {
        if let Some(c) = &self.processes[i].child {
            unsafe { kill(c.id() as i32, signal) };
            self.me
                .note(format!("process {} is killed", self.processes[i].name));
        }
    }

    /// Waits until a process has ended; its exit is told.
    pub fn reap(&mut self, i: usize) {
        if let Some(mut c) = self.processes[i].child.take() {
            let _ = c.wait();
        }
    }

    /// Processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for p in &mut self.processes {
            if let Some(c) = &mut p.child
                && let Ok(Some(status)) = c.try_wait()
            {
                names.push(format!("{} ({status})", p.name));
            }
        }
        names
    }

    /// Sends a configuration until it is taken.
    pub fn configure(&self, base: u64, epoch: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(12);
        let body = config(epoch);
        let mut n = 0;
        while Instant::now() < until {
            let to = &self.me.controls[n % self.me.controls.len()];
            n += 1;
            match http(
                to,
                "POST",
                "/api/Config.Replace",
                &[("X-Base-Version", base.to_string())],
                &body,
                1.0,
            ) {
                Some((200, _)) => {
                    self.me
                        .note(format!("configuration {epoch} is acknowledged"));
                    return true;
                }
                Some((412, _)) => return false,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        false
    }

    pub fn ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(12);
        for ip in self.router_ips() {
            loop {
                let a = http(&format!("{ip}:8785"), "GET", "/api/readiness", &[], "", 1.0);
                if a.is_some_and(|a| a.0 == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    pub fn clients(&mut self, mode: Mode, n: usize, writes: f64, tx: f64, pause_s: f64, seed: u64) {
        for i in 0..n {
            let c = Client {
                me: self.me.clone(),
                fronts: self.router_ips(),
                mode,
                writes,
                tx,
                pause_s,
                rng: Rng(seed
                    .wrapping_add(i as u64 + 1)
                    .wrapping_mul(0x2545_F491_4F6C_DD1D)
                    | 1),
                promised: Vec::new(),
            };
            self.clients.push(thread::spawn(move || c.run()));
        }
    }

    /// Ends everything and judges what is left to judge. Returns the broken rules.
    pub fn finish(mut self, record: &str) -> Vec<String> {
        let ended = self.ended();
        for name in &ended {
            self.me
                .broke("FAULT", format!("process {name} ended by itself"));
        }
        self.me.lock().stop = true;
        let mut promised = Vec::new();
        for c in std::mem::take(&mut self.clients) {
            promised.extend(c.join().unwrap_or_default());
        }
        for i in 0..self.processes.len() {
            self.signal(i, KILL);
            self.reap(i);
        }
        let me = self.me.clone();
        let mut w = me.lock();
        let top = w.top();
        let last = w.servers[top].log.last().cloned();
        let mut count: std::collections::HashMap<String, usize> = Default::default();
        for e in &w.servers[top].log {
            for (_, _, qid) in &e.writes {
                *count.entry(qid.clone()).or_default() += 1;
            }
        }
        let mut broken = Vec::new();
        for (at, e) in &w.acked {
            if !world::contains(&last, e) {
                broken.push(format!("LOST: {}.{} ({}) was acknowledged at {at:.3} and isn't in the last primary's log", e.term, e.num, e.commit_id));
            }
        }
        for (id, n) in &count {
            if *n > 1 {
                broken.push(format!("TWICE: {id} took effect {n} times"));
            }
        }
        for (id, promise) in &promised {
            if count.contains_key(id) {
                broken.push(format!(
                    "REFUSED: {id} is committed, its client was told {promise}"
                ));
            }
        }
        for b in broken {
            let line = format!("      end BROKEN {b}");
            w.record.push(line.clone());
            w.broken.push(line);
        }
        let served = client::SERVED.load(std::sync::atomic::Ordering::Relaxed);
        let failed = client::FAILED.load(std::sync::atomic::Ordering::Relaxed);
        let commits = w.acked.len();
        let last_id = w.servers[top].id.clone();
        w.record.push(format!("      end {served} answers with success, {failed} others, {commits} commits acknowledged, last primary {last_id}"));
        let mut lines = w.record.clone();
        for r in w.runs.values().flatten() {
            lines.push(format!(
                "{:9.3} {} ran {} {}: {}",
                r.at, r.server, r.qid, r.text, r.stamp
            ));
        }
        lines.sort_by(|a, b| {
            let t = |l: &String| {
                l.trim_start()
                    .split(' ')
                    .next()
                    .and_then(|x| x.parse::<f64>().ok())
                    .unwrap_or(1e9)
            };
            t(a).total_cmp(&t(b))
        });
        let _ = std::fs::write(record, lines.join("\n") + "\n");
        let broken = w.broken.clone();
        println!("{served} answers with success, {failed} others, {commits} commits acknowledged");
        drop(w);
        broken
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for i in 0..self.processes.len() {
            self.signal(i, KILL);
            self.reap(i);
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let get = |name: &str, default: &str| {
        args.iter()
            .position(|a| a == name)
            .and_then(|i| args.get(i + 1))
            .cloned()
            .unwrap_or(default.to_owned())
    };
    let case = args.get(1).cloned().unwrap_or_default();
    let run = cases::Run {
        pooler: get("--pooler", "target/system/badgerstream-pooler"),
        folder: get("--folder", ""),
        record: get("--record", "record.txt"),
        trouble: get("--trouble", "1") != "0",
        seed: get("--seed", "1").parse().unwrap_or(1),
    };
    match cases::play(&case, &run) {
        None => {
            println!("the case could not run");
            std::process::exit(2);
        }
        Some(broken) if broken.is_empty() => {
            println!("held");
            std::process::exit(0);
        }
        Some(broken) => {
            for b in broken.iter().take(12) {
                println!("{b}");
            }
            println!("{} breaks", broken.len());
            std::process::exit(1);
        }
    }
}
