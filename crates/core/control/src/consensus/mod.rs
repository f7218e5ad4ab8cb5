//! One value that the control machines agree on, with one of them leading under a ballot.
//!
//! Paxos on a register: a ballot is promised by a majority before anything is accepted under it, and whoever wins one goes
//! on from the newest state that a majority may have accepted. The winner leads: it alone proposes, and as long as a
//! majority answered its heartbeats a moment ago it knows that nobody else has won. There is no log: a machine that was
//! away gets the state, or the changes since the one that it has.
//!
//! Nothing counts before it is saved. Whatever relies on a save is held back until [`Consensus::persisted`]; after
//! [`Consensus::persist_failed`] the machine goes on from what is on its disk and takes no part until
//! [`Consensus::disk_reopened`]. Who decides is part of the state ([`crate::voter_set`]).

mod election;
mod message;
mod replication;
mod voters;

pub use message::{ConsensusMessage, StateId, StatePayload};

use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use bincode::{Decode, Encode};
use replication::LeaderState;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a machine keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Nothing below is taken part in.
    pub voted_term: Term,
    /// Under which the state was accepted.
    pub accepted_term: Term,
    /// The state.
    pub state: Rc<State>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusOutput {
    /// The record is to be saved, and [`Consensus::persisted`] or [`Consensus::persist_failed`] called before anything else.
    Persist,
    /// To another machine.
    Send(Recipient, ConsensusMessage),
    /// This machine leads from now on, with the state as it is.
    BecameLeader,
    /// It does no longer.
    SteppedDown,
    /// What was proposed holds.
    Committed,
}

/// To whom a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Recipient {
    /// To this voter; whoever has its address in another incarnation must not take it.
    Voter(Voter),
    /// To whoever has this address.
    Node(NodeId),
}

impl Recipient {
    /// The address.
    pub fn node(self) -> NodeId {
        match self {
            Recipient::Voter(voter) => voter.node,
            Recipient::Node(node) => node,
        }
    }

    /// Whether this one is meant.
    pub fn is(self, voter: Voter) -> bool {
        match self {
            Recipient::Voter(meant) => meant == voter,
            Recipient::Node(node) => node == voter.node,
        }
    }
}

/// Spans and sizes.
#[derive(Clone, Copy, Debug)]
pub struct ConsensusConfig {
    /// A leader is missed after so many seconds. One that heard of a majority acts for as long, from when its heartbeat
    /// went out.
    pub election_timeout: f64,
    /// A follower is in contact for so many seconds after it sent an answer that the leader, in contact itself, confirmed.
    pub contact_timeout: f64,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks whether a candidacy would be of use.
    PreCandidate(election::PreCandidateState),
    Candidate(election::CandidateState),
    Leader(LeaderState),
}

/// One machine's part in it.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: Voter,
    timing: ConsensusConfig,
    /// What is to be on disk; ahead of `durable` only while a save is under way.
    record: HardState,
    durable: HardState,
    /// The digests of the states in `record` and in `durable`.
    digest: Digest,
    durable_digest: Digest,
    history: ChangeHistory,
    /// A save is under way; nothing else is taken in.
    saving: bool,
    /// What may be done once it has succeeded.
    after_save: Vec<ConsensusOutput>,
    /// The last save failed, and the disk wasn't opened anew yet.
    disk_failed: bool,
    role: Role,
    leader: Option<Voter>,
    /// When a leader was last heard, or this machine last stood back for one.
    heard: f64,
    /// When a leader was last heard that may act on it; a machine that starts may have heard one just before.
    led_at: f64,
    /// Until when this machine knows that its leader was in contact with a majority.
    contact_until: f64,
    /// The highest ballot that was met.
    highest: Term,
    /// This machine is none of those who decide by a newer state than its own.
    removed: bool,
    /// How much longer than others this machine waits before it stands, in seconds.
    pause: f64,
    random: u64,
    membership: voters::Candidates,
}

impl Consensus {
    /// A machine that starts with what its disk holds.
    pub fn new(
        me: Voter,
        record: HardState,
        now: f64,
        seed: u64,
        timing: ConsensusConfig,
    ) -> Consensus {
        let digest = record.state.digest();
        let mut consensus = Consensus {
            me,
            timing,
            durable: record.clone(),
            digest,
            durable_digest: digest,
            history: ChangeHistory::default(),
            saving: false,
            after_save: Vec::new(),
            disk_failed: false,
            role: Role::Follower,
            leader: None,
            // At the first start nobody leads: the first in order need not wait for a silence to pass.
            heard: now - timing.election_timeout + 0.05,
            led_at: f64::NEG_INFINITY,
            contact_until: f64::NEG_INFINITY,
            highest: record.voted_term,
            removed: false,
            pause: 0.0,
            random: seed | 1,
            membership: voters::Candidates::new(now),
            record,
        };
        let promised = consensus.record.voted_term;
        if promised != Term::default() && promised.leader() != me.node {
            // What this machine answered in its last life another one may act on.
            consensus.heard = now;
            consensus.led_at = now;
        }
        consensus.pause = consensus.stagger();
        consensus
    }

    /// This machine, in the life of its disk.
    pub fn me(&self) -> Voter {
        self.me
    }

    /// The voters, as far as they are known here.
    pub fn voters(&self) -> &[Voter] {
        self.record.state.voters.voters()
    }

    /// What is to be on disk.
    pub fn hard_state(&self) -> &HardState {
        &self.record
    }

    /// Whether this machine's word counts: its disk is in order, and it is one of the voters.
    pub fn is_voter(&self) -> bool {
        !self.disk_failed && self.record.state.voters.contains(self.me)
    }

    /// Whether the last save failed, and the disk wasn't opened anew yet.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Who is believed to lead.
    pub fn leader(&self) -> Option<Voter> {
        self.leader
    }

    /// Whether this machine was in contact with a majority a moment ago, itself or through its leader.
    pub fn in_contact(&self, now: f64) -> bool {
        match self.role {
            Role::Leader(_) => now < self.authority_until(),
            _ => self.leader.is_some() && now < self.contact_until,
        }
    }

    /// Since when this machine knows nothing of a majority, in seconds of its clock; the past if it never did.
    pub fn contact_until(&self) -> f64 {
        match self.role {
            Role::Leader(_) => self.authority_until(),
            _ => self.contact_until,
        }
    }

    /// The changes that are known of, for whoever holds an earlier state.
    pub fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// A save of the record has succeeded.
    pub fn persisted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        self.saving = false;
        self.durable = self.record.clone();
        self.durable_digest = self.digest;
        out.append(&mut self.after_save);
        match self.role {
            Role::Candidate(_) => self.count_own_promise(now, out),
            Role::Leader(_) => self.count_own_save(out),
            Role::Follower | Role::PreCandidate(_) => {}
        }
    }

    /// A save of the record has failed: whatever relied on it hasn't happened, and until the disk is opened anew this
    /// machine takes no part. Whether the old or the new record is on the disk isn't known.
    pub fn persist_failed(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.saving = false;
        self.after_save.clear();
        self.follow(out);
        self.leader = None;
        self.contact_until = f64::NEG_INFINITY;
        self.restore(self.durable.clone());
        self.disk_failed = true;
    }

    /// The disk is opened anew and holds this.
    pub fn disk_reopened(&mut self, now: f64, record: HardState) {
        self.restore(record);
        self.durable = self.record.clone();
        self.durable_digest = self.digest;
        self.highest = self.highest.max(self.record.voted_term);
        self.disk_failed = false;
        self.heard = now;
        self.pause = self.stagger();
    }

    fn restore(&mut self, record: HardState) {
        let digest = record.state.digest();
        if digest != self.digest {
            self.history.clear();
        }
        self.record = record;
        self.digest = digest;
        self.removed = false;
    }

    /// Saves the record, and only then does this.
    fn persist(&mut self, then: Option<ConsensusOutput>, out: &mut Vec<ConsensusOutput>) {
        self.after_save.extend(then);
        if !self.saving {
            self.saving = true;
            out.push(ConsensusOutput::Persist);
        }
    }

    /// What is on the disk of this machine.
    fn last_state(&self) -> StateId {
        StateId {
            accepted_term: self.durable.accepted_term,
            version: self.durable.state.version,
            digest: self.durable_digest,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.saving || self.disk_failed {
            return;
        }
        self.ask_to_join(now, out);
        self.ask_to_leave(now, out);
        self.advance_voter_change(now, out);
        match self.role {
            Role::Leader(_) => self.send_heartbeats(now, out),
            Role::Candidate(_) => self.tick_candidate(now, out),
            Role::PreCandidate(_) => self.tick_canvass(now, out),
            Role::Follower => self.tick_follower(now, out),
        }
    }

    /// A message of another machine.
    pub fn step(
        &mut self,
        now: f64,
        from: Voter,
        message: ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.saving || self.disk_failed {
            return;
        }
        self.membership.met(from.node);
        match message {
            ConsensusMessage::PreVoteRequest { term, last_state } => {
                self.on_canvass(now, from, term, last_state, out)
            }
            ConsensusMessage::PreVoteResponse {
                term,
                granted,
                voted_term: promised,
            } => {
                self.on_canvassed(now, from, term, granted, promised, out);
            }
            ConsensusMessage::VoteRequest { term, last_state } => {
                self.on_prepare(now, from, term, last_state, out)
            }
            ConsensusMessage::VoteResponse {
                term,
                last_state,
                newer_state: newer,
            } => {
                self.on_promise(now, from, term, last_state, newer, out);
            }
            ConsensusMessage::TermRejected {
                term,
                voted_term: promised,
            } => self.on_refuse(now, term, promised, out),
            ConsensusMessage::AppendRequest {
                term,
                payload: content,
            } => self.on_accept(now, from, term, content, out),
            ConsensusMessage::AppendResponse { term, last_state } => {
                self.on_accepted(from, term, last_state, out)
            }
            ConsensusMessage::AppendMismatch { term, last_state } => {
                self.on_mismatch(now, from, term, last_state, out)
            }
            ConsensusMessage::Heartbeat {
                term,
                sent_at: sent,
                confirmed_answer_at: confirms,
            } => {
                self.on_heartbeat(now, from, term, (sent, confirms), out);
            }
            ConsensusMessage::HeartbeatResponse {
                term,
                heartbeat_sent_at: sent,
                answered_at: at,
                last_state,
            } => {
                self.on_heartbeat_ack(now, from, term, (sent, at), last_state, out);
            }
            ConsensusMessage::Resign { term } => self.on_resign(now, from, term),
            ConsensusMessage::JoinRequest { last_state } => {
                self.on_join(now, from, last_state, out)
            }
            ConsensusMessage::KnownVoters { voters } => self.membership.learn(voters),
            ConsensusMessage::LeaveRequest => self.on_leave(now, from, out),
            ConsensusMessage::LeaveResponse => self.membership.left(),
        }
    }

    /// How much later than the first in order this machine stands, so that they don't stand all at once.
    fn stagger(&mut self) -> f64 {
        const RANK: f64 = 0.12;
        const CHANCE: f64 = 0.05;
        let rank = self
            .voters()
            .iter()
            .position(|voter| *voter == self.me)
            .unwrap_or(0);
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        RANK * rank as f64 + CHANCE * ((self.random >> 33) as f64 / (1u64 << 31) as f64)
    }

    fn follow(&mut self, out: &mut Vec<ConsensusOutput>) {
        if let Role::Leader(leading) = &self.role {
            if leading.agreed.is_some() {
                out.push(ConsensusOutput::SteppedDown);
            }
            self.leader = None;
        }
        self.role = Role::Follower;
    }
}

fn send(to: Voter, message: ConsensusMessage) -> ConsensusOutput {
    ConsensusOutput::Send(Recipient::Voter(to), message)
}

/// Machines and what each said, in order of the machines.
type ByVoter<T> = BTreeMap<Voter, T>;
