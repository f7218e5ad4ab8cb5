//! What routers are told: the lease in answer to each renewal, and news in turns.
//!
//! An answer carries the lease and nothing else, so that it is small and never late. News goes out by itself, to so many
//! sessions a tick, each of which has one news under way at most: what changes meanwhile is told with the next one, once the
//! router has said that it knows the last. Nothing queues up for a router that is slow, and none is told twice what it took.

use super::{Controller, Leadership, Output, SETTLED};
use crate::message::{ConfigUpdate, LeaseRequest, RouterMessage};
use crate::term::Term;
use crate::text_delta::TextDelta;
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
pub(super) struct UpdateDistributor {
    /// The session that was told last: the next turn begins behind it.
    last: u64,
    /// The configuration's epoch that the newest number covers.
    epoch: u64,
    shared: Vec<CachedUpdate>,
    /// How many routers there are; 0 while that isn't known.
    routers: u32,
    /// Services of whose primary routers are to tell what they saw.
    evidence_wanted: Vec<String>,
    /// Counts how often others were added to these.
    wants: u64,
}

impl UpdateDistributor {
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
struct CachedUpdate {
    /// The number after which it tells what changed; 0 for all there is.
    after: u64,
    /// The configuration of those that lack the newest one, which is with it then.
    config_since: Option<u64>,
    /// Up to which number, and which configuration, it tells.
    number: u64,
    epoch: u64,
    made: f64,
    news: Rc<RouterMessage>,
}

impl Controller {
    pub(super) fn elsewhere(&self) -> RouterMessage {
        let leader = self
            .leader()
            .filter(|l| *l != self.me || self.lead.is_some());
        RouterMessage::NotLeader {
            leader,
            voters: self.voters(),
        }
    }

    /// Tells routers what they don't know yet, as many as have their turn. To be called at each tick.
    pub(super) fn tell_all(&mut self, now: f64, out: &mut Vec<Output>) {
        if now >= self.consensus.authority_until() {
            return;
        }
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        // What came in one step is told under one number: changes come in crowds.
        if std::mem::take(&mut self.news_due) || lead.telling.epoch < self.current.config_epoch {
            lead.number += 1;
            lead.telling.epoch = self.current.config_epoch;
        }
        let settled = now - lead.since >= SETTLED;
        lead.telling.routers = if settled {
            lead.leases.recently_seen(now, self.timing.lease_duration) as u32
        } else {
            0
        };
        let number = lead.number;
        lead.telling
            .shared
            .retain(|s| s.number == number || now - s.made < WHOLE_KEPT);
        for id in next_turns(&lead, self.current.config_epoch) {
            let news = self.tell(now, &mut lead, id);
            out.extend(news.map(|news| Output::SendUpdate(id, news)));
        }
        self.ask_for_evidence(now, &mut lead, out);
        self.lead = Some(lead);
    }

    /// Whoever wasn't told yet of which primaries evidence is wanted is asked at once: its next renewal may come too late.
    fn ask_for_evidence(&self, now: f64, lead: &mut Leadership, out: &mut Vec<Output>) {
        let (most, wants) = (lead.turns.share(SESSIONS_A_TICK), lead.telling.wants);
        let due = |s: &Session| s.wants_told < wants && now - s.asked_at > EVIDENCE_AGAIN;
        if lead.telling.evidence_wanted.is_empty() || !lead.sessions.values().any(due) {
            return;
        }
        let term = Term(lead.fencing_token);
        let due = lead
            .sessions
            .iter_mut()
            .filter(|(_, s)| due(s) && !s.is_under_way());
        for (id, session) in due.take(most) {
            (session.wants_told, session.asked_at) = (wants, now);
            let question = RouterMessage::Update {
                update_watermark: (term, session.confirmed),
                request_sent_at: None,
                lease_duration: 0.0,
                is_snapshot: false,
                grants: Vec::new(),
                members: Vec::new(),
                config: None,
                voters: Vec::new(),
                router_count: 0,
                health_reports_wanted: lead.telling.evidence_wanted.clone(),
            };
            out.push(Output::SendToRouter(*id, question));
        }
    }

    /// What this session lacks, which counts as told from now on.
    fn tell(&self, now: f64, lead: &mut Leadership, id: u64) -> Option<Rc<RouterMessage>> {
        let session = lead.sessions.get(&id)?;
        let (after, floor) = (session.told, session.floor);
        let lacks = session.epoch < self.current.config_epoch;
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
        lead: &mut Leadership,
        (after, floor): (u64, u64),
        config_since: Option<u64>,
    ) -> CachedUpdate {
        let fits = |s: &&CachedUpdate| {
            let newest = s.number == lead.number && s.epoch == self.current.config_epoch;
            let enough = newest || after == 0 && s.number >= floor;
            s.after == after && s.config_since == config_since && enough
        };
        if let Some(found) = lead.telling.shared.iter().find(fits) {
            return found.clone();
        }
        let news = Rc::new(self.news(lead, after, config_since));
        let epoch = if config_since.is_some() {
            self.current.config_epoch
        } else {
            0
        };
        let made = CachedUpdate {
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
    fn news(&self, lead: &Leadership, after: u64, config_since: Option<u64>) -> RouterMessage {
        let whole = after == 0;
        let members = self
            .members
            .all()
            .filter(|m| m.changed_in_update > after && !(whole && m.info.departed));
        RouterMessage::Update {
            update_watermark: (Term(lead.fencing_token), lead.number),
            request_sent_at: None,
            lease_duration: 0.0,
            is_snapshot: whole,
            grants: lead
                .grants
                .values()
                .filter(|g| g.stamp > after)
                .map(|g| g.news.clone())
                .collect(),
            members: members.map(|m| m.info.clone()).collect(),
            config: config_since.map(|epoch| self.config_news(epoch)),
            voters: self.voters(),
            router_count: lead.telling.routers,
            health_reports_wanted: lead.telling.evidence_wanted.clone(),
        }
    }

    /// The configuration, for routers that go by the one of this epoch: the changes, where they are known and shorter.
    fn config_news(&self, epoch: u64) -> ConfigUpdate {
        let whole = || ConfigUpdate::Full(self.current.config.clone());
        let changes = self
            .consensus
            .history()
            .config_deltas(epoch, self.current.config_epoch);
        let size =
            |changes: &[Rc<TextDelta>]| changes.iter().map(|change| change.size()).sum::<usize>();
        let shorter = changes.filter(|changes| size(changes) < self.current.config.len());
        shorter.map_or_else(whole, ConfigUpdate::Deltas)
    }

    /// A router asks for its lease on this session.
    pub fn handle_lease_request(
        &mut self,
        now: f64,
        session: u64,
        call: LeaseRequest,
    ) -> Vec<Output> {
        let authority = self.consensus.authority_until();
        if self.lead.is_some() && now >= authority + 0.5 * self.timing.election_timeout {
            // Cut off from the others: somebody else may lead by now.
            let elsewhere = RouterMessage::NotLeader {
                leader: None,
                voters: self.voters(),
            };
            return vec![Output::SendToRouter(session, elsewhere)];
        }
        let (elsewhere, voters) = (self.elsewhere(), self.voters());
        let Some(lead) = &mut self.lead else {
            return vec![Output::SendToRouter(session, elsewhere)];
        };
        for seen in &call.health_reports {
            let answered = now - seen.answered_seconds_ago;
            if let Some(failover) = lead.services.get_mut(&seen.service) {
                failover.health_reported(&seen.server_id, answered);
            }
            // Whoever answers a router is there, though control doesn't reach it.
            self.members.seen_alive(answered, &seen.server_id);
        }
        let term = Term(lead.fencing_token);
        let known = if call.update_watermark.0 == term {
            call.update_watermark.1
        } else {
            0
        };
        let floor = lead
            .leases
            .acknowledged(&call.router, call.process_incarnation);
        let of = lead
            .sessions
            .entry(session)
            .or_insert_with(|| Session::new(call.router.clone(), known, floor, call.config_epoch));
        of.confirm(now, known, call.config_epoch);
        of.wants_told = lead.telling.wants;
        // Whoever was told nothing by this leader has no grants that a lease could cover.
        let may_hold = of.confirmed > 0
            && lead
                .leases
                .may_renew(now, &call.router, call.process_incarnation, known);
        let leased = now < authority && may_hold;
        let lease = if leased {
            self.timing.lease_duration
        } else {
            0.0
        };
        if now < authority {
            lead.leases
                .renew(now, &call.router, call.process_incarnation, known, lease);
        }
        let answer = RouterMessage::Update {
            update_watermark: (term, of.confirmed),
            request_sent_at: Some(call.sent_at),
            lease_duration: lease,
            is_snapshot: false,
            grants: Vec::new(),
            members: Vec::new(),
            config: None,
            voters,
            router_count: lead.telling.routers,
            health_reports_wanted: lead.telling.evidence_wanted.clone(),
        };
        vec![Output::SendToRouter(session, answer)]
    }

    /// A session's connection has ended. The lease that its router holds goes on.
    pub fn session_closed(&mut self, session: u64) {
        if let Some(lead) = &mut self.lead
            && let Some(session) = lead.sessions.remove(&session)
        {
            log::debug!("event=session_ended router={}", session.router);
        }
    }
}

/// The sessions that are told something in this tick: those that lack something and have nothing under way, in turn.
fn next_turns(lead: &Leadership, epoch: u64) -> Vec<u64> {
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
