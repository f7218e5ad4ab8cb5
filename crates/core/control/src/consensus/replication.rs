//! What a leader does: heartbeats, and the state to everybody who decides; and what its followers answer.

use super::{
    ByVoter, Consensus, ConsensusMessage, ConsensusOutput, Content, Holds, Record, Role, send,
};
use crate::ballot::Ballot;
use crate::digest::Digest;
use crate::history::History;
use crate::membership::Voter;
use crate::state::{Change, State};
use std::rc::Rc;

/// Between two heartbeats of the leader, in seconds.
const HEARTBEAT: f64 = 0.15;

/// What a leader knows of another machine.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Since when it is expected to answer.
    pub(super) since: f64,
    /// When the newest heartbeat that it answered was sent; never if it answered none.
    pub(super) answered: f64,
    /// When its newest answer was sent, in seconds of its clock.
    at: Option<f64>,
    /// The number of the state that it has accepted under this ballot.
    pub(super) accepted: Option<u64>,
    /// The state that it has once all that was sent has arrived; none while that isn't known.
    expected: Option<Digest>,
    /// When a state was last sent to it.
    sent: f64,
}

impl Progress {
    fn unknown(since: f64) -> Progress {
        Progress {
            since,
            answered: f64::NEG_INFINITY,
            at: None,
            accepted: None,
            expected: None,
            sent: f64::NEG_INFINITY,
        }
    }
}

/// What a machine keeps while it leads.
#[derive(Clone, Debug)]
pub(super) struct Leading {
    pub(super) ballot: Ballot,
    pub(super) since: f64,
    /// The number of the newest state that is agreed on; none before the first under this ballot.
    pub(super) agreed: Option<u64>,
    pub(super) progress: ByVoter<Progress>,
    heartbeat: f64,
}

impl Leading {
    pub(super) fn new(
        ballot: Ballot,
        now: f64,
        promised: impl Iterator<Item = (Voter, Holds)>,
    ) -> Leading {
        let known = move |(voter, holds): (Voter, Holds)| {
            (
                voter,
                Progress {
                    expected: Some(holds.digest),
                    ..Progress::unknown(now)
                },
            )
        };
        Leading {
            ballot,
            since: now,
            agreed: None,
            progress: promised.map(known).collect(),
            heartbeat: f64::NEG_INFINITY,
        }
    }

    pub(super) fn of(&mut self, voter: Voter) -> &mut Progress {
        let since = self.since;
        self.progress
            .entry(voter)
            .or_insert_with(|| Progress::unknown(since))
    }

    /// What was known of this machine counts no longer.
    pub(super) fn begin_anew(&mut self, voter: Voter, now: f64) {
        self.progress.insert(voter, Progress::unknown(now));
    }
}

/// A state that was sent, and how it came from the one that this machine had.
struct Arrived {
    state: Rc<State>,
    digest: Digest,
    steps: Vec<Step>,
}

/// One change, and the state to which it was made.
struct Step {
    before: Rc<State>,
    digest: Digest,
    change: Rc<Change>,
}

impl Arrived {
    fn apply(&mut self, change: Rc<Change>) -> Option<()> {
        let next = Rc::new(self.state.after(&change)?);
        let digest = next.digest();
        let before = std::mem::replace(&mut self.state, next);
        self.steps.push(Step {
            before,
            digest: std::mem::replace(&mut self.digest, digest),
            change,
        });
        Some(())
    }
}

impl Consensus {
    /// The ballot under which this machine leads and has agreed on what it found.
    pub fn leads(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader(leading) if leading.agreed.is_some() => Some(leading.ballot),
            _ => None,
        }
    }

    /// Until when this machine may act as leader: nobody else had won before.
    pub fn authority(&self) -> f64 {
        let Role::Leader(leading) = &self.role else {
            return f64::NEG_INFINITY;
        };
        if leading.agreed.is_none() {
            return f64::NEG_INFINITY;
        }
        let answered = |voter| match leading.progress.get(&voter) {
            _ if voter == self.me => f64::INFINITY,
            Some(progress) => progress.answered,
            None => f64::NEG_INFINITY,
        };
        self.record.state.membership.quorum_heard(answered) + self.timing.suspect
    }

    /// The state, if this machine leads and all before is agreed.
    pub fn agreed(&self) -> Option<&Rc<State>> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        (leading.agreed == Some(self.record.state.seq)).then_some(&self.record.state)
    }

    /// Proposes a change. None while another one is under way, another machine leads, or it doesn't fit the state.
    pub fn propose(
        &mut self,
        now: f64,
        change: Change,
        out: &mut Vec<ConsensusOutput>,
    ) -> Option<u64> {
        if self.saving {
            return None;
        }
        let before = self.agreed()?.clone();
        let next = before.after(&change)?;
        let seq = next.seq;
        self.history.push(&before, self.digest, Rc::new(change));
        self.digest = next.digest();
        self.record.state = Rc::new(next);
        self.replicate(now, out);
        Some(seq)
    }

    /// Sends the state to everybody of whom it is known what they have, and saves it here.
    pub(super) fn replicate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        self.record.accepted = leading.ballot;
        for voter in self.replicas() {
            let expected = match &self.role {
                Role::Leader(leading) => leading.progress.get(&voter).and_then(|p| p.expected),
                _ => None,
            };
            if let Some(expected) = expected {
                self.send_state(now, voter, expected, out);
            }
        }
        self.persist(None, out);
    }

    /// Everybody who decides or asks to, but this machine.
    fn replicas(&self) -> Vec<Voter> {
        let membership = &self.record.state.membership;
        let joining = self
            .membership
            .joining()
            .filter(|voter| !membership.contains(*voter));
        membership
            .all()
            .chain(joining)
            .filter(|voter| *voter != self.me)
            .collect()
    }

    /// Who asks to join is sent the state before it is taken in.
    pub(super) fn send_state_to_joiner(
        &mut self,
        now: f64,
        to: Voter,
        holds: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if let Role::Leader(leading) = &mut self.role {
            leading.begin_anew(to, now);
        }
        self.send_state(now, to, holds.digest, out);
    }

    fn send_state(&mut self, now: f64, to: Voter, theirs: Digest, out: &mut Vec<ConsensusOutput>) {
        let content = self.content_for(theirs);
        let digest = self.digest;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let progress = leading.of(to);
        progress.expected = Some(digest);
        progress.sent = now;
        let ballot = leading.ballot;
        out.push(send(to, ConsensusMessage::Accept { ballot, content }));
    }

    /// The state, as cheap as may be for whoever has that one.
    fn content_for(&self, theirs: Digest) -> Content {
        let whole = || Content::Whole(self.record.state.clone());
        let changes = if theirs == self.digest {
            Some(Vec::new())
        } else {
            self.history.since(theirs)
        };
        let Some(changes) = changes else {
            return whole();
        };
        if History::size_of(&changes) > self.record.state.config.len() + 1024 {
            return whole();
        }
        Content::Changes {
            base: theirs,
            changes,
            result: self.digest,
        }
    }

    /// What this machine saved counts, too.
    pub(super) fn count_own_save(&mut self, out: &mut Vec<ConsensusOutput>) {
        let seq = self.record.state.seq;
        let me = self.me;
        if let Role::Leader(leading) = &mut self.role {
            leading.of(me).accepted = Some(seq);
        }
        self.count(out);
    }

    fn count(&mut self, out: &mut Vec<ConsensusOutput>) {
        let seq = self.record.state.seq;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let accepted = |voter| {
            leading
                .progress
                .get(&voter)
                .is_some_and(|p| p.accepted == Some(seq))
        };
        if leading.agreed == Some(seq) || !self.record.state.membership.is_quorum(accepted) {
            return;
        }
        let first = leading.agreed.replace(seq).is_none();
        out.push(if first {
            ConsensusOutput::Won
        } else {
            ConsensusOutput::Agreed
        });
    }

    /// A leader that is heard and hears no majority would keep the others from having another one.
    fn has_lost_its_majority(&self, now: f64) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let authority = self.authority().max(leading.since + self.timing.suspect);
        now > authority + self.timing.suspect
    }

    pub(super) fn send_heartbeats(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.has_lost_its_majority(now) {
            log::info!("event=majority_lost");
            // Where it is heard all the same, nobody need miss it first.
            self.give_up_the_lead(out);
            self.heard = now;
            return;
        }
        let in_contact = self.authority() > now;
        let replicas = self.replicas();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if now - leading.heartbeat < HEARTBEAT {
            return;
        }
        leading.heartbeat = now;
        let ballot = leading.ballot;
        for voter in replicas {
            let confirms = leading.of(voter).at.filter(|_| in_contact);
            out.push(send(
                voter,
                ConsensusMessage::Heartbeat {
                    ballot,
                    sent: now,
                    confirms,
                },
            ));
        }
    }

    pub(super) fn on_accept(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        content: Content,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(ballot);
        if ballot < self.record.promised {
            let promised = self.record.promised;
            out.push(send(from, ConsensusMessage::Refuse { ballot, promised }));
            return;
        }
        self.follow_leader(now, from, ballot, out);
        let Some(Arrived {
            state,
            digest,
            steps,
        }) = self.read_content(content)
        else {
            let holds = self.holds();
            out.push(send(from, ConsensusMessage::Mismatch { ballot, holds }));
            return;
        };
        // What was overtaken on its way takes nothing back.
        let overtaken = self.record.accepted == ballot && state.seq <= self.record.state.seq;
        if overtaken {
            let holds = self.holds();
            out.push(send(from, ConsensusMessage::Accepted { ballot, holds }));
            return;
        }
        if steps.is_empty() && digest != self.digest {
            self.history.clear();
        }
        for step in steps {
            self.history.push(&step.before, step.digest, step.change);
        }
        self.record = Record {
            promised: ballot,
            accepted: ballot,
            state,
        };
        self.digest = digest;
        self.removed = false;
        let holds = Holds {
            accepted: ballot,
            seq: self.record.state.seq,
            digest,
        };
        self.persist(
            Some(send(from, ConsensusMessage::Accepted { ballot, holds })),
            out,
        );
    }

    /// The state that was sent; none if it builds on another state than this machine has.
    fn read_content(&self, content: Content) -> Option<Arrived> {
        match content {
            Content::Whole(state) => {
                let digest = state.digest();
                Some(Arrived {
                    state,
                    digest,
                    steps: Vec::new(),
                })
            }
            Content::Changes { base, .. } if base != self.digest => None,
            Content::Changes {
                changes, result, ..
            } => {
                let mut arrived = Arrived {
                    state: self.record.state.clone(),
                    digest: self.digest,
                    steps: Vec::new(),
                };
                for change in changes {
                    arrived.apply(change)?;
                }
                (arrived.digest == result).then_some(arrived)
            }
        }
    }

    pub(super) fn on_accepted(
        &mut self,
        from: Voter,
        ballot: Ballot,
        holds: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.note_holds(from, ballot, holds);
        self.count(out);
    }

    fn note_holds(&mut self, from: Voter, ballot: Ballot, holds: Holds) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.ballot == ballot && holds.accepted == ballot {
            let accepted = &mut leading.of(from).accepted;
            *accepted = (*accepted).max(Some(holds.seq));
        }
    }

    pub(super) fn on_mismatch(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        holds: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if matches!(&self.role, Role::Leader(leading) if leading.ballot == ballot) {
            self.send_state(now, from, holds.digest, out);
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        (sent, confirms): (f64, Option<f64>),
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(ballot);
        if ballot < self.record.promised {
            let promised = self.record.promised;
            out.push(send(from, ConsensusMessage::Refuse { ballot, promised }));
            return;
        }
        self.follow_leader(now, from, ballot, out);
        if let Some(at) = confirms {
            self.contact_until = self.contact_until.max(at + self.timing.contact);
        }
        let ack = ConsensusMessage::HeartbeatAck {
            ballot,
            sent,
            at: now,
            holds: self.holds(),
        };
        // A promise that was lost on the way is as good as kept: nothing below it is taken any more.
        if ballot > self.record.promised {
            self.record.promised = ballot;
            self.persist(Some(send(from, ack)), out);
        } else {
            out.push(send(from, ack));
        }
    }

    pub(super) fn on_heartbeat_ack(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        (sent, at): (f64, f64),
        holds: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let digest = self.digest;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.ballot != ballot {
            return;
        }
        let progress = leading.of(from);
        progress.answered = progress.answered.max(sent);
        progress.at = Some(progress.at.map_or(at, |known| known.max(at)));
        // Heartbeats and states keep their order on a connection: what was sent before this one and isn't there is lost.
        let lacks = (holds.digest != digest || holds.accepted != ballot) && progress.sent < sent;
        self.note_holds(from, ballot, holds);
        if lacks {
            self.send_state(now, from, holds.digest, out);
        }
        self.count(out);
    }

    /// Somebody leads under a ballot that this machine takes part in.
    fn follow_leader(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let lower = match &self.role {
            Role::Leader(leading) => leading.ballot < ballot,
            Role::Candidate(_) | Role::Canvassing(_) => true,
            Role::Follower => false,
        };
        if lower {
            self.follow(out);
        }
        if self.leader != Some(from) {
            self.contact_until = f64::NEG_INFINITY;
        }
        self.leader = Some(from);
        self.heard = now;
        self.led_at = now;
        if self.pause == 0.0 {
            self.pause = self.stagger();
        }
    }
}
