//! The random source of a run.

/// Pseudo-random numbers from a seed.
#[derive(Clone, Debug)]
pub struct RandomSource(fastrand::Rng);

impl RandomSource {
    /// The same seed gives the same numbers.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(fastrand::Rng::with_seed(seed))
    }

    /// A number below the bound; 0, without a draw, if the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.0.u64(..bound) }
    }

    /// True with a probability of so many thousandths.
    pub fn per_mille(&mut self, thousandths: u64) -> bool {
        self.below(1000) < thousandths
    }

    /// A number between the two.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.0.f64()
    }

    /// One of the items, each as likely as the others; `None`, without a draw, if there are none.
    pub fn pick<T: Clone>(&mut self, items: &[T]) -> Option<T> {
        items.get(self.below(items.len() as u64) as usize).cloned()
    }
}
