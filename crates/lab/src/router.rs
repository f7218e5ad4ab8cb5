//! Real routers as processes of their own: this binary starts itself as one.

use badgerstream_emulator::Emulator;
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
}

/// Ends with its process, which is killed if it was not asked to end before.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

/// This program, to be started as a router.
pub fn program() -> Result<PathBuf, Fault> {
    std::env::current_exe().map_err(Fault::Start)
}

/// A folder of its own for a run's files.
pub fn folder(keep: Option<&Path>) -> Result<PathBuf, Fault> {
    let name = format!("badgerlab-{}-{}", std::process::id(), badgerstream_emulator::now());
    let folder = keep.map_or_else(|| std::env::temp_dir().join(name), Path::to_path_buf);
    std::fs::create_dir_all(&folder).map_err(|e| Fault::File(folder.clone(), e))?;
    Ok(folder)
}

/// What differs from one run to the next.
pub struct Setup<'a> {
    pub folder: &'a Path,
    /// The `badgerlab` that is started as a router.
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

impl Router {
    /// Starts number `place` of the routers and waits until it serves.
    pub fn start(setup: &Setup, place: usize) -> Result<Router, Fault> {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|door| door.local_addr());
        let address = free.map_err(Fault::Start)?;
        let write = |name: String, text: &str| {
            let file = setup.folder.join(name);
            std::fs::write(&file, text).map_err(|e| Fault::File(file.clone(), e))?;
            Ok::<PathBuf, Fault>(file)
        };
        let config = write(format!("router-{place}.json"), &config(setup, place, address).to_string())?;
        let log = setup.folder.join(format!("router-{place}.log"));
        let to = File::create(&log).map_err(|e| Fault::File(log.clone(), e))?;
        let mut command = Command::new(setup.program);
        command
            .args(["router", "serve"])
            .env("RELAY_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        for told in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY"] {
            command.env_remove(told);
        }
        if let Some(own) = setup.own {
            command.arg("--settings").arg(write(format!("settings-{place}.json5"), own)?);
        }
        let child = command.stderr(to).spawn().map_err(Fault::Start)?;
        let router = Router { child, address, log };
        let begun = Instant::now();
        while TcpStream::connect(address).is_err() {
            if begun.elapsed() > STARTING {
                return Err(Fault::Deaf(address, router.log.clone()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(router)
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
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
        self.signal("-TERM");
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
    fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// What a process has in memory now, in KiB.
pub fn resident_kib(process: &str) -> u64 {
    status_kib(process, "VmRSS:")
}

fn status_kib(process: &str, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes that carry marks, session reads, and reads of any age.
fn config(setup: &Setup, place: usize, address: SocketAddr) -> Value {
    let class = |name: &str, repeat: &str, group: &str, importance: f64| {
        json!({"name": name, "repeat": repeat, "group": group, "importance": importance, "late_worth": 0.3,
               "aim_ms": 600.0, "hard_limit_ms": setup.timeout_ms as f64,
               "memory_span_ms": setup.mark_memory_ms as f64})
    };
    json!({
        "name": format!("lab-{place}"),
        "listen": address.to_string(),
        "discovery": setup.emulator.discovery.address.to_string(),
        "seed": format!("{:016x}", setup.seed.wrapping_add(place as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.descriptors},
        "known": {"seq": 0, "whole": true, "hosts": setup.emulator.hosts()},
        "settings": {
            "classes": [class("feed-read", "pure", "all", 1.0), class("own-read", "pure", "all", 2.0),
                        class("episode-write", "token", "cell", 6.0), class("one-off", "side_effect", "cell", 6.0)],
            "tenants": [], "zones": ["here"], "siblings": setup.routers, "tick_ms": 5.0,
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
            "safety": {"cold_from": 0.3, "cold_ms": 2000.0, "fall_ms": 1000.0, "overload_factor": 3.0,
                       "stop_sending_within_ms": 250.0}
        }
    })
}
