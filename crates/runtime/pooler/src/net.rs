//! TCP sockets and deadlines: socket options, reads into memory that all connections share, writes
//! that tell whether any byte left, and futures that give up at a time of the monotonic clock.
//!
//! It holds no state of its own and knows nothing of what the bytes mean; every other module that
//! has a socket uses it.

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

/// Size of the shared read buffer, in bytes. One buffer serves all connections, so that an idle one
/// holds none.
pub const READ_SIZE: usize = 16 * 1024;

/// Memory that every reader uses in turn, never across an await.
pub type Scratch = RefCell<Vec<u8>>;

/// Sleeps until this time of the monotonic clock, in seconds.
pub async fn sleep_until(at: f64) {
    Timer::after(duration_until(at)).await;
}

/// Sleeps for so many seconds.
pub async fn sleep(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}

fn duration_until(at: f64) -> Duration {
    Duration::from_secs_f64((at - clock::now()).clamp(0.0, 1e6))
}

/// The output of a future, or `None` if it isn't ready at this time of the monotonic clock, in
/// seconds.
pub fn until<F: Future>(at: f64, future: F) -> Until<F> {
    Until {
        future,
        timer: Timer::after(duration_until(at)),
    }
}

pin_project! {
    /// The future of [`until`]. It holds the inner future once; an `async` block that awaits its
    /// argument holds it twice, and these futures are nested on the path of every statement.
    pub struct Until<F> {
        #[pin]
        future: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for Until<F> {
    type Output = Option<F::Output>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match this.future.poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending => this.timer.poll(cx).map(|_| None),
        }
    }
}

/// Runs an operation for so many seconds at most.
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

/// Connects to a server and sets the socket options. The caller bounds the wait.
///
/// # Errors
///
/// Those of the system.
pub async fn connect(address: SocketAddr, user_timeout_ms: u32) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    options(&stream, user_timeout_ms)?;
    Ok(stream)
}

/// Connects to another process of ours within a time-out; a peer that then acknowledges nothing for
/// `user_timeout_s` seconds is given up.
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
    configure(&stream, user_timeout_s);
    Ok(stream)
}

/// Sets `TCP_NODELAY` and `TCP_USER_TIMEOUT`: small messages leave at once, and a peer that
/// acknowledges nothing for so many milliseconds is given up.
///
/// # Errors
///
/// Those of the system.
pub fn options(stream: &Async<TcpStream>, user_timeout_ms: u32) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(stream.get_ref(), user_timeout_ms)?;
    Ok(())
}

/// As [`options`], with seconds, for connections that work without these options as well: where the
/// system refuses one it only takes longer to notice that the peer is unreachable.
pub fn configure(stream: &Async<TcpStream>, user_timeout_s: f64) {
    let _ = stream.get_ref().set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, (user_timeout_s * 1000.0) as u32);
}

/// Whether closing a connection resets it (`SO_LINGER` of zero): what was sent on it and has not
/// arrived is lost then. This holds for a process that is killed as well.
pub fn reset_on_close(stream: &Async<TcpStream>, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), linger);
}

/// Reads what has arrived, without waiting: the number of bytes, 0 at the end of the stream, `None`
/// if nothing has arrived.
///
/// # Errors
///
/// Those of the system.
pub fn read_now(
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

/// Waits for bytes and reads them: the number of bytes, 0 at the end of the stream.
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
        if let Some(n) = read_now(stream, scratch, into)? {
            return Ok(n);
        }
    }
}

/// A write that was not completed.
#[derive(Debug)]
pub struct WriteError {
    /// No byte left this process, so the other side can't have seen any of it.
    pub nothing_written: bool,
}

/// Writes all bytes.
///
/// # Errors
///
/// [`WriteError`] once the connection takes no more of them.
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
