//! The steps of one machine, message by message: rules that a run of several machines would show
//! only with a rare order of messages.

use super::common::{CONSENSUS_CONFIG, founder, founding_hard_state, state_id, term};
use super::network::Network;
use crate::consensus::{
    Consensus, ConsensusMessage, ConsensusOutput, HardState, Recipient, StateId, StatePayload,
};
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use std::rc::Rc;

/// Machine 2 of these voters, a follower that has received nothing yet.
fn follower(nodes: &[NodeId]) -> Consensus {
    let disk = founding_hard_state(nodes);
    Consensus::new(founder(2), disk, 0.0, 7, CONSENSUS_CONFIG)
}

/// Lets a message arrive; a write that it needs is left in flight.
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

/// Completes the write in flight.
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

/// A pre-vote that was granted before another machine was elected may be followed by a vote request
/// after it. The request is rejected while the leader may rely on an answer of this machine.
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

/// A vote is sent once it is on disk, and not at all if the write fails.
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

/// The answer to a heartbeat of a higher term says that lower terms are rejected from now on, so
/// the term is on disk first.
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
        "the term is on disk by now"
    );
}

/// A leader votes for nobody during its own lease, whatever the others did.
#[test]
fn leader_does_not_vote_during_its_lease() {
    let mut network = Network::new(3);
    network.run(1.0);
    let leader = network.leader().expect("a leader");
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

/// A leader resigned and was elected again, and its resignation arrives late: it is still
/// supported, as another machine could be elected during its lease otherwise.
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
    // One of its present term has.
    receive(
        &mut machine,
        9.3,
        3,
        ConsensusMessage::Resign { term: term(4, 3) },
    );
    assert!(receive(&mut machine, 9.3, 1, vote_request).contains(&ConsensusOutput::Persist));
}

/// A machine that was removed from the voters, as its older state shows, is granted no pre-vote; a
/// voter is.
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

/// A state that arrives after a newer one of the same leader has no effect.
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
    // It reports the newer state that it has.
    let reports_newer_state = |message: &ConsensusMessage| match message {
        ConsensusMessage::AppendResponse { last_state, .. } => last_state.version == 8,
        _ => false,
    };
    assert!(
        sends(&outputs, reports_newer_state) && machine.hard_state().state.version == 8,
        "{outputs:?}"
    );
}

/// Machine 2 after its election by two votes, its own among them; the state that it found isn't
/// committed yet.
fn elected_leader() -> (Consensus, Term) {
    let mut machine = follower(&[1, 2, 3]);
    let mut outputs = Vec::new();
    machine.tick(5.0, &mut outputs);
    let pre_vote_term = outputs.iter().find_map(|output| match output {
        ConsensusOutput::Send(_, ConsensusMessage::PreVoteRequest { term, .. }) => Some(*term),
        _ => None,
    });
    let term = pre_vote_term.expect("a pre-vote request");
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

/// An elected leader may act once the state that it found is committed under its term, not already
/// when it is answered.
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

/// An answer to a heartbeat of an earlier term doesn't extend the lease: its sender may have voted
/// for another leader since.
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

/// Contact that one leader confirmed ends when another one leads, until that one confirms contact
/// itself.
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

/// A state in flight isn't sent again, however many heartbeats are answered meanwhile, until a
/// heartbeat that was sent after it is answered by a machine without it.
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
        "a later heartbeat arrived, and the state didn't"
    );
    assert!(!sends_state(&receive(
        &mut machine,
        5.4,
        1,
        heartbeat_response(5.25)
    )));
}

/// No message is processed while a write is in flight, as its answer must not rely on a state that
/// may not reach the disk.
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

/// Messages of a leader whose term is below the voted one are rejected, and it is not followed.
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

/// A leader gives way to a vote for a higher term; a rejection of an earlier term of its own has no
/// effect.
#[test]
fn leader_gives_way_to_a_higher_voted_term() {
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

/// A message to a voter is for no other incarnation at its address.
#[test]
fn message_is_for_one_incarnation() {
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
