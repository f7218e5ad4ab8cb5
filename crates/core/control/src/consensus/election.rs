//! Who leads: the question whether a candidacy would be of use, the candidacy, promises.

use super::replication::LeaderState;
use super::{ByVoter, Consensus, ConsensusMessage, ConsensusOutput, Role, StateId, send};
use crate::digest::Digest;
use crate::state::State;
use crate::term::Term;
use crate::voter_set::Voter;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Whoever has not answered is asked again after so many seconds.
const ASK_AGAIN: f64 = 0.1;
/// A candidacy that has not won is given up after so many seconds.
const CANDIDACY: f64 = 0.6;
/// The question whether a candidacy would be of use is given up after so many seconds.
const CANVASS: f64 = 0.35;
/// A machine whose candidacy came to nothing waits so much longer, in seconds.
const STAND_BACK: f64 = 0.05;

/// The question whether a candidacy would be of use.
#[derive(Clone, Debug)]
pub(super) struct PreCandidateState {
    term: Term,
    granted: BTreeSet<Voter>,
    since: f64,
    asked: f64,
}

/// A candidacy.
#[derive(Clone, Debug)]
pub(super) struct CandidateState {
    term: Term,
    promises: ByVoter<Promise>,
    since: f64,
    asked: f64,
}

#[derive(Clone, Debug)]
struct Promise {
    last_state: StateId,
    /// The state, if it is newer than the candidate's own.
    newer: Option<Rc<State>>,
}

impl CandidateState {
    /// The newest state that was met, if it isn't the candidate's own, which has this digest. What others accepted last
    /// counts, also where it is just what the candidate has.
    fn newest(&self, own: Digest) -> Option<&Rc<State>> {
        let met = self
            .promises
            .values()
            .filter(|p| p.newer.is_some() || p.last_state.digest == own);
        met.max_by_key(|p| p.last_state.rank())?.newer.as_ref()
    }
}

impl Consensus {
    pub(super) fn tick_follower(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let missed = now - self.heard > self.timing.election_timeout + self.pause;
        let decides = self.record.state.voters.contains(self.me) && !self.removed;
        if missed && decides && !self.membership.leaving() {
            self.canvass(now, out);
        }
    }

    fn canvass(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let term = self
            .highest
            .max(self.record.voted_term)
            .next_for(self.me.node);
        self.leader = None;
        let granted = BTreeSet::from([self.me]);
        self.role = Role::PreCandidate(PreCandidateState {
            term,
            granted,
            since: now,
            asked: now,
        });
        let last_state = self.last_state();
        let others = self
            .record
            .state
            .voters
            .all()
            .filter(|voter| *voter != self.me);
        out.extend(
            others.map(|voter| send(voter, ConsensusMessage::PreVoteRequest { term, last_state })),
        );
        self.stand_if_granted(now, out);
    }

    pub(super) fn tick_canvass(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::PreCandidate(canvass) = &mut self.role else {
            return;
        };
        if now - canvass.since > CANVASS {
            self.stand_back(now);
        } else if now - canvass.asked > ASK_AGAIN {
            canvass.asked = now;
            let term = canvass.term;
            let others = self
                .record
                .state
                .voters
                .all()
                .filter(|voter| !canvass.granted.contains(voter));
            out.extend(
                others.map(|voter| {
                    send(voter, ConsensusMessage::PreVoteRequest { term, last_state })
                }),
            );
        }
    }

    /// Tries again a little later, and gives others the chance to stand before.
    fn stand_back(&mut self, now: f64) {
        self.role = Role::Follower;
        self.heard = now - self.timing.election_timeout;
        self.pause = self.stagger() + STAND_BACK;
    }

    pub(super) fn on_canvass(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        theirs: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let promised = self.record.voted_term;
        // Whoever was left out meanwhile doesn't know, and would only disturb the others.
        let left_out =
            !self.record.state.voters.contains(from) && self.last_state().rank() > theirs.rank();
        let granted = term > promised && !left_out && !self.keeps_to_a_leader(now, from);
        out.push(send(
            from,
            ConsensusMessage::PreVoteResponse {
                term,
                granted,
                voted_term: promised,
            },
        ));
    }

    pub(super) fn on_canvassed(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        granted: bool,
        promised: Term,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(promised);
        let Role::PreCandidate(canvass) = &mut self.role else {
            return;
        };
        if canvass.term == term && granted {
            canvass.granted.insert(from);
            self.stand_if_granted(now, out);
        }
    }

    fn stand_if_granted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::PreCandidate(canvass) = &self.role else {
            return;
        };
        if self
            .record
            .state
            .voters
            .is_quorum(|voter| canvass.granted.contains(&voter))
        {
            self.stand(now, out);
        }
    }

    fn stand(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let term = self
            .highest
            .max(self.record.voted_term)
            .next_for(self.me.node);
        self.highest = term;
        self.record.voted_term = term;
        self.leader = None;
        self.role = Role::Candidate(CandidateState {
            term,
            promises: ByVoter::new(),
            since: now,
            asked: now,
        });
        self.persist(None, out);
    }

    /// This machine's own promise is on its disk: the others are asked.
    pub(super) fn count_own_promise(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        candidacy.promises.insert(
            self.me,
            Promise {
                last_state,
                newer: None,
            },
        );
        let term = candidacy.term;
        let others = self
            .record
            .state
            .voters
            .all()
            .filter(|voter| *voter != self.me);
        out.extend(
            others.map(|voter| send(voter, ConsensusMessage::VoteRequest { term, last_state })),
        );
        self.elect(now, out);
    }

    pub(super) fn tick_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let last_state = self.last_state();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if now - candidacy.since > CANDIDACY {
            log::info!("event=candidacy_failed ballot={}", candidacy.term.0);
            self.stand_back(now);
            return;
        }
        if now - candidacy.asked <= ASK_AGAIN {
            return;
        }
        candidacy.asked = now;
        // What was asked may be lost, and the newest state may name others who decide.
        let newest = candidacy
            .newest(self.digest)
            .map(|state| state.voters.clone())
            .unwrap_or_default();
        let known = &self.record.state.voters;
        let all = known
            .all()
            .chain(newest.all().filter(|voter| !known.contains(*voter)));
        let term = candidacy.term;
        for voter in all.filter(|voter| !candidacy.promises.contains_key(voter)) {
            out.push(send(
                voter,
                ConsensusMessage::VoteRequest { term, last_state },
            ));
        }
    }

    /// Whether somebody else may act as leader on this machine's word, or this machine leads itself. The one that it was
    /// promised to last may ask anew: by that it has given up what it led.
    fn keeps_to_a_leader(&self, now: f64, from: Voter) -> bool {
        let same = Some(from) == self.leader || self.record.voted_term.leader() == from.node;
        let led = !same && now - self.led_at < self.timing.election_timeout;
        let leads = matches!(&self.role, Role::Leader(_)) && self.authority_until() > now;
        led || leads
    }

    pub(super) fn on_prepare(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        theirs: StateId,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(term);
        let promised = self.record.voted_term;
        // The same promise may be asked for again, as its answer may be lost: by the one that has it.
        let again = term == promised && term.leader() == from.node;
        if term < promised || term == promised && !again || self.keeps_to_a_leader(now, from) {
            out.push(send(
                from,
                ConsensusMessage::TermRejected {
                    term,
                    voted_term: promised,
                },
            ));
            return;
        }
        self.follow(out);
        self.leader = None;
        self.heard = now;
        self.pause = self.stagger();
        let last_state = self.last_state();
        let newer = (last_state.rank() > theirs.rank() && last_state.digest != theirs.digest)
            .then(|| self.record.state.clone());
        let promise = send(
            from,
            ConsensusMessage::VoteResponse {
                term,
                last_state,
                newer_state: newer,
            },
        );
        if term == promised {
            out.push(promise);
        } else {
            self.record.voted_term = term;
            self.persist(Some(promise), out);
        }
    }

    pub(super) fn on_promise(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        last_state: StateId,
        newer: Option<Rc<State>>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if let Role::Candidate(candidacy) = &mut self.role
            && candidacy.term == term
        {
            candidacy
                .promises
                .insert(from, Promise { last_state, newer });
            self.elect(now, out);
        }
    }

    /// Of those that the newest state names a majority is needed: any state that was agreed on lies with one of them, or
    /// a newer one does.
    fn elect(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let newest = candidacy
            .newest(self.digest)
            .unwrap_or(&self.record.state)
            .clone();
        if !newest
            .voters
            .is_quorum(|voter| candidacy.promises.contains_key(&voter))
        {
            return;
        }
        if !newest.voters.contains(self.me) {
            self.removed = true;
            self.stand_back(now);
            return;
        }
        let leading = LeaderState::new(
            candidacy.term,
            now,
            candidacy.promises.iter().map(|(v, p)| (*v, p.last_state)),
        );
        let digest = newest.digest();
        if digest != self.digest {
            self.history.clear();
            self.digest = digest;
            self.record.state = newest;
        }
        self.leader = Some(self.me);
        self.role = Role::Leader(leading);
        self.replicate(now, out);
    }

    pub(super) fn on_refuse(
        &mut self,
        now: f64,
        term: Term,
        promised: Term,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(promised);
        // Whoever leads and meets a higher promise leads no longer.
        if matches!(&self.role, Role::Leader(leading) if leading.term == term) && promised > term {
            self.follow(out);
            self.heard = now;
            self.pause = self.stagger();
        }
    }

    pub(super) fn on_resign(&mut self, now: f64, from: Voter, term: Term) {
        // It acts no longer on what this machine answered: nobody need wait for that to pass.
        if self.leader == Some(from) && term == self.record.voted_term {
            self.leader = None;
            self.contact_until = f64::NEG_INFINITY;
            self.led_at = f64::NEG_INFINITY;
            self.heard = now - self.timing.election_timeout;
            self.pause = self.stagger();
        }
    }
}
