//! The session state that a server connection holds, and the changes that make it match a session.
//!
//! Connections are shared between sessions (transaction pooling). Before a statement runs, its
//! connection must therefore hold exactly the session's values and know the session's prepared
//! statement. The data plane owns one [`ConnectionState`] per connection, sends the changes and
//! records which of them the server acknowledged.

use crate::session::{Shape, Values};

/// Maximum number of prepared statements on a connection. At this number, the connection is reset
/// before another statement is prepared.
pub const MAX_PREPARED_STATEMENTS: usize = 128;

/// A statement that the router itself sends to change the session state of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// Drops all values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Box<str>,
        /// The new value.
        value: Box<str>,
    },
    /// Prepares a statement under a name that the router assigns: `p<number>`.
    Prepare {
        /// The number in that name.
        number: u32,
        /// The statement, without its name.
        shape: Shape,
    },
}

impl StateChange {
    /// Returns the statement text that a `QUERY` of the line protocol carries for this change.
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

/// What it takes to make a connection's values match a session's, in order of increasing cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The connection holds exactly the session's values.
    Same,
    /// Some of the session's values are missing or different on the connection, which holds no
    /// values of other names: setting values is enough.
    ValuesMissing,
    /// The connection holds a value whose name the session doesn't have, or its state is uncertain.
    ResetNeeded,
}

/// A prepared statement on a connection.
#[derive(Debug)]
struct PreparedStatement {
    shape: Shape,
    /// The number in the router's name for it, `p<number>`.
    number: u32,
}

/// The session state that a connection holds, as far as the server acknowledged it.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: Values,
    prepared: Vec<PreparedStatement>,
    /// The highest number used on this connection; never reused, not even after a reset.
    last_number: u32,
    is_uncertain: bool,
}

impl ConnectionState {
    /// Returns what it takes to make the connection hold exactly these values.
    pub fn distance(&self, values: &Values) -> Distance {
        if self.is_uncertain {
            return Distance::ResetNeeded;
        }
        if self.values == *values {
            return Distance::Same;
        }
        let holds_no_other_name = self
            .values
            .iter()
            .all(|(name, _)| values.get(name).is_some());
        if holds_no_other_name {
            Distance::ValuesMissing
        } else {
            Distance::ResetNeeded
        }
    }

    /// Returns the changes, in order, after which the connection holds exactly these values and has
    /// this statement prepared. Within a transaction that began with the session's own values, they
    /// include a reset only if the connection already has [`MAX_PREPARED_STATEMENTS`].
    pub fn changes(&self, values: &Values, shape: Option<&Shape>) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let is_prepared = shape.is_none_or(|shape| self.prepared_number(shape).is_some());
        let needs_reset = self.distance(values) == Distance::ResetNeeded
            || !is_prepared && self.prepared.len() >= MAX_PREPARED_STATEMENTS;
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

    /// Records that the server acknowledged this change.
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
                self.prepared.push(PreparedStatement {
                    shape: shape.clone(),
                    number: *number,
                });
            }
        }
    }

    /// Marks the state as unknown, for example after the rollback of a transaction in which it was
    /// changed. The connection must be reset before its next use.
    pub fn mark_uncertain(&mut self) {
        self.is_uncertain = true;
    }

    /// Returns the number in the router's name `p<number>` for this statement, or `None` if it is
    /// not prepared on the connection.
    pub fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.prepared
            .iter()
            .find(|prepared| prepared.shape == *shape)
            .map(|prepared| prepared.number)
    }
}
