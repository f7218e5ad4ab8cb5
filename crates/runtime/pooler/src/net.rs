//! TCP sockets and deadlines: socket options, reads into a buffer that all connections share,
//! writes that report whether any byte was written, and futures with a deadline on the monotonic
//! clock.
//!
//! The module is stateless and doesn't interpret the bytes; all modules with sockets use it.

use crate::clock;
use async_io::{Async, Timer};
use badgerstream_line_protocol::LineBuffer;
use futures_lite::future;
use pin_project_lite::pin_project;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Size of the shared read buffer, in bytes. All connections share one buffer, so that idle ones
/// need none.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Read buffer shared by all connections of a thread; never borrowed across an await.
pub type Scratch = RefCell<Vec<u8>>;

/// Sleeps until this time of the monotonic clock, in seconds.
pub async fn sleep_until(at: f64) {
    Timer::after(duration_until(at)).await;
}

/// Sleeps for this many seconds.
pub async fn sleep(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}

fn duration_until(at: f64) -> Duration {
    Duration::from_secs_f64((at - clock::now()).clamp(0.0, 1e6))
}

/// Returns the output of a future, or `None` if it isn't ready at this deadline, in seconds of the
/// monotonic clock.
pub fn with_deadline<F: Future>(deadline: f64, future: F) -> WithDeadline<F> {
    WithDeadline {
        future,
        timer: Timer::after(duration_until(deadline)),
    }
}

pin_project! {
    /// The future returned by [`with_deadline`]. It stores the inner future once. An `async` block
    /// that awaits its argument would store it twice, and these futures are nested for every
    /// statement.
    pub struct WithDeadline<F> {
        #[pin]
        future: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for WithDeadline<F> {
    type Output = Option<F::Output>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match this.future.poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending => this.timer.poll(cx).map(|_| None),
        }
    }
}

/// Runs an operation for at most `timeout_s` seconds.
///
/// # Errors
///
/// Those of the operation, or [`io::ErrorKind::TimedOut`].
pub fn with_timeout<T>(
    timeout_s: f64,
    operation: impl Future<Output = io::Result<T>>,
) -> impl Future<Output = io::Result<T>> {
    let timed_out = async move {
        sleep(timeout_s).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(operation, timed_out)
}

/// Connects to a server and sets the socket options. The caller limits the wait.
///
/// # Errors
///
/// Those of the system.
pub async fn connect(address: SocketAddr, user_timeout_ms: u32) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    set_options(&stream, user_timeout_ms)?;
    Ok(stream)
}

/// Connects to another badgerstream process within `connect_timeout_s` seconds. Later the
/// connection breaks if sent bytes stay unacknowledged for `user_timeout_s` seconds.
///
/// # Errors
///
/// Those of the system, or [`io::ErrorKind::TimedOut`].
pub async fn connect_with_timeout(
    address: SocketAddr,
    connect_timeout_s: f64,
    user_timeout_s: f64,
) -> io::Result<Async<TcpStream>> {
    let stream = with_timeout(connect_timeout_s, Async::<TcpStream>::connect(address)).await?;
    try_set_options(&stream, user_timeout_s);
    Ok(stream)
}

/// Sets `TCP_NODELAY` and `TCP_USER_TIMEOUT`: small messages are sent at once, and the connection
/// breaks if sent bytes stay unacknowledged for `user_timeout_ms` milliseconds.
///
/// # Errors
///
/// Those of the system.
pub fn set_options(stream: &Async<TcpStream>, user_timeout_ms: u32) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(stream.get_ref(), user_timeout_ms)?;
    Ok(())
}

/// Like [`set_options`] with a timeout in seconds, but ignores errors. For connections that also
/// work without these options: if the system rejects one, an unreachable peer is only noticed
/// later.
pub fn try_set_options(stream: &Async<TcpStream>, user_timeout_s: f64) {
    let _ = stream.get_ref().set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, (user_timeout_s * 1000.0) as u32);
}

/// Sets whether closing a connection resets it (`SO_LINGER` of zero). A reset discards bytes that
/// were sent but have not arrived. The setting also applies if the process is killed.
pub fn set_reset_on_close(stream: &Async<TcpStream>, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), linger);
}

/// Reads the bytes that have arrived, without waiting. Returns their number, 0 at the end of the
/// stream, or `None` if nothing has arrived.
///
/// # Errors
///
/// Those of the system.
pub fn try_read(
    stream: &Async<TcpStream>,
    scratch: &Scratch,
    into: &mut LineBuffer,
) -> io::Result<Option<usize>> {
    let mut scratch = scratch.borrow_mut();
    loop {
        match stream.get_ref().read(&mut scratch) {
            Ok(n) => {
                into.feed(&scratch[..n]);
                return Ok(Some(n));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// Waits for bytes and reads them. Returns their number, or 0 at the end of the stream.
///
/// # Errors
///
/// Those of the system.
pub async fn read(
    stream: &Async<TcpStream>,
    scratch: &Scratch,
    into: &mut LineBuffer,
) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(n) = try_read(stream, scratch, into)? {
            return Ok(n);
        }
    }
}

/// A write that was not completed.
#[derive(Debug)]
pub struct WriteError {
    /// No byte was written, so the peer can't have received any of it.
    pub nothing_written: bool,
}

/// Writes all bytes.
///
/// # Errors
///
/// [`WriteError`] if the connection breaks before all bytes are written.
pub async fn write(stream: &Async<TcpStream>, bytes: &[u8]) -> Result<(), WriteError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let goes_on = match stream.get_ref().write(rest) {
            Ok(n) if n > 0 => {
                rest = &rest[n..];
                true
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => true,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await.is_ok(),
            _ => false,
        };
        if !goes_on {
            return Err(WriteError {
                nothing_written: rest.len() == bytes.len(),
            });
        }
    }
    Ok(())
}
