//! Consensus of the control machines on one value, [`crate::State`], with one machine as the
//! leader.
//!
//! The protocol is Paxos on a single register. There is no log: each accepted state replaces the
//! previous one. The names are those of Raft, because more readers know them ("thesis" below is
//! Diego Ongaro's thesis on Raft). They map as follows:
//!
//! - term: [`Term`], a Paxos ballot. Its low bits name the only machine that can lead in it, so a
//!   vote needs no "voted for" field.
//! - `RequestVote`: [`ConsensusMessage::VoteRequest`] (Paxos 1a). The response (1b) carries the
//!   voter's state if that is newer.
//! - election restriction (thesis, 3.6.1): none. Instead, the winner adopts the newest state of its
//!   quorum (Paxos Made Simple, 2.2).
//! - `AppendEntries`, log: [`ConsensusMessage::AppendRequest`] (Paxos 2a), which carries a
//!   snapshot, or a delta from a state that the receiver has.
//! - commit index: the version of the state that a quorum has accepted in the leader's term.
//! - pre-vote (thesis, 9.6): the same, [`ConsensusMessage::PreVoteRequest`].
//! - check quorum, leader lease (thesis, 6.2 and 6.4.1): [`Consensus::authority_until`], computed
//!   from the responses to heartbeats.
//! - joint consensus (thesis, 4.3): the same, one voter at a time; see [`crate::voter_set`].
//! - server: a [`Voter`], which is a machine together with the incarnation of its disk. A machine
//!   that lost its disk joins as a new voter, so no voter votes twice in a term.
//!
//! [`Consensus`] does no I/O and reads no clock. Its owner, [`crate::Controller`], passes in
//! messages and the time, and carries out the [`ConsensusOutput`]s in order. All times are `f64`
//! seconds of a machine's steady (monotonic) clock. Nothing counts before it is on disk (thesis,
//! 3.8): outputs that rely on a write are withheld until [`Consensus::persisted`] is called.
//!
//! - `election_timer`, `pre_vote`, `election`: how a machine becomes the leader
//! - `follower`: what a machine accepts from the leader
//! - `leader`, `replication`, `progress`: what the leader knows about the others and sends to them
//! - `voter_changes`, `join_leave`: changes of the voter set, at the leader and at the machine that
//!   requests one
//! - `persistence`: writes to disk and their failures

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

/// Remainder of the election timeout when a machine starts that never voted for another machine, in
/// seconds. It is short because no machine leads when the whole system starts, so the first voter
/// need not wait for a leader.
const INITIAL_ELECTION_WAIT_S: f64 = 0.05;
/// Values by voter. Iteration follows the order of the voters, so that runs are reproducible.
type ByVoter<T> = BTreeMap<Voter, T>;

/// Timeouts, in seconds of the machine's clock.
#[derive(Clone, Copy, Debug)]
pub struct ConsensusConfig {
    /// A follower that has received nothing from a leader for this time starts an election. A
    /// leader may act for this time after it sent a heartbeat that a quorum answered.
    pub election_timeout_s: f64,
    /// A follower counts as in contact with a quorum for this time after it sent a response, if a
    /// leader that is itself in contact confirmed that response.
    pub contact_timeout_s: f64,
}

/// The role of this machine, with the data that exists only in that role.
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
    /// What should be on disk. It is ahead of `persisted_state` only while a write is in flight.
    hard_state: HardState,
    /// What is known to be on disk.
    persisted_state: HardState,
    /// The digest of the state in `hard_state`.
    state_digest: Digest,
    /// The digest of the state in `persisted_state`.
    persisted_digest: Digest,
    history: ChangeHistory,
    /// Whether a write is in flight. Meanwhile no message and no tick is processed.
    persist_in_flight: bool,
    /// Outputs to be released once the write in flight has succeeded.
    outputs_after_persist: Vec<ConsensusOutput>,
    /// Whether the last write failed and the disk has not been reopened since. Meanwhile this
    /// machine doesn't take part in consensus.
    disk_failed: bool,
    role: Role,
    leader: Option<Voter>,
    election_timer: ElectionTimer,
    /// When a leader that may rely on this machine's response last sent a message. A machine that
    /// restarts may have responded to one just before it ended and doesn't know, so it assumes that
    /// it did.
    leader_seen_at: f64,
    /// The time until which a follower counts as in contact with a quorum, as confirmed by its
    /// leader.
    contact_until: f64,
    /// The highest term seen in any message. A candidate chooses a higher one.
    highest_seen_term: Term,
    /// Whether a state newer than the one on this disk doesn't have this machine as a voter.
    removed_by_newer_state: bool,
    voter_changes: voter_changes::VoterChanges,
}

impl Consensus {
    /// Creates a machine that starts at `now` with `hard_state` on its disk. `seed` determines its
    /// random election delays.
    pub fn new(
        me: Voter,
        hard_state: HardState,
        now: f64,
        seed: u64,
        config: ConsensusConfig,
    ) -> Consensus {
        let digest = hard_state.state.digest();
        let voted_term = hard_state.voted_term;
        // A leader may still hold a lease that relies on a response from before the restart.
        let may_have_leader = voted_term != Term::default() && voted_term.leader() != me.node;
        let timer_started_at = if may_have_leader {
            now
        } else {
            now - config.election_timeout_s + INITIAL_ELECTION_WAIT_S
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

    /// Returns this machine together with the incarnation of its disk.
    pub fn me(&self) -> Voter {
        self.me
    }

    /// Returns the voters as known to this machine. While a change is in progress, these are the
    /// incoming ones.
    pub fn voters(&self) -> &[Voter] {
        self.hard_state.state.voters.voters()
    }

    /// Returns the hard state that is on disk or is being written to it.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Returns whether this machine's vote counts: its disk works, and it is in the voter set.
    pub fn is_voter(&self) -> bool {
        !self.disk_failed && self.hard_state.state.voters.contains(self.me)
    }

    /// Returns whether the last write failed and the disk has not been reopened since.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Returns the machine that this one believes to be the leader.
    pub fn leader(&self) -> Option<Voter> {
        self.leader
    }

    /// Returns whether this machine was recently in contact with a quorum: as the leader through
    /// the responses to its heartbeats, or as a follower through a confirmation by its leader.
    pub fn in_contact(&self, now: f64) -> bool {
        match self.role {
            Role::Leader(_) => now < self.authority_until(),
            _ => self.leader.is_some() && now < self.contact_until,
        }
    }

    /// Returns the time until which this machine counts as in contact with a quorum, in seconds of
    /// its clock, or minus infinity if no contact is known.
    pub fn contact_until(&self) -> f64 {
        match self.role {
            Role::Leader(_) => self.authority_until(),
            _ => self.contact_until,
        }
    }

    /// Returns the newest changes of the state, for receivers that have an earlier state.
    pub fn history(&self) -> &ChangeHistory {
        &self.history
    }

    /// Processes timers. To be called every few hundredths of a second.
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

    /// Processes a message that was received from `from` at `now`.
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

    /// Returns this machine's position among the voters, or 0 if it is not a voter.
    fn rank(&self) -> usize {
        rank(self.voters(), self.me)
    }

    /// Restarts the election timeout at `started_at`, with a newly drawn delay.
    fn reset_election_timer(&mut self, started_at: f64) {
        let rank = self.rank();
        self.election_timer.restart_with_new_delay(started_at, rank);
    }

    /// Records that `term` was seen in a message or on disk.
    fn observe_term(&mut self, term: Term) {
        self.highest_seen_term = self.highest_seen_term.max(term);
    }

    /// Returns every voter whose vote may count, except this machine.
    fn other_voters(&self) -> impl Iterator<Item = Voter> {
        let voters = &self.hard_state.state.voters;
        voters.all().filter(|voter| *voter != self.me)
    }

    /// Rejects the message of `header`, because this machine voted for a higher term or supports
    /// another leader.
    fn reject_term(&self, header: MessageHeader, out: &mut Vec<ConsensusOutput>) {
        let rejection = ConsensusMessage::TermRejected {
            term: header.term,
            voted_term: self.hard_state.voted_term,
        };
        out.push(ConsensusOutput::to_voter(header.from, rejection));
    }
}

/// Returns the position of `me` among the voters, or 0 if it is not a voter.
fn rank(voters: &[Voter], me: Voter) -> usize {
    voters.iter().position(|voter| *voter == me).unwrap_or(0)
}
