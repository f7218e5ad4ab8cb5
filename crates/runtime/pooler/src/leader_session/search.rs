//! Which control machine a router tries next while it looks for the leader. Decides only; the
//! session connects and sleeps.

use badgerstream_control::NodeId;

/// How many control machines are remembered besides the voters.
const MAX_OTHER_NODES: usize = 16;
/// The first pause after all machines said that they know of no leader, in seconds.
const MIN_BACKOFF_S: f64 = 0.04;
/// By how much each pause is longer than the one before.
const BACKOFF_FACTOR: f64 = 1.5;
/// All routers search at the same time: the longest pause keeps them together below so many
/// attempts a second.
const MAX_ATTEMPTS_PER_S: f64 = 1500.0;
/// The number of routers before control has told how many there are.
const DEFAULT_ROUTER_COUNT: usize = 300;

/// The control machines that are known.
#[derive(Default)]
pub(super) struct ControlNodes {
    /// The voters as the last leader sent them; empty before that.
    voters: Vec<NodeId>,
    /// Other control machines that may exist; those that were named last are at the end.
    others: Vec<NodeId>,
}

impl ControlNodes {
    /// The voters as the leader sends them.
    pub(super) fn set_voters(&mut self, voters: Vec<NodeId>) {
        self.voters = voters;
    }

    /// Adds machines to try where the voters don't answer: the settings name them, or a machine
    /// that doesn't lead does, which may know only of machines that no longer exist.
    pub(super) fn add_others(&mut self, nodes: &[NodeId]) {
        self.others.retain(|node| !nodes.contains(node));
        self.others.extend(nodes);
        let excess = self.others.len().saturating_sub(MAX_OTHER_NODES);
        self.others.drain(..excess);
    }

    /// The machine to try after so many attempts in vain: the voters in turn, and then all.
    fn in_turn(&self, turn: usize, attempts: usize) -> Option<NodeId> {
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
    /// The leader that the last machine named.
    named_leader: Option<NodeId>,
    turn: usize,
    /// Attempts since the last session.
    attempts: usize,
    backoff_s: f64,
}

impl LeaderSearch {
    /// A search that starts at this turn: random, so that routers that start together don't all try
    /// the same machine.
    pub(super) fn new(first_turn: usize) -> LeaderSearch {
        LeaderSearch {
            named_leader: None,
            turn: first_turn,
            attempts: 0,
            backoff_s: MIN_BACKOFF_S,
        }
    }

    /// The machine to try next; `None` while none is known.
    pub(super) fn next_node(&mut self, nodes: &ControlNodes) -> Option<NodeId> {
        let in_turn = || nodes.in_turn(self.turn, self.attempts);
        let node = self.named_leader.take().or_else(in_turn);
        self.turn = self.turn.wrapping_add(1);
        self.attempts += 1;
        node
    }

    /// A session with a leader has ended: the search begins anew.
    pub(super) fn session_ended(&mut self) {
        self.backoff_s = MIN_BACKOFF_S;
        self.attempts = 0;
    }

    /// A machine said that it doesn't lead, and which one does as far as it knows; returns for how
    /// many seconds to pause before the next attempt, if at all.
    pub(super) fn not_leader(
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

/// The longest pause between two attempts, in seconds.
fn max_backoff_s(router_count: Option<usize>) -> f64 {
    let routers = router_count.unwrap_or(DEFAULT_ROUTER_COUNT);
    (routers as f64 / MAX_ATTEMPTS_PER_S).max(MIN_BACKOFF_S)
}
