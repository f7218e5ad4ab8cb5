//! One leader of three, with one follower that answers for as long as a test wants: what it does only under its authority, and only
//! once it knows enough.

use super::fleet::timing;
use crate::controller::{ControlConfig, ControlRequest, ControlResponse, Controller, Output};
use crate::{
    CommandOutcome, ConsensusMessage, FOUNDING_INCARNATION, HardState, Heartbeat, LeaseRequest,
    MemberInfo, MemberPhase, NodeId, PeerMessage, Recipient, RouterMessage, ServerCommand,
    ServerStatus, State, StateId, Term, Voter,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

const TICK: f64 = 0.02;

fn voter(node: NodeId) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    }
}

/// Machine 1, which leads, and what machine 2 does; machine 3 is gone.
struct Led {
    controller: Controller,
    now: f64,
    /// Machine 2 answers what agreement asks.
    follows: bool,
    /// Its answers under way.
    answers: Vec<ConsensusMessage>,
    /// The terms at which servers are paused.
    held: HashMap<String, u64>,
    /// The primary a has refused connections since then.
    refuses_from: f64,
    promotions: usize,
    news: usize,
    replies: Vec<(u64, ControlResponse)>,
    told: Vec<RouterMessage>,
}

impl Led {
    /// It leads, with a service of three servers whose primary is a.
    fn new() -> Led {
        Led::with(timing())
    }

    /// The same with these spans.
    fn with(timing: ControlConfig) -> Led {
        let first = State::founding(vec![1, 2, 3]);
        let record = HardState {
            state: Rc::new(first),
            ..HardState::default()
        };
        let mut led = Led {
            controller: Controller::new(voter(1), record, 0.0, 7, timing),
            now: 0.0,
            follows: true,
            answers: Vec::new(),
            held: HashMap::new(),
            refuses_from: f64::INFINITY,
            promotions: 0,
            news: 0,
            replies: Vec::new(),
            told: Vec::new(),
        };
        led.run(1.0);
        assert!(led.controller.is_leader());
        led
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK;
            let out = self.controller.tick(self.now);
            self.perform(out);
            for answer in std::mem::take(&mut self.answers) {
                let out = self.controller.handle_peer_message(
                    self.now,
                    voter(2),
                    PeerMessage::Consensus(answer),
                );
                self.perform(out);
            }
        }
    }

    fn perform(&mut self, out: Vec<Output>) {
        let mut waiting = VecDeque::from(out);
        while let Some(one) = waiting.pop_front() {
            match one {
                Output::Persist => {
                    let then = self.controller.persisted(self.now);
                    then.into_iter()
                        .rev()
                        .for_each(|next| waiting.push_front(next));
                }
                Output::PersistMembers(then) => waiting.extend(then),
                Output::SendToPeer(to, PeerMessage::Consensus(message)) if self.follows => {
                    self.answers.extend(self.answer(to, message));
                }
                Output::SendToPeer(..) => {}
                Output::SendCommand {
                    server_id: id,
                    service,
                    command: statement,
                    ..
                } => self.ask(&service, &id, statement),
                Output::Promote { .. } => self.promotions += 1,
                Output::SendUpdate(..) => self.news += 1,
                Output::Respond(call, answer) => self.replies.push((call, answer)),
                Output::SendToRouter(_, message) => self.told.push(message),
            }
        }
    }

    /// What machine 2 says to this.
    fn answer(&self, to: Recipient, message: ConsensusMessage) -> Option<ConsensusMessage> {
        if to.node() != 2 {
            return None;
        }
        let state = self.controller.hard_state().state.clone();
        let holds = |accepted| StateId {
            accepted_term: accepted,
            version: state.version,
            digest: state.digest(),
        };
        Some(match message {
            ConsensusMessage::PreVoteRequest { term, .. } => ConsensusMessage::PreVoteResponse {
                term,
                granted: true,
                voted_term: Term::default(),
            },
            ConsensusMessage::VoteRequest {
                term,
                last_state: holds,
            } => ConsensusMessage::VoteResponse {
                term,
                last_state: holds,
                newer_state: None,
            },
            ConsensusMessage::AppendRequest { term, .. } => ConsensusMessage::AppendResponse {
                term,
                last_state: holds(term),
            },
            ConsensusMessage::Heartbeat {
                term,
                sent_at: sent,
                ..
            } => ConsensusMessage::HeartbeatResponse {
                term,
                heartbeat_sent_at: sent,
                answered_at: self.now,
                last_state: holds(term),
            },
            _ => return None,
        })
    }

    fn ask(&mut self, service: &str, id: &str, statement: ServerCommand) {
        let leader = id == "a";
        match statement {
            ServerCommand::Pause(primary_term) if !leader => {
                self.held.insert(id.to_owned(), primary_term)
            }
            ServerCommand::Resume => self.held.remove(id),
            _ => None,
        };
        let held = self.held.get(id).copied().unwrap_or(0);
        let row = ServerStatus {
            is_primary: leader,
            primary_term: 1,
            received: (1, 5),
            highest_term: held,
        };
        let asked = match leader && self.now >= self.refuses_from {
            true => CommandOutcome::Refused,
            false => CommandOutcome::Status {
                command: statement,
                status: row,
                sent_at: self.now,
            },
        };
        self.controller
            .command_completed(self.now, service, id, asked);
    }

    fn beat(&mut self, id: &str, version: u64) {
        let text = |text: &str| text.to_owned();
        let (service, zone) = (text("s"), text("z"));
        let endpoint = format!("10.0.0.{}:1", id.as_bytes()[0]);
        let beat = Heartbeat {
            service,
            endpoint,
            zone,
            slots: 4,
            phase: MemberPhase::Ready,
            call_seq: version,
        };
        let out = self.controller.handle_request(
            self.now,
            1000 + version,
            ControlRequest::Heartbeat {
                server_id: text(id),
                heartbeat: beat,
            },
        );
        self.perform(out);
    }

    fn renew(&mut self, known: (Term, u64)) {
        let call = LeaseRequest {
            router: "r".to_owned(),
            process_incarnation: 1,
            sent_at: self.now,
            update_watermark: known,
            config_epoch: 0,
            health_reports: Vec::new(),
        };
        let out = self.controller.handle_lease_request(self.now, 1, call);
        self.perform(out);
    }

    /// The answer to a call that is made now, within two ticks.
    fn call(&mut self, number: u64, call: ControlRequest) -> Option<ControlResponse> {
        let out = self.controller.handle_request(self.now, number, call);
        self.perform(out);
        self.run(2.0 * TICK);
        self.replies
            .iter()
            .find(|(of, _)| *of == number)
            .map(|(_, answer)| answer.clone())
    }
}

fn replace(base: u64, epoch: u64) -> ControlRequest {
    ControlRequest::ReplaceConfig {
        base_epoch: base,
        epoch,
        body: Rc::from(*b"a configuration"),
    }
}

/// A process may stand still between a decision and its answer: what rests on contact says until when it holds.
#[test]
fn what_rests_on_contact_holds_no_longer_than_the_authority() {
    let mut led = Led::new();
    let taken = led.call(1, replace(0, 5)).expect("an answer");
    assert_eq!(
        (taken.status, taken.valid_until),
        (200, f64::INFINITY),
        "what is agreed on holds for good"
    );
    for (number, call, status) in [
        (2, ControlRequest::ReadConfig, 200),
        (3, replace(0, 7), 412),
        (4, replace(5, 4), 400),
    ] {
        let answer = led.call(number, call).expect("an answer");
        assert_eq!(answer.status, status);
        assert!(
            answer.valid_until <= led.now + timing().election_timeout,
            "{status} holds until {}",
            answer.valid_until
        );
    }
}

/// Behind its authority a leader gives no lease and tells no news, though it doesn't know yet that it leads no longer; and it makes
/// no call that a former leader must not make.
#[test]
fn nothing_leaves_behind_the_authority() {
    let mut led = Led::new();
    let fencing_token = led
        .controller
        .consensus()
        .leader_term()
        .expect("it leads")
        .0;
    led.renew((Term(fencing_token), 0));
    led.run(0.1);
    assert!(led.news > 0, "the router is told");
    led.renew((Term(fencing_token), 1));
    led.beat("a", 1);
    led.run(0.1);
    // It knows whatever it was told: what is new by then goes out at once, were it not for the authority.
    led.renew((Term(fencing_token), 50));
    let lease = |told: &[RouterMessage]| match told.last() {
        Some(RouterMessage::Update {
            lease_duration: lease,
            ..
        }) => *lease,
        other => panic!("{other:?}"),
    };
    assert!(lease(&led.told) > 0.0);
    assert!(led.controller.may_act_with(led.now, fencing_token));
    assert!(
        !led.controller.may_act_with(led.now, fencing_token - 1)
            && !led.controller.may_act_with(led.now, fencing_token + 1)
    );
    led.follows = false;
    led.run(timing().election_timeout + 0.1);
    assert!(led.controller.is_leader(), "it doesn't know yet");
    led.renew((Term(fencing_token), 50));
    assert_eq!(lease(&led.told), 0.0);
    assert!(!led.controller.may_act_with(led.now, fencing_token));
    let news = led.news;
    led.beat("b", 2);
    led.run(0.1);
    assert_eq!(led.news, news);
}

/// Whoever waits for a leader that leads no longer is told so then.
#[test]
fn whoever_waits_is_told_when_the_lead_is_lost() {
    let mut led = Led::new();
    led.follows = false;
    led.run(timing().election_timeout + 0.3);
    assert!(
        led.controller.is_leader() && led.call(1, replace(0, 5)).is_none(),
        "nobody can agree"
    );
    led.run(0.6);
    assert!(!led.controller.is_leader());
    let answer = led
        .replies
        .iter()
        .find(|(call, _)| *call == 1)
        .map(|(_, answer)| answer.status);
    assert_eq!(answer, Some(503));
}

/// A new leader that doesn't know yet what a majority was told of servers promotes none, however long that takes.
#[test]
fn nobody_is_promoted_before_a_majority_told_what_it_knows() {
    let mut led = Led::new();
    for (version, id) in (1..).zip(["a", "b", "c"]) {
        led.beat(id, version);
    }
    led.run(1.0);
    led.refuses_from = led.now;
    for version in 10..18 {
        led.run(1.0);
        led.beat("b", version);
        led.beat("c", version);
    }
    assert_eq!(led.promotions, 0);
    let fencing_token = led.controller.consensus().leader_term().expect("it leads");
    let roster = PeerMessage::MembersSnapshot {
        term: fencing_token,
        members: Vec::<MemberInfo>::new(),
    };
    let out = led
        .controller
        .handle_peer_message(led.now, voter(2), roster);
    led.perform(out);
    led.run(2.0);
    assert!(led.promotions > 0, "{:?}", led.controller.primaries());
}

/// Holders of the duty don't take turns within what the settings say: a new leader promotes nobody before it has led for as long.
#[test]
fn the_duty_changes_hands_no_sooner_than_the_settings_say() {
    for (turn, later) in [(0.0, false), (9.0, true)] {
        let mut led = Led::with(ControlConfig {
            duty_handover_delay: turn,
            ..timing()
        });
        for (version, id) in (1..).zip(["a", "b", "c"]) {
            led.beat(id, version);
        }
        let fencing_token = led.controller.consensus().leader_term().expect("it leads");
        let roster = PeerMessage::MembersSnapshot {
            term: fencing_token,
            members: Vec::<MemberInfo>::new(),
        };
        let out = led
            .controller
            .handle_peer_message(led.now, voter(2), roster);
        led.perform(out);
        led.run(1.0);
        led.refuses_from = led.now;
        for version in 10..16 {
            led.run(1.0);
            led.beat("b", version);
            led.beat("c", version);
        }
        assert_eq!(led.promotions == 0, later, "{turn}");
        led.run(4.0);
        assert!(led.promotions > 0);
    }
}
