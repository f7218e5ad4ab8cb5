//! The actions by which a test or the fault injector changes the simulation.

use super::Simulation;
use crate::control::{DiskHealth, Isolation};
use crate::event::{ControlEvent, ServerEvent};
use crate::health::Health;
use crate::service::{AcknowledgementPath, ServerRole};
use badgerstream_control::{ControlRequest, Controller, NodeId};

/// The delay before a machine that will be removed receives SIGTERM, in seconds.
const SHUTDOWN_DELAY_S: f64 = 1.5;

/// Control machines.
impl Simulation {
    fn record_fault(&mut self, node: NodeId) {
        let now = self.kernel.now();
        self.oracle.losses.record_fault(node, now);
    }

    /// Adds a machine with a new address and an empty disk, and starts it.
    pub fn add_and_start(&mut self, node: NodeId) {
        self.control.add_machine(&mut self.kernel, node);
        self.start(node);
    }

    /// Starts the machine's process from the state on its disk.
    pub fn start(&mut self, node: NodeId) {
        self.record_fault(node);
        self.control.start(&mut self.kernel, node);
    }

    /// Kills the process, as by SIGKILL. If a write was in progress, the disk holds either the
    /// state before it or the state after it.
    pub fn kill(&mut self, node: NodeId) {
        self.kernel.trace(|| format!("control {node} killed"));
        self.end_process(node, Health::Down);
    }

    /// Cuts the machine's power: its process ends, but its peers see no closed connections.
    pub fn power_off(&mut self, node: NodeId) {
        self.kernel.trace(|| format!("control {node} loses power"));
        self.end_process(node, Health::Unresponsive);
    }

    fn end_process(&mut self, node: NodeId, health: Health) {
        self.record_fault(node);
        self.control.end_process(&mut self.kernel, node, health);
        self.edge.close_connections_to(node);
    }

    /// Kills the process and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, node: NodeId) {
        self.kill(node);
        self.control.replace_disk(&mut self.kernel, node);
    }

    /// Cuts the machine's power permanently.
    pub fn remove(&mut self, node: NodeId) {
        self.power_off(node);
        self.control.machine_mut(node).removed = true;
    }

    /// Stops the process, as by SIGSTOP.
    pub fn freeze(&mut self, node: NodeId) {
        self.kernel.trace(|| format!("control {node} frozen"));
        self.record_fault(node);
        self.control.machine_mut(node).frozen = true;
    }

    /// Continues a frozen process, as by SIGCONT.
    pub fn thaw(&mut self, node: NodeId) {
        self.kernel.trace(|| format!("control {node} thawed"));
        self.record_fault(node);
        if let Some(process) = self.control.thaw(node) {
            self.persist_completed(process);
        }
        self.drain_inbox(node);
    }

    /// Sets the condition of the machine's disk.
    pub fn set_disk_health(&mut self, node: NodeId, health: DiskHealth) {
        self.kernel
            .trace(|| format!("disk of control {node}: {health:?}"));
        self.record_fault(node);
        self.control.machine_mut(node).disk.health = health;
    }

    /// Sends SIGTERM to the process, which then resigns.
    pub fn request_shutdown(&mut self, node: NodeId) {
        self.kernel.trace(|| format!("control {node} gets SIGTERM"));
        self.record_fault(node);
        if let Some(machine) = self.control.machines.get_mut(&node) {
            machine.shutting_down = true;
        }
        self.decide(node, Controller::resign);
    }

    /// Schedules a SIGTERM to the process of a machine that will be removed.
    pub fn schedule_shutdown(&mut self, node: NodeId) {
        self.record_fault(node);
        let shutdown = ControlEvent::ShutdownRequested(node);
        self.kernel.schedule(SHUTDOWN_DELAY_S, shutdown);
    }

    /// Tells the oracle that another machine replaces this one from now on.
    pub fn expect_successor(&mut self, node: NodeId) {
        let now = self.kernel.now();
        self.oracle.losses.expect_successor(node, now);
    }
}

/// The network between control machines.
impl Simulation {
    /// Blocks the links of this machine to all other control machines.
    pub fn isolate(&mut self, node: NodeId, isolation: Isolation) {
        self.kernel
            .trace(|| format!("control {node} is isolated: {isolation:?}"));
        self.control.isolate(node, isolation);
        self.record_fault(node);
    }

    /// Unblocks all links of this machine.
    pub fn heal(&mut self, node: NodeId) {
        self.kernel
            .trace(|| format!("control {node} is no longer isolated"));
        self.record_fault(node);
        self.control.heal(&mut self.kernel, node);
    }

    /// Blocks all links between these two groups of control machines. Both groups still reach all
    /// routers, servers and operators.
    pub fn partition_halves(&mut self, half: &[NodeId], other_half: &[NodeId]) {
        self.kernel
            .trace(|| format!("control is partitioned into {half:?} and {other_half:?}"));
        self.record_network_fault();
        self.control.partition_halves(half, other_half);
    }

    /// Unblocks all links, including those of isolated machines.
    pub fn rejoin_halves(&mut self) {
        self.kernel
            .trace(|| "control is no longer partitioned".to_owned());
        self.record_network_fault();
        self.heal_all();
    }

    /// Unblocks all links without recording a fault.
    pub fn heal_all(&mut self) {
        self.control.heal_all(&mut self.kernel);
    }

    /// Resets all connections between control machines.
    pub fn reset_connections(&mut self) {
        self.control.reset_connections();
        self.record_network_fault();
    }

    fn record_network_fault(&mut self) {
        let now = self.kernel.now();
        self.oracle.losses.record_network_fault(now);
    }
}

/// Routers and operators.
impl Simulation {
    /// Adds a router.
    pub fn add_router(&mut self) {
        let control_nodes = self.control.seed_nodes.clone();
        self.edge.add_router(&mut self.kernel, control_nodes);
    }

    /// Stops the router's process, as by SIGSTOP.
    pub fn freeze_router(&mut self, index: usize) {
        self.edge.routers[index].frozen = true;
    }

    /// Continues a frozen router.
    pub fn thaw_router(&mut self, index: usize) {
        for event in self.edge.thaw(index) {
            self.handle_router(event);
        }
    }

    /// Adds an operator.
    pub fn add_operator(&mut self) {
        self.operators.add_operator(&mut self.kernel);
    }
}

/// Database servers.
impl Simulation {
    /// Lets clients learn of each commit as soon as a replica has it, whatever the routers know. The
    /// routers report nothing, as those of earlier releases.
    pub fn acknowledge_directly(&mut self) {
        self.service.acknowledgement_path = AcknowledgementPath::Direct;
        self.routers_report_nothing();
    }

    /// Lets routers report nothing of what they have passed on, as those of earlier releases.
    pub fn routers_report_nothing(&mut self) {
        for router in &mut self.edge.routers {
            router.reports_positions = false;
        }
    }

    /// Adds a server.
    pub fn add_server(&mut self, id: &str, endpoint: &str, role: ServerRole) {
        let kernel = &mut self.kernel;
        self.service.add_server(kernel, id, endpoint, role);
    }

    /// Ends the server's process.
    pub fn crash(&mut self, id: &str) {
        self.kernel.trace(|| format!("server {id} crashes"));
        self.service.crash(id);
    }

    /// Makes the server hang: it processes and answers nothing.
    pub fn make_unresponsive(&mut self, id: &str) {
        self.kernel.trace(|| format!("server {id} is unresponsive"));
        self.service.server_mut(id).health = Health::Unresponsive;
    }

    /// Cuts the server off from the control machines and the routers, but not from other servers.
    pub fn cut_off_server(&mut self, id: &str) {
        let service = &mut self.service;
        service.unresponsive_to_control.insert(id.to_owned());
        service.unresponsive_to_routers.insert(id.to_owned());
        service.server_mut(id).sends_heartbeats = false;
    }

    /// Like [`Simulation::cut_off_server`], but connections are refused at once, as those to a
    /// server that has crashed are.
    pub fn cut_off_server_refusing(&mut self, id: &str) {
        self.kernel
            .trace(|| format!("server {id} is behind a cut that refuses"));
        self.cut_off_server(id);
        self.service.unresponsive_to_control.remove(id);
        self.service.refusing_control.insert(id.to_owned());
    }

    /// Ends the cut of [`Simulation::cut_off_server`] or [`Simulation::cut_off_server_refusing`].
    pub fn end_cut_of_server(&mut self, id: &str) {
        let service = &mut self.service;
        service.unresponsive_to_control.remove(id);
        service.refusing_control.remove(id);
        service.unresponsive_to_routers.remove(id);
        service.server_mut(id).sends_heartbeats = true;
    }

    /// Restarts the server with its log, as a replica if another server was promoted meanwhile.
    pub fn recover(&mut self, id: &str) {
        self.kernel.trace(|| format!("server {id} is back"));
        self.service.recover(&mut self.kernel, id);
    }

    /// Restarts a server at its address under another id, with its log. It is the primary if it was
    /// before and no other server has been promoted since.
    pub fn recover_with_new_id(&mut self, old_id: &str, new_id: &str) {
        let kernel = &mut self.kernel;
        self.service.recover_with_new_id(kernel, old_id, new_id);
    }

    /// Makes the server report from now on that it is draining.
    pub fn drain(&mut self, id: &str) {
        self.kernel.trace(|| format!("server {id} drains"));
        self.service.server_mut(id).draining = true;
        let heartbeat = ServerEvent::HeartbeatDue(id.to_owned());
        self.kernel.schedule(0.0, heartbeat);
    }

    /// Announces the server's departure and ends its process.
    pub fn depart(&mut self, id: &str) {
        self.kernel.trace(|| format!("server {id} departs"));
        self.service.server_mut(id).health = Health::Down;
        self.send_departure(id);
    }

    /// Announces the server's departure although it has not drained and continues to serve.
    pub fn depart_while_serving(&mut self, id: &str) {
        self.kernel
            .trace(|| format!("server {id} departs and serves on"));
        self.send_departure(id);
    }

    fn send_departure(&mut self, id: &str) {
        self.service.server_mut(id).departed = true;
        if let Some(node) = self.control.random_reachable_machine(&mut self.kernel) {
            let server_id = id.to_owned();
            self.submit_request(node, 0, ControlRequest::Depart { server_id });
        }
    }

    /// Promotes this server now.
    pub fn promote(&mut self, id: &str) {
        self.service.promote(&mut self.kernel, id);
    }
}
