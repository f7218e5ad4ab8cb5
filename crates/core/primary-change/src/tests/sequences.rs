//! What holds after any sequence of evidence and of statements that come, ask and leave.

use super::{G, settings};
use crate::{Evidence, Phase, Settings, Succession, Term, Verdict, Wish};
use proptest::prelude::*;

fn evidence(now: f64) -> impl Strategy<Value = Evidence> {
    prop_oneof![
        (0.0..3.0f64).prop_map(move |late| Evidence::Leads { at: now - late }),
        (0.0..3.0f64).prop_map(move |late| Evidence::Follows { at: now - late }),
        Just(Evidence::Listed),
        Just(Evidence::Leaving),
        Just(Evidence::Stays),
        Just(Evidence::Lost),
    ]
}

fn sequence(length: usize) -> impl Strategy<Value = Vec<(u32, Evidence)>> {
    (0..length)
        .map(|i| (0..4u32, evidence(100.0 + i as f64)))
        .collect::<Vec<_>>()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Terms and the dates of what was believed never go back; a leader is one exactly where the phase says so.
    #[test]
    fn terms_only_grow(told in sequence(40)) {
        let mut term = Term::default();
        for (i, (node, evidence)) in told.into_iter().enumerate() {
            let (number, claimed, leader) = (term.number, term.claimed, term.leader);
            term.hear(100.0 + i as f64, node, evidence);
            prop_assert!(term.number >= number && term.claimed >= claimed);
            prop_assert!(term.number > number || term.leader == leader || term.leader.is_none());
            prop_assert_eq!(term.leader.is_none(), matches!(term.phase, Phase::Vacant | Phase::Claimed));
            prop_assert_eq!(term.candidate.is_some(), term.phase == Phase::Claimed);
            if let (Some(now), Some(before)) = (term.leader, leader) && now != before {
                let fits = matches!(evidence, Evidence::Leads { at } if at > claimed);
                prop_assert!(fits, "only a later claim changes who leads");
            }
        }
    }

    /// Whatever happens, the bounds hold, nobody is lost, and once there is a leader all go.
    #[test]
    fn nobody_is_forgotten(
        told in sequence(30),
        asks in prop::collection::vec((0..3u64, 1..300usize, 0..4u8, any::<bool>()), 30),
    ) {
        let mut of = Succession::new(settings(), 3, 1.0);
        let mut open: Vec<(u32, Wish)> = Vec::new();
        for (i, ((node, evidence), (session, bytes, worth, doubtful))) in told.into_iter().zip(asks).enumerate() {
            let now = 100.0 + i as f64;
            of.hear(now, G, node, evidence);
            let wish = Wish {
                group: G, session, bytes, worth: worth.into(), arrived: now, due: now + 60.0, doubtful,
                ..Wish::default()
            };
            open.push((i as u32, wish));
            of.settle(now);
            open.retain(|(stmt, wish)| {
                let stays = of.admit(now, *stmt, wish) == Verdict::Hold;
                if !stays {
                    of.leave(G, *stmt);
                }
                stays
            });
            let (used, _) = of.held();
            prop_assert!(used.statements <= 4 && used.bytes <= 400);
            let evicted = of.settle(now);
            prop_assert!(open.iter().all(|(stmt, _)| of.holds(*stmt) || evicted.contains(stmt)));
        }
        of.hear(200.0, G, 9, Evidence::Leads { at: 200.0 });
        for round in 0..40 {
            let now = 201.0 + f64::from(round);
            open.retain(|(stmt, wish)| {
                let stays = of.admit(now, *stmt, wish) == Verdict::Hold;
                if !stays {
                    of.executed(now, G, *stmt, 9, true, false);
                    of.leave(G, *stmt);
                }
                stays
            });
        }
        prop_assert!(open.is_empty(), "{open:?} wait behind a leader that works");
        prop_assert_eq!(of.held().0.statements, 0);
        of.settle(300.0);
        prop_assert!(of.settled(G));
    }

    /// Equal inputs, equal verdicts.
    #[test]
    fn the_same_events_give_the_same_actions(told in sequence(20)) {
        let run = || {
            let mut of = Succession::new(Settings { release_spread_ms: 50.0, ..settings() }, 11, 5.0);
            let mut seen = Vec::new();
            for (i, (node, evidence)) in told.iter().enumerate() {
                let now = 100.0 + i as f64;
                of.hear(now, G, *node, *evidence);
                let wish = Wish { group: G, bytes: 10, arrived: now, due: now + 60.0, ..Wish::default() };
                seen.push(format!("{:?}", of.admit(now, i as u32, &wish)));
                of.settle(now);
            }
            (seen, of.lines())
        };
        prop_assert_eq!(run(), run());
    }
}
