//! The health of a machine or a server.
/// Whether a machine or a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works and answers.
    Up,
    /// Its process has ended; connections are refused.
    Down,
    /// It hangs or has no power: it neither processes nor answers anything.
    Unresponsive,
}
