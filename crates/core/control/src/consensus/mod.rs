//! One value that the control machines agree on, with one of them leading under a ballot.
//!
//! Paxos on a register: a ballot is promised by a majority before anything is accepted under it, and whoever wins one goes
//! on from the newest state that a majority may have accepted. The winner leads: it alone proposes, and as long as a
//! majority answered its heartbeats a moment ago it knows that nobody else has won. There is no log: a machine that was
//! away gets the state, or the changes since the one that it has.
//!
//! Nothing counts before it is saved. Whatever relies on a save is held back until [`Consensus::saved`]; after
//! [`Consensus::save_failed`] the machine goes on from what is on its disk and takes no part until
//! [`Consensus::reopened`]. Who decides is part of the state ([`crate::membership`]).

mod election;
mod message;
mod replication;
mod voters;

pub use message::{ConsensusMessage, Content, Holds};

use crate::ballot::Ballot;
use crate::digest::Digest;
use crate::history::History;
use crate::membership::{Node, Voter};
use crate::state::State;
use bincode::{Decode, Encode};
use replication::Leading;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a machine keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Nothing below is taken part in.
    pub promised: Ballot,
    /// Under which the state was accepted.
    pub accepted: Ballot,
    /// The state.
    pub state: Rc<State>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusOutput {
    /// The record is to be saved, and [`Consensus::saved`] or [`Consensus::save_failed`] called before anything else.
    Save,
    /// To another machine.
    Send(Recipient, ConsensusMessage),
    /// This machine leads from now on, with the state as it is.
    Won,
    /// It does no longer.
    Lost,
    /// What was proposed holds.
    Agreed,
}

/// To whom a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Recipient {
    /// To this voter; whoever has its address in another incarnation must not take it.
    Voter(Voter),
    /// To whoever has this address.
    Node(Node),
}

impl Recipient {
    /// The address.
    pub fn node(self) -> Node {
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
pub struct ConsensusTiming {
    /// A leader is missed after so many seconds. One that heard of a majority acts for as long, from when its heartbeat
    /// went out.
    pub suspect: f64,
    /// A follower is in contact for so many seconds after it sent an answer that the leader, in contact itself, confirmed.
    pub contact: f64,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// Asks whether a candidacy would be of use.
    Canvassing(election::Canvass),
    Candidate(election::Candidacy),
    Leader(Leading),
}

/// One machine's part in it.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: Voter,
    timing: ConsensusTiming,
    /// What is to be on disk; ahead of `durable` only while a save is under way.
    record: Record,
    durable: Record,
    /// The digests of the states in `record` and in `durable`.
    digest: Digest,
    durable_digest: Digest,
    history: History,
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
    highest: Ballot,
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
        record: Record,
        now: f64,
        seed: u64,
        timing: ConsensusTiming,
    ) -> Consensus {
        let digest = record.state.digest();
        let mut consensus = Consensus {
            me,
            timing,
            durable: record.clone(),
            digest,
            durable_digest: digest,
            history: History::default(),
            saving: false,
            after_save: Vec::new(),
            disk_failed: false,
            role: Role::Follower,
            leader: None,
            // At the first start nobody leads: the first in order need not wait for a silence to pass.
            heard: now - timing.suspect + 0.05,
            led_at: f64::NEG_INFINITY,
            contact_until: f64::NEG_INFINITY,
            highest: record.promised,
            removed: false,
            pause: 0.0,
            random: seed | 1,
            membership: voters::Candidates::new(now),
            record,
        };
        let promised = consensus.record.promised;
        if promised != Ballot::default() && promised.node() != me.node {
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
        self.record.state.membership.voters()
    }

    /// What is to be on disk.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether this machine's word counts: its disk is in order, and it is one of the voters.
    pub fn votes(&self) -> bool {
        !self.disk_failed && self.record.state.membership.contains(self.me)
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
            Role::Leader(_) => now < self.authority(),
            _ => self.leader.is_some() && now < self.contact_until,
        }
    }

    /// Since when this machine knows nothing of a majority, in seconds of its clock; the past if it never did.
    pub fn contact_until(&self) -> f64 {
        match self.role {
            Role::Leader(_) => self.authority(),
            _ => self.contact_until,
        }
    }

    /// The changes that are known of, for whoever holds an earlier state.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// A save of the record has succeeded.
    pub fn saved(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        self.saving = false;
        self.durable = self.record.clone();
        self.durable_digest = self.digest;
        out.append(&mut self.after_save);
        match self.role {
            Role::Candidate(_) => self.count_own_promise(now, out),
            Role::Leader(_) => self.count_own_save(out),
            Role::Follower | Role::Canvassing(_) => {}
        }
    }

    /// A save of the record has failed: whatever relied on it hasn't happened, and until the disk is opened anew this
    /// machine takes no part. Whether the old or the new record is on the disk isn't known.
    pub fn save_failed(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.saving = false;
        self.after_save.clear();
        self.follow(out);
        self.leader = None;
        self.contact_until = f64::NEG_INFINITY;
        self.restore(self.durable.clone());
        self.disk_failed = true;
    }

    /// The disk is opened anew and holds this.
    pub fn reopened(&mut self, now: f64, record: Record) {
        self.restore(record);
        self.durable = self.record.clone();
        self.durable_digest = self.digest;
        self.highest = self.highest.max(self.record.promised);
        self.disk_failed = false;
        self.heard = now;
        self.pause = self.stagger();
    }

    fn restore(&mut self, record: Record) {
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
            out.push(ConsensusOutput::Save);
        }
    }

    /// What is on the disk of this machine.
    fn holds(&self) -> Holds {
        Holds {
            accepted: self.durable.accepted,
            seq: self.durable.state.seq,
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
        self.change_membership(now, out);
        match self.role {
            Role::Leader(_) => self.send_heartbeats(now, out),
            Role::Candidate(_) => self.tick_candidate(now, out),
            Role::Canvassing(_) => self.tick_canvass(now, out),
            Role::Follower => self.tick_follower(now, out),
        }
    }

    /// A message of another machine.
    pub fn message(
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
            ConsensusMessage::Canvass { ballot, holds } => {
                self.on_canvass(now, from, ballot, holds, out)
            }
            ConsensusMessage::Canvassed {
                ballot,
                granted,
                promised,
            } => {
                self.on_canvassed(now, from, ballot, granted, promised, out);
            }
            ConsensusMessage::Prepare { ballot, holds } => {
                self.on_prepare(now, from, ballot, holds, out)
            }
            ConsensusMessage::Promise {
                ballot,
                holds,
                newer,
            } => {
                self.on_promise(now, from, ballot, holds, newer, out);
            }
            ConsensusMessage::Refuse { ballot, promised } => {
                self.on_refuse(now, ballot, promised, out)
            }
            ConsensusMessage::Accept { ballot, content } => {
                self.on_accept(now, from, ballot, content, out)
            }
            ConsensusMessage::Accepted { ballot, holds } => {
                self.on_accepted(from, ballot, holds, out)
            }
            ConsensusMessage::Mismatch { ballot, holds } => {
                self.on_mismatch(now, from, ballot, holds, out)
            }
            ConsensusMessage::Heartbeat {
                ballot,
                sent,
                confirms,
            } => {
                self.on_heartbeat(now, from, ballot, (sent, confirms), out);
            }
            ConsensusMessage::HeartbeatAck {
                ballot,
                sent,
                at,
                holds,
            } => {
                self.on_heartbeat_ack(now, from, ballot, (sent, at), holds, out);
            }
            ConsensusMessage::Resign { ballot } => self.on_resign(now, from, ballot),
            ConsensusMessage::Join { holds } => self.on_join(now, from, holds, out),
            ConsensusMessage::Contacts { voters } => self.membership.learn(voters),
            ConsensusMessage::Leave => self.on_leave(now, from, out),
            ConsensusMessage::Left => self.membership.left(),
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
                out.push(ConsensusOutput::Lost);
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
