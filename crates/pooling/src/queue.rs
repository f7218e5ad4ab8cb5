//! Those who wait for a share of a server: so many at once, the others by rank and arrival.

use std::collections::BTreeSet;

/// The place of one who waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    rank: u32,
    arrival: u64,
}

/// So many at once, the others by rank (0 first) and arrival.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    busy: usize,
    arrivals: u64,
    waiting: BTreeSet<Place>,
}

impl Queue {
    /// Lets in this many at once.
    pub fn new(limit: usize) -> Self {
        Self { limit, busy: 0, arrivals: 0, waiting: BTreeSet::new() }
    }

    /// Changes how many are let in; those let in by it are taken by `admit`.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Goes in at once, or gets a place.
    pub fn enter(&mut self, rank: u32) -> Option<Place> {
        if self.busy < self.limit && self.waiting.is_empty() {
            self.busy += 1;
            return None;
        }
        self.arrivals += 1;
        let place = Place { rank, arrival: self.arrivals };
        self.waiting.insert(place);
        Some(place)
    }

    /// One that was let in leaves.
    pub fn leave(&mut self) {
        self.busy -= 1;
    }

    /// The next of those who wait is let in, if there is room.
    pub fn admit(&mut self) -> Option<Place> {
        if self.busy >= self.limit {
            return None;
        }
        let place = self.waiting.pop_first()?;
        self.busy += 1;
        Some(place)
    }

    /// One who waits gives up; false if it had been let in already.
    pub fn cancel(&mut self, place: Place) -> bool {
        self.waiting.remove(&place)
    }

    /// Whoever comes now must wait.
    pub fn is_full(&self) -> bool {
        self.busy >= self.limit
    }

    /// How many are in.
    pub fn busy(&self) -> usize {
        self.busy
    }
}
