//! One control machine: its process, disk and clock.

use super::disk::Disk;
use crate::event::{ControlEvent, Process};
use crate::health::Health;
use badgerstream_control::{Controller, HardState, NodeId, Output, Voter};
use std::collections::VecDeque;

/// The difference between the clocks of two machines with consecutive numbers, in seconds. It
/// exposes decisions that compare clocks of different machines, which they must not do.
const CLOCK_OFFSET_STEP_S: f64 = 1000.0;

/// A write of the hard state that the process waits for.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// What is being written.
    pub(super) hard_state: HardState,
    /// The outputs that follow the write and must wait for it.
    pub(super) deferred_outputs: VecDeque<Output>,
    /// Whether the disk has completed the write while the process was frozen.
    pub(super) completed: bool,
}

/// One control machine.
#[derive(Clone)]
pub struct ControlMachine {
    /// The machine's number.
    pub node: NodeId,
    /// The controller, which makes the machine's decisions; `None` while the process isn't running.
    pub controller: Option<Controller>,
    /// The incarnation of the process; 0 before the first start.
    pub process_incarnation: u64,
    /// The machine's disk.
    pub disk: Disk,
    /// Whether the process is running, the process has ended, or the machine has no power.
    pub health: Health,
    /// Whether the process is stopped, as by SIGSTOP.
    pub frozen: bool,
    /// The write that the process is waiting for.
    pub(super) pending_write: Option<PendingWrite>,
    /// Events that arrived while the process was stalled.
    pub(super) inbox: Vec<ControlEvent>,
    /// The time of the last write of the members, in seconds of simulated time.
    pub(super) members_persisted_at: f64,
    /// The machine's clock minus simulated time, in seconds.
    pub clock_offset: f64,
    /// The control machines that the machine's settings name.
    pub seed_nodes: Vec<NodeId>,
    /// Whether the process has received SIGTERM.
    pub shutting_down: bool,
    /// Whether the machine was removed permanently: its process never starts again.
    pub removed: bool,
}

impl ControlMachine {
    /// Creates a machine with an empty disk that has not been started.
    pub(super) fn new(node: NodeId, disk_incarnation: u64, seed_nodes: &[NodeId]) -> Self {
        ControlMachine {
            node,
            controller: None,
            process_incarnation: 0,
            disk: Disk::empty(disk_incarnation, seed_nodes),
            health: Health::Down,
            frozen: false,
            pending_write: None,
            inbox: Vec::new(),
            members_persisted_at: f64::NEG_INFINITY,
            clock_offset: f64::from(node) * CLOCK_OFFSET_STEP_S,
            seed_nodes: seed_nodes.to_vec(),
            shutting_down: false,
            removed: false,
        }
    }

    /// Returns whether the process handles no events now, because it is frozen or waits for its
    /// disk.
    pub fn is_stalled(&self) -> bool {
        self.frozen || self.pending_write.is_some()
    }

    /// Returns the machine's clock at this second of simulated time.
    pub fn clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Returns the machine as a voter: its number and the incarnation of its disk.
    pub fn voter(&self) -> Voter {
        Voter {
            node: self.node,
            incarnation: self.disk.incarnation,
        }
    }

    /// Returns the machine's current process.
    pub fn process(&self) -> Process {
        Process {
            node: self.node,
            incarnation: self.process_incarnation,
        }
    }

    /// Returns the controller if the process is running and considers itself the leader.
    pub(crate) fn leading_controller(&self) -> Option<&Controller> {
        self.controller.as_ref().filter(|c| c.is_leader())
    }
}
