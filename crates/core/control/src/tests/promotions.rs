//! Calls that change servers, and what becomes of them when they come late: `POST /promotions`, `PAUSE`, `RESUME` and
//! `STEPDOWN`. The table that these tests hold to is in `docs/design/calls.md`.

use crate::failover::{Failover, FailoverAction, FailoverContext, ServerCandidate};
use crate::promotion::{PendingPromotion, PromotionOutcome};
use crate::state::PrimaryRecord;
use crate::{CommandOutcome, FailoverConfig, ServerCommand, ServerStatus};
use badgerstream_line_protocol::Verdict;

const TIMING: FailoverConfig = FailoverConfig {
    primary_poll_interval: 0.2,
    replica_poll_interval: 1.0,
    primary_timeout: 0.6,
    query_timeout: 0.6,
    heartbeat_interval: 1.2,
    drain_timeout: 7.0,
};

// ---- what the end of a call to the platform proves

#[test]
fn a_status_of_the_platform_proves_no_more_than_it_says() {
    use PromotionOutcome::*;
    for (status, outcome, verdict) in [
        (200, Accepted, Verdict::Ran),
        (409, Refused, Verdict::NotRun),
        (429, RateLimited, Verdict::NotRun),
        (400, Rejected, Verdict::NotRun),
        (408, Unknown, Verdict::MayHaveRun),
        (500, Unknown, Verdict::MayHaveRun),
        (503, Unknown, Verdict::MayHaveRun),
    ] {
        assert_eq!(PromotionOutcome::of_status(status), outcome, "{status}");
        assert_eq!(outcome.verdict(), verdict, "{status}");
    }
    assert_eq!(NotSent.verdict(), Verdict::NotRun);
}

#[test]
fn another_server_waits_for_a_call_without_a_clear_answer() {
    let mut pending = PendingPromotion::default();
    assert!(pending.permits(0.0, "b"));
    pending.sent(0.0, "b");
    assert!(pending.permits(0.5, "b") && !pending.permits(1.9, "c"));
    assert!(pending.ended(1.0, "b", PromotionOutcome::Unknown));
    assert!(pending.permits(1.0, "b") && !pending.permits(1.9, "c") && pending.permits(2.1, "c"));
    // A second copy that was refused proves nothing of the first one.
    pending.sent(1.2, "b");
    assert!(pending.ended(1.3, "b", PromotionOutcome::Refused));
    assert!(!pending.permits(1.9, "c") && pending.permits(2.1, "c"));
    // The platform is not asked again and again for one that it says isn't running.
    assert!(!pending.permits(2.2, "b") && pending.permits(2.4, "b"));
}

#[test]
fn a_call_that_has_not_run_is_waited_for_by_nobody() {
    for outcome in [
        PromotionOutcome::Refused,
        PromotionOutcome::RateLimited,
        PromotionOutcome::Rejected,
        PromotionOutcome::NotSent,
    ] {
        let mut pending = PendingPromotion::default();
        pending.sent(0.0, "b");
        assert!(pending.ended(0.1, "b", outcome));
        assert!(pending.permits(0.1, "c"), "{outcome:?}");
    }
}

#[test]
fn an_answer_counts_only_for_the_server_that_is_waited_for() {
    let mut pending = PendingPromotion::default();
    pending.sent(0.0, "b");
    pending.sent(3.0, "c");
    assert!(!pending.ended(3.1, "b", PromotionOutcome::Refused));
    assert!(pending.ended(3.1, "c", PromotionOutcome::Accepted));
    assert!(
        !pending.ended(3.2, "c", PromotionOutcome::Accepted),
        "nothing is under way"
    );
}

// ---- one service's fail-over alone, with servers that answer at once

struct Alone {
    failover: Failover,
    members: Vec<ServerCandidate>,
    now: f64,
}

impl Alone {
    fn new() -> Alone {
        let candidate = |id: &str| ServerCandidate {
            id: id.to_owned(),
            draining_since: None,
            last_seen: 0.0,
        };
        let members = ["a", "b", "c"].map(candidate).to_vec();
        Alone {
            failover: Failover::new(TIMING),
            members,
            now: 0.0,
        }
    }

    /// A tenth of a second: all queries are answered with what `row` gives, and refused where it gives none. The other acts.
    fn step(
        &mut self,
        record: (&str, u64),
        row: impl Fn(&str, ServerCommand) -> Option<ServerStatus>,
    ) -> Vec<FailoverAction> {
        self.now += 0.1;
        let record = PrimaryRecord {
            server_id: record.0.to_owned(),
            min_term: record.1,
        };
        let acts = self.failover.tick(&FailoverContext {
            now: self.now,
            members: &self.members,
            departed: &[],
            recorded_primary: Some(&record),
            succeeds: &|_, _| false,
            same_address: &|_, _| false,
            all_acknowledged: &|_| true,
            leading_since: 0.0,
            not_before: 0.0,
            sync_replicas: 1,
        });
        self.failover.grant_announced(1);
        for act in &acts {
            let FailoverAction::SendCommand {
                server_id: id,
                command: statement,
            } = act
            else {
                continue;
            };
            let asked = match row(id, *statement) {
                Some(row) => CommandOutcome::Status {
                    command: *statement,
                    status: row,
                    sent_at: self.now,
                },
                None => CommandOutcome::Refused,
            };
            self.failover.command_completed(self.now, id, asked);
        }
        acts
    }
}

fn row(leader: bool, primary_term: u64, held: u64) -> ServerStatus {
    ServerStatus {
        is_primary: leader,
        primary_term,
        received: (primary_term, 0),
        highest_term: held,
    }
}

/// A late `STEPDOWN` must not turn out a primary of a later term: it carries the lowest term that does.
#[test]
fn a_step_down_carries_the_lowest_term() {
    let mut alone = Alone::new();
    let mut terms = Vec::new();
    for step in 0..40 {
        let acts = alone.step(("a", 0), |id, _| match id {
            // Somebody has paused c at term 7; b takes itself for the primary of an old term, a is gone after a while.
            "a" => (step < 10).then(|| row(true, 2, 0)),
            "b" => Some(row(true, 1, 0)),
            _ => Some(row(false, 2, 7)),
        });
        terms.extend(acts.iter().filter_map(|act| match act {
            FailoverAction::SendCommand {
                command: ServerCommand::StepDown(primary_term),
                ..
            } => Some(*primary_term),
            _ => None,
        }));
    }
    // Under the primary of term 2 it is its term that counts, and without one the lowest that does.
    assert!(
        terms.len() > 2 && terms.iter().all(|primary_term| *primary_term == 2),
        "{terms:?}"
    );
}

/// The platform's answer to a call for another server says nothing of this one.
#[test]
fn an_answer_about_another_server_changes_nothing() {
    let mut alone = Alone::new();
    let servers = |alone_gone: bool| {
        move |id: &str, statement: ServerCommand| match (id, statement) {
            ("a", _) => (!alone_gone).then(|| row(true, 1, 0)),
            (_, ServerCommand::Pause(primary_term)) => Some(row(false, 1, primary_term)),
            _ => Some(row(false, 1, if alone_gone { 2 } else { 0 })),
        }
    };
    for _ in 0..5 {
        alone.step(("a", 0), servers(false));
    }
    assert_eq!(alone.failover.phase(), "steady");
    let mut agreed = None;
    while agreed.is_none() {
        assert!(alone.now < 5.0);
        let acts = alone.step(("a", 0), servers(true));
        agreed = acts.into_iter().find_map(|act| match act {
            FailoverAction::ProposePrimary { server_id: to, .. } => Some(to),
            _ => None,
        });
    }
    let to = agreed.unwrap_or_default();
    let other = if to == "b" { "c" } else { "b" };
    alone.failover.proposal_decided(alone.now, true);
    alone
        .failover
        .promotion_completed(alone.now, other, PromotionOutcome::Refused);
    assert_eq!(alone.failover.phase(), "promoting");
    alone
        .failover
        .promotion_completed(alone.now, &to, PromotionOutcome::Refused);
    assert_eq!(alone.failover.phase(), "closing");
}

/// A primary that was replaced and doesn't know it can't be paused: it is told to follow, also while its successor leaves.
#[test]
fn a_deposed_primary_is_told_to_follow_while_the_next_one_leaves() {
    let mut alone = Alone::new();
    let servers = |id: &str, _| match id {
        "a" => Some(row(true, 2, 0)),
        "b" => Some(row(true, 1, 0)),
        _ => Some(row(false, 2, 0)),
    };
    for _ in 0..5 {
        alone.step(("a", 2), servers);
    }
    alone.members[0].draining_since = Some(alone.now);
    let mut told = Vec::new();
    for _ in 0..8 {
        let acts = alone.step(("a", 2), servers);
        if alone.failover.phase() == "handing" {
            told.extend(
                acts.into_iter()
                    .filter(|act| matches!(act, FailoverAction::SendCommand { server_id, .. } if server_id == "b")),
            );
        }
    }
    assert!(
        told.contains(&FailoverAction::SendCommand {
            server_id: "b".to_owned(),
            command: ServerCommand::StepDown(2)
        }),
        "{told:?}"
    );
    assert!(
        !told.iter().any(|act| matches!(
            act,
            FailoverAction::SendCommand {
                command: ServerCommand::Pause(_),
                ..
            }
        )),
        "{told:?}"
    );
}
