//! The disk of a control machine.

use crate::schedule::RandomSource;
use badgerstream_control::{HardState, MemberInfo, NodeId, State};
use std::rc::Rc;

/// How a disk takes what is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// A save takes so many seconds.
    WriteLatency(f64),
    /// Saves are refused.
    Full,
    /// Saves end at that second, at the earliest.
    StalledUntil(f64),
}

/// What a save comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It is done at that second.
    CompletedAt(f64),
    /// It is refused.
    Rejected,
}

/// A save of a few milliseconds.
pub const HEALTHY_DISK: DiskHealth = DiskHealth::WriteLatency(0.001);

/// What a control machine finds when it starts.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Drawn when the disk was first used.
    pub incarnation: u64,
    /// The record that was saved last.
    pub hard_state: HardState,
    /// How it takes what is written.
    pub health: DiskHealth,
    /// The servers that were known.
    pub members: Vec<MemberInfo>,
}

impl Disk {
    /// An empty disk of a machine that is told of these control machines.
    pub fn empty(incarnation: u64, seeds: &[NodeId]) -> Disk {
        let record = HardState {
            state: Rc::new(State::founding(seeds.to_vec())),
            ..HardState::default()
        };
        Disk {
            incarnation,
            hard_state: record,
            health: HEALTHY_DISK,
            members: Vec::new(),
        }
    }

    /// What a save that begins now comes to.
    pub fn begin_write(&self, now: f64) -> WriteOutcome {
        match self.health {
            DiskHealth::WriteLatency(seconds) => WriteOutcome::CompletedAt(now + seconds),
            DiskHealth::StalledUntil(until) => WriteOutcome::CompletedAt(until.max(now)),
            DiskHealth::Full => WriteOutcome::Rejected,
        }
    }

    /// A save of this record was cut short or refused: either record may be on the disk.
    pub fn interrupt_write(&mut self, record: HardState, chance: &mut RandomSource) {
        if chance.per_mille(500) {
            self.hard_state = record;
        }
    }
}
