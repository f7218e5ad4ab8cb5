//! Framing of `PostgreSQL`'s version 3: a type, a length that counts itself, a body.

use crate::Close;
use crate::ring::Ring;

/// Values hold 64 KiB by the pages, and several times that were seen in answers; in an INSERT each byte is two.
/// What many of them may take at once is bounded by [`crate::Memory`].
pub const LONGEST: usize = 1 << 20;

/// Takes the next whole message: its type and body, or none while bytes are missing.
pub fn next(ring: &mut Ring) -> Result<Option<(u8, Vec<u8>)>, Close> {
    let Some((kind, length)) = whole(ring)? else {
        return Ok(None);
    };
    ring.skip(5);
    Ok(Some((kind, ring.take(length - 5))))
}

/// The type of the next message and how many bytes it takes in all, once it is whole.
pub fn whole(ring: &mut Ring) -> Result<Option<(u8, usize)>, Close> {
    if ring.len() < 5 {
        return Ok(None);
    }
    let mut head = [0; 5];
    ring.copy(0, &mut head);
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if length < 4 || length >= ring.most() {
        return Err(Close::Malformed("a message's length can't be right"));
    }
    if ring.len() < 1 + length {
        ring.want(1 + length);
        return Ok(None);
    }
    Ok(Some((head[0], 1 + length)))
}

/// Appends a message whose body is made of these parts.
pub fn put(ring: &mut Ring, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    ring.push(&[kind]);
    ring.push(&((length + 4) as u32).to_be_bytes());
    parts.iter().for_each(|part| ring.push(part));
}

pub fn put_status(ring: &mut Ring, name: &str, value: &str) {
    put(ring, b'S', &[name.as_bytes(), &[0], value.as_bytes(), &[0]]);
}

/// An `ErrorResponse`; `detail` may be empty.
pub fn put_error(ring: &mut Ring, severity: &str, code: &str, text: &str, detail: &str) {
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

/// The strings of a body in which each ends with a zero byte, and nothing else follows.
pub fn strings(body: &[u8]) -> Result<Vec<&str>, Close> {
    let Some(body) = body.strip_suffix(&[0]) else {
        return Err(Close::Malformed("a text in a message has no end"));
    };
    let texts = body.split(|b| *b == 0).map(std::str::from_utf8);
    texts
        .collect::<Result<_, _>>()
        .map_err(|_| Close::Malformed("a text in a message is not UTF-8"))
}

/// The code of an `ErrorResponse`.
pub fn error_code(body: &[u8]) -> Result<[u8; 5], Close> {
    let mut fields = body.split(|b| *b == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    code.and_then(|c| c.try_into().ok())
        .ok_or(Close::Malformed("an error without a code"))
}

/// How many columns a `RowDescription` or `DataRow` has.
pub fn columns(body: &[u8]) -> Result<u16, Close> {
    let count = body
        .get(..2)
        .ok_or(Close::Malformed("a row is cut short"))?;
    Ok(u16::from_be_bytes([count[0], count[1]]))
}

/// The value of a `DataRow` of one column; null has none.
pub fn only_value(body: &[u8]) -> Result<Option<&[u8]>, Close> {
    if columns(body)? != 1 {
        return Err(Close::Malformed("a row has not one column"));
    }
    let length = body
        .get(2..6)
        .ok_or(Close::Malformed("a row is cut short"))?;
    let length = i32::from_be_bytes([length[0], length[1], length[2], length[3]]);
    match usize::try_from(length) {
        Err(_) if length == -1 && body.len() == 6 => Ok(None),
        Ok(length) if body.len() == 6 + length => Ok(Some(&body[6..])),
        _ => Err(Close::Malformed("a value's length can't be right")),
    }
}
