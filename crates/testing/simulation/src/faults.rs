//! Faults by chance: as many machines lost at a time as the budget allows, or any number of them as long as no more disks are lost
//! than it allows; and some that strike all at once.

use crate::disk::{DiskHealth, HEALTHY_DISK};
use crate::oracle::{CATCH_UP_S, RECOVERY_S};
use crate::schedule::RandomSource;
use crate::simulation::Simulation;
use badgerstream_control::NodeId;

/// Operators at work at once.
const OPERATOR_COUNT: usize = 6;

/// Routers that are told of configurations.
const ROUTER_COUNT: usize = 2;

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    PowerOff,
    LoseDisk,
    Freeze,
    Isolate,
    IsolateOneWay,
    DiskFull,
    DiskSlow,
    DiskStall,
    Replace,
    ReplacePlanned,
    Restart,
    ResetConnections,
    KillAll,
    PowerOffAll,
    LoseSomeDisks,
    PartitionHalves,
}

const FAULTS: [Fault; 17] = [
    Fault::Kill,
    Fault::PowerOff,
    Fault::LoseDisk,
    Fault::Freeze,
    Fault::Isolate,
    Fault::IsolateOneWay,
    Fault::DiskFull,
    Fault::DiskSlow,
    Fault::DiskStall,
    Fault::Replace,
    Fault::ReplacePlanned,
    Fault::Restart,
    Fault::ResetConnections,
    Fault::KillAll,
    Fault::PowerOffAll,
    Fault::LoseSomeDisks,
    Fault::PartitionHalves,
];

impl Fault {
    /// Whether a disk is lost by it.
    fn loses_disk(self) -> bool {
        matches!(
            self,
            Fault::LoseDisk | Fault::Replace | Fault::ReplacePlanned
        )
    }
}

/// How many machines may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossPolicy {
    /// No more than the budget allows, until they have caught up.
    WithinBudget,
    /// Any number, and the links between two halves; but no more disks than the budget allows, until all machines decide again.
    /// Service may rest meanwhile.
    BeyondBudget,
}

/// What is to be undone, and when.
#[derive(Clone, Debug)]
enum Recovery {
    Start(NodeId),
    Thaw(NodeId),
    Join(NodeId),
    Heal(NodeId),
    RepairDisk(NodeId),
    Remove(NodeId),
    RejoinHalves,
}

/// A world with faults by chance.
pub struct FaultRun {
    /// The world.
    pub simulation: Simulation,
    random: RandomSource,
    pending_recoveries: Vec<(f64, Recovery)>,
    next_node: NodeId,
    loss_policy: LossPolicy,
    /// Disks lost since all machines last decided.
    disks_lost: usize,
    /// What happened, for a message.
    pub fault_log: Vec<String>,
}

impl FaultRun {
    /// So many machines, of which so many may be lost at once, and a few operators.
    pub fn new(seed: u64, machines: u32, budget: usize, losses: LossPolicy) -> FaultRun {
        let mut simulation = Simulation::control_only(seed, machines, budget);
        simulation.network.resets_per_mille = if seed.is_multiple_of(3) { 2 } else { 0 };
        simulation.operator_answers_lost_per_mille = (seed % 4) * 60;
        simulation.message_delay_s = if seed.is_multiple_of(2) {
            0.0015
        } else {
            0.012
        };
        for _ in 0..OPERATOR_COUNT {
            simulation.add_operator();
        }
        for at in 0..ROUTER_COUNT {
            simulation.add_router(at);
        }
        let next_node = machines + 1;
        FaultRun {
            simulation,
            random: RandomSource::new(seed ^ 0x5eed),
            pending_recoveries: Vec::new(),
            next_node,
            loss_policy: losses,
            disks_lost: 0,
            fault_log: Vec::new(),
        }
    }

    /// Plays faults for so many seconds, then waits until all is calm and something was acknowledged.
    pub fn play(&mut self, seconds: f64) {
        self.simulation.run(3.0);
        let until = self.simulation.now + seconds;
        while self.simulation.now < until {
            self.recover_due();
            let pause = if self.random.per_mille(300) { 0.3 } else { 3.0 };
            if self.random.per_mille(600) {
                self.inject();
            }
            let wait = self.random.between(0.0, pause);
            self.wait(wait);
        }
        while !self.pending_recoveries.is_empty() {
            self.wait(0.1);
        }
        self.simulation.run(RECOVERY_S + CATCH_UP_S);
        assert!(
            self.simulation.leader().is_some(),
            "nobody leads: {}",
            self.simulation.describe()
        );
    }

    fn wait(&mut self, seconds: f64) {
        let until = self.simulation.now + seconds;
        while self.simulation.now < until {
            let next = self
                .pending_recoveries
                .iter()
                .map(|(at, _)| *at)
                .fold(until, f64::min);
            self.simulation.run((next - self.simulation.now).max(0.001));
            self.recover_due();
        }
    }

    fn recover_due(&mut self) {
        let now = self.simulation.now;
        let (due, kept) = std::mem::take(&mut self.pending_recoveries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_recoveries = kept;
        let due: Vec<(f64, Recovery)> = due;
        for (_, undo) in due {
            self.log_fault(format!("{undo:?}"));
            match undo {
                Recovery::Start(node) => self.simulation.start(node),
                Recovery::Thaw(node) => self.simulation.thaw(node),
                Recovery::Join(node) => self.simulation.add_and_start(node),
                Recovery::Heal(node) => self.simulation.heal(node),
                Recovery::RepairDisk(node) => self.simulation.set_disk_health(node, HEALTHY_DISK),
                Recovery::Remove(node) => self.simulation.remove(node),
                Recovery::RejoinHalves => self.simulation.rejoin_halves(),
            }
        }
    }

    fn log_fault(&mut self, what: String) {
        self.fault_log
            .push(format!("{:.3} {what}", self.simulation.now));
    }

    fn schedule_recovery(&mut self, low: f64, high: f64, undo: Recovery) {
        let at = self.simulation.now + self.random.between(low, high);
        self.pending_recoveries.push((at, undo));
    }

    /// One machine that may be lost, the leader as often as not.
    fn choose_victim(&mut self) -> Option<NodeId> {
        let simulation = &self.simulation;
        let within = self.loss_policy == LossPolicy::WithinBudget;
        if within && simulation.lost_machines() >= simulation.fault_budget {
            return None;
        }
        let fit = |node: &NodeId| {
            if within {
                !simulation.is_lost(*node)
            } else {
                simulation.is_healthy(*node)
            }
        };
        let there = |node: &NodeId| !simulation.machines[node].removed && fit(node);
        let fit: Vec<NodeId> = simulation.machines.keys().copied().filter(there).collect();
        let leader = self
            .simulation
            .leader()
            .filter(|leader| fit.contains(leader));
        if self.random.per_mille(500) {
            leader.or(self.random.pick(&fit))
        } else {
            self.random.pick(&fit)
        }
    }

    fn inject(&mut self) {
        let Some(fault) = self.random.pick(&FAULTS) else {
            return;
        };
        if self.simulation.all_machines_vote() && self.simulation.lost_machines() == 0 {
            self.disks_lost = 0;
        }
        match fault {
            Fault::PartitionHalves => self.partition_into_halves(),
            _ if fault.loses_disk() && !self.may_lose_disk() => {}
            Fault::KillAll | Fault::PowerOffAll | Fault::LoseSomeDisks => self.inject_on_all(fault),
            Fault::ResetConnections => self.simulation.reset_connections(),
            _ => {
                if let Some(node) = self.choose_victim() {
                    self.disks_lost += usize::from(fault.loses_disk());
                    self.log_fault(format!("{fault:?} {node}"));
                    self.inject_on_machine(fault, node);
                }
            }
        }
    }

    /// Whether the disk of one more machine may be lost now.
    fn may_lose_disk(&self) -> bool {
        self.loss_policy == LossPolicy::WithinBudget
            || self.disks_lost < self.simulation.fault_budget
    }

    /// Half of the machines and the others don't reach each other for some seconds, whatever the budget is.
    fn partition_into_halves(&mut self) {
        if self.loss_policy == LossPolicy::WithinBudget || self.simulation.halved {
            return;
        }
        let mut others: Vec<NodeId> = self
            .simulation
            .machines
            .iter()
            .filter(|(_, m)| !m.removed)
            .map(|(node, _)| *node)
            .collect();
        let mut half = Vec::new();
        for _ in 0..others.len() / 2 {
            half.push(others.remove(self.random.below(others.len() as u64) as usize));
        }
        self.log_fault(format!("Halves {half:?} {others:?}"));
        self.simulation.partition_halves(&half, &others);
        self.schedule_recovery(0.2, 6.0, Recovery::RejoinHalves);
    }

    fn inject_on_machine(&mut self, fault: Fault, node: NodeId) {
        match fault {
            Fault::Kill => {
                self.simulation.kill(node);
                self.schedule_recovery(0.05, 3.0, Recovery::Start(node));
            }
            Fault::PowerOff => {
                self.simulation.power_off(node);
                self.schedule_recovery(0.5, 6.0, Recovery::Start(node));
            }
            Fault::LoseDisk => {
                self.simulation.lose_disk(node);
                self.schedule_recovery(0.05, 3.0, Recovery::Start(node));
            }
            Fault::Freeze => {
                self.simulation.freeze(node);
                self.schedule_recovery(0.05, 5.0, Recovery::Thaw(node));
            }
            Fault::Isolate => {
                self.simulation.isolate(node, true, true);
                self.schedule_recovery(0.2, 20.0, Recovery::Heal(node));
            }
            Fault::IsolateOneWay => {
                let hears = self.random.per_mille(500);
                self.simulation.isolate(node, hears, !hears);
                self.schedule_recovery(0.2, 20.0, Recovery::Heal(node));
            }
            Fault::DiskFull => {
                self.simulation.set_disk_health(node, DiskHealth::Full);
                self.schedule_recovery(0.2, 5.0, Recovery::RepairDisk(node));
            }
            Fault::DiskSlow => {
                let takes = self.random.between(0.05, 0.5);
                self.simulation
                    .set_disk_health(node, DiskHealth::WriteLatency(takes));
                self.schedule_recovery(0.2, 5.0, Recovery::RepairDisk(node));
            }
            Fault::DiskStall => {
                let stalled = self.random.between(0.2, 4.0);
                let until = self.simulation.now + stalled;
                self.simulation
                    .set_disk_health(node, DiskHealth::StalledUntil(until));
                self.schedule_recovery(stalled, stalled + 0.01, Recovery::RepairDisk(node));
            }
            Fault::Replace => {
                self.simulation.remove(node);
                let successor = self.new_node();
                self.simulation.expect_successor(node);
                self.schedule_recovery(0.2, 3.0, Recovery::Join(successor));
            }
            Fault::ReplacePlanned => {
                let successor = self.new_node();
                self.simulation.add_and_start(successor);
                self.schedule_recovery(2.0, 6.0, Recovery::Remove(node));
                self.simulation.expect_successor(node);
                self.simulation.schedule_shutdown(node);
            }
            Fault::Restart => {
                self.simulation.request_shutdown(node);
                self.wait(0.5);
                self.simulation.kill(node);
                self.schedule_recovery(0.1, 1.0, Recovery::Start(node));
            }
            _ => {}
        }
    }

    fn new_node(&mut self) -> NodeId {
        self.next_node += 1;
        self.next_node - 1
    }

    /// All processes or machines at once, and of some the disks besides.
    fn inject_on_all(&mut self, fault: Fault) {
        let within = self.loss_policy == LossPolicy::WithinBudget;
        if within && (!self.pending_recoveries.is_empty() || self.simulation.lost_machines() > 0) {
            return;
        }
        self.log_fault(format!("{fault:?}"));
        let there = |node: &NodeId| within || self.simulation.is_healthy(*node);
        let machines = self
            .simulation
            .machines
            .iter()
            .filter(|(_, m)| !m.removed)
            .map(|(node, _)| *node);
        let nodes: Vec<NodeId> = machines.filter(there).collect();
        let disks = if within {
            self.simulation.fault_budget
        } else {
            self.simulation.fault_budget - self.disks_lost
        };
        let mut wiped: Vec<NodeId> = nodes.clone();
        while wiped.len() > disks {
            let at = self.random.below(wiped.len() as u64) as usize;
            wiped.remove(at);
        }
        if fault == Fault::LoseSomeDisks {
            self.disks_lost += wiped.len();
        }
        for node in nodes {
            match fault {
                Fault::LoseSomeDisks if wiped.contains(&node) => self.simulation.lose_disk(node),
                Fault::PowerOffAll | Fault::LoseSomeDisks => self.simulation.power_off(node),
                _ => self.simulation.kill(node),
            }
            self.schedule_recovery(0.3, 1.5, Recovery::Start(node));
        }
    }
}
