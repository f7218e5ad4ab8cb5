//! What choices that add up go by. Every value has a default; rates are for all routers together.

use serde::Deserialize;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The names of all routers, where they are known: turns and subsets are exact then. Else they are drawn.
    pub routers: Vec<String>,
    /// Who was not seen for so long is no longer counted, and their turns are used by others.
    pub forget_ms: f64,
    /// Probes that no decision waits for, a node and second; 0 for each router's turn within eight seconds.
    pub idle_probes_per_s: f64,
    /// Probes that decisions wait for, a node and second; 0 for each router's turn within half a second.
    pub searches_per_s: f64,
    /// Trials of a suspect, a node and second; 0 for each router's turn within a second.
    pub trials_per_s: f64,
    /// First sends to a node that has just started, a second; 0 for each router's turn within a second.
    pub first_sends_per_s: f64,
    /// Second copies, and executions behind one that failed, as a share of all first executions.
    pub copies: f64,
    pub repeats: f64,
    /// Replicas of a group that a router with little traffic keeps to; 0 for all of them.
    pub subset: usize,
    /// The field of a load report that tells how many connections a node holds: by it routers are counted. Without
    /// it there are as many as was told.
    pub held_field: String,
    /// Little is up to so many statements a second for each replica of the group.
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
    /// The first field that can't be, and why.
    pub fn fault(&self) -> Option<(&'static str, String)> {
        if !(100.0..=600_000.0).contains(&self.forget_ms) {
            return Some((
                "forget_ms",
                format!("is {}, no time from 100 ms to ten minutes", self.forget_ms),
            ));
        }
        let rates = [
            ("idle_probes_per_s", self.idle_probes_per_s),
            ("searches_per_s", self.searches_per_s),
            ("trials_per_s", self.trials_per_s),
            ("first_sends_per_s", self.first_sends_per_s),
        ];
        let wrong = |rate: f64| rate != 0.0 && !(0.01..=1e5).contains(&rate);
        if let Some((field, told)) = rates.iter().find(|(_, rate)| wrong(*rate)) {
            return Some((
                field,
                format!("is {told}, no rate from 0.01 to 100000 a second, and not 0"),
            ));
        }
        for (field, share) in [("copies", self.copies), ("repeats", self.repeats)] {
            if !(0.0..=1.0).contains(&share) {
                return Some((field, format!("is {share}, no share from 0 to 1")));
            }
        }
        if !(0.0..=1e6).contains(&self.little_per_s) {
            return Some((
                "little_per_s",
                format!("is {}, no rate up to 1000000", self.little_per_s),
            ));
        }
        let mut names: Vec<&String> = self.routers.iter().collect();
        names.sort();
        let twice = names.windows(2).find(|pair| pair[0] == pair[1]);
        twice.map(|pair| ("routers", format!("names {:?} twice", pair[0])))
    }
}
