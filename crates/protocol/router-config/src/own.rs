//! Our own settings: a file of JSON5 beside the one that the platform hands over. What is wrong in it is told
//! with its line and column.

use badgerstream_routing::{fleet, recovery, succession};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// What may be left out is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Own {
    /// What happens while a group's primary changes.
    pub succession: Option<succession::Settings>,
    /// What happens while many routers come back at once.
    pub recovery: Option<recovery::Settings>,
    /// What is decided as one of many routers.
    pub fleet: Option<fleet::Settings>,
}

/// Why such a file can't be used.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct Fault {
    /// Both count from 1.
    pub line: usize,
    pub column: usize,
    pub problem: String,
}

impl Own {
    /// `bytes` is what the process may spend on statements that wait.
    pub fn read(text: &str, bytes: usize) -> Result<Own, Fault> {
        json5_file(text, |own: &Own| {
            let succession = own
                .succession
                .as_ref()
                .and_then(|s| s.fault(bytes))
                .map(|f| ("succession", f));
            let recovery = || {
                own.recovery
                    .as_ref()
                    .and_then(|r| r.fault())
                    .map(|f| ("recovery", f))
            };
            let fleet = || {
                own.fleet
                    .as_ref()
                    .and_then(|f| f.fault())
                    .map(|f| ("fleet", f))
            };
            let (part, (field, why)) = succession.or_else(recovery).or_else(fleet)?;
            Some((format!("{part}.{field}"), why))
        })
    }
}

/// Reads a file of ours. `fault` finds what is wrong beyond types: a field's path, and why.
pub fn json5_file<T: DeserializeOwned>(
    text: &str,
    fault: impl FnOnce(&T) -> Option<(String, String)>,
) -> Result<T, Fault> {
    let told: T = json5::from_str(text).map_err(|e| {
        let at = e.position().map_or((1, 1), |p| (p.line + 1, p.column + 1));
        // The library ends its own text with the place.
        let told = e.to_string();
        let problem = told
            .rsplit_once(" at line ")
            .map_or(told.as_str(), |(problem, _)| problem);
        Fault {
            line: at.0,
            column: at.1,
            problem: problem.to_string(),
        }
    })?;
    match fault(&told) {
        None => Ok(told),
        Some((path, why)) => {
            let (line, column) = place(text, &path);
            Err(Fault {
                line,
                column,
                problem: format!("{path} {why}"),
            })
        }
    }
}

/// Where the last part of such a path stands, for a value that has the right type and is still wrong. One that
/// was left out has the place of what it would be in.
fn place(text: &str, path: &str) -> (usize, usize) {
    let bare = without_comments(text);
    let at = path
        .split('.')
        .try_fold(0, |from, key| key_behind(&bare, from, key).ok_or(from));
    let at = at.unwrap_or_else(|found| found);
    let before = &bare[..at];
    (
        before.matches('\n').count() + 1,
        before.len() - before.rfind('\n').map_or(0, |end| end + 1) + 1,
    )
}

/// The first place behind `from` where this key, quoted or not, is followed by a colon.
fn key_behind(text: &str, from: usize, key: &str) -> Option<usize> {
    text[from..]
        .match_indices(key)
        .map(|(at, _)| from + at)
        .find(|at| {
            let before = text[..*at].chars().next_back().unwrap_or(' ');
            let behind = text[at + key.len()..]
                .trim_start_matches(['"', '\''])
                .trim_start();
            !(before.is_alphanumeric() || before == '_') && behind.starts_with(':')
        })
}

/// Comments as blanks: all else keeps its place, counted in bytes.
fn without_comments(text: &str) -> String {
    let (mut bytes, mut at) = (text.as_bytes().to_vec(), 0);
    let (mut quote, mut comment) = (None, None);
    while at < bytes.len() {
        let pair = (bytes[at], bytes.get(at + 1).copied().unwrap_or_default());
        match (quote, comment, pair) {
            (Some(_), _, (b'\\', _)) => at += 1,
            (Some(mark), _, (byte, _)) if byte == mark => quote = None,
            (Some(_), _, _) => {}
            (_, None, (b'"' | b'\'', _)) => quote = Some(pair.0),
            (_, None, (b'/', b'/' | b'*')) => {
                comment = Some(pair.1);
                bytes[at] = b' ';
                bytes[at + 1] = b' ';
                at += 1;
            }
            (_, Some(b'/'), (b'\n', _)) => comment = None,
            (_, Some(b'*'), (b'*', b'/')) => {
                (bytes[at], bytes[at + 1], comment) = (b' ', b' ', None);
                at += 1;
            }
            (_, Some(_), (byte, _)) if byte != b'\n' => bytes[at] = b' ',
            _ => {}
        }
        at += 1;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
