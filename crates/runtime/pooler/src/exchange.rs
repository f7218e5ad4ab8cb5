//! One request to another process and its answer, and what the end of it proves of whether the
//! request has run.
//!
//! Used where a request must not run twice: commands to database servers and promotions. The caller
//! owns the connection; the only state here is how far one exchange has come.

use crate::net;
use async_io::Async;
use badgerstream_line_protocol::ExecutionOutcome;
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;
use thiserror::Error as ThisError;

/// The request was not sent, as this machine has lost the authority to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum AuthorityError {
    /// This machine no longer knows that it is the leader.
    #[error("another machine may lead by now")]
    NotLeader,
}

impl From<AuthorityError> for Error {
    fn from(error: AuthorityError) -> Self {
        Error::other(error)
    }
}

/// Why an exchange came to no answer.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the request may have run all the same.
    pub execution_outcome: ExecutionOutcome,
    /// What went wrong.
    pub error: Error,
}

impl ExchangeError {
    /// Whether it ended with an [`AuthorityError`].
    pub fn is_authority_lost(&self) -> bool {
        self.error
            .get_ref()
            .is_some_and(|error| error.is::<AuthorityError>())
    }
}

/// How far an exchange has come.
pub struct Progress(Cell<ExecutionOutcome>);

impl Progress {
    /// Sends the complete request. From its first byte on it may have run.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BrokenPipe`] if not all of it could be written.
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

/// Runs an exchange for so many seconds at most. The exchange must send its request by
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
