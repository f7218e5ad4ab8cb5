//! The health of a node: faults, suspicion, probes, warmth, and whether it is in service.

use super::{GAIN, IDLE_S, PROBE_SHARE, SEARCH_S};
use crate::{ColdStart, Drain, Ending, Instance, Outbox};
use crate::{
    state::{NEVER, Node, Signs},
    succession::Evidence,
};

/// A node is silent once it owes this many answers by its own pace: with less, uneven work gives alarms.
const OWED_ANSWERS: f64 = 12.0;
/// Faults of a suspect, less two a good answer: a broken connection is one, out of reach all, the rest two.
const FAULTS: u32 = 6;

impl Node {
    pub(super) fn executed(
        &mut self,
        now: f64,
        ending: Ending,
        took: f64,
        slo: Option<f64>,
        signs: Signs,
    ) {
        self.leaves(now, signs.length);
        if ending.spoken() {
            (self.heard, self.awaited) = (now, 0.0);
        }
        match ending {
            Ending::Completed => {
                // One good answer in three must not clear a node that fails the other two at once.
                self.faults = self.faults.min(2 * FAULTS).saturating_sub(2);
                // What is back shows it at once: the next trial need not wait for its turn.
                let bad = self.suspected.filter(|_| self.faults >= FAULTS);
                (self.suspected, self.trials, self.trial_at, self.missing) = (bad, 0, NEVER, 0);
                self.broke = if now - took < self.broke + SEARCH_S {
                    0.0
                } else {
                    self.broke
                };
                self.answers += 1.0;
                let took = took / signs.length.unwrap_or(1.0);
                self.pace += (took - self.pace) * f64::max(GAIN, 1.0 / self.answers);
                self.strained(now, slo.map_or(self.strain, |slo| took / slo), signs);
            }
            // Who turns work away for want of room would have taken longer than anybody waits.
            Ending::TurnedAway => self.strained(now, 1.0, signs),
            Ending::Spoilt => self.faults += 1, // It runs, and is as warm as before.
            // Who is out of reach may be starting anew, whatever the list tells: it counts as cold from now,
            // unless it answers what was sent before or right behind: then only a connection broke.
            Ending::Dropped | Ending::Cut => (self.faults, self.broke) = (self.faults + 1, now),
            Ending::Unconnected => (self.faults, self.fell) = (self.faults + FAULTS, now),
            Ending::TimedOut => self.unanswered(now, slo.map_or(0.0, |slo| took / slo), signs),
            Ending::Errored | Ending::Missed | Ending::Cancelled | Ending::Moot => {}
        }
    }

    /// The share of its capacity that a node is sure to have by now, had it warmed as slowly as is allowed.
    pub fn warmth(&self, cold: &ColdStart, now: f64) -> f64 {
        // A node that lives answers something soon: held back at once, it would never show that it does.
        let broke = if now - self.broke > SEARCH_S {
            self.broke
        } else {
            0.0
        };
        let since = self.since.max(self.fell).max(broke);
        let warmed = ((now - since) / cold.lasts).clamp(0.0, 1.0);
        if since > 0.0 {
            cold.share + (1.0 - cold.share) * warmed
        } else {
            1.0
        }
    }

    /// Guards against a list that is wrong: where a drain alone binds, a node that is called gone without one
    /// counts as in service until it fails itself. Harm: one failed connection more at a node that is gone.
    pub(super) fn in_service(&self, drain: &Drain) -> bool {
        !self.closed(drain, false, f64::INFINITY)
    }
}

impl Instance {
    /// A node that answers nothing looks idle, one that fails fast looks free: both would draw more work. Its
    /// pace says what it owes, once unheard for longer than this router may stand still. Harm: slow ones too.
    pub(super) fn suspect(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let usual = self.pace(self.nodes[&id].group);
        let node = self.nodes.get_mut(&id).expect("listed");
        node.await_until(now);
        let silent = now - node.heard > SEARCH_S;
        let awaited = if silent { node.awaited } else { 0.0 };
        let owed = awaited * node.warmth(&self.cold, now) / node.pace.max(usual);
        let fires = node.suspected.is_none() && (owed > OWED_ANSWERS || node.faults >= FAULTS);
        if fires {
            out.log(&format!(
                "{now:.3} node {id}: suspect, {owed:.0} answers owed, {} faults",
                node.faults
            ));
            (node.suspected, node.trials, node.trial_at) = (Some(now), 0, now);
            // Who speaks, if only to probes, is not lost: what refused a connection has told that by itself.
            if silent {
                self.witness(now, id, Evidence::Lost);
            }
        }
        fires
    }

    /// A member unheard for a second, where that is cheap against what this router takes in; else `ask` does.
    pub(super) fn probe_unheard(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let unheard = now - self.nodes[&id].heard.max(self.nodes[&id].probed) >= IDLE_S;
        let asked = || self.groups.values().map(|g| g.asked.1).sum::<f64>() * PROBE_SHARE * 0.1;
        let cheap = unheard && self.nodes.len() as f64 * self.allowance.probe_price <= asked();
        // Who waits for a primary to be known waits in a hold: one question serves all of them.
        let (node, idle) = (&self.nodes[&id], now - self.nodes[&id].probed >= SEARCH_S);
        let search = idle && !node.probing && self.searched(node.group, now);
        (cheap || search) && self.probe(id, now, out)
    }

    pub(crate) fn probe(&mut self, id: u32, now: f64, out: &mut dyn Outbox) -> bool {
        let allowed = self.allowance.probes && self.may_probe(id, now);
        let node = self.nodes.get_mut(&id).expect("listed");
        let fires = allowed && !node.probing && node.in_service(&self.drain);
        if fires {
            (node.probed, node.probing) = (now, true);
            out.probe(id);
            self.record_probe(id, now);
        }
        fires
    }
}
