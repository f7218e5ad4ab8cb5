//! Operators that change the configuration at once, and send again what had no clear answer.

use crate::world::{Event, World};
use badgerstream_control::{ControlRequest, ControlResponse, NodeId};
use std::rc::Rc;

/// An operator goes on to another machine after so many seconds without an answer.
const SILENCE: f64 = 1.0;
/// Pauses of an operator, in seconds.
const PAUSE: f64 = 0.05;
/// Of a thousand moments in which an operator has nothing to do, in so many it sends an old order again.
const SENDS_OLD: u64 = 150;
/// Of a thousand, in so many it reads the configuration.
const READS: u64 = 200;
/// Routes of a configuration.
const ROUTES: usize = 12;

/// What is known of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No clear answer yet.
    Open,
    /// It was acknowledged.
    Confirmed,
    /// It was refused.
    Refused,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct Order {
    /// The version on which it builds.
    pub base: u64,
    /// Its epoch.
    pub epoch: u64,
    /// Its text.
    pub body: Rc<[u8]>,
    /// What became of it.
    pub outcome: Outcome,
    /// When it was acknowledged first.
    pub confirmed: f64,
}

/// What an operator waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Asks {
    Order(usize),
    Read { since: f64 },
}

/// One operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The version that it goes by.
    base: u64,
    asks: Option<Asks>,
    /// The number of the call under way, and when it was made.
    call: Option<(u64, f64)>,
    /// It must know the version before it goes on.
    must_read: bool,
    /// The machine that was asked last: the next one is another.
    last: Option<NodeId>,
}

impl World {
    /// Adds an operator, who begins at once.
    pub fn add_operator(&mut self) {
        self.operators.push(Operator {
            base: 0,
            asks: None,
            call: None,
            must_read: true,
            last: None,
        });
        let at = self.operators.len() - 1;
        self.put(0.5 + 0.01 * at as f64, Event::Operator(at));
    }

    /// An operator looks what it has to do.
    pub(crate) fn operate(&mut self, at: usize) {
        self.put(PAUSE, Event::Operator(at));
        if let Some((_, since)) = self.operators[at].call {
            if self.now - since > SILENCE {
                self.operators[at].call = None;
            }
            return;
        }
        if self.operators[at].asks.is_none() {
            self.operators[at].asks = Some(self.next_task(at));
        }
        let Some(node) = self.chosen_machine(self.operators[at].last) else {
            return;
        };
        self.operators[at].last = Some(node);
        let call = match self.operators[at].asks {
            Some(Asks::Order(order)) => {
                let order = &self.orders[order];
                ControlRequest::ReplaceConfig {
                    base_epoch: order.base,
                    epoch: order.epoch,
                    body: order.body.clone(),
                }
            }
            _ => ControlRequest::ReadConfig,
        };
        let number = self.call_for_operator(at);
        self.say(|| {
            format!(
                "operator {at} asks control {node} for {:?}",
                self.operators[at].asks
            )
        });
        self.operators[at].call = Some((number, self.now));
        let way = self.way();
        self.put(way, Event::ControlRequest(node, number, call));
    }

    fn next_task(&mut self, at: usize) -> Asks {
        let confirmed: Vec<usize> = (0..self.orders.len())
            .filter(|order| self.orders[*order].outcome == Outcome::Confirmed)
            .collect();
        if self.operators[at].must_read || self.chance.of_thousand(READS) {
            return Asks::Read { since: self.now };
        }
        if self.chance.of_thousand(SENDS_OLD)
            && let Some(old) = self.chance.pick(&confirmed)
        {
            return Asks::Order(old);
        }
        let base = self.operators[at].base;
        // Two operators may pick the same number.
        let epoch = base + 1 + self.draw(3);
        let body = text(epoch, at, self.orders.len());
        self.orders.push(Order {
            base,
            epoch,
            body,
            outcome: Outcome::Open,
            confirmed: f64::INFINITY,
        });
        Asks::Order(self.orders.len() - 1)
    }

    /// A machine of the list that operators have, any that was not removed, but for the one that was asked last.
    fn chosen_machine(&mut self, last: Option<NodeId>) -> Option<NodeId> {
        let there = self
            .controls
            .iter()
            .filter(|(node, machine)| !machine.removed && Some(**node) != last);
        let listed: Vec<NodeId> = there.map(|(node, _)| *node).collect();
        self.chance.pick(&listed)
    }

    /// An operator has the answer to its call.
    pub(crate) fn answer_operator(&mut self, at: usize, number: u64, answer: &ControlResponse) {
        if self.operators[at]
            .call
            .is_none_or(|(call, _)| call != number)
        {
            // It has given that call up, but what was told counts all the same.
            return;
        }
        self.operators[at].call = None;
        let Some(asks) = self.operators[at].asks else {
            return;
        };
        self.say(|| format!("operator {at} hears {} to {asks:?}", answer.status));
        match (asks, answer.status) {
            (Asks::Order(order), 200) => {
                self.judge_confirmed(order);
                self.operators[at].base = self.operators[at].base.max(self.orders[order].epoch);
                self.operators[at].asks = None;
            }
            (Asks::Order(order), 400..=499) => {
                self.judge_refused(order, answer.status);
                self.operators[at].asks = None;
                self.operators[at].must_read = true;
            }
            (Asks::Read { since }, 200) => {
                let epoch = self.judge_read(since, &answer.body);
                self.operators[at].base = epoch;
                self.operators[at].asks = None;
                self.operators[at].must_read = false;
            }
            // No clear answer: the same again, elsewhere.
            _ => {}
        }
    }
}

/// A configuration as far as control looks at it: a text that begins with its epoch.
fn text(epoch: u64, operator: usize, order: usize) -> Rc<[u8]> {
    let routes: Vec<String> = (0..ROUTES)
        .map(|route| format!("{{\"name\":\"r{route}\",\"rank\":1}}"))
        .collect();
    let text = format!(
        "{{\"epoch\":{epoch},\"operator\":{operator},\"order\":{order},\"routes\":[{}]}}",
        routes.join(",")
    );
    text.into_bytes().into()
}

/// The epoch of such a text; 0 of none.
pub(crate) fn epoch_of(text: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(text);
    let number = text
        .strip_prefix("{\"epoch\":")
        .and_then(|rest| rest.split(',').next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
