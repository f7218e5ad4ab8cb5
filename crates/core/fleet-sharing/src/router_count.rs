//! Estimates how many routers are running. A node reports how many connections it holds in all; divided by this
//! router's own connections there, that gives the number of routers. The configured number is the first estimate.
//! A higher estimate applies at once, because it makes each router more careful; a lower one applies only after it
//! has lasted.

use std::collections::BTreeMap;

/// Weight of the configured number in each estimate, as a number of this router's connections.
const PRIOR_CONNECTIONS: f64 = 1.0;
/// Estimates between these two factors of the current number are noise.
const RISE_FACTOR: f64 = 1.25;
const FALL_FACTOR: f64 = 0.8;
/// Upper bound of an estimate, whatever a node reports.
const MAX_ROUTERS: f64 = 100_000.0;

/// Estimate of the number of running routers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterCount {
    configured: f64,
    forget_s: f64,
    /// By node: the time of its last report, and its smoothed estimate.
    estimates: BTreeMap<u32, (f64, f64)>,
    live: f64,
    /// Since when the estimates have been lower than `live`.
    lower_since: Option<f64>,
}

impl RouterCount {
    /// `configured` is the first estimate. Routers that have gone are still counted for `forget_s` seconds.
    pub fn new(configured: f64, forget_s: f64) -> RouterCount {
        let configured = configured.max(1.0);
        RouterCount {
            configured,
            forget_s,
            estimates: BTreeMap::new(),
            live: configured,
            lower_since: None,
        }
    }

    /// Number of running routers, this one included.
    pub fn live(&self) -> f64 {
        self.live
    }

    /// Records that a node holds `held` connections, `own` of them from this router.
    pub fn reported(&mut self, now: f64, node: u32, held: f64, own: f64) {
        // A report from before this router connected does not count its connections.
        if !(held.is_finite() && own >= 1.0 && held >= own) {
            return;
        }
        let estimate = (held + PRIOR_CONNECTIONS * self.configured) / (own + PRIOR_CONNECTIONS);
        let estimate = estimate.clamp(1.0, MAX_ROUTERS);
        let recent = self
            .estimates
            .get(&node)
            .filter(|known| now - known.0 < self.forget_s);
        let mean = recent.map_or(estimate, |known| (known.1 + estimate) / 2.0);
        self.estimates.insert(node, (now, mean));
    }

    /// Drops the estimate of a node.
    pub fn forget(&mut self, node: u32) {
        self.estimates.remove(&node);
    }

    /// Recomputes the number of running routers. Returns whether it has changed.
    pub fn update(&mut self, now: f64) -> bool {
        let forget_s = self.forget_s;
        self.estimates.retain(|_, known| now - known.0 < forget_s);
        let before = self.live;
        let mut estimates: Vec<f64> = self.estimates.values().map(|known| known.1).collect();
        estimates.sort_by(f64::total_cmp);
        // The median, because a single node may be wrong. Without reports, the configured number is all there is.
        let median = estimates
            .get(estimates.len() / 2)
            .copied()
            .unwrap_or(self.configured);
        if median > self.live * RISE_FACTOR {
            self.live = median;
            self.lower_since = None;
        } else if median < self.live * FALL_FACTOR {
            let since = *self.lower_since.get_or_insert(now);
            if now - since >= self.forget_s {
                self.live = median.max(1.0);
                self.lower_since = None;
            }
        } else {
            self.lower_since = None;
        }
        self.live != before
    }
}
