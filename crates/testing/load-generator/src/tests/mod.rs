//! What the tests share.

mod arrivals;
mod attempts;
mod figures;
mod lines;
mod record;
mod replay;
mod search;
mod sending;
mod traces;

use crate::attempts::Outcome;
use crate::run::{Played, Setup, play};
use crate::scenario::Scenario;
use badgerstream_store_emulator::scripted::{Scripted, Turn};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub(crate) const SCENARIO: &str = "{target: '127.0.0.1:1', workloads: [
  {name: 'read', share: 3, zipf: 1.2, keys: 50, patience_ms: 5000, slo_ms: 2000},
  {name: 'write', share: 1, writes: true, marked: true, groups: 3, patience_ms: 5000, slo_ms: 2000, customer: 'acme'}],
 phases: [{for_ms: 1000, shape: {constant: {per_s: 200}}}]}";

pub(crate) fn scenario() -> Scenario {
    Scenario::read(SCENARIO).unwrap()
}

/// Against a server that goes by this script; clients wait for `patience_ms`.
pub(crate) fn played(
    mut scenario: Scenario,
    patience_ms: f64,
    script: impl Fn(u64, &str) -> Turn + Send + Sync + 'static,
) -> (Played, Scripted) {
    let server = Scripted::start(true, script).unwrap();
    scenario.target = server.address;
    scenario
        .workloads
        .iter_mut()
        .for_each(|w| w.patience_ms = patience_ms);
    (play(&scenario, &Setup::default(), None).unwrap(), server)
}

pub(crate) fn of(played: &Played, outcome: Outcome) -> u64 {
    let o = played.summary.outcomes();
    match outcome {
        Outcome::Completed => o.completed,
        Outcome::Late => o.late,
        Outcome::Rejected => o.rejected,
        Outcome::Aborted => o.aborted,
        Outcome::TimedOut => o.timed_out,
        Outcome::Unsent => o.unsent,
    }
}

/// A place of its own under the system's folder for such.
pub(crate) fn place(name: &str) -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let folder =
        std::env::temp_dir().join(format!("badgerstream-load-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder.join(name)
}

pub(crate) fn shared(scenario: Scenario) -> Arc<Scenario> {
    Arc::new(scenario)
}
