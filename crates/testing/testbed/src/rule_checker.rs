//! Counts violations of the system's safety rules that can be observed at the database servers: no
//! acknowledged commit is lost, no write takes effect twice, no replaced primary acknowledges a
//! commit. `database_cluster` owns the only instance and reports events to it; the checker doesn't
//! influence the servers.

use std::collections::{HashSet, VecDeque};

/// Maximum number of statement ids that are kept to detect duplicates; the oldest is dropped first.
const MAX_REMEMBERED_IDS: usize = 200_000;

/// Counts of acknowledged writes and of rule violations.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Writes that a server has acknowledged.
    pub acknowledged_writes: u64,
    /// Violations of rule LOST: acknowledged commits that a promoted server lacks.
    pub lost_commits: u64,
    /// Violations of rule TWICE: writes whose id was committed before.
    pub duplicate_writes: u64,
    /// Violations of rule ONE: commits acknowledged by a server after another one had replaced it
    /// as primary.
    pub deposed_commits: u64,
    committed_ids: HashSet<String>,
    /// The ids in commit order.
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

    /// Records that a promotion truncated this write, so that committing it again is no duplicate.
    pub fn record_truncation(&mut self, id: &str) {
        self.committed_ids.remove(id);
    }

    /// Returns whether this write is among the remembered commits.
    pub fn has_committed(&self, id: &str) -> bool {
        self.committed_ids.contains(id)
    }

    /// Returns the number of violations of all rules.
    pub fn violation_count(&self) -> u64 {
        self.lost_commits + self.duplicate_writes + self.deposed_commits
    }

    /// Returns the counts in one line, as `badgerstream-testbed tell ADDRESS ledger` prints them.
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
