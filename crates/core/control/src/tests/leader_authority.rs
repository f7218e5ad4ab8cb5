//! A controller that leads three machines, one of which is a follower that answers until a test
//! stops it: what the leader does only while it has authority, and only after it knows enough.

use super::common::{founder, founding_hard_state};
use super::fleet::timing;
use crate::controller::{ControlConfig, ControlRequest, ControlResponse, Controller, Output};
use crate::{
    CommandOutcome, ConsensusMessage, Heartbeat, LeaseRequest, MemberInfo, MemberPhase,
    PeerMessage, Recipient, RouterMessage, ServerCommand, ServerStatus, StateId, Term,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Interval between two ticks of the controller.
const TICK_INTERVAL_S: f64 = 0.02;

/// Machine 1, which leads, and a simulated machine 2, which follows; machine 3 is down.
struct LeaderHarness {
    controller: Controller,
    now: f64,
    /// Whether machine 2 answers consensus messages.
    follower_answers: bool,
    /// Answers of machine 2 that are still to be delivered.
    in_flight: Vec<ConsensusMessage>,
    /// The primary terms at which servers are paused, by server id.
    paused_at: HashMap<String, u64>,
    /// Time from which the primary, `a`, refuses connections.
    refuses_from: f64,
    /// Number of promotion requests to the platform.
    promotions: usize,
    /// Number of updates that were sent to routers.
    updates: usize,
    /// The responses, each with the id of its request.
    responses: Vec<(u64, ControlResponse)>,
    router_messages: Vec<RouterMessage>,
}

impl LeaderHarness {
    /// Creates a leader with the default settings.
    fn new() -> LeaderHarness {
        LeaderHarness::with_config(timing())
    }

    /// Creates a leader with these settings.
    fn with_config(timing: ControlConfig) -> LeaderHarness {
        let disk = founding_hard_state(&[1, 2, 3]);
        let mut leader = LeaderHarness {
            controller: Controller::new(founder(1), disk, 0.0, 7, timing),
            now: 0.0,
            follower_answers: true,
            in_flight: Vec::new(),
            paused_at: HashMap::new(),
            refuses_from: f64::INFINITY,
            promotions: 0,
            updates: 0,
            responses: Vec::new(),
            router_messages: Vec::new(),
        };
        leader.run(1.0);
        assert!(leader.controller.is_leader());
        leader
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_INTERVAL_S;
            let outputs = self.controller.tick(self.now);
            self.perform(outputs);
            for answer in std::mem::take(&mut self.in_flight) {
                let outputs = self.controller.handle_peer_message(
                    self.now,
                    founder(2),
                    PeerMessage::Consensus(answer),
                );
                self.perform(outputs);
            }
        }
    }

    fn perform(&mut self, outputs: Vec<Output>) {
        let mut pending = VecDeque::from(outputs);
        while let Some(output) = pending.pop_front() {
            match output {
                Output::Persist => {
                    let next = self.controller.persisted(self.now);
                    next.into_iter()
                        .rev()
                        .for_each(|output| pending.push_front(output));
                }
                Output::PersistMembers(next) => pending.extend(next),
                Output::SendToPeer(to, PeerMessage::Consensus(message))
                    if self.follower_answers =>
                {
                    self.in_flight.extend(self.follower_answer(to, message));
                }
                Output::SendToPeer(..) => {}
                Output::SendCommand {
                    server_id: id,
                    service,
                    command,
                    ..
                } => self.run_command(&service, &id, command),
                Output::Promote { .. } => self.promotions += 1,
                Output::SendUpdate(..) => self.updates += 1,
                Output::Respond(request, response) => self.responses.push((request, response)),
                Output::SendToRouter(_, message) => self.router_messages.push(message),
            }
        }
    }

    /// Returns the answer of machine 2 to a consensus message.
    fn follower_answer(
        &self,
        to: Recipient,
        message: ConsensusMessage,
    ) -> Option<ConsensusMessage> {
        if to.node() != 2 {
            return None;
        }
        let state = self.controller.hard_state().state.clone();
        let last_state = |accepted_term| StateId {
            accepted_term,
            version: state.version,
            digest: state.digest(),
        };
        Some(match message {
            ConsensusMessage::PreVoteRequest { term, .. } => ConsensusMessage::PreVoteResponse {
                term,
                granted: true,
                voted_term: Term::default(),
            },
            ConsensusMessage::VoteRequest { term, last_state } => ConsensusMessage::VoteResponse {
                term,
                last_state,
                newer_state: None,
            },
            ConsensusMessage::AppendRequest { term, .. } => ConsensusMessage::AppendResponse {
                term,
                last_state: last_state(term),
            },
            ConsensusMessage::Heartbeat { term, sent_at, .. } => {
                ConsensusMessage::HeartbeatResponse {
                    term,
                    heartbeat_sent_at: sent_at,
                    answered_at: self.now,
                    last_state: last_state(term),
                }
            }
            _ => return None,
        })
    }

    /// Lets a server run a command, where `a` is the primary.
    fn run_command(&mut self, service: &str, id: &str, command: ServerCommand) {
        let is_primary = id == "a";
        match command {
            ServerCommand::Pause(primary_term) if !is_primary => {
                self.paused_at.insert(id.to_owned(), primary_term)
            }
            ServerCommand::Resume => self.paused_at.remove(id),
            _ => None,
        };
        let highest_term = self.paused_at.get(id).copied().unwrap_or(0);
        let status = ServerStatus {
            is_primary,
            primary_term: 1,
            received: (1, 5),
            highest_term,
        };
        let outcome = if is_primary && self.now >= self.refuses_from {
            CommandOutcome::Refused
        } else {
            CommandOutcome::Status {
                command,
                status,
                sent_at: self.now,
            }
        };
        self.controller
            .command_completed(self.now, service, id, outcome);
    }

    /// Lets a server send a heartbeat.
    fn heartbeat(&mut self, id: &str, call_seq: u64) {
        let text = |text: &str| text.to_owned();
        let (service, zone) = (text("s"), text("z"));
        let endpoint = format!("10.0.0.{}:1", id.as_bytes()[0]);
        let heartbeat = Heartbeat {
            service,
            endpoint,
            zone,
            slots: 4,
            phase: MemberPhase::Ready,
            call_seq,
        };
        let outputs = self.controller.handle_request(
            self.now,
            1000 + call_seq,
            ControlRequest::Heartbeat {
                server_id: text(id),
                heartbeat,
            },
        );
        self.perform(outputs);
    }

    /// Lets the router request a lease.
    fn renew_lease(&mut self, update_watermark: (Term, u64)) {
        let request = LeaseRequest {
            router: "r".to_owned(),
            process_incarnation: 1,
            sent_at: self.now,
            update_watermark,
            config_epoch: 0,
            health_reports: Vec::new(),
        };
        let outputs = self.controller.handle_lease_request(self.now, 1, request);
        self.perform(outputs);
    }

    /// Sends a client's request, and returns its response if it arrives within two ticks.
    fn request(&mut self, number: u64, request: ControlRequest) -> Option<ControlResponse> {
        let outputs = self.controller.handle_request(self.now, number, request);
        self.perform(outputs);
        self.run(2.0 * TICK_INTERVAL_S);
        self.responses
            .iter()
            .find(|(request, _)| *request == number)
            .map(|(_, response)| response.clone())
    }
}

fn replace(base_epoch: u64, epoch: u64) -> ControlRequest {
    ControlRequest::ReplaceConfig {
        base_epoch,
        epoch,
        body: Rc::from(*b"a configuration"),
    }
}

/// A process may be suspended between a decision and sending its response. A response that relies
/// on contact with a majority therefore carries the time until which it is valid.
#[test]
fn response_that_needs_contact_is_valid_no_longer_than_the_authority() {
    let mut leader = LeaderHarness::new();
    let applied = leader.request(1, replace(0, 5)).expect("a response");
    assert_eq!(
        (applied.status, applied.valid_until),
        (200, f64::INFINITY),
        "the response to a commit has a limited validity"
    );
    for (number, request, status) in [
        (2, ControlRequest::ReadConfig, 200),
        (3, replace(0, 7), 412),
        (4, replace(5, 4), 400),
    ] {
        let response = leader.request(number, request).expect("a response");
        assert_eq!(response.status, status);
        assert!(
            response.valid_until <= leader.now + timing().election_timeout,
            "{status} is valid until {}",
            response.valid_until
        );
    }
}

/// After its authority has ended, a leader that hasn't noticed this yet grants no leases, sends no
/// updates, and makes no call that a former leader must not make.
#[test]
fn nothing_is_sent_after_the_end_of_the_authority() {
    let mut leader = LeaderHarness::new();
    let fencing_token = leader
        .controller
        .consensus()
        .leader_term()
        .expect("it leads")
        .0;
    leader.renew_lease((Term(fencing_token), 0));
    leader.run(0.1);
    assert!(leader.updates > 0, "the router was sent no update");
    leader.renew_lease((Term(fencing_token), 1));
    leader.heartbeat("a", 1);
    leader.run(0.1);
    // The router has acknowledged everything, so only the lack of authority can prevent a new
    // update.
    leader.renew_lease((Term(fencing_token), 50));
    let lease_duration = |messages: &[RouterMessage]| match messages.last() {
        Some(RouterMessage::Update { lease_duration, .. }) => *lease_duration,
        other => panic!("{other:?}"),
    };
    assert!(lease_duration(&leader.router_messages) > 0.0);
    assert!(leader.controller.may_act_with(leader.now, fencing_token));
    assert!(
        !leader
            .controller
            .may_act_with(leader.now, fencing_token - 1)
            && !leader
                .controller
                .may_act_with(leader.now, fencing_token + 1)
    );
    leader.follower_answers = false;
    leader.run(timing().election_timeout + 0.1);
    assert!(
        leader.controller.is_leader(),
        "the leader stepped down before the test could check it without authority"
    );
    leader.renew_lease((Term(fencing_token), 50));
    assert_eq!(lease_duration(&leader.router_messages), 0.0);
    assert!(!leader.controller.may_act_with(leader.now, fencing_token));
    let updates = leader.updates;
    leader.heartbeat("b", 2);
    leader.run(0.1);
    assert_eq!(leader.updates, updates);
}

/// Clients that wait for a commit get status 503 when the leader loses its leadership.
#[test]
fn pending_requests_fail_when_leadership_is_lost() {
    let mut leader = LeaderHarness::new();
    leader.follower_answers = false;
    leader.run(timing().election_timeout + 0.3);
    assert!(
        leader.controller.is_leader() && leader.request(1, replace(0, 5)).is_none(),
        "the machine doesn't lead, or committed without a majority"
    );
    leader.run(0.6);
    assert!(!leader.controller.is_leader());
    let status = leader
        .responses
        .iter()
        .find(|(request, _)| *request == 1)
        .map(|(_, response)| response.status);
    assert_eq!(status, Some(503));
}

/// A new leader promotes no server before it has received the membership snapshots of a majority,
/// however long that takes.
#[test]
fn no_promotion_before_the_membership_snapshots_of_a_majority() {
    let mut leader = LeaderHarness::new();
    for (call_seq, id) in (1..).zip(["a", "b", "c"]) {
        leader.heartbeat(id, call_seq);
    }
    leader.run(1.0);
    leader.refuses_from = leader.now;
    for call_seq in 10..18 {
        leader.run(1.0);
        leader.heartbeat("b", call_seq);
        leader.heartbeat("c", call_seq);
    }
    assert_eq!(leader.promotions, 0);
    let term = leader
        .controller
        .consensus()
        .leader_term()
        .expect("it leads");
    let snapshot = PeerMessage::MembersSnapshot {
        term,
        members: Vec::<MemberInfo>::new(),
    };
    let outputs = leader
        .controller
        .handle_peer_message(leader.now, founder(2), snapshot);
    leader.perform(outputs);
    leader.run(2.0);
    assert!(leader.promotions > 0, "{:?}", leader.controller.primaries());
}

/// A new leader promotes no server before it has led for the platform handover delay of its
/// settings.
#[test]
fn no_promotion_before_the_platform_handover_delay() {
    for (handover_delay, is_delayed) in [(0.0, false), (9.0, true)] {
        let mut leader = LeaderHarness::with_config(ControlConfig {
            platform_handover_delay: handover_delay,
            ..timing()
        });
        for (call_seq, id) in (1..).zip(["a", "b", "c"]) {
            leader.heartbeat(id, call_seq);
        }
        let term = leader
            .controller
            .consensus()
            .leader_term()
            .expect("it leads");
        let snapshot = PeerMessage::MembersSnapshot {
            term,
            members: Vec::<MemberInfo>::new(),
        };
        let outputs = leader
            .controller
            .handle_peer_message(leader.now, founder(2), snapshot);
        leader.perform(outputs);
        leader.run(1.0);
        leader.refuses_from = leader.now;
        for call_seq in 10..16 {
            leader.run(1.0);
            leader.heartbeat("b", call_seq);
            leader.heartbeat("c", call_seq);
        }
        assert_eq!(
            leader.promotions == 0,
            is_delayed,
            "with a delay of {handover_delay} s"
        );
        leader.run(4.0);
        assert!(leader.promotions > 0);
    }
}
