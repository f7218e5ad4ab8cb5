//! One database server, as a control machine knows it.

use super::inactivity::Inactivity;
use crate::message::MemberInfo;

/// Call number assigned to a server that departs without having drained. After it, heartbeats of
/// the server are ignored; only its end still counts.
pub(super) const UNDRAINED_DEPARTURE_SEQ: u64 = u64::MAX - 1;
/// Call number assigned to a server that has ended. After it, all reports are ignored.
pub(super) const ENDED_SEQ: u64 = u64::MAX;
/// Factor by which the member timeout is longer for a server that departs undrained. Its
/// heartbeats are ignored, and it has ended by the end of the longer timeout.
const UNDRAINED_TIMEOUT_FACTOR: f64 = 4.0;
/// A server that reported that it leaves, and then fell silent, has ended this many heartbeat
/// intervals after it was last seen.
const LEAVING_ENDS_WITHIN_HEARTBEATS: f64 = 16.0;
/// A server that reported its end neither receives nor acknowledges anything after this time.
const ENDS_WITHIN_S: f64 = 0.1;

/// The phase that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// The server is in service.
    Ready,
    /// The server is about to end: it finishes its present work, and should get no new work.
    Draining,
}

/// A heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The server's service.
    pub service: String,
    /// The server's address and port.
    pub endpoint: String,
    /// The server's zone (failure domain).
    pub zone: String,
    /// Number of statements that the server runs at once.
    pub slots: u32,
    /// The server's phase.
    pub phase: MemberPhase,
    /// Call number, which rises with every call of this server.
    pub call_seq: u64,
}

/// What a control machine knows about a server. Times are seconds of the machine's steady clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The description that is sent to other control machines and to routers.
    pub info: MemberInfo,
    /// Time at which the server was last seen alive.
    pub last_seen: f64,
    /// Time at which this machine first learned that the server drains.
    pub draining_since: Option<f64>,
    /// Number of the update to routers that contains the server's last change; 0 if this machine
    /// didn't lead.
    pub changed_in_update: u64,
    /// Whether a majority of the control machines has acknowledged the server's last change.
    pub majority_knows: bool,
    /// Whether enough other servers have the log of this server, which has departed. See
    /// [`MemberInfo::superseded`].
    pub(super) superseded: bool,
}

impl Member {
    /// Creates a member that becomes known now.
    pub(super) fn new(now: f64, info: MemberInfo, update_number: u64) -> Member {
        Member {
            last_seen: now,
            draining_since: info.draining.then_some(now),
            changed_in_update: update_number,
            majority_knows: false,
            superseded: info.is_superseded(),
            info,
        }
    }

    /// Marks the server as departed, in the update to routers with this number.
    pub(super) fn mark_departed(&mut self, update_number: u64) {
        self.info.departed = true;
        self.majority_knows = false;
        self.changed_in_update = update_number;
    }

    /// Returns whether the server has reported its end.
    pub(super) fn has_reported_end(&self) -> bool {
        self.info.departed && self.info.call_seq == ENDED_SEQ
    }

    /// Returns the description that is sent to other control machines.
    pub(crate) fn peer_info(&self) -> MemberInfo {
        if self.superseded {
            self.info.superseded()
        } else {
            self.info.clone()
        }
    }

    /// Returns whether the server departs without having drained, and may still run.
    pub(super) fn is_departing_undrained(&self) -> bool {
        self.info.call_seq == UNDRAINED_DEPARTURE_SEQ
    }

    /// Returns the time in seconds after which the server counts as departed if it isn't seen.
    pub(super) fn timeout(&self, member_timeout: f64) -> f64 {
        if self.is_departing_undrained() {
            UNDRAINED_TIMEOUT_FACTOR * member_timeout
        } else {
            member_timeout
        }
    }

    /// Returns what proves that the server no longer receives the log of its primary. A departed
    /// server need not have ended: it departs by mere silence, too.
    pub(crate) fn inactivity(&self, heartbeat_interval: f64) -> Inactivity {
        let departed = self.info.departed;
        if self.has_reported_end() {
            let since = self.last_seen + ENDS_WITHIN_S;
            return Inactivity::Ended { since };
        }
        if departed && self.info.draining {
            let since = self.last_seen + LEAVING_ENDS_WITHIN_HEARTBEATS * heartbeat_interval;
            return Inactivity::Ended { since };
        }
        Inactivity::Unproven
    }

    /// Returns whether `other` is a different server of the same service at the same address.
    pub(super) fn shares_address_with(&self, other: &Member) -> bool {
        let (this, other) = (&self.info, &other.info);
        this.id != other.id && this.service == other.service && this.endpoint == other.endpoint
    }

    /// Returns whether `other` is at the address of this server and was seen after it.
    pub(super) fn is_replaced_by(&self, other: &Member) -> bool {
        self.shares_address_with(other) && other.last_seen > self.last_seen
    }

    /// Returns whether `info` says the same about the server, apart from the call number.
    pub(super) fn is_unchanged_by(&self, info: &MemberInfo) -> bool {
        let renumbered = MemberInfo {
            call_seq: info.call_seq,
            ..self.info.clone()
        };
        renumbered == *info
    }
}

/// Returns whether this report must be persisted before it is acknowledged. A draining server must
/// get no new work, even if all control machines lose power and its heartbeats don't arrive.
pub(crate) fn must_be_persisted(info: &MemberInfo) -> bool {
    info.draining && !info.departed
}
