//! The session state that a connection to a server holds, and what brings it to that of a client's session.

use crate::session::{Shape, Values};

/// The most prepared statements that a connection keeps; at the next it is reset.
pub const MAX_SHAPES: usize = 128;

/// A statement of our own that changes what a connection holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// Drops values and prepared names.
    Reset,
    /// Sets a value.
    Set {
        /// Its name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Prepares a shape under our own name for it.
    Prepare {
        /// The number in our name for it.
        number: u32,
        /// What it does.
        shape: Shape,
    },
}

impl StateChange {
    /// Its text on the wire.
    pub fn text(&self) -> String {
        match self {
            Self::Reset => "RESET".to_owned(),
            Self::Set { name, value } => format!("SET {name} {value}"),
            Self::Prepare { number, shape } => {
                format!("PREPARE p{number} {} {}", shape.kind.word(), shape.text)
            }
        }
    }
}

/// How far a connection is from a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It holds exactly its values.
    Same,
    /// Some values are to be set.
    ValuesMissing,
    /// It holds what is not the session's: it must be reset.
    ResetNeeded,
}

/// The session state that a connection is known to hold.
#[derive(Debug, Default)]
pub struct ConnectionState {
    values: Values,
    shapes: Vec<(Shape, u32)>,
    last_number: u32,
    uncertain: bool,
}

impl ConnectionState {
    /// How far it is from these values.
    pub fn distance(&self, values: &Values) -> Distance {
        if self.uncertain {
            Distance::ResetNeeded
        } else if self.values == *values {
            Distance::Same
        } else if self
            .values
            .iter()
            .all(|(name, _)| values.get(name).is_some())
        {
            Distance::ValuesMissing
        } else {
            Distance::ResetNeeded
        }
    }

    /// The statements, in their order, after which it holds exactly these values and knows this shape. Inside a
    /// transaction, where it began with the session's own values, none of them is a reset.
    pub fn changes(&self, values: &Values, shape: Option<&Shape>) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let known = shape.is_none_or(|s| self.prepared_number(s).is_some());
        let reset = self.distance(values) == Distance::ResetNeeded
            || !known && self.shapes.len() >= MAX_SHAPES;
        if reset {
            changes.push(StateChange::Reset);
        }
        for (name, value) in values.iter() {
            if reset || self.values.get(name) != Some(value) {
                changes.push(StateChange::Set {
                    name: name.into(),
                    value: value.into(),
                });
            }
        }
        if let Some(shape) = shape.filter(|_| reset || !known) {
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
                self.shapes.clear();
                self.uncertain = false;
            }
            StateChange::Set { name, value } => self.values.set(name, value),
            StateChange::Prepare { number, shape } => {
                self.last_number = *number;
                self.shapes.push((shape.clone(), *number));
            }
        }
    }

    /// What it holds can't be told any more, as after a rolled back transaction that changed it.
    pub fn mark_uncertain(&mut self) {
        self.uncertain = true;
    }

    /// The number in our name for this shape.
    pub fn prepared_number(&self, shape: &Shape) -> Option<u32> {
        self.shapes
            .iter()
            .find(|(s, _)| s == shape)
            .map(|(_, n)| *n)
    }
}
