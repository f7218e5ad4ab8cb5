//! The database servers, as their heartbeats report them.
//!
//! The [`MemberRegistry`] of a control machine holds what is known of each server. It is owned by
//! the [`Controller`](crate::Controller), which replicates changes to the other machines
//! (`controller::member_replication`). The registry sends nothing and decides nothing about
//! primaries; it orders reports, which may arrive late, twice and by way of several machines, by
//! the servers' own call numbers.

use crate::message::MemberInfo;
use std::collections::{BTreeMap, BTreeSet};

/// The call number of a server that departs without having drained. No heartbeat counts after it,
/// only that the server has ended.
const UNDRAINED_DEPARTURE_SEQ: u64 = u64::MAX - 1;
/// The call number of a server that has ended. Nothing counts after it.
const ENDED_SEQ: u64 = u64::MAX;
/// A server that departs undrained sends no heartbeats that count. It times out after this many
/// times the time-out of others, by when it has ended.
const UNDRAINED_TIMEOUT_FACTOR: f64 = 4.0;
/// A server that runs is seen again within this many heartbeat intervals.
const SEEN_WITHIN_HEARTBEATS: f64 = 2.0;
/// A server that reported its end receives and acknowledges nothing after this time.
const ENDS_WITHIN_S: f64 = 0.1;
/// A departed server is remembered for this time, so that no late heartbeat revives it.
const DEPARTED_KEPT_S: f64 = 60.0;

/// The phase of a server's life that it reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// In service.
    Ready,
    /// About to end: it finishes what it has, and should get nothing new.
    Draining,
}

/// A heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The service that it belongs to.
    pub service: String,
    /// Address and port.
    pub endpoint: String,
    /// The zone that it runs in.
    pub zone: String,
    /// How many statements it runs at once.
    pub slots: u32,
    /// The phase that it is in.
    pub phase: MemberPhase,
    /// Rises with every call of this server.
    pub call_seq: u64,
}

/// A server that is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// What is sent to other control machines and to routers.
    pub info: MemberInfo,
    /// When it was last seen alive, in seconds of this machine's clock.
    pub last_seen: f64,
    /// When it was first known here that it drains, in seconds.
    pub draining_since: Option<f64>,
    /// The number of the update to routers with its last change; 0 if this machine didn't lead.
    pub changed_in_update: u64,
    /// A majority of the control machines has acknowledged its last change.
    pub majority_knows: bool,
}

impl Member {
    /// A member that is known from now on.
    fn new(now: f64, info: MemberInfo, update_number: u64) -> Member {
        Member {
            last_seen: now,
            draining_since: info.draining.then_some(now),
            changed_in_update: update_number,
            majority_knows: false,
            info,
        }
    }

    /// Whether it departs without having drained, and may still run.
    fn is_departing_undrained(&self) -> bool {
        self.info.call_seq == UNDRAINED_DEPARTURE_SEQ
    }

    /// How long it may be silent before it counts as departed.
    fn timeout(&self, member_timeout: f64) -> f64 {
        if self.is_departing_undrained() {
            UNDRAINED_TIMEOUT_FACTOR * member_timeout
        } else {
            member_timeout
        }
    }

    /// From when on it took part in nothing, if it has departed.
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

    /// Whether that is another server of its service at its address.
    fn shares_address_with(&self, other: &Member) -> bool {
        let (this, other) = (&self.info, &other.info);
        this.id != other.id && this.service == other.service && this.endpoint == other.endpoint
    }

    /// Whether that server was seen at its address after it was last seen itself.
    fn is_succeeded_by(&self, other: &Member) -> bool {
        self.shares_address_with(other) && other.last_seen > self.last_seen
    }

    /// Whether this says the same of the server, but for the number of the call.
    fn is_unchanged_by(&self, info: &MemberInfo) -> bool {
        let renumbered = MemberInfo {
            call_seq: info.call_seq,
            ..self.info.clone()
        };
        renumbered == *info
    }
}

/// Whether this must be on disks before it is acknowledged. A draining server must get nothing new,
/// even if all control machines lose power and its heartbeats fail to come.
pub(crate) fn outlives_power_loss(info: &MemberInfo) -> bool {
    info.draining && !info.departed
}

/// A server that left or timed out, as long as it is remembered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DepartedMember {
    /// Its id.
    pub id: String,
    /// From then on it received nothing and acknowledged nothing, in seconds.
    pub inactive_since: f64,
}

/// All servers that are known, by id.
#[derive(Clone, Debug, Default)]
pub struct MemberRegistry {
    by_id: BTreeMap<String, Member>,
    /// Ids by service, also of departed servers, so that a failover looks at its own only. A
    /// server that changed its service stands with both.
    ids_by_service: BTreeMap<String, BTreeSet<String>>,
    change_count: u64,
}

impl MemberRegistry {
    /// Takes a heartbeat. Returns what it reports, if it is newer than what was known. A change
    /// will be announced to routers in the update `update_number`; 0 if this machine doesn't lead.
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

    /// A server reports that it leaves. One that has drained ends now. Any other serves for as long
    /// as a draining one, and counts as draining. Returns what changed, none for an unknown server
    /// or a repeated report.
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

    /// Nothing listens at the address of this server any more: one that departed undrained has
    /// ended. Returns what changed.
    pub(crate) fn refused(&mut self, now: f64, id: &str, update_number: u64) -> Option<MemberInfo> {
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

    /// Takes what a server or another machine reports. Returns whether it is newer than what was
    /// known.
    pub fn merge(&mut self, now: f64, info: MemberInfo, update_number: u64) -> bool {
        let Some(member) = self.by_id.get_mut(&info.id) else {
            self.index(&info);
            let id = info.id.clone();
            self.by_id.insert(id, Member::new(now, info, update_number));
            self.change_count += 1;
            return true;
        };
        // Reports may arrive late or twice. A newer one counts also of a server that timed out.
        if info.call_seq <= member.info.call_seq {
            return false;
        }
        let is_unchanged = member.is_unchanged_by(&info);
        let is_moved = member.info.service != info.service;
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
        if is_moved {
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

    /// The server answered this machine or a router at that second: it is alive, whichever machine
    /// gets its heartbeats. A departed one stays departed.
    pub fn seen_alive(&mut self, at: f64, id: &str) {
        if let Some(member) = self
            .by_id
            .get_mut(id)
            .filter(|member| !member.info.departed)
        {
            member.last_seen = member.last_seen.max(at);
        }
    }

    /// Counts servers as departed that haven't been seen for `member_timeout` seconds, and forgets
    /// those that departed long ago. Returns whether any departed.
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
        self.forget_departed(now);
        any_departed
    }

    fn forget_departed(&mut self, now: f64) {
        let ids_by_service = &mut self.ids_by_service;
        self.by_id.retain(|id, member| {
            let is_kept = !member.info.departed || now - member.last_seen < DEPARTED_KEPT_S;
            if !is_kept {
                for ids in ids_by_service.values_mut() {
                    ids.remove(id);
                }
            }
            is_kept
        });
        ids_by_service.retain(|_, ids| !ids.is_empty());
    }

    /// Rises with every change, but not when a server is merely seen again.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// The members as they are persisted for the next incarnation of this process. Heartbeats of
    /// any number count then, except of draining servers: an older heartbeat must not revive them.
    pub fn to_persist(&self) -> Vec<MemberInfo> {
        self.by_id
            .values()
            .map(|member| &member.info)
            .filter(|info| !info.departed)
            .map(|info| MemberInfo {
                call_seq: if outlives_power_loss(info) {
                    info.call_seq
                } else {
                    0
                },
                ..info.clone()
            })
            .collect()
    }

    /// Takes the members that an earlier incarnation of this process has persisted. Since when a
    /// draining server drains isn't known: it counts as draining for `draining_s` seconds already.
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

    /// All members count as changed in the update with this number: a new leader sends all.
    pub(crate) fn mark_all_changed_in(&mut self, update_number: u64) {
        for member in self.by_id.values_mut() {
            member.changed_in_update = update_number;
        }
    }

    /// Whether the last change of this server goes with the update of this number.
    pub(crate) fn is_changed_in(&self, id: &str, update_number: u64) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|member| member.changed_in_update == update_number)
    }

    /// Whether a majority of the control machines knows the last change of this server. True for an
    /// unknown server, of which there is nothing to know.
    pub(crate) fn majority_knows(&self, id: &str) -> bool {
        self.by_id
            .get(id)
            .is_none_or(|member| member.majority_knows)
    }

    /// A majority of the control machines knows this; it counts unless there was a change since.
    pub(crate) fn mark_majority_knows(&mut self, info: &MemberInfo) {
        if let Some(member) = self.by_id.get_mut(&info.id) {
            let is_unchanged = member.is_unchanged_by(info);
            member.majority_knows |= is_unchanged;
        }
    }

    /// Whether this server is known, or departed and is still remembered.
    pub(crate) fn knows(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// The member with this id, unless it departed.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id).filter(|member| !member.info.departed)
    }

    /// All members, also departed ones that are still remembered.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// The members of a service, without departed ones.
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

    /// The departed members of a service that are still remembered. One whose address another
    /// server of the service has taken over is left out, since its log goes on there.
    pub(crate) fn departed_of(
        &self,
        service: &str,
        heartbeat_interval: f64,
    ) -> Vec<DepartedMember> {
        self.all_of_service(service)
            .filter(|member| member.info.departed && !self.is_succeeded(member))
            .map(|member| DepartedMember {
                id: member.info.id.clone(),
                inactive_since: member.inactive_since(heartbeat_interval),
            })
            .collect()
    }

    /// Whether another server was seen at the address of this one since.
    fn is_succeeded(&self, member: &Member) -> bool {
        self.all_of_service(&member.info.service)
            .any(|other| member.is_succeeded_by(other))
    }

    /// Whether the second server has replaced the first one: a new server at the address of one of
    /// its service has that one's log.
    pub(crate) fn succeeds(&self, old_id: &str, new_id: &str) -> bool {
        let (Some(old), Some(new)) = (self.by_id.get(old_id), self.get(new_id)) else {
            return false;
        };
        old.is_succeeded_by(new)
    }

    /// Whether these are two servers of one service at one address.
    pub(crate) fn share_an_address(&self, one_id: &str, other_id: &str) -> bool {
        let (Some(one), Some(other)) = (self.by_id.get(one_id), self.by_id.get(other_id)) else {
            return false;
        };
        one.shares_address_with(other)
    }

    /// The services that have members.
    pub fn services(&self) -> Vec<String> {
        self.ids_by_service
            .keys()
            .filter(|service| self.of_service(service).next().is_some())
            .cloned()
            .collect()
    }
}
