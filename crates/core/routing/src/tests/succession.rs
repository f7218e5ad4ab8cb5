//! Primary changes as a whole instance decides them: which statements are held, sent, inquired about, aborted.

use super::{A, B, C, G, LATEST, ONCE, OWN, RECENT, Seen, T, WRITE, router, settle, take};
use crate::succession::{Evidence, Phase, Settings};
use crate::{ExecutionOutcome, Instance, NodeStatus, Role};
use test_case::test_case;

fn settings() -> Settings {
    Settings {
        expected_change_ms: 300.0,
        release_spread_ms: 0.0,
        ..Settings::default()
    }
}

/// Returns an instance in which A leads and is settled.
fn with_settled_leader(settings: Settings) -> Instance {
    let mut router = router(false);
    router.configure_succession(Some(settings), 7);
    settle(&mut router, T + 0.3);
    assert!(router.succession.as_ref().unwrap().is_settled(G));
    router
}

/// Ends an execution of statement 1.
fn end_execution(
    router: &mut Instance,
    now: f64,
    execution: u8,
    node: u32,
    ending: ExecutionOutcome,
    role: Option<Role>,
) {
    let lsn = if ending == ExecutionOutcome::Completed {
        now
    } else {
        f64::NEG_INFINITY
    };
    router.executed(
        now,
        1,
        execution,
        node,
        ending,
        0.01,
        ending == ExecutionOutcome::Completed,
        role,
        lsn,
    );
}

/// Answers a probe of a node, which says whether it leads.
fn report_role(router: &mut Instance, now: f64, node: u32, leads: bool) {
    router.probed(now, node, true, Some(leads), now);
}

/// Returns an instance that holds statement 1: A refused the connection, so A is suspected.
fn with_refused_connection(settings: Settings, workload: usize) -> Instance {
    let mut router = with_settled_leader(settings);
    take(&mut router, T + 0.4, 1, workload, 5, 0.0);
    assert_eq!(settle(&mut router, T + 0.4), ["execute 1 11"]);
    end_execution(
        &mut router,
        T + 0.41,
        0,
        A,
        ExecutionOutcome::ConnectFailed,
        None,
    );
    assert!(
        settle(&mut router, T + 0.41).is_empty(),
        "the statement is held"
    );
    router
}

/// Returns an instance whose statement 1 may have run: A had received it when the connection broke. Then A became
/// unreachable.
fn with_write_in_doubt(settings: Settings, workload: usize) -> Instance {
    let mut router = with_settled_leader(settings);
    take(&mut router, T + 0.4, 1, workload, 5, 0.0);
    settle(&mut router, T + 0.4);
    end_execution(
        &mut router,
        T + 0.41,
        0,
        A,
        ExecutionOutcome::ConnectionLost,
        None,
    );
    router.observe_evidence(T + 0.41, A, Evidence::Unreachable);
    router
}

#[test_case(WRITE; "a write")]
#[test_case(ONCE; "a write that must not be repeated: it never ran")]
fn statements_for_the_primary_are_held_until_a_node_says_that_it_leads(workload: usize) {
    let mut router = with_refused_connection(settings(), workload);
    assert!(router.succession.as_ref().unwrap().is_held(1));
    report_role(&mut router, T + 0.5, C, false);
    assert!(settle(&mut router, T + 0.5).is_empty());
    report_role(&mut router, T + 0.6, B, true);
    assert_eq!(settle(&mut router, T + 0.61), ["execute 1 12"]);
}

#[test]
fn a_read_that_a_replica_can_answer_is_not_held() {
    let mut router = with_refused_connection(settings(), WRITE);
    take(&mut router, T + 0.42, 2, RECENT, 0, 0.0);
    assert_eq!(settle(&mut router, T + 0.42).len(), 1);
    assert!(!router.succession.as_ref().unwrap().is_held(2));
}

#[test]
fn a_read_that_any_member_may_answer_falls_back_to_the_new_primary() {
    let mut router = with_refused_connection(settings(), WRITE);
    [A, C].iter().for_each(|id| {
        router
            .nodes
            .get_mut(id)
            .unwrap()
            .set_status(NodeStatus::Draining, T + 0.42);
    });
    report_role(&mut router, T + 0.6, B, true);
    take(&mut router, T + 0.61, 2, RECENT, 0, 0.0);
    let seen = settle(&mut router, T + 0.61);
    assert!(seen.contains(&"execute 2 12".to_string()), "{seen:?}");
}

#[test]
fn a_read_of_the_latest_data_is_held_until_a_replica_is_known_to_have_them() {
    let mut router = with_refused_connection(settings(), LATEST);
    assert!(router.succession.as_ref().unwrap().is_held(1));
    report_role(&mut router, T + 0.5, C, false);
    assert_eq!(settle(&mut router, T + 0.5), ["execute 1 13"]);
}

#[test]
fn a_primary_that_was_only_slow_continues_its_term() {
    let mut router = with_refused_connection(settings(), WRITE);
    let term = router.succession.as_ref().unwrap().term(G);
    report_role(&mut router, T + 0.5, A, true);
    settle(&mut router, T + 0.5);
    let succession = router.succession.as_ref().unwrap();
    assert_eq!(
        (succession.phase(G), succession.term(G)),
        (Phase::Settling, term)
    );
}

#[test]
fn a_held_statement_is_not_rejected_at_half_of_its_time() {
    let mut router = with_refused_connection(
        Settings {
            expected_change_ms: 1500.0,
            ..settings()
        },
        WRITE,
    );
    assert!(
        settle(&mut router, T + 1.45).is_empty(),
        "half of the two seconds has passed"
    );
    report_role(&mut router, T + 1.5, B, true);
    assert_eq!(settle(&mut router, T + 1.5), ["execute 1 12"]);
}

#[test]
fn statements_that_would_wait_in_vain_are_rejected_at_once() {
    let mut router = with_settled_leader(Settings {
        expected_change_ms: 9000.0,
        least_chance: 0.25,
        ..settings()
    });
    router.observe_evidence(T + 0.41, A, Evidence::Unreachable);
    router.arrived(T + 0.5, 2, WRITE, G, 6, 9, 0.0, T + 2.5, 0.0);
    let mut seen = Seen::default();
    router.settle(T + 0.5, &mut seen);
    assert!(seen.0.contains(&"reject 2".to_string()), "{:?}", seen.0);
}

#[test]
fn a_draining_primary_gets_statements_for_half_of_the_grace_period_only() {
    let mut router = with_settled_leader(settings());
    take(&mut router, T + 0.4, 1, WRITE, 5, 0.0);
    assert_eq!(settle(&mut router, T + 0.4), ["execute 1 11"]);
    router.list_begins();
    router.list_member(T + 0.41, A, (G, 0), NodeStatus::Draining, 0.0, true);
    router.list_ends(T + 0.41, false);
    take(&mut router, T + 0.42, 2, WRITE, 6, 0.0);
    assert_eq!(
        settle(&mut router, T + 0.42),
        ["execute 2 11"],
        "the primary takes statements for half of the grace period"
    );
    end_execution(
        &mut router,
        T + 0.43,
        0,
        A,
        ExecutionOutcome::Completed,
        Some(Role::Primary),
    );
    assert!(settle(&mut router, T + 0.43).is_empty());
    take(&mut router, T + 0.67, 3, WRITE, 7, 0.0);
    assert!(settle(&mut router, T + 0.67).is_empty());
    assert!(
        router.succession.as_ref().unwrap().is_held(3),
        "the claim of a draining primary did not end its drain"
    );
    report_role(&mut router, T + 0.7, B, true);
    assert_eq!(settle(&mut router, T + 0.7), ["execute 3 12"]);
}

#[test]
fn a_write_that_may_have_run_is_sent_again_with_its_mark() {
    let mut router = with_write_in_doubt(settings(), WRITE);
    assert!(settle(&mut router, T + 0.5).is_empty());
    report_role(&mut router, T + 0.6, B, true);
    assert_eq!(settle(&mut router, T + 0.6), ["execute 1 12"]);
}

#[test_case(WRITE, T + 1.5; "the mark is forgotten")]
#[test_case(ONCE, T + 0.6; "the write must not be repeated")]
fn a_write_whose_outcome_stays_unknown_is_aborted(workload: usize, at: f64) {
    let mut router = with_write_in_doubt(
        Settings {
            expected_change_ms: 1400.0,
            ..settings()
        },
        workload,
    );
    let mut seen = settle(&mut router, T + 0.5);
    report_role(&mut router, at, B, true);
    seen.extend(settle(&mut router, at));
    assert_eq!(seen, ["abort 1"]);
}

#[test_case(ExecutionOutcome::Completed, &[]; "it ran: the answer of the inquiry is the answer")]
#[test_case(ExecutionOutcome::NotEligible, &["execute 1 12"]; "it never ran and never will: the write is sent")]
#[test_case(ExecutionOutcome::Errored, &["abort 1"]; "the outcome stays unknown")]
#[test_case(ExecutionOutcome::Rejected, &["inquire 1 12"]; "the node is not the primary, or overloaded: a second inquiry")]
fn the_primary_of_a_later_term_is_asked_for_the_outcome(
    ending: ExecutionOutcome,
    expected: &[&str],
) {
    let outcomes = Settings {
        outcomes: true,
        expected_change_ms: 1400.0,
        ..settings()
    };
    let mut router = with_write_in_doubt(outcomes, WRITE);
    router.describe_statement(1, 100, true);
    assert!(
        settle(&mut router, T + 1.4).is_empty(),
        "the node that it was sent to may still run it"
    );
    report_role(&mut router, T + 1.5, B, true);
    assert_eq!(settle(&mut router, T + 1.5), ["inquire 1 12"]);
    end_execution(&mut router, T + 1.52, 1, B, ending, None);
    assert_eq!(settle(&mut router, T + 1.6), expected);
}

#[test_case(true, &["abort 1"]; "it lives: the node that the write was sent to may still run it")]
#[test_case(false, &["inquire 1 12"]; "it is gone, and another node leads")]
fn after_a_broken_connection_the_leader_is_probed(lives: bool, expected: &[&str]) {
    let mut router = with_settled_leader(Settings {
        outcomes: true,
        ..settings()
    });
    take(&mut router, T + 0.4, 1, ONCE, 5, 0.0);
    router.describe_statement(1, 100, true);
    settle(&mut router, T + 0.4);
    end_execution(
        &mut router,
        T + 0.41,
        0,
        A,
        ExecutionOutcome::ConnectionLost,
        None,
    );
    let mut seen = Seen::default();
    router.settle(T + 0.46, &mut seen);
    assert!(seen.0.contains(&"probe 11".to_string()), "{:?}", seen.0);
    if lives {
        report_role(&mut router, T + 0.5, A, true);
    } else {
        router.observe_evidence(T + 0.5, A, Evidence::Unreachable);
        assert!(settle(&mut router, T + 0.5).is_empty());
        report_role(&mut router, T + 0.6, B, true);
    }
    assert_eq!(settle(&mut router, T + 0.61), expected);
}

#[test]
fn a_write_without_a_mark_is_not_inquired_about() {
    let mut router = with_write_in_doubt(
        Settings {
            outcomes: true,
            ..settings()
        },
        ONCE,
    );
    router.describe_statement(1, 100, false);
    assert_eq!(settle(&mut router, T + 0.5), ["abort 1"]);
}

#[test]
fn a_read_that_requires_a_lost_commit_is_aborted() {
    let mut router = with_settled_leader(Settings {
        branch_field: "x2".into(),
        promoted_field: "x3".into(),
        ..settings()
    });
    report_role(&mut router, T + 1.0, B, true);
    report_role(&mut router, T + 1.0, C, false);
    router.record_promotion(T + 1.0, B, T + 0.4, T + 0.9);
    settle(&mut router, T + 1.0);
    // The session's last writes are 0.5 s and 1.2 s old: after the branch, and before it.
    take(&mut router, T + 1.2, 1, OWN, 5, 0.5);
    take(&mut router, T + 1.2, 2, OWN, 6, 1.2);
    let seen = settle(&mut router, T + 1.2);
    assert!(
        seen.contains(&"abort 1".to_string()) && seen.contains(&"execute 2 13".to_string()),
        "{seen:?}"
    );
}

#[test]
fn completions_of_a_deposed_node_are_not_trusted() {
    for (field, trusted) in [("x2", false), ("", true)] {
        let may_lose = Settings {
            branch_field: field.into(),
            promoted_field: field.into(),
            ..settings()
        };
        let mut router = with_settled_leader(may_lose);
        take(&mut router, T + 0.4, 1, WRITE, 5, 0.0);
        settle(&mut router, T + 0.4);
        assert!(router.trusts_completion(1, A));
        report_role(&mut router, T + 0.5, B, true);
        assert_eq!(
            router.trusts_completion(1, A),
            trusted,
            "a synchronous store loses no acknowledged write"
        );
    }
}

#[test]
fn the_position_of_a_deposed_node_counts_again_once_it_follows() {
    let mut router = with_settled_leader(settings());
    report_role(&mut router, T + 0.5, B, true);
    report_role(&mut router, T + 0.6, A, true);
    assert_eq!(
        router.nodes[&A].lsn,
        f64::NEG_INFINITY,
        "its position is of a diverged log"
    );
    report_role(&mut router, T + 0.7, A, false);
    assert_eq!(router.nodes[&A].lsn, T + 0.7);
}

#[test]
fn without_a_leader_no_position_proves_that_a_replica_has_a_sessions_writes() {
    let may_lose = Settings {
        branch_field: "x2".into(),
        promoted_field: "x3".into(),
        ..settings()
    };
    for (settings, expected_sends) in [(may_lose, 0), (settings(), 1)] {
        let mut router = with_refused_connection(settings, WRITE);
        report_role(&mut router, T + 0.45, C, false);
        take(&mut router, T + 0.46, 2, OWN, 8, 0.2);
        let seen = settle(&mut router, T + 0.46);
        assert_eq!(
            seen.iter()
                .filter(|line| line.starts_with("execute 2"))
                .count(),
            expected_sends,
            "{seen:?}"
        );
    }
}

#[test]
fn a_client_that_leaves_frees_its_place_in_the_queue() {
    let mut router = with_refused_connection(settings(), WRITE);
    router.abandoned(1);
    settle(&mut router, T + 0.5);
    assert_eq!(
        router
            .succession
            .as_ref()
            .unwrap()
            .hold_usage()
            .current
            .statements,
        0
    );
}

#[test]
fn without_settings_statements_no_longer_wait_for_each_other() {
    let mut router = with_refused_connection(settings(), WRITE);
    router.configure_succession(None, 7);
    report_role(&mut router, T + 0.5, B, true);
    assert_eq!(settle(&mut router, T + 0.6), ["execute 1 12"]);
}
