//! The database servers, as their heartbeats tell them.

use crate::message::MemberInfo;
use std::collections::{BTreeMap, BTreeSet};

/// Where a server stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// In service.
    Ready,
    /// It leaves.
    Draining,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The service that it belongs to.
    pub service: String,
    /// Address and port.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// How much it works on at once.
    pub slots: u32,
    /// Where it stands.
    pub phase: MemberPhase,
    /// Rises with every call of this server.
    pub call_seq: u64,
}

/// A server that is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// As told to others.
    pub info: MemberInfo,
    /// When it was last heard of, in seconds.
    pub last_seen: f64,
    /// When it first said that it leaves, in seconds.
    pub draining_since: Option<f64>,
    /// The number of the change that made it so.
    pub changed_in_update: u64,
    /// A majority of the control machines has said that it knows this, too.
    pub majority_knows: bool,
}

/// Whether this must be on disks before it is acknowledged: nothing new goes to a server that leaves, though all control machines
/// lose power and its beats stay away. That a server departs undrained is told by no beat again anyway.
pub(crate) fn outlives_power_loss(news: &MemberInfo) -> bool {
    news.draining && !news.departed
}

impl Member {
    /// Whether that one was heard at its address since it was heard itself.
    fn is_succeeded_by(&self, other: &Member) -> bool {
        self.shares_address_with(other) && other.last_seen > self.last_seen
    }

    /// Whether that is another server of its service at its address.
    fn shares_address_with(&self, other: &Member) -> bool {
        let (this, other) = (&self.info, &other.info);
        this.id != other.id && this.service == other.service && this.endpoint == other.endpoint
    }
}

/// A server that left or timed out, as long as it is remembered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DepartedMember {
    /// Its id.
    pub id: String,
    /// From then on it received nothing and acknowledged nothing, in seconds.
    pub inactive_since: f64,
}

/// All servers by id.
#[derive(Clone, Debug, Default)]
pub struct MemberRegistry {
    all: BTreeMap<String, Member>,
    /// Ids by service, also of those that have left: a step of a service looks at its own only.
    services: BTreeMap<String, BTreeSet<String>>,
    changes: u64,
}

/// The number of the call of a server that leaves without having drained: no beat counts any more, only that it has ended.
const LEAVING: u64 = u64::MAX - 1;
/// The number of the call of a server that has ended.
const ENDED: u64 = u64::MAX;
/// A server that leaves sends no beats that count: it is forgotten after so many times the silence of others, by when it has
/// ended.
const LEAVING_SILENCES: f64 = 4.0;
/// Whoever lives is heard again within so many heartbeats.
const HEARTBEATS: f64 = 2.0;
/// A server that has said that it ends takes part in nothing after so many seconds.
const ENDS_WITHIN: f64 = 0.1;
/// Whoever left is remembered for so many seconds, so that a beat that comes late doesn't bring it back.
const REMEMBERED: f64 = 60.0;

impl MemberRegistry {
    /// Takes a heartbeat; true if it tells something new. `silent_s` is not needed here: silence is judged by [`MemberRegistry::expire`].
    pub fn heartbeat(
        &mut self,
        now: f64,
        id: &str,
        beat: &Heartbeat,
        stamp: u64,
    ) -> Option<MemberInfo> {
        let news = MemberInfo {
            id: id.to_owned(),
            service: beat.service.clone(),
            endpoint: beat.endpoint.clone(),
            zone: beat.zone.clone(),
            slots: beat.slots,
            draining: beat.phase == MemberPhase::Draining,
            departed: false,
            call_seq: beat.call_seq,
        };
        self.merge(now, news.clone(), stamp).then_some(news)
    }

    /// A server says that it leaves. One that has drained ends now; any other serves on for as long as one that drains, and
    /// counts for its primary meanwhile.
    pub fn depart(&mut self, now: f64, id: &str, stamp: u64) -> Option<MemberInfo> {
        let member = self.all.get(id)?;
        let news = match (member.info.call_seq, member.info.draining) {
            // The same call once more.
            (LEAVING, _) => return None,
            (_, true) => MemberInfo {
                departed: true,
                call_seq: ENDED,
                ..member.info.clone()
            },
            (_, false) => MemberInfo {
                draining: true,
                call_seq: LEAVING,
                ..member.info.clone()
            },
        };
        self.merge(now, news.clone(), stamp).then_some(news)
    }

    /// Nobody listens at the address of this server any more: one that was leaving has ended. What is new by that.
    pub(crate) fn refused(&mut self, now: f64, id: &str, stamp: u64) -> Option<MemberInfo> {
        let member = self
            .all
            .get(id)
            .filter(|member| member.info.call_seq == LEAVING && !member.info.departed)?;
        let news = MemberInfo {
            departed: true,
            call_seq: ENDED,
            ..member.info.clone()
        };
        self.merge(now, news.clone(), stamp).then_some(news)
    }

    /// Whether there is, or was a while ago, a server with this id.
    pub(crate) fn knows(&self, id: &str) -> bool {
        self.all.contains_key(id)
    }

    /// Takes what a beat or another machine tells; true if it is newer than what was known.
    pub fn merge(&mut self, now: f64, news: MemberInfo, stamp: u64) -> bool {
        let Some(member) = self.all.get_mut(&news.id) else {
            let draining_since = news.draining.then_some(now);
            self.services
                .entry(news.service.clone())
                .or_default()
                .insert(news.id.clone());
            self.all.insert(
                news.id.clone(),
                Member {
                    info: news,
                    last_seen: now,
                    draining_since,
                    changed_in_update: stamp,
                    majority_knows: false,
                },
            );
            self.changes += 1;
            return true;
        };
        // Calls may arrive late or twice; only what is newer counts, also of one who seemed to have left by silence.
        if news.call_seq <= member.info.call_seq {
            return false;
        }
        let same = MemberInfo {
            call_seq: news.call_seq,
            ..member.info.clone()
        } == news;
        if news.draining && member.draining_since.is_none() {
            member.draining_since = Some(now);
        }
        member.last_seen = now;
        if member.info.service != news.service {
            self.services
                .entry(news.service.clone())
                .or_default()
                .insert(news.id.clone());
        }
        member.info = news;
        if !same {
            member.changed_in_update = stamp;
            member.majority_knows = false;
            self.changes += 1;
        }
        true
    }

    /// Whether a majority of the control machines knows what is known here of this one; also of one that is unknown.
    pub(crate) fn majority_knows(&self, id: &str) -> bool {
        self.all.get(id).is_none_or(|m| m.majority_knows)
    }

    /// A majority of the control machines knows this, if nothing has changed since.
    pub(crate) fn mark_majority_knows(&mut self, news: &MemberInfo) {
        if let Some(member) = self.all.get_mut(&news.id) {
            let same = MemberInfo {
                call_seq: news.call_seq,
                ..member.info.clone()
            } == *news;
            member.majority_knows |= same;
        }
    }

    /// It answered a question of ours, or a router's, at that second: it is there, whoever takes its beats.
    pub fn seen_alive(&mut self, at: f64, id: &str) {
        if let Some(member) = self.all.get_mut(id).filter(|m| !m.info.departed) {
            member.last_seen = member.last_seen.max(at);
        }
    }

    /// Forgets who has not been heard of for so many seconds. True if somebody was.
    pub fn expire(&mut self, now: f64, silent_s: f64, stamp: u64) -> bool {
        let mut swept = false;
        let silent = |m: &Member| {
            let leaving = m.info.call_seq == LEAVING;
            now - m.last_seen
                > if leaving {
                    LEAVING_SILENCES * silent_s
                } else {
                    silent_s
                }
        };
        for member in self
            .all
            .values_mut()
            .filter(|m| !m.info.departed && silent(m))
        {
            member.info.departed = true;
            member.majority_knows = false;
            member.changed_in_update = stamp;
            swept = true;
            self.changes += 1;
        }
        let (all, services) = (&mut self.all, &mut self.services);
        all.retain(|id, m| {
            let kept = !m.info.departed || now - m.last_seen < REMEMBERED;
            if !kept {
                services.values_mut().for_each(|ids| {
                    ids.remove(id);
                });
            }
            kept
        });
        services.retain(|_, ids| !ids.is_empty());
        swept
    }

    /// Counts what changed but for being heard of again.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Those that have not left, as they are kept for a life after this one: any beat is newer, but for that of a server that
    /// leaves, which an older one doesn't bring back.
    pub fn to_persist(&self) -> Vec<MemberInfo> {
        let all = self.all.values().filter(|m| !m.info.departed);
        let call_seq = |m: &Member| {
            if outlives_power_loss(&m.info) {
                m.info.call_seq
            } else {
                0
            }
        };
        all.map(|m| MemberInfo {
            call_seq: call_seq(m),
            ..m.info.clone()
        })
        .collect()
    }

    /// Takes what was kept in a life before this one. For how long a server had been draining isn't known: it counts as so many
    /// seconds.
    pub fn restore(&mut self, now: f64, kept: Vec<MemberInfo>, drained: f64) {
        for news in kept {
            let (id, draining) = (news.id.clone(), news.draining);
            self.merge(now, news, 0);
            if let Some(member) = self.all.get_mut(&id)
                && draining
            {
                member.draining_since = Some(now - drained);
            }
        }
    }

    /// What is known of this one counts as changed under that number: a new leader tells all of it.
    pub(crate) fn restamp(&mut self, id: &str, stamp: u64) {
        if let Some(member) = self.all.get_mut(id) {
            member.changed_in_update = stamp;
        }
    }

    /// The one with this id, unless it has left.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.all.get(id).filter(|m| !m.info.departed)
    }

    /// Those of a service that have not left.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.named(service).filter(|m| !m.info.departed)
    }

    fn named<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.all.get(id))
            .filter(move |m| m.info.service == service)
    }

    /// Whether the last change of this one was told under this number.
    pub(crate) fn is_stamped(&self, id: &str, stamp: u64) -> bool {
        self.all
            .get(id)
            .is_some_and(|m| m.changed_in_update == stamp)
    }

    /// Those of a service that left or fell silent, as far as they are remembered, and from when on they took part in
    /// nothing: whoever lives sends beats.
    pub(crate) fn departed_of(&self, service: &str, heartbeat: f64) -> Vec<DepartedMember> {
        let gone = self
            .named(service)
            .filter(|m| m.info.departed && !self.is_succeeded(m));
        let goes_on = |m: &Member| match m.info.call_seq {
            ENDED => ENDS_WITHIN,
            LEAVING => LEAVING_SILENCES * HEARTBEATS * heartbeat,
            _ => HEARTBEATS * heartbeat,
        };
        let since = |m: &Member| m.last_seen + goes_on(m);
        gone.map(|m| DepartedMember {
            id: m.info.id.clone(),
            inactive_since: since(m),
        })
        .collect()
    }

    /// Whether the second server has taken the place of the first one: whoever is new at the address of a server of its
    /// service has that one's log.
    pub(crate) fn succeeds(&self, old: &str, new: &str) -> bool {
        let (Some(old), Some(new)) = (self.all.get(old), self.get(new)) else {
            return false;
        };
        old.is_succeeded_by(new)
    }

    /// Whether these are two servers of one service at one address.
    pub(crate) fn share_an_address(&self, one: &str, other: &str) -> bool {
        let (Some(one), Some(other)) = (self.all.get(one), self.all.get(other)) else {
            return false;
        };
        one.shares_address_with(other)
    }

    /// Whether another server was heard at the address of this one since.
    fn is_succeeded(&self, member: &Member) -> bool {
        self.named(&member.info.service)
            .any(|other| member.is_succeeded_by(other))
    }

    /// All, also those that have left and are still remembered.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.all.values()
    }

    /// The services that have members.
    pub fn services(&self) -> Vec<String> {
        self.services
            .keys()
            .filter(|s| self.of_service(s).next().is_some())
            .cloned()
            .collect()
    }
}
