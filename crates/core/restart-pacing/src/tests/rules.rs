//! Unit tests of each rule on its own: each builds a state and calls one function.

use super::{START, name, settings, settings_naming, started};
use crate::connection_slots::ConnectionSlots;
use crate::{
    ConnectionCounts, Evidence, OpenDecision, OpenFailure, Phase, Recovery, Settings,
    phase::PhaseState, stable_hash,
};
use test_case::test_case;

const NO_CONNECTIONS: ConnectionCounts = ConnectionCounts {
    opening: 0,
    busy: 0,
    idle: 0,
};

/// Returns one of 40 routers in a phase, with the time. It gets there by the events that lead to the phase.
fn router_in(phase: Phase) -> (Recovery, f64) {
    let mut recovery = started(settings_naming(40), 40, 7, 3);
    let mut now = START;
    if phase > Phase::Listing {
        recovery.discovery_answered(now);
    }
    if phase > Phase::Sounding {
        recovery.connections_reported(now, 0, 1.0, 0.0);
    }
    while recovery.phase() < phase {
        now += 0.05;
        recovery.advance(now);
    }
    (recovery, now)
}

#[test_case(Phase::Listing, false, false; "listing allows nothing")]
#[test_case(Phase::Climbing, true, false; "climbing allows one statement at a new node")]
#[test_case(Phase::Full, true, true; "full service allows everything")]
fn what_a_phase_allows(phase: Phase, send: bool, probe: bool) {
    let (recovery, now) = router_in(phase);
    assert_eq!(recovery.phase(), phase);
    assert_eq!(recovery.may_send(now, 0, 0), send);
    assert_eq!(recovery.may_probe(now, 0), probe);
    assert_eq!(
        recovery.may_send(now, 0, 1),
        phase == Phase::Full,
        "a second one at the same time"
    );
}

#[test]
fn only_the_sounded_node_is_used() {
    let (mut recovery, now) = router_in(Phase::Sounding);
    assert!(!recovery.may_send(now, 1, 0), "no node was chosen yet");
    assert_eq!(recovery.choose_sounded_node(&[1]), Some(1));
    assert_eq!(
        recovery.choose_sounded_node(&[0, 2]),
        None,
        "a node is chosen once"
    );
    assert!(recovery.may_send(now, 1, 0) && recovery.may_probe(now, 1));
    assert!(!recovery.may_send(now, 0, 0) && !recovery.may_probe(now, 0));
    assert_eq!(recovery.may_open(now, 1, NO_CONNECTIONS), OpenDecision::Now);
    assert_ne!(
        recovery.may_open(
            now,
            1,
            ConnectionCounts {
                opening: 1,
                ..NO_CONNECTIONS
            }
        ),
        OpenDecision::Now
    );
    assert_ne!(recovery.may_open(now, 0, NO_CONNECTIONS), OpenDecision::Now);
}

#[test]
fn routers_sound_all_nodes_equally() {
    let mut sounded = [0; 4];
    for number in 0..40 {
        let mut recovery = started(settings_naming(40), 40, number, 4);
        recovery.discovery_answered(START);
        sounded[recovery.choose_sounded_node(&[0, 1, 2, 3]).unwrap() as usize] += 1;
    }
    assert_eq!(sounded, [10; 4]);
}

#[test_case(39.0, 1.0, Phase::Full; "other routers hold their connections")]
#[test_case(24.0, 2.0, Phase::Full; "most other routers hold their connections")]
#[test_case(5.0, 3.0, Phase::Turns; "other routers have no connections yet")]
#[test_case(39.0, 20.0, Phase::Turns; "many connections were just opened")]
#[test_case(39.0, 3.0, Phase::Sounding; "some were just opened and the first to return may hold the rest")]
#[test_case(39.0, 8.0, Phase::Sounding; "as many as the bound were just opened")]
fn a_report_shows_whether_others_return(held: f64, opened: f64, phase: Phase) {
    let (mut recovery, now) = router_in(Phase::Sounding);
    recovery.connections_reported(now, 0, held, opened);
    assert_eq!(recovery.phase(), phase);
}

#[test_case(39.0, 2.0, Phase::Full; "the next report is calm")]
#[test_case(39.0, 9.0, Phase::Turns; "the next report exceeds the bound")]
#[test_case(39.0, 4.0, Phase::Turns; "no clear report in time")]
fn after_an_unclear_report_the_next_one_decides(held: f64, opened: f64, phase: Phase) {
    let (mut recovery, now) = router_in(Phase::Sounding);
    recovery.connections_reported(now, 0, 39.0, 5.0);
    assert_eq!(recovery.phase(), Phase::Sounding);
    recovery.connections_reported(now + 0.1, 0, held, opened);
    recovery.advance(now + 0.15);
    assert_eq!(recovery.phase(), phase);
}

#[test_case(40, 0.01, Phase::Sounding; "a quick handshake alone shows nothing")]
#[test_case(40, 0.2, Phase::Turns; "a slow handshake shows that others connect")]
#[test_case(1, 0.01, Phase::Full; "a single router")]
fn a_handshake_shows_whether_others_return(routers: usize, took: f64, phase: Phase) {
    let mut recovery = started(settings(), routers, 0, 3);
    recovery.discovery_answered(START);
    recovery.connection_opened(START, 0, took);
    assert_eq!(recovery.phase(), phase);
}

#[test]
fn a_full_node_shows_that_others_return() {
    let (mut recovery, now) = router_in(Phase::Sounding);
    recovery.connection_failed(now, 2, OpenFailure::NodeFull);
    assert_eq!(recovery.phase(), Phase::Turns);
}

#[test_case(Phase::Listing, 0.3, Phase::Turns; "discovery did not answer")]
#[test_case(Phase::Sounding, 0.2, Phase::Turns; "no evidence from the sounded node")]
#[test_case(Phase::Turns, 0.6, Phase::Climbing; "a cycle without evidence of others")]
#[test_case(Phase::Climbing, 0.4, Phase::Full; "calm while climbing")]
fn a_phase_ends_after_a_time(phase: Phase, after: f64, next: Phase) {
    let (mut recovery, now) = router_in(phase);
    // In small steps, because a long gap would be a stall.
    for step in 1..=(after / 0.05) as usize + 1 {
        recovery.advance(now + 0.05 * step as f64);
    }
    assert!(recovery.phase() >= next, "{:?}", recovery.phase());
}

#[test]
fn evidence_prolongs_a_phase_within_a_bound() {
    let (mut recovery, mut now) = router_in(Phase::Turns);
    let began = now;
    while recovery.phase() < Phase::Full {
        now += 0.05;
        recovery.connections_reported(now, 0, 3.0, 100.0);
        recovery.advance(now);
        assert!(now - began < 30.0, "the phases do not end");
    }
    let longest = Settings::default().longest_ms / 1e3;
    assert!(
        now - began >= 2.0 * longest,
        "evidence does not prolong the phases: {:.2} s",
        now - began
    );
    // Three returns to turns, each through both phases, and both phases once more.
    assert!(now - began <= 8.0 * longest + 1.0, "{:.2} s", now - began);
}

#[test]
fn climbing_returns_to_turns_on_evidence_of_others() {
    let mut state = PhaseState::starting(START);
    state.discovery_answered();
    let s = settings();
    assert!(state.advance(START, &s, 0.1));
    state.observe(START, Evidence::OthersReturning);
    assert_eq!(state.phase, Phase::Turns);
    assert!(state.advance(START + 5.0, &s, 0.1));
    state.observe(START + 5.0, Evidence::OthersReturning);
    assert_eq!(state.phase, Phase::Turns);
}

#[test]
fn a_stall_is_like_a_start() {
    let (mut recovery, now) = router_in(Phase::Full);
    recovery.connection_opened(now, 0, 0.01);
    assert!(
        !recovery.advance(now + 0.05),
        "an ordinary gap is taken for a stall"
    );
    assert!(recovery.advance(now + 5.0));
    assert_eq!(recovery.phase(), Phase::Listing);
    assert!(
        !recovery.may_send(now + 5.0, 0, 0),
        "the lists waiting in its sockets must be read first"
    );
    assert!(
        recovery
            .take_log_lines()
            .iter()
            .any(|line| line.contains("stood still"))
    );
}

#[test]
fn the_limit_of_statements_in_flight_grows_step_by_step() {
    let (mut recovery, now) = router_in(Phase::Climbing);
    recovery.connection_opened(now, 0, 0.01);
    let limit = |recovery: &Recovery| {
        (0..100)
            .find(|in_flight| !recovery.may_send(now, 0, *in_flight))
            .unwrap_or(100)
    };
    assert_eq!(limit(&recovery), 1);
    (0..4).for_each(|_| recovery.execution_ended(0, true));
    assert_eq!(limit(&recovery), 5);
    recovery.execution_ended(0, false);
    assert_eq!(limit(&recovery), 3, "a bad execution halves the limit");
    (0..40).for_each(|_| recovery.execution_ended(0, true));
    assert_eq!(limit(&recovery), 100, "a trusted node has no limit");
}

#[test_case(0, 0, true; "the first connection")]
#[test_case(1, 0, false; "one is opening already")]
#[test_case(1, 2, true; "fewer opening than open")]
#[test_case(2, 2, false; "as many opening as open")]
fn connections_at_most_double_in_full_service(opening: usize, held: usize, may: bool) {
    let (mut recovery, now) = router_in(Phase::Full);
    let counts = ConnectionCounts {
        opening,
        busy: held,
        idle: 0,
    };
    assert_eq!(recovery.may_open(now, 0, counts) == OpenDecision::Now, may);
}

#[test_case(Phase::Full, 0, true; "the first connection opens at once")]
#[test_case(Phase::Full, 1, false; "a router with one connection waits for its slot")]
#[test_case(Phase::Full, 4, true; "a router with many connections does not wait")]
#[test_case(Phase::Climbing, 0, false; "while climbing the first connection waits too")]
fn routers_with_few_connections_use_slots_after_turns(phase: Phase, held: usize, at_once: bool) {
    let (mut recovery, now) = router_in(phase);
    recovery.reset(
        Settings {
            turns_below: 4,
            ..recovery.settings().clone()
        },
        &name(7),
    );
    let counts = ConnectionCounts {
        busy: held,
        ..NO_CONNECTIONS
    };
    // Times over one cycle, in which the router owns one slot.
    let opens = (0..45)
        .filter(|i| recovery.may_open(now + 0.01 * f64::from(*i), 0, counts) == OpenDecision::Now)
        .count();
    assert_eq!(opens > 2, at_once, "{opens} of 45");
    assert!(opens > 0, "the router never owned a slot");
}

#[test]
fn routers_in_service_use_slots_at_a_crowded_node() {
    let (mut recovery, now) = router_in(Phase::Full);
    recovery.connection_opened(now, 0, 0.01);
    recovery.connections_reported(now, 0, 40.0, 30.0);
    let held = ConnectionCounts {
        busy: 4,
        ..NO_CONNECTIONS
    };
    let opens = (0..40)
        .filter(|i| recovery.may_open(now + 0.01 * f64::from(*i), 0, held) == OpenDecision::Now)
        .count();
    assert!((1..=2).contains(&opens), "{opens} in one cycle");
    assert_eq!(
        recovery.may_open(now, 1, held),
        OpenDecision::Now,
        "other nodes are not affected"
    );
    assert_eq!(
        recovery.may_open(now + 1.0, 0, held),
        OpenDecision::Now,
        "the crowded time ends"
    );
}

#[test]
fn backoff_grows_and_differs_between_routers() {
    let backoff_s = |number: usize, failures: usize| {
        let mut recovery = started(settings(), 40, number, 1);
        (0..failures).for_each(|_| recovery.connection_failed(START, 0, OpenFailure::NodeFull));
        match recovery.may_open(START, 0, NO_CONNECTIONS) {
            OpenDecision::After(wait) => wait,
            OpenDecision::Now => 0.0,
        }
    };
    assert!((0.05..=0.15).contains(&backoff_s(0, 1)) && (0.4..=1.2).contains(&backoff_s(0, 4)));
    assert!(backoff_s(0, 30) <= 3.0, "the backoff exceeds its bound");
    let mut backoffs: Vec<f64> = (0..20).map(|number| backoff_s(number, 3)).collect();
    backoffs.sort_by(f64::total_cmp);
    backoffs.dedup();
    assert_eq!(backoffs.len(), 20, "routers have equal backoffs");
}

#[test]
fn surplus_connections_are_closed() {
    let (mut recovery, now) = router_in(Phase::Full);
    assert_eq!(
        recovery.idle_to_keep(
            now,
            0,
            ConnectionCounts {
                busy: 9,
                idle: 0,
                opening: 0
            }
        ),
        0
    );
    assert_eq!(
        recovery.idle_to_keep(
            now + 1.0,
            0,
            ConnectionCounts {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        7,
        "in use a short time ago"
    );
    assert_eq!(
        recovery.idle_to_keep(
            now + 4.0,
            0,
            ConnectionCounts {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        7
    );
    assert_eq!(
        recovery.idle_to_keep(
            now + 8.0,
            0,
            ConnectionCounts {
                busy: 2,
                idle: 7,
                opening: 0
            }
        ),
        0
    );
    assert_eq!(
        recovery.idle_to_keep(
            now + 30.0,
            0,
            ConnectionCounts {
                busy: 0,
                idle: 9,
                opening: 0
            }
        ),
        1,
        "one connection stays"
    );
}

#[test]
fn events_of_a_forgotten_node_do_not_bring_it_back() {
    let (mut recovery, now) = router_in(Phase::Full);
    recovery.forget(2);
    recovery.connection_opened(now, 2, 9.0);
    recovery.connection_failed(now, 2, OpenFailure::Unreachable);
    recovery.execution_ended(2, true);
    recovery.connections_reported(now, 2, 3.0, 100.0);
    assert_eq!(
        recovery.idle_to_keep(
            now,
            2,
            ConnectionCounts {
                idle: 3,
                ..NO_CONNECTIONS
            }
        ),
        0
    );
    assert_eq!(
        recovery.may_open(
            now,
            2,
            ConnectionCounts {
                opening: 5,
                ..NO_CONNECTIONS
            }
        ),
        OpenDecision::Now
    );
    assert_eq!(recovery.known_nodes(), 2);
}

#[test]
fn retry_advice_and_watch_delays_are_spread() {
    let mut recovery = started(settings(), 40, 1, 1);
    let advice_s: Vec<f64> = (0..100).map(|_| recovery.retry_advice_s(2.0)).collect();
    assert!(advice_s.iter().all(|after| (0.5..=2.0).contains(after)));
    assert!(advice_s.iter().filter(|after| **after < 1.25).count() > 25);
    assert_eq!(
        recovery.retry_advice_s(0.0),
        0.0,
        "no advice where the maximum is zero"
    );
    assert!(
        (0..100)
            .map(|tries| recovery.watch_delay_s(tries))
            .all(|delay_s| (0.025..=1.0).contains(&delay_s))
    );
}

#[test]
fn each_router_owns_one_slot_per_cycle_and_node() {
    let routers: Vec<ConnectionSlots> = (0..5)
        .map(|rank| ConnectionSlots::new(rank, 5, 10.0))
        .collect();
    for node in ["a", "b", "c"] {
        let hash = stable_hash(node);
        for slot in 0..20 {
            let now = START + 0.01 * f64::from(slot) + 0.005;
            assert_eq!(
                routers
                    .iter()
                    .filter(|slots| slots.owned_slot(now, hash).is_some())
                    .count(),
                1
            );
        }
    }
    let own = &routers[2];
    let hash = stable_hash("a");
    let next = START + own.next_slot_after_s(START, hash);
    assert!(
        own.owned_slot(next, hash).is_some(),
        "the next slot is not its own"
    );
    assert!(next - START <= own.cycle_s() + 0.01);
}

#[test]
fn named_routers_use_ranks_and_others_draw() {
    let first_send_ms = |number: usize, settings: Settings| {
        let mut recovery = started(settings, 40, number, 1);
        let mut now = START;
        recovery.discovery_answered(now);
        recovery.connections_reported(now, 0, 0.0, 0.0);
        while !recovery.may_send(now, 0, 0) {
            now += 0.001;
        }
        ((now - START) * 1e3).round() as u64
    };
    let mut exact: Vec<u64> = (0..40)
        .map(|number| first_send_ms(number, settings_naming(40)) * 2 / 25)
        .collect();
    exact.sort_unstable();
    exact.dedup();
    assert!(exact.len() >= 39, "named routers share a slot: {exact:?}");
    let unnamed = Settings {
        routers: vec![name(900)],
        ..settings()
    };
    assert!(
        first_send_ms(3, unnamed.clone()) != first_send_ms(4, unnamed.clone())
            || first_send_ms(5, unnamed.clone()) != first_send_ms(3, unnamed)
    );
}

#[test_case("opens_in_100ms", |s| s.opens_in_100ms = 0.5)]
#[test_case("opens_in_100ms", |s| s.opens_in_100ms = f64::NAN)]
#[test_case("list_wait_ms", |s| s.list_wait_ms = -1.0)]
#[test_case("longest_handshake_ms", |s| s.longest_handshake_ms = 1.0; "shorter than a handshake without load")]
#[test_case("stood_still_ms", |s| s.stood_still_ms = 10.0; "shorter than a step")]
#[test_case("refused_most_ms", |s| s.refused_most_ms = 1.0)]
#[test_case("routers", |s| s.routers = vec!["a".into(), "b".into(), "a".into()])]
#[test_case("held_field", |s| s.opened_field = String::new(); "only one of the two fields")]
fn invalid_settings_are_reported(field: &str, invalidate: fn(&mut Settings)) {
    let mut invalid = settings();
    assert_eq!(invalid.fault(), None);
    invalidate(&mut invalid);
    assert_eq!(invalid.fault().map(|fault| fault.0), Some(field));
}
