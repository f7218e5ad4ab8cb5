//! Health of a node: faults, suspicion, probes, cold start, and whether it is in service.

use super::{EMA_WEIGHT, MAX_PROBE_COST_SHARE, MAX_SILENCE_S, SEARCH_INTERVAL_S};
use crate::{ColdStart, Drain, ExecutionOutcome, Instance, Outbox};
use crate::{
    state::{AnswerContext, NEVER, Node},
    succession::Evidence,
};

/// A silent node becomes a suspect once it owes more than this many answers, by its own latency estimate. A lower
/// limit gives false alarms where the durations of statements differ much.
const MAX_OWED_ANSWERS: f64 = 12.0;
/// Fault score at which a node becomes a suspect. A broken connection or an invalid answer adds 1, an unanswered
/// probe or an error that is the node's own adds 2, and a connection that can't be opened adds the whole limit. A
/// completed execution subtracts 2.
const SUSPECT_FAULTS: u32 = 6;

impl Node {
    /// Records the end of an execution, after `took` seconds.
    pub(super) fn executed(
        &mut self,
        now: f64,
        outcome: ExecutionOutcome,
        took: f64,
        slo: Option<f64>,
        context: AnswerContext,
    ) {
        self.remove_in_flight(now, context.length);
        if outcome.node_answered() {
            self.last_heard_at = now;
            self.waited_s = 0.0;
        }
        match outcome {
            ExecutionOutcome::Completed => {
                // The score is capped at twice the limit and falls by 2: one good answer in three must not clear
                // a node that immediately fails the other two.
                self.faults = self.faults.min(2 * SUSPECT_FAULTS).saturating_sub(2);
                self.suspected_at = self.suspected_at.filter(|_| self.faults >= SUSPECT_FAULTS);
                // If the node is back, further trials prove it quickly, so the next one need not wait.
                self.trials = 0;
                self.last_trial_at = NEVER;
                self.unanswered_in_a_row = 0;
                // It answers what was sent before the connection broke, or right after: it did not restart.
                if now - took < self.connection_lost_at + SEARCH_INTERVAL_S {
                    self.connection_lost_at = 0.0;
                }
                self.answers += 1.0;
                let took = took / context.length.unwrap_or(1.0);
                self.latency_s +=
                    (took - self.latency_s) * f64::max(EMA_WEIGHT, 1.0 / self.answers);
                self.record_congestion(now, slo.map_or(self.congestion, |slo| took / slo), context);
            }
            // A node that rejects work for lack of capacity would have taken longer than any client waits.
            ExecutionOutcome::Rejected => self.record_congestion(now, 1.0, context),
            // The node runs, and is as warm as before.
            ExecutionOutcome::InvalidAnswer => self.faults += 1,
            // A node out of reach may have restarted, whatever the list says: it counts as cold from now on. The
            // exception is a node that answers what was sent before, or right after: only a connection broke.
            ExecutionOutcome::ConnectionLost | ExecutionOutcome::SendInterrupted => {
                self.faults += 1;
                self.connection_lost_at = now;
            }
            ExecutionOutcome::ConnectFailed => {
                self.faults += SUSPECT_FAULTS;
                self.unreachable_at = now;
            }
            ExecutionOutcome::TimedOut => {
                self.record_unanswered(now, slo.map_or(0.0, |slo| took / slo), context);
            }
            ExecutionOutcome::Errored
            | ExecutionOutcome::NotEligible
            | ExecutionOutcome::Cancelled
            | ExecutionOutcome::NeverIssued => {}
        }
    }

    /// Returns the share of its capacity that the node has for certain, assuming the slowest allowed warm-up.
    pub fn warm_share(&self, cold_start: &ColdStart, now: f64) -> f64 {
        // After a lost connection, a node that still runs answers something within moments. It does not count as
        // cold until then: with its traffic held back at once, it could never show that it runs.
        let connection_lost_at = if now - self.connection_lost_at > SEARCH_INTERVAL_S {
            self.connection_lost_at
        } else {
            0.0
        };
        let cold_since = self
            .started_at
            .max(self.unreachable_at)
            .max(connection_lost_at);
        let elapsed_share = ((now - cold_since) / cold_start.duration_s).clamp(0.0, 1.0);
        if cold_since > 0.0 {
            cold_start.initial_share + (1.0 - cold_start.initial_share) * elapsed_share
        } else {
            1.0
        }
    }

    /// Returns whether the node is in service. Guards against a wrong list: where only a drain closes a node, one
    /// that is listed as gone without ever draining counts as in service until it fails. The drawback: one more
    /// failed connection to each node that really is gone.
    pub(super) fn in_service(&self, drain: &Drain) -> bool {
        !self.is_closed(drain, false, f64::INFINITY)
    }
}

impl Instance {
    /// Rule: makes a node a suspect that has become silent, or fails too often. A node that answers nothing looks
    /// idle, and one that fails fast looks free; both would attract more work. Silent means that it owes too many
    /// answers by its latency estimate, and was not heard for longer than this router itself may stand still. The
    /// drawback: a node that is only slow may become a suspect, too.
    pub(super) fn suspect(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let best_latency_s = self.best_latency(self.nodes[&id].group);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.accrue_wait(now);
        let silent = now - node.last_heard_at > SEARCH_INTERVAL_S;
        let waited_s = if silent { node.waited_s } else { 0.0 };
        let owed =
            waited_s * node.warm_share(&self.cold_start, now) / node.latency_s.max(best_latency_s);
        let fires = node.suspected_at.is_none()
            && (owed > MAX_OWED_ANSWERS || node.faults >= SUSPECT_FAULTS);
        if fires {
            out.log(&format!(
                "{now:.3} node {id}: suspect, {owed:.0} answers owed, {} faults",
                node.faults
            ));
            node.suspected_at = Some(now);
            node.trials = 0;
            node.last_trial_at = now;
            // A node that still answers, if only probes, is not lost. One that refused a connection has already
            // been reported as lost.
            if silent {
                self.observe_evidence(now, id, Evidence::Unreachable);
            }
        }
        fires
    }

    /// Rule: probes a member that was not heard for [`MAX_SILENCE_S`], if probing all nodes once a second costs at
    /// most a tenth of [`MAX_PROBE_COST_SHARE`] of this router's traffic; otherwise `probe_for_statement` probes on
    /// demand. Also probes the members of a group whose primary is searched for: its statements are held together,
    /// and one probe serves all of them.
    pub(super) fn probe_silent_node(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let node = &self.nodes[&id];
        let silent = now - node.last_heard_at.max(node.last_probe_at) >= MAX_SILENCE_S;
        let affordable = || {
            let arrivals_per_s = self.groups.values().map(|g| g.arrivals.per_s).sum::<f64>();
            arrivals_per_s * MAX_PROBE_COST_SHARE * 0.1
        };
        let cheap =
            silent && self.nodes.len() as f64 * self.limits.probe_cost_share <= affordable();
        let may_search = now - node.last_probe_at >= SEARCH_INTERVAL_S && !node.probe_in_flight;
        let search = may_search && self.needs_leader_probes(node.group, now);
        (cheap || search) && self.probe(id, now, out)
    }

    /// Probes a node if probes are allowed now and none is in flight there. Returns whether it did.
    pub(crate) fn probe(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let allowed = self.limits.probes && self.may_probe(id, now);
        let node = self.nodes.get_mut(&id).expect("listed");
        let fires = allowed && !node.probe_in_flight && node.in_service(&self.drain);
        if fires {
            node.last_probe_at = now;
            node.probe_in_flight = true;
            out.probe(id);
            self.record_probe(id, now);
        }
        fires
    }
}
