//! Changes of who decides: machines that ask to join or to leave, and voters that are gone.

use super::{Consensus, ConsensusMessage, ConsensusOutput, Recipient, Role, StateId, send};
use crate::state::StateChange;
use crate::voter_set::{NodeId, Voter};
use std::collections::BTreeMap;

/// A machine that is no voter, or hears no leader, asks to join this often, in seconds.
const ASK_TO_JOIN: f64 = 0.25;
/// A machine that ends asks to leave this often, in seconds.
const ASK_TO_LEAVE: f64 = 0.1;
/// Who asked to join and has not asked again for so many seconds has gone.
const STILL_WANTS: f64 = 0.8;
/// A voter that answered no heartbeat for so many seconds makes room for a machine that asks to join.
const REPLACEABLE: f64 = 1.0;
/// Another voter is added only if all voters answered a heartbeat within so many seconds.
const ALL_THERE: f64 = 0.5;
/// A voter that answered no heartbeat for so many seconds is left out, where enough are left.
const ABSENT: f64 = 3.0;
/// Between two changes of the voters, in seconds: what else waits has its turn.
const BETWEEN_CHANGES: f64 = 0.1;
/// There are never more voters: each one makes every change dearer.
const MAX_VOTERS: usize = 9;
/// So many addresses of control machines are remembered besides those of voters.
const MAX_CONTACTS: usize = 32;

/// Who would decide, and what this machine wants itself.
#[derive(Clone, Debug)]
pub(super) struct Candidates {
    /// Addresses that the settings name.
    seeds: Vec<NodeId>,
    /// Addresses of control machines that were met or told of.
    contacts: Vec<NodeId>,
    /// Who asked to join, and when.
    joining: BTreeMap<Voter, f64>,
    /// Voters that asked to leave.
    leavers: Vec<Voter>,
    /// When this machine last asked to join or to leave.
    asked: f64,
    /// This machine is about to end.
    leaving: bool,
    /// A leader has said that this machine, which is about to end, is no voter.
    left: bool,
    /// When the last change of the voters was complete.
    changed: f64,
    /// No fewer decide: a majority of them outlives what may be lost at once.
    least: usize,
}

impl Candidates {
    pub(super) fn new(now: f64) -> Candidates {
        Candidates {
            seeds: Vec::new(),
            contacts: Vec::new(),
            joining: BTreeMap::new(),
            leavers: Vec::new(),
            asked: now,
            leaving: false,
            left: false,
            changed: f64::NEG_INFINITY,
            least: 3,
        }
    }

    pub(super) fn leaving(&self) -> bool {
        self.leaving
    }

    pub(super) fn left(&mut self) {
        self.left = self.leaving;
    }

    /// Those who ask to join.
    pub(super) fn joining(&self) -> impl Iterator<Item = Voter> {
        self.joining.keys().copied()
    }

    /// A control machine has this address.
    pub(super) fn met(&mut self, node: NodeId) {
        if !self.contacts.contains(&node) && !self.seeds.contains(&node) {
            if self.contacts.len() >= MAX_CONTACTS {
                self.contacts.remove(0);
            }
            self.contacts.push(node);
        }
    }

    /// Another machine has told of these.
    pub(super) fn learn(&mut self, voters: Vec<Voter>) {
        for voter in voters {
            self.met(voter.node);
        }
    }
}

impl Consensus {
    /// So many machines may be lost at once: no fewer than twice that and one decide.
    pub fn set_fault_budget(&mut self, losses: usize) {
        self.membership.least = (2 * losses + 1).max(3);
    }

    /// Machines that may be asked besides the voters: as the settings name them.
    pub fn set_seeds(&mut self, seeds: Vec<NodeId>) {
        self.membership.seeds = seeds;
    }

    /// A control machine has this address.
    pub fn peer_discovered(&mut self, node: NodeId) {
        self.membership.met(node);
    }

    /// This machine is about to end: it leads no longer, stands no more, and leaves the voters where enough are left.
    pub fn resign(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.membership.leaving = true;
        self.give_up_the_lead(out);
    }

    /// Leads no longer and tells the others, so that they need not miss it first.
    pub(super) fn give_up_the_lead(&mut self, out: &mut Vec<ConsensusOutput>) {
        if let Role::Leader(leading) = &self.role {
            let term = leading.term;
            let others = self
                .record
                .state
                .voters
                .all()
                .filter(|voter| *voter != self.me);
            let told: Vec<_> = others
                .map(|voter| send(voter, ConsensusMessage::Resign { term }))
                .collect();
            self.follow(out);
            out.extend(told);
        }
    }

    /// Whether this machine, which is about to end, need not wait to be left out.
    pub fn may_shut_down(&self) -> bool {
        let membership = &self.record.state.voters;
        let stays = !membership.is_joint() && !self.can_be_spared();
        self.membership.left || !membership.contains(self.me) || stays
    }

    fn can_be_spared(&self) -> bool {
        self.voters().len() > self.membership.least
    }

    /// Whoever is no voter, or hears nobody lead, asks to join; who is asked need not answer.
    pub(super) fn ask_to_join(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let membership = &self.record.state.voters;
        let voter = membership.voters().contains(&self.me);
        let led = self.leader.is_some() && now - self.led_at.max(self.heard) < 2.0 * ASK_TO_JOIN;
        let settled = voter && (led || matches!(self.role, Role::Leader(_)));
        if settled || self.membership.leaving || now - self.membership.asked < ASK_TO_JOIN {
            return;
        }
        self.membership.asked = now;
        let known = membership.all().map(|voter| voter.node);
        let others = self
            .membership
            .seeds
            .iter()
            .chain(&self.membership.contacts)
            .copied();
        let mut nodes: Vec<NodeId> = known
            .chain(others)
            .filter(|node| *node != self.me.node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        let last_state = self.last_state();
        let ask = |node| {
            ConsensusOutput::Send(
                Recipient::Node(node),
                ConsensusMessage::JoinRequest { last_state },
            )
        };
        out.extend(nodes.into_iter().map(ask));
    }

    pub(super) fn ask_to_leave(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if !self.membership.leaving
            || self.may_shut_down()
            || now - self.membership.asked < ASK_TO_LEAVE
        {
            return;
        }
        self.membership.asked = now;
        let others = self
            .record
            .state
            .voters
            .all()
            .filter(|voter| *voter != self.me);
        out.extend(others.map(|voter| send(voter, ConsensusMessage::LeaveRequest)));
    }

    pub(super) fn on_join(
        &mut self,
        now: f64,
        from: Voter,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.leader_term().is_none() {
            let voters = self.voters().to_vec();
            out.push(send(from, ConsensusMessage::KnownVoters { voters }));
            return;
        }
        // Whoever asks has started anew since it asked to leave.
        self.membership.leavers.retain(|voter| *voter != from);
        // A machine that asks in another life of its disk is no longer what it was.
        self.membership
            .joining
            .retain(|voter, _| voter.node != from.node || *voter == from);
        if self.voters().contains(&from) {
            return;
        }
        let first = self.membership.joining.insert(from, now).is_none();
        if first {
            self.send_state_to_joiner(now, from, last_state, out);
        }
    }

    pub(super) fn on_leave(&mut self, now: f64, from: Voter, out: &mut Vec<ConsensusOutput>) {
        if self.leader_term().is_none() || self.authority_until() < now {
            return;
        }
        self.membership.joining.remove(&from);
        let membership = &self.record.state.voters;
        if !membership.contains(from) && self.committed_state().is_some() {
            out.push(send(from, ConsensusMessage::LeaveResponse));
        } else if !self.membership.leavers.contains(&from) {
            self.membership.leavers.push(from);
        }
    }

    /// The leader changes who decides, one machine at a time: a change under way is completed; who asks to join takes the
    /// place of its own former incarnation, of a voter that is gone, or one of its own; who ends or is gone is left out
    /// where enough are left.
    pub fn advance_voter_change(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Some(state) = self.committed_state().cloned() else {
            return;
        };
        if self.authority_until() < now {
            return;
        }
        if !state.voters.contains(self.me) {
            // A former leader had begun to leave this machine out, and this one has completed that.
            self.give_up_the_lead(out);
            self.heard = now;
            return;
        }
        let voters = state.voters.voters();
        let waits =
            |voter: &Voter, asked: f64| now - asked < STILL_WANTS && !voters.contains(voter);
        self.membership
            .joining
            .retain(|voter, asked| waits(voter, *asked));
        let next = if state.voters.is_joint() {
            self.membership.changed = now;
            Some(state.voters.finalized())
        } else if now - self.membership.changed < BETWEEN_CHANGES {
            None
        } else {
            let voters = self.replacement(now).or_else(|| self.removal(now));
            voters.and_then(|voters| state.voters.joint_with(voters))
        };
        if let Some(next) = next {
            log::info!(
                "event=membership voters={} joint={}",
                list(next.voters()),
                next.is_joint()
            );
            self.propose(now, StateChange::Voters(next), out);
        }
    }

    /// The voters with one who asks to join, if somebody does, has the state, and there is a place.
    fn replacement(&self, now: f64) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let ready = |voter: &Voter| self.has_state(*voter) && !voters.contains(voter);
        let joining = self.membership.joining().find(ready)?;
        let former = voters
            .iter()
            .copied()
            .find(|voter| voter.node == joining.node);
        let longest =
            |a: &Voter, b: &Voter| self.silence(now, *a).total_cmp(&self.silence(now, *b));
        let gone = voters
            .iter()
            .copied()
            .max_by(longest)
            .filter(|voter| self.silence(now, *voter) > REPLACEABLE);
        let all_there = voters
            .iter()
            .all(|voter| self.silence(now, *voter) < ALL_THERE);
        match former.or(gone) {
            Some(removed) => Some(
                self.record
                    .state
                    .voters
                    .replacing(Some(joining), Some(removed)),
            ),
            None if all_there && voters.len() < MAX_VOTERS => {
                Some(self.record.state.voters.replacing(Some(joining), None))
            }
            None => None,
        }
    }

    /// The voters without one that ends or is gone, if there is one and enough are left.
    fn removal(&mut self, now: f64) -> Option<Vec<Voter>> {
        let voters = self.voters().to_vec();
        self.membership
            .leavers
            .retain(|voter| voters.contains(voter));
        if !self.can_be_spared() {
            self.membership.leavers.clear();
            return None;
        }
        let leaver = self.membership.leavers.pop();
        let removed = leaver.or_else(|| {
            voters
                .into_iter()
                .find(|voter| self.silence(now, *voter) > ABSENT)
        })?;
        Some(self.record.state.voters.replacing(None, Some(removed)))
    }

    /// For how many seconds a voter has answered no heartbeat of this leader.
    fn silence(&self, now: f64, voter: Voter) -> f64 {
        let Role::Leader(leading) = &self.role else {
            return 0.0;
        };
        if voter == self.me {
            return 0.0;
        }
        now - leading
            .progress
            .get(&voter)
            .map_or(leading.since, |p| p.answered.max(p.since))
    }

    /// Whether this machine has accepted a state of this leader.
    fn has_state(&self, voter: Voter) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        leading
            .progress
            .get(&voter)
            .is_some_and(|progress| progress.accepted.is_some())
    }
}

fn list(voters: &[Voter]) -> String {
    let names: Vec<String> = voters.iter().map(Voter::to_string).collect();
    names.join(",")
}
