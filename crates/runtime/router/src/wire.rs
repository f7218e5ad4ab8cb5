//! Reading and writing between a socket and its rings.

use async_io::{Async, Timer};
use badgerstream_postgres_protocol::{Close, Ring};
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Memory that is short is looked for this often.
const SHORT: Duration = Duration::from_millis(5);

/// This work, or that end of it once so much time is over; what is done counts even if both are there.
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

/// Reads what is there, at least one byte.
pub(crate) async fn read(stream: &Async<TcpStream>, input: &mut Ring) -> Result<(), Close> {
    while input.room().is_empty() {
        if input.len() >= input.most() {
            return Err(Close::NoMemory);
        }
        // Others hold what there is for large messages: theirs end, or their time does.
        Timer::after(SHORT).await;
    }
    let count = stream
        .read_with(|mut s| s.read(input.room()))
        .await
        .map_err(|_| Close::Broken)?;
    input.filled(count);
    if count == 0 { Err(Close::Left) } else { Ok(()) }
}

/// What can be had without waiting: true if there were bytes.
pub(crate) fn read_now(stream: &Async<TcpStream>, input: &mut Ring) -> Result<bool, Close> {
    if input.room().is_empty() {
        return Ok(false);
    }
    match stream.get_ref().read(input.room()) {
        Ok(0) => Err(Close::Left),
        Ok(count) => {
            input.filled(count);
            Ok(true)
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(false),
        Err(_) => Err(Close::Broken),
    }
}

pub(crate) async fn write(stream: &Async<TcpStream>, output: &mut Ring) -> Result<(), Close> {
    while !output.is_empty() {
        // Most writes fit at once: the poller is asked only for those that do not.
        let count = match stream.get_ref().write(output.front()) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                stream.write_with(|mut s| s.write(output.front())).await
            }
            told => told,
        };
        match count {
            Ok(0) | Err(_) => return Err(Close::Broken),
            Ok(count) => output.skip(count),
        }
    }
    Ok(())
}

/// Lines of the log that peers can cause: one a second, with how many were passed over since.
pub(crate) struct Seldom(Cell<Option<Instant>>, Cell<u64>);

impl Seldom {
    pub(crate) const fn new() -> Seldom {
        Seldom(Cell::new(None), Cell::new(0))
    }

    /// How many were passed over, if a line may be written now.
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
