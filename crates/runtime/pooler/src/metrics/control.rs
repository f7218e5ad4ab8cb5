//! The metrics of a control machine.

use super::Exposition;
use crate::control::ControlSnapshot;
use crate::counters::ControlCounts;
use std::collections::BTreeMap;

/// Adds the metrics of agreement, sessions and failover.
pub(super) fn add(exposition: &mut Exposition, state: &ControlSnapshot, counts: &ControlCounts) {
    add_agreement(exposition, state);
    add_counts(exposition, counts);
    exposition.gauge(
        "control_router_leases",
        "Routers that hold a lease; 0 where this machine doesn't lead",
        state.leased_routers as f64,
    );
    add_by_phase(
        exposition,
        "control_primaries",
        "Services by the phase of their primary; none where this machine doesn't lead",
        &state.primaries_by_phase,
    );
    add_by_phase(
        exposition,
        "control_servers",
        "Database servers that are known",
        &state.servers_by_phase,
    );
}

fn add_by_phase(
    exposition: &mut Exposition,
    name: &str,
    help: &str,
    counts: &BTreeMap<&'static str, usize>,
) {
    let values = counts
        .iter()
        .map(|(phase, count)| (vec![("phase", (*phase).to_owned())], *count as f64));
    exposition.gauges(name, help, values);
}

fn add_agreement(exposition: &mut Exposition, state: &ControlSnapshot) {
    exposition.flag(
        "control_leads",
        "1 where this machine leads",
        state.is_leader,
    );
    exposition.flag(
        "control_in_contact",
        "1 while a majority is heard, through its leader",
        state.in_contact,
    );
    exposition.gauge(
        "control_ballot",
        "The highest ballot that this machine promised",
        state.voted_term as f64,
    );
    exposition.gauge(
        "control_sequence",
        "Number of the newest state on this disk",
        state.state_version as f64,
    );
    exposition.gauge(
        "control_config_epoch",
        "Version of the configuration that is known",
        state.config_epoch as f64,
    );
    exposition.gauge(
        "control_voters",
        "Control machines that decide",
        state.voter_count as f64,
    );
    exposition.flag(
        "control_votes",
        "1 where this machine is one of them",
        state.is_voter,
    );
    exposition.flag(
        "control_disk_failed",
        "1 while the disk takes no saves",
        state.disk_failed,
    );
}

fn add_counts(exposition: &mut Exposition, counts: &ControlCounts) {
    let responses = counts.responses().into_iter().map(|response| {
        let call = ("call", response.call.to_owned());
        let status = ("status", response.status.to_string());
        (vec![call, status], response.count)
    });
    exposition.counters(
        "control_calls",
        "Calls of servers and operators by answer",
        responses,
    );
    exposition.counters(
        "control_news",
        "News handed to sessions of routers",
        [(vec![], counts.router_updates())],
    );
    exposition.counters(
        "control_failed_saves",
        "Saves that the disk refused",
        [(vec![], counts.failed_persists())],
    );
    exposition.histogram(
        "control_save_seconds",
        "How long saves of the agreed state took",
        &counts.persist_seconds,
    );
    exposition.histogram(
        "control_primary_change_seconds",
        "How long a service had no primary in use, at changes that this machine led",
        &counts.primary_changes,
    );
}
