//! Faults by chance: as many machines lost at a time as the budget allows, or any number of them as long as no more disks are lost
//! than it allows; and some that strike all at once.

use crate::disk::{DiskHealth, USUAL};
use crate::oracle::{CATCH_UP, RECOVERY};
use crate::schedule::Chance;
use crate::world::World;
use badgerstream_control::NodeId;

/// Operators at work at once.
const OPERATORS: usize = 6;

/// Routers that are told of configurations.
const ROUTERS: usize = 2;

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    PowerOff,
    Wipe,
    Freeze,
    Cut,
    CutOneWay,
    DiskFull,
    DiskSlow,
    DiskStall,
    Replace,
    ReplacePlanned,
    Restart,
    ResetLinks,
    KillAll,
    PowerOffAll,
    WipeSome,
    Halves,
}

const FAULTS: [Fault; 17] = [
    Fault::Kill,
    Fault::PowerOff,
    Fault::Wipe,
    Fault::Freeze,
    Fault::Cut,
    Fault::CutOneWay,
    Fault::DiskFull,
    Fault::DiskSlow,
    Fault::DiskStall,
    Fault::Replace,
    Fault::ReplacePlanned,
    Fault::Restart,
    Fault::ResetLinks,
    Fault::KillAll,
    Fault::PowerOffAll,
    Fault::WipeSome,
    Fault::Halves,
];

impl Fault {
    /// Whether a disk is lost by it.
    fn loses_a_disk(self) -> bool {
        matches!(self, Fault::Wipe | Fault::Replace | Fault::ReplacePlanned)
    }
}

/// How many machines may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Losses {
    /// No more than the budget allows, until they have caught up.
    WithinBudget,
    /// Any number, and the links between two halves; but no more disks than the budget allows, until all machines decide again.
    /// Service may rest meanwhile.
    BeyondBudget,
}

/// What is to be undone, and when.
#[derive(Clone, Debug)]
enum Undo {
    Start(NodeId),
    Thaw(NodeId),
    Join(NodeId),
    Heal(NodeId),
    MendDisk(NodeId),
    Remove(NodeId),
    JoinHalves,
}

/// A world with faults by chance.
pub struct FaultRun {
    /// The world.
    pub world: World,
    chance: Chance,
    undo: Vec<(f64, Undo)>,
    next_node: NodeId,
    losses: Losses,
    /// Disks lost since all machines last decided.
    disks_lost: usize,
    /// What happened, for a message.
    pub story: Vec<String>,
}

impl FaultRun {
    /// So many machines, of which so many may be lost at once, and a few operators.
    pub fn new(seed: u64, machines: u32, budget: usize, losses: Losses) -> FaultRun {
        let mut world = World::control_only(seed, machines, budget);
        world.links.resets = if seed.is_multiple_of(3) { 2 } else { 0 };
        world.lost_replies = (seed % 4) * 60;
        world.delay = if seed.is_multiple_of(2) {
            0.0015
        } else {
            0.012
        };
        for _ in 0..OPERATORS {
            world.add_operator();
        }
        for at in 0..ROUTERS {
            world.add_router(at);
        }
        let next_node = machines + 1;
        FaultRun {
            world,
            chance: Chance::new(seed ^ 0x5eed),
            undo: Vec::new(),
            next_node,
            losses,
            disks_lost: 0,
            story: Vec::new(),
        }
    }

    /// Plays faults for so many seconds, then waits until all is calm and something was acknowledged.
    pub fn play(&mut self, seconds: f64) {
        self.world.run(3.0);
        let until = self.world.now + seconds;
        while self.world.now < until {
            self.undo_due();
            let pause = if self.chance.of_thousand(300) {
                0.3
            } else {
                3.0
            };
            if self.chance.of_thousand(600) {
                self.strike();
            }
            let wait = self.chance.between(0.0, pause);
            self.wait(wait);
        }
        while !self.undo.is_empty() {
            self.wait(0.1);
        }
        self.world.run(RECOVERY + CATCH_UP);
        assert!(
            self.world.leader().is_some(),
            "nobody leads: {}",
            self.world.describe()
        );
    }

    fn wait(&mut self, seconds: f64) {
        let until = self.world.now + seconds;
        while self.world.now < until {
            let next = self.undo.iter().map(|(at, _)| *at).fold(until, f64::min);
            self.world.run((next - self.world.now).max(0.001));
            self.undo_due();
        }
    }

    fn undo_due(&mut self) {
        let now = self.world.now;
        let (due, kept) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.undo = kept;
        let due: Vec<(f64, Undo)> = due;
        for (_, undo) in due {
            self.tell(format!("{undo:?}"));
            match undo {
                Undo::Start(node) => self.world.start(node),
                Undo::Thaw(node) => self.world.thaw(node),
                Undo::Join(node) => self.world.join(node),
                Undo::Heal(node) => self.world.heal(node),
                Undo::MendDisk(node) => self.world.set_disk(node, USUAL),
                Undo::Remove(node) => self.world.remove(node),
                Undo::JoinHalves => self.world.join_halves(),
            }
        }
    }

    fn tell(&mut self, what: String) {
        self.story.push(format!("{:.3} {what}", self.world.now));
    }

    fn later(&mut self, low: f64, high: f64, undo: Undo) {
        let at = self.world.now + self.chance.between(low, high);
        self.undo.push((at, undo));
    }

    /// One machine that may be lost, the leader as often as not.
    fn victim(&mut self) -> Option<NodeId> {
        let world = &self.world;
        let within = self.losses == Losses::WithinBudget;
        if within && world.lost() >= world.budget {
            return None;
        }
        let fit = |node: &NodeId| {
            if within {
                !world.is_lost(*node)
            } else {
                world.is_well(*node)
            }
        };
        let there = |node: &NodeId| !world.controls[node].removed && fit(node);
        let fit: Vec<NodeId> = world.controls.keys().copied().filter(there).collect();
        let leader = self.world.leader().filter(|leader| fit.contains(leader));
        if self.chance.of_thousand(500) {
            leader.or(self.chance.pick(&fit))
        } else {
            self.chance.pick(&fit)
        }
    }

    fn strike(&mut self) {
        let Some(fault) = self.chance.pick(&FAULTS) else {
            return;
        };
        if self.world.all_decide() && self.world.lost() == 0 {
            self.disks_lost = 0;
        }
        match fault {
            Fault::Halves => self.cut_into_halves(),
            _ if fault.loses_a_disk() && !self.may_lose_a_disk() => {}
            Fault::KillAll | Fault::PowerOffAll | Fault::WipeSome => self.strike_all(fault),
            Fault::ResetLinks => self.world.reset_links(),
            _ => {
                if let Some(node) = self.victim() {
                    self.disks_lost += usize::from(fault.loses_a_disk());
                    self.tell(format!("{fault:?} {node}"));
                    self.strike_one(fault, node);
                }
            }
        }
    }

    /// Whether the disk of one more machine may be lost now.
    fn may_lose_a_disk(&self) -> bool {
        self.losses == Losses::WithinBudget || self.disks_lost < self.world.budget
    }

    /// Half of the machines and the others don't reach each other for some seconds, whatever the budget is.
    fn cut_into_halves(&mut self) {
        if self.losses == Losses::WithinBudget || self.world.halves {
            return;
        }
        let mut others: Vec<NodeId> = self
            .world
            .controls
            .iter()
            .filter(|(_, m)| !m.removed)
            .map(|(node, _)| *node)
            .collect();
        let mut half = Vec::new();
        for _ in 0..others.len() / 2 {
            half.push(others.remove(self.chance.below(others.len() as u64) as usize));
        }
        self.tell(format!("Halves {half:?} {others:?}"));
        self.world.cut_halves(&half, &others);
        self.later(0.2, 6.0, Undo::JoinHalves);
    }

    fn strike_one(&mut self, fault: Fault, node: NodeId) {
        match fault {
            Fault::Kill => {
                self.world.kill(node);
                self.later(0.05, 3.0, Undo::Start(node));
            }
            Fault::PowerOff => {
                self.world.power_off(node);
                self.later(0.5, 6.0, Undo::Start(node));
            }
            Fault::Wipe => {
                self.world.wipe(node);
                self.later(0.05, 3.0, Undo::Start(node));
            }
            Fault::Freeze => {
                self.world.freeze(node);
                self.later(0.05, 5.0, Undo::Thaw(node));
            }
            Fault::Cut => {
                self.world.cut_off(node, true, true);
                self.later(0.2, 20.0, Undo::Heal(node));
            }
            Fault::CutOneWay => {
                let hears = self.chance.of_thousand(500);
                self.world.cut_off(node, hears, !hears);
                self.later(0.2, 20.0, Undo::Heal(node));
            }
            Fault::DiskFull => {
                self.world.set_disk(node, DiskHealth::Full);
                self.later(0.2, 5.0, Undo::MendDisk(node));
            }
            Fault::DiskSlow => {
                let takes = self.chance.between(0.05, 0.5);
                self.world.set_disk(node, DiskHealth::Takes(takes));
                self.later(0.2, 5.0, Undo::MendDisk(node));
            }
            Fault::DiskStall => {
                let stalled = self.chance.between(0.2, 4.0);
                let until = self.world.now + stalled;
                self.world.set_disk(node, DiskHealth::StalledUntil(until));
                self.later(stalled, stalled + 0.01, Undo::MendDisk(node));
            }
            Fault::Replace => {
                self.world.remove(node);
                let successor = self.new_node();
                self.world.seen_successor(node);
                self.later(0.2, 3.0, Undo::Join(successor));
            }
            Fault::ReplacePlanned => {
                let successor = self.new_node();
                self.world.join(successor);
                self.later(2.0, 6.0, Undo::Remove(node));
                self.world.seen_successor(node);
                self.world.leave_before_removal(node);
            }
            Fault::Restart => {
                self.world.resign(node);
                self.wait(0.5);
                self.world.kill(node);
                self.later(0.1, 1.0, Undo::Start(node));
            }
            _ => {}
        }
    }

    fn new_node(&mut self) -> NodeId {
        self.next_node += 1;
        self.next_node - 1
    }

    /// All processes or machines at once, and of some the disks besides.
    fn strike_all(&mut self, fault: Fault) {
        let within = self.losses == Losses::WithinBudget;
        if within && (!self.undo.is_empty() || self.world.lost() > 0) {
            return;
        }
        self.tell(format!("{fault:?}"));
        let there = |node: &NodeId| within || self.world.is_well(*node);
        let machines = self
            .world
            .controls
            .iter()
            .filter(|(_, m)| !m.removed)
            .map(|(node, _)| *node);
        let nodes: Vec<NodeId> = machines.filter(there).collect();
        let disks = if within {
            self.world.budget
        } else {
            self.world.budget - self.disks_lost
        };
        let mut wiped: Vec<NodeId> = nodes.clone();
        while wiped.len() > disks {
            let at = self.chance.below(wiped.len() as u64) as usize;
            wiped.remove(at);
        }
        if fault == Fault::WipeSome {
            self.disks_lost += wiped.len();
        }
        for node in nodes {
            match fault {
                Fault::WipeSome if wiped.contains(&node) => self.world.wipe(node),
                Fault::PowerOffAll | Fault::WipeSome => self.world.power_off(node),
                _ => self.world.kill(node),
            }
            self.later(0.3, 1.5, Undo::Start(node));
        }
    }
}
