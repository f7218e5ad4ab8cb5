//! What the end of an execution means to the decisions: the one place where the ways in which a connection
//! can end, and the codes of errors, become an [`ExecutionOutcome`].

use badgerstream_postgres_protocol::Close;
use badgerstream_routing::ExecutionOutcome;

/// The connection ended under an execution. Unless its last byte was `written`, the node never began.
pub(crate) fn of_close(close: Close, written: bool) -> ExecutionOutcome {
    match (close, written) {
        (Close::TimedOut, true) => ExecutionOutcome::TimedOut,
        // What had no place here tells nothing of the node.
        (Close::Cancelled | Close::NoMemory, true) => ExecutionOutcome::Cancelled,
        (Close::Malformed(_), true) => ExecutionOutcome::InvalidAnswer,
        (Close::TimedOut | Close::Cancelled | Close::Withdrawn, false) => {
            ExecutionOutcome::NeverIssued
        }
        (Close::NoDescriptor | Close::NoMemory, false) => ExecutionOutcome::NeverIssued,
        (Close::TurnedAway, false) => ExecutionOutcome::Rejected,
        (Close::Left | Close::Broken | Close::Malformed(_), false) => {
            ExecutionOutcome::SendInterrupted
        }
        (_, false) => ExecutionOutcome::ConnectFailed,
        (_, true) => ExecutionOutcome::ConnectionLost,
    }
}

/// The node answered with an error. Asked how a write ended, only 02000 says that it never ran and never will:
/// who is no primary can't tell.
pub(crate) fn of_error(code: [u8; 5], asks: bool) -> ExecutionOutcome {
    match &code {
        b"02000" if asks => ExecutionOutcome::NotEligible,
        b"25006" | b"72000" if asks => ExecutionOutcome::Rejected,
        b"25006" | b"72000" => ExecutionOutcome::NotEligible,
        b"53300" => ExecutionOutcome::Rejected,
        _ => ExecutionOutcome::Errored,
    }
}
