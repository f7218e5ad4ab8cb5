//! Writes of the hard state: outputs that wait for a write, and recovery from a failed write.

use super::{Consensus, ConsensusOutput, HardState, Role, StateId};

impl Consensus {
    /// To be called when the write requested by [`ConsensusOutput::Persist`] has succeeded.
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

    /// To be called when the write requested by [`ConsensusOutput::Persist`] has failed. Outputs
    /// that relied on the write are dropped. It is unknown whether the old or the new hard state is
    /// on disk, so this machine doesn't take part in consensus until [`Consensus::disk_reopened`].
    pub fn persist_failed(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.persist_in_flight = false;
        self.outputs_after_persist.clear();
        self.become_follower(out);
        self.leader = None;
        self.contact_until = f64::NEG_INFINITY;
        self.restore(self.persisted_state.clone());
        self.disk_failed = true;
    }

    /// To be called when the disk works again after [`Consensus::persist_failed`]. `hard_state` is
    /// what was read from the disk.
    pub fn disk_reopened(&mut self, now: f64, hard_state: HardState) {
        self.restore(hard_state);
        self.mark_persisted();
        self.observe_term(self.hard_state.voted_term);
        self.disk_failed = false;
        self.reset_election_timer(now);
    }

    /// Requests a write of the hard state, and withholds `deferred` until it has succeeded.
    pub(super) fn persist(
        &mut self,
        deferred: Option<ConsensusOutput>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.outputs_after_persist.extend(deferred);
        if !self.persist_in_flight {
            self.persist_in_flight = true;
            out.push(ConsensusOutput::Persist);
        }
    }

    /// Identifies the state on this machine's disk.
    pub(super) fn last_state(&self) -> StateId {
        StateId {
            accepted_term: self.persisted_state.accepted_term,
            version: self.persisted_state.state.version,
            digest: self.persisted_digest,
        }
    }

    /// Records that the present hard state is on disk.
    fn mark_persisted(&mut self) {
        self.persisted_state = self.hard_state.clone();
        self.persisted_digest = self.state_digest;
    }

    /// Replaces the present hard state by one that is on disk.
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
