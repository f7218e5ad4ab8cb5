//! Draws for days.

use fastrand::Rng;

/// A number between the two, with two digits behind the point as in the text of a day.
pub(super) fn number(rng: &mut Rng, low: f64, high: f64) -> f64 {
    ((low + rng.f64() * (high - low)) * 100.0).round() / 100.0
}

/// True with this probability.
pub(super) fn happens(rng: &mut Rng, probability: f64) -> bool {
    rng.f64() < probability
}

/// One of them, each as likely as the others; what stands there twice is twice as likely.
pub(super) fn pick<T: Copy>(rng: &mut Rng, among: &[T]) -> T {
    among[rng.usize(..among.len())]
}
