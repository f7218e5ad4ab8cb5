//! Every way in which a connection can end, towards clients, nodes and discovery alike.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// The peer ended it, in order.
    Left,
    /// It was reset, or the system gave an error on it.
    Broken,
    /// Nobody accepted it.
    Refused,
    /// It did not come up in time, or fell silent for longer than it may.
    Silent,
    /// The node would not have it: it holds as many as it takes.
    TurnedAway,
    /// What came can't be trusted any more.
    Malformed(&'static str),
    /// The execution's limit ran out.
    TimedOut,
    /// The execution is no longer wanted.
    Cancelled,
    /// The execution must not be sent any more: what let it go has changed meanwhile.
    Withdrawn,
    /// It was never opened, as descriptors are short.
    NoDescriptor,
    /// Its bytes had no place: peers hold as much memory as they may.
    NoMemory,
    /// It stood idle: too long, while descriptors were short, or at the router's end.
    Idle,
}

impl fmt::Display for Close {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Close::Left => "the peer left",
            Close::Broken => "the connection broke",
            Close::Refused => "the connection was refused",
            Close::Silent => "the peer was silent",
            Close::TurnedAway => "the node takes no more connections",
            Close::Malformed(what) => what,
            Close::TimedOut => "the limit ran out",
            Close::Cancelled => "cancelled",
            Close::Withdrawn => "withdrawn before it was sent",
            Close::NoDescriptor => "descriptors are short",
            Close::NoMemory => "memory is short",
            Close::Idle => "closed while idle",
        })
    }
}

impl std::error::Error for Close {}
