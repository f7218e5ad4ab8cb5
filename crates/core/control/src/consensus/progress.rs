//! What a leader knows about each machine.

use crate::digest::Digest;

/// What a leader knows about a machine. The name is that of the type in the Raft implementations of
/// etcd and `TiKV`. Times are in seconds of the leader's clock unless stated otherwise.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// When the leader began to track the machine.
    pub(super) tracked_since: f64,
    /// When the leader sent the newest heartbeat that the machine answered; minus infinity if it
    /// answered none.
    pub(super) answered_heartbeat_sent_at: f64,
    /// When the machine sent its newest heartbeat response, in seconds of that machine's own clock.
    pub(super) newest_answer_at: Option<f64>,
    /// The version of the newest state that the machine accepted in the leader's term.
    pub(super) accepted_version: Option<u64>,
    /// The digest of the state that the machine has once everything sent to it has arrived. `None`
    /// if that state is unknown.
    pub(super) expected_digest: Option<Digest>,
    /// When a state was last sent to the machine; minus infinity if none was sent.
    pub(super) state_sent_at: f64,
}

impl Progress {
    /// Creates the progress of a machine about which nothing is known yet.
    pub(super) fn new(now: f64) -> Progress {
        Progress {
            tracked_since: now,
            answered_heartbeat_sent_at: f64::NEG_INFINITY,
            newest_answer_at: None,
            accepted_version: None,
            expected_digest: None,
            state_sent_at: f64::NEG_INFINITY,
        }
    }

    /// Creates the progress of a machine about which only the state on its disk is known.
    pub(super) fn with_state(now: f64, digest: Digest) -> Progress {
        Progress {
            expected_digest: Some(digest),
            ..Progress::new(now)
        }
    }
}
