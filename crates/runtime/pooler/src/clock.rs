//! The steady clock, in seconds since the program began.

use std::sync::OnceLock;
use std::time::Instant;

/// Seconds since the first call in this process.
pub fn now() -> f64 {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    BEGAN.get_or_init(Instant::now).elapsed().as_secs_f64()
}
