//! What the headers of a message say of its body and its connection.

use crate::HttpError;
use crate::body::BodyState;

/// Names as sent and values, in their order.
pub(crate) type Headers = Vec<(String, String)>;

/// The HTTP/1.x minor version of HTTP/1.0.
const HTTP_1_0: u8 = 0;

/// The headers as text; bytes that aren't UTF-8 become replacement characters.
pub(crate) fn to_text(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        })
        .collect()
}

/// The value of the first header of this name; names are case-insensitive.
pub(crate) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// How the end of the body is known by the headers (RFC 9112, section 6.3); `None` if they say
/// nothing. Stricter than the RFC: any two statements are an error, but for equal lengths.
pub(crate) fn body_framing(
    headers: &[(String, String)],
    minor_version: u8,
) -> Result<Option<BodyState>, HttpError> {
    let mut framing = None;
    for (name, value) in headers {
        let stated = if name.eq_ignore_ascii_case("Content-Length") {
            content_length(value)?
        } else if name.eq_ignore_ascii_case("Transfer-Encoding") {
            transfer_encoding(value, minor_version)?
        } else {
            continue;
        };
        if framing.is_some_and(|before| before != stated)
            || (framing.is_some() && stated == BodyState::ChunkSize)
        {
            return Err(HttpError::Malformed("length of the body told in two ways"));
        }
        framing = Some(stated);
    }
    Ok(framing)
}

fn content_length(value: &str) -> Result<BodyState, HttpError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed("invalid Content-Length"));
    }
    // More digits than a number holds are a length beyond every limit.
    Ok(BodyState::Length(value.parse().unwrap_or(usize::MAX)))
}

fn transfer_encoding(value: &str, minor_version: u8) -> Result<BodyState, HttpError> {
    if minor_version == HTTP_1_0 || !value.eq_ignore_ascii_case("chunked") {
        return Err(HttpError::Malformed("unknown Transfer-Encoding"));
    }
    Ok(BodyState::ChunkSize)
}

/// Whether the connection persists after the message (RFC 9112, section 9.3).
pub(crate) fn keep_alive(headers: &[(String, String)], minor_version: u8) -> bool {
    let has_connection_option = |option: &str| {
        headers.iter().any(|(name, value)| {
            name.eq_ignore_ascii_case("Connection")
                && value
                    .split(',')
                    .any(|part| part.trim().eq_ignore_ascii_case(option))
        })
    };
    if minor_version == HTTP_1_0 {
        has_connection_option("keep-alive") && !has_connection_option("close")
    } else {
        !has_connection_option("close")
    }
}
