//! Settings of the limits that all routers share. Every setting has a default; rates count all routers together.

use serde::Deserialize;

/// The part `fleet` of an operator's settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Names of all routers, where they are known: slots and subsets are then assigned exactly. Otherwise each router
    /// draws its slots at random.
    pub routers: Vec<String>,
    /// A router that was not seen for this many milliseconds is no longer counted, and others use its slots.
    pub forget_ms: f64,
    /// Maximum number of probes that no decision waits for, per node and second. 0 gives each router a slot within
    /// eight seconds.
    pub idle_probes_per_s: f64,
    /// Maximum number of probes that decisions wait for, per node and second. 0 gives each router a slot within half
    /// a second.
    pub searches_per_s: f64,
    /// Maximum number of trial executions at a suspect, per node and second. 0 gives each router a slot within a
    /// second.
    pub trials_per_s: f64,
    /// Maximum number of first executions at a node that has just started, per second. 0 gives each router a slot
    /// within a second.
    pub first_sends_per_s: f64,
    /// Second copies of late executions (hedged requests), as a share of all first executions, from 0 to 1.
    pub copies: f64,
    /// Executions after a failed one (retries), as a share of all first executions, from 0 to 1.
    pub repeats: f64,
    /// Number of replicas of a group that a router with little traffic uses; 0 for all of them.
    pub subset: usize,
    /// Field of a node's load report with the number of connections that it holds. Routers are counted by it; without
    /// it, the configured number of routers applies.
    pub held_field: String,
    /// A router has little traffic below this number of statements per second for each replica of the group.
    pub little_per_s: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            routers: Vec::new(),
            forget_ms: 3000.0,
            idle_probes_per_s: 0.0,
            searches_per_s: 0.0,
            trials_per_s: 0.0,
            first_sends_per_s: 0.0,
            copies: 0.1,
            repeats: 0.5,
            subset: 0,
            held_field: String::new(),
            little_per_s: 20.0,
        }
    }
}

impl Settings {
    /// Returns the first invalid field and what is wrong with it, or `None` where all are valid.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        if !(100.0..=600_000.0).contains(&self.forget_ms) {
            return Some((
                "forget_ms",
                format!("is {}, expected 100 to 600000 ms", self.forget_ms),
            ));
        }
        let rates = [
            ("idle_probes_per_s", self.idle_probes_per_s),
            ("searches_per_s", self.searches_per_s),
            ("trials_per_s", self.trials_per_s),
            ("first_sends_per_s", self.first_sends_per_s),
        ];
        let invalid = |rate: f64| rate != 0.0 && !(0.01..=1e5).contains(&rate);
        if let Some((field, rate)) = rates.iter().find(|(_, rate)| invalid(*rate)) {
            return Some((
                field,
                format!("is {rate}, expected 0 or a rate from 0.01 to 100000 per second"),
            ));
        }
        for (field, share) in [("copies", self.copies), ("repeats", self.repeats)] {
            if !(0.0..=1.0).contains(&share) {
                return Some((field, format!("is {share}, expected a share from 0 to 1")));
            }
        }
        if !(0.0..=1e6).contains(&self.little_per_s) {
            return Some((
                "little_per_s",
                format!(
                    "is {}, expected a rate from 0 to 1000000 per second",
                    self.little_per_s
                ),
            ));
        }
        let mut names: Vec<&String> = self.routers.iter().collect();
        names.sort();
        let duplicate = names.windows(2).find(|pair| pair[0] == pair[1]);
        duplicate.map(|pair| ("routers", format!("names {:?} twice", pair[0])))
    }
}
