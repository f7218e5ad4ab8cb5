//! Tests of faults that were found in three deployments, and of behavior that the corrections must not change.

use super::*;
use crate::state::{AnswerTimes, NEVER};
use test_case::test_case;

/// Executes a read of a session that wrote `age` seconds ago at B, with this outcome and without a reported position.
fn ended_at_b(router: &mut Instance, now: f64, age: f64, outcome: ExecutionOutcome) {
    take(router, now - 0.05, 1, OWN, 5, age);
    router
        .statements
        .get_mut(&1)
        .unwrap()
        .executions
        .push(sent(B, now - 0.05, None));
    router.executed(
        now,
        1,
        0,
        B,
        outcome,
        0.05,
        true,
        Some(Role::Replica),
        NEVER,
    );
    settle(router, now);
}

/// Guards against overestimated lag where answers report no position: replicas that answered all the time counted as
/// lagging by the age of their last probe.
#[test_case(ExecutionOutcome::Completed, 0.2, 0.7, true; "it answered a read that required almost the same")]
#[test_case(ExecutionOutcome::Completed, 0.2, 0.3, false; "it answered only a read that required older data")]
#[test_case(ExecutionOutcome::NotEligible, 0.2, 0.4, false; "it declined a read that required hardly newer data")]
#[test_case(ExecutionOutcome::NotEligible, 0.2, 0.7, true; "the read that it declined required much newer data")]
fn where_nodes_check_freshness_an_outcome_shows_the_lag(
    outcome: ExecutionOutcome,
    earlier_age: f64,
    age: f64,
    expected: bool,
) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&B).unwrap();
    let lag = if outcome == ExecutionOutcome::Completed {
        5.0
    } else {
        0.0
    };
    (node.lsn, node.last_heard_at, node.lag, node.lag_known_at) = (T - 5.0, T, lag, T);
    ended_at_b(&mut router, T, earlier_age, outcome);
    router.nodes.get_mut(&B).unwrap().lsn = T - 5.0;
    take(&mut router, T + 0.01, 2, OWN, 6, age);
    assert_eq!(
        router.fresh_enough(&router.statements[&2], B, T + 0.01),
        expected
    );
}

#[test_case(0.9, 0.5, false; "declined a moment ago")]
#[test_case(1.1, 0.5, true; "it may have caught up")]
#[test_case(1.1, 4.0, true; "it is tried again however far behind it was")]
fn a_declined_read_counts_for_a_second(later: f64, lag: f64, expected: bool) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.lsn, node.lag, node.lag_known_at, node.last_heard_at) = (T - 9.0, lag, T, T + later);
    take(&mut router, T + later, 1, OWN, 5, 0.1);
    assert_eq!(
        router.fresh_enough(&router.statements[&1], B, T + later),
        expected
    );
}

/// Long reads (`LOOSE`) among many short ones (`RECENT`).
fn mixed_lengths(router: &mut Instance) {
    for (workload, share) in [(RECENT, 0.1), (LOOSE, 1.5)] {
        router.workload_answer_times[workload] = AnswerTimes {
            answers: 50.0,
            share,
        };
    }
    router.served_value[0][RECENT].requested = 3.0 * 97.0;
    router.served_value[0][LOOSE].requested = 3.0;
    router.answer_times = AnswerTimes {
        answers: 50.0,
        share: 0.14,
    };
}

/// Guards against false suspicion by a long read among short ones: it counted as twelve owed answers within half a
/// second, its node became a suspect, and the read was sent up to six times to nodes that do not stop a cancelled one.
#[test_case(LOOSE, false; "a long statement")]
#[test_case(RECENT, true; "a short statement")]
fn an_answer_is_owed_by_the_length_of_its_statement(workload: usize, expected: bool) {
    let mut router = router(false);
    mixed_lengths(&mut router);
    router.nodes.values_mut().for_each(|n| n.latency_s = 0.04);
    take(&mut router, T, 1, workload, 0, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 1 12"]);
    settle(&mut router, T + 0.55);
    assert_eq!(router.nodes[&B].suspected_at.is_some(), expected);
}

#[test]
fn the_average_length_of_the_mix_is_one() {
    let mut router = router(false);
    mixed_lengths(&mut router);
    let lengths = [RECENT, LOOSE].map(|workload| router.length(workload));
    assert!(
        (0.97 * lengths[0] + 0.03 * lengths[1] - 1.0).abs() < 1e-6,
        "{lengths:?}"
    );
    assert!(lengths[1] > 9.0 * lengths[0], "{lengths:?}");
}

#[test]
fn without_answers_the_length_follows_the_slo_time() {
    let mut router = router(false);
    router.served_value[0][RECENT].requested = 3.0;
    assert!((router.length(LOOSE) - 1.0).abs() < 1e-6);
}

/// Guards against long reads of any age that keep every replica from applying the log because they are spread evenly.
#[test_case(0.0, &[B, C, B]; "replicas without lag share the reads")]
#[test_case(5.0, &[B, B, B]; "once one lags a third of the replicas takes them")]
fn reads_of_any_age_are_gathered(lag: f64, expected: &[u32]) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&C).unwrap();
    (node.lag, node.lag_known_at) = (lag, T);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let order: Vec<_> = (0..3).map(|_| router.choose(1, T).unwrap()).collect();
    assert_eq!(order, expected);
}

/// Guards against reads of any age that find the gathering replicas full and then hold back all other replicas.
#[test]
fn gathered_reads_do_not_use_other_replicas() {
    let mut router = router(true);
    let node = router.nodes.get_mut(&C).unwrap();
    (node.lag, node.lag_known_at) = (5.0, T);
    router.nodes.get_mut(&B).unwrap().in_flight = 99;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), Some(A));
}

/// Guards against concurrency limits that shrink without any queue: the work alone took longer than the share of the
/// SLO time at which limits are reduced, and they shrank to a third of a node's cores.
#[test_case(0.06, true; "short compared with the SLO time")]
#[test_case(0.12, true; "long, but as long without queues")]
#[test_case(0.3, false; "so long that many would be late")]
fn limits_follow_the_answer_time_without_queues(took: f64, grows: bool) {
    let mut router = router(false);
    router
        .nodes
        .values_mut()
        .for_each(|n| (n.concurrency_limit, n.in_flight) = (8.0, 8));
    for i in 0..60 {
        let now = T + 0.2 * f64::from(i);
        take(&mut router, now, 1, LOOSE, 0, 0.0);
        router
            .statements
            .get_mut(&1)
            .unwrap()
            .executions
            .push(sent(B, now, None));
        router.executed(
            now + took,
            1,
            0,
            B,
            ExecutionOutcome::Completed,
            took,
            true,
            None,
            NEVER,
        );
        router.abandoned(1);
        settle(&mut router, now + took);
        router.nodes.get_mut(&B).unwrap().in_flight = 8;
    }
    assert_eq!(
        router.nodes[&B].concurrency_limit > 8.0,
        grows,
        "{}",
        router.nodes[&B].concurrency_limit
    );
}

#[test]
fn a_full_group_is_used_again_as_soon_as_it_has_capacity() {
    let mut router = router(false);
    router.nodes.values_mut().for_each(|n| n.in_flight = 99);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert!(settle(&mut router, T).is_empty());
    router.touch_group(G);
    assert!(settle(&mut router, T + 0.01).is_empty());
    router.nodes.get_mut(&C).unwrap().in_flight = 0;
    router.touch_group(G);
    assert_eq!(settle(&mut router, T + 0.02), ["execute 1 13"]);
}

#[test]
fn statements_of_a_full_group_are_given_up_between_checks_too() {
    let mut router = router(false);
    router
        .nodes
        .values_mut()
        .for_each(|n| (n.in_flight, n.latency_s) = (99, 0.05));
    take(&mut router, T, 1, RECENT, 0, 0.0);
    let s = router.statements.get_mut(&1).unwrap();
    (s.deadline, s.slo_deadline, s.halfway_at) = (T + 0.52, T + 0.52, T + 9.0);
    assert!(settle(&mut router, T + 0.40).is_empty());
    router.touch_group(G);
    assert_eq!(settle(&mut router, T + 0.43), ["reject 1"]);
}

#[test]
fn an_slo_time_of_zero_leaves_the_averages_valid() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let s = router.statements.get_mut(&1).unwrap();
    s.workload.slo = 0.0;
    s.executions.push(sent(B, T, None));
    router.executed(
        T + 0.1,
        1,
        0,
        B,
        ExecutionOutcome::Completed,
        0.1,
        true,
        None,
        NEVER,
    );
    assert!(router.answer_times.share == 0.0 && router.length(LOOSE).is_finite());
}
