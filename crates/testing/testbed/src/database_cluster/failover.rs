//! How servers end, start and become primary, and whom replicas follow.

use super::model::{ConnectionId, ConnectionOutput, DatabaseCluster, PendingPromotion, Server};
use badgerstream_line_protocol::Position;

impl DatabaseCluster {
    /// The platform's `POST /promotions`, by the status of its answer: 404 for an unknown service,
    /// 409 for a fencing token below one seen and for a server that doesn't run, else 200. The
    /// promotion itself takes place a moment later; that of the primary does nothing.
    pub fn request_promotion(
        &mut self,
        now: f64,
        service_name: &str,
        server_id: &str,
        fencing_token: u64,
    ) -> u16 {
        self.advance(now);
        let is_primary = self.primary(service_name) == Some(server_id);
        let Some(service) = self.services.get_mut(service_name) else {
            return 404;
        };
        if fencing_token < service.fencing_token && self.fencing {
            return 409;
        }
        service.fencing_token = service.fencing_token.max(fencing_token);
        let server = self.servers.get(server_id);
        if !server.is_some_and(|server| server.service == service_name && server.running) {
            return 409;
        }
        if !is_primary {
            service.promotions.push(PendingPromotion {
                due_at_s: now + self.timing.promotion_s,
                server_id: server_id.to_owned(),
            });
        }
        200
    }

    /// A server's process ends; all its connections break.
    pub fn crash_server(&mut self, now: f64, id: &str) {
        self.advance(now);
        let Some(server) = self.servers.get_mut(id).filter(|server| server.running) else {
            return;
        };
        server.running = false;
        server.connection_count = 0;
        server.paused_for_term = None;
        server.running_jobs.clear();
        server.queue.clear();
        server.unacknowledged.clear();
        let sessions = self.sessions.iter();
        let of_server = sessions.filter(|(_, session)| session.server_id == id);
        let mut broken: Vec<ConnectionId> = of_server.map(|(connection, _)| *connection).collect();
        // The map has no order; outputs must have one.
        broken.sort_unstable();
        for connection in broken {
            self.sessions.remove(&connection);
            self.outputs.push(ConnectionOutput::Close(connection));
        }
        log::info!("event=server_ended id={id}");
    }

    /// A server's process starts again, with the log that it had.
    pub fn start_server(&mut self, now: f64, id: &str) {
        self.advance(now);
        let Some(server) = self.servers.get_mut(id).filter(|server| !server.running) else {
            return;
        };
        let newest_term = self.services[&server.service].term;
        server.running = true;
        server.draining = false;
        server.deposed_at_s = None;
        if server.term < newest_term {
            server.is_primary = false;
        }
        log::info!("event=server_started id={id}");
        let service = server.service.clone();
        self.rejoin_replicas(&service);
    }

    /// A server announces from now on that it drains.
    pub fn drain_server(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.draining = true;
        }
    }

    /// A server becomes the primary of the next term, with the log that it has received and nothing
    /// more; replicas that can follow do so at once.
    pub(super) fn promote(&mut self, service_name: &str, id: &str) {
        if !self.servers[id].running || self.primary(service_name) == Some(id) {
            return;
        }
        let log_end = self.servers[id].replica.received();
        let Some(service) = self.services.get_mut(service_name) else {
            return;
        };
        let old_term = service.term;
        service.term += 1;
        let term = service.term;
        log::info!("event=promoted service={service_name} id={id} term={term} position={log_end}");
        self.record_lost_commits(service_name, log_end);
        self.record_truncated_commits(service_name, old_term, log_end);
        let server = self.server_mut(id);
        server.is_primary = true;
        server.term = term;
        server.paused_for_term = None;
        server.deposed_at_s = None;
        while server.replica.next_unapplied().is_some() {
            server.replica.apply_next();
        }
        let others = self.running_servers(service_name, |server| server.spec.id != id);
        for other in others {
            self.follow_promoted(&other, old_term, log_end);
        }
    }

    /// Acknowledged commits beyond the new primary's log are lost.
    fn record_lost_commits(&mut self, service_name: &str, log_end: Position) {
        let Some(service) = self.services.get_mut(service_name) else {
            return;
        };
        let acknowledged = service.acknowledged;
        if acknowledged <= log_end {
            return;
        }
        service.acknowledged = log_end;
        // Without synchronous replicas nothing is promised.
        if service.spec.sync_replicas > 0 {
            self.rule_checker.lost_commits += acknowledged.number.saturating_sub(log_end.number);
            log::warn!(
                "event=commits_lost service={service_name} acknowledged={acknowledged} \
                 log_end={log_end}"
            );
        }
    }

    /// The old primary's log goes furthest: what it has beyond the new one's may be written again.
    fn record_truncated_commits(&mut self, service_name: &str, old_term: u64, log_end: Position) {
        let old_primaries = self.servers.values().filter(|server| {
            server.service == service_name && server.is_primary && server.term == old_term
        });
        for commit in old_primaries.flat_map(|s| s.replica.commits_after(log_end.number)) {
            for id in commit.ids.iter() {
                self.rule_checker.record_truncation(id);
            }
        }
    }

    /// What a server does when another one of its service is promoted: a replica follows; a primary
    /// doesn't know yet, and goes on.
    fn follow_promoted(&mut self, id: &str, old_term: u64, log_end: Position) {
        let now = self.now;
        let truncation_s = self.timing.truncation_s;
        let server = self.server_mut(id);
        if server.is_primary {
            server.deposed_at_s.get_or_insert(now);
            return;
        }
        if server.replica.received() > log_end {
            server.busy_until_s = now + truncation_s;
        }
        server.paused_for_term = None;
        // Of one term, a log that ends before the new primary's is a prefix of it.
        let is_prefix = server.replica.received() <= log_end && server.term == old_term;
        self.follow_primary(id, is_prefix);
    }

    /// Replicas of former terms, and those too far behind, take a snapshot of the primary's log.
    pub(super) fn rejoin_replicas(&mut self, service: &str) {
        let replicas = self.running_servers(service, |server| {
            !server.is_primary && server.paused_for_term.is_none()
        });
        for id in replicas {
            self.follow_primary(&id, false);
        }
    }

    fn running_servers(&self, service: &str, matches: impl Fn(&Server) -> bool) -> Vec<String> {
        self.servers
            .values()
            .filter(|server| server.service == service && server.running && matches(server))
            .map(|server| server.spec.id.clone())
            .collect()
    }

    /// A replica takes up the newest term, if its primary runs. Unless its log is known to be a
    /// prefix of the primary's, it takes a snapshot: it may have commits that the primary lacks,
    /// under numbers that the primary gives to others.
    fn follow_primary(&mut self, id: &str, is_prefix: bool) {
        let server = &self.servers[id];
        if !self.has_other_primary(server) {
            return;
        }
        let Some(primary) = self.primary(&server.service) else {
            return;
        };
        let primary = &self.servers[primary];
        let term = primary.term;
        let same_log = is_prefix || server.term == term;
        let received = server.replica.received().number;
        let needs_snapshot = !same_log || !primary.replica.retains_all_after(received);
        let snapshot = needs_snapshot.then(|| primary.replica.clone());
        let server = self.server_mut(id);
        if let Some(snapshot) = snapshot {
            server.replica = snapshot;
        }
        server.is_primary = false;
        server.term = term;
    }

    /// A primary that was replaced becomes a replica. Its commits that no replica received are lost
    /// to it: their clients are told that they failed.
    pub(super) fn step_down(&mut self, id: &str) {
        let server = self.server_mut(id);
        server.deposed_at_s = None;
        // Also when the primary of the newest term is down, and there is nobody to follow.
        server.is_primary = false;
        let unacknowledged = std::mem::take(&mut server.unacknowledged);
        self.follow_primary(id, false);
        for commit in unacknowledged {
            self.respond(commit.connection, "ERROR FAILED the lead was lost");
        }
        log::info!("event=stepped_down id={id}");
    }
}
