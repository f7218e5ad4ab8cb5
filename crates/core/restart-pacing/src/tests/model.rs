//! Every order of events of two routers that come back to one node with a list that may be frozen: start, list,
//! doubt, refusals, steps back, a standstill. Time goes in steps; any of the events may lie between.

use super::{START, born, named};
use crate::{Open, Phase, Recovery, Settings, Stand, Unopened};
use stateright::{Checker, Model, Property};

const STEP_S: f64 = 0.1;
/// Both have to be at full pace by then, whatever came.
const ENOUGH: usize = 48;
/// Events that are not time, in one run, and steps of time between them.
const EVENTS: usize = 4;
const PASSES: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    Pass,
    /// Nothing more comes; time goes on until all has ended.
    Rest,
    Listed(usize),
    Full(usize),
    Crowded(usize),
    /// It stands still for as long as a start takes.
    Still(usize),
    /// A statement wants to go, and its connection to be opened.
    Try(usize),
}

/// What was done: the state is what these lead to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    events: Vec<Event>,
    seen: Seen,
}

/// What two runs must share to count as the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seen {
    passes: usize,
    others: usize,
    phases: [Option<Phase>; 2],
    sent_unlisted: bool,
    opened: [usize; 2],
}

struct Fleet {
    /// Breaks a rule on purpose: the list is not waited for.
    eager: bool,
}

fn replay(events: &[Event], eager: bool) -> Seen {
    let settings = Settings {
        list_wait_ms: if eager { 0.0 } else { 250.0 },
        longest_ms: 500.0,
        ..named(2)
    };
    let mut routers: Vec<Recovery> = (0..2).map(|n| born(settings.clone(), 2, n, 1)).collect();
    let mut seen = Seen::default();
    let mut listed: [Option<usize>; 2] = [None; 2];
    let mut began = [0usize; 2];
    for event in events {
        let now = START + seen.passes as f64 * STEP_S;
        seen.others += usize::from(!matches!(event, Event::Pass | Event::Rest));
        match *event {
            Event::Pass | Event::Rest => {
                let more = if *event == Event::Pass {
                    1
                } else {
                    ENOUGH - seen.passes.min(ENOUGH)
                };
                for _ in 0..more {
                    seen.passes += 1;
                    let now = START + seen.passes as f64 * STEP_S;
                    routers.iter_mut().for_each(|router| _ = router.pass(now));
                }
            }
            Event::Listed(n) => {
                listed[n] = Some(seen.passes);
                routers[n].listed(now);
            }
            Event::Full(n) => routers[n].unopened(now, 0, Unopened::Full),
            Event::Crowded(n) => routers[n].reported(now, 0, 1.0, 100.0),
            Event::Still(n) => {
                // The others' time goes on in beats, this one's in one step.
                let steps = 8;
                for step in 1..=steps {
                    let at = now + STEP_S * step as f64;
                    routers[1 - n].pass(at);
                }
                seen.passes += steps;
                routers[n].pass(now + STEP_S * steps as f64);
                (listed[n], began[n]) = (None, seen.passes);
            }
            Event::Try(n) => {
                if routers[n].may_send(now, 0, 0) {
                    let waited = (seen.passes - began[n]) as f64 * STEP_S * 1e3;
                    seen.sent_unlisted |= listed[n].is_none() && waited < 250.0;
                    routers[n].sent(now, 0);
                    if routers[n].may_open(now, 0, Stand::default()) == Open::Now {
                        seen.opened[n] += 1;
                        routers[n].opened(now, 0, 0.01);
                    }
                }
            }
        }
    }
    seen.phases = [0, 1].map(|n| Some(routers[n].phase()));
    seen
}

impl Model for Fleet {
    type State = Run;
    type Action = Event;

    fn init_states(&self) -> Vec<Run> {
        vec![Run {
            events: Vec::new(),
            seen: replay(&[], self.eager),
        }]
    }

    fn actions(&self, run: &Run, actions: &mut Vec<Event>) {
        if run.seen.passes >= ENOUGH {
            return;
        }
        actions.push(Event::Rest);
        if run
            .events
            .iter()
            .filter(|event| **event == Event::Pass)
            .count()
            < PASSES
        {
            actions.push(Event::Pass);
        }
        if run.seen.others < EVENTS {
            for n in 0..2 {
                actions.extend([
                    Event::Listed(n),
                    Event::Full(n),
                    Event::Crowded(n),
                    Event::Still(n),
                    Event::Try(n),
                ]);
            }
        }
    }

    fn next_state(&self, run: &Run, event: Event) -> Option<Run> {
        let mut events = run.events.clone();
        events.push(event);
        let seen = replay(&events, self.eager);
        Some(Run { events, seen })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing is sent before the list, or its time",
                |_, run: &Run| !run.seen.sent_unlisted,
            ),
            Property::always("every phase ends", |_, run: &Run| {
                run.seen.passes < ENOUGH
                    || run
                        .seen
                        .phases
                        .iter()
                        .all(|phase| *phase == Some(Phase::Full))
            }),
            Property::sometimes("both open", |_, run: &Run| {
                run.seen.opened.iter().all(|opened| *opened > 0)
            }),
            Property::sometimes("one stands still and comes back", |_, run: &Run| {
                run.events.iter().any(|e| matches!(e, Event::Still(_))) && run.seen.passes >= ENOUGH
            }),
        ]
    }
}

#[test]
fn every_order_of_start_list_doubt_and_step_back() {
    let checker = Fleet { eager: false }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
}

#[test]
fn a_router_that_does_not_wait_for_its_list_is_found() {
    let checker = Fleet { eager: true }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    assert!(
        checker
            .discovery("nothing is sent before the list, or its time")
            .is_some()
    );
}
