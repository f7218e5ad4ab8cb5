//! One HTTP call at a time, as the databases and the operator make them.

use async_io::Async;
use badgerstream_http_codec::{Response, ResponseDecoder, encode_request};
use badgerstream_pooler::net::with_timeout;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// The most bytes of an answer.
const ANSWER_BYTES: usize = 4 << 20;

/// A call to one address, on a connection of its own.
pub async fn send(
    to: SocketAddr,
    seconds: f64,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response> {
    with_timeout(seconds, async {
        let mut stream = Async::<TcpStream>::connect(to).await?;
        stream
            .write_all(&encode_request(
                method,
                path,
                &to.to_string(),
                headers,
                body,
            ))
            .await?;
        let mut responses = ResponseDecoder::new(ANSWER_BYTES);
        let mut bytes = vec![0; 4096];
        let wrong = |e| Error::new(ErrorKind::InvalidData, format!("{e}"));
        loop {
            if let Some(response) = responses.next_response().map_err(wrong)? {
                return Ok(response);
            }
            match stream.read(&mut bytes).await? {
                0 => {
                    return responses
                        .finish()
                        .map_err(wrong)?
                        .ok_or(ErrorKind::UnexpectedEof.into());
                }
                count => responses.feed(&bytes[..count]),
            }
        }
    })
    .await
}

/// Such a call, which follows a 307 twice.
pub async fn send_following_redirects(
    mut to: SocketAddr,
    seconds: f64,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response> {
    for _ in 0..2 {
        let response = send(to, seconds, method, path, headers, body).await?;
        let elsewhere = response
            .header("Location")
            .filter(|_| response.status == 307)
            .and_then(|location| {
                let rest = location.strip_prefix("http://")?;
                rest.split('/').next()?.parse().ok()
            });
        match elsewhere {
            Some(next) => to = next,
            None => return Ok(response),
        }
    }
    send(to, seconds, method, path, headers, body).await
}
