//! What the system's processes say to each other, as frames on a connection: a length, then `bincode`, compressed where it is
//! long.

use async_io::{Async, Timer};
use badgerstream_control::{LeaseRequest, PeerMessage, Recipient, RouterMessage, Voter};
use bincode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A frame's bytes at most.
pub const MOST: usize = 8 << 20;

/// Frames of so many bytes and more are compressed.
const COMPRESSED_FROM: usize = 1024;
/// How hard: names and configurations repeat themselves, and the quickest search finds most of it.
const COMPRESSION: u8 = 1;
/// Set in the length of a compressed frame.
const COMPRESSED: u32 = 1 << 31;

/// A connection between our processes opens within so many seconds, or is tried anew: the opening packet to a machine that
/// was without power is sent again only after a second, and by then it may have been up for long.
pub const CONNECT: f64 = 0.2;

/// What is written at once, in bytes: a slow connection shows that it takes something.
const WRITTEN_AT_ONCE: usize = 4 << 10;

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Frame {
    /// The first on a connection of a control machine.
    Hello {
        /// Who speaks on it.
        from: Voter,
        /// The life of its process.
        life: u64,
    },
    /// Between control machines; whoever else has the address doesn't take it.
    Peer {
        /// For whom it is.
        to: Recipient,
        /// The message.
        message: PeerMessage,
    },
    /// A router asks.
    Renew(LeaseRequest),
    /// A router is told.
    News(Rc<RouterMessage>),
}

/// The frame's bytes, with its length before them.
pub fn bytes(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    let length = bincode::encode_into_std_write(frame, &mut bytes, bincode::config::standard());
    let length = length.expect("a frame can be written to memory");
    if length < COMPRESSED_FROM {
        bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
        return bytes;
    }
    let body = miniz_oxide::deflate::compress_to_vec(&bytes[4..], COMPRESSION);
    let mut bytes = (body.len() as u32 | COMPRESSED).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the next frame; an error ends the connection.
pub async fn read(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    let compressed = length & COMPRESSED != 0;
    let length = (length & !COMPRESSED) as usize;
    if length > MOST {
        return Err(Error::new(ErrorKind::InvalidData, "a frame is too long"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    if compressed {
        bytes = miniz_oxide::inflate::decompress_to_vec_with_limit(&bytes, MOST)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "a frame can't be decompressed"))?;
    }
    match bincode::decode_from_slice(&bytes, bincode::config::standard().with_limit::<MOST>()) {
        Ok((frame, used)) if used == bytes.len() => Ok(frame),
        _ => Err(Error::new(ErrorKind::InvalidData, "a frame can't be read")),
    }
}

/// Writes a frame whole.
pub async fn write(stream: &mut (impl AsyncWriteExt + Unpin), frame: &Frame) -> Result<()> {
    stream.write_all(&bytes(frame)).await
}

/// Writes all of it, however long that takes, for as long as the other side takes some of it within so many seconds.
pub async fn write_slowly(
    stream: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    stalled_s: f64,
) -> Result<()> {
    for part in bytes.chunks(WRITTEN_AT_ONCE) {
        within(stalled_s, stream.write_all(part)).await?;
    }
    Ok(())
}

/// This work, unless the time runs out first.
pub fn within<T>(
    seconds: f64,
    work: impl Future<Output = Result<T>>,
) -> impl Future<Output = Result<T>> {
    let late = async move {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        Err(ErrorKind::TimedOut.into())
    };
    future::or(work, late)
}

/// Connects; a peer that says nothing more is given up after `dead_s` seconds.
pub async fn connect(to: SocketAddr, seconds: f64, dead_s: f64) -> Result<Async<TcpStream>> {
    let stream = within(seconds, Async::<TcpStream>::connect(to)).await?;
    prepare(&stream, dead_s);
    Ok(stream)
}

/// Whether closing a connection resets it: what was sent on it and has not arrived is lost then. Holds for a process that is
/// killed as well.
pub fn reset_on_close(stream: &Async<TcpStream>, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), linger);
}

/// What every connection of ours is set to.
pub fn prepare(stream: &Async<TcpStream>, dead_s: f64) {
    let _ = stream.get_ref().set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(stream, (dead_s * 1000.0) as u32);
}
