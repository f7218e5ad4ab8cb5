//! The figures of a router.

use super::{Labels, Snapshot};
use crate::clock;
use crate::edge::Edge;
use crate::view::SharedView;

/// Adds what the data plane and the view tell.
pub(super) fn add(snapshot: &mut Snapshot, edge: &Edge, shared: &SharedView) {
    let now = clock::now();
    add_statements(snapshot, edge);
    add_pools(snapshot, edge);
    let view = shared.view.borrow();
    snapshot.gauge(
        "router_lease_remaining_seconds",
        "How long primaries may still be used; 0 without a lease",
        (view.leased_until() - now).max(0.0),
    );
    snapshot.gauge(
        "router_grants",
        "Services whose primary may be used now",
        view.grants
            .keys()
            .filter(|service| view.primary(service, now).is_some())
            .count() as f64,
    );
    snapshot.gauge(
        "router_config_epoch",
        "Version of the configuration in force; 0 before the first",
        view.config.as_ref().map_or(0, |config| config.epoch) as f64,
    );
    snapshot.gauge(
        "router_servers",
        "Database servers that are known",
        view.servers.len() as f64,
    );
    let ending = shared.shutdown_started_at.get().is_some();
    snapshot.gauge(
        "router_ending",
        "1 once the process was asked to end",
        f64::from(u8::from(ending)),
    );
    let ages = edge
        .proof_ages(now)
        .into_iter()
        .map(|(service, age)| (of_service(service), age));
    snapshot.gauges(
        "router_proof_age_seconds",
        "Age of the newest position that a service's primary answered",
        ages,
    );
}

fn add_statements(snapshot: &mut Snapshot, edge: &Edge) {
    let counts = edge.counts();
    let ended = counts.all_ended().map(|(word, end, count)| {
        (
            vec![("statement", word.to_owned()), ("end", end.to_owned())],
            count,
        )
    });
    snapshot.counters(
        "router_statements",
        "Statements of clients by first word and end",
        ended,
    );
    let placed = counts
        .placements()
        .map(|(target, count)| (vec![("target", target.to_owned())], count));
    snapshot.counters(
        "router_placements",
        "Connections that statements and transactions got, by whose they are",
        placed,
    );
    snapshot.histogram(
        "router_placement_wait_seconds",
        "How long statements and transactions waited for a connection",
        &counts.placement_wait,
    );
    snapshot.gauge(
        "router_clients",
        "Clients that are connected",
        edge.clients() as f64,
    );
    snapshot.gauge(
        "router_open_work",
        "Statements in work, and sessions inside a transaction",
        edge.open() as f64,
    );
}

fn add_pools(snapshot: &mut Snapshot, edge: &Edge) {
    let pools = edge.pool_figures();
    let connections = pools.iter().flat_map(|pool| {
        [("idle", pool.idle), ("in_use", pool.in_use)].map(|(state, count)| {
            (
                vec![
                    ("service", pool.service.clone()),
                    ("state", state.to_owned()),
                ],
                count as f64,
            )
        })
    });
    snapshot.gauges(
        "router_connections",
        "Connections to servers of a service",
        connections,
    );
    let working = pools
        .iter()
        .map(|pool| (of_service(pool.service.clone()), pool.working as f64));
    snapshot.gauges(
        "router_slots_in_use",
        "Places to work that are taken at servers of a service",
        working,
    );
    let waiting = pools
        .iter()
        .map(|pool| (of_service(pool.service.clone()), pool.waiting as f64));
    snapshot.gauges(
        "router_waiting",
        "Statements that wait for a place at a service's servers",
        waiting,
    );
}

fn of_service(service: String) -> Labels {
    vec![("service", service)]
}
