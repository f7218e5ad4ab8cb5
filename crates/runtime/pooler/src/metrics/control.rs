//! The metrics of a control machine.

use super::Exposition;
use crate::control::ControlSnapshot;
use crate::counters::ControlCounts;
use std::collections::BTreeMap;

/// Adds the metrics of consensus, calls, sessions of routers and failover.
pub(super) fn add(exposition: &mut Exposition, state: &ControlSnapshot, counts: &ControlCounts) {
    add_consensus(exposition, state);
    add_counts(exposition, counts);
    exposition.gauge(
        "control_router_leases",
        "Routers that hold a lease; 0 unless this machine is the leader",
        state.leased_routers as f64,
    );
    add_by_phase(
        exposition,
        "control_primaries",
        "Services by the phase of their failover; none unless this machine is the leader",
        &state.primaries_by_phase,
    );
    add_by_phase(
        exposition,
        "control_servers",
        "Known database servers by phase",
        &state.servers_by_phase,
    );
}

/// Adds a gauge with the label `phase`.
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

fn add_consensus(exposition: &mut Exposition, state: &ControlSnapshot) {
    exposition.flag(
        "control_leads",
        "1 if this machine is the leader",
        state.is_leader,
    );
    exposition.flag(
        "control_in_contact",
        "1 while this machine is in contact with a majority, directly or through the leader",
        state.in_contact,
    );
    exposition.gauge(
        "control_ballot",
        "The highest term in which this machine voted",
        state.voted_term as f64,
    );
    exposition.gauge(
        "control_sequence",
        "Version of the newest state on this machine's disk",
        state.state_version as f64,
    );
    exposition.gauge(
        "control_config_epoch",
        "Version of the configuration that this machine knows",
        state.config_epoch as f64,
    );
    exposition.gauge(
        "control_voters",
        "Control machines that vote",
        state.voter_count as f64,
    );
    exposition.flag(
        "control_votes",
        "1 if this machine is a voter",
        state.is_voter,
    );
    exposition.flag(
        "control_disk_failed",
        "1 while this machine's disk accepts no writes",
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
        "Calls of servers and operators by status of the response",
        responses,
    );
    exposition.counters(
        "control_news",
        "Updates passed to sessions of routers",
        [(vec![], counts.router_updates())],
    );
    exposition.counters(
        "control_failed_saves",
        "Writes of the consensus state that failed",
        [(vec![], counts.failed_persists())],
    );
    exposition.histogram(
        "control_save_seconds",
        "How long writes of the consensus state took",
        &counts.persist_seconds,
    );
    exposition.histogram(
        "control_primary_change_seconds",
        "How long a service had no primary in use, for primary changes that this machine led",
        &counts.primary_change_seconds,
    );
}
