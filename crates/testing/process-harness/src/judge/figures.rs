//! What a run came to: served worth over time, how much arrived where and in how short a time, and how long it
//! took until all was as before.

use super::rules;
use crate::clients::{Asked, Outcome};
use crate::play::{Evidence, What};
use crate::router::WORKLOADS;
use crate::store::Kind;
use serde::Serialize;
use std::collections::BTreeSet;

/// Bursts are counted over any so long a time, and windows of the report are as long.
const WINDOW_US: u64 = 100_000;
/// Full service: so much of the former share, over so long, and from its first second on.
const FULL: f64 = 0.95;
const FULL_FOR_US: u64 = 3_000_000;
const SECOND_US: u64 = 1_000_000;

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub asked: usize,
    pub completed: usize,
    pub late: usize,
    pub rejected: usize,
    pub aborted: usize,
    pub timed_out: usize,
    pub unsent: usize,
    /// The share of the worth asked for that was completed in time, before the first fault and behind it.
    pub served_calm: f64,
    pub served_after: f64,
    /// When the first thing went wrong and when the last router was started, since the clients began.
    pub fault_at_ms: Option<f64>,
    pub last_start_ms: Option<f64>,
    /// From the last start, or else the last deed, to full service; none where it was not reached.
    pub full_service_ms: Option<f64>,
    /// The largest over all nodes in any 100 ms behind the first fault: connections asked for, probes; calls for
    /// lists at all discoveries together.
    pub burst_opened: usize,
    pub burst_probes: usize,
    pub burst_lists: usize,
    /// The mean of connections asked for, a node and 100 ms, in the calm.
    pub calm_opened: f64,
    /// The most connections that one node held in the calm.
    pub calm_held: usize,
    /// Connections turned away as their node was full.
    pub turned_away: usize,
    pub opened: usize,
    pub probes: usize,
    /// Rejected and aborted, probes and connections asked for, for each statement that was asked.
    pub refused_share: f64,
    pub probes_each: f64,
    pub opened_each: f64,
    /// The least evenness of what clients were served of what they asked, front by front, over any three seconds
    /// from the third second behind the last start or deed on (Jain's index).
    pub evenness_least: Option<f64>,
    /// Pairs of a router and a node between which statements went in the calm.
    pub pairs_calm: usize,
    /// Executions that reached nodes for each statement that was asked.
    pub executions_each: f64,
    /// The most that a cold node was sent, as a share of what it bears; 0 where none was cold.
    pub cold_most: f64,
    /// How even the routers' shares of executions are behind full service (Jain's index, 1 for all alike).
    pub evenness: Option<f64>,
    /// Executions of each router behind the last start.
    pub shares: Vec<usize>,
    pub nodes: Vec<OfNode>,
    pub windows: Vec<Window>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct OfNode {
    pub opened: usize,
    pub burst_opened: usize,
    pub burst_probes: usize,
    pub turned_away: usize,
    pub most_held: usize,
    pub executions: usize,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    pub at_ms: f64,
    /// Worth that was due in it, and how much of that was completed in time.
    pub due: f64,
    pub served: f64,
    /// Connections asked for at the node with the most of them, and at all; probes and calls for lists at all.
    pub opened_most: usize,
    pub opened: usize,
    pub probes: usize,
    pub lists: usize,
}

/// The most of these moments, in order, that lie within any window.
pub(super) fn burst(times: &[u64]) -> usize {
    let most =
        |(last, at): (usize, &u64)| last + 1 - times.partition_point(|t| *t + WINDOW_US <= *at);
    times.iter().enumerate().map(most).max().unwrap_or(0)
}

fn worth(asked: &Asked) -> f64 {
    WORKLOADS[asked.workload].1
}

/// The share of the worth due between two moments that was completed in time; none where nothing was due.
fn served(asked: &[Asked], from: u64, to: u64) -> Option<f64> {
    let first = asked.partition_point(|a| a.due_us < from);
    let due = asked[first..].iter().take_while(|a| a.due_us < to);
    let (all, done) = due.fold((0.0, 0.0), |(all, done), a| {
        let done = done
            + if a.outcome == Outcome::Completed {
                worth(a)
            } else {
                0.0
            };
        (all + worth(a), done)
    });
    (all > 0.0).then(|| done / all)
}

pub(super) fn of(evidence: &Evidence) -> Figures {
    let (asked, start) = (&evidence.heard.asked, evidence.heard.start_us);
    let script = &evidence.script;
    let ms = |at: u64| (at as f64 - start as f64) / 1e3;
    let calm = (start + script.calm_ms * 500, start + script.calm_ms * 1000);
    let end = start + script.for_ms * 1000;
    let deeds = || {
        evidence
            .deeds
            .iter()
            .filter(|deed| deed.at_us >= start && deed.what != What::Admitted)
    };
    let fault = deeds().next().map(|deed| deed.at_us);
    let last_start = deeds()
        .rfind(|deed| deed.what == What::Started)
        .map(|deed| deed.at_us);
    let behind = last_start.or(deeds().next_back().map(|deed| deed.at_us));
    let served_calm = served(asked, calm.0, calm.1).unwrap_or(0.0);
    let enough = |from: u64, long: u64| {
        served(asked, from, from + long).is_some_and(|share| share >= FULL * served_calm)
    };
    let full = behind.and_then(|behind| {
        let mut tries = (0..)
            .map(|step| behind + step * WINDOW_US)
            .take_while(|at| at + FULL_FOR_US <= end);
        tries
            .find(|at| enough(*at, SECOND_US) && enough(*at, FULL_FOR_US))
            .map(|at| (at, at - behind))
    });
    let count = |became: Outcome| asked.iter().filter(|a| a.outcome == became).count();
    let mut figures = Figures {
        asked: asked.len(),
        completed: count(Outcome::Completed),
        late: count(Outcome::Late),
        rejected: count(Outcome::Rejected),
        aborted: count(Outcome::Aborted),
        timed_out: count(Outcome::TimedOut),
        unsent: count(Outcome::Unsent),
        served_calm,
        served_after: fault
            .and_then(|fault| served(asked, fault, end))
            .unwrap_or(served_calm),
        fault_at_ms: fault.map(ms),
        last_start_ms: last_start.map(ms),
        full_service_ms: full.map(|(_, took)| took as f64 / 1e3),
        cold_most: rules::coldest(evidence)
            .into_iter()
            .map(|(_, share)| share)
            .fold(0.0, f64::max),
        ..Figures::default()
    };
    arrivals(evidence, fault.unwrap_or(calm.1), calm, &mut figures);
    let lists: Vec<u64> = evidence.seen.calls.iter().map(|call| call.0).collect();
    figures.burst_lists = burst(&behind_only(&lists, fault.unwrap_or(calm.1)));
    figures.shares = shares(evidence, behind.unwrap_or(start));
    figures.evenness = full.and_then(|(at, _)| evenness(&shares(evidence, at)));
    figures.windows = windows(evidence, &lists);
    let each = |count: usize| count as f64 / figures.asked.max(1) as f64;
    figures.refused_share = each(figures.rejected + figures.aborted);
    figures.probes_each = each(figures.probes);
    figures.opened_each = each(figures.opened);
    figures.evenness_least =
        evenness_of_fronts(evidence, behind.unwrap_or(calm.0) + FULL_FOR_US, end);
    let sent = evidence
        .seen
        .arrivals
        .iter()
        .filter(|a| a.kind == Kind::Statement);
    let calmly = sent.filter(|a| (calm.0..calm.1).contains(&a.at_us));
    figures.pairs_calm = calmly
        .map(|a| (a.router, a.node))
        .collect::<BTreeSet<_>>()
        .len();
    figures
}

/// Fronts that ask for less worth than this over the time say nothing of fairness.
const LEAST_DUE: f64 = 20.0;

fn evenness_of_fronts(evidence: &Evidence, from: u64, to: u64) -> Option<f64> {
    let asked = &evidence.heard.asked;
    let of = |at: u64| {
        let first = asked.partition_point(|a| a.due_us < at);
        let mut fronts = vec![(0.0, 0.0); evidence.script.routers];
        for a in asked[first..]
            .iter()
            .take_while(|a| a.due_us < at + FULL_FOR_US)
        {
            if let Some(front) = fronts.get_mut(a.front) {
                front.0 += worth(a);
                front.1 += if a.outcome == Outcome::Completed {
                    worth(a)
                } else {
                    0.0
                };
            }
        }
        let shares: Vec<f64> = fronts
            .iter()
            .filter(|f| f.0 >= LEAST_DUE)
            .map(|f| f.1 / f.0)
            .collect();
        jain(&shares)
    };
    let starts = (0..)
        .map(|step| from + step * SECOND_US)
        .take_while(|at| at + FULL_FOR_US <= to);
    starts.filter_map(of).reduce(f64::min)
}

/// Jain's index: 1 for all alike, 1 / n where one has all.
fn jain(shares: &[f64]) -> Option<f64> {
    let (sum, squares) = shares
        .iter()
        .fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    (squares > 0.0).then(|| sum * sum / (shares.len() as f64 * squares))
}

fn behind_only(times: &[u64], from: u64) -> Vec<u64> {
    times[times.partition_point(|at| *at < from)..].to_vec()
}

fn arrivals(evidence: &Evidence, fault: u64, calm: (u64, u64), figures: &mut Figures) {
    let nodes = evidence.script.store.nodes();
    let all = &evidence.seen.arrivals;
    let mut calm_opened = 0;
    for node in 0..nodes {
        let mine = || all.iter().filter(move |a| a.node == node);
        let asks = |a: &&crate::store::Arrived| matches!(a.kind, Kind::Opened | Kind::Full);
        let opened: Vec<u64> = mine().filter(asks).map(|a| a.at_us).collect();
        let probes: Vec<u64> = mine()
            .filter(|a| a.kind == Kind::Probe)
            .map(|a| a.at_us)
            .collect();
        let of = OfNode {
            opened: opened.len(),
            burst_opened: burst(&behind_only(&opened, fault)),
            burst_probes: burst(&behind_only(&probes, fault)),
            turned_away: mine().filter(|a| a.kind == Kind::Full).count(),
            most_held: mine().map(|a| a.held).max().unwrap_or(0),
            executions: mine().filter(|a| a.kind == Kind::Statement).count(),
        };
        calm_opened += opened
            .iter()
            .filter(|at| (calm.0..calm.1).contains(at))
            .count();
        let held = mine()
            .filter(|a| a.at_us < calm.1)
            .map(|a| a.held)
            .max()
            .unwrap_or(0);
        figures.calm_held = figures.calm_held.max(held);
        figures.burst_opened = figures.burst_opened.max(of.burst_opened);
        figures.burst_probes = figures.burst_probes.max(of.burst_probes);
        figures.turned_away += of.turned_away;
        figures.opened += of.opened;
        figures.probes += probes.len();
        figures.executions_each += of.executions as f64 / figures.asked.max(1) as f64;
        figures.nodes.push(of);
    }
    let windows = (calm.1 - calm.0) as f64 / WINDOW_US as f64;
    figures.calm_opened = calm_opened as f64 / windows / nodes as f64;
}

/// How many executions of each router reached nodes from then on.
fn shares(evidence: &Evidence, from: u64) -> Vec<usize> {
    let mut shares = vec![0; evidence.script.routers];
    let sent = evidence
        .seen
        .arrivals
        .iter()
        .filter(|a| a.kind == Kind::Statement && a.at_us >= from);
    for router in sent.filter_map(|a| a.router) {
        shares
            .get_mut(router)
            .into_iter()
            .for_each(|share| *share += 1);
    }
    shares
}

fn evenness(shares: &[usize]) -> Option<f64> {
    jain(&shares.iter().map(|share| *share as f64).collect::<Vec<_>>())
}

fn windows(evidence: &Evidence, lists: &[u64]) -> Vec<Window> {
    let start = evidence.heard.start_us;
    let count = (evidence.script.for_ms * 1000).div_ceil(WINDOW_US) as usize;
    let place = |at: u64| {
        at.checked_sub(start)
            .map(|since| (since / WINDOW_US) as usize)
            .filter(|i| *i < count)
    };
    let at_ms = |i: usize| i as f64 * WINDOW_US as f64 / 1e3;
    let mut windows: Vec<_> = (0..count)
        .map(|i| Window {
            at_ms: at_ms(i),
            ..Window::default()
        })
        .collect();
    for asked in &evidence.heard.asked {
        if let Some(window) = place(asked.due_us).and_then(|i| windows.get_mut(i)) {
            window.due += worth(asked);
            window.served += if asked.outcome == Outcome::Completed {
                worth(asked)
            } else {
                0.0
            };
        }
    }
    let mut opened = vec![vec![0; evidence.script.store.nodes()]; count];
    for arrival in &evidence.seen.arrivals {
        let Some(i) = place(arrival.at_us) else {
            continue;
        };
        match arrival.kind {
            Kind::Opened | Kind::Full => opened[i][arrival.node] += 1,
            Kind::Probe => windows[i].probes += 1,
            Kind::Statement => {}
        }
    }
    for (window, opened) in windows.iter_mut().zip(opened) {
        window.opened = opened.iter().sum();
        window.opened_most = opened.into_iter().max().unwrap_or(0);
    }
    lists
        .iter()
        .filter_map(|at| place(*at))
        .for_each(|i| windows[i].lists += 1);
    windows
}
