//! Tests of the policy during a change of primary: which statements are held, sent, asked about, or aborted.

use super::{A, B, C, G, LATEST, ONCE, OWN, RECENT, Seen, T, WRITE, router, settle, take};
use crate::succession::{Phase, Settings};
use crate::{ExecutionOutcome, Instance, NodeStatus, Role};
use test_case::test_case;

fn settings() -> Settings {
    Settings {
        expected_change_ms: 300.0,
        release_spread_ms: 0.0,
        ..Settings::default()
    }
}

/// Returns the policy with A as the primary and no change under way.
fn succeeding(settings: Settings) -> Instance {
    let mut router = router(false);
    router.succeed(Some(settings), 7);
    settle(&mut router, T + 0.3);
    assert!(router.succession.as_ref().unwrap().settled(G));
    router
}

/// Ends an execution of statement 1.
fn ended(
    router: &mut Instance,
    now: f64,
    execution: u8,
    node: u32,
    outcome: ExecutionOutcome,
    role: Option<Role>,
) {
    let lsn = if outcome == ExecutionOutcome::Completed {
        now
    } else {
        f64::NEG_INFINITY
    };
    router.executed(
        now,
        1,
        execution,
        node,
        outcome,
        0.01,
        outcome == ExecutionOutcome::Completed,
        role,
        lsn,
    );
}

/// Reports by a probe whether a node is the primary.
fn report_role(router: &mut Instance, now: f64, node: u32, leads: bool) {
    router.probed(now, node, true, Some(leads), now);
}

/// Returns the policy after A refused the connection for statement 1: whether A is still the primary is in doubt.
fn refused(settings: Settings, workload: usize) -> Instance {
    let mut router = succeeding(settings);
    take(&mut router, T + 0.4, 1, workload, 5, 0.0);
    assert_eq!(settle(&mut router, T + 0.4), ["execute 1 11"]);
    ended(
        &mut router,
        T + 0.41,
        0,
        A,
        ExecutionOutcome::ConnectFailed,
        None,
    );
    assert!(settle(&mut router, T + 0.41).is_empty(), "it is held");
    router
}

/// Returns the policy after A had all of statement 1, lost its connection, and then refused another one: statement 1
/// may have run.
fn doubtful(settings: Settings, workload: usize) -> Instance {
    let mut router = succeeding(settings);
    take(&mut router, T + 0.4, 1, workload, 5, 0.0);
    settle(&mut router, T + 0.4);
    ended(
        &mut router,
        T + 0.41,
        0,
        A,
        ExecutionOutcome::ConnectionLost,
        None,
    );
    router.witness(T + 0.41, A, crate::succession::Evidence::Lost);
    router
}

#[test_case(WRITE; "a write")]
#[test_case(ONCE; "a non-idempotent write that certainly did not run")]
fn a_write_is_held_until_a_primary_reports(workload: usize) {
    let mut router = refused(settings(), workload);
    assert!(router.succession.as_ref().unwrap().holds(1));
    report_role(&mut router, T + 0.5, C, false);
    assert!(settle(&mut router, T + 0.5).is_empty());
    report_role(&mut router, T + 0.6, B, true);
    assert_eq!(settle(&mut router, T + 0.61), ["execute 1 12"]);
}

#[test]
fn a_read_that_a_replica_can_answer_is_not_held() {
    let mut router = refused(settings(), WRITE);
    take(&mut router, T + 0.42, 2, RECENT, 0, 0.0);
    assert_eq!(settle(&mut router, T + 0.42).len(), 1);
    assert!(!router.succession.as_ref().unwrap().holds(2));
}

#[test]
fn a_read_without_a_replica_goes_to_the_new_primary() {
    let mut router = refused(settings(), WRITE);
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
fn a_read_of_the_latest_data_is_held_unless_a_replica_has_it() {
    let mut router = refused(settings(), LATEST);
    assert!(router.succession.as_ref().unwrap().holds(1));
    report_role(&mut router, T + 0.5, C, false);
    assert_eq!(settle(&mut router, T + 0.5), ["execute 1 13"]);
}

#[test]
fn a_primary_that_was_only_slow_keeps_its_term() {
    let mut router = refused(settings(), WRITE);
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
fn a_held_statement_is_not_rejected_after_half_of_its_time() {
    let mut router = refused(
        Settings {
            expected_change_ms: 1500.0,
            ..settings()
        },
        WRITE,
    );
    assert!(
        settle(&mut router, T + 1.45).is_empty(),
        "half of two seconds is over"
    );
    report_role(&mut router, T + 1.5, B, true);
    assert_eq!(settle(&mut router, T + 1.5), ["execute 1 12"]);
}

#[test]
fn a_statement_that_would_wait_in_vain_is_rejected_at_once() {
    let mut router = succeeding(Settings {
        expected_change_ms: 9000.0,
        least_chance: 0.25,
        ..settings()
    });
    router.witness(T + 0.41, A, crate::succession::Evidence::Lost);
    router.arrived(T + 0.5, 2, WRITE, G, 6, 9, 0.0, T + 2.5, 0.0);
    let mut seen = Seen::default();
    router.settle(T + 0.5, &mut seen);
    assert!(seen.0.contains(&"reject 2".to_string()), "{:?}", seen.0);
}

#[test]
fn a_draining_primary_gets_writes_for_half_of_the_grace() {
    let mut router = succeeding(settings());
    take(&mut router, T + 0.4, 1, WRITE, 5, 0.0);
    assert_eq!(settle(&mut router, T + 0.4), ["execute 1 11"]);
    router.list_begins();
    router.list_member(T + 0.41, A, (G, 0), NodeStatus::Draining, 0.0, true);
    router.list_ends(T + 0.41, false);
    take(&mut router, T + 0.42, 2, WRITE, 6, 0.0);
    assert_eq!(
        settle(&mut router, T + 0.42),
        ["execute 2 11"],
        "for half of the grace"
    );
    ended(
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
        router.succession.as_ref().unwrap().holds(3),
        "its report that it is the primary did not end the drain"
    );
    report_role(&mut router, T + 0.7, B, true);
    assert_eq!(settle(&mut router, T + 0.7), ["execute 3 12"]);
}

#[test]
fn a_deduplicated_write_that_may_have_run_is_sent_again() {
    let mut router = doubtful(settings(), WRITE);
    assert!(settle(&mut router, T + 0.5).is_empty());
    report_role(&mut router, T + 0.6, B, true);
    assert_eq!(settle(&mut router, T + 0.6), ["execute 1 12"]);
}

#[test_case(WRITE, T + 1.5; "the memory of repeats has ended")]
#[test_case(ONCE, T + 0.6; "it must not be repeated")]
fn a_write_with_an_unknown_outcome_is_aborted(workload: usize, at: f64) {
    let mut router = doubtful(
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

#[test_case(ExecutionOutcome::Completed, &[]; "it ran: the inquiry brings its answer")]
#[test_case(ExecutionOutcome::NotEligible, &["execute 1 12"]; "it never ran and never will: it is sent again")]
#[test_case(ExecutionOutcome::Errored, &["abort 1"]; "the node can't tell")]
#[test_case(ExecutionOutcome::Rejected, &["inquire 1 12"]; "the node is not the primary or full: it is asked once more")]
fn a_later_primary_is_asked_for_the_outcome(answer: ExecutionOutcome, expected: &[&str]) {
    let outcomes = Settings {
        outcomes: true,
        expected_change_ms: 1400.0,
        ..settings()
    };
    let mut router = doubtful(outcomes, WRITE);
    router.carries(1, 100, true);
    assert!(
        settle(&mut router, T + 1.4).is_empty(),
        "the node that it was sent to may still run it"
    );
    report_role(&mut router, T + 1.5, B, true);
    assert_eq!(settle(&mut router, T + 1.5), ["inquire 1 12"]);
    ended(&mut router, T + 1.52, 1, B, answer, None);
    assert_eq!(settle(&mut router, T + 1.6), expected);
}

#[test_case(true, &["abort 1"]; "it works: it may still run the write")]
#[test_case(false, &["inquire 1 12"]; "it is gone, and another leads")]
fn after_a_lost_connection_the_primary_is_probed(works: bool, expected: &[&str]) {
    let mut router = succeeding(Settings {
        outcomes: true,
        ..settings()
    });
    take(&mut router, T + 0.4, 1, ONCE, 5, 0.0);
    router.carries(1, 100, true);
    settle(&mut router, T + 0.4);
    ended(
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
    if works {
        report_role(&mut router, T + 0.5, A, true);
    } else {
        router.witness(T + 0.5, A, crate::succession::Evidence::Lost);
        assert!(settle(&mut router, T + 0.5).is_empty());
        report_role(&mut router, T + 0.6, B, true);
    }
    assert_eq!(settle(&mut router, T + 0.61), expected);
}

#[test]
fn a_write_without_a_mark_is_not_asked_about() {
    let mut router = doubtful(
        Settings {
            outcomes: true,
            ..settings()
        },
        ONCE,
    );
    router.carries(1, 100, false);
    assert_eq!(settle(&mut router, T + 0.5), ["abort 1"]);
}

#[test]
fn a_read_that_requires_a_lost_commit_is_aborted() {
    let mut router = succeeding(Settings {
        branch_field: "x2".into(),
        promoted_field: "x3".into(),
        ..settings()
    });
    report_role(&mut router, T + 1.0, B, true);
    report_role(&mut router, T + 1.0, C, false);
    router.took_over(T + 1.0, B, T + 0.4, T + 0.9);
    settle(&mut router, T + 1.0);
    // Their sessions wrote 0.5 and 1.2 seconds ago: after the point where the logs part, and before it.
    take(&mut router, T + 1.2, 1, OWN, 5, 0.5);
    take(&mut router, T + 1.2, 2, OWN, 6, 1.2);
    let seen = settle(&mut router, T + 1.2);
    assert!(
        seen.contains(&"abort 1".to_string()) && seen.contains(&"execute 2 13".to_string()),
        "{seen:?}"
    );
}

#[test]
fn completions_of_a_deposed_primary_do_not_count_if_writes_may_be_lost() {
    for (field, counts) in [("x2", false), ("", true)] {
        let may_lose = Settings {
            branch_field: field.into(),
            promoted_field: field.into(),
            ..settings()
        };
        let mut router = succeeding(may_lose);
        take(&mut router, T + 0.4, 1, WRITE, 5, 0.0);
        settle(&mut router, T + 0.4);
        assert!(router.vouches(1, A));
        report_role(&mut router, T + 0.5, B, true);
        assert_eq!(
            router.vouches(1, A),
            counts,
            "a synchronous store loses no answered write"
        );
    }
}

#[test]
fn the_position_of_a_deposed_node_counts_once_it_is_a_replica() {
    let mut router = succeeding(settings());
    report_role(&mut router, T + 0.5, B, true);
    report_role(&mut router, T + 0.6, A, true);
    assert_eq!(
        router.nodes[&A].lsn,
        f64::NEG_INFINITY,
        "its position is one in its own log"
    );
    report_role(&mut router, T + 0.7, A, false);
    assert_eq!(router.nodes[&A].lsn, T + 0.7);
}

#[test]
fn without_a_primary_no_position_proves_a_sessions_write_if_writes_may_be_lost() {
    let may_lose = Settings {
        branch_field: "x2".into(),
        promoted_field: "x3".into(),
        ..settings()
    };
    for (settings, sent) in [(may_lose, 0), (settings(), 1)] {
        let mut router = refused(settings, WRITE);
        report_role(&mut router, T + 0.45, C, false);
        take(&mut router, T + 0.46, 2, OWN, 8, 0.2);
        let seen = settle(&mut router, T + 0.46);
        assert_eq!(
            seen.iter()
                .filter(|line| line.starts_with("execute 2"))
                .count(),
            sent,
            "{seen:?}"
        );
    }
}

#[test]
fn a_client_that_leaves_frees_its_place_in_the_queue() {
    let mut router = refused(settings(), WRITE);
    router.abandoned(1);
    settle(&mut router, T + 0.5);
    assert_eq!(router.succession.as_ref().unwrap().held().0.statements, 0);
}

#[test]
fn without_settings_each_statement_is_decided_on_its_own() {
    let mut router = refused(settings(), WRITE);
    router.succeed(None, 7);
    report_role(&mut router, T + 0.5, B, true);
    assert_eq!(settle(&mut router, T + 0.6), ["execute 1 12"]);
}
