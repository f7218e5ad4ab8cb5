//! All routers, and their connections to control machines.

use super::router::{Router, RouterConnection};
use crate::control::{ControlCluster, ControlMachine};
use crate::event::{ControlEvent, Process, RouterEvent};
use crate::health::Health;
use crate::kernel::Kernel;
use crate::operators::config_epoch;
use crate::service::Service;
use badgerstream_control::{NodeId, RouterMessage};
use std::collections::HashSet;
use std::rc::Rc;

/// The delay before a new router's first timer tick, in seconds.
const FIRST_TICK_S: f64 = 0.001;

/// The delay before a new router's first statement, in seconds.
const FIRST_STATEMENT_S: f64 = 0.003;

/// The interval between a router's timer ticks, in seconds.
const TICK_INTERVAL_S: f64 = 0.01;

/// The interval at which a router renews its lease, in seconds.
const RENEWAL_INTERVAL_S: f64 = 0.3;

/// The timeout after which a router disconnects from a control machine that does not answer, in
/// seconds.
const ANSWER_TIMEOUT_S: f64 = 0.6;

/// A configuration that a router has just activated.
#[derive(Clone, Debug)]
pub struct ActivatedConfig {
    /// The index of the router.
    pub router: usize,
    /// The epoch of the configuration.
    pub epoch: u64,
    /// The text of the configuration.
    pub text: Rc<[u8]>,
}

/// All routers.
#[derive(Clone)]
pub struct Edge {
    /// The routers; events identify them by their index.
    pub routers: Vec<Router>,
    /// Pairs of a control machine and a router that can't reach each other.
    pub blocked: HashSet<(NodeId, usize)>,
    /// Whether routers send statements.
    pub statements_enabled: bool,
    last_connection: u64,
}

impl Default for Edge {
    fn default() -> Edge {
        Edge {
            routers: Vec::new(),
            blocked: HashSet::new(),
            statements_enabled: true,
            last_connection: 0,
        }
    }
}

impl Edge {
    /// Adds a router that knows these control machines.
    pub(crate) fn add_router(&mut self, kernel: &mut Kernel, control_nodes: Vec<NodeId>) {
        let index = self.routers.len();
        self.routers.push(Router::new(index, control_nodes));
        kernel.schedule(FIRST_TICK_S, RouterEvent::Tick(index));
        kernel.schedule(FIRST_STATEMENT_S, RouterEvent::StatementDue(index));
    }

    /// Closes all connections to this control machine, whose process has ended.
    pub(crate) fn close_connections_to(&mut self, node: NodeId) {
        for router in &mut self.routers {
            router.close_connection_to(node);
        }
    }

    /// Sends a control machine's message on a router's connection. The message is lost if the
    /// connection is closed.
    pub(crate) fn send_to_router(
        &mut self,
        kernel: &mut Kernel,
        sender: Process,
        connection: u64,
        message: RouterMessage,
    ) {
        let delay = kernel.message_delay();
        let is_open = |open: &RouterConnection| open.id == connection && open.process == sender;
        let is_receiver = |router: &Router| router.connection.as_ref().is_some_and(is_open);
        let Some(index) = self.routers.iter().position(is_receiver) else {
            return;
        };
        if self.blocked.contains(&(sender.node, index)) {
            return;
        }
        let Some(open) = self.routers[index].connection.as_mut() else {
            return;
        };
        let now = kernel.now();
        let arrival = open.arrival_time(now, delay);
        let arrived = RouterEvent::MessageArrived {
            router: index,
            connection,
            message,
        };
        kernel.schedule(arrival - now, arrived);
    }

    /// Handles a router's timer tick: the router connects to a control machine, renews its lease,
    /// or disconnects.
    pub(crate) fn tick(&mut self, kernel: &mut Kernel, control: &ControlCluster, index: usize) {
        if !self.routers[index].frozen {
            self.maintain_lease(kernel, control, index);
        }
        kernel.schedule(TICK_INTERVAL_S, RouterEvent::Tick(index));
    }

    fn maintain_lease(&mut self, kernel: &mut Kernel, control: &ControlCluster, index: usize) {
        let router = &mut self.routers[index];
        let clock = router.clock(kernel.now());
        let Some(connection) = &router.connection else {
            let node = router.take_next_node();
            self.connect(kernel, &control.machines[&node], index);
            return;
        };
        let process = connection.process;
        let is_broken = control.machines[&process.node].process() != process;
        let is_silent = clock - router.answered_at > ANSWER_TIMEOUT_S
            && router.requested_at > router.answered_at;
        if is_broken || is_silent {
            router.connection = None;
        } else if clock - router.requested_at >= RENEWAL_INTERVAL_S {
            self.request_lease(kernel, index);
        }
    }

    fn connect(&mut self, kernel: &mut Kernel, machine: &ControlMachine, index: usize) {
        let is_blocked = self.blocked.contains(&(machine.node, index));
        if machine.health != Health::Up || is_blocked {
            return;
        }
        self.last_connection += 1;
        let now = kernel.now();
        let connection = RouterConnection::new(machine.process(), self.last_connection, now);
        let router = &mut self.routers[index];
        router.connected(connection, now);
        self.request_lease(kernel, index);
    }

    fn request_lease(&mut self, kernel: &mut Kernel, index: usize) {
        let delay = kernel.message_delay();
        let now = kernel.now();
        let router = &mut self.routers[index];
        let clock = router.clock(now);
        router.requested_at = clock;
        let request = router.renewal(clock);
        let Some(connection) = &mut router.connection else {
            return;
        };
        let arrival = connection.arrival_time(now, delay);
        let arrived = ControlEvent::LeaseRequestArrived {
            process: connection.process,
            connection: connection.id,
            router: index,
            request,
        };
        kernel.schedule(arrival - now, arrived);
    }

    /// Handles a control machine's message that has arrived. Returns the new configuration if the
    /// router activates one.
    pub(crate) fn message_arrived(
        &mut self,
        kernel: &mut Kernel,
        index: usize,
        connection: u64,
        message: RouterMessage,
    ) -> Option<ActivatedConfig> {
        let router = &mut self.routers[index];
        if router.frozen {
            router.inbox.push(RouterEvent::MessageArrived {
                router: index,
                connection,
                message,
            });
            return None;
        }
        let open = router.connection.as_ref();
        if open.is_none_or(|open| open.id != connection) {
            return None;
        }
        let clock = router.clock(kernel.now());
        let effect = router.receive(clock, message);
        let activated = effect.config.and_then(|text| self.activate(index, text));
        if effect.must_acknowledge {
            self.request_lease(kernel, index);
        }
        activated
    }

    /// Activates this configuration on the router if its epoch is higher than the active one.
    fn activate(&mut self, index: usize, text: Rc<[u8]>) -> Option<ActivatedConfig> {
        let epoch = config_epoch(&text);
        let router = &mut self.routers[index];
        if epoch <= router.active_config_epoch {
            return None;
        }
        router.active_config_epoch = epoch;
        Some(ActivatedConfig {
            router: index,
            epoch,
            text,
        })
    }

    /// Continues a frozen router and returns the messages in its inbox.
    pub(crate) fn thaw(&mut self, index: usize) -> Vec<RouterEvent> {
        let router = &mut self.routers[index];
        router.frozen = false;
        std::mem::take(&mut router.inbox)
    }

    /// Returns the primary that all running routers may use; `None` unless they agree on one that
    /// is up.
    pub fn primary_in_use(&self, now: f64, service: &Service) -> Option<String> {
        let mut in_use = None;
        for router in self.routers.iter().filter(|router| !router.frozen) {
            let grant = router.usable_primary(router.clock(now))?;
            if in_use.as_ref().is_some_and(|id| *id != grant.server_id) {
                return None;
            }
            in_use = Some(grant.server_id.clone());
        }
        in_use.filter(|id| {
            service
                .servers
                .get(id)
                .is_some_and(|s| s.is_active_primary())
        })
    }
}
