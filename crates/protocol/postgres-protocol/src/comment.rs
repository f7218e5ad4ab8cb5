//! Parses statements: a read or write of one record, followed by a comment with marks (name=value).

/// SQLSTATE and text of the error for a statement that is not sent to any node.
pub type ClientError = (&'static str, &'static str);

const SYNTAX: &str = "42601";
/// Maximum wait of a client, one day; a larger value is taken for a mistake.
const MAX_WAIT_MS: u64 = 86_400_000;

/// A parsed statement.
#[derive(Debug, PartialEq)]
pub struct Statement {
    text: String,
    /// Range of the value of mark `d` in the text.
    wait_range: std::ops::Range<usize>,
    /// Whether the statement writes.
    pub writes: bool,
    /// Id of the statement, mark `id`.
    pub id: String,
    /// Key of the record.
    pub key: String,
    /// Name of the workload, mark `c`.
    pub workload: String,
    /// Name of the customer, mark `t`; empty if there is none.
    pub customer: String,
    /// Time that the client waits, in seconds, mark `d`.
    pub wait_s: f64,
    /// Number of the replication group, mark `cluster`.
    pub group: u16,
    /// Deduplication mark of a write, mark `k`.
    pub mark: Option<String>,
    /// Position that a read must see, in seconds of Unix time, mark `after`.
    pub after: Option<f64>,
}

impl Statement {
    /// Parses a statement.
    ///
    /// # Errors
    ///
    /// Fails if the statement does not have the supported form, or a mark is missing, duplicate or invalid.
    pub fn parse(text: &str) -> Result<Statement, ClientError> {
        let (writes, key, comment) = split(text)?;
        let at = text.len() - comment.len();
        let marks = &comment[..comment.len() - "*/".len()];
        let mut found = Marks::default();
        for mark in marks.trim().split(',') {
            let (name, value) = mark.trim().split_once('=').ok_or((
                SYNTAX,
                "a mark in the statement comment is not of the form name=value",
            ))?;
            if value.is_empty() || !value.bytes().all(is_plain) {
                return Err((
                    SYNTAX,
                    "the value of a mark in the statement comment is empty or has a character other than \
                     A-Z a-z 0-9 - _ . :",
                ));
            }
            let place = match name {
                "id" => &mut found.id,
                "c" => &mut found.workload,
                "t" => &mut found.customer,
                "d" => &mut found.wait,
                "k" => &mut found.marked,
                "cluster" => &mut found.group,
                "after" => &mut found.after,
                _ => continue,
            };
            if place.replace(value).is_some() {
                return Err((SYNTAX, "a mark occurs twice in the statement comment"));
            }
        }
        let required = |mark: Option<_>, error| mark.ok_or((SYNTAX, error));
        let id = required(found.id, "the statement comment has no mark id")?;
        let wait = required(found.wait, "the statement comment has no mark d")?;
        let wait_ms = wait
            .parse()
            .ok()
            .filter(|ms| (1..=MAX_WAIT_MS).contains(ms));
        let wait_ms = wait_ms.ok_or(("22023", "mark d must be a time from 1 to 86400000 ms"))?;
        let group = required(found.group, "the statement comment has no mark cluster")?;
        let after = found.after.map(|ms| {
            ms.parse::<u64>().map_err(|_| {
                (
                    "22023",
                    "mark after must be a position in whole milliseconds",
                )
            })
        });
        // `wait` is a slice of `comment`, and `comment` is the end of `text`.
        let start = at + (wait.as_ptr() as usize - comment.as_ptr() as usize);
        Ok(Statement {
            wait_range: start..start + wait.len(),
            writes,
            id: id.to_string(),
            key: key.to_string(),
            workload: required(found.workload, "the statement comment has no mark c")?.to_string(),
            customer: found.customer.unwrap_or_default().to_string(),
            wait_s: wait_ms as f64 / 1e3,
            group: group.parse().map_err(|_| {
                (
                    "22023",
                    "mark cluster must be the number of a group from 0 to 65535",
                )
            })?,
            mark: found.marked.map(str::to_string),
            after: after.transpose()?.map(|ms| ms as f64 / 1e3),
            text: text.to_string(),
        })
    }

    /// Returns the size of the statement's text, in bytes.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// Returns the text to send to a node: unchanged except for the remaining wait, in seconds.
    pub fn for_node(&self, wait_s: f64) -> String {
        let wait_ms = (wait_s * 1e3).max(1.0) as u64;
        let (before, after) = (
            &self.text[..self.wait_range.start],
            &self.text[self.wait_range.end..],
        );
        format!("{before}{wait_ms}{after}")
    }

    /// Returns an inquiry about the outcome of a write by its deduplication mark, for stores that support it. The
    /// answer is the row of the write if it ran, error 02000 if it has not run and never will, or any other error if the node
    /// does not know. `wait_s` is the remaining wait, in seconds.
    pub fn for_inquiry(&self, wait_s: f64) -> String {
        let (mark, id, wait_ms) = (
            self.mark.as_deref().unwrap_or_default(),
            &self.id,
            (wait_s * 1e3).max(1.0),
        );
        format!(
            "{INQUIRY}{mark}' /* id={id},d={wait_ms:.0},cluster={} */",
            self.group
        )
    }
}

const INQUIRY: &str = "SELECT v FROM outcomes WHERE k = '";

/// Returns the deduplication mark in an inquiry, or `None` if the text is not an inquiry.
pub fn inquiry_mark(text: &str) -> Option<&str> {
    let (mark, _) = text.strip_prefix(INQUIRY)?.split_once('\'')?;
    (!mark.is_empty() && mark.bytes().all(is_plain)).then_some(mark)
}

#[derive(Default)]
struct Marks<'a> {
    id: Option<&'a str>,
    workload: Option<&'a str>,
    customer: Option<&'a str>,
    wait: Option<&'a str>,
    marked: Option<&'a str>,
    group: Option<&'a str>,
    after: Option<&'a str>,
}

fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte)
}

/// Splits a statement into whether it writes, its key, and its comment from behind `/*` to the end, with `*/`.
fn split(text: &str) -> Result<(bool, &str, &str), ClientError> {
    const READ: &str = "SELECT v FROM records WHERE k = '";
    const WRITE: &str = "INSERT INTO records (k, v) VALUES ('";
    let malformed = (
        SYNTAX,
        "the statement is not a well-formed read or write of one record",
    );
    let (writes, rest) = match (text.strip_prefix(READ), text.strip_prefix(WRITE)) {
        (Some(rest), _) => (false, rest),
        (_, Some(rest)) => (true, rest),
        _ => {
            return Err(("0A000", "only reads and writes of one record are supported"));
        }
    };
    let (key, rest) = rest.split_once('\'').ok_or(malformed)?;
    if key.is_empty() || !key.bytes().all(is_plain) {
        return Err((
            SYNTAX,
            "the key is empty or has a character other than A-Z a-z 0-9 - _ . :",
        ));
    }
    let rest = if writes {
        let value = rest.strip_prefix(", '\\x").ok_or(malformed)?;
        let (value, rest) = value.split_once('\'').ok_or(malformed)?;
        if value.len() % 2 != 0 || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err((
                "22P02",
                "the value must have an even number of hexadecimal digits",
            ));
        }
        rest.strip_prefix(") RETURNING v").ok_or(malformed)?
    } else {
        rest
    };
    let comment = rest
        .strip_prefix(" /*")
        .ok_or((SYNTAX, "the statement has no comment"))?;
    if comment.find("*/").is_none_or(|at| at + 2 != comment.len()) {
        return Err((SYNTAX, "the statement must end with its only comment"));
    }
    Ok((writes, key, comment))
}
