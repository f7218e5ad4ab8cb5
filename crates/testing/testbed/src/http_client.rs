//! A minimal HTTP/1.1 client: one request on one connection, as database servers, operators and
//! tests send them. It keeps no state and never retries; callers do.

use async_io::Async;
use badgerstream_http_codec::{Response, ResponseDecoder, encode_request};
use badgerstream_pooler::net::with_timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// The longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// How many redirects are followed before the last response is returned as it is.
const MAX_REDIRECTS: usize = 2;

/// What is sent; the `Host` header is that of the address called.
#[derive(Debug, Clone, Copy)]
pub struct HttpRequest<'a> {
    /// The method, `GET` say.
    pub method: &'a str,
    /// The path with its leading slash.
    pub path: &'a str,
    /// Further headers, by name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty for none.
    pub body: &'a [u8],
}

impl<'a> HttpRequest<'a> {
    /// A `GET` without further headers.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            headers: &[],
            body: b"",
        }
    }

    /// A `POST` of this body without further headers.
    pub fn post(path: &'a str, body: &'a [u8]) -> Self {
        Self {
            method: "POST",
            path,
            headers: &[],
            body,
        }
    }
}

/// Sends a request on a connection of its own and waits for the response, `timeout_s` seconds for
/// all of it.
pub async fn send(to: SocketAddr, timeout_s: f64, request: &HttpRequest<'_>) -> Result<Response> {
    with_timeout(timeout_s, async {
        let mut stream = Async::<TcpStream>::connect(to).await?;
        let encoded = encode_request(
            request.method,
            request.path,
            &to.to_string(),
            request.headers,
            request.body,
        );
        stream.write_all(&encoded).await?;
        read_response(&mut stream).await
    })
    .await
}

async fn read_response(stream: &mut Async<TcpStream>) -> Result<Response> {
    let mut responses = ResponseDecoder::new(MAX_RESPONSE_BYTES);
    let mut bytes = vec![0; 4096];
    let invalid = |e| Error::new(ErrorKind::InvalidData, format!("{e}"));
    loop {
        if let Some(response) = responses.next_response().map_err(invalid)? {
            return Ok(response);
        }
        match stream.read(&mut bytes).await? {
            0 => {
                return responses
                    .finish()
                    .map_err(invalid)?
                    .ok_or(ErrorKind::UnexpectedEof.into());
            }
            count => responses.feed(&bytes[..count]),
        }
    }
}

/// Like [`send`], but follows a 307 twice; `timeout_s` counts for each request by itself.
pub async fn send_following_redirects(
    mut to: SocketAddr,
    timeout_s: f64,
    request: &HttpRequest<'_>,
) -> Result<Response> {
    for _ in 0..MAX_REDIRECTS {
        let response = send(to, timeout_s, request).await?;
        match redirect_target(&response) {
            Some(target) => to = target,
            None => return Ok(response),
        }
    }
    send(to, timeout_s, request).await
}

/// The address that a 307 leads to. Its path is that of the request already.
fn redirect_target(response: &Response) -> Option<SocketAddr> {
    if response.status != 307 {
        return None;
    }
    let location = response.header("Location")?.strip_prefix("http://")?;
    location.split('/').next()?.parse().ok()
}
