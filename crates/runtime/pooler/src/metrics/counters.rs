//! What is counted all the time.

use badgerstream_line_protocol::Code;
use prometheus_client::metrics::histogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Bounds of waits and saves, in seconds.
const SECONDS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// The texts of the wire by their first words; whatever else is asked counts as the last.
const WORDS: [&str; 10] = [
    "FETCH", "PUT", "EXECUTE", "COMMIT", "BEGIN", "ABORT", "SET", "PREPARE", "RELEASE", "other",
];
/// How a statement ended for its client, by the words of the wire.
const ENDS: [&str; 10] = [
    "complete",
    "RETRY",
    "LAGGING",
    "READONLY",
    "ABORTED",
    "INDOUBT",
    "TIMEOUT",
    "MALFORMED",
    "client_gone",
    "other",
];

/// How a statement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With success.
    Complete,
    /// With this error.
    Error(Code),
    /// Its client had gone.
    ClientGone,
}

impl End {
    fn word(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientGone => "client_gone",
            Self::Error(code) => ENDS
                .into_iter()
                .find(|end| *end == code.word())
                .unwrap_or("other"),
        }
    }
}

/// What clients asked of a router, and what became of it.
pub struct StatementCounts {
    ended: [[Cell<u64>; ENDS.len()]; WORDS.len()],
    primary: Cell<u64>,
    replica: Cell<u64>,
    unplaced: Cell<u64>,
    /// How long statements waited for a connection that they got, in seconds.
    pub(super) wait: Histogram,
}

impl Default for StatementCounts {
    fn default() -> Self {
        Self {
            ended: Default::default(),
            primary: Cell::default(),
            replica: Cell::default(),
            unplaced: Cell::default(),
            wait: Histogram::new(SECONDS),
        }
    }
}

fn increase(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl StatementCounts {
    /// A statement of this text has ended.
    pub fn ended(&self, text: &str, end: End) {
        let first = text.split(' ').next().unwrap_or_default();
        let word = WORDS
            .iter()
            .position(|word| *word == first)
            .unwrap_or(WORDS.len() - 1);
        let end = ENDS
            .iter()
            .position(|known| *known == end.word())
            .unwrap_or(ENDS.len() - 1);
        increase(&self.ended[word][end]);
    }

    /// A statement or a transaction has a connection, after so many seconds.
    pub fn placed(&self, at_primary: bool, waited: f64) {
        increase(if at_primary {
            &self.primary
        } else {
            &self.replica
        });
        self.wait.observe(waited.max(0.0));
    }

    /// A statement or a transaction got no connection, and nothing of it ran.
    pub fn unplaced(&self) {
        increase(&self.unplaced);
    }

    /// Word of the text, how it ended, and how often that happened; without what never did.
    pub(super) fn all_ended(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let counts = self.ended.iter().zip(WORDS);
        counts
            .flat_map(|(ends, word)| {
                ends.iter()
                    .zip(ENDS)
                    .map(move |(count, end)| (word, end, count.get()))
            })
            .filter(|(_, _, count)| *count > 0)
    }

    /// Connections had at a primary and at a replica, and statements that got none.
    pub(super) fn placements(&self) -> [(&'static str, u64); 3] {
        [
            ("primary", self.primary.get()),
            ("replica", self.replica.get()),
            ("none", self.unplaced.get()),
        ]
    }
}

/// What a control machine was asked, and what it did.
pub struct CallCounts {
    answered: RefCell<BTreeMap<(&'static str, u16), u64>>,
    news: Cell<u64>,
    /// How long saves of the record took, in seconds.
    pub(super) saves: Histogram,
    failed_saves: Cell<u64>,
    /// For how long a service had no primary in use, at each change that this machine led, in seconds.
    pub(super) primary_changes: Histogram,
}

impl Default for CallCounts {
    fn default() -> Self {
        Self {
            answered: RefCell::default(),
            news: Cell::default(),
            saves: Histogram::new(SECONDS),
            failed_saves: Cell::default(),
            primary_changes: Histogram::new(SECONDS),
        }
    }
}

impl CallCounts {
    /// A call of this name was answered with this status.
    pub fn answered(&self, call: &'static str, status: u16) {
        *self
            .answered
            .borrow_mut()
            .entry((call, status))
            .or_default() += 1;
    }

    /// News was handed to a router's session.
    pub fn told(&self) {
        increase(&self.news);
    }

    /// A save of the record has ended after so many seconds.
    pub fn saved(&self, seconds: f64, succeeded: bool) {
        self.saves.observe(seconds.max(0.0));
        if !succeeded {
            increase(&self.failed_saves);
        }
    }

    /// A service had no primary in use for so many seconds.
    pub fn primary_changed(&self, seconds: f64) {
        self.primary_changes.observe(seconds.max(0.0));
    }

    /// Name, status and number of calls that were answered.
    pub(super) fn all_answered(&self) -> Vec<(&'static str, u16, u64)> {
        self.answered
            .borrow()
            .iter()
            .map(|((call, status), count)| (*call, *status, *count))
            .collect()
    }

    /// How often news was told.
    pub(super) fn news(&self) -> u64 {
        self.news.get()
    }

    /// How many saves failed.
    pub(super) fn failed_saves(&self) -> u64 {
        self.failed_saves.get()
    }
}
