//! Requests of a machine that joins the voters, or that leaves them because it shuts down, and the
//! responses to these requests.

use super::{Consensus, ConsensusMessage, ConsensusOutput, Role, StateId};
use crate::voter_set::{NodeId, Voter};

/// Interval between two join requests of a machine that is not a voter or has no leader, in
/// seconds.
const JOIN_REQUEST_INTERVAL_S: f64 = 0.25;
/// Interval between two leave requests of a machine that shuts down, in seconds.
const LEAVE_REQUEST_INTERVAL_S: f64 = 0.1;

impl Consensus {
    /// Sets the addresses to which join requests are sent in addition to those of the known voters.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.voter_changes.seeds = seeds;
    }

    /// Remembers the address of a control machine that was discovered.
    pub fn peer_discovered(&mut self, node: NodeId) {
        self.voter_changes.add_peer(node);
    }

    /// Begins the shutdown of this machine: it gives up leadership, no longer starts elections, and
    /// asks to be removed from the voter set. The process may end once [`Consensus::may_shut_down`]
    /// returns true.
    pub fn resign(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.voter_changes.shutting_down = true;
        self.give_up_leadership(out);
    }

    /// Returns whether this machine may end without waiting for its removal from the voter set: it
    /// is not a voter, or it can't be removed because too few voters would remain.
    pub fn may_shut_down(&self) -> bool {
        let voters = &self.hard_state.state.voters;
        let stays_voter = !voters.is_joint() && !self.can_remove_voter();
        self.voter_changes.removal_confirmed || !voters.contains(self.me) || stays_voter
    }

    /// Asks all known control machines to be added as a voter. Voters without a leader ask too,
    /// because the voter set that they know may be outdated.
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

    /// Returns whether this machine leads or has a leader that it heard from recently.
    fn has_recent_leader(&self, now: f64) -> bool {
        let last_seen_at = self.leader_seen_at.max(self.election_timer.started_at());
        let follows = self.leader.is_some() && now - last_seen_at < 2.0 * JOIN_REQUEST_INTERVAL_S;
        follows || matches!(self.role, Role::Leader(_))
    }

    /// Returns the addresses of all control machines known to this one, in ascending order and
    /// without duplicates.
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

    /// Asks the voters to remove this machine, if it is shutting down.
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
        // A machine that asks to join has restarted since it asked to leave, so its leave request
        // is obsolete.
        voter_changes.leave_requests.retain(|voter| *voter != from);
        // A machine with a new incarnation of its disk has lost the state of its former
        // incarnations, so their join requests are obsolete.
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
        // Only a committed state proves the removal. A pending state may still be replaced by a
        // state of another leader.
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
