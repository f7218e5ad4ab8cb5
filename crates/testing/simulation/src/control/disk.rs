//! The disk of a control machine.

use crate::kernel::RandomSource;
use badgerstream_control::{HardState, MemberInfo, NodeId, State};
use std::rc::Rc;

/// A write that takes longer, in seconds, makes a disk count as unhealthy.
const SLOW_WRITE_S: f64 = 0.02;

/// A write that is cut short or rejected is on the disk all the same this often.
const INTERRUPTED_WRITE_KEPT_PER_MILLE: u64 = 500;

/// The condition of a disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// A write takes so many seconds.
    WriteLatency(f64),
    /// Writes are rejected.
    Full,
    /// Writes complete at that second at the earliest.
    StalledUntil(f64),
}

impl DiskHealth {
    /// Whether writes complete, without being slow.
    pub fn is_healthy(self) -> bool {
        matches!(self, DiskHealth::WriteLatency(seconds) if seconds <= SLOW_WRITE_S)
    }
}

/// What comes of a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It completes at that second.
    CompletesAt(f64),
    /// It is rejected.
    Rejected,
}

/// The usual disk, with writes of a millisecond.
pub const HEALTHY_DISK: DiskHealth = DiskHealth::WriteLatency(0.001);

/// What a control machine finds when its process starts.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Drawn when the disk was first used.
    pub incarnation: u64,
    /// The hard state that was written last.
    pub hard_state: HardState,
    /// Its condition.
    pub health: DiskHealth,
    /// The members that were known.
    pub members: Vec<MemberInfo>,
}

impl Disk {
    /// An empty disk of a machine whose settings name these seed nodes.
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

    /// What comes of a write that begins now.
    pub fn begin_write(&self, now: f64) -> WriteOutcome {
        match self.health {
            DiskHealth::WriteLatency(seconds) => WriteOutcome::CompletesAt(now + seconds),
            DiskHealth::StalledUntil(until) => WriteOutcome::CompletesAt(until.max(now)),
            DiskHealth::Full => WriteOutcome::Rejected,
        }
    }

    /// A write of this hard state was cut short or rejected: either the old or the new one is on
    /// the disk.
    pub fn interrupt_write(&mut self, hard_state: HardState, random: &mut RandomSource) {
        if random.per_mille(INTERRUPTED_WRITE_KEPT_PER_MILLE) {
            self.hard_state = hard_state;
        }
    }
}
