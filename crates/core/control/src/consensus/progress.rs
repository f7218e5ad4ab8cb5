//! What a leader knows of each other machine.

use crate::digest::Digest;

/// What a leader knows of another machine, named as in etcd's and `TiKV`'s raft.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// When the leader began to send to it.
    pub(super) tracked_since: f64,
    /// When the leader sent the newest heartbeat that it answered; minus infinity if it answered
    /// none.
    pub(super) answered_heartbeat_sent_at: f64,
    /// When it sent its newest answer, in seconds of its own clock.
    pub(super) newest_answer_at: Option<f64>,
    /// The version of the state that it has accepted under the leader's term.
    pub(super) accepted_version: Option<u64>,
    /// The state that it has once everything sent has arrived; none while that isn't known.
    pub(super) expected_digest: Option<Digest>,
    /// When a state was last sent to it; minus infinity if none was.
    pub(super) state_sent_at: f64,
}

impl Progress {
    /// Nothing is known yet.
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

    /// Nothing is known but the state on its disk.
    pub(super) fn with_state(now: f64, digest: Digest) -> Progress {
        Progress {
            expected_digest: Some(digest),
            ..Progress::new(now)
        }
    }
}
