//! Real routers and the emulator, whose primaries change all through the run; judged by the ledger.

use crate::client::{Client, Outcome};
use crate::router::{self, Fault, Router, Setup};
use badgerstream_store_emulator::group::{Ledger, Replication};
use badgerstream_store_emulator::script::{self, Plan};
use badgerstream_store_emulator::{Emulator, Shape, now};
use clap::Args;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: u16 = 3;
/// Each is a session of its own, with one statement at a time.
const CLIENTS: usize = 60;
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 256;
/// One session read behind so many writes of a client.
const READ_EVERY: usize = 8;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Marked writes in all
    #[arg(long, default_value_t = 10_000)]
    pub writes: usize,
    /// Decides what goes wrong and when
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Routers that serve side by side
    #[arg(long, default_value_t = 1)]
    pub routers: usize,
    /// kill, switchover, double, hang, mixed or impatient
    #[arg(long, default_value = "kill")]
    pub plan: Plan,
    /// The same with succession off
    #[arg(long)]
    pub baseline: bool,
    /// A store that answers writes before its replicas have them: what is lost must be told
    #[arg(long)]
    pub asynchronous: bool,
    /// How long the store remembers a mark; under a change's length, outcomes are asked for
    #[arg(long, default_value_t = 60_000)]
    pub mark_memory_ms: u64,
    /// Writes a second, over all routers
    #[arg(long, default_value_t = 1000)]
    pub rate: usize,
    /// One JSON object instead of a table
    #[arg(long)]
    pub json: bool,
    /// Where the routers' configurations and logs are kept; else they leave with the run
    #[arg(long)]
    pub keep: Option<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
pub struct Report {
    pub plan: String,
    pub seed: u64,
    pub routers: usize,
    pub succession: bool,
    pub synchronous: bool,
    pub asked: usize,
    /// Final answers of the router, of each kind; a statement without one is unanswered.
    pub answered: usize,
    pub completed: usize,
    pub rejected: usize,
    pub aborted: usize,
    pub unanswered: usize,
    /// Rejections that told when to come back.
    pub advised: usize,
    /// By the ledger: completed and not there; there twice; rejected and there.
    pub missing: usize,
    pub doubled: usize,
    pub rejected_and_applied: usize,
    pub aborted_and_applied: usize,
    /// Completed writes of one session in another order than they were asked.
    pub out_of_order: usize,
    /// Session reads, and those that were answered without their session's last completed write.
    pub reads: usize,
    pub reads_completed: usize,
    pub stale: usize,
    /// Statements that were given up, by how much of their time was over (median, in milliseconds).
    pub given_up_after_ms: u64,
    pub changes: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
    pub most_held: usize,
    pub most_held_bytes: usize,
    pub peak_memory_kib: u64,
    /// Answered writes that the routers said were lost, and effects on branches that were given up.
    pub losses_told: usize,
    pub discarded: usize,
    /// The most statements that were in work at one node at once.
    pub most_busy: usize,
    /// Routers that ended in order at SIGTERM.
    pub ended_in_order: usize,
    pub broken: Vec<String>,
}

struct Asked {
    asked: Instant,
    mark: String,
    group: u16,
    key: String,
    outcome: Outcome,
    took: Duration,
}

#[derive(Default)]
struct Seen {
    writes: Vec<Asked>,
    reads: usize,
    reads_completed: usize,
    stale: usize,
}

pub fn run(options: &Options) -> Result<Report, Fault> {
    let patience = if options.plan == Plan::Impatient {
        150
    } else {
        10_000
    };
    let shape = Shape {
        groups: GROUPS,
        replication: Replication {
            synchronous: !options.asynchronous,
            lag_ms: 15,
            mark_memory_ms: options.mark_memory_ms,
        },
        service_us: 300,
        slots: 32,
        cold_from: 0.3,
        cold_ms: 2000,
        late_ms: 200,
        outcomes: true,
        ..Shape::default()
    };
    let emulator = Emulator::start(shape, &[]).map_err(Fault::Start)?;
    let (folder, program) = (router::folder(options.keep.as_deref())?, router::program()?);
    let own = own(options.asynchronous);
    let setup = Setup {
        folder: &folder,
        program: &program,
        emulator: &emulator,
        routers: options.routers,
        seed: options.seed,
        timeout_ms: patience,
        mark_memory_ms: options.mark_memory_ms,
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
        own: (!options.baseline).then_some(own.as_str()),
    };
    let mut routers = Vec::new();
    for place in 0..options.routers {
        routers.push(Router::start(&setup, place)?);
    }
    let length_ms = (options.writes * 1000 / options.rate.max(1)) as u64;
    let script = script::draw(
        options.plan,
        options.seed,
        GROUPS,
        300,
        length_ms.saturating_sub(200),
    );
    let over = AtomicBool::new(false);
    let start = Instant::now();
    let (seen, changes) = thread::scope(|scope| {
        let playing =
            scope.spawn(|| script::play(&emulator, &script, &|| over.load(Ordering::Relaxed)));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let router = routers[number % routers.len()].address;
                scope.spawn(move || client(number, router, options, patience, start))
            })
            .collect();
        let seen: Vec<Seen> = clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect();
        over.store(true, Ordering::Relaxed);
        (seen, playing.join().unwrap_or(0))
    });
    if options.keep.is_some() {
        statements(&folder, &seen, start)?;
    }
    let mut report = judge(options, &emulator, seen);
    report.changes = changes;
    report.peak_memory_kib = routers.iter().map(Router::peak_kib).max().unwrap_or(0);
    report.ended_in_order = routers
        .iter_mut()
        .map(|r| usize::from(r.end(Duration::from_secs(20))))
        .sum();
    for router in &routers {
        told(&router.said(), &mut report);
    }
    report.most_busy = emulator
        .nodes
        .iter()
        .map(|node| node.most_busy.load(Ordering::SeqCst))
        .max()
        .unwrap_or(0);
    report.broken = broken(options, &report);
    if options.keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report)
}

/// Every write with its outcome, a line each, in the order in which they were asked.
fn statements(folder: &Path, seen: &[Seen], start: Instant) -> Result<(), Fault> {
    let mut writes: Vec<&Asked> = seen.iter().flat_map(|seen| &seen.writes).collect();
    writes.sort_by_key(|write| write.asked);
    let line = |write: &&Asked| {
        let outcome = match &write.outcome {
            Outcome::Completed(_) => "completed".to_string(),
            other => format!("{other:?}").to_lowercase(),
        };
        let asked_ms = write.asked.duration_since(start).as_secs_f64() * 1e3;
        let told = serde_json::json!({"mark": write.mark, "group": write.group, "asked_ms": asked_ms,
            "took_ms": write.took.as_secs_f64() * 1e3, "outcome": outcome});
        format!("{told}\n")
    };
    let file = folder.join("statements.jsonl");
    std::fs::write(&file, writes.iter().map(line).collect::<String>())
        .map_err(|e| Fault::File(file.clone(), e))
}

/// The settings that such a store allows.
fn own(asynchronous: bool) -> String {
    let log = if asynchronous {
        "branch_field: 'x2', promoted_field: 'x3',"
    } else {
        ""
    };
    format!(
        "{{succession: {{expected_change_ms: 700, release_spread_ms: 5, outcomes: true, {log}}}}}"
    )
}

fn client(
    number: usize,
    router: std::net::SocketAddr,
    options: &Options,
    patience: u64,
    start: Instant,
) -> Seen {
    let (mut client, mut seen) = (Client::new(router), Seen::default());
    let (group, key) = (number as u16 % GROUPS, format!("session-{number}"));
    let (mut last, mut after) = (None, 0);
    for (turn, i) in (number..options.writes).step_by(CLIENTS).enumerate() {
        let due = start + Duration::from_secs_f64(i as f64 / options.rate.max(1) as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mark = format!("m-{}-{i}", options.seed);
        let text = format!(
            "INSERT INTO records (k, v) VALUES ('{key}', '\\x{i:016x}') RETURNING v /* id=w{i},c=episode-write,t=lab,d={patience},k={mark},cluster={group} */"
        );
        let asked = Instant::now();
        let outcome = client.ask(&text, Duration::from_millis(patience));
        let took = asked.elapsed();
        if let Outcome::Completed(_) = outcome {
            (last, after) = (Some(i as u64), now());
        }
        seen.writes.push(Asked {
            asked,
            mark,
            group,
            key: key.clone(),
            outcome,
            took,
        });
        if let (0, Some(last)) = ((turn + 1) % READ_EVERY, last) {
            let text = format!(
                "SELECT v FROM records WHERE k = '{key}' /* id=r{i},c=own-read,t=lab,d={patience},cluster={group},after={after} */"
            );
            seen.reads += 1;
            if let Outcome::Completed(value) = client.ask(&text, Duration::from_millis(patience)) {
                seen.reads_completed += 1;
                let value = value.and_then(|v| Some(u64::from_be_bytes(v.try_into().ok()?)));
                seen.stale += usize::from(value.is_none_or(|value| value < last));
            }
        }
    }
    seen
}

fn judge(options: &Options, emulator: &Emulator, seen: Vec<Seen>) -> Report {
    let mut report = Report {
        plan: format!("{:?}", options.plan).to_lowercase(),
        seed: options.seed,
        routers: options.routers,
        succession: !options.baseline,
        synchronous: !options.asynchronous,
        ..Report::default()
    };
    let ledgers: Vec<Ledger> = (0..GROUPS).map(|group| emulator.ledger(group)).collect();
    let mut effects: Vec<HashMap<&str, Vec<usize>>> = Vec::new();
    for ledger in &ledgers {
        let mut places: HashMap<&str, Vec<usize>> = HashMap::new();
        for (place, entry) in ledger.effects.iter().enumerate() {
            places
                .entry(entry.mark.as_deref().unwrap_or_default())
                .or_default()
                .push(place);
        }
        report.discarded += ledger.discarded.len();
        effects.push(places);
    }
    // Three significant figures of up to a minute, in microseconds: constants that fit.
    let mut waits = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    let mut given_up = Vec::new();
    let mut last_of: HashMap<String, usize> = HashMap::new();
    for write in seen.iter().flat_map(|seen| &seen.writes) {
        report.asked += 1;
        let places = effects[usize::from(write.group)].get(write.mark.as_str());
        let count = places.map_or(0, Vec::len);
        report.doubled += usize::from(count > 1);
        match &write.outcome {
            Outcome::Completed(_) => {
                report.completed += 1;
                waits.saturating_record(write.took.as_micros() as u64);
                report.missing += usize::from(count == 0);
                if let Some(place) = places.and_then(|places| places.first()) {
                    let before = last_of.insert(write.key.clone(), *place);
                    report.out_of_order +=
                        usize::from(before.is_some_and(|before| before > *place));
                }
            }
            Outcome::Rejected(advice) => {
                report.rejected += 1;
                report.advised += usize::from(advice.is_some());
                report.rejected_and_applied += usize::from(count > 0);
                given_up.push(write.took);
            }
            Outcome::Aborted(_) => {
                report.aborted += 1;
                report.aborted_and_applied += usize::from(count > 0);
                given_up.push(write.took);
            }
            Outcome::Unanswered(_) => report.unanswered += 1,
        }
    }
    report.answered = report.asked - report.unanswered;
    for seen in &seen {
        report.reads += seen.reads;
        report.reads_completed += seen.reads_completed;
        report.stale += seen.stale;
    }
    given_up.sort();
    report.given_up_after_ms = given_up
        .get(given_up.len() / 2)
        .map_or(0, |took| took.as_millis() as u64);
    let ms = |us: u64| us as f64 / 1e3;
    report.p50_ms = ms(waits.value_at_quantile(0.5));
    report.p99_ms = ms(waits.value_at_quantile(0.99));
    report.longest_ms = ms(waits.max());
    report
}

/// What a router's log tells of its hold and of losses.
fn told(log: &str, report: &mut Report) {
    let figure = |line: &str, behind: &str| -> Option<usize> {
        line.split_once(behind)?
            .1
            .split([' ', ','])
            .next()?
            .parse()
            .ok()
    };
    for line in log.lines() {
        if line.contains("most held so far") {
            report.most_held = report
                .most_held
                .max(figure(line, "most held so far ").unwrap_or(0));
            report.most_held_bytes = report
                .most_held_bytes
                .max(figure(line, "statements, ").unwrap_or(0));
        }
        if let Some(span) = line
            .split_once("LOSS")
            .and_then(|(_, rest)| rest.split_once(" up to "))
        {
            report.losses_told += figure(span.1, ": ").unwrap_or(0);
        }
    }
}

/// Which stated bounds do not hold.
fn broken(options: &Options, report: &Report) -> Vec<String> {
    let mut broken = Vec::new();
    let mut holds = |fits: bool, what: String| {
        if !fits {
            broken.push(what);
        }
    };
    holds(
        report.asked == options.writes,
        format!("{} of {} writes were asked", report.asked, options.writes),
    );
    holds(
        report.unanswered == 0,
        format!("{} writes have no final answer", report.unanswered),
    );
    holds(
        report.doubled == 0,
        format!("{} writes had their effect twice", report.doubled),
    );
    let untrue = report.rejected_and_applied;
    holds(
        untrue == 0,
        format!("{untrue} writes were rejected and applied"),
    );
    holds(
        report.out_of_order == 0,
        format!(
            "{} writes overtook one of their session",
            report.out_of_order
        ),
    );
    holds(
        report.stale == 0,
        format!("{} session reads did not see their write", report.stale),
    );
    holds(
        report.ended_in_order == options.routers,
        "a router did not end in order".to_string(),
    );
    if !options.asynchronous {
        holds(
            report.missing == 0,
            format!("{} completed writes are not there", report.missing),
        );
    } else if !options.baseline {
        let gone = report.missing;
        holds(
            report.losses_told == gone,
            format!(
                "{gone} answered writes are gone, {} told",
                report.losses_told
            ),
        );
    }
    let least = match options.plan {
        Plan::Switchover => options.writes,
        Plan::Kill => options.writes - options.writes.div_ceil(1000),
        _ => 0,
    };
    let long_memory = options.mark_memory_ms >= 10_000;
    if !options.asynchronous && long_memory && !options.baseline {
        holds(
            report.completed >= least,
            format!(
                "{} writes completed, at least {least} should",
                report.completed
            ),
        );
    }
    broken
}

/// For people.
pub fn print(report: &Report, folder: Option<&Path>) {
    println!(
        "plan {}, seed {}, {} routers, succession {}",
        report.plan, report.seed, report.routers, report.succession
    );
    println!(
        "asked {}  completed {}  rejected {}  aborted {}  unanswered {}",
        report.asked, report.completed, report.rejected, report.aborted, report.unanswered
    );
    println!(
        "missing {}  doubled {}  rejected and applied {}  out of order {}  stale {} of {} reads",
        report.missing,
        report.doubled,
        report.rejected_and_applied,
        report.out_of_order,
        report.stale,
        report.reads
    );
    println!(
        "changes {}  p50 {:.1} ms  p99 {:.1} ms  longest {:.1} ms  most held {} ({} bytes)  peak memory {} KiB",
        report.changes,
        report.p50_ms,
        report.p99_ms,
        report.longest_ms,
        report.most_held,
        report.most_held_bytes,
        report.peak_memory_kib
    );
    if let Some(folder) = folder {
        println!("logs are in {}", folder.display());
    }
    report
        .broken
        .iter()
        .for_each(|line| println!("BROKEN: {line}"));
}
