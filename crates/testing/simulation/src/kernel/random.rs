//! The random source of a run.

/// A seeded generator of pseudo-random numbers.
#[derive(Clone, Debug)]
pub struct RandomSource(fastrand::Rng);

impl RandomSource {
    /// Creates a generator; equal seeds give equal sequences of numbers.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(fastrand::Rng::with_seed(seed))
    }

    /// Draws a number below the bound. Returns 0 without a draw if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.0.u64(..bound) }
    }

    /// Draws whether an event with a probability of `thousandths` / 1000 occurs.
    pub fn per_mille(&mut self, thousandths: u64) -> bool {
        self.below(1000) < thousandths
    }

    /// Draws a number from `low` (inclusive) to `high` (exclusive).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.f64()
    }

    /// Draws one of the items with equal probability. Returns `None` without a draw if there are
    /// none.
    pub fn pick<T: Clone>(&mut self, items: &[T]) -> Option<T> {
        items.get(self.below(items.len() as u64) as usize).cloned()
    }
}
