//! Tests of one machine, message by message. They cover rules that matter only for orders of
//! messages that rarely occur in runs of several machines.

use super::common::{CONSENSUS_CONFIG, founder, founding_hard_state, state_id, term};
use super::network::Network;
use crate::consensus::{
    Consensus, ConsensusMessage, ConsensusOutput, HardState, Recipient, StateId, StatePayload,
};
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use std::rc::Rc;

/// Returns machine 2 of these voters, a follower that has not received a message yet.
fn follower(nodes: &[NodeId]) -> Consensus {
    let disk = founding_hard_state(nodes);
    Consensus::new(founder(2), disk, 0.0, 7, CONSENSUS_CONFIG)
}

/// Lets a machine process a message. If the message leads to a write, that write stays in flight.
fn receive(
    consensus: &mut Consensus,
    now: f64,
    from: NodeId,
    message: ConsensusMessage,
) -> Vec<ConsensusOutput> {
    let mut outputs = Vec::new();
    consensus.step(now, founder(from), message, &mut outputs);
    outputs
}

/// Reports that the write in flight has succeeded.
fn complete_write(consensus: &mut Consensus, now: f64) -> Vec<ConsensusOutput> {
    let mut outputs = Vec::new();
    consensus.persisted(now, &mut outputs);
    outputs
}

fn heartbeat(term: Term, sent_at: f64) -> ConsensusMessage {
    ConsensusMessage::Heartbeat {
        term,
        sent_at,
        confirmed_answer_at: None,
    }
}

fn sends(outputs: &[ConsensusOutput], is_wanted: impl Fn(&ConsensusMessage) -> bool) -> bool {
    outputs
        .iter()
        .any(|output| matches!(output, ConsensusOutput::Send(_, message) if is_wanted(message)))
}

fn is_vote(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::VoteResponse { .. })
}

fn is_rejection(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::TermRejected { .. })
}

fn is_heartbeat_response(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::HeartbeatResponse { .. })
}

/// A candidate may get a pre-vote before another machine is elected, and send its vote request only
/// after that election. The request must be rejected while the leader's lease may rely on a
/// response of this machine.
#[test]
fn no_vote_during_the_lease_of_a_leader() {
    let mut machine = follower(&[1, 2, 3]);
    receive(&mut machine, 9.0, 3, heartbeat(term(2, 3), 1.0));
    complete_write(&mut machine, 9.0);
    receive(&mut machine, 10.0, 3, heartbeat(term(2, 3), 2.0));
    let last_state = state_id(machine.hard_state());
    let vote_request = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state,
    };
    let early = receive(&mut machine, 10.5, 1, vote_request.clone());
    assert!(
        sends(&early, is_rejection) && !early.contains(&ConsensusOutput::Persist),
        "{early:?}"
    );
    let late = receive(&mut machine, 10.61, 1, vote_request);
    assert!(late.contains(&ConsensusOutput::Persist), "{late:?}");
    assert!(sends(&complete_write(&mut machine, 10.61), is_vote));
}

/// A vote is sent only once it is on disk, and not at all if the write fails.
#[test]
fn vote_is_sent_only_after_its_write() {
    let mut machine = follower(&[1, 2, 3]);
    let vote_request = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: state_id(machine.hard_state()),
    };
    let outputs = receive(&mut machine, 5.0, 1, vote_request.clone());
    assert_eq!(outputs, [ConsensusOutput::Persist]);
    assert!(sends(&complete_write(&mut machine, 5.0), is_vote));
    let mut faulty = follower(&[1, 2, 3]);
    receive(&mut faulty, 5.0, 1, vote_request);
    let mut outputs = Vec::new();
    faulty.persist_failed(&mut outputs);
    assert!(
        outputs.is_empty() && faulty.hard_state().voted_term == Term::default(),
        "{outputs:?}"
    );
}

/// By answering a heartbeat of a higher term, a machine commits to rejecting lower terms. So the
/// term must be on disk before the response is sent.
#[test]
fn heartbeat_of_higher_term_is_answered_only_after_its_write() {
    let mut machine = follower(&[1, 2, 3]);
    let outputs = receive(&mut machine, 5.0, 3, heartbeat(term(4, 3), 1.0));
    assert_eq!(outputs, [ConsensusOutput::Persist]);
    assert!(sends(
        &complete_write(&mut machine, 5.0),
        is_heartbeat_response
    ));
    assert!(
        sends(
            &receive(&mut machine, 5.1, 3, heartbeat(term(4, 3), 1.1)),
            is_heartbeat_response
        ),
        "the term is on disk, so the response needs no write"
    );
}

/// A leader doesn't vote for another machine during its own lease, even in a higher term.
#[test]
fn leader_does_not_vote_during_its_lease() {
    let mut network = Network::new(3);
    network.run(1.0);
    let leader = network.leader().expect("a leader is elected");
    let other = 1 + leader % 3;
    let higher = network.highest_voted_term().next_for(other);
    let now = network.now;
    let machine = network.machine_mut(leader);
    let last_state = state_id(machine.consensus.hard_state());
    let vote_request = ConsensusMessage::VoteRequest {
        term: higher,
        last_state,
    };
    let outputs = receive(&mut machine.consensus, now, other, vote_request);
    assert!(
        sends(&outputs, is_rejection) && machine.consensus.leader_term().is_some(),
        "{outputs:?}"
    );
}

/// A leader resigns and is elected again, and its resignation of the earlier term arrives late. A
/// follower must still support the leader. Otherwise another machine could be elected during the
/// leader's lease.
#[test]
fn resignation_of_an_earlier_term_has_no_effect() {
    let mut machine = follower(&[1, 2, 3]);
    receive(&mut machine, 9.0, 3, heartbeat(term(4, 3), 1.0));
    complete_write(&mut machine, 9.0);
    receive(
        &mut machine,
        9.1,
        3,
        ConsensusMessage::Resign { term: term(2, 3) },
    );
    let vote_request = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: state_id(machine.hard_state()),
    };
    assert!(sends(
        &receive(&mut machine, 9.2, 1, vote_request.clone()),
        is_rejection
    ));
    // A resignation of the present term has an effect.
    receive(
        &mut machine,
        9.3,
        3,
        ConsensusMessage::Resign { term: term(4, 3) },
    );
    assert!(receive(&mut machine, 9.3, 1, vote_request).contains(&ConsensusOutput::Persist));
}

/// A machine that is not a voter and has an older state was removed, so it gets no pre-vote. A
/// voter with the same older state does.
#[test]
fn removed_voter_gets_no_pre_vote() {
    let state = Rc::new(State {
        version: 5,
        ..State::founding(vec![2, 3, 4])
    });
    let hard_state = HardState {
        voted_term: term(2, 3),
        accepted_term: term(2, 3),
        state,
    };
    let older = StateId {
        accepted_term: term(1, 3),
        version: 3,
        ..StateId::default()
    };
    for (from, expected) in [(1, false), (4, true)] {
        let mut machine = Consensus::new(founder(2), hard_state.clone(), 0.0, 7, CONSENSUS_CONFIG);
        let pre_vote_request = ConsensusMessage::PreVoteRequest {
            term: term(5, from),
            last_state: older,
        };
        let outputs = receive(&mut machine, 9.0, from, pre_vote_request);
        let granted = |message: &ConsensusMessage| {
            matches!(
                message,
                ConsensusMessage::PreVoteResponse { granted: true, .. }
            )
        };
        assert_eq!(sends(&outputs, granted), expected, "{outputs:?}");
    }
}

/// A state that arrives after a newer one of the same leader is ignored.
#[test]
fn outdated_append_request_does_not_replace_a_newer_state() {
    let mut machine = follower(&[1, 2, 3]);
    let state = |version| {
        Rc::new(State {
            version,
            ..State::founding(vec![1, 2, 3])
        })
    };
    let append_request = |version| ConsensusMessage::AppendRequest {
        term: term(4, 3),
        payload: StatePayload::Snapshot(state(version)),
    };
    assert!(receive(&mut machine, 5.0, 3, append_request(8)).contains(&ConsensusOutput::Persist));
    complete_write(&mut machine, 5.0);
    let outputs = receive(&mut machine, 5.1, 3, append_request(7));
    assert!(!outputs.contains(&ConsensusOutput::Persist), "{outputs:?}");
    // The response reports the newer state that the machine has.
    let reports_newer_state = |message: &ConsensusMessage| match message {
        ConsensusMessage::AppendResponse { last_state, .. } => last_state.version == 8,
        _ => false,
    };
    assert!(
        sends(&outputs, reports_newer_state) && machine.hard_state().state.version == 8,
        "{outputs:?}"
    );
}

/// Returns machine 2 after its election by two votes, including its own, and its term. The state
/// that it adopted is not committed yet.
fn elected_leader() -> (Consensus, Term) {
    let mut machine = follower(&[1, 2, 3]);
    let mut outputs = Vec::new();
    machine.tick(5.0, &mut outputs);
    let pre_vote_term = outputs.iter().find_map(|output| match output {
        ConsensusOutput::Send(_, ConsensusMessage::PreVoteRequest { term, .. }) => Some(*term),
        _ => None,
    });
    let term = pre_vote_term.expect("the machine sends a pre-vote request");
    let granted = ConsensusMessage::PreVoteResponse {
        term,
        granted: true,
        voted_term: Term::default(),
    };
    receive(&mut machine, 5.0, 1, granted);
    complete_write(&mut machine, 5.0);
    let last_state = state_id(machine.hard_state());
    receive(
        &mut machine,
        5.0,
        1,
        ConsensusMessage::VoteResponse {
            term,
            last_state,
            newer_state: None,
        },
    );
    complete_write(&mut machine, 5.0);
    (machine, term)
}

/// An elected leader may act only once the state that it adopted is committed in its term. Answered
/// heartbeats alone are not enough.
#[test]
fn no_authority_before_the_first_commit() {
    let (mut machine, term) = elected_leader();
    let outdated = StateId::default();
    let heartbeat_response = |last_state| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at: 5.0,
        answered_at: 1.0,
        last_state,
    };
    receive(&mut machine, 5.1, 1, heartbeat_response(outdated));
    assert_eq!(
        (machine.authority_until(), machine.leader_term()),
        (f64::NEG_INFINITY, None)
    );
    let last_state = state_id(machine.hard_state());
    receive(
        &mut machine,
        5.2,
        1,
        ConsensusMessage::AppendResponse { term, last_state },
    );
    assert_eq!(
        (machine.authority_until(), machine.leader_term()),
        (5.0 + CONSENSUS_CONFIG.election_timeout_s, Some(term))
    );
}

/// A response to a heartbeat of an earlier term must not extend the lease, because its sender may
/// have voted for another leader since.
#[test]
fn heartbeat_response_of_an_earlier_term_does_not_extend_the_lease() {
    let (mut machine, term) = elected_leader();
    let last_state = state_id(machine.hard_state());
    receive(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::AppendResponse { term, last_state },
    );
    let heartbeat_response = |term, heartbeat_sent_at| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at,
        answered_at: 1.0,
        last_state,
    };
    receive(&mut machine, 5.2, 1, heartbeat_response(term, 5.0));
    receive(
        &mut machine,
        5.4,
        1,
        heartbeat_response(Term(term.0 - 1), 5.3),
    );
    assert_eq!(
        machine.authority_until(),
        5.0 + CONSENSUS_CONFIG.election_timeout_s
    );
    receive(&mut machine, 5.4, 1, heartbeat_response(term, 5.3));
    assert_eq!(
        machine.authority_until(),
        5.3 + CONSENSUS_CONFIG.election_timeout_s
    );
}

/// If another machine becomes the leader, a follower no longer counts as in contact until the new
/// leader confirms it.
#[test]
fn contact_ends_with_the_leader_that_confirmed_it() {
    let mut machine = follower(&[1, 2, 3]);
    let confirming_heartbeat = |term, confirmed_at| ConsensusMessage::Heartbeat {
        term,
        sent_at: 1.0,
        confirmed_answer_at: Some(confirmed_at),
    };
    receive(&mut machine, 9.0, 3, confirming_heartbeat(term(2, 3), 8.9));
    complete_write(&mut machine, 9.0);
    assert!(machine.in_contact(9.1));
    receive(&mut machine, 9.2, 1, heartbeat(term(3, 1), 4.0));
    complete_write(&mut machine, 9.2);
    assert!(!machine.in_contact(9.3));
    receive(&mut machine, 9.4, 1, confirming_heartbeat(term(3, 1), 9.3));
    assert!(machine.in_contact(9.5));
}

/// A state in flight isn't sent again, no matter how many heartbeats are answered meanwhile. It is
/// sent again only when a machine that doesn't have it answers a heartbeat that was sent after it.
#[test]
fn state_in_flight_is_not_sent_again() {
    let (mut machine, term) = elected_leader();
    let outdated = StateId::default();
    let heartbeat_response = |heartbeat_sent_at| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at,
        answered_at: 1.0,
        last_state: outdated,
    };
    let sends_state = |outputs: &[ConsensusOutput]| {
        sends(outputs, |message| {
            matches!(message, ConsensusMessage::AppendRequest { .. })
        })
    };
    // The state was sent at the election.
    for _ in 0..5 {
        assert!(!sends_state(&receive(
            &mut machine,
            5.1,
            1,
            heartbeat_response(5.0)
        )));
    }
    assert!(
        sends_state(&receive(&mut machine, 5.3, 1, heartbeat_response(5.2))),
        "a later heartbeat arrived, but the state did not"
    );
    assert!(!sends_state(&receive(
        &mut machine,
        5.4,
        1,
        heartbeat_response(5.25)
    )));
}

/// No message is processed while a write is in flight, because a response must not rely on a state
/// that may never reach the disk.
#[test]
fn no_message_is_processed_during_a_write() {
    let mut machine = follower(&[1, 2, 3]);
    let vote_request = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: state_id(machine.hard_state()),
    };
    receive(&mut machine, 5.0, 1, vote_request);
    let before = machine.hard_state().clone();
    assert!(receive(&mut machine, 5.0, 3, heartbeat(term(7, 3), 1.0)).is_empty());
    assert_eq!(machine.hard_state(), &before);
    complete_write(&mut machine, 5.1);
    assert_eq!(
        receive(&mut machine, 5.1, 3, heartbeat(term(7, 3), 1.1)),
        [ConsensusOutput::Persist]
    );
}

/// Messages of a leader whose term is below the voted term are rejected, and that leader is not
/// followed.
#[test]
fn leader_of_a_lower_term_is_rejected() {
    let mut machine = follower(&[1, 2, 3]);
    receive(&mut machine, 9.0, 3, heartbeat(term(4, 3), 1.0));
    complete_write(&mut machine, 9.0);
    let state = Rc::new(State {
        version: 8,
        ..State::founding(vec![1, 2, 3])
    });
    let append_request = ConsensusMessage::AppendRequest {
        term: term(3, 1),
        payload: StatePayload::Snapshot(state),
    };
    for outdated in [append_request, heartbeat(term(3, 1), 5.0)] {
        let outputs = receive(&mut machine, 9.1, 1, outdated);
        assert!(
            sends(&outputs, is_rejection) && !outputs.contains(&ConsensusOutput::Persist),
            "{outputs:?}"
        );
        assert_eq!(
            (machine.leader(), machine.hard_state().state.version),
            (Some(founder(3)), 0)
        );
    }
}

/// A leader steps down when its term is rejected because of a vote for a higher term. A rejection
/// of one of its earlier terms has no effect.
#[test]
fn leader_steps_down_for_a_higher_voted_term() {
    let (mut machine, term) = elected_leader();
    let last_state = state_id(machine.hard_state());
    receive(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::AppendResponse { term, last_state },
    );
    let rejection = |term| ConsensusMessage::TermRejected {
        term,
        voted_term: Term(term.0 + 7),
    };
    receive(&mut machine, 5.2, 3, rejection(Term(term.0 - 1)));
    assert!(machine.leader_term().is_some());
    receive(&mut machine, 5.3, 3, rejection(term));
    assert_eq!(
        (machine.leader_term(), machine.authority_until()),
        (None, f64::NEG_INFINITY)
    );
}

/// A message to a voter must not be processed by another incarnation at the same address.
#[test]
fn message_to_a_voter_is_for_one_incarnation_only() {
    let recipient = Voter {
        node: 2,
        incarnation: 7,
    };
    let other = Voter {
        node: 2,
        incarnation: 8,
    };
    assert!(
        Recipient::Voter(recipient).matches(recipient)
            && !Recipient::Voter(recipient).matches(other)
    );
    assert!(Recipient::Node(2).matches(other) && !Recipient::Node(3).matches(other));
}
