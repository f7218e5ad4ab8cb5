//! Tests of the policy as one of many routers: turns, budgets and subsets restrict what it does, and nothing else.

use super::*;
use crate::fleet::Settings;
use test_case::test_case;

/// Returns the policy of one of forty routers, which take turns by the clock.
fn one_of_many(settings: Settings) -> Instance {
    let mut router = router(false);
    router.routers = 40.0;
    let routers = (0..40).map(|i| format!("r-{i:02}")).collect();
    router.join(
        Some(Settings {
            routers,
            ..settings
        }),
        7,
        "r-05",
    );
    [(A, "a"), (B, "b"), (C, "c")]
        .iter()
        .for_each(|(id, name)| router.named(*id, name));
    router
}

/// Returns at how many of 400 checks, 50 ms apart, `each` returns true.
fn count_checks(mut each: impl FnMut(f64) -> bool) -> usize {
    (0..400)
        .filter(|check| each(T + 1.0 + 0.05 * f64::from(*check)))
        .count()
}

#[test]
fn idle_probes_are_sent_in_turn() {
    let mut router = one_of_many(Settings {
        idle_probes_per_s: 2.0,
        ..Settings::default()
    });
    let mut seen = Seen::default();
    let probes = count_checks(|now| {
        let probed = router.probe(B, now, &mut seen);
        router.probed(now, B, true, Some(false), now);
        probed
    });
    // A cycle takes twenty seconds: a turn of half a second for each of forty routers.
    assert!((1..=2).contains(&probes), "{probes} probes");
}

#[test]
fn without_settings_a_probe_needs_no_turn() {
    let (mut router, mut seen) = (router(false), Seen::default());
    let probes = count_checks(|now| {
        let probed = router.probe(B, now, &mut seen);
        router.probed(now, B, true, Some(false), now);
        probed
    });
    assert_eq!(probes, 400);
}

#[test]
fn a_suspect_is_tried_in_turn() {
    let router = one_of_many(Settings {
        trials_per_s: 2.0,
        ..Settings::default()
    });
    assert!(
        (1..=21).contains(&count_checks(|now| router.may_try(B, now))),
        "one turn of half a second in each cycle"
    );
}

#[test]
fn a_router_uses_a_replica_outside_its_subset_if_it_must() {
    let mut router = one_of_many(Settings {
        subset: 1,
        ..Settings::default()
    });
    let mut seen = Seen::default();
    router.settle(T, &mut seen);
    let kept: Vec<u32> = [B, C]
        .into_iter()
        .filter(|id| router.keeps(G, *id))
        .collect();
    assert_eq!(kept.len(), 1);
    let chosen = |router: &mut Instance, stmt: u32, now: f64| {
        router.arrived(now, stmt, LOOSE, G, 0, usize::MAX, 0.0, now + 2.0, 0.0);
        router.choose(stmt, now)
    };
    for stmt in 1..5 {
        assert_eq!(chosen(&mut router, stmt, T), Some(kept[0]));
    }
    router
        .nodes
        .get_mut(&kept[0])
        .unwrap()
        .set_status(NodeStatus::Draining, T);
    let other = [B, C].into_iter().find(|id| *id != kept[0]);
    assert_eq!(
        chosen(&mut router, 9, T),
        other,
        "the subset is widened at once"
    );
}

#[test_case(0.0, false; "no share")]
#[test_case(1.0, true; "as many as there are first executions")]
fn hedged_executions_are_a_share_of_first_executions(copies: f64, expected: bool) {
    let mut router = one_of_many(Settings {
        copies,
        ..Settings::default()
    });
    router.arrived(T, 1, LOOSE, G, 0, usize::MAX, 0.0, T + 2.0, 0.0);
    router.settle(T, &mut Seen::default());
    assert!(router.statements[&1].in_flight().next().is_some());
    assert_eq!(router.may_copy(T), expected);
}

/// A failed execution uses up the budget of repeats; one that a node declined costs nothing.
#[test_case(ExecutionOutcome::Errored, false; "failed")]
#[test_case(ExecutionOutcome::NotEligible, true; "declined")]
fn repeats_are_a_share_of_first_executions(outcome: ExecutionOutcome, expected: bool) {
    let mut router = one_of_many(Settings {
        repeats: 0.0,
        ..Settings::default()
    });
    router.arrived(T, 1, LOOSE, G, 0, usize::MAX, 0.0, T + 2.0, 0.0);
    let mut executed = Execution::new(B, T);
    executed.outcome = Some(outcome);
    router
        .statements
        .get_mut(&1)
        .unwrap()
        .executions
        .push(executed);
    assert_eq!(router.may_repeat(1, T), expected);
}

#[test]
fn a_node_that_has_just_started_gets_its_first_sends_in_turn() {
    let mut router = one_of_many(Settings {
        first_sends_per_s: 2.0,
        ..Settings::default()
    });
    let node = router.nodes.get_mut(&B).unwrap();
    (node.started_at, node.last_heard_at) = (T, crate::state::NEVER);
    // The node is cold for ten seconds, half of a cycle.
    let allowed = count_checks(|now| now < T + 9.0 && router.let_through(B, now));
    assert!(allowed <= 10, "{allowed} of 160");
    router.nodes.get_mut(&B).unwrap().last_heard_at = T + 1.0;
    assert!(
        router.let_through(B, T + 1.0),
        "once it has answered it is treated as any other node"
    );
    assert!(
        router.let_through(C, T + 1.0),
        "other nodes are not affected"
    );
}

#[test]
fn the_number_of_routers_is_estimated_and_is_reset_without_settings() {
    let mut router = one_of_many(Settings {
        held_field: "held".into(),
        ..Settings::default()
    });
    [A, B, C]
        .iter()
        .for_each(|id| router.holds(T, *id, 400.0, 1.0));
    router.settle(T, &mut Seen::default());
    assert!(router.routers > 150.0, "{}", router.routers);
    router.join(None, 7, "r-05");
    assert_eq!(router.routers, 40.0);
}

#[test]
fn a_statement_given_up_is_counted_with_its_obstacles() {
    let (mut router, mut seen) = (router(false), Seen::default());
    router.groups.get_mut(&G).unwrap().primary = None;
    router
        .nodes
        .values_mut()
        .for_each(|node| node.set_status(NodeStatus::Draining, T - 10.0));
    router.arrived(T, 1, LOOSE, G, 0, usize::MAX, 0.0, T + 2.0, 0.0);
    router.settle(T + 1.999, &mut seen);
    assert!(
        seen.0.iter().any(|order| order == "reject 1"),
        "{:?}",
        seen.0
    );
    assert_eq!(router.tally.given_up.values().sum::<u64>(), 1);
    assert_eq!(
        router.tally.given_up_obstacles.get("drains or is gone"),
        Some(&3)
    );
    assert!(
        router
            .tally
            .log_line()
            .contains("in_the_way[drains_or_is_gone=3]"),
        "{}",
        router.tally.log_line()
    );
}
