//! Writes in doubt: a write was sent completely and its answer is missing, so it may have run.

/// Effect of executing a statement a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatEffect {
    /// A second execution changes nothing.
    Harmless,
    /// The replication group remembers the statement's mark and drops the repeat, until this time.
    Dropped {
        /// Seconds on the caller's clock.
        until: f64,
    },
    /// A second execution has its effect a second time.
    Harmful,
}

/// What to do with a write in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Send the statement again.
    Resend,
    /// Ask the present primary for the outcome of the statement.
    Inquire,
    /// Tell the client that the outcome is unknown.
    Abort,
}

/// Decides what to do with a write in doubt.
///
/// `sent_term` is the latest term in which an execution that may have run was sent, `current_term` the term of the
/// present leader. `inquiries_supported`: the store answers inquiries for outcomes. `marked`: the statement carries
/// the mark by which its outcome is inquired.
///
/// Only the leader of a later term can tell that the write never ran: the node that it was sent to may still run it.
pub fn resolve_doubt(
    repeat: RepeatEffect,
    now: f64,
    inquiries_supported: bool,
    marked: bool,
    sent_term: u64,
    current_term: u64,
) -> Resolution {
    match repeat {
        RepeatEffect::Harmless => Resolution::Resend,
        RepeatEffect::Dropped { until } if now < until => Resolution::Resend,
        _ if inquiries_supported && marked && current_term > sent_term => Resolution::Inquire,
        _ => Resolution::Abort,
    }
}
