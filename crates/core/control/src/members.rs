//! The members: the database servers that send heartbeats.
//!
//! The [`MemberRegistry`] of a control machine holds what the machine knows about each server. It
//! is owned by the [`Controller`](crate::Controller), which replicates changes to the other
//! machines (`controller::member_replication`). The registry sends nothing and decides nothing
//! about primaries. Reports may arrive late, repeatedly and through several machines; the registry
//! orders them by the call numbers that the servers assign.

use crate::message::MemberInfo;
use std::collections::{BTreeMap, BTreeSet};

/// Call number assigned to a server that departs without having drained. After it, heartbeats of
/// the server are ignored; only its end still counts.
const UNDRAINED_DEPARTURE_SEQ: u64 = u64::MAX - 1;
/// Call number assigned to a server that has ended. After it, all reports are ignored.
const ENDED_SEQ: u64 = u64::MAX;
/// Factor by which the member timeout is longer for a server that departs undrained. Its
/// heartbeats are ignored, and it has ended by the end of the longer timeout.
const UNDRAINED_TIMEOUT_FACTOR: f64 = 4.0;
/// A running server is seen again within this many heartbeat intervals.
const SEEN_WITHIN_HEARTBEATS: f64 = 2.0;
/// A server that reported its end neither receives nor acknowledges anything after this time.
const ENDS_WITHIN_S: f64 = 0.1;
/// A departed server is remembered for this long, so that a late heartbeat doesn't revive it.
const DEPARTED_RETENTION_S: f64 = 60.0;

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
}

impl Member {
    /// Creates a member that becomes known now.
    fn new(now: f64, info: MemberInfo, update_number: u64) -> Member {
        Member {
            last_seen: now,
            draining_since: info.draining.then_some(now),
            changed_in_update: update_number,
            majority_knows: false,
            info,
        }
    }

    /// Returns whether the server departs without having drained, and may still run.
    fn is_departing_undrained(&self) -> bool {
        self.info.call_seq == UNDRAINED_DEPARTURE_SEQ
    }

    /// Returns the time in seconds after which the server counts as departed if it isn't seen.
    fn timeout(&self, member_timeout: f64) -> f64 {
        if self.is_departing_undrained() {
            UNDRAINED_TIMEOUT_FACTOR * member_timeout
        } else {
            member_timeout
        }
    }

    /// Returns the time since which the server, if it has departed, can't have received or
    /// acknowledged anything.
    fn inactive_since(&self, heartbeat_interval: f64) -> f64 {
        let active_after_seen = match self.info.call_seq {
            ENDED_SEQ => ENDS_WITHIN_S,
            UNDRAINED_DEPARTURE_SEQ => {
                UNDRAINED_TIMEOUT_FACTOR * SEEN_WITHIN_HEARTBEATS * heartbeat_interval
            }
            _ => SEEN_WITHIN_HEARTBEATS * heartbeat_interval,
        };
        self.last_seen + active_after_seen
    }

    /// Returns whether `other` is a different server of the same service at the same address.
    fn shares_address_with(&self, other: &Member) -> bool {
        let (this, other) = (&self.info, &other.info);
        this.id != other.id && this.service == other.service && this.endpoint == other.endpoint
    }

    /// Returns whether `other` is at the address of this server and was seen after it.
    fn is_replaced_by(&self, other: &Member) -> bool {
        self.shares_address_with(other) && other.last_seen > self.last_seen
    }

    /// Returns whether `info` says the same about the server, apart from the call number.
    fn is_unchanged_by(&self, info: &MemberInfo) -> bool {
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

/// A server that left or timed out and is still remembered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DepartedMember {
    /// The server's id.
    pub id: String,
    /// Time since which the server has neither received nor acknowledged anything.
    pub inactive_since: f64,
}

/// All servers that a control machine knows.
#[derive(Clone, Debug, Default)]
pub struct MemberRegistry {
    by_id: BTreeMap<String, Member>,
    /// The ids of the servers of each service, including departed ones, so that a failover needs to
    /// look only at its own servers. A server that changed its service is listed under both.
    ids_by_service: BTreeMap<String, BTreeSet<String>>,
    change_count: u64,
}

impl MemberRegistry {
    /// Applies a heartbeat. Returns the report if it is newer than what was known. `update_number`
    /// is the number of the update that will announce a change to routers; 0 if this machine
    /// doesn't lead.
    pub fn heartbeat(
        &mut self,
        now: f64,
        id: &str,
        heartbeat: &Heartbeat,
        update_number: u64,
    ) -> Option<MemberInfo> {
        let info = MemberInfo {
            id: id.to_owned(),
            service: heartbeat.service.clone(),
            endpoint: heartbeat.endpoint.clone(),
            zone: heartbeat.zone.clone(),
            slots: heartbeat.slots,
            draining: heartbeat.phase == MemberPhase::Draining,
            departed: false,
            call_seq: heartbeat.call_seq,
        };
        self.merge_and_return(now, info, update_number)
    }

    /// Applies a server's report that it departs. A server that has drained ends now. Any other
    /// server keeps serving for as long as a draining one, and counts as draining. Returns the
    /// changed description; `None` for an unknown server or a repeated report.
    pub fn depart(&mut self, now: f64, id: &str, update_number: u64) -> Option<MemberInfo> {
        let member = self.by_id.get(id)?;
        if member.is_departing_undrained() {
            return None;
        }
        let info = if member.info.draining {
            MemberInfo {
                departed: true,
                call_seq: ENDED_SEQ,
                ..member.info.clone()
            }
        } else {
            MemberInfo {
                draining: true,
                call_seq: UNDRAINED_DEPARTURE_SEQ,
                ..member.info.clone()
            }
        };
        self.merge_and_return(now, info, update_number)
    }

    /// Applies a refused connection to a server. Nothing listens at the server's address, so it has
    /// ended if it departed undrained. Returns the changed description, if there is a change.
    pub(crate) fn connection_refused(
        &mut self,
        now: f64,
        id: &str,
        update_number: u64,
    ) -> Option<MemberInfo> {
        let member = self
            .by_id
            .get(id)
            .filter(|member| member.is_departing_undrained() && !member.info.departed)?;
        let info = MemberInfo {
            departed: true,
            call_seq: ENDED_SEQ,
            ..member.info.clone()
        };
        self.merge_and_return(now, info, update_number)
    }

    fn merge_and_return(
        &mut self,
        now: f64,
        info: MemberInfo,
        update_number: u64,
    ) -> Option<MemberInfo> {
        self.merge(now, info.clone(), update_number).then_some(info)
    }

    /// Applies the report of a server or of another machine. Returns whether it is newer than what
    /// was known.
    pub fn merge(&mut self, now: f64, info: MemberInfo, update_number: u64) -> bool {
        let Some(member) = self.by_id.get_mut(&info.id) else {
            self.index(&info);
            let id = info.id.clone();
            self.by_id.insert(id, Member::new(now, info, update_number));
            self.change_count += 1;
            return true;
        };
        // Reports may arrive late or twice. A newer one revives a server that timed out.
        if info.call_seq <= member.info.call_seq {
            return false;
        }
        let is_unchanged = member.is_unchanged_by(&info);
        let service_changed = member.info.service != info.service;
        if info.draining && member.draining_since.is_none() {
            member.draining_since = Some(now);
        }
        member.last_seen = now;
        member.info = info.clone();
        if !is_unchanged {
            member.changed_in_update = update_number;
            member.majority_knows = false;
            self.change_count += 1;
        }
        if service_changed {
            self.index(&info);
        }
        true
    }

    fn index(&mut self, info: &MemberInfo) {
        self.ids_by_service
            .entry(info.service.clone())
            .or_default()
            .insert(info.id.clone());
    }

    /// Records that the server answered this machine or a router at the time `at`. It is alive,
    /// whichever machine receives its heartbeats. A departed server stays departed.
    pub fn seen_alive(&mut self, at: f64, id: &str) {
        if let Some(member) = self
            .by_id
            .get_mut(id)
            .filter(|member| !member.info.departed)
        {
            member.last_seen = member.last_seen.max(at);
        }
    }

    /// Marks servers as departed that haven't been seen for `member_timeout` seconds (longer if
    /// they depart undrained), and removes those that departed long ago. Returns whether any server
    /// departed.
    pub fn expire(&mut self, now: f64, member_timeout: f64, update_number: u64) -> bool {
        let mut any_departed = false;
        for member in self.by_id.values_mut() {
            if member.info.departed || now - member.last_seen <= member.timeout(member_timeout) {
                continue;
            }
            member.info.departed = true;
            member.majority_knows = false;
            member.changed_in_update = update_number;
            any_departed = true;
            self.change_count += 1;
        }
        self.remove_old_departed(now);
        any_departed
    }

    fn remove_old_departed(&mut self, now: f64) {
        let ids_by_service = &mut self.ids_by_service;
        self.by_id.retain(|id, member| {
            let is_kept = !member.info.departed || now - member.last_seen < DEPARTED_RETENTION_S;
            if !is_kept {
                for ids in ids_by_service.values_mut() {
                    ids.remove(id);
                }
            }
            is_kept
        });
        ids_by_service.retain(|_, ids| !ids.is_empty());
    }

    /// Returns a count that rises with every change, but not when a server is merely seen again.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the members to be persisted for the next incarnation of this process. Call numbers
    /// are kept only for draining servers, whose older heartbeats must not revive them. For other
    /// servers, a heartbeat with any number counts.
    pub fn to_persist(&self) -> Vec<MemberInfo> {
        self.by_id
            .values()
            .map(|member| &member.info)
            .filter(|info| !info.departed)
            .map(|info| MemberInfo {
                call_seq: if must_be_persisted(info) {
                    info.call_seq
                } else {
                    0
                },
                ..info.clone()
            })
            .collect()
    }

    /// Restores the members that an earlier incarnation of this process persisted. How long a
    /// draining server has been draining isn't known: it counts as having drained for `draining_s`
    /// seconds already.
    pub fn restore(&mut self, now: f64, persisted: Vec<MemberInfo>, draining_s: f64) {
        for info in persisted {
            let (id, draining) = (info.id.clone(), info.draining);
            self.merge(now, info, 0);
            if let Some(member) = self.by_id.get_mut(&id)
                && draining
            {
                member.draining_since = Some(now - draining_s);
            }
        }
    }

    /// Marks all members as changed in the update with this number, since a new leader sends all.
    pub(crate) fn mark_all_changed_in(&mut self, update_number: u64) {
        for member in self.by_id.values_mut() {
            member.changed_in_update = update_number;
        }
    }

    /// Returns whether the last change of this server is part of the update with this number.
    pub(crate) fn is_changed_in(&self, id: &str, update_number: u64) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|member| member.changed_in_update == update_number)
    }

    /// Returns whether a majority of the control machines knows the last change of this server.
    /// True for an unknown server, which has no change.
    pub(crate) fn majority_knows(&self, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_none_or(|member| member.majority_knows)
    }

    /// Records that a majority of the control machines knows this description of a server. Has no
    /// effect if the server has changed since.
    pub(crate) fn mark_majority_knows(&mut self, info: &MemberInfo) {
        if let Some(member) = self.by_id.get_mut(&info.id) {
            let is_unchanged = member.is_unchanged_by(info);
            member.majority_knows |= is_unchanged;
        }
    }

    /// Returns whether this server is known, including a departed one that is still remembered.
    pub(crate) fn is_known(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the member with this id, unless it has departed.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id).filter(|member| !member.info.departed)
    }

    /// Returns all members, including departed ones that are still remembered.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// Returns the members of a service, without departed ones.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.all_of_service(service)
            .filter(|member| !member.info.departed)
    }

    fn all_of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.ids_by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.by_id.get(id))
            .filter(move |member| member.info.service == service)
    }

    /// Returns the departed members of a service that are still remembered, except those that
    /// another server of the service has replaced at their address, since that server has their
    /// log.
    pub(crate) fn departed_of(
        &self,
        service: &str,
        heartbeat_interval: f64,
    ) -> Vec<DepartedMember> {
        self.all_of_service(service)
            .filter(|member| member.info.departed && !self.has_replacement(member))
            .map(|member| DepartedMember {
                id: member.info.id.clone(),
                inactive_since: member.inactive_since(heartbeat_interval),
            })
            .collect()
    }

    /// Returns whether another server of the service was seen at the address of this one after it.
    fn has_replacement(&self, member: &Member) -> bool {
        self.all_of_service(&member.info.service)
            .any(|other| member.is_replaced_by(other))
    }

    /// Returns whether the server `old_id` was replaced by the server `new_id` at its address. The
    /// new server then has the old one's log.
    pub(crate) fn is_replaced_by(&self, old_id: &str, new_id: &str) -> bool {
        let (Some(old), Some(new)) = (self.by_id.get(old_id), self.get(new_id)) else {
            return false;
        };
        old.is_replaced_by(new)
    }

    /// Returns whether these are two servers of the same service at the same address.
    pub(crate) fn share_address(&self, one_id: &str, other_id: &str) -> bool {
        let (Some(one), Some(other)) = (self.by_id.get(one_id), self.by_id.get(other_id)) else {
            return false;
        };
        one.shares_address_with(other)
    }

    /// Returns the services that have members.
    pub fn services(&self) -> Vec<String> {
        self.ids_by_service
            .keys()
            .filter(|service| self.of_service(service).next().is_some())
            .cloned()
            .collect()
    }
}
