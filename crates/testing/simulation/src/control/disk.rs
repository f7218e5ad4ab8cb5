//! The disk of a control machine.

use crate::kernel::RandomSource;
use badgerstream_control::{HardState, MemberInfo, NodeId, State};
use std::rc::Rc;

/// The maximum write latency of a disk that counts as healthy, in seconds.
const MAX_HEALTHY_WRITE_LATENCY_S: f64 = 0.02;

/// The probability that an interrupted or rejected write reaches the disk anyway, in thousandths.
const INTERRUPTED_WRITE_KEPT_PER_MILLE: u64 = 500;

/// The condition of a disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// Each write takes this many seconds.
    WriteLatency(f64),
    /// Writes are rejected.
    Full,
    /// No write completes before this second of simulated time.
    StalledUntil(f64),
}

impl DiskHealth {
    /// Returns whether writes complete at normal speed.
    pub fn is_healthy(self) -> bool {
        matches!(self, DiskHealth::WriteLatency(seconds) if seconds <= MAX_HEALTHY_WRITE_LATENCY_S)
    }
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write completes at this second of simulated time.
    CompletesAt(f64),
    /// The disk rejects the write.
    Rejected,
}

/// The normal condition of a disk: each write takes one millisecond.
pub const HEALTHY_DISK: DiskHealth = DiskHealth::WriteLatency(0.001);

/// The durable state of a control machine, from which its process starts.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Drawn when the disk was first used.
    pub incarnation: u64,
    /// The last hard state that was written.
    pub hard_state: HardState,
    /// The disk's condition.
    pub health: DiskHealth,
    /// The last list of members that was written.
    pub members: Vec<MemberInfo>,
}

impl Disk {
    /// Creates the empty disk of a machine whose settings name these seed nodes.
    pub fn empty(incarnation: u64, seed_nodes: &[NodeId]) -> Disk {
        let hard_state = HardState {
            state: Rc::new(State::founding(seed_nodes.to_vec())),
            ..HardState::default()
        };
        Disk {
            incarnation,
            hard_state,
            health: HEALTHY_DISK,
            members: Vec::new(),
        }
    }

    /// Returns the outcome of a write that begins now.
    pub fn begin_write(&self, now: f64) -> WriteOutcome {
        match self.health {
            DiskHealth::WriteLatency(seconds) => WriteOutcome::CompletesAt(now + seconds),
            DiskHealth::StalledUntil(until) => WriteOutcome::CompletesAt(until.max(now)),
            DiskHealth::Full => WriteOutcome::Rejected,
        }
    }

    /// Interrupts or rejects a write of this hard state: the disk then holds, at random, either the
    /// old or the new hard state.
    pub fn interrupt_write(&mut self, hard_state: HardState, random: &mut RandomSource) {
        if random.per_mille(INTERRUPTED_WRITE_KEPT_PER_MILLE) {
            self.hard_state = hard_state;
        }
    }
}
