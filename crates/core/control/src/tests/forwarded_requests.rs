//! One caller for an answer: calls that a control machine passes on to the leader.

use super::fleet::timing;
use crate::consensus::{ConsensusMessage, HardState};
use crate::controller::{ControlRequest, Controller, Output};
use crate::message::{LeaderRequest, PeerMessage, RequestId};
use crate::state::{ConfigPayload, State};
use crate::voter_set::{FOUNDING_INCARNATION, Voter};
use crate::{Recipient, Term};
use std::rc::Rc;

fn voter(node: u32) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    }
}

const LIFE: u64 = 77;

/// Machine 2, which follows machine 1.
fn follower() -> Controller {
    let record = HardState {
        state: Rc::new(State::founding(vec![1, 2, 3])),
        ..HardState::default()
    };
    let mut controller = Controller::new(voter(2), record, 0.0, LIFE, timing());
    let heartbeat = ConsensusMessage::Heartbeat {
        term: Term(1 << 32 | 1),
        sent_at: 0.0,
        confirmed_answer_at: None,
    };
    controller.handle_peer_message(0.1, voter(1), PeerMessage::Consensus(heartbeat));
    controller.persisted(0.1);
    controller
}

fn passed_on(out: &[Output]) -> (RequestId, LeaderRequest) {
    let call = out.iter().find_map(|one| match one {
        Output::SendToPeer(
            Recipient::Voter(to),
            PeerMessage::ForwardedRequest { id, request: call },
        ) if *to == voter(1) => Some((*id, call.clone())),
        _ => None,
    });
    call.expect("it is passed on to the leader")
}

fn answer(id: RequestId, status: u16) -> PeerMessage {
    PeerMessage::ForwardedResponse {
        id,
        status,
        body: Rc::from(*b"x"),
    }
}

fn replies(out: &[Output]) -> Vec<(u64, u16)> {
    let reply = |one: &Output| match one {
        Output::Respond(call, answer) => Some((*call, answer.status)),
        _ => None,
    };
    out.iter().filter_map(reply).collect()
}

#[test]
fn an_answer_is_taken_from_whom_was_asked_in_that_life_for_that_call() {
    let mut controller = follower();
    let (first, _) = passed_on(&controller.handle_request(0.2, 501, ControlRequest::ReadConfig));
    let (second, _) = passed_on(&controller.handle_request(0.2, 502, ControlRequest::ReadConfig));
    assert_ne!(first, second);
    let other_life = RequestId {
        process_incarnation: LIFE + 1,
        ..first
    };
    let wiped = Voter {
        node: 1,
        incarnation: 9,
    };
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, voter(3), answer(first, 200))),
        [],
        "from another machine"
    );
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, wiped, answer(first, 200))),
        [],
        "from another incarnation"
    );
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, voter(1), answer(other_life, 200))),
        [],
        "of a life before"
    );
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, voter(1), answer(second, 412))),
        [(502, 412)]
    );
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, voter(1), answer(second, 200))),
        [],
        "once only"
    );
    assert_eq!(
        replies(&controller.handle_peer_message(0.3, voter(1), answer(first, 200))),
        [(501, 200)]
    );
}

#[test]
fn a_call_without_an_answer_is_told_so_within_the_second() {
    let mut controller = follower();
    let (id, _) = passed_on(&controller.handle_request(0.2, 501, ControlRequest::ReadConfig));
    let late = controller.tick(1.15);
    assert_eq!(replies(&late), [(501, 503)]);
    assert_eq!(
        replies(&controller.handle_peer_message(1.2, voter(1), answer(id, 200))),
        [],
        "it was answered already"
    );
}

/// The text of an order goes as a difference; whole where the leader asks for that, and only the leader.
#[test]
fn an_order_is_sent_whole_on_request() {
    let mut controller = follower();
    let body: Rc<[u8]> = Rc::from(*b"{\"epoch\":5}");
    let (id, _) = passed_on(&controller.handle_request(
        0.2,
        501,
        ControlRequest::ReplaceConfig {
            base_epoch: 0,
            epoch: 5,
            body: body.clone(),
        },
    ));
    assert!(
        controller
            .handle_peer_message(0.3, voter(3), PeerMessage::FullConfigRequest { id })
            .is_empty()
    );
    let (again, call) = passed_on(&controller.handle_peer_message(
        0.3,
        voter(1),
        PeerMessage::FullConfigRequest { id },
    ));
    assert_eq!(
        (again, call),
        (
            id,
            LeaderRequest::ReplaceConfig {
                base_epoch: 0,
                epoch: 5,
                config: ConfigPayload::Full(body)
            }
        )
    );
}
