//! What a test or the fault injector wants to know of the simulation.

use super::Simulation;
use crate::digest::RunDigest;
use crate::observer;
use crate::oracle::liveness;
use crate::service::Server;
use badgerstream_control::NodeId;

/// Writes count as acknowledged again if one was within so many seconds.
const RECENT_WRITE_S: f64 = 0.4;

impl Simulation {
    /// The simulated time, in seconds since the run began.
    pub fn now(&self) -> f64 {
        self.kernel.now()
    }

    /// The control machine that leads and may act.
    pub fn leader(&self) -> Option<NodeId> {
        self.control.leader(self.now())
    }

    /// The failover phase in which the leader sees the service, as its status names it.
    pub fn phase(&self) -> &'static str {
        self.control.phase(self.now())
    }

    /// The primary that all routers may use, if it is one.
    pub fn primary_in_use(&self) -> Option<String> {
        self.edge.primary_in_use(self.now(), &self.service)
    }

    /// The server with this id.
    ///
    /// # Panics
    ///
    /// If there never was one.
    pub fn server(&self, id: &str) -> &Server {
        &self.service.servers[id]
    }

    /// The server with this id, for a test to change.
    ///
    /// # Panics
    ///
    /// If there never was one.
    pub fn server_mut(&mut self, id: &str) -> &mut Server {
        self.service.server_mut(id)
    }

    /// Whether a write was acknowledged a moment ago.
    pub fn acknowledges_writes(&self) -> bool {
        let last = self.service.acknowledgement_times.last();
        last.is_some_and(|at| self.now() - at < RECENT_WRITE_S)
    }

    /// Whether the committed voter set is that of all machines with their disks of now.
    pub fn all_machines_vote(&self) -> bool {
        self.control.all_machines_vote()
    }

    /// Whether this control machine counts as lost.
    pub fn is_lost(&self, node: NodeId) -> bool {
        let losses = &self.oracle.losses;
        losses.is_lost(&self.control, node, self.now())
    }

    /// How many control machines count as lost.
    pub fn lost_machines(&self) -> usize {
        let losses = &self.oracle.losses;
        losses.lost_machines(&self.control, self.now())
    }

    /// The state of all control machines, for messages.
    pub fn describe(&self) -> String {
        liveness::describe(&self.control, &self.oracle.losses, self.now())
    }

    /// The digest of the run so far.
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
