//! What a client's session holds: values, prepared names, its transaction, its last write and its mark.

use badgerstream_line_protocol::{Kind, Position, State};
use badgerstream_routing::Mark;
use quick_error::quick_error;

/// The most names of one sort that a session may hold.
pub const MAX_NAMES: usize = 512;
/// The most bytes that its values, or its shapes, may take.
pub const MAX_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why a session can't take a value or a prepared name.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum SessionError {
        /// It holds as much as it may.
        Full {
            display("the session holds too much")
        }
        /// There is no such name.
        Unknown {
            display("no such name")
        }
    }
}

/// Named values, in the order of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Values(Vec<(Box<str>, Box<str>)>);

impl Values {
    /// Sets one.
    pub fn set(&mut self, name: &str, value: &str) {
        match self.0.binary_search_by(|(n, _)| (**n).cmp(name)) {
            Ok(at) => self.0[at].1 = value.into(),
            Err(at) => {
                // Few sessions hold many: no room is kept for more.
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

    /// All, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (&**n, &**v))
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|(n, v)| n.len() + v.len()).sum()
    }
}

/// What a prepared statement does, whatever a client calls it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shape {
    /// It reads or writes.
    pub kind: Kind,
    /// The words of its `PREPARE`.
    pub text: Box<str>,
}

/// Where a session stands in its transaction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Transaction {
    /// Outside of one.
    #[default]
    None,
    /// Inside of one.
    Open {
        /// It was begun as one that only reads.
        read_only: bool,
        /// When its `BEGIN` arrived: its reads must be as fresh as that.
        arrived_at: f64,
        /// A write was sent in it.
        has_written: bool,
    },
    /// It failed; nothing of it is kept, its end rolls back.
    Failed,
}

impl Transaction {
    /// As clients are told.
    pub fn state(&self) -> State {
        match self {
            Self::None => State::Idle,
            Self::Open { .. } => State::Open,
            Self::Failed => State::Failed,
        }
    }
}

/// A client's session.
#[derive(Debug, Default)]
pub struct Session {
    /// The values that were acknowledged to it.
    pub values: Values,
    prepared: Vec<(Box<str>, Shape)>,
    /// Where it stands in its transaction.
    pub transaction: Transaction,
    /// Where the log stood after its last write.
    pub last_write: Option<Position>,
    /// Its last send to a primary.
    pub primary_affinity: Mark,
}

impl Session {
    /// Takes a value; to be acknowledged once taken.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), SessionError> {
        if self.values.len() >= MAX_NAMES
            || self.values.bytes() + name.len() + value.len() > MAX_BYTES
        {
            return Err(SessionError::Full);
        }
        self.values.set(name, value);
        Ok(())
    }

    /// Takes a prepared name, in the place of an older one of that name; to be acknowledged once taken.
    pub fn prepare(&mut self, name: &str, kind: Kind, shape: &str) -> Result<(), SessionError> {
        let bytes: usize = self
            .prepared
            .iter()
            .map(|(n, s)| n.len() + s.text.len())
            .sum();
        if bytes + name.len() + shape.len() > MAX_BYTES {
            return Err(SessionError::Full);
        }
        let shape = Shape {
            kind,
            text: shape.into(),
        };
        match self.prepared.iter().position(|(n, _)| **n == *name) {
            Some(at) => self.prepared[at].1 = shape,
            None if self.prepared.len() >= MAX_NAMES => return Err(SessionError::Full),
            None => {
                self.prepared.reserve_exact(1);
                self.prepared.push((name.into(), shape));
            }
        }
        Ok(())
    }

    /// What this name runs.
    pub fn shape(&self, name: &str) -> Option<&Shape> {
        self.prepared
            .iter()
            .find(|(n, _)| **n == *name)
            .map(|(_, s)| s)
    }

    /// Forgets a prepared name.
    pub fn deallocate(&mut self, name: &str) -> Result<(), SessionError> {
        let at = self
            .prepared
            .iter()
            .position(|(n, _)| **n == *name)
            .ok_or(SessionError::Unknown)?;
        self.prepared.swap_remove(at);
        Ok(())
    }

    /// A write of this session was acknowledged with the log here.
    pub fn record_write(&mut self, position: Option<Position>) {
        self.last_write = self.last_write.max(position);
    }
}
