//! What operators set. Read by serde from whatever form a front has them in; times in milliseconds there.

use crate::hold::Room;
use serde::Deserialize;

/// All fields may be left out. Unknown ones are errors.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The most that is held for all groups together.
    pub hold: Room,
    /// The most that is held for one group.
    pub hold_group: Room,
    /// Nobody is held for longer, whatever its client allows.
    pub longest_hold_ms: f64,
    /// How long a change takes, until one was seen.
    pub expected_change_ms: f64,
    /// Held is who makes its time with at least this chance, by the changes seen.
    pub least_chance: f64,
    /// Routers of one service begin a release up to so long after each other, for each further router.
    pub release_spread_ms: f64,
    /// Answered commits remembered a group, to tell what a new primary does not have.
    pub answered_kept: usize,
    /// The store tells what became of a write when asked by its mark.
    pub outcomes: bool,
    /// Fields of a load report that tell, in seconds, up to where a primary's log was taken over from the one
    /// before it, and since when it leads. Empty where there are none.
    pub branch_field: String,
    pub promoted_field: String,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hold: Room {
                statements: 4096,
                bytes: 2 << 20,
            },
            hold_group: Room {
                statements: 2048,
                bytes: 1 << 20,
            },
            longest_hold_ms: 30_000.0,
            expected_change_ms: 3_000.0,
            least_chance: 0.1,
            release_spread_ms: 20.0,
            answered_kept: 4096,
            outcomes: false,
            branch_field: String::new(),
            promoted_field: String::new(),
        }
    }
}

/// The most commits that are kept a group: they take 8 bytes each.
const MOST_KEPT: usize = 1 << 20;

impl Settings {
    /// What is wrong beyond types: a field and why. `bytes` is what the process may spend on what is held.
    pub fn fault(&self, bytes: usize) -> Option<(&'static str, String)> {
        let time = |ms: f64| (1.0..=3_600_000.0).contains(&ms);
        let faults = [
            (
                "hold.statements",
                self.hold.statements == 0,
                "holds nothing".to_string(),
            ),
            (
                "hold_group.statements",
                self.hold_group.statements == 0,
                "holds nothing".to_string(),
            ),
            (
                "hold.bytes",
                self.hold.bytes > bytes,
                format!("is more than the {bytes} that the memory limit leaves"),
            ),
            (
                "hold_group.bytes",
                self.hold_group.bytes > self.hold.bytes,
                "is more than hold.bytes, which goes for all groups".to_string(),
            ),
            (
                "longest_hold_ms",
                !time(self.longest_hold_ms),
                "is no time from 1 ms to an hour".to_string(),
            ),
            (
                "expected_change_ms",
                !time(self.expected_change_ms),
                "is no time from 1 ms to an hour".to_string(),
            ),
            (
                "least_chance",
                !(0.0..=1.0).contains(&self.least_chance),
                "is no share from 0 to 1".to_string(),
            ),
            (
                "release_spread_ms",
                !(0.0..=60_000.0).contains(&self.release_spread_ms),
                "is no time up to a minute".to_string(),
            ),
            (
                "answered_kept",
                self.answered_kept > MOST_KEPT,
                format!("is more than {MOST_KEPT}"),
            ),
            (
                "branch_field",
                self.branch_field.is_empty() != self.promoted_field.is_empty(),
                "and promoted_field are told together or not at all".to_string(),
            ),
        ];
        faults
            .into_iter()
            .find(|fault| fault.1)
            .map(|(field, _, why)| (field, why))
    }
}
