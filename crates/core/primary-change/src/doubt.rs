//! A write that was sent whole and whose answer is missing: it may have run.

/// What a repeat of a statement does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Harmless,
    /// It is dropped by the group that remembers its mark, until then (seconds on the front's clock).
    Dropped {
        until: f64,
    },
    /// It would have its effect again.
    Harmful,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Again,
    /// Its outcome is asked for.
    Inquire,
    Abort,
}

/// `sent` and `present` are terms of its group: of its first execution that may have run, and of the leader
/// now. Only a later term's leader can tell that it never ran: the one it was sent to may yet run it. `marked`:
/// it carries what its outcome can be asked by.
pub fn next(
    repeat: Repeat,
    now: f64,
    outcomes: bool,
    marked: bool,
    sent: u64,
    present: u64,
) -> Next {
    match repeat {
        Repeat::Harmless => Next::Again,
        Repeat::Dropped { until } if now < until => Next::Again,
        _ if outcomes && marked && present > sent => Next::Inquire,
        _ => Next::Abort,
    }
}
