//! The router's side of a client's connection.

use crate::Close;
use crate::comment::{Fault, Statement};
use crate::message::{self, put, put_error, put_status};
use crate::ring::Ring;

const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const CANCEL: u32 = 80_877_102;
/// `ReadyForQuery`, outside of a transaction.
const READY: &[u8] = b"Z\0\0\0\x05I";
/// As large as `PostgreSQL` itself lets a startup message be.
const LONGEST_START: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Idle,
    /// A statement is out: what comes behind it waits in the ring.
    Executing,
    /// An error in the extended protocol: all is passed over up to its end.
    Skipping,
}

pub struct Client {
    state: State,
    /// Something was asked since the startup.
    asked: bool,
}

/// What the driver does next.
#[derive(Debug, PartialEq)]
pub enum Turn {
    Read,
    /// Answers were put into the output; more input may be there.
    Write,
    Execute(Box<Statement>),
}

impl Default for Client {
    fn default() -> Client {
        Client {
            state: State::Starting,
            asked: false,
        }
    }
}

impl Client {
    /// Nothing was asked yet: a client that has just come is about to.
    pub fn fresh(&self) -> bool {
        !self.asked
    }

    /// Goes on with what has been read. After an error, the output's rest is written and the connection ends.
    pub fn next(&mut self, input: &mut Ring, output: &mut Ring) -> Result<Turn, Close> {
        let turn = match self.state {
            State::Executing => return Ok(Turn::Read),
            State::Starting => self.start(input, output),
            State::Idle | State::Skipping => match message::next(input) {
                Ok(Some((kind, body))) => self.message(kind, &body, output),
                Ok(None) => Ok(Turn::Read),
                Err(close) => Err((Some("08P01"), close)),
            },
        };
        turn.map_err(|(code, close)| {
            if let Some(code) = code {
                put_error(output, "FATAL", code, &close.to_string(), "");
            }
            close
        })
    }

    fn start(
        &mut self,
        input: &mut Ring,
        output: &mut Ring,
    ) -> Result<Turn, (Option<&'static str>, Close)> {
        if input.len() < 8 {
            return Ok(Turn::Read);
        }
        let mut head = [0; 8];
        input.copy(0, &mut head);
        let word =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, version) = (word(0) as usize, word(4));
        if !(8..=LONGEST_START).contains(&length) {
            return Err((
                Some("08P01"),
                Close::Malformed("the startup's length can't be right"),
            ));
        }
        if input.len() < length {
            return Ok(Turn::Read);
        }
        let body = input.take(length).split_off(8);
        match version {
            SSL | GSS => {
                output.push(b"N");
                Ok(Turn::Write)
            }
            CANCEL => Err((None, Close::Left)),
            _ if version >> 16 != 3 => Err((
                Some("0A000"),
                Close::Malformed("only version 3 of the protocol is spoken"),
            )),
            _ => {
                let names = started(&body).map_err(|close| (Some("08P01"), close))?;
                if !names.iter().any(|n| n == "user") {
                    return Err((Some("28000"), Close::Malformed("the startup names no user")));
                }
                let newer: Vec<&String> = names.iter().filter(|n| n.starts_with("_pq_.")).collect();
                if version & 0xffff != 0 || !newer.is_empty() {
                    let list: Vec<u8> = newer.iter().flat_map(|n| n.bytes().chain([0])).collect();
                    let count = (newer.len() as u32).to_be_bytes();
                    put(output, b'v', &[&0u32.to_be_bytes(), &count, &list]);
                }
                put(output, b'R', &[&0u32.to_be_bytes()]);
                put_status(output, "server_version", "15.0");
                put_status(output, "client_encoding", "UTF8");
                put_status(output, "standard_conforming_strings", "on");
                self.ready(output);
                Ok(Turn::Write)
            }
        }
    }

    fn message(
        &mut self,
        kind: u8,
        body: &[u8],
        output: &mut Ring,
    ) -> Result<Turn, (Option<&'static str>, Close)> {
        self.asked = true;
        match (kind, self.state) {
            (b'X', _) => return Err((None, Close::Left)),
            (b'S', _) => self.ready(output),
            (
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'd' | b'c' | b'f' | b'Q',
                State::Skipping,
            ) => {
                return Ok(Turn::Write);
            }
            (b'Q', _) => return Ok(self.query(body, output)),
            (b'P' | b'B' | b'D' | b'E' | b'C', _) => {
                put_error(
                    output,
                    "ERROR",
                    "0A000",
                    "only simple queries are served here",
                    "",
                );
                self.state = State::Skipping;
            }
            (b'F', _) => self.failed(output, ("0A000", "no functions are called here")),
            // As PostgreSQL does: what is left of a COPY, or a Flush, asks for nothing.
            (b'H' | b'd' | b'c' | b'f', _) => {}
            _ => return Err((Some("08P01"), Close::Malformed("a message of unknown type"))),
        }
        Ok(Turn::Write)
    }

    fn query(&mut self, body: &[u8], output: &mut Ring) -> Turn {
        let text = match message::strings(body) {
            Ok(texts) if texts.len() == 1 => texts[0],
            Ok(_) => return self.fault(output, ("08P01", "a query has a zero byte in it")),
            Err(_) => return self.fault(output, ("08P01", "a query is no text that ends")),
        };
        if text.trim().is_empty() {
            put(output, b'I', &[]);
            self.ready(output);
            return Turn::Write;
        }
        match Statement::read(text) {
            Ok(statement) => {
                self.state = State::Executing;
                Turn::Execute(Box::new(statement))
            }
            Err(fault) => self.fault(output, fault),
        }
    }

    fn fault(&mut self, output: &mut Ring, fault: Fault) -> Turn {
        self.failed(output, fault);
        Turn::Write
    }

    /// The row as the node gave it: its `RowDescription`, `DataRow` and `CommandComplete`.
    pub fn completed(&mut self, output: &mut Ring, mut answer: Vec<u8>) {
        answer.extend_from_slice(READY);
        output.adopt(answer);
        self.state = State::Idle;
    }

    /// Trying again is harmless, after so many seconds.
    pub fn rejected(&mut self, output: &mut Ring, retry_after: f64) {
        let detail = if retry_after > 0.0 {
            format!("{:.0}", retry_after * 1e3)
        } else {
            String::new()
        };
        put_error(
            output,
            "ERROR",
            "53300",
            "rejected, nothing has been executed for good",
            &detail,
        );
        self.ready(output);
    }

    /// No promise whether it has been executed.
    pub fn aborted(&mut self, output: &mut Ring) {
        self.failed(
            output,
            ("40003", "aborted, whether it was executed is not known"),
        );
    }

    pub fn failed(&mut self, output: &mut Ring, (code, text): Fault) {
        put_error(output, "ERROR", code, text, "");
        self.ready(output);
    }

    fn ready(&mut self, output: &mut Ring) {
        output.push(READY);
        self.state = State::Idle;
    }
}

/// The names among the startup's pairs of name and value.
fn started(body: &[u8]) -> Result<Vec<String>, Close> {
    let pairs = body
        .strip_suffix(&[0])
        .ok_or(Close::Malformed("the startup has no end"))?;
    if pairs.is_empty() {
        return Ok(Vec::new());
    }
    Ok(message::strings(pairs)?
        .chunks(2)
        .map(|pair| pair[0].to_string())
        .collect())
}
