//! Calls to control machines. Each request uses its own connection, and the attempt at each address
//! has a timeout.

use super::error::{AttemptError, CliError, FailedAttempts};
use super::table::without_control_chars;
use badgerstream_control_api::request::{
    ApiRequest, BASE_VERSION_HEADER, ReadConfigRequest, ReplaceConfigRequest,
};
use badgerstream_control_api::status::{ReadStatusRequest, Status};
use badgerstream_http_codec::{HttpError, Response, ResponseDecoder, encode_request};
use badgerstream_pooler_config::config::Config;
use nanoserde::DeJson;
use std::io::{self, ErrorKind, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of the attempt at one address, including redirects.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of redirects (status 307) that an attempt follows.
const MAX_REDIRECTS: u32 = 2;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of characters of an answer that an error shows.
const MAX_REASON_CHARS: usize = 300;
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The JSON body of an error response.
#[derive(DeJson)]
struct ErrorBody {
    error: String,
}

/// The configuration in force.
pub struct CurrentConfig {
    /// The parsed configuration.
    pub config: Config,
    /// The text of the configuration, as the operator sent it.
    pub text: Vec<u8>,
}

/// A call to any control machine.
#[derive(Clone, Copy)]
struct HttpCall<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a [u8],
}

impl<'a> HttpCall<'a> {
    fn without_body(method: &'a str, path: &'a str) -> Self {
        Self {
            method,
            path,
            headers: &[],
            body: b"",
        }
    }
}

/// An answer and the address of the machine that gave it.
struct Answer {
    address: SocketAddr,
    response: Response,
}

/// A client that calls control machines. A call begins with the address that answered the previous
/// call; if the attempt at one address fails, the next address is called.
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Timeout of the attempt at one address.
    timeout: Duration,
    /// Whether any machine may have received the last call.
    may_be_received: bool,
}

impl Client {
    /// Creates a client for these addresses with the default timeout.
    pub fn new(addresses: &[SocketAddr]) -> Client {
        Client::with_timeout(addresses, ATTEMPT_TIMEOUT)
    }

    /// Creates a client for these addresses with this timeout for the attempt at each address.
    pub fn with_timeout(addresses: &[SocketAddr], timeout: Duration) -> Client {
        Client {
            addresses: addresses.to_vec(),
            timeout,
            may_be_received: false,
        }
    }

    /// Returns the configuration in force, or `None` if there is no configuration yet.
    ///
    /// # Errors
    /// [`CliError`] if there is no answer, or if the answer is a rejection or invalid.
    pub fn config(&mut self) -> Result<Option<CurrentConfig>, CliError> {
        let Answer { address, response } = self.call(&HttpCall::without_body(
            ReadConfigRequest::METHOD,
            ReadConfigRequest::PATH,
        ))?;
        match response.status {
            404 => Ok(None),
            200 => {
                let config =
                    Config::parse(&response.body).map_err(|error| CliError::InvalidAnswer {
                        address,
                        reason: error.to_string(),
                    })?;
                Ok(Some(CurrentConfig {
                    config,
                    text: response.body,
                }))
            }
            _ => Err(rejected(address, &response)),
        }
    }

    /// Replaces the configuration of epoch `base` by a new one.
    ///
    /// # Errors
    /// [`CliError::OutcomeUnknown`] if there is no answer and the configuration may have been
    /// applied; after any other error it has not been applied.
    pub fn replace(&mut self, base: u64, text: &[u8]) -> Result<(), CliError> {
        let base_version = base.to_string();
        // If one address gives no answer, it is safe to send the call to the next one: repeating it
        // with the same bytes gets status 200 again.
        let answer = self.call(&HttpCall {
            method: ReplaceConfigRequest::METHOD,
            path: ReplaceConfigRequest::PATH,
            headers: &[(BASE_VERSION_HEADER, &base_version)],
            body: text,
        });
        match answer {
            Ok(answer) if answer.response.status == 200 => Ok(()),
            Ok(answer) => Err(rejected(answer.address, &answer.response)),
            Err(CliError::NoAnswer(attempts)) if self.may_be_received => {
                Err(CliError::OutcomeUnknown { attempts, base })
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the status of the system as the leader sees it, or, if the leader can't be reached,
    /// as the machine that answered sees it.
    ///
    /// # Errors
    /// [`CliError`] if there is no answer, or if the answer is a rejection or invalid.
    pub fn status(&mut self) -> Result<Status, CliError> {
        let call = HttpCall::without_body(ReadStatusRequest::METHOD, ReadStatusRequest::PATH);
        let answer = self.call(&call)?;
        let status = read_status(&answer)?;
        if status.leads {
            return Ok(status);
        }
        let leader = status
            .leader
            .as_ref()
            .and_then(|leader| leader.parse::<IpAddr>().ok());
        let Some(leader) = leader else {
            return Ok(status);
        };
        // All control machines use the same port.
        let leader = SocketAddr::new(leader, answer.address.port());
        let status_of_leader = Client::with_timeout(&[leader], self.timeout)
            .call(&call)
            .and_then(|answer| read_status(&answer));
        Ok(status_of_leader
            .ok()
            .filter(|status| status.leads)
            .unwrap_or(status))
    }

    /// Calls one address after another and returns the first final answer ([`is_final`]).
    fn call(&mut self, call: &HttpCall<'_>) -> Result<Answer, CliError> {
        let mut attempts = FailedAttempts::default();
        self.may_be_received = false;
        for index in 0..self.addresses.len() {
            match self.attempt(self.addresses[index], call) {
                Ok(answer) if is_final(answer.response.status) => {
                    self.addresses.rotate_left(index);
                    return Ok(answer);
                }
                Ok(answer) => attempts.0.push(AttemptError::Status {
                    address: answer.address,
                    status: answer.response.status,
                    reason: reason(&answer.response),
                }),
                Err(error) => attempts.0.push(error),
            }
        }
        Err(CliError::NoAnswer(attempts))
    }

    /// Calls one address, follows redirects and returns the answer.
    fn attempt(&mut self, first: SocketAddr, call: &HttpCall<'_>) -> Result<Answer, AttemptError> {
        let deadline = Instant::now() + self.timeout;
        let mut address = first;
        let mut path = call.path.to_owned();
        let mut redirects = 0;
        loop {
            let call = HttpCall {
                path: &path,
                ..*call
            };
            let response = connect(address, deadline)
                .and_then(|stream| {
                    self.may_be_received = true;
                    exchange(stream, address, deadline, &call)
                })
                .map_err(|error| self.attempt_error(address, error))?;
            if response.status != 307 {
                return Ok(Answer { address, response });
            }
            if redirects == MAX_REDIRECTS {
                return Err(AttemptError::TooManyRedirects {
                    address: first,
                    limit: MAX_REDIRECTS,
                });
            }
            redirects += 1;
            let location = response.header("Location").unwrap_or_default();
            let target = redirect_target(location, address).ok_or_else(|| {
                AttemptError::InvalidRedirect {
                    address,
                    location: without_control_chars(location),
                }
            })?;
            address = target.address;
            path = target.path;
        }
    }

    fn attempt_error(&self, address: SocketAddr, error: io::Error) -> AttemptError {
        match error.kind() {
            // Which of the two a socket reports after its timeout depends on the operating system.
            ErrorKind::WouldBlock | ErrorKind::TimedOut => AttemptError::TimedOut {
                address,
                timeout_s: self.timeout.as_secs_f64(),
            },
            ErrorKind::ConnectionRefused => AttemptError::ConnectionRefused { address },
            _ => AttemptError::Connection { address, error },
        }
    }
}

/// Returns whether an answer with this status ends the call. After any other answer, another
/// machine may succeed.
fn is_final(status: u16) -> bool {
    !matches!(status, 408 | 429 | 500..)
}

/// The target of a redirect.
struct RedirectTarget {
    address: SocketAddr,
    path: String,
}

/// Returns the target of a `Location` header sent by `from`, or `None` if it is neither a path nor
/// `http://` with an IP address and port.
fn redirect_target(location: &str, from: SocketAddr) -> Option<RedirectTarget> {
    if location.starts_with('/') {
        return Some(RedirectTarget {
            address: from,
            path: location.to_owned(),
        });
    }
    let without_scheme = location.strip_prefix("http://")?;
    let host_end = without_scheme.find('/').unwrap_or(without_scheme.len());
    let (host, path) = without_scheme.split_at(host_end);
    let path = if path.is_empty() { "/" } else { path };
    Some(RedirectTarget {
        address: host.parse().ok()?,
        path: path.to_owned(),
    })
}

fn rejected(address: SocketAddr, response: &Response) -> CliError {
    CliError::Rejected {
        address,
        status: response.status,
        reason: reason(response),
    }
}

/// Returns the reason in the body of an answer, as one line.
fn reason(response: &Response) -> String {
    let text = String::from_utf8_lossy(&response.body);
    let reason = match DeJson::deserialize_json(text.trim()) {
        Ok(ErrorBody { error }) if text.starts_with('{') => error,
        _ => text.trim().to_owned(),
    };
    if reason.is_empty() {
        return "no reason given".to_owned();
    }
    without_control_chars(&reason)
        .chars()
        .take(MAX_REASON_CHARS)
        .collect()
}

fn read_status(answer: &Answer) -> Result<Status, CliError> {
    match answer.response.status {
        200 => Status::parse(&answer.response.body).map_err(|error| CliError::InvalidAnswer {
            address: answer.address,
            reason: error.to_string(),
        }),
        _ => Err(rejected(answer.address, &answer.response)),
    }
}

/// Returns the time until the deadline.
///
/// # Errors
/// [`ErrorKind::TimedOut`] if the deadline has passed, because sockets accept no timeout of zero.
fn remaining(deadline: Instant) -> io::Result<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        Err(ErrorKind::TimedOut.into())
    } else {
        Ok(remaining)
    }
}

fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, remaining(deadline)?)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a new connection and returns the answer.
fn exchange(
    mut stream: TcpStream,
    address: SocketAddr,
    deadline: Instant,
    call: &HttpCall<'_>,
) -> io::Result<Response> {
    let mut headers = call.headers.to_vec();
    headers.push(("Connection", "close"));
    let host = address.to_string();
    let bytes = encode_request(call.method, call.path, &host, &headers, call.body);
    send(&mut stream, deadline, &bytes)?;
    receive(&mut stream, deadline)
}

fn send(stream: &mut TcpStream, deadline: Instant, bytes: &[u8]) -> io::Result<()> {
    let mut unsent = bytes;
    while !unsent.is_empty() {
        stream.set_write_timeout(Some(remaining(deadline)?))?;
        match stream.write(unsent) {
            Ok(count) => unsent = &unsent[count..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // A machine that rejects the body may have answered and closed the connection before
            // the whole body was sent, so the answer is still read.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::BrokenPipe | ErrorKind::ConnectionReset
                ) =>
            {
                break;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn receive(stream: &mut TcpStream, deadline: Instant) -> io::Result<Response> {
    let invalid = |error: HttpError| io::Error::new(ErrorKind::InvalidData, error.to_string());
    let mut responses = ResponseDecoder::new(MAX_ANSWER_BYTES);
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        if let Some(response) = responses.next_response().map_err(invalid)? {
            return Ok(response);
        }
        stream.set_read_timeout(Some(remaining(deadline)?))?;
        match stream.read(&mut bytes) {
            Ok(0) => {
                let closed = io::Error::new(
                    ErrorKind::UnexpectedEof,
                    "the connection was closed without an answer",
                );
                return responses.finish().map_err(invalid)?.ok_or(closed);
            }
            Ok(count) => responses.feed(&bytes[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}
