//! A test harness for consensus: control machines with simulated disks and clocks, and the messages
//! in flight between them.
//!
//! The test advances the time and chooses which messages arrive. After every step, the harness
//! checks the invariants: two leaders never may act at the same time, two different states of one
//! version are never committed, and a new leader has everything that was committed.

use super::common::{CONSENSUS_CONFIG, founder, founding_hard_state};
use crate::consensus::{Consensus, ConsensusMessage, ConsensusOutput, HardState, Recipient};
use crate::digest::Digest;
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use std::collections::{BTreeMap, VecDeque};

const FOUNDERS: [NodeId; 3] = [1, 2, 3];
/// Interval between two ticks while the network runs, in seconds.
const TICK_INTERVAL_S: f64 = 0.02;

/// A simulated control machine.
#[derive(Clone)]
pub(super) struct Machine {
    pub(super) consensus: Consensus,
    /// The content of its disk.
    pub(super) disk: HardState,
    /// The incarnation of its disk.
    pub(super) incarnation: u64,
    pub(super) is_running: bool,
    /// Whether its disk is full, so that writes fail.
    pub(super) disk_full: bool,
    /// How far its clock is ahead of `Network::now`, in seconds.
    pub(super) clock_offset_s: f64,
}

impl Machine {
    pub(super) fn voter(&self) -> Voter {
        self.consensus.me()
    }

    /// Returns whether the machine runs and may act as the leader.
    fn may_act(&self, now: f64) -> bool {
        self.is_running && self.consensus.authority_until() > now + self.clock_offset_s
    }
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Envelope {
    pub(super) from: Voter,
    pub(super) to: Recipient,
    pub(super) message: ConsensusMessage,
}

impl Envelope {
    /// Returns whether the message is from or to this machine.
    pub(super) fn involves(&self, node: NodeId) -> bool {
        self.from.node == node || self.to.node() == node
    }
}

/// The state that was committed with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CommittedState {
    pub(super) digest: Digest,
    pub(super) config_epoch: u64,
}

/// The election of a leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct Election {
    pub(super) at: f64,
    pub(super) leader: NodeId,
}

/// The machines, and the messages between them.
#[derive(Clone)]
pub(super) struct Network {
    pub(super) machines: BTreeMap<NodeId, Machine>,
    /// Messages in the order in which they were sent.
    pub(super) in_flight: Vec<Envelope>,
    /// The simulated time in seconds.
    pub(super) now: f64,
    /// The committed states by version.
    pub(super) committed: BTreeMap<u64, CommittedState>,
    pub(super) elections: Vec<Election>,
    proposal_count: u64,
    /// Events for the messages of failing tests.
    trace: Vec<String>,
    is_tracing: bool,
    last_incarnation: u64,
    seed: u64,
}

impl Network {
    /// Creates a network with the machines 1 to 3, which start for the first time.
    pub(super) fn new(seed: u64) -> Network {
        let mut network = Network {
            machines: BTreeMap::new(),
            in_flight: Vec::new(),
            now: 0.0,
            committed: BTreeMap::new(),
            elections: Vec::new(),
            proposal_count: 0,
            trace: Vec::new(),
            is_tracing: true,
            last_incarnation: 100,
            seed,
        };
        for node in FOUNDERS {
            network.add_machine(founder(node));
        }
        network
    }

    fn add_machine(&mut self, me: Voter) {
        let disk = founding_hard_state(&FOUNDERS);
        let machine = Machine {
            consensus: self.start_consensus(me, &disk, self.now),
            disk,
            incarnation: me.incarnation,
            is_running: true,
            disk_full: false,
            clock_offset_s: 0.0,
        };
        self.machines.insert(me.node, machine);
    }

    fn start_consensus(&self, me: Voter, disk: &HardState, clock: f64) -> Consensus {
        let seed = self.seed + u64::from(me.node);
        let mut consensus = Consensus::new(me, disk.clone(), clock, seed, CONSENSUS_CONFIG);
        consensus.set_seeds(FOUNDERS.to_vec());
        consensus
    }

    /// Starts a new machine with an empty disk, which asks to join.
    pub(super) fn add_empty_machine(&mut self, node: NodeId) {
        self.last_incarnation += 1;
        self.add_machine(Voter {
            node,
            incarnation: self.last_incarnation,
        });
    }

    pub(super) fn machine_mut(&mut self, node: NodeId) -> &mut Machine {
        self.machines.get_mut(&node).expect("the machine exists")
    }

    /// Stops a machine's process. Messages in flight are kept.
    pub(super) fn stop(&mut self, node: NodeId) {
        self.machine_mut(node).is_running = false;
    }

    /// Restarts a machine's process from its disk.
    pub(super) fn restart(&mut self, node: NodeId) {
        let now = self.now;
        self.trace(|| format!("{now:.3} {node} restarts"));
        self.start_process(node);
    }

    /// Restarts a machine's process with an empty disk.
    pub(super) fn restart_with_empty_disk(&mut self, node: NodeId) {
        let now = self.now;
        self.trace(|| format!("{now:.3} {node} restarts with an empty disk"));
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let machine = self.machine_mut(node);
        machine.disk = founding_hard_state(&FOUNDERS);
        machine.incarnation = incarnation;
        self.start_process(node);
    }

    /// Restarts all machines, the machine `lost_disk` with an empty disk.
    pub(super) fn restart_all(&mut self, lost_disk: NodeId) {
        for node in self.machines.keys().copied().collect::<Vec<_>>() {
            if node == lost_disk {
                self.restart_with_empty_disk(node);
            } else {
                self.restart(node);
            }
        }
    }

    /// Starts a machine's process from its disk.
    fn start_process(&mut self, node: NodeId) {
        // The machine's connections break, so messages in flight on them are lost.
        self.in_flight.retain(|envelope| !envelope.involves(node));
        let machine = &self.machines[&node];
        let me = Voter {
            node,
            incarnation: machine.incarnation,
        };
        let clock = self.now + machine.clock_offset_s;
        let consensus = self.start_consensus(me, &machine.disk, clock);
        let machine = self.machine_mut(node);
        machine.consensus = consensus;
        machine.is_running = true;
    }

    /// Begins the shutdown of a machine.
    pub(super) fn resign(&mut self, node: NodeId) {
        let mut outputs = Vec::new();
        self.machine_mut(node).consensus.resign(&mut outputs);
        self.perform(node, outputs);
    }

    /// Carries out the outputs of a machine's consensus.
    pub(super) fn perform(&mut self, node: NodeId, outputs: Vec<ConsensusOutput>) {
        let mut pending = VecDeque::from(outputs);
        while let Some(output) = pending.pop_front() {
            let now = self.now;
            let machine = self.machine_mut(node);
            match output {
                ConsensusOutput::Persist => {
                    let mut next = Vec::new();
                    if machine.disk_full {
                        machine.consensus.persist_failed(&mut next);
                    } else {
                        machine.disk = machine.consensus.hard_state().clone();
                        let clock = now + machine.clock_offset_s;
                        machine.consensus.persisted(clock, &mut next);
                    }
                    next.into_iter()
                        .rev()
                        .for_each(|output| pending.push_front(output));
                }
                ConsensusOutput::Send(to, message) => {
                    let from = machine.voter();
                    self.in_flight.push(Envelope { from, to, message });
                }
                ConsensusOutput::BecameLeader => {
                    self.trace(|| format!("{node} is elected"));
                    self.elections.push(Election {
                        at: now,
                        leader: node,
                    });
                    self.check_new_leader(node);
                }
                ConsensusOutput::Committed => self.check_commit(node),
                ConsensusOutput::SteppedDown => {}
            }
        }
        self.check_single_leader();
    }

    /// Checks that no other state was committed with the version that a leader has just committed.
    fn check_commit(&mut self, node: NodeId) {
        let state = self.machines[&node].consensus.hard_state().state.clone();
        self.trace(|| {
            format!(
                "{node} committed {} with epoch {}",
                state.version, state.config_epoch
            )
        });
        let committed = CommittedState {
            digest: state.digest(),
            config_epoch: state.config_epoch,
        };
        let other = self.committed.insert(state.version, committed);
        assert!(
            other.is_none_or(|other| other == committed),
            "two states are committed with version {}: {other:?} and {committed:?}\n{}",
            state.version,
            self.trace_text()
        );
    }

    /// Checks that a new leader has everything that was committed.
    fn check_new_leader(&mut self, node: NodeId) {
        let state = self.machines[&node].consensus.hard_state().state.clone();
        let newest = self.newest_committed_version();
        assert!(
            state.version >= newest,
            "{node} was elected with version {}, but version {newest} was committed\n{}",
            state.version,
            self.trace_text()
        );
        // The state that the leader adopted at its election is committed by now. The founding state
        // is not recorded, because nobody proposed it.
        let committed = CommittedState {
            digest: state.digest(),
            config_epoch: state.config_epoch,
        };
        let other = if state.version > 0 {
            self.committed.insert(state.version, committed)
        } else {
            None
        };
        assert!(
            other.is_none_or(|other| other.digest == committed.digest),
            "{node} was elected with another state of version {}: {other:?} and {committed:?}\n{}",
            state.version,
            self.trace_text()
        );
    }

    /// Checks that at most one machine may act as the leader.
    pub(super) fn check_single_leader(&self) {
        let acting: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.may_act(self.now))
            .map(|(node, _)| *node)
            .collect();
        assert!(
            acting.len() < 2,
            "at {} s, the machines {acting:?} may all act as the leader\n{}",
            self.now,
            self.trace_text()
        );
    }

    fn trace(&mut self, event: impl FnOnce() -> String) {
        if self.is_tracing {
            self.trace.push(event());
        }
    }

    pub(super) fn trace_text(&self) -> String {
        self.trace.join("\n")
    }

    /// Disables the trace, for tests with so many steps that tracing would take too long.
    pub(super) fn disable_trace(&mut self) {
        self.is_tracing = false;
        self.trace.clear();
    }

    /// Reopens a machine's disk after a failed write, unless the disk is still full.
    pub(super) fn reopen_disk(&mut self, node: NodeId) {
        let now = self.now;
        let machine = self.machine_mut(node);
        if machine.consensus.disk_failed() && !machine.disk_full {
            let (clock, disk) = (now + machine.clock_offset_s, machine.disk.clone());
            machine.consensus.disk_reopened(clock, disk);
        }
    }

    pub(super) fn tick(&mut self, node: NodeId) {
        let now = self.now;
        let machine = self.machine_mut(node);
        if machine.is_running {
            let (mut outputs, clock) = (Vec::new(), now + machine.clock_offset_s);
            machine.consensus.tick(clock, &mut outputs);
            self.perform(node, outputs);
        }
    }

    pub(super) fn tick_all(&mut self) {
        for node in self.machines.keys().copied().collect::<Vec<_>>() {
            self.tick(node);
        }
    }

    /// Delivers the message at `index`.
    pub(super) fn deliver(&mut self, index: usize) {
        let envelope = self.in_flight.remove(index);
        self.process(envelope);
    }

    /// Delivers a copy of the message at `index`, which stays in flight.
    pub(super) fn deliver_copy(&mut self, index: usize) {
        let envelope = self.in_flight[index].clone();
        self.process(envelope);
    }

    /// Lets the recipient process a message, if it is running.
    fn process(&mut self, envelope: Envelope) {
        let now = self.now;
        self.trace(|| {
            format!(
                "{now:.3} {}>{:?} {:?}",
                envelope.from, envelope.to, envelope.message
            )
        });
        let to = envelope.to.node();
        let running = |machine: &&mut Machine| machine.is_running;
        let Some(machine) = self.machines.get_mut(&to).filter(running) else {
            return;
        };
        if envelope.to.matches(machine.voter()) {
            let (mut outputs, clock) = (Vec::new(), now + machine.clock_offset_s);
            machine
                .consensus
                .step(clock, envelope.from, envelope.message, &mut outputs);
            self.perform(to, outputs);
        }
    }

    /// Delivers all messages in flight in order, including those that are sent meanwhile. Messages
    /// for which `is_lost` returns true are dropped.
    pub(super) fn deliver_all(&mut self, is_lost: impl Fn(&Envelope) -> bool) {
        while let Some(envelope) = self.in_flight.first() {
            if is_lost(envelope) {
                self.in_flight.remove(0);
            } else {
                self.deliver(0);
            }
        }
    }

    /// Lets the leader `node` propose a configuration with an epoch that is not used otherwise.
    /// Returns false if the machine may not act as the leader or another proposal is pending.
    pub(super) fn propose(&mut self, node: NodeId) -> bool {
        let now = self.now;
        self.proposal_count += 1;
        let epoch = self.proposal_count * 10 + u64::from(node);
        let machine = self.machine_mut(node);
        if !machine.may_act(now) {
            return false;
        }
        let Some(state) = machine.consensus.committed_state().cloned() else {
            return false;
        };
        let clock = now + machine.clock_offset_s;
        let mut outputs = Vec::new();
        let change = state.config_change(epoch, &epoch.to_string().into_bytes().into());
        machine.consensus.propose(clock, change, &mut outputs);
        self.trace(|| format!("{now:.3} {node} proposes {epoch}"));
        self.perform(node, outputs);
        true
    }

    /// Advances the time by this many seconds, and delivers all messages in order.
    pub(super) fn run(&mut self, seconds: f64) {
        self.run_with_loss(seconds, |_| false);
    }

    /// Like [`Network::run`], but drops messages for which `is_lost` returns true.
    pub(super) fn run_with_loss(&mut self, seconds: f64, is_lost: impl Fn(&Envelope) -> bool) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_INTERVAL_S;
            self.tick_all();
            self.deliver_all(&is_lost);
        }
    }

    /// Returns the machine that may act as the leader.
    pub(super) fn leader(&self) -> Option<NodeId> {
        self.machines
            .iter()
            .find(|(_, machine)| machine.may_act(self.now))
            .map(|(node, _)| *node)
    }

    fn leader_machine(&self) -> Option<&Machine> {
        self.machines.get(&self.leader()?)
    }

    /// Returns the addresses of the voters according to the leader. Empty if there is no leader.
    pub(super) fn voters(&self) -> Vec<NodeId> {
        self.leader_machine()
            .map(|leader| leader.consensus.voters().iter().map(|v| v.node).collect())
            .unwrap_or_default()
    }

    /// Returns whether every running machine, in the incarnation of its disk, is a voter according
    /// to the leader.
    pub(super) fn all_are_voters(&self) -> bool {
        let Some(leader) = self.leader_machine() else {
            return false;
        };
        let voters = leader.consensus.voters();
        self.machines
            .values()
            .filter(|machine| machine.is_running)
            .all(|machine| voters.contains(&machine.voter()))
    }

    /// Returns whether the leader has a change of the voter set in progress.
    pub(super) fn is_joint(&self) -> bool {
        self.leader_machine()
            .is_some_and(|leader| leader.consensus.hard_state().state.voters.is_joint())
    }

    /// Returns the highest term that any machine voted for.
    pub(super) fn highest_voted_term(&self) -> Term {
        self.machines
            .values()
            .map(|machine| machine.disk.voted_term)
            .max()
            .unwrap_or_default()
    }

    /// Returns the version of the newest committed state, or 0 if none is committed.
    pub(super) fn newest_committed_version(&self) -> u64 {
        self.committed.keys().max().copied().unwrap_or(0)
    }
}
