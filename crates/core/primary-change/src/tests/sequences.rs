//! Properties that hold after any sequence of evidence, and of statements that arrive, ask for admission and leave.

use super::{G, settings};
use crate::{Admission, AdmissionRequest, Evidence, Phase, Settings, Succession, Term};
use proptest::prelude::*;

fn evidence(now: f64) -> impl Strategy<Value = Evidence> {
    prop_oneof![
        (0.0..3.0f64).prop_map(move |age_s| Evidence::Leads { at: now - age_s }),
        (0.0..3.0f64).prop_map(move |age_s| Evidence::Follows { at: now - age_s }),
        Just(Evidence::ListedAsPrimary),
        Just(Evidence::ListedAsLeaving),
        Just(Evidence::ListedInService),
        Just(Evidence::Unreachable),
    ]
}

fn sequence(length: usize) -> impl Strategy<Value = Vec<(u32, Evidence)>> {
    (0..length)
        .map(|i| (0..4u32, evidence(100.0 + i as f64)))
        .collect::<Vec<_>>()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Term numbers and the times of accepted claims never decrease; there is a leader exactly where the phase says
    /// so.
    #[test]
    fn terms_never_decrease(events in sequence(40)) {
        let mut term = Term::default();
        for (i, (node, evidence)) in events.into_iter().enumerate() {
            let (number, claimed_at, leader) = (term.number, term.claimed_at, term.leader);
            term.observe(100.0 + i as f64, node, evidence);
            prop_assert!(term.number >= number && term.claimed_at >= claimed_at);
            prop_assert!(term.number > number || term.leader == leader || term.leader.is_none());
            prop_assert_eq!(term.leader.is_none(), matches!(term.phase, Phase::NoLeader | Phase::Candidate));
            prop_assert_eq!(term.candidate.is_some(), term.phase == Phase::Candidate);
            if let (Some(after), Some(before)) = (term.leader, leader) && after != before {
                let fits = matches!(evidence, Evidence::Leads { at } if at > claimed_at);
                prop_assert!(fits, "only a later claim changes the leader");
            }
        }
    }

    /// Whatever happens, the limits are kept, each open statement is held or evicted, and once there is a leader all
    /// are sent.
    #[test]
    fn no_statement_is_forgotten(
        events in sequence(30),
        requests in prop::collection::vec((0..3u64, 1..300usize, 0..4u8, any::<bool>()), 30),
    ) {
        let mut succession = Succession::new(settings(), 3, 1.0);
        let mut open: Vec<(u32, AdmissionRequest)> = Vec::new();
        for (i, ((node, evidence), (session, bytes, worth, may_have_run))) in events.into_iter().zip(requests).enumerate() {
            let now = 100.0 + i as f64;
            succession.observe(now, G, node, evidence);
            let request = AdmissionRequest {
                group: G, session, bytes, worth: worth.into(), arrived: now, deadline: now + 60.0, may_have_run,
                ..AdmissionRequest::default()
            };
            open.push((i as u32, request));
            succession.settle(now);
            open.retain(|(stmt, request)| {
                let held = succession.admit(now, *stmt, request) == Admission::Hold;
                if !held {
                    succession.forget_statement(G, *stmt);
                }
                held
            });
            let held = succession.hold_usage().current;
            prop_assert!(held.statements <= 4 && held.bytes <= 400);
            let evicted = succession.settle(now);
            prop_assert!(open.iter().all(|(stmt, _)| succession.is_held(*stmt) || evicted.contains(stmt)));
        }
        succession.observe(200.0, G, 9, Evidence::Leads { at: 200.0 });
        for round in 0..40 {
            let now = 201.0 + f64::from(round);
            open.retain(|(stmt, request)| {
                let held = succession.admit(now, *stmt, request) == Admission::Hold;
                if !held {
                    succession.record_execution_end(now, G, *stmt, 9, true, false);
                    succession.forget_statement(G, *stmt);
                }
                held
            });
        }
        prop_assert!(open.is_empty(), "{open:?} are held although there is a working leader");
        prop_assert_eq!(succession.hold_usage().current.statements, 0);
        succession.settle(300.0);
        prop_assert!(succession.is_settled(G));
    }

    /// Equal inputs lead to equal decisions.
    #[test]
    fn equal_events_lead_to_equal_decisions(events in sequence(20)) {
        let run = || {
            let mut succession = Succession::new(Settings { release_spread_ms: 50.0, ..settings() }, 11, 5.0);
            let mut admissions = Vec::new();
            for (i, (node, evidence)) in events.iter().enumerate() {
                let now = 100.0 + i as f64;
                succession.observe(now, G, *node, *evidence);
                let request = AdmissionRequest { group: G, bytes: 10, arrived: now, deadline: now + 60.0, ..AdmissionRequest::default() };
                admissions.push(format!("{:?}", succession.admit(now, i as u32, &request)));
                succession.settle(now);
            }
            (admissions, succession.take_log_lines())
        };
        prop_assert_eq!(run(), run());
    }
}
