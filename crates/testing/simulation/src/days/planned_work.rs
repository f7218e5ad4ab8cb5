//! Planned work during a day.

use super::Entry;
use super::random::{number, pick};
use fastrand::Rng;

/// Draws planned work that is in progress while the losses of a moment occur.
pub(super) fn draw(rng: &mut Rng, at: f64) -> Entry {
    match rng.u8(0..7) {
        0 | 1 => Entry::new(at, "release").how("primary"),
        2 => Entry::new(at, "release")
            .number("share", 0.5)
            .number("x", 2.0)
            .number("gap_s", 0.4),
        3 => {
            let how = pick(rng, &["", "busy"]);
            let roll = Entry::new(at, "roll_term")
                .text("on", "core")
                .number("share", 1.0)
                .number("x", 1.0);
            roll.number("gap_s", number(rng, 0.3, 1.5)).how(how)
        }
        4 => {
            let roll = Entry::new(at, "roll_term")
                .text("on", "front")
                .number("share", 0.6);
            let several = roll.number("x", pick(rng, &[1.0, 2.0, 4.0]));
            several
                .number("gap_s", number(rng, 1.0, 4.0))
                .how(pick(rng, &["", "busy"]))
        }
        5 => Entry::new(at, "bad_config").count(4).number("gap_s", 0.3),
        _ => Entry::new(at, "hup")
            .number("share", 0.6)
            .number("gap_s", 0.5),
    }
}
