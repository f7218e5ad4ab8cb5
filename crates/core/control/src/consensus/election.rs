//! Who leads: the question whether a candidacy would be of use, the candidacy, promises.

use super::replication::Leading;
use super::{ByVoter, Consensus, ConsensusMessage, ConsensusOutput, Holds, Role, send};
use crate::ballot::Ballot;
use crate::digest::Digest;
use crate::membership::Voter;
use crate::state::State;
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
pub(super) struct Canvass {
    ballot: Ballot,
    granted: BTreeSet<Voter>,
    since: f64,
    asked: f64,
}

/// A candidacy.
#[derive(Clone, Debug)]
pub(super) struct Candidacy {
    ballot: Ballot,
    promises: ByVoter<Promise>,
    since: f64,
    asked: f64,
}

#[derive(Clone, Debug)]
struct Promise {
    holds: Holds,
    /// The state, if it is newer than the candidate's own.
    newer: Option<Rc<State>>,
}

impl Candidacy {
    /// The newest state that was met, if it isn't the candidate's own, which has this digest. What others accepted last
    /// counts, also where it is just what the candidate has.
    fn newest(&self, own: Digest) -> Option<&Rc<State>> {
        let met = self
            .promises
            .values()
            .filter(|p| p.newer.is_some() || p.holds.digest == own);
        met.max_by_key(|p| p.holds.rank())?.newer.as_ref()
    }
}

impl Consensus {
    pub(super) fn tick_follower(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let missed = now - self.heard > self.timing.suspect + self.pause;
        let decides = self.record.state.membership.contains(self.me) && !self.removed;
        if missed && decides && !self.membership.leaving() {
            self.canvass(now, out);
        }
    }

    fn canvass(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let ballot = self.highest.max(self.record.promised).above(self.me.node);
        self.leader = None;
        let granted = BTreeSet::from([self.me]);
        self.role = Role::Canvassing(Canvass {
            ballot,
            granted,
            since: now,
            asked: now,
        });
        let holds = self.holds();
        let others = self
            .record
            .state
            .membership
            .all()
            .filter(|voter| *voter != self.me);
        out.extend(others.map(|voter| send(voter, ConsensusMessage::Canvass { ballot, holds })));
        self.stand_if_granted(now, out);
    }

    pub(super) fn tick_canvass(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let holds = self.holds();
        let Role::Canvassing(canvass) = &mut self.role else {
            return;
        };
        if now - canvass.since > CANVASS {
            self.stand_back(now);
        } else if now - canvass.asked > ASK_AGAIN {
            canvass.asked = now;
            let ballot = canvass.ballot;
            let others = self
                .record
                .state
                .membership
                .all()
                .filter(|voter| !canvass.granted.contains(voter));
            out.extend(
                others.map(|voter| send(voter, ConsensusMessage::Canvass { ballot, holds })),
            );
        }
    }

    /// Tries again a little later, and gives others the chance to stand before.
    fn stand_back(&mut self, now: f64) {
        self.role = Role::Follower;
        self.heard = now - self.timing.suspect;
        self.pause = self.stagger() + STAND_BACK;
    }

    pub(super) fn on_canvass(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        theirs: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let promised = self.record.promised;
        // Whoever was left out meanwhile doesn't know, and would only disturb the others.
        let left_out =
            !self.record.state.membership.contains(from) && self.holds().rank() > theirs.rank();
        let granted = ballot > promised && !left_out && !self.keeps_to_a_leader(now, from);
        out.push(send(
            from,
            ConsensusMessage::Canvassed {
                ballot,
                granted,
                promised,
            },
        ));
    }

    pub(super) fn on_canvassed(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        granted: bool,
        promised: Ballot,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(promised);
        let Role::Canvassing(canvass) = &mut self.role else {
            return;
        };
        if canvass.ballot == ballot && granted {
            canvass.granted.insert(from);
            self.stand_if_granted(now, out);
        }
    }

    fn stand_if_granted(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Canvassing(canvass) = &self.role else {
            return;
        };
        if self
            .record
            .state
            .membership
            .is_quorum(|voter| canvass.granted.contains(&voter))
        {
            self.stand(now, out);
        }
    }

    fn stand(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let ballot = self.highest.max(self.record.promised).above(self.me.node);
        self.highest = ballot;
        self.record.promised = ballot;
        self.leader = None;
        self.role = Role::Candidate(Candidacy {
            ballot,
            promises: ByVoter::new(),
            since: now,
            asked: now,
        });
        self.persist(None, out);
    }

    /// This machine's own promise is on its disk: the others are asked.
    pub(super) fn count_own_promise(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let holds = self.holds();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        candidacy
            .promises
            .insert(self.me, Promise { holds, newer: None });
        let ballot = candidacy.ballot;
        let others = self
            .record
            .state
            .membership
            .all()
            .filter(|voter| *voter != self.me);
        out.extend(others.map(|voter| send(voter, ConsensusMessage::Prepare { ballot, holds })));
        self.elect(now, out);
    }

    pub(super) fn tick_candidate(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let holds = self.holds();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if now - candidacy.since > CANDIDACY {
            log::info!("event=candidacy_failed ballot={}", candidacy.ballot.0);
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
            .map(|state| state.membership.clone())
            .unwrap_or_default();
        let known = &self.record.state.membership;
        let all = known
            .all()
            .chain(newest.all().filter(|voter| !known.contains(*voter)));
        let ballot = candidacy.ballot;
        for voter in all.filter(|voter| !candidacy.promises.contains_key(voter)) {
            out.push(send(voter, ConsensusMessage::Prepare { ballot, holds }));
        }
    }

    /// Whether somebody else may act as leader on this machine's word, or this machine leads itself. The one that it was
    /// promised to last may ask anew: by that it has given up what it led.
    fn keeps_to_a_leader(&self, now: f64, from: Voter) -> bool {
        let same = Some(from) == self.leader || self.record.promised.node() == from.node;
        let led = !same && now - self.led_at < self.timing.suspect;
        let leads = matches!(&self.role, Role::Leader(_)) && self.authority() > now;
        led || leads
    }

    pub(super) fn on_prepare(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        theirs: Holds,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(ballot);
        let promised = self.record.promised;
        // The same promise may be asked for again, as its answer may be lost: by the one that has it.
        let again = ballot == promised && ballot.node() == from.node;
        if ballot < promised || ballot == promised && !again || self.keeps_to_a_leader(now, from) {
            out.push(send(from, ConsensusMessage::Refuse { ballot, promised }));
            return;
        }
        self.follow(out);
        self.leader = None;
        self.heard = now;
        self.pause = self.stagger();
        let holds = self.holds();
        let newer = (holds.rank() > theirs.rank() && holds.digest != theirs.digest)
            .then(|| self.record.state.clone());
        let promise = send(
            from,
            ConsensusMessage::Promise {
                ballot,
                holds,
                newer,
            },
        );
        if ballot == promised {
            out.push(promise);
        } else {
            self.record.promised = ballot;
            self.persist(Some(promise), out);
        }
    }

    pub(super) fn on_promise(
        &mut self,
        now: f64,
        from: Voter,
        ballot: Ballot,
        holds: Holds,
        newer: Option<Rc<State>>,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if let Role::Candidate(candidacy) = &mut self.role
            && candidacy.ballot == ballot
        {
            candidacy.promises.insert(from, Promise { holds, newer });
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
            .membership
            .is_quorum(|voter| candidacy.promises.contains_key(&voter))
        {
            return;
        }
        if !newest.membership.contains(self.me) {
            self.removed = true;
            self.stand_back(now);
            return;
        }
        let leading = Leading::new(
            candidacy.ballot,
            now,
            candidacy.promises.iter().map(|(v, p)| (*v, p.holds)),
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
        ballot: Ballot,
        promised: Ballot,
        out: &mut Vec<ConsensusOutput>,
    ) {
        self.highest = self.highest.max(promised);
        // Whoever leads and meets a higher promise leads no longer.
        if matches!(&self.role, Role::Leader(leading) if leading.ballot == ballot)
            && promised > ballot
        {
            self.follow(out);
            self.heard = now;
            self.pause = self.stagger();
        }
    }

    pub(super) fn on_resign(&mut self, now: f64, from: Voter, ballot: Ballot) {
        // It acts no longer on what this machine answered: nobody need wait for that to pass.
        if self.leader == Some(from) && ballot == self.record.promised {
            self.leader = None;
            self.contact_until = f64::NEG_INFINITY;
            self.led_at = f64::NEG_INFINITY;
            self.heard = now - self.timing.suspect;
            self.pause = self.stagger();
        }
    }
}
