//! Discovery's watch: an HTTP answer in chunks that stays open and holds one list of nodes a line.

use crate::Close;
use crate::ring::Ring;
use badgerstream_routing::NodeStatus;
use serde_json::Value;
use std::net::SocketAddr;

/// A list of a thousand nodes takes some 160 KiB.
const LONGEST_LINE: usize = 1 << 22;
const LONGEST_HEAD: usize = 1 << 14;

/// The request that opens a watch for what changes after `seq`.
pub fn request(host: SocketAddr, seq: u64) -> String {
    format!(
        "GET /v1/servers?stream=1&index={seq} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    Head,
    /// The line that tells a chunk's length.
    Length,
    /// So many bytes are left of a chunk, or of a body whose end is the connection's.
    Body(u64),
    /// The line end behind a chunk.
    Behind,
    Over,
}

pub struct Watch {
    part: Part,
    chunked: bool,
    line: Vec<u8>,
}

impl Default for Watch {
    fn default() -> Watch {
        Watch {
            part: Part::Head,
            chunked: false,
            line: Vec::new(),
        }
    }
}

impl Watch {
    /// The next whole line, empty if nothing has changed; none while bytes are missing.
    pub fn next(&mut self, input: &mut Ring) -> Result<Option<Vec<u8>>, Close> {
        loop {
            match self.part {
                Part::Head => {
                    if !self.head(input)? {
                        return Ok(None);
                    }
                }
                Part::Length => {
                    if !self.length(input)? {
                        return Ok(None);
                    }
                }
                Part::Behind => {
                    if input.len() < 2 {
                        return Ok(None);
                    }
                    if input.take(2) != b"\r\n" {
                        return Err(Close::Malformed(
                            "a chunk of discovery's answer does not end",
                        ));
                    }
                    self.part = Part::Length;
                }
                Part::Body(0) => {
                    self.part = if self.chunked {
                        Part::Behind
                    } else {
                        Part::Over
                    }
                }
                Part::Body(left) => {
                    let front = input.front();
                    if front.is_empty() {
                        return Ok(None);
                    }
                    let within = front.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let end = front[..within].iter().position(|b| *b == b'\n');
                    let count = end.map_or(within, |at| at + 1);
                    self.line.extend(&front[..count]);
                    input.skip(count);
                    self.part = Part::Body(left - count as u64);
                    if self.line.len() > LONGEST_LINE {
                        return Err(Close::Malformed("a line of discovery's answer is too long"));
                    }
                    if end.is_some() {
                        return Ok(Some(std::mem::take(&mut self.line)));
                    }
                }
                Part::Over => return Err(Close::Left),
            }
        }
    }

    fn head(&mut self, input: &mut Ring) -> Result<bool, Close> {
        let mut bytes = vec![0; input.len().min(LONGEST_HEAD)];
        input.copy(0, &mut bytes);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer
            .parse(&bytes)
            .map_err(|_| Close::Malformed("discovery's answer is no HTTP"))?;
        let httparse::Status::Complete(length) = parsed else {
            let too_long = bytes.len() == LONGEST_HEAD;
            return if too_long {
                Err(Close::Malformed("discovery's answer has no body"))
            } else {
                Ok(false)
            };
        };
        if answer.code != Some(200) {
            return Err(Close::Malformed("discovery answers with an error"));
        }
        let named = |name: &str| {
            answer
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))
        };
        self.chunked =
            named("transfer-encoding").is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked"));
        let length_told =
            named("content-length").map(|h| std::str::from_utf8(h.value).ok()?.parse().ok());
        self.part = match length_told {
            _ if self.chunked => Part::Length,
            Some(told) => {
                Part::Body(told.ok_or(Close::Malformed("discovery's answer has no length"))?)
            }
            None => Part::Body(u64::MAX),
        };
        input.skip(length);
        Ok(true)
    }

    fn length(&mut self, input: &mut Ring) -> Result<bool, Close> {
        let mut bytes = [0; 128];
        let count = input.len().min(bytes.len());
        input.copy(0, &mut bytes[..count]);
        let wrong = Close::Malformed("a chunk of discovery's answer has no length");
        match httparse::parse_chunk_size(&bytes[..count]).map_err(|_| wrong)? {
            httparse::Status::Complete((read, size)) => {
                input.skip(read);
                self.part = if size == 0 {
                    Part::Over
                } else {
                    Part::Body(size)
                };
                Ok(true)
            }
            httparse::Status::Partial if count == bytes.len() => Err(wrong),
            httparse::Status::Partial => Ok(false),
        }
    }
}

/// Reads a list: its version, and whether it is whole. Each of its nodes goes to `host` as name, address,
/// zone, group, standing, start (seconds of Unix time) and whether it is listed as a primary. Nothing is told
/// of a list that can't be read to its end: half a list would make nodes vanish.
pub fn list(
    told: &Value,
    mut host: impl FnMut(&str, SocketAddr, &str, u16, NodeStatus, f64, bool),
) -> Result<(u64, bool), Close> {
    let wrong = Close::Malformed("a list of nodes can't be read");
    let seq = told["seq"].as_u64().ok_or(wrong)?;
    let whole = told["whole"].as_bool().ok_or(wrong)?;
    let hosts = told["hosts"].as_array().ok_or(wrong)?;
    let read: Option<Vec<_>> = hosts.iter().map(entry).collect();
    for (name, dial, zone, group, standing, since, leads) in read.ok_or(wrong)? {
        host(name, dial, zone, group, standing, since, leads);
    }
    Ok((seq, whole))
}

#[allow(clippy::type_complexity)]
fn entry(host: &Value) -> Option<(&str, SocketAddr, &str, u16, NodeStatus, f64, bool)> {
    let standing = match host["health"].as_str()? {
        "in_service" => NodeStatus::Ready,
        "terminating" => NodeStatus::Draining,
        "terminated" => NodeStatus::Gone,
        _ => return None,
    };
    let group = u16::try_from(host["block"].as_u64()?).ok()?;
    let born = host["born_ms"].as_f64().filter(|ms| *ms >= 0.0)? / 1e3;
    let leads = host.get("rank").and_then(Value::as_str) == Some("source");
    let dial = host["dial"].as_str()?.parse().ok()?;
    Some((
        host["host"].as_str()?,
        dial,
        host["site"].as_str()?,
        group,
        standing,
        born,
        leads,
    ))
}
