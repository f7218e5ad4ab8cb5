//! What proves that a server takes no part in its service any more.
//!
//! A server that doesn't answer may be cut off from the control machines and the routers, but not
//! from its primary. It then goes on receiving the log, and the primary goes on acknowledging
//! writes that only this server has received. So silence proves nothing, however long it lasts.
//!
//! Neither does a refused connection. It shows that nobody accepts at the server's address, as seen
//! from here and at this moment: the server has crashed, it restarts, or a cut refuses.

/// What proves that a server no longer receives the log of its primary, and since when. Times are
/// seconds of this machine's steady clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Inactivity {
    /// Nothing proves it.
    Unproven,
    /// The server reported that it leaves, and has ended by this time.
    Ended {
        /// Time by which the server had ended.
        since: f64,
    },
}
