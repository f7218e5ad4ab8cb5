//! Frames: the messages between processes of this system on a TCP connection.
//!
//! A frame is a 32-bit big-endian length and a body, which is [`Frame`] in the standard encoding of
//! `bincode`. The highest bit of the length says that the body is compressed with DEFLATE. The
//! encoding is positional: the order of variants and fields is the wire format, their names are
//! not. Fixtures hold the bytes, as processes of different releases read each other's frames.

use crate::net;
use badgerstream_control::{LeaseRequest, PeerMessage, Recipient, RouterMessage, Voter};
use bincode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use thiserror::Error;

/// The largest body of a frame, also once decompressed, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Bodies of so many bytes and more are compressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 1024;
/// Level of DEFLATE: names and configurations repeat themselves, and the fastest search finds most
/// of it.
const COMPRESSION_LEVEL: u8 = 1;
/// Set in the length of a frame whose body is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// Time-out of connecting to another of our processes, in seconds. It is short, as the SYN to a
/// machine that was without power is sent again only after a second, and by then the machine may
/// have been up for long.
pub const CONNECT_TIMEOUT_S: f64 = 0.2;

/// How much is written at a time, in bytes: a slow connection makes progress that can be seen.
const WRITE_CHUNK_BYTES: usize = 4 << 10;

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Frame {
    /// The first frame on a connection between control machines.
    Handshake {
        /// Who sends on this connection.
        from: Voter,
        /// The incarnation of its process.
        process_incarnation: u64,
    },
    /// Between control machines. Another one that has the address by now ignores it.
    Peer {
        /// For whom it is.
        to: Recipient,
        /// The message.
        message: PeerMessage,
    },
    /// From a router to a control machine.
    LeaseRequest(LeaseRequest),
    /// From a control machine to a router.
    RouterUpdate(Rc<RouterMessage>),
}

/// Why the bytes of a connection are no frame. The connection ends with it, as the next frame can't
/// be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is above [`MAX_FRAME_BYTES`].
    #[error("a frame is too long")]
    TooLong,
    /// The body is no DEFLATE stream, or one of more than [`MAX_FRAME_BYTES`].
    #[error("a frame can't be decompressed")]
    Compression,
    /// The body is no encoded [`Frame`], or has bytes left over.
    #[error("a frame can't be read")]
    Encoding,
}

impl From<FrameError> for Error {
    fn from(error: FrameError) -> Self {
        Error::new(ErrorKind::InvalidData, error)
    }
}

/// Encodes a frame, with its length before it.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    let length = bincode::encode_into_std_write(frame, &mut bytes, bincode::config::standard());
    let length = length.expect("encoding into memory doesn't fail");
    if length < COMPRESSION_THRESHOLD_BYTES {
        bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
        return bytes;
    }
    let body = miniz_oxide::deflate::compress_to_vec(&bytes[4..], COMPRESSION_LEVEL);
    let mut bytes = (body.len() as u32 | COMPRESSED_FLAG).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the next frame.
///
/// # Errors
///
/// Those of the connection, or a [`FrameError`] of kind [`ErrorKind::InvalidData`]. Either ends the
/// connection.
pub async fn read(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    let compressed = length & COMPRESSED_FLAG != 0;
    let length = (length & !COMPRESSED_FLAG) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    if compressed {
        body = miniz_oxide::inflate::decompress_to_vec_with_limit(&body, MAX_FRAME_BYTES)
            .map_err(|_| FrameError::Compression)?;
    }
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    match bincode::decode_from_slice(&body, config) {
        Ok((frame, used)) if used == body.len() => Ok(frame),
        _ => Err(FrameError::Encoding.into()),
    }
}

/// Writes a complete frame.
///
/// # Errors
///
/// Those of the connection.
pub async fn write(stream: &mut (impl AsyncWriteExt + Unpin), frame: &Frame) -> Result<()> {
    stream.write_all(&encode(frame)).await
}

/// Writes all bytes, however long that takes, for as long as the connection makes progress.
///
/// # Errors
///
/// Those of the connection, or [`ErrorKind::TimedOut`] if it takes nothing for `stall_timeout_s`
/// seconds.
pub async fn write_with_stall_timeout(
    stream: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    stall_timeout_s: f64,
) -> Result<()> {
    for chunk in bytes.chunks(WRITE_CHUNK_BYTES) {
        net::with_timeout(stall_timeout_s, stream.write_all(chunk)).await?;
    }
    Ok(())
}
