//! A priority queue for the places at a server: a bounded number is admitted at once; of the others first those that can
//! still be in time, by rank and arrival.

use std::collections::{BTreeMap, BTreeSet};

/// The place of a waiter in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntry {
    rank: u32,
    arrival: u64,
}

/// Admits so many at once, the others by rank (0 first) and arrival; whoever has missed its latest start comes after all
/// who have not, since what comes late is worth a fraction.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    admitted: usize,
    arrivals: u64,
    /// Those who may still be in time, with their latest start. Who has missed it is found out when its turn comes.
    waiting: BTreeMap<QueueEntry, f64>,
    past_latest_start: BTreeSet<QueueEntry>,
}

impl Queue {
    /// Lets in this many at once.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            admitted: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            past_latest_start: BTreeSet::new(),
        }
    }

    /// Changes how many are let in; those let in by it are taken by `admit`.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// How many are let in at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Goes in at once, or gets a place; who is admitted by `latest_start` is in time.
    pub fn enter(&mut self, rank: u32, latest_start: f64) -> Option<QueueEntry> {
        if self.admitted < self.limit
            && self.waiting.is_empty()
            && self.past_latest_start.is_empty()
        {
            self.admitted += 1;
            return None;
        }
        self.arrivals += 1;
        let place = QueueEntry {
            rank,
            arrival: self.arrivals,
        };
        self.waiting.insert(place, latest_start);
        Some(place)
    }

    /// How many wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.past_latest_start.len()
    }

    /// One that was let in leaves.
    pub fn release(&mut self) {
        self.admitted -= 1;
    }

    /// The next of those who wait is let in now, if there is room.
    pub fn admit_next(&mut self, now: f64) -> Option<QueueEntry> {
        if self.admitted >= self.limit {
            return None;
        }
        // Each is found late once at most, so that this costs no more than the waiting itself.
        while let Some((place, latest_start)) = self.waiting.pop_first() {
            if latest_start >= now {
                self.admitted += 1;
                return Some(place);
            }
            self.past_latest_start.insert(place);
        }
        let place = self.past_latest_start.pop_first()?;
        self.admitted += 1;
        Some(place)
    }

    /// One who waits gives up; false if it had been let in already.
    pub fn cancel(&mut self, place: QueueEntry) -> bool {
        self.waiting.remove(&place).is_some() || self.past_latest_start.remove(&place)
    }

    /// How many would be admitted before one of this rank who came at this second with this latest start. Who has missed
    /// its own is among those before only for others who have.
    pub fn entries_ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        let in_time = self
            .waiting
            .iter()
            .filter(|(place, a)| **a >= now && (latest_start < now || place.rank <= rank));
        if latest_start >= now {
            return in_time.count();
        }
        let missed = self
            .waiting
            .iter()
            .filter(|(_, a)| **a < now)
            .map(|(place, _)| place);
        in_time.count()
            + missed
                .chain(&self.past_latest_start)
                .filter(|place| place.rank <= rank)
                .count()
    }

    /// Whoever comes now must wait.
    pub fn is_full(&self) -> bool {
        self.admitted >= self.limit
    }

    /// How many are in.
    pub fn admitted(&self) -> usize {
        self.admitted
    }
}
