//! Events in the order of their time, and chance from a seed.

use std::collections::BTreeMap;

/// Microseconds a second: the grain of simulated time.
const TICKS_PER_SECOND: f64 = 1e6;

/// Events that are to happen; of those at the same time the one that was put first comes first.
#[derive(Clone, Debug)]
pub struct EventQueue<Event> {
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
}

impl<Event> Default for EventQueue<Event> {
    fn default() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            count: 0,
        }
    }
}

impl<Event> EventQueue<Event> {
    /// This happens at that second.
    pub fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.events
            .insert(((at * TICKS_PER_SECOND) as u64, self.count), event);
    }

    /// The next event that happens no later than at that second, with its time.
    pub fn pop_until(&mut self, until: f64) -> Option<(f64, Event)> {
        let (at, _) = *self.events.first_key_value()?.0;
        if at as f64 / TICKS_PER_SECOND > until {
            return None;
        }
        let ((at, _), event) = self.events.pop_first()?;
        Some((at as f64 / TICKS_PER_SECOND, event))
    }

    /// All that is to happen.
    pub fn pending(&self) -> impl Iterator<Item = &Event> {
        self.events.values()
    }
}

/// Chance from a seed.
#[derive(Clone, Debug)]
pub struct RandomSource(fastrand::Rng);

impl RandomSource {
    /// The same seed gives the same chance.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(fastrand::Rng::with_seed(seed))
    }

    /// A number below that one; 0 if that is 0.
    pub fn below(&mut self, most: u64) -> u64 {
        if most == 0 { 0 } else { self.0.u64(..most) }
    }

    /// Whether something happens that happens so many times of a thousand.
    pub fn per_mille(&mut self, times: u64) -> bool {
        self.below(1000) < times
    }

    /// A number between these two.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.f64()
    }

    /// One of these; none if there are none.
    pub fn pick<T: Clone>(&mut self, of: &[T]) -> Option<T> {
        of.get(self.below(of.len() as u64) as usize).cloned()
    }
}
