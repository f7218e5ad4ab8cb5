//! Reads and writes between a socket and its ring buffers; timeouts; throttling of log lines.

use async_io::{Async, Timer};
use badgerstream_postgres_protocol::{Close, RingBuffer};
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Delay between attempts to get memory for a large message.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Runs `work` with a timeout: returns the error `late` if `limit` passes first. Work that is complete when the
/// timeout is noticed still counts.
pub(crate) async fn within<T>(
    limit: Duration,
    late: Close,
    work: impl Future<Output = Result<T, Close>>,
) -> Result<T, Close> {
    let timer = async {
        Timer::after(limit).await;
        Err(late)
    };
    future::or(work, timer).await
}

/// Waits for at least one byte and reads what is available.
pub(crate) async fn read(stream: &Async<TcpStream>, input: &mut RingBuffer) -> Result<(), Close> {
    while input.room().is_empty() {
        if input.len() >= input.max_len() {
            return Err(Close::NoMemory);
        }
        // Other connections hold the memory for large messages, until these messages end or time out.
        Timer::after(MEMORY_RETRY_DELAY).await;
    }
    let count = stream
        .read_with(|mut s| s.read(input.room()))
        .await
        .map_err(|_| Close::IoError)?;
    input.filled(count);
    if count == 0 {
        Err(Close::PeerClosed)
    } else {
        Ok(())
    }
}

/// Reads what is available without waiting. Returns whether any bytes were read.
pub(crate) fn read_now(stream: &Async<TcpStream>, input: &mut RingBuffer) -> Result<bool, Close> {
    if input.room().is_empty() {
        return Ok(false);
    }
    match stream.get_ref().read(input.room()) {
        Ok(0) => Err(Close::PeerClosed),
        Ok(count) => {
            input.filled(count);
            Ok(true)
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(false),
        Err(_) => Err(Close::IoError),
    }
}

pub(crate) async fn write(stream: &Async<TcpStream>, output: &mut RingBuffer) -> Result<(), Close> {
    while !output.is_empty() {
        // Most writes succeed at once; only the others wait for the poller.
        let count = match stream.get_ref().write(output.front()) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                stream.write_with(|mut s| s.write(output.front())).await
            }
            result => result,
        };
        match count {
            Ok(0) | Err(_) => return Err(Close::IoError),
            Ok(count) => output.skip(count),
        }
    }
    Ok(())
}

/// Throttles a log line that peers can cause to one per second, and counts the suppressed lines.
pub(crate) struct LogThrottle(Cell<Option<Instant>>, Cell<u64>);

impl LogThrottle {
    pub(crate) const fn new() -> LogThrottle {
        LogThrottle(Cell::new(None), Cell::new(0))
    }

    /// Returns the number of suppressed lines if a line may be written now; otherwise counts one more.
    pub(crate) fn due(&self) -> Option<u64> {
        if self
            .0
            .get()
            .is_some_and(|at| at.elapsed() < Duration::from_secs(1))
        {
            self.1.set(self.1.get() + 1);
            return None;
        }
        self.0.set(Some(Instant::now()));
        Some(self.1.take())
    }
}
