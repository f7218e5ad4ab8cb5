//! Faults by chance, as many at a time as the budget allows, and some that strike all at once.

use crate::disk::{DiskHealth, USUAL};
use crate::schedule::Chance;
use crate::world::World;
use badgerstream_control::Node;

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
}

const FAULTS: [Fault; 16] = [
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
];

/// What is to be undone, and when.
#[derive(Clone, Debug)]
enum Undo {
    Start(Node),
    Thaw(Node),
    Join(Node),
    Heal(Node),
    MendDisk(Node),
    Remove(Node),
}

/// A world with faults by chance.
pub struct FaultRun {
    /// The world.
    pub world: World,
    chance: Chance,
    undo: Vec<(f64, Undo)>,
    next_node: Node,
    /// What happened, for a message.
    pub story: Vec<String>,
}

impl FaultRun {
    /// So many machines, of which so many may be lost at once, and a few operators.
    pub fn new(seed: u64, machines: u32, budget: usize) -> FaultRun {
        let mut world = World::control_only(seed, machines, budget);
        world.links.resets = if seed.is_multiple_of(3) { 2 } else { 0 };
        world.lost_replies = (seed % 4) * 60;
        world.delay = if seed.is_multiple_of(2) { 0.0015 } else { 0.012 };
        for _ in 0..OPERATORS {
            world.add_operator();
        }
        for at in 0..ROUTERS {
            world.add_router(at);
        }
        let next_node = machines + 1;
        FaultRun { world, chance: Chance::new(seed ^ 0x5eed), undo: Vec::new(), next_node, story: Vec::new() }
    }

    /// Plays faults for so many seconds, then waits until all is calm and something was acknowledged.
    pub fn play(&mut self, seconds: f64) {
        self.world.run(3.0);
        let until = self.world.now + seconds;
        while self.world.now < until {
            self.undo_due();
            let pause = if self.chance.of_thousand(300) { 0.3 } else { 3.0 };
            if self.chance.of_thousand(600) {
                self.strike();
            }
            let wait = self.chance.between(0.0, pause);
            self.wait(wait);
        }
        while !self.undo.is_empty() {
            self.wait(0.1);
        }
        self.world.run(9.0);
        assert!(self.world.leader().is_some(), "nobody leads: {}", self.world.describe());
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
        let (due, kept) = std::mem::take(&mut self.undo).into_iter().partition(|(at, _)| *at <= now);
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

    /// One machine that may be lost within the budget, the leader as often as not.
    fn victim(&mut self) -> Option<Node> {
        if self.world.lost() >= self.world.budget {
            return None;
        }
        let world = &self.world;
        let there = |node: &Node| !world.controls[node].removed && !world.is_lost(*node);
        let fit: Vec<Node> = world.controls.keys().copied().filter(there).collect();
        let leader = self.world.leader().filter(|leader| fit.contains(leader));
        if self.chance.of_thousand(500) { leader.or(self.chance.pick(&fit)) } else { self.chance.pick(&fit) }
    }

    fn strike(&mut self) {
        let Some(fault) = self.chance.pick(&FAULTS) else { return };
        match fault {
            Fault::KillAll | Fault::PowerOffAll | Fault::WipeSome => self.strike_all(fault),
            Fault::ResetLinks => self.world.reset_links(),
            _ => {
                if let Some(node) = self.victim() {
                    self.tell(format!("{fault:?} {node}"));
                    self.strike_one(fault, node);
                }
            }
        }
    }

    fn strike_one(&mut self, fault: Fault, node: Node) {
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

    fn new_node(&mut self) -> Node {
        self.next_node += 1;
        self.next_node - 1
    }

    /// All processes or machines at once, and of some the disks besides.
    fn strike_all(&mut self, fault: Fault) {
        if !self.undo.is_empty() || self.world.lost() > 0 {
            return;
        }
        self.tell(format!("{fault:?}"));
        let nodes: Vec<Node> =
            self.world.controls.iter().filter(|(_, m)| !m.removed).map(|(node, _)| *node).collect();
        let mut wiped: Vec<Node> = nodes.clone();
        while wiped.len() > self.world.budget {
            let at = self.chance.below(wiped.len() as u64) as usize;
            wiped.remove(at);
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
