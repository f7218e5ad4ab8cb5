//! Acknowledged commits that the new primary does not have.
//!
//! Positions of commits are in seconds.

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of lost spans remembered for one group. Sessions that depend on a position in an older span have
/// written anew long before.
const MAX_SPANS: usize = 16;

/// Acknowledged commits found lost: those with a position beyond `after`, up to and including `to`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommitLoss {
    /// Last position that the new primary has of the old log, in seconds.
    pub after: f64,
    /// Last position known to be lost, in seconds.
    pub to: f64,
    /// Number of acknowledged writes in the span.
    pub writes: usize,
    /// All writes acknowledged since `after` were still remembered; otherwise more than `writes` may be lost.
    pub exact: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Span {
    after: f64,
    promoted: f64,
    /// The leader when the span was reported. A leader's own commits after the promotion are not lost.
    leader: Option<u32>,
    /// Position of the last commit known to be lost, or of the promotion.
    to: f64,
}

/// A commit acknowledged through this router.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    position: f64,
    node: u32,
}

#[derive(Clone, Debug, Default)]
struct GroupCommits {
    acknowledged: VecDeque<Acknowledged>,
    /// Commits up to this position may have been dropped from `acknowledged`.
    dropped_up_to: f64,
    spans: VecDeque<Span>,
}

/// Finds which acknowledged commits are lost when a primary is replaced.
#[derive(Clone, Debug, Default)]
pub struct LossTracker {
    max_acknowledged: usize,
    groups: BTreeMap<u16, GroupCommits>,
}

impl LossTracker {
    /// Creates a tracker that remembers up to `max_acknowledged` acknowledged commits for each group.
    pub fn new(max_acknowledged: usize) -> LossTracker {
        LossTracker {
            max_acknowledged,
            groups: BTreeMap::new(),
        }
    }

    /// Changes the maximum number of commits remembered for each group, from the next commit on.
    pub fn set_max_acknowledged(&mut self, max_acknowledged: usize) {
        self.max_acknowledged = max_acknowledged;
    }

    /// Records that a node acknowledged a write, with the position of its commit.
    pub fn record_acknowledged(&mut self, group: u16, node: u32, position: f64) {
        let commits = self.groups.entry(group).or_default();
        commits
            .acknowledged
            .push_back(Acknowledged { position, node });
        while commits.acknowledged.len() > self.max_acknowledged {
            let dropped = commits
                .acknowledged
                .pop_front()
                .map_or(0.0, |oldest| oldest.position);
            commits.dropped_up_to = commits.dropped_up_to.max(dropped);
        }
    }

    /// Records that the group's log continues from position `branch` since its primary was promoted at `promoted`.
    /// Returns a loss that was not returned before.
    ///
    /// Lost are the commits between `branch` and `promoted`, which the new primary never had, and the commits after
    /// `promoted` that nodes other than `leader` acknowledged.
    pub fn record_promotion(
        &mut self,
        group: u16,
        branch: f64,
        promoted: f64,
        leader: Option<u32>,
    ) -> Option<CommitLoss> {
        let commits = self.groups.entry(group).or_default();
        let known =
            |span: &Span| (span.after, span.promoted, span.leader) == (branch, promoted, leader);
        if branch.is_nan()
            || promoted.is_nan()
            || branch >= promoted
            || commits.spans.iter().any(known)
        {
            return None;
        }
        let lost = |commit: &Acknowledged| {
            commit.position > branch
                && (commit.position <= promoted
                    || leader.is_some_and(|leader| commit.node != leader))
        };
        // The leader of a later term is reported with the spans of earlier terms, too. The commits of the terms in
        // between lie after those spans and are not lost.
        let last = commits.spans.iter().all(|span| span.promoted <= promoted);
        let newly_lost = commits
            .acknowledged
            .iter()
            .filter(|commit| lost(commit) && (last || commit.position <= promoted));
        let (writes, to) = newly_lost.fold((0, promoted), |(writes, to), commit| {
            (writes + 1, f64::max(to, commit.position))
        });
        commits
            .acknowledged
            .retain(|commit| !(lost(commit) && (last || commit.position <= promoted)));
        if commits.spans.len() == MAX_SPANS {
            commits.spans.pop_front();
        }
        let first_report = !commits
            .spans
            .iter()
            .any(|span| (span.after, span.promoted) == (branch, promoted));
        commits.spans.push_back(Span {
            after: branch,
            promoted,
            leader,
            to,
        });
        let exact = commits.dropped_up_to <= branch;
        (writes > 0 || first_report && !exact).then_some(CommitLoss {
            after: branch,
            to,
            writes,
            exact,
        })
    }

    /// Returns whether a commit at this position is known to be lost.
    pub fn is_lost(&self, group: u16, position: f64) -> bool {
        let within = |span: &Span| position > span.after && position <= span.to;
        self.groups
            .get(&group)
            .is_some_and(|commits| commits.spans.iter().any(within))
    }
}
