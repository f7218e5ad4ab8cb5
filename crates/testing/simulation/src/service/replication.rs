//! The servers of the service: their start and end, replication and promotions.
//!
//! Logs hold the numbers of commits, so that what was acknowledged can be looked for: it is an error
//! of the decisions under test if a promotion or an acknowledgement loses one.

use super::server::{LogEntry, Server, ServerRole};
use crate::digest::EntryKind;
use crate::event::{RouterEvent, ServerEvent, Statement, StatementKind};
use crate::health::Health;
use crate::kernel::Kernel;
use std::collections::{BTreeMap, HashSet};

/// Primaries send their logs this often, in seconds.
const REPLICATION_INTERVAL_S: f64 = 0.006;

/// A server that comes back needs so long to find the primary, in seconds: a pause that comes at
/// once finds it as it was.
const RECONNECT_DELAY_S: f64 = 0.25;

/// A former primary learns of its successor after so many seconds, and is told again until then.
const DEMOTION_INTERVAL_S: f64 = 1.0;

/// A read checks so many of the newest acknowledged commits: reads before it checked the others.
const COMMITS_CHECKED_BY_READ: usize = 60;

/// A promotion that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Promotion {
    /// The server.
    pub server_id: String,
    /// When, in seconds of simulated time.
    pub at: f64,
}

/// The servers, and what they acknowledged.
#[derive(Clone, Default)]
pub struct Service {
    /// The servers by their ids, those that ended among them.
    pub servers: BTreeMap<String, Server>,
    /// Servers that answer no control machine, though they work.
    pub unresponsive_to_control: HashSet<String>,
    /// Of the commands so many are executed and their answers lost.
    pub command_answers_lost_per_mille: u64,
    /// A server reports the highest term seen, and keeps it; otherwise the term of its pause, or 0.
    pub reports_highest_term_seen: bool,
    /// A second `PAUSE` of the same term is rejected.
    pub rejects_repeated_pause: bool,
    /// Acknowledged commits, in the order of their acknowledgements.
    pub acknowledged_commits: Vec<u64>,
    /// When each of them was acknowledged, in seconds of simulated time.
    pub acknowledgement_times: Vec<f64>,
    /// Promotions that took effect, in order.
    pub promotions: Vec<Promotion>,
    last_commit: u64,
}

impl Service {
    pub(crate) fn server_mut(&mut self, id: &str) -> &mut Server {
        self.servers.get_mut(id).expect("the server exists")
    }

    /// Adds a server, which sends its first heartbeat within a second.
    pub(crate) fn add_server(
        &mut self,
        kernel: &mut Kernel,
        id: &str,
        endpoint: &str,
        role: ServerRole,
    ) {
        let server = Server::new(id, endpoint, role);
        self.servers.insert(id.to_owned(), server);
        let delay = 0.01 * kernel.random.below(100) as f64;
        kernel.schedule(delay, ServerEvent::HeartbeatDue(id.to_owned()));
    }

    /// Ends the server's process.
    pub(crate) fn crash(&mut self, id: &str) {
        let server = self.server_mut(id);
        server.health = Health::Down;
        server.paused_at_term = None;
    }

    /// Brings the server back with its log, as a replica if another one was promoted meanwhile.
    pub(crate) fn recover(&mut self, kernel: &mut Kernel, id: &str) {
        let highest_term = self.highest_primary_term();
        let server = self.server_mut(id);
        server.health = Health::Up;
        // It follows whoever was promoted last, and nobody before.
        if server.primary_term < highest_term {
            server.is_primary = false;
            server.primary_term = highest_term;
        }
        server.paused_at_term = None;
        server.reconnects_at = kernel.now() + RECONNECT_DELAY_S;
        kernel.schedule(0.01, ServerEvent::HeartbeatDue(id.to_owned()));
    }

    /// Brings a server back at its address under another id, with its log; it is the primary if
    /// nobody was promoted since.
    pub(crate) fn recover_with_new_id(&mut self, kernel: &mut Kernel, old_id: &str, new_id: &str) {
        let old = self.server_mut(old_id);
        old.departed = true;
        old.health = Health::Down;
        let old = old.clone();
        let highest_term = self.highest_primary_term();
        let role = if old.is_primary && old.primary_term == highest_term {
            ServerRole::Primary
        } else {
            ServerRole::Replica
        };
        self.add_server(kernel, new_id, &old.endpoint, role);
        let new = self.server_mut(new_id);
        new.log = old.log;
        new.primary_term = highest_term;
        new.acknowledged_length = old.acknowledged_length;
        new.reconnects_at = kernel.now() + RECONNECT_DELAY_S;
        self.server_mut(old_id).is_primary = false;
    }

    fn highest_primary_term(&self) -> u64 {
        let terms = self.servers.values().map(|server| server.primary_term);
        terms.max().unwrap_or(0)
    }

    /// A statement of a router arrives.
    ///
    /// # Panics
    ///
    /// If a read misses a commit that was acknowledged before it was sent.
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

    /// All working primaries send their logs to the servers that lack something.
    pub(crate) fn replicate(&mut self, kernel: &mut Kernel) {
        for primary in self.servers.values().filter(|s| s.is_active_primary()) {
            for replica in self.servers.values().filter(|s| s.id != primary.id) {
                let lacks_something = replica.log != primary.log
                    || primary.acknowledged_length < primary.log.len()
                    || replica.primary_term < primary.primary_term;
                if !replica.is_up() || !lacks_something {
                    continue;
                }
                let append = ServerEvent::AppendArrived {
                    primary: primary.id.clone(),
                    replica: replica.id.clone(),
                    primary_term: primary.primary_term,
                    log: primary.log.clone(),
                };
                let delay = kernel.message_delay();
                kernel.schedule(delay, append);
            }
        }
        kernel.schedule(REPLICATION_INTERVAL_S, ServerEvent::ReplicationDue);
    }

    /// A primary's log arrives at a replica, which acknowledges it if it receives at all.
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

    /// A replica's acknowledgement arrives at the primary: with one replica a commit is acknowledged
    /// to the client.
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
            self.acknowledge(kernel, primary, primary_term, &commits);
        }
    }

    /// Commits are acknowledged to the client.
    ///
    /// # Panics
    ///
    /// If the newest primary lacks one of them.
    fn acknowledge(
        &mut self,
        kernel: &mut Kernel,
        primary: &str,
        primary_term: u64,
        commits: &[u64],
    ) {
        let newest = self
            .servers
            .values()
            .filter(|server| server.is_primary)
            .max_by_key(|server| server.primary_term)
            .expect("the server that acknowledges is a primary");
        let now = kernel.now();
        for commit in commits {
            assert!(
                newest.has_commit(*commit),
                "{now}: {primary} of term {primary_term} acknowledges a commit that {} of term {} \
                 lacks",
                newest.id,
                newest.primary_term
            );
        }
        for commit in commits {
            self.acknowledged_commits.push(*commit);
            self.acknowledgement_times.push(now);
            kernel.record(EntryKind::CommitAcknowledged, &[primary_term, *commit]);
        }
    }

    /// A promotion takes effect: the server becomes the primary of the next term, unless it ended
    /// or is the newest primary already.
    ///
    /// # Panics
    ///
    /// If the server lacks an acknowledged commit.
    pub(crate) fn promote(&mut self, kernel: &mut Kernel, id: &str) {
        let terms = self
            .servers
            .values()
            .map(|server| server.primary_term.max(server.highest_term_seen));
        let highest_term_seen = terms.max().unwrap_or(0);
        let primaries = self.servers.values().filter(|server| server.is_primary);
        let newest_primary_term = primaries.map(|s| s.primary_term).max().unwrap_or(0);
        let server = self.server_mut(id);
        if !server.is_up() || server.is_primary && server.primary_term >= newest_primary_term {
            return;
        }
        server.is_primary = true;
        server.primary_term = highest_term_seen + 1;
        server.paused_at_term = None;
        let primary_term = server.primary_term;
        let log = server.log.clone();
        kernel.trace(|| format!("server {id} leads term {primary_term}"));
        self.check_promotion(kernel.now(), id, &log);
        self.promotions.push(Promotion {
            server_id: id.to_owned(),
            at: kernel.now(),
        });
        kernel.record(EntryKind::Promoted, &[primary_term]);
        kernel.digest.bytes(id.as_bytes());
        self.follow_new_primary(kernel, id, primary_term, &log);
    }

    fn check_promotion(&self, now: f64, id: &str, log: &[LogEntry]) {
        let has: HashSet<u64> = log.iter().map(|entry| entry.commit).collect();
        let acknowledged = self.acknowledged_commits.iter();
        let lost: Vec<&u64> = acknowledged.filter(|c| !has.contains(c)).collect();
        assert!(
            lost.is_empty(),
            "{now}: {id} was promoted without acknowledged commits {lost:?}"
        );
    }

    /// The other servers follow the new primary: replicas at once, former primaries later.
    fn follow_new_primary(
        &mut self,
        kernel: &mut Kernel,
        primary: &str,
        primary_term: u64,
        log: &[LogEntry],
    ) {
        for server in self.servers.values_mut().filter(|s| s.id != primary) {
            if server.is_primary {
                let demotion = ServerEvent::DemotionDue {
                    server_id: server.id.clone(),
                    primary_term,
                };
                kernel.schedule(DEMOTION_INTERVAL_S, demotion);
            } else if server.is_up() {
                server.primary_term = primary_term;
                server.paused_at_term = None;
                // A log that is ahead of the primary's, or differs, is cut back to what both have.
                let entries = server.log.iter().zip(log);
                let common = entries.take_while(|(own, new)| own == new).count();
                server.log.truncate(common);
            }
        }
    }

    /// A former primary learns of its successor, unless it doesn't work.
    pub(crate) fn demotion_due(
        &mut self,
        kernel: &mut Kernel,
        server_id: String,
        primary_term: u64,
    ) {
        let server = self.server_mut(&server_id);
        if !server.is_primary || server.primary_term >= primary_term {
            return;
        }
        if server.is_up() {
            server.is_primary = false;
        } else {
            let again = ServerEvent::DemotionDue {
                server_id,
                primary_term,
            };
            kernel.schedule(DEMOTION_INTERVAL_S, again);
        }
    }
}
