//! What a leader does: heartbeats, and the state to everybody who decides; and what its followers answer.

use super::{
    ByVoter, Consensus, ConsensusMessage, ConsensusOutput, HardState, Role, StateId, StatePayload,
    send,
};
use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::Voter;
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
pub(super) struct LeaderState {
    pub(super) term: Term,
    pub(super) since: f64,
    /// The number of the newest state that is agreed on; none before the first under this ballot.
    pub(super) agreed: Option<u64>,
    pub(super) progress: ByVoter<Progress>,
    heartbeat: f64,
}

impl LeaderState {
    pub(super) fn new(
        term: Term,
        now: f64,
        promised: impl Iterator<Item = (Voter, StateId)>,
    ) -> LeaderState {
        let known = move |(voter, last_state): (Voter, StateId)| {
            (
                voter,
                Progress {
                    expected: Some(last_state.digest),
                    ..Progress::unknown(now)
                },
            )
        };
        LeaderState {
            term,
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
    change: Rc<StateChange>,
}

impl Arrived {
    fn apply(&mut self, change: Rc<StateChange>) -> Option<()> {
        let next = Rc::new(self.state.apply(&change)?);
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
    pub fn leader_term(&self) -> Option<Term> {
        match &self.role {
            Role::Leader(leading) if leading.agreed.is_some() => Some(leading.term),
            _ => None,
        }
    }

    /// Until when this machine may act as leader: nobody else had won before.
    pub fn authority_until(&self) -> f64 {
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
        self.record.state.voters.quorum_time(answered) + self.timing.election_timeout
    }

    /// The state, if this machine leads and all before is agreed.
    pub fn committed_state(&self) -> Option<&Rc<State>> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        (leading.agreed == Some(self.record.state.version)).then_some(&self.record.state)
    }

    /// Proposes a change. None while another one is under way, another machine leads, or it doesn't fit the state.
    pub fn propose(
        &mut self,
        now: f64,
        change: StateChange,
        out: &mut Vec<ConsensusOutput>,
    ) -> Option<u64> {
        if self.saving {
            return None;
        }
        let before = self.committed_state()?.clone();
        let next = before.apply(&change)?;
        let version = next.version;
        self.history.push(&before, self.digest, Rc::new(change));
        self.digest = next.digest();
        self.record.state = Rc::new(next);
        self.replicate(now, out);
        Some(version)
    }

    /// Sends the state to everybody of whom it is known what they have, and saves it here.
    pub(super) fn replicate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        self.record.accepted_term = leading.term;
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
        let membership = &self.record.state.voters;
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
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if let Role::Leader(leading) = &mut self.role {
            leading.begin_anew(to, now);
        }
        self.send_state(now, to, last_state.digest, out);
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
        let term = leading.term;
        out.push(send(
            to,
            ConsensusMessage::AppendRequest {
                term,
                payload: content,
            },
        ));
    }

    /// The state, as cheap as may be for whoever has that one.
    fn content_for(&self, theirs: Digest) -> StatePayload {
        let whole = || StatePayload::Snapshot(self.record.state.clone());
        let changes = if theirs == self.digest {
            Some(Vec::new())
        } else {
            self.history.since(theirs)
        };
        let Some(changes) = changes else {
            return whole();
        };
        if ChangeHistory::size_of(&changes) > self.record.state.config.len() + 1024 {
            return whole();
        }
        StatePayload::Delta {
            base: theirs,
            steps: changes,
            result: self.digest,
        }
    }

    /// What this machine saved counts, too.
    pub(super) fn count_own_save(&mut self, out: &mut Vec<ConsensusOutput>) {
        let version = self.record.state.version;
        let me = self.me;
        if let Role::Leader(leading) = &mut self.role {
            leading.of(me).accepted = Some(version);
        }
        self.count(out);
    }

    fn count(&mut self, out: &mut Vec<ConsensusOutput>) {
        let version = self.record.state.version;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let accepted = |voter| {
            leading
                .progress
                .get(&voter)
                .is_some_and(|p| p.accepted == Some(version))
        };
        if leading.agreed == Some(version) || !self.record.state.voters.is_quorum(accepted) {
            return;
        }
        let first = leading.agreed.replace(version).is_none();
        out.push(if first {
            ConsensusOutput::BecameLeader
        } else {
            ConsensusOutput::Committed
        });
    }

    /// A leader that is heard and hears no majority would keep the others from having another one.
    fn has_lost_its_majority(&self, now: f64) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let authority = self
            .authority_until()
            .max(leading.since + self.timing.election_timeout);
        now > authority + self.timing.election_timeout
    }

    pub(super) fn send_heartbeats(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.has_lost_its_majority(now) {
            log::info!("event=majority_lost");
            // Where it is heard all the same, nobody need miss it first.
            self.give_up_the_lead(out);
            self.heard = now;
            return;
        }
        let in_contact = self.authority_until() > now;
        let replicas = self.replicas();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if now - leading.heartbeat < HEARTBEAT {
            return;
        }
        leading.heartbeat = now;
        let term = leading.term;
        for voter in replicas {
            let confirms = leading.of(voter).at.filter(|_| in_contact);
            out.push(send(
                voter,
                ConsensusMessage::Heartbeat {
                    term,
                    sent_at: now,
                    confirmed_answer_at: confirms,
                },
            ));
        }
    }

    pub(super) fn on_accept(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        content: StatePayload,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(term);
        if term < self.record.voted_term {
            let promised = self.record.voted_term;
            out.push(send(
                from,
                ConsensusMessage::TermRejected {
                    term,
                    voted_term: promised,
                },
            ));
            return;
        }
        self.follow_leader(now, from, term, out);
        let Some(Arrived {
            state,
            digest,
            steps,
        }) = self.read_content(content)
        else {
            let last_state = self.last_state();
            out.push(send(
                from,
                ConsensusMessage::AppendMismatch { term, last_state },
            ));
            return;
        };
        // What was overtaken on its way takes nothing back.
        let overtaken =
            self.record.accepted_term == term && state.version <= self.record.state.version;
        if overtaken {
            let last_state = self.last_state();
            out.push(send(
                from,
                ConsensusMessage::AppendResponse { term, last_state },
            ));
            return;
        }
        if steps.is_empty() && digest != self.digest {
            self.history.clear();
        }
        for step in steps {
            self.history.push(&step.before, step.digest, step.change);
        }
        self.record = HardState {
            voted_term: term,
            accepted_term: term,
            state,
        };
        self.digest = digest;
        self.removed = false;
        let last_state = StateId {
            accepted_term: term,
            version: self.record.state.version,
            digest,
        };
        self.persist(
            Some(send(
                from,
                ConsensusMessage::AppendResponse { term, last_state },
            )),
            out,
        );
    }

    /// The state that was sent; none if it builds on another state than this machine has.
    fn read_content(&self, content: StatePayload) -> Option<Arrived> {
        match content {
            StatePayload::Snapshot(state) => {
                let digest = state.digest();
                Some(Arrived {
                    state,
                    digest,
                    steps: Vec::new(),
                })
            }
            StatePayload::Delta { base, .. } if base != self.digest => None,
            StatePayload::Delta {
                steps: changes,
                result,
                ..
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
        term: Term,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.note_holds(from, term, last_state);
        self.count(out);
    }

    fn note_holds(&mut self, from: Voter, term: Term, last_state: StateId) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.term == term && last_state.accepted_term == term {
            let accepted = &mut leading.of(from).accepted;
            *accepted = (*accepted).max(Some(last_state.version));
        }
    }

    pub(super) fn on_mismatch(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if matches!(&self.role, Role::Leader(leading) if leading.term == term) {
            self.send_state(now, from, last_state.digest, out);
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        (sent, confirms): (f64, Option<f64>),
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(term);
        if term < self.record.voted_term {
            let promised = self.record.voted_term;
            out.push(send(
                from,
                ConsensusMessage::TermRejected {
                    term,
                    voted_term: promised,
                },
            ));
            return;
        }
        self.follow_leader(now, from, term, out);
        if let Some(at) = confirms {
            self.contact_until = self.contact_until.max(at + self.timing.contact_timeout);
        }
        let ack = ConsensusMessage::HeartbeatResponse {
            term,
            heartbeat_sent_at: sent,
            answered_at: now,
            last_state: self.last_state(),
        };
        // A promise that was lost on the way is as good as kept: nothing below it is taken any more.
        if term > self.record.voted_term {
            self.record.voted_term = term;
            self.persist(Some(send(from, ack)), out);
        } else {
            out.push(send(from, ack));
        }
    }

    pub(super) fn on_heartbeat_ack(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        (sent, at): (f64, f64),
        last_state: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let digest = self.digest;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading.term != term {
            return;
        }
        let progress = leading.of(from);
        progress.answered = progress.answered.max(sent);
        progress.at = Some(progress.at.map_or(at, |known| known.max(at)));
        // Heartbeats and states keep their order on a connection: what was sent before this one and isn't there is lost.
        let lacks = (last_state.digest != digest || last_state.accepted_term != term)
            && progress.sent < sent;
        self.note_holds(from, term, last_state);
        if lacks {
            self.send_state(now, from, last_state.digest, out);
        }
        self.count(out);
    }

    /// Somebody leads under a ballot that this machine takes part in.
    fn follow_leader(&mut self, now: f64, from: Voter, term: Term, out: &mut Vec<ConsensusOutput>) {
        let lower = match &self.role {
            Role::Leader(leading) => leading.term < term,
            Role::Candidate(_) | Role::PreCandidate(_) => true,
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
