//! `status`, `members` and `primaries`: formats the state of the system as tables.

use super::table::{Table, without_control_chars};
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, Status};

/// Returns the description of a primary's failover phase for the column `STATE`.
fn phase_text(primary: &PrimaryStatus) -> &str {
    match primary.phase.as_str() {
        "finding" => "primary being discovered",
        "steady" if primary.in_use => "in service",
        "steady" => "not in use",
        "closing" => "given up, grant being revoked",
        "handing" => "draining, handing over",
        "agreeing" => "next primary being committed",
        "promoting" => "next primary being promoted",
        "switching" => "next primary promoted, old grant being revoked",
        other => other,
    }
}

/// Returns the text, or a dash if it is empty.
fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

/// Returns a note that a machine which is not the leader doesn't know primaries and routers; empty
/// for the leader.
fn follower_note(status: &Status) -> String {
    if status.leads {
        return String::new();
    }
    format!(
        "{} answered and is not the leader: it doesn't know primaries and routers\n",
        without_control_chars(&status.node)
    )
}

/// Returns the faults of the machine that answered, one line each; empty if there are none.
fn fault_notes(status: &Status) -> String {
    let node = without_control_chars(&status.node);
    let mut notes = String::new();
    if status.out_of_contact {
        let since = match status.out_of_contact_s {
            seconds if seconds >= 0.0 => format!("for {seconds:.1} s"),
            _ => "since its start".to_owned(),
        };
        notes += &format!(
            "{node} has been out of contact with a majority of control machines {since}: its data \
             may be out of date\n"
        );
    }
    if status.disk_failed {
        notes += &format!(
            "{node} can't write to its disk: it takes no part in decisions until its disk accepts \
             writes again\n"
        );
    }
    if status.no_voter {
        notes += &format!("{node} is not a voter\n");
    }
    notes
}

/// Returns an overview of the system and the table of primaries.
pub(super) fn overview(status: &Status) -> String {
    let mut pairs = Table::new(&[]);
    let draining = status
        .members
        .iter()
        .filter(|member| member.draining)
        .count();
    let version = match status.epoch {
        0 if status.leads => "none yet".to_owned(),
        0 => "unknown to this machine".to_owned(),
        epoch => format!("version {epoch}"),
    };
    pairs.add_row(&["answered by", &status.node]);
    pairs.add_row(&["leader", status.leader.as_deref().map_or("none", or_dash)]);
    pairs.add_row(&["voters", or_dash(&status.voters.join(", "))]);
    pairs.add_row(&["configuration", &version]);
    if status.leads {
        pairs.add_row(&["routers", &status.routers.to_string()]);
    }
    pairs.add_row(&["lease", &format!("{} s", status.lease_s)]);
    pairs.add_row(&[
        "servers",
        &format!("{}, of which {draining} draining", status.members.len()),
    ]);
    let mut text = pairs.text();
    if status.leads {
        text += &format!("\n{}", primaries(status));
    } else {
        text += &follower_note(status);
    }
    text + &fault_notes(status)
}

/// Returns the table of database servers.
pub(super) fn members(status: &Status) -> String {
    let mut table = Table::new(&[
        "SERVICE", "SERVER", "ENDPOINT", "ZONE", "SLOTS", "ROLE", "STATE",
    ]);
    let mut members: Vec<&MemberStatus> = status.members.iter().collect();
    members.sort_by(|a, b| (&a.service, &a.zone, &a.id).cmp(&(&b.service, &b.zone, &b.id)));
    for member in members {
        let role = match status
            .primaries
            .iter()
            .find(|primary| primary.service == member.service)
        {
            Some(primary) if primary.id.is_empty() => "-",
            Some(primary) if primary.id == member.id => "primary",
            Some(_) => "replica",
            None => "-",
        };
        let state = if member.draining { "draining" } else { "ready" };
        table.add_row(&[
            &member.service,
            &member.id,
            &member.endpoint,
            or_dash(&member.zone),
            &member.slots.to_string(),
            role,
            state,
        ]);
    }
    let text = if status.members.is_empty() {
        "no servers are known\n".to_owned()
    } else {
        table.text()
    };
    text + &follower_note(status) + &fault_notes(status)
}

/// Returns the table of primaries.
pub(super) fn primaries(status: &Status) -> String {
    if status.primaries.is_empty() {
        if status.leads {
            return "no services are known\n".to_owned();
        }
        return follower_note(status) + &fault_notes(status);
    }
    let mut table = Table::new(&["SERVICE", "PRIMARY", "TERM", "ENDPOINT", "ZONE", "STATE"]);
    let mut primaries: Vec<&PrimaryStatus> = status.primaries.iter().collect();
    primaries.sort_by(|a, b| a.service.cmp(&b.service));
    for primary in primaries {
        let member = status
            .members
            .iter()
            .find(|member| member.id == primary.id && member.service == primary.service);
        let endpoint = member.map_or("-", |member| or_dash(&member.endpoint));
        let zone = member.map_or("-", |member| or_dash(&member.zone));
        let term = if primary.id.is_empty() {
            "-".to_owned()
        } else {
            primary.term.to_string()
        };
        table.add_row(&[
            &primary.service,
            or_dash(&primary.id),
            &term,
            endpoint,
            zone,
            phase_text(primary),
        ]);
    }
    table.text() + &fault_notes(status)
}
