//! What the end of an execution means to the decisions: the one place where the ways in which a connection
//! can end, and the codes of errors, become an [`Ending`].

use badgerstream_postgres_protocol::Close;
use badgerstream_routing::Ending;

/// The connection ended under an execution. Unless its last byte was `written`, the node never began.
pub(crate) fn of_close(close: Close, written: bool) -> Ending {
    match (close, written) {
        (Close::TimedOut, true) => Ending::TimedOut,
        // What had no place here tells nothing of the node.
        (Close::Cancelled | Close::NoMemory, true) => Ending::Cancelled,
        (Close::Malformed(_), true) => Ending::Spoilt,
        (Close::TimedOut | Close::Cancelled | Close::Withdrawn, false) => Ending::Moot,
        (Close::NoDescriptor | Close::NoMemory, false) => Ending::Moot,
        (Close::TurnedAway, false) => Ending::TurnedAway,
        (Close::Left | Close::Broken | Close::Malformed(_), false) => Ending::Cut,
        (_, false) => Ending::Unconnected,
        (_, true) => Ending::Dropped,
    }
}

/// The node answered with an error. Asked how a write ended, only 02000 says that it never ran and never will:
/// who is no primary can't tell.
pub(crate) fn of_error(code: [u8; 5], asks: bool) -> Ending {
    match &code {
        b"02000" if asks => Ending::Missed,
        b"25006" | b"72000" if asks => Ending::TurnedAway,
        b"25006" | b"72000" => Ending::Missed,
        b"53300" => Ending::TurnedAway,
        _ => Ending::Errored,
    }
}
