//! Periodic debug log: the routing state and connection counts of each node, and the counts of statements given up
//! by each rule (target `badgerstream::tally`).

use crate::execute::StatementDispatcher;
use crate::pool::Pool;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs once per interval while the router runs and debug logging is enabled for one of the targets.
pub(crate) async fn log_periodically(dispatcher: Rc<StatementDispatcher>, pool: Rc<Pool>) {
    let is_enabled = || {
        tracing::enabled!(tracing::Level::DEBUG)
            || tracing::enabled!(target: "badgerstream::tally", tracing::Level::DEBUG)
    };
    while is_enabled() {
        Timer::after(LOG_INTERVAL).await;
        dispatcher.update(|instance, now| {
            instance.count_waiting(now);
            tracing::debug!(target: "badgerstream::tally", "tally {}", instance.tally.log_line());
            for (id, node) in &instance.nodes {
                let (busy, idle) = pool.connection_counts(*id);
                let group = &instance.groups[&node.group];
                tracing::debug!(
                    "node {id} of group {}: {:?}{}, {} executions in flight, {busy} connections busy, {idle} idle, \
                     concurrency limit {:.1}, congestion {:.2}, latency {:.3} s, last heard {:.2} s ago, \
                     position {:.2} s old, {} faults, suspect {}, {} statements waiting for the group",
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
