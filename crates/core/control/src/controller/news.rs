//! What routers are told: the lease in answer to each renewal, and news in turns.
//!
//! An answer carries the lease and nothing else, so that it is small and never late. News goes out by itself, to so many
//! sessions a tick, each of which has one news under way at most: what changes meanwhile is told with the next one, once the
//! router has said that it knows the last. Nothing queues up for a router that is slow, and none is told twice what it took.

use super::{Controller, Lead, Output, SETTLED};
use crate::ballot::Ballot;
use crate::difference::Difference;
use crate::message::{ConfigNews, ToControl, ToRouter};
use std::rc::Rc;

/// To so many sessions news goes in one tick, at most.
pub(crate) const SESSIONS_A_TICK: usize = 64;
/// News that is not confirmed within so many seconds is told again; the span doubles each time, up to [`MOST_PATIENCE`].
const PATIENCE: f64 = 1.0;
const MOST_PATIENCE: f64 = 8.0;
/// All there is to tell is put together this often at most, in seconds: a session that is told an older whole is told the rest
/// with its next news.
const WHOLE_KEPT: f64 = 0.25;
/// A router is asked for evidence out of turn this often at most, in seconds.
const EVIDENCE_AGAIN: f64 = 0.2;
/// News that is kept to be shared, at most.
const SHARED: usize = 8;

/// The connection of one router.
#[derive(Clone, Debug)]
pub(super) struct Session {
    router: String,
    /// Up to which number it was told; 0 if nothing of this leader.
    told: u64,
    /// Up to which number it said that it knows.
    confirmed: u64,
    /// The router knew news up to this number on a session before: what it is told is never older.
    floor: u64,
    /// The configuration that it was told.
    epoch: u64,
    /// When it was last told something.
    told_at: f64,
    /// News counts as lost after so many seconds.
    patience: f64,
    /// Which want of evidence it was told of, and when that was out of turn.
    wants_told: u64,
    asked_at: f64,
}

impl Session {
    fn new(router: String, known: u64, floor: u64, epoch: u64) -> Session {
        Session {
            router,
            told: known,
            confirmed: known,
            floor,
            epoch,
            told_at: f64::NEG_INFINITY,
            patience: PATIENCE,
            wants_told: 0,
            asked_at: f64::NEG_INFINITY,
        }
    }

    fn is_under_way(&self) -> bool {
        self.told > self.confirmed
    }

    /// The router says up to where it knows the news, and which configuration it goes by: 0 if it could make nothing of what
    /// it was told.
    fn confirm(&mut self, now: f64, known: u64, epoch: u64) {
        if known > self.confirmed {
            // Something came through: what was told after that is not waited for any longer than at first.
            self.confirmed = known;
            self.patience = PATIENCE;
        }
        if !self.is_under_way() {
            self.epoch = epoch;
        } else if now - self.told_at > self.patience {
            self.patience = (2.0 * self.patience).min(MOST_PATIENCE);
            self.told = self.confirmed;
            self.epoch = epoch;
        }
    }
}

/// What a leader keeps to tell its sessions.
#[derive(Clone, Debug, Default)]
pub(super) struct Telling {
    /// The session that was told last: the next turn begins behind it.
    last: u64,
    /// The configuration's epoch that the newest number covers.
    epoch: u64,
    shared: Vec<Shared>,
    /// How many routers there are; 0 while that isn't known.
    routers: u32,
    /// Services of whose primary routers are to tell what they saw.
    evidence_wanted: Vec<String>,
    /// Counts how often others were added to these.
    wants: u64,
}

impl Telling {
    /// Routers are to tell what they saw of the primaries of these services.
    pub(super) fn want_evidence(&mut self, services: Vec<String>) {
        let added = services
            .iter()
            .any(|service| !self.evidence_wanted.contains(service));
        self.wants += u64::from(added);
        self.evidence_wanted = services;
    }
}

/// News for all sessions that lack the same.
#[derive(Clone, Debug)]
struct Shared {
    /// The number after which it tells what changed; 0 for all there is.
    after: u64,
    /// The configuration of those that lack the newest one, which is with it then.
    config_since: Option<u64>,
    /// Up to which number, and which configuration, it tells.
    number: u64,
    epoch: u64,
    made: f64,
    news: Rc<ToRouter>,
}

impl Controller {
    pub(super) fn elsewhere(&self) -> ToRouter {
        let leader = self
            .leader()
            .filter(|l| *l != self.me || self.lead.is_some());
        ToRouter::Elsewhere {
            leader,
            voters: self.voters(),
        }
    }

    /// Tells routers what they don't know yet, as many as have their turn. To be called at each tick.
    pub(super) fn tell_all(&mut self, now: f64, out: &mut Vec<Output>) {
        if now >= self.consensus.authority() {
            return;
        }
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        // What came in one step is told under one number: changes come in crowds.
        if std::mem::take(&mut self.news_due) || lead.telling.epoch < self.current.epoch {
            lead.number += 1;
            lead.telling.epoch = self.current.epoch;
        }
        let settled = now - lead.since >= SETTLED;
        lead.telling.routers = if settled {
            lead.leases.present(now, self.timing.lease) as u32
        } else {
            0
        };
        let number = lead.number;
        lead.telling
            .shared
            .retain(|s| s.number == number || now - s.made < WHOLE_KEPT);
        for id in next_turns(&lead, self.current.epoch) {
            let news = self.tell(now, &mut lead, id);
            out.extend(news.map(|news| Output::News(id, news)));
        }
        self.ask_for_evidence(now, &mut lead, out);
        self.lead = Some(lead);
    }

    /// Whoever wasn't told yet of which primaries evidence is wanted is asked at once: its next renewal may come too late.
    fn ask_for_evidence(&self, now: f64, lead: &mut Lead, out: &mut Vec<Output>) {
        let (most, wants) = (lead.turns.share(SESSIONS_A_TICK), lead.telling.wants);
        let due = |s: &Session| s.wants_told < wants && now - s.asked_at > EVIDENCE_AGAIN;
        if lead.telling.evidence_wanted.is_empty() || !lead.sessions.values().any(due) {
            return;
        }
        let ballot = Ballot(lead.fence);
        let due = lead
            .sessions
            .iter_mut()
            .filter(|(_, s)| due(s) && !s.is_under_way());
        for (id, session) in due.take(most) {
            (session.wants_told, session.asked_at) = (wants, now);
            let question = ToRouter::News {
                known: (ballot, session.confirmed),
                sent: None,
                lease: 0.0,
                whole: false,
                grants: Vec::new(),
                members: Vec::new(),
                config: None,
                voters: Vec::new(),
                routers: 0,
                evidence_wanted: lead.telling.evidence_wanted.clone(),
            };
            out.push(Output::Router(*id, question));
        }
    }

    /// What this session lacks, which counts as told from now on.
    fn tell(&self, now: f64, lead: &mut Lead, id: u64) -> Option<Rc<ToRouter>> {
        let session = lead.sessions.get(&id)?;
        let (after, floor) = (session.told, session.floor);
        let lacks = session.epoch < self.current.epoch;
        let shared = self.shared(now, lead, (after, floor), lacks.then_some(session.epoch));
        let session = lead.sessions.get_mut(&id)?;
        session.told = shared.number;
        session.epoch = session.epoch.max(shared.epoch);
        session.told_at = now;
        lead.telling.last = id;
        Some(shared.news)
    }

    /// What changed after this number, or all there is. An older whole does as well where the router never knew more than `floor`.
    fn shared(
        &self,
        now: f64,
        lead: &mut Lead,
        (after, floor): (u64, u64),
        config_since: Option<u64>,
    ) -> Shared {
        let fits = |s: &&Shared| {
            let newest = s.number == lead.number && s.epoch == self.current.epoch;
            let enough = newest || after == 0 && s.number >= floor;
            s.after == after && s.config_since == config_since && enough
        };
        if let Some(found) = lead.telling.shared.iter().find(fits) {
            return found.clone();
        }
        let news = Rc::new(self.news(lead, after, config_since));
        let epoch = if config_since.is_some() {
            self.current.epoch
        } else {
            0
        };
        let made = Shared {
            after,
            config_since,
            number: lead.number,
            epoch,
            made: now,
            news,
        };
        if lead.telling.shared.len() >= SHARED {
            lead.telling.shared.remove(0);
        }
        lead.telling.shared.push(made.clone());
        made
    }

    /// All that changed after this number.
    fn news(&self, lead: &Lead, after: u64, config_since: Option<u64>) -> ToRouter {
        let whole = after == 0;
        let members = self
            .members
            .all()
            .filter(|m| m.stamp > after && !(whole && m.news.gone));
        ToRouter::News {
            known: (Ballot(lead.fence), lead.number),
            sent: None,
            lease: 0.0,
            whole,
            grants: lead
                .grants
                .values()
                .filter(|g| g.stamp > after)
                .map(|g| g.news.clone())
                .collect(),
            members: members.map(|m| m.news.clone()).collect(),
            config: config_since.map(|epoch| self.config_news(epoch)),
            voters: self.voters(),
            routers: lead.telling.routers,
            evidence_wanted: lead.telling.evidence_wanted.clone(),
        }
    }

    /// The configuration, for routers that go by the one of this epoch: the changes, where they are known and shorter.
    fn config_news(&self, epoch: u64) -> ConfigNews {
        let whole = || ConfigNews::Whole(self.current.config.clone());
        let changes = self
            .consensus
            .history()
            .configs_between(epoch, self.current.epoch);
        let size =
            |changes: &[Rc<Difference>]| changes.iter().map(|change| change.size()).sum::<usize>();
        let shorter = changes.filter(|changes| size(changes) < self.current.config.len());
        shorter.map_or_else(whole, ConfigNews::Changes)
    }

    /// A router asks for its lease on this session.
    pub fn router(&mut self, now: f64, session: u64, call: ToControl) -> Vec<Output> {
        let authority = self.consensus.authority();
        if self.lead.is_some() && now >= authority + 0.5 * self.timing.suspect {
            // Cut off from the others: somebody else may lead by now.
            let elsewhere = ToRouter::Elsewhere {
                leader: None,
                voters: self.voters(),
            };
            return vec![Output::Router(session, elsewhere)];
        }
        let (elsewhere, voters) = (self.elsewhere(), self.voters());
        let Some(lead) = &mut self.lead else {
            return vec![Output::Router(session, elsewhere)];
        };
        for seen in &call.evidence {
            let answered = now - seen.answered;
            if let Some(failover) = lead.services.get_mut(&seen.service) {
                failover.evidence(&seen.id, answered);
            }
            // Whoever answers a router is there, though control doesn't reach it.
            self.members.answered(answered, &seen.id);
        }
        let ballot = Ballot(lead.fence);
        let known = if call.known.0 == ballot {
            call.known.1
        } else {
            0
        };
        let floor = lead.leases.known(&call.router, call.life);
        let of = lead
            .sessions
            .entry(session)
            .or_insert_with(|| Session::new(call.router.clone(), known, floor, call.epoch));
        of.confirm(now, known, call.epoch);
        of.wants_told = lead.telling.wants;
        // Whoever was told nothing by this leader has no grants that a lease could cover.
        let may_hold =
            of.confirmed > 0 && lead.leases.may_hold(now, &call.router, call.life, known);
        let leased = now < authority && may_hold;
        let lease = if leased { self.timing.lease } else { 0.0 };
        if now < authority {
            lead.leases
                .renew(now, &call.router, call.life, known, lease);
        }
        let answer = ToRouter::News {
            known: (ballot, of.confirmed),
            sent: Some(call.sent),
            lease,
            whole: false,
            grants: Vec::new(),
            members: Vec::new(),
            config: None,
            voters,
            routers: lead.telling.routers,
            evidence_wanted: lead.telling.evidence_wanted.clone(),
        };
        vec![Output::Router(session, answer)]
    }

    /// A session's connection has ended. The lease that its router holds goes on.
    pub fn gone(&mut self, session: u64) {
        if let Some(lead) = &mut self.lead
            && let Some(session) = lead.sessions.remove(&session)
        {
            log::debug!("event=session_ended router={}", session.router);
        }
    }
}

/// The sessions that are told something in this tick: those that lack something and have nothing under way, in turn.
fn next_turns(lead: &Lead, epoch: u64) -> Vec<u64> {
    let last = lead.telling.last;
    let behind = lead
        .sessions
        .range(last + 1..)
        .chain(lead.sessions.range(..=last));
    let lacks = |s: &Session| s.told < lead.number || s.epoch < epoch;
    let due = behind.filter(|(_, s)| !s.is_under_way() && lacks(s));
    due.map(|(id, _)| *id)
        .take(lead.turns.share(SESSIONS_A_TICK))
        .collect()
}
