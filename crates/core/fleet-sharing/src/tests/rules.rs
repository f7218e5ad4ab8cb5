//! Each rule by itself.

use crate::{Census, Fleet, Kind, Purse, Settings, assigned, place, subset};
use std::collections::BTreeSet;
use test_case::test_case;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("router-{i}")).collect()
}

/// A router of so many, all of them named, that knows a node.
fn member(count: usize, me: usize, settings: Settings) -> Fleet {
    let settings = Settings {
        routers: names(count),
        ..settings
    };
    let mut fleet = Fleet::new(settings, me as u64, count as f64, &format!("router-{me}"));
    fleet.named(1, "node-1");
    fleet
}

#[test_case(5.0, &[], 5.0; "nothing is seen: as told")]
#[test_case(5.0, &[(40.0, 1.0), (42.0, 1.0), (40.0, 1.0)], 22.5; "far more are believed at once, the first guess counts as one connection")]
#[test_case(40.0, &[(40.0, 1.0), (39.0, 1.0), (44.0, 1.0)], 40.0; "noise changes nothing")]
#[test_case(40.0, &[(400.0, 1.0), (40.0, 1.0), (40.0, 1.0)], 40.0; "one node alone may be mistaken")]
#[test_case(40.0, &[(3.0, 1.0), (3.0, 1.0), (3.0, 1.0)], 40.0; "fewer are not believed at once")]
#[test_case(40.0, &[(2.0, 5.0), (f64::NAN, 1.0), (90.0, 0.0), (-4.0, 1.0)], 40.0; "what can't be tells nothing")]
fn a_census_concludes(told: f64, reports: &[(f64, f64)], living: f64) {
    let mut census = Census::new(told, 3.0);
    for (node, (held, own)) in (0..).zip(reports) {
        census.reported(10.0, node, *held, *own);
    }
    census.pass(10.1);
    assert_eq!(census.living(), living);
}

#[test]
fn the_dead_are_counted_no_longer_than_told() {
    let mut census = Census::new(40.0, 3.0);
    let mut counted = |from: u32, to: u32, held: f64| {
        let mut last = 0.0;
        for tick in from..to {
            let now = f64::from(tick) * 0.1;
            (0..3).for_each(|node| census.reported(now, node, held, 1.0));
            census.pass(now);
            last = census.living();
        }
        last
    };
    assert_eq!(counted(0, 20, 40.0), 40.0);
    assert_eq!(counted(20, 45, 3.0), 40.0, "not yet");
    assert!(counted(45, 60, 3.0) < 25.0, "it holds places for the dead");
    assert!(counted(60, 64, 60.0) > 40.0, "more are believed at once");
}

#[test]
fn what_is_no_longer_seen_is_as_told() {
    let mut census = Census::new(5.0, 3.0);
    (0..3).for_each(|node| census.reported(0.0, node, 60.0, 1.0));
    census.pass(0.0);
    assert!(census.living() > 30.0);
    census.pass(4.0);
    census.pass(7.1);
    assert_eq!(census.living(), 5.0);
}

#[test]
fn a_router_has_its_turn_in_each_cycle_and_uses_it_once() {
    let mut fleet = member(
        10,
        3,
        Settings {
            trials_per_s: 5.0,
            ..Settings::default()
        },
    );
    let cycle = fleet.cycle(Kind::Trial);
    assert!((cycle - 2.0).abs() < 1e-9, "{cycle}");
    let mut used = 0;
    for step in 0..(4.0 * cycle / 0.01) as u32 {
        let now = 100.0 + f64::from(step) * 0.01;
        if fleet.may(Kind::Trial, now, 1) {
            fleet.did(Kind::Trial, now, 1);
            assert!(!fleet.may(Kind::Trial, now, 1), "a turn was there twice");
            used += 1;
        }
    }
    assert_eq!(used, 4);
}

#[test]
fn one_alone_does_as_it_would_without() {
    let mut one = Fleet::new(
        Settings {
            subset: 1,
            copies: 0.0,
            ..Settings::default()
        },
        7,
        1.0,
        "only",
    );
    one.named(1, "node-1");
    one.grouped(0, &[1, 2, 3], 0.1);
    for kind in [Kind::Idle, Kind::Search, Kind::Trial, Kind::First] {
        one.did(kind, 5.0, 1);
        assert!(one.may(kind, 5.0, 1), "{kind:?}");
    }
    assert!(one.may_copy(5.0) && one.may_repeat(5.0));
    assert!([1, 2, 3].iter().all(|node| one.keeps(0, *node)));
}

#[test]
fn kinds_and_nodes_have_their_turns_at_different_times() {
    let mut fleet = member(
        40,
        3,
        Settings {
            trials_per_s: 10.0,
            idle_probes_per_s: 10.0,
            ..Settings::default()
        },
    );
    fleet.named(2, "node-2");
    let moments = |kind, node| -> BTreeSet<u32> {
        (0..80)
            .filter(|slot| fleet.may(kind, f64::from(*slot) * 0.1 + 0.05, node))
            .collect()
    };
    let (one, two) = (moments(Kind::Trial, 1), moments(Kind::Trial, 2));
    assert_eq!((one.len(), two.len()), (2, 2));
    assert_ne!(one, two);
}

#[test_case(0.1, &[0.05, 0.5, 0.09, 0.1], 2; "by lot")]
#[test_case(0.0, &[0.0, 0.5], 0; "none are allowed")]
#[test_case(1.0, &[0.99, 0.0], 2; "as many as there are")]
fn a_purse_grants(share: f64, lots: &[f64], granted: usize) {
    let mut purse = Purse::new(share);
    lots.iter().for_each(|lot| purse.earn(10.0, *lot));
    let mut done = 0;
    while purse.allows(10.5) && done < 1000 {
        purse.spend();
        done += 1;
    }
    assert_eq!(done, granted);
}

#[test]
fn what_was_saved_for_long_does_not_go_at_once() {
    let mut purse = Purse::new(1.0);
    (0..1000).for_each(|i| purse.earn(f64::from(i) * 0.1, 0.0));
    assert!(purse.held() <= 101, "{}", purse.held());
    assert!(purse.allows(109.0) && !purse.allows(111.0));
}

#[test]
fn little_traffic_keeps_to_a_few_and_much_to_all() {
    let settings = Settings {
        subset: 2,
        little_per_s: 10.0,
        ..Settings::default()
    };
    let mut fleet = member(20, 4, settings);
    let replicas: Vec<u32> = (1..=6).collect();
    replicas
        .iter()
        .for_each(|id| fleet.named(*id, &format!("node-{id}")));
    let kept = |fleet: &Fleet| replicas.iter().filter(|id| fleet.keeps(0, **id)).count();
    fleet.grouped(0, &replicas, 5.0);
    assert_eq!(kept(&fleet), 2);
    fleet.grouped(0, &replicas, 15.0);
    assert_eq!(kept(&fleet), 2, "it goes back and forth at the boundary");
    fleet.grouped(0, &replicas, 25.0);
    assert_eq!(kept(&fleet), 6);
    fleet.grouped(0, &replicas, 15.0);
    assert_eq!(kept(&fleet), 6, "it goes back and forth at the boundary");
    fleet.grouped(0, &replicas, 5.0);
    assert_eq!(kept(&fleet), 2);
}

#[test]
fn who_leaves_service_is_replaced_at_once() {
    let mut fleet = member(
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
        .for_each(|id| fleet.named(*id, &format!("node-{id}")));
    fleet.grouped(0, &replicas, 1.0);
    let gone = *replicas.iter().find(|id| fleet.keeps(0, **id)).unwrap();
    let left: Vec<u32> = replicas.iter().copied().filter(|id| *id != gone).collect();
    fleet.grouped(0, &left, 1.0);
    assert_eq!(left.iter().filter(|id| fleet.keeps(0, **id)).count(), 2);
}

fn places(prefix: &str, count: usize) -> Vec<u64> {
    (0..count)
        .map(|i| place(&format!("{prefix}-{i}")))
        .collect()
}

#[test_case(40, 6, 2; "forty routers, six nodes")]
#[test_case(40, 12, 3; "forty routers, twelve nodes")]
#[test_case(40, 9, 1; "forty routers, nine nodes, one each")]
#[test_case(300, 20, 4; "three hundred")]
fn subsets_are_even(routers: usize, nodes: usize, size: usize) {
    let kept = assigned(&places("router", routers), &places("node", nodes), size);
    let mut load = vec![0; nodes];
    kept.values().flatten().for_each(|n| load[*n] += 1);
    let (least, most) = (load.iter().min().unwrap(), load.iter().max().unwrap());
    assert!(*most as f64 <= 1.25 * *least as f64, "{load:?}");
    assert!(
        kept.values()
            .all(|mine| mine.iter().collect::<BTreeSet<_>>().len() == size)
    );
}

/// The share of places that are others once a router or a node is gone, beside those that were its own.
fn moved(
    routers: &[u64],
    nodes: &[u64],
    size: usize,
    router: Option<usize>,
    node: Option<usize>,
) -> f64 {
    let before = assigned(routers, nodes, size);
    let without = |of: &[u64], gone: Option<usize>| -> Vec<u64> {
        of.iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != gone)
            .map(|(_, place)| *place)
            .collect()
    };
    let (left, alive) = (without(routers, router), without(nodes, node));
    let after = assigned(&left, &alive, size);
    let pairs =
        |kept: &std::collections::BTreeMap<usize, Vec<usize>>, routers: &[u64], nodes: &[u64]| {
            let named = kept
                .iter()
                .flat_map(|(r, mine)| mine.iter().map(|n| (routers[*r], nodes[*n])));
            named.collect::<BTreeSet<(u64, u64)>>()
        };
    let (was, is) = (pairs(&before, routers, nodes), pairs(&after, &left, &alive));
    let stays = was
        .iter()
        .filter(|(r, n)| left.contains(r) && alive.contains(n));
    let lost = stays.filter(|pair| !is.contains(pair)).count();
    lost as f64 / was.len() as f64
}

/// Stated: beside what has to move, a tenth of all places on average, a quarter at most.
#[test_case(40, 6, 2; "six nodes")]
#[test_case(40, 12, 3; "twelve nodes")]
#[test_case(100, 20, 4; "a hundred routers")]
fn few_places_move(routers: usize, nodes: usize, size: usize) {
    let (r, n) = (places("router", routers), places("node", nodes));
    let by_router: Vec<f64> = (0..routers)
        .map(|gone| moved(&r, &n, size, Some(gone), None))
        .collect();
    let by_node: Vec<f64> = (0..nodes)
        .map(|gone| moved(&r, &n, size, None, Some(gone)))
        .collect();
    for of in [by_router, by_node] {
        let (mean, most) = (
            of.iter().sum::<f64>() / of.len() as f64,
            of.iter().copied().fold(0.0, f64::max),
        );
        assert!(mean <= 0.1 && most <= 0.25, "mean {mean}, most {most}");
    }
}

#[test_case(1, 6, 2; "one router alone")]
#[test_case(3, 6, 2; "too few to keep every node known")]
#[test_case(40, 3, 3; "no fewer than there are")]
fn all_is_kept(routers: usize, nodes: usize, size: usize) {
    assert_eq!(
        subset(&places("router", routers), 0, &places("node", nodes), size).len(),
        nodes
    );
}

#[test_case(|s| s.forget_ms = 0.0, "forget_ms"; "no time")]
#[test_case(|s| s.copies = 1.5, "copies"; "no share")]
#[test_case(|s| s.trials_per_s = -1.0, "trials_per_s"; "no rate")]
#[test_case(|s| s.little_per_s = f64::NAN, "little_per_s"; "no number")]
#[test_case(|s| s.routers = vec!["a".into(), "a".into()], "routers"; "a name twice")]
fn settings_that_can_not_be_are_told(spoil: fn(&mut Settings), field: &str) {
    let mut settings = Settings::default();
    assert_eq!(settings.fault(), None);
    spoil(&mut settings);
    assert_eq!(settings.fault().map(|fault| fault.0), Some(field));
}
