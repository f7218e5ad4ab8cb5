//! What a control machine must have on disk before it acts on it.

use crate::state::State;
use crate::term::Term;
use std::rc::Rc;

/// What a control machine has on its disk (Raft thesis, 3.8: persistent state).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term that was voted for or accepted under. Requests of lower terms are rejected.
    pub voted_term: Term,
    /// The term under which `state` was accepted.
    pub accepted_term: Term,
    /// The newest state that was accepted; whether it is committed only the leader knows.
    pub state: Rc<State>,
}
