//! Any number of routers that come back together, in any order of events: what all of them open and probe at a
//! node stays under the bound, every phase ends, and nobody is left without.

use super::{START, born, named, settings};
use crate::{Open, Phase, Recovery, Settings, Stand, Unopened, WINDOW_S};
use proptest::prelude::*;
use test_case::test_case;

struct Router {
    recovery: Recovery,
    starts: f64,
    opened: Vec<usize>,
    opening: Vec<Option<f64>>,
}

/// Routers that start within so many seconds of each other.
#[derive(Clone, Copy, Debug)]
struct Herd {
    routers: usize,
    nodes: usize,
    within: f64,
    seed: u64,
    /// Nodes report with every look of a router that has a connection there, not just when one comes up.
    reports_often: bool,
}

/// Plays a herd against nodes whose handshakes take longer the more are waiting; of each node the moments at which
/// it was called. Routers look when they like, by `chance`.
fn play(settings: &Settings, herd: Herd, until: f64) -> (Vec<Router>, Vec<Vec<f64>>) {
    let Herd {
        routers,
        nodes,
        within,
        seed,
        reports_often,
    } = herd;
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut fleet: Vec<Router> = (0..routers)
        .map(|number| Router {
            recovery: born(settings.clone(), routers, number, nodes as u32),
            starts: START + within * chance.f64(),
            opened: vec![0; nodes],
            opening: vec![None; nodes],
        })
        .collect();
    let mut calls = vec![Vec::new(); nodes];
    let mut now = START;
    while now < START + until {
        now += 0.0005 + 0.0015 * chance.f64();
        for router in &mut fleet {
            if now < router.starts || chance.f64() < 0.3 {
                continue;
            }
            turn(router, now, &mut calls, &mut chance, reports_often);
        }
    }
    (fleet, calls)
}

/// One look of one router: what came up is told, what waits is tried.
fn turn(
    router: &mut Router,
    now: f64,
    calls: &mut [Vec<f64>],
    chance: &mut fastrand::Rng,
    reports_often: bool,
) {
    let recovery = &mut router.recovery;
    recovery.pass(now);
    recovery.sound(&(0..calls.len() as u32).collect::<Vec<_>>());
    if now > router.starts + 0.02 {
        recovery.listed(now);
    }
    for (node, calls) in calls.iter_mut().enumerate() {
        let id = node as u32;
        let lately = calls
            .iter()
            .rev()
            .take_while(|at| now - **at <= WINDOW_S)
            .count();
        if let Some(begun) = router.opening[node] {
            let takes = 0.005 * lately as f64;
            if now - begun < takes {
                continue;
            }
            router.opening[node] = None;
            if chance.f64() < 0.05 {
                recovery.unopened(now, id, Unopened::Full);
            } else {
                router.opened[node] += 1;
                recovery.opened(now, id, takes);
                let held = calls.len() as f64;
                recovery.reported(now, id, held, lately as f64);
                recovery.answered(id, true);
            }
        }
        if reports_often && router.opened[node] > 0 {
            recovery.reported(now, id, calls.len() as f64, lately as f64);
        }
        // Somebody always waits for one more, up to three.
        let stand = Stand {
            opening: 0,
            busy: router.opened[node],
            idle: 0,
        };
        let wants = router.opened[node] < 3;
        let may = router.opened[node] > 0 || recovery.may_send(now, id, 0);
        if wants && may {
            if router.opened[node] == 0 {
                recovery.sent(now, id);
            }
            if recovery.may_open(now, id, stand) == Open::Now {
                calls.push(now);
                router.opening[node] = Some(now);
            }
        }
    }
}

/// The most of these in any window.
fn burst(calls: &[f64]) -> usize {
    let most =
        |(last, at): (usize, &f64)| last + 1 - calls.partition_point(|t| *t + WINDOW_S <= *at);
    calls.iter().enumerate().map(most).max().unwrap_or(0)
}

/// What any window may show at a node: the bound, one slot at each edge, and those that sound it first, each of
/// whom opens one connection at one node.
fn allowed_burst(settings: &Settings, herd: Herd) -> usize {
    settings.opens(herd.routers as f64) as usize + 2 + herd.routers.div_ceil(herd.nodes)
}

/// The most that any node saw in any window, and what it may have seen.
fn greatest_burst(herd: Herd, turns_below: usize, until: f64) -> (usize, usize) {
    let settings = Settings {
        turns_below,
        ..named(herd.routers)
    };
    let (_, calls) = play(&settings, herd, until);
    (
        calls.iter().map(|calls| burst(calls)).max().unwrap_or(0),
        allowed_burst(&settings, herd),
    )
}

/// Herds in which those who started last met many connections of the first, and few that were just opened, and
/// took themselves for alone.
#[test_case(11, 6, 0.2182752915725734, 7832651965844847447, 0, 0.3; "thirteen of twelve")]
#[test_case(13, 5, 0.28251205506218346, 12819277694955258691, 4, 4.0; "fourteen of thirteen, turns for who holds few")]
#[test_case(15, 9, 0.12357527641236617, 1878199588917649477, 0, 0.3; "fourteen of twelve")]
#[test_case(7, 7, 0.08976112020144403, 11518976740533862624, 0, 0.3; "twelve of eleven, one sounds each node")]
#[test_case(11, 4, 0.18160679312092132, 1400963093492980122, 4, 4.0; "fourteen of thirteen at four nodes")]
#[test_case(10, 5, 0.22819589245144484, 4988167839337678672, 4, 4.0; "thirteen of twelve at five nodes")]
fn the_last_of_a_herd_are_not_alone(
    routers: usize,
    nodes: usize,
    within: f64,
    seed: u64,
    turns_below: usize,
    until: f64,
) {
    let herd = Herd {
        routers,
        nodes,
        within,
        seed,
        reports_often: false,
    };
    let (seen, allowed) = greatest_burst(herd, turns_below, until);
    assert!(seen <= allowed, "{seen} of {allowed}");
}

proptest! {
    /// Named routers: nobody leaves turns before the end, a cycle or the calm time.
    #[test]
    fn the_sum_at_a_node_stays_under_the_bound(
        routers in 1usize..80, nodes in 1usize..10, within in 0.0..0.4f64, seed in any::<u64>(), reports_often in any::<bool>(),
    ) {
        let herd = Herd { routers, nodes, within, seed, reports_often };
        let (seen, allowed) = greatest_burst(herd, 0, 0.3);
        prop_assert!(seen <= allowed, "{seen} of {allowed}");
    }

    /// Unnamed routers draw their turns: the sum is even only on average, and stays under three times the bound.
    #[test]
    fn drawn_turns_stay_under_three_times_the_bound(routers in 20usize..100, seed in any::<u64>()) {
        let settings = settings();
        let herd = Herd { routers, nodes: 4, within: 0.1, seed, reports_often: false };
        let (_, calls) = play(&settings, herd, 0.3);
        let bound = settings.opens(routers as f64);
        for calls in &calls {
            let sounding = (routers.div_ceil(4) * 3 + 6) as f64;
            prop_assert!(burst(calls) as f64 <= 3.0 * bound + sounding);
        }
    }

    /// With turns for who holds few, the bound holds to the end: through climbing and at full pace.
    #[test]
    fn the_sum_stays_under_the_bound_through_climbing(
        routers in 8usize..60, nodes in 1usize..6, within in 0.0..0.3f64, seed in any::<u64>(), reports_often in any::<bool>(),
    ) {
        let herd = Herd { routers, nodes, within, seed, reports_often };
        let (seen, allowed) = greatest_burst(herd, 4, 4.0);
        prop_assert!(seen <= allowed, "{seen} of {allowed}");
    }

    #[test]
    fn every_phase_ends_and_nobody_starves(
        routers in 1usize..40, nodes in 1usize..6, seed in any::<u64>(), reports_often in any::<bool>(),
    ) {
        let herd = Herd { routers, nodes, within: 0.1, seed, reports_often };
        let (fleet, _) = play(&named(routers), herd, 8.0);
        for (number, router) in fleet.iter().enumerate() {
            prop_assert_eq!(router.recovery.phase(), Phase::Full, "router {}", number);
            prop_assert!(router.opened.iter().all(|opened| *opened > 0), "router {}: {:?}", number, router.opened);
        }
    }

    /// Whatever is told in whatever order, nothing is sent before the list or its time, and rooms are bounded.
    #[test]
    fn any_order_of_words_keeps_the_rules(words in prop::collection::vec((0u8..8, 0u32..3, 0.0..0.3f64), 1..200)) {
        let mut recovery = born(named(10), 10, 3, 3);
        let (mut now, mut heard) = (START, false);
        for (word, node, wait) in words {
            now += wait;
            match word {
                0 => { recovery.listed(now); heard = true; }
                1 => recovery.opened(now, node, wait),
                2 => recovery.unopened(now, node, Unopened::Full),
                3 => recovery.unopened(now, node, Unopened::Unreached),
                4 => recovery.answered(node, wait < 0.2),
                5 => recovery.reported(now, node, wait * 50.0, wait * 100.0),
                6 => recovery.sent(now, node),
                _ => { recovery.pass(now); }
            }
            let within = now - START < recovery.settings().list_wait_ms / 1e3;
            prop_assert!(heard || !within || !recovery.may_send(now, node, 0), "sent before the list");
            if recovery.phase() < Phase::Full {
                prop_assert!(!recovery.may_send(now, node, 64) || recovery.phase() == Phase::Climbing);
            }
            if let Open::After(wait) = recovery.may_open(now, node, Stand::default()) {
                prop_assert!((0.0..=4.0).contains(&wait), "{wait}");
            }
        }
    }
}
