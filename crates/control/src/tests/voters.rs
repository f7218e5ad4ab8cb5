//! The set that decides, as it changes: machines join, leave and resign; what was agreed on is never lost or forked.

use crate::consensus::{Ballot, Consensus, ConsensusOutput, Record};
use crate::message::{Node, PeerMessage};
use crate::state::State;
use arbtest::arbtest;
use std::collections::BTreeMap;

const SUSPECT: f64 = 0.6;

struct Machine {
    consensus: Consensus,
    saved: Record,
    up: bool,
}

/// Machines by address, and the messages under way between them.
struct Net {
    machines: BTreeMap<Node, Machine>,
    bag: Vec<(Node, Node, PeerMessage)>,
    now: f64,
    agreed: BTreeMap<u64, State>,
    wins: Vec<(f64, Node)>,
}

impl Net {
    fn new() -> Net {
        let mut net = Net {
            machines: BTreeMap::new(),
            bag: Vec::new(),
            now: 0.0,
            agreed: BTreeMap::new(),
            wins: Vec::new(),
        };
        for node in 1..=3 {
            net.start(node, Record { state: State::first(vec![1, 2, 3]), ..Record::default() }, true);
        }
        net
    }

    fn start(&mut self, node: Node, saved: Record, votes: bool) {
        let seed = 7 + u64::from(node);
        let mut consensus = Consensus::new(node, saved.clone(), votes, self.now, seed, SUSPECT);
        consensus.seeds(vec![1, 2, 3]);
        self.machines.insert(node, Machine { consensus, saved, up: true });
    }

    /// An empty machine at an address of its own.
    fn join(&mut self, node: Node) {
        self.start(node, Record { state: State::first(vec![1, 2, 3]), ..Record::default() }, false);
    }

    fn take(&mut self, node: Node, outs: Vec<ConsensusOutput>) {
        for out in outs {
            let Some(machine) = self.machines.get_mut(&node) else { return };
            match out {
                ConsensusOutput::Save => machine.saved = machine.consensus.record().clone(),
                ConsensusOutput::Send(to, message) => self.bag.push((node, to, message)),
                ConsensusOutput::Won | ConsensusOutput::Agreed => {
                    let state = machine.consensus.record().state.clone();
                    if out == ConsensusOutput::Won {
                        self.wins.push((self.now, node));
                        let newest = self.agreed.keys().max().copied().unwrap_or(0);
                        assert!(state.seq >= newest, "{node} won with {} after {newest}", state.seq);
                    }
                    let other = self.agreed.insert(state.seq, state.clone());
                    assert!(other.is_none_or(|o| o == state), "forked at {}", state.seq);
                }
                ConsensusOutput::Lost => {}
            }
        }
        let acting = self.machines.values().filter(|m| m.up && m.consensus.authority() > self.now).count();
        assert!(acting < 2, "{acting} may act at {}", self.now);
    }

    fn tick(&mut self, node: Node) {
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&node).filter(|m| m.up) {
            let mut outs = Vec::new();
            machine.consensus.tick(now, &mut outs);
            self.take(node, outs);
        }
    }

    fn deliver(&mut self, at: usize) {
        let (from, to, message) = self.bag.swap_remove(at);
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&to).filter(|m| m.up) {
            let mut outs = Vec::new();
            machine.consensus.message(now, from, message, &mut outs);
            self.take(to, outs);
        }
    }

    fn propose(&mut self, epoch: u64) {
        let now = self.now;
        let leads =
            self.machines.iter().find(|(_, m)| m.up && m.consensus.authority() > now).map(|(n, _)| *n);
        let Some(machine) = leads.and_then(|n| self.machines.get_mut(&n)) else { return };
        let mut outs = Vec::new();
        if let Some(state) = machine.consensus.agreed().cloned() {
            machine.consensus.propose(now, state.with_config(epoch, b"{}"), &mut outs);
        }
        self.take(leads.unwrap_or_default(), outs);
    }

    fn restart(&mut self, node: Node) {
        if let Some(saved) = self.machines.get(&node).map(|m| m.saved.clone()) {
            let votes = saved.accepted > Ballot(0) || saved.state.voters.contains(&node) && node <= 3;
            self.start(node, saved, votes);
        }
    }

    /// So many seconds in which every message arrives.
    fn calm(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            while !self.bag.is_empty() {
                self.deliver(0);
            }
            self.now += 0.02;
            for node in self.machines.keys().copied().collect::<Vec<_>>() {
                self.tick(node);
            }
        }
    }

    fn leader(&self) -> Option<Node> {
        self.machines.iter().find(|(_, m)| m.up && m.consensus.leads().is_some()).map(|(n, _)| *n)
    }

    fn voters(&self) -> Vec<Node> {
        self.leader().map(|l| self.machines[&l].consensus.voters().to_vec()).unwrap_or_default()
    }
}

#[test]
fn an_empty_machine_takes_the_place_of_one_that_is_gone() {
    let mut net = Net::new();
    net.calm(1.0);
    let gone = net.leader().expect("somebody leads");
    net.machines.remove(&gone);
    net.calm(1.0);
    net.join(4);
    net.calm(1.5);
    assert!(net.voters().contains(&4), "it decides within a second of its start: {:?}", net.voters());
    assert!(net.machines[&4].consensus.votes());
    net.calm(4.0);
    assert_eq!(net.voters().len(), 3, "the one that is gone makes room: {:?}", net.voters());
    // One more may be lost now.
    let other = *net.voters().iter().find(|v| **v != 4).expect("others decide");
    net.machines.remove(&other);
    net.calm(2.0);
    net.propose(9);
    net.calm(0.5);
    assert!(net.agreed.values().any(|s| s.epoch == 9));
}

#[test]
fn fewer_than_outlive_a_loss_never_decide() {
    let mut net = Net::new();
    net.calm(1.0);
    net.machines.remove(&3);
    net.calm(10.0);
    assert_eq!(net.voters(), [1, 2, 3], "nobody has come in its place");
}

#[test]
fn who_was_left_out_comes_back() {
    let mut net = Net::new();
    net.join(4);
    net.calm(3.0);
    assert_eq!(net.voters().len(), 4);
    let quiet = *net.voters().iter().find(|v| Some(**v) != net.leader()).expect("a follower");
    net.machines.get_mut(&quiet).expect("it is there").up = false;
    net.calm(5.0);
    assert!(!net.voters().contains(&quiet));
    net.restart(quiet);
    net.calm(4.0);
    assert!(net.voters().contains(&quiet), "{:?}", net.voters());
    assert!(net.leader().is_some());
}

#[test]
fn a_stale_set_elects_nobody() {
    let mut net = Net::new();
    net.calm(1.0);
    let old: Vec<(Node, Record)> = net.machines.iter().map(|(n, m)| (*n, m.saved.clone())).collect();
    // 1 is gone for a while; 4 and 5 come, and the set moves on.
    net.machines.get_mut(&1).expect("it is there").up = false;
    net.calm(1.0);
    net.join(4);
    net.calm(6.0);
    net.join(5);
    net.calm(3.0);
    net.propose(20);
    net.calm(0.5);
    let newest = *net.agreed.keys().max().expect("it was agreed on");
    // 1 is back with what it had, and 2 as well with its own disk: two of the three that 1 knows.
    let (_, saved) = old.into_iter().find(|(n, _)| *n == 1).expect("it had a disk");
    for node in [3, 4, 5] {
        net.machines.get_mut(&node).expect("it is there").up = false;
    }
    net.start(1, saved, true);
    net.restart(2);
    net.calm(5.0);
    let led = net.leader();
    // Whoever is met knows of the later set, in which two of four or five are no majority.
    assert!(led.is_none(), "{led:?} leads with {:?}", net.voters());
    for node in [3, 4, 5] {
        net.restart(node);
    }
    net.calm(4.0);
    assert!(net.agreed.keys().max().copied() >= Some(newest));
    assert!(net.leader().is_some());
}

#[test]
fn a_leader_that_resigns_is_followed_at_once() {
    let mut net = Net::new();
    net.calm(1.0);
    let leader = net.leader().expect("somebody leads");
    let mut outs = Vec::new();
    net.machines.get_mut(&leader).expect("it is there").consensus.resign(&mut outs);
    net.take(leader, outs);
    let asked = net.now;
    net.calm(1.0);
    let (won, next) = *net.wins.last().expect("somebody wins");
    assert_ne!(next, leader);
    assert!(won - asked < 0.4, "after {}", won - asked);
}

#[test]
fn a_lost_promise_is_given_again() {
    let mut net = Net::new();
    net.now = 0.2;
    net.tick(1);
    let asked = net.bag.iter().position(|(_, to, m)| *to == 2 && matches!(m, PeerMessage::Prepare { .. }));
    net.deliver(asked.expect("it stands"));
    // All that is under way is lost, the promise too.
    net.bag.clear();
    net.now = 0.32;
    net.tick(1);
    while let Some(at) = net.bag.iter().position(|(a, b, _)| [1, 2].contains(a) && [1, 2].contains(b)) {
        net.deliver(at);
    }
    assert_eq!(net.leader(), Some(1));
}

#[test]
fn any_order_of_joins_and_losses() {
    arbtest(|u| {
        let mut net = Net::new();
        let mut epoch = 1;
        let mut next = 4;
        for _ in 0..u.int_in_range(20..=160)? {
            match u.int_in_range(0..=19)? {
                0..=7 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.deliver(at);
                }
                8 if !net.bag.is_empty() => {
                    let at = u.choose_index(net.bag.len())?;
                    net.bag.swap_remove(at);
                }
                9..=12 => {
                    net.now += f64::from(u.int_in_range(1..=30)?) / 100.0;
                    for node in net.machines.keys().copied().collect::<Vec<_>>() {
                        net.tick(node);
                    }
                }
                13 | 14 => {
                    epoch += 1;
                    net.propose(epoch);
                }
                15 => {
                    let nodes: Vec<Node> = net.machines.keys().copied().collect();
                    let node = *u.choose(&nodes)?;
                    net.restart(node);
                }
                16 if next < 7 => {
                    net.join(next);
                    next += 1;
                }
                17 => {
                    let nodes: Vec<Node> = net.machines.keys().copied().collect();
                    let node = *u.choose(&nodes)?;
                    let machine = net.machines.get_mut(&node).expect("it is there");
                    machine.up = !machine.up;
                }
                _ => net.calm(f64::from(u.int_in_range(1..=40)?) / 10.0),
            }
        }
        Ok(())
    })
    .budget_ms(super::budget());
}
