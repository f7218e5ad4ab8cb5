//! A change from the side of those who wait: held, refused, given up for others, released.

use super::{A, B, C, G, ask, settings, settled, wish};
use crate::{Evidence, Phase, Settings, Succession, Verdict, Wish};
use test_case::test_case;

fn doubted(settings: Settings) -> Succession {
    let mut of = settled(settings);
    of.hear(11.0, G, A, Evidence::Lost);
    of
}

fn goes(verdicts: &[Verdict]) -> usize {
    verdicts.iter().filter(|v| **v == Verdict::Go).count()
}

#[test]
fn while_settled_nobody_is_held() {
    assert_eq!(goes(&ask(&mut settled(settings()), 11.0, 9)), 9);
}

#[test]
fn in_doubt_all_wait_and_what_does_not_fit_is_told_when_to_come_back() {
    let verdicts = ask(&mut doubted(settings()), 11.0, 6);
    assert!(verdicts[..4].iter().all(|v| *v == Verdict::Hold));
    assert!(
        matches!(verdicts[4], Verdict::Refuse { after } if (2.0..=4.0).contains(&after)),
        "{verdicts:?}"
    );
}

#[test_case(1.0, true; "its time is over before changes are")]
#[test_case(3.0, false; "its time is enough")]
fn who_would_wait_in_vain_is_told_at_once(left: f64, refused: bool) {
    let mut of = doubted(Settings {
        least_chance: 0.5,
        ..settings()
    });
    let verdict = of.admit(
        11.0,
        1,
        &Wish {
            due: 11.0 + left,
            ..wish(1, 11.0)
        },
    );
    assert_eq!(
        matches!(verdict, Verdict::Refuse { .. }),
        refused,
        "{verdict:?}"
    );
}

#[test]
fn a_guess_of_the_settings_rejects_nobody_at_the_start_or_in_the_first_change() {
    let slow = Settings {
        expected_change_ms: 9_000.0,
        ..settings()
    };
    let hasty = |arrived: f64| Wish {
        due: arrived + 2.0,
        ..wish(1, arrived)
    };
    let mut fresh = Succession::new(
        Settings {
            least_chance: 1.0,
            ..slow.clone()
        },
        7,
        1.0,
    );
    fresh.hear(9.0, G, A, Evidence::Listed);
    assert_eq!(
        fresh.admit(9.0, 1, &hasty(9.0)),
        Verdict::Hold,
        "nobody was heard of yet: that is no change"
    );
    assert_eq!(doubted(slow).admit(11.0, 1, &hasty(11.0)), Verdict::Hold);
}

#[test]
fn the_worthier_displaces_the_least_worthy_and_the_doubtful_goes_last() {
    let mut of = doubted(settings());
    for (stmt, worth, doubtful) in [
        (1, 3.0, false),
        (2, 1.0, false),
        (3, 0.5, true),
        (4, 2.0, false),
    ] {
        of.admit(
            11.0,
            stmt,
            &Wish {
                worth,
                doubtful,
                ..wish(stmt.into(), 11.0)
            },
        );
    }
    assert_eq!(
        of.admit(
            11.1,
            5,
            &Wish {
                worth: 2.5,
                ..wish(5, 11.1)
            }
        ),
        Verdict::Hold
    );
    assert_eq!(of.settle(11.1), [2], "it is owed an answer now");
    assert!(matches!(
        of.admit(11.1, 2, &wish(2, 11.0)),
        Verdict::Refuse { .. }
    ));
    assert!(of.settle(11.1).is_empty());
    assert!(matches!(
        of.admit(
            11.2,
            6,
            &Wish {
                worth: 1.0,
                ..wish(6, 11.2)
            }
        ),
        Verdict::Refuse { .. }
    ));
    assert!(of.holds(3), "only its repeat can tell how it ended");
}

#[test]
fn bytes_bind_as_counts_do() {
    let mut of = doubted(settings());
    let large = |stmt: u32| Wish {
        bytes: 190,
        ..wish(stmt.into(), 11.0)
    };
    assert_eq!(of.admit(11.0, 1, &large(1)), Verdict::Hold);
    assert_eq!(of.admit(11.0, 2, &large(2)), Verdict::Hold);
    assert!(matches!(
        of.admit(11.0, 3, &large(3)),
        Verdict::Refuse { .. }
    ));
    assert_eq!((of.held().0.statements, of.held().0.bytes), (2, 380));
    [1, 2].iter().for_each(|stmt| of.leave(G, *stmt));
    assert_eq!(
        (of.held().0.statements, of.held().0.bytes, of.held().1.bytes),
        (0, 0, 380)
    );
}

#[test]
fn all_groups_share_the_whole() {
    let mut of = doubted(settings());
    ask(&mut of, 11.0, 4);
    of.hear(11.0, 9, C, Evidence::Listed);
    let other = |stmt: u32, worth: f64| Wish {
        group: 9,
        worth,
        ..wish(stmt.into(), 11.0)
    };
    assert_eq!(
        [5, 6].map(|stmt| of.admit(11.0, stmt, &other(stmt, 1.0))),
        [Verdict::Hold; 2]
    );
    assert!(
        matches!(of.admit(11.0, 7, &other(7, 1.0)), Verdict::Refuse { .. }),
        "six in all"
    );
    assert_eq!(
        of.admit(11.0, 8, &other(8, 2.0)),
        Verdict::Hold,
        "a worthier one finds room in any group"
    );
}

#[test]
fn the_release_begins_small_and_doubles() {
    let mut of = doubted(Settings {
        hold_group: crate::Room {
            statements: 90,
            bytes: 9000,
        },
        hold: crate::Room {
            statements: 90,
            bytes: 9000,
        },
        ..settings()
    });
    assert_eq!(goes(&ask(&mut of, 11.0, 40)), 0);
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    let mut out: Vec<u32> = Vec::new();
    let mut rounds = Vec::new();
    for round in 0..5 {
        let now = 12.0 + f64::from(round);
        for stmt in out.drain(..) {
            of.executed(now, G, stmt, B, true, false);
            of.leave(G, stmt);
        }
        for stmt in (1..=40)
            .filter(|stmt| of.holds(*stmt))
            .collect::<Vec<u32>>()
        {
            if of.admit(now, stmt, &wish(stmt.into(), 10.0 + f64::from(stmt) / 1e3)) == Verdict::Go
            {
                of.sent(stmt);
                out.push(stmt);
            }
        }
        rounds.push(out.len());
    }
    assert_eq!(rounds, [4, 8, 16, 12, 0]);
    of.settle(17.1);
    assert!(of.settled(G));
}

#[test]
fn many_routers_begin_with_one_each_and_not_at_once() {
    let mut begins = Vec::new();
    for seed in 0..5 {
        let mut of = Succession::new(
            Settings {
                release_spread_ms: 20.0,
                ..settings()
            },
            seed,
            5.0,
        );
        of.hear(9.0, G, A, Evidence::Leads { at: 9.0 });
        ask(&mut of, 9.0, 4);
        let at = (0..200)
            .map(|ms| 9.0 + f64::from(ms) / 1e3)
            .find(|now| goes(&ask(&mut of, *now, 4)) > 0);
        assert_eq!(
            goes(&ask(&mut of, at.unwrap(), 4)),
            1,
            "a part of the first window"
        );
        begins.push((at.unwrap() * 1e3) as u64);
    }
    begins.sort();
    begins.dedup();
    assert!(begins.len() >= 4, "{begins:?}");
}

#[test]
fn a_session_goes_in_its_order() {
    let mut of = doubted(settings());
    let session = |stmt: u32| wish(77, 10.0 + f64::from(stmt) / 1e3);
    assert_eq!(
        [2, 1].map(|stmt| of.admit(11.0, stmt, &session(stmt))),
        [Verdict::Hold; 2]
    );
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(
        of.admit(12.0, 2, &session(2)),
        Verdict::Hold,
        "behind the first of its session"
    );
    assert_eq!(of.admit(12.0, 1, &session(1)), Verdict::Go);
    of.sent(1);
    assert_eq!(
        of.admit(12.0, 2, &session(2)),
        Verdict::Hold,
        "until that has its answer"
    );
    of.leave(G, 1);
    assert_eq!(of.admit(12.1, 2, &session(2)), Verdict::Go);
}

#[test]
fn what_may_have_run_goes_first_then_the_worthiest_then_who_waits_longest() {
    let mut of = Succession::new(settings(), 7, 4.0);
    of.hear(9.0, G, A, Evidence::Lost);
    let all = [
        (
            1,
            Wish {
                worth: 1.0,
                ..wish(1, 10.2)
            },
        ),
        (
            2,
            Wish {
                worth: 1.0,
                ..wish(2, 10.1)
            },
        ),
        (
            3,
            Wish {
                worth: 2.0,
                ..wish(3, 10.3)
            },
        ),
        (
            4,
            Wish {
                worth: 0.5,
                doubtful: true,
                ..wish(4, 10.4)
            },
        ),
    ];
    all.iter()
        .for_each(|(stmt, wish)| _ = of.admit(11.0, *stmt, wish));
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    let mut order = Vec::new();
    for _ in 0..4 {
        let open = all
            .iter()
            .filter(|(stmt, _)| !order.contains(stmt))
            .collect::<Vec<_>>();
        let goes = open
            .into_iter()
            .filter(|(stmt, wish)| of.admit(12.0, *stmt, wish) == Verdict::Go);
        let goes: Vec<u32> = goes.map(|(stmt, _)| *stmt).collect();
        assert_eq!(goes.len(), 1, "one at a time of four routers");
        of.sent(goes[0]);
        of.leave(G, goes[0]);
        order.extend(goes);
    }
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn what_fails_at_a_new_leader_pauses_the_release() {
    let mut of = doubted(settings());
    ask(&mut of, 11.0, 4);
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(of.admit(12.0, 1, &wish(1, 10.001)), Verdict::Go);
    of.executed(12.01, G, 1, B, false, true);
    assert_eq!(goes(&ask(&mut of, 12.02, 4)), 0);
    assert_eq!(goes(&ask(&mut of, 12.07, 4)), 2, "half of the first window");
}

#[test]
fn a_new_leader_that_is_lost_takes_nobody_with_it() {
    let mut of = doubted(settings());
    ask(&mut of, 11.0, 4);
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(goes(&ask(&mut of, 12.0, 4)), 4);
    of.hear(12.1, G, B, Evidence::Lost);
    assert_eq!(goes(&ask(&mut of, 12.1, 4)), 0, "all are held again");
    of.hear(12.5, G, A, Evidence::Leads { at: 12.5 });
    assert_eq!(
        (goes(&ask(&mut of, 12.5, 4)), of.leader(G), of.term(G)),
        (4, Some(A), 3)
    );
}

#[test]
fn what_changes_took_is_learnt() {
    let mut of = settled(settings());
    for i in 0..8 {
        let (at, by) = (
            20.0 + 10.0 * f64::from(i),
            if i % 2 == 0 { [A, B] } else { [B, A] },
        );
        of.hear(at, G, by[0], Evidence::Lost);
        of.admit(at, 1, &wish(1, at));
        of.hear(at + 0.4, G, by[1], Evidence::Leads { at: at + 0.4 });
        assert_eq!(of.admit(at + 0.4, 1, &wish(1, at)), Verdict::Go);
        of.executed(at + 0.5, G, 1, by[1], true, false);
        of.leave(G, 1);
        of.settle(at + 1.0);
        assert!(of.settled(G));
    }
    of.hear(100.0, G, A, Evidence::Lost);
    let short = Wish {
        due: 100.6,
        ..wish(1, 100.0)
    };
    assert_eq!(
        of.admit(100.0, 1, &short),
        Verdict::Hold,
        "most changes were over in less"
    );
    assert!(matches!(
        of.admit(
            100.5,
            2,
            &Wish {
                due: 100.6,
                ..wish(2, 100.5)
            }
        ),
        Verdict::Refuse { .. }
    ));
}

#[test]
fn without_probes_one_trial_looks_for_a_leader() {
    let mut of = settled(settings());
    of.hear(11.0, G, A, Evidence::Follows { at: 11.0 });
    let tries = |stmt: u32| Wish {
        tries: true,
        ..wish(stmt.into(), 10.0 + f64::from(stmt) / 1e3)
    };
    assert_eq!(
        of.admit(11.0, 1, &wish(1, 10.001)),
        Verdict::Hold,
        "not one whose repeat may harm"
    );
    of.leave(G, 1);
    assert_eq!(
        [2, 3].map(|stmt| of.admit(11.0, stmt, &tries(stmt))),
        [Verdict::Go, Verdict::Hold]
    );
    of.executed(11.01, G, 2, C, false, true);
    assert_eq!(
        [2, 3].map(|stmt| of.admit(11.05, stmt, &tries(stmt))),
        [Verdict::Hold; 2],
        "not yet"
    );
    assert_eq!(of.admit(11.11, 2, &tries(2)), Verdict::Go);
}

#[test]
fn a_loss_is_told_once_and_no_read_may_owe_it() {
    let mut of = settled(settings());
    [10.1, 10.2, 10.3]
        .iter()
        .for_each(|commit| of.answered(G, A, *commit));
    of.hear(11.0, G, B, Evidence::Leads { at: 11.0 });
    of.lines();
    [12.0, 12.1]
        .iter()
        .for_each(|now| of.taken_over(*now, G, B, 10.15, 10.9));
    let lines = of.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].contains("after 10.150 up to 10.900: 2 answered writes are gone"),
        "{lines:?}"
    );
    assert_eq!(
        [10.1, 10.2, 10.3, 11.5].map(|commit| of.lost(G, commit)),
        [false, true, true, false]
    );
}

#[test]
fn settings_take_effect_at_once_and_lose_nobody() {
    let mut of = doubted(settings());
    ask(&mut of, 11.0, 4);
    of.reset(Settings {
        hold_group: crate::Room {
            statements: 2,
            bytes: 400,
        },
        ..settings()
    });
    assert_eq!(of.held().0.statements, 4);
    assert!(matches!(
        of.admit(11.0, 5, &wish(5, 11.0)),
        Verdict::Refuse { .. }
    ));
    of.hear(12.0, G, B, Evidence::Leads { at: 12.0 });
    assert_eq!(goes(&ask(&mut of, 12.0, 4)), 4);
    assert_eq!(of.phase(G), Phase::Settling);
}
