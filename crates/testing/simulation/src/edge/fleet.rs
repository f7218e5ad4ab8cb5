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

/// When a new router's timer first fires and its first statement is due, in seconds from now.
const FIRST_TICK_S: f64 = 0.001;
const FIRST_STATEMENT_S: f64 = 0.003;

/// A router looks for something to do this often, in seconds.
const TICK_INTERVAL_S: f64 = 0.01;

/// A router renews its lease this often, in seconds.
const RENEWAL_INTERVAL_S: f64 = 0.3;

/// A router leaves a control machine that has not answered for so many seconds.
const ANSWER_TIMEOUT_S: f64 = 0.6;

/// A configuration that a router goes by from now on.
#[derive(Clone, Debug)]
pub struct ActivatedConfig {
    /// The index of the router.
    pub router: usize,
    /// The epoch.
    pub epoch: u64,
    /// The text.
    pub text: Rc<[u8]>,
}

/// All routers.
#[derive(Clone)]
pub struct Edge {
    /// The routers; events name them by their index.
    pub routers: Vec<Router>,
    /// Pairs of a control machine and a router that don't reach each other.
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

    /// The process of this control machine has ended, and its connections with it.
    pub(crate) fn close_connections_to(&mut self, node: NodeId) {
        for router in &mut self.routers {
            router.close_connection_to(node);
        }
    }

    /// A control machine sends a message on a router's connection; it is lost if that is closed.
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

    /// A router's timer: it connects, renews its lease, or leaves a control machine.
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
        router.connection = Some(connection);
        router.answered_at = router.clock(now);
        self.request_lease(kernel, index);
    }

    fn request_lease(&mut self, kernel: &mut Kernel, index: usize) {
        let delay = kernel.message_delay();
        let now = kernel.now();
        let router = &mut self.routers[index];
        let clock = router.clock(now);
        router.requested_at = clock;
        let request = router.lease_request(clock);
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

    /// A control machine's message arrives. Returns the configuration if the router goes by
    /// another one from now on.
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

    /// A router goes by this configuration if it is newer than the one before.
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

    /// Wakes a frozen router; returns the messages that waited for it.
    pub(crate) fn thaw(&mut self, index: usize) -> Vec<RouterEvent> {
        let router = &mut self.routers[index];
        router.frozen = false;
        std::mem::take(&mut router.inbox)
    }

    /// The primary that all routers may use, if it is one.
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
