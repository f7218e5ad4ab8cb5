//! One candidate, message by message: which answers elect it, and what it goes on from.

use crate::consensus::{
    Consensus, ConsensusConfig, ConsensusMessage, ConsensusOutput, HardState, StateId, StatePayload,
};
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter, VoterSet};
use std::rc::Rc;

const TIMING: ConsensusConfig = ConsensusConfig {
    election_timeout: 0.6,
    contact_timeout: 1.0,
};

fn founder(node: NodeId) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    }
}

/// Machine 1, whose disk holds this, while it waits for promises.
struct Candidate {
    consensus: Consensus,
    now: f64,
    term: Term,
}

impl Candidate {
    fn stands(record: HardState) -> Candidate {
        let mut consensus = Consensus::new(founder(1), record, 0.0, 7, TIMING);
        let (mut now, mut term) = (0.0, None);
        while term.is_none() {
            now += 0.02;
            assert!(now < 5.0, "it doesn't stand");
            let mut outs = Vec::new();
            consensus.tick(now, &mut outs);
            term = outs.iter().find_map(canvassed);
        }
        let term = term.expect("it asks whether to stand");
        let others: Vec<Voter> = consensus
            .voters()
            .iter()
            .copied()
            .filter(|v| *v != founder(1))
            .collect();
        let mut candidate = Candidate {
            consensus,
            now,
            term,
        };
        for other in others {
            let granted = ConsensusMessage::PreVoteResponse {
                term,
                granted: true,
                voted_term: Term::default(),
            };
            candidate.hears(other, granted);
        }
        candidate.term = candidate.consensus.hard_state().voted_term;
        candidate
    }

    /// A message arrives, and all saves behind it succeed.
    fn hears(&mut self, from: Voter, message: ConsensusMessage) -> Vec<ConsensusOutput> {
        let mut outs = Vec::new();
        self.consensus.step(self.now, from, message, &mut outs);
        while let Some(at) = outs.iter().position(|out| *out == ConsensusOutput::Persist) {
            outs.remove(at);
            self.consensus.persisted(self.now, &mut outs);
        }
        outs
    }

    fn is_promised(
        &mut self,
        from: NodeId,
        accepted: Term,
        state: &Rc<State>,
    ) -> Vec<ConsensusOutput> {
        let holds = StateId {
            accepted_term: accepted,
            version: state.version,
            digest: state.digest(),
        };
        let own = self.consensus.hard_state();
        let newer = (holds.digest != own.state.digest()).then(|| state.clone());
        let promise = ConsensusMessage::VoteResponse {
            term: self.term,
            last_state: holds,
            newer_state: newer,
        };
        self.hears(founder(from), promise)
    }
}

fn canvassed(out: &ConsensusOutput) -> Option<Term> {
    match out {
        ConsensusOutput::Send(_, ConsensusMessage::PreVoteRequest { term, .. }) => Some(*term),
        _ => None,
    }
}

/// The state that a candidate which has won sends to all.
fn replicated(outs: &[ConsensusOutput]) -> Option<&StatePayload> {
    outs.iter().find_map(|out| match out {
        ConsensusOutput::Send(
            _,
            ConsensusMessage::AppendRequest {
                payload: content, ..
            },
        ) => Some(content),
        _ => None,
    })
}

fn term(round: u64, node: NodeId) -> Term {
    (0..round).fold(Term::default(), |term, _| term.next_for(node))
}

fn with_config(state: &State, epoch: u64) -> Rc<State> {
    let change = state.config_change(epoch, &epoch.to_string().into_bytes().into());
    Rc::new(state.apply(&change).expect("the change was made for it"))
}

fn with_voters(state: &State, nodes: &[NodeId]) -> Rc<State> {
    let next = VoterSet::founding(nodes.iter().copied());
    Rc::new(
        state
            .apply(&StateChange::Voters(next))
            .expect("the change fits"),
    )
}

/// Two of the three that it knows have promised, but one of them knows of a later set of five: three of these are needed.
#[test]
fn the_newest_set_that_was_met_elects() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let later = with_voters(&first, &[1, 2, 4, 5, 6]);
    let mut candidate = Candidate::stands(HardState {
        state: first,
        ..HardState::default()
    });
    assert_eq!(
        replicated(&candidate.is_promised(2, term(3, 2), &later)),
        None,
        "two of five"
    );
    assert!(
        replicated(&candidate.is_promised(4, term(3, 2), &later)).is_some(),
        "three of five"
    );
    assert_eq!(candidate.consensus.hard_state().state, later);
}

/// While a change of the set is under way, majorities of the old and the new voters are needed.
#[test]
fn both_sets_of_a_change_elect() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let voters = [1, 4, 5].map(founder).to_vec();
    let joint = first.voters.joint_with(voters).expect("another set");
    let later = Rc::new(
        first
            .apply(&StateChange::Voters(joint))
            .expect("the change fits"),
    );
    let mut candidate = Candidate::stands(HardState {
        state: first,
        ..HardState::default()
    });
    assert_eq!(
        replicated(&candidate.is_promised(2, term(3, 2), &later)),
        None,
        "one of the new three"
    );
    assert!(replicated(&candidate.is_promised(5, term(3, 2), &later)).is_some());
}

/// What another machine accepted last goes before what a third one accepted earlier, also where it is just the state that
/// the candidate has from long ago.
#[test]
fn what_was_accepted_last_goes_on() {
    let first = State::founding(vec![1, 2, 3, 4, 5]);
    let (own, other) = (with_config(&first, 7), with_config(&first, 8));
    let record = HardState {
        voted_term: term(1, 3),
        accepted_term: term(1, 3),
        state: own.clone(),
    };
    for order in [[2, 3], [3, 2]] {
        let mut candidate = Candidate::stands(record.clone());
        let mut outs = Vec::new();
        for node in order {
            // 2 accepted the candidate's own state under a later ballot than 3 the other one.
            let (accepted, state) = if node == 2 {
                (term(3, 2), &own)
            } else {
                (term(2, 3), &other)
            };
            outs = candidate.is_promised(node, accepted, state);
        }
        assert!(replicated(&outs).is_some(), "three of five");
        assert_eq!(candidate.consensus.hard_state().state, own, "{order:?}");
    }
}

/// Who learns from a promise that it is no voter any more leads nothing, though a majority has promised.
#[test]
fn who_was_left_out_does_not_lead() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let later = with_voters(&first, &[2, 3, 4]);
    let mut candidate = Candidate::stands(HardState {
        state: first,
        ..HardState::default()
    });
    let mut outs = candidate.is_promised(2, term(3, 2), &later);
    outs.extend(candidate.is_promised(3, term(3, 2), &later));
    assert_eq!(replicated(&outs), None);
    assert_eq!(candidate.consensus.leader_term(), None);
}

/// Changes count only for whoever has the state to which they were made, and only if they lead to the state that they claim.
#[test]
fn changes_to_another_state_are_not_taken() {
    let first = State::founding(vec![1, 2, 3]);
    let (seven, eight) = (with_config(&first, 7), with_config(&first, 8));
    let change = Rc::new(first.config_change(9, &Rc::from(*b"9")));
    let made = first.apply(&change).expect("the change was made for it");
    let record = HardState {
        voted_term: term(1, 2),
        accepted_term: term(1, 2),
        state: seven.clone(),
    };
    let accept = |base, result| {
        let content = StatePayload::Delta {
            base,
            steps: vec![change.clone()],
            result,
        };
        ConsensusMessage::AppendRequest {
            term: term(2, 2),
            payload: content,
        }
    };
    let wrong = [
        accept(first.digest(), made.digest()),
        accept(eight.digest(), made.digest()),
        accept(seven.digest(), made.digest()),
    ];
    for message in wrong {
        let mut consensus = Consensus::new(founder(1), record.clone(), 0.0, 7, TIMING);
        let mut outs = Vec::new();
        consensus.step(0.1, founder(2), message, &mut outs);
        let answers = |out: &ConsensusOutput| matches!(out, ConsensusOutput::Send(_, ConsensusMessage::AppendMismatch { last_state: holds, .. }) if holds.digest == seven.digest());
        assert!(outs.iter().any(answers), "{outs:?}");
        assert_eq!(consensus.hard_state().state, seven);
    }
}
