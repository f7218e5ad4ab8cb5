//! Who leads a group: one state machine a group, with numbered terms. It is told evidence and gives no orders.
//!
//! Two rules decide between claimants, and both only look at dates and at what a node said of itself:
//! 1. A claim is news only if it is dated later than the last claim that was believed. What a later term's
//!    leader said can so never be undone by evidence of an earlier term, however late that arrives.
//! 2. Who was deposed by a later term is believed again only once it has said itself that it follows, or once
//!    its successor is in doubt or gone. Of two halves of a cut that both claim, the later claimant so leads
//!    for as long as it can be reached; there is one change, not one an answer.
//!
//! The list is the weakest witness: it names a candidate where nobody leads, and never undoes what a node said.

use std::collections::BTreeMap;

/// The date of what has not happened.
pub const NEVER: f64 = f64::NEG_INFINITY;

/// What a list may run late by, in seconds: a denial younger than this outranks it.
const LIST_LATE_S: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Nobody leads, as far as is known.
    Vacant,
    /// The list names a candidate who has not spoken yet.
    Claimed,
    /// Somebody leads by its own word; what was held is being released.
    Settling,
    /// The leader works and nothing is held.
    Settled,
    /// The leader is out of reach, silent or about to leave.
    Doubted,
}

/// What can be heard of a node. Dates are seconds on the front's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// It said itself that it is the primary, as of then.
    Leads { at: f64 },
    /// It said itself that it is none, as of then.
    Follows { at: f64 },
    /// The list calls it the primary.
    Listed,
    /// The list says that it drains or is gone.
    Leaving,
    /// The list says that it is in service.
    Stays,
    /// It refused a connection, or has owed its answers for too long.
    Lost,
    /// A connection broke under a statement: it may be gone, or only the connection.
    Broke,
}

#[derive(Clone, Debug)]
pub struct Term {
    /// Counts the leaders of this group that were believed here.
    pub number: u64,
    pub phase: Phase,
    pub leader: Option<u32>,
    /// Named by the list while nobody leads.
    pub candidate: Option<u32>,
    /// When the change began that is under way.
    pub began: f64,
    /// The date of the last claim that was believed.
    pub claimed: f64,
    /// Since when the leader is in doubt.
    pub doubted: f64,
    /// When a connection to the leader last broke under a statement.
    pub broke: f64,
    /// The list says that the leader drains; it is out of reach, or silent.
    pub leaving: bool,
    pub lost: bool,
    pub denied: BTreeMap<u32, f64>,
    /// Those that a later term deposed, and when they last were believed.
    pub deposed: BTreeMap<u32, f64>,
}

impl Default for Term {
    fn default() -> Term {
        Term {
            number: 0,
            phase: Phase::Vacant,
            leader: None,
            candidate: None,
            began: NEVER,
            claimed: NEVER,
            doubted: NEVER,
            broke: NEVER,
            leaving: false,
            lost: false,
            denied: BTreeMap::new(),
            deposed: BTreeMap::new(),
        }
    }
}

impl Term {
    /// Takes one piece of evidence; true where it moved the machine.
    pub fn hear(&mut self, now: f64, node: u32, told: Evidence) -> bool {
        let leads = self.leader == Some(node);
        match told {
            Evidence::Leads { at } if leads => self.confirmed(at),
            Evidence::Leads { at } if self.news(node, at) => self.accept(now, node, at),
            Evidence::Leads { .. } => false,
            Evidence::Follows { at } => self.denial(now, node, at, leads),
            Evidence::Listed if self.leader.is_none() => self.named(now, node),
            Evidence::Leaving if leads => {
                self.leaving = true;
                self.doubt(now)
            }
            Evidence::Leaving | Evidence::Lost if self.candidate == Some(node) => {
                (self.candidate, self.phase) = (None, Phase::Vacant);
                true
            }
            Evidence::Stays if leads && self.leaving => {
                self.leaving = false;
                self.confirmed(now)
            }
            Evidence::Lost if leads => {
                self.lost = true;
                self.doubt(now)
            }
            Evidence::Broke => {
                self.broke = if leads { now } else { self.broke };
                false
            }
            Evidence::Listed | Evidence::Leaving | Evidence::Stays | Evidence::Lost => false,
        }
    }

    /// The two rules on claimants, and a node's own later denial.
    fn news(&self, node: u32, at: f64) -> bool {
        let later = at > self.claimed && self.denied.get(&node).is_none_or(|denied| at > *denied);
        let in_doubt = self.leader.is_none() || self.phase == Phase::Doubted && at > self.doubted;
        later && (in_doubt || !self.deposed.contains_key(&node))
    }

    /// The leader says that it leads: in doubt, that ends it, unless it was said before the doubt or it leaves.
    fn confirmed(&mut self, at: f64) -> bool {
        self.claimed = self.claimed.max(at);
        self.lost &= at <= self.doubted;
        let back = self.phase == Phase::Doubted && !self.leaving && at > self.doubted;
        if back {
            self.phase = Phase::Settling;
        }
        back
    }

    fn accept(&mut self, now: f64, node: u32, at: f64) -> bool {
        if self.phase == Phase::Settled {
            self.began = now;
        }
        self.deposed
            .extend(self.leader.map(|leader| (leader, self.claimed)));
        self.deposed.remove(&node);
        (self.leader, self.candidate, self.claimed) = (Some(node), None, at);
        (self.leaving, self.lost) = (false, false);
        (self.phase, self.number) = (Phase::Settling, self.number + 1);
        true
    }

    fn denial(&mut self, now: f64, node: u32, at: f64, leads: bool) -> bool {
        let latest = self.denied.entry(node).or_insert(NEVER);
        *latest = latest.max(at);
        if leads && at > self.claimed {
            self.begin(now);
            (self.leader, self.phase) = (None, Phase::Vacant);
            (self.leaving, self.lost) = (false, false);
            return true;
        }
        if self
            .deposed
            .get(&node)
            .is_some_and(|believed| at > *believed)
        {
            self.deposed.remove(&node);
        }
        let candidate = self.candidate == Some(node);
        if candidate {
            (self.candidate, self.phase) = (None, Phase::Vacant);
        }
        candidate
    }

    fn named(&mut self, now: f64, node: u32) -> bool {
        let spoke = self
            .denied
            .get(&node)
            .is_some_and(|at| now - at < LIST_LATE_S);
        let fires = !spoke && self.candidate != Some(node);
        if fires {
            self.begin(now);
            (self.candidate, self.phase) = (Some(node), Phase::Claimed);
        }
        fires
    }

    fn doubt(&mut self, now: f64) -> bool {
        let fires = self.phase != Phase::Doubted;
        if fires {
            self.begin(now);
            (self.phase, self.doubted) = (Phase::Doubted, now);
        }
        fires
    }

    /// A second change while the first is settling is a part of it: who waits has waited since the first.
    fn begin(&mut self, now: f64) {
        // The first leader of all is no change: who waits for it says nothing of the store's take-over.
        if self.number > 0 && (self.phase == Phase::Settled || self.began == NEVER) {
            self.began = now;
        }
    }

    /// All that was held is out and the leader has completed something: how long the change took.
    pub fn settle(&mut self, now: f64) -> f64 {
        self.phase = Phase::Settled;
        let took = if self.began == NEVER {
            0.0
        } else {
            now - self.began
        };
        self.began = NEVER;
        took
    }

    /// A node that nobody will speak of again.
    pub fn forget(&mut self, node: u32) {
        self.denied.remove(&node);
        self.deposed.remove(&node);
        if self.candidate == Some(node) {
            (self.candidate, self.phase) = (None, Phase::Vacant);
        }
    }
}
