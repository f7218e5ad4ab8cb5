//! The figures of a control machine.

use super::Snapshot;
use crate::clock;
use crate::control::Control;
use std::collections::BTreeMap;

/// Adds what agreement, sessions and failover tell.
pub(super) fn add(snapshot: &mut Snapshot, control: &Control) {
    add_agreement(snapshot, control);
    add_calls(snapshot, control);
    let figures = control.figures(clock::now());
    let of = |label: &'static str, counts: BTreeMap<&'static str, usize>| {
        counts
            .into_iter()
            .map(move |(value, count)| (vec![(label, value.to_owned())], count as f64))
    };
    snapshot.gauge(
        "control_router_leases",
        "Routers that hold a lease; 0 where this machine doesn't lead",
        figures.routers as f64,
    );
    snapshot.gauges(
        "control_primaries",
        "Services by the phase of their primary; none where this machine doesn't lead",
        of("phase", figures.primaries),
    );
    snapshot.gauges(
        "control_servers",
        "Database servers that are known",
        of("phase", figures.servers),
    );
}

fn add_agreement(snapshot: &mut Snapshot, control: &Control) {
    let figures = control.figures(clock::now());
    let flag = |set: bool| f64::from(u8::from(set));
    snapshot.gauge(
        "control_leads",
        "1 where this machine leads",
        flag(figures.leads),
    );
    snapshot.gauge(
        "control_in_contact",
        "1 while a majority is heard, through its leader",
        flag(figures.in_contact),
    );
    snapshot.gauge(
        "control_ballot",
        "The highest ballot that this machine promised",
        figures.ballot as f64,
    );
    snapshot.gauge(
        "control_sequence",
        "Number of the newest state on this disk",
        figures.sequence as f64,
    );
    snapshot.gauge(
        "control_config_epoch",
        "Version of the configuration that is known",
        figures.epoch as f64,
    );
    snapshot.gauge(
        "control_voters",
        "Control machines that decide",
        figures.voters as f64,
    );
    snapshot.gauge(
        "control_votes",
        "1 where this machine is one of them",
        flag(figures.votes),
    );
    snapshot.gauge(
        "control_disk_failed",
        "1 while the disk takes no saves",
        flag(figures.disk_failed),
    );
}

fn add_calls(snapshot: &mut Snapshot, control: &Control) {
    let counts = control.counts();
    let answered = counts.responses().into_iter().map(|response| {
        let call = ("call", response.call.to_owned());
        let status = ("status", response.status.to_string());
        (vec![call, status], response.count)
    });
    snapshot.counters(
        "control_calls",
        "Calls of servers and operators by answer",
        answered,
    );
    snapshot.counters(
        "control_news",
        "News handed to sessions of routers",
        [(vec![], counts.router_updates())],
    );
    snapshot.counters(
        "control_failed_saves",
        "Saves that the disk refused",
        [(vec![], counts.failed_persists())],
    );
    snapshot.histogram(
        "control_save_seconds",
        "How long saves of the agreed state took",
        &counts.persist_seconds,
    );
    snapshot.histogram(
        "control_primary_change_seconds",
        "How long a service had no primary in use, at changes that this machine led",
        &counts.primary_changes,
    );
}
