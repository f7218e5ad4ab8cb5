//! Calls to control machines, one connection a call, each address within a time limit.

use super::{CliError, text};
use badgerstream_control_api::request::{
    ApiRequest, BASE_VERSION_HEADER, ReadConfigRequest, ReplaceConfigRequest,
};
use badgerstream_control_api::status::{ReadStatusRequest, Status};
use badgerstream_http_codec::{Response, ResponseDecoder, encode_request};
use badgerstream_pooler_config::config::Config;
use nanoserde::DeJson;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a try at one address may take, with what it is sent on to.
pub(super) const LIMIT: Duration = Duration::from_secs(3);

/// How many redirects (307) a call follows.
const MAX_REDIRECTS: u32 = 2;

/// The most bytes that an answer may have.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What the error of an answer is carried in, where it isn't plain text.
#[derive(DeJson)]
struct Reason {
    error: String,
}

/// Calls control machines: the next address where one fails, from the one that last answered on.
pub struct Client {
    at: Vec<SocketAddr>,
    limit: Duration,
    /// Whether anybody may have got the last call.
    sent: bool,
}

impl Client {
    /// For these addresses, each with the usual time limit.
    pub fn new(at: &[SocketAddr]) -> Client {
        Client::within(at, LIMIT)
    }

    /// For these addresses, each with this time limit.
    pub fn within(at: &[SocketAddr], limit: Duration) -> Client {
        Client {
            at: at.to_vec(),
            limit,
            sent: false,
        }
    }

    /// The configuration in force, read and as it was sent; none if there is none yet.
    pub fn config(&mut self) -> Result<Option<(Config, Vec<u8>)>, CliError> {
        let (at, answer) =
            self.call(ReadConfigRequest::METHOD, ReadConfigRequest::PATH, &[], b"")?;
        match answer.status {
            404 => Ok(None),
            200 => {
                let config =
                    Config::read(&answer.body).map_err(|e| CliError::Answer(at, e.to_string()))?;
                Ok(Some((config, answer.body)))
            }
            status => Err(CliError::Refused(at, status, why(&answer))),
        }
    }

    /// Puts this configuration in force, on top of version `base`.
    pub fn replace(&mut self, base: u64, body: &[u8]) -> Result<(), CliError> {
        let base_version = base.to_string();
        // That it was taken may be told to nobody: the same bytes are answered 200 again, at any address.
        let sent = self.call(
            ReplaceConfigRequest::METHOD,
            ReplaceConfigRequest::PATH,
            &[(BASE_VERSION_HEADER, &base_version)],
            body,
        );
        match sent {
            Ok((_, answer)) if answer.status == 200 => Ok(()),
            Ok((at, answer)) => Err(CliError::Refused(at, answer.status, why(&answer))),
            Err(CliError::NoAnswer(tries)) if self.sent => Err(CliError::Unsettled(tries, base)),
            Err(e) => Err(e),
        }
    }

    /// How the machine that leads sees the system; where it can't be asked, how another one does.
    pub fn status(&mut self) -> Result<Status, CliError> {
        let (at, answer) =
            self.call(ReadStatusRequest::METHOD, ReadStatusRequest::PATH, &[], b"")?;
        let status = read_status(at, &answer)?;
        if status.leads {
            return Ok(status);
        }
        // The port is the same on all machines.
        let Some(leader) = status
            .leader
            .as_ref()
            .and_then(|l| l.parse::<IpAddr>().ok())
        else {
            return Ok(status);
        };
        let leader = SocketAddr::new(leader, at.port());
        let asked = Client::within(&[leader], self.limit).call(
            ReadStatusRequest::METHOD,
            ReadStatusRequest::PATH,
            &[],
            b"",
        );
        let of_leader = asked.and_then(|(at, answer)| read_status(at, &answer));
        Ok(of_leader
            .ok()
            .filter(|status| status.leads)
            .unwrap_or(status))
    }

    /// The first answer that settles the call, and whose it is.
    fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(SocketAddr, Response), CliError> {
        let mut tries: Vec<String> = Vec::new();
        self.sent = false;
        for place in 0..self.at.len() {
            let first = self.at[place];
            match self.follow(first, method, path, headers, body) {
                Ok((at, answer)) if settles(answer.status) => {
                    self.at.rotate_left(place);
                    return Ok((at, answer));
                }
                Ok((at, answer)) => tries.push(format!("{at}: {} {}", answer.status, why(&answer))),
                Err(what) => tries.push(what),
            }
        }
        Err(CliError::NoAnswer(tries.join("; ")))
    }

    /// The answer of this address, or of the one that it sends the call on to.
    fn follow(
        &mut self,
        first: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(SocketAddr, Response), String> {
        let until = Instant::now() + self.limit;
        let (mut at, mut path) = (first, path.to_owned());
        for redirects in 0.. {
            let asked = connect(at, until).and_then(|stream| {
                self.sent = true;
                exchange(stream, at, until, method, &path, headers, body)
            });
            let answer = asked.map_err(|e| {
                let what = match e.kind() {
                    // What the socket says when its time runs out.
                    ErrorKind::WouldBlock | ErrorKind::TimedOut => {
                        format!("no answer within {} s", self.limit.as_secs_f64())
                    }
                    ErrorKind::ConnectionRefused => "nobody listens there".to_owned(),
                    _ => text::clean(&e.to_string()),
                };
                format!("{at}: {what}")
            })?;
            if answer.status != 307 {
                return Ok((at, answer));
            }
            if redirects == MAX_REDIRECTS {
                return Err(format!("{first}: sent on more than {MAX_REDIRECTS} times"));
            }
            let location = answer.header("Location").unwrap_or_default();
            let next = target(location, at).ok_or_else(|| {
                format!(
                    "{at}: sent on to {:?}, which is no address",
                    text::clean(location)
                )
            })?;
            (at, path) = next;
        }
        Err(format!("{first}: sent on without end"))
    }
}

/// Whether the answer ends the call; after others another address may fare better.
fn settles(status: u16) -> bool {
    !matches!(status, 408 | 429 | 500..)
}

/// Where a `Location` leads, from this address.
fn target(location: &str, from: SocketAddr) -> Option<(SocketAddr, String)> {
    if location.starts_with('/') {
        return Some((from, location.to_owned()));
    }
    let rest = location.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    Some((
        host.parse().ok()?,
        if path.is_empty() {
            "/".to_owned()
        } else {
            path.to_owned()
        },
    ))
}

/// What an answer says besides its status, in one line.
fn why(answer: &Response) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let reason = match DeJson::deserialize_json(text.trim()) {
        Ok(Reason { error }) if text.starts_with('{') => error,
        _ => text.trim().to_owned(),
    };
    match reason.is_empty() {
        true => "no reason told".to_owned(),
        false => text::clean(&reason).chars().take(300).collect(),
    }
}

fn read_status(at: SocketAddr, answer: &Response) -> Result<Status, CliError> {
    match answer.status {
        200 => Status::parse(&answer.body).map_err(|e| CliError::Answer(at, e.to_string())),
        status => Err(CliError::Refused(at, status, why(answer))),
    }
}

fn remaining(until: Instant) -> std::io::Result<Duration> {
    let remaining = until.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        Err(ErrorKind::TimedOut.into())
    } else {
        Ok(remaining)
    }
}

fn connect(at: SocketAddr, until: Instant) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, remaining(until)?)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// One request on a connection of its own, and its answer.
fn exchange(
    mut stream: TcpStream,
    at: SocketAddr,
    until: Instant,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Response> {
    let mut headers = headers.to_vec();
    headers.push(("Connection", "close"));
    let mut rest = &encode_request(method, path, &at.to_string(), &headers, body)[..];
    let invalid = |e: badgerstream_http_codec::HttpError| {
        std::io::Error::new(ErrorKind::InvalidData, e.to_string())
    };
    let mut answered = ResponseDecoder::new(MAX_ANSWER_BYTES);
    let mut bytes = vec![0; 16 << 10];
    while !rest.is_empty() {
        stream.set_write_timeout(Some(remaining(until)?))?;
        match stream.write(rest) {
            Ok(count) => rest = &rest[count..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // Who refuses a body may have answered before its end: that answer is still to be read.
            Err(e) if matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset) => {
                break;
            }
            Err(e) => return Err(e),
        }
    }
    loop {
        if let Some(answer) = answered.next_response().map_err(invalid)? {
            return Ok(answer);
        }
        stream.set_read_timeout(Some(remaining(until)?))?;
        match stream.read(&mut bytes) {
            Ok(0) => {
                let closed =
                    std::io::Error::new(ErrorKind::UnexpectedEof, "closed without an answer");
                return answered.finish().map_err(invalid)?.ok_or(closed);
            }
            Ok(count) => answered.feed(&bytes[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
