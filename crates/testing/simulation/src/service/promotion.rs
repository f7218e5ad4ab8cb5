//! Promotes servers, and makes the other servers follow the new primary.

use super::replicas::Service;
use super::server::LogEntry;
use crate::digest::EntryKind;
use crate::event::ServerEvent;
use crate::kernel::Kernel;
use std::collections::HashSet;

/// The delay before a former primary learns of its successor, in seconds. If it is not up then, it
/// tries again after the same delay.
const DEMOTION_INTERVAL_S: f64 = 1.0;

/// A promotion that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Promotion {
    /// The server that was promoted.
    pub server_id: String,
    /// The time of the promotion, in seconds of simulated time.
    pub at: f64,
}

impl Service {
    /// Promotes the server to the primary of the next term, unless it is not up or is already the
    /// newest primary.
    ///
    /// # Panics
    ///
    /// If an acknowledged commit is missing from the server's log.
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

    /// Makes the other servers follow the new primary: replicas immediately, former primaries after
    /// [`DEMOTION_INTERVAL_S`].
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
                // Truncates a log that is longer than the primary's, or differs, to the common
                // prefix of both.
                let entries = server.log.iter().zip(log);
                let common = entries.take_while(|(own, new)| own == new).count();
                server.log.truncate(common);
            }
        }
    }

    /// Demotes a former primary that has a successor. If it is not up, schedules another attempt.
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
