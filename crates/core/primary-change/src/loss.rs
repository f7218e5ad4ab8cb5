//! Commits that were answered here and that the new leader does not have.

use std::collections::{BTreeMap, VecDeque};

/// Lost spans remembered for a group: sessions that carry an older position write anew long before.
const SPANS: usize = 16;

/// Positions in seconds: all from `after` (without it) to `to` is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loss {
    pub after: f64,
    pub to: f64,
    /// Writes of the span that were answered here as completed.
    pub writes: usize,
    /// Whether all answered writes since `after` were still remembered; else there may be more.
    pub exact: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Span {
    after: f64,
    promoted: f64,
    /// Who led when it was told: who leads by then has its own commits behind the branch.
    leader: Option<u32>,
    /// The last commit that is known to be gone, or the promotion.
    to: f64,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// Commits answered here, and by which node.
    answered: VecDeque<(f64, u32)>,
    /// Commits up to here may have left `answered`.
    forgotten: f64,
    spans: VecDeque<Span>,
}

#[derive(Clone, Debug, Default)]
pub struct Losses {
    most: usize,
    groups: BTreeMap<u16, Group>,
}

impl Losses {
    /// Remembers so many answered commits a group.
    pub fn new(most: usize) -> Losses {
        Losses {
            most,
            groups: BTreeMap::new(),
        }
    }

    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    /// A write was answered as completed by this node, with its commit's position.
    pub fn answered(&mut self, group: u16, node: u32, commit: f64) {
        let of = self.groups.entry(group).or_default();
        of.answered.push_back((commit, node));
        while of.answered.len() > self.most {
            let gone = of.answered.pop_front().map_or(0.0, |gone| gone.0);
            of.forgotten = of.forgotten.max(gone);
        }
    }

    /// The log goes on from `branch` since its primary was promoted at `promoted`: what lies between was never
    /// its own, nor what others than the leader still answered behind it. Each is told once.
    pub fn taken_over(
        &mut self,
        group: u16,
        branch: f64,
        promoted: f64,
        leader: Option<u32>,
    ) -> Option<Loss> {
        let of = self.groups.entry(group).or_default();
        let known =
            |span: &Span| (span.after, span.promoted, span.leader) == (branch, promoted, leader);
        if branch.is_nan() || promoted.is_nan() || branch >= promoted || of.spans.iter().any(known)
        {
            return None;
        }
        let lost = |at: &(f64, u32)| {
            at.0 > branch && (at.0 <= promoted || leader.is_some_and(|l| at.1 != l))
        };
        // A leader of a later term is told of the spans of earlier ones, too; its own commits are behind them.
        let last = of.spans.iter().all(|span| span.promoted <= promoted);
        let gone = of
            .answered
            .iter()
            .filter(|at| lost(at) && (last || at.0 <= promoted));
        let (writes, to) = gone.fold((0, promoted), |(n, to), at| (n + 1, f64::max(to, at.0)));
        of.answered
            .retain(|at| !(lost(at) && (last || at.0 <= promoted)));
        if of.spans.len() == SPANS {
            of.spans.pop_front();
        }
        let first = !of
            .spans
            .iter()
            .any(|span| (span.after, span.promoted) == (branch, promoted));
        of.spans.push_back(Span {
            after: branch,
            promoted,
            leader,
            to,
        });
        let exact = of.forgotten <= branch;
        (writes > 0 || first && !exact).then_some(Loss {
            after: branch,
            to,
            writes,
            exact,
        })
    }

    /// Whether a commit at this position is known to be lost.
    pub fn lost(&self, group: u16, commit: f64) -> bool {
        let within = |span: &Span| commit > span.after && commit <= span.to;
        self.groups
            .get(&group)
            .is_some_and(|of| of.spans.iter().any(within))
    }
}
