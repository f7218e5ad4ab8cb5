//! The servers of the service: their start, end and return.

use super::promotion::Promotion;
use super::server::{Server, ServerRole};
use crate::event::ServerEvent;
use crate::health::Health;
use crate::kernel::Kernel;
use std::collections::{BTreeMap, HashSet};

/// A server that comes back receives nothing for so many seconds, until it has found the primary: a
/// command that comes before finds its log as it was.
const RECONNECT_DELAY_S: f64 = 0.25;

/// A server that comes back sends a heartbeat after so many seconds.
const FIRST_HEARTBEAT_DELAY_S: f64 = 0.01;

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
    pub(super) last_commit: u64,
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
        let heartbeat = ServerEvent::HeartbeatDue(id.to_owned());
        kernel.schedule(FIRST_HEARTBEAT_DELAY_S, heartbeat);
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
}
