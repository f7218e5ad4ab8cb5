//! Real routers as processes of their own: a built `badgerstream`, or a binary of ours that starts itself as one.

use crate::Ground;
use badgerstream_store_emulator::Emulator;
use rustix::process::Pid;
pub use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A router that does not serve within this never will.
const STARTING: Duration = Duration::from_secs(20);

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("a router can't be started: {0}")]
    Start(std::io::Error),
    #[error("a router does not serve on {0}; its log is {1}")]
    Deaf(SocketAddr, PathBuf),
    #[error("the {0} of this run: {1}")]
    Helper(&'static str, String),
    #[error("{0}")]
    Wrong(String),
}

/// Ends with its process, which is killed if it was not asked to end before.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

/// How to start one.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    /// What stands before `serve`, where it is not `badgerstream` itself.
    pub before: Vec<String>,
}

impl Program {
    /// A binary that is started as a router by its hidden word for it.
    pub fn ours(path: &Path) -> Program {
        Program {
            path: path.to_path_buf(),
            before: vec!["router".to_string()],
        }
    }
}

/// This program, to be started as a router.
pub fn program() -> Result<PathBuf, Fault> {
    std::env::current_exe().map_err(Fault::Start)
}

/// A folder of its own for a run's files.
pub fn folder(keep: Option<&Path>) -> Result<PathBuf, Fault> {
    let name = format!(
        "badgerstream-experiments-{}-{}",
        std::process::id(),
        badgerstream_store_emulator::now()
    );
    let folder = keep.map_or_else(|| std::env::temp_dir().join(name), Path::to_path_buf);
    std::fs::create_dir_all(&folder).map_err(|e| Fault::File(folder.clone(), e))?;
    Ok(folder)
}

/// What differs from one run to the next.
pub struct Setup<'a> {
    pub folder: &'a Path,
    /// The `badgerstream-experiments` that is started as a router.
    pub program: &'a Path,
    pub emulator: &'a Emulator,
    pub routers: usize,
    pub seed: u64,
    pub timeout_ms: u64,
    pub mark_memory_ms: u64,
    pub memory_mb: u64,
    pub descriptors: u64,
    /// Our own settings, as JSON5; none is the baseline.
    pub own: Option<&'a str>,
}

/// An address that nobody listens on now. A router that is to come back under it has a loopback address of its
/// own, whose ports no outgoing connection takes meanwhile.
pub fn free_address(on: Ipv4Addr) -> Result<SocketAddr, Fault> {
    TcpListener::bind((on, 0))
        .and_then(|door| door.local_addr())
        .map_err(Fault::Start)
}

impl Router {
    /// Starts number `place` of the routers and waits until it serves.
    pub fn start(setup: &Setup<'_>, place: usize) -> Result<Router, Fault> {
        let address = free_address(Ground::new().door(place))?;
        let name = format!("router-{place}");
        let config = config(setup, place, address);
        // What an earlier run in this folder logged is not this one's.
        let _ = std::fs::remove_file(setup.folder.join(format!("{name}.log")));
        let router = Router::spawn(
            &Program::ours(setup.program),
            setup.folder,
            &name,
            address,
            &config,
            setup.own,
        )?;
        router.serves()?;
        Ok(router)
    }

    /// Starts one from this configuration; its log goes on where an earlier one of that name ended.
    pub fn spawn(
        program: &Program,
        folder: &Path,
        name: &str,
        address: SocketAddr,
        config: &Value,
        own: Option<&str>,
    ) -> Result<Router, Fault> {
        let write = |name: String, text: &str| {
            let file = folder.join(name);
            std::fs::write(&file, text).map_err(|e| Fault::File(file.clone(), e))?;
            Ok::<PathBuf, Fault>(file)
        };
        let config = write(format!("{name}.json"), &config.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let to = File::options().create(true).append(true).open(&log);
        let to = to.map_err(|e| Fault::File(log.clone(), e))?;
        let mut command = Command::new(&program.path);
        command
            .args(&program.before)
            .arg("serve")
            .env("RELAY_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        for told in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"] {
            command.env_remove(told);
        }
        if let Some(own) = own {
            command
                .arg("--settings")
                .arg(write(format!("{name}-settings.json5"), own)?);
        }
        let child = command.stderr(to).spawn().map_err(Fault::Start)?;
        Ok(Router {
            child,
            address,
            log,
        })
    }

    /// Waits until it lets clients in.
    pub fn serves(&self) -> Result<(), Fault> {
        let begun = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            if begun.elapsed() > STARTING {
                return Err(Fault::Deaf(self.address, self.log.clone()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Sends a signal to its process.
    pub fn send(&self, signal: Signal) {
        if let Some(process) = Pid::from_raw(self.child.id() as i32) {
            // One that has ended can't be told any more.
            let _ = rustix::process::kill_process(process, signal);
        }
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether its process has ended, and in order.
    pub fn ended(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.success())
    }

    /// Its peak of memory so far, in KiB.
    pub fn peak_kib(&self) -> u64 {
        status_kib(&self.child.id().to_string(), "VmHWM:")
    }

    /// The processor time that it has used so far, in the system's ticks.
    pub fn ticks(&self) -> u64 {
        ticks_of(&self.child.id().to_string())
    }

    /// Asked to end; whether it did so in order within its time.
    pub fn end(&mut self, within: Duration) -> bool {
        self.send(Signal::TERM);
        let begun = Instant::now();
        while begun.elapsed() < within {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn said(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A process's processor time, in the system's ticks (proc(5), stat, fields 14 and 15).
pub fn ticks_of(process: &str) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name in parentheses may hold blanks; what follows begins with field 3.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum()
}

/// What a process has in memory now, in KiB.
pub fn resident_kib(process: &str) -> u64 {
    status_kib(process, "VmRSS:")
}

fn status_kib(process: &str, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What the configuration of a router says.
pub struct Told<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub descriptors: u64,
    pub known: Value,
    pub routers: usize,
    pub slo_ms: f64,
    pub timeout_ms: f64,
    pub mark_memory_ms: f64,
    pub cold: (f64, u64),
    pub fall: (u64, f64),
}

/// The workloads of every run, with what a completion in time is worth.
pub const WORKLOADS: [(&str, f64); 4] = [
    ("feed-read", 1.0),
    ("own-read", 2.0),
    ("episode-write", 6.0),
    ("one-off", 6.0),
];

/// How long a node may still be sent work once the router was told that it drains.
pub const GRACE_MS: u64 = 250;

fn config(setup: &Setup<'_>, place: usize, address: SocketAddr) -> Value {
    Told {
        name: &format!("lab-{place}"),
        listen: address,
        discovery: setup.emulator.discovery.address,
        seed: setup
            .seed
            .wrapping_add(place as u64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15),
        memory_mb: setup.memory_mb,
        descriptors: setup.descriptors,
        known: json!({"seq": 0, "whole": true, "hosts": setup.emulator.hosts()}),
        routers: setup.routers,
        slo_ms: 600.0,
        timeout_ms: setup.timeout_ms as f64,
        mark_memory_ms: setup.mark_memory_ms as f64,
        cold: (0.3, 2000),
        fall: (1000, 3.0),
    }
    .config()
}

impl Told<'_> {
    /// Writes that carry marks, session reads, reads of any age, and writes that must never run twice.
    pub fn config(&self) -> Value {
        let class = |place: usize, repeat: &str, group: &str| {
            let (name, importance) = WORKLOADS[place];
            json!({"name": name, "repeat": repeat, "group": group, "importance": importance, "late_worth": 0.3,
                   "aim_ms": self.slo_ms, "hard_limit_ms": self.timeout_ms,
                   "memory_span_ms": self.mark_memory_ms})
        };
        json!({
            "name": self.name,
            "listen": self.listen.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "known": self.known,
            "settings": {
                "classes": [class(0, "pure", "all"), class(1, "pure", "all"),
                            class(2, "token", "cell"), class(3, "side_effect", "cell")],
                "tenants": [], "zones": ["here"], "siblings": self.routers, "tick_ms": 5.0,
                "discovery": "pushed",
                "domain": {"needs_by_class": ["loose", "own_writes", "update", "update"],
                           "max_age_ms": [0.0, 0.0, 0.0, 0.0], "checks": "none", "token_mode": "client",
                           "origin_time_ms": 0.0},
                "load_info": {"columns": ["x0", "x1"], "via": "answers"},
                "goal": {"whole": 1.0, "worst_class": 0.0, "worst_tenant": 0.0},
                "prices": {"probe": 0.01},
                "policy_limits": {"max_attempts": 8, "second_copies": true, "cancelling": true, "probes": true,
                                  "retry_after": true, "max_retry_after_ms": 2000.0, "dial_timeout_ms": 250.0,
                                  "keepalive_ms": 30000.0},
                "safety": {"cold_from": self.cold.0, "cold_ms": self.cold.1 as f64,
                           "fall_ms": self.fall.0 as f64, "overload_factor": self.fall.1,
                           "stop_sending_within_ms": GRACE_MS as f64}
            }
        })
    }
}
