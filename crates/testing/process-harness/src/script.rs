//! What goes wrong between processes, and when: a script in JSON5, checked before anything starts, and the plan
//! that is drawn from it and a seed. The same script and seed give the same plan.

use badgerstream_router_config::{FileError as Wrong, parse_json5};
use badgerstream_store_emulator::Shape;
use badgerstream_store_emulator::group::Replication;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    #[serde(default)]
    pub store: Store,
    pub routers: usize,
    /// How many of them are there from the beginning; the others are started by a step. Without it all are.
    #[serde(default)]
    pub up: Option<usize>,
    /// How many routers each is told of; without it all that there are.
    #[serde(default)]
    pub told: Option<usize>,
    #[serde(default)]
    pub load: Load,
    /// The list that a router finds in its file when it starts again.
    #[serde(default)]
    pub known: Known,
    /// How long the front goes on sending clients to a router that is dead.
    #[serde(default = "notice_ms")]
    pub notice_ms: u64,
    /// Nothing goes wrong before; figures of a calm second come from its second half.
    pub calm_ms: u64,
    /// How long clients send in all.
    pub for_ms: u64,
    pub steps: Vec<Step>,
}

/// A hard store: nodes that hold few connections and pay for each handshake, and lists that run late.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    pub groups: u16,
    pub members: usize,
    pub service_ms: f64,
    /// Statements and handshakes in work at once at a node.
    pub slots: usize,
    /// Connections that a node holds at most; 0 for any number.
    pub connections: usize,
    pub handshake_ms: f64,
    pub cold_from: f64,
    pub cold_ms: u64,
    /// Over so long a cold node bears `overload_factor` times what it can do at that moment.
    pub fall_ms: u64,
    pub overload_factor: f64,
    pub late_ms: u64,
    pub synchronous: bool,
    pub lag_ms: u64,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            groups: 2,
            members: 3,
            service_ms: 4.0,
            slots: 4,
            connections: 0,
            handshake_ms: 2.0,
            cold_from: 0.3,
            cold_ms: 4000,
            fall_ms: 1000,
            overload_factor: 2.0,
            late_ms: 200,
            synchronous: true,
            lag_ms: 20,
        }
    }
}

impl Store {
    pub fn shape(&self) -> Shape {
        Shape {
            groups: self.groups,
            members: self.members,
            replication: Replication {
                synchronous: self.synchronous,
                lag_ms: self.lag_ms,
                mark_memory_ms: 60_000,
            },
            service_us: (self.service_ms * 1e3) as u64,
            slots: self.slots,
            cold_from: self.cold_from,
            cold_ms: self.cold_ms,
            connections: self.connections,
            handshake_us: (self.handshake_ms * 1e3) as u64,
            outcomes: true,
            ..Shape::default()
        }
    }

    pub fn nodes(&self) -> usize {
        usize::from(self.groups) * self.members
    }

    /// Statements a second that a warm node can do.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 * 1e3 / self.service_ms.max(0.001)
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Statements a second over all routers.
    pub per_s: f64,
    /// Clients' connections at most, over all routers.
    pub connections: usize,
    pub patience_ms: f64,
    pub slo_ms: f64,
    /// The part of all statements that are writes; of these every fourth carries no mark.
    pub writes: f64,
    /// Tries behind the first one, after a rejection or where no connection came up.
    pub retries: u32,
    /// Clients that come all at once, beside the others.
    pub crowd: Option<Crowd>,
}

/// So many statements, spread over all routers, are due within so long: each that finds no connection opens one.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Crowd {
    pub at_ms: u64,
    pub within_ms: u64,
    pub statements: usize,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            per_s: 300.0,
            connections: 400,
            patience_ms: 2000.0,
            slo_ms: 400.0,
            writes: 0.2,
            retries: 3,
            crowd: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Known {
    /// The one that its discovery told last.
    #[default]
    Last,
    /// The one from the beginning of the run.
    First,
}

fn notice_ms() -> u64 {
    1000
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_ms: u64,
    /// For several routers: each at a moment of its own, drawn within so long.
    #[serde(default)]
    pub within_ms: u64,
    #[serde(rename = "do")]
    pub deed: Do,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Do {
    /// SIGKILL.
    Kill(Which),
    /// SIGTERM.
    End(Which),
    /// SIGSTOP, and SIGCONT.
    Stop(Which),
    Continue(Which),
    /// Started again from nothing, under its name and address.
    Start(Which),
    Links(Links),
    Store(Trouble),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Which {
    All,
    /// So many of all, drawn from the seed.
    Share(f64),
    These(Vec<usize>),
    /// Those of the last step that was about processes.
    Same,
    /// Those that were killed or ended and not started since.
    Down,
}

fn all() -> Which {
    Which::All
}

/// A set of links: with all of a zone's it is a partition.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    pub of: Ends,
    #[serde(default = "all")]
    pub routers: Which,
    /// For links to nodes; numbers count over all groups.
    #[serde(default = "all")]
    pub nodes: Which,
    #[serde(default)]
    pub way: Way,
    pub fault: Fault,
    /// Healed after so long; without it never.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ends {
    /// Between the clients and a router.
    Clients,
    /// Between a router and a node.
    Nodes,
    /// Between a router and its discovery.
    Lists,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// In the direction in which connections are opened.
    There,
    Back,
    #[default]
    Both,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Fault {
    /// Bytes vanish; what lost some stays silent, and is reset once the link is healed.
    Drop,
    /// Bytes are held, and all go on once the link is healed.
    Stall,
    /// Open connections break, and new ones at once.
    Reset,
    /// New connections are refused.
    Refuse,
    DelayMs(u64),
    /// Each connection breaks once so many bytes went this way.
    CutAfter(u64),
}

/// What happens to the store. Without a member it is the primary of its group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Trouble {
    Kill {
        group: u16,
        member: Option<usize>,
    },
    /// All dead members of the group start again, cold.
    Restart {
        group: u16,
    },
    Promote {
        group: u16,
    },
    Drain {
        group: u16,
        member: Option<usize>,
    },
    EndDrain {
        group: u16,
    },
    Hang {
        group: u16,
        member: Option<usize>,
    },
    Wake {
        group: u16,
        member: Option<usize>,
    },
    /// All work of it takes so many times as long; 1 heals it.
    Slow {
        group: u16,
        member: Option<usize>,
        times: f64,
    },
    /// Lists stay as they are.
    Freeze,
    Thaw,
}

/// One thing to be done to one process, link or the store.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    Kill(usize),
    End(usize),
    Stop(usize),
    Continue(usize),
    Start(usize),
    /// These pairs of a router and a node (0 for links of other ends) have this fault, or none any more.
    Links {
        of: Ends,
        pairs: Vec<(usize, usize)>,
        way: Way,
        fault: Option<Fault>,
    },
    Store(Trouble),
}

/// Moments since the clients began, in milliseconds.
pub type Plan = Vec<(u64, Act)>;

/// Processes are real ones: more than these do no machine good.
const MOST_ROUTERS: usize = 64;
const MOST_NODES: usize = 64;

impl Script {
    /// # Errors
    /// What is wrong, with its line and column.
    pub fn read(text: &str) -> Result<Script, Wrong> {
        parse_json5(text, Script::fault)
    }

    /// What is wrong beyond types: a field's path, and why.
    pub fn fault(&self) -> Option<(String, String)> {
        let wrong = |path: &str, why: &str| Some((path.to_string(), why.to_string()));
        let (s, l) = (&self.store, &self.load);
        let positive = |x: f64| x.is_finite() && x > 0.0;
        if !(1..=MOST_ROUTERS).contains(&self.routers) {
            return wrong("routers", "is no number from 1 to 64");
        }
        if self.up.is_some_and(|up| !(1..=self.routers).contains(&up)) {
            return wrong("up", "is no number from 1 to the number of routers");
        }
        if self.told.is_some_and(|told| told == 0) {
            return wrong("told", "is no number from 1 on");
        }
        if s.groups == 0 || s.members == 0 || s.nodes() > MOST_NODES {
            return wrong("store.members", "and groups make no node, or more than 64");
        }
        if !positive(s.service_ms) || !(0.0..1e4).contains(&s.handshake_ms) || s.slots == 0 {
            return wrong(
                "store.service_ms",
                "handshake_ms or slots leave a node no work or no place",
            );
        }
        if !(0.01..=1.0).contains(&s.cold_from) || !positive(s.overload_factor) || s.fall_ms == 0 {
            return wrong(
                "store.cold_from",
                "is no share of 0.01 to 1, or nothing overloads a node",
            );
        }
        if !positive(l.per_s) || l.per_s > 1e5 || l.connections < self.routers {
            return wrong(
                "load.per_s",
                "is no rate, or a router's clients have no connection",
            );
        }
        if !positive(l.patience_ms) || !positive(l.slo_ms) || !(0.0..=0.9).contains(&l.writes) {
            return wrong(
                "load.patience_ms",
                "slo_ms or writes is no time or no share up to 0.9",
            );
        }
        if let Some(crowd) = l.crowd
            && (crowd.at_ms < self.calm_ms
                || crowd.within_ms == 0
                || crowd.at_ms + crowd.within_ms > self.for_ms
                || !(1..=100_000).contains(&crowd.statements))
        {
            return wrong(
                "load.crowd",
                "is nobody, takes no time, or comes before the calm is over or behind the end",
            );
        }
        if self.calm_ms < 500 || self.for_ms <= self.calm_ms {
            return wrong("calm_ms", "is under 500, or nothing is left behind it");
        }
        self.steps.iter().enumerate().find_map(|(i, step)| {
            let why = self.step_fault(step)?;
            Some(("steps".to_string(), format!("number {}: {why}", i + 1)))
        })
    }

    fn step_fault(&self, step: &Step) -> Option<String> {
        if step.at_ms < self.calm_ms || step.at_ms + step.within_ms > self.for_ms {
            return Some(format!(
                "{} ms is no moment behind the calm and before the end",
                step.at_ms
            ));
        }
        let fits = |which: &Which, count: usize| match which {
            Which::Share(share) => (0.0..=1.0).contains(share),
            Which::These(these) => these.iter().all(|i| *i < count),
            _ => true,
        };
        let member = |group: &u16, member: &Option<usize>| {
            *group < self.store.groups && member.is_none_or(|member| member < self.store.members)
        };
        let fits = match &step.deed {
            Do::Kill(w) | Do::End(w) | Do::Stop(w) | Do::Continue(w) | Do::Start(w) => {
                fits(w, self.routers)
            }
            Do::Links(links) => {
                matches!(links.nodes, Which::All | Which::Share(_) | Which::These(_))
                    && fits(&links.routers, self.routers)
                    && fits(&links.nodes, self.store.nodes())
            }
            Do::Store(trouble) => match trouble {
                Trouble::Kill { group, member: m }
                | Trouble::Drain { group, member: m }
                | Trouble::Hang { group, member: m }
                | Trouble::Wake { group, member: m } => member(group, m),
                Trouble::Slow {
                    group,
                    member: m,
                    times,
                } => member(group, m) && *times >= 0.01,
                Trouble::Restart { group }
                | Trouble::Promote { group }
                | Trouble::EndDrain { group } => member(group, &None),
                Trouble::Freeze | Trouble::Thaw => true,
            },
        };
        (!fits).then(|| "names a router, node, group or share that is not there".to_string())
    }

    /// How many routers are there from the beginning.
    pub fn up(&self) -> usize {
        self.up.unwrap_or(self.routers)
    }

    /// What is done when: all lots are drawn here.
    pub fn draw(&self, seed: u64) -> Plan {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut plan, mut same) = (Plan::new(), Vec::new());
        let mut down: BTreeSet<usize> = (self.up()..self.routers).collect();
        let mut steps: Vec<&Step> = self.steps.iter().collect();
        steps.sort_by_key(|step| step.at_ms);
        for step in steps {
            let mut pick = |which: &Which, count: usize, same: &[usize], down: &BTreeSet<usize>| {
                let mut all: Vec<usize> = (0..count).collect();
                match which {
                    Which::All => all,
                    Which::Share(share) => {
                        chance.shuffle(&mut all);
                        all.truncate((share * count as f64).round() as usize);
                        all.sort_unstable();
                        all
                    }
                    Which::These(these) => these.clone(),
                    Which::Same => same.to_vec(),
                    Which::Down => down.iter().copied().collect(),
                }
            };
            let processes = match &step.deed {
                Do::Kill(w) | Do::End(w) | Do::Stop(w) | Do::Continue(w) | Do::Start(w) => {
                    Some(pick(w, self.routers, &same, &down))
                }
                _ => None,
            };
            match (&step.deed, processes) {
                (deed, Some(routers)) => {
                    for router in &routers {
                        let act = match deed {
                            Do::Kill(_) => Act::Kill(*router),
                            Do::End(_) => Act::End(*router),
                            Do::Stop(_) => Act::Stop(*router),
                            Do::Continue(_) => Act::Continue(*router),
                            _ => Act::Start(*router),
                        };
                        match act {
                            Act::Kill(router) | Act::End(router) => _ = down.insert(router),
                            Act::Start(router) => _ = down.remove(&router),
                            _ => {}
                        }
                        plan.push((step.at_ms + chance.u64(0..=step.within_ms), act));
                    }
                    same = routers;
                }
                (Do::Links(links), _) => {
                    let routers = pick(&links.routers, self.routers, &same, &down);
                    let nodes = match links.of {
                        Ends::Nodes => pick(&links.nodes, self.store.nodes(), &[], &down),
                        _ => vec![0],
                    };
                    let pairs: Vec<_> = routers
                        .iter()
                        .flat_map(|r| nodes.iter().map(move |n| (*r, *n)))
                        .collect();
                    let (of, way) = (links.of, links.way);
                    let act = |fault| Act::Links {
                        of,
                        pairs: pairs.clone(),
                        way,
                        fault,
                    };
                    plan.push((step.at_ms, act(Some(links.fault))));
                    plan.extend(links.for_ms.map(|ms| (step.at_ms + ms, act(None))));
                }
                (Do::Store(trouble), _) => plan.push((step.at_ms, Act::Store(trouble.clone()))),
                _ => {}
            }
        }
        // Stable: what is due together stays in the script's order.
        plan.sort_by_key(|(at, _)| *at);
        plan
    }
}
