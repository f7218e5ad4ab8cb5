//! What the three further deployments showed, and what their changes must leave as it was.

use super::*;
use crate::state::{AnswerTimes, NEVER};
use test_case::test_case;

/// A read of a session that wrote `age` ago, executed at B and ended so, which tells no position.
fn ended_at_b(router: &mut Instance, now: f64, age: f64, ending: ExecutionOutcome) {
    take(router, now - 0.05, 1, OWN, 5, age);
    router
        .statements
        .get_mut(&1)
        .unwrap()
        .executions
        .push(sent(B, now - 0.05, None));
    router.executed(now, 1, 0, B, ending, 0.05, true, Some(Role::Replica), NEVER);
    settle(router, now);
}

/// Found on a quiet day of almaty-routes: answers told no positions, only probes did, and replicas that answered
/// all the time were taken for as far behind as the last probe was old.
#[test_case(ExecutionOutcome::Completed, 0.2, 0.7, true; "it answered what was nearly as young")]
#[test_case(ExecutionOutcome::Completed, 0.2, 0.3, false; "it answered only what was older")]
#[test_case(ExecutionOutcome::NotEligible, 0.2, 0.4, false; "it missed what was hardly younger")]
#[test_case(ExecutionOutcome::NotEligible, 0.2, 0.7, true; "what it missed was much younger")]
fn where_nodes_check_an_outcome_tells_the_lag(
    ending: ExecutionOutcome,
    then: f64,
    age: f64,
    expected: bool,
) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&B).unwrap();
    let known = if ending == ExecutionOutcome::Completed {
        5.0
    } else {
        0.0
    };
    (node.lsn, node.last_heard_at, node.lag, node.lag_known_at) = (T - 5.0, T, known, T);
    ended_at_b(&mut router, T, then, ending);
    router.nodes.get_mut(&B).unwrap().lsn = T - 5.0;
    take(&mut router, T + 0.01, 2, OWN, 6, age);
    assert_eq!(
        router.fresh_enough(&router.statements[&2], B, T + 0.01),
        expected
    );
}

#[test_case(0.9, 0.5, false; "missed a moment ago")]
#[test_case(1.1, 0.5, true; "it may have caught up")]
#[test_case(1.1, 4.0, true; "a miss is cheap, however far behind it was")]
fn a_miss_is_believed_for_a_second(later: f64, lag: f64, expected: bool) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.lsn, node.lag, node.lag_known_at, node.last_heard_at) = (T - 9.0, lag, T, T + later);
    take(&mut router, T + later, 1, OWN, 5, 0.1);
    assert_eq!(
        router.fresh_enough(&router.statements[&1], B, T + later),
        expected
    );
}

fn long_reports(router: &mut Instance) {
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

/// Found on a day of timeplan-oslo: one long read in a mix of short ones owed twelve answers within half a second;
/// its node became a suspect, and the read was copied up to six times to nodes that go on with what is cancelled.
#[test_case(LOOSE, false; "a long one")]
#[test_case(RECENT, true; "a short one")]
fn a_statement_owes_its_answer_by_its_own_length(workload: usize, expected: bool) {
    let mut router = router(false);
    long_reports(&mut router);
    router.nodes.values_mut().for_each(|n| n.latency_s = 0.04);
    take(&mut router, T, 1, workload, 0, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 1 12"]);
    settle(&mut router, T + 0.55);
    assert_eq!(router.nodes[&B].suspected_at.is_some(), expected);
}

#[test]
fn lengths_add_up_to_those_of_the_usual_mix() {
    let mut router = router(false);
    long_reports(&mut router);
    let lengths = [RECENT, LOOSE].map(|workload| router.length(workload));
    assert!(
        (0.97 * lengths[0] + 0.03 * lengths[1] - 1.0).abs() < 1e-6,
        "{lengths:?}"
    );
    assert!(lengths[1] > 9.0 * lengths[0], "{lengths:?}");
}

#[test]
fn until_answers_tell_a_length_goes_by_the_slo_time() {
    let mut router = router(false);
    router.served_value[0][RECENT].requested = 3.0;
    assert!((router.length(LOOSE) - 1.0).abs() < 1e-6);
}

/// Found on the same day: long reads of any age, spread evenly, kept every replica from applying.
#[test_case(0.0, &[B, C, B]; "replicas that keep up share them")]
#[test_case(5.0, &[B, B, B]; "once one falls behind a third takes them")]
fn reads_of_any_age_gather(lag: f64, expected: &[u32]) {
    let mut router = router(true);
    let node = router.nodes.get_mut(&C).unwrap();
    (node.lag, node.lag_known_at) = (lag, T);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let order: Vec<_> = (0..3).map(|_| router.choose(1, T).unwrap()).collect();
    assert_eq!(order, expected);
}

/// Found in an incident of timeplan-oslo: what found no room at the gathered replicas held back all others.
#[test]
fn gathered_reads_do_not_spill_over_to_other_replicas() {
    let mut router = router(true);
    let node = router.nodes.get_mut(&C).unwrap();
    (node.lag, node.lag_known_at) = (5.0, T);
    router.nodes.get_mut(&B).unwrap().in_flight = 99;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), Some(A));
}

/// Found on a busy day of almaty-routes: work took more than the share of the SLO time at which room was cut, with
/// no queue at all, so rooms shrank to a third of a node's cores.
#[test_case(0.06, true; "short against the SLO time")]
#[test_case(0.12, true; "long, but as long at its best")]
#[test_case(0.3, false; "so long that many would be late")]
fn room_goes_by_what_answers_take_at_their_best(took: f64, grows: bool) {
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
fn a_full_group_is_looked_at_again_as_soon_as_it_has_room() {
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
fn who_waits_at_a_full_group_is_given_up_between_beats_too() {
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
fn a_workload_whose_slo_time_is_zero_spoils_no_pace() {
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
