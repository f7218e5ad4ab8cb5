//! The state of a client's session: values, prepared statements, transaction, last write and
//! affinity to the primary.
//!
//! The task that serves the client owns its [`Session`]. What a client sets or prepares is answered
//! by the router itself; it reaches a server only with the statement that needs it
//! ([`crate::connection`]).

use badgerstream_line_protocol::{Position, StatementKind, TransactionState};
use badgerstream_routing::PrimaryAffinity;
use thiserror::Error;

/// The most names of one sort that a session may hold.
pub const MAX_NAMES: usize = 512;
/// The most bytes that a session's values, or its prepared statements, may take.
pub const MAX_BYTES: usize = 256 * 1024;

/// Why a session can't take a value, or take or drop a prepared name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SessionError {
    /// It would hold more than [`MAX_NAMES`] or [`MAX_BYTES`].
    #[error("the session holds too much")]
    Full,
    /// It has no prepared statement of that name.
    #[error("no such name")]
    Unknown,
}

/// Session values, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Values(Vec<(Box<str>, Box<str>)>);

impl Values {
    /// Sets a value.
    pub fn set(&mut self, name: &str, value: &str) {
        match self.0.binary_search_by(|(n, _)| (**n).cmp(name)) {
            Ok(at) => self.0[at].1 = value.into(),
            Err(at) => {
                // Most sessions hold few values and there are many sessions: no spare capacity.
                self.0.reserve_exact(1);
                self.0.insert(at, (name.into(), value.into()));
            }
        }
    }

    /// The value of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .binary_search_by(|(n, _)| (**n).cmp(name))
            .ok()
            .map(|at| &*self.0[at].1)
    }

    /// Names and values, in order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (&**n, &**v))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes all.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|(n, v)| n.len() + v.len()).sum()
    }
}

/// A prepared statement without the name that a client gave it, so that clients can share it on a
/// connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shape {
    /// Whether it reads or writes.
    pub kind: StatementKind,
    /// What follows the name and the kind in its `PREPARE`.
    pub text: Box<str>,
}

/// The state of a session's transaction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open.
    Open {
        /// It was begun with `BEGIN FETCH`, and only reads.
        read_only: bool,
        /// When its `BEGIN` arrived, in seconds: its reads must be as fresh as that.
        arrived_at: f64,
        /// A write was sent to a server in it.
        has_written: bool,
    },
    /// It failed: nothing of it is kept, and only its end is accepted.
    Failed,
}

impl Transaction {
    /// The state that answers to the client carry.
    pub fn state(&self) -> TransactionState {
        match self {
            Self::None => TransactionState::Idle,
            Self::Open { .. } => TransactionState::Open,
            Self::Failed => TransactionState::Failed,
        }
    }
}

/// A prepared statement under the client's name for it.
#[derive(Debug)]
struct PreparedStatement {
    name: Box<str>,
    shape: Shape,
}

/// The state of a client's session.
#[derive(Debug, Default)]
pub struct Session {
    /// The values that were acknowledged to the client.
    pub values: Values,
    prepared: Vec<PreparedStatement>,
    /// The state of its transaction.
    pub transaction: Transaction,
    /// The position of the log after its last write: reads of its own must be as fresh.
    pub last_write: Option<Position>,
    /// When it last used a primary; its reads keep to the primary for a while.
    pub primary_affinity: PrimaryAffinity,
}

impl Session {
    /// Sets a value.
    ///
    /// # Errors
    /// [`SessionError::Full`] beyond the bounds.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), SessionError> {
        if self.values.len() >= MAX_NAMES
            || self.values.bytes() + name.len() + value.len() > MAX_BYTES
        {
            return Err(SessionError::Full);
        }
        self.values.set(name, value);
        Ok(())
    }

    /// Adds a prepared statement; it replaces an older one of that name.
    ///
    /// # Errors
    /// [`SessionError::Full`] beyond the bounds.
    pub fn prepare(
        &mut self,
        name: &str,
        kind: StatementKind,
        text: &str,
    ) -> Result<(), SessionError> {
        let bytes: usize = self
            .prepared
            .iter()
            .map(|prepared| prepared.name.len() + prepared.shape.text.len())
            .sum();
        if bytes + name.len() + text.len() > MAX_BYTES {
            return Err(SessionError::Full);
        }
        let shape = Shape {
            kind,
            text: text.into(),
        };
        match self.index_of(name) {
            Some(index) => self.prepared[index].shape = shape,
            None if self.prepared.len() >= MAX_NAMES => return Err(SessionError::Full),
            None => {
                self.prepared.reserve_exact(1);
                self.prepared.push(PreparedStatement {
                    name: name.into(),
                    shape,
                });
            }
        }
        Ok(())
    }

    /// The prepared statement of this name.
    pub fn shape(&self, name: &str) -> Option<&Shape> {
        self.index_of(name).map(|index| &self.prepared[index].shape)
    }

    /// Removes a prepared statement.
    ///
    /// # Errors
    /// [`SessionError::Unknown`] if there is none of this name.
    pub fn deallocate(&mut self, name: &str) -> Result<(), SessionError> {
        let index = self.index_of(name).ok_or(SessionError::Unknown)?;
        self.prepared.swap_remove(index);
        Ok(())
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.prepared
            .iter()
            .position(|prepared| *prepared.name == *name)
    }

    /// A write of this session was acknowledged, with the log at this position.
    pub fn record_write(&mut self, position: Option<Position>) {
        self.last_write = self.last_write.max(position);
    }
}
