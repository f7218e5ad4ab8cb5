//! One control machine: its process, disk and clock.

use super::disk::Disk;
use crate::event::{ControlEvent, Process};
use crate::health::Health;
use badgerstream_control::{Controller, HardState, NodeId, Output, Voter};
use std::collections::VecDeque;

/// By how much the clock of each machine is ahead of that of the machine before it, in seconds: the
/// decisions must not compare clocks of different machines.
const CLOCK_OFFSET_STEP_S: f64 = 1000.0;

/// A write of the hard state that the process waits for.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// What is being written.
    pub(super) hard_state: HardState,
    /// The outputs behind it, which rely on it.
    pub(super) deferred_outputs: VecDeque<Output>,
    /// The disk has completed it, but the process is frozen.
    pub(super) completed: bool,
}

/// One control machine.
#[derive(Clone)]
pub struct ControlMachine {
    /// Its number.
    pub node: NodeId,
    /// Its decisions; `None` while its process doesn't run.
    pub controller: Option<Controller>,
    /// The incarnation of its process; 0 before the first.
    pub process_incarnation: u64,
    /// Its disk.
    pub disk: Disk,
    /// Whether its process runs, has ended, or its machine is without power.
    pub health: Health,
    /// Its process is stopped, as by SIGSTOP.
    pub frozen: bool,
    /// The write that its process waits for.
    pub(super) pending_write: Option<PendingWrite>,
    /// Events that arrived while the process was stalled.
    pub(super) inbox: Vec<ControlEvent>,
    /// When the members were last written, in seconds of simulated time.
    pub(super) members_persisted_at: f64,
    /// Its clock is ahead of simulated time by so many seconds.
    pub clock_offset: f64,
    /// The control machines that its settings name.
    pub seed_nodes: Vec<NodeId>,
    /// Its process has got SIGTERM.
    pub shutting_down: bool,
    /// It was replaced: its process never comes back.
    pub removed: bool,
}

impl ControlMachine {
    /// A machine with an empty disk, not started yet.
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

    /// Whether its process takes in nothing now: it is frozen or waits for its disk.
    pub fn is_stalled(&self) -> bool {
        self.frozen || self.pending_write.is_some()
    }

    /// The machine's clock at this second of simulated time.
    pub fn clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// The machine as a voter: its number and the incarnation of its disk.
    pub fn voter(&self) -> Voter {
        Voter {
            node: self.node,
            incarnation: self.disk.incarnation,
        }
    }

    /// Its process now.
    pub fn process(&self) -> Process {
        Process {
            node: self.node,
            incarnation: self.process_incarnation,
        }
    }

    /// The controller, if the process runs and believes that it leads.
    pub(crate) fn leading_controller(&self) -> Option<&Controller> {
        self.controller.as_ref().filter(|c| c.is_leader())
    }
}
