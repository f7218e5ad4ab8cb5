//! Connects [`Instance`] with the decisions of `badgerstream-restart-pacing`: events become its inputs, and its
//! decisions restrict sends and probes. Nothing is decided here; without settings nothing is restricted.

use crate::recovery::{Phase, Recovery, Settings};
use crate::{ExecutionOutcome, Instance, NodeStatus, Outbox};

impl Instance {
    /// Turns restart pacing on with settings, or off without. `name` is the name of this router in the fleet.
    pub fn set_restart_pacing(
        &mut self,
        now: f64,
        settings: Option<Settings>,
        seed: u64,
        name: &str,
    ) {
        match (&mut self.recovery, settings) {
            (Some(recovery), Some(settings)) => recovery.reset(settings, name),
            (none, Some(settings)) => {
                let mut recovery = Recovery::new(now, settings, seed, self.routers, name);
                // A router that serves already is not returning.
                if !self.nodes.is_empty() {
                    recovery.start_in_service(now);
                }
                *none = Some(recovery);
            }
            (some, None) => *some = None,
        }
        self.touch_all();
    }

    /// Records the name under which a node is listed. It is the same at every router.
    pub fn node_named(&mut self, id: u32, name: &str) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.node_listed(id, name));
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.node_listed(id, name));
    }

    /// Records an answer of discovery, even one that says that nothing has changed.
    pub fn discovery_answered(&mut self, now: f64) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.discovery_answered(now));
    }

    /// Records a node's load report for restart pacing: how many connections it holds, and how many were opened
    /// there in the last 100 ms.
    pub fn opens_reported(&mut self, now: f64, id: u32, held: f64, opened: f64) {
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.connections_reported(now, id, held, opened));
    }

    pub(crate) fn record_ending_for_pacing(&mut self, id: u32, ending: ExecutionOutcome) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        match ending {
            ExecutionOutcome::Completed
            | ExecutionOutcome::NotEligible
            | ExecutionOutcome::Errored => {
                recovery.execution_ended(id, true);
            }
            ExecutionOutcome::Rejected
            | ExecutionOutcome::TimedOut
            | ExecutionOutcome::ConnectionLost => {
                recovery.execution_ended(id, false);
            }
            ExecutionOutcome::ConnectFailed
            | ExecutionOutcome::SendInterrupted
            | ExecutionOutcome::InvalidAnswer
            | ExecutionOutcome::Cancelled
            | ExecutionOutcome::NeverIssued => {}
        }
    }

    /// Moves restart pacing from phase to phase. Looks at waiting statements again when that may let them go, and
    /// probes the node chosen for the first connection, because no statement may have come yet to open one.
    pub(crate) fn update_restart_pacing(&mut self, now: f64, out: &mut dyn Outbox) {
        self.update_fleet(now, out);
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let phase_changed = recovery.advance(now);
        recovery
            .take_log_lines()
            .iter()
            .for_each(|line| out.log(line));
        let next_slot_s = recovery.next_slot_after_s(now);
        if recovery.phase() == Phase::Sounding {
            let ready: Vec<u32> = self
                .nodes
                .iter()
                .filter(|node| node.1.status == NodeStatus::Ready)
                .map(|node| *node.0)
                .collect();
            if let Some(id) = recovery.choose_sounded_node(&ready) {
                self.probe(id, now, out);
            }
        }
        if phase_changed || next_slot_s.is_some() {
            self.touch_all();
        }
        next_slot_s
            .into_iter()
            .for_each(|after_s| out.wake(after_s));
    }

    /// Returns whether restart pacing and fleet sharing let one more statement go to a node now.
    pub(crate) fn pacing_allows_send(&self, id: u32, now: f64) -> bool {
        if !self.may_send_first(id, now) {
            return false;
        }
        let Some(recovery) = &self.recovery else {
            return true;
        };
        // Before full service this router has no statements at a draining node, so nothing goes there even as a last
        // resort.
        let returns_to_draining =
            self.nodes[&id].status == NodeStatus::Draining && recovery.phase() < Phase::Full;
        !returns_to_draining && recovery.may_send(now, id, self.nodes[&id].in_flight)
    }

    pub(crate) fn may_probe(&self, id: u32, now: f64) -> bool {
        self.has_probe_slot(id, now)
            && self
                .recovery
                .as_ref()
                .is_none_or(|recovery| recovery.may_probe(now, id))
    }

    pub(crate) fn record_send(&mut self, stmt: u32, id: u32, now: f64) {
        self.record_send_for_fleet(stmt, id, now);
        self.recovery
            .iter_mut()
            .for_each(|recovery| recovery.statement_sent(now, id));
    }

    /// Counts a new statement. Returns after how many seconds its client should retry if the statement is rejected
    /// and nothing better is known.
    pub(crate) fn record_arrival(&mut self) -> f64 {
        self.tally.accepted += 1;
        let max_s = self.limits.max_retry_after_s;
        self.recovery
            .as_mut()
            .map_or(f64::INFINITY, |recovery| recovery.retry_advice_s(max_s))
    }
}
