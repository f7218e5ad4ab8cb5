//! The state of a client's session: values, prepared statements, transaction, last write and
//! primary affinity.
//!
//! The task that serves the client owns its [`Session`]. The router itself responds when a client
//! sets a value or prepares a statement. Values and prepared statements are sent to a server only
//! when a statement needs them ([`crate::connection`]).

use badgerstream_line_protocol::{Position, StatementKind, TransactionState};
use badgerstream_routing::PrimaryAffinity;
use thiserror::Error;

/// Maximum number of values, and separately of prepared statements, in a session.
pub const MAX_NAMES_PER_KIND: usize = 512;
/// Maximum total size of a session's values, and separately of its prepared statements, in bytes;
/// names count too.
pub const MAX_BYTES_PER_KIND: usize = 256 * 1024;

/// Why a session rejected a change to its values or prepared statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The session would exceed [`MAX_NAMES_PER_KIND`] or [`MAX_BYTES_PER_KIND`].
    #[error(
        "session limit exceeded: at most {MAX_NAMES_PER_KIND} names and {MAX_BYTES_PER_KIND} bytes \
         of values, and as many of prepared statements"
    )]
    LimitExceeded,
    /// The session has no prepared statement of that name.
    #[error("the session has no prepared statement of this name")]
    UnknownStatement,
}

/// The values of a session, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Values(Vec<(Box<str>, Box<str>)>);

impl Values {
    /// Sets a value, and replaces an older value of this name.
    pub fn set(&mut self, name: &str, value: &str) {
        match self.0.binary_search_by(|(n, _)| (**n).cmp(name)) {
            Ok(at) => self.0[at].1 = value.into(),
            Err(at) => {
                // No spare capacity: there are many sessions, and most hold few values.
                self.0.reserve_exact(1);
                self.0.insert(at, (name.into(), value.into()));
            }
        }
    }

    /// Returns the value of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .binary_search_by(|(n, _)| (**n).cmp(name))
            .ok()
            .map(|at| &*self.0[at].1)
    }

    /// Iterates over names and values, in order of names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (&**n, &**v))
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|(n, v)| n.len() + v.len()).sum()
    }
}

/// The definition of a prepared statement without the name that a client gave it, so that clients
/// can share the statement on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shape {
    /// Whether the statement reads or writes.
    pub kind: StatementKind,
    /// The text that follows the name and the kind in `PREPARE`.
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
        /// Whether it was started with `BEGIN FETCH`, and so only reads.
        read_only: bool,
        /// When its `BEGIN` arrived, in seconds. The staleness of its reads is measured from here.
        arrived_at: f64,
        /// Whether a write of this transaction was sent to a server.
        has_written: bool,
    },
    /// The transaction failed: none of its writes is kept, and the session accepts only its end.
    Failed,
}

impl Transaction {
    /// Returns the transaction state that responses to the client carry.
    pub fn state(&self) -> TransactionState {
        match self {
            Self::None => TransactionState::Idle,
            Self::Open { .. } => TransactionState::Open,
            Self::Failed => TransactionState::Failed,
        }
    }
}

/// A prepared statement of a session, under the client's name for it.
#[derive(Debug)]
struct PreparedStatement {
    name: Box<str>,
    shape: Shape,
}

/// The state of a client's session.
#[derive(Debug, Default)]
pub struct Session {
    /// The values whose setting was acknowledged to the client.
    pub values: Values,
    prepared: Vec<PreparedStatement>,
    /// The state of the session's transaction.
    pub transaction: Transaction,
    /// The log position after the session's last write. With read-your-writes consistency, the
    /// session's reads require at least this position.
    pub last_write: Option<Position>,
    /// Marks when the session last used the primary; its reads go to the primary for a while after
    /// that.
    pub primary_affinity: PrimaryAffinity,
}

impl Session {
    /// Sets a value, and replaces an older value of this name. The limits are checked as if the
    /// name were new.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`].
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), SessionError> {
        if self.values.len() >= MAX_NAMES_PER_KIND
            || self.values.bytes() + name.len() + value.len() > MAX_BYTES_PER_KIND
        {
            return Err(SessionError::LimitExceeded);
        }
        self.values.set(name, value);
        Ok(())
    }

    /// Adds a prepared statement, and replaces an older one of this name. The size limit is checked
    /// as if the name were new.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`].
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
        if bytes + name.len() + text.len() > MAX_BYTES_PER_KIND {
            return Err(SessionError::LimitExceeded);
        }
        let shape = Shape {
            kind,
            text: text.into(),
        };
        match self.index_of(name) {
            Some(index) => self.prepared[index].shape = shape,
            None if self.prepared.len() >= MAX_NAMES_PER_KIND => {
                return Err(SessionError::LimitExceeded);
            }
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

    /// Returns the definition of the prepared statement of this name.
    pub fn shape(&self, name: &str) -> Option<&Shape> {
        self.index_of(name).map(|index| &self.prepared[index].shape)
    }

    /// Removes a prepared statement.
    ///
    /// # Errors
    ///
    /// [`SessionError::UnknownStatement`] if the session has no prepared statement of this name.
    pub fn deallocate(&mut self, name: &str) -> Result<(), SessionError> {
        let index = self.index_of(name).ok_or(SessionError::UnknownStatement)?;
        self.prepared.swap_remove(index);
        Ok(())
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.prepared
            .iter()
            .position(|prepared| *prepared.name == *name)
    }

    /// Records that a server acknowledged a write of this session, with its log at this position.
    /// `last_write` never goes back.
    pub fn record_write(&mut self, position: Option<Position>) {
        self.last_write = self.last_write.max(position);
    }
}
