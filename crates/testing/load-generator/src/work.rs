//! One statement that is to be sent, wherever it was drawn from, and its text on the wire.

/// Moments are nanoseconds since the run's start.
pub type Moment = u64;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Its own within a run.
    pub number: u64,
    pub due: Moment,
    /// Its place in the run's list of workloads.
    pub workload: u16,
    pub group: u16,
    pub customer: String,
    pub key: String,
    /// The size of the value that it writes; none for a read.
    pub writes: Option<u32>,
    pub marked: bool,
    /// How long its client waits, in nanoseconds.
    pub patience: u64,
    /// Within it a completion is in time.
    pub slo: u64,
    /// The session that it belongs to; 0 for none.
    pub session: u64,
    /// A read that has to show its session's last write.
    pub own: bool,
    /// Whether that is checked by the value.
    pub check: bool,
}

/// What a session's write tells those that read it back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wrote {
    /// The statement that wrote.
    pub number: u64,
    /// Its commit's position, where the answer told one.
    pub position: Option<u64>,
}

/// What differs from one attempt at a statement to the next.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Parts the ids of one run from another's.
    pub run: u64,
    /// From 1 on; each has an id of its own, and all have the same mark.
    pub attempt: u32,
    /// Later attempts say that they are.
    pub told: bool,
    /// How long its client waits from now on, in nanoseconds.
    pub left: u64,
    /// Its session's last write, for a read that must show it.
    pub wrote: Option<Wrote>,
}

/// The bytes at a value's beginning that tell who wrote it.
const SIGNED: usize = 8;

impl Work {
    /// When its client gives up.
    pub fn deadline(&self) -> Moment {
        self.due.saturating_add(self.patience)
    }

    /// A repeat can do no harm where the server keeps its rules.
    pub fn repeatable(&self) -> bool {
        self.writes.is_none() || self.marked
    }

    /// Its text; `workload` is the name that its place stands for.
    pub fn text(&self, workload: &str, asked: &Asked) -> String {
        use std::fmt::Write;
        let mut text = String::with_capacity(160 + 2 * self.writes.unwrap_or(0) as usize);
        let (key, number) = (&self.key, self.number);
        // Writing to a string does not fail.
        let _ = match self.writes {
            None => write!(text, "SELECT v FROM records WHERE k = '{key}' /* "),
            Some(size) => {
                let _ = write!(text, "INSERT INTO records (k, v) VALUES ('{key}', '\\x");
                value(number, size as usize, &mut text);
                text.write_str("') RETURNING v /* ")
            }
        };
        let (run, attempt) = (asked.run, asked.attempt);
        let _ = write!(text, "id={run:x}-{number:x}");
        if attempt > 1 {
            let _ = write!(text, "-{attempt}{}", if asked.told { ",r=1" } else { "" });
        }
        let _ = write!(text, ",c={workload}");
        if !self.customer.is_empty() {
            let _ = write!(text, ",t={}", self.customer);
        }
        let wait = asked.left.div_ceil(1_000_000).max(1);
        let _ = write!(text, ",d={wait}");
        if self.marked {
            let _ = write!(text, ",k=m{run:x}-{number:x}");
        }
        let _ = write!(text, ",cluster={}", self.group);
        if let Some(position) = asked
            .wrote
            .and_then(|wrote| wrote.position)
            .filter(|_| self.own)
        {
            let _ = write!(text, ",after={position}");
        }
        text.push_str(" */");
        text
    }
}

/// A value of so many bytes in hex: who wrote it, then bytes that follow from that.
fn value(number: u64, size: usize, text: &mut String) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut put = |byte: u8| {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    };
    number
        .to_be_bytes()
        .into_iter()
        .take(size)
        .for_each(&mut put);
    let mut state = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for _ in SIGNED..size {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        put(state as u8);
    }
}

/// Whether this value was written by that statement, as far as its size can tell.
pub fn written_by(value: &[u8], number: u64) -> bool {
    let signed = value.len().min(SIGNED);
    signed > 0 && value[..signed] == number.to_be_bytes()[..signed]
}
