//! Events at their due times: promotions, replication, and the completion of statements.

use super::model::{ConnectionOutput, DatabaseCluster, Server};
use crate::replica::Commit;

impl DatabaseCluster {
    /// Returns the time of the next event for [`DatabaseCluster::step`], in seconds; `None` if no
    /// event is scheduled.
    pub fn next_step_at_s(&self) -> Option<f64> {
        if !self.outputs.is_empty() {
            return Some(self.now);
        }
        let promotions = self
            .services
            .values()
            .flat_map(|service| &service.promotions);
        let mut due_at_s: Vec<f64> = promotions.map(|promotion| promotion.due_at_s).collect();
        for server in self.servers.values().filter(|server| server.running) {
            due_at_s.extend(server.running_jobs.iter().map(|running| running.ends_at_s));
            due_at_s.extend(self.next_receipt(server).map(|receipt| receipt.due_at_s));
            due_at_s.extend(self.next_apply_at_s(server));
            due_at_s.extend(self.steps_down_at_s(server));
        }
        due_at_s
            .into_iter()
            .min_by(f64::total_cmp)
            .map(|due| due.max(self.now))
    }

    /// Processes all events due by `now`, and returns the output for connections.
    pub fn step(&mut self, now: f64) -> Vec<ConnectionOutput> {
        self.advance(now);
        std::mem::take(&mut self.outputs)
    }

    /// Processes all events due by `now`; output is kept for the next [`DatabaseCluster::step`].
    pub(super) fn advance(&mut self, now: f64) {
        // While output is left, the next step is due at once, so this loop would never end.
        let mut outputs = std::mem::take(&mut self.outputs);
        while let Some(due) = self.next_step_at_s().filter(|due| *due <= now) {
            self.now = due;
            self.process_due_events();
            outputs.append(&mut self.outputs);
        }
        self.outputs = outputs;
        self.now = self.now.max(now);
    }

    fn process_due_events(&mut self) {
        self.run_due_promotions();
        let ids = self.server_ids();
        for id in &ids {
            if !self.servers[id].running {
                continue;
            }
            let steps_down = self.steps_down_at_s(&self.servers[id]);
            if steps_down.is_some_and(|due| due <= self.now) {
                self.step_down(id);
            }
            self.receive_due_commits(id);
            self.apply_due_commits(id);
        }
        for id in &ids {
            self.complete_due_jobs(id);
            self.fill_slots(id);
            self.acknowledge_commits(id);
        }
    }

    fn run_due_promotions(&mut self) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            while let Some(server_id) = self.take_due_promotion(name) {
                self.promote(name, &server_id);
            }
        }
    }

    fn take_due_promotion(&mut self, service: &str) -> Option<String> {
        let now = self.now;
        let promotions = &mut self.services.get_mut(service)?.promotions;
        let due = promotions.iter().position(|p| p.due_at_s <= now)?;
        Some(promotions.remove(due).server_id)
    }

    /// Returns the time at which a replaced primary steps down by itself.
    fn steps_down_at_s(&self, server: &Server) -> Option<f64> {
        let deposed_at_s = server.deposed_at_s?;
        (server.is_primary && self.has_other_primary(server))
            .then_some(deposed_at_s + self.timing.deposed_primary_s)
    }

    /// Returns the next commit that a replica receives from its primary, and its arrival time.
    fn next_receipt(&self, server: &Server) -> Option<Receipt<'_>> {
        if server.is_primary || server.paused_for_term.is_some() {
            return None;
        }
        let primary = &self.servers[self.primary(&server.service)?];
        if server.term != primary.term {
            return None;
        }
        let received = server.replica.received().number;
        let commit = primary.replica.commit_after(received)?;
        Some(Receipt {
            commit,
            due_at_s: commit.committed_at_s + self.timing.replication_s,
        })
    }

    fn receive_due_commits(&mut self, id: &str) {
        let now = self.now;
        while let Some(receipt) = self.next_receipt(&self.servers[id])
            && receipt.due_at_s <= now
        {
            let commit = Commit {
                received_at_s: now,
                ..receipt.commit.clone()
            };
            self.server_mut(id).replica.append(commit);
        }
    }

    fn next_apply_at_s(&self, server: &Server) -> Option<f64> {
        let commit = server.replica.next_unapplied()?;
        Some(commit.received_at_s + self.timing.apply_s)
    }

    fn apply_due_commits(&mut self, id: &str) {
        while let Some(due) = self.next_apply_at_s(&self.servers[id])
            && (self.servers[id].is_primary || due <= self.now)
        {
            self.server_mut(id).replica.apply_next();
        }
    }

    fn complete_due_jobs(&mut self, id: &str) {
        let now = self.now;
        loop {
            let jobs = &mut self.server_mut(id).running_jobs;
            let Some(due) = jobs.iter().position(|running| running.ends_at_s <= now) else {
                return;
            };
            let running = jobs.remove(due);
            self.complete_job(id, running.job);
        }
    }
}

/// A commit in transit to a replica.
struct Receipt<'a> {
    commit: &'a Commit,
    due_at_s: f64,
}
