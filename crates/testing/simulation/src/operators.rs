//! Operators that change the configuration concurrently, and resend requests that received no
//! conclusive response.
//!
//! [`Operators`] owns the state of each operator and all configuration changes that were ever sent.
//! It interprets responses; the oracle checks whether they are correct.

use crate::control::ControlCluster;
use crate::event::{ControlEvent, OperatorEvent};
use crate::kernel::Kernel;
use crate::requests::{Requester, Requests};
use badgerstream_control::{ControlRequest, ControlResponse, NodeId};
use std::rc::Rc;

/// The timeout after which an operator sends its request to another machine, in seconds.
const RESPONSE_TIMEOUT_S: f64 = 1.0;

/// The interval between an operator's actions, in seconds.
const ACTION_INTERVAL_S: f64 = 0.05;

/// The probability that an idle operator resends an acknowledged change, in thousandths.
const RESENDS_PER_MILLE: u64 = 150;

/// The probability that an idle operator reads the configuration, in thousandths.
const READS_PER_MILLE: u64 = 200;

/// The number of routes in a configuration.
const ROUTE_COUNT: usize = 12;

/// The beginning of every configuration text; the epoch follows.
const EPOCH_PREFIX: &str = "{\"epoch\":";

/// The known outcome of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// No conclusive response has arrived yet.
    Pending,
    /// The change was acknowledged.
    Acknowledged,
    /// The change was rejected.
    Rejected,
}

/// A configuration change.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The epoch of the configuration that it replaces.
    pub base_epoch: u64,
    /// The epoch of the new configuration.
    pub epoch: u64,
    /// The text of the new configuration.
    pub body: Rc<[u8]>,
    /// The known outcome of the change.
    pub outcome: ChangeOutcome,
    /// The time of the first acknowledgement, in seconds of simulated time; infinite before it.
    pub acknowledged_at: f64,
}

/// The current task of an operator. A change is identified by its index.
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
    /// Whether the operator must read the epoch before it sends another change.
    must_read: bool,
    /// The machine that received the last request; the next request goes to another one.
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

/// The meaning of a conclusive response. A change is identified by its index.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
    /// The change was acknowledged.
    Acknowledged { change: usize },
    /// The change was rejected with this status.
    Rejected { change: usize, status: u16 },
    /// This configuration was read by a task that began at `since`.
    Read { since: f64, body: Rc<[u8]> },
}

/// All operators, and the configuration changes that they sent.
#[derive(Clone, Default)]
pub struct Operators {
    operators: Vec<Operator>,
    /// All configuration changes, in the order in which they were first sent.
    pub config_changes: Vec<ConfigChange>,
    /// The probability that a response is lost, in thousandths.
    pub responses_lost_per_mille: u64,
}

impl Operators {
    /// Returns whether there are no operators.
    pub(crate) fn is_empty(&self) -> bool {
        self.operators.is_empty()
    }

    /// Adds an operator, which begins its work after at least half a second.
    pub(crate) fn add_operator(&mut self, kernel: &mut Kernel) {
        let index = self.operators.len();
        self.operators.push(Operator::default());
        let delay = 0.5 + 0.01 * index as f64;
        kernel.schedule(delay, OperatorEvent::ActionDue(index));
    }

    /// Performs an operator's next action: it waits for a response, or sends a request for its
    /// current task or a new one.
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
        kernel.trace(|| format!("operator {index} sends {task:?} to control {node}"));
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
        // Two operators may choose the same epoch.
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

    /// Handles a response that has arrived. Returns its meaning if it is conclusive.
    pub(crate) fn response_arrived(
        &mut self,
        kernel: &Kernel,
        index: usize,
        request_id: u64,
        response: &ControlResponse,
    ) -> Option<Observation> {
        let operator = &mut self.operators[index];
        // Ignores late responses to requests that have timed out.
        let pending = operator.pending_request?;
        if pending.id != request_id {
            return None;
        }
        operator.pending_request = None;
        let task = operator.task?;
        let status = response.status;
        kernel.trace(|| format!("operator {index} receives status {status} for {task:?}"));
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
            // The response is not conclusive: the operator repeats the task at another machine.
            _ => None,
        }
    }
}

/// Draws a machine for the next request: any that was not removed, except the last one.
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

/// Returns a configuration text that begins with its epoch, the only part that the control machines
/// read.
fn config_text(epoch: u64, operator: usize, change: usize) -> Rc<[u8]> {
    let routes: Vec<String> = (0..ROUTE_COUNT)
        .map(|route| format!("{{\"name\":\"r{route}\",\"rank\":1}}"))
        .collect();
    // The digests of runs include this text, so its keys must not change.
    let text = format!(
        "{EPOCH_PREFIX}{epoch},\"operator\":{operator},\"order\":{change},\"routes\":[{}]}}",
        routes.join(",")
    );
    text.into_bytes().into()
}

/// Returns the epoch at the beginning of a configuration text; 0 if there is none.
pub(crate) fn config_epoch(text: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(text);
    let number = text
        .strip_prefix(EPOCH_PREFIX)
        .and_then(|rest| rest.split(',').next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
