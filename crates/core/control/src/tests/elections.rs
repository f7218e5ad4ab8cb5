//! Tests of one candidate, message by message: which votes elect it, and which state it adopts.

use super::common::{CONSENSUS_CONFIG, founder, term};
use crate::consensus::{
    Consensus, ConsensusMessage, ConsensusOutput, HardState, StateId, StatePayload,
};
use crate::state::{State, StateChange};
use crate::term::Term;
use crate::voter_set::{NodeId, Voter, VoterSet};
use std::rc::Rc;

/// Machine 1 while it is a candidate and waits for votes.
struct Candidate {
    consensus: Consensus,
    now: f64,
    term: Term,
}

impl Candidate {
    /// Returns machine 1 with this hard state, after its pre-vote has succeeded.
    fn new(hard_state: HardState) -> Candidate {
        let mut consensus = Consensus::new(founder(1), hard_state, 0.0, 7, CONSENSUS_CONFIG);
        let mut now = 0.0;
        let mut term = None;
        while term.is_none() {
            now += 0.02;
            assert!(now < 5.0, "the machine starts no pre-vote within 5 s");
            let mut outputs = Vec::new();
            consensus.tick(now, &mut outputs);
            term = outputs.iter().find_map(pre_vote_term);
        }
        let term = term.expect("the machine sends a pre-vote request");
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
            candidate.receive(other, granted);
        }
        candidate.term = candidate.consensus.hard_state().voted_term;
        candidate
    }

    /// Lets the candidate process a message. Writes that it leads to succeed immediately.
    fn receive(&mut self, from: Voter, message: ConsensusMessage) -> Vec<ConsensusOutput> {
        let mut outputs = Vec::new();
        self.consensus.step(self.now, from, message, &mut outputs);
        while let Some(index) = outputs
            .iter()
            .position(|output| *output == ConsensusOutput::Persist)
        {
            outputs.remove(index);
            self.consensus.persisted(self.now, &mut outputs);
        }
        outputs
    }

    /// Lets the candidate process a vote of a machine that accepted `state` in `accepted_term`.
    fn receive_vote(
        &mut self,
        from: NodeId,
        accepted_term: Term,
        state: &Rc<State>,
    ) -> Vec<ConsensusOutput> {
        let last_state = StateId {
            accepted_term,
            version: state.version,
            digest: state.digest(),
        };
        let own = self.consensus.hard_state();
        let newer_state = (last_state.digest != own.state.digest()).then(|| state.clone());
        let vote = ConsensusMessage::VoteResponse {
            term: self.term,
            last_state,
            newer_state,
        };
        self.receive(founder(from), vote)
    }
}

fn pre_vote_term(output: &ConsensusOutput) -> Option<Term> {
    match output {
        ConsensusOutput::Send(_, ConsensusMessage::PreVoteRequest { term, .. }) => Some(*term),
        _ => None,
    }
}

/// Returns the first state that an elected leader sends, if any.
fn sent_state(outputs: &[ConsensusOutput]) -> Option<&StatePayload> {
    outputs.iter().find_map(|output| match output {
        ConsensusOutput::Send(_, ConsensusMessage::AppendRequest { payload, .. }) => Some(payload),
        _ => None,
    })
}

fn with_config(state: &State, epoch: u64) -> Rc<State> {
    let change = state.config_change(epoch, &epoch.to_string().into_bytes().into());
    Rc::new(state.apply(&change).expect("the delta is from this state"))
}

fn with_voters(state: &State, nodes: &[NodeId]) -> Rc<State> {
    let next = VoterSet::founding(nodes.iter().copied());
    Rc::new(
        state
            .apply(&StateChange::Voters(next))
            .expect("the change applies to the state"),
    )
}

/// The candidate has votes of two of the three voters that it knows, but one of them reports a
/// newer voter set of five. So it needs the votes of three of these five.
#[test]
fn election_needs_a_quorum_of_the_newest_known_voter_set() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let newer = with_voters(&first, &[1, 2, 4, 5, 6]);
    let mut candidate = Candidate::new(HardState {
        state: first,
        ..HardState::default()
    });
    assert_eq!(
        sent_state(&candidate.receive_vote(2, term(3, 2), &newer)),
        None,
        "two votes of five are no quorum"
    );
    assert!(
        sent_state(&candidate.receive_vote(4, term(3, 2), &newer)).is_some(),
        "three votes of five are a quorum"
    );
    assert_eq!(candidate.consensus.hard_state().state, newer);
}

/// While a change of the voter set is in progress, an election needs a majority of the outgoing
/// voters and a majority of the incoming ones.
#[test]
fn election_in_a_joint_voter_set_needs_both_majorities() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let voters = [1, 4, 5].map(founder).to_vec();
    let joint = first.voters.joint_with(voters).expect("the voters differ");
    let newer = Rc::new(
        first
            .apply(&StateChange::Voters(joint))
            .expect("the change applies to the state"),
    );
    let mut candidate = Candidate::new(HardState {
        state: first,
        ..HardState::default()
    });
    assert_eq!(
        sent_state(&candidate.receive_vote(2, term(3, 2), &newer)),
        None,
        "one vote of three incoming voters is no majority"
    );
    assert!(sent_state(&candidate.receive_vote(5, term(3, 2), &newer)).is_some());
}

/// The candidate adopts the state that was accepted in the highest term, even if that is the state
/// that the candidate itself accepted in a lower term.
#[test]
fn state_of_the_highest_accepted_term_is_adopted() {
    let first = State::founding(vec![1, 2, 3, 4, 5]);
    let (own, other) = (with_config(&first, 7), with_config(&first, 8));
    let hard_state = HardState {
        voted_term: term(1, 3),
        accepted_term: term(1, 3),
        state: own.clone(),
    };
    for order in [[2, 3], [3, 2]] {
        let mut candidate = Candidate::new(hard_state.clone());
        let mut outputs = Vec::new();
        for node in order {
            // Machine 2 accepted the candidate's own state in a higher term than machine 3 accepted
            // the other state in.
            let (accepted_term, state) = if node == 2 {
                (term(3, 2), &own)
            } else {
                (term(2, 3), &other)
            };
            outputs = candidate.receive_vote(node, accepted_term, state);
        }
        assert!(
            sent_state(&outputs).is_some(),
            "three votes of five are a quorum"
        );
        assert_eq!(candidate.consensus.hard_state().state, own, "{order:?}");
    }
}

/// A candidate that learns from a vote that it is no longer a voter doesn't become the leader, even
/// with votes of a majority.
#[test]
fn removed_voter_is_not_elected() {
    let first = Rc::new(State::founding(vec![1, 2, 3]));
    let newer = with_voters(&first, &[2, 3, 4]);
    let mut candidate = Candidate::new(HardState {
        state: first,
        ..HardState::default()
    });
    let mut outputs = candidate.receive_vote(2, term(3, 2), &newer);
    outputs.extend(candidate.receive_vote(3, term(3, 2), &newer));
    assert_eq!(sent_state(&outputs), None);
    assert_eq!(candidate.consensus.leader_term(), None);
}

/// A machine accepts a delta only if it has the base state, and only if the resulting state has the
/// digest that the delta names.
#[test]
fn delta_with_another_base_or_result_is_rejected() {
    let first = State::founding(vec![1, 2, 3]);
    let (seven, eight) = (with_config(&first, 7), with_config(&first, 8));
    let change = Rc::new(first.config_change(9, &Rc::from(*b"9")));
    let result = first.apply(&change).expect("the delta is from this state");
    let hard_state = HardState {
        voted_term: term(1, 2),
        accepted_term: term(1, 2),
        state: seven.clone(),
    };
    let append_request = |base, result| {
        let payload = StatePayload::Delta {
            base,
            steps: vec![change.clone()],
            result,
        };
        ConsensusMessage::AppendRequest {
            term: term(2, 2),
            payload,
        }
    };
    let mismatching = [
        append_request(first.digest(), result.digest()),
        append_request(eight.digest(), result.digest()),
        append_request(seven.digest(), result.digest()),
    ];
    for message in mismatching {
        let mut consensus =
            Consensus::new(founder(1), hard_state.clone(), 0.0, 7, CONSENSUS_CONFIG);
        let mut outputs = Vec::new();
        consensus.step(0.1, founder(2), message, &mut outputs);
        let reports_mismatch = |output: &ConsensusOutput| match output {
            ConsensusOutput::Send(_, ConsensusMessage::AppendMismatch { last_state, .. }) => {
                last_state.digest == seven.digest()
            }
            _ => false,
        };
        assert!(outputs.iter().any(reports_mismatch), "{outputs:?}");
        assert_eq!(consensus.hard_state().state, seven);
    }
}
