//! One leader of three, with one follower that answers for as long as a test wants: what it does only under its authority, and only
//! once it knows enough.

use super::fleet::timing;
use crate::controller::{Answer, Call, ControlTiming, Controller, Output};
use crate::{
    Asked, Ballot, Beat, ConsensusMessage, FOUNDING, Holds, MemberNews, Node, PeerMessage, Phase,
    Recipient, Record, Row, State, Statement, ToControl, ToRouter, Voter,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

const TICK: f64 = 0.02;

fn voter(node: Node) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING,
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
    replies: Vec<(u64, Answer)>,
    told: Vec<ToRouter>,
}

impl Led {
    /// It leads, with a service of three servers whose primary is a.
    fn new() -> Led {
        Led::with(timing())
    }

    /// The same with these spans.
    fn with(timing: ControlTiming) -> Led {
        let first = State::first(vec![1, 2, 3]);
        let record = Record {
            state: Rc::new(first),
            ..Record::default()
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
        assert!(led.controller.leads());
        led
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK;
            let out = self.controller.tick(self.now);
            self.perform(out);
            for answer in std::mem::take(&mut self.answers) {
                let out = self
                    .controller
                    .peer(self.now, voter(2), PeerMessage::Consensus(answer));
                self.perform(out);
            }
        }
    }

    fn perform(&mut self, out: Vec<Output>) {
        let mut waiting = VecDeque::from(out);
        while let Some(one) = waiting.pop_front() {
            match one {
                Output::Save => {
                    let then = self.controller.saved(self.now);
                    then.into_iter()
                        .rev()
                        .for_each(|next| waiting.push_front(next));
                }
                Output::KeepServers(then) => waiting.extend(then),
                Output::Peer(to, PeerMessage::Consensus(message)) if self.follows => {
                    self.answers.extend(self.answer(to, message));
                }
                Output::Peer(..) => {}
                Output::Ask {
                    id,
                    service,
                    statement,
                    ..
                } => self.ask(&service, &id, statement),
                Output::Promote { .. } => self.promotions += 1,
                Output::News(..) => self.news += 1,
                Output::Reply(call, answer) => self.replies.push((call, answer)),
                Output::Router(_, message) => self.told.push(message),
            }
        }
    }

    /// What machine 2 says to this.
    fn answer(&self, to: Recipient, message: ConsensusMessage) -> Option<ConsensusMessage> {
        if to.node() != 2 {
            return None;
        }
        let state = self.controller.record().state.clone();
        let holds = |accepted| Holds {
            accepted,
            seq: state.seq,
            digest: state.digest(),
        };
        Some(match message {
            ConsensusMessage::Canvass { ballot, .. } => ConsensusMessage::Canvassed {
                ballot,
                granted: true,
                promised: Ballot::default(),
            },
            ConsensusMessage::Prepare { ballot, holds } => ConsensusMessage::Promise {
                ballot,
                holds,
                newer: None,
            },
            ConsensusMessage::Accept { ballot, .. } => ConsensusMessage::Accepted {
                ballot,
                holds: holds(ballot),
            },
            ConsensusMessage::Heartbeat { ballot, sent, .. } => ConsensusMessage::HeartbeatAck {
                ballot,
                sent,
                at: self.now,
                holds: holds(ballot),
            },
            _ => return None,
        })
    }

    fn ask(&mut self, service: &str, id: &str, statement: Statement) {
        let leader = id == "a";
        match statement {
            Statement::Pause(term) if !leader => self.held.insert(id.to_owned(), term),
            Statement::Resume => self.held.remove(id),
            _ => None,
        };
        let held = self.held.get(id).copied().unwrap_or(0);
        let row = Row {
            leader,
            term: 1,
            received: (1, 5),
            held,
        };
        let asked = match leader && self.now >= self.refuses_from {
            true => Asked::Refused,
            false => Asked::Row {
                statement,
                row,
                asked: self.now,
            },
        };
        self.controller.asked(self.now, service, id, asked);
    }

    fn beat(&mut self, id: &str, seq: u64) {
        let text = |text: &str| text.to_owned();
        let (service, zone) = (text("s"), text("z"));
        let endpoint = format!("10.0.0.{}:1", id.as_bytes()[0]);
        let beat = Beat {
            service,
            endpoint,
            zone,
            slots: 4,
            phase: Phase::Ready,
            call_seq: seq,
        };
        let out = self
            .controller
            .call(self.now, 1000 + seq, Call::Beat { id: text(id), beat });
        self.perform(out);
    }

    fn renew(&mut self, known: (Ballot, u64)) {
        let call = ToControl {
            router: "r".to_owned(),
            life: 1,
            sent: self.now,
            known,
            epoch: 0,
            evidence: Vec::new(),
        };
        let out = self.controller.router(self.now, 1, call);
        self.perform(out);
    }

    /// The answer to a call that is made now, within two ticks.
    fn call(&mut self, number: u64, call: Call) -> Option<Answer> {
        let out = self.controller.call(self.now, number, call);
        self.perform(out);
        self.run(2.0 * TICK);
        self.replies
            .iter()
            .find(|(of, _)| *of == number)
            .map(|(_, answer)| answer.clone())
    }
}

fn replace(base: u64, epoch: u64) -> Call {
    Call::Replace {
        base,
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
        (taken.status, taken.until),
        (200, f64::INFINITY),
        "what is agreed on holds for good"
    );
    for (number, call, status) in [
        (2, Call::Read, 200),
        (3, replace(0, 7), 412),
        (4, replace(5, 4), 400),
    ] {
        let answer = led.call(number, call).expect("an answer");
        assert_eq!(answer.status, status);
        assert!(
            answer.until <= led.now + timing().suspect,
            "{status} holds until {}",
            answer.until
        );
    }
}

/// Behind its authority a leader gives no lease and tells no news, though it doesn't know yet that it leads no longer; and it makes
/// no call that a former leader must not make.
#[test]
fn nothing_leaves_behind_the_authority() {
    let mut led = Led::new();
    let fence = led.controller.consensus().leads().expect("it leads").0;
    led.renew((Ballot(fence), 0));
    led.run(0.1);
    assert!(led.news > 0, "the router is told");
    led.renew((Ballot(fence), 1));
    led.beat("a", 1);
    led.run(0.1);
    // It knows whatever it was told: what is new by then goes out at once, were it not for the authority.
    led.renew((Ballot(fence), 50));
    let lease = |told: &[ToRouter]| match told.last() {
        Some(ToRouter::News { lease, .. }) => *lease,
        other => panic!("{other:?}"),
    };
    assert!(lease(&led.told) > 0.0);
    assert!(led.controller.may_act_under(led.now, fence));
    assert!(
        !led.controller.may_act_under(led.now, fence - 1)
            && !led.controller.may_act_under(led.now, fence + 1)
    );
    led.follows = false;
    led.run(timing().suspect + 0.1);
    assert!(led.controller.leads(), "it doesn't know yet");
    led.renew((Ballot(fence), 50));
    assert_eq!(lease(&led.told), 0.0);
    assert!(!led.controller.may_act_under(led.now, fence));
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
    led.run(timing().suspect + 0.3);
    assert!(
        led.controller.leads() && led.call(1, replace(0, 5)).is_none(),
        "nobody can agree"
    );
    led.run(0.6);
    assert!(!led.controller.leads());
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
    for (seq, id) in (1..).zip(["a", "b", "c"]) {
        led.beat(id, seq);
    }
    led.run(1.0);
    led.refuses_from = led.now;
    for seq in 10..18 {
        led.run(1.0);
        led.beat("b", seq);
        led.beat("c", seq);
    }
    assert_eq!(led.promotions, 0);
    let fence = led.controller.consensus().leads().expect("it leads");
    let roster = PeerMessage::Roster {
        ballot: fence,
        news: Vec::<MemberNews>::new(),
    };
    let out = led.controller.peer(led.now, voter(2), roster);
    led.perform(out);
    led.run(2.0);
    assert!(led.promotions > 0, "{:?}", led.controller.primaries());
}

/// Holders of the duty don't take turns within what the settings say: a new leader promotes nobody before it has led for as long.
#[test]
fn the_duty_changes_hands_no_sooner_than_the_settings_say() {
    for (turn, later) in [(0.0, false), (9.0, true)] {
        let mut led = Led::with(ControlTiming { turn, ..timing() });
        for (seq, id) in (1..).zip(["a", "b", "c"]) {
            led.beat(id, seq);
        }
        let fence = led.controller.consensus().leads().expect("it leads");
        let roster = PeerMessage::Roster {
            ballot: fence,
            news: Vec::<MemberNews>::new(),
        };
        let out = led.controller.peer(led.now, voter(2), roster);
        led.perform(out);
        led.run(1.0);
        led.refuses_from = led.now;
        for seq in 10..16 {
            led.run(1.0);
            led.beat("b", seq);
            led.beat("c", seq);
        }
        assert_eq!(led.promotions == 0, later, "{turn}");
        led.run(4.0);
        assert!(led.promotions > 0);
    }
}
