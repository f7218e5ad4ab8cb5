//! Executes statements at the servers, and replicates their logs.
//!
//! Logs contain the numbers of commits, so that acknowledged commits can be searched for. A read,
//! an acknowledgement or a promotion that misses one reveals a fault of the controllers under test.

use super::replicas::Service;
use super::server::LogEntry;
use crate::digest::EntryKind;
use crate::event::{CommittedWrite, RouterEvent, ServerEvent, Statement, StatementKind};
use crate::kernel::Kernel;
use badgerstream_control::Position;

/// The interval at which primaries send their logs, in seconds.
const REPLICATION_INTERVAL_S: f64 = 0.006;

/// The number of newest acknowledged commits that a read checks. Earlier reads have checked the
/// others.
const COMMITS_CHECKED_BY_READ: usize = 60;

/// How clients learn of commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcknowledgementPath {
    /// The primary answers the router, which passes the answer on if it may still use the primary.
    #[default]
    ThroughRouters,
    /// Clients learn of a commit as soon as a replica has it, whatever the routers know.
    Direct,
}

/// A write that a primary has in its log, and that no replica has confirmed yet.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// The server to which the router sent the write.
    pub(super) server_id: String,
    router: usize,
    granted_term: u64,
    position_before: Position,
}

impl Service {
    /// Executes a router's statement that has arrived, and sends the answer.
    ///
    /// # Panics
    ///
    /// If a read misses a commit that was acknowledged before the read was sent.
    pub(crate) fn statement_arrived(&mut self, kernel: &mut Kernel, statement: &Statement) {
        let delay = kernel.message_delay();
        let next_commit = self.last_commit + 1;
        let Some(server) = self.servers.get_mut(&statement.server_id) else {
            return;
        };
        if !server.is_up() {
            return;
        }
        match statement.kind {
            StatementKind::Write if server.is_primary => {
                self.last_commit = next_commit;
                server.log.push(LogEntry {
                    primary_term: server.primary_term,
                    commit: next_commit,
                });
                let pending = PendingWrite {
                    server_id: statement.server_id.clone(),
                    router: statement.router,
                    granted_term: statement.granted_term,
                    position_before: statement.position_before,
                };
                self.pending_writes.insert(next_commit, pending);
            }
            StatementKind::Write => {}
            StatementKind::Read => self.check_read(kernel.now(), statement),
        }
        let answer = RouterEvent::AnswerArrived {
            router: statement.router,
            server_id: statement.server_id.clone(),
        };
        kernel.schedule(delay, answer);
    }

    fn check_read(&self, now: f64, statement: &Statement) {
        let server = &self.servers[&statement.server_id];
        let end = statement.acknowledged_before;
        let begin = end.saturating_sub(COMMITS_CHECKED_BY_READ);
        let commits = self.acknowledged_commits[begin..end].iter();
        let missing = commits
            .filter(|commit| !server.has_commit(**commit))
            .count();
        assert!(
            missing == 0,
            "{now}: a read sent at {} to {} lacks {missing} acknowledged commits",
            statement.sent_at,
            server.id
        );
    }

    /// Sends the logs of all active primaries to the servers that are behind.
    pub(crate) fn replicate(&mut self, kernel: &mut Kernel) {
        for primary in self.servers.values().filter(|s| s.is_active_primary()) {
            for replica in self.servers.values().filter(|s| s.id != primary.id) {
                let is_behind = replica.log != primary.log
                    || primary.acknowledged_length < primary.log.len()
                    || replica.primary_term < primary.primary_term;
                if !replica.is_up() || !is_behind {
                    continue;
                }
                let append = ServerEvent::AppendArrived {
                    primary: primary.id.clone(),
                    replica: replica.id.clone(),
                    primary_term: primary.primary_term,
                    log: primary.log.clone(),
                };
                let delay = kernel.message_delay() + replica.receive_delay_s;
                kernel.schedule(delay, append);
            }
        }
        kernel.schedule(REPLICATION_INTERVAL_S, ServerEvent::ReplicationDue);
    }

    /// Appends a primary's log at a replica, which acknowledges it. Does nothing if the replica is
    /// not receiving or is in a newer primary term.
    pub(crate) fn append_arrived(
        &mut self,
        kernel: &mut Kernel,
        primary: String,
        replica: &str,
        primary_term: u64,
        log: &[LogEntry],
    ) {
        let server = self.server_mut(replica);
        let receives = server.is_up()
            && !server.is_primary
            && !server.receives_nothing
            && server.paused_at_term.is_none()
            && kernel.now() >= server.reconnects_at;
        if !receives || server.primary_term > primary_term {
            return;
        }
        server.primary_term = primary_term;
        if !server.log.starts_with(log) {
            server.log = log.to_vec();
        }
        let acknowledged = ServerEvent::AppendAcknowledged {
            primary,
            primary_term,
            length: log.len(),
        };
        let delay = kernel.message_delay();
        kernel.schedule(delay, acknowledged);
    }

    /// Handles a replica's acknowledgement at the primary. The acknowledgement of one replica is
    /// enough for the primary to acknowledge a commit to the client.
    pub(crate) fn append_acknowledged(
        &mut self,
        kernel: &mut Kernel,
        primary: &str,
        primary_term: u64,
        length: usize,
    ) {
        let server = self.server_mut(primary);
        if !server.is_active_primary() || server.primary_term != primary_term {
            return;
        }
        let begin = server.acknowledged_length;
        if length > begin {
            server.acknowledged_length = length;
            let entries = server.log[begin..length].iter();
            let commits: Vec<u64> = entries.map(|entry| entry.commit).collect();
            match self.acknowledgement_path {
                AcknowledgementPath::ThroughRouters => {
                    self.answer_writes(kernel, primary, &commits);
                }
                AcknowledgementPath::Direct => {
                    let now = kernel.now();
                    self.acknowledge(kernel, primary, primary_term, &commits, now);
                }
            }
        }
    }

    /// Answers the routers' writes that are now committed.
    fn answer_writes(&mut self, kernel: &mut Kernel, primary: &str, commits: &[u64]) {
        let position = self.servers[primary].position();
        for commit in commits {
            let Some(pending) = self.pending_writes.remove(commit) else {
                continue;
            };
            if pending.server_id != primary {
                continue;
            }
            let committed = CommittedWrite {
                router: pending.router,
                server_id: pending.server_id,
                granted_term: pending.granted_term,
                position_before: pending.position_before,
                commit: *commit,
                position,
                answered_at: kernel.now(),
            };
            let delay = kernel.message_delay();
            kernel.schedule(delay, RouterEvent::WriteCommitted(committed));
        }
    }

    /// Acknowledges the commit of a write whose answer a router passes on.
    pub(crate) fn acknowledge_write(&mut self, kernel: &mut Kernel, write: &CommittedWrite) {
        let commits = [write.commit];
        self.acknowledge(
            kernel,
            &write.server_id,
            write.granted_term,
            &commits,
            write.answered_at,
        );
    }

    /// Acknowledges commits to the client, which the primary answered at this second of simulated
    /// time.
    ///
    /// # Panics
    ///
    /// If one of the commits is missing from the log of the newest primary, which is `primary` or its
    /// successor.
    fn acknowledge(
        &mut self,
        kernel: &mut Kernel,
        primary: &str,
        primary_term: u64,
        commits: &[u64],
        answered_at: f64,
    ) {
        let newest = self
            .servers
            .values()
            .filter(|server| server.is_primary && server.primary_term >= primary_term)
            .max_by_key(|server| server.primary_term);
        let now = kernel.now();
        for commit in commits {
            // A primary that has stepped down since it answered may have no successor yet.
            if let Some(newest) = newest {
                assert!(
                    newest.has_commit(*commit),
                    "{now}: {primary} of term {primary_term} acknowledges a commit that {} of term \
                     {} lacks",
                    newest.id,
                    newest.primary_term
                );
            }
            self.acknowledged_commits.push(*commit);
            self.acknowledgement_times.push(answered_at);
            kernel.record(EntryKind::CommitAcknowledged, &[primary_term, *commit]);
        }
    }
}
