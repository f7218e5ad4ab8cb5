//! Counters and histograms that are kept all the time: cells on the one thread, written by the part
//! that does the work and read by [`crate::metrics`] when somebody asks. This module knows neither
//! of them.

use badgerstream_line_protocol::ErrorCode;
use prometheus_client::metrics::histogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKETS_S: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Kinds of statements by their first words (`line-protocol`); any other text counts as the last.
const STATEMENT_KINDS: [&str; 10] = [
    "FETCH", "PUT", "EXECUTE", "COMMIT", "BEGIN", "ABORT", "SET", "PREPARE", "RELEASE", "other",
];
/// Ways in which a statement ends for its client: codes of the line protocol and our own words; any
/// other counts as the last.
const STATEMENT_ENDS: [&str; 10] = [
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

/// How a statement ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementEnd {
    /// With success.
    Complete,
    /// With this error.
    Error(ErrorCode),
    /// Its client had closed the connection.
    ClientGone,
}

impl StatementEnd {
    /// The value of the label `end`, one of [`STATEMENT_ENDS`].
    fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientGone => "client_gone",
            Self::Error(code) => STATEMENT_ENDS
                .into_iter()
                .find(|end| *end == code.as_str())
                .unwrap_or("other"),
        }
    }
}

/// The statements of a router's clients, and the connections that were found for them.
pub struct StatementCounts {
    /// By kind and by end.
    ended: [[Cell<u64>; STATEMENT_ENDS.len()]; STATEMENT_KINDS.len()],
    placed_at_primary: Cell<u64>,
    placed_at_replica: Cell<u64>,
    unplaced: Cell<u64>,
    /// How long statements waited for the connection that they got, in seconds.
    pub placement_wait: Histogram,
}

impl Default for StatementCounts {
    fn default() -> Self {
        Self {
            ended: Default::default(),
            placed_at_primary: Cell::default(),
            placed_at_replica: Cell::default(),
            unplaced: Cell::default(),
            placement_wait: Histogram::new(BUCKETS_S),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl StatementCounts {
    /// A statement of this text has ended.
    pub fn ended(&self, text: &str, end: StatementEnd) {
        let first_word = text.split(' ').next().unwrap_or_default();
        let kind = STATEMENT_KINDS
            .iter()
            .position(|kind| *kind == first_word)
            .unwrap_or(STATEMENT_KINDS.len() - 1);
        let end = STATEMENT_ENDS
            .iter()
            .position(|known| *known == end.label())
            .unwrap_or(STATEMENT_ENDS.len() - 1);
        increment(&self.ended[kind][end]);
    }

    /// A statement or a transaction got a connection after so many seconds.
    pub fn placed(&self, at_primary: bool, waited: f64) {
        increment(if at_primary {
            &self.placed_at_primary
        } else {
            &self.placed_at_replica
        });
        self.placement_wait.observe(waited.max(0.0));
    }

    /// A statement or a transaction got no connection, and nothing of it ran.
    pub fn unplaced(&self) {
        increment(&self.unplaced);
    }

    /// Kind of the statement, how it ended, and how often that happened; without what never did.
    pub fn all_ended(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let by_kind = self.ended.iter().zip(STATEMENT_KINDS);
        by_kind
            .flat_map(|(ends, kind)| {
                ends.iter()
                    .zip(STATEMENT_ENDS)
                    .map(move |(count, end)| (kind, end, count.get()))
            })
            .filter(|(_, _, count)| *count > 0)
    }

    /// How many connections were got at primaries and at replicas, and how many statements got
    /// none.
    pub fn placements(&self) -> [(&'static str, u64); 3] {
        [
            ("primary", self.placed_at_primary.get()),
            ("replica", self.placed_at_replica.get()),
            ("none", self.unplaced.get()),
        ]
    }
}

/// How often a call was answered with a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseCount {
    /// Name of the call.
    pub call: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// How many such responses there were.
    pub count: u64,
}

/// The calls of a control machine, and what it did.
pub struct ControlCounts {
    responses: RefCell<BTreeMap<(&'static str, u16), u64>>,
    router_updates: Cell<u64>,
    /// How long it took to persist the hard state, in seconds.
    pub persist_seconds: Histogram,
    failed_persists: Cell<u64>,
    /// How long a service had no primary in use, at each change that this machine led, in seconds.
    pub primary_changes: Histogram,
}

impl Default for ControlCounts {
    fn default() -> Self {
        Self {
            responses: RefCell::default(),
            router_updates: Cell::default(),
            persist_seconds: Histogram::new(BUCKETS_S),
            failed_persists: Cell::default(),
            primary_changes: Histogram::new(BUCKETS_S),
        }
    }
}

impl ControlCounts {
    /// A call of this name was answered with this HTTP status.
    pub fn responded(&self, call: &'static str, status: u16) {
        *self
            .responses
            .borrow_mut()
            .entry((call, status))
            .or_default() += 1;
    }

    /// An update was handed to the session of a router.
    pub fn router_updated(&self) {
        increment(&self.router_updates);
    }

    /// Persisting the hard state has ended after so many seconds.
    pub fn persisted(&self, seconds: f64, succeeded: bool) {
        self.persist_seconds.observe(seconds.max(0.0));
        if !succeeded {
            increment(&self.failed_persists);
        }
    }

    /// A service had no primary in use for so many seconds.
    pub fn primary_changed(&self, seconds: f64) {
        self.primary_changes.observe(seconds.max(0.0));
    }

    /// The responses by call and status.
    pub fn responses(&self) -> Vec<ResponseCount> {
        let responses = self.responses.borrow();
        let entry = |((call, status), count): (&(&'static str, u16), &u64)| ResponseCount {
            call,
            status: *status,
            count: *count,
        };
        responses.iter().map(entry).collect()
    }

    /// How many updates were handed to sessions of routers.
    pub fn router_updates(&self) -> u64 {
        self.router_updates.get()
    }

    /// How often the hard state could not be persisted.
    pub fn failed_persists(&self) -> u64 {
        self.failed_persists.get()
    }
}
