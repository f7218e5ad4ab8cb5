//! Operators that change the configuration at once, and send again what had no clear answer.

use crate::simulation::{Event, Simulation};
use badgerstream_control::{ControlRequest, ControlResponse, NodeId};
use std::rc::Rc;

/// An operator goes on to another machine after so many seconds without an answer.
const RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Pauses of an operator, in seconds.
const ACTION_INTERVAL_S: f64 = 0.05;
/// Of a thousand moments in which an operator has nothing to do, in so many it sends an old order again.
const RESENDS_OLD_PER_MILLE: u64 = 150;
/// Of a thousand, in so many it reads the configuration.
const READS_PER_MILLE: u64 = 200;
/// Routes of a configuration.
const ROUTE_COUNT: usize = 12;

/// What is known of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// No clear answer yet.
    Pending,
    /// It was acknowledged.
    Acknowledged,
    /// It was refused.
    Rejected,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The version on which it builds.
    pub base_epoch: u64,
    /// Its epoch.
    pub epoch: u64,
    /// Its text.
    pub body: Rc<[u8]>,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// When it was acknowledged first.
    pub acknowledged_at: f64,
}

/// What an operator waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorTask {
    ConfigChange(usize),
    Read { since: f64 },
}

/// One operator.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The version that it goes by.
    known_epoch: u64,
    task: Option<OperatorTask>,
    /// The number of the call under way, and when it was made.
    pending_request: Option<(u64, f64)>,
    /// It must know the version before it goes on.
    must_read: bool,
    /// The machine that was asked last: the next one is another.
    last_node: Option<NodeId>,
}

impl Simulation {
    /// Adds an operator, who begins at once.
    pub fn add_operator(&mut self) {
        self.operators.push(Operator {
            known_epoch: 0,
            task: None,
            pending_request: None,
            must_read: true,
            last_node: None,
        });
        let at = self.operators.len() - 1;
        self.schedule(0.5 + 0.01 * at as f64, Event::Operator(at));
    }

    /// An operator looks what it has to do.
    pub(crate) fn operator_acts(&mut self, at: usize) {
        self.schedule(ACTION_INTERVAL_S, Event::Operator(at));
        if let Some((_, since)) = self.operators[at].pending_request {
            if self.now - since > RESPONSE_TIMEOUT_S {
                self.operators[at].pending_request = None;
            }
            return;
        }
        if self.operators[at].task.is_none() {
            self.operators[at].task = Some(self.next_operator_task(at));
        }
        let Some(node) = self.choose_machine(self.operators[at].last_node) else {
            return;
        };
        self.operators[at].last_node = Some(node);
        let call = match self.operators[at].task {
            Some(OperatorTask::ConfigChange(order)) => {
                let order = &self.config_changes[order];
                ControlRequest::ReplaceConfig {
                    base_epoch: order.base_epoch,
                    epoch: order.epoch,
                    body: order.body.clone(),
                }
            }
            _ => ControlRequest::ReadConfig,
        };
        let number = self.register_operator_request(at);
        self.trace(|| {
            format!(
                "operator {at} asks control {node} for {:?}",
                self.operators[at].task
            )
        });
        self.operators[at].pending_request = Some((number, self.now));
        let way = self.message_delay();
        self.schedule(way, Event::ControlRequest(node, number, call));
    }

    fn next_operator_task(&mut self, at: usize) -> OperatorTask {
        let confirmed: Vec<usize> = (0..self.config_changes.len())
            .filter(|order| self.config_changes[*order].outcome == ChangeOutcome::Acknowledged)
            .collect();
        if self.operators[at].must_read || self.chance.per_mille(READS_PER_MILLE) {
            return OperatorTask::Read { since: self.now };
        }
        if self.chance.per_mille(RESENDS_OLD_PER_MILLE)
            && let Some(old) = self.chance.pick(&confirmed)
        {
            return OperatorTask::ConfigChange(old);
        }
        let base = self.operators[at].known_epoch;
        // Two operators may pick the same number.
        let epoch = base + 1 + self.draw(3);
        let body = text(epoch, at, self.config_changes.len());
        self.config_changes.push(ConfigChange {
            base_epoch: base,
            epoch,
            body,
            outcome: ChangeOutcome::Pending,
            acknowledged_at: f64::INFINITY,
        });
        OperatorTask::ConfigChange(self.config_changes.len() - 1)
    }

    /// A machine of the list that operators have, any that was not removed, but for the one that was asked last.
    fn choose_machine(&mut self, last: Option<NodeId>) -> Option<NodeId> {
        let there = self
            .machines
            .iter()
            .filter(|(node, machine)| !machine.removed && Some(**node) != last);
        let listed: Vec<NodeId> = there.map(|(node, _)| *node).collect();
        self.chance.pick(&listed)
    }

    /// An operator has the answer to its call.
    pub(crate) fn answer_operator(&mut self, at: usize, number: u64, answer: &ControlResponse) {
        if self.operators[at]
            .pending_request
            .is_none_or(|(call, _)| call != number)
        {
            // It has given that call up, but what was told counts all the same.
            return;
        }
        self.operators[at].pending_request = None;
        let Some(asks) = self.operators[at].task else {
            return;
        };
        self.trace(|| format!("operator {at} hears {} to {asks:?}", answer.status));
        match (asks, answer.status) {
            (OperatorTask::ConfigChange(order), 200) => {
                self.check_acknowledged(order);
                self.operators[at].known_epoch = self.operators[at]
                    .known_epoch
                    .max(self.config_changes[order].epoch);
                self.operators[at].task = None;
            }
            (OperatorTask::ConfigChange(order), 400..=499) => {
                self.check_rejected(order, answer.status);
                self.operators[at].task = None;
                self.operators[at].must_read = true;
            }
            (OperatorTask::Read { since }, 200) => {
                let epoch = self.check_read(since, &answer.body);
                self.operators[at].known_epoch = epoch;
                self.operators[at].task = None;
                self.operators[at].must_read = false;
            }
            // No clear answer: the same again, elsewhere.
            _ => {}
        }
    }
}

/// A configuration as far as control looks at it: a text that begins with its epoch.
fn text(epoch: u64, operator: usize, order: usize) -> Rc<[u8]> {
    let routes: Vec<String> = (0..ROUTE_COUNT)
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
