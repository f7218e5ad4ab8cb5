//! Messages of the `PostgreSQL` protocol, version 3: a type byte, a length that includes itself, and a body.

use crate::Close;
use crate::ring_buffer::RingBuffer;

/// Maximum size of a message, in bytes. Values are documented to have up to 64 KiB, but answers with several times as
/// much have occurred, and each byte of a value takes two in an INSERT. The memory for many large messages at once is
/// limited by [`crate::MemoryBudget`].
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Takes the type and body of the next message, or returns `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the length of the message is invalid.
pub fn next(ring: &mut RingBuffer) -> Result<Option<(u8, Vec<u8>)>, Close> {
    let Some((kind, length)) = peek(ring)? else {
        return Ok(None);
    };
    ring.skip(5);
    Ok(Some((kind, ring.take(length - 5))))
}

/// Returns the type of the next message and its total size in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the length of the message is invalid.
pub fn peek(ring: &mut RingBuffer) -> Result<Option<(u8, usize)>, Close> {
    if ring.len() < 5 {
        return Ok(None);
    }
    let mut head = [0; 5];
    ring.copy(0, &mut head);
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length < 4 || length >= ring.max_len() {
        return Err(Close::Malformed(
            "the length of a message is below 4 or above the limit of its buffer",
        ));
    }
    if ring.len() < 1 + length {
        ring.expect_len(1 + length);
        return Ok(None);
    }
    Ok(Some((head[0], 1 + length)))
}

/// Appends a message whose body is the concatenation of `parts`.
pub fn put(ring: &mut RingBuffer, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    ring.push(&[kind]);
    ring.push(&((length + 4) as u32).to_be_bytes());
    parts.iter().for_each(|part| ring.push(part));
}

/// Appends a `ParameterStatus`.
pub fn put_status(ring: &mut RingBuffer, name: &str, value: &str) {
    put(ring, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
}

/// Appends an `ErrorResponse`; an empty `detail` is left out.
pub fn put_error(ring: &mut RingBuffer, severity: &str, code: &str, text: &str, detail: &str) {
    let mut body = Vec::new();
    for (field, value) in [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', text),
        (b'D', detail),
    ] {
        if !value.is_empty() {
            body.push(field);
            body.extend(value.bytes().filter(|b| *b != 0));
            body.push(0);
        }
    }
    put(ring, b'E', &[&body, &[0]]);
}

/// Returns the strings of a body that consists of strings terminated by zero bytes.
///
/// # Errors
///
/// Fails if the last string is not terminated or the body is not UTF-8.
pub fn strings(body: &[u8]) -> Result<Vec<&str>, Close> {
    let Some(body) = body.strip_suffix(&[0]) else {
        return Err(Close::Malformed("a string in a message is not terminated"));
    };
    let texts = body.split(|b| *b == 0).map(std::str::from_utf8);
    texts
        .collect::<Result<_, _>>()
        .map_err(|_| Close::Malformed("a string in a message is not valid UTF-8"))
}

/// Returns the SQLSTATE of an `ErrorResponse`.
///
/// # Errors
///
/// Fails if the body has no code of five bytes.
pub fn error_code(body: &[u8]) -> Result<[u8; 5], Close> {
    let mut fields = body.split(|b| *b == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    code.and_then(|c| c.try_into().ok())
        .ok_or(Close::Malformed("an error message has no SQLSTATE"))
}

/// Returns the number of columns of a `RowDescription` or `DataRow`.
///
/// # Errors
///
/// Fails if the body is too short.
pub fn columns(body: &[u8]) -> Result<u16, Close> {
    let count = body
        .get(..2)
        .ok_or(Close::Malformed("a row is truncated"))?;
    Ok(u16::from_be_bytes([count[0], count[1]]))
}

/// Returns the value of a `DataRow` of one column, or `None` for null.
///
/// # Errors
///
/// Fails if the row does not have exactly one column, or the length of its value does not match the body.
pub fn only_value(body: &[u8]) -> Result<Option<&[u8]>, Close> {
    if columns(body)? != 1 {
        return Err(Close::Malformed("a row does not have exactly one column"));
    }
    let length = body
        .get(2..6)
        .ok_or(Close::Malformed("a row is truncated"))?;
    let length = i32::from_be_bytes([length[0], length[1], length[2], length[3]]);
    match usize::try_from(length) {
        Err(_) if length == -1 && body.len() == 6 => Ok(None),
        Ok(length) if body.len() == 6 + length => Ok(Some(&body[6..])),
        _ => Err(Close::Malformed(
            "the length of a value does not match its row",
        )),
    }
}
