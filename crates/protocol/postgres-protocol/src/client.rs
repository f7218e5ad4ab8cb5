//! Protocol state machine for a connection from a client.

use crate::Close;
use crate::comment::{ClientError, Statement};
use crate::message::{self, put, put_error, put_status};
use crate::ring_buffer::RingBuffer;

const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;
/// `ReadyForQuery`, outside of a transaction.
const READY: &[u8] = b"Z\0\0\0\x05I";
/// Maximum size of a startup message in bytes, as in `PostgreSQL` itself.
const MAX_STARTUP_BYTES: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Idle,
    /// A statement is being executed; later messages stay in the input.
    Executing,
    /// After an error in the extended protocol: messages are skipped until `Sync`.
    Skipping,
}

/// State of a connection from a client.
pub struct Client {
    state: State,
    /// Whether a message has arrived since the startup.
    has_sent_message: bool,
}

/// What the caller must do next.
#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Read more input.
    Read,
    /// Write the output, then call `next` again, as there may be more input.
    Write,
    /// Execute the statement, then call `completed`, `rejected`, `aborted` or `failed`.
    Execute(Box<Statement>),
}

impl Default for Client {
    fn default() -> Client {
        Client {
            state: State::Starting,
            has_sent_message: false,
        }
    }
}

impl Client {
    /// Returns whether no message has arrived since the startup.
    pub fn awaits_first_message(&self) -> bool {
        !self.has_sent_message
    }

    /// Processes the input.
    ///
    /// # Errors
    ///
    /// Fails if the client ended the connection or violated the protocol. The caller must write the output, which may
    /// have an error message, and close the connection.
    pub fn next(
        &mut self,
        input: &mut RingBuffer,
        output: &mut RingBuffer,
    ) -> Result<ClientAction, Close> {
        let action = match self.state {
            State::Executing => return Ok(ClientAction::Read),
            State::Starting => self.start(input, output),
            State::Idle | State::Skipping => match message::next(input) {
                Ok(Some((kind, body))) => self.message(kind, &body, output),
                Ok(None) => Ok(ClientAction::Read),
                Err(close) => Err((Some("08P01"), close)),
            },
        };
        action.map_err(|(code, close)| {
            if let Some(code) = code {
                put_error(output, "FATAL", code, &close.to_string(), "");
            }
            close
        })
    }

    fn start(
        &mut self,
        input: &mut RingBuffer,
        output: &mut RingBuffer,
    ) -> Result<ClientAction, (Option<&'static str>, Close)> {
        if input.len() < 8 {
            return Ok(ClientAction::Read);
        }
        let mut head = [0; 8];
        input.copy(0, &mut head);
        let word =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, version) = (word(0) as usize, word(4));
        if !(8..=MAX_STARTUP_BYTES).contains(&length) {
            return Err((
                Some("08P01"),
                Close::Malformed("the length of the startup message is not from 8 to 10000 bytes"),
            ));
        }
        if input.len() < length {
            return Ok(ClientAction::Read);
        }
        let body = input.take(length).split_off(8);
        match version {
            SSL | GSS => {
                output.push(b"N");
                Ok(ClientAction::Write)
            }
            CANCEL => Err((None, Close::PeerClosed)),
            _ if version >> 16 != 3 => Err((
                Some("0A000"),
                Close::Malformed("only version 3 of the protocol is supported"),
            )),
            _ => {
                let names = parameter_names(&body).map_err(|close| (Some("08P01"), close))?;
                if !names.iter().any(|n| n == "user") {
                    return Err((
                        Some("28000"),
                        Close::Malformed("the startup message has no user"),
                    ));
                }
                let extensions: Vec<&String> =
                    names.iter().filter(|n| n.starts_with("_pq_.")).collect();
                if version & 0xffff != 0 || !extensions.is_empty() {
                    let list: Vec<u8> = extensions
                        .iter()
                        .flat_map(|n| n.bytes().chain([0]))
                        .collect();
                    let count = (extensions.len() as u32).to_be_bytes();
                    put(output, b'v', &[&0u32.to_be_bytes(), &count, &list]);
                }
                put(output, b'R', &[&0u32.to_be_bytes()]);
                put_status(output, "server_version", "15.0");
                put_status(output, "client_encoding", "UTF8");
                put_status(output, "standard_conforming_strings", "on");
                self.ready(output);
                Ok(ClientAction::Write)
            }
        }
    }

    fn message(
        &mut self,
        kind: u8,
        body: &[u8],
        output: &mut RingBuffer,
    ) -> Result<ClientAction, (Option<&'static str>, Close)> {
        self.has_sent_message = true;
        match (kind, self.state) {
            (b'X', _) => return Err((None, Close::PeerClosed)),
            (b'S', _) => self.ready(output),
            (
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'd' | b'c' | b'f' | b'Q',
                State::Skipping,
            ) => {
                return Ok(ClientAction::Write);
            }
            (b'Q', _) => return Ok(self.query(body, output)),
            (b'P' | b'B' | b'D' | b'E' | b'C', _) => {
                put_error(
                    output,
                    "ERROR",
                    "0A000",
                    "only the simple query protocol is supported",
                    "",
                );
                self.state = State::Skipping;
            }
            (b'F', _) => self.failed(output, ("0A000", "function calls are not supported")),
            // As in PostgreSQL, the rest of a COPY and a Flush need no answer.
            (b'H' | b'd' | b'c' | b'f', _) => {}
            _ => {
                return Err((
                    Some("08P01"),
                    Close::Malformed("a message has an unknown type"),
                ));
            }
        }
        Ok(ClientAction::Write)
    }

    fn query(&mut self, body: &[u8], output: &mut RingBuffer) -> ClientAction {
        let text = match message::strings(body) {
            Ok(texts) if texts.len() == 1 => texts[0],
            Ok(_) => {
                return self.fail(
                    output,
                    ("08P01", "the text of a query contains a zero byte"),
                );
            }
            Err(_) => {
                return self.fail(
                    output,
                    (
                        "08P01",
                        "the text of a query is not valid UTF-8 or not terminated",
                    ),
                );
            }
        };
        if text.trim().is_empty() {
            put(output, b'I', &[]);
            self.ready(output);
            return ClientAction::Write;
        }
        match Statement::parse(text) {
            Ok(statement) => {
                self.state = State::Executing;
                ClientAction::Execute(Box::new(statement))
            }
            Err(error) => self.fail(output, error),
        }
    }

    fn fail(&mut self, output: &mut RingBuffer, error: ClientError) -> ClientAction {
        self.failed(output, error);
        ClientAction::Write
    }

    /// Answers the statement with a row: the `RowDescription`, `DataRow` and `CommandComplete` from the node.
    pub fn completed(&mut self, output: &mut RingBuffer, mut answer: Vec<u8>) {
        answer.extend_from_slice(READY);
        output.adopt(answer);
        self.state = State::Idle;
    }

    /// Answers that the statement was rejected and may be retried after `retry_after_s` seconds. If it is above zero,
    /// the error detail has this time in milliseconds.
    pub fn rejected(&mut self, output: &mut RingBuffer, retry_after_s: f64) {
        let detail = if retry_after_s > 0.0 {
            format!("{:.0}", retry_after_s * 1e3)
        } else {
            String::new()
        };
        put_error(
            output,
            "ERROR",
            "53300",
            "statement rejected: it had no lasting effect and may be retried",
            &detail,
        );
        self.ready(output);
    }

    /// Answers that the statement was aborted and may or may not have been executed.
    pub fn aborted(&mut self, output: &mut RingBuffer) {
        self.failed(
            output,
            (
                "40003",
                "statement aborted: it is unknown whether it was executed",
            ),
        );
    }

    /// Answers with an error.
    pub fn failed(&mut self, output: &mut RingBuffer, (code, text): ClientError) {
        put_error(output, "ERROR", code, text, "");
        self.ready(output);
    }

    fn ready(&mut self, output: &mut RingBuffer) {
        output.push(READY);
        self.state = State::Idle;
    }
}

/// Returns the parameter names in a startup message.
fn parameter_names(body: &[u8]) -> Result<Vec<String>, Close> {
    let pairs = body
        .strip_suffix(&[0])
        .ok_or(Close::Malformed("the startup message is not terminated"))?;
    if pairs.is_empty() {
        return Ok(Vec::new());
    }
    Ok(message::strings(pairs)?
        .chunks(2)
        .map(|pair| pair[0].to_string())
        .collect())
}
