//! What waits for its moment, the soonest first; at the same moment by number.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Timed<T> {
    at: f64,
    number: u64,
    thing: T,
}

impl<T> PartialEq for Timed<T> {
    fn eq(&self, other: &Timed<T>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Timed<T> {}

impl<T> PartialOrd for Timed<T> {
    fn partial_cmp(&self, other: &Timed<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timed<T> {
    fn cmp(&self, other: &Timed<T>) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.number.cmp(&other.number))
    }
}

pub(crate) struct Soonest<T>(BinaryHeap<Reverse<Timed<T>>>);

impl<T> Default for Soonest<T> {
    fn default() -> Soonest<T> {
        Soonest(BinaryHeap::new())
    }
}

impl<T> Soonest<T> {
    pub(crate) fn push(&mut self, at: f64, number: u64, thing: T) {
        self.0.push(Reverse(Timed { at, number, thing }));
    }

    /// The soonest moment.
    pub(crate) fn at(&self) -> Option<f64> {
        self.0.peek().map(|Reverse(first)| first.at)
    }

    pub(crate) fn pop(&mut self) -> Option<T> {
        self.0.pop().map(|Reverse(first)| first.thing)
    }
}
