//! Whether a request was executed where it was sent, and whether it may be sent again.

/// What the sender of a request knows of its execution once the exchange has ended, with a response
/// or without one.
///
/// The table of all calls and of what each end of an exchange proves is in `docs/design/calls.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It has not run and never will: it never left this process, or its receiver rejected it.
    NotRun,
    /// It has run, with success or without: its receiver says so.
    Ran,
    /// It may have run, or may run yet: it was sent, and no clear response came.
    MayHaveRun,
}

impl ExecutionOutcome {
    /// Whether the request may be sent again: one that isn't idempotent only if it has not run.
    pub fn permits_retry(self, is_idempotent: bool) -> bool {
        self == ExecutionOutcome::NotRun || is_idempotent
    }
}
