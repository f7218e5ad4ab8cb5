//! Departed servers: how long they are remembered, and when they are no longer needed.
//!
//! A write is acknowledged once the primary and `sync_replicas` replicas have it. If one of these
//! replicas departs, it takes its log along, and the write may be at fewer servers than that. The
//! departed server is remembered until the leader has found that the primary and `sync_replicas`
//! replicas together have everything that it may have had: its log is then superseded, and its
//! writes are as safe as newly acknowledged ones. Neither the time since the departure, nor a
//! change of the leader, nor a restart of the control machines replaces that finding.

use super::{Inactivity, Member, MemberRegistry};
use crate::message::MemberInfo;
use std::collections::{BTreeSet, HashMap};

/// A departed server is remembered for at least this long, so that a late heartbeat doesn't revive
/// it.
const MIN_RETENTION_S: f64 = 60.0;
/// Maximum number of departed servers of one service that are remembered. Of more, those that nobody
/// needs are discarded first, and then those that were seen longest ago: whatever proves that
/// nothing is missing of a server's log proves the same of all servers that ended before it.
const MAX_DEPARTED_PER_SERVICE: usize = 64;
/// Maximum number of departed servers that are remembered in all.
const MAX_DEPARTED: usize = 4096;

/// A server that left or timed out, and whose log may be missing elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DepartedMember {
    /// The server's id.
    pub id: String,
    /// What proves that the server no longer receives the log.
    pub inactivity: Inactivity,
}

impl MemberRegistry {
    /// Records that a connection to a server was refused. A server that departs undrained counts as
    /// departed from now on, as nobody can use it. It need not have ended: a cut may refuse. Returns
    /// whether there is a change.
    pub(crate) fn connection_refused(&mut self, id: &str, update_number: u64) -> bool {
        let Some(member) = self
            .by_id
            .get_mut(id)
            .filter(|member| member.is_departing_undrained() && !member.info.departed)
        else {
            return false;
        };
        member.mark_departed(update_number);
        self.change_count += 1;
        true
    }

    /// Records the leader's finding that the log of a departed server is superseded. Returns the
    /// description that tells other control machines; `None` if there is no change.
    pub(crate) fn mark_superseded(&mut self, id: &str) -> Option<MemberInfo> {
        let member = self
            .by_id
            .get_mut(id)
            .filter(|member| member.info.departed && !member.superseded)?;
        member.superseded = true;
        self.change_count += 1;
        Some(member.peer_info())
    }

    /// Applies the finding of another machine that the log of a server is superseded, which doesn't
    /// come with a higher call number. The leader had seen the server depart, so it departs here
    /// too. Returns whether that is a change.
    pub(super) fn merge_superseded(&mut self, info: &MemberInfo, update_number: u64) -> bool {
        let Some(member) = self
            .by_id
            .get_mut(&info.id)
            .filter(|member| member.info.call_seq == info.call_seq && !member.superseded)
        else {
            return false;
        };
        if !member.info.departed {
            member.info.departed = true;
            member.majority_knows = false;
            member.changed_in_update = update_number;
        }
        member.superseded = true;
        self.change_count += 1;
        true
    }

    /// Returns whether a departed server may have had writes that too few other servers have.
    pub(super) fn may_hold_the_only_copy(&self, member: &Member) -> bool {
        member.info.departed && !member.superseded && !self.has_replacement(member)
    }

    /// Returns the departed servers of a service whose log may be missing elsewhere. A server that
    /// another one has replaced at its address isn't among them, since that one has its log.
    pub(crate) fn departed_of(
        &self,
        service: &str,
        heartbeat_interval: f64,
    ) -> Vec<DepartedMember> {
        self.all_of_service(service)
            .filter(|member| self.may_hold_the_only_copy(member))
            .map(|member| DepartedMember {
                id: member.info.id.clone(),
                inactivity: member.inactivity(heartbeat_interval),
            })
            .collect()
    }

    /// Returns whether another server of the service was seen at the address of this one after it.
    fn has_replacement(&self, member: &Member) -> bool {
        self.all_of_service(&member.info.service)
            .any(|other| member.is_replaced_by(other))
    }

    /// Discards the departed servers that nobody needs any more, and those beyond the maximum
    /// number.
    pub(super) fn discard_departed(&mut self, now: f64) {
        let mut discarded: BTreeSet<String> = self
            .by_id
            .values()
            .filter(|member| member.info.departed && now - member.last_seen >= MIN_RETENTION_S)
            .filter(|member| !self.may_hold_the_only_copy(member))
            .map(|member| member.info.id.clone())
            .collect();
        discarded.extend(self.excess_departed());
        if discarded.is_empty() {
            return;
        }
        self.by_id.retain(|id, _| !discarded.contains(id));
        for ids in self.ids_by_service.values_mut() {
            ids.retain(|id| !discarded.contains(id));
        }
        self.ids_by_service.retain(|_, ids| !ids.is_empty());
    }

    /// Returns the ids of the departed servers beyond the maximum numbers.
    fn excess_departed(&self) -> Vec<String> {
        let departed = || self.by_id.values().filter(|member| member.info.departed);
        if departed().count() <= MAX_DEPARTED_PER_SERVICE {
            return Vec::new();
        }
        let mut departed: Vec<(bool, &Member)> = departed()
            .map(|member| (self.may_hold_the_only_copy(member), member))
            .collect();
        departed.sort_by(|(needed, member), (other_needed, other)| {
            let by_need = other_needed.cmp(needed);
            by_need.then(other.last_seen.total_cmp(&member.last_seen))
        });
        let mut kept = 0;
        let mut kept_by_service: HashMap<&str, usize> = HashMap::new();
        let mut excess = Vec::new();
        for (needed, member) in departed {
            let of_service = kept_by_service.entry(&member.info.service).or_default();
            if kept < MAX_DEPARTED && *of_service < MAX_DEPARTED_PER_SERVICE {
                kept += 1;
                *of_service += 1;
                continue;
            }
            if needed {
                log::warn!("event=departed_server_forgotten server={}", member.info.id);
            }
            excess.push(member.info.id.clone());
        }
        excess
    }
}
