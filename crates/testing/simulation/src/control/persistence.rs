//! Writes of a control machine to its disk. Outputs that depend on a write wait until it completes.

use super::cluster::ControlCluster;
use super::disk::WriteOutcome;
use super::machine::PendingWrite;
use crate::event::{ControlEvent, Process};
use crate::kernel::Kernel;
use badgerstream_control::{NodeId, Output};
use std::collections::VecDeque;

/// The interval at which a machine tries to reopen a disk that rejected a write, in seconds.
const REOPEN_INTERVAL_S: f64 = 0.25;

/// The interval between periodic writes of the members, in seconds. The controller's outputs may
/// request further writes.
const PERSIST_MEMBERS_INTERVAL_S: f64 = 0.5;

impl ControlCluster {
    /// Returns whether the periodic write of the members is due.
    pub(crate) fn members_write_is_due(&self, node: NodeId, now: f64) -> bool {
        now - self.machines[&node].members_persisted_at >= PERSIST_MEMBERS_INTERVAL_S
    }

    /// Writes the members. Returns whether the disk accepted the write.
    pub(crate) fn persist_members(&mut self, node: NodeId, now: f64) -> bool {
        let Some(machine) = self.machines.get_mut(&node) else {
            return false;
        };
        let accepted = machine.disk.begin_write(now) != WriteOutcome::Rejected;
        if let Some(controller) = machine.controller.as_ref().filter(|_| accepted) {
            machine.disk.members = controller.members().to_persist();
            machine.members_persisted_at = now;
        }
        accepted
    }

    /// Begins a write of the hard state. Returns the outputs to carry out now; `None` if they must
    /// wait for the disk.
    pub(crate) fn begin_persist(
        &mut self,
        kernel: &mut Kernel,
        node: NodeId,
        deferred_outputs: VecDeque<Output>,
    ) -> Option<VecDeque<Output>> {
        let machine = self.machine_mut(node);
        let controller = machine.controller.as_ref().expect("a running process");
        let hard_state = controller.hard_state().clone();
        match machine.disk.begin_write(kernel.now()) {
            WriteOutcome::CompletesAt(second) => {
                machine.pending_write = Some(PendingWrite {
                    hard_state,
                    deferred_outputs,
                    completed: false,
                });
                let completed = ControlEvent::PersistCompleted(machine.process());
                kernel.schedule(second - kernel.now(), completed);
                None
            }
            WriteOutcome::Rejected => {
                machine.disk.interrupt_write(hard_state, &mut kernel.random);
                Some(self.persist_failed(kernel, node, deferred_outputs))
            }
        }
    }

    fn persist_failed(
        &mut self,
        kernel: &mut Kernel,
        node: NodeId,
        mut outputs: VecDeque<Output>,
    ) -> VecDeque<Output> {
        kernel.trace(|| format!("control {node}: a write is rejected"));
        let machine = self.machine_mut(node);
        let clock = machine.clock(kernel.now());
        let controller = machine.controller.as_mut().expect("a running process");
        outputs.extend(controller.persist_failed(clock));
        let reopen = ControlEvent::ReopenDisk(machine.process());
        kernel.schedule(REOPEN_INTERVAL_S, reopen);
        outputs
    }

    /// Completes a write. Returns the outputs that waited for it; `None` if the process has ended
    /// since, or is frozen and will learn of the completion when it is thawed.
    pub(crate) fn persist_completed(
        &mut self,
        process: Process,
        now: f64,
    ) -> Option<VecDeque<Output>> {
        let machine = self
            .machines
            .get_mut(&process.node)
            .filter(|machine| machine.process_incarnation == process.incarnation)?;
        if machine.frozen {
            if let Some(write) = &mut machine.pending_write {
                write.completed = true;
            }
            return None;
        }
        let write = machine.pending_write.take()?;
        machine.disk.hard_state = write.hard_state;
        let clock = machine.clock(now);
        let controller = machine.controller.as_mut()?;
        let mut outputs: VecDeque<Output> = controller.persisted(clock).into();
        outputs.extend(write.deferred_outputs);
        Some(outputs)
    }

    /// Continues a frozen process. Returns the process if a write completed while it was frozen.
    pub(crate) fn thaw(&mut self, node: NodeId) -> Option<Process> {
        let machine = self.machine_mut(node);
        machine.frozen = false;
        let write = machine.pending_write.as_ref()?;
        write.completed.then(|| machine.process())
    }

    /// Reopens a disk that rejected a write if it accepts writes now; otherwise schedules the next
    /// attempt.
    pub(crate) fn reopen_disk(&mut self, kernel: &mut Kernel, process: Process) {
        let now = kernel.now();
        let Some(machine) = self
            .machines
            .get_mut(&process.node)
            .filter(|machine| machine.process_incarnation == process.incarnation)
        else {
            return;
        };
        if machine.disk.begin_write(now) == WriteOutcome::Rejected {
            kernel.schedule(REOPEN_INTERVAL_S, ControlEvent::ReopenDisk(process));
            return;
        }
        let clock = machine.clock(now);
        let hard_state = machine.disk.hard_state.clone();
        if let Some(controller) = &mut machine.controller {
            controller.disk_reopened(clock, hard_state);
        }
    }
}
