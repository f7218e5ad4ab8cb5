//! The disk of a control machine.

use crate::schedule::Chance;
use badgerstream_control::{HardState, MemberInfo, NodeId, State};
use std::rc::Rc;

/// How a disk takes what is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskHealth {
    /// A save takes so many seconds.
    Takes(f64),
    /// Saves are refused.
    Full,
    /// Saves end at that second, at the earliest.
    StalledUntil(f64),
}

/// What a save comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Save {
    /// It is done at that second.
    DoneAt(f64),
    /// It is refused.
    Refused,
}

/// A save of a few milliseconds.
pub const USUAL: DiskHealth = DiskHealth::Takes(0.001);

/// What a control machine finds when it starts.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Drawn when the disk was first used.
    pub incarnation: u64,
    /// The record that was saved last.
    pub record: HardState,
    /// How it takes what is written.
    pub health: DiskHealth,
    /// The servers that were known.
    pub servers: Vec<MemberInfo>,
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
            record,
            health: USUAL,
            servers: Vec::new(),
        }
    }

    /// What a save that begins now comes to.
    pub fn begin_save(&self, now: f64) -> Save {
        match self.health {
            DiskHealth::Takes(seconds) => Save::DoneAt(now + seconds),
            DiskHealth::StalledUntil(until) => Save::DoneAt(until.max(now)),
            DiskHealth::Full => Save::Refused,
        }
    }

    /// A save of this record was cut short or refused: either record may be on the disk.
    pub fn save_unfinished(&mut self, record: HardState, chance: &mut Chance) {
        if chance.of_thousand(500) {
            self.record = record;
        }
    }
}
