//! Property tests: the sum over any number of routers stays within its bound, whatever each router does.

use crate::{Membership, ShareBudget, SlotSchedule};
use proptest::prelude::*;

/// Returns how many routers own each slot of one key. Each of the `count` routers takes `live` of them to be running;
/// only those that `wants_slot` selects use their slots.
fn used_slots(
    schedule: &SlotSchedule,
    named: bool,
    count: u64,
    live: f64,
    wants_slot: &dyn Fn(u64) -> bool,
    slots: u64,
) -> Vec<u64> {
    let membership = |rank: u64| Membership {
        rank_and_count: named.then_some((rank, count)),
        seed: crate::mix64(rank + 1),
        live_routers: live,
        expected_routers: count as f64,
    };
    let all: Vec<Membership> = (0..count)
        .filter(|rank| wants_slot(*rank))
        .map(membership)
        .collect();
    let at = |slot: u64| (slot as f64 + 0.5) * schedule.slot_s;
    (0..slots)
        .map(|slot| {
            all.iter()
                .filter(|router| schedule.owned_slot(at(slot), 99, router).is_some())
                .count() as u64
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Named routers that all count the fleet correctly: each slot has exactly as many owners as the rate allows.
    #[test]
    fn named_routers_use_exactly_the_rate(count in 1u64..300, per_s in 0.2f64..200.0) {
        let schedule = SlotSchedule::new(per_s, count as f64, 1.0);
        let membership = Membership { rank_and_count: Some((0, count)), seed: 1, live_routers: count as f64, expected_routers: count as f64 };
        let cycle = (schedule.cycle_s(&membership) / schedule.slot_s).round() as u64;
        let used = used_slots(&schedule, true, count, count as f64, &|_| true, cycle.min(400));
        let owners = (schedule.owners as u64).min(count);
        prop_assert!(used.iter().all(|sum| *sum == owners), "{used:?} of {owners}");
    }

    /// No router starves: each owns a slot within a cycle and one slot more.
    #[test]
    fn each_router_owns_a_slot(count in 1u64..200, per_s in 0.5f64..100.0, rank in 0u64..200, key: u64) {
        let rank = rank % count;
        let schedule = SlotSchedule::new(per_s, count as f64, 1.0);
        let membership = Membership { rank_and_count: Some((rank, count)), seed: 3, live_routers: count as f64, expected_routers: count as f64 };
        let slots = (schedule.cycle_s(&membership) / schedule.slot_s).round() as u64 + 1;
        let owned = (0..slots).filter(|s| schedule.owned_slot((*s as f64 + 0.5) * schedule.slot_s, key, &membership).is_some());
        prop_assert!(owned.count() >= 1);
    }

    /// Whichever routers leave their slots unused, the others take no more than the rate: nothing is saved up.
    #[test]
    fn unused_slots_are_not_saved_up(count in 2u64..120, per_s in 1.0f64..100.0, modulo in 2u64..7) {
        let schedule = SlotSchedule::new(per_s, count as f64, 1.0);
        let used = used_slots(&schedule, true, count, count as f64, &|rank| rank % modulo == 0, 200);
        prop_assert!(used.iter().all(|sum| *sum <= schedule.owners as u64));
    }

    /// Drawn slots, and slots taken over from routers that have gone, keep the rate on average. They exceed it at most
    /// fourfold, even where all routers run and each takes most of them to be gone.
    #[test]
    fn drawn_slots_keep_the_rate_on_average(count in 20u64..200, named: bool, mistaken: bool) {
        let schedule = SlotSchedule::new(count as f64, count as f64, 1.0);
        let live = if mistaken { (count as f64 / 10.0).max(1.0) } else { count as f64 };
        let used = used_slots(&schedule, named, count, live, &|_| true, 400);
        let mean = used.iter().sum::<u64>() as f64 / used.len() as f64;
        let most = if mistaken { 4.2 } else { 1.15 };
        prop_assert!(mean <= most * schedule.owners, "{mean} of {}", schedule.owners);
    }

    /// Half of the routers have gone and the others know it: the slots of those that have gone are not lost.
    #[test]
    fn slots_of_routers_that_have_gone_are_taken_over(count in 20u64..200) {
        let schedule = SlotSchedule::new(count as f64, count as f64, 1.0);
        let used = used_slots(&schedule, true, count, count as f64 / 2.0, &|rank| rank % 2 == 0, 400);
        let mean = used.iter().sum::<u64>() as f64 / used.len() as f64;
        prop_assert!(mean > 0.8 * schedule.owners && mean < 1.2 * schedule.owners, "{mean} of {}", schedule.owners);
    }

    /// Whatever the number of routers, and however few statements each executes, the tokens spent by all routers match
    /// the share of all executions (within four standard deviations of the draws, plus two).
    #[test]
    fn budgets_add_up(routers in 1usize..200, each in 1usize..40, share in 0.01f64..0.5, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut spent = 0.0;
        for _ in 0..routers {
            let mut budget = ShareBudget::new(share);
            for now in (0..each).map(|i| i as f64 * 0.2) {
                budget.earn(now, rng.f64());
                while budget.allows(now) {
                    budget.spend();
                    spent += 1.0;
                }
            }
        }
        let executions = (routers * each) as f64;
        let slack = 4.0 * (executions * share * (1.0 - share)).sqrt() + 2.0;
        prop_assert!((spent - executions * share).abs() <= slack, "{spent} of {}", executions * share);
    }
}
