//! The errors of commands. Each error is printed as one line.

use super::table::without_control_chars;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file can't be read.
    #[error("{file}: can't read the file: {error}")]
    ReadFile {
        /// The name of the file, as the operator gave it.
        file: String,
        /// The error from the operating system.
        error: io::Error,
    },
    /// The contents of a file are invalid.
    #[error("{file}: {reason}")]
    InvalidFile {
        /// The name of the file, as the operator gave it.
        file: String,
        /// What is wrong, and where in the file.
        reason: String,
    },
    /// No control machine gave a final answer. If the call is a change, no control machine can have
    /// received it.
    #[error("the call failed at every address: {0}")]
    NoAnswer(FailedAttempts),
    /// No control machine gave a final answer to a change, and one may have received it.
    #[error(
        "it isn't known whether the configuration was applied; it is safe to repeat the command \
         with --base {base}: {attempts}"
    )]
    OutcomeUnknown {
        /// The failed attempt at each address.
        attempts: FailedAttempts,
        /// The epoch that the new configuration replaces.
        base: u64,
    },
    /// A control machine rejected the call.
    #[error("{address} rejected the call with status {status}: {reason}")]
    Rejected {
        /// The address of the control machine that answered.
        address: SocketAddr,
        /// The HTTP status of the answer.
        status: u16,
        /// The reason in the body of the answer.
        reason: String,
    },
    /// The body of an answer can't be parsed.
    #[error("invalid answer from {address}: {reason}")]
    InvalidAnswer {
        /// The address of the control machine that answered.
        address: SocketAddr,
        /// What is wrong with the answer.
        reason: String,
    },
    /// There is no configuration to print.
    #[error("there is no configuration yet")]
    NoConfig,
    /// The result can't be written to the output.
    #[error("can't write the result: {0}")]
    Output(io::Error),
}

/// The reason why the attempt at one address failed.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// The status of the answer says that another machine may succeed.
    #[error("{address}: status {status}: {reason}")]
    Status {
        /// The address of the machine that answered.
        address: SocketAddr,
        /// The HTTP status of the answer.
        status: u16,
        /// The reason in the body of the answer.
        reason: String,
    },
    /// There was no answer within the timeout.
    #[error("{address}: no answer within {timeout_s} s")]
    TimedOut {
        /// The address that was called.
        address: SocketAddr,
        /// The timeout, in seconds.
        timeout_s: f64,
    },
    /// The connection was refused.
    #[error("{address}: connection refused")]
    ConnectionRefused {
        /// The address that was called.
        address: SocketAddr,
    },
    /// The connection failed in another way, or the answer isn't valid HTTP.
    #[error("{address}: {}", without_control_chars(&error.to_string()))]
    Connection {
        /// The address that was called.
        address: SocketAddr,
        /// The error from the operating system or from the HTTP codec.
        error: io::Error,
    },
    /// The attempt was redirected too often.
    #[error("{address}: redirected more than {limit} times")]
    TooManyRedirects {
        /// The address that was called first.
        address: SocketAddr,
        /// Maximum number of redirects that are followed.
        limit: u32,
    },
    /// The target of a redirect is neither a path nor an address.
    #[error("{address}: redirected to {location:?}, which is neither a path nor http://IP:PORT")]
    InvalidRedirect {
        /// The address of the machine that sent the redirect.
        address: SocketAddr,
        /// The `Location` header, without control characters.
        location: String,
    },
}

/// The failed attempts, in the order in which the addresses were called.
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
