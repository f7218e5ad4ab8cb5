//! The queries by which a test or the fault injector observes the simulation.

use super::Simulation;
use crate::digest::RunDigest;
use crate::observer;
use crate::oracle::liveness;
use crate::service::Server;
use badgerstream_control::NodeId;

/// Writes count as working if one was acknowledged within the last this many seconds.
const RECENT_WRITE_S: f64 = 0.4;

impl Simulation {
    /// Returns the simulated time, in seconds since the run began.
    pub fn now(&self) -> f64 {
        self.kernel.now()
    }

    /// Returns the control machine that is the leader and may act.
    pub fn leader(&self) -> Option<NodeId> {
        self.control.leader(self.now())
    }

    /// Returns the failover phase of the service according to the leader, as named in its status.
    pub fn phase(&self) -> &'static str {
        self.control.phase(self.now())
    }

    /// Returns the primary that all running routers may use; `None` unless they agree on one that
    /// is up.
    pub fn primary_in_use(&self) -> Option<String> {
        self.edge.primary_in_use(self.now(), &self.service)
    }

    /// Returns the server with this id.
    ///
    /// # Panics
    ///
    /// If no server with this id was ever added.
    pub fn server(&self, id: &str) -> &Server {
        &self.service.servers[id]
    }

    /// Returns the server with this id for a test to change.
    ///
    /// # Panics
    ///
    /// If no server with this id was ever added.
    pub fn server_mut(&mut self, id: &str) -> &mut Server {
        self.service.server_mut(id)
    }

    /// Returns whether a write was acknowledged within the last 0.4 s.
    pub fn acknowledges_writes(&self) -> bool {
        let last = self.service.acknowledgement_times.last();
        last.is_some_and(|at| self.now() - at < RECENT_WRITE_S)
    }

    /// Returns whether the committed voter set consists of all machines that were not removed, each
    /// with its current disk.
    pub fn all_machines_vote(&self) -> bool {
        self.control.all_machines_vote()
    }

    /// Returns whether this control machine counts as lost.
    pub fn is_lost(&self, node: NodeId) -> bool {
        let losses = &self.oracle.losses;
        losses.is_lost(&self.control, node, self.now())
    }

    /// Returns the number of control machines that count as lost.
    pub fn lost_machines(&self) -> usize {
        let losses = &self.oracle.losses;
        losses.lost_machines(&self.control, self.now())
    }

    /// Describes the state of all control machines for failure messages.
    pub fn describe(&self) -> String {
        liveness::describe(&self.control, &self.oracle.losses, self.now())
    }

    /// Returns the digest of the run so far.
    pub fn digest(&self) -> RunDigest {
        observer::final_digest(
            &self.kernel,
            &self.control,
            &self.edge,
            &self.service,
            &self.operators.config_changes,
        )
    }
}
