//! What the decisions believe of each node beside what stands on the sockets, a line a node and second at `debug`,
//! and what was given up by which rule (`badgerstream::tally`).

use crate::execute::Router;
use crate::pool::Pool;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

const PERIOD: Duration = Duration::from_secs(1);

/// Tells for as long as the router runs, if anybody wants to know.
pub(crate) async fn tell(desk: Rc<Router>, pool: Rc<Pool>) {
    let wanted = || {
        tracing::enabled!(tracing::Level::DEBUG)
            || tracing::enabled!(target: "badgerstream::tally", tracing::Level::DEBUG)
    };
    while wanted() {
        Timer::after(PERIOD).await;
        desk.tell(|instance, now| {
            instance.count_waiting(now);
            tracing::debug!(target: "badgerstream::tally", "tally {}", instance.tally.log_line());
            for (id, node) in &instance.nodes {
                let (busy, idle) = pool.stand(*id);
                let group = &instance.groups[&node.group];
                tracing::debug!(
                    "node {id} of group {}: {:?}{}, {} out and {busy} busy, {idle} idle, room {:.1}, strain {:.2}, \
                     pace {:.3} s, heard {:.2} s ago, position {:.2} s old, {} faults, suspect {}, {} wait for the group",
                    node.group,
                    node.status,
                    if group.primary == Some(*id) { " primary" } else { "" },
                    node.in_flight,
                    node.concurrency_limit,
                    node.congestion,
                    node.latency_s,
                    now - node.last_heard_at,
                    now - node.lsn,
                    node.faults,
                    node.suspected_at.is_some(),
                    group.waiting.len(),
                );
            }
        });
    }
}
