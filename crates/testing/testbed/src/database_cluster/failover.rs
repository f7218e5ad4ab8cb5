//! Crashes, restarts and promotions of servers, and which primary replicas follow.

use super::model::{ConnectionId, ConnectionOutput, DatabaseCluster, PendingPromotion, Server};
use badgerstream_line_protocol::Position;

impl DatabaseCluster {
    /// Handles the platform's `POST /promotions` and returns the status of its response: 404 for an
    /// unknown service, 409 for a fencing token below the highest one seen or a server that doesn't
    /// run, otherwise 200. The promotion takes place after `Timing::promotion_s`; it has no effect
    /// if the server is the primary already.
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

    /// Ends a server's process and closes all its connections.
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
        // Iteration over the map has no fixed order, but the order of outputs must be
        // deterministic.
        broken.sort_unstable();
        for connection in broken {
            self.sessions.remove(&connection);
            self.outputs.push(ConnectionOutput::Close(connection));
        }
        log::info!("event=server_ended id={id}");
    }

    /// Restarts a server's process with its former log.
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

    /// Marks a server as draining, which its heartbeats announce from now on.
    pub fn drain_server(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.draining = true;
        }
    }

    /// Makes a server the primary of the next term, with exactly the log that it has received.
    /// Replicas that can follow it do so at once.
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

    /// Counts acknowledged commits after the end of the new primary's log as lost.
    fn record_lost_commits(&mut self, service_name: &str, log_end: Position) {
        let Some(service) = self.services.get_mut(service_name) else {
            return;
        };
        let acknowledged = service.acknowledged;
        if acknowledged <= log_end {
            return;
        }
        service.acknowledged = log_end;
        // Without synchronous replicas, acknowledged commits may be lost.
        if service.spec.sync_replicas > 0 {
            self.rule_checker.lost_commits += acknowledged.number.saturating_sub(log_end.number);
            log::warn!(
                "event=commits_lost service={service_name} acknowledged={acknowledged} \
                 log_end={log_end}"
            );
        }
    }

    /// Records as truncated the commits of the old primary after the end of the new primary's log:
    /// clients may write them again. No log is longer than the old primary's.
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

    /// Handles the promotion of another server of the same service: a replica follows the new
    /// primary; a primary doesn't know of it yet and continues as before.
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
        // Within one term, a log that isn't longer than the new primary's is a prefix of it.
        let is_prefix = server.replica.received() <= log_end && server.term == old_term;
        self.follow_primary(id, is_prefix);
    }

    /// Makes replicas of earlier terms, and those too far behind, take a snapshot of the primary.
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

    /// Makes a server follow the primary of the newest term, if that one runs. Unless the server's
    /// log is known to be a prefix of the primary's, it takes a snapshot: its log may contain
    /// commits that the primary lacks, with numbers that the primary assigns to other commits.
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

    /// Makes a replaced primary a replica. The clients of its unacknowledged commits get the error
    /// `FAILED`.
    pub(super) fn step_down(&mut self, id: &str) {
        let server = self.server_mut(id);
        server.deposed_at_s = None;
        // This holds too if the primary of the newest term is down, so that there is none to
        // follow.
        server.is_primary = false;
        let unacknowledged = std::mem::take(&mut server.unacknowledged);
        self.follow_primary(id, false);
        for commit in unacknowledged {
            self.respond(commit.connection, "ERROR FAILED the lead was lost");
        }
        log::info!("event=stepped_down id={id}");
    }
}
