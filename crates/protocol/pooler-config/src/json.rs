//! A strict check of JSON (RFC 8259) before `nanoserde` parses it.
//!
//! `nanoserde` accepts texts that aren't JSON (surplus commas, comments, anything after the value),
//! and where an unknown field breaks off it panics or never returns. So what arrives from outside
//! is checked first: one complete value and nothing else, nested no deeper than 32 levels, and no
//! key twice in one object.

use std::collections::BTreeSet;

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use thiserror::Error;

/// How deep lists and objects may be nested, in levels.
const MAX_DEPTH: usize = 32;

/// Why a text can't be parsed completely.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JsonError {
    /// Not JSON, or broken off.
    #[error("byte {offset}: {problem}")]
    Syntax {
        /// The offset of the byte, counted from 0.
        offset: usize,
        /// What is wrong there.
        problem: &'static str,
    },
    /// JSON, but not of the expected fields and types.
    #[error("line {line}, column {column}: {problem}")]
    Shape {
        /// The line of the fault, or shortly after it, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong there.
        problem: String,
    },
}

impl From<DeJsonErr> for JsonError {
    fn from(error: DeJsonErr) -> JsonError {
        let problem = match error.msg {
            DeJsonErrReason::UnexpectedKey(name) => format!("unexpected key {name}"),
            DeJsonErrReason::MissingKey(name) => format!("{name} is missing"),
            DeJsonErrReason::NoSuchEnum(name) => format!("unknown word {name:?}"),
            DeJsonErrReason::UnexpectedToken(token, wanted) => {
                format!("{token:?} instead of {}", wanted.trim())
            }
            DeJsonErrReason::OutOfRange(value) => format!("out of range: {}", value.trim()),
            DeJsonErrReason::WrongType(found) => format!("wrong type: {}", found.trim()),
            DeJsonErrReason::CannotParse(what) => format!("can't be read: {}", what.trim()),
            _ => "can't be read".to_owned(),
        };
        JsonError::Shape {
            line: error.line + 1,
            column: error.col,
            problem,
        }
    }
}

/// Parses a body that must be one complete JSON value.
///
/// # Errors
///
/// [`JsonError`], with the place in the text.
pub fn read<T: DeJson>(body: &[u8]) -> Result<T, JsonError> {
    let text = std::str::from_utf8(body).map_err(|error| JsonError::Syntax {
        offset: error.valid_up_to(),
        problem: "no UTF-8",
    })?;
    check(body)?;
    Ok(T::deserialize_json(text)?)
}

/// Checks that the bytes are one complete JSON value and nothing else.
///
/// # Errors
///
/// [`JsonError::Syntax`].
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    scan(bytes, &mut |_, _| {})
}

/// The paths of all keys in the value, each path once, for example `routes[].name`.
///
/// # Errors
///
/// [`JsonError::Syntax`].
pub fn key_paths(bytes: &[u8]) -> Result<BTreeSet<String>, JsonError> {
    let mut paths = BTreeSet::new();
    let mut steps: Vec<String> = Vec::new();
    scan(bytes, &mut |depth, key| {
        // Levels without a key are lists.
        steps.truncate(depth - 1);
        steps.resize(depth - 1, "[]".to_owned());
        steps.push(String::from_utf8_lossy(key).into_owned());
        paths.insert(steps.join(".").replace(".[]", "[]"));
    })?;
    Ok(paths)
}

/// Scans one complete value and nothing else. `on_key` gets each key and its depth, 1 in the
/// outermost object.
fn scan<'a>(bytes: &'a [u8], on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
    let mut scan = Scan { bytes, offset: 0 };
    scan.value(on_key)?;
    scan.blanks();
    if scan.offset < bytes.len() {
        scan.fail("text after the end")
    } else {
        Ok(())
    }
}

/// A list or an object that is open.
enum Container<'a> {
    /// With the keys so far.
    Object(BTreeSet<&'a [u8]>),
    List,
}

impl Container<'_> {
    fn closing_bracket(&self) -> u8 {
        match self {
            Container::Object(_) => b'}',
            Container::List => b']',
        }
    }
}

/// A position in a text that is checked.
struct Scan<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Scan<'a> {
    fn fail<T>(&self, problem: &'static str) -> Result<T, JsonError> {
        let problem = if self.offset >= self.bytes.len() {
            "breaks off"
        } else {
            problem
        };
        Err(JsonError::Syntax {
            offset: self.offset,
            problem,
        })
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    fn blanks(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.offset += 1;
        }
    }

    /// Scans one value with everything in it. The nesting is kept in a stack of its own: the text
    /// decides how deep it is, and must not use up the thread's.
    fn value(&mut self, on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
        let mut open: Vec<Container<'a>> = Vec::new();
        loop {
            self.blanks();
            if self.begin_value(&mut open, on_key)? {
                continue;
            }
            if self.end_value(&mut open, on_key)? {
                return Ok(());
            }
        }
    }

    /// Scans a simple value, or opens a container. Returns whether it is one that isn't empty: its
    /// first value is next then.
    fn begin_value(
        &mut self,
        open: &mut Vec<Container<'a>>,
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<bool, JsonError> {
        let container = match self.peek() {
            Some(b'{') => Container::Object(BTreeSet::new()),
            Some(b'[') => Container::List,
            Some(b'"') => return self.string().map(|_| false),
            Some(b'-' | b'0'..=b'9') => return self.number().map(|()| false),
            Some(b't') => return self.word(b"true").map(|()| false),
            Some(b'f') => return self.word(b"false").map(|()| false),
            Some(b'n') => return self.word(b"null").map(|()| false),
            _ => return self.fail("no value"),
        };
        if open.len() == MAX_DEPTH {
            return self.fail("nested too deep");
        }
        self.offset += 1;
        self.blanks();
        let is_empty = self.peek() == Some(container.closing_bracket());
        open.push(container);
        if !is_empty {
            self.first_or_next_key(open, on_key)?;
        }
        Ok(!is_empty)
    }

    /// Scans what follows a value, up to the next one in the same container. Returns whether the
    /// outermost value is complete.
    fn end_value(
        &mut self,
        open: &mut Vec<Container<'a>>,
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<bool, JsonError> {
        while let Some(container) = open.last() {
            self.blanks();
            match self.peek() {
                Some(byte) if byte == container.closing_bracket() => {
                    self.offset += 1;
                    open.pop();
                }
                Some(b',') => {
                    self.offset += 1;
                    self.first_or_next_key(open, on_key)?;
                    return Ok(false);
                }
                _ => return self.fail("neither a comma nor the end"),
            }
        }
        Ok(true)
    }

    /// Scans the key of the next value, if the innermost container is an object.
    fn first_or_next_key(
        &mut self,
        open: &mut [Container<'a>],
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<(), JsonError> {
        let depth = open.len();
        if let Some(Container::Object(keys)) = open.last_mut() {
            self.blanks();
            on_key(depth, self.key(keys)?);
        }
        Ok(())
    }

    fn key(&mut self, keys: &mut BTreeSet<&'a [u8]>) -> Result<&'a [u8], JsonError> {
        let start = self.offset;
        if self.peek() != Some(b'"') {
            return self.fail("no key");
        }
        let key = self.string()?;
        if !keys.insert(key) {
            return Err(JsonError::Syntax {
                offset: start,
                problem: "key told twice",
            });
        }
        self.blanks();
        if self.peek() != Some(b':') {
            return self.fail("no colon after the key");
        }
        self.offset += 1;
        Ok(key)
    }

    /// Scans a string from its opening quote on; returns what is between the quotes, escapes as
    /// they are.
    fn string(&mut self) -> Result<&'a [u8], JsonError> {
        self.offset += 1;
        let start = self.offset;
        loop {
            match self.peek() {
                Some(b'"') => break,
                Some(b'\\') => self.escape()?,
                Some(0x20..) => self.offset += 1,
                _ => return self.fail("control character in a string"),
            }
        }
        self.offset += 1;
        Ok(&self.bytes[start..self.offset - 1])
    }

    /// Scans an escape (RFC 8259, section 7).
    fn escape(&mut self) -> Result<(), JsonError> {
        self.offset += 1;
        match self.peek() {
            Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => self.offset += 1,
            Some(b'u') => {
                self.offset += 1;
                for _ in 0..4 {
                    if !self.peek().is_some_and(|byte| byte.is_ascii_hexdigit()) {
                        return self.fail("invalid escape");
                    }
                    self.offset += 1;
                }
            }
            _ => return self.fail("invalid escape"),
        }
        Ok(())
    }

    fn digits(&mut self) -> Result<(), JsonError> {
        if !self.peek().is_some_and(|b| b.is_ascii_digit()) {
            return self.fail("no digit");
        }
        while self.peek().is_some_and(|b| b.is_ascii_digit()) {
            self.offset += 1;
        }
        Ok(())
    }

    fn number(&mut self) -> Result<(), JsonError> {
        if self.peek() == Some(b'-') {
            self.offset += 1;
        }
        if self.peek() == Some(b'0') {
            self.offset += 1;
        } else {
            self.digits()?;
        }
        if self.peek() == Some(b'.') {
            self.offset += 1;
            self.digits()?;
        }
        if let Some(b'e' | b'E') = self.peek() {
            self.offset += 1;
            if let Some(b'+' | b'-') = self.peek() {
                self.offset += 1;
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
            self.offset += 1;
        }
        Ok(())
    }
}
