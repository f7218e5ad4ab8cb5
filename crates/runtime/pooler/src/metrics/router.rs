//! The metrics of a router.

use super::{Exposition, Labels, RouterSource};
use crate::data_plane::DataPlane;
use crate::view::SharedView;

/// Adds the metrics of the data plane and of the view.
pub(super) fn add(exposition: &mut Exposition, router: &RouterSource, now: f64) {
    add_statements(exposition, &router.data_plane);
    add_pools(exposition, &router.data_plane);
    add_view(exposition, &router.shared, now);
    let ages = router
        .data_plane
        .proof_ages(now)
        .into_iter()
        .map(|proof| (service_label(&proof.service), proof.age_s));
    exposition.gauges(
        "router_proof_age_seconds",
        "Age of the newest log position that the primary of a service reported",
        ages,
    );
}

fn add_view(exposition: &mut Exposition, shared: &SharedView, now: f64) {
    let view = shared.view.borrow();
    let usable_primaries = view
        .grants
        .keys()
        .filter(|service| view.primary(service, now).is_some())
        .count();
    exposition.gauge(
        "router_lease_remaining_seconds",
        "Remaining duration of the lease, during which primaries may be used; 0 without a lease",
        (view.last_lease_expires_at() - now).max(0.0),
    );
    exposition.gauge(
        "router_grants",
        "Services whose primary may be used now",
        usable_primaries as f64,
    );
    exposition.gauge(
        "router_config_epoch",
        "Version of the configuration in force; 0 before the first",
        view.config.as_ref().map_or(0, |config| config.epoch) as f64,
    );
    exposition.gauge(
        "router_servers",
        "Known database servers",
        view.servers.len() as f64,
    );
    exposition.flag(
        "router_ending",
        "1 once the process has started its shutdown",
        shared.shutdown_started_at.get().is_some(),
    );
}

fn add_statements(exposition: &mut Exposition, data_plane: &DataPlane) {
    let counts = data_plane.counts();
    let ended = counts.ended_counts().map(|(kind, end, count)| {
        let labels = vec![("statement", kind.to_owned()), ("end", end.to_owned())];
        (labels, count)
    });
    exposition.counters(
        "router_statements",
        "Ended statements of clients by first word and by how they ended",
        ended,
    );
    let placements = counts
        .placement_counts()
        .map(|(target, count)| (vec![("target", target.to_owned())], count));
    exposition.counters(
        "router_placements",
        "Statements and transactions by the kind of server they got a connection to, or none",
        placements,
    );
    exposition.histogram(
        "router_placement_wait_seconds",
        "How long statements and transactions waited for a connection",
        &counts.placement_wait_seconds,
    );
    exposition.gauge(
        "router_clients",
        "Connected clients",
        data_plane.client_count() as f64,
    );
    exposition.gauge(
        "router_open_work",
        "Statements that have not been answered yet, plus open transactions",
        data_plane.open_work() as f64,
    );
}

fn add_pools(exposition: &mut Exposition, data_plane: &DataPlane) {
    let pools = data_plane.pool_usage();
    let connections = pools.iter().flat_map(|pool| {
        [("idle", pool.idle), ("in_use", pool.in_use)].map(|(state, count)| {
            let mut labels = service_label(&pool.service);
            labels.push(("state", state.to_owned()));
            (labels, count as f64)
        })
    });
    exposition.gauges(
        "router_connections",
        "Connections to the servers of a service",
        connections,
    );
    let slots_in_use = pools
        .iter()
        .map(|pool| (service_label(&pool.service), pool.slots_in_use as f64));
    exposition.gauges(
        "router_slots_in_use",
        "Slots in use at the servers of a service",
        slots_in_use,
    );
    let waiting = pools
        .iter()
        .map(|pool| (service_label(&pool.service), pool.waiting as f64));
    exposition.gauges(
        "router_waiting",
        "Statements that wait for a slot at the servers of a service",
        waiting,
    );
}

fn service_label(service: &str) -> Labels {
    vec![("service", service.to_owned())]
}
