//! The call to the platform that promotes a server: what its outcome proves, and how long it may
//! still take effect.
//!
//! [`PendingPromotion`] belongs to the failover of one service ([`crate::failover`]) and exists
//! only on the leader. `docs/design/calls.md` has a table of all calls that change servers and of
//! what late ones can do.

use badgerstream_line_protocol::ExecutionOutcome;
use std::collections::BTreeMap;

/// A call without a clear outcome may still take effect for this long after it was given up. Its
/// connection is reset at that moment, so only a slow platform that has already read the complete
/// call can still run it.
pub(crate) const LATE_EFFECT_S: f64 = 1.0;
/// Minimum time before the platform is requested again to promote a server that it has refused to
/// promote.
const REFUSAL_BACKOFF_S: f64 = 1.0;
/// A call is given up after this time.
const CALL_TIMEOUT_S: f64 = 1.0;

/// The outcome of a call to the platform, as the platform's HTTP API describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// 2xx: the named server is the primary, or will be within a few hundred milliseconds.
    Accepted,
    /// 409: nothing was changed, because the platform has seen a higher fencing token or the named
    /// server isn't running.
    Refused,
    /// 429: nothing was changed, because there were too many calls; the call may be repeated later.
    RateLimited,
    /// Another 4xx: nothing was changed, and the same call would be rejected again.
    Rejected,
    /// No byte was sent: the platform can't be reached, or this machine may no longer call it.
    NotSent,
    /// 408, 5xx or no answer: the server may have been promoted, or may still be. Its answer to
    /// `STATUS` will show whether it was.
    Unknown,
}

impl PromotionOutcome {
    /// Returns the outcome of a call that was answered with this HTTP status.
    pub fn from_status(status: u16) -> PromotionOutcome {
        match status {
            200..300 => PromotionOutcome::Accepted,
            409 => PromotionOutcome::Refused,
            429 => PromotionOutcome::RateLimited,
            // A proxy may answer 408 (timeout) while the platform still runs the call.
            408 => PromotionOutcome::Unknown,
            400..500 => PromotionOutcome::Rejected,
            _ => PromotionOutcome::Unknown,
        }
    }

    /// Returns whether the platform has run the call, has not, or may have.
    pub fn execution_outcome(self) -> ExecutionOutcome {
        match self {
            PromotionOutcome::Accepted => ExecutionOutcome::Ran,
            PromotionOutcome::Refused
            | PromotionOutcome::RateLimited
            | PromotionOutcome::Rejected
            | PromotionOutcome::NotSent => ExecutionOutcome::NotRun,
            PromotionOutcome::Unknown => ExecutionOutcome::MayHaveRun,
        }
    }
}

/// The promotions of one service that this leader requested and that may still take effect.
///
/// Two calls for the same server are harmless in any order: when the second one runs, the server is
/// already the primary. A call for another server must not be sent while an earlier call may still
/// run after it: the platform would then make the first server the primary again, although it
/// lacks the commits of the second one. The fencing token doesn't prevent that, because both calls
/// carry the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingPromotion {
    /// Id of the server that the newest call names.
    server: String,
    /// Number of calls without an outcome yet.
    in_flight: u32,
    /// Time at which the newest call was decided; it is sent a moment later.
    sent_at: f64,
    /// By server id, the time at which the platform last refused to promote the server.
    refusals: BTreeMap<String, f64>,
    /// Time until which ended calls without a clear outcome may still take effect.
    late_effect_until: f64,
}

impl PendingPromotion {
    /// Records that a call for `server` is about to be sent.
    pub(crate) fn record_sent(&mut self, now: f64, server: &str) {
        if self.server != server {
            let refusals = std::mem::take(&mut self.refusals);
            *self = PendingPromotion {
                server: server.to_owned(),
                refusals,
                ..PendingPromotion::default()
            };
        }
        self.in_flight += 1;
        self.sent_at = now;
    }

    /// Records the outcome of a call for `server`. Returns false if no call for it is pending.
    pub(crate) fn record_outcome(
        &mut self,
        now: f64,
        server: &str,
        outcome: PromotionOutcome,
    ) -> bool {
        if self.server != server || self.in_flight == 0 {
            return false;
        }
        self.in_flight -= 1;
        if outcome == PromotionOutcome::Refused {
            self.refusals.insert(server.to_owned(), now);
        }
        if outcome.execution_outcome() == ExecutionOutcome::MayHaveRun {
            self.late_effect_until = now + LATE_EFFECT_S;
        }
        true
    }

    /// Returns whether an earlier call may still take effect after one that is sent now.
    fn may_take_effect(&self, now: f64) -> bool {
        let is_in_flight =
            self.in_flight > 0 && now < self.sent_at + CALL_TIMEOUT_S + LATE_EFFECT_S;
        is_in_flight || now < self.late_effect_until
    }

    /// Returns whether the platform refused to promote `server` less than the backoff time ago.
    pub(crate) fn is_refused(&self, now: f64, server: &str) -> bool {
        self.refusals
            .get(server)
            .is_some_and(|refused_at| now < refused_at + REFUSAL_BACKOFF_S)
    }

    /// Returns whether a call for `server` may be sent now: the platform hasn't just refused to
    /// promote that server, and no earlier call for another server can take effect after the new
    /// call.
    pub(crate) fn permits(&self, now: f64, server: &str) -> bool {
        !self.is_refused(now, server) && (self.server == server || !self.may_take_effect(now))
    }
}
