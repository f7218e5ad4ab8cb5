//! Sockets: reading into shared memory, writing, and waiting no longer than a second of the clock.

use crate::clock;
use async_io::{Async, Timer};
use badgerstream_line_protocol::LineBuffer;
use pin_project_lite::pin_project;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// What is read at once, in bytes; one buffer for all connections, so that a resting one holds none.
pub const READ_SIZE: usize = 16 * 1024;

/// Memory that every reader uses in turn, never across an await.
pub type Scratch = RefCell<Vec<u8>>;

/// Waits until this second of the steady clock.
pub async fn sleep_until(at: f64) {
    Timer::after(duration_until(at)).await;
}

fn duration_until(at: f64) -> Duration {
    Duration::from_secs_f64((at - clock::now()).clamp(0.0, 1e6))
}

/// What comes of this until a second of the steady clock; none if nothing does.
pub fn until<F: Future>(at: f64, what: F) -> Until<F> {
    Until {
        what,
        timer: Timer::after(duration_until(at)),
    }
}

pin_project! {
    /// The future of [`until`]. It holds the other one once; an `async` block that awaits what it was given holds it twice, and
    /// these stand inside each other on every statement's path.
    pub struct Until<F> {
        #[pin]
        what: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for Until<F> {
    type Output = Option<F::Output>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match this.what.poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending => this.timer.poll(cx).map(|_| None),
        }
    }
}

/// Opens a connection. Errors as the system gives them; the caller bounds the wait.
pub async fn connect(address: SocketAddr, user_timeout_ms: u32) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    options(&stream, user_timeout_ms)?;
    Ok(stream)
}

/// Sends small messages at once, and lets go of a peer that acknowledges nothing for so long.
pub fn options(stream: &Async<TcpStream>, user_timeout_ms: u32) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    rustix::net::sockopt::set_tcp_user_timeout(stream.get_ref(), user_timeout_ms)?;
    Ok(())
}

/// Takes what has arrived, without waiting: how much, 0 at the end of the stream, none if nothing is there.
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

/// Waits for bytes and takes them: how many, 0 at the end of the stream.
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

/// Why bytes were not sent whole.
#[derive(Debug)]
pub struct NotSent {
    /// None of them left this program.
    pub none: bool,
}

/// Sends all of it.
pub async fn write(stream: &Async<TcpStream>, mut bytes: &[u8]) -> Result<(), NotSent> {
    let whole = bytes.len();
    while !bytes.is_empty() {
        match stream.get_ref().write(bytes) {
            Ok(n) if n > 0 => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if stream.writable().await.is_err() {
                    return Err(NotSent {
                        none: bytes.len() == whole,
                    });
                }
            }
            _ => {
                return Err(NotSent {
                    none: bytes.len() == whole,
                });
            }
        }
    }
    Ok(())
}
