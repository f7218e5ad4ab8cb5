//! Whether badgerstream-load tells the truth, and how much it can send: a stall as an open and a closed loop see it, what
//! one core of the generator sends on time, its memory, what keeping every statement costs, and last the router's
//! own highest rate. The servers are a process of their own, so that processor time and memory are the generator's.

use crate::router::{self, Fault, Router, Setup, Signal};
use badgerstream_load_generator::run::{Played, Setup as Play, play};
use badgerstream_load_generator::scenario::Scenario;
use badgerstream_load_generator::search::{Bounds, Found, Search, Step, Verdict};
use badgerstream_load_generator::series::each;
use badgerstream_store_emulator::group::Replication;
use badgerstream_store_emulator::scripted::{Scripted, Turn};
use badgerstream_store_emulator::{Emulator, Shape};
use clap::{Args, ValueEnum};
use serde::Serialize;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const STALL: Duration = Duration::from_secs(2);
const STALL_AFTER: Duration = Duration::from_secs(2);
const RATE: f64 = 1000.0;
/// What the open loop must show: the longest wait, and the part of the statements due in the stall that are charged
/// with what was left of it.
const LEAST_LONGEST_MS: f64 = 1900.0;
const LEAST_CHARGED: f64 = 0.9;
/// A statement that was sent, and its answer on its way, as the stall began or ended is off by so much.
const SLACK: Duration = Duration::from_millis(2);
/// The generator sends on time while it is no later than this at the 99th percentile.
const ON_TIME_MS: f64 = 1.0;
const WAIT_MS: u64 = 10_000;

#[derive(Args, Clone, Debug)]
pub struct Options {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One JSON object; the only form there is
    #[arg(long)]
    pub json: bool,
    /// Only these parts
    #[arg(long, value_enum, value_delimiter = ',')]
    pub only: Vec<Part>,
    /// How long the run is whose memory is watched
    #[arg(long, default_value_t = 1.0)]
    pub minutes: f64,
    /// The rate of that run, and of the one that tells the cost of keeping
    #[arg(long, default_value_t = 20_000.0)]
    pub per_s: f64,
    /// Threads of the generator where all it can do is asked for
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// A scripted server stands still
    Stall,
    /// A real router is stopped and goes on
    Frozen,
    /// The most that one core, and all threads, send on time
    Most,
    Memory,
    Keeping,
    /// The router's highest rate within its SLO times
    Router,
}

/// A stall as the loops saw it.
#[derive(Debug, Serialize)]
pub struct Stall {
    pub open_longest_ms: f64,
    pub open_p99_ms: f64,
    /// Statements due while it lasted, and those charged with what was left of it.
    pub due: u64,
    pub charged: u64,
    /// Due in the stall and not answered at all within their client's time.
    pub unanswered: u64,
    pub own_lateness_p99_ms: f64,
    /// Beside it, as many clients as were busy, each waiting for its answer: for comparison only.
    pub closed_clients: usize,
    pub closed_longest_ms: f64,
    pub closed_p99_ms: f64,
    /// Statements that the closed loop did not send while it waited.
    pub closed_left_out: u64,
}

#[derive(Debug, Default, Serialize)]
pub struct Most {
    pub one_thread_per_s: f64,
    pub threads: usize,
    pub all_threads_per_s: f64,
    /// Processor time a statement on one thread and its counting, microseconds.
    pub processor_us: f64,
}

#[derive(Debug, Serialize)]
pub struct Memory {
    pub minutes: f64,
    pub per_s: f64,
    /// Resident, after a fifth of the run and at its end, in KiB.
    pub early_kib: u64,
    pub end_kib: u64,
    pub own_lateness_p99_ms: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<Stall>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frozen_router: Option<Stall>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<Most>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<Memory>,
    /// Processor time a statement with every one kept, by that without; turns of one run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keeping_ratio: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub router: Option<Found>,
    /// The bounds that do not hold.
    pub broken: Vec<String>,
}

pub fn run(options: &Options) -> Result<Report, Fault> {
    badgerstream_load_generator::run::descriptors();
    let wanted = |part| options.only.is_empty() || options.only.contains(&part);
    let mut report = Report::default();
    if wanted(Part::Stall) {
        let server = Scripted::start(false, |_, _| Turn::Answer).map_err(Fault::Start)?;
        let stall = stalled(server.address, options.seed, &|| server.pause(STALL))?;
        judge("the scripted server's stall", &stall, &mut report.broken);
        report.stall = Some(stall);
    }
    if wanted(Part::Frozen) {
        let (_emulator, router) = routed(options.seed)?;
        let freeze = || {
            let begun = Instant::now();
            router.send(Signal::STOP);
            thread::sleep(STALL);
            let over = Instant::now();
            router.send(Signal::CONT);
            (begun, over)
        };
        let stall = stalled(router.address, options.seed, &freeze)?;
        judge("the stopped router's stall", &stall, &mut report.broken);
        report.frozen_router = Some(stall);
    }
    if wanted(Part::Most) {
        report.most = Some(most(options)?);
    }
    if wanted(Part::Memory) {
        report.memory = Some(memory(options)?);
    }
    if wanted(Part::Keeping) {
        report.keeping_ratio = Some(keeping(options)?);
    }
    if wanted(Part::Router) {
        report.router = Some(highest(options)?);
    }
    Ok(report)
}

fn judge(name: &str, stall: &Stall, broken: &mut Vec<String>) {
    if stall.open_longest_ms < LEAST_LONGEST_MS {
        broken.push(format!(
            "{name}: the open loop's longest wait was {:.0} ms",
            stall.open_longest_ms
        ));
    }
    if (stall.charged as f64) < stall.due as f64 * LEAST_CHARGED || stall.due == 0 {
        broken.push(format!(
            "{name}: {} of {} due were charged",
            stall.charged, stall.due
        ));
    }
}

/// Reads and marked writes at a constant rate, evenly spaced.
fn scenario(target: SocketAddr, seed: u64, per_s: f64, seconds: f64, threads: usize) -> Scenario {
    let text = format!(
        "{{target: '{target}', seed: {seed}, threads: {threads}, connections: {connections}, workloads: [
          {{name: 'feed-read', share: 9, groups: 2, keys: 1000, zipf: 1, customer: 'lab', patience_ms: {WAIT_MS}, slo_ms: 100}},
          {{name: 'episode-write', share: 1, writes: true, marked: true, groups: 2, customer: 'lab', patience_ms: {WAIT_MS},
            slo_ms: 100}}],
          phases: [{{for_ms: {ms}, shape: {{constant: {{per_s: {per_s}}}}}}}]}}",
        connections = 128 * threads,
        ms = seconds * 1e3
    );
    Scenario::read(&text).expect("a scenario of our own")
}

fn played(
    scenario: &Scenario,
    closed: Option<usize>,
    folder: Option<&Path>,
) -> Result<Played, Fault> {
    let setup = Play {
        run: fastrand::u64(..),
        closed,
        ..Play::default()
    };
    let folder = folder.map(|folder| (folder, "{}"));
    play(scenario, &setup, folder).map_err(|e| Fault::Start(std::io::Error::other(e.to_string())))
}

/// The server stands still for a while under load, once for each loop; `stall` tells from when until when.
fn stalled(
    server: SocketAddr,
    seed: u64,
    stall: &(dyn Fn() -> (Instant, Instant) + Sync),
) -> Result<Stall, Fault> {
    let folder = router::folder(None)?;
    let kept = folder.join("open");
    let scenario = scenario(server, seed, RATE, 7.0, 1);
    let during = |closed: Option<usize>, kept: Option<&Path>| {
        thread::scope(|scope| {
            let stall = scope.spawn(|| {
                thread::sleep(STALL_AFTER);
                stall()
            });
            let played = played(&scenario, closed, kept);
            stall
                .join()
                .map_err(|_| Fault::Start(std::io::Error::other("the stall failed")))
                .map(|stall| (played, stall))
        })
    };
    let (open, (from, until)) = during(None, Some(&kept))?;
    let open = open?;
    let (mut due, mut charged, mut unanswered) = (0, 0, 0);
    each(&kept, |seen| {
        let at = open.start + Duration::from_secs_f64(seen.at_ms / 1e3);
        if at > from && at < until {
            due += 1;
            let left = (until - at).saturating_sub(SLACK);
            charged += u64::from(Duration::from_micros(seen.latency_us) >= left);
            unanswered +=
                u64::from(seen.outcome.name() == "timed_out" || seen.outcome.name() == "unsent");
        }
    })
    .map_err(|e| Fault::Start(std::io::Error::other(e.to_string())))?;
    let clients = 4;
    let (closed, _) = during(Some(clients), None)?;
    let closed = closed?;
    let _ = std::fs::remove_dir_all(&folder);
    let ms =
        |played: &Played, quantile: f64| played.latency.value_at_quantile(quantile) as f64 / 1e3;
    let sent =
        closed.summary.statements as f64 / (closed.summary.seconds - STALL.as_secs_f64()).max(0.1);
    Ok(Stall {
        open_longest_ms: ms(&open, 1.0),
        open_p99_ms: ms(&open, 0.99),
        due,
        charged,
        unanswered,
        own_lateness_p99_ms: open.summary.own_lateness_ms.p99,
        closed_clients: clients,
        closed_longest_ms: ms(&closed, 1.0),
        closed_p99_ms: ms(&closed, 0.99),
        closed_left_out: (sent * STALL.as_secs_f64()) as u64,
    })
}

fn routed(seed: u64) -> Result<(std::sync::Arc<Emulator>, Router), Fault> {
    let replication = Replication {
        synchronous: true,
        lag_ms: 0,
        mark_memory_ms: 60_000,
    };
    let shape = Shape {
        groups: 2,
        replication,
        ..Shape::default()
    };
    let emulator = Emulator::start(shape, &[]).map_err(Fault::Start)?;
    let (folder, program) = (router::folder(None)?, router::program()?);
    let setup = Setup {
        folder: &folder,
        program: &program,
        emulator: &emulator,
        routers: 1,
        seed,
        timeout_ms: WAIT_MS,
        mark_memory_ms: 60_000,
        memory_mb: 192,
        descriptors: 1024,
        own: None,
    };
    let router = Router::start(&setup, 0)?;
    Ok((emulator, router))
}

/// A scripted server as a process of its own, ended with this.
struct Apart {
    child: Child,
    address: SocketAddr,
}

impl Apart {
    fn start() -> Result<Apart, Fault> {
        let mut command = Command::new(router::program()?);
        command
            .arg("scripted")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut child = command.spawn().map_err(Fault::Start)?;
        let mut line = String::new();
        if let Some(said) = child.stdout.take() {
            BufReader::new(said)
                .read_line(&mut line)
                .map_err(Fault::Start)?;
        }
        let address = line.trim().parse().map_err(|_| {
            Fault::Start(std::io::Error::other(format!(
                "the scripted server said {line:?}"
            )))
        })?;
        Ok(Apart { child, address })
    }
}

impl Drop for Apart {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves until whoever started it is gone: the hidden sub-command.
pub fn scripted() -> std::io::Result<()> {
    let server = Scripted::start(false, |_, _| Turn::Answer)?;
    println!("{}", server.address);
    std::io::stdin().read_to_end(&mut Vec::new()).map(drop)
}

/// Processor time of this process, in ticks of the system (a hundred a second).
fn ticks() -> u64 {
    router::ticks_of("self")
}

fn most(options: &Options) -> Result<Most, Fault> {
    let server = Apart::start()?;
    let search = |threads: usize| -> Result<f64, Fault> {
        let bounds = Bounds {
            first: 5000.0,
            least: 100.0,
            most: 1e6,
            precision: 0.05,
            confirm: 1,
            plays: 24,
        };
        let mut search = Search::new(bounds);
        loop {
            match search.next() {
                Step::Done(Found::Nowhere { .. }) => return Ok(0.0),
                Step::Done(
                    Found::Highest { per_s, .. }
                    | Found::AtLeast { per_s, .. }
                    | Found::Between { per_s, .. },
                ) => return Ok(per_s),
                Step::Play(rate) => {
                    let scenario = scenario(server.address, options.seed, rate, 3.0, threads);
                    let summary = played(&scenario, None, None)?.summary;
                    let late = summary.own_lateness_ms.p99;
                    // On time is not enough: what was begun was also sent and answered.
                    let answered = summary.outcomes().completed as f64 / summary.statements as f64;
                    let held = late < ON_TIME_MS && answered > 0.99;
                    search.told(rate, if held { Verdict::Held } else { Verdict::Broken });
                }
            }
        }
    };
    let one_thread_per_s = search(1)?;
    let before = ticks();
    let half = scenario(server.address, options.seed, one_thread_per_s / 2.0, 4.0, 1);
    let statements = played(&half, None, None)?.summary.statements;
    let processor_us = (ticks() - before) as f64 * 1e4 / statements.max(1) as f64;
    Ok(Most {
        one_thread_per_s,
        threads: options.threads,
        all_threads_per_s: search(options.threads)?,
        processor_us,
    })
}

fn memory(options: &Options) -> Result<Memory, Fault> {
    let server = Apart::start()?;
    let folder = router::folder(None)?;
    let seconds = options.minutes * 60.0;
    let scenario = scenario(
        server.address,
        options.seed,
        options.per_s,
        seconds,
        options.threads,
    );
    let (played, early) = thread::scope(|scope| {
        let early = scope.spawn(|| {
            thread::sleep(Duration::from_secs_f64(seconds / 5.0));
            router::resident_kib("self")
        });
        let played = played(&scenario, None, Some(&folder.join("kept")));
        (played, early.join().unwrap_or(0))
    });
    let end_kib = router::resident_kib("self");
    let _ = std::fs::remove_dir_all(&folder);
    let summary = played?.summary;
    Ok(Memory {
        minutes: options.minutes,
        per_s: options.per_s,
        early_kib: early,
        end_kib,
        own_lateness_p99_ms: summary.own_lateness_ms.p99,
    })
}

/// Turns with and without a folder, so that what drifts counts for both alike.
fn keeping(options: &Options) -> Result<f64, Fault> {
    let server = Apart::start()?;
    let folder = router::folder(None)?;
    let scenario = scenario(server.address, options.seed, options.per_s, 2.0, 1);
    let mut used = [0u64; 2];
    for turn in 0..12 {
        let keeps = turn % 2 == 1;
        let place = folder.join(turn.to_string());
        let before = ticks();
        played(&scenario, None, keeps.then_some(place.as_path()))?;
        // The first pair opens files and warms up.
        if turn >= 2 {
            used[usize::from(keeps)] += ticks() - before;
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
    Ok(used[1] as f64 / used[0].max(1) as f64)
}

/// One router, which is one thread, against the emulator: 99 % within 100 ms.
fn highest(options: &Options) -> Result<Found, Fault> {
    let (_emulator, router) = routed(options.seed)?;
    let mut search = Search::new(Bounds {
        first: 1000.0,
        least: 10.0,
        most: 200_000.0,
        precision: 0.05,
        confirm: 1,
        plays: 24,
    });
    loop {
        match search.next() {
            Step::Done(found) => return Ok(found),
            Step::Play(rate) => {
                let scenario = scenario(router.address, options.seed, rate, 3.0, 2);
                let summary = played(&scenario, None, None)?.summary;
                let share = summary.outcomes().completed as f64 / summary.statements as f64;
                let verdict = match () {
                    () if share >= 0.99 => Verdict::Held,
                    () if summary.own_lateness_ms.p99 > ON_TIME_MS * 5.0 => Verdict::Limited,
                    () => Verdict::Broken,
                };
                eprintln!(
                    "{rate:.0} a second: {:.2} % within 100 ms, {verdict:?}",
                    share * 1e2
                );
                search.told(rate, verdict);
                // What was held back is over before the next play.
                thread::sleep(Duration::from_millis(500));
            }
        }
    }
}
