//! Interprets the headers of a message that describe its body and its connection.

use crate::HttpError;
use crate::body::BodyState;

/// Names and values of headers, in the order and the case in which they were sent.
pub(crate) type Headers = Vec<(String, String)>;

/// The HTTP/1.x minor version of HTTP/1.0.
const HTTP_1_0: u8 = 0;

/// Converts the headers to text; invalid UTF-8 becomes replacement characters.
pub(crate) fn to_text(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        })
        .collect()
}

/// Returns the value of the first header with this name; case is ignored.
pub(crate) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// Returns how the headers delimit the body (RFC 9112, section 6.3); `None` if they don't. Stricter
/// than the RFC: more than one `Content-Length` or `Transfer-Encoding` header is an error, except
/// for equal lengths.
pub(crate) fn body_framing(
    headers: &[(String, String)],
    minor_version: u8,
) -> Result<Option<BodyState>, HttpError> {
    let mut framing = None;
    for (name, value) in headers {
        let declared = if name.eq_ignore_ascii_case("Content-Length") {
            parse_content_length(value)?
        } else if name.eq_ignore_ascii_case("Transfer-Encoding") {
            parse_transfer_encoding(value, minor_version)?
        } else {
            continue;
        };
        if framing.is_some_and(|earlier| earlier != declared)
            || (framing.is_some() && declared == BodyState::ChunkSize)
        {
            return Err(HttpError::Malformed(
                "conflicting or repeated Content-Length or Transfer-Encoding headers",
            ));
        }
        framing = Some(declared);
    }
    Ok(framing)
}

fn parse_content_length(value: &str) -> Result<BodyState, HttpError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed("invalid Content-Length"));
    }
    // A length that overflows exceeds every limit.
    Ok(BodyState::Length(value.parse().unwrap_or(usize::MAX)))
}

fn parse_transfer_encoding(value: &str, minor_version: u8) -> Result<BodyState, HttpError> {
    if minor_version == HTTP_1_0 || !value.eq_ignore_ascii_case("chunked") {
        return Err(HttpError::Malformed("unsupported Transfer-Encoding"));
    }
    Ok(BodyState::ChunkSize)
}

/// Returns whether the connection stays open after the message (RFC 9112, section 9.3).
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
