//! A strict look over JSON before nanoserde reads it.
//!
//! nanoserde takes texts that aren't JSON (commas too many, comments, whatever follows the value), and where
//! a field that it doesn't know breaks off it panics or never ends. What arrives from outside is therefore
//! gone over first: one whole value and nothing else, nested no deeper than `DEPTH`, no key twice in one
//! object.

use nanoserde::{DeJson, DeJsonErr};
use quick_error::quick_error;
use std::collections::BTreeSet;

/// How deep lists and objects may be nested.
const DEPTH: usize = 32;

quick_error! {
    /// Why a text can't be read whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JsonError {
        /// Not JSON, or broken off: at this byte, counted from 0.
        Syntax(at: usize, what: &'static str) {
            display("byte {}: {}", at, what)
        }
        /// JSON, but not what is asked for: shortly before this line and column, counted from 1.
        Shape(line: usize, column: usize, what: String) {
            display("line {}, column {}: {}", line, column, what)
        }
    }
}

impl From<DeJsonErr> for JsonError {
    fn from(error: DeJsonErr) -> JsonError {
        use nanoserde::DeJsonErrReason::*;
        let what = match error.msg {
            UnexpectedKey(name) => format!("unexpected key {name}"),
            MissingKey(name) => format!("{name} is missing"),
            NoSuchEnum(name) => format!("unknown word {name:?}"),
            UnexpectedToken(token, wanted) => format!("{token:?} instead of {}", wanted.trim()),
            OutOfRange(value) => format!("out of range: {}", value.trim()),
            WrongType(found) => format!("wrong type: {}", found.trim()),
            CannotParse(what) => format!("can't be read: {}", what.trim()),
            _ => "can't be read".to_owned(),
        };
        JsonError::Shape(error.line + 1, error.col, what)
    }
}

/// Reads a body that must be one whole JSON value.
pub fn read<T: DeJson>(body: &[u8]) -> Result<T, JsonError> {
    let text =
        std::str::from_utf8(body).map_err(|e| JsonError::Syntax(e.valid_up_to(), "no UTF-8"))?;
    check(body)?;
    Ok(T::deserialize_json(text)?)
}

/// Whether the bytes are one whole JSON value and nothing else.
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    scan(bytes, &mut |_, _| {})
}

/// Where keys stand in the value, each place once: `routes[].name` say.
pub fn places(bytes: &[u8]) -> Result<BTreeSet<String>, JsonError> {
    let mut places = BTreeSet::new();
    let mut steps: Vec<String> = Vec::new();
    scan(bytes, &mut |depth, key| {
        // Levels without a key are lists.
        steps.truncate(depth - 1);
        steps.resize(depth - 1, "[]".to_owned());
        steps.push(String::from_utf8_lossy(key).into_owned());
        places.insert(steps.join(".").replace(".[]", "[]"));
    })?;
    Ok(places)
}

/// Goes over one whole value and nothing else; `on_key` gets each key and how deep it stands, 1 in the outermost object.
fn scan<'a>(bytes: &'a [u8], on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
    let mut scan = Scan { bytes, at: 0 };
    scan.value(on_key)?;
    scan.blanks();
    if scan.at < bytes.len() {
        scan.fail("text after the end")
    } else {
        Ok(())
    }
}

struct Scan<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Scan<'a> {
    fn fail<T>(&self, what: &'static str) -> Result<T, JsonError> {
        let what = if self.at >= self.bytes.len() {
            "breaks off"
        } else {
            what
        };
        Err(JsonError::Syntax(self.at, what))
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn blanks(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
    }

    /// One value with everything in it, by a stack of its own: the text says how deep it goes, and may not
    /// use up the thread's.
    fn value(&mut self, on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
        // What is open: of an object the keys so far, of a list none.
        let mut open: Vec<Option<BTreeSet<&'a [u8]>>> = Vec::new();
        loop {
            // At a value.
            self.blanks();
            match self.peek() {
                Some(c @ (b'{' | b'[')) => {
                    if open.len() == DEPTH {
                        return self.fail("nested too deep");
                    }
                    self.at += 1;
                    open.push(if c == b'{' {
                        Some(BTreeSet::new())
                    } else {
                        None
                    });
                    self.blanks();
                    // The closing bracket stands two places behind the opening one.
                    if self.peek() != Some(c + 2) {
                        let depth = open.len();
                        if let Some(Some(keys)) = open.last_mut() {
                            on_key(depth, self.key(keys)?);
                        }
                        continue;
                    }
                }
                Some(b'"') => drop(self.string()?),
                Some(b'-' | b'0'..=b'9') => self.number()?,
                Some(b't') => self.word(b"true")?,
                Some(b'f') => self.word(b"false")?,
                Some(b'n') => self.word(b"null")?,
                _ => return self.fail("no value"),
            }
            // Behind a value, or at the end of an empty list or object.
            loop {
                let depth = open.len();
                let Some(top) = open.last_mut() else {
                    return Ok(());
                };
                self.blanks();
                let close = if top.is_some() { b'}' } else { b']' };
                match self.peek() {
                    Some(c) if c == close => {
                        self.at += 1;
                        open.pop();
                    }
                    Some(b',') => {
                        self.at += 1;
                        if let Some(keys) = top {
                            self.blanks();
                            on_key(depth, self.key(keys)?);
                        }
                        break;
                    }
                    _ => return self.fail("neither a comma nor the end"),
                }
            }
        }
    }

    fn key(&mut self, keys: &mut BTreeSet<&'a [u8]>) -> Result<&'a [u8], JsonError> {
        let start = self.at;
        if self.peek() != Some(b'"') {
            return self.fail("no key");
        }
        let key = self.string()?;
        if !keys.insert(key) {
            return Err(JsonError::Syntax(start, "key told twice"));
        }
        self.blanks();
        if self.peek() != Some(b':') {
            return self.fail("no colon after the key");
        }
        self.at += 1;
        Ok(key)
    }

    /// A string, at its opening quote; gives what is between the quotes, as it stands.
    fn string(&mut self) -> Result<&'a [u8], JsonError> {
        self.at += 1;
        let start = self.at;
        loop {
            match self.peek() {
                Some(b'"') => break,
                Some(b'\\') => {
                    self.at += 1;
                    match self.peek() {
                        Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => {
                            self.at += 1;
                        }
                        Some(b'u') => {
                            self.at += 1;
                            for _ in 0..4 {
                                if !self.peek().is_some_and(|b| b.is_ascii_hexdigit()) {
                                    return self.fail("invalid escape");
                                }
                                self.at += 1;
                            }
                        }
                        _ => return self.fail("invalid escape"),
                    }
                }
                Some(0x20..) => self.at += 1,
                _ => return self.fail("control character in a string"),
            }
        }
        self.at += 1;
        Ok(&self.bytes[start..self.at - 1])
    }

    fn digits(&mut self) -> Result<(), JsonError> {
        if !self.peek().is_some_and(|b| b.is_ascii_digit()) {
            return self.fail("no digit");
        }
        while self.peek().is_some_and(|b| b.is_ascii_digit()) {
            self.at += 1;
        }
        Ok(())
    }

    fn number(&mut self) -> Result<(), JsonError> {
        if self.peek() == Some(b'-') {
            self.at += 1;
        }
        if self.peek() == Some(b'0') {
            self.at += 1;
        } else {
            self.digits()?;
        }
        if self.peek() == Some(b'.') {
            self.at += 1;
            self.digits()?;
        }
        if let Some(b'e' | b'E') = self.peek() {
            self.at += 1;
            if let Some(b'+' | b'-') = self.peek() {
                self.at += 1;
            }
            self.digits()?;
        }
        Ok(())
    }

    fn word(&mut self, word: &[u8]) -> Result<(), JsonError> {
        for byte in word {
            if self.peek() != Some(*byte) {
                return self.fail("no value");
            }
            self.at += 1;
        }
        Ok(())
    }
}
