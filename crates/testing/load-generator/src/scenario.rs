//! A scenario file: JSON5, checked before anything is sent.

use badgerstream_router_config::{FileError, parse_json5};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub target: SocketAddr,
    #[serde(default)]
    pub seed: u64,
    /// Connections held at most; who finds none free waits, and is charged for it.
    #[serde(default = "connections")]
    pub connections: usize,
    #[serde(default)]
    pub holding: Holding,
    /// Threads that send.
    #[serde(default = "threads")]
    pub threads: usize,
    #[serde(default)]
    pub retries: Retries,
    pub workloads: Vec<Workload>,
    pub phases: Vec<Phase>,
}

fn connections() -> usize {
    256
}

fn threads() -> usize {
    1
}

/// How clients hold their connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Holding {
    /// Statements on one connection before it is closed; none for as many as come.
    pub uses: Option<u32>,
    /// Closed after so long without use; none for never.
    pub idle_ms: Option<f64>,
}

/// How clients try again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Attempts behind the first one, at most.
    pub most: u32,
    /// After a rejection, or where no connection came up: nothing has run.
    pub rejected: bool,
    /// After an abort, which may have run: only reads and marked writes.
    pub aborted: bool,
    /// Pauses are drawn from nothing up to this, doubled with each attempt.
    pub base_ms: f64,
    pub most_ms: f64,
    /// Not before the moment that a rejection names.
    pub advice: bool,
    /// Each carries `r=1`.
    pub told: bool,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries {
            most: 0,
            rejected: true,
            aborted: false,
            base_ms: 50.0,
            most_ms: 2000.0,
            advice: true,
            told: false,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub name: String,
    /// Its part of all statements, by the sum of all shares; none where it only follows another.
    #[serde(default)]
    pub share: f64,
    #[serde(default)]
    pub writes: bool,
    #[serde(default)]
    pub customer: String,
    /// Beyond one, `customer-0` and so on, the first by far the busiest (Zipf with exponent 1).
    #[serde(default = "one_customer")]
    pub customers: usize,
    /// Statements go to groups 0 to one less than this.
    #[serde(default = "one")]
    pub groups: u16,
    /// Keys, and how much the popular ones are asked for more: 0 for all alike, else Zipf's exponent.
    #[serde(default = "keys")]
    pub keys: usize,
    #[serde(default)]
    pub zipf: f64,
    /// A few keys that are asked for beyond all measure.
    pub hot: Option<Hot>,
    /// A value's size.
    #[serde(default = "bytes")]
    pub bytes: Size,
    /// Each write carries a mark against repeats.
    #[serde(default)]
    pub marked: bool,
    /// How long its clients wait.
    pub patience_ms: f64,
    /// An answer within it is in time, a later one late.
    pub slo_ms: f64,
    /// Its statements are the reads of sessions that wrote in another workload.
    pub follows: Option<Follows>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    pub keys: usize,
    /// This part of the workload's statements goes to them.
    pub share: f64,
}

/// In bytes: always the same, or drawn (log-normal) by its median and its 99th percentile.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Size {
    Always(usize),
    Drawn { median: f64, p99: f64 },
}

/// Sessions: who writes in `of` reads the record back, at moments drawn ahead.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Follows {
    pub of: String,
    /// So many of those writes begin a session.
    #[serde(default = "always")]
    pub chance: f64,
    /// Reads of one session.
    #[serde(default = "one_read")]
    pub times: u32,
    /// From one to the next, at the mean.
    pub think_ms: f64,
    /// A read that does not show its session's completed write counts as stale. Only for stores that keep what
    /// was written.
    #[serde(default)]
    pub check: bool,
}

fn one_customer() -> usize {
    1
}

fn always() -> f64 {
    1.0
}

fn one_read() -> u32 {
    1
}

fn one() -> u16 {
    1
}

fn keys() -> usize {
    1000
}

fn bytes() -> Size {
    Size::Always(64)
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    #[serde(default)]
    pub name: String,
    pub for_ms: f64,
    /// At random (Poisson) rather than evenly spaced.
    #[serde(default)]
    pub random: bool,
    /// Statements come in bunches of one customer and group.
    pub together: Option<Together>,
    pub shape: Shape,
}

/// Correlated customers: the rate stays, but so many come within so long, of one customer and to one group.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Together {
    pub statements: u32,
    pub within_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Shape {
    Constant {
        per_s: f64,
    },
    Ramp {
        from_per_s: f64,
        to_per_s: f64,
    },
    /// Equal parts of the phase, one rate each.
    Steps {
        per_s: Vec<f64>,
    },
    Bursts {
        per_s: f64,
        on_ms: f64,
        base_per_s: f64,
        off_ms: f64,
    },
    /// From low to high and back, once over the phase.
    Day {
        low_per_s: f64,
        high_per_s: f64,
    },
    /// A sudden release on one group: from one moment on the rate stands at its peak and falls back, halved each
    /// `half_ms`; what is beyond the base reads one record of that group.
    Release {
        base_per_s: f64,
        peak_per_s: f64,
        at_ms: f64,
        half_ms: f64,
        #[serde(default)]
        group: u16,
    },
}

/// The most statements that a scenario may have due a second.
pub const MOST_PER_S: f64 = 1e6;
/// The protocol's largest value.
pub const LARGEST: usize = 65_536;

/// A field's path and what is wrong with it.
type Wrong = Option<(String, String)>;

fn wrong(path: &str, why: impl Into<String>) -> Wrong {
    Some((path.to_string(), why.into()))
}

fn positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Letters that a mark of the protocol may have.
pub fn plain(text: &str) -> bool {
    text.bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b))
}

impl Scenario {
    /// # Errors
    /// What is wrong, with its line and column.
    pub fn read(text: &str) -> Result<Scenario, FileError> {
        parse_json5(text, Scenario::fault)
    }

    pub fn seconds(&self) -> f64 {
        self.phases.iter().map(|phase| phase.for_ms / 1e3).sum()
    }

    /// The same with all rates multiplied.
    pub fn faster(&self, by: f64) -> Scenario {
        let mut scenario = self.clone();
        for phase in &mut scenario.phases {
            match &mut phase.shape {
                Shape::Constant { per_s } => *per_s *= by,
                Shape::Ramp {
                    from_per_s: a,
                    to_per_s: b,
                }
                | Shape::Bursts {
                    per_s: a,
                    base_per_s: b,
                    ..
                }
                | Shape::Day {
                    low_per_s: a,
                    high_per_s: b,
                }
                | Shape::Release {
                    base_per_s: a,
                    peak_per_s: b,
                    ..
                } => {
                    *a *= by;
                    *b *= by;
                }
                Shape::Steps { per_s } => per_s.iter_mut().for_each(|rate| *rate *= by),
            }
        }
        scenario
    }

    /// What is wrong beyond types.
    pub fn fault(&self) -> Wrong {
        if self.connections == 0 {
            return wrong("connections", "holds none");
        }
        if !(1..=64).contains(&self.threads) {
            return wrong("threads", "is no number from 1 to 64");
        }
        if self.holding.uses == Some(0) {
            return wrong("holding.uses", "leaves a connection no statement");
        }
        if self.holding.idle_ms.is_some_and(|ms| !positive(ms)) {
            return wrong("holding.idle_ms", "is no time");
        }
        let r = &self.retries;
        if !positive(r.base_ms) || !positive(r.most_ms) || r.base_ms > r.most_ms {
            return wrong(
                "retries.base_ms",
                "or most_ms is no time, or the pause would shrink",
            );
        }
        if self.phases.is_empty() {
            return wrong("phases", "has none");
        }
        if self.workloads.iter().map(|w| w.share).sum::<f64>() <= 0.0 {
            return wrong("workloads", "has none with a share");
        }
        let workloads = self.workloads.iter().find_map(|w| w.fault(self));
        workloads.or_else(|| self.phases.iter().find_map(Phase::fault))
    }
}

impl Workload {
    fn fault(&self, scenario: &Scenario) -> Wrong {
        let name = &self.name;
        if name.is_empty() || !plain(name) || !plain(&self.customer) {
            return wrong(
                "workloads.name",
                format!("of {name:?} has letters that no statement carries"),
            );
        }
        if scenario
            .workloads
            .iter()
            .filter(|other| other.name == *name)
            .count()
            > 1
        {
            return wrong("workloads.name", format!("{name:?} stands twice"));
        }
        let share = if self.follows.is_some() {
            self.share == 0.0
        } else {
            positive(self.share)
        };
        if !share {
            return wrong(
                "workloads.share",
                format!("of {name:?} is no positive number, or it follows and has one"),
            );
        }
        if !positive(self.patience_ms) || !positive(self.slo_ms) {
            return wrong(
                "workloads.patience_ms",
                format!("or slo_ms of {name:?} is no time"),
            );
        }
        if !self.zipf.is_finite() || self.zipf < 0.0 || self.keys == 0 || self.groups == 0 {
            return wrong(
                "workloads.keys",
                format!("of {name:?}: no key, no group, or a negative exponent"),
            );
        }
        if self.customers == 0 || (self.customers > 1 && self.customer.is_empty()) {
            return wrong(
                "workloads.customers",
                format!("of {name:?}: none, or several without a name"),
            );
        }
        if let Some(hot) = self.hot
            && (hot.keys == 0 || hot.keys > self.keys || !(0.0..=1.0).contains(&hot.share))
        {
            return wrong(
                "workloads.hot",
                format!("of {name:?}: no key, too many, or no share up to 1"),
            );
        }
        match self.bytes {
            Size::Always(bytes) if bytes > LARGEST => {
                return wrong("workloads.bytes", format!("of {name:?} is over 64 KiB"));
            }
            Size::Drawn { median, p99 }
                if !positive(median) || p99 < median || p99 > LARGEST as f64 =>
            {
                return wrong(
                    "workloads.bytes",
                    format!("of {name:?}: median and p99 must rise, up to 64 KiB"),
                );
            }
            _ => {}
        }
        if self.marked && !self.writes {
            return wrong(
                "workloads.marked",
                format!("of {name:?}: only writes carry marks"),
            );
        }
        let follows = self.follows.as_ref()?;
        let other = scenario.workloads.iter().find(|w| w.name == follows.of);
        if self.writes || other.is_none_or(|w| !w.writes || w.follows.is_some()) {
            return wrong(
                "workloads.follows",
                format!("of {name:?}: only reads follow, and only a workload that writes"),
            );
        }
        if !(0.0..=1.0).contains(&follows.chance)
            || follows.times == 0
            || !positive(follows.think_ms)
        {
            return wrong(
                "workloads.follows",
                format!("of {name:?}: no chance up to 1, no read, or no time"),
            );
        }
        None
    }
}

impl Phase {
    fn fault(&self) -> Wrong {
        if !positive(self.for_ms) {
            return wrong("phases.for_ms", "is no time");
        }
        if let Some(together) = self.together
            && (together.statements == 0
                || !together.within_ms.is_finite()
                || together.within_ms < 0.0)
        {
            return wrong("phases.together", "has no statement, or no time");
        }
        let rates = match &self.shape {
            Shape::Constant { per_s } => vec![*per_s],
            Shape::Ramp {
                from_per_s,
                to_per_s,
            } => vec![*from_per_s, *to_per_s],
            Shape::Steps { per_s } => per_s.clone(),
            Shape::Bursts {
                per_s,
                base_per_s,
                on_ms,
                off_ms,
            } => {
                if !positive(*on_ms) || !positive(*off_ms) {
                    return wrong("phases.on_ms", "and off_ms must be times");
                }
                vec![*per_s, *base_per_s]
            }
            Shape::Day {
                low_per_s,
                high_per_s,
            } => vec![*low_per_s, *high_per_s],
            Shape::Release {
                base_per_s,
                peak_per_s,
                at_ms,
                half_ms,
                ..
            } => {
                if !(0.0..self.for_ms).contains(at_ms)
                    || !positive(*half_ms)
                    || peak_per_s < base_per_s
                {
                    return wrong(
                        "phases.at_ms",
                        "is beyond the phase, half_ms is no time, or the peak is below the base",
                    );
                }
                vec![*base_per_s, *peak_per_s]
            }
        };
        if rates.is_empty() || rates.iter().any(|rate| !(0.0..=MOST_PER_S).contains(rate)) {
            return wrong("phases.shape", "has no rate from 0 to a million a second");
        }
        None
    }
}
