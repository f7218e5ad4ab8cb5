//! The five rules. Each breach tells one statement's way through every process.

use super::{Outage, way};
use crate::clients::{Asked, GRACE_MS as GRACE_MS_OF_CLIENTS, Outcome};
use crate::play::{Deed, Evidence, What};
use crate::relay::Route;
use crate::router::GRACE_MS;
use crate::script::{Known, Script};
use crate::store::{Arrived, Kind};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A rule that was broken, how often, and one case of it.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    pub rule: &'static str,
    pub times: usize,
    pub case: String,
    /// What the processes saw of that statement, in the order of time.
    pub way: Vec<String>,
}

/// How much longer clients wait than they say.
const GRACE_US: u64 = (GRACE_MS_OF_CLIENTS * 1e3) as u64;
/// A list that a relay has just carried is read by its router within this.
const READ_US: u64 = 300_000;
/// Asked to end, a router lets clients come for so long before it closes any that stands idle.
const ARRIVING_US: u64 = 400_000;
/// A close and a statement that cross on their way through a relay do so within this.
const CROSSING_US: u64 = 50_000;

pub(super) fn broken(evidence: &Evidence) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut found = |rule: &'static str, cases: Vec<(String, Option<&Asked>)>| {
        if let Some((case, statement)) = cases.first() {
            let way = statement.map_or_else(Vec::new, |asked| way::of(evidence, asked));
            broken.push(Broken {
                rule,
                times: cases.len(),
                case: case.clone(),
                way,
            });
        }
    };
    found("one final answer, in time", unanswered(evidence));
    let ends = evidence
        .crashed
        .iter()
        .map(|r| (format!("router {r} ended by itself"), None));
    let hangs = evidence
        .hung
        .iter()
        .map(|r| (format!("router {r} did not end when asked to"), None));
    found("no router crashes", ends.chain(hangs).collect());
    let effects = Effects::of(evidence);
    found("no effect twice", effects.doubled(evidence));
    found("answers are true", effects.untrue(evidence));
    found("drains' grace", drains(evidence));
    found(
        "no cold node pushed over",
        cold(evidence)
            .into_iter()
            .map(|case| (case, None))
            .collect(),
    );
    let stale =
        evidence.heard.asked.iter().filter(|asked| {
            asked.stale && matches!(asked.outcome, Outcome::Completed | Outcome::Late)
        });
    found(
        "no stale read",
        stale
            .map(|a| {
                (
                    format!("{} did not show its session's write", a.id()),
                    Some(a),
                )
            })
            .collect(),
    );
    broken
}

/// Statements that a router had taken and did not answer, where it could have.
fn unanswered(evidence: &Evidence) -> Vec<(String, Option<&Asked>)> {
    let outages = evidence.outages();
    let hit = |asked: &Asked| {
        let led = evidence.routes.iter().filter(|route| {
            route.front == asked.front
                && route.from_us <= asked.ended_us
                && route.to_us >= asked.due_us
        });
        let hit = |o: &Outage, router| {
            o.router == router && o.from_us <= asked.ended_us && o.to_us >= asked.due_us
        };
        led.into_iter()
            .any(|route| outages.iter().any(|outage| hit(outage, route.router)))
    };
    let reached: HashSet<&str> = evidence.seen.arrivals.iter().map(|a| base(&a.id)).collect();
    // A router on its way out closes what stands idle: what was sent just then crossed the close, unread, and its
    // client may send it once more. What a node has seen of it was taken.
    let crossed = |asked: &Asked| {
        let of = |d: &&Deed| d.what == What::Ended && d.at_us <= asked.ended_us;
        let mut ending = evidence
            .deeds
            .iter()
            .filter(of)
            .filter_map(|d| Some((d.router?, d.at_us)));
        let route = |router: usize, closing: u64| {
            let led = |r: &&Route| r.front == asked.front && r.router == router;
            let ended =
                |r: &Route| r.to_us >= closing && r.to_us.abs_diff(asked.ended_us) <= CROSSING_US;
            evidence.routes.iter().filter(led).any(ended)
        };
        let brief = asked
            .asked_us
            .is_some_and(|at| asked.ended_us - at.min(asked.ended_us) <= CROSSING_US);
        brief
            && !reached.contains(asked.id().as_str())
            && ending.any(|(router, at)| route(router, at + ARRIVING_US))
    };
    let silent = |asked: &&Asked| match asked.outcome {
        // What went out in its last moments was told no time to be answered in.
        Outcome::TimedOut => asked
            .asked_us
            .is_some_and(|at| at + GRACE_US < asked.deadline_us),
        // An error would have had a first byte: its connection broke under it.
        Outcome::Aborted => asked.asked_us.is_some() && asked.first_us.is_none() && !crossed(asked),
        _ => false,
    };
    let lost = evidence
        .heard
        .asked
        .iter()
        .filter(silent)
        .filter(|asked| !hit(asked));
    lost.map(|a| (format!("{} has no final answer", a.id()), Some(a)))
        .collect()
}

/// How often each write had its effect.
struct Effects<'a>(HashMap<&'a str, usize>);

/// The statement that an attempt's id belongs to.
pub(super) fn base(id: &str) -> &str {
    let end = id.match_indices('-').nth(1).map_or(id.len(), |(at, _)| at);
    &id[..end]
}

impl<'a> Effects<'a> {
    fn of(evidence: &'a Evidence) -> Effects<'a> {
        let mut effects = HashMap::new();
        for effect in &evidence.seen.effects {
            *effects.entry(base(&effect.statement)).or_insert(0) += 1;
        }
        Effects(effects)
    }

    fn count(&self, asked: &Asked) -> usize {
        self.0.get(asked.id().as_str()).copied().unwrap_or(0)
    }

    fn doubled<'e>(&self, evidence: &'e Evidence) -> Vec<(String, Option<&'e Asked>)> {
        let twice = evidence
            .heard
            .asked
            .iter()
            .filter(|asked| asked.writes && self.count(asked) > 1);
        twice
            .map(|a| {
                (
                    format!("{} had its effect {} times", a.id(), self.count(a)),
                    Some(a),
                )
            })
            .collect()
    }

    /// Completed and not there, or rejected and there. An asynchronous store may lose what it has answered.
    fn untrue<'e>(&self, evidence: &'e Evidence) -> Vec<(String, Option<&'e Asked>)> {
        let keeps = evidence.script.store.synchronous;
        let wrong = |asked: &&Asked| {
            let there = self.count(asked) > 0;
            match asked.outcome {
                Outcome::Completed | Outcome::Late => keeps && !there,
                Outcome::Rejected | Outcome::Unsent => there,
                Outcome::Aborted | Outcome::TimedOut => false,
            }
        };
        let wrong = evidence
            .heard
            .asked
            .iter()
            .filter(|asked| asked.writes)
            .filter(wrong);
        wrong
            .map(|a| {
                (
                    format!("{} was {:?}, its effect says otherwise", a.id(), a.outcome),
                    Some(a),
                )
            })
            .collect()
    }
}

/// Statements that reached a node later than the grace allows, counted from when its router's list said that it
/// drains. A router that starts knows what its start list says, from its start.
fn drains(evidence: &Evidence) -> Vec<(String, Option<&Asked>)> {
    enum Event<'a> {
        List(&'a [usize]),
        Start,
        Sent(&'a Arrived),
    }
    let mut events: Vec<(u64, usize, Event<'_>)> = Vec::new();
    for (at, router, drains) in &evidence.seen.told {
        events.push((*at, *router, Event::List(drains)));
    }
    for deed in evidence
        .deeds
        .iter()
        .filter(|deed| deed.what == What::Started)
    {
        events.extend(deed.router.map(|router| (deed.at_us, router, Event::Start)));
    }
    for arrival in evidence
        .seen
        .arrivals
        .iter()
        .filter(|arrival| arrival.kind == Kind::Statement)
    {
        events.extend(
            arrival
                .router
                .map(|router| (arrival.at_us, router, Event::Sent(arrival))),
        );
    }
    events.sort_by_key(|(at, ..)| *at);
    let cut = |at: u64, router: usize| {
        let of =
            |d: &&Deed| d.router == Some(router) && d.told.starts_with("Lists") && d.at_us <= at;
        let last = evidence.deeds.iter().rfind(of);
        last.is_some_and(|deed| deed.what == What::Faulted)
    };
    let mut told: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut late = Vec::new();
    for (at, router, event) in events {
        match event {
            // What a relay holds or loses was not told.
            Event::List(_) if cut(at, router) => {}
            Event::List(drains) => {
                told.retain(|(of, node), _| *of != router || drains.contains(node));
                for node in drains {
                    told.entry((router, *node)).or_insert(at);
                }
            }
            Event::Start if evidence.script.known == Known::First => {
                told.retain(|(of, _), _| *of != router);
            }
            Event::Start => told
                .iter_mut()
                .filter(|(key, _)| key.0 == router)
                .for_each(|(_, since)| *since = at),
            Event::Sent(arrival) => {
                let since = told.get(&(router, arrival.node));
                let most = GRACE_MS * 1000 + READ_US;
                if since.is_some_and(|since| at > since + most) {
                    let asked = evidence
                        .heard
                        .asked
                        .iter()
                        .find(|a| a.id() == base(&arrival.id));
                    let node = arrival.node;
                    late.push((
                        format!("{} reached node {node}, which drains", arrival.id),
                        asked,
                    ));
                }
            }
        }
    }
    late
}

/// What a cold node may be sent over the time in which it would fall over.
fn bound(script: &Script, since_us: u64) -> f64 {
    let s = &script.store;
    let warmed = (since_us as f64 / 1e3 / (s.cold_ms as f64).max(1.0)).min(1.0);
    let warmth = s.cold_from + (1.0 - s.cold_from) * warmed;
    s.overload_factor * warmth * s.capacity() * s.fall_ms as f64 / 1e3
}

/// For each start of a node: the most that it was sent within that time, as a share of what it bears, and where.
pub(super) fn coldest(evidence: &Evidence) -> Vec<(usize, f64)> {
    let script = &evidence.script;
    let (window, cold) = (script.store.fall_ms * 1000, script.store.cold_ms * 1000);
    let of = |&(node, born): &(usize, u64)| {
        let sent = evidence
            .seen
            .arrivals
            .iter()
            .filter(|a| a.node == node && a.kind == Kind::Statement);
        let times: Vec<u64> = sent
            .map(|a| a.at_us)
            .filter(|at| (born..born + cold).contains(at))
            .collect();
        let share = |(last, at): (usize, &u64)| {
            let first = times.partition_point(|t| *t + window <= *at);
            (last + 1 - first) as f64 / bound(script, at - born)
        };
        (
            node,
            times.iter().enumerate().map(share).fold(0.0, f64::max),
        )
    };
    evidence.seen.born.iter().map(of).collect()
}

fn cold(evidence: &Evidence) -> Vec<String> {
    let over = coldest(evidence)
        .into_iter()
        .filter(|(_, share)| *share > 1.0);
    over.map(|(node, share)| format!("node {node} was sent {share:.2} times what it bears"))
        .collect()
}
