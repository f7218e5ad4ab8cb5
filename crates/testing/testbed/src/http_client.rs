//! A minimal HTTP/1.1 client for database servers, operators and tests. It opens a connection for
//! each request, keeps no state and never retries; callers retry.

use async_io::Async;
use badgerstream_http_codec::{Response, ResponseDecoder, encode_request};
use badgerstream_pooler::net::with_timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Maximum number of redirects that are followed; the response after them is returned unchanged.
const MAX_REDIRECTS: usize = 2;

/// A request; its `Host` header is the address that it is sent to.
#[derive(Debug, Clone, Copy)]
pub struct HttpRequest<'a> {
    /// The method, e.g. `GET`.
    pub method: &'a str,
    /// The path, with its leading slash.
    pub path: &'a str,
    /// Additional headers: name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty if there is none.
    pub body: &'a [u8],
}

impl<'a> HttpRequest<'a> {
    /// Returns a `GET` request without additional headers.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            headers: &[],
            body: b"",
        }
    }

    /// Returns a `POST` request with this body, without additional headers.
    pub fn post(path: &'a str, body: &'a [u8]) -> Self {
        Self {
            method: "POST",
            path,
            headers: &[],
            body,
        }
    }
}

/// Sends a request on a new connection and waits for the response. `timeout_s` covers connecting,
/// sending and receiving.
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

/// Like [`send`], but follows up to `MAX_REDIRECTS` redirects with status 307; `timeout_s` applies
/// to each request separately.
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

/// Returns the address that a response with status 307 redirects to. The path of the `Location` is
/// ignored: it is the path of the request.
fn redirect_target(response: &Response) -> Option<SocketAddr> {
    if response.status != 307 {
        return None;
    }
    let location = response.header("Location")?.strip_prefix("http://")?;
    location.split('/').next()?.parse().ok()
}
