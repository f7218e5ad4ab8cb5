//! Whether a machine or a server answers.

/// Whether a machine or a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// The process has ended: connections are refused.
    Down,
    /// Nothing comes back, and nothing is done.
    Unresponsive,
}
