//! How many routers live, as far as one of them can tell: from what nodes say of all their connections, against
//! what it holds there itself. What was told by the settings is the first guess; more than that is believed at
//! once, as it makes careful, fewer only once it lasts.

use std::collections::BTreeMap;

/// The first guess stands for so many connections of this router's.
const GUESS: f64 = 1.0;
/// Estimates are noise within so much of what is believed.
const MORE: f64 = 1.25;
const FEWER: f64 = 0.8;
/// Nobody counts beyond this, whatever a node says.
const MOST: f64 = 100_000.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Census {
    told: f64,
    forget: f64,
    /// The last estimate at each node, and when it came.
    seen: BTreeMap<u32, (f64, f64)>,
    living: f64,
    /// Since when there seem to be fewer.
    fewer: Option<f64>,
}

impl Census {
    /// `forget` is how long the dead are counted, in seconds.
    pub fn new(told: f64, forget: f64) -> Census {
        let told = told.max(1.0);
        Census {
            told,
            forget,
            seen: BTreeMap::new(),
            living: told,
            fewer: None,
        }
    }

    pub fn living(&self) -> f64 {
        self.living
    }

    /// A node holds so many connections, this router's among them.
    pub fn reported(&mut self, now: f64, node: u32, held: f64, own: f64) {
        // A report from before this router's own connection came up counts none of it.
        if !(held.is_finite() && own >= 1.0 && held >= own) {
            return;
        }
        let estimate = (held + GUESS * self.told) / (own + GUESS);
        let estimate = estimate.clamp(1.0, MOST);
        let mean = self
            .seen
            .get(&node)
            .filter(|seen| now - seen.0 < self.forget);
        let mean = mean.map_or(estimate, |seen| (seen.1 + estimate) / 2.0);
        self.seen.insert(node, (now, mean));
    }

    pub fn forget(&mut self, node: u32) {
        self.seen.remove(&node);
    }

    /// Concludes; true where that changed.
    pub fn pass(&mut self, now: f64) -> bool {
        let forget = self.forget;
        self.seen.retain(|_, seen| now - seen.0 < forget);
        let before = self.living;
        let mut estimates: Vec<f64> = self.seen.values().map(|seen| seen.1).collect();
        estimates.sort_by(f64::total_cmp);
        // Where nothing is seen, the first guess is all there is. One node alone may be mistaken: the median counts.
        let seen = estimates
            .get(estimates.len() / 2)
            .copied()
            .unwrap_or(self.told);
        if seen > self.living * MORE {
            (self.living, self.fewer) = (seen, None);
        } else if seen < self.living * FEWER {
            let since = *self.fewer.get_or_insert(now);
            if now - since >= self.forget {
                (self.living, self.fewer) = (seen.max(1.0), None);
            }
        } else {
            self.fewer = None;
        }
        self.living != before
    }
}
