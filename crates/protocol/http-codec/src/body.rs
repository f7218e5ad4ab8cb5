//! Decodes bodies that are delimited by a length, by chunks, or by the end of the connection.

use httparse::Status;

use crate::{HttpError, MAX_HEAD_BYTES};

/// Maximum length of the line with a chunk's size, in bytes. An error text repeats the number.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// The part of a body that is decoded next (RFC 9112, sections 6 and 7.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyState {
    /// The rest of a body with a known length, in bytes.
    Length(usize),
    /// The line with a chunk's size.
    ChunkSize,
    /// The rest of a chunk's data, in bytes.
    ChunkData(usize),
    /// The line ending after a chunk's data.
    ChunkEnd,
    /// The trailers, of which this many bytes have been decoded.
    Trailers(usize),
    /// All bytes until the connection is closed.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// The result of one decoding step.
pub(crate) struct BodyProgress {
    /// Number of input bytes that were decoded.
    pub(crate) consumed: usize,
    /// The next state. If it is unchanged and no byte was consumed, more input is needed.
    pub(crate) next: BodyState,
}

fn progress(consumed: usize, next: BodyState) -> BodyProgress {
    BodyProgress { consumed, next }
}

impl BodyState {
    /// Decodes one part of a body from `input` and appends its data to `body`, whose maximum size
    /// is `max_body_bytes`.
    pub(crate) fn decode(
        self,
        input: &[u8],
        body: &mut Vec<u8>,
        max_body_bytes: usize,
    ) -> Result<BodyProgress, HttpError> {
        match self {
            BodyState::Length(remaining) => Ok(decode_length(remaining, input, body)),
            BodyState::ChunkSize => decode_chunk_size(input, body.len(), max_body_bytes),
            BodyState::ChunkData(remaining) => Ok(decode_chunk_data(remaining, input, body)),
            BodyState::ChunkEnd => decode_chunk_end(input),
            BodyState::Trailers(trailer_bytes) => skip_trailer(trailer_bytes, input),
            BodyState::UntilClose => decode_until_close(input, body, max_body_bytes),
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
    max_body_bytes: usize,
) -> Result<BodyProgress, HttpError> {
    if body.len() + input.len() > max_body_bytes {
        return Err(HttpError::BodyTooLarge(max_body_bytes));
    }
    body.extend_from_slice(input);
    Ok(progress(input.len(), BodyState::UntilClose))
}

fn decode_chunk_size(
    input: &[u8],
    body_bytes: usize,
    max_body_bytes: usize,
) -> Result<BodyProgress, HttpError> {
    let line = &input[..input.len().min(MAX_CHUNK_LINE_BYTES)];
    // `httparse` parses a line without a digit as a size of 0.
    if line.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed("invalid chunk size"));
    }
    match httparse::parse_chunk_size(line) {
        Ok(Status::Complete((consumed, 0))) => Ok(progress(consumed, BodyState::Trailers(0))),
        Ok(Status::Complete((consumed, size))) => {
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            if size > max_body_bytes.saturating_sub(body_bytes) {
                return Err(HttpError::BodyTooLarge(max_body_bytes));
            }
            Ok(progress(consumed, BodyState::ChunkData(size)))
        }
        Ok(Status::Partial) if input.len() >= MAX_CHUNK_LINE_BYTES => Err(HttpError::Malformed(
            "no end of the chunk size line within 1024 bytes",
        )),
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
        _ => Err(HttpError::Malformed(
            "chunk data longer than the chunk size",
        )),
    }
}

/// Skips one line of the trailers, which this system doesn't use.
fn skip_trailer(trailer_bytes: usize, input: &[u8]) -> Result<BodyProgress, HttpError> {
    let window = &input[..input.len().min(MAX_HEAD_BYTES - trailer_bytes)];
    match window.iter().position(|byte| *byte == b'\n') {
        Some(0) => Ok(progress(1, BodyState::Complete)),
        Some(1) if window[0] == b'\r' => Ok(progress(2, BodyState::Complete)),
        Some(line_end) => {
            let consumed = line_end + 1;
            Ok(progress(
                consumed,
                BodyState::Trailers(trailer_bytes + consumed),
            ))
        }
        None if trailer_bytes + window.len() >= MAX_HEAD_BYTES => Err(HttpError::HeadTooLarge),
        None => Ok(progress(0, BodyState::Trailers(trailer_bytes))),
    }
}
