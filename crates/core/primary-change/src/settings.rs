//! Settings that operators make, section `succession`. The caller reads them with serde from its own file format.

use crate::hold::HoldSize;
use serde::Deserialize;

/// Settings of the decisions during primary changes. Each field may be left out; unknown fields are errors.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number and size of the statements held for all groups together.
    pub hold: HoldSize,
    /// Maximum number and size of the statements held for one group.
    pub hold_group: HoldSize,
    /// Maximum time in ms that a statement is held, even where its client allows more.
    pub longest_hold_ms: f64,
    /// Expected duration of a primary change in ms, used until one was observed.
    pub expected_change_ms: f64,
    /// A statement is held only if the change ends before the statement's deadline with at least this probability
    /// (0 to 1), judged by the changes observed.
    pub least_chance: f64,
    /// Random delay in ms of a router's release of held statements, for each further router of the service, so that
    /// the routers do not release at the same time.
    pub release_spread_ms: f64,
    /// Number of acknowledged commits remembered for each group, to find those that a new primary does not have.
    pub answered_kept: usize,
    /// The store answers inquiries for the outcome of a write by the write's mark.
    pub outcomes: bool,
    /// Field of a load report with the position, in seconds, up to which a primary took its log over from the
    /// primary before it. Empty if the store reports none; then `promoted_field` is empty, too.
    pub branch_field: String,
    /// Field of a load report with the time, in seconds, since when the primary leads. Empty together with
    /// `branch_field`.
    pub promoted_field: String,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            hold: HoldSize {
                statements: 4096,
                bytes: 2 << 20,
            },
            hold_group: HoldSize {
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

/// Maximum number of commits remembered for one group; each takes 16 bytes.
const MAX_ANSWERED_KEPT: usize = 1 << 20;
/// Maximum of settings that are times: one hour.
const MAX_TIME_MS: f64 = 3_600_000.0;
/// Maximum of `release_spread_ms`: one minute.
const MAX_RELEASE_SPREAD_MS: f64 = 60_000.0;

impl Settings {
    /// Returns the first field whose value is of the right type but invalid, and why. `memory_bytes` is what the
    /// process may spend on held statements.
    pub fn fault(&self, memory_bytes: usize) -> Option<(&'static str, String)> {
        let valid_time = |ms: f64| (1.0..=MAX_TIME_MS).contains(&ms);
        let time_range =
            |ms: f64| format!("is {ms}, must be a time from 1 ms to {MAX_TIME_MS} ms (one hour)");
        let no_statements = || "is 0, must be at least 1".to_string();
        let faults = [
            (
                "hold.statements",
                self.hold.statements == 0,
                no_statements(),
            ),
            (
                "hold_group.statements",
                self.hold_group.statements == 0,
                no_statements(),
            ),
            (
                "hold.bytes",
                self.hold.bytes > memory_bytes,
                format!(
                    "is {}, more than the {memory_bytes} bytes that the memory limit leaves",
                    self.hold.bytes
                ),
            ),
            (
                "hold_group.bytes",
                self.hold_group.bytes > self.hold.bytes,
                format!(
                    "is {}, more than hold.bytes, the limit of {} bytes for all groups together",
                    self.hold_group.bytes, self.hold.bytes
                ),
            ),
            (
                "longest_hold_ms",
                !valid_time(self.longest_hold_ms),
                time_range(self.longest_hold_ms),
            ),
            (
                "expected_change_ms",
                !valid_time(self.expected_change_ms),
                time_range(self.expected_change_ms),
            ),
            (
                "least_chance",
                !(0.0..=1.0).contains(&self.least_chance),
                format!("is {}, must be a share from 0 to 1", self.least_chance),
            ),
            (
                "release_spread_ms",
                !(0.0..=MAX_RELEASE_SPREAD_MS).contains(&self.release_spread_ms),
                format!(
                    "is {}, must be a time from 0 to {MAX_RELEASE_SPREAD_MS} ms (one minute)",
                    self.release_spread_ms
                ),
            ),
            (
                "answered_kept",
                self.answered_kept > MAX_ANSWERED_KEPT,
                format!(
                    "is {}, must be at most {MAX_ANSWERED_KEPT}",
                    self.answered_kept
                ),
            ),
            (
                "branch_field",
                self.branch_field.is_empty() != self.promoted_field.is_empty(),
                "and promoted_field must both be set or both be empty".to_string(),
            ),
        ];
        faults
            .into_iter()
            .find(|(_, invalid, _)| *invalid)
            .map(|(field, _, why)| (field, why))
    }
}
