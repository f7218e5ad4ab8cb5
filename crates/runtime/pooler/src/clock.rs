//! The monotonic clock of this process. Times in this crate are seconds on it, as `f64`, unless
//! stated otherwise; they are unrelated to the time of day.

use std::sync::OnceLock;
use std::time::Instant;

/// Returns the seconds since the first call in this process.
pub fn now() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}
