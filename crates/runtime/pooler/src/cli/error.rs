//! Why a command failed. Each error is printed as one line.

use super::table::without_control_chars;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file can't be read.
    #[error("{file}: {error}")]
    ReadFile {
        /// Its name, as the operator gave it.
        file: String,
        /// The error of the system.
        error: io::Error,
    },
    /// A file was read and is invalid.
    #[error("{file}: {reason}")]
    InvalidFile {
        /// Its name, as the operator gave it.
        file: String,
        /// What is wrong, and where.
        reason: String,
    },
    /// No control machine gave an answer, and none has received the call.
    #[error("no answer: {0}")]
    NoAnswer(FailedAttempts),
    /// As [`CliError::NoAnswer`], of a change that a control machine may have received.
    #[error(
        "it isn't known whether the configuration was taken; the same command with --base {base} \
         can be repeated without harm: {attempts}"
    )]
    OutcomeUnknown {
        /// What each address came to.
        attempts: FailedAttempts,
        /// The epoch that the new configuration replaces.
        base: u64,
    },
    /// The system rejects the call.
    #[error("refused by {address} ({status}): {reason}")]
    Rejected {
        /// The control machine that answered.
        address: SocketAddr,
        /// The status of its answer.
        status: u16,
        /// What it says.
        reason: String,
    },
    /// An answer that this program can't read.
    #[error("the answer of {address} can't be read: {reason}")]
    InvalidAnswer {
        /// The control machine that answered.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// There is no configuration to print.
    #[error("there is no configuration yet")]
    NoConfig,
    /// The result can't be printed.
    #[error("can't print: {0}")]
    Output(io::Error),
}

/// Why an attempt at one control machine failed.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// Its answer says that another machine may do better.
    #[error("{address}: {status} {reason}")]
    Status {
        /// The machine.
        address: SocketAddr,
        /// The status of its answer.
        status: u16,
        /// What it says.
        reason: String,
    },
    /// It gave no answer in time.
    #[error("{address}: no answer within {timeout_s} s")]
    TimedOut {
        /// The machine.
        address: SocketAddr,
        /// The limit, in seconds.
        timeout_s: f64,
    },
    /// The connection was refused.
    #[error("{address}: nobody listens there")]
    ConnectionRefused {
        /// The machine.
        address: SocketAddr,
    },
    /// Any other failure of the connection, or an answer that isn't HTTP.
    #[error("{address}: {}", without_control_chars(&error.to_string()))]
    Connection {
        /// The machine.
        address: SocketAddr,
        /// The error of the system, or of the codec.
        error: io::Error,
    },
    /// It was redirected too often.
    #[error("{address}: sent on more than {limit} times")]
    TooManyRedirects {
        /// The machine that was called first.
        address: SocketAddr,
        /// How many redirects are followed.
        limit: u32,
    },
    /// It was redirected to something that is no address.
    #[error("{address}: sent on to {location:?}, which is no address")]
    InvalidRedirect {
        /// The machine that redirects.
        address: SocketAddr,
        /// Its `Location`, without control characters.
        location: String,
    },
}

/// What the attempts at all addresses came to, in their order.
#[derive(Debug, Default)]
pub struct FailedAttempts(pub Vec<AttemptError>);

impl fmt::Display for FailedAttempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, attempt) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{attempt}")?;
        }
        Ok(())
    }
}
