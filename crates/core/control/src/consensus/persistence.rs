//! Writes of the hard state: what waits for them, and what happens if one fails.

use super::{Consensus, ConsensusOutput, HardState, Role, StateId};

impl Consensus {
    /// To be called when the write that [`ConsensusOutput::Persist`] asked for has succeeded.
    pub fn persisted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        self.persist_in_flight = false;
        self.mark_persisted();
        out.append(&mut self.outputs_after_persist);
        match self.role {
            Role::Candidate(_) => self.on_own_vote_persisted(now, out),
            Role::Leader(_) => self.on_own_state_persisted(out),
            Role::Follower | Role::PreCandidate(_) => {}
        }
    }

    /// To be called when that write has failed. What relied on it is dropped. Whether the old or
    /// the new hard state is on disk isn't known, so this machine takes no part until
    /// [`Consensus::disk_reopened`].
    pub fn persist_failed(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.persist_in_flight = false;
        self.outputs_after_persist.clear();
        self.become_follower(out);
        self.leader = None;
        self.contact_until = f64::NEG_INFINITY;
        self.restore(self.persisted_state.clone());
        self.disk_failed = true;
    }

    /// To be called when the disk works again after [`Consensus::persist_failed`] and was found to
    /// hold `hard_state`.
    pub fn disk_reopened(&mut self, now: f64, hard_state: HardState) {
        self.restore(hard_state);
        self.mark_persisted();
        self.observe_term(self.hard_state.voted_term);
        self.disk_failed = false;
        self.reset_election_timer(now);
    }

    /// Asks for a write of the hard state, and withholds `then` until it has succeeded.
    pub(super) fn persist(
        &mut self,
        then: Option<ConsensusOutput>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.outputs_after_persist.extend(then);
        if !self.persist_in_flight {
            self.persist_in_flight = true;
            out.push(ConsensusOutput::Persist);
        }
    }

    /// What is on this machine's disk.
    pub(super) fn last_state(&self) -> StateId {
        StateId {
            accepted_term: self.persisted_state.accepted_term,
            version: self.persisted_state.state.version,
            digest: self.persisted_digest,
        }
    }

    fn mark_persisted(&mut self) {
        self.persisted_state = self.hard_state.clone();
        self.persisted_digest = self.state_digest;
    }

    fn restore(&mut self, hard_state: HardState) {
        let digest = hard_state.state.digest();
        if digest != self.state_digest {
            self.history.clear();
        }
        self.hard_state = hard_state;
        self.state_digest = digest;
        self.removed_by_newer_state = false;
    }
}
