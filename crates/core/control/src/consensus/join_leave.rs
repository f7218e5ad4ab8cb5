//! A machine that wants to join the voters, or shuts down and leaves them: its requests, and the
//! answers to them.

use super::{Consensus, ConsensusMessage, ConsensusOutput, Role, StateId};
use crate::voter_set::{NodeId, Voter};

/// Between two join requests of a machine that is no voter or has no leader, in seconds.
const JOIN_REQUEST_INTERVAL_S: f64 = 0.25;
/// Between two leave requests of a machine that shuts down, in seconds.
const LEAVE_REQUEST_INTERVAL_S: f64 = 0.1;

impl Consensus {
    /// Sets the addresses that are asked to join besides those of the known voters.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.voter_changes.seeds = seeds;
    }

    /// Remembers that a control machine has this address.
    pub fn peer_discovered(&mut self, node: NodeId) {
        self.voter_changes.add_peer(node);
    }

    /// Begins the shutdown of this machine: it gives up leadership, stands in no election, and asks
    /// to be removed from the voter set. It may end once [`Consensus::may_shut_down`].
    pub fn resign(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.voter_changes.shutting_down = true;
        self.give_up_leadership(out);
    }

    /// Whether this machine need not wait for its removal: it is no voter, or too few would be left
    /// to remove it.
    pub fn may_shut_down(&self) -> bool {
        let voters = &self.hard_state.state.voters;
        let stays_voter = !voters.is_joint() && !self.can_remove_voter();
        self.voter_changes.removal_confirmed || !voters.contains(self.me) || stays_voter
    }

    /// Asks all known control machines to be taken in as a voter. Voters without a leader ask as
    /// well: the voter set that they know may be an old one.
    pub(super) fn request_join(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let is_settled = self.voters().contains(&self.me) && self.has_recent_leader(now);
        if is_settled
            || self.voter_changes.is_shutting_down()
            || now - self.voter_changes.last_request_at < JOIN_REQUEST_INTERVAL_S
        {
            return;
        }
        self.voter_changes.last_request_at = now;
        let request = ConsensusMessage::JoinRequest {
            last_state: self.last_state(),
        };
        let send = |node| ConsensusOutput::to_node(node, request.clone());
        out.extend(self.known_peers().into_iter().map(send));
    }

    fn has_recent_leader(&self, now: f64) -> bool {
        let last_sign = self.leader_seen_at.max(self.election_timer.started_at());
        let follows = self.leader.is_some() && now - last_sign < 2.0 * JOIN_REQUEST_INTERVAL_S;
        follows || matches!(self.role, Role::Leader(_))
    }

    /// Addresses of all control machines that this one knows of, in order, each once.
    fn known_peers(&self) -> Vec<NodeId> {
        let voters = self.hard_state.state.voters.all().map(|voter| voter.node);
        let seeds = self.voter_changes.seeds.iter().copied();
        let peers = self.voter_changes.peers.iter().copied();
        let mut nodes: Vec<NodeId> = voters
            .chain(seeds)
            .chain(peers)
            .filter(|node| *node != self.me.node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Asks the voters to remove this machine, which shuts down.
    pub(super) fn request_leave(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if !self.voter_changes.is_shutting_down()
            || self.may_shut_down()
            || now - self.voter_changes.last_request_at < LEAVE_REQUEST_INTERVAL_S
        {
            return;
        }
        self.voter_changes.last_request_at = now;
        let send = |voter| ConsensusOutput::to_voter(voter, ConsensusMessage::LeaveRequest);
        out.extend(self.other_voters().map(send));
    }

    pub(super) fn on_join_request(
        &mut self,
        now: f64,
        from: Voter,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.leader_term().is_none() {
            let voters = self.voters().to_vec();
            let known_voters = ConsensusMessage::KnownVoters { voters };
            out.push(ConsensusOutput::to_voter(from, known_voters));
            return;
        }
        let voter_changes = &mut self.voter_changes;
        // A machine that asks to join has restarted since it asked to leave.
        voter_changes.leave_requests.retain(|voter| *voter != from);
        // A machine with a new incarnation of its disk no longer has what its former one had.
        voter_changes
            .join_requests
            .retain(|voter, _| voter.node != from.node || *voter == from);
        if self.voters().contains(&from) {
            return;
        }
        let is_first = self.voter_changes.join_requests.insert(from, now).is_none();
        if is_first {
            self.send_state_to_joiner(now, from, last_state, out);
        }
    }

    pub(super) fn on_leave_request(
        &mut self,
        now: f64,
        from: Voter,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.leader_term().is_none() || self.authority_until() < now {
            return;
        }
        self.voter_changes.join_requests.remove(&from);
        // Only a committed state proves the removal: a pending one may still be replaced by one of
        // another leader.
        let is_removed =
            !self.hard_state.state.voters.contains(from) && self.committed_state().is_some();
        if is_removed {
            out.push(ConsensusOutput::to_voter(
                from,
                ConsensusMessage::LeaveResponse,
            ));
        } else if !self.voter_changes.leave_requests.contains(&from) {
            self.voter_changes.leave_requests.push(from);
        }
    }
}
