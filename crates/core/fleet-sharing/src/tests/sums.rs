//! Sums over any number of routers, whatever each does.

use crate::{Purse, Ranks, Ration};
use proptest::prelude::*;

/// All turns at one place in each slot, for routers that count `living` of `count` as alive; only `needy` of them
/// want a turn.
fn taken(
    ration: &Ration,
    named: bool,
    count: u64,
    living: f64,
    needy: &dyn Fn(u64) -> bool,
    slots: u64,
) -> Vec<u64> {
    let ranks = |rank: u64| Ranks {
        named: named.then_some((rank, count)),
        seed: crate::mixed(rank + 1),
        living,
        told: count as f64,
    };
    let all: Vec<Ranks> = (0..count).filter(|rank| needy(*rank)).map(ranks).collect();
    let at = |slot: u64| (slot as f64 + 0.5) * ration.slot;
    (0..slots)
        .map(|slot| {
            all.iter()
                .filter(|r| ration.turn(at(slot), 99, r).is_some())
                .count() as u64
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Named routers that all count right: never more than the budget in a slot, and all of it where all need it.
    #[test]
    fn named_routers_keep_the_budget_and_use_it_up(count in 1u64..300, per_s in 0.2f64..200.0) {
        let ration = Ration::new(per_s, count as f64, 1.0);
        let ranks = Ranks { named: Some((0, count)), seed: 1, living: count as f64, told: count as f64 };
        let cycle = (ration.cycle(&ranks) / ration.slot).round() as u64;
        let taken = taken(&ration, true, count, count as f64, &|_| true, cycle.min(400));
        let owners = (ration.owners as u64).min(count);
        prop_assert!(taken.iter().all(|sum| *sum == owners), "{taken:?} of {owners}");
    }

    /// Nobody starves: within a cycle and a slot each has had its turn.
    #[test]
    fn each_has_its_turn(count in 1u64..200, per_s in 0.5f64..100.0, rank in 0u64..200, place: u64) {
        let rank = rank % count;
        let ration = Ration::new(per_s, count as f64, 1.0);
        let ranks = Ranks { named: Some((rank, count)), seed: 3, living: count as f64, told: count as f64 };
        let slots = (ration.cycle(&ranks) / ration.slot).round() as u64 + 1;
        let turns = (0..slots).filter(|s| ration.turn((*s as f64 + 0.5) * ration.slot, place, &ranks).is_some());
        prop_assert!(turns.count() >= 1);
    }

    /// Whoever is silent, the rest takes no more than the budget: nothing is saved up.
    #[test]
    fn the_silent_leave_nothing_over(count in 2u64..120, per_s in 1.0f64..100.0, modulo in 2u64..7) {
        let ration = Ration::new(per_s, count as f64, 1.0);
        let taken = taken(&ration, true, count, count as f64, &|rank| rank % modulo == 0, 200);
        prop_assert!(taken.iter().all(|sum| *sum <= ration.owners as u64));
    }

    /// Drawn, or with turns of the dead taken over: on average the budget, and at most four times it even where all
    /// live and all believe that most are dead.
    #[test]
    fn drawn_turns_keep_the_budget_on_average(count in 20u64..200, named: bool, mistaken: bool) {
        let ration = Ration::new(count as f64, count as f64, 1.0);
        let living = if mistaken { (count as f64 / 10.0).max(1.0) } else { count as f64 };
        let taken = taken(&ration, named, count, living, &|_| true, 400);
        let mean = taken.iter().sum::<u64>() as f64 / taken.len() as f64;
        let most = if mistaken { 4.2 } else { 1.15 };
        prop_assert!(mean <= most * ration.owners, "{mean} of {}", ration.owners);
    }

    /// Half of them are dead, and the living know: the turns of the dead are not lost.
    #[test]
    fn turns_of_the_dead_are_taken_over(count in 20u64..200) {
        let ration = Ration::new(count as f64, count as f64, 1.0);
        let taken = taken(&ration, true, count, count as f64 / 2.0, &|rank| rank % 2 == 0, 400);
        let mean = taken.iter().sum::<u64>() as f64 / taken.len() as f64;
        prop_assert!(mean > 0.8 * ration.owners && mean < 1.2 * ration.owners, "{mean} of {}", ration.owners);
    }

    /// Purses: whatever the number of routers, and however little each does, what is granted is the share of all that
    /// was done by all of them (four standard deviations of the lots, and two).
    #[test]
    fn purses_add_up(routers in 1usize..200, each in 1usize..40, share in 0.01f64..0.5, seed: u64) {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut granted = 0.0;
        for _ in 0..routers {
            let mut purse = Purse::new(share);
            for now in (0..each).map(|i| i as f64 * 0.2) {
                purse.earn(now, chance.f64());
                while purse.allows(now) {
                    purse.spend();
                    granted += 1.0;
                }
            }
        }
        let done = (routers * each) as f64;
        let slack = 4.0 * (done * share * (1.0 - share)).sqrt() + 2.0;
        prop_assert!((granted - done * share).abs() <= slack, "{granted} of {}", done * share);
    }
}
