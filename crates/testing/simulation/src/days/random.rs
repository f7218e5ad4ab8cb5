//! Random draws for days.

use fastrand::Rng;

/// Draws a number from `low` to `high`, rounded to two decimal places as in the text of a day.
pub(super) fn number(rng: &mut Rng, low: f64, high: f64) -> f64 {
    ((low + rng.f64() * (high - low)) * 100.0).round() / 100.0
}

/// Draws whether an event with this probability occurs.
pub(super) fn happens(rng: &mut Rng, probability: f64) -> bool {
    rng.f64() < probability
}

/// Draws one of the items with equal probability; an item that is listed twice is twice as likely.
pub(super) fn pick<T: Copy>(rng: &mut Rng, items: &[T]) -> T {
    items[rng.usize(..items.len())]
}
