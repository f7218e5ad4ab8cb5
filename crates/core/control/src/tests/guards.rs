//! What one machine answers to one message, where a run of several machines would need a rare order of messages to show it.

use super::net::Net;
use crate::consensus::{
    Consensus, ConsensusConfig, ConsensusMessage, ConsensusOutput, HardState, Recipient, StateId,
    StatePayload,
};
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter};
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

fn term(round: u64, node: NodeId) -> Term {
    (0..round).fold(Term::default(), |term, _| term.next_for(node))
}

fn holds_of(record: &HardState) -> StateId {
    StateId {
        accepted_term: record.accepted_term,
        version: record.state.version,
        digest: record.state.digest(),
    }
}

/// Machine 2 of these voters, a follower that has heard nobody yet.
fn follower(nodes: &[NodeId]) -> Consensus {
    let state = Rc::new(State::founding(nodes.to_vec()));
    Consensus::new(
        founder(2),
        HardState {
            state,
            ..HardState::default()
        },
        0.0,
        7,
        TIMING,
    )
}

fn hear(
    consensus: &mut Consensus,
    now: f64,
    from: NodeId,
    message: ConsensusMessage,
) -> Vec<ConsensusOutput> {
    let mut outs = Vec::new();
    consensus.step(now, founder(from), message, &mut outs);
    outs
}

/// All that is sent once the save under way has succeeded.
fn saved(consensus: &mut Consensus, now: f64) -> Vec<ConsensusOutput> {
    let mut outs = Vec::new();
    consensus.persisted(now, &mut outs);
    outs
}

fn heartbeat(term: Term, sent: f64) -> ConsensusMessage {
    ConsensusMessage::Heartbeat {
        term,
        sent_at: sent,
        confirmed_answer_at: None,
    }
}

fn sends(outs: &[ConsensusOutput], is: impl Fn(&ConsensusMessage) -> bool) -> bool {
    outs.iter()
        .any(|out| matches!(out, ConsensusOutput::Send(_, message) if is(message)))
}

fn is_promise(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::VoteResponse { .. })
}

fn is_refusal(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::TermRejected { .. })
}

fn is_ack(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::HeartbeatResponse { .. })
}

/// A canvass that was granted before another machine won may be followed by a candidacy after it: while the winner may act on an
/// answer of this machine, that is refused.
#[test]
fn no_promise_while_a_leader_may_act() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(term(2, 3), 1.0));
    saved(&mut machine, 9.0);
    hear(&mut machine, 10.0, 3, heartbeat(term(2, 3), 2.0));
    let holds = holds_of(machine.hard_state());
    let prepare = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: holds,
    };
    let early = hear(&mut machine, 10.5, 1, prepare.clone());
    assert!(
        sends(&early, is_refusal) && !early.contains(&ConsensusOutput::Persist),
        "{early:?}"
    );
    let late = hear(&mut machine, 10.61, 1, prepare);
    assert!(late.contains(&ConsensusOutput::Persist), "{late:?}");
    assert!(sends(&saved(&mut machine, 10.61), is_promise));
}

/// A promise is given once it is on the disk, and not at all if it can't be saved.
#[test]
fn no_promise_before_its_save() {
    let mut machine = follower(&[1, 2, 3]);
    let prepare = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: holds_of(machine.hard_state()),
    };
    let outs = hear(&mut machine, 5.0, 1, prepare.clone());
    assert_eq!(outs, [ConsensusOutput::Persist]);
    assert!(sends(&saved(&mut machine, 5.0), is_promise));
    let mut full = follower(&[1, 2, 3]);
    hear(&mut full, 5.0, 1, prepare);
    let mut outs = Vec::new();
    full.persist_failed(&mut outs);
    assert!(
        outs.is_empty() && full.hard_state().voted_term == Term::default(),
        "{outs:?}"
    );
}

/// The answer to a heartbeat under a higher ballot says that nothing below is taken any more: that is on the disk first.
#[test]
fn no_answer_under_a_ballot_that_is_not_saved() {
    let mut machine = follower(&[1, 2, 3]);
    let outs = hear(&mut machine, 5.0, 3, heartbeat(term(4, 3), 1.0));
    assert_eq!(outs, [ConsensusOutput::Persist]);
    assert!(sends(&saved(&mut machine, 5.0), is_ack));
    assert!(
        sends(
            &hear(&mut machine, 5.1, 3, heartbeat(term(4, 3), 1.1)),
            is_ack
        ),
        "known by now"
    );
}

/// While a leader's own authority lasts it promises nobody, whatever the others did.
#[test]
fn a_leader_that_may_act_promises_nobody() {
    let mut net = Net::new(3);
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let other = 1 + leader % 3;
    let higher = net.highest().next_for(other);
    let now = net.now;
    let machine = net.at(leader);
    let holds = holds_of(machine.consensus.hard_state());
    let prepare = ConsensusMessage::VoteRequest {
        term: higher,
        last_state: holds,
    };
    let outs = hear(&mut machine.consensus, now, other, prepare);
    assert!(
        sends(&outs, is_refusal) && machine.consensus.leader_term().is_some(),
        "{outs:?}"
    );
}

/// A leader that resigned and won again is not given up for its old resignation, which comes late: another one could win while
/// it acts.
#[test]
fn a_late_resignation_ends_nothing() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(term(4, 3), 1.0));
    saved(&mut machine, 9.0);
    hear(
        &mut machine,
        9.1,
        3,
        ConsensusMessage::Resign { term: term(2, 3) },
    );
    let prepare = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: holds_of(machine.hard_state()),
    };
    assert!(sends(
        &hear(&mut machine, 9.2, 1, prepare.clone()),
        is_refusal
    ));
    // One of its present ballot does.
    hear(
        &mut machine,
        9.3,
        3,
        ConsensusMessage::Resign { term: term(4, 3) },
    );
    assert!(hear(&mut machine, 9.3, 1, prepare).contains(&ConsensusOutput::Persist));
}

/// Who was left out meanwhile, as its older state shows, is granted no canvass; who decides is.
#[test]
fn who_was_left_out_is_granted_no_canvass() {
    let state = Rc::new(State {
        version: 5,
        ..State::founding(vec![2, 3, 4])
    });
    let record = HardState {
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
        let mut machine = Consensus::new(founder(2), record.clone(), 0.0, 7, TIMING);
        let canvass = ConsensusMessage::PreVoteRequest {
            term: term(5, from),
            last_state: older,
        };
        let outs = hear(&mut machine, 9.0, from, canvass);
        let granted = |message: &ConsensusMessage| {
            matches!(
                message,
                ConsensusMessage::PreVoteResponse { granted: true, .. }
            )
        };
        assert_eq!(sends(&outs, granted), expected, "{outs:?}");
    }
}

/// A state of a leader that comes behind a later one of the same leader takes nothing back.
#[test]
fn what_was_overtaken_takes_nothing_back() {
    let mut machine = follower(&[1, 2, 3]);
    let state = |version| {
        Rc::new(State {
            version,
            ..State::founding(vec![1, 2, 3])
        })
    };
    let accept = |version| ConsensusMessage::AppendRequest {
        term: term(4, 3),
        payload: StatePayload::Snapshot(state(version)),
    };
    assert!(hear(&mut machine, 5.0, 3, accept(8)).contains(&ConsensusOutput::Persist));
    saved(&mut machine, 5.0);
    let outs = hear(&mut machine, 5.1, 3, accept(7));
    assert!(!outs.contains(&ConsensusOutput::Persist), "{outs:?}");
    // It says what it has, which is more.
    let has_later = |message: &ConsensusMessage| matches!(message, ConsensusMessage::AppendResponse { last_state: holds, .. } if holds.version == 8);
    assert!(
        sends(&outs, has_later) && machine.hard_state().state.version == 8,
        "{outs:?}"
    );
}

/// Machine 2 after it has won: two promises, its own among them, elect it.
fn winner() -> (Consensus, Term) {
    let mut machine = follower(&[1, 2, 3]);
    let mut outs = Vec::new();
    machine.tick(5.0, &mut outs);
    let asked = outs.iter().find_map(|out| match out {
        ConsensusOutput::Send(_, ConsensusMessage::PreVoteRequest { term, .. }) => Some(*term),
        _ => None,
    });
    let term = asked.expect("it asks whether to stand");
    let granted = ConsensusMessage::PreVoteResponse {
        term,
        granted: true,
        voted_term: Term::default(),
    };
    hear(&mut machine, 5.0, 1, granted);
    saved(&mut machine, 5.0);
    let holds = holds_of(machine.hard_state());
    hear(
        &mut machine,
        5.0,
        1,
        ConsensusMessage::VoteResponse {
            term,
            last_state: holds,
            newer_state: None,
        },
    );
    saved(&mut machine, 5.0);
    (machine, term)
}

/// Whoever has won acts once what it found is agreed on under its ballot, not when it is merely heard.
#[test]
fn no_authority_before_what_was_found_is_agreed_on() {
    let (mut machine, term) = winner();
    let before = StateId::default();
    let ack = |holds| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at: 5.0,
        answered_at: 1.0,
        last_state: holds,
    };
    hear(&mut machine, 5.1, 1, ack(before));
    assert_eq!(
        (machine.authority_until(), machine.leader_term()),
        (f64::NEG_INFINITY, None)
    );
    let holds = holds_of(machine.hard_state());
    hear(
        &mut machine,
        5.2,
        1,
        ConsensusMessage::AppendResponse {
            term,
            last_state: holds,
        },
    );
    assert_eq!(
        (machine.authority_until(), machine.leader_term()),
        (5.0 + TIMING.election_timeout, Some(term))
    );
}

/// An answer to a heartbeat of an earlier ballot prolongs nothing: whoever gave it may have promised another one since.
#[test]
fn an_answer_counts_under_its_ballot() {
    let (mut machine, term) = winner();
    let holds = holds_of(machine.hard_state());
    hear(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::AppendResponse {
            term,
            last_state: holds,
        },
    );
    let ack = |term, sent| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at: sent,
        answered_at: 1.0,
        last_state: holds,
    };
    hear(&mut machine, 5.2, 1, ack(term, 5.0));
    hear(&mut machine, 5.4, 1, ack(Term(term.0 - 1), 5.3));
    assert_eq!(machine.authority_until(), 5.0 + TIMING.election_timeout);
    hear(&mut machine, 5.4, 1, ack(term, 5.3));
    assert_eq!(machine.authority_until(), 5.3 + TIMING.election_timeout);
}

/// What a leader confirmed is no contact under the next one, before that one confirms something.
#[test]
fn contact_ends_with_the_leader_that_confirmed_it() {
    let mut machine = follower(&[1, 2, 3]);
    let confirming = |term, at| ConsensusMessage::Heartbeat {
        term,
        sent_at: 1.0,
        confirmed_answer_at: Some(at),
    };
    hear(&mut machine, 9.0, 3, confirming(term(2, 3), 8.9));
    saved(&mut machine, 9.0);
    assert!(machine.in_contact(9.1));
    hear(&mut machine, 9.2, 1, heartbeat(term(3, 1), 4.0));
    saved(&mut machine, 9.2);
    assert!(!machine.in_contact(9.3));
    hear(&mut machine, 9.4, 1, confirming(term(3, 1), 9.3));
    assert!(machine.in_contact(9.5));
}

/// A state that is on its way isn't sent again, however many heartbeats are answered meanwhile, before one that was sent behind it
/// is answered without it.
#[test]
fn one_transfer_is_under_way_at_a_time() {
    let (mut machine, term) = winner();
    let lacks = StateId::default();
    let ack = |sent| ConsensusMessage::HeartbeatResponse {
        term,
        heartbeat_sent_at: sent,
        answered_at: 1.0,
        last_state: lacks,
    };
    let transfers = |outs: &[ConsensusOutput]| {
        sends(outs, |message| {
            matches!(message, ConsensusMessage::AppendRequest { .. })
        })
    };
    // It was sent with the victory.
    for _ in 0..5 {
        assert!(!transfers(&hear(&mut machine, 5.1, 1, ack(5.0))));
    }
    assert!(
        transfers(&hear(&mut machine, 5.3, 1, ack(5.2))),
        "a later heartbeat came through, and it didn't"
    );
    assert!(!transfers(&hear(&mut machine, 5.4, 1, ack(5.25))));
}

/// While a save is under way nothing is taken in: what is answered must not rely on half of it.
#[test]
fn nothing_is_taken_in_while_a_save_is_under_way() {
    let mut machine = follower(&[1, 2, 3]);
    let prepare = ConsensusMessage::VoteRequest {
        term: term(5, 1),
        last_state: holds_of(machine.hard_state()),
    };
    hear(&mut machine, 5.0, 1, prepare);
    let before = machine.hard_state().clone();
    assert!(hear(&mut machine, 5.0, 3, heartbeat(term(7, 3), 1.0)).is_empty());
    assert_eq!(machine.hard_state(), &before);
    saved(&mut machine, 5.1);
    assert_eq!(
        hear(&mut machine, 5.1, 3, heartbeat(term(7, 3), 1.1)),
        [ConsensusOutput::Persist]
    );
}

/// Nothing is accepted below what was promised, nor is its leader followed.
#[test]
fn nothing_is_accepted_below_the_promise() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(term(4, 3), 1.0));
    saved(&mut machine, 9.0);
    let state = Rc::new(State {
        version: 8,
        ..State::founding(vec![1, 2, 3])
    });
    let accept = ConsensusMessage::AppendRequest {
        term: term(3, 1),
        payload: StatePayload::Snapshot(state),
    };
    for late in [accept, heartbeat(term(3, 1), 5.0)] {
        let outs = hear(&mut machine, 9.1, 1, late);
        assert!(
            sends(&outs, is_refusal) && !outs.contains(&ConsensusOutput::Persist),
            "{outs:?}"
        );
        assert_eq!(
            (machine.leader(), machine.hard_state().state.version),
            (Some(founder(3)), 0)
        );
    }
}

/// A leader that meets a promise above its ballot leads no longer; a refusal of a ballot that is over ends nothing.
#[test]
fn a_higher_promise_ends_a_leader() {
    let (mut machine, term) = winner();
    let holds = holds_of(machine.hard_state());
    hear(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::AppendResponse {
            term,
            last_state: holds,
        },
    );
    let refuse = |term| ConsensusMessage::TermRejected {
        term,
        voted_term: Term(term.0 + 7),
    };
    hear(&mut machine, 5.2, 3, refuse(Term(term.0 - 1)));
    assert!(machine.leader_term().is_some());
    hear(&mut machine, 5.3, 3, refuse(term));
    assert_eq!(
        (machine.leader_term(), machine.authority_until()),
        (None, f64::NEG_INFINITY)
    );
}

/// What is for a voter is for no other incarnation at its address.
#[test]
fn a_message_is_for_one_incarnation() {
    let meant = Voter {
        node: 2,
        incarnation: 7,
    };
    let other = Voter {
        node: 2,
        incarnation: 8,
    };
    assert!(Recipient::Voter(meant).is(meant) && !Recipient::Voter(meant).is(other));
    assert!(Recipient::Node(2).is(other) && !Recipient::Node(3).is(other));
}
