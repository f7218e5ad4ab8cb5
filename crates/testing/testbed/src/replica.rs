//! A server's copy of its service's log and data: the commits that it has received, and those that
//! it has applied. `database_cluster` owns one replica for each server and decides when commits
//! arrive and are applied; a replica doesn't know the time, the other servers or the primary.

use badgerstream_line_protocol::Position;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Number of commits that are retained for lagging replicas; a replica that lags further behind
/// takes a snapshot. Commits that aren't applied yet are retained beyond this number.
const MAX_RETAINED_COMMITS: usize = 10_000;

/// A write to one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// Its new value.
    pub value: String,
}

/// A commit with at least one write. Replicas share its ids and writes.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The primary term in which it was committed, and its number in the log.
    pub position: Position,
    /// The ids of its statements.
    pub ids: Rc<[String]>,
    /// Its writes, in order.
    pub writes: Rc<[KeyWrite]>,
    /// When the primary committed it, in seconds.
    pub committed_at_s: f64,
    /// When this replica received it, in seconds.
    pub received_at_s: f64,
}

/// A copy of a log and of the data that results from it.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The newest commits received, in order and without gaps.
    commits: VecDeque<Commit>,
    received: Position,
    applied: Position,
    data: BTreeMap<String, String>,
}

impl Replica {
    /// Returns an empty log in this primary term; its first commit will have the number 1.
    pub fn new(term: u64) -> Self {
        let start = Position { term, number: 0 };
        Self {
            received: start,
            applied: start,
            ..Self::default()
        }
    }

    /// Returns the position of the last commit received.
    pub fn received(&self) -> Position {
        self.received
    }

    /// Returns the position of the last commit applied, which is the last one that reads see.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Returns the value of a key as reads see it.
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

    /// Returns the commit after this number; `None` if there is none yet, or if it is no longer
    /// retained (see [`Replica::retains_all_after`]).
    pub fn commit_after(&self, number: u64) -> Option<&Commit> {
        let behind = self.received.number.checked_sub(number)?;
        let index = (self.commits.len() as u64).checked_sub(behind)?;
        self.commits.get(index as usize)
    }

    /// Returns whether all commits after this number are retained.
    pub fn retains_all_after(&self, number: u64) -> bool {
        self.received.number.saturating_sub(number) <= self.commits.len() as u64
    }

    /// Returns the next commit to apply.
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

    /// Returns the retained commits after this number.
    pub fn commits_after(&self, number: u64) -> impl Iterator<Item = &Commit> {
        self.commits
            .iter()
            .filter(move |c| c.position.number > number)
    }
}
