//! The router's settings file, JSON5, which is separate from the start file of the platform. Errors in it are reported
//! with line and column.

use badgerstream_routing::{fleet, recovery, succession};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Contents of the settings file. A feature whose section is missing is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Handling of statements while the primary of a group changes.
    pub succession: Option<succession::Settings>,
    /// Restart pacing: limits the load when many routers restart at once.
    pub recovery: Option<recovery::Settings>,
    /// Fleet sharing: coordination with the other routers.
    pub fleet: Option<fleet::Settings>,
}

/// An error in a JSON5 file and its position.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct FileError {
    /// Line, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
    /// Description of the error.
    pub problem: String,
}

impl RouterSettings {
    /// Parses and validates a settings file. `max_held_bytes` is the memory available for statements that wait, in
    /// bytes.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON5, has an unknown field, or has a value of the wrong type or out of range.
    pub fn parse(text: &str, max_held_bytes: usize) -> Result<RouterSettings, FileError> {
        parse_json5(text, |settings: &RouterSettings| {
            let succession = settings
                .succession
                .as_ref()
                .and_then(|s| s.fault(max_held_bytes))
                .map(|f| ("succession", f));
            let recovery = || {
                settings
                    .recovery
                    .as_ref()
                    .and_then(|r| r.fault())
                    .map(|f| ("recovery", f))
            };
            let fleet = || {
                settings
                    .fleet
                    .as_ref()
                    .and_then(|f| f.fault())
                    .map(|f| ("fleet", f))
            };
            let (section, (field, problem)) = succession.or_else(recovery).or_else(fleet)?;
            Some((format!("{section}.{field}"), problem))
        })
    }
}

/// Parses a JSON5 file. `validate` checks what types can't express: it returns the path of the first invalid field and
/// the problem, or `None`.
///
/// # Errors
///
/// Fails if the text is not valid JSON5, does not match the type, or `validate` finds a problem.
pub fn parse_json5<T: DeserializeOwned>(
    text: &str,
    validate: impl FnOnce(&T) -> Option<(String, String)>,
) -> Result<T, FileError> {
    let value: T = json5::from_str(text).map_err(|e| {
        let at = e.position().map_or((1, 1), |p| (p.line + 1, p.column + 1));
        // The library appends the position to its message.
        let message = e.to_string();
        let problem = message
            .rsplit_once(" at line ")
            .map_or(message.as_str(), |(problem, _)| problem);
        FileError {
            line: at.0,
            column: at.1,
            problem: problem.to_string(),
        }
    })?;
    match validate(&value) {
        None => Ok(value),
        Some((path, problem)) => {
            let (line, column) = position(text, &path);
            Err(FileError {
                line,
                column,
                problem: format!("{path} {problem}"),
            })
        }
    }
}

/// Returns line and column of the last key of a path, for a value that has the right type but is invalid. For a field
/// that is missing, returns the position of the innermost enclosing key that exists.
fn position(text: &str, path: &str) -> (usize, usize) {
    let stripped = without_comments(text);
    let at = path
        .split('.')
        .try_fold(0, |from, key| find_key(&stripped, from, key).ok_or(from));
    let at = at.unwrap_or_else(|found| found);
    let before = &stripped[..at];
    (
        before.matches('\n').count() + 1,
        before.len() - before.rfind('\n').map_or(0, |end| end + 1) + 1,
    )
}

/// Returns the first offset from `from` on where this key, quoted or not, is followed by a colon.
fn find_key(text: &str, from: usize, key: &str) -> Option<usize> {
    text[from..]
        .match_indices(key)
        .map(|(at, _)| from + at)
        .find(|at| {
            let before = text[..*at].chars().next_back().unwrap_or(' ');
            let after = text[at + key.len()..]
                .trim_start_matches(['"', '\''])
                .trim_start();
            !(before.is_alphanumeric() || before == '_') && after.starts_with(':')
        })
}

/// Replaces comments by spaces, so that all other text keeps its byte offset.
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
