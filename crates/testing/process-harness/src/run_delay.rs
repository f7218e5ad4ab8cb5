//! How long threads of a run were ready and got no processor (the kernel's run delay). Who sleeps most of the time is
//! woken at once on a crowded machine, too, so that a pulse sees little of what busy threads wait.

use std::collections::{HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Delays are read this often, and added up over so many readings.
const SAMPLE: Duration = Duration::from_millis(100);
const SAMPLES: usize = 5;

/// Threads of the rig's own process that a run goes through.
pub const RELAYS: &str = "relays";
const REACTOR: &str = "async-io";

/// Watches processes until it is told to end.
pub struct RunDelay {
    processes: Arc<Mutex<Vec<u32>>>,
    over: Arc<AtomicBool>,
    watching: thread::JoinHandle<Duration>,
}

impl RunDelay {
    /// What these processes waited before counts for nothing.
    pub fn begin(processes: Vec<u32>) -> RunDelay {
        let (processes, over) = (
            Arc::new(Mutex::new(processes)),
            Arc::new(AtomicBool::new(false)),
        );
        let (watched, ends) = (processes.clone(), over.clone());
        let watching = thread::spawn(move || {
            let mut readings = Readings::from(tasks(&watched));
            while !ends.load(Ordering::Relaxed) {
                thread::sleep(SAMPLE);
                readings.sample(&tasks(&watched));
            }
            readings.longest
        });
        RunDelay {
            processes,
            over,
            watching,
        }
    }

    /// A process that has just started.
    pub fn add(&self, process: u32) {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(process);
    }

    /// The longest that any thread waited within half a second, in milliseconds.
    pub fn end(self) -> u64 {
        self.over.store(true, Ordering::Relaxed);
        self.watching
            .join()
            .map_or(0, |longest| longest.as_millis() as u64)
    }
}

/// Run delays so far of the processes' threads, and of those threads of this one that a run's bytes go through.
fn tasks(processes: &Mutex<Vec<u32>>) -> Vec<(PathBuf, Duration)> {
    let processes = processes
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let own = threads(Path::new("/proc/self/task"))
        .into_iter()
        .filter(|thread| carries(thread));
    delays(&processes)
        .into_iter()
        .chain(own.filter_map(delay))
        .collect()
}

/// Each thread's run delay so far, where the system tells it.
pub(crate) fn delays(processes: &[u32]) -> Vec<(PathBuf, Duration)> {
    let of = |process: &u32| threads(&PathBuf::from(format!("/proc/{process}/task")));
    processes.iter().flat_map(of).filter_map(delay).collect()
}

fn threads(tasks: &Path) -> Vec<PathBuf> {
    std::fs::read_dir(tasks)
        .into_iter()
        .flatten()
        .flatten()
        .map(|thread| thread.path())
        .collect()
}

fn carries(thread: &Path) -> bool {
    let name = std::fs::read_to_string(thread.join("comm")).unwrap_or_default();
    [RELAYS, REACTOR].contains(&name.trim())
}

fn delay(thread: PathBuf) -> Option<(PathBuf, Duration)> {
    let delay = run_delay(&std::fs::read_to_string(thread.join("schedstat")).ok()?)?;
    Some((thread, delay))
}

/// The second of three numbers: time on a processor, time ready without one, turns; nanoseconds.
pub(crate) fn run_delay(schedstat: &str) -> Option<Duration> {
    schedstat
        .split_whitespace()
        .nth(1)?
        .parse()
        .ok()
        .map(Duration::from_nanos)
}

/// What each thread's delays came to lately, and the longest of all.
pub(crate) struct Readings {
    threads: HashMap<PathBuf, (Duration, VecDeque<Duration>)>,
    pub longest: Duration,
}

impl Readings {
    /// What these threads have waited so far counts for nothing.
    pub(crate) fn from(tasks: Vec<(PathBuf, Duration)>) -> Readings {
        let known = |(thread, delay)| (thread, (delay, VecDeque::new()));
        Readings {
            threads: tasks.into_iter().map(known).collect(),
            longest: Duration::ZERO,
        }
    }

    /// One reading of all threads. All that a new one has waited counts.
    pub(crate) fn sample(&mut self, tasks: &[(PathBuf, Duration)]) {
        for (thread, delay) in tasks {
            let (before, lately) = self.threads.entry(thread.clone()).or_default();
            lately.push_back(delay.saturating_sub(*before));
            *before = *delay;
            if lately.len() > SAMPLES {
                lately.pop_front();
            }
            self.longest = self.longest.max(lately.iter().sum());
        }
    }
}
