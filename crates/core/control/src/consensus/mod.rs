//! Consensus of the control machines on one value, [`crate::State`], with one of them as the
//! leader.
//!
//! The protocol is Paxos on a single register. There is no log: each accepted state replaces the
//! one before. The names are those of Raft, which most readers know better; they map like this:
//!
//! - term: [`Term`], a Paxos ballot. Its low bits name its only possible leader, so a vote needs no
//!   "voted for".
//! - `RequestVote`: [`ConsensusMessage::VoteRequest`] (Paxos 1a). The response (1b) brings a newer
//!   state, if any.
//! - election restriction (thesis, 3.6.1): none. The winner adopts the newest state of its quorum
//!   instead (Paxos Made Simple, 2.2).
//! - `AppendEntries`, log: [`ConsensusMessage::AppendRequest`] (Paxos 2a), with a snapshot, or the
//!   delta to a known state.
//! - commit index: the version of the state that a quorum has accepted under the leader's term.
//! - pre-vote (thesis, 9.6): the same, [`ConsensusMessage::PreVoteRequest`].
//! - check quorum, leader lease (thesis, 6.2 and 6.4.1): [`Consensus::authority_until`], from the
//!   answers to heartbeats.
//! - joint consensus (thesis, 4.3): the same, one voter at a time; see [`crate::voter_set`].
//! - server: a [`Voter`], which is a machine in one incarnation of its disk. A machine that lost
//!   its disk joins as a new voter, so nobody votes twice in a term.
//!
//! [`Consensus`] does no I/O and reads no clock. Its owner, [`crate::Controller`], passes in
//! messages and the seconds of the machine's steady clock, and carries out the [`ConsensusOutput`]s
//! in their order. Nothing counts before it is on disk (thesis, 3.8): what relies on a write is
//! withheld until [`Consensus::persisted`].
//!
//! - `election_timer`, `pre_vote`, `election`: who becomes the leader; `follower`: what it accepts
//!   from one
//! - `leader`, `replication`, `progress`: what a leader knows of the others and sends to them
//! - `voter_changes`, `join_leave`: changes of the voter set, at the leader and at the machine that
//!   wants one
//! - `persistence`: the writes to disk, and their failures

mod election;
mod election_timer;
mod follower;
mod hard_state;
mod join_leave;
mod leader;
mod message;
mod output;
mod persistence;
mod pre_vote;
mod progress;
mod replication;
mod voter_changes;

pub use hard_state::HardState;
pub use message::{ConsensusMessage, StateId, StatePayload};
pub use output::{ConsensusOutput, Recipient};

use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::term::Term;
use crate::voter_set::Voter;
use election_timer::ElectionTimer;
use message::{HeartbeatTimes, MessageHeader};
use std::collections::BTreeMap;

/// So many seconds of the election time-out are left at the start of a machine that voted for no
/// other machine: where the whole system starts, nobody leads, and the first voter need not wait.
const INITIAL_ELECTION_WAIT_S: f64 = 0.05;
/// Values by voter; iterated in the order of the voters, so that runs can be repeated exactly.
type ByVoter<T> = BTreeMap<Voter, T>;

/// Time-outs, in seconds of the machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct ConsensusConfig {
    /// A follower that had no message of a leader for so long starts an election. A leader may act
    /// for as long after it sent a heartbeat that a quorum answered.
    pub election_timeout: f64,
    /// A follower is in contact with a quorum for so long after it sent an answer that a leader in
    /// contact confirmed.
    pub contact_timeout: f64,
}

/// The role of this machine, with what it knows only in that role.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate(pre_vote::PreCandidateState),
    Candidate(election::CandidateState),
    Leader(leader::LeaderState),
}

/// The consensus state machine of one control machine.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: Voter,
    config: ConsensusConfig,
    /// What is to be on disk; ahead of `persisted_state` only while a write is in flight.
    hard_state: HardState,
    persisted_state: HardState,
    /// The digests of the states in `hard_state` and in `persisted_state`.
    state_digest: Digest,
    persisted_digest: Digest,
    history: ChangeHistory,
    /// While a write is in flight no message and no tick is processed.
    persist_in_flight: bool,
    /// Outputs that must not be seen before the write in flight has succeeded.
    outputs_after_persist: Vec<ConsensusOutput>,
    /// The last write failed and the disk has not been reopened: this machine takes no part.
    disk_failed: bool,
    role: Role,
    leader: Option<Voter>,
    election_timer: ElectionTimer,
    /// When a leader that may rely on our answer last sent something. A machine that restarts may
    /// have answered one just before it ended, and doesn't know.
    leader_seen_at: f64,
    /// Until when a follower knows that its leader was in contact with a quorum.
    contact_until: f64,
    /// The highest term that was seen in any message; a candidate goes above it.
    highest_seen_term: Term,
    /// A newer state than the one on this disk has this machine not among its voters.
    removed_by_newer_state: bool,
    voter_changes: voter_changes::VoterChanges,
}

impl Consensus {
    /// A machine that starts at `now` with `hard_state` on its disk. `seed` sets its random
    /// election delays.
    pub fn new(
        me: Voter,
        hard_state: HardState,
        now: f64,
        seed: u64,
        config: ConsensusConfig,
    ) -> Consensus {
        let digest = hard_state.state.digest();
        let voted_term = hard_state.voted_term;
        // A leader may still hold its lease by what this machine answered before it restarted.
        let may_have_leader = voted_term != Term::default() && voted_term.leader() != me.node;
        let timer_started_at = if may_have_leader {
            now
        } else {
            now - config.election_timeout + INITIAL_ELECTION_WAIT_S
        };
        let rank = rank(hard_state.state.voters.voters(), me);
        Consensus {
            me,
            config,
            persisted_state: hard_state.clone(),
            state_digest: digest,
            persisted_digest: digest,
            history: ChangeHistory::default(),
            persist_in_flight: false,
            outputs_after_persist: Vec::new(),
            disk_failed: false,
            role: Role::Follower,
            leader: None,
            election_timer: ElectionTimer::new(seed, rank, timer_started_at),
            leader_seen_at: if may_have_leader {
                now
            } else {
                f64::NEG_INFINITY
            },
            contact_until: f64::NEG_INFINITY,
            highest_seen_term: voted_term,
            removed_by_newer_state: false,
            voter_changes: voter_changes::VoterChanges::new(now),
            hard_state,
        }
    }

    /// This machine, in the incarnation of its disk.
    pub fn me(&self) -> Voter {
        self.me
    }

    /// The voters as far as this machine knows them; while a change is under way, those to come.
    pub fn voters(&self) -> &[Voter] {
        self.hard_state.state.voters.voters()
    }

    /// What is on disk, or is being written to it.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Whether this machine's vote counts: its disk works, and it is in the voter set.
    pub fn is_voter(&self) -> bool {
        !self.disk_failed && self.hard_state.state.voters.contains(self.me)
    }

    /// Whether the last write failed and the disk has not been reopened since.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// The machine believed to be the leader.
    pub fn leader(&self) -> Option<Voter> {
        self.leader
    }

    /// Whether this machine, or its leader as it confirmed, had answers of a quorum a moment ago.
    pub fn in_contact(&self, now: f64) -> bool {
        match self.role {
            Role::Leader(_) => now < self.authority_until(),
            _ => self.leader.is_some() && now < self.contact_until,
        }
    }

    /// Until when contact with a quorum is known, in seconds of this machine's clock; minus
    /// infinity if it never was.
    pub fn contact_until(&self) -> f64 {
        match self.role {
            Role::Leader(_) => self.authority_until(),
            _ => self.contact_until,
        }
    }

    /// The newest changes of the state, for a receiver that holds an earlier one.
    pub fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// Runs the timers; to be called every few hundredths of a second.
    pub fn tick(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.persist_in_flight || self.disk_failed {
            return;
        }
        self.request_join(now, out);
        self.request_leave(now, out);
        self.advance_voter_change(now, out);
        match self.role {
            Role::Leader(_) => self.tick_leader(now, out),
            Role::Candidate(_) => self.tick_candidate(now, out),
            Role::PreCandidate(_) => self.tick_pre_candidate(now, out),
            Role::Follower => self.tick_follower(now, out),
        }
    }

    /// Processes a message that came from `from` at `now`.
    pub fn step(
        &mut self,
        now: f64,
        from: Voter,
        message: ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.persist_in_flight || self.disk_failed {
            return;
        }
        self.voter_changes.add_peer(from.node);
        let header = |term| MessageHeader { now, from, term };
        match message {
            ConsensusMessage::PreVoteRequest { term, last_state } => {
                self.on_pre_vote_request(header(term), last_state, out);
            }
            ConsensusMessage::PreVoteResponse {
                term,
                granted,
                voted_term,
            } => self.on_pre_vote_response(header(term), granted, voted_term, out),
            ConsensusMessage::VoteRequest { term, last_state } => {
                self.on_vote_request(header(term), last_state, out);
            }
            ConsensusMessage::VoteResponse {
                term,
                last_state,
                newer_state,
            } => self.on_vote_response(header(term), last_state, newer_state, out),
            ConsensusMessage::TermRejected { term, voted_term } => {
                self.on_term_rejected(header(term), voted_term, out);
            }
            ConsensusMessage::AppendRequest { term, payload } => {
                self.on_append_request(header(term), payload, out);
            }
            ConsensusMessage::AppendResponse { term, last_state } => {
                self.on_append_response(header(term), last_state, out);
            }
            ConsensusMessage::AppendMismatch { term, last_state } => {
                self.on_append_mismatch(header(term), last_state, out);
            }
            ConsensusMessage::Heartbeat {
                term,
                sent_at,
                confirmed_answer_at,
            } => self.on_heartbeat(header(term), sent_at, confirmed_answer_at, out),
            ConsensusMessage::HeartbeatResponse {
                term,
                heartbeat_sent_at,
                answered_at,
                last_state,
            } => {
                let times = HeartbeatTimes {
                    heartbeat_sent_at,
                    answered_at,
                };
                self.on_heartbeat_response(header(term), times, last_state, out);
            }
            ConsensusMessage::Resign { term } => self.on_resign(header(term)),
            ConsensusMessage::JoinRequest { last_state } => {
                self.on_join_request(now, from, last_state, out);
            }
            ConsensusMessage::KnownVoters { voters } => self.voter_changes.add_peers(&voters),
            ConsensusMessage::LeaveRequest => self.on_leave_request(now, from, out),
            ConsensusMessage::LeaveResponse => self.voter_changes.confirm_removal(),
        }
    }

    /// This machine's position among the voters.
    fn rank(&self) -> usize {
        rank(self.voters(), self.me)
    }

    fn reset_election_timer(&mut self, now: f64) {
        let rank = self.rank();
        self.election_timer.restart_with_new_delay(now, rank);
    }

    fn observe_term(&mut self, term: Term) {
        self.highest_seen_term = self.highest_seen_term.max(term);
    }

    /// Everybody whose vote may count, except this machine.
    fn other_voters(&self) -> impl Iterator<Item = Voter> {
        let voters = &self.hard_state.state.voters;
        voters.all().filter(|voter| *voter != self.me)
    }

    /// Rejects what `header` brought, as a higher term was voted for or another machine leads.
    fn reject_term(&self, header: MessageHeader, out: &mut Vec<ConsensusOutput>) {
        let rejection = ConsensusMessage::TermRejected {
            term: header.term,
            voted_term: self.hard_state.voted_term,
        };
        out.push(ConsensusOutput::to_voter(header.from, rejection));
    }
}

/// The position of `me` among the voters; 0 if it is no voter.
fn rank(voters: &[Voter], me: Voter) -> usize {
    voters.iter().position(|voter| *voter == me).unwrap_or(0)
}
