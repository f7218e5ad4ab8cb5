//! Parses a discovery watch: an HTTP response that stays open, with one list of nodes per line.

use crate::Close;
use crate::ring_buffer::RingBuffer;
use badgerstream_routing::NodeStatus;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum size of a line in bytes; a list of 1000 nodes takes about 160 KiB.
const MAX_LINE_BYTES: usize = 1 << 22;
/// Maximum size of the response's head, in bytes.
const MAX_HEAD_BYTES: usize = 1 << 14;

/// Returns the HTTP request for a watch of the changes after list version `seq`.
pub fn request(host: SocketAddr, seq: u64) -> String {
    format!(
        "GET /v1/servers?stream=1&index={seq} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ParseState {
    Head,
    /// The line with the length of a chunk.
    ChunkLength,
    /// Number of bytes left of a chunk, or of a body without chunks.
    Body(u64),
    /// The end of line after a chunk.
    ChunkEnd,
    End,
}

/// Parser of a watch's response.
pub struct Watch {
    state: ParseState,
    chunked: bool,
    line: Vec<u8>,
}

impl Default for Watch {
    fn default() -> Watch {
        Watch {
            state: ParseState::Head,
            chunked: false,
            line: Vec::new(),
        }
    }
}

impl Watch {
    /// Returns the next complete line, which is empty if nothing has changed, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the response has ended, is invalid, is no success, or has a line longer than 4 MiB.
    pub fn next(&mut self, input: &mut RingBuffer) -> Result<Option<Vec<u8>>, Close> {
        loop {
            match self.state {
                ParseState::Head => {
                    if !self.head(input)? {
                        return Ok(None);
                    }
                }
                ParseState::ChunkLength => {
                    if !self.length(input)? {
                        return Ok(None);
                    }
                }
                ParseState::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(None);
                    }
                    if input.take(2) != b"\r\n" {
                        return Err(Close::Malformed(
                            "a chunk of discovery's response does not end with a line end",
                        ));
                    }
                    self.state = ParseState::ChunkLength;
                }
                ParseState::Body(0) => {
                    self.state = if self.chunked {
                        ParseState::ChunkEnd
                    } else {
                        ParseState::End
                    }
                }
                ParseState::Body(left) => {
                    let front = input.front();
                    if front.is_empty() {
                        return Ok(None);
                    }
                    let within = front.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let end = front[..within].iter().position(|b| *b == b'\n');
                    let count = end.map_or(within, |at| at + 1);
                    self.line.extend(&front[..count]);
                    input.skip(count);
                    self.state = ParseState::Body(left - count as u64);
                    if self.line.len() > MAX_LINE_BYTES {
                        return Err(Close::Malformed(
                            "a line of discovery's response is longer than 4 MiB",
                        ));
                    }
                    if end.is_some() {
                        return Ok(Some(std::mem::take(&mut self.line)));
                    }
                }
                ParseState::End => return Err(Close::PeerClosed),
            }
        }
    }

    fn head(&mut self, input: &mut RingBuffer) -> Result<bool, Close> {
        let mut bytes = vec![0; input.len().min(MAX_HEAD_BYTES)];
        input.copy(0, &mut bytes);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer
            .parse(&bytes)
            .map_err(|_| Close::Malformed("discovery's response is not valid HTTP"))?;
        let httparse::Status::Complete(length) = parsed else {
            let too_long = bytes.len() == MAX_HEAD_BYTES;
            return if too_long {
                Err(Close::Malformed(
                    "the head of discovery's response is longer than 16 KiB",
                ))
            } else {
                Ok(false)
            };
        };
        if answer.code != Some(200) {
            return Err(Close::Malformed(
                "discovery's response does not have status 200",
            ));
        }
        let header = |name: &str| {
            answer
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
        };
        self.chunked =
            header("transfer-encoding").is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked"));
        let content_length =
            header("content-length").map(|h| std::str::from_utf8(h.value).ok()?.parse().ok());
        self.state = match content_length {
            _ if self.chunked => ParseState::ChunkLength,
            Some(length) => ParseState::Body(length.ok_or(Close::Malformed(
                "discovery's response has an invalid Content-Length",
            ))?),
            None => ParseState::Body(u64::MAX),
        };
        input.skip(length);
        Ok(true)
    }

    fn length(&mut self, input: &mut RingBuffer) -> Result<bool, Close> {
        let mut bytes = [0; 128];
        let count = input.len().min(bytes.len());
        input.copy(0, &mut bytes[..count]);
        let malformed = Close::Malformed("a chunk of discovery's response has an invalid length");
        match httparse::parse_chunk_size(&bytes[..count]).map_err(|_| malformed)? {
            httparse::Status::Complete((read, size)) => {
                input.skip(read);
                self.state = if size == 0 {
                    ParseState::End
                } else {
                    ParseState::Body(size)
                };
                Ok(true)
            }
            httparse::Status::Partial if count == bytes.len() => Err(malformed),
            httparse::Status::Partial => Ok(false),
        }
    }
}

/// Parses a list of nodes and returns its version and whether it is complete. Calls `host` for each node with name,
/// address, zone, group, status, start time (seconds of Unix time) and whether it is listed as primary.
///
/// # Errors
///
/// Fails if any part of the list is invalid. `host` is not called in this case, because nodes would disappear with a
/// partial list.
pub fn parse_list(
    list: &Value,
    mut host: impl FnMut(&str, SocketAddr, &str, u16, NodeStatus, f64, bool),
) -> Result<(u64, bool), Close> {
    let malformed = Close::Malformed("a list of nodes has a missing or invalid field");
    let seq = list["seq"].as_u64().ok_or(malformed)?;
    let whole = list["whole"].as_bool().ok_or(malformed)?;
    let hosts = list["hosts"].as_array().ok_or(malformed)?;
    let nodes: Option<Vec<_>> = hosts.iter().map(parse_node).collect();
    for (name, address, zone, group, status, since, leads) in nodes.ok_or(malformed)? {
        host(name, address, zone, group, status, since, leads);
    }
    Ok((seq, whole))
}

#[allow(clippy::type_complexity)]
fn parse_node(host: &Value) -> Option<(&str, SocketAddr, &str, u16, NodeStatus, f64, bool)> {
    let status = match host["health"].as_str()? {
        "in_service" => NodeStatus::Ready,
        "terminating" => NodeStatus::Draining,
        "terminated" => NodeStatus::Gone,
        _ => return None,
    };
    let group = u16::try_from(host["block"].as_u64()?).ok()?;
    let since = host["born_ms"].as_f64().filter(|ms| *ms >= 0.0)? / 1e3;
    let leads = host.get("rank").and_then(Value::as_str) == Some("source");
    let address = host["dial"].as_str()?.parse().ok()?;
    Some((
        host["host"].as_str()?,
        address,
        host["site"].as_str()?,
        group,
        status,
        since,
        leads,
    ))
}
