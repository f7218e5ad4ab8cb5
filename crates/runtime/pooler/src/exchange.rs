//! An exchange of one request and its answer with another process, which records whether the
//! request may have run.
//!
//! Used for requests that must not run twice: commands to database servers and promotions. The
//! caller owns the connection; this module keeps only the progress of one exchange.

use crate::net;
use async_io::Async;
use badgerstream_line_protocol::ExecutionOutcome;
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use thiserror::Error as ThisError;

/// The request was not sent because this machine may no longer send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum AuthorityError {
    /// This machine can't be sure any more that it is the leader.
    #[error("not sent: another machine may be the leader by now")]
    NotLeader,
}

impl From<AuthorityError> for Error {
    fn from(error: AuthorityError) -> Self {
        Error::other(error)
    }
}

/// Why an exchange ended without an answer.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the request may have run nevertheless.
    pub execution_outcome: ExecutionOutcome,
    /// The error that ended the exchange.
    pub error: Error,
}

impl ExchangeError {
    /// Returns whether the exchange ended with an [`AuthorityError`].
    pub fn is_authority_lost(&self) -> bool {
        self.error
            .get_ref()
            .is_some_and(|error| error.is::<AuthorityError>())
    }
}

/// The progress of an exchange: whether its request may have run.
pub struct Progress(Cell<ExecutionOutcome>);

impl Progress {
    /// Sends the complete request. Once its first byte is written, it may have run.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BrokenPipe`] if the request could not be written completely.
    pub async fn send(&self, stream: &Async<TcpStream>, request: &[u8]) -> Result<()> {
        self.0.set(ExecutionOutcome::MayHaveRun);
        net::write(stream, request).await.map_err(|error| {
            if error.nothing_written {
                self.0.set(ExecutionOutcome::NotRun);
            }
            ErrorKind::BrokenPipe.into()
        })
    }
}

/// Runs an exchange for at most `timeout_s` seconds. The exchange must send its request with
/// [`Progress::send`].
///
/// # Errors
///
/// [`ExchangeError`] with the error of the exchange, or with [`ErrorKind::TimedOut`].
pub async fn run<T>(
    timeout_s: f64,
    exchange: impl AsyncFnOnce(&Progress) -> Result<T>,
) -> std::result::Result<T, ExchangeError> {
    let progress = Progress(Cell::new(ExecutionOutcome::NotRun));
    let result = net::with_timeout(timeout_s, exchange(&progress)).await;
    result.map_err(|error| ExchangeError {
        execution_outcome: progress.0.get(),
        error,
    })
}
