//! The priority queue that admits statements to a server.
//!
//! At most a limited number of entries is admitted at a time. Waiting entries that can still meet
//! their latency target are admitted first, in order of rank and arrival; then those that no longer
//! can, because a late response is worth only a fraction of one in time. Each admission queue of
//! the data plane owns one [`Queue`] and wakes the tasks; nothing here waits.

use std::collections::{BTreeMap, BTreeSet};

/// Identifies a waiting entry of a [`Queue`]. Entries sort by rank, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueEntry {
    /// The rank; entries of rank 0 are admitted first.
    rank: u32,
    /// Rises with each entry of the queue.
    arrival: u64,
}

/// Admits entries up to a limit and queues the others.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    admitted: usize,
    /// Number of entries that ever had to wait.
    arrivals: u64,
    /// Waiting entries that are not known to be late, with their latest start: the time (seconds)
    /// by which they must be admitted to meet their latency target. Whether an entry has missed it
    /// is checked only when the entry is next in order.
    waiting: BTreeMap<QueueEntry, f64>,
    /// Waiting entries that were found to have missed their latest start.
    past_latest_start: BTreeSet<QueueEntry>,
}

impl Queue {
    /// Creates a queue that admits up to `limit` entries at a time.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            admitted: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            past_latest_start: BTreeSet::new(),
        }
    }

    /// Changes the limit. Call [`Queue::admit_next`] afterwards to admit entries up to the new
    /// limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns how many entries may be admitted at a time.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Admits the caller at once and returns `None`, or queues it and returns its entry.
    /// `latest_start` is the time (seconds) by which it must be admitted to meet its latency
    /// target.
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

    /// Returns how many entries are waiting.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len() + self.past_latest_start.len()
    }

    /// Records that an admitted entry has finished. Call [`Queue::admit_next`] afterwards.
    pub fn release(&mut self) {
        self.admitted -= 1;
    }

    /// Admits the next waiting entry at time `now`, in seconds, and returns it. Returns `None` if
    /// no entry is waiting or the limit is reached.
    pub fn admit_next(&mut self, now: f64) -> Option<QueueEntry> {
        if self.is_full() {
            return None;
        }
        // Each entry moves to `past_latest_start` at most once, so the total cost of these moves is
        // no higher than that of queueing the entries.
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

    /// Removes a waiting entry. Returns false if it is not waiting, for example because it has
    /// already been admitted.
    pub fn cancel(&mut self, entry: QueueEntry) -> bool {
        self.waiting.remove(&entry).is_some() || self.past_latest_start.remove(&entry)
    }

    /// Returns how many waiting entries would be admitted before a new entry with this rank and
    /// latest start (seconds) that arrives at time `now`, in seconds. Entries that have missed
    /// their latest start are only ahead of others that have.
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

    /// Returns whether the limit is reached, so that a new entry would have to wait.
    pub fn is_full(&self) -> bool {
        self.admitted >= self.limit
    }

    /// Returns how many entries are admitted and not yet released.
    pub fn admitted(&self) -> usize {
        self.admitted
    }
}
