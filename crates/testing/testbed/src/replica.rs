//! One server's replica of its service's log and data: what it received, and what of that it has
//! applied. `database_cluster` owns one a server and decides when commits arrive and are applied; a
//! replica knows nothing of time, of other servers or of who is primary.

use badgerstream_line_protocol::Position;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// So many commits are retained for replicas that are behind; one further behind takes a snapshot.
const MAX_RETAINED_COMMITS: usize = 10_000;

/// A write to one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: String,
}

/// One commit that writes. Replicas share its content.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The primary term it was committed in, and its number in the log.
    pub position: Position,
    /// The ids of its statements.
    pub ids: Rc<[String]>,
    /// What it writes, in order.
    pub writes: Rc<[KeyWrite]>,
    /// When the primary committed it, in seconds.
    pub committed_at_s: f64,
    /// When this replica received it, in seconds.
    pub received_at_s: f64,
}

/// A replica of a log and of the data it leads to.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The newest commits received, in order and without gaps.
    commits: VecDeque<Commit>,
    received: Position,
    applied: Position,
    data: BTreeMap<String, String>,
}

impl Replica {
    /// An empty log in this primary term, whose first commit will be number 1.
    pub fn new(term: u64) -> Self {
        let start = Position { term, number: 0 };
        Self {
            received: start,
            applied: start,
            ..Self::default()
        }
    }

    /// The end of the log.
    pub fn received(&self) -> Position {
        self.received
    }

    /// How far reads see the log.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// The value that reads see of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.data.get(key).map(String::as_str)
    }

    /// Appends the next commit; [`Replica::apply_next`] makes it visible to reads.
    pub fn append(&mut self, commit: Commit) {
        self.received = commit.position;
        self.commits.push_back(commit);
        while self.commits.len() > MAX_RETAINED_COMMITS && self.commits[0].position <= self.applied
        {
            self.commits.pop_front();
        }
    }

    /// The commit that follows this number; `None` if there is none yet, or if it isn't retained
    /// any more (see [`Replica::retains_all_after`]).
    pub fn commit_after(&self, number: u64) -> Option<&Commit> {
        let behind = self.received.number.checked_sub(number)?;
        let index = (self.commits.len() as u64).checked_sub(behind)?;
        self.commits.get(index as usize)
    }

    /// Whether all commits after this number are retained.
    pub fn retains_all_after(&self, number: u64) -> bool {
        self.received.number.saturating_sub(number) <= self.commits.len() as u64
    }

    /// The next commit to be applied.
    pub fn next_unapplied(&self) -> Option<&Commit> {
        self.commit_after(self.applied.number)
    }

    /// Applies the next commit, if there is one.
    pub fn apply_next(&mut self) {
        let next = self.next_unapplied();
        let Some((position, writes)) = next.map(|c| (c.position, c.writes.clone())) else {
            return;
        };
        let values = writes.iter().map(|w| (w.key.clone(), w.value.clone()));
        self.data.extend(values);
        self.applied = position;
    }

    /// The retained commits after this number.
    pub fn commits_after(&self, number: u64) -> impl Iterator<Item = &Commit> {
        self.commits
            .iter()
            .filter(move |c| c.position.number > number)
    }
}
