//! A priority queue for admission at a server.
//!
//! A bounded number is admitted at once. Of those that wait, first come all that can still meet
//! their latency target, by rank and arrival; then those that no longer can, since a late answer is
//! worth a fraction of one in time. The admission queues of the data plane own one each and wake
//! the tasks; nothing here waits.

use std::collections::{BTreeMap, BTreeSet};

/// Identifies who waits in a [`Queue`], in order of admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntry {
    /// 0 goes first.
    rank: u32,
    /// Counts up.
    arrival: u64,
}

/// Admits up to a limit, and queues the others.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    admitted: usize,
    arrivals: u64,
    /// Those not known to be late, with the second by which they must be admitted to be in time.
    /// That one has missed it is noticed only when it is next.
    waiting: BTreeMap<QueueEntry, f64>,
    /// Those found to have missed their latest start.
    past_latest_start: BTreeSet<QueueEntry>,
}

impl Queue {
    /// A queue that admits `limit` at once.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            admitted: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            past_latest_start: BTreeSet::new(),
        }
    }

    /// Changes the limit. Call [`Queue::admit_next`] afterwards for those that it now admits.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// How many are admitted at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Admits at once (`None`), or returns an entry to wait with. `latest_start` is the second by
    /// which admission is in time.
    pub fn enter(&mut self, rank: u32, latest_start: f64) -> Option<QueueEntry> {
        if !self.is_full() && self.waiting_count() == 0 {
            self.admitted += 1;
            return None;
        }
        self.arrivals += 1;
        let entry = QueueEntry {
            rank,
            arrival: self.arrivals,
        };
        self.waiting.insert(entry, latest_start);
        Some(entry)
    }

    /// How many wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.past_latest_start.len()
    }

    /// One that was admitted is done. Call [`Queue::admit_next`] afterwards.
    pub fn release(&mut self) {
        self.admitted -= 1;
    }

    /// Admits the next of those that wait, if there is capacity.
    pub fn admit_next(&mut self, now: f64) -> Option<QueueEntry> {
        if self.is_full() {
            return None;
        }
        // An entry moves to the late ones once at most, so this costs no more than queueing did.
        while let Some((entry, latest_start)) = self.waiting.pop_first() {
            if latest_start >= now {
                self.admitted += 1;
                return Some(entry);
            }
            self.past_latest_start.insert(entry);
        }
        let entry = self.past_latest_start.pop_first()?;
        self.admitted += 1;
        Some(entry)
    }

    /// One that waits gives up; false if it had been admitted already.
    pub fn cancel(&mut self, entry: QueueEntry) -> bool {
        self.waiting.remove(&entry).is_some() || self.past_latest_start.remove(&entry)
    }

    /// How many would be admitted before one of this rank that arrived now. Those that have missed
    /// their latest start are ahead only of others that have.
    pub fn entries_ahead(&self, rank: u32, latest_start: f64, now: f64) -> usize {
        let is_late = latest_start < now;
        let in_time_ahead = self
            .waiting
            .iter()
            .filter(|(entry, start)| **start >= now && (is_late || entry.rank <= rank))
            .count();
        if !is_late {
            return in_time_ahead;
        }
        let late_ahead = self
            .waiting
            .iter()
            .filter(|(_, start)| **start < now)
            .map(|(entry, _)| entry)
            .chain(&self.past_latest_start)
            .filter(|entry| entry.rank <= rank)
            .count();
        in_time_ahead + late_ahead
    }

    /// Whether whoever arrives now must wait.
    pub fn is_full(&self) -> bool {
        self.admitted >= self.limit
    }

    /// How many are admitted and not yet released.
    pub fn admitted(&self) -> usize {
        self.admitted
    }
}
