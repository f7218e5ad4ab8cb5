//! Scheduled events in the order of their time.

use std::collections::BTreeMap;

/// The resolution of simulated time.
const TICKS_PER_SECOND: f64 = 1e6;

/// When an event is due: its tick, then the order in which events were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    tick: u64,
    sequence: u64,
}

/// Scheduled events; of those due at the same time the one that was scheduled first comes first.
#[derive(Clone, Debug)]
pub struct EventQueue<Event> {
    events: BTreeMap<DueTime, Event>,
    scheduled: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            scheduled: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// Schedules an event at that second; fractions of a microsecond are cut off.
    pub fn push(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        let due = DueTime {
            tick: (at * TICKS_PER_SECOND) as u64,
            sequence: self.scheduled,
        };
        self.events.insert(due, event);
    }

    /// Takes the next event due no later than at that second, with the second it is due at.
    pub fn pop_until(&mut self, until: f64) -> Option<(f64, Event)> {
        let next = self.events.first_entry()?;
        let at = next.key().tick as f64 / TICKS_PER_SECOND;
        (at <= until).then(|| (at, next.remove()))
    }

    /// All scheduled events.
    pub fn pending(&self) -> impl Iterator<Item = &Event> {
        self.events.values()
    }
}
