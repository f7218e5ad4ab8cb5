//! Unit tests of each rule on its own.

use crate::{
    Action, Fleet, RouterCount, Settings, ShareBudget, assign_subsets, stable_hash, subset,
};
use std::collections::BTreeSet;
use test_case::test_case;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("router-{i}")).collect()
}

/// One of `count` named routers that knows a node.
fn named_router(count: usize, own: usize, settings: Settings) -> Fleet {
    let settings = Settings {
        routers: names(count),
        ..settings
    };
    let mut fleet = Fleet::new(settings, own as u64, count as f64, &format!("router-{own}"));
    fleet.node_listed(1, "node-1");
    fleet
}

#[test_case(5.0, &[], 5.0; "without reports the configured number applies")]
#[test_case(5.0, &[(40.0, 1.0), (42.0, 1.0), (40.0, 1.0)], 22.5; "a much higher estimate applies at once, with the configured number weighted as one connection")]
#[test_case(40.0, &[(40.0, 1.0), (39.0, 1.0), (44.0, 1.0)], 40.0; "noise changes nothing")]
#[test_case(40.0, &[(400.0, 1.0), (40.0, 1.0), (40.0, 1.0)], 40.0; "one wrong node does not move the median")]
#[test_case(40.0, &[(3.0, 1.0), (3.0, 1.0), (3.0, 1.0)], 40.0; "a lower estimate does not apply at once")]
#[test_case(40.0, &[(2.0, 5.0), (f64::NAN, 1.0), (90.0, 0.0), (-4.0, 1.0)], 40.0; "impossible reports are ignored")]
fn router_count_after_reports(configured: f64, reports: &[(f64, f64)], expected: f64) {
    let mut count = RouterCount::new(configured, 3.0);
    for (node, (held, own)) in (0..).zip(reports) {
        count.reported(10.0, node, *held, *own);
    }
    count.update(10.1);
    assert_eq!(count.live(), expected);
}

#[test]
fn routers_that_have_gone_are_counted_for_the_configured_time() {
    let mut count = RouterCount::new(40.0, 3.0);
    let mut live_after = |from: u32, to: u32, held: f64| {
        let mut last = 0.0;
        for tick in from..to {
            let now = f64::from(tick) * 0.1;
            (0..3).for_each(|node| count.reported(now, node, held, 1.0));
            count.update(now);
            last = count.live();
        }
        last
    };
    assert_eq!(live_after(0, 20, 40.0), 40.0);
    assert_eq!(
        live_after(20, 45, 3.0),
        40.0,
        "routers that have gone are dropped too early"
    );
    assert!(
        live_after(45, 60, 3.0) < 25.0,
        "routers that have gone are counted for too long"
    );
    assert!(
        live_after(60, 64, 60.0) > 40.0,
        "a higher estimate is delayed"
    );
}

#[test]
fn without_fresh_reports_the_configured_number_applies() {
    let mut count = RouterCount::new(5.0, 3.0);
    (0..3).for_each(|node| count.reported(0.0, node, 60.0, 1.0));
    count.update(0.0);
    assert!(count.live() > 30.0);
    count.update(4.0);
    count.update(7.1);
    assert_eq!(count.live(), 5.0);
}

#[test]
fn a_router_owns_one_slot_per_cycle_and_uses_it_once() {
    let mut fleet = named_router(
        10,
        3,
        Settings {
            trials_per_s: 5.0,
            ..Settings::default()
        },
    );
    let cycle = fleet.cycle_s(Action::SuspectTrial);
    assert!((cycle - 2.0).abs() < 1e-9, "{cycle}");
    let mut used = 0;
    for step in 0..(4.0 * cycle / 0.01) as u32 {
        let now = 100.0 + f64::from(step) * 0.01;
        if fleet.may_act(Action::SuspectTrial, now, 1) {
            fleet.record_action(Action::SuspectTrial, now, 1);
            assert!(
                !fleet.may_act(Action::SuspectTrial, now, 1),
                "a slot was usable twice"
            );
            used += 1;
        }
    }
    assert_eq!(used, 4);
}

#[test]
fn a_single_router_is_not_restricted() {
    let mut single = Fleet::new(
        Settings {
            subset: 1,
            copies: 0.0,
            ..Settings::default()
        },
        7,
        1.0,
        "single",
    );
    single.node_listed(1, "node-1");
    single.update_subset(0, &[1, 2, 3], 0.1);
    for action in [
        Action::IdleProbe,
        Action::NeededProbe,
        Action::SuspectTrial,
        Action::FirstSend,
    ] {
        single.record_action(action, 5.0, 1);
        assert!(single.may_act(action, 5.0, 1), "{action:?}");
    }
    assert!(single.may_hedge(5.0) && single.may_retry(5.0));
    assert!([1, 2, 3].iter().all(|node| single.uses_replica(0, *node)));
}

#[test]
fn actions_and_nodes_have_slots_at_different_times() {
    let mut fleet = named_router(
        40,
        3,
        Settings {
            trials_per_s: 10.0,
            idle_probes_per_s: 10.0,
            ..Settings::default()
        },
    );
    fleet.node_listed(2, "node-2");
    let slots = |action, node| -> BTreeSet<u32> {
        (0..80)
            .filter(|slot| fleet.may_act(action, f64::from(*slot) * 0.1 + 0.05, node))
            .collect()
    };
    let (one, two) = (
        slots(Action::SuspectTrial, 1),
        slots(Action::SuspectTrial, 2),
    );
    assert_eq!((one.len(), two.len()), (2, 2));
    assert_ne!(one, two);
}

#[test_case(0.1, &[0.05, 0.5, 0.09, 0.1], 2; "tokens are earned at random")]
#[test_case(0.0, &[0.0, 0.5], 0; "a share of zero earns nothing")]
#[test_case(1.0, &[0.99, 0.0], 2; "a share of one earns a token each")]
fn a_budget_allows(share: f64, draws: &[f64], expected: usize) {
    let mut budget = ShareBudget::new(share);
    draws.iter().for_each(|draw| budget.earn(10.0, *draw));
    let mut spent = 0;
    while budget.allows(10.5) && spent < 1000 {
        budget.spend();
        spent += 1;
    }
    assert_eq!(spent, expected);
}

#[test]
fn unspent_tokens_expire() {
    let mut budget = ShareBudget::new(1.0);
    (0..1000).for_each(|i| budget.earn(f64::from(i) * 0.1, 0.0));
    assert!(budget.tokens() <= 101, "{}", budget.tokens());
    assert!(budget.allows(109.0) && !budget.allows(111.0));
}

#[test]
fn a_router_with_little_traffic_uses_a_subset() {
    let settings = Settings {
        subset: 2,
        little_per_s: 10.0,
        ..Settings::default()
    };
    let mut fleet = named_router(20, 4, settings);
    let replicas: Vec<u32> = (1..=6).collect();
    replicas
        .iter()
        .for_each(|id| fleet.node_listed(*id, &format!("node-{id}")));
    let used = |fleet: &Fleet| {
        replicas
            .iter()
            .filter(|id| fleet.uses_replica(0, **id))
            .count()
    };
    fleet.update_subset(0, &replicas, 5.0);
    assert_eq!(used(&fleet), 2);
    fleet.update_subset(0, &replicas, 15.0);
    assert_eq!(
        used(&fleet),
        2,
        "it switches back and forth at the boundary"
    );
    fleet.update_subset(0, &replicas, 25.0);
    assert_eq!(used(&fleet), 6);
    fleet.update_subset(0, &replicas, 15.0);
    assert_eq!(
        used(&fleet),
        6,
        "it switches back and forth at the boundary"
    );
    fleet.update_subset(0, &replicas, 5.0);
    assert_eq!(used(&fleet), 2);
}

#[test]
fn a_replica_that_leaves_service_is_replaced_at_once() {
    let mut fleet = named_router(
        20,
        4,
        Settings {
            subset: 2,
            ..Settings::default()
        },
    );
    let replicas: Vec<u32> = (1..=6).collect();
    replicas
        .iter()
        .for_each(|id| fleet.node_listed(*id, &format!("node-{id}")));
    fleet.update_subset(0, &replicas, 1.0);
    let gone = *replicas
        .iter()
        .find(|id| fleet.uses_replica(0, **id))
        .unwrap();
    let left: Vec<u32> = replicas.iter().copied().filter(|id| *id != gone).collect();
    fleet.update_subset(0, &left, 1.0);
    assert_eq!(
        left.iter().filter(|id| fleet.uses_replica(0, **id)).count(),
        2
    );
}

fn hashes(prefix: &str, count: usize) -> Vec<u64> {
    (0..count)
        .map(|i| stable_hash(&format!("{prefix}-{i}")))
        .collect()
}

#[test_case(40, 6, 2; "forty routers and six nodes")]
#[test_case(40, 12, 3; "forty routers and twelve nodes")]
#[test_case(40, 9, 1; "forty routers and nine nodes with one node each")]
#[test_case(300, 20, 4; "three hundred routers")]
fn subsets_are_even(routers: usize, nodes: usize, size: usize) {
    let subsets = assign_subsets(&hashes("router", routers), &hashes("node", nodes), size);
    let mut load = vec![0; nodes];
    subsets.values().flatten().for_each(|n| load[*n] += 1);
    let least = load.iter().min().unwrap();
    let most = load.iter().max().unwrap();
    assert!(*most as f64 <= 1.25 * *least as f64, "{load:?}");
    assert!(
        subsets
            .values()
            .all(|own| own.iter().collect::<BTreeSet<_>>().len() == size)
    );
}

/// Removes a router or a node. Returns the share of assigned pairs that change, without the pairs of what was removed.
fn moved_share(
    routers: &[u64],
    nodes: &[u64],
    size: usize,
    router: Option<usize>,
    node: Option<usize>,
) -> f64 {
    let before = assign_subsets(routers, nodes, size);
    let without = |of: &[u64], gone: Option<usize>| -> Vec<u64> {
        of.iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != gone)
            .map(|(_, hash)| *hash)
            .collect()
    };
    let left_routers = without(routers, router);
    let left_nodes = without(nodes, node);
    let after = assign_subsets(&left_routers, &left_nodes, size);
    let pairs = |subsets: &std::collections::BTreeMap<usize, Vec<usize>>,
                 routers: &[u64],
                 nodes: &[u64]| {
        let by_hash = subsets
            .iter()
            .flat_map(|(r, own)| own.iter().map(|n| (routers[*r], nodes[*n])));
        by_hash.collect::<BTreeSet<(u64, u64)>>()
    };
    let pairs_before = pairs(&before, routers, nodes);
    let pairs_after = pairs(&after, &left_routers, &left_nodes);
    let could_stay = pairs_before
        .iter()
        .filter(|(r, n)| left_routers.contains(r) && left_nodes.contains(n));
    let moved = could_stay
        .filter(|pair| !pairs_after.contains(pair))
        .count();
    moved as f64 / pairs_before.len() as f64
}

/// Beyond the pairs that have to move, a tenth of all pairs may move on average, and a quarter at most.
#[test_case(40, 6, 2; "six nodes")]
#[test_case(40, 12, 3; "twelve nodes")]
#[test_case(100, 20, 4; "a hundred routers")]
fn few_pairs_move(routers: usize, nodes: usize, size: usize) {
    let r = hashes("router", routers);
    let n = hashes("node", nodes);
    let by_router: Vec<f64> = (0..routers)
        .map(|gone| moved_share(&r, &n, size, Some(gone), None))
        .collect();
    let by_node: Vec<f64> = (0..nodes)
        .map(|gone| moved_share(&r, &n, size, None, Some(gone)))
        .collect();
    for shares in [by_router, by_node] {
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let most = shares.iter().copied().fold(0.0, f64::max);
        assert!(mean <= 0.1 && most <= 0.25, "mean {mean}, most {most}");
    }
}

#[test_case(1, 6, 2; "a single router")]
#[test_case(3, 6, 2; "too few routers for two at each node")]
#[test_case(40, 3, 3; "a subset as large as the group")]
fn all_nodes_are_used(routers: usize, nodes: usize, size: usize) {
    assert_eq!(
        subset(&hashes("router", routers), 0, &hashes("node", nodes), size).len(),
        nodes
    );
}

#[test_case(|s| s.forget_ms = 0.0, "forget_ms"; "a time of zero")]
#[test_case(|s| s.copies = 1.5, "copies"; "a share above one")]
#[test_case(|s| s.trials_per_s = -1.0, "trials_per_s"; "a negative rate")]
#[test_case(|s| s.little_per_s = f64::NAN, "little_per_s"; "not a number")]
#[test_case(|s| s.routers = vec!["a".into(), "a".into()], "routers"; "a duplicate name")]
fn invalid_settings_are_reported(invalidate: fn(&mut Settings), field: &str) {
    let mut settings = Settings::default();
    assert_eq!(settings.fault(), None);
    invalidate(&mut settings);
    assert_eq!(settings.fault().map(|fault| fault.0), Some(field));
}
