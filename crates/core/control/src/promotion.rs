//! The call that makes another server the primary: what its end proves, and for how long a copy of it may still take
//! effect.

use badgerstream_line_protocol::Verdict;
use std::collections::BTreeMap;

/// A call without a clear answer may take effect for so long after it was given up, in seconds. Its connection is reset
/// when it is given up, so only a platform that has read it whole and is slow can still run it.
const SETTLING_S: f64 = 1.0;
/// A server that the platform has just refused to promote is named again after so many seconds at the earliest.
const REFUSED_S: f64 = 1.0;
/// A call is given up after so many seconds.
const CALL_S: f64 = 1.0;

/// How a call to the platform has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// 2xx: the named server is the primary, or will be within some hundred milliseconds.
    Accepted,
    /// 409: nothing was changed, since a newer holder has called or the named server isn't running.
    Refused,
    /// 429: nothing was changed, too many calls; later.
    RateLimited,
    /// Another 4xx: nothing was changed, and the same call will fare no better.
    Rejected,
    /// No byte of it was sent: the platform can't be reached, or this machine may no longer call it.
    NotSent,
    /// A 5xx, or no answer: it may have happened, or may yet. Servers tell it by their `STATUS`.
    Unknown,
}

impl PromotionOutcome {
    /// What the status of the platform's answer proves.
    pub fn of_status(status: u16) -> PromotionOutcome {
        match status {
            200..300 => PromotionOutcome::Accepted,
            409 => PromotionOutcome::Refused,
            429 => PromotionOutcome::RateLimited,
            // A 408 comes of waiting, which proves nothing.
            408 => PromotionOutcome::Unknown,
            400..500 => PromotionOutcome::Rejected,
            _ => PromotionOutcome::Unknown,
        }
    }

    /// Whether the call has run at the platform.
    pub fn verdict(self) -> Verdict {
        match self {
            PromotionOutcome::Accepted => Verdict::Ran,
            PromotionOutcome::Refused
            | PromotionOutcome::RateLimited
            | PromotionOutcome::Rejected
            | PromotionOutcome::NotSent => Verdict::NotRun,
            PromotionOutcome::Unknown => Verdict::MayHaveRun,
        }
    }
}

/// The promotions of one service that this leader asked for and that may still take effect.
///
/// Two calls for the same server do no harm in any order: the second one finds it the primary. A call for another server
/// must not be sent while one of the first may still be run after it, as the platform would then take the lead from the
/// second server, whose commits the first one lacks. The fence does not tell the two apart: it is the same for both.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingPromotion {
    /// The server that the newest call names.
    server: String,
    /// How many calls have not ended yet.
    in_flight: u32,
    /// When the newest call was decided on.
    sent_at: f64,
    /// The servers that the platform has refused to promote, and when.
    refused: BTreeMap<String, f64>,
    /// Calls that ended without a clear answer may take effect until this second.
    unclear_until: f64,
}

impl PendingPromotion {
    /// A call for this server is sent.
    pub fn sent(&mut self, now: f64, server: &str) {
        if self.server != server {
            let refused = std::mem::take(&mut self.refused);
            *self = PendingPromotion {
                server: server.to_owned(),
                refused,
                ..PendingPromotion::default()
            };
        }
        self.in_flight += 1;
        self.sent_at = now;
    }

    /// The call for this server has ended; false if it isn't the one that is waited for.
    pub fn ended(&mut self, now: f64, server: &str, outcome: PromotionOutcome) -> bool {
        if self.server != server || self.in_flight == 0 {
            return false;
        }
        self.in_flight -= 1;
        if outcome == PromotionOutcome::Refused {
            self.refused.insert(server.to_owned(), now);
        }
        if outcome.verdict() == Verdict::MayHaveRun {
            self.unclear_until = now + SETTLING_S;
        }
        true
    }

    /// Whether a call may still take effect after one that is sent now.
    fn may_take_effect(&self, now: f64) -> bool {
        let in_flight = self.in_flight > 0 && now < self.sent_at + CALL_S + SETTLING_S;
        in_flight || now < self.unclear_until
    }

    /// Whether the platform has refused a moment ago to promote this server.
    pub fn is_refused(&self, now: f64, server: &str) -> bool {
        self.refused
            .get(server)
            .is_some_and(|at| now < at + REFUSED_S)
    }

    /// Whether this server may be promoted now: no other one may be made the primary after it.
    pub fn permits(&self, now: f64, server: &str) -> bool {
        !self.is_refused(now, server) && (self.server == server || !self.may_take_effect(now))
    }
}
