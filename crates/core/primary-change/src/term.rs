//! Which node leads a group: one state machine for each group, with numbered terms. It takes evidence and gives no
//! orders.
//!
//! Two rules decide between nodes that claim to lead. Both use only the times of claims and what a node said of
//! itself:
//! 1. The late-claim rule: a claim counts only if it is dated later than the last accepted claim. So evidence of an
//!    earlier term never undoes what the leader of a later term said, however late it arrives.
//! 2. The deposed-node rule: a node that a later term deposed is believed again only after it has said itself that it
//!    follows, or while its successor is suspected or gone. So if both sides of a network partition claim to lead,
//!    the later claimant leads for as long as it can be reached; there is one change, not one for each answer.
//!
//! The list of nodes is the weakest evidence: it names a candidate where nobody leads, and never undoes what a node
//! said of itself.

use std::collections::BTreeMap;

/// Time of an event that has not happened.
pub const NEVER: f64 = f64::NEG_INFINITY;

/// Maximum delay of the list of nodes: a node's denial younger than this outranks the list.
const MAX_LIST_DELAY_S: f64 = 10.0;

/// Phase of a group's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// No leader is known.
    NoLeader,
    /// The list names a candidate that has not said yet whether it leads.
    Candidate,
    /// A node says that it leads; held statements are being released.
    Settling,
    /// A node leads and nothing is held.
    Settled,
    /// The leader is unreachable, silent or about to leave.
    Suspected,
}

/// Evidence about the role of a node. Times are seconds on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The node said itself that it was the primary at this time.
    Leads {
        /// Time for which the statement holds.
        at: f64,
    },
    /// The node said itself that it was not the primary at this time.
    Follows {
        /// Time for which the statement holds.
        at: f64,
    },
    /// The list names the node as the primary.
    ListedAsPrimary,
    /// The list says that the node drains or is gone.
    ListedAsLeaving,
    /// The list says that the node is in service.
    ListedInService,
    /// The node refused a connection, or has owed answers for too long.
    Unreachable,
    /// A connection broke while a statement was in flight: the node may be gone, or only the connection.
    ConnectionBroke,
}

/// Leadership of one group, in its present term.
#[derive(Clone, Debug)]
pub struct Term {
    /// Number of leaders accepted so far for this group.
    pub number: u64,
    /// Phase of the leadership.
    pub phase: Phase,
    /// Node that leads; also while it is suspected.
    pub leader: Option<u32>,
    /// Node that the list names while nobody leads.
    pub candidate: Option<u32>,
    /// Start of the present change; `NEVER` if there is none.
    pub change_began_at: f64,
    /// Time of the last accepted claim to lead.
    pub claimed_at: f64,
    /// Time since when the leader is suspected.
    pub suspected_at: f64,
    /// Last time when a connection to the leader broke while a statement was in flight.
    pub connection_broke_at: f64,
    /// The list says that the leader drains or is gone.
    pub leader_leaving: bool,
    /// The leader is unreachable or silent.
    pub leader_unreachable: bool,
    /// For each node, the last time when it said that it was not the primary.
    pub denied_at: BTreeMap<u32, f64>,
    /// Nodes that a later term deposed, with the time of their last accepted claim.
    pub deposed: BTreeMap<u32, f64>,
}

impl Default for Term {
    fn default() -> Term {
        Term {
            number: 0,
            phase: Phase::NoLeader,
            leader: None,
            candidate: None,
            change_began_at: NEVER,
            claimed_at: NEVER,
            suspected_at: NEVER,
            connection_broke_at: NEVER,
            leader_leaving: false,
            leader_unreachable: false,
            denied_at: BTreeMap::new(),
            deposed: BTreeMap::new(),
        }
    }
}

impl Term {
    /// Takes one piece of evidence about a node; returns whether it changed the leader, the candidate or the phase.
    pub fn observe(&mut self, now: f64, node: u32, evidence: Evidence) -> bool {
        let leads = self.leader == Some(node);
        match evidence {
            Evidence::Leads { at } if leads => self.confirm_leader(at),
            Evidence::Leads { at } if self.accepts_claim(node, at) => {
                self.start_term(now, node, at)
            }
            Evidence::Leads { .. } => false,
            Evidence::Follows { at } => self.record_denial(now, node, at, leads),
            Evidence::ListedAsPrimary if self.leader.is_none() => self.name_candidate(now, node),
            Evidence::ListedAsLeaving if leads => {
                self.leader_leaving = true;
                self.suspect_leader(now)
            }
            Evidence::ListedAsLeaving | Evidence::Unreachable if self.candidate == Some(node) => {
                self.candidate = None;
                self.phase = Phase::NoLeader;
                true
            }
            Evidence::ListedInService if leads && self.leader_leaving => {
                self.leader_leaving = false;
                self.confirm_leader(now)
            }
            Evidence::Unreachable if leads => {
                self.leader_unreachable = true;
                self.suspect_leader(now)
            }
            Evidence::ConnectionBroke => {
                self.connection_broke_at = if leads { now } else { self.connection_broke_at };
                false
            }
            Evidence::ListedAsPrimary
            | Evidence::ListedAsLeaving
            | Evidence::ListedInService
            | Evidence::Unreachable => false,
        }
    }

    /// Applies the two rules on claims (see the module's documentation). A node's own later denial outranks its claim.
    fn accepts_claim(&self, node: u32, at: f64) -> bool {
        let later = at > self.claimed_at
            && self
                .denied_at
                .get(&node)
                .is_none_or(|denied_at| at > *denied_at);
        let leader_in_question =
            self.leader.is_none() || self.phase == Phase::Suspected && at > self.suspected_at;
        later && (leader_in_question || !self.deposed.contains_key(&node))
    }

    /// Records that the leader said that it led at `at`, and returns whether that ends its suspicion. It does not if
    /// the leader said so before it was suspected, or while it is leaving.
    fn confirm_leader(&mut self, at: f64) -> bool {
        self.claimed_at = self.claimed_at.max(at);
        self.leader_unreachable &= at <= self.suspected_at;
        let confirmed =
            self.phase == Phase::Suspected && !self.leader_leaving && at > self.suspected_at;
        if confirmed {
            self.phase = Phase::Settling;
        }
        confirmed
    }

    /// Starts a new term with this node as the leader.
    fn start_term(&mut self, now: f64, node: u32, at: f64) -> bool {
        if self.phase == Phase::Settled {
            self.change_began_at = now;
        }
        self.deposed
            .extend(self.leader.map(|leader| (leader, self.claimed_at)));
        self.deposed.remove(&node);
        self.leader = Some(node);
        self.candidate = None;
        self.claimed_at = at;
        self.leader_leaving = false;
        self.leader_unreachable = false;
        self.phase = Phase::Settling;
        self.number += 1;
        true
    }

    /// Records that a node said that it did not lead at `at`; `leads`: it is the present leader.
    fn record_denial(&mut self, now: f64, node: u32, at: f64, leads: bool) -> bool {
        let denied_at = self.denied_at.entry(node).or_insert(NEVER);
        *denied_at = denied_at.max(at);
        if leads && at > self.claimed_at {
            self.begin_change(now);
            self.leader = None;
            self.phase = Phase::NoLeader;
            self.leader_leaving = false;
            self.leader_unreachable = false;
            return true;
        }
        if self
            .deposed
            .get(&node)
            .is_some_and(|claimed_at| at > *claimed_at)
        {
            self.deposed.remove(&node);
        }
        let is_candidate = self.candidate == Some(node);
        if is_candidate {
            self.candidate = None;
            self.phase = Phase::NoLeader;
        }
        is_candidate
    }

    /// Takes a node that the list names as a candidate, unless the node has denied it recently.
    fn name_candidate(&mut self, now: f64, node: u32) -> bool {
        let denied_recently = self
            .denied_at
            .get(&node)
            .is_some_and(|at| now - at < MAX_LIST_DELAY_S);
        let changes = !denied_recently && self.candidate != Some(node);
        if changes {
            self.begin_change(now);
            self.candidate = Some(node);
            self.phase = Phase::Candidate;
        }
        changes
    }

    fn suspect_leader(&mut self, now: f64) -> bool {
        let changes = self.phase != Phase::Suspected;
        if changes {
            self.begin_change(now);
            self.phase = Phase::Suspected;
            self.suspected_at = now;
        }
        changes
    }

    /// Notes the start of a change. A second change while the first one settles is part of the first: statements have
    /// been waiting since then.
    fn begin_change(&mut self, now: f64) {
        // The first leader is no change: the wait for it says nothing of how long the store takes to promote another.
        if self.number > 0 && (self.phase == Phase::Settled || self.change_began_at == NEVER) {
            self.change_began_at = now;
        }
    }

    /// Ends the change, as nothing is held any more; returns how long it took, in seconds.
    pub fn settle(&mut self, now: f64) -> f64 {
        self.phase = Phase::Settled;
        let took_s = if self.change_began_at == NEVER {
            0.0
        } else {
            now - self.change_began_at
        };
        self.change_began_at = NEVER;
        took_s
    }

    /// Forgets a node about which no more evidence comes.
    pub fn forget_node(&mut self, node: u32) {
        self.denied_at.remove(&node);
        self.deposed.remove(&node);
        if self.candidate == Some(node) {
            self.candidate = None;
            self.phase = Phase::NoLeader;
        }
    }
}
