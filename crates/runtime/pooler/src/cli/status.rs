//! `status`, `members` and `primaries`: the state of the system as tables.

use super::text::{self, Table};
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, Status};
use std::fmt::Write as _;

/// A change's phase in plain words.
fn phase_text(primary: &PrimaryStatus) -> &str {
    match primary.phase.as_str() {
        "finding" => "being looked for",
        "steady" if primary.in_use => "in service",
        "steady" => "not in use",
        "closing" => "given up, routers let go of it",
        "handing" => "leaves, hands over",
        "agreeing" => "leaves, the next is agreed on",
        "promoting" => "leaves, the next is being promoted",
        "switching" => "promoted, routers change over",
        other => other,
    }
}

/// The text, or a dash in place of an empty cell.
fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

/// What only the leader can tell is missing from a follower's answer: a note that says so, empty for the leader.
fn follower_note(status: &Status) -> String {
    match status.leads {
        true => String::new(),
        false => format!(
            "{} answered and doesn't lead: primaries and routers aren't known to it\n",
            text::clean(&status.node)
        ),
    }
}

/// What the machine that answered can't do, one line each; empty if it is well.
fn trouble_notes(status: &Status) -> String {
    let node = text::clean(&status.node);
    let mut notes = String::new();
    if status.out_of_contact {
        let since = match status.out_of_contact_s {
            seconds if seconds >= 0.0 => format!("for {seconds:.1} s"),
            _ => "since its start".to_owned(),
        };
        notes += &format!(
            "{node} has had no contact with most control machines {since}: what it shows may be old\n"
        );
    }
    if status.disk_failed {
        notes += &format!("{node} can't save: it takes no part until its disk takes bytes again\n");
    }
    if status.no_voter {
        notes += &format!("{node} is none of the machines that decide\n");
    }
    notes
}

/// The state of the system and the primary of each service.
pub(super) fn overview(status: &Status) -> String {
    let mut pairs = Table::new(&[]);
    let draining = status.members.iter().filter(|m| m.draining).count();
    let version = match status.epoch {
        0 if status.leads => "none yet".to_owned(),
        0 => "not known there".to_owned(),
        epoch => format!("version {epoch}"),
    };
    pairs.row(&["answered by", &status.node]);
    pairs.row(&["leader", status.leader.as_deref().map_or("none", or_dash)]);
    pairs.row(&["voters", or_dash(&status.voters.join(", "))]);
    pairs.row(&["configuration", &version]);
    if status.leads {
        pairs.row(&["routers", &status.routers.to_string()]);
    }
    pairs.row(&["lease", &format!("{} s", status.lease_s)]);
    pairs.row(&[
        "servers",
        &format!("{}, of which {draining} draining", status.members.len()),
    ]);
    let mut text = pairs.text();
    match status.leads {
        true => write!(text, "\n{}", primaries(status)).unwrap_or_default(),
        false => text += &follower_note(status),
    }
    text + &trouble_notes(status)
}

/// The table of database servers.
pub(super) fn members(status: &Status) -> String {
    let mut table = Table::new(&[
        "SERVICE", "SERVER", "ENDPOINT", "ZONE", "SLOTS", "ROLE", "STATE",
    ]);
    let mut members: Vec<&MemberStatus> = status.members.iter().collect();
    members.sort_by(|a, b| (&a.service, &a.zone, &a.id).cmp(&(&b.service, &b.zone, &b.id)));
    for m in members {
        let role = match status.primaries.iter().find(|p| p.service == m.service) {
            Some(p) if p.id.is_empty() => "-",
            Some(p) if p.id == m.id => "primary",
            Some(_) => "replica",
            None => "-",
        };
        let state = if m.draining { "draining" } else { "ready" };
        table.row(&[
            &m.service,
            &m.id,
            &m.endpoint,
            or_dash(&m.zone),
            &m.slots.to_string(),
            role,
            state,
        ]);
    }
    match status.members.is_empty() {
        true => {
            "no servers are known\n".to_owned() + &follower_note(status) + &trouble_notes(status)
        }
        false => table.text() + &follower_note(status) + &trouble_notes(status),
    }
}

/// The table of primaries.
pub(super) fn primaries(status: &Status) -> String {
    if status.primaries.is_empty() {
        return match status.leads {
            true => "no services are known\n".to_owned(),
            false => follower_note(status) + &trouble_notes(status),
        };
    }
    let mut table = Table::new(&["SERVICE", "PRIMARY", "TERM", "ENDPOINT", "ZONE", "STATE"]);
    let mut primaries: Vec<&PrimaryStatus> = status.primaries.iter().collect();
    primaries.sort_by(|a, b| a.service.cmp(&b.service));
    for p in primaries {
        let member = status
            .members
            .iter()
            .find(|m| m.id == p.id && m.service == p.service);
        let endpoint = member.map_or("-", |m| or_dash(&m.endpoint));
        let zone = member.map_or("-", |m| or_dash(&m.zone));
        let term = if p.id.is_empty() {
            "-".to_owned()
        } else {
            p.term.to_string()
        };
        table.row(&[
            &p.service,
            or_dash(&p.id),
            &term,
            endpoint,
            zone,
            phase_text(p),
        ]);
    }
    table.text() + &trouble_notes(status)
}
