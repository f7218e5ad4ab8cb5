//! Model checker over every order of events of two routers that return to one node: answers of discovery that may not
//! come, refused connections, crowded reports, stalls. Time advances in steps, with any events between them.

use super::{START, settings_naming, started};
use crate::{ConnectionCounts, OpenDecision, OpenFailure, Phase, Recovery, Settings};
use stateright::{Checker, Model, Property};

const STEP_S: f64 = 0.1;
/// Both routers must be in full service after this number of steps, whatever happened.
const STEPS_TO_FULL: usize = 48;
/// Maximum number of events in one run, without steps of time.
const MAX_EVENTS: usize = 4;
/// Maximum number of single steps of time in one run.
const MAX_STEPS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    /// One step of time.
    Step,
    /// No more events: time advances until the end of the run.
    RunOut,
    DiscoveryAnswered(usize),
    NodeFull(usize),
    Crowded(usize),
    /// The router stalls, for long enough that it has to start again.
    Stall(usize),
    /// A statement is to be sent, and its connection opened.
    Send(usize),
}

/// A state of the model: the events so far, and what they led to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Run {
    events: Vec<Event>,
    outcome: Outcome,
}

/// What a run led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Outcome {
    steps: usize,
    /// Events other than steps of time.
    events: usize,
    phases: [Option<Phase>; 2],
    /// Whether a statement was sent before discovery answered or its time was over.
    sent_unlisted: bool,
    opened: [usize; 2],
}

struct TwoRouters {
    /// Breaks a rule on purpose: discovery is not waited for.
    skips_listing: bool,
}

fn replay(events: &[Event], skips_listing: bool) -> Outcome {
    let settings = Settings {
        list_wait_ms: if skips_listing { 0.0 } else { 250.0 },
        longest_ms: 500.0,
        ..settings_naming(2)
    };
    let mut routers: Vec<Recovery> = (0..2).map(|n| started(settings.clone(), 2, n, 1)).collect();
    let mut outcome = Outcome::default();
    let mut listed: [Option<usize>; 2] = [None; 2];
    let mut started_at = [0usize; 2];
    for event in events {
        let now = START + outcome.steps as f64 * STEP_S;
        outcome.events += usize::from(!matches!(event, Event::Step | Event::RunOut));
        match *event {
            Event::Step | Event::RunOut => {
                let count = if *event == Event::Step {
                    1
                } else {
                    STEPS_TO_FULL - outcome.steps.min(STEPS_TO_FULL)
                };
                for _ in 0..count {
                    outcome.steps += 1;
                    let now = START + outcome.steps as f64 * STEP_S;
                    routers
                        .iter_mut()
                        .for_each(|router| _ = router.advance(now));
                }
            }
            Event::DiscoveryAnswered(n) => {
                listed[n] = Some(outcome.steps);
                routers[n].discovery_answered(now);
            }
            Event::NodeFull(n) => routers[n].connection_failed(now, 0, OpenFailure::NodeFull),
            Event::Crowded(n) => routers[n].connections_reported(now, 0, 1.0, 100.0),
            Event::Stall(n) => {
                // The other router advances step by step, this one only at the end.
                let steps = 8;
                for step in 1..=steps {
                    let at = now + STEP_S * step as f64;
                    routers[1 - n].advance(at);
                }
                outcome.steps += steps;
                routers[n].advance(now + STEP_S * steps as f64);
                listed[n] = None;
                started_at[n] = outcome.steps;
            }
            Event::Send(n) => {
                if routers[n].may_send(now, 0, 0) {
                    let waited = (outcome.steps - started_at[n]) as f64 * STEP_S * 1e3;
                    outcome.sent_unlisted |= listed[n].is_none() && waited < 250.0;
                    routers[n].statement_sent(now, 0);
                    if routers[n].may_open(now, 0, ConnectionCounts::default()) == OpenDecision::Now
                    {
                        outcome.opened[n] += 1;
                        routers[n].connection_opened(now, 0, 0.01);
                    }
                }
            }
        }
    }
    outcome.phases = [0, 1].map(|n| Some(routers[n].phase()));
    outcome
}

impl Model for TwoRouters {
    type State = Run;
    type Action = Event;

    fn init_states(&self) -> Vec<Run> {
        vec![Run {
            events: Vec::new(),
            outcome: replay(&[], self.skips_listing),
        }]
    }

    fn actions(&self, run: &Run, actions: &mut Vec<Event>) {
        if run.outcome.steps >= STEPS_TO_FULL {
            return;
        }
        actions.push(Event::RunOut);
        if run
            .events
            .iter()
            .filter(|event| **event == Event::Step)
            .count()
            < MAX_STEPS
        {
            actions.push(Event::Step);
        }
        if run.outcome.events < MAX_EVENTS {
            for n in 0..2 {
                actions.extend([
                    Event::DiscoveryAnswered(n),
                    Event::NodeFull(n),
                    Event::Crowded(n),
                    Event::Stall(n),
                    Event::Send(n),
                ]);
            }
        }
    }

    fn next_state(&self, run: &Run, event: Event) -> Option<Run> {
        let mut events = run.events.clone();
        events.push(event);
        let outcome = replay(&events, self.skips_listing);
        Some(Run { events, outcome })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing is sent before discovery answers or its time is over",
                |_, run: &Run| !run.outcome.sent_unlisted,
            ),
            Property::always("every phase ends", |_, run: &Run| {
                run.outcome.steps < STEPS_TO_FULL
                    || run
                        .outcome
                        .phases
                        .iter()
                        .all(|phase| *phase == Some(Phase::Full))
            }),
            Property::sometimes("both routers open connections", |_, run: &Run| {
                run.outcome.opened.iter().all(|opened| *opened > 0)
            }),
            Property::sometimes("a router stalls and returns", |_, run: &Run| {
                run.events.iter().any(|e| matches!(e, Event::Stall(_)))
                    && run.outcome.steps >= STEPS_TO_FULL
            }),
        ]
    }
}

#[test]
fn every_order_of_events_keeps_the_rules() {
    let checker = TwoRouters {
        skips_listing: false,
    }
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
fn a_router_that_does_not_wait_for_discovery_is_found() {
    let checker = TwoRouters {
        skips_listing: true,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    assert!(
        checker
            .discovery("nothing is sent before discovery answers or its time is over")
            .is_some()
    );
}
