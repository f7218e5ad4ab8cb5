//! The statements that routers send, and the servers' answers.

use super::fleet::Edge;
use crate::event::{CommittedWrite, RouterEvent, ServerEvent, Statement, StatementKind};
use crate::kernel::Kernel;
use crate::service::Service;

/// The minimum interval between a router's statements, in seconds. A random part of the same length
/// is added.
const MIN_STATEMENT_INTERVAL_S: f64 = 0.02;

/// On average, one of this many statements is a write.
const STATEMENTS_PER_WRITE: u64 = 3;

impl Edge {
    /// Sends a router's statements that are due: a read to each replica, and one statement to the
    /// primary.
    pub(crate) fn statement_due(&mut self, kernel: &mut Kernel, service: &Service, index: usize) {
        if self.statements_enabled && !self.routers[index].frozen {
            read_at_replicas(kernel, service, index);
            self.send_statement(kernel, service, index);
        }
        let pause = MIN_STATEMENT_INTERVAL_S + 0.0002 * kernel.random.below(100) as f64;
        kernel.schedule(pause, RouterEvent::StatementDue(index));
    }

    fn send_statement(&mut self, kernel: &mut Kernel, service: &Service, index: usize) {
        let router = &self.routers[index];
        let Some(grant) = router.usable_primary(router.clock(kernel.now())) else {
            return;
        };
        let kind = if kernel.random.below(STATEMENTS_PER_WRITE) == 0 {
            StatementKind::Write
        } else {
            StatementKind::Read
        };
        let statement = Statement {
            router: index,
            server_id: grant.server_id.clone(),
            granted_term: grant.primary_term,
            position_before: router.newest_position,
            kind,
            acknowledged_before: service.acknowledged_commits.len(),
            sent_at: kernel.now(),
        };
        let delay = kernel.message_delay();
        kernel.schedule(delay, ServerEvent::StatementArrived(statement));
    }

    /// Records the arrival of a server's answer at a router.
    pub(crate) fn answer_arrived(&mut self, kernel: &Kernel, index: usize, server_id: String) {
        let router = &mut self.routers[index];
        let clock = router.clock(kernel.now());
        router.last_answers.insert(server_id, clock);
    }
}

impl Edge {
    /// Handles the answer to a write. Returns whether the router passes the success on to the
    /// client: it does while it may use the primary under the grant under which it sent the write.
    pub(crate) fn write_committed(&mut self, kernel: &Kernel, write: &CommittedWrite) -> bool {
        let router = &mut self.routers[write.router];
        if router.frozen {
            let event = RouterEvent::WriteCommitted(write.clone());
            router.inbox.push(event);
            return false;
        }
        let clock = router.clock(kernel.now());
        let is_still_granted = router.usable_primary(clock).is_some_and(|grant| {
            grant.server_id == write.server_id && grant.primary_term == write.granted_term
        });
        if is_still_granted {
            router.acknowledged_position = router.acknowledged_position.max(write.position);
            router.surpassed_position = router.surpassed_position.max(write.position_before);
            router.newest_position = router.newest_position.max(write.position);
        }
        is_still_granted
    }
}

/// Sends a read to each replica that is up and that routers reach. Only the answers are simulated,
/// not the data that they return.
fn read_at_replicas(kernel: &mut Kernel, service: &Service, index: usize) {
    let servers = service.servers.values();
    let replicas = servers
        .filter(|server| server.is_up() && !server.is_primary)
        .filter(|server| !service.unresponsive_to_routers.contains(&server.id));
    for replica in replicas {
        let answer = RouterEvent::AnswerArrived {
            router: index,
            server_id: replica.id.clone(),
        };
        kernel.schedule(2.0 * kernel.message_delay_s, answer);
    }
}
