//! Machines that agree, and the messages under way between them. Time passes by hand, messages arrive as a test wants, and
//! what must hold is checked at every step.

use crate::consensus::{
    Consensus, ConsensusConfig, ConsensusMessage, ConsensusOutput, HardState, Recipient,
};
use crate::digest::Digest;
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

pub const SUSPECT: f64 = 0.6;
pub const CONTACT: f64 = 1.0;
const TIMING: ConsensusConfig = ConsensusConfig {
    election_timeout: SUSPECT,
    contact_timeout: CONTACT,
};

/// A control machine.
#[derive(Clone)]
pub struct Machine {
    pub consensus: Consensus,
    /// What is on the disk.
    pub saved: HardState,
    pub incarnation: u64,
    pub up: bool,
    /// Its disk takes nothing.
    pub full: bool,
    /// Its clock against the others'.
    pub offset: f64,
}

impl Machine {
    pub fn voter(&self) -> Voter {
        self.consensus.me()
    }
}

/// A message under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Letter {
    pub from: Voter,
    pub to: Recipient,
    pub message: ConsensusMessage,
}

/// All of them.
#[derive(Clone)]
pub struct Net {
    pub machines: BTreeMap<NodeId, Machine>,
    pub bag: Vec<Letter>,
    pub now: f64,
    /// States that were agreed on, by number: digest and epoch.
    pub agreed: BTreeMap<u64, (Digest, u64)>,
    pub wins: Vec<(f64, NodeId)>,
    pub proposals: u64,
    /// What happened, unless so much is tried that it would take too long to write down.
    story: Vec<String>,
    pub silent: bool,
    incarnations: u64,
    seed: u64,
}

impl Net {
    /// Machines 1 to 3, which start for the first time.
    pub fn new(seed: u64) -> Net {
        let mut net = Net {
            machines: BTreeMap::new(),
            bag: Vec::new(),
            now: 0.0,
            agreed: BTreeMap::new(),
            wins: Vec::new(),
            proposals: 0,
            story: Vec::new(),
            silent: false,
            incarnations: 100,
            seed,
        };
        for node in 1..=3 {
            net.add(node, FOUNDING_INCARNATION);
        }
        net
    }

    fn first() -> HardState {
        HardState {
            state: Rc::new(State::founding(vec![1, 2, 3])),
            ..HardState::default()
        }
    }

    fn add(&mut self, node: NodeId, incarnation: u64) {
        let saved = Net::first();
        let consensus = self.consensus(Voter { node, incarnation }, &saved, self.now);
        let machine = Machine {
            consensus,
            saved,
            incarnation,
            up: true,
            full: false,
            offset: 0.0,
        };
        self.machines.insert(node, machine);
    }

    fn consensus(&self, me: Voter, saved: &HardState, clock: f64) -> Consensus {
        let mut consensus = Consensus::new(
            me,
            saved.clone(),
            clock,
            self.seed + u64::from(me.node),
            TIMING,
        );
        consensus.set_seeds(vec![1, 2, 3]);
        consensus
    }

    /// An empty machine at an address of its own.
    pub fn join(&mut self, node: NodeId) {
        self.incarnations += 1;
        self.add(node, self.incarnations);
    }

    pub fn at(&mut self, node: NodeId) -> &mut Machine {
        self.machines.get_mut(&node).expect("the machine exists")
    }

    /// Its process ends and starts with its disk as it was saved last, or with an empty one.
    pub fn restart(&mut self, node: NodeId, empty: bool) {
        let now = self.now;
        self.tell(|| format!("{now:.3} {node} restarts, empty={empty}"));
        // Its connections break: what is under way to it or from it is lost.
        self.bag
            .retain(|letter| letter.from.node != node && letter.to.node() != node);
        self.incarnations += 1;
        let new = self.incarnations;
        let machine = self.at(node);
        if empty {
            (machine.saved, machine.incarnation) = (Net::first(), new);
        }
        let me = Voter {
            node,
            incarnation: machine.incarnation,
        };
        let (saved, clock) = (machine.saved.clone(), now + machine.offset);
        let consensus = self.consensus(me, &saved, clock);
        let machine = self.at(node);
        machine.consensus = consensus;
        machine.up = true;
    }

    pub fn take(&mut self, node: NodeId, outs: Vec<ConsensusOutput>) {
        let mut waiting = VecDeque::from(outs);
        while let Some(out) = waiting.pop_front() {
            let now = self.now;
            let machine = self.at(node);
            match out {
                ConsensusOutput::Persist => {
                    let mut then = Vec::new();
                    if machine.full {
                        machine.consensus.persist_failed(&mut then);
                    } else {
                        machine.saved = machine.consensus.hard_state().clone();
                        let clock = now + machine.offset;
                        machine.consensus.persisted(clock, &mut then);
                    }
                    then.into_iter()
                        .rev()
                        .for_each(|one| waiting.push_front(one));
                }
                ConsensusOutput::Send(to, message) => {
                    let from = machine.voter();
                    self.bag.push(Letter { from, to, message });
                }
                ConsensusOutput::BecameLeader => {
                    self.tell(|| format!("{node} won"));
                    self.wins.push((self.now, node));
                    self.won(node);
                }
                ConsensusOutput::Committed => self.note_agreed(node),
                ConsensusOutput::SteppedDown => {}
            }
        }
        self.one_acts();
    }

    fn note_agreed(&mut self, node: NodeId) {
        let state = self.at(node).consensus.hard_state().state.clone();
        self.tell(|| {
            format!(
                "{node} agreed on {} with epoch {}",
                state.version, state.config_epoch
            )
        });
        let one = (state.digest(), state.config_epoch);
        let other = self.agreed.insert(state.version, one);
        assert!(
            other.is_none_or(|o| o == one),
            "forked at {}: {other:?}\n{}",
            state.version,
            self.tale()
        );
    }

    /// Whoever wins has all that was agreed on, and nobody else may act any more.
    fn won(&mut self, node: NodeId) {
        let state = self.at(node).consensus.hard_state().state.clone();
        let newest = self.agreed.keys().max().copied().unwrap_or(0);
        assert!(
            state.version >= newest,
            "{node} won with {} after {newest}\n{}",
            state.version,
            self.tale()
        );
        // What a leader finds and has agreed on is as good as proposed by it; the state of the first start isn't counted.
        let one = (state.digest(), state.config_epoch);
        let other = if state.version > 0 {
            self.agreed.insert(state.version, one)
        } else {
            None
        };
        assert!(
            other.is_none_or(|(digest, _)| digest == state.digest()),
            "{node} won with another {}\n{}",
            state.version,
            self.tale()
        );
    }

    pub fn one_acts(&self) {
        let acting: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.up && m.consensus.authority_until() > self.now + m.offset)
            .map(|(node, _)| *node)
            .collect();
        assert!(
            acting.len() < 2,
            "{}: {acting:?} may act\n{}",
            self.now,
            self.tale()
        );
    }

    fn tell(&mut self, what: impl FnOnce() -> String) {
        if !self.silent {
            self.story.push(what());
        }
    }

    pub fn tale(&self) -> String {
        self.story.join("\n")
    }

    /// From here on so much is tried that nothing is written down.
    pub fn be_silent(&mut self) {
        self.silent = true;
        self.story.clear();
    }

    /// The store of a machine whose disk takes bytes is opened anew, if a save had failed.
    pub fn reopen(&mut self, node: NodeId) {
        let now = self.now;
        let machine = self.at(node);
        if machine.consensus.disk_failed() && !machine.full {
            let (clock, saved) = (now + machine.offset, machine.saved.clone());
            machine.consensus.disk_reopened(clock, saved);
        }
    }

    pub fn tick(&mut self, node: NodeId) {
        let now = self.now;
        let machine = self.at(node);
        if machine.up {
            let (mut outs, clock) = (Vec::new(), now + machine.offset);
            machine.consensus.tick(clock, &mut outs);
            self.take(node, outs);
        }
    }

    pub fn tick_all(&mut self) {
        for node in self.machines.keys().copied().collect::<Vec<_>>() {
            self.tick(node);
        }
    }

    /// This letter arrives; `keep` leaves it in the bag, so that it arrives once more.
    pub fn deliver(&mut self, at: usize, keep: bool) {
        let letter = if keep {
            self.bag[at].clone()
        } else {
            self.bag.remove(at)
        };
        let now = self.now;
        self.tell(|| {
            format!(
                "{now:.3} {}>{:?} {:?}",
                letter.from, letter.to, letter.message
            )
        });
        let to = letter.to.node();
        let Some(machine) = self.machines.get_mut(&to).filter(|machine| machine.up) else {
            return;
        };
        if letter.to.is(machine.voter()) {
            let (mut outs, clock) = (Vec::new(), now + machine.offset);
            machine
                .consensus
                .step(clock, letter.from, letter.message, &mut outs);
            self.take(to, outs);
        }
    }

    /// A leader proposes a configuration of an epoch that nobody else uses.
    pub fn propose(&mut self, node: NodeId) -> bool {
        let now = self.now;
        self.proposals += 1;
        let epoch = self.proposals * 10 + u64::from(node);
        let machine = self.at(node);
        let clock = now + machine.offset;
        if !machine.up || machine.consensus.authority_until() <= clock {
            return false;
        }
        let Some(state) = machine.consensus.committed_state().cloned() else {
            return false;
        };
        let mut outs = Vec::new();
        let change = state.config_change(epoch, &epoch.to_string().into_bytes().into());
        machine.consensus.propose(clock, change, &mut outs);
        self.tell(|| format!("{now:.3} {node} proposes {epoch}"));
        self.take(node, outs);
        true
    }

    /// Calm for so many seconds: everything arrives in order.
    pub fn calm(&mut self, seconds: f64) {
        self.calm_but_for(seconds, |_| false);
    }

    /// The same, but for letters that are lost.
    pub fn calm_but_for(&mut self, seconds: f64, is_lost: impl Fn(&Letter) -> bool) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.02;
            self.tick_all();
            while let Some(letter) = self.bag.first() {
                if is_lost(letter) {
                    self.bag.remove(0);
                } else {
                    self.deliver(0, false);
                }
            }
        }
    }

    pub fn leader(&self) -> Option<NodeId> {
        let acts = |m: &Machine| m.up && m.consensus.authority_until() > self.now + m.offset;
        self.machines
            .iter()
            .find(|(_, m)| acts(m))
            .map(|(node, _)| *node)
    }

    /// Addresses of the voters as the leader has them.
    pub fn voters(&self) -> Vec<NodeId> {
        let leader = self.leader().and_then(|leader| self.machines.get(&leader));
        leader
            .map(|m| m.consensus.voters().iter().map(|v| v.node).collect())
            .unwrap_or_default()
    }

    /// Whether every machine that is up decides, in the life of its disk, as the leader has it.
    pub fn all_decide(&self) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.machines.get(&leader)) else {
            return false;
        };
        let voters = leader.consensus.voters();
        self.machines
            .values()
            .filter(|m| m.up)
            .all(|m| voters.contains(&m.voter()))
    }

    /// Whether a change of the voters is under way at the leader.
    pub fn is_joint(&self) -> bool {
        let leader = self.leader().and_then(|leader| self.machines.get(&leader));
        leader.is_some_and(|m| m.consensus.hard_state().state.voters.is_joint())
    }

    /// The highest ballot that was promised anywhere.
    pub fn highest(&self) -> Term {
        self.machines
            .values()
            .map(|m| m.saved.voted_term)
            .max()
            .unwrap_or_default()
    }
}
