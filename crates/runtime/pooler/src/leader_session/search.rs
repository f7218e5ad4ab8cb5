//! Chooses which control machine a router tries next while it searches for the leader, and how long
//! it pauses in between. The session itself connects and sleeps.

use badgerstream_control::NodeId;

/// Maximum number of control machines remembered in addition to the voters.
const MAX_OTHER_NODES: usize = 16;
/// First pause after a machine answered that it knows of no leader, in seconds.
const MIN_BACKOFF_S: f64 = 0.04;
/// Factor by which each pause is longer than the previous one.
const BACKOFF_FACTOR: f64 = 1.5;
/// Maximum attempts per second of all routers together, which search at the same time when a leader
/// is lost: the longest pause is chosen so that they stay below it.
const MAX_ATTEMPTS_PER_S: f64 = 1500.0;
/// Number of routers assumed until control sends the number.
const DEFAULT_ROUTER_COUNT: usize = 300;

/// The known control machines.
#[derive(Default)]
pub(super) struct ControlNodes {
    /// The voters as last received from a leader; empty before that.
    voters: Vec<NodeId>,
    /// Other control machines that may exist; the most recently named ones are last.
    others: Vec<NodeId>,
}

impl ControlNodes {
    /// Replaces the voters by those that the leader has sent.
    pub(super) fn set_voters(&mut self, voters: Vec<NodeId>) {
        self.voters = voters;
    }

    /// Adds machines to try when the voters don't answer. They are named by the settings or by a
    /// machine that isn't the leader; such a machine may know only machines that no longer exist.
    pub(super) fn add_others(&mut self, nodes: &[NodeId]) {
        self.others.retain(|node| !nodes.contains(node));
        self.others.extend(nodes);
        let excess = self.others.len().saturating_sub(MAX_OTHER_NODES);
        self.others.drain(..excess);
    }

    /// Returns the machine to try after this many failed attempts: first the voters in turn, then
    /// all machines in turn.
    fn node_in_turn(&self, turn: usize, attempts: usize) -> Option<NodeId> {
        let others = self
            .others
            .iter()
            .filter(|node| attempts >= self.voters.len() && !self.voters.contains(node));
        let nodes: Vec<NodeId> = self.voters.iter().chain(others).copied().collect();
        nodes.get(turn % nodes.len().max(1)).copied()
    }
}

/// The search for the leader.
pub(super) struct LeaderSearch {
    /// The leader that the last machine named, if it is to be tried next.
    named_leader: Option<NodeId>,
    turn: usize,
    /// Number of attempts since the last session with a leader.
    attempts: usize,
    backoff_s: f64,
}

impl LeaderSearch {
    /// Starts a search at this turn. The caller passes a random number, so that routers that start
    /// together don't all try the same machine.
    pub(super) fn new(first_turn: usize) -> LeaderSearch {
        LeaderSearch {
            named_leader: None,
            turn: first_turn,
            attempts: 0,
            backoff_s: MIN_BACKOFF_S,
        }
    }

    /// Returns the machine to try next; `None` while none is known.
    pub(super) fn next_node(&mut self, nodes: &ControlNodes) -> Option<NodeId> {
        let in_turn = || nodes.node_in_turn(self.turn, self.attempts);
        let node = self.named_leader.take().or_else(in_turn);
        self.turn = self.turn.wrapping_add(1);
        self.attempts += 1;
        node
    }

    /// Resets the search after a session with a leader has ended.
    pub(super) fn reset(&mut self) {
        self.backoff_s = MIN_BACKOFF_S;
        self.attempts = 0;
    }

    /// Records that a machine isn't the leader, and which leader it named. Returns how many seconds
    /// to pause before the next attempt; `None` if the named leader is to be tried at once.
    pub(super) fn record_not_leader(
        &mut self,
        node: NodeId,
        leader: Option<NodeId>,
        router_count: Option<usize>,
    ) -> Option<f64> {
        self.named_leader = leader.filter(|leader| *leader != node);
        if self.named_leader.is_some() {
            self.backoff_s = MIN_BACKOFF_S;
            return None;
        }
        let jitter = 0.75 + 0.5 * fastrand::f64();
        let pause_s = self.backoff_s * jitter;
        self.backoff_s = (self.backoff_s * BACKOFF_FACTOR).min(max_backoff_s(router_count));
        Some(pause_s)
    }
}

/// Returns the maximum pause between two attempts, in seconds, before jitter.
fn max_backoff_s(router_count: Option<usize>) -> f64 {
    let routers = router_count.unwrap_or(DEFAULT_ROUTER_COUNT);
    (routers as f64 / MAX_ATTEMPTS_PER_S).max(MIN_BACKOFF_S)
}
