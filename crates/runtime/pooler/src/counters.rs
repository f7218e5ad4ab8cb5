//! Counters and histograms that are updated continuously. They are cells on the process's one
//! thread: the part that does the work writes them, and [`crate::metrics`] reads them when metrics
//! are requested. This module depends on neither.

use badgerstream_line_protocol::ErrorCode;
use prometheus_client::metrics::histogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKET_BOUNDS_S: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Kinds of statements, named by their first words (`line-protocol`). All other statements count as
/// `other`.
const STATEMENT_KINDS: [&str; 10] = [
    "FETCH", "PUT", "EXECUTE", "COMMIT", "BEGIN", "ABORT", "SET", "PREPARE", "RELEASE", "other",
];
/// Ways in which a statement ends for its client: success, error codes of the line protocol, and a
/// closed connection. All other error codes count as `other`.
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
    /// The statement succeeded.
    Complete,
    /// The statement failed with this error.
    Error(ErrorCode),
    /// The client had closed the connection.
    ClientGone,
}

impl StatementEnd {
    /// Returns the value of the label `end`, one of [`STATEMENT_ENDS`].
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

/// Counts of the statements of a router's clients, and of the connections that they got.
pub struct StatementCounts {
    /// Number of statements by kind and by end.
    ended: [[Cell<u64>; STATEMENT_ENDS.len()]; STATEMENT_KINDS.len()],
    placed_at_primary: Cell<u64>,
    placed_at_replica: Cell<u64>,
    unplaced: Cell<u64>,
    /// How long statements and transactions waited for the connection that they got, in seconds.
    pub placement_wait_seconds: Histogram,
}

impl Default for StatementCounts {
    fn default() -> Self {
        Self {
            ended: Default::default(),
            placed_at_primary: Cell::default(),
            placed_at_replica: Cell::default(),
            unplaced: Cell::default(),
            placement_wait_seconds: Histogram::new(BUCKET_BOUNDS_S),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl StatementCounts {
    /// Counts a statement with this text that has ended.
    pub fn record_ended(&self, text: &str, end: StatementEnd) {
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

    /// Counts a statement or a transaction that got a connection after `waited_s` seconds.
    pub fn record_placed(&self, at_primary: bool, waited_s: f64) {
        increment(if at_primary {
            &self.placed_at_primary
        } else {
            &self.placed_at_replica
        });
        self.placement_wait_seconds.observe(waited_s.max(0.0));
    }

    /// Counts a statement or a transaction that got no connection, so that no part of it ran.
    pub fn record_unplaced(&self) {
        increment(&self.unplaced);
    }

    /// Returns the number of ended statements by kind and end, without combinations that never
    /// occurred.
    pub fn ended_counts(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        let by_kind = self.ended.iter().zip(STATEMENT_KINDS);
        by_kind
            .flat_map(|(ends, kind)| {
                ends.iter()
                    .zip(STATEMENT_ENDS)
                    .map(move |(count, end)| (kind, end, count.get()))
            })
            .filter(|(_, _, count)| *count > 0)
    }

    /// Returns how many statements and transactions got a connection to a primary, got one to a
    /// replica, and got none.
    pub fn placement_counts(&self) -> [(&'static str, u64); 3] {
        [
            ("primary", self.placed_at_primary.get()),
            ("replica", self.placed_at_replica.get()),
            ("none", self.unplaced.get()),
        ]
    }
}

/// The number of responses to one kind of call with one status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseCount {
    /// Name of the call.
    pub call: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// Number of such responses.
    pub count: u64,
}

/// Counts of the calls that a control machine answered, and of its other work.
pub struct ControlCounts {
    responses: RefCell<BTreeMap<(&'static str, u16), u64>>,
    router_updates: Cell<u64>,
    /// How long writes of the hard state took, in seconds.
    pub persist_seconds: Histogram,
    failed_persists: Cell<u64>,
    /// How long a service had no primary in use, for each primary change that this machine led, in
    /// seconds.
    pub primary_change_seconds: Histogram,
}

impl Default for ControlCounts {
    fn default() -> Self {
        Self {
            responses: RefCell::default(),
            router_updates: Cell::default(),
            persist_seconds: Histogram::new(BUCKET_BOUNDS_S),
            failed_persists: Cell::default(),
            primary_change_seconds: Histogram::new(BUCKET_BOUNDS_S),
        }
    }
}

impl ControlCounts {
    /// Counts a response with this HTTP status to a call of this name.
    pub fn record_response(&self, call: &'static str, status: u16) {
        *self
            .responses
            .borrow_mut()
            .entry((call, status))
            .or_default() += 1;
    }

    /// Counts an update that was passed to the session of a router.
    pub fn record_router_update(&self) {
        increment(&self.router_updates);
    }

    /// Counts a write of the hard state that took `duration_s` seconds.
    pub fn record_persist(&self, duration_s: f64, succeeded: bool) {
        self.persist_seconds.observe(duration_s.max(0.0));
        if !succeeded {
            increment(&self.failed_persists);
        }
    }

    /// Counts a primary change during which the service had no primary in use for `duration_s`
    /// seconds.
    pub fn record_primary_change(&self, duration_s: f64) {
        self.primary_change_seconds.observe(duration_s.max(0.0));
    }

    /// Returns the number of responses by call and status.
    pub fn responses(&self) -> Vec<ResponseCount> {
        let responses = self.responses.borrow();
        let entry = |((call, status), count): (&(&'static str, u16), &u64)| ResponseCount {
            call,
            status: *status,
            count: *count,
        };
        responses.iter().map(entry).collect()
    }

    /// Returns how many updates were passed to sessions of routers.
    pub fn router_updates(&self) -> u64 {
        self.router_updates.get()
    }

    /// Returns how many writes of the hard state failed.
    pub fn failed_persists(&self) -> u64 {
        self.failed_persists.get()
    }
}
