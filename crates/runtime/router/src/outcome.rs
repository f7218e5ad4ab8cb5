//! Maps the reason why a connection ended, or the SQLSTATE of an error, to an [`ExecutionOutcome`].

use badgerstream_postgres_protocol::Close;
use badgerstream_routing::ExecutionOutcome;

/// Returns the outcome of an execution whose connection ended. Unless the last byte of the statement was `written`,
/// the node did not begin to execute it.
pub(crate) fn from_close(close: Close, written: bool) -> ExecutionOutcome {
    match (close, written) {
        (Close::TimedOut, true) => ExecutionOutcome::TimedOut,
        // An answer that does not fit this router's memory says nothing about the node.
        (Close::Cancelled | Close::NoMemory, true) => ExecutionOutcome::Cancelled,
        (Close::Malformed(_), true) => ExecutionOutcome::InvalidAnswer,
        (Close::TimedOut | Close::Cancelled | Close::Withdrawn, false) => {
            ExecutionOutcome::NeverIssued
        }
        (Close::NoDescriptor | Close::NoMemory, false) => ExecutionOutcome::NeverIssued,
        (Close::TooManyConnections, false) => ExecutionOutcome::Rejected,
        (Close::PeerClosed | Close::IoError | Close::Malformed(_), false) => {
            ExecutionOutcome::SendInterrupted
        }
        (_, false) => ExecutionOutcome::ConnectFailed,
        (_, true) => ExecutionOutcome::ConnectionLost,
    }
}

/// Returns the outcome of an execution that the node answered with an error. For an inquiry about an earlier write,
/// only 02000 proves that the write has not run and never will: a node that is not the primary can't know.
pub(crate) fn from_error(code: [u8; 5], is_inquiry: bool) -> ExecutionOutcome {
    match &code {
        b"02000" if is_inquiry => ExecutionOutcome::NotEligible,
        b"25006" | b"72000" if is_inquiry => ExecutionOutcome::Rejected,
        b"25006" | b"72000" => ExecutionOutcome::NotEligible,
        b"53300" => ExecutionOutcome::Rejected,
        _ => ExecutionOutcome::Errored,
    }
}
