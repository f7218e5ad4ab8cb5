//! Strictly validates JSON (RFC 8259) before `nanoserde` parses it.
//!
//! `nanoserde` accepts text that isn't JSON (surplus commas, comments, anything after the value),
//! and it panics or never returns if the text ends inside an unknown field. Text from outside the
//! process is therefore checked first: it must be exactly one complete value, nested at most 32
//! levels deep, without duplicate keys in an object.

use std::collections::BTreeSet;

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason};
use thiserror::Error;

/// Maximum nesting depth of arrays and objects, in levels. An error text repeats the number.
const MAX_DEPTH: usize = 32;

/// Why a text can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JsonError {
    /// The text is not valid JSON, or it ends too early.
    #[error("byte {offset}: {problem}")]
    Syntax {
        /// The offset of the error in bytes, counted from 0.
        offset: usize,
        /// What is wrong at the offset.
        problem: &'static str,
    },
    /// The text is valid JSON but lacks the expected fields or types.
    #[error("line {line}, column {column}: {problem}")]
    Shape {
        /// The line of the error or a line shortly after it, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong at this position.
        problem: String,
    },
}

impl From<DeJsonErr> for JsonError {
    fn from(error: DeJsonErr) -> JsonError {
        let problem = match error.msg {
            DeJsonErrReason::UnexpectedKey(name) => format!("unexpected key {name}"),
            DeJsonErrReason::MissingKey(name) => format!("{name} is missing"),
            DeJsonErrReason::NoSuchEnum(name) => format!("unknown value {name:?}"),
            DeJsonErrReason::UnexpectedToken(token, expected) => {
                format!("expected {}, found {token:?}", expected.trim())
            }
            DeJsonErrReason::OutOfRange(value) => format!("value out of range: {}", value.trim()),
            DeJsonErrReason::WrongType(found) => format!("wrong type: {}", found.trim()),
            DeJsonErrReason::CannotParse(what) => format!("can't be parsed: {}", what.trim()),
            _ => "can't be parsed".to_owned(),
        };
        JsonError::Shape {
            line: error.line + 1,
            column: error.col,
            problem,
        }
    }
}

/// Parses a body that must be exactly one complete JSON value.
///
/// # Errors
///
/// [`JsonError`], with the position in the body.
pub fn parse<T: DeJson>(body: &[u8]) -> Result<T, JsonError> {
    let text = std::str::from_utf8(body).map_err(|error| JsonError::Syntax {
        offset: error.valid_up_to(),
        problem: "not UTF-8",
    })?;
    check(body)?;
    Ok(T::deserialize_json(text)?)
}

/// Checks that the bytes are exactly one complete JSON value.
///
/// # Errors
///
/// [`JsonError::Syntax`] at the first byte that violates this.
pub fn check(bytes: &[u8]) -> Result<(), JsonError> {
    scan(bytes, &mut |_, _| {})
}

/// Returns the distinct paths of all keys in the value, for example `routes[].name`.
///
/// # Errors
///
/// [`JsonError::Syntax`] if the bytes are not exactly one complete JSON value.
pub fn key_paths(bytes: &[u8]) -> Result<BTreeSet<String>, JsonError> {
    let mut paths = BTreeSet::new();
    let mut path_parts: Vec<String> = Vec::new();
    scan(bytes, &mut |depth, key| {
        // Levels without a key are arrays.
        path_parts.truncate(depth - 1);
        path_parts.resize(depth - 1, "[]".to_owned());
        path_parts.push(String::from_utf8_lossy(key).into_owned());
        paths.insert(path_parts.join(".").replace(".[]", "[]"));
    })?;
    Ok(paths)
}

/// Scans bytes that must be exactly one complete value. Calls `on_key` with each key and its depth,
/// which is 1 in the outermost object.
fn scan<'a>(bytes: &'a [u8], on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
    let mut scanner = Scanner { bytes, offset: 0 };
    scanner.scan_value(on_key)?;
    scanner.skip_whitespace();
    if scanner.offset < bytes.len() {
        scanner.fail("unexpected text after the value")
    } else {
        Ok(())
    }
}

/// An array or an object whose closing bracket has not been scanned yet.
enum Container<'a> {
    /// An object with the keys scanned so far.
    Object(BTreeSet<&'a [u8]>),
    Array,
}

impl Container<'_> {
    fn closing_bracket(&self) -> u8 {
        match self {
            Container::Object(_) => b'}',
            Container::Array => b']',
        }
    }
}

/// Scans a JSON text from its start.
struct Scanner<'a> {
    bytes: &'a [u8],
    /// The offset of the next byte to scan.
    offset: usize,
}

impl<'a> Scanner<'a> {
    /// Returns the error for this problem at the current offset; at the end of the text, the error
    /// says that the text ends too early.
    fn fail<T>(&self, problem: &'static str) -> Result<T, JsonError> {
        let problem = if self.offset >= self.bytes.len() {
            "unexpected end of text"
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

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.offset += 1;
        }
    }

    /// Scans one value with all values nested in it. Keeps the open containers in a vector instead
    /// of recursing, so that deeply nested text can't overflow the thread's stack.
    fn scan_value(&mut self, on_key: &mut dyn FnMut(usize, &'a [u8])) -> Result<(), JsonError> {
        let mut open: Vec<Container<'a>> = Vec::new();
        loop {
            self.skip_whitespace();
            if self.scan_value_start(&mut open, on_key)? {
                continue;
            }
            if self.scan_value_end(&mut open, on_key)? {
                return Ok(());
            }
        }
    }

    /// Scans a scalar value, or opens a container. Returns whether it opened a container that isn't
    /// empty, whose first value comes next.
    fn scan_value_start(
        &mut self,
        open: &mut Vec<Container<'a>>,
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<bool, JsonError> {
        let container = match self.peek() {
            Some(b'{') => Container::Object(BTreeSet::new()),
            Some(b'[') => Container::Array,
            Some(b'"') => return self.scan_string().map(|_| false),
            Some(b'-' | b'0'..=b'9') => return self.scan_number().map(|()| false),
            Some(b't') => return self.scan_literal(b"true").map(|()| false),
            Some(b'f') => return self.scan_literal(b"false").map(|()| false),
            Some(b'n') => return self.scan_literal(b"null").map(|()| false),
            _ => return self.fail("expected a value"),
        };
        if open.len() == MAX_DEPTH {
            return self.fail("nested deeper than 32 levels");
        }
        self.offset += 1;
        self.skip_whitespace();
        let is_empty = self.peek() == Some(container.closing_bracket());
        open.push(container);
        if !is_empty {
            self.scan_key_if_object(open, on_key)?;
        }
        Ok(!is_empty)
    }

    /// Scans the closing brackets and the comma that follow a value, up to the next value. Returns
    /// whether the outermost value is complete.
    fn scan_value_end(
        &mut self,
        open: &mut Vec<Container<'a>>,
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<bool, JsonError> {
        while let Some(container) = open.last() {
            self.skip_whitespace();
            match self.peek() {
                Some(byte) if byte == container.closing_bracket() => {
                    self.offset += 1;
                    open.pop();
                }
                Some(b',') => {
                    self.offset += 1;
                    self.scan_key_if_object(open, on_key)?;
                    return Ok(false);
                }
                _ => return self.fail("expected a comma or a closing bracket"),
            }
        }
        Ok(true)
    }

    /// Scans the key of the next value, if the innermost container is an object.
    fn scan_key_if_object(
        &mut self,
        open: &mut [Container<'a>],
        on_key: &mut dyn FnMut(usize, &'a [u8]),
    ) -> Result<(), JsonError> {
        let depth = open.len();
        if let Some(Container::Object(keys)) = open.last_mut() {
            self.skip_whitespace();
            on_key(depth, self.scan_key(keys)?);
        }
        Ok(())
    }

    fn scan_key(&mut self, keys: &mut BTreeSet<&'a [u8]>) -> Result<&'a [u8], JsonError> {
        let start = self.offset;
        if self.peek() != Some(b'"') {
            return self.fail("expected a key in double quotes");
        }
        let key = self.scan_string()?;
        if !keys.insert(key) {
            return Err(JsonError::Syntax {
                offset: start,
                problem: "duplicate key",
            });
        }
        self.skip_whitespace();
        if self.peek() != Some(b':') {
            return self.fail("expected a colon after the key");
        }
        self.offset += 1;
        Ok(key)
    }

    /// Scans a string, starting at its opening quote. Returns the bytes between the quotes without
    /// decoding escapes.
    fn scan_string(&mut self) -> Result<&'a [u8], JsonError> {
        self.offset += 1;
        let start = self.offset;
        loop {
            match self.peek() {
                Some(b'"') => break,
                Some(b'\\') => self.scan_escape()?,
                Some(0x20..) => self.offset += 1,
                _ => return self.fail("control character in a string"),
            }
        }
        self.offset += 1;
        Ok(&self.bytes[start..self.offset - 1])
    }

    /// Scans an escape sequence (RFC 8259, section 7).
    fn scan_escape(&mut self) -> Result<(), JsonError> {
        self.offset += 1;
        match self.peek() {
            Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => self.offset += 1,
            Some(b'u') => {
                self.offset += 1;
                for _ in 0..4 {
                    if !self.peek().is_some_and(|byte| byte.is_ascii_hexdigit()) {
                        return self.fail("invalid escape sequence");
                    }
                    self.offset += 1;
                }
            }
            _ => return self.fail("invalid escape sequence"),
        }
        Ok(())
    }

    fn scan_digits(&mut self) -> Result<(), JsonError> {
        if !self.peek().is_some_and(|b| b.is_ascii_digit()) {
            return self.fail("expected a digit");
        }
        while self.peek().is_some_and(|b| b.is_ascii_digit()) {
            self.offset += 1;
        }
        Ok(())
    }

    fn scan_number(&mut self) -> Result<(), JsonError> {
        if self.peek() == Some(b'-') {
            self.offset += 1;
        }
        if self.peek() == Some(b'0') {
            self.offset += 1;
        } else {
            self.scan_digits()?;
        }
        if self.peek() == Some(b'.') {
            self.offset += 1;
            self.scan_digits()?;
        }
        if let Some(b'e' | b'E') = self.peek() {
            self.offset += 1;
            if let Some(b'+' | b'-') = self.peek() {
                self.offset += 1;
            }
            self.scan_digits()?;
        }
        Ok(())
    }

    fn scan_literal(&mut self, literal: &[u8]) -> Result<(), JsonError> {
        for byte in literal {
            if self.peek() != Some(*byte) {
                return self.fail("expected a value");
            }
            self.offset += 1;
        }
        Ok(())
    }
}
