//! The follower: accepts states from the leader and answers its heartbeats.

use super::message::MessageHeader;
use super::{Consensus, ConsensusMessage, ConsensusOutput, HardState, Role, StateId, StatePayload};
use crate::digest::Digest;
use crate::state::{State, StateChange};
use std::rc::Rc;

/// A received state, and the changes that led to it from the state that this machine had.
struct ReceivedState {
    state: Rc<State>,
    digest: Digest,
    /// Empty if the state was received as a snapshot.
    steps: Vec<AppliedStep>,
}

/// One change of a delta, with the state to which it was applied.
struct AppliedStep {
    state_before: Rc<State>,
    digest_before: Digest,
    change: Rc<StateChange>,
}

impl ReceivedState {
    /// Applies one more change. Returns `None` if the change doesn't apply to the state.
    fn apply(mut self, change: Rc<StateChange>) -> Option<ReceivedState> {
        let state = Rc::new(self.state.apply(&change)?);
        let digest = state.digest();
        self.steps.push(AppliedStep {
            state_before: self.state,
            digest_before: self.digest,
            change,
        });
        Some(ReceivedState {
            state,
            digest,
            steps: self.steps,
        })
    }
}

impl Consensus {
    /// Becomes a follower. A leader that could act reports that it stepped down.
    pub(super) fn become_follower(&mut self, out: &mut Vec<ConsensusOutput>) {
        if let Role::Leader(leader) = &self.role {
            if leader.committed_version.is_some() {
                out.push(ConsensusOutput::SteppedDown);
            }
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Follows the sender of a message that only the leader of that term can send.
    fn follow_leader(&mut self, header: MessageHeader, out: &mut Vec<ConsensusOutput>) {
        let must_step_down = match &self.role {
            Role::Leader(leader) => leader.term < header.term,
            Role::Candidate(_) | Role::PreCandidate(_) => true,
            Role::Follower => false,
        };
        if must_step_down {
            self.become_follower(out);
        }
        if self.leader != Some(header.from) {
            self.contact_until = f64::NEG_INFINITY;
        }
        self.leader = Some(header.from);
        self.leader_seen_at = header.now;
        let rank = self.rank();
        self.election_timer.restart(header.now);
        self.election_timer.ensure_delay(rank);
    }

    pub(super) fn on_append_request(
        &mut self,
        header: MessageHeader,
        payload: StatePayload,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let term = header.term;
        self.observe_term(term);
        if term < self.hard_state.voted_term {
            self.reject_term(header, out);
            return;
        }
        self.follow_leader(header, out);
        let Some(received) = self.resolve_payload(payload) else {
            let last_state = self.last_state();
            let mismatch = ConsensusMessage::AppendMismatch { term, last_state };
            out.push(ConsensusOutput::to_voter(header.from, mismatch));
            return;
        };
        // An older state that arrives after a newer one must not replace it.
        let is_outdated = self.hard_state.accepted_term == term
            && received.state.version <= self.hard_state.state.version;
        if is_outdated {
            let last_state = self.last_state();
            let response = ConsensusMessage::AppendResponse { term, last_state };
            out.push(ConsensusOutput::to_voter(header.from, response));
            return;
        }
        self.accept(header, received, out);
    }

    /// Accepts a state. The response to the leader is sent once the state is on disk.
    fn accept(
        &mut self,
        header: MessageHeader,
        received: ReceivedState,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let term = header.term;
        if received.steps.is_empty() && received.digest != self.state_digest {
            self.history.clear();
        }
        for step in received.steps {
            self.history
                .push(&step.state_before, step.digest_before, step.change);
        }
        self.hard_state = HardState {
            voted_term: term,
            accepted_term: term,
            state: received.state,
        };
        self.state_digest = received.digest;
        self.removed_by_newer_state = false;
        let last_state = StateId {
            accepted_term: term,
            version: self.hard_state.state.version,
            digest: received.digest,
        };
        let response = ConsensusMessage::AppendResponse { term, last_state };
        self.persist(Some(ConsensusOutput::to_voter(header.from, response)), out);
    }

    /// Returns the state that a payload describes, or `None` if the payload is a delta that doesn't
    /// apply to this machine's state or doesn't lead to the state that it names.
    fn resolve_payload(&self, payload: StatePayload) -> Option<ReceivedState> {
        match payload {
            StatePayload::Snapshot(state) => Some(ReceivedState {
                digest: state.digest(),
                state,
                steps: Vec::new(),
            }),
            StatePayload::Delta { base, .. } if base != self.state_digest => None,
            StatePayload::Delta { steps, result, .. } => {
                let own = ReceivedState {
                    state: self.hard_state.state.clone(),
                    digest: self.state_digest,
                    steps: Vec::new(),
                };
                let received = steps.into_iter().try_fold(own, ReceivedState::apply)?;
                (received.digest == result).then_some(received)
            }
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        header: MessageHeader,
        sent_at: f64,
        confirmed_answer_at: Option<f64>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let MessageHeader { now, from, term } = header;
        self.observe_term(term);
        if term < self.hard_state.voted_term {
            self.reject_term(header, out);
            return;
        }
        self.follow_leader(header, out);
        if let Some(confirmed_at) = confirmed_answer_at {
            let contact_until = confirmed_at + self.config.contact_timeout_s;
            self.contact_until = self.contact_until.max(contact_until);
        }
        let response = ConsensusMessage::HeartbeatResponse {
            term,
            heartbeat_sent_at: sent_at,
            answered_at: now,
            last_state: self.last_state(),
        };
        let response = ConsensusOutput::to_voter(from, response);
        // By answering the heartbeat, this machine takes part in the term as if it had voted for
        // it, even if it never received the vote request.
        if term > self.hard_state.voted_term {
            self.hard_state.voted_term = term;
            self.persist(Some(response), out);
        } else {
            out.push(response);
        }
    }

    pub(super) fn on_resign(&mut self, header: MessageHeader) {
        // The leader no longer relies on this machine's responses, so an election need not wait for
        // its lease to end.
        if self.leader == Some(header.from) && header.term == self.hard_state.voted_term {
            self.leader = None;
            self.contact_until = f64::NEG_INFINITY;
            self.leader_seen_at = f64::NEG_INFINITY;
            self.reset_election_timer(header.now - self.config.election_timeout_s);
        }
    }
}
