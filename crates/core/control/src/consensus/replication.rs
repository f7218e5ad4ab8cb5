//! Replication of the leader's state to the other machines: phase 2 of Paxos, which corresponds to
//! Raft's `AppendEntries`.

use super::message::MessageHeader;
use super::{Consensus, ConsensusMessage, ConsensusOutput, Role, StateId, StatePayload};
use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::term::Term;
use crate::voter_set::Voter;

/// Maximum number of bytes by which a delta may exceed the configuration, which makes up most of a
/// snapshot. If the delta is larger, a snapshot is sent instead.
const MAX_DELTA_EXCESS_BYTES: usize = 1024;

impl Consensus {
    /// Sends the state to every machine whose present state is known. In parallel, writes it to
    /// this machine's disk.
    pub(super) fn replicate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        self.hard_state.accepted_term = leader.term;
        let expected = |voter: Voter| {
            let progress = leader.progress.get(&voter)?;
            Some((voter, progress.expected_digest?))
        };
        let receivers: Vec<(Voter, Digest)> =
            self.replicas().into_iter().filter_map(expected).collect();
        for (voter, digest) in receivers {
            self.send_state(now, voter, digest, out);
        }
        self.persist(None, out);
    }

    /// Returns every machine that should have the state, except this one: the voters and the
    /// machines that ask to join.
    pub(super) fn replicas(&self) -> Vec<Voter> {
        let voters = &self.hard_state.state.voters;
        let joining = self.voter_changes.joining();
        let joining = joining.filter(|voter| !voters.contains(*voter) && *voter != self.me);
        self.other_voters().chain(joining).collect()
    }

    /// Sends the state to a machine that asks to join. The machine must have the state before its
    /// vote counts (Raft thesis, 4.2.1).
    pub(super) fn send_state_to_joiner(
        &mut self,
        now: f64,
        to: Voter,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if let Role::Leader(leader) = &mut self.role {
            leader.reset_progress(to, now);
        }
        self.send_state(now, to, last_state.digest, out);
    }

    /// Sends the state to a machine that has the state with the digest `receiver_digest`.
    pub(super) fn send_state(
        &mut self,
        now: f64,
        to: Voter,
        receiver_digest: Digest,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let payload = self.payload_for(receiver_digest);
        let digest = self.state_digest;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = leader.progress_mut(to);
        progress.expected_digest = Some(digest);
        progress.state_sent_at = now;
        let request = ConsensusMessage::AppendRequest {
            term: leader.term,
            payload,
        };
        out.push(ConsensusOutput::to_voter(to, request));
    }

    /// Returns a delta from the receiver's state if the changes since that state are known and
    /// small enough, and a snapshot otherwise.
    fn payload_for(&self, receiver_digest: Digest) -> StatePayload {
        let max_delta_bytes = self.hard_state.state.config.len() + MAX_DELTA_EXCESS_BYTES;
        let steps = if receiver_digest == self.state_digest {
            Some(Vec::new())
        } else {
            self.history.changes_since(receiver_digest)
        };
        match steps.filter(|steps| ChangeHistory::estimated_bytes(steps) <= max_delta_bytes) {
            Some(steps) => StatePayload::Delta {
                base: receiver_digest,
                steps,
                result: self.state_digest,
            },
            None => StatePayload::Snapshot(self.hard_state.state.clone()),
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        header: MessageHeader,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.record_accepted(header.from, header.term, last_state);
        self.advance_commit(out);
    }

    /// Records which state a machine has accepted, if it accepted it in this leader's term.
    pub(super) fn record_accepted(&mut self, from: Voter, term: Term, last_state: StateId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.term == term && last_state.accepted_term == term {
            let accepted_version = &mut leader.progress_mut(from).accepted_version;
            *accepted_version = (*accepted_version).max(Some(last_state.version));
        }
    }

    pub(super) fn on_append_mismatch(
        &mut self,
        header: MessageHeader,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if matches!(&self.role, Role::Leader(leader) if leader.term == header.term) {
            self.send_state(header.now, header.from, last_state.digest, out);
        }
    }
}
