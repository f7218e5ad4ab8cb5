//! One run: threads that send, one that counts, and a line of progress for who looks on.

use crate::count::{Run, Summary, Times};
use crate::engine::{Closed, Engine, Record, Shared, Sockets};
use crate::keep::{self, Folder};
use crate::scenario::{MOST_PER_S, Phase, Scenario, Shape};
use crate::trace::{self, Change, Changed, Survey};
use crate::traffic::Plan;
use crate::work::Work;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Threads are up and connections can be asked for when the first statement is due.
const BEFORE: Duration = Duration::from_millis(50);
/// Batches of records on their way to who counts them.
const BATCHES: usize = 256;
/// Statements read ahead from a trace, a thread.
const AHEAD: usize = 16;
const READ: usize = 1024;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error(transparent)]
    Trace(#[from] trace::Fault),
    #[error(transparent)]
    Keep(#[from] keep::Fault),
    #[error("{0}")]
    Wrong(String),
}

/// A thread's statements.
type Source = Box<dyn Iterator<Item = Work> + Send>;

/// What a run goes by beside its statements.
#[derive(Clone, Default)]
pub struct Setup {
    /// Parts the ids and marks of one run from another's.
    pub run: u64,
    /// Clients that wait for their answers, for comparison only.
    pub closed: Option<usize>,
    /// 0: go on; 1: begin nothing more; 2: give up what is open.
    pub stop: Arc<AtomicU8>,
    /// A line of progress, where there is a terminal to show it on.
    pub progress: bool,
}

/// What came of a run.
pub struct Played {
    pub summary: Summary,
    /// When the first moment was.
    pub start: Instant,
    /// All latencies, of all workloads.
    pub latency: Times,
}

/// Plays the scenario; with `closed`, so many clients that each wait for their answer instead.
///
/// # Errors
/// A folder that can't be written to.
pub fn play(
    scenario: &Scenario,
    setup: &Setup,
    folder: Option<(&Path, &str)>,
) -> Result<Played, Fault> {
    let mut scenario = scenario.clone();
    if setup.closed.is_some() {
        scenario.phases = vec![endless(scenario.seconds())];
    }
    let scenario = Arc::new(scenario);
    let names: Vec<_> = scenario.workloads.iter().map(|w| w.name.clone()).collect();
    let plan = |place| -> Source { Box::new(Plan::new(&scenario, place, scenario.threads)) };
    let sources = (0..scenario.threads).map(plan).collect();
    send(&scenario, names, sources, setup, folder)
}

/// Clients that wait take the next statement when they like: there is always one more, as long as the phases last.
fn endless(seconds: f64) -> Phase {
    let shape = Shape::Constant { per_s: MOST_PER_S };
    Phase {
        name: String::new(),
        for_ms: seconds * 1e3,
        random: false,
        together: None,
        shape,
    }
}

/// Replays a trace with the scenario's connections, threads and retries; its workloads and phases don't count.
///
/// # Errors
/// A trace with a broken row, before anything is sent; a folder that can't be written to.
pub fn replay(
    file: &Path,
    change: Change,
    skip_broken: bool,
    scenario: &Scenario,
    setup: &Setup,
    folder: Option<(&Path, &str)>,
) -> Result<(Played, Survey), Fault> {
    if let Some(problem) = change.problem() {
        return Err(Fault::Wrong(problem.to_string()));
    }
    let survey = Survey::of(file)?;
    if survey.broken > 0 && !skip_broken {
        let first = trace::open(file)?.filter_map(Result::err).take(3).collect();
        let (broken, rows) = (survey.broken, survey.rows);
        return Err(trace::Fault::Broken {
            file: file.to_path_buf(),
            broken,
            rows,
            first,
        }
        .into());
    }
    if survey.workloads.is_empty() {
        return Err(trace::Fault::Empty(file.to_path_buf()).into());
    }
    let names: Vec<_> = survey.workloads.keys().cloned().collect();
    let threads = scenario.threads;
    let (to, from): (Vec<_>, Vec<_>) = (0..threads)
        .map(|_| sync_channel::<Vec<Work>>(AHEAD))
        .unzip();
    let rows = trace::open(file)?.filter_map(Result::ok);
    let places = names.clone();
    // It ends with its file, or once nobody listens any more.
    let reader = thread::spawn(move || hand_out(Changed::new(rows, change), &places, &to));
    let sources = from
        .into_iter()
        .map(|from| -> Source { Box::new(from.into_iter().flatten()) })
        .collect();
    let played = send(scenario, names, sources, setup, folder)?;
    drop(reader.join());
    Ok((played, survey))
}

/// Rows go to the threads, those of one session to the same.
fn hand_out(
    rows: impl Iterator<Item = trace::Row>,
    names: &[String],
    to: &[SyncSender<Vec<Work>>],
) {
    let mut ahead: Vec<Vec<Work>> = to.iter().map(|_| Vec::new()).collect();
    for (number, row) in (0u64..).zip(rows) {
        let Ok(workload) = names.binary_search(&row.workload) else {
            continue;
        };
        let work = row.work(number, workload as u16);
        let place = if work.session == 0 {
            number
        } else {
            work.session
        };
        let place = (place % to.len() as u64) as usize;
        ahead[place].push(work);
        // Small at first, so that the first statements are not kept waiting.
        if ahead[place].len() >= READ.min(16 + number as usize)
            && to[place].send(std::mem::take(&mut ahead[place])).is_err()
        {
            return;
        }
    }
    to.iter()
        .zip(ahead)
        .for_each(|(to, rest)| drop(to.send(rest)));
}

fn send(
    scenario: &Scenario,
    workloads: Vec<String>,
    sources: Vec<Source>,
    setup: &Setup,
    folder: Option<(&Path, &str)>,
) -> Result<Played, Fault> {
    let folder = folder
        .map(|(path, text)| Folder::new(path, text))
        .transpose()?;
    let shared = Arc::new(Shared {
        start: Instant::now() + BEFORE,
        run: setup.run,
        target: scenario.target,
        workloads,
        holding: scenario.holding,
        retries: scenario.retries,
        grace: 0,
        stop: AtomicU8::new(0),
        begun: AtomicU64::new(0),
        ended: AtomicU64::new(0),
    });
    let (to, from) = sync_channel(BATCHES);
    let over = AtomicBool::new(false);
    let mut run = Run {
        closed: setup.closed.is_some(),
        ..Run::default()
    };
    let (tally, kept) = thread::scope(|scope| {
        let (names, kept) = (&shared.workloads, folder.as_ref());
        let counts = scope.spawn(move || keep::collect(&from, names, kept));
        scope.spawn(|| watch(&shared, setup, &over));
        let threads = sources.len();
        let senders: Vec<_> = (0..)
            .zip(sources)
            .map(|(place, source)| {
                let thread = Thread {
                    place,
                    threads,
                    closed: setup.closed,
                };
                let (shared, to) = (shared.clone(), to.clone());
                scope.spawn(move || thread.work(shared, source, scenario, to))
            })
            .collect();
        drop(to);
        for sender in senders {
            match sender.join() {
                Ok(Ok(sockets)) => run.sockets.add(&sockets),
                Ok(Err(e)) => run.problems.push(format!("a thread could not send: {e}")),
                Err(_) => run
                    .problems
                    .push("a thread has panicked: its statements are missing".to_string()),
            }
        }
        over.store(true, Ordering::Relaxed);
        let nothing = || (crate::count::Tally::new(&shared.workloads), Ok(()));
        counts.join().unwrap_or_else(|_| {
            run.problems.push("who counts has panicked".to_string());
            nothing()
        })
    });
    run.seconds = shared.start.elapsed().as_secs_f64();
    run.interrupted = shared.stop.load(Ordering::Relaxed) > 0;
    keep::problem(&mut run, &kept);
    let summary = tally.summary(&run);
    if let Some(folder) = &folder {
        folder.summary(&summary)?;
    }
    kept?;
    Ok(Played {
        summary,
        start: shared.start,
        latency: tally.latency(),
    })
}

struct Thread {
    place: usize,
    threads: usize,
    closed: Option<usize>,
}

impl Thread {
    /// This one's part of a number that all share.
    fn part(&self, whole: usize) -> usize {
        whole / self.threads + usize::from(self.place < whole % self.threads)
    }

    fn work(
        &self,
        shared: Arc<Shared>,
        source: Source,
        scenario: &Scenario,
        to: SyncSender<Vec<Record>>,
    ) -> std::io::Result<Sockets> {
        let until = (scenario.seconds() * 1e9) as u64;
        let closed = self.closed.map(|clients| Closed {
            clients: self.part(clients),
            until,
        });
        let seed = scenario.seed ^ (self.place as u64 + 1);
        Engine::new(
            shared,
            source,
            self.part(scenario.connections),
            closed,
            seed,
            to,
        )?
        .run()
    }
}

/// Hands on the wish to stop, and shows how far it is.
fn watch(shared: &Shared, setup: &Setup, over: &AtomicBool) {
    let shows = setup.progress && std::io::stderr().is_terminal();
    let mut shown = Instant::now();
    let mut before = 0;
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        shared
            .stop
            .fetch_max(setup.stop.load(Ordering::Relaxed), Ordering::Relaxed);
        if shows && shown.elapsed() >= Duration::from_secs(1) {
            let (begun, ended) = (
                shared.begun.load(Ordering::Relaxed),
                shared.ended.load(Ordering::Relaxed),
            );
            let rate = (begun - before) as f64 / shown.elapsed().as_secs_f64();
            let line = format!(
                "\r{:.0} s: {begun} begun, {rate:.0} a second, {} open   ",
                shared.start.elapsed().as_secs_f64(),
                begun - ended.min(begun)
            );
            // A terminal that is gone is no reason to stop.
            let _ = std::io::stderr().write_all(line.as_bytes());
            (shown, before) = (Instant::now(), begun);
        }
    }
    if shows {
        let _ = std::io::stderr().write_all(b"\r\x1b[K");
    }
}

/// As many descriptors as the system lets a process have; tells how many.
pub fn descriptors() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    // Refused, it stays as it is.
    let _ = setrlimit(
        Resource::Nofile,
        Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        },
    );
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Where a scenario is only needed for who sends and how.
pub fn bare(target: SocketAddr) -> Scenario {
    Scenario {
        target,
        seed: 0,
        connections: 256,
        holding: Default::default(),
        threads: 1,
        retries: Default::default(),
        workloads: Vec::new(),
        phases: Vec::new(),
    }
}
