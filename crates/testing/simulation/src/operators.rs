//! Operators that change the configuration at once, and send again what had no clear response.
//!
//! [`Operators`] owns what each of them knows and all configuration changes that were ever sent. It
//! says what a response means; the oracle judges that.

use crate::control::ControlCluster;
use crate::event::{ControlEvent, OperatorEvent};
use crate::kernel::Kernel;
use crate::requests::{Requester, Requests};
use badgerstream_control::{ControlRequest, ControlResponse, NodeId};
use std::rc::Rc;

/// An operator goes on to another machine after so many seconds without a response.
const RESPONSE_TIMEOUT_S: f64 = 1.0;

/// An operator looks for something to do this often, in seconds.
const ACTION_INTERVAL_S: f64 = 0.05;

/// An operator with nothing to do sends an acknowledged change again this often.
const RESENDS_PER_MILLE: u64 = 150;

/// An operator with nothing to do reads the configuration this often.
const READS_PER_MILLE: u64 = 200;

/// Routes of a configuration.
const ROUTE_COUNT: usize = 12;

/// What a configuration text begins with.
const EPOCH_PREFIX: &str = "{\"epoch\":";

/// What is known of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// No clear response yet.
    Pending,
    /// It was acknowledged.
    Acknowledged,
    /// It was rejected.
    Rejected,
}

/// A configuration change.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The epoch of the configuration that it replaces.
    pub base_epoch: u64,
    /// Its own epoch.
    pub epoch: u64,
    /// Its text.
    pub body: Rc<[u8]>,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// When it was first acknowledged, in seconds of simulated time; infinite before.
    pub acknowledged_at: f64,
}

/// What an operator wants; a change is named by its index.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorTask {
    Change(usize),
    Read { since: f64 },
}

/// A request that an operator waits for.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    id: u64,
    sent_at: f64,
}

/// One operator.
#[derive(Clone, Debug)]
struct Operator {
    /// The epoch that the next change replaces.
    known_epoch: u64,
    task: Option<OperatorTask>,
    pending_request: Option<PendingRequest>,
    /// It must read the epoch before it sends another change.
    must_read: bool,
    /// The machine that the last request went to: the next one goes to another.
    last_node: Option<NodeId>,
}

impl Default for Operator {
    fn default() -> Operator {
        Operator {
            known_epoch: 0,
            task: None,
            pending_request: None,
            must_read: true,
            last_node: None,
        }
    }
}

/// What a clear response tells; a change is named by its index.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// The change was acknowledged.
    Acknowledged { change: usize },
    /// The change was rejected with this status.
    Rejected { change: usize, status: u16 },
    /// This configuration was read, by a request made at `since` at the earliest.
    Read { since: f64, body: Rc<[u8]> },
}

/// All operators, and the configuration changes that they sent.
#[derive(Clone, Default)]
pub struct Operators {
    operators: Vec<Operator>,
    /// All configuration changes, in the order in which they were first sent.
    pub config_changes: Vec<ConfigChange>,
    /// Of the responses so many are lost.
    pub responses_lost_per_mille: u64,
}

impl Operators {
    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.operators.is_empty()
    }

    /// Adds an operator, who begins half a second later.
    pub(crate) fn add_operator(&mut self, kernel: &mut Kernel) {
        let index = self.operators.len();
        self.operators.push(Operator::default());
        let delay = 0.5 + 0.01 * index as f64;
        kernel.schedule(delay, OperatorEvent::ActionDue(index));
    }

    /// An operator looks for something to do.
    pub(crate) fn action_due(
        &mut self,
        kernel: &mut Kernel,
        control: &ControlCluster,
        requests: &mut Requests,
        index: usize,
    ) {
        kernel.schedule(ACTION_INTERVAL_S, OperatorEvent::ActionDue(index));
        if let Some(pending) = self.operators[index].pending_request {
            if kernel.now() - pending.sent_at > RESPONSE_TIMEOUT_S {
                self.operators[index].pending_request = None;
            }
            return;
        }
        let task = match self.operators[index].task {
            Some(task) => task,
            None => self.next_task(kernel, index),
        };
        self.operators[index].task = Some(task);
        let last_node = self.operators[index].last_node;
        if let Some(node) = choose_machine(kernel, control, last_node) {
            self.send_request(kernel, requests, index, task, node);
        }
    }

    fn send_request(
        &mut self,
        kernel: &mut Kernel,
        requests: &mut Requests,
        index: usize,
        task: OperatorTask,
        node: NodeId,
    ) {
        kernel.trace(|| format!("operator {index} asks control {node} for {task:?}"));
        let request_id = requests.register(Requester::Operator(index));
        let operator = &mut self.operators[index];
        operator.last_node = Some(node);
        operator.pending_request = Some(PendingRequest {
            id: request_id,
            sent_at: kernel.now(),
        });
        let arrived = ControlEvent::RequestArrived {
            node,
            request_id,
            request: self.request(task),
        };
        let delay = kernel.message_delay();
        kernel.schedule(delay, arrived);
    }

    fn request(&self, task: OperatorTask) -> ControlRequest {
        match task {
            OperatorTask::Read { .. } => ControlRequest::ReadConfig,
            OperatorTask::Change(index) => {
                let change = &self.config_changes[index];
                ControlRequest::ReplaceConfig {
                    base_epoch: change.base_epoch,
                    epoch: change.epoch,
                    body: change.body.clone(),
                }
            }
        }
    }

    fn next_task(&mut self, kernel: &mut Kernel, index: usize) -> OperatorTask {
        if self.operators[index].must_read || kernel.random.per_mille(READS_PER_MILLE) {
            let since = kernel.now();
            return OperatorTask::Read { since };
        }
        if kernel.random.per_mille(RESENDS_PER_MILLE)
            && let Some(acknowledged) = kernel.random.pick(&self.acknowledged_changes())
        {
            return OperatorTask::Change(acknowledged);
        }
        self.new_change(kernel, index)
    }

    fn acknowledged_changes(&self) -> Vec<usize> {
        let changes = self.config_changes.iter().enumerate();
        changes
            .filter(|(_, change)| change.outcome == ChangeOutcome::Acknowledged)
            .map(|(index, _)| index)
            .collect()
    }

    fn new_change(&mut self, kernel: &mut Kernel, index: usize) -> OperatorTask {
        let base_epoch = self.operators[index].known_epoch;
        // Two operators may pick the same epoch.
        let epoch = base_epoch + 1 + kernel.random.below(3);
        let change = self.config_changes.len();
        self.config_changes.push(ConfigChange {
            base_epoch,
            epoch,
            body: config_text(epoch, index, change),
            outcome: ChangeOutcome::Pending,
            acknowledged_at: f64::INFINITY,
        });
        OperatorTask::Change(change)
    }

    /// A response arrives. Returns what a clear one tells.
    pub(crate) fn response_arrived(
        &mut self,
        kernel: &Kernel,
        index: usize,
        request_id: u64,
        response: &ControlResponse,
    ) -> Option<Observation> {
        let operator = &mut self.operators[index];
        // A late response to a request that was given up is ignored.
        let pending = operator.pending_request?;
        if pending.id != request_id {
            return None;
        }
        operator.pending_request = None;
        let task = operator.task?;
        let status = response.status;
        kernel.trace(|| format!("operator {index} hears {status} to {task:?}"));
        match (task, status) {
            (OperatorTask::Change(change), 200) => {
                let epoch = self.config_changes[change].epoch;
                operator.known_epoch = operator.known_epoch.max(epoch);
                operator.task = None;
                Some(Observation::Acknowledged { change })
            }
            (OperatorTask::Change(change), 400..=499) => {
                operator.task = None;
                operator.must_read = true;
                Some(Observation::Rejected { change, status })
            }
            (OperatorTask::Read { since }, 200) => {
                operator.known_epoch = config_epoch(&response.body);
                operator.task = None;
                operator.must_read = false;
                let body = response.body.clone();
                Some(Observation::Read { since, body })
            }
            // No clear response: the same again, at another machine.
            _ => None,
        }
    }
}

/// A machine of the list that operators have: any that was not removed, but for the last one.
fn choose_machine(
    kernel: &mut Kernel,
    control: &ControlCluster,
    last_node: Option<NodeId>,
) -> Option<NodeId> {
    let machines = control.machines.values();
    let listed: Vec<NodeId> = machines
        .filter(|machine| !machine.removed && Some(machine.node) != last_node)
        .map(|machine| machine.node)
        .collect();
    kernel.random.pick(&listed)
}

/// A configuration as far as control reads it: a text that begins with its epoch.
fn config_text(epoch: u64, operator: usize, change: usize) -> Rc<[u8]> {
    let routes: Vec<String> = (0..ROUTE_COUNT)
        .map(|route| format!("{{\"name\":\"r{route}\",\"rank\":1}}"))
        .collect();
    // The digests of runs hold this text: its keys stay.
    let text = format!(
        "{EPOCH_PREFIX}{epoch},\"operator\":{operator},\"order\":{change},\"routes\":[{}]}}",
        routes.join(",")
    );
    text.into_bytes().into()
}

/// The epoch that such a text begins with; 0 if it doesn't.
pub(crate) fn config_epoch(text: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(text);
    let number = text
        .strip_prefix(EPOCH_PREFIX)
        .and_then(|rest| rest.split(',').next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
