//! Whether a request was executed by its receiver, and whether it may be sent again.

/// What the sender of a request knows about its execution once the exchange has ended, with or
/// without a response.
///
/// `docs/design/calls.md` lists all calls, and what each end of an exchange proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The request has not run and never will: it never left this process, or its receiver rejected
    /// it.
    NotRun,
    /// The request has run, successfully or not, as its receiver confirmed.
    Ran,
    /// The request may have run, or may still run: it was sent, and no conclusive response came.
    MayHaveRun,
}

impl ExecutionOutcome {
    /// Returns whether the request may be sent again. A request that isn't idempotent may be sent
    /// again only if it has not run.
    pub fn permits_retry(self, is_idempotent: bool) -> bool {
        self == ExecutionOutcome::NotRun || is_idempotent
    }
}
