//! A queue of scheduled events, ordered by due time.

use std::collections::BTreeMap;

/// The event queue stores due times as whole ticks of this resolution.
const TICKS_PER_SECOND: f64 = 1e6;

/// The sort key of an event: its due tick, then its position in the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime {
    tick: u64,
    sequence: u64,
}

/// Scheduled events. Events that are due at the same tick keep the order of scheduling.
#[derive(Clone, Debug)]
pub struct EventQueue<Event> {
    events: BTreeMap<DueTime, Event>,
    last_sequence: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// Schedules an event at the second `at`, rounded down to a whole microsecond.
    pub fn push(&mut self, at: f64, event: Event) {
        self.last_sequence += 1;
        let due = DueTime {
            tick: (at * TICKS_PER_SECOND) as u64,
            sequence: self.last_sequence,
        };
        self.events.insert(due, event);
    }

    /// Removes the next event that is due at or before `until` (in seconds). Returns the second at
    /// which it is due, and the event.
    pub fn pop_until(&mut self, until: f64) -> Option<(f64, Event)> {
        let next = self.events.first_entry()?;
        let at = next.key().tick as f64 / TICKS_PER_SECOND;
        (at <= until).then(|| (at, next.remove()))
    }

    /// Returns all scheduled events in the order in which they are due.
    pub fn pending(&self) -> impl Iterator<Item = &Event> {
        self.events.values()
    }
}
