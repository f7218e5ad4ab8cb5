//! One statement's way through every process, in the order of time.

use super::rules::base;
use crate::clients::Asked;
use crate::play::{Evidence, What};

/// Deeds so long before it was due are told, too: what has hit it may lie before it.
const BEFORE_US: u64 = 1_500_000;

pub(super) fn of(evidence: &Evidence, asked: &Asked) -> Vec<String> {
    let start = evidence.heard.start_us;
    let ms = |at: u64| (at as f64 - start as f64) / 1e3;
    let (id, mut lines) = (asked.id(), Vec::new());
    let mut say = |at: u64, what: String| lines.push((at, format!("{:10.1} ms  {what}", ms(at))));
    let workload = crate::router::WORKLOADS[asked.workload].0;
    say(
        asked.due_us,
        format!(
            "client of front {}: {workload} {id} is due, group {}, key {}",
            asked.front, asked.group, asked.key
        ),
    );
    for (at, what) in [
        (asked.sent_us, "first sent"),
        (asked.asked_us, "last sent"),
        (asked.first_us, "first byte of the answer"),
    ] {
        at.into_iter()
            .for_each(|at| say(at, format!("client: {what}")));
    }
    say(
        asked.ended_us,
        format!(
            "client: {:?} after {} attempts",
            asked.outcome, asked.attempts
        ),
    );
    let within = |from: u64, to: u64| from <= asked.ended_us && to >= asked.due_us;
    for route in evidence
        .routes
        .iter()
        .filter(|r| r.front == asked.front && within(r.from_us, r.to_us))
    {
        say(
            route.from_us,
            format!(
                "front {}: a connection to router {}, until {:.1} ms",
                route.front,
                route.router,
                ms(route.to_us)
            ),
        );
    }
    for arrival in evidence.seen.arrivals.iter().filter(|a| base(&a.id) == id) {
        let from = arrival
            .router
            .map_or("somebody".to_string(), |router| format!("router {router}"));
        say(
            arrival.at_us,
            format!("node {}: {} from {from}", arrival.node, arrival.id),
        );
    }
    let led = |router: Option<usize>| {
        let of = |router| {
            evidence
                .routes
                .iter()
                .any(|r| r.front == asked.front && r.router == router && within(r.from_us, r.to_us))
        };
        router.is_none_or(of)
    };
    let near = |at: u64| at + BEFORE_US >= asked.due_us && at <= asked.ended_us;
    for deed in evidence
        .deeds
        .iter()
        .filter(|deed| near(deed.at_us) && led(deed.router))
    {
        let who = match (deed.what, deed.router) {
            (What::Store, _) | (_, None) => "store".to_string(),
            (_, Some(router)) => format!("router {router}"),
        };
        say(deed.at_us, format!("{who}: {:?} {}", deed.what, deed.told));
    }
    for effect in evidence
        .seen
        .effects
        .iter()
        .filter(|effect| base(&effect.statement) == id)
    {
        say(
            asked.ended_us,
            format!(
                "ledger: group {} has the effect of {}",
                effect.group, effect.statement
            ),
        );
    }
    lines.sort_by_key(|(at, _)| *at);
    lines.into_iter().map(|(_, line)| line).collect()
}
