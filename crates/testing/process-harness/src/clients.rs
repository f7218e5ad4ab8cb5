//! The clients of a run, as a process of their own: `badgerstream-load`'s engine, one a front, open loop. What became
//! of each statement goes to a file.

use crate::router::WORKLOADS;
use crate::script::Load;
pub use badgerstream_load_generator::attempts::Outcome;
use badgerstream_load_generator::engine::{Engine, Record, Shared};
use badgerstream_load_generator::scenario::{Holding, Retries, Scenario};
use badgerstream_load_generator::traffic::Plan;
use serde::{Deserialize, Serialize};
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU64};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// Clients wait so much longer than they say: no verdict hangs on a machine that is busy for a moment.
pub(crate) const GRACE_MS: f64 = 300.0;
/// Threads are up before the first statement is due.
const BEFORE: Duration = Duration::from_millis(100);
const BATCHES: usize = 1024;

#[derive(Debug, Deserialize, Serialize)]
pub struct Sending {
    pub load: Load,
    pub seed: u64,
    pub calm_ms: u64,
    pub for_ms: u64,
    pub groups: u16,
    pub fronts: Vec<SocketAddr>,
    pub out: PathBuf,
}

/// All that was asked; moments are microseconds of Unix time.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Heard {
    pub start_us: u64,
    pub asked: Vec<Asked>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Asked {
    pub number: u64,
    pub front: usize,
    /// Its place in `WORKLOADS`.
    pub workload: usize,
    pub group: u16,
    pub key: String,
    pub marked: bool,
    pub writes: bool,
    pub due_us: u64,
    pub sent_us: Option<u64>,
    /// When the last attempt was sent, and when the first byte of its answer came.
    pub asked_us: Option<u64>,
    pub first_us: Option<u64>,
    pub ended_us: u64,
    pub deadline_us: u64,
    pub outcome: Outcome,
    pub attempts: u32,
    pub stale: bool,
}

impl Asked {
    /// The beginning of the ids that its attempts have, and its mark.
    pub fn id(&self) -> String {
        format!("{RUN:x}-{:x}", self.number)
    }

    pub fn mark(&self) -> String {
        format!("m{}", self.id())
    }
}

/// Parts these statements from other runs'; there is one a store.
const RUN: u64 = 1;

/// The first moments ramp up: else they would be a mass start by themselves. Then the rate is the same, but for a crowd.
fn phases(sending: &Sending) -> Vec<serde_json::Value> {
    let (load, ramp_ms, end) = (
        &sending.load,
        sending.calm_ms as f64 / 2.0,
        sending.for_ms as f64,
    );
    let flat = |for_ms: f64, per_s: f64| serde_json::json!({"for_ms": for_ms, "shape": {"constant": {"per_s": per_s}}});
    let ramp =
        serde_json::json!({"ramp": {"from_per_s": load.per_s / 20.0, "to_per_s": load.per_s}});
    let mut phases = vec![serde_json::json!({"for_ms": ramp_ms, "shape": ramp})];
    match load.crowd {
        None => phases.push(flat(end - ramp_ms, load.per_s)),
        Some(crowd) => {
            let (at, within) = (crowd.at_ms as f64, crowd.within_ms as f64);
            phases.push(flat(at - ramp_ms, load.per_s));
            phases.push(flat(
                within,
                load.per_s + crowd.statements as f64 * 1e3 / within,
            ));
            // None where the crowd is the end.
            phases.extend((end > at + within).then(|| flat(end - at - within, load.per_s)));
        }
    }
    phases
}

/// Every fourth write carries no mark; each marked one may be read back by its session.
fn scenario(sending: &Sending, front: SocketAddr) -> serde_json::Result<Scenario> {
    let load = &sending.load;
    let common = |i: usize| {
        serde_json::json!({"name": WORKLOADS[i].0, "groups": sending.groups, "keys": 4000,
            "patience_ms": load.patience_ms + GRACE_MS, "slo_ms": load.slo_ms})
    };
    let with = |i: usize, more: serde_json::Value| {
        let mut of = common(i);
        of.as_object_mut()
            .into_iter()
            .for_each(|of| of.extend(more.as_object().cloned().unwrap_or_default()));
        of
    };
    serde_json::from_value(serde_json::json!({
        "target": front,
        "seed": sending.seed,
        "workloads": [
            with(0, serde_json::json!({"share": 1.0 - load.writes})),
            with(1, serde_json::json!({"follows":
                {"of": WORKLOADS[2].0, "chance": 0.5, "think_ms": 200.0, "check": true}})),
            with(2, serde_json::json!({"share": load.writes * 0.75, "writes": true, "marked": true})),
            with(3, serde_json::json!({"share": load.writes * 0.25, "writes": true})),
        ],
        "phases": phases(sending),
    }))
}

fn record(record: &Record, front: usize, start_us: u64) -> Asked {
    let at = |moment: u64| start_us + moment / 1000;
    let work = &record.work;
    Asked {
        number: work.number,
        front,
        workload: usize::from(work.workload),
        group: work.group,
        key: work.key.clone(),
        marked: work.marked,
        writes: work.writes.is_some(),
        due_us: at(work.due),
        sent_us: record.sent.map(at),
        asked_us: record.asked.map(at),
        first_us: record.first.map(at),
        ended_us: at(record.ended),
        deadline_us: at(work.deadline()),
        outcome: record.outcome,
        attempts: record.attempts,
        stale: record.stale,
    }
}

/// The process: says when it begins, sends, and leaves its file.
///
/// # Errors
/// A file that can't be read or written, or no descriptors.
pub fn send(file: &Path) -> std::io::Result<()> {
    let sending: Sending = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    badgerstream_load_generator::run::descriptors();
    let (start, start_us) = (
        Instant::now() + BEFORE,
        crate::now_us() + BEFORE.as_micros() as u64,
    );
    println!("{start_us}");
    let mut heard = Heard {
        start_us,
        asked: Vec::new(),
    };
    let fronts = sending.fronts.len();
    let (to, from) = mpsc::sync_channel::<(usize, Vec<Record>)>(BATCHES);
    let mut threads = Vec::new();
    for (place, front) in sending.fronts.iter().enumerate() {
        let scenario = Arc::new(scenario(&sending, *front)?);
        let shared = Arc::new(Shared {
            start,
            run: RUN,
            target: *front,
            workloads: scenario.workloads.iter().map(|w| w.name.clone()).collect(),
            // Who was led elsewhere comes back to its own router after a while.
            holding: Holding {
                uses: Some(12),
                idle_ms: Some(5000.0),
            },
            retries: Retries {
                most: sending.load.retries,
                told: true,
                ..Retries::default()
            },
            grace: (GRACE_MS * 1e6) as u64,
            stop: AtomicU8::new(0),
            begun: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        });
        let (tell, told) = mpsc::sync_channel(BATCHES);
        let to = to.clone();
        threads.push(thread::spawn(move || {
            told.iter().for_each(|batch| _ = to.send((place, batch)));
        }));
        let most = sending.load.connections / fronts
            + usize::from(place < sending.load.connections % fronts);
        let seed = sending.seed ^ (place as u64 + 1);
        threads.push(thread::spawn(move || {
            let plan = Plan::new(&scenario, place, fronts);
            let engine = Engine::new(shared, plan, most, None, seed, tell);
            if let Err(e) = engine.and_then(Engine::run) {
                eprintln!("the clients of front {place} could not send: {e}");
            }
        }));
    }
    drop(to);
    for (front, batch) in from {
        heard
            .asked
            .extend(batch.iter().map(|r| record(r, front, start_us)));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    heard.asked.sort_by_key(|asked| asked.due_us);
    serde_json::to_writer(BufWriter::new(std::fs::File::create(&sending.out)?), &heard)?;
    Ok(())
}
