//! Whether a request has run where it was sent, and whether it may be sent again.

/// What the sender of a request knows of it once its exchange has ended, with an answer or without one.
///
/// The table of all calls and of what each end of an exchange proves is in `docs/design/calls.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will: it never left this process, or its receiver has refused it.
    NotRun,
    /// It has run, with success or without: its receiver says so.
    Ran,
    /// It may have run, or may run yet: it was sent, and no clear answer came.
    MayHaveRun,
}

impl Verdict {
    /// Whether the request may be sent again. A request that is not idempotent is only repeated if it has not run.
    pub fn permits_retry(self, idempotent: bool) -> bool {
        self == Verdict::NotRun || idempotent
    }
}
