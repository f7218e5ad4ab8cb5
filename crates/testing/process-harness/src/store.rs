//! The store of a run, as a process of its own: nodes, and a discovery a router whose addresses are that
//! router's relays. It takes orders as lines of JSON, answers each with one, and keeps what arrived.

use crate::script::{Store, Trouble};
use badgerstream_store_emulator::discovery::{Call, Discovery};
use badgerstream_store_emulator::node::{Arrival, What};
use badgerstream_store_emulator::script::Step;
use badgerstream_store_emulator::{Emulator, Shape, node::locked};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::{BufRead, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// The nodes listen at this address.
    Begin(Store, Ipv4Addr),
    /// Where each router (first) finds each node (second): a discovery for each.
    Views(Vec<Vec<SocketAddr>>),
    Do(Trouble),
    /// The list that a router's discovery tells now.
    List(usize),
    /// What was seen goes to this file, and all ends.
    End(PathBuf),
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    Nodes(Vec<SocketAddr>),
    Views(Vec<SocketAddr>),
    /// The number of the node that it was done to, if to one.
    Done(Option<usize>),
    List(Value),
    Ended,
    Wrong(String),
}

/// What arrived at the store, and what was left in it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Seen {
    pub arrivals: Vec<Arrived>,
    /// Calls for the list: when, and by which router.
    pub calls: Vec<(u64, usize)>,
    /// Lists told: when, to which router, who drains by them.
    pub told: Vec<(u64, usize, Vec<usize>)>,
    /// Starts of nodes within the run, and drains: node, from, to.
    pub born: Vec<(usize, u64)>,
    /// Effects that survive, by group, in their order.
    pub effects: Vec<Effect>,
    /// Effects of a branch that was given up.
    pub discarded: usize,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Arrived {
    pub at_us: u64,
    pub node: usize,
    /// None for a caller that is no router.
    pub router: Option<usize>,
    pub held: usize,
    pub kind: Kind,
    /// The id of a statement.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub id: String,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Opened,
    Full,
    Probe,
    Statement,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Effect {
    pub group: u16,
    pub mark: Option<String>,
    pub statement: String,
    pub key: String,
}

struct Views {
    discoveries: Vec<Arc<Discovery>>,
    dials: Vec<Vec<SocketAddr>>,
    /// Who drains by each version of the list; all views have the same versions.
    versions: Arc<Mutex<Vec<Vec<usize>>>>,
}

struct Running {
    emulator: Arc<Emulator>,
    views: Option<Views>,
    members: usize,
    late_ms: u64,
    arrivals: mpsc::Receiver<Arrival>,
    calls: Arc<Mutex<Seen>>,
    born: Vec<(usize, u64)>,
}

/// The process: until it is told to end, or nobody gives orders any more.
///
/// # Errors
/// Its standard streams'.
pub fn serve() -> std::io::Result<()> {
    let mut running = None;
    for line in std::io::stdin().lock().lines() {
        let reply = match serde_json::from_str(&line?) {
            Ok(order) => obey(&mut running, order).unwrap_or_else(Reply::Wrong),
            Err(e) => Reply::Wrong(e.to_string()),
        };
        let ended = matches!(reply, Reply::Ended);
        let mut out = std::io::stdout().lock();
        writeln!(out, "{}", serde_json::to_string(&reply)?)?;
        out.flush()?;
        if ended {
            break;
        }
    }
    Ok(())
}

fn obey(running: &mut Option<Running>, order: Order) -> Result<Reply, String> {
    if let Order::Begin(store, host) = order {
        let (started, nodes) = begin(&store, host).map_err(|e| e.to_string())?;
        *running = Some(started);
        return Ok(Reply::Nodes(nodes));
    }
    let running = running.as_mut().ok_or("the store was not begun")?;
    match order {
        Order::Begin(..) => Err("the store was begun".to_string()),
        Order::Views(dials) => running
            .watch(dials)
            .map(Reply::Views)
            .map_err(|e| e.to_string()),
        Order::Do(trouble) => Ok(Reply::Done(running.trouble(&trouble))),
        Order::List(router) => running
            .list(router)
            .map(Reply::List)
            .ok_or("no such view".to_string()),
        Order::End(file) => {
            let text = serde_json::to_string(&running.seen()).map_err(|e| e.to_string())?;
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok(Reply::Ended)
        }
    }
}

fn begin(store: &Store, host: Ipv4Addr) -> std::io::Result<(Running, Vec<SocketAddr>)> {
    let emulator = Emulator::start(
        Shape {
            host,
            ..store.shape()
        },
        &[],
    )?;
    let (sink, arrivals) = mpsc::channel();
    emulator
        .nodes
        .iter()
        .for_each(|node| node.tell(sink.clone()));
    let nodes = emulator.nodes.iter().map(|node| node.dial).collect();
    let (members, late_ms) = (store.members, store.late_ms);
    let calls = Arc::default();
    Ok((
        Running {
            emulator,
            views: None,
            members,
            late_ms,
            arrivals,
            calls,
            born: Vec::new(),
        },
        nodes,
    ))
}

/// A list with the addresses that one router has for the nodes.
fn rewritten(hosts: &Value, dials: &[SocketAddr]) -> String {
    let mut hosts = hosts.clone();
    for (host, dial) in hosts.as_array_mut().into_iter().flatten().zip(dials) {
        host["dial"] = Value::from(dial.to_string());
    }
    hosts.to_string()
}

impl Running {
    fn watch(&mut self, dials: Vec<Vec<SocketAddr>>) -> std::io::Result<Vec<SocketAddr>> {
        let (hosts, versions) = (
            self.emulator.hosts(),
            Arc::new(Mutex::new(vec![Vec::new(); 2])),
        );
        let mut discoveries = Vec::new();
        for (router, dials) in dials.iter().enumerate() {
            let discovery = Discovery::start(0, rewritten(&hosts, dials), self.late_ms)?;
            let (calls, versions) = (self.calls.clone(), versions.clone());
            discovery.tell(move |call| {
                let (mut seen, at) = (locked(&calls), crate::now_us());
                match call {
                    Call::Asked => seen.calls.push((at, router)),
                    Call::Told(version) => {
                        let drains = locked(&versions)
                            .get(version as usize)
                            .cloned()
                            .unwrap_or_default();
                        seen.told.push((at, router, drains));
                    }
                }
            });
            discoveries.push(discovery);
        }
        let addresses = discoveries
            .iter()
            .map(|discovery| discovery.address)
            .collect();
        self.views = Some(Views {
            discoveries,
            dials,
            versions,
        });
        Ok(addresses)
    }

    fn list(&self, router: usize) -> Option<Value> {
        let (seq, hosts) = self.views.as_ref()?.discoveries.get(router)?.present();
        let hosts: Value = serde_json::from_str(&hosts).ok()?;
        Some(serde_json::json!({"seq": seq, "whole": true, "hosts": hosts}))
    }

    fn publish(&self) {
        let Some(views) = &self.views else { return };
        let hosts = self.emulator.hosts();
        let drains =
            |(number, host): (usize, &Value)| (host["health"] == "terminating").then_some(number);
        let draining = hosts
            .as_array()
            .into_iter()
            .flatten()
            .enumerate()
            .filter_map(drains)
            .collect();
        locked(&views.versions).push(draining);
        for (discovery, dials) in views.discoveries.iter().zip(&views.dials) {
            discovery.publish(rewritten(&hosts, dials));
        }
    }

    /// The member that is meant: a named one, or who leads.
    fn meant(&self, group: u16, member: Option<usize>) -> Option<usize> {
        member.or_else(|| self.emulator.primary(group))
    }

    fn trouble(&mut self, trouble: &Trouble) -> Option<usize> {
        let emulator = self.emulator.clone();
        let number = |group: u16, member: usize| usize::from(group) * self.members + member;
        let mut done = None;
        match trouble {
            Trouble::Kill { group, member } => {
                if let Some(member) = self.meant(*group, *member) {
                    emulator.kill(*group, member);
                    done = Some(number(*group, member));
                }
            }
            Trouble::Restart { group } => {
                let before: Vec<u64> = emulator
                    .nodes
                    .iter()
                    .map(|n| n.born.load(Ordering::SeqCst))
                    .collect();
                emulator.step(*group, Step::RestartOld);
                for (node, before) in emulator.nodes.iter().zip(before) {
                    let born = node.born.load(Ordering::SeqCst);
                    if born != before {
                        let number = number(node.group, node.member);
                        self.born.push((number, born * 1000));
                        done = Some(number);
                    }
                }
            }
            Trouble::Promote { group } => {
                emulator.promote(*group, None);
                done = emulator
                    .primary(*group)
                    .map(|member| number(*group, member));
            }
            Trouble::Drain { group, member } => {
                if let Some(member) = self.meant(*group, *member) {
                    emulator.drain(*group, member, true);
                    done = Some(number(*group, member));
                }
            }
            Trouble::EndDrain { group } => _ = emulator.step(*group, Step::EndDrain),
            Trouble::Hang { group, member } | Trouble::Wake { group, member } => {
                if let Some(member) = self.meant(*group, *member) {
                    emulator
                        .node(*group, member)
                        .hang(matches!(trouble, Trouble::Hang { .. }));
                    done = Some(number(*group, member));
                }
            }
            Trouble::Slow {
                group,
                member,
                times,
            } => {
                if let Some(member) = self.meant(*group, *member) {
                    emulator.node(*group, member).slow(*times);
                    done = Some(number(*group, member));
                }
            }
            Trouble::Freeze | Trouble::Thaw => {
                let frozen = *trouble == Trouble::Freeze;
                self.views
                    .iter()
                    .flat_map(|v| &v.discoveries)
                    .for_each(|d| d.freeze(frozen));
            }
        }
        self.publish();
        done
    }

    fn seen(&mut self) -> Seen {
        // What is in work at a node comes to its end, or the ledger would lack it.
        let (begun, busy) = (Instant::now(), Duration::from_millis(300));
        while begun.elapsed() < busy {
            std::thread::sleep(Duration::from_millis(10));
        }
        let mut seen = locked(&self.calls).clone();
        seen.arrivals = self.arrivals.try_iter().map(arrived).collect();
        seen.arrivals.sort_by_key(|arrival| arrival.at_us);
        seen.born = self.born.clone();
        let groups = self
            .emulator
            .nodes
            .iter()
            .map(|node| node.group + 1)
            .max()
            .unwrap_or(0);
        for group in 0..groups {
            let ledger = self.emulator.ledger(group);
            seen.discarded += ledger.discarded.len();
            seen.effects
                .extend(ledger.effects.iter().map(|entry| Effect {
                    group,
                    mark: entry.mark.clone(),
                    statement: entry.statement.clone(),
                    key: entry.key.clone(),
                }));
        }
        seen
    }
}

fn arrived(arrival: Arrival) -> Arrived {
    let router = match arrival.from {
        Some(std::net::IpAddr::V4(from)) => crate::router_of(from),
        _ => None,
    };
    let (kind, id) = match arrival.what {
        What::Opened => (Kind::Opened, String::new()),
        What::Full => (Kind::Full, String::new()),
        What::Probe => (Kind::Probe, String::new()),
        What::Statement(id) => (Kind::Statement, id),
    };
    Arrived {
        at_us: arrival.at_us,
        node: arrival.node,
        router,
        held: arrival.held,
        kind,
        id,
    }
}
