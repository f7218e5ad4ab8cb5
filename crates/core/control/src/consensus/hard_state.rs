//! The part of a control machine's state that must be on disk before the machine acts on it.

use crate::state::State;
use crate::term::Term;
use std::rc::Rc;

/// The persistent state of a control machine (Raft thesis, 3.8).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term that this machine voted for or accepted a state or a heartbeat in. Requests
    /// of lower terms are rejected.
    pub voted_term: Term,
    /// The term in which `state` was accepted.
    pub accepted_term: Term,
    /// The newest accepted state. Only the leader knows whether it is committed.
    pub state: Rc<State>,
}
