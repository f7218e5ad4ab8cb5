//! Values and helpers shared by the tests.

use crate::consensus::{ConsensusConfig, HardState, StateId};
use crate::failover::FailoverConfig;
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter};
use std::rc::Rc;

/// The default timeouts of the pooler.
pub(super) const CONSENSUS_CONFIG: ConsensusConfig = ConsensusConfig {
    election_timeout_s: 0.6,
    contact_timeout_s: 1.0,
};

/// The settings of failover with heartbeats every 1.2 s.
pub(super) const FAILOVER_CONFIG: FailoverConfig = FailoverConfig {
    primary_poll_interval: 0.2,
    replica_poll_interval: 1.0,
    primary_timeout: 0.6,
    query_timeout: 0.6,
    heartbeat_interval: 1.2,
    drain_timeout: 7.0,
};

/// Returns the founding voter at the address `node`.
pub(super) fn founder(node: NodeId) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    }
}

/// Returns the hard state of an empty disk, with `nodes` as the founding voters.
pub(super) fn founding_hard_state(nodes: &[NodeId]) -> HardState {
    HardState {
        state: Rc::new(State::founding(nodes.to_vec())),
        ..HardState::default()
    }
}

/// Returns the term of `leader` with this counter.
pub(super) fn term(counter: u64, leader: NodeId) -> Term {
    (0..counter).fold(Term::default(), |term, _| term.next_for(leader))
}

/// Returns the id of the state in `hard_state`, as a machine with that hard state reports it.
pub(super) fn state_id(hard_state: &HardState) -> StateId {
    StateId {
        accepted_term: hard_state.accepted_term,
        version: hard_state.state.version,
        digest: hard_state.state.digest(),
    }
}

/// Returns the time budget of a randomized test, in milliseconds. The environment variable
/// `ARBTEST_BUDGET_MS` overrides the default, for longer searches.
pub(super) fn arbtest_budget_ms() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(1500)
}
