//! What is sent: a scenario's statements in the order in which they are due. Each is drawn from the seed and its
//! own number alone, so that threads may share the work; what a session does later is drawn with its write.

use crate::arrivals::{Arrival, Arrivals};
use crate::scenario::{LARGEST, Scenario, Size, Workload};
use crate::soonest::Soonest;
use crate::work::Work;
use std::sync::Arc;

/// A session's reads have numbers of their own, so far beyond the write's.
const READ_STRIDE: u64 = 1 << 44;
/// Standard deviations from the median to the 99th percentile of a normal distribution.
const TO_P99: f64 = 2.326_347_874;

/// Draws workloads by share, customers and keys by popularity.
pub struct Traffic {
    scenario: Arc<Scenario>,
    /// Shares added up, to 1.
    shares: Vec<f64>,
    /// Popularity of keys and customers of each workload, added up, to 1; empty where all are alike.
    keys: Vec<Vec<f64>>,
    customers: Vec<Vec<f64>>,
    /// Which workload follows the one at this place.
    followed: Vec<Vec<usize>>,
}

fn added_up(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sums: Vec<f64> = parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect();
    let whole = sums.last().copied().unwrap_or(1.0);
    sums.iter_mut().for_each(|sum| *sum /= whole);
    sums
}

fn drawn(sums: &[f64], lot: f64) -> usize {
    sums.partition_point(|sum| *sum <= lot)
        .min(sums.len().saturating_sub(1))
}

fn popularity(count: usize, exponent: f64) -> Vec<f64> {
    if exponent > 0.0 && count > 1 {
        added_up((1..=count).map(|rank| (rank as f64).powf(-exponent)))
    } else {
        Vec::new()
    }
}

fn nanos(ms: f64) -> u64 {
    (ms * 1e6) as u64
}

impl Traffic {
    pub fn new(scenario: &Arc<Scenario>) -> Traffic {
        let workloads = &scenario.workloads;
        let follows = |w: &Workload| {
            let of = |(_, other): &(usize, &Workload)| {
                other
                    .follows
                    .as_ref()
                    .is_some_and(|follows| follows.of == w.name)
            };
            workloads
                .iter()
                .enumerate()
                .filter(of)
                .map(|(place, _)| place)
                .collect()
        };
        Traffic {
            shares: added_up(workloads.iter().map(|w| w.share)),
            keys: workloads
                .iter()
                .map(|w| popularity(w.keys, w.zipf))
                .collect(),
            customers: workloads
                .iter()
                .map(|w| popularity(w.customers, 1.0))
                .collect(),
            followed: workloads.iter().map(follows).collect(),
            scenario: scenario.clone(),
        }
    }

    fn chance(&self, number: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.scenario.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Statement number `number`, which is due then, and what its session does later.
    pub fn statement(&self, number: u64, arrival: &Arrival) -> (Work, Vec<Work>) {
        let mut chance = self.chance(number);
        let lot = chance.f64();
        let released = arrival
            .release
            .filter(|(_, part)| chance.f64() < *part)
            .map(|(group, _)| group);
        // A release is read: the first workload that does so by share.
        let reads = || {
            self.scenario
                .workloads
                .iter()
                .position(|w| !w.writes && w.share > 0.0)
        };
        let place = released
            .and_then(|_| reads())
            .unwrap_or_else(|| drawn(&self.shares, lot));
        let w = &self.scenario.workloads[place];
        let mut work = self.base(w, place, number, (arrival.at * 1e9) as u64);
        let key = self.key(place, &mut chance);
        // A key stays in its group: its session's writes and reads meet there.
        (work.group, work.key) = ((key % usize::from(w.groups)) as u16, format!("k{key}"));
        work.customer = self.customer(place, &mut chance);
        work.writes = w.writes.then(|| size(w.bytes, &mut chance));
        if let Some(bunch) = arrival.bunch {
            let mut chance = self.chance(bunch.wrapping_add(READ_STRIDE << 8));
            work.customer = self.customer(place, &mut chance);
            work.group = chance.u16(0..w.groups);
            let row = key - key % usize::from(w.groups) + usize::from(work.group);
            work.key = format!("k{row}");
        }
        if let Some(group) = released {
            (work.group, work.key) = (group, format!("release-{group}"));
        }
        let later = self.session(place, &mut work, &mut chance);
        (work, later)
    }

    fn base(&self, w: &Workload, place: usize, number: u64, due: u64) -> Work {
        Work {
            number,
            due,
            workload: place as u16,
            marked: w.marked,
            patience: nanos(w.patience_ms),
            slo: nanos(w.slo_ms),
            ..Work::default()
        }
    }

    fn key(&self, place: usize, chance: &mut fastrand::Rng) -> usize {
        let w = &self.scenario.workloads[place];
        match w.hot {
            Some(hot) if chance.f64() < hot.share => chance.usize(0..hot.keys),
            _ => match self.keys[place].as_slice() {
                [] => chance.usize(0..w.keys),
                sums => drawn(sums, chance.f64()),
            },
        }
    }

    fn customer(&self, place: usize, chance: &mut fastrand::Rng) -> String {
        let w = &self.scenario.workloads[place];
        match self.customers[place].as_slice() {
            [] => w.customer.clone(),
            sums => format!("{}-{}", w.customer, drawn(sums, chance.f64())),
        }
    }

    /// The reads behind a write that begins a session; its record is then its own.
    fn session(&self, place: usize, work: &mut Work, chance: &mut fastrand::Rng) -> Vec<Work> {
        let mut later = Vec::new();
        for reader in &self.followed[place] {
            let w = &self.scenario.workloads[*reader];
            let Some(follows) = w
                .follows
                .as_ref()
                .filter(|follows| chance.f64() < follows.chance)
            else {
                continue;
            };
            work.session = work.number + 1;
            work.key = format!("s{:x}-{:x}", self.scenario.seed, work.number);
            let mut due = work.due;
            for _ in 0..follows.times {
                due += (-(1.0 - chance.f64()).ln() * follows.think_ms * 1e6) as u64;
                let mut read = self.base(w, *reader, 0, due);
                (read.group, read.key, read.customer) =
                    (work.group, work.key.clone(), work.customer.clone());
                (read.session, read.own, read.check) = (work.session, true, follows.check);
                read.number = work.number + READ_STRIDE * (later.len() as u64 + 1);
                later.push(read);
            }
        }
        later
    }
}

fn size(size: Size, chance: &mut fastrand::Rng) -> u32 {
    match size {
        Size::Always(bytes) => bytes as u32,
        Size::Drawn { median, p99 } => {
            // Box and Muller's normal variate.
            let normal = (-2.0 * (1.0 - chance.f64()).ln()).sqrt()
                * (std::f64::consts::TAU * chance.f64()).cos();
            let bytes = median * ((p99 / median).ln() / TO_P99 * normal).exp();
            bytes.clamp(1.0, LARGEST as f64) as u32
        }
    }
}

/// A thread's part of a scenario, in the order in which it is due. Sessions stay on one thread.
pub struct Plan {
    traffic: Traffic,
    arrivals: Arrivals,
    coming: Option<(u64, Arrival)>,
    number: u64,
    part: (u64, u64),
    /// What sessions do later.
    later: Soonest<Work>,
}

impl Plan {
    /// Part `place` of `threads`.
    pub fn new(scenario: &Arc<Scenario>, place: usize, threads: usize) -> Plan {
        let mut plan = Plan {
            traffic: Traffic::new(scenario),
            arrivals: Arrivals::new(&scenario.phases, scenario.seed),
            coming: None,
            number: 0,
            part: (place as u64, threads as u64),
            later: Soonest::default(),
        };
        plan.advance();
        plan
    }

    fn advance(&mut self) {
        self.coming = None;
        for arrival in self.arrivals.by_ref() {
            let number = self.number;
            self.number += 1;
            if number % self.part.1 == self.part.0 {
                self.coming = Some((number, arrival));
                return;
            }
        }
    }
}

impl Iterator for Plan {
    type Item = Work;

    fn next(&mut self) -> Option<Work> {
        // Whole nanoseconds on both sides: exact in an f64 for a hundred days.
        let coming = self.coming.map(|(_, arrival)| (arrival.at * 1e9).floor());
        if self
            .later
            .at()
            .is_some_and(|later| coming.is_none_or(|coming| later < coming))
        {
            return self.later.pop();
        }
        let (number, arrival) = self.coming?;
        self.advance();
        let (work, later) = self.traffic.statement(number, &arrival);
        for read in later {
            self.later.push(read.due as f64, read.number, read);
        }
        Some(work)
    }
}
