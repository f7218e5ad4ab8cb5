//! Commits on primaries, and their acknowledgement once enough replicas have received them.

use super::model::{ConnectionId, DatabaseCluster, UnacknowledgedCommit};
use crate::replica::{Commit, KeyWrite};
use badgerstream_line_protocol::Position;

impl DatabaseCluster {
    /// Appends a commit to a primary's log and applies it there. The client gets its response once
    /// enough replicas have received the commit.
    pub(super) fn commit(
        &mut self,
        server_id: &str,
        connection: ConnectionId,
        ids: Vec<String>,
        writes: Vec<KeyWrite>,
        stamp: String,
    ) {
        for id in &ids {
            self.rule_checker.record_commit(id);
        }
        let now = self.now;
        let write_count = ids.len() as u64;
        let server = self.server_mut(server_id);
        let position = Position {
            term: server.term,
            number: server.replica.received().number + 1,
        };
        server.replica.append(Commit {
            position,
            ids: ids.into(),
            writes: writes.into(),
            committed_at_s: now,
            received_at_s: now,
        });
        server.replica.apply_next();
        server.unacknowledged.push_back(UnacknowledgedCommit {
            connection,
            position,
            stamp,
            write_count,
        });
    }

    /// Acknowledges, in order, the commits of a server that enough replicas have received.
    pub(super) fn acknowledge_commits(&mut self, server_id: &str) {
        let server = &self.servers[server_id];
        let service = &self.services[&server.service];
        let needed = service.spec.sync_replicas as usize;
        let newest_term = service.term;
        let name = server.service.clone();
        while let Some(first) = self.servers[server_id].unacknowledged.front() {
            if self.replicas_with(&name, first.position) < needed {
                return;
            }
            let Some(commit) = self.server_mut(server_id).unacknowledged.pop_front() else {
                return;
            };
            let position = commit.position;
            self.rule_checker.acknowledged_writes += commit.write_count;
            if position.term < newest_term {
                self.rule_checker.deposed_commits += 1;
                log::warn!("event=deposed_primary_committed id={server_id} position={position}");
            } else if let Some(service) = self.services.get_mut(&name) {
                service.acknowledged = service.acknowledged.max(position);
            }
            self.respond(commit.connection, &format!("COMPLETE {}", commit.stamp));
        }
    }

    /// Returns the number of running replicas of the commit's term that have received it.
    fn replicas_with(&self, service: &str, position: Position) -> usize {
        let replicas = self.servers.values().filter(|server| {
            server.service == service
                && server.running
                && !server.is_primary
                && server.term == position.term
                && server.replica.received().number >= position.number
        });
        replicas.count()
    }
}
