//! Encodes requests and responses.

/// Space reserved for a message's head, in bytes, so that most messages need only one allocation.
const HEAD_CAPACITY_BYTES: usize = 128;

/// Encodes a response. It always has `Content-Length`. It has `Content-Type: application/json` if
/// there is a body and `headers` doesn't give its type, and `Connection: close` unless
/// `keep_alive`.
pub fn encode_response(
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    keep_alive: bool,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_CAPACITY_BYTES + body.len());
    let status_line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    out.extend_from_slice(status_line.as_bytes());
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    encode_headers(&mut out, headers, !body.is_empty());
    encode_content_length(&mut out, body);
    encode_body(&mut out, body);
    out
}

/// Encodes a request to `host` (for example `10.0.0.4:8080`). It has `Content-Length` unless it is
/// a `GET` without a body, and `Content-Type: application/json` if there is a body and `headers`
/// doesn't give its type.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_CAPACITY_BYTES + body.len());
    out.extend(without_whitespace_and_controls(method));
    out.push(b' ');
    out.extend(without_whitespace_and_controls(path));
    out.extend_from_slice(b" HTTP/1.1\r\nHost: ");
    out.extend(without_whitespace_and_controls(host));
    out.extend_from_slice(b"\r\n");
    encode_headers(&mut out, headers, !body.is_empty());
    if !body.is_empty() || method != "GET" {
        encode_content_length(&mut out, body);
    }
    encode_body(&mut out, body);
    out
}

fn encode_headers(out: &mut Vec<u8>, headers: &[(&str, &str)], has_body: bool) {
    for (name, value) in headers {
        out.extend(without_whitespace_and_controls(name));
        out.extend_from_slice(b": ");
        out.extend(without_controls(value));
        out.extend_from_slice(b"\r\n");
    }
    let has_content_type = headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("Content-Type"));
    if has_body && !has_content_type {
        out.extend_from_slice(b"Content-Type: application/json\r\n");
    }
}

fn encode_content_length(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
}

fn encode_body(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Returns the bytes of a field that ends at whitespace, without whitespace and control characters:
/// names from outside the process must not be able to add a field or a line.
fn without_whitespace_and_controls(text: &str) -> impl Iterator<Item = u8> + '_ {
    text.bytes()
        .filter(|byte| byte.is_ascii_graphic() || *byte >= 0x80)
}

/// Returns the bytes of a header value without control characters, which could end the line.
fn without_controls(text: &str) -> impl Iterator<Item = u8> + '_ {
    text.bytes().filter(|byte| !byte.is_ascii_control())
}

/// Returns the reason phrase of a status code (RFC 9110, section 15; 429 and 431: RFC 6585).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
