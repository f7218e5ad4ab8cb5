//! One of many routers: time slots, budgets and subsets restrict what routing does, and change nothing else.

use super::*;
use crate::fleet::Settings;
use test_case::test_case;

/// One of forty named routers, which acts in time slots of the clock.
fn one_of_many(settings: Settings) -> Instance {
    let mut router = router(false);
    router.routers = 40.0;
    let routers = (0..40).map(|i| format!("r-{i:02}")).collect();
    router.set_fleet_sharing(
        Some(Settings {
            routers,
            ..settings
        }),
        7,
        "r-05",
    );
    [(A, "a"), (B, "b"), (C, "c")]
        .iter()
        .for_each(|(id, name)| router.node_named(*id, name));
    router
}

/// Calls `each` at 400 times, 50 ms apart. Returns how often it returned true.
fn count_true(mut each: impl FnMut(f64) -> bool) -> usize {
    (0..400)
        .filter(|step| each(T + 1.0 + 0.05 * f64::from(*step)))
        .count()
}

#[test]
fn idle_probes_need_a_slot() {
    let mut router = one_of_many(Settings {
        idle_probes_per_s: 2.0,
        ..Settings::default()
    });
    let mut seen = Seen::default();
    let probes = count_true(|now| {
        let sent = router.probe(B, now, &mut seen);
        router.probed(now, B, true, Some(false), now);
        sent
    });
    // Twenty seconds are one cycle: a slot of half a second for each of forty routers.
    assert!((1..=2).contains(&probes), "{probes} probes");
}

#[test]
fn without_settings_a_probe_needs_no_slot() {
    let (mut router, mut seen) = (router(false), Seen::default());
    let probes = count_true(|now| {
        let sent = router.probe(B, now, &mut seen);
        router.probed(now, B, true, Some(false), now);
        sent
    });
    assert_eq!(probes, 400);
}

#[test]
fn a_trial_of_a_suspect_needs_a_slot() {
    let router = one_of_many(Settings {
        trials_per_s: 2.0,
        ..Settings::default()
    });
    assert!(
        (1..=21).contains(&count_true(|now| router.may_try_suspect(B, now))),
        "more than one slot of half a second per cycle"
    );
}

#[test]
fn outside_its_subset_a_router_takes_a_replica_if_none_inside_will_do() {
    let mut router = one_of_many(Settings {
        subset: 1,
        ..Settings::default()
    });
    let mut seen = Seen::default();
    router.settle(T, &mut seen);
    let subset: Vec<u32> = [B, C]
        .into_iter()
        .filter(|id| router.uses_replica(G, *id))
        .collect();
    assert_eq!(subset.len(), 1);
    let chosen = |router: &mut Instance, stmt: u32, now: f64| {
        router.arrived(now, stmt, LOOSE, G, 0, usize::MAX, 0.0, now + 2.0, 0.0);
        router.choose(stmt, now)
    };
    for stmt in 1..5 {
        assert_eq!(chosen(&mut router, stmt, T), Some(subset[0]));
    }
    router
        .nodes
        .get_mut(&subset[0])
        .unwrap()
        .set_status(NodeStatus::Draining, T);
    let other = [B, C].into_iter().find(|id| *id != subset[0]);
    assert_eq!(
        chosen(&mut router, 9, T),
        other,
        "it does not take the other replica at once"
    );
}

#[test_case(0.0, false; "a share of zero")]
#[test_case(1.0, true; "a share of one")]
fn second_copies_are_a_share_of_first_executions(copies: f64, may: bool) {
    let mut router = one_of_many(Settings {
        copies,
        ..Settings::default()
    });
    router.arrived(T, 1, LOOSE, G, 0, usize::MAX, 0.0, T + 2.0, 0.0);
    router.settle(T, &mut Seen::default());
    assert!(router.statements[&1].in_flight().next().is_some());
    assert_eq!(router.may_hedge(T), may);
}

/// A statement whose execution failed needs a token of the retry budget; one that was only turned away does not.
#[test_case(ExecutionOutcome::Errored, false; "failed")]
#[test_case(ExecutionOutcome::NotEligible, true; "missed")]
fn retries_are_a_share_of_first_executions(ending: ExecutionOutcome, may: bool) {
    let mut router = one_of_many(Settings {
        repeats: 0.0,
        ..Settings::default()
    });
    router.arrived(T, 1, LOOSE, G, 0, usize::MAX, 0.0, T + 2.0, 0.0);
    let mut executed = Execution::new(B, T);
    executed.outcome = Some(ending);
    router
        .statements
        .get_mut(&1)
        .unwrap()
        .executions
        .push(executed);
    assert_eq!(router.may_retry(1, T), may);
}

#[test]
fn a_first_send_to_a_new_node_needs_a_slot() {
    let mut router = one_of_many(Settings {
        first_sends_per_s: 2.0,
        ..Settings::default()
    });
    let node = router.nodes.get_mut(&B).unwrap();
    node.started_at = T;
    node.last_heard_at = crate::state::NEVER;
    // The node is cold for ten seconds, which is half of a cycle.
    let allowed = count_true(|now| now < T + 9.0 && router.pacing_allows_send(B, now));
    assert!(allowed <= 10, "{allowed} of 160");
    router.nodes.get_mut(&B).unwrap().last_heard_at = T + 1.0;
    assert!(
        router.pacing_allows_send(B, T + 1.0),
        "a node that has answered is still treated as new"
    );
    assert!(
        router.pacing_allows_send(C, T + 1.0),
        "another node is affected"
    );
}

#[test]
fn the_estimated_number_of_routers_applies_until_fleet_sharing_is_turned_off() {
    let mut router = one_of_many(Settings {
        held_field: "held".into(),
        ..Settings::default()
    });
    [A, B, C]
        .iter()
        .for_each(|id| router.connections_reported(T, *id, 400.0, 1.0));
    router.settle(T, &mut Seen::default());
    assert!(router.routers > 150.0, "{}", router.routers);
    router.set_fleet_sharing(None, 7, "r-05");
    assert_eq!(router.routers, 40.0);
}

#[test]
fn a_rejection_is_counted_with_the_reason_at_each_member() {
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
