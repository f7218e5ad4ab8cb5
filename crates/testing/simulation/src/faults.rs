//! Runs with random faults. The loss policy limits either the machines that are lost at the same
//! time or only the disks to the fault budget. Some faults hit all machines at once.
//!
//! The fault injector has its own random source, so that its draws don't change the simulation's.

mod kinds;
mod servers;

pub use kinds::LossPolicy;
pub use servers::ServerFaultRun;

use crate::control::{ControlMachine, DiskHealth, HEALTHY_DISK, Isolation};
use crate::kernel::RandomSource;
use crate::oracle::{CATCH_UP_S, RECOVERY_S};
use crate::simulation::Simulation;
use badgerstream_control::NodeId;
use kinds::{Fault, Recovery, ScheduledRecovery};

/// The number of operators that work concurrently.
const OPERATOR_COUNT: usize = 6;

/// The number of routers that receive configurations.
const ROUTER_COUNT: usize = 2;

/// Mask that derives the fault injector's seed from the run's seed (by XOR), so that the injector's
/// draws differ from the simulation's.
const INJECTOR_SEED_MASK: u64 = 0x5eed;

/// The mean one-way delay of a message between regions, in seconds. Runs with odd seeds use it.
const MULTI_REGION_DELAY_S: f64 = 0.012;

/// The time that the control machines have to start before the first fault, in seconds.
const STARTUP_S: f64 = 3.0;

/// The maximum pause between two decisions of the injector outside bursts, in seconds.
const MAX_PAUSE_S: f64 = 3.0;

/// The maximum pause between two decisions of the injector in a burst, in seconds.
const MAX_BURST_PAUSE_S: f64 = 0.3;

/// A simulation with random faults.
pub struct FaultRun {
    /// The simulation.
    pub simulation: Simulation,
    random: RandomSource,
    pending_recoveries: Vec<ScheduledRecovery>,
    next_node: NodeId,
    loss_policy: LossPolicy,
    /// The number of disks lost since all machines were last voters and none was lost.
    disks_lost: usize,
    /// The faults and recoveries so far with their times, for failure messages.
    pub fault_log: Vec<String>,
}

impl FaultRun {
    /// Creates a run with `machines` control machines, of which at most `fault_budget` may be lost
    /// at the same time, and with several operators and routers.
    pub fn new(seed: u64, machines: u32, fault_budget: usize, loss_policy: LossPolicy) -> FaultRun {
        let mut simulation = Simulation::control_only(seed, machines, fault_budget);
        simulation.control.network.resets_per_mille = if seed.is_multiple_of(3) { 2 } else { 0 };
        simulation.operators.responses_lost_per_mille = (seed % 4) * 60;
        if !seed.is_multiple_of(2) {
            simulation.kernel.message_delay_s = MULTI_REGION_DELAY_S;
        }
        for _ in 0..OPERATOR_COUNT {
            simulation.add_operator();
        }
        for _ in 0..ROUTER_COUNT {
            simulation.add_router();
        }
        FaultRun {
            simulation,
            random: RandomSource::new(seed ^ INJECTOR_SEED_MASK),
            pending_recoveries: Vec::new(),
            next_node: machines + 1,
            loss_policy,
            disks_lost: 0,
            fault_log: Vec::new(),
        }
    }

    /// Injects faults for this many seconds of simulated time. Then waits until all faults have
    /// ended, and gives the control machines time to recover.
    ///
    /// # Panics
    ///
    /// If the oracle finds a violation, or there is no leader at the end.
    pub fn play(&mut self, seconds: f64) {
        self.simulation.run(STARTUP_S);
        let until = self.simulation.now() + seconds;
        while self.simulation.now() < until {
            self.recover_due();
            let longest_pause = if self.random.per_mille(300) {
                MAX_BURST_PAUSE_S
            } else {
                MAX_PAUSE_S
            };
            if self.random.per_mille(600) {
                self.inject();
            }
            let pause = self.random.between(0.0, longest_pause);
            self.wait(pause);
        }
        while !self.pending_recoveries.is_empty() {
            self.wait(0.1);
        }
        self.simulation.run(RECOVERY_S + CATCH_UP_S);
        assert!(
            self.simulation.leader().is_some(),
            "no leader {} s after the last recovery: {}",
            RECOVERY_S + CATCH_UP_S,
            self.simulation.describe()
        );
    }

    /// Runs the simulation for this many seconds, and performs the recoveries that become due.
    fn wait(&mut self, seconds: f64) {
        let until = self.simulation.now() + seconds;
        while self.simulation.now() < until {
            let due = self.pending_recoveries.iter().map(|pending| pending.at);
            let next = due.fold(until, f64::min);
            self.simulation
                .run((next - self.simulation.now()).max(0.001));
            self.recover_due();
        }
    }

    fn recover_due(&mut self) {
        let now = self.simulation.now();
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_recoveries)
            .into_iter()
            .partition(|pending| pending.at <= now);
        self.pending_recoveries = pending;
        for ScheduledRecovery { recovery, .. } in due {
            self.log_fault(format!("{recovery:?}"));
            self.recover(&recovery);
        }
    }

    fn recover(&mut self, recovery: &Recovery) {
        let simulation = &mut self.simulation;
        match recovery {
            Recovery::Start(node) => simulation.start(*node),
            Recovery::Thaw(node) => simulation.thaw(*node),
            Recovery::Join(node) => simulation.add_and_start(*node),
            Recovery::Heal(node) => simulation.heal(*node),
            Recovery::RepairDisk(node) => simulation.set_disk_health(*node, HEALTHY_DISK),
            Recovery::Remove(node) => simulation.remove(*node),
            Recovery::RejoinHalves => simulation.rejoin_halves(),
        }
    }

    fn log_fault(&mut self, text: String) {
        let now = self.simulation.now();
        self.fault_log.push(format!("{now:.3} {text}"));
    }

    /// Schedules a recovery at a random time from `earliest_s` to `latest_s` seconds from now.
    fn schedule_recovery(&mut self, earliest_s: f64, latest_s: f64, recovery: Recovery) {
        let at = self.simulation.now() + self.random.between(earliest_s, latest_s);
        self.pending_recoveries
            .push(ScheduledRecovery { at, recovery });
    }

    fn inject(&mut self) {
        let Some(fault) = self.random.pick(&Fault::ALL) else {
            return;
        };
        if self.simulation.all_machines_vote() && self.simulation.lost_machines() == 0 {
            self.disks_lost = 0;
        }
        match fault {
            Fault::PartitionHalves => self.partition_halves(),
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

    fn is_within_budget(&self) -> bool {
        self.loss_policy == LossPolicy::WithinBudget
    }

    /// Returns whether one more disk may be lost now.
    fn may_lose_disk(&self) -> bool {
        self.is_within_budget() || self.disks_lost < self.simulation.control.fault_budget
    }

    /// Draws a machine that may be lost. With a probability of one half it is the leader, if there
    /// is one that may be lost.
    fn choose_victim(&mut self) -> Option<NodeId> {
        let simulation = &self.simulation;
        let is_within_budget = self.is_within_budget();
        if is_within_budget && simulation.lost_machines() >= simulation.control.fault_budget {
            return None;
        }
        let may_be_lost = |machine: &&ControlMachine| {
            !machine.removed
                && if is_within_budget {
                    !simulation.is_lost(machine.node)
                } else {
                    simulation.control.is_healthy(machine.node)
                }
        };
        let machines = simulation.control.machines.values().filter(may_be_lost);
        let candidates: Vec<NodeId> = machines.map(|machine| machine.node).collect();
        let leader = simulation
            .leader()
            .filter(|leader| candidates.contains(leader));
        if self.random.per_mille(500) {
            // Draws even if there is a leader, so that later draws don't depend on it.
            leader.or(self.random.pick(&candidates))
        } else {
            self.random.pick(&candidates)
        }
    }

    /// Partitions the machines into two halves for some seconds, regardless of the budget. Does
    /// nothing if the policy is to stay within the budget, or if they are already partitioned.
    fn partition_halves(&mut self) {
        if self.is_within_budget() || self.simulation.control.is_halved() {
            return;
        }
        let machines = self.simulation.control.machines.values();
        let present = machines.filter(|machine| !machine.removed);
        let mut others: Vec<NodeId> = present.map(|machine| machine.node).collect();
        let mut half = Vec::new();
        for _ in 0..others.len() / 2 {
            let index = self.random.below(others.len() as u64) as usize;
            half.push(others.remove(index));
        }
        self.log_fault(format!("PartitionHalves {half:?} {others:?}"));
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
            Fault::Isolate => self.inject_isolation(node, Isolation::BothWays),
            Fault::IsolateOneWay => {
                let isolation = if self.random.per_mille(500) {
                    Isolation::Inbound
                } else {
                    Isolation::Outbound
                };
                self.inject_isolation(node, isolation);
            }
            Fault::DiskFull | Fault::DiskSlow | Fault::DiskStall => {
                self.inject_on_disk(fault, node);
            }
            Fault::Replace | Fault::ReplacePlanned => self.inject_replacement(fault, node),
            Fault::Restart => {
                self.simulation.request_shutdown(node);
                self.wait(0.5);
                self.simulation.kill(node);
                self.schedule_recovery(0.1, 1.0, Recovery::Start(node));
            }
            Fault::ResetConnections
            | Fault::KillAll
            | Fault::PowerOffAll
            | Fault::LoseSomeDisks
            | Fault::PartitionHalves => unreachable!("{fault:?} hits more than one machine"),
        }
    }

    fn inject_isolation(&mut self, node: NodeId, isolation: Isolation) {
        self.simulation.isolate(node, isolation);
        self.schedule_recovery(0.2, 20.0, Recovery::Heal(node));
    }

    fn inject_on_disk(&mut self, fault: Fault, node: NodeId) {
        let repair = Recovery::RepairDisk(node);
        match fault {
            Fault::DiskSlow => {
                let latency = self.random.between(0.05, 0.5);
                let health = DiskHealth::WriteLatency(latency);
                self.simulation.set_disk_health(node, health);
                self.schedule_recovery(0.2, 5.0, repair);
            }
            Fault::DiskStall => {
                let stall_s = self.random.between(0.2, 4.0);
                let until = self.simulation.now() + stall_s;
                let health = DiskHealth::StalledUntil(until);
                self.simulation.set_disk_health(node, health);
                self.schedule_recovery(stall_s, stall_s + 0.01, repair);
            }
            _ => {
                self.simulation.set_disk_health(node, DiskHealth::Full);
                self.schedule_recovery(0.2, 5.0, repair);
            }
        }
    }

    fn inject_replacement(&mut self, fault: Fault, node: NodeId) {
        let successor = self.next_node;
        self.next_node += 1;
        if fault == Fault::ReplacePlanned {
            self.simulation.add_and_start(successor);
            self.schedule_recovery(2.0, 6.0, Recovery::Remove(node));
            self.simulation.expect_successor(node);
            self.simulation.schedule_shutdown(node);
        } else {
            self.simulation.remove(node);
            self.simulation.expect_successor(node);
            self.schedule_recovery(0.2, 3.0, Recovery::Join(successor));
        }
    }

    /// Kills all processes or powers off all machines at once; [`Fault::LoseSomeDisks`] also loses
    /// some of the disks.
    fn inject_on_all(&mut self, fault: Fault) {
        let is_calm = self.pending_recoveries.is_empty() && self.simulation.lost_machines() == 0;
        if self.is_within_budget() && !is_calm {
            return;
        }
        self.log_fault(format!("{fault:?}"));
        let nodes = self.machines_to_hit();
        let wiped = self.choose_disks(&nodes);
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

    /// Returns all machines that were not removed. Under [`LossPolicy::BeyondBudget`] it returns
    /// only the healthy ones, because the others already have faults.
    fn machines_to_hit(&self) -> Vec<NodeId> {
        let control = &self.simulation.control;
        let machines = control.machines.values();
        machines
            .filter(|machine| !machine.removed)
            .map(|machine| machine.node)
            .filter(|node| self.is_within_budget() || control.is_healthy(*node))
            .collect()
    }

    /// Draws the machines that lose their disks: as many as the budget allows now.
    fn choose_disks(&mut self, nodes: &[NodeId]) -> Vec<NodeId> {
        let fault_budget = self.simulation.control.fault_budget;
        let limit = if self.is_within_budget() {
            fault_budget
        } else {
            fault_budget - self.disks_lost
        };
        let mut chosen = nodes.to_vec();
        while chosen.len() > limit {
            let index = self.random.below(chosen.len() as u64) as usize;
            chosen.remove(index);
        }
        chosen
    }
}
