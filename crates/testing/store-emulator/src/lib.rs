//! A replicated store on loopback to test against: groups of a primary and its replicas that speak the
//! platform's `PostgreSQL` protocol, and discovery beside them that may run late. It keeps a ledger of every
//! effect, by which a run is judged. It is written from the published pages alone and is no part of the router.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

pub mod discovery;
pub mod group;
pub mod node;
pub mod script;
pub mod scripted;
#[cfg(test)]
mod tests;

use discovery::Discovery;
use group::{Group, Ledger, Replication};
use node::{Node, Point, locked};
use script::Step;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// What a store is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub groups: u16,
    pub members: usize,
    pub replication: Replication,
    /// A statement's own time on a warm node, in microseconds, and how many are in work at once.
    pub service_us: u64,
    pub slots: usize,
    /// A node that starts has this share of its speed, and all of it after `cold_ms`.
    pub cold_from: f64,
    pub cold_ms: u64,
    /// The most connections that a node holds; 0 for any number. Others are turned away.
    pub connections: usize,
    /// What each new connection costs its node, in microseconds of work; it takes a place among statements.
    pub handshake_us: u64,
    /// How late discovery tells what has changed.
    pub late_ms: u64,
    /// Nodes tell what became of a write when asked by its mark.
    pub outcomes: bool,
    /// Prints each statement that a node is sent.
    pub loud: bool,
    /// Where nodes listen.
    pub host: Ipv4Addr,
    /// The first node's port and discovery's; 0 for any free ones.
    pub ports: (u16, u16),
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            groups: 1,
            members: 3,
            replication: Replication {
                synchronous: true,
                lag_ms: 20,
                mark_memory_ms: 60_000,
            },
            service_us: 0,
            slots: 64,
            cold_from: 1.0,
            cold_ms: 0,
            connections: 0,
            handshake_us: 0,
            late_ms: 0,
            outcomes: false,
            loud: false,
            host: Ipv4Addr::LOCALHOST,
            ports: (0, 0),
        }
    }
}

#[derive(Default)]
struct Watched {
    draining: BTreeSet<usize>,
    /// Who led a group before its last promotion or is the last that died in it, by group.
    old: BTreeMap<u16, usize>,
}

pub struct Emulator {
    pub nodes: Vec<Arc<Node>>,
    pub discovery: Arc<Discovery>,
    stores: Vec<Arc<Mutex<Group>>>,
    watched: Mutex<Watched>,
    members: usize,
}

impl Emulator {
    /// Starts all of it; the first member of each group leads. `names` may give the nodes of the first group
    /// names of their own.
    pub fn start(shape: Shape, names: &[&str]) -> std::io::Result<Arc<Emulator>> {
        let (mut nodes, mut stores) = (Vec::new(), Vec::new());
        for group in 0..shape.groups {
            let store = Arc::new(Mutex::new(Group::new(shape.replication, shape.members)));
            for member in 0..shape.members {
                let number = nodes.len();
                let name = names.get(number).map_or(
                    format!("s-{group}-{member}"),
                    std::string::ToString::to_string,
                );
                let port = if shape.ports.0 == 0 {
                    0
                } else {
                    shape.ports.0 + number as u16
                };
                nodes.push(Node::start(
                    shape,
                    name,
                    number,
                    group,
                    member,
                    store.clone(),
                    port,
                )?);
            }
            stores.push(store);
        }
        let watched = Mutex::new(Watched::default());
        let first = hosts(&nodes, &stores, &locked(&watched)).to_string();
        let discovery = Discovery::start(shape.ports.1, first, shape.late_ms)?;
        Ok(Arc::new(Emulator {
            nodes,
            discovery,
            stores,
            watched,
            members: shape.members,
        }))
    }

    /// The list as it is now, however late discovery tells it.
    pub fn hosts(&self) -> Value {
        hosts(&self.nodes, &self.stores, &locked(&self.watched))
    }

    /// Tells discovery of it.
    pub fn publish(&self) {
        let list = self.hosts().to_string();
        self.discovery.publish(list);
    }

    pub fn node(&self, group: u16, member: usize) -> &Arc<Node> {
        &self.nodes[usize::from(group) * self.members + member]
    }

    pub fn primary(&self, group: u16) -> Option<usize> {
        locked(&self.stores[usize::from(group)]).primary()
    }

    pub fn ledger(&self, group: u16) -> Ledger {
        locked(&self.stores[usize::from(group)]).ledger()
    }

    pub fn link(&self, group: u16, member: usize, linked: bool) {
        locked(&self.stores[usize::from(group)]).link(now(), member, linked);
    }

    /// True if it was promoted.
    pub fn promote(&self, group: u16, member: Option<usize>) -> bool {
        let before = self.primary(group);
        let chosen = locked(&self.stores[usize::from(group)]).promote(now(), member);
        if chosen.is_some() {
            let mut watched = locked(&self.watched);
            watched.old.extend(before.map(|old| (group, old)));
        }
        self.publish();
        chosen.is_some()
    }

    pub fn kill(&self, group: u16, member: usize) {
        locked(&self.watched).old.insert(group, member);
        self.node(group, member).kill();
        self.publish();
    }

    pub fn drain(&self, group: u16, member: usize, drains: bool) {
        let number = usize::from(group) * self.members + member;
        let mut watched = locked(&self.watched);
        if drains {
            watched.draining.insert(number)
        } else {
            watched.draining.remove(&number)
        };
        drop(watched);
        self.publish();
    }

    /// Does one step of a script; true for a promotion.
    pub fn step(&self, group: u16, step: Step) -> bool {
        let old = || locked(&self.watched).old.get(&group).copied();
        match (step, self.primary(group)) {
            (Step::Arm(point), Some(primary)) => self.arm(group, primary, point),
            (Step::KillPrimary, Some(primary)) => self.kill(group, primary),
            (Step::Promote, _) => return self.promote(group, None),
            (Step::RestartOld, _) => self.restart_dead(group),
            (Step::DrainPrimary, Some(primary)) => self.drain(group, primary, true),
            (Step::EndDrain, _) => {
                (0..self.members).for_each(|member| self.drain(group, member, false));
            }
            (Step::HangPrimary, Some(primary)) => {
                locked(&self.watched).old.insert(group, primary);
                self.node(group, primary).hang(true);
            }
            (Step::CutPrimary, Some(primary)) => {
                locked(&self.watched).old.insert(group, primary);
                self.node(group, primary).hang(true);
                self.link(group, primary, false);
            }
            (Step::WakeOld, _) => old()
                .into_iter()
                .for_each(|old| self.node(group, old).hang(false)),
            (Step::JoinOld, _) => {
                (0..self.members).for_each(|member| self.link(group, member, true));
            }
            (_, None) => {}
        }
        false
    }

    fn arm(&self, group: u16, primary: usize, point: Point) {
        locked(&self.watched).old.insert(group, primary);
        self.node(group, primary).arm(point);
    }

    fn restart_dead(&self, group: u16) {
        for member in 0..self.members {
            let dead = !locked(&self.stores[usize::from(group)]).alive(member);
            if dead && let Err(e) = self.node(group, member).restart() {
                eprintln!(
                    "emulator: {} does not start again: {e}",
                    self.node(group, member).name
                );
            }
        }
        self.publish();
    }
}

fn hosts(nodes: &[Arc<Node>], stores: &[Arc<Mutex<Group>>], watched: &Watched) -> Value {
    let host = |(number, node): (usize, &Arc<Node>)| {
        let leads = locked(&stores[usize::from(node.group)]).primary() == Some(node.member);
        let health = if watched.draining.contains(&number) {
            "terminating"
        } else {
            "in_service"
        };
        json!({"host": node.name, "dial": node.dial.to_string(), "site": "here", "class": "toy",
               "block": node.group, "health": health, "share": 1.0,
               "born_ms": node.born.load(Ordering::SeqCst), "rank": if leads { "source" } else { "copy" }})
    };
    Value::Array(nodes.iter().enumerate().map(host).collect())
}
