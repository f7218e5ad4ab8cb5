//! Checks the users' rules as far as they show at the database servers: no acknowledged commit is
//! lost, no write takes effect twice, no replaced primary acknowledges. `database_cluster` owns the
//! one instance and reports to it; nothing here changes what a server does.

use std::collections::{HashSet, VecDeque};

/// So many of the newest statement ids are remembered to find duplicates.
const MAX_REMEMBERED_IDS: usize = 200_000;

/// Counts of acknowledged writes and of broken rules.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Writes that a server answered with success.
    pub acknowledged_writes: u64,
    /// Rule LOST: acknowledged commits that a promoted server lacks.
    pub lost_commits: u64,
    /// Rule TWICE: writes whose id was committed before.
    pub duplicate_writes: u64,
    /// Rule ONE: commits acknowledged by a server that another had replaced as primary.
    pub deposed_commits: u64,
    committed_ids: HashSet<String>,
    /// The ids in the order in which they were committed.
    commit_order: VecDeque<String>,
}

impl RuleChecker {
    /// Records that the write with this id was committed.
    pub fn record_commit(&mut self, id: &str) {
        if !self.committed_ids.insert(id.to_owned()) {
            self.duplicate_writes += 1;
            return;
        }
        self.commit_order.push_back(id.to_owned());
        if self.commit_order.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.commit_order.pop_front()
        {
            self.committed_ids.remove(&oldest);
        }
    }

    /// Records that a promotion truncated this write: it may be committed again.
    pub fn record_truncation(&mut self, id: &str) {
        self.committed_ids.remove(id);
    }

    /// Whether this write was committed, of those that are remembered.
    pub fn has_committed(&self, id: &str) -> bool {
        self.committed_ids.contains(id)
    }

    /// How often rules were broken.
    pub fn violations(&self) -> u64 {
        self.lost_commits + self.duplicate_writes + self.deposed_commits
    }

    /// One line for people and scripts, as `badgerstream-testbed tell ADDRESS ledger` prints it.
    pub fn summary(&self) -> String {
        format!(
            "answered={} lost={} twice={} deposed={}",
            self.acknowledged_writes,
            self.lost_commits,
            self.duplicate_writes,
            self.deposed_commits
        )
    }
}
