//! Values that many tests of consensus share.

use crate::consensus::{ConsensusConfig, HardState, StateId};
use crate::state::State;
use crate::term::Term;
use crate::voter_set::{FOUNDING_INCARNATION, NodeId, Voter};
use std::rc::Rc;

/// The time-outs that the pooler sets by default.
pub(super) const CONSENSUS_CONFIG: ConsensusConfig = ConsensusConfig {
    election_timeout_s: 0.6,
    contact_timeout_s: 1.0,
};

/// The voter `node` of a system that started for the first time.
pub(super) fn founder(node: NodeId) -> Voter {
    Voter {
        node,
        incarnation: FOUNDING_INCARNATION,
    }
}

/// The hard state of an empty disk, with `nodes` as the founding voters.
pub(super) fn founding_hard_state(nodes: &[NodeId]) -> HardState {
    HardState {
        state: Rc::new(State::founding(nodes.to_vec())),
        ..HardState::default()
    }
}

/// The term of `leader` with this counter.
pub(super) fn term(counter: u64, leader: NodeId) -> Term {
    (0..counter).fold(Term::default(), |term, _| term.next_for(leader))
}

/// What a machine reports of its disk when that holds `hard_state`.
pub(super) fn state_id(hard_state: &HardState) -> StateId {
    StateId {
        accepted_term: hard_state.accepted_term,
        version: hard_state.state.version,
        digest: hard_state.state.digest(),
    }
}

/// Milliseconds for a randomized test; `ARBTEST_BUDGET_MS` gives longer hunts more.
pub(super) fn arbtest_budget_ms() -> u64 {
    std::env::var("ARBTEST_BUDGET_MS")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(1500)
}
