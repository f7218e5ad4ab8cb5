//! Decoding of bodies: by length, in chunks, or up to the end of the connection.

use httparse::Status;

use crate::{HttpError, MAX_HEAD_BYTES};

/// The most bytes that the line with a chunk's size may have.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// What comes next in a body (RFC 9112, sections 6 and 7.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// This many bytes, and then the body ends.
    Length(usize),
    /// The line with a chunk's size.
    ChunkSize,
    /// The data of a chunk, of which this many bytes are left.
    ChunkData(usize),
    /// The end of line after a chunk's data.
    ChunkEnd,
    /// The trailers, of which this many bytes were read.
    Trailers(usize),
    /// Everything up to the end of the connection.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// What one step of decoding did.
pub(crate) struct BodyProgress {
    /// How many bytes of the input were used.
    pub(crate) consumed: usize,
    /// What comes next. The same state without a byte consumed means that more input is needed.
    pub(crate) next: BodyState,
}

fn progress(consumed: usize, next: BodyState) -> BodyProgress {
    BodyProgress { consumed, next }
}

impl BodyState {
    /// Decodes one part of a body from `input` and appends its data to `body`, which may have
    /// `max_body` bytes.
    pub(crate) fn decode(
        self,
        input: &[u8],
        body: &mut Vec<u8>,
        max_body: usize,
    ) -> Result<BodyProgress, HttpError> {
        match self {
            BodyState::Length(remaining) => Ok(decode_length(remaining, input, body)),
            BodyState::ChunkSize => decode_chunk_size(input, body.len(), max_body),
            BodyState::ChunkData(remaining) => Ok(decode_chunk_data(remaining, input, body)),
            BodyState::ChunkEnd => decode_chunk_end(input),
            BodyState::Trailers(read_bytes) => skip_trailer(read_bytes, input),
            BodyState::UntilClose => decode_until_close(input, body, max_body),
            BodyState::Complete => Ok(progress(0, BodyState::Complete)),
        }
    }
}

fn decode_length(remaining: usize, input: &[u8], body: &mut Vec<u8>) -> BodyProgress {
    let consumed = remaining.min(input.len());
    if body.is_empty() && consumed > 0 {
        body.reserve_exact(remaining);
    }
    body.extend_from_slice(&input[..consumed]);
    if consumed == remaining {
        progress(consumed, BodyState::Complete)
    } else {
        progress(consumed, BodyState::Length(remaining - consumed))
    }
}

fn decode_until_close(
    input: &[u8],
    body: &mut Vec<u8>,
    max_body: usize,
) -> Result<BodyProgress, HttpError> {
    if body.len() + input.len() > max_body {
        return Err(HttpError::BodyTooLarge(max_body));
    }
    body.extend_from_slice(input);
    Ok(progress(input.len(), BodyState::UntilClose))
}

fn decode_chunk_size(
    input: &[u8],
    body_bytes: usize,
    max_body: usize,
) -> Result<BodyProgress, HttpError> {
    let line = &input[..input.len().min(MAX_CHUNK_LINE_BYTES)];
    // `httparse` takes a line without a digit as a size of 0.
    if line.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed("invalid chunk size"));
    }
    match httparse::parse_chunk_size(line) {
        Ok(Status::Complete((consumed, 0))) => Ok(progress(consumed, BodyState::Trailers(0))),
        Ok(Status::Complete((consumed, size))) => {
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            if size > max_body.saturating_sub(body_bytes) {
                return Err(HttpError::BodyTooLarge(max_body));
            }
            Ok(progress(consumed, BodyState::ChunkData(size)))
        }
        Ok(Status::Partial) if input.len() >= MAX_CHUNK_LINE_BYTES => {
            Err(HttpError::Malformed("line of a chunk size too long"))
        }
        Ok(Status::Partial) => Ok(progress(0, BodyState::ChunkSize)),
        Err(_) => Err(HttpError::Malformed("invalid chunk size")),
    }
}

fn decode_chunk_data(remaining: usize, input: &[u8], body: &mut Vec<u8>) -> BodyProgress {
    let consumed = remaining.min(input.len());
    body.extend_from_slice(&input[..consumed]);
    if consumed == remaining {
        progress(consumed, BodyState::ChunkEnd)
    } else {
        progress(consumed, BodyState::ChunkData(remaining - consumed))
    }
}

fn decode_chunk_end(input: &[u8]) -> Result<BodyProgress, HttpError> {
    match input {
        [b'\r', b'\n', ..] => Ok(progress(2, BodyState::ChunkSize)),
        [] | [b'\r'] => Ok(progress(0, BodyState::ChunkEnd)),
        _ => Err(HttpError::Malformed("chunk longer than its size")),
    }
}

/// Passes over one line of the trailers: none of them means anything to this system.
fn skip_trailer(read_bytes: usize, input: &[u8]) -> Result<BodyProgress, HttpError> {
    let window = &input[..input.len().min(MAX_HEAD_BYTES - read_bytes)];
    match window.iter().position(|byte| *byte == b'\n') {
        Some(0) => Ok(progress(1, BodyState::Complete)),
        Some(1) if window[0] == b'\r' => Ok(progress(2, BodyState::Complete)),
        Some(line_end) => {
            let consumed = line_end + 1;
            Ok(progress(
                consumed,
                BodyState::Trailers(read_bytes + consumed),
            ))
        }
        None if read_bytes + window.len() >= MAX_HEAD_BYTES => Err(HttpError::HeadTooLarge),
        None => Ok(progress(0, BodyState::Trailers(read_bytes))),
    }
}
