//! The codes of `ERROR` lines.

use crate::ExecutionOutcome;

/// The code of an `ERROR` line; each variant names its word in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// `RETRY`: the sender should try again, here or elsewhere.
    Retry,
    /// `UNKNOWN`: there is no prepared statement of this name.
    Unknown,
    /// `LAGGING`: the replica's log has not reached the required position.
    Lagging,
    /// `READONLY`: a replica received a statement that only the primary runs.
    ReadOnly,
    /// `WRONGNODE`: the server at this address is not the intended one.
    WrongNode,
    /// `CONNLIMIT`: the server has reached its maximum number of connections.
    ConnLimit,
    /// `FAILED`: the statement was executed and failed.
    Failed,
    /// `TIMEOUT`: the deadline passed.
    Timeout,
    /// `ABORTED`: the transaction was rolled back.
    Aborted,
    /// `INDOUBT`: it is unknown whether a write was committed.
    InDoubt,
    /// `MALFORMED`: the request violates the protocol.
    Malformed,
    /// `NODB`: there is no such database.
    NoDb,
    /// Any other word, which this version does not know.
    Other,
}

impl ErrorCode {
    /// Returns the code for a word of the protocol.
    pub fn parse(word: &str) -> Self {
        match word {
            "RETRY" => Self::Retry,
            "UNKNOWN" => Self::Unknown,
            "LAGGING" => Self::Lagging,
            "READONLY" => Self::ReadOnly,
            "WRONGNODE" => Self::WrongNode,
            "CONNLIMIT" => Self::ConnLimit,
            "FAILED" => Self::Failed,
            "TIMEOUT" => Self::Timeout,
            "ABORTED" => Self::Aborted,
            "INDOUBT" => Self::InDoubt,
            "MALFORMED" => Self::Malformed,
            "NODB" => Self::NoDb,
            _ => Self::Other,
        }
    }

    /// Returns the word in the protocol. The word of [`ErrorCode::Other`] is not stored, so
    /// `FAILED` is returned for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "RETRY",
            Self::Unknown => "UNKNOWN",
            Self::Lagging => "LAGGING",
            Self::ReadOnly => "READONLY",
            Self::WrongNode => "WRONGNODE",
            Self::ConnLimit => "CONNLIMIT",
            Self::Failed | Self::Other => "FAILED",
            Self::Timeout => "TIMEOUT",
            Self::Aborted => "ABORTED",
            Self::InDoubt => "INDOUBT",
            Self::Malformed => "MALFORMED",
            Self::NoDb => "NODB",
        }
    }

    /// Returns what is known about the execution of a statement to which a server responded with
    /// this code.
    pub fn execution_outcome(self) -> ExecutionOutcome {
        match self {
            Self::Retry
            | Self::Unknown
            | Self::Lagging
            | Self::ReadOnly
            | Self::WrongNode
            | Self::ConnLimit => ExecutionOutcome::NotRun,
            Self::Failed | Self::Malformed => ExecutionOutcome::Ran,
            Self::Timeout | Self::Aborted | Self::InDoubt | Self::NoDb | Self::Other => {
                ExecutionOutcome::MayHaveRun
            }
        }
    }
}
