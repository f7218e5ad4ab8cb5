//! Reasons why a connection to a client, a node or discovery ended.

use std::fmt;

/// Why a connection, or an execution on it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// The peer closed the connection in order.
    PeerClosed,
    /// The connection was reset, or a system call on it failed.
    IoError,
    /// The connection was not accepted, or its address is unknown.
    Refused,
    /// The connection was not established in time, or the peer sent or read nothing for too long.
    PeerTimeout,
    /// The node rejected the connection because it has its maximum number of connections.
    TooManyConnections,
    /// The peer sent something invalid, described by the text.
    Malformed(&'static str),
    /// The execution reached its timeout.
    TimedOut,
    /// The execution was cancelled.
    Cancelled,
    /// The execution was not sent: while it waited for a connection, its node became ineligible.
    Withdrawn,
    /// The connection was not opened because no file descriptor was available.
    NoDescriptor,
    /// Received bytes did not fit into the memory budget.
    NoMemory,
    /// The connection was idle and was closed because of its idle time, to free a descriptor, or for the shutdown.
    Idle,
}

impl fmt::Display for Close {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Close::PeerClosed => "the peer closed the connection",
            Close::IoError => "the connection failed with an I/O error",
            Close::Refused => "the connection was refused",
            Close::PeerTimeout => "the peer did not respond in time",
            Close::TooManyConnections => "the node has its maximum number of connections",
            Close::Malformed(what) => what,
            Close::TimedOut => "the execution timed out",
            Close::Cancelled => "the execution was cancelled",
            Close::Withdrawn => "the execution was not sent because its node became ineligible",
            Close::NoDescriptor => "no file descriptor is available",
            Close::NoMemory => "the memory budget is exhausted",
            Close::Idle => "closed while idle",
        })
    }
}

impl std::error::Error for Close {}
