//! The members: the database servers that send heartbeats.
//!
//! The [`MemberRegistry`] of a control machine holds what the machine knows about each server. It
//! is owned by the [`Controller`](crate::Controller), which replicates changes to the other
//! machines (`controller::member_replication`). The registry sends nothing and decides nothing
//! about primaries. Reports may arrive late, repeatedly and through several machines; the registry
//! orders them by the call numbers that the servers assign.
//!
//! A departed server is remembered for as long as its log may be needed: it may have received
//! writes that were acknowledged to clients and that no other server has except the primary. It is
//! discarded once enough other servers have its log (`superseded`), or a server has replaced it at
//! its address. See `departed`.

mod departed;
mod inactivity;
mod member;

use crate::message::MemberInfo;
pub(crate) use departed::DepartedMember;
pub(crate) use inactivity::Inactivity;
pub(crate) use member::must_be_persisted;
use member::{ENDED_SEQ, UNDRAINED_DEPARTURE_SEQ};
pub use member::{Heartbeat, Member, MemberPhase};
use std::collections::{BTreeMap, BTreeSet};

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
            return info.is_superseded() && self.merge_superseded(&info, update_number);
        }
        let superseded = info.is_superseded();
        let info = info.with_known_endpoint(&member.info);
        let is_unchanged = member.is_unchanged_by(&info);
        let service_changed = member.info.service != info.service;
        if info.draining && member.draining_since.is_none() {
            member.draining_since = Some(now);
        }
        member.last_seen = now;
        member.superseded = superseded;
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
    /// whichever machine receives its heartbeats. A departed server stays departed, but hasn't ended
    /// by this time unless it has reported its end.
    pub fn seen_alive(&mut self, at: f64, id: &str) {
        let Some(member) = self.by_id.get_mut(id) else {
            return;
        };
        if !member.has_reported_end() {
            member.last_seen = member.last_seen.max(at);
        }
    }

    /// Marks servers as departed that haven't been seen for `member_timeout` seconds (longer if
    /// they depart undrained), and discards departed servers that nobody needs any more. Returns
    /// whether any server departed.
    pub fn expire(&mut self, now: f64, member_timeout: f64, update_number: u64) -> bool {
        let mut any_departed = false;
        for member in self.by_id.values_mut() {
            if member.info.departed || now - member.last_seen <= member.timeout(member_timeout) {
                continue;
            }
            member.mark_departed(update_number);
            any_departed = true;
            self.change_count += 1;
        }
        self.discard_departed(now);
        any_departed
    }

    /// Returns a count that rises with every change, but not when a server is merely seen again.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the servers to be persisted for the next incarnation of this process: the members,
    /// and the departed servers whose log may be missing elsewhere. Call numbers are kept only for
    /// servers that said that they leave, whose older heartbeats must not revive them. For other
    /// servers, a heartbeat with any number counts.
    pub fn to_persist(&self) -> Vec<MemberInfo> {
        self.by_id
            .values()
            .filter(|member| !member.info.departed || self.may_hold_the_only_copy(member))
            .map(|member| &member.info)
            .map(|info| MemberInfo {
                call_seq: if info.draining { info.call_seq } else { 0 },
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

    /// Returns the address of this server, also if it has departed.
    pub(crate) fn endpoint(&self, id: &str) -> Option<&str> {
        let member = self.by_id.get(id)?;
        Some(&member.info.endpoint)
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
