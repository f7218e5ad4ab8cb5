//! Each rule by itself: build a state, call one function.

use super::{START, born, name, named, settings};
use crate::turns::Turns;
use crate::{Open, Phase, Recovery, Settings, Sign, Stand, Unopened, phase::Course, place};
use test_case::test_case;

const NONE: Stand = Stand {
    opening: 0,
    busy: 0,
    idle: 0,
};

/// Brings one of 40 routers into a phase, by what leads there.
fn at(phase: Phase) -> (Recovery, f64) {
    let mut recovery = born(named(40), 40, 7, 3);
    let mut now = START;
    if phase > Phase::Listing {
        recovery.listed(now);
    }
    if phase > Phase::Sounding {
        recovery.reported(now, 0, 1.0, 0.0);
    }
    while recovery.phase() < phase {
        now += 0.05;
        recovery.pass(now);
    }
    (recovery, now)
}

#[test_case(Phase::Listing, false, false; "nothing is sent before the list is there")]
#[test_case(Phase::Climbing, true, false; "one at a node that is not known")]
#[test_case(Phase::Full, true, true; "as ever")]
fn what_a_phase_lets_through(phase: Phase, first: bool, probe: bool) {
    let (recovery, now) = at(phase);
    assert_eq!(recovery.phase(), phase);
    assert_eq!(recovery.may_send(now, 0, 0), first);
    assert_eq!(recovery.may_probe(now, 0), probe);
    assert_eq!(
        recovery.may_send(now, 0, 1),
        phase == Phase::Full,
        "a second one at the same time"
    );
}

#[test]
fn one_node_is_sounded_and_the_others_wait() {
    let (mut recovery, now) = at(Phase::Sounding);
    assert!(!recovery.may_send(now, 1, 0), "none was chosen yet");
    assert_eq!(recovery.sound(&[1]), Some(1));
    assert_eq!(recovery.sound(&[0, 2]), None, "once");
    assert!(recovery.may_send(now, 1, 0) && recovery.may_probe(now, 1));
    assert!(!recovery.may_send(now, 0, 0) && !recovery.may_probe(now, 0));
    assert_eq!(recovery.may_open(now, 1, NONE), Open::Now);
    assert_ne!(
        recovery.may_open(now, 1, Stand { opening: 1, ..NONE }),
        Open::Now
    );
    assert_ne!(recovery.may_open(now, 0, NONE), Open::Now);
}

#[test]
fn routers_sound_all_nodes_alike() {
    let mut sounded = [0; 4];
    for number in 0..40 {
        let mut recovery = born(named(40), 40, number, 4);
        recovery.listed(START);
        sounded[recovery.sound(&[0, 1, 2, 3]).unwrap() as usize] += 1;
    }
    assert_eq!(sounded, [10; 4]);
}

#[test_case(39.0, 1.0, Phase::Full; "others hold theirs: it came back alone")]
#[test_case(24.0, 2.0, Phase::Full; "most others hold theirs")]
#[test_case(5.0, 3.0, Phase::Turns; "nobody is there yet")]
#[test_case(39.0, 20.0, Phase::Turns; "many were opened just now")]
#[test_case(39.0, 3.0, Phase::Sounding; "some were: the first of a herd may hold these")]
#[test_case(39.0, 8.0, Phase::Sounding; "as many as the bound were")]
fn a_report_tells_who_else_comes_back(held: f64, opened: f64, phase: Phase) {
    let (mut recovery, now) = at(Phase::Sounding);
    recovery.reported(now, 0, held, opened);
    assert_eq!(recovery.phase(), phase);
}

#[test_case(39.0, 2.0, Phase::Full; "it is calm now: others hold theirs")]
#[test_case(39.0, 9.0, Phase::Turns; "more than the bound are opened now")]
#[test_case(39.0, 4.0, Phase::Turns; "nothing told in time")]
fn a_doubtful_report_leaves_it_to_the_next(held: f64, opened: f64, phase: Phase) {
    let (mut recovery, now) = at(Phase::Sounding);
    recovery.reported(now, 0, 39.0, 5.0);
    assert_eq!(recovery.phase(), Phase::Sounding);
    recovery.reported(now + 0.1, 0, held, opened);
    recovery.pass(now + 0.15);
    assert_eq!(recovery.phase(), phase);
}

#[test_case(40, 0.01, Phase::Sounding; "quick, which tells nothing by itself")]
#[test_case(40, 0.2, Phase::Turns; "others wait there")]
#[test_case(1, 0.01, Phase::Full; "the only router there is")]
fn a_handshake_tells_who_else_comes_back(routers: usize, took: f64, phase: Phase) {
    let mut recovery = born(settings(), routers, 0, 3);
    recovery.listed(START);
    recovery.opened(START, 0, took);
    assert_eq!(recovery.phase(), phase);
}

#[test]
fn a_node_that_is_full_is_a_sign() {
    let (mut recovery, now) = at(Phase::Sounding);
    recovery.unopened(now, 2, Unopened::Full);
    assert_eq!(recovery.phase(), Phase::Turns);
}

#[test_case(Phase::Listing, 0.3, Phase::Turns; "a silent discovery is a trouble that others share")]
#[test_case(Phase::Sounding, 0.2, Phase::Turns; "nobody answered")]
#[test_case(Phase::Turns, 0.6, Phase::Climbing; "a cycle without a sign")]
#[test_case(Phase::Climbing, 0.4, Phase::Full; "still none")]
fn a_phase_ends_by_itself(phase: Phase, after: f64, next: Phase) {
    let (mut recovery, now) = at(phase);
    // In beats: a long gap would be a standstill.
    for beat in 1..=(after / 0.05) as usize + 1 {
        recovery.pass(now + 0.05 * beat as f64);
    }
    assert!(recovery.phase() >= next, "{:?}", recovery.phase());
}

#[test]
fn signs_prolong_a_phase_but_not_without_end() {
    let (mut recovery, mut now) = at(Phase::Turns);
    let begun = now;
    while recovery.phase() < Phase::Full {
        now += 0.05;
        recovery.reported(now, 0, 3.0, 100.0);
        recovery.pass(now);
        assert!(now - begun < 30.0, "it never ends");
    }
    let longest = Settings::default().longest_ms / 1e3;
    assert!(
        now - begun >= 2.0 * longest,
        "signs count, {:.2} s",
        now - begun
    );
    // Three steps back, each with both phases, and one more of both.
    assert!(now - begun <= 8.0 * longest + 1.0, "{:.2} s", now - begun);
}

#[test]
fn climbing_steps_back_on_a_sign() {
    let mut course = Course::begin(START);
    course.spoke();
    let s = settings();
    assert!(course.pass(START, &s, 0.1));
    course.sign(START, Sign::Crowd);
    assert_eq!(course.phase, Phase::Turns);
    assert!(course.pass(START + 5.0, &s, 0.1));
    course.sign(START + 5.0, Sign::Crowd);
    assert_eq!(course.phase, Phase::Turns);
}

#[test]
fn a_standstill_is_a_start() {
    let (mut recovery, now) = at(Phase::Full);
    recovery.opened(now, 0, 0.01);
    assert!(
        !recovery.pass(now + 0.05),
        "a beat later nothing has changed"
    );
    assert!(recovery.pass(now + 5.0));
    assert_eq!(recovery.phase(), Phase::Listing);
    assert!(
        !recovery.may_send(now + 5.0, 0, 0),
        "lists that lie in its sockets come first"
    );
    assert!(
        recovery
            .lines()
            .iter()
            .any(|line| line.contains("stood still"))
    );
}

#[test]
fn a_node_is_believed_step_by_step() {
    let (mut recovery, now) = at(Phase::Climbing);
    recovery.opened(now, 0, 0.01);
    let room = |recovery: &Recovery| {
        (0..100)
            .find(|out| !recovery.may_send(now, 0, *out))
            .unwrap_or(100)
    };
    assert_eq!(room(&recovery), 1);
    (0..4).for_each(|_| recovery.answered(0, true));
    assert_eq!(room(&recovery), 5);
    recovery.answered(0, false);
    assert_eq!(room(&recovery), 3, "half after a bad one");
    (0..40).for_each(|_| recovery.answered(0, true));
    assert_eq!(room(&recovery), 100, "as far as any");
}

#[test_case(0, 0, true; "the first")]
#[test_case(1, 0, false; "one is on its way")]
#[test_case(1, 2, true; "as many as there are")]
#[test_case(2, 2, false; "no more than there are")]
fn connections_double_on_a_calm_day(opening: usize, held: usize, may: bool) {
    let (mut recovery, now) = at(Phase::Full);
    let stand = Stand {
        opening,
        busy: held,
        idle: 0,
    };
    assert_eq!(recovery.may_open(now, 0, stand) == Open::Now, may);
}

#[test_case(Phase::Full, 0, true; "without one it is opened at once")]
#[test_case(Phase::Full, 1, false; "who has one waits for its turn")]
#[test_case(Phase::Full, 4, true; "who has many is one of few")]
#[test_case(Phase::Climbing, 0, false; "while it climbs the first one waits, too")]
fn small_routers_open_in_turn_behind_turns(phase: Phase, held: usize, at_once: bool) {
    let (mut recovery, now) = at(phase);
    recovery.reset(
        Settings {
            turns_below: 4,
            ..recovery.settings().clone()
        },
        &name(7),
    );
    let stand = Stand { busy: held, ..NONE };
    // A cycle's moments, of which one is its own.
    let opens = (0..45)
        .filter(|i| recovery.may_open(now + 0.01 * f64::from(*i), 0, stand) == Open::Now)
        .count();
    assert_eq!(opens > 2, at_once, "{opens} of 45");
    assert!(opens > 0, "its turn never came");
}

#[test]
fn a_crowded_node_is_opened_in_turn_by_those_who_did_not_restart_too() {
    let (mut recovery, now) = at(Phase::Full);
    recovery.opened(now, 0, 0.01);
    recovery.reported(now, 0, 40.0, 30.0);
    let held = Stand { busy: 4, ..NONE };
    let opens = (0..40)
        .filter(|i| recovery.may_open(now + 0.01 * f64::from(*i), 0, held) == Open::Now)
        .count();
    assert!((1..=2).contains(&opens), "{opens} in one cycle");
    assert_eq!(
        recovery.may_open(now, 1, held),
        Open::Now,
        "another node is none of it"
    );
    assert_eq!(
        recovery.may_open(now + 1.0, 0, held),
        Open::Now,
        "and it passes"
    );
}

#[test]
fn refusals_are_waited_out_longer_each_time_and_differ_between_routers() {
    let wait = |number: usize, refusals: usize| {
        let mut recovery = born(settings(), 40, number, 1);
        (0..refusals).for_each(|_| recovery.unopened(START, 0, Unopened::Full));
        match recovery.may_open(START, 0, NONE) {
            Open::After(wait) => wait,
            Open::Now => 0.0,
        }
    };
    assert!((0.05..=0.15).contains(&wait(0, 1)) && (0.4..=1.2).contains(&wait(0, 4)));
    assert!(wait(0, 30) <= 3.0, "bounded");
    let mut waits: Vec<f64> = (0..20).map(|number| wait(number, 3)).collect();
    waits.sort_by(f64::total_cmp);
    waits.dedup();
    assert_eq!(waits.len(), 20, "equal routers differ");
}

#[test]
fn taken_on_connections_are_given_up_again() {
    let (mut recovery, now) = at(Phase::Full);
    assert_eq!(
        recovery.keep(
            now,
            0,
            Stand {
                busy: 9,
                idle: 0,
                opening: 0
            }
        ),
        0
    );
    assert_eq!(
        recovery.keep(
            now + 1.0,
            0,
            Stand {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        7,
        "lately in use"
    );
    assert_eq!(
        recovery.keep(
            now + 4.0,
            0,
            Stand {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        7
    );
    assert_eq!(
        recovery.keep(
            now + 8.0,
            0,
            Stand {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        0
    );
    assert_eq!(
        recovery.keep(
            now + 30.0,
            0,
            Stand {
                busy: 0,
                idle: 9,
                opening: 0
            }
        ),
        1,
        "one stays"
    );
}

#[test]
fn what_was_forgotten_stays_forgotten() {
    let (mut recovery, now) = at(Phase::Full);
    recovery.forget(2);
    recovery.opened(now, 2, 9.0);
    recovery.unopened(now, 2, Unopened::Unreached);
    recovery.answered(2, true);
    recovery.reported(now, 2, 3.0, 100.0);
    assert_eq!(recovery.keep(now, 2, Stand { idle: 3, ..NONE }), 0);
    assert_eq!(
        recovery.may_open(now, 2, Stand { opening: 5, ..NONE }),
        Open::Now
    );
    assert_eq!(recovery.known(), 2);
}

#[test]
fn advice_and_the_watch_are_spread() {
    let mut recovery = born(settings(), 40, 1, 1);
    let advice: Vec<f64> = (0..100).map(|_| recovery.advice(2.0)).collect();
    assert!(advice.iter().all(|after| (0.5..=2.0).contains(after)));
    assert!(advice.iter().filter(|after| **after < 1.25).count() > 25);
    assert_eq!(recovery.advice(0.0), 0.0, "none where none is passed on");
    assert!(
        (0..100)
            .map(|tries| recovery.pause(tries))
            .all(|pause| (0.025..=1.0).contains(&pause))
    );
}

#[test]
fn each_router_has_one_turn_a_cycle_and_node() {
    let turns: Vec<Turns> = (0..5).map(|rank| Turns::new(rank, 5, 10.0)).collect();
    for node in ["a", "b", "c"] {
        let place = place(node);
        for slot in 0..20 {
            let now = START + 0.01 * f64::from(slot) + 0.005;
            assert_eq!(
                turns
                    .iter()
                    .filter(|turns| turns.turn(now, place).is_some())
                    .count(),
                1
            );
        }
    }
    let (mine, place) = (&turns[2], place("a"));
    let next = START + mine.next(START, place);
    assert!(mine.turn(next, place).is_some(), "the next turn is one");
    assert!(next - START <= mine.cycle() + 0.01);
}

#[test]
fn names_tell_ranks_and_who_is_not_named_draws() {
    let first = |number: usize, settings: Settings| {
        let (mut recovery, mut now) = (born(settings, 40, number, 1), START);
        recovery.listed(now);
        recovery.reported(now, 0, 0.0, 0.0);
        while !recovery.may_send(now, 0, 0) {
            now += 0.001;
        }
        ((now - START) * 1e3).round() as u64
    };
    let mut exact: Vec<u64> = (0..40)
        .map(|number| first(number, named(40)) * 2 / 25)
        .collect();
    exact.sort_unstable();
    exact.dedup();
    assert!(exact.len() >= 39, "named routers share no slot: {exact:?}");
    let unnamed = Settings {
        routers: vec![name(900)],
        ..settings()
    };
    assert!(
        first(3, unnamed.clone()) != first(4, unnamed.clone())
            || first(5, unnamed.clone()) != first(3, unnamed)
    );
}

#[test_case("opens_in_100ms", |s| s.opens_in_100ms = 0.5)]
#[test_case("opens_in_100ms", |s| s.opens_in_100ms = f64::NAN)]
#[test_case("list_wait_ms", |s| s.list_wait_ms = -1.0)]
#[test_case("longest_handshake_ms", |s| s.longest_handshake_ms = 1.0; "shorter than a calm one")]
#[test_case("stood_still_ms", |s| s.stood_still_ms = 10.0; "less than a beat")]
#[test_case("refused_most_ms", |s| s.refused_most_ms = 1.0)]
#[test_case("routers", |s| s.routers = vec!["a".into(), "b".into(), "a".into()])]
#[test_case("held_field", |s| s.opened_field = String::new(); "half of the fields")]
fn settings_that_can_not_be(field: &str, spoil: fn(&mut Settings)) {
    let mut spoilt = settings();
    assert_eq!(spoilt.fault(), None);
    spoil(&mut spoilt);
    assert_eq!(spoilt.fault().map(|fault| fault.0), Some(field));
}
