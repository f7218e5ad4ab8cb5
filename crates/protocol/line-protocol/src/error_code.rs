//! The codes of `ERROR` lines.

use crate::ExecutionOutcome;

/// The code of an `ERROR` line, by its word in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// `RETRY`: try again, here or elsewhere.
    Retry,
    /// `UNKNOWN`: the server doesn't know the prepared statement.
    Unknown,
    /// `LAGGING`: the replica doesn't have the position that was asked for.
    Lagging,
    /// `READONLY`: a replica was sent what only the primary does.
    ReadOnly,
    /// `WRONGNODE`: another server is at this address than the one that was meant.
    WrongNode,
    /// `CONNLIMIT`: the server has as many connections as it takes.
    ConnLimit,
    /// `FAILED`: the statement was executed without success.
    Failed,
    /// `TIMEOUT`: the deadline passed.
    Timeout,
    /// `ABORTED`: the transaction was rolled back.
    Aborted,
    /// `INDOUBT`: a write may or may not be kept.
    InDoubt,
    /// `MALFORMED`: the request breaks the protocol.
    Malformed,
    /// `NODB`: there is no such database.
    NoDb,
    /// A word that this program does not know.
    Other,
}

impl ErrorCode {
    /// The code of this word.
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

    /// The word in the protocol; an unknown one was not kept and becomes `FAILED`.
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

    /// What this code proves of a statement to which a server responded with it.
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
