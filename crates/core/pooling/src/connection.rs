//! The session state that a server connection holds, and what brings it to that of a session.
//!
//! Connections are pooled between statements (transaction pooling), so before a statement runs the
//! connection must hold exactly its session's values and know its prepared statement. The data
//! plane owns one [`ConnectionState`] a connection, sends the changes and records which of them the
//! server acknowledged.

use crate::session::{Shape, Values};

/// The most prepared statements that a connection keeps; before the next it is reset.
pub const MAX_SHAPES: usize = 128;

/// A statement of the router itself that changes what a connection holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// Drops all values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Its name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Prepares a statement under a name of the router, `p<number>`.
    Prepare {
        /// The number in that name.
        number: u32,
        /// The statement.
        shape: Shape,
    },
}

impl StateChange {
    /// The text of its `QUERY` in the line protocol.
    pub fn text(&self) -> String {
        match self {
            Self::Reset => "RESET".to_owned(),
            Self::Set { name, value } => format!("SET {name} {value}"),
            Self::Prepare { number, shape } => {
                format!("PREPARE p{number} {} {}", shape.kind.as_str(), shape.text)
            }
        }
    }
}

/// How far a connection's values are from a session's, cheapest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It holds exactly the session's values.
    Same,
    /// It holds no others, and some must be set.
    ValuesMissing,
    /// It holds a value that the session doesn't, or its state is uncertain.
    ResetNeeded,
}

/// A prepared statement of a connection.
#[derive(Debug)]
struct PreparedShape {
    shape: Shape,
    number: u32,
}

/// The session state that a connection is known to hold.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: Values,
    prepared: Vec<PreparedShape>,
    last_number: u32,
    is_uncertain: bool,
}

impl ConnectionState {
    /// How far the connection is from these values.
    pub fn distance(&self, values: &Values) -> Distance {
        if self.is_uncertain {
            return Distance::ResetNeeded;
        }
        if self.values == *values {
            return Distance::Same;
        }
        let holds_no_other = self
            .values
            .iter()
            .all(|(name, _)| values.get(name).is_some());
        if holds_no_other {
            Distance::ValuesMissing
        } else {
            Distance::ResetNeeded
        }
    }

    /// The changes, in order, after which the connection holds exactly these values and knows this
    /// shape. None of them is a reset inside a transaction that began with the session's own
    /// values.
    pub fn changes(&self, values: &Values, shape: Option<&Shape>) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let is_prepared = shape.is_none_or(|shape| self.prepared_number(shape).is_some());
        let needs_reset = self.distance(values) == Distance::ResetNeeded
            || !is_prepared && self.prepared.len() >= MAX_SHAPES;
        if needs_reset {
            changes.push(StateChange::Reset);
        }
        for (name, value) in values.iter() {
            if needs_reset || self.values.get(name) != Some(value) {
                changes.push(StateChange::Set {
                    name: name.into(),
                    value: value.into(),
                });
            }
        }
        if let Some(shape) = shape.filter(|_| needs_reset || !is_prepared) {
            changes.push(StateChange::Prepare {
                number: self.last_number + 1,
                shape: shape.clone(),
            });
        }
        changes
    }

    /// The server has acknowledged this change.
    pub fn record_acknowledged(&mut self, change: &StateChange) {
        match change {
            StateChange::Reset => {
                self.values.clear();
                self.prepared.clear();
                self.is_uncertain = false;
            }
            StateChange::Set { name, value } => self.values.set(name, value),
            StateChange::Prepare { number, shape } => {
                self.last_number = *number;
                self.prepared.push(PreparedShape {
                    shape: shape.clone(),
                    number: *number,
                });
            }
        }
    }

    /// What the connection holds is no longer known, as after the rollback of a transaction in
    /// which it was changed. It must be reset before its next use.
    pub fn mark_uncertain(&mut self) {
        self.is_uncertain = true;
    }

    /// The number in the router's name for this shape, if the connection knows it.
    pub fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.prepared
            .iter()
            .find(|prepared| prepared.shape == *shape)
            .map(|prepared| prepared.number)
    }
}
