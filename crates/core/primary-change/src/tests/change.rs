//! What statements meet during a change: they are held, rejected, evicted for others, released.

use super::{A, B, C, G, request, request_all, settings, with_settled_leader};
use crate::{Admission, AdmissionRequest, Evidence, Phase, Settings, Succession};
use test_case::test_case;

/// Returns a state in which A was settled and is unreachable since 11 s.
fn with_suspected_leader(settings: Settings) -> Succession {
    let mut succession = with_settled_leader(settings);
    succession.observe(11.0, G, A, Evidence::Unreachable);
    succession
}

fn count_sent(admissions: &[Admission]) -> usize {
    admissions
        .iter()
        .filter(|admission| **admission == Admission::Send)
        .count()
}

#[test]
fn nothing_is_held_while_the_leader_is_settled() {
    assert_eq!(
        count_sent(&request_all(&mut with_settled_leader(settings()), 11.0, 9)),
        9
    );
}

#[test]
fn statements_are_held_while_the_leader_is_suspected_and_rejected_beyond_the_limit() {
    let admissions = request_all(&mut with_suspected_leader(settings()), 11.0, 6);
    assert!(admissions[..4].iter().all(|v| *v == Admission::Hold));
    assert!(
        matches!(admissions[4], Admission::Reject { retry_after_s } if (2.0..=4.0).contains(&retry_after_s)),
        "{admissions:?}"
    );
}

#[test_case(1.0, true; "its deadline is likely to pass before the change ends")]
#[test_case(3.0, false; "its deadline leaves enough time")]
fn statements_that_would_wait_in_vain_are_rejected_at_once(left_s: f64, rejected: bool) {
    let mut succession = with_suspected_leader(Settings {
        least_chance: 0.5,
        ..settings()
    });
    let admission = succession.admit(
        11.0,
        1,
        &AdmissionRequest {
            deadline: 11.0 + left_s,
            ..request(1, 11.0)
        },
    );
    assert_eq!(
        matches!(admission, Admission::Reject { .. }),
        rejected,
        "{admission:?}"
    );
}

#[test]
fn the_expected_duration_from_the_settings_rejects_nothing_at_the_start_or_in_the_first_change() {
    let slow = Settings {
        expected_change_ms: 9_000.0,
        ..settings()
    };
    let impatient = |arrived: f64| AdmissionRequest {
        deadline: arrived + 2.0,
        ..request(1, arrived)
    };
    let mut fresh = Succession::new(
        Settings {
            least_chance: 1.0,
            ..slow.clone()
        },
        7,
        1.0,
    );
    fresh.observe(9.0, G, A, Evidence::ListedAsPrimary);
    assert_eq!(
        fresh.admit(9.0, 1, &impatient(9.0)),
        Admission::Hold,
        "no leader was known yet: that is no change"
    );
    assert_eq!(
        with_suspected_leader(slow).admit(11.0, 1, &impatient(11.0)),
        Admission::Hold
    );
}

#[test]
fn statements_of_lower_worth_are_evicted_and_those_that_may_have_run_last() {
    let mut succession = with_suspected_leader(settings());
    for (stmt, worth, may_have_run) in [
        (1, 3.0, false),
        (2, 1.0, false),
        (3, 0.5, true),
        (4, 2.0, false),
    ] {
        succession.admit(
            11.0,
            stmt,
            &AdmissionRequest {
                worth,
                may_have_run,
                ..request(stmt.into(), 11.0)
            },
        );
    }
    assert_eq!(
        succession.admit(
            11.1,
            5,
            &AdmissionRequest {
                worth: 2.5,
                ..request(5, 11.1)
            }
        ),
        Admission::Hold
    );
    assert_eq!(succession.settle(11.1), [2], "it has to be rejected now");
    assert!(matches!(
        succession.admit(11.1, 2, &request(2, 11.0)),
        Admission::Reject { .. }
    ));
    assert!(succession.settle(11.1).is_empty());
    assert!(matches!(
        succession.admit(
            11.2,
            6,
            &AdmissionRequest {
                worth: 1.0,
                ..request(6, 11.2)
            }
        ),
        Admission::Reject { .. }
    ));
    assert!(
        succession.is_held(3),
        "only the repeat of a write that may have run can tell how it ended"
    );
}

#[test]
fn the_limit_in_bytes_binds_like_the_limit_in_number() {
    let mut succession = with_suspected_leader(settings());
    let large = |stmt: u32| AdmissionRequest {
        bytes: 190,
        ..request(stmt.into(), 11.0)
    };
    assert_eq!(succession.admit(11.0, 1, &large(1)), Admission::Hold);
    assert_eq!(succession.admit(11.0, 2, &large(2)), Admission::Hold);
    assert!(matches!(
        succession.admit(11.0, 3, &large(3)),
        Admission::Reject { .. }
    ));
    assert_eq!(
        (
            succession.hold_usage().current.statements,
            succession.hold_usage().current.bytes
        ),
        (2, 380)
    );
    [1, 2]
        .iter()
        .for_each(|stmt| succession.forget_statement(G, *stmt));
    assert_eq!(
        (
            succession.hold_usage().current.statements,
            succession.hold_usage().current.bytes,
            succession.hold_usage().peak.bytes
        ),
        (0, 0, 380)
    );
}

#[test]
fn all_groups_share_the_total_limit() {
    let mut succession = with_suspected_leader(settings());
    request_all(&mut succession, 11.0, 4);
    succession.observe(11.0, 9, C, Evidence::ListedAsPrimary);
    let other = |stmt: u32, worth: f64| AdmissionRequest {
        group: 9,
        worth,
        ..request(stmt.into(), 11.0)
    };
    assert_eq!(
        [5, 6].map(|stmt| succession.admit(11.0, stmt, &other(stmt, 1.0))),
        [Admission::Hold; 2]
    );
    assert!(
        matches!(
            succession.admit(11.0, 7, &other(7, 1.0)),
            Admission::Reject { .. }
        ),
        "the total limit is six"
    );
    assert_eq!(
        succession.admit(11.0, 8, &other(8, 2.0)),
        Admission::Hold,
        "a statement of higher worth displaces one of any group"
    );
}

#[test]
fn the_release_window_starts_small_and_doubles() {
    let mut succession = with_suspected_leader(Settings {
        hold_group: crate::HoldSize {
            statements: 90,
            bytes: 9000,
        },
        hold: crate::HoldSize {
            statements: 90,
            bytes: 9000,
        },
        ..settings()
    });
    assert_eq!(count_sent(&request_all(&mut succession, 11.0, 40)), 0);
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    let mut in_flight: Vec<u32> = Vec::new();
    let mut rounds = Vec::new();
    for round in 0..5 {
        let now = 12.0 + f64::from(round);
        for stmt in in_flight.drain(..) {
            succession.record_execution_end(now, G, stmt, B, true, false);
            succession.forget_statement(G, stmt);
        }
        for stmt in (1..=40)
            .filter(|stmt| succession.is_held(*stmt))
            .collect::<Vec<u32>>()
        {
            if succession.admit(
                now,
                stmt,
                &request(stmt.into(), 10.0 + f64::from(stmt) / 1e3),
            ) == Admission::Send
            {
                succession.record_sent(stmt);
                in_flight.push(stmt);
            }
        }
        rounds.push(in_flight.len());
    }
    assert_eq!(rounds, [4, 8, 16, 12, 0]);
    succession.settle(17.1);
    assert!(succession.is_settled(G));
}

#[test]
fn many_routers_start_the_release_with_one_statement_each_and_at_different_times() {
    let mut starts_ms = Vec::new();
    for seed in 0..5 {
        let mut succession = Succession::new(
            Settings {
                release_spread_ms: 20.0,
                ..settings()
            },
            seed,
            5.0,
        );
        succession.observe(9.0, G, A, Evidence::Leads { at: 9.0 });
        request_all(&mut succession, 9.0, 4);
        let at = (0..200)
            .map(|ms| 9.0 + f64::from(ms) / 1e3)
            .find(|now| count_sent(&request_all(&mut succession, *now, 4)) > 0);
        assert_eq!(
            count_sent(&request_all(&mut succession, at.unwrap(), 4)),
            1,
            "a share of the initial window"
        );
        starts_ms.push((at.unwrap() * 1e3) as u64);
    }
    starts_ms.sort();
    starts_ms.dedup();
    assert!(starts_ms.len() >= 4, "{starts_ms:?}");
}

#[test]
fn statements_of_a_session_are_released_in_order() {
    let mut succession = with_suspected_leader(settings());
    let session = |stmt: u32| request(77, 10.0 + f64::from(stmt) / 1e3);
    assert_eq!(
        [2, 1].map(|stmt| succession.admit(11.0, stmt, &session(stmt))),
        [Admission::Hold; 2]
    );
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(
        succession.admit(12.0, 2, &session(2)),
        Admission::Hold,
        "an earlier statement of its session is held"
    );
    assert_eq!(succession.admit(12.0, 1, &session(1)), Admission::Send);
    succession.record_sent(1);
    assert_eq!(
        succession.admit(12.0, 2, &session(2)),
        Admission::Hold,
        "an earlier statement of its session is in flight"
    );
    succession.forget_statement(G, 1);
    assert_eq!(succession.admit(12.1, 2, &session(2)), Admission::Send);
}

#[test]
fn statements_that_may_have_run_are_released_first_then_by_worth_then_by_age() {
    let mut succession = Succession::new(settings(), 7, 4.0);
    succession.observe(9.0, G, A, Evidence::Unreachable);
    let all = [
        (
            1,
            AdmissionRequest {
                worth: 1.0,
                ..request(1, 10.2)
            },
        ),
        (
            2,
            AdmissionRequest {
                worth: 1.0,
                ..request(2, 10.1)
            },
        ),
        (
            3,
            AdmissionRequest {
                worth: 2.0,
                ..request(3, 10.3)
            },
        ),
        (
            4,
            AdmissionRequest {
                worth: 0.5,
                may_have_run: true,
                ..request(4, 10.4)
            },
        ),
    ];
    all.iter()
        .for_each(|(stmt, request)| _ = succession.admit(11.0, *stmt, request));
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    let mut order = Vec::new();
    for _ in 0..4 {
        let open = all
            .iter()
            .filter(|(stmt, _)| !order.contains(stmt))
            .collect::<Vec<_>>();
        let sent = open
            .into_iter()
            .filter(|(stmt, request)| succession.admit(12.0, *stmt, request) == Admission::Send);
        let sent: Vec<u32> = sent.map(|(stmt, _)| *stmt).collect();
        assert_eq!(sent.len(), 1, "one at a time, as there are four routers");
        succession.record_sent(sent[0]);
        succession.forget_statement(G, sent[0]);
        order.extend(sent);
    }
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn a_failure_at_the_new_leader_pauses_the_release() {
    let mut succession = with_suspected_leader(settings());
    request_all(&mut succession, 11.0, 4);
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(
        succession.admit(12.0, 1, &request(1, 10.001)),
        Admission::Send
    );
    succession.record_execution_end(12.01, G, 1, B, false, true);
    assert_eq!(count_sent(&request_all(&mut succession, 12.02, 4)), 0);
    assert_eq!(
        count_sent(&request_all(&mut succession, 12.07, 4)),
        2,
        "half of the initial window"
    );
}

#[test]
fn statements_are_held_again_when_the_new_leader_becomes_unreachable() {
    let mut succession = with_suspected_leader(settings());
    request_all(&mut succession, 11.0, 4);
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(count_sent(&request_all(&mut succession, 12.0, 4)), 4);
    succession.observe(12.1, G, B, Evidence::Unreachable);
    assert_eq!(
        count_sent(&request_all(&mut succession, 12.1, 4)),
        0,
        "all of them are held again"
    );
    succession.observe(12.5, G, A, Evidence::Leads { at: 12.5 });
    assert_eq!(
        (
            count_sent(&request_all(&mut succession, 12.5, 4)),
            succession.leader(G),
            succession.term(G)
        ),
        (4, Some(A), 3)
    );
}

#[test]
fn the_durations_of_changes_are_learned() {
    let mut succession = with_settled_leader(settings());
    for i in 0..8 {
        let at = 20.0 + 10.0 * f64::from(i);
        let (old, new) = if i % 2 == 0 { (A, B) } else { (B, A) };
        succession.observe(at, G, old, Evidence::Unreachable);
        succession.admit(at, 1, &request(1, at));
        succession.observe(at + 0.4, G, new, Evidence::Leads { at: at + 0.4 });
        assert_eq!(
            succession.admit(at + 0.4, 1, &request(1, at)),
            Admission::Send
        );
        succession.record_execution_end(at + 0.5, G, 1, new, true, false);
        succession.forget_statement(G, 1);
        succession.settle(at + 1.0);
        assert!(succession.is_settled(G));
    }
    succession.observe(100.0, G, A, Evidence::Unreachable);
    let short = AdmissionRequest {
        deadline: 100.6,
        ..request(1, 100.0)
    };
    assert_eq!(
        succession.admit(100.0, 1, &short),
        Admission::Hold,
        "most changes took less time"
    );
    assert!(matches!(
        succession.admit(
            100.5,
            2,
            &AdmissionRequest {
                deadline: 100.6,
                ..request(2, 100.5)
            }
        ),
        Admission::Reject { .. }
    ));
}

#[test]
fn without_probes_one_statement_at_a_time_is_sent_as_a_trial() {
    let mut succession = with_settled_leader(settings());
    succession.observe(11.0, G, A, Evidence::Follows { at: 11.0 });
    let trial = |stmt: u32| AdmissionRequest {
        may_be_trial: true,
        ..request(stmt.into(), 10.0 + f64::from(stmt) / 1e3)
    };
    assert_eq!(
        succession.admit(11.0, 1, &request(1, 10.001)),
        Admission::Hold,
        "a statement whose repeat may be harmful is no trial"
    );
    succession.forget_statement(G, 1);
    assert_eq!(
        [2, 3].map(|stmt| succession.admit(11.0, stmt, &trial(stmt))),
        [Admission::Send, Admission::Hold]
    );
    succession.record_execution_end(11.01, G, 2, C, false, true);
    assert_eq!(
        [2, 3].map(|stmt| succession.admit(11.05, stmt, &trial(stmt))),
        [Admission::Hold; 2],
        "the interval between trials is not over"
    );
    assert_eq!(succession.admit(11.11, 2, &trial(2)), Admission::Send);
}

#[test]
fn a_loss_is_logged_once_and_its_commits_are_lost_to_reads() {
    let mut succession = with_settled_leader(settings());
    [10.1, 10.2, 10.3]
        .iter()
        .for_each(|position| succession.record_acknowledged(G, A, *position));
    succession.observe(11.0, G, B, Evidence::Leads { at: 11.0 });
    succession.take_log_lines();
    [12.0, 12.1]
        .iter()
        .for_each(|now| succession.record_promotion(*now, G, B, 10.15, 10.9));
    let lines = succession.take_log_lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].contains("after 10.150 up to 10.900: 2 acknowledged writes are lost"),
        "{lines:?}"
    );
    assert_eq!(
        [10.1, 10.2, 10.3, 11.5].map(|position| succession.is_lost(G, position)),
        [false, true, true, false]
    );
}

#[test]
fn new_settings_take_effect_at_once_and_keep_held_statements() {
    let mut succession = with_suspected_leader(settings());
    request_all(&mut succession, 11.0, 4);
    succession.set_settings(Settings {
        hold_group: crate::HoldSize {
            statements: 2,
            bytes: 400,
        },
        ..settings()
    });
    assert_eq!(succession.hold_usage().current.statements, 4);
    assert!(matches!(
        succession.admit(11.0, 5, &request(5, 11.0)),
        Admission::Reject { .. }
    ));
    succession.observe(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(count_sent(&request_all(&mut succession, 12.0, 4)), 4);
    assert_eq!(succession.phase(G), Phase::Settling);
}
