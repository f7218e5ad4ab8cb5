//! Between the records of an instance and the decisions of `badgerstream-restart-pacing`: what was told becomes its
//! inputs, and its verdicts bind sends and probes. It decides nothing; without settings nothing of it acts.

use crate::recovery::{Phase, Recovery, Settings};
use crate::{ExecutionOutcome, Instance, NodeStatus, Outbox};

impl Instance {
    /// With settings, coming back is paced from now on; without, all is as if that never was. `name` is this
    /// router's among all.
    pub fn recover(&mut self, now: f64, settings: Option<Settings>, seed: u64, name: &str) {
        match (&mut self.recovery, settings) {
            (Some(recovery), Some(settings)) => recovery.reset(settings, name),
            (none, Some(settings)) => {
                let mut recovery = Recovery::new(now, settings, seed, self.routers, name);
                // Turned on in service: it does not come back now.
                if !self.nodes.is_empty() {
                    recovery.in_service(now);
                }
                *none = Some(recovery);
            }
            (some, None) => *some = None,
        }
        self.touch_all();
    }

    /// A node's name, the same at every router.
    pub fn named(&mut self, id: u32, name: &str) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.named(id, name));
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.named(id, name));
    }

    /// Discovery has spoken, if only to say that nothing has changed.
    pub fn list_spoke(&mut self, now: f64) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.listed(now));
    }

    /// A node's own word on its connections, from a load report: how many it holds, and how many were opened there
    /// in the last 100 ms.
    pub fn crowded(&mut self, now: f64, id: u32, held: f64, opened: f64) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.reported(now, id, held, opened));
    }

    pub(crate) fn recovered(&mut self, id: u32, ending: ExecutionOutcome) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        match ending {
            ExecutionOutcome::Completed
            | ExecutionOutcome::NotEligible
            | ExecutionOutcome::Errored => recovery.answered(id, true),
            ExecutionOutcome::Rejected
            | ExecutionOutcome::TimedOut
            | ExecutionOutcome::ConnectionLost => recovery.answered(id, false),
            ExecutionOutcome::ConnectFailed
            | ExecutionOutcome::SendInterrupted
            | ExecutionOutcome::InvalidAnswer
            | ExecutionOutcome::Cancelled
            | ExecutionOutcome::NeverIssued => {}
        }
    }

    /// Goes on from phase to phase. Who waits is looked at when that may help, and the first node is asked how
    /// things stand, as no statement may have come yet.
    pub(crate) fn settle_recovery(&mut self, now: f64, out: &mut dyn Outbox) {
        self.settle_fleet(now, out);
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let moved = recovery.pass(now);
        recovery.lines().iter().for_each(|line| out.log(line));
        let turn = recovery.next_turn(now);
        if recovery.phase() == Phase::Sounding {
            let able = self
                .nodes
                .iter()
                .filter(|node| node.1.status == NodeStatus::Ready);
            let able: Vec<u32> = able.map(|node| *node.0).collect();
            if let Some(id) = recovery.sound(&able) {
                self.probe(id, now, out);
            }
        }
        if moved || turn.is_some() {
            self.touch_all();
        }
        turn.into_iter().for_each(|after| out.wake(after));
    }

    /// Whether one more statement may go there, as far as coming back goes.
    pub(crate) fn let_through(&self, id: u32, now: f64) -> bool {
        if !self.turn_at_new(id, now) {
            return false;
        }
        let Some(recovery) = &self.recovery else {
            return true;
        };
        // Who comes back has sent nothing that a drain would have to be patient with, not even as a last resort.
        let drains =
            self.nodes[&id].status == NodeStatus::Draining && recovery.phase() < Phase::Full;
        !drains && recovery.may_send(now, id, self.nodes[&id].in_flight)
    }

    pub(crate) fn may_probe(&self, id: u32, now: f64) -> bool {
        self.turn_to_probe(id, now)
            && self
                .recovery
                .as_ref()
                .is_none_or(|recovery| recovery.may_probe(now, id))
    }

    pub(crate) fn sending(&mut self, stmt: u32, id: u32, now: f64) {
        self.sends(stmt, id, now);
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.sent(now, id));
    }

    /// A statement came: when its client should come back if it is rejected, unless something better is known.
    pub(crate) fn come_back(&mut self) -> f64 {
        self.tally.accepted += 1;
        let most = self.limits.max_retry_after_s;
        self.recovery
            .as_mut()
            .map_or(f64::INFINITY, |recovery| recovery.advice(most))
    }
}
