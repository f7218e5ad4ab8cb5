//! The statement's form: one read or write of one record, and the marks in the comment behind it.

/// What a client gets for a statement that no node may see: an SQLSTATE and a text.
pub type Fault = (&'static str, &'static str);

const SYNTAX: &str = "42601";
/// Nobody waits longer for an answer; a figure beyond it is a slip of the pen.
const LONGEST_WAIT_MS: u64 = 86_400_000;

/// A statement of the protocol's form, split into what routing asks for.
#[derive(Debug, PartialEq)]
pub struct Statement {
    text: String,
    /// Where the figure of `d` stands in the text.
    wait_at: std::ops::Range<usize>,
    pub writes: bool,
    pub id: String,
    pub key: String,
    pub workload: String,
    pub customer: String,
    /// How long the client waits, in seconds.
    pub wait: f64,
    pub group: u16,
    /// Its mark against repeats.
    pub mark: Option<String>,
    /// The position that a read must see, in seconds of Unix time.
    pub after: Option<f64>,
}

impl Statement {
    pub fn read(text: &str) -> Result<Statement, Fault> {
        let (writes, key, comment) = split(text)?;
        let at = text.len() - comment.len();
        let marks = &comment[..comment.len() - "*/".len()];
        let mut found = Marks::default();
        for mark in marks.trim().split(',') {
            let (name, value) = mark
                .trim()
                .split_once('=')
                .ok_or((SYNTAX, "a mark in the comment has no value"))?;
            if value.is_empty() || !value.bytes().all(plain) {
                return Err((SYNTAX, "a mark in the comment has a value of unknown form"));
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
                return Err((SYNTAX, "a mark stands twice in the comment"));
            }
        }
        let needed = |mark: Option<_>, fault| mark.ok_or((SYNTAX, fault));
        let id = needed(found.id, "the comment has no id")?;
        let wait = needed(found.wait, "the comment has no d")?;
        let wait_ms = wait
            .parse()
            .ok()
            .filter(|ms| (1..=LONGEST_WAIT_MS).contains(ms));
        let wait_ms = wait_ms.ok_or(("22023", "d is no time to wait"))?;
        let group = needed(found.group, "the comment has no cluster")?;
        let after = found.after.map(|ms| {
            ms.parse::<u64>()
                .map_err(|_| ("22023", "after is no position"))
        });
        // `wait` is a piece of `comment`, which is the end of `text`.
        let start = at + (wait.as_ptr() as usize - comment.as_ptr() as usize);
        Ok(Statement {
            wait_at: start..start + wait.len(),
            writes,
            id: id.to_string(),
            key: key.to_string(),
            workload: needed(found.workload, "the comment has no c")?.to_string(),
            customer: found.customer.unwrap_or_default().to_string(),
            wait: wait_ms as f64 / 1e3,
            group: group
                .parse()
                .map_err(|_| ("22023", "cluster is no number of a group"))?,
            mark: found.marked.map(str::to_string),
            after: after.transpose()?.map(|ms| ms as f64 / 1e3),
            text: text.to_string(),
        })
    }

    /// What it takes in memory, as its text tells.
    pub fn size(&self) -> usize {
        self.text.len()
    }

    /// The statement as a node gets it: unchanged but for how long it is waited for.
    pub fn for_node(&self, wait: f64) -> String {
        let wait_ms = (wait * 1e3).max(1.0) as u64;
        let (before, behind) = (
            &self.text[..self.wait_at.start],
            &self.text[self.wait_at.end..],
        );
        format!("{before}{wait_ms}{behind}")
    }

    /// The question for a write's outcome, by its mark, for stores that offer it: the write's own row if it
    /// ran, code 02000 if it never did and never will, any other error if that can't be told.
    pub fn for_inquiry(&self, wait: f64) -> String {
        let (mark, id, wait_ms) = (
            self.mark.as_deref().unwrap_or_default(),
            &self.id,
            (wait * 1e3).max(1.0),
        );
        format!(
            "{INQUIRY}{mark}' /* id={id},d={wait_ms:.0},cluster={} */",
            self.group
        )
    }
}

const INQUIRY: &str = "SELECT v FROM outcomes WHERE k = '";

/// The mark that an inquiry asks for; none if the text is no inquiry.
pub fn inquired(text: &str) -> Option<&str> {
    let (mark, _) = text.strip_prefix(INQUIRY)?.split_once('\'')?;
    (!mark.is_empty() && mark.bytes().all(plain)).then_some(mark)
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

fn plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte)
}

/// Whether it writes, its key, and what stands behind the comment's opening, its end included.
fn split(text: &str) -> Result<(bool, &str, &str), Fault> {
    const READ: &str = "SELECT v FROM records WHERE k = '";
    const WRITE: &str = "INSERT INTO records (k, v) VALUES ('";
    let wrong = (
        SYNTAX,
        "the statement is neither the read nor the write of one record",
    );
    let (writes, rest) = match (text.strip_prefix(READ), text.strip_prefix(WRITE)) {
        (Some(rest), _) => (false, rest),
        (_, Some(rest)) => (true, rest),
        _ => {
            return Err((
                "0A000",
                "only reads and writes of one record are served here",
            ));
        }
    };
    let (key, rest) = rest.split_once('\'').ok_or(wrong)?;
    if key.is_empty() || !key.bytes().all(plain) {
        return Err((SYNTAX, "the key is of unknown form"));
    }
    let rest = if writes {
        let value = rest.strip_prefix(", '\\x").ok_or(wrong)?;
        let (value, rest) = value.split_once('\'').ok_or(wrong)?;
        if value.len() % 2 != 0 || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(("22P02", "the value is not in hex"));
        }
        rest.strip_prefix(") RETURNING v").ok_or(wrong)?
    } else {
        rest
    };
    let comment = rest
        .strip_prefix(" /*")
        .ok_or((SYNTAX, "the statement has no comment"))?;
    if comment.find("*/").is_none_or(|at| at + 2 != comment.len()) {
        return Err((SYNTAX, "the statement does not end with its comment"));
    }
    Ok((writes, key, comment))
}
