//! The servers of the service: adds, crashes and restarts them.

use super::promotion::Promotion;
use super::replication::{AcknowledgementPath, PendingWrite};
use super::server::{Server, ServerRole};
use crate::event::ServerEvent;
use crate::health::Health;
use crate::kernel::Kernel;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The time that a restarted server needs to find the primary, in seconds. It receives no log
/// entries meanwhile, so a command that arrives in this time finds the log as it was before.
const RECONNECT_DELAY_S: f64 = 0.25;

/// The delay before a restarted server sends its first heartbeat, in seconds.
const FIRST_HEARTBEAT_DELAY_S: f64 = 0.01;

/// The servers, and the commits that they acknowledged.
#[derive(Clone, Default)]
pub struct Service {
    /// All servers by their ids, including those whose processes have ended.
    pub servers: BTreeMap<String, Server>,
    /// Servers that are up but answer no control machine.
    pub unresponsive_to_control: HashSet<String>,
    /// Servers that are up but answer no router's reads at replicas.
    pub unresponsive_to_routers: HashSet<String>,
    /// Servers that are up but refuse connections of control machines.
    pub refusing_control: HashSet<String>,
    /// The probability that a command is executed but its answer is lost, in thousandths.
    pub command_answers_lost_per_mille: u64,
    /// Whether a server keeps and reports the highest term it has seen. Otherwise it reports the
    /// term of its current pause, or 0.
    pub reports_highest_term_seen: bool,
    /// Whether a second `PAUSE` of the same term is rejected.
    pub rejects_repeated_pause: bool,
    /// Acknowledged commits, in the order of their acknowledgement.
    pub acknowledged_commits: Vec<u64>,
    /// The time of each acknowledgement, in seconds of simulated time.
    pub acknowledgement_times: Vec<f64>,
    /// Promotions that took effect, in order.
    pub promotions: Vec<Promotion>,
    /// How clients learn of commits.
    pub acknowledgement_path: AcknowledgementPath,
    /// By number, the commits that no replica has received yet and that a router awaits.
    pub(super) pending_writes: HashMap<u64, PendingWrite>,
    pub(super) last_commit: u64,
}

impl Service {
    pub(crate) fn server_mut(&mut self, id: &str) -> &mut Server {
        self.servers.get_mut(id).expect("the server exists")
    }

    /// Adds a server, which sends its first heartbeat within one second.
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
        self.close_connections_to(id);
    }

    /// Closes the connections of routers to a server whose process has ended. The routers get no
    /// answers to the writes that they sent.
    fn close_connections_to(&mut self, id: &str) {
        self.pending_writes
            .retain(|_, pending| pending.server_id != id);
    }

    /// Restarts the server with its log, as a replica if another server was promoted meanwhile.
    pub(crate) fn recover(&mut self, kernel: &mut Kernel, id: &str) {
        self.close_connections_to(id);
        let highest_term = self.highest_primary_term();
        let server = self.server_mut(id);
        server.health = Health::Up;
        // A server whose term is outdated follows the primary that was promoted last.
        if server.primary_term < highest_term {
            server.is_primary = false;
            server.primary_term = highest_term;
        }
        server.paused_at_term = None;
        server.reconnects_at = kernel.now() + RECONNECT_DELAY_S;
        let heartbeat = ServerEvent::HeartbeatDue(id.to_owned());
        kernel.schedule(FIRST_HEARTBEAT_DELAY_S, heartbeat);
    }

    /// Restarts a server at its address under another id, with its log. It is the primary if it was
    /// before and no other server has been promoted since.
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
