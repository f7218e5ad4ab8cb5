//! Protocol state machine for a connection to a node: executes one statement at a time, and collects what the node
//! reports about itself.

use crate::Close;
use crate::message::{self, put};
use crate::ring_buffer::RingBuffer;

/// Maximum number of messages of a startup or an answer; valid ones have only a few.
const MAX_MESSAGES: usize = 64;

/// Maximum length of a message other than a row, in bytes.
const MAX_OTHER_MESSAGE_BYTES: usize = 1 << 13;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Idle,
    Executing,
}

/// State of a connection to a node.
pub struct Node {
    state: State,
    messages: usize,
    /// `RowDescription`, `DataRow` and `CommandComplete`, each once and in this order.
    row: Vec<u8>,
    /// Types of the row's messages that have arrived.
    seen: Vec<u8>,
    /// Range of the value in `row`.
    value: std::ops::Range<usize>,
    error: Option<[u8; 5]>,
    primary: Option<bool>,
    as_of: Option<f64>,
    vitals: Option<String>,
}

/// Result of one or more complete messages.
#[derive(Debug, PartialEq)]
pub enum NodeEvent {
    /// The connection is established.
    Ready,
    /// The answer to the statement is complete.
    Answer(Answer),
}

/// A node's answer to a statement.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// The messages of the row, unchanged, or the SQLSTATE of the error.
    pub row: Result<Vec<u8>, [u8; 5]>,
    /// Range of the value in the messages of the row.
    pub value: std::ops::Range<usize>,
    /// Whether the node is the primary, if it reported its role.
    pub primary: Option<bool>,
    /// Replication position, in seconds of Unix time, if reported.
    pub as_of: Option<f64>,
    /// Load report, if there is one.
    pub vitals: Option<String>,
}

impl Node {
    /// Appends the startup message to the output and returns the state of the new connection.
    pub fn start(output: &mut RingBuffer) -> Node {
        let names = b"user\0svc\0database\0main\0\0";
        output.push(&((8 + names.len()) as u32).to_be_bytes());
        output.push(&(3u32 << 16).to_be_bytes());
        output.push(names);
        Node {
            state: State::Starting,
            messages: 0,
            row: Vec::new(),
            seen: Vec::new(),
            value: 0..0,
            error: None,
            primary: None,
            as_of: None,
            vitals: None,
        }
    }

    /// Appends a query to the output.
    pub fn execute(&mut self, output: &mut RingBuffer, text: &str) {
        put(output, b'Q', &[text.as_bytes(), &[0]]);
        (self.state, self.messages) = (State::Executing, 0);
    }

    /// Processes the input. Returns `None` while messages are missing.
    ///
    /// # Errors
    ///
    /// Fails if the node rejected the connection or violated the protocol; the connection must be closed.
    pub fn next(&mut self, input: &mut RingBuffer) -> Result<Option<NodeEvent>, Close> {
        while let Some((kind, length)) = message::peek(input)? {
            self.messages += 1;
            if self.messages > MAX_MESSAGES {
                return Err(Close::Malformed(
                    "the node sent more than 64 messages for one startup or answer",
                ));
            }
            let event = match (self.state, kind) {
                (State::Idle, _) => {
                    return Err(Close::Malformed(
                        "the node sent a message while no statement was executing",
                    ));
                }
                (State::Executing, b'T' | b'D' | b'C') => {
                    self.row_message(kind, input, length).map(|()| None)?
                }
                (state, _) => {
                    let body = input.take(length).split_off(5);
                    if state == State::Starting {
                        self.starting(kind, &body)?
                    } else {
                        self.executing(kind, &body)?
                    }
                }
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        if self.state == State::Executing {
            check_incomplete(input).map(|()| None)
        } else {
            Ok(None)
        }
    }

    fn starting(&mut self, kind: u8, body: &[u8]) -> Result<Option<NodeEvent>, Close> {
        match kind {
            b'R' if body == 0u32.to_be_bytes() => {}
            b'S' | b'K' | b'N' | b'v' => {}
            b'E' if message::error_code(body)? == *b"53300" => {
                return Err(Close::TooManyConnections);
            }
            b'E' => return Err(Close::Refused),
            b'Z' => {
                self.state = State::Idle;
                return Ok(Some(NodeEvent::Ready));
            }
            _ => {
                return Err(Close::Malformed(
                    "the node sent an unknown message during startup",
                ));
            }
        }
        Ok(None)
    }

    fn executing(&mut self, kind: u8, body: &[u8]) -> Result<Option<NodeEvent>, Close> {
        match kind {
            b'S' => self.status(body),
            b'N' => {}
            b'E' if self.error.is_none() && self.seen != b"TDC" => {
                self.error = Some(message::error_code(body)?);
            }
            b'Z' => return self.answer().map(|a| Some(NodeEvent::Answer(a))),
            _ => {
                return Err(Close::Malformed(
                    "the node sent a message of an answer out of order",
                ));
            }
        }
        Ok(None)
    }

    /// Moves a message of the row from the input to the row.
    fn row_message(
        &mut self,
        kind: u8,
        input: &mut RingBuffer,
        length: usize,
    ) -> Result<(), Close> {
        if self.error.is_some() || b"TDC".get(self.seen.len()) != Some(&kind) {
            return Err(Close::Malformed(
                "the node sent a message of an answer out of order",
            ));
        }
        let begin = self.row.len();
        if kind == b'D' {
            // Also reserves space for the rest of the answer and for the message that the client gets after it.
            self.row.reserve_exact(length + 128);
        }
        input.move_to(length, &mut self.row);
        let body = &self.row[begin + 5..];
        if kind == b'T' && message::columns(body)? != 1 {
            return Err(Close::Malformed("a row does not have exactly one column"));
        }
        if kind == b'D' {
            let length = message::only_value(body)?.map_or(0, <[u8]>::len);
            self.value = self.row.len() - length..self.row.len();
        }
        self.seen.push(kind);
        Ok(())
    }

    /// Records what the node reports about itself. Invalid values are ignored, because the row is valid without them.
    fn status(&mut self, body: &[u8]) {
        let texts = message::strings(body).unwrap_or_default();
        let [name, value] = texts[..] else { return };
        match (name, value) {
            ("rank", "source") => self.primary = Some(true),
            ("rank", "copy") => self.primary = Some(false),
            ("as_of", ms) => self.as_of = ms.parse::<u64>().ok().map(|ms| ms as f64 / 1e3),
            ("vitals", report) => self.vitals = Some(report.to_string()),
            _ => {}
        }
    }

    /// Call when the connection has ended: returns the answer if only its last message, `ReadyForQuery`, is missing.
    pub fn ended(&mut self) -> Option<Answer> {
        if self.state == State::Executing {
            self.answer().ok()
        } else {
            None
        }
    }

    fn answer(&mut self) -> Result<Answer, Close> {
        let row = match self.error.take() {
            Some(code) => Err(code),
            None if self.seen == b"TDC" => Ok(std::mem::take(&mut self.row)),
            None => {
                return Err(Close::Malformed(
                    "the answer of the node has neither a row nor an error",
                ));
            }
        };
        self.seen.clear();
        self.row.clear();
        self.state = State::Idle;
        let value = std::mem::replace(&mut self.value, 0..0);
        let (primary, as_of, vitals) = (self.primary.take(), self.as_of.take(), self.vitals.take());
        Ok(Answer {
            row,
            value,
            primary,
            as_of,
            vitals,
        })
    }
}

/// Checks the header of an incomplete message. Without this check, the router would wait for a message with an invalid
/// length until the timeout of the execution, since the rest may never arrive.
fn check_incomplete(input: &RingBuffer) -> Result<(), Close> {
    let mut head = [0; 11];
    let available = input.len().min(head.len());
    input.copy(0, &mut head[..available]);
    let word = |at: usize| {
        u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]) as usize
    };
    let is_valid = match head[0] {
        _ if available == 0 => true,
        kind if !b"TDCSNEZ".contains(&kind) => false,
        _ if available < 5 => true,
        b'Z' => word(1) == 5,
        // The single value takes the rest of the row: 4 bytes for the message's length, 2 for the number of columns, 4
        // for the value's length.
        b'D' => available < head.len() || word(1) == 10 + word(7),
        _ => word(1) <= MAX_OTHER_MESSAGE_BYTES,
    };
    if is_valid {
        Ok(())
    } else {
        Err(Close::Malformed(
            "a message from the node has an invalid type or length",
        ))
    }
}

/// Returns a figure of a load report such as `inflight=7,util=0.61`, or `None` if it is missing or not a finite number.
pub fn load_figure(report: &str, name: &str) -> Option<f64> {
    let figures = report
        .split(',')
        .filter_map(|figure| figure.split_once('='));
    let value = { figures }
        .find(|(n, _)| n.trim() == name)
        .and_then(|(_, v)| v.trim().parse::<f64>().ok());
    value.filter(|v| v.is_finite())
}
