//! What proves that a server takes no part in its service any more.
//!
//! A server that doesn't answer may be cut off from the control machines and the routers, but not
//! from its primary. It then goes on receiving the log, and the primary goes on acknowledging
//! writes that only this server has received. So silence proves nothing, however long it lasts.

/// What proves that a server no longer receives the log of its primary, and since when. Times are
/// seconds of this machine's steady clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Inactivity {
    /// Nothing proves it.
    Unproven,
    /// Nothing has listened at the server's address since this time. The server has crashed, and
    /// may return with its log.
    Refusing {
        /// Time of the first refused connection.
        since: f64,
    },
    /// The server reported that it leaves, and has ended by this time.
    Ended {
        /// Time by which the server had ended.
        since: f64,
    },
}
