//! How servers end, start and take the lead, and whom the others follow.

use super::{ConnectionId, ConnectionOutput, DatabaseCluster};

impl DatabaseCluster {
    /// `POST /promotions`: the status of its answer.
    pub fn promote(&mut self, now: f64, name: &str, id: &str, fence: u64) -> u16 {
        self.step_to(now);
        let present = self.primary(name) == Some(id);
        let Some(service) = self.services.get_mut(name) else {
            return 404;
        };
        if fence < service.fence && self.fencing {
            return 409;
        }
        service.fence = service.fence.max(fence);
        if self
            .servers
            .get(id)
            .is_none_or(|s| s.service != name || !s.running)
        {
            return 409;
        }
        if !present {
            service
                .promotions
                .push((now + self.timing.promote, id.to_owned()));
        }
        200
    }

    /// A server's process ends; all its connections break.
    pub fn crash(&mut self, now: f64, id: &str) {
        self.step_to(now);
        let Some(server) = self.servers.get_mut(id).filter(|s| s.running) else {
            return;
        };
        server.running = false;
        server.conns = 0;
        server.paused = None;
        server.running_jobs.clear();
        server.waiting.clear();
        server.unacknowledged.clear();
        let mut broken: Vec<ConnectionId> = Vec::new();
        self.sessions.retain(|conn, session| {
            let of = session.server == id;
            broken.extend(of.then_some(*conn));
            !of
        });
        broken.sort_unstable();
        self.out
            .extend(broken.into_iter().map(ConnectionOutput::Close));
        log::info!("event=server_ended id={id}");
    }

    /// A server's process starts again, with the log that it had.
    pub fn start(&mut self, now: f64, id: &str) {
        self.step_to(now);
        let Some(server) = self.servers.get_mut(id).filter(|s| !s.running) else {
            return;
        };
        let term = self.services[&server.service].term;
        server.running = true;
        server.draining = false;
        server.deposed = None;
        if server.term < term {
            server.leads = false;
        }
        log::info!("event=server_started id={id}");
        let service = self.servers[id].service.clone();
        self.rejoin(&service);
    }

    /// A server says from now on that it will end.
    pub fn drain(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.draining = true;
        }
    }

    /// The named server leads the next term with what it had received and nothing more.
    pub(super) fn takes_over(&mut self, name: &str, id: &str) {
        if !self.servers[id].running || self.primary(name) == Some(id) {
            return;
        }
        let now = self.now;
        let had = self.servers[id].copy.received();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let old = service.term;
        service.term += 1;
        let term = service.term;
        log::info!("event=promoted service={name} id={id} term={term} position={had}");
        if service.answered > had {
            if service.spec.sync_replicas > 0 {
                self.rule_checker.lost +=
                    service.answered.number - had.number.min(service.answered.number);
                log::warn!(
                    "event=commits_lost service={name} answered={} kept={had}",
                    service.answered
                );
            }
            service.answered = had;
        }
        // Of all copies the old primary's goes furthest.
        let cut: Vec<String> = self
            .servers
            .values()
            .filter(|s| s.service == name && s.leads && s.term == old)
            .flat_map(|s| {
                s.copy
                    .beyond(had.number)
                    .flat_map(|c| c.ids.iter().cloned())
            })
            .collect();
        cut.iter().for_each(|id| self.rule_checker.cut(id));
        let cut_s = self.timing.cut;
        let others: Vec<String> = self
            .servers
            .values()
            .filter(|s| s.service == name && s.running)
            .map(|s| s.spec.id.clone())
            .collect();
        let server = self.server(id);
        (server.leads, server.term, server.paused, server.deposed) = (true, term, None, None);
        while server.copy.unapplied().is_some() {
            server.copy.apply();
        }
        for other in others.iter().filter(|o| *o != id) {
            let server = self.server(other);
            if server.leads {
                server.deposed.get_or_insert(now);
                continue;
            }
            if server.copy.received() > had {
                server.busy_until = now + cut_s;
            }
            server.paused = None;
            // A log that ends before the new primary's is a beginning of it.
            let begins = server.copy.received() <= had && server.term == old;
            self.follow(other, begins);
        }
    }

    /// Replicas of former terms, and those too far behind, take a whole copy.
    pub(super) fn rejoin(&mut self, service: &str) {
        let of = self
            .servers
            .values()
            .filter(|s| s.service == service && s.running && !s.leads && s.paused.is_none());
        let of: Vec<String> = of.map(|s| s.spec.id.clone()).collect();
        of.iter().for_each(|id| self.follow(id, false));
    }

    /// A replica takes up the newest term, if its primary runs. Unless its log is known to be a beginning of the
    /// primary's, it takes a copy: it may have commits that are no longer there, under the same numbers.
    fn follow(&mut self, id: &str, begins: bool) {
        let server = &self.servers[id];
        let Some(primary) = self.primary(&server.service).filter(|p| *p != id) else {
            return;
        };
        let primary = &self.servers[primary];
        let (term, copy) = (primary.term, &primary.copy);
        let whole =
            !(begins || server.term == term) || !copy.reaches(server.copy.received().number);
        let copy = whole.then(|| copy.clone());
        let server = self.server(id);
        if let Some(copy) = copy {
            server.copy = copy;
        }
        server.leads = false;
        server.term = term;
    }

    /// A primary that was replaced becomes a replica.
    pub(super) fn step_down(&mut self, id: &str) {
        let server = self.server(id);
        server.deposed = None;
        let unacknowledged: Vec<ConnectionId> =
            server.unacknowledged.drain(..).map(|u| u.conn).collect();
        // The primary of the newest term may be down: this one doesn't lead any more all the same.
        self.server(id).leads = false;
        self.follow(id, false);
        // What it committed alone is gone.
        for conn in unacknowledged {
            self.end(conn, "ERROR FAILED the lead was lost");
        }
        log::info!("event=stepped_down id={id}");
    }
}
