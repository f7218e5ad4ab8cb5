//! What became of the statements. Latency counts from when each was due, whatever held it up; the time of the
//! service alone stands beside it.

use crate::attempts::{OUTCOMES, Outcome};
use crate::engine::{Record, Sockets};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A generator later than this at the 99th percentile was itself the bottleneck; milliseconds.
pub const MOST_LATE_MS: f64 = 5.0;
/// Groups that are told of by themselves; the others are counted together under the last number.
const GROUPS: u16 = 256;

/// Microseconds, to a tenth of a percent; it grows with what it holds.
pub type Times = Histogram<u32>;

pub fn times() -> Times {
    // Three digits are among those that the library offers.
    Histogram::new(3).expect("three digits")
}

/// Nanoseconds as microseconds, none of which is nothing.
pub fn micros(nanos: u64) -> u64 {
    (nanos / 1000).clamp(1, u64::MAX >> 1)
}

fn record(times: &mut Times, nanos: u64) {
    // A histogram that may grow takes any value of this size.
    let _ = times.record(micros(nanos));
}

/// A distribution in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl Percentiles {
    pub fn of(times: &Times) -> Percentiles {
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        Percentiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: times.max() as f64 / 1e3,
        }
    }
}

/// How many ended in which way; the sum is all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Outcomes {
    pub completed: u64,
    pub late: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub timed_out: u64,
    pub unsent: u64,
}

impl Outcomes {
    pub fn one(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Completed => &mut self.completed,
            Outcome::Late => &mut self.late,
            Outcome::Rejected => &mut self.rejected,
            Outcome::Aborted => &mut self.aborted,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::Unsent => &mut self.unsent,
        } += 1;
    }

    pub fn all(&self) -> u64 {
        self.completed + self.late + self.rejected + self.aborted + self.timed_out + self.unsent
    }
}

struct Of {
    outcomes: Outcomes,
    latency: Times,
    service: Times,
    by_outcome: [Option<Times>; OUTCOMES.len()],
    attempts: u64,
    resent: u64,
    stale: u64,
}

impl Default for Of {
    fn default() -> Of {
        Of {
            outcomes: Outcomes::default(),
            latency: times(),
            service: times(),
            by_outcome: Default::default(),
            attempts: 0,
            resent: 0,
            stale: 0,
        }
    }
}

impl Of {
    fn ended(&mut self, r: &Record) {
        let latency = r.ended.saturating_sub(r.work.due);
        self.outcomes.one(r.outcome);
        record(&mut self.latency, latency);
        record(
            self.by_outcome[r.outcome as usize].get_or_insert_with(times),
            latency,
        );
        if let Some(service) = service(r) {
            record(&mut self.service, service);
        }
        self.attempts += u64::from(r.attempts);
        self.resent += u64::from(r.resent);
        self.stale += u64::from(r.stale);
    }
}

/// From the last byte sent to the last one that came, of what was answered.
pub fn service(r: &Record) -> Option<u64> {
    let answered = r.first.is_some() && r.outcome != Outcome::TimedOut;
    r.asked
        .filter(|_| answered)
        .map(|asked| r.ended.saturating_sub(asked))
}

/// All of a run.
pub struct Tally {
    workloads: Vec<String>,
    of: Vec<Of>,
    groups: BTreeMap<u16, (Outcomes, Times)>,
    lateness: Times,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OfWorkload {
    pub workload: String,
    pub statements: u64,
    #[serde(flatten)]
    pub outcomes: Outcomes,
    /// Sent in all, by each one's own retries.
    pub attempts: u64,
    /// Sent once more as the connection was being closed by the server.
    pub resent: u64,
    /// Reads of sessions that did not show what their session had written.
    pub stale: u64,
    /// From when a statement was due, milliseconds.
    pub latency_ms: Percentiles,
    /// From its last byte sent to the last one that came, milliseconds.
    pub service_ms: Percentiles,
    /// Latency of those with each outcome.
    pub latency_by_outcome_ms: BTreeMap<String, Percentiles>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OfGroup {
    pub group: u16,
    #[serde(flatten)]
    pub outcomes: Outcomes,
    pub latency_ms: Percentiles,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct OfConnections {
    pub opened: u64,
    pub most_open: u64,
    pub refused: u64,
    /// Not opened, as the system had no descriptor or port left.
    pub short: u64,
    pub broken: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Summary {
    /// The generator was the bottleneck: the figures are not the server's.
    pub bottleneck: bool,
    /// In words, where it was.
    pub why: Vec<String>,
    /// `open`, or `closed`, which hides stalls and is there for comparison only.
    pub loop_kind: String,
    /// It was stopped before its end.
    pub interrupted: bool,
    pub seconds: f64,
    pub statements: u64,
    /// How late the generator itself began statements, milliseconds.
    pub own_lateness_ms: Percentiles,
    pub connections: OfConnections,
    pub workloads: Vec<OfWorkload>,
    pub groups: Vec<OfGroup>,
}

impl Summary {
    /// Of all workloads together.
    pub fn outcomes(&self) -> Outcomes {
        let mut all = Outcomes::default();
        for w in &self.workloads {
            all.completed += w.outcomes.completed;
            all.late += w.outcomes.late;
            all.rejected += w.outcomes.rejected;
            all.aborted += w.outcomes.aborted;
            all.timed_out += w.outcomes.timed_out;
            all.unsent += w.outcomes.unsent;
        }
        all
    }
}

impl Tally {
    pub fn new(workloads: &[String]) -> Tally {
        Tally {
            workloads: workloads.to_vec(),
            of: workloads.iter().map(|_| Of::default()).collect(),
            groups: BTreeMap::new(),
            lateness: times(),
        }
    }

    pub fn ended(&mut self, r: &Record) {
        record(&mut self.lateness, r.begun.saturating_sub(r.work.due));
        if let Some(of) = self.of.get_mut(usize::from(r.work.workload)) {
            of.ended(r);
        }
        let group = self
            .groups
            .entry(r.work.group.min(GROUPS))
            .or_insert_with(|| (Outcomes::default(), times()));
        group.0.one(r.outcome);
        record(&mut group.1, r.ended.saturating_sub(r.work.due));
    }

    /// All latencies of all workloads.
    pub fn latency(&self) -> Times {
        let mut all = times();
        for of in &self.of {
            // The same digits: one that grows takes all of another.
            let _ = all.add(&of.latency);
        }
        all
    }

    pub fn summary(&self, run: &Run) -> Summary {
        let own = Percentiles::of(&self.lateness);
        let of = |(of, name): (&Of, &String)| OfWorkload {
            workload: name.clone(),
            statements: of.outcomes.all(),
            outcomes: of.outcomes,
            attempts: of.attempts,
            resent: of.resent,
            stale: of.stale,
            latency_ms: Percentiles::of(&of.latency),
            service_ms: Percentiles::of(&of.service),
            latency_by_outcome_ms: OUTCOMES
                .iter()
                .filter_map(|o| {
                    Some((
                        o.name().to_string(),
                        Percentiles::of(of.by_outcome[*o as usize].as_ref()?),
                    ))
                })
                .collect(),
        };
        let mut why = run.problems.clone();
        if own.p99 > MOST_LATE_MS && !run.closed {
            why.push(format!("it began statements {:.1} ms late at p99", own.p99));
        }
        if run.sockets.short > 0 {
            why.push(format!(
                "the system had no descriptor or port for {} connections",
                run.sockets.short
            ));
        }
        let s = &run.sockets;
        Summary {
            bottleneck: !why.is_empty(),
            why,
            loop_kind: if run.closed { "closed" } else { "open" }.to_string(),
            interrupted: run.interrupted,
            seconds: run.seconds,
            statements: self.of.iter().map(|of| of.outcomes.all()).sum(),
            own_lateness_ms: own,
            connections: OfConnections {
                opened: s.opened,
                most_open: s.most_open,
                refused: s.refused,
                short: s.short,
                broken: s.broken,
            },
            workloads: self.of.iter().zip(&self.workloads).map(of).collect(),
            groups: self
                .groups
                .iter()
                .map(|(group, (outcomes, times))| OfGroup {
                    group: *group,
                    outcomes: *outcomes,
                    latency_ms: Percentiles::of(times),
                })
                .collect(),
        }
    }
}

/// What is known of a run beside its statements.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub closed: bool,
    pub interrupted: bool,
    pub seconds: f64,
    pub sockets: Sockets,
    /// What the generator itself could not do.
    pub problems: Vec<String>,
}
