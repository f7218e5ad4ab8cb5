//! One request to another process and its answer, with what its end proves of whether the request has run.

use crate::edge::net;
use crate::frames;
use async_io::Async;
use badgerstream_line_protocol::Verdict;
use quick_error::quick_error;
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::net::TcpStream;

quick_error! {
    /// The request was not sent: another machine may hold the duty by now.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DutyLost {
        /// This machine can't tell any more that no other one leads.
        NoAuthority {
            display("another machine may lead by now")
        }
    }
}

/// Why an exchange came to no answer.
#[derive(Debug)]
pub struct ExchangeError {
    /// Whether the request may have run all the same.
    pub verdict: Verdict,
    /// What went wrong.
    pub error: Error,
}

impl ExchangeError {
    /// Whether it was given up since another machine may hold the duty.
    pub fn is_duty_lost(&self) -> bool {
        self.error
            .get_ref()
            .is_some_and(|error| error.is::<DutyLost>())
    }
}

/// How far an exchange has come.
pub struct Progress(Cell<Verdict>);

impl Progress {
    /// Sends the whole request. From its first byte on it may have run.
    pub async fn send(&self, stream: &Async<TcpStream>, request: &[u8]) -> Result<()> {
        self.0.set(Verdict::MayHaveRun);
        net::write(stream, request).await.map_err(|unsent| {
            if unsent.none {
                self.0.set(Verdict::NotRun);
            }
            ErrorKind::BrokenPipe.into()
        })
    }
}

/// Runs an exchange that may take so many seconds. It must send its request by [`Progress::send`].
pub async fn run<T>(
    seconds: f64,
    exchange: impl AsyncFnOnce(&Progress) -> Result<T>,
) -> std::result::Result<T, ExchangeError> {
    let progress = Progress(Cell::new(Verdict::NotRun));
    let ended = frames::within(seconds, exchange(&progress)).await;
    ended.map_err(|error| ExchangeError {
        verdict: progress.0.get(),
        error,
    })
}
