//! Frames: the messages between processes of this system on a TCP connection.
//!
//! A frame is a 32-bit big-endian length, followed by a body: a [`Frame`] in the standard encoding
//! of `bincode`. If the highest bit of the length is set, the body is compressed with DEFLATE. The
//! encoding is positional: the order of variants and fields is part of the wire format, their names
//! are not. Processes of different releases read each other's frames, so fixtures pin the bytes.

use crate::net;
use badgerstream_control::{
    LeaseRequest, PeerMessage, Recipient, ReportingLeaseRequest, RouterMessage, Voter,
};
use bincode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use thiserror::Error;

/// Maximum size of the body of a frame, compressed and decompressed, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Bodies of at least this size, in bytes, are compressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 1024;
/// The DEFLATE level. Names and configurations are repetitive, and the fastest search finds most of
/// the repetitions.
const COMPRESSION_LEVEL: u8 = 1;
/// Set in the length of a frame whose body is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// Timeout of connecting to another process of this system, in seconds. It is short because the
/// kernel repeats a SYN that a powered-off machine missed only after a second, and by then the
/// machine may have been up for a long time.
pub const CONNECT_TIMEOUT_S: f64 = 0.2;

/// Number of bytes that are written at a time, so that the progress of a slow connection is
/// visible.
const WRITE_CHUNK_BYTES: usize = 4 << 10;

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Frame {
    /// The first frame on a connection between control machines.
    Handshake {
        /// The control machine that sends on this connection.
        from: Voter,
        /// The process incarnation of the sender.
        process_incarnation: u64,
    },
    /// A message between control machines. A different machine that has the recipient's address by
    /// now ignores it.
    Peer {
        /// The recipient.
        to: Recipient,
        /// The message.
        message: PeerMessage,
    },
    /// A lease request from a router to a control machine.
    LeaseRequest(LeaseRequest),
    /// A message from a control machine to a router.
    RouterUpdate(Rc<RouterMessage>),
    /// A lease request that also says what the router has passed on to clients. A router sends it
    /// only to a control machine that has asked for it, since releases before this variant close
    /// the connection at it.
    ReportingLeaseRequest(ReportingLeaseRequest),
}

/// The reason why received bytes are not a valid frame. The connection is closed, because the start
/// of the next frame is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`].
    #[error("frame body of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The body is not a DEFLATE stream, or decompresses to more than [`MAX_FRAME_BYTES`].
    #[error(
        "frame body can't be decompressed: invalid DEFLATE stream or more than {MAX_FRAME_BYTES} \
         bytes"
    )]
    Compression,
    /// The body is not an encoded [`Frame`], or has trailing bytes.
    #[error("frame body of {0} bytes can't be decoded")]
    Encoding(usize),
}

impl From<FrameError> for Error {
    fn from(error: FrameError) -> Self {
        Error::new(ErrorKind::InvalidData, error)
    }
}

/// Encodes a frame, including its length prefix.
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
/// Errors of the connection, or a [`FrameError`] of kind [`ErrorKind::InvalidData`]. After either
/// the connection must be closed.
pub async fn read(stream: &mut (impl AsyncReadExt + Unpin)) -> Result<Frame> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    let compressed = length & COMPRESSED_FLAG != 0;
    let length = (length & !COMPRESSED_FLAG) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length).into());
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
        _ => Err(FrameError::Encoding(body.len()).into()),
    }
}

/// Writes a complete frame.
///
/// # Errors
///
/// Errors of the connection.
pub async fn write(stream: &mut (impl AsyncWriteExt + Unpin), frame: &Frame) -> Result<()> {
    stream.write_all(&encode(frame)).await
}

/// Writes all bytes. This may take any time as long as the connection makes progress.
///
/// # Errors
///
/// Errors of the connection, or [`ErrorKind::TimedOut`] if writing one chunk (`WRITE_CHUNK_BYTES`)
/// takes longer than `stall_timeout_s` seconds.
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
