//! Requests that a control machine forwards to the leader: each response reaches exactly the client
//! that waits for it.

use super::common::{founder, founding_hard_state};
use super::fleet::timing;
use crate::consensus::ConsensusMessage;
use crate::controller::{ControlRequest, Controller, Output};
use crate::message::{LeaderRequest, PeerMessage, RequestId};
use crate::state::ConfigPayload;
use crate::voter_set::Voter;
use crate::{Recipient, Term};
use std::rc::Rc;

const PROCESS_INCARNATION: u64 = 77;

/// Creates machine 2, which follows machine 1.
fn follower() -> Controller {
    let disk = founding_hard_state(&[1, 2, 3]);
    let mut controller = Controller::new(founder(2), disk, 0.0, PROCESS_INCARNATION, timing());
    let heartbeat = ConsensusMessage::Heartbeat {
        term: Term(1 << 32 | 1),
        sent_at: 0.0,
        confirmed_answer_at: None,
    };
    controller.handle_peer_message(0.1, founder(1), PeerMessage::Consensus(heartbeat));
    controller.persisted(0.1);
    controller
}

/// Returns the request that was forwarded to the leader, machine 1.
fn forwarded(outputs: &[Output]) -> (RequestId, LeaderRequest) {
    let forwarded = outputs.iter().find_map(|output| match output {
        Output::SendToPeer(Recipient::Voter(to), PeerMessage::ForwardedRequest { id, request })
            if *to == founder(1) =>
        {
            Some((*id, request.clone()))
        }
        _ => None,
    });
    forwarded.expect("a request forwarded to the leader")
}

fn response(id: RequestId, status: u16) -> PeerMessage {
    PeerMessage::ForwardedResponse {
        id,
        status,
        body: Rc::from(*b"x"),
    }
}

/// Returns the ids of the answered client requests, with the HTTP status of each response.
fn responses(outputs: &[Output]) -> Vec<(u64, u16)> {
    let response = |output: &Output| match output {
        Output::Respond(request_id, response) => Some((*request_id, response.status)),
        _ => None,
    };
    outputs.iter().filter_map(response).collect()
}

#[test]
fn response_must_match_recipient_incarnation_and_request() {
    let mut controller = follower();
    let (first, _) = forwarded(&controller.handle_request(0.2, 501, ControlRequest::ReadConfig));
    let (second, _) = forwarded(&controller.handle_request(0.2, 502, ControlRequest::ReadConfig));
    assert_ne!(first, second);
    let of_other_incarnation = RequestId {
        process_incarnation: PROCESS_INCARNATION + 1,
        ..first
    };
    let leader_with_new_disk = Voter {
        node: 1,
        incarnation: 9,
    };
    assert_eq!(
        responses(&controller.handle_peer_message(0.3, founder(3), response(first, 200))),
        [],
        "a response from a machine that isn't the leader was accepted"
    );
    assert_eq!(
        responses(&controller.handle_peer_message(0.3, leader_with_new_disk, response(first, 200))),
        [],
        "a response from another incarnation of the leader was accepted"
    );
    assert_eq!(
        responses(&controller.handle_peer_message(
            0.3,
            founder(1),
            response(of_other_incarnation, 200)
        )),
        [],
        "a response to another incarnation of this process was accepted"
    );
    assert_eq!(
        responses(&controller.handle_peer_message(0.3, founder(1), response(second, 412))),
        [(502, 412)]
    );
    assert_eq!(
        responses(&controller.handle_peer_message(0.3, founder(1), response(second, 200))),
        [],
        "a second response to the same request was accepted"
    );
    assert_eq!(
        responses(&controller.handle_peer_message(0.3, founder(1), response(first, 200))),
        [(501, 200)]
    );
}

#[test]
fn forwarded_request_times_out_within_a_second() {
    let mut controller = follower();
    let (id, _) = forwarded(&controller.handle_request(0.2, 501, ControlRequest::ReadConfig));
    let after_timeout = controller.tick(1.15);
    assert_eq!(responses(&after_timeout), [(501, 503)]);
    assert_eq!(
        responses(&controller.handle_peer_message(1.2, founder(1), response(id, 200))),
        [],
        "a response after the timeout was accepted"
    );
}

/// A configuration is forwarded as a delta. It is forwarded again with the complete text if the
/// leader asks for that, but not if another machine does.
#[test]
fn configuration_is_forwarded_in_full_on_request_of_the_leader() {
    let mut controller = follower();
    let body: Rc<[u8]> = Rc::from(*b"{\"epoch\":5}");
    let (id, _) = forwarded(&controller.handle_request(
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
            .handle_peer_message(0.3, founder(3), PeerMessage::FullConfigRequest { id })
            .is_empty()
    );
    let (repeated_id, request) = forwarded(&controller.handle_peer_message(
        0.3,
        founder(1),
        PeerMessage::FullConfigRequest { id },
    ));
    assert_eq!(
        (repeated_id, request),
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
