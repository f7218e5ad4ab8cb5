//! What one server holds of its service's log: what it received, and what of that it has applied.

use badgerstream_line_protocol::Position;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Commits that are kept for those who are behind; whoever is further behind takes a whole copy.
const MAX_RETAINED_COMMITS: usize = 10_000;

/// One commit that writes.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The term of the primary that gave it, and its number.
    pub position: Position,
    /// The statements' ids.
    pub ids: Rc<[String]>,
    /// Things and their data.
    pub puts: Rc<[(String, String)]>,
    /// When the primary gave it, in seconds.
    pub given: f64,
    /// When this copy received it, in seconds.
    pub received: f64,
}

/// A server's copy of the log and of the data.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The newest commits that were received, in order; none is missing between them.
    commits: VecDeque<Commit>,
    received: Position,
    applied: Position,
    data: BTreeMap<String, String>,
}

impl Replica {
    /// An empty log, whose first commit will be number 1.
    pub fn new(term: u64) -> Self {
        let start = Position { term, number: 0 };
        Self {
            received: start,
            applied: start,
            ..Self::default()
        }
    }

    /// How far the log goes.
    pub fn received(&self) -> Position {
        self.received
    }

    /// How far reads see it.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// What reads see of a thing.
    pub fn get(&self, thing: &str) -> Option<&str> {
        self.data.get(thing).map(String::as_str)
    }

    /// Takes the next commit; [`Replica::apply`] makes it visible.
    pub fn receive(&mut self, commit: Commit) {
        self.received = commit.position;
        self.commits.push_back(commit);
        while self.commits.len() > MAX_RETAINED_COMMITS && self.commits[0].position <= self.applied
        {
            self.commits.pop_front();
        }
    }

    /// The commit after this number; none if there is none yet, or none any more: see [`Replica::reaches`].
    pub fn after(&self, number: u64) -> Option<&Commit> {
        let at = self.commits.len() as u64
            - self
                .received
                .number
                .checked_sub(number)
                .filter(|n| self.retains_last(*n))?;
        self.commits.get(at as usize)
    }

    /// Whether all commits after this number are kept.
    pub fn reaches(&self, number: u64) -> bool {
        self.retains_last(self.received.number.saturating_sub(number))
    }

    fn retains_last(&self, commits: u64) -> bool {
        commits <= self.commits.len() as u64
    }

    /// The next commit to be applied.
    pub fn unapplied(&self) -> Option<&Commit> {
        self.after(self.applied.number)
    }

    /// Applies the next commit.
    pub fn apply(&mut self) {
        let Some((position, puts)) = self.unapplied().map(|c| (c.position, c.puts.clone())) else {
            return;
        };
        self.data.extend(puts.iter().cloned());
        self.applied = position;
    }

    /// The commits after this number, as far as they are kept.
    pub fn beyond(&self, number: u64) -> impl Iterator<Item = &Commit> {
        self.commits
            .iter()
            .filter(move |c| c.position.number > number)
    }
}
