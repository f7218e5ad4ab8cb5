//! The router's side of a connection to a node: one statement at a time, and what the node says of itself.

use crate::Close;
use crate::message::{self, put};
use crate::ring::Ring;

/// An answer has a handful of messages; a node that goes on and on is not waited for.
const MOST_MESSAGES: usize = 64;

/// All but a row is a few words.
const LONGEST_WORDS: usize = 1 << 13;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Idle,
    Executing,
}

pub struct Node {
    state: State,
    messages: usize,
    /// `RowDescription`, `DataRow` and `CommandComplete`, each once and in this order.
    row: Vec<u8>,
    seen: Vec<u8>,
    /// The place of the value in `row`.
    value: std::ops::Range<usize>,
    error: Option<[u8; 5]>,
    primary: Option<bool>,
    as_of: Option<f64>,
    vitals: Option<String>,
}

/// What a whole message, or several, came to.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Ready,
    Answer(Answer),
}

#[derive(Debug, PartialEq)]
pub struct Answer {
    /// The row's messages as they came, or the code of the error.
    pub row: Result<Vec<u8>, [u8; 5]>,
    /// Where the value stands in the row's messages.
    pub value: std::ops::Range<usize>,
    pub primary: Option<bool>,
    /// The position, in seconds of Unix time.
    pub as_of: Option<f64>,
    pub vitals: Option<String>,
}

impl Node {
    /// Begins a connection.
    pub fn start(output: &mut Ring) -> Node {
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

    pub fn execute(&mut self, output: &mut Ring, text: &str) {
        put(output, b'Q', &[text.as_bytes(), &[0]]);
        (self.state, self.messages) = (State::Executing, 0);
    }

    pub fn next(&mut self, input: &mut Ring) -> Result<Option<Heard>, Close> {
        while let Some((kind, length)) = message::whole(input)? {
            self.messages += 1;
            if self.messages > MOST_MESSAGES {
                return Err(Close::Malformed("the node sends without end"));
            }
            let heard = match (self.state, kind) {
                (State::Idle, _) => {
                    return Err(Close::Malformed("the node speaks without being asked"));
                }
                (State::Executing, b'T' | b'D' | b'C') => {
                    self.part(kind, input, length).map(|()| None)?
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
            if heard.is_some() {
                return Ok(heard);
            }
        }
        if self.state == State::Executing {
            beginning(input).map(|()| None)
        } else {
            Ok(None)
        }
    }

    fn starting(&mut self, kind: u8, body: &[u8]) -> Result<Option<Heard>, Close> {
        match kind {
            b'R' if body == 0u32.to_be_bytes() => {}
            b'S' | b'K' | b'N' | b'v' => {}
            b'E' if message::error_code(body)? == *b"53300" => return Err(Close::TurnedAway),
            b'E' => return Err(Close::Refused),
            b'Z' => {
                self.state = State::Idle;
                return Ok(Some(Heard::Ready));
            }
            _ => return Err(Close::Malformed("the node starts with something unknown")),
        }
        Ok(None)
    }

    fn executing(&mut self, kind: u8, body: &[u8]) -> Result<Option<Heard>, Close> {
        match kind {
            b'S' => self.status(body),
            b'N' => {}
            b'E' if self.error.is_none() && self.seen != b"TDC" => {
                self.error = Some(message::error_code(body)?);
            }
            b'Z' => return self.answer().map(|a| Some(Heard::Answer(a))),
            _ => return Err(Close::Malformed("the node answers out of turn")),
        }
        Ok(None)
    }

    /// A piece of the row goes from the ring to its place as it is.
    fn part(&mut self, kind: u8, input: &mut Ring, length: usize) -> Result<(), Close> {
        if self.error.is_some() || b"TDC".get(self.seen.len()) != Some(&kind) {
            return Err(Close::Malformed("the node answers out of turn"));
        }
        let begin = self.row.len();
        if kind == b'D' {
            // The rest of the answer, and what its client gets behind it, has room there, too.
            self.row.reserve_exact(length + 128);
        }
        input.move_to(length, &mut self.row);
        let body = &self.row[begin + 5..];
        if kind == b'T' && message::columns(body)? != 1 {
            return Err(Close::Malformed("a row has not one column"));
        }
        if kind == b'D' {
            let length = message::only_value(body)?.map_or(0, <[u8]>::len);
            self.value = self.row.len() - length..self.row.len();
        }
        self.seen.push(kind);
        Ok(())
    }

    /// What can't be understood counts as not told: the row beside it is as good as without.
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

    /// The connection has ended: an answer that was whole but for its last message still counts.
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
            None => return Err(Close::Malformed("the node answers with no row")),
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

/// What has come of a message that is not whole yet: one whose length does not fit what it is would be waited
/// for until the execution's limit, as no more of it may come.
fn beginning(input: &Ring) -> Result<(), Close> {
    let mut head = [0; 11];
    let there = input.len().min(head.len());
    input.copy(0, &mut head[..there]);
    let word = |at: usize| {
        u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]) as usize
    };
    let fits = match head[0] {
        _ if there == 0 => true,
        kind if !b"TDCSNEZ".contains(&kind) => false,
        _ if there < 5 => true,
        b'Z' => word(1) == 5,
        // Its one value takes all of it: four bytes of its length, two of the count of columns.
        b'D' => there < head.len() || word(1) == 10 + word(7),
        _ => word(1) <= LONGEST_WORDS,
    };
    if fits {
        Ok(())
    } else {
        Err(Close::Malformed("a message does not fit its length"))
    }
}

/// One figure of a load report: `inflight=7,util=0.61`.
pub fn vital(report: &str, name: &str) -> Option<f64> {
    let figures = report
        .split(',')
        .filter_map(|figure| figure.split_once('='));
    let value = { figures }
        .find(|(n, _)| n.trim() == name)
        .and_then(|(_, v)| v.trim().parse::<f64>().ok());
    value.filter(|v| v.is_finite())
}
