//! The messages of the leader to routers: a lease in response to each lease request, and updates.
//!
//! A response carries the lease and no changes, so that it is small and never late. Updates are
//! numbered and sent separately, to a bounded number of sessions in each tick. Each session has at
//! most one update in flight. Further changes are sent with the next update, after the router has
//! acknowledged the last one. So nothing queues up for a slow router, and no router is sent
//! anything again that it has acknowledged.

use super::grants::Grants;
use super::router_session::{MissingUpdates, RouterSession};
use super::{Controller, Output};
use crate::change_history::ChangeHistory;
use crate::members::MemberRegistry;
use crate::message::{
    ACKNOWLEDGED_POSITIONS, ConfigUpdate, HealthReport, LeaseRequest, ReportingLeaseRequest,
    RouterMessage,
};
use crate::state::State;
use crate::term::Term;
use crate::text_delta::TextDelta;
use crate::voter_set::NodeId;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of sessions to which updates are sent in one tick.
pub(crate) const MAX_UPDATED_SESSIONS_PER_TICK: usize = 64;
/// Time for which a snapshot is sent to sessions that have no update of this leader yet, although a
/// newer snapshot could be built. They get the later changes with their next update.
const SNAPSHOT_REUSE_S: f64 = 0.25;
/// Maximum number of updates that are kept to be shared by sessions.
const MAX_CACHED_UPDATES: usize = 8;
/// A leader knows the number of routers after this time: by then each router has requested a lease.
const ROUTER_COUNT_KNOWN_AFTER_S: f64 = 2.0;
/// A leader whose authority ended this many election timeouts ago tells its routers that it isn't
/// the leader, so that they look for another one.
const LOST_CONTACT_ELECTION_TIMEOUTS: f64 = 0.5;

/// The data from which updates are built.
struct UpdateSources<'a> {
    committed: &'a State,
    history: &'a ChangeHistory,
    members: &'a MemberRegistry,
    grants: &'a Grants,
    voters: Vec<NodeId>,
}

/// An update for all sessions that lack the same changes.
#[derive(Clone, Debug)]
struct CachedUpdate {
    /// The update contains the changes after the update with this number; 0 for a snapshot.
    after_number: u64,
    /// The epoch of the configuration that the recipients have, if the update contains the newest
    /// one.
    base_config_epoch: Option<u64>,
    number: u64,
    /// The epoch of the configuration that the update contains; 0 for none.
    config_epoch: u64,
    created_at: f64,
    message: Rc<RouterMessage>,
}

/// The routers' sessions with this leader, and the updates for them.
#[derive(Clone, Debug)]
pub(super) struct RouterUpdates {
    term: Term,
    /// The number of the newest update.
    number: u64,
    /// The epoch of the committed configuration when the newest update was begun.
    config_epoch: u64,
    sessions: BTreeMap<u64, RouterSession>,
    /// The session that was last sent an update. The next turns begin with the session after it.
    last_session: u64,
    cache: Vec<CachedUpdate>,
    /// Number of routers that share the servers; 0 while it isn't known.
    router_count: u32,
    /// The services on whose servers routers are to report.
    health_reports_wanted: Vec<String>,
    /// Rises whenever services are added to `health_reports_wanted`.
    health_request_id: u64,
}

impl RouterUpdates {
    /// Creates the updates of the leader of this term, without any sessions.
    pub(super) fn new(term: Term) -> RouterUpdates {
        RouterUpdates {
            term,
            number: 1,
            config_epoch: 0,
            sessions: BTreeMap::new(),
            last_session: 0,
            cache: Vec::new(),
            router_count: 0,
            health_reports_wanted: Vec::new(),
            health_request_id: 0,
        }
    }

    /// Returns the number of the newest update.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Begins a new update, and returns its number.
    pub(super) fn begin_update(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Sets the services on whose servers routers are to report.
    pub(super) fn set_health_reports_wanted(&mut self, services: Vec<String>) {
        let any_added = services
            .iter()
            .any(|service| !self.health_reports_wanted.contains(service));
        self.health_request_id += u64::from(any_added);
        self.health_reports_wanted = services;
    }

    /// Returns the ids of all sessions.
    pub(super) fn into_session_ids(self) -> impl Iterator<Item = u64> {
        self.sessions.into_keys()
    }

    /// Sends updates to the sessions that have their turn in this tick, at most `max_sessions`.
    fn send_due(
        &mut self,
        now: f64,
        sources: &UpdateSources<'_>,
        max_sessions: usize,
        out: &mut Vec<Output>,
    ) {
        let newest = self.number;
        self.cache
            .retain(|cached| cached.number == newest || now - cached.created_at < SNAPSHOT_REUSE_S);
        for id in self.next_turns(sources.committed.config_epoch, max_sessions) {
            let message = self.next_update(now, sources, id);
            out.extend(message.map(|message| Output::SendUpdate(id, message)));
        }
    }

    /// Returns the sessions that are sent an update in this tick, in round-robin order.
    fn next_turns(&self, config_epoch: u64, max_sessions: usize) -> Vec<u64> {
        self.sessions
            .range(self.last_session + 1..)
            .chain(self.sessions.range(..=self.last_session))
            .filter(|(_, session)| session.is_update_due(self.number, config_epoch))
            .map(|(id, _)| *id)
            .take(max_sessions)
            .collect()
    }

    /// Returns the next update for this session, and records it as sent.
    fn next_update(
        &mut self,
        now: f64,
        sources: &UpdateSources<'_>,
        id: u64,
    ) -> Option<Rc<RouterMessage>> {
        let missing = self
            .sessions
            .get(&id)?
            .missing(sources.committed.config_epoch);
        let update = self.cached_update(now, sources, missing);
        self.sessions
            .get_mut(&id)?
            .update_sent(now, update.number, update.config_epoch);
        self.last_session = id;
        Some(update.message)
    }

    /// Returns an update with what is missing, from the cache if it contains one.
    fn cached_update(
        &mut self,
        now: f64,
        sources: &UpdateSources<'_>,
        missing: MissingUpdates,
    ) -> CachedUpdate {
        let config_epoch = sources.committed.config_epoch;
        let cached = self.cache.iter().find(|cached| {
            let is_newest = cached.number == self.number && cached.config_epoch == config_epoch;
            let is_reusable_snapshot =
                missing.after_number == 0 && cached.number >= missing.min_snapshot_number;
            cached.after_number == missing.after_number
                && cached.base_config_epoch == missing.base_config_epoch
                && (is_newest || is_reusable_snapshot)
        });
        if let Some(cached) = cached {
            return cached.clone();
        }
        let update = CachedUpdate {
            after_number: missing.after_number,
            base_config_epoch: missing.base_config_epoch,
            number: self.number,
            config_epoch: missing.base_config_epoch.map_or(0, |_| config_epoch),
            created_at: now,
            message: Rc::new(self.update_message(sources, missing)),
        };
        if self.cache.len() >= MAX_CACHED_UPDATES {
            self.cache.remove(0);
        }
        self.cache.push(update.clone());
        update
    }

    /// Returns a message with all changes that are missing.
    fn update_message(
        &self,
        sources: &UpdateSources<'_>,
        missing: MissingUpdates,
    ) -> RouterMessage {
        let is_snapshot = missing.after_number == 0;
        let members = sources
            .members
            .all()
            .filter(|member| member.changed_in_update > missing.after_number)
            .filter(|member| !(is_snapshot && member.info.departed))
            .map(|member| member.info.clone());
        RouterMessage::Update {
            update_watermark: (self.term, self.number),
            request_sent_at: None,
            lease_duration: 0.0,
            is_snapshot,
            grants: sources.grants.announced_after(missing.after_number),
            members: members.collect(),
            config: missing
                .base_config_epoch
                .map(|epoch| config_update(sources, epoch)),
            voters: sources.voters.clone(),
            router_count: self.router_count,
            health_reports_wanted: self.reports_wanted(sources.grants),
        }
    }

    /// Returns the services on whose servers routers are to report, and
    /// [`ACKNOWLEDGED_POSITIONS`] while the grant of any service is revoked.
    fn reports_wanted(&self, grants: &Grants) -> Vec<String> {
        let positions = grants
            .is_any_revoked()
            .then(|| ACKNOWLEDGED_POSITIONS.to_owned());
        let services = self.health_reports_wanted.iter().cloned();
        services.chain(positions).collect()
    }

    /// Requests health reports from routers that were not yet sent the newest request. The next
    /// lease response would contain the request too, but may come too late.
    fn request_health_reports(
        &mut self,
        now: f64,
        grants: &Grants,
        max_sessions: usize,
        out: &mut Vec<Output>,
    ) {
        if self.health_reports_wanted.is_empty() {
            return;
        }
        let reports_wanted = self.reports_wanted(grants);
        let request_id = self.health_request_id;
        let due = self
            .sessions
            .iter_mut()
            .filter(|(_, session)| session.is_health_request_due(now, request_id))
            .filter(|(_, session)| session.is_idle());
        for (id, session) in due.take(max_sessions) {
            session.health_requested(now, request_id);
            let request = RouterMessage::Update {
                update_watermark: (self.term, session.acknowledged_number()),
                request_sent_at: None,
                lease_duration: 0.0,
                is_snapshot: false,
                grants: Vec::new(),
                members: Vec::new(),
                config: None,
                voters: Vec::new(),
                router_count: 0,
                health_reports_wanted: reports_wanted.clone(),
            };
            out.push(Output::SendToRouter(*id, request));
        }
    }
}

/// Returns the newest configuration for routers that have the one with this epoch: as deltas, if
/// they are known and shorter than the text, otherwise as the complete text.
fn config_update(sources: &UpdateSources<'_>, epoch: u64) -> ConfigUpdate {
    let config = &sources.committed.config;
    let size = |deltas: &[Rc<TextDelta>]| {
        deltas
            .iter()
            .map(|delta| delta.estimated_bytes())
            .sum::<usize>()
    };
    sources
        .history
        .config_deltas(epoch, sources.committed.config_epoch)
        .filter(|deltas| size(deltas) < config.len())
        .map_or_else(|| ConfigUpdate::Full(config.clone()), ConfigUpdate::Deltas)
}

impl Controller {
    /// Returns the message that tells a router that this machine doesn't lead, with the leader if
    /// this machine knows it.
    pub(super) fn not_leader_message(&self) -> RouterMessage {
        // This machine may have lost its leadership just now and still name itself as the leader.
        let leader = self
            .leader()
            .filter(|leader| *leader != self.node || self.leadership.is_some());
        RouterMessage::NotLeader {
            leader,
            voters: self.voters(),
        }
    }

    /// Sends updates to the routers that have their turn in this tick.
    pub(super) fn send_router_updates(&mut self, now: f64, out: &mut Vec<Output>) {
        if now >= self.consensus.authority_until() {
            return;
        }
        let voters = self.voters();
        let Some(lead) = &mut self.leadership else {
            return;
        };
        // All changes since the last update share one number, since many often come at once.
        let committed_epoch = self.committed.config_epoch;
        if std::mem::take(&mut self.update_due) || lead.updates.config_epoch < committed_epoch {
            lead.updates.begin_update();
            lead.updates.config_epoch = committed_epoch;
        }
        lead.updates.router_count = if now - lead.since >= ROUTER_COUNT_KNOWN_AFTER_S {
            lead.leases
                .recently_seen_count(now, self.config.lease_duration) as u32
        } else {
            0
        };
        let sources = UpdateSources {
            committed: &self.committed,
            history: self.consensus.history(),
            members: &self.members,
            grants: &lead.grants,
            voters,
        };
        let max_sessions = lead.scheduler.budget(MAX_UPDATED_SESSIONS_PER_TICK);
        lead.updates.send_due(now, &sources, max_sessions, out);
        lead.updates
            .request_health_reports(now, &lead.grants, max_sessions, out);
    }

    /// Handles the request of a router for its lease, on this session.
    pub fn handle_lease_request(
        &mut self,
        now: f64,
        session_id: u64,
        request: LeaseRequest,
    ) -> Vec<Output> {
        let response = self.lease_response(now, session_id, request);
        vec![Output::SendToRouter(session_id, response)]
    }

    /// Handles the request of a router for its lease that also says what the router has passed on.
    pub fn handle_reporting_lease_request(
        &mut self,
        now: f64,
        session_id: u64,
        reporting: ReportingLeaseRequest,
    ) -> Vec<Output> {
        let ReportingLeaseRequest {
            request,
            acknowledged_positions,
        } = reporting;
        let router = request.router.clone();
        let incarnation = request.process_incarnation;
        let (term, number) = request.update_watermark;
        let outputs = self.handle_lease_request(now, session_id, request);
        if let Some(lead) = &mut self.leadership
            && lead.updates.term == term
        {
            lead.leases.record_acknowledged_positions(
                &router,
                incarnation,
                number,
                &acknowledged_positions,
            );
        }
        outputs
    }

    fn lease_response(
        &mut self,
        now: f64,
        session_id: u64,
        request: LeaseRequest,
    ) -> RouterMessage {
        if self.leadership.is_none() {
            return self.not_leader_message();
        }
        let lost_contact_at = self.consensus.authority_until()
            + LOST_CONTACT_ELECTION_TIMEOUTS * self.config.election_timeout;
        if now >= lost_contact_at {
            // Another machine may lead by now.
            return RouterMessage::NotLeader {
                leader: None,
                voters: self.voters(),
            };
        }
        self.record_health_reports(now, &request.health_reports);
        self.renew_lease(now, session_id, request)
    }

    fn record_health_reports(&mut self, now: f64, reports: &[HealthReport]) {
        for report in reports {
            let answered_at = now - report.answered_seconds_ago;
            if let Some(failover) = self.failover_mut(&report.service) {
                failover.health_reported(&report.server_id, answered_at);
            }
            // A server that answers a router is alive, even if the control machines can't reach it.
            self.members.seen_alive(answered_at, &report.server_id);
        }
    }

    /// Renews the lease of a router if it may have one, and records the updates that it
    /// acknowledges.
    fn renew_lease(&mut self, now: f64, session_id: u64, request: LeaseRequest) -> RouterMessage {
        let has_authority = now < self.consensus.authority_until();
        let (router, incarnation) = (&request.router, request.process_incarnation);
        let voters = self.voters();
        let Some(lead) = &mut self.leadership else {
            return self.not_leader_message();
        };
        let (term, number) = request.update_watermark;
        let acknowledged = if term == lead.updates.term { number } else { 0 };
        let acknowledged_before = lead.leases.acknowledged_update(router, incarnation);
        let health_request_id = lead.updates.health_request_id;
        let session = lead.updates.sessions.entry(session_id).or_insert_with(|| {
            RouterSession::new(
                router.clone(),
                acknowledged,
                acknowledged_before,
                request.config_epoch,
            )
        });
        session.acknowledge(now, acknowledged, request.config_epoch);
        session.health_requested_in_response(health_request_id);
        // A router without an update of this leader has no grants of this leader that a lease could
        // cover.
        let may_have_lease = session.acknowledged_number() > 0
            && lead
                .leases
                .may_renew(now, router, incarnation, acknowledged);
        let lease_duration = if has_authority && may_have_lease {
            self.config.lease_duration
        } else {
            0.0
        };
        if has_authority {
            lead.leases
                .renew(now, router, incarnation, acknowledged, lease_duration);
        }
        RouterMessage::Update {
            update_watermark: (lead.updates.term, session.acknowledged_number()),
            request_sent_at: Some(request.sent_at),
            lease_duration,
            is_snapshot: false,
            grants: Vec::new(),
            members: Vec::new(),
            config: None,
            voters,
            router_count: lead.updates.router_count,
            health_reports_wanted: lead.updates.reports_wanted(&lead.grants),
        }
    }

    /// Handles the end of a session's connection. The lease of its router stays in force.
    pub fn session_closed(&mut self, session_id: u64) {
        if let Some(lead) = &mut self.leadership
            && let Some(session) = lead.updates.sessions.remove(&session_id)
        {
            log::debug!("event=router_session_closed router={}", session.router());
        }
    }
}
