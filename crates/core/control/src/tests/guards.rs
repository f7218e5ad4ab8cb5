//! What one machine answers to one message, where a run of several machines would need a rare order of messages to show it.

use super::net::Net;
use crate::ballot::Ballot;
use crate::consensus::{
    Consensus, ConsensusMessage, ConsensusOutput, ConsensusTiming, Content, Holds, Recipient,
    Record,
};
use crate::membership::{FOUNDING, Node, Voter};
use crate::state::State;
use std::rc::Rc;

const TIMING: ConsensusTiming = ConsensusTiming {
    suspect: 0.6,
    contact: 1.0,
};

fn founder(node: Node) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING,
    }
}

fn ballot(round: u64, node: Node) -> Ballot {
    (0..round).fold(Ballot::default(), |ballot, _| ballot.above(node))
}

fn holds_of(record: &Record) -> Holds {
    Holds {
        accepted: record.accepted,
        seq: record.state.seq,
        digest: record.state.digest(),
    }
}

/// Machine 2 of these voters, a follower that has heard nobody yet.
fn follower(nodes: &[Node]) -> Consensus {
    let state = Rc::new(State::first(nodes.to_vec()));
    Consensus::new(
        founder(2),
        Record {
            state,
            ..Record::default()
        },
        0.0,
        7,
        TIMING,
    )
}

fn hear(
    consensus: &mut Consensus,
    now: f64,
    from: Node,
    message: ConsensusMessage,
) -> Vec<ConsensusOutput> {
    let mut outs = Vec::new();
    consensus.message(now, founder(from), message, &mut outs);
    outs
}

/// All that is sent once the save under way has succeeded.
fn saved(consensus: &mut Consensus, now: f64) -> Vec<ConsensusOutput> {
    let mut outs = Vec::new();
    consensus.saved(now, &mut outs);
    outs
}

fn heartbeat(ballot: Ballot, sent: f64) -> ConsensusMessage {
    ConsensusMessage::Heartbeat {
        ballot,
        sent,
        confirms: None,
    }
}

fn sends(outs: &[ConsensusOutput], is: impl Fn(&ConsensusMessage) -> bool) -> bool {
    outs.iter()
        .any(|out| matches!(out, ConsensusOutput::Send(_, message) if is(message)))
}

fn is_promise(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::Promise { .. })
}

fn is_refusal(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::Refuse { .. })
}

fn is_ack(message: &ConsensusMessage) -> bool {
    matches!(message, ConsensusMessage::HeartbeatAck { .. })
}

/// A canvass that was granted before another machine won may be followed by a candidacy after it: while the winner may act on an
/// answer of this machine, that is refused.
#[test]
fn no_promise_while_a_leader_may_act() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(ballot(2, 3), 1.0));
    saved(&mut machine, 9.0);
    hear(&mut machine, 10.0, 3, heartbeat(ballot(2, 3), 2.0));
    let holds = holds_of(machine.record());
    let prepare = ConsensusMessage::Prepare {
        ballot: ballot(5, 1),
        holds,
    };
    let early = hear(&mut machine, 10.5, 1, prepare.clone());
    assert!(
        sends(&early, is_refusal) && !early.contains(&ConsensusOutput::Save),
        "{early:?}"
    );
    let late = hear(&mut machine, 10.61, 1, prepare);
    assert!(late.contains(&ConsensusOutput::Save), "{late:?}");
    assert!(sends(&saved(&mut machine, 10.61), is_promise));
}

/// A promise is given once it is on the disk, and not at all if it can't be saved.
#[test]
fn no_promise_before_its_save() {
    let mut machine = follower(&[1, 2, 3]);
    let prepare = ConsensusMessage::Prepare {
        ballot: ballot(5, 1),
        holds: holds_of(machine.record()),
    };
    let outs = hear(&mut machine, 5.0, 1, prepare.clone());
    assert_eq!(outs, [ConsensusOutput::Save]);
    assert!(sends(&saved(&mut machine, 5.0), is_promise));
    let mut full = follower(&[1, 2, 3]);
    hear(&mut full, 5.0, 1, prepare);
    let mut outs = Vec::new();
    full.save_failed(&mut outs);
    assert!(
        outs.is_empty() && full.record().promised == Ballot::default(),
        "{outs:?}"
    );
}

/// The answer to a heartbeat under a higher ballot says that nothing below is taken any more: that is on the disk first.
#[test]
fn no_answer_under_a_ballot_that_is_not_saved() {
    let mut machine = follower(&[1, 2, 3]);
    let outs = hear(&mut machine, 5.0, 3, heartbeat(ballot(4, 3), 1.0));
    assert_eq!(outs, [ConsensusOutput::Save]);
    assert!(sends(&saved(&mut machine, 5.0), is_ack));
    assert!(
        sends(
            &hear(&mut machine, 5.1, 3, heartbeat(ballot(4, 3), 1.1)),
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
    let higher = net.highest().above(other);
    let now = net.now;
    let machine = net.at(leader);
    let holds = holds_of(machine.consensus.record());
    let prepare = ConsensusMessage::Prepare {
        ballot: higher,
        holds,
    };
    let outs = hear(&mut machine.consensus, now, other, prepare);
    assert!(
        sends(&outs, is_refusal) && machine.consensus.leads().is_some(),
        "{outs:?}"
    );
}

/// A leader that resigned and won again is not given up for its old resignation, which comes late: another one could win while
/// it acts.
#[test]
fn a_late_resignation_ends_nothing() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(ballot(4, 3), 1.0));
    saved(&mut machine, 9.0);
    hear(
        &mut machine,
        9.1,
        3,
        ConsensusMessage::Resign {
            ballot: ballot(2, 3),
        },
    );
    let prepare = ConsensusMessage::Prepare {
        ballot: ballot(5, 1),
        holds: holds_of(machine.record()),
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
        ConsensusMessage::Resign {
            ballot: ballot(4, 3),
        },
    );
    assert!(hear(&mut machine, 9.3, 1, prepare).contains(&ConsensusOutput::Save));
}

/// Who was left out meanwhile, as its older state shows, is granted no canvass; who decides is.
#[test]
fn who_was_left_out_is_granted_no_canvass() {
    let state = Rc::new(State {
        seq: 5,
        ..State::first(vec![2, 3, 4])
    });
    let record = Record {
        promised: ballot(2, 3),
        accepted: ballot(2, 3),
        state,
    };
    let older = Holds {
        accepted: ballot(1, 3),
        seq: 3,
        ..Holds::default()
    };
    for (from, expected) in [(1, false), (4, true)] {
        let mut machine = Consensus::new(founder(2), record.clone(), 0.0, 7, TIMING);
        let canvass = ConsensusMessage::Canvass {
            ballot: ballot(5, from),
            holds: older,
        };
        let outs = hear(&mut machine, 9.0, from, canvass);
        let granted = |message: &ConsensusMessage| {
            matches!(message, ConsensusMessage::Canvassed { granted: true, .. })
        };
        assert_eq!(sends(&outs, granted), expected, "{outs:?}");
    }
}

/// A state of a leader that comes behind a later one of the same leader takes nothing back.
#[test]
fn what_was_overtaken_takes_nothing_back() {
    let mut machine = follower(&[1, 2, 3]);
    let state = |seq| {
        Rc::new(State {
            seq,
            ..State::first(vec![1, 2, 3])
        })
    };
    let accept = |seq| ConsensusMessage::Accept {
        ballot: ballot(4, 3),
        content: Content::Whole(state(seq)),
    };
    assert!(hear(&mut machine, 5.0, 3, accept(8)).contains(&ConsensusOutput::Save));
    saved(&mut machine, 5.0);
    let outs = hear(&mut machine, 5.1, 3, accept(7));
    assert!(!outs.contains(&ConsensusOutput::Save), "{outs:?}");
    // It says what it has, which is more.
    let has_later = |message: &ConsensusMessage| matches!(message, ConsensusMessage::Accepted { holds, .. } if holds.seq == 8);
    assert!(
        sends(&outs, has_later) && machine.record().state.seq == 8,
        "{outs:?}"
    );
}

/// Machine 2 after it has won: two promises, its own among them, elect it.
fn winner() -> (Consensus, Ballot) {
    let mut machine = follower(&[1, 2, 3]);
    let mut outs = Vec::new();
    machine.tick(5.0, &mut outs);
    let asked = outs.iter().find_map(|out| match out {
        ConsensusOutput::Send(_, ConsensusMessage::Canvass { ballot, .. }) => Some(*ballot),
        _ => None,
    });
    let ballot = asked.expect("it asks whether to stand");
    let granted = ConsensusMessage::Canvassed {
        ballot,
        granted: true,
        promised: Ballot::default(),
    };
    hear(&mut machine, 5.0, 1, granted);
    saved(&mut machine, 5.0);
    let holds = holds_of(machine.record());
    hear(
        &mut machine,
        5.0,
        1,
        ConsensusMessage::Promise {
            ballot,
            holds,
            newer: None,
        },
    );
    saved(&mut machine, 5.0);
    (machine, ballot)
}

/// Whoever has won acts once what it found is agreed on under its ballot, not when it is merely heard.
#[test]
fn no_authority_before_what_was_found_is_agreed_on() {
    let (mut machine, ballot) = winner();
    let before = Holds::default();
    let ack = |holds| ConsensusMessage::HeartbeatAck {
        ballot,
        sent: 5.0,
        at: 1.0,
        holds,
    };
    hear(&mut machine, 5.1, 1, ack(before));
    assert_eq!(
        (machine.authority(), machine.leads()),
        (f64::NEG_INFINITY, None)
    );
    let holds = holds_of(machine.record());
    hear(
        &mut machine,
        5.2,
        1,
        ConsensusMessage::Accepted { ballot, holds },
    );
    assert_eq!(
        (machine.authority(), machine.leads()),
        (5.0 + TIMING.suspect, Some(ballot))
    );
}

/// An answer to a heartbeat of an earlier ballot prolongs nothing: whoever gave it may have promised another one since.
#[test]
fn an_answer_counts_under_its_ballot() {
    let (mut machine, ballot) = winner();
    let holds = holds_of(machine.record());
    hear(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::Accepted { ballot, holds },
    );
    let ack = |ballot, sent| ConsensusMessage::HeartbeatAck {
        ballot,
        sent,
        at: 1.0,
        holds,
    };
    hear(&mut machine, 5.2, 1, ack(ballot, 5.0));
    hear(&mut machine, 5.4, 1, ack(Ballot(ballot.0 - 1), 5.3));
    assert_eq!(machine.authority(), 5.0 + TIMING.suspect);
    hear(&mut machine, 5.4, 1, ack(ballot, 5.3));
    assert_eq!(machine.authority(), 5.3 + TIMING.suspect);
}

/// What a leader confirmed is no contact under the next one, before that one confirms something.
#[test]
fn contact_ends_with_the_leader_that_confirmed_it() {
    let mut machine = follower(&[1, 2, 3]);
    let confirming = |ballot, at| ConsensusMessage::Heartbeat {
        ballot,
        sent: 1.0,
        confirms: Some(at),
    };
    hear(&mut machine, 9.0, 3, confirming(ballot(2, 3), 8.9));
    saved(&mut machine, 9.0);
    assert!(machine.in_contact(9.1));
    hear(&mut machine, 9.2, 1, heartbeat(ballot(3, 1), 4.0));
    saved(&mut machine, 9.2);
    assert!(!machine.in_contact(9.3));
    hear(&mut machine, 9.4, 1, confirming(ballot(3, 1), 9.3));
    assert!(machine.in_contact(9.5));
}

/// A state that is on its way isn't sent again, however many heartbeats are answered meanwhile, before one that was sent behind it
/// is answered without it.
#[test]
fn one_transfer_is_under_way_at_a_time() {
    let (mut machine, ballot) = winner();
    let lacks = Holds::default();
    let ack = |sent| ConsensusMessage::HeartbeatAck {
        ballot,
        sent,
        at: 1.0,
        holds: lacks,
    };
    let transfers = |outs: &[ConsensusOutput]| {
        sends(outs, |message| {
            matches!(message, ConsensusMessage::Accept { .. })
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
    let prepare = ConsensusMessage::Prepare {
        ballot: ballot(5, 1),
        holds: holds_of(machine.record()),
    };
    hear(&mut machine, 5.0, 1, prepare);
    let before = machine.record().clone();
    assert!(hear(&mut machine, 5.0, 3, heartbeat(ballot(7, 3), 1.0)).is_empty());
    assert_eq!(machine.record(), &before);
    saved(&mut machine, 5.1);
    assert_eq!(
        hear(&mut machine, 5.1, 3, heartbeat(ballot(7, 3), 1.1)),
        [ConsensusOutput::Save]
    );
}

/// Nothing is accepted below what was promised, nor is its leader followed.
#[test]
fn nothing_is_accepted_below_the_promise() {
    let mut machine = follower(&[1, 2, 3]);
    hear(&mut machine, 9.0, 3, heartbeat(ballot(4, 3), 1.0));
    saved(&mut machine, 9.0);
    let state = Rc::new(State {
        seq: 8,
        ..State::first(vec![1, 2, 3])
    });
    let accept = ConsensusMessage::Accept {
        ballot: ballot(3, 1),
        content: Content::Whole(state),
    };
    for late in [accept, heartbeat(ballot(3, 1), 5.0)] {
        let outs = hear(&mut machine, 9.1, 1, late);
        assert!(
            sends(&outs, is_refusal) && !outs.contains(&ConsensusOutput::Save),
            "{outs:?}"
        );
        assert_eq!(
            (machine.leader(), machine.record().state.seq),
            (Some(founder(3)), 0)
        );
    }
}

/// A leader that meets a promise above its ballot leads no longer; a refusal of a ballot that is over ends nothing.
#[test]
fn a_higher_promise_ends_a_leader() {
    let (mut machine, ballot) = winner();
    let holds = holds_of(machine.record());
    hear(
        &mut machine,
        5.1,
        1,
        ConsensusMessage::Accepted { ballot, holds },
    );
    let refuse = |ballot| ConsensusMessage::Refuse {
        ballot,
        promised: Ballot(ballot.0 + 7),
    };
    hear(&mut machine, 5.2, 3, refuse(Ballot(ballot.0 - 1)));
    assert!(machine.leads().is_some());
    hear(&mut machine, 5.3, 3, refuse(ballot));
    assert_eq!(
        (machine.leads(), machine.authority()),
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
