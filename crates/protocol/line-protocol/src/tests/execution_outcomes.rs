//! Tests of what error codes prove about execution, and of which requests may be sent again.

use crate::{ErrorCode, ExecutionOutcome};

#[test]
fn only_idempotent_or_not_run_requests_are_retried() {
    for outcome in [
        ExecutionOutcome::NotRun,
        ExecutionOutcome::Ran,
        ExecutionOutcome::MayHaveRun,
    ] {
        assert!(outcome.permits_retry(true));
        assert_eq!(
            outcome.permits_retry(false),
            outcome == ExecutionOutcome::NotRun,
            "{outcome:?}"
        );
    }
}

#[test]
fn only_codes_sent_before_execution_mean_not_run() {
    for word in [
        "RETRY",
        "UNKNOWN",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "CONNLIMIT",
    ] {
        assert_eq!(
            ErrorCode::parse(word).execution_outcome(),
            ExecutionOutcome::NotRun
        );
        assert_eq!(ErrorCode::parse(word).as_str(), word);
    }
    for word in ["TIMEOUT", "INDOUBT", "whatever"] {
        assert_eq!(
            ErrorCode::parse(word).execution_outcome(),
            ExecutionOutcome::MayHaveRun
        );
    }
    assert_eq!(
        ErrorCode::parse("FAILED").execution_outcome(),
        ExecutionOutcome::Ran
    );
}
