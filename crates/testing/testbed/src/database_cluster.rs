//! Simulates the behavior of database servers and platform without sockets or clock: commits and
//! their replication, sessions and their statements, promotions and crashes.
//!
//! `cluster_host` owns the only [`DatabaseCluster`] of a process and passes it the time, in
//! seconds, and the received lines; the cluster returns the output for each connection
//! ([`ConnectionOutput`]). It is deterministic: the same calls at the same times give the same
//! output. Time advances in steps: [`DatabaseCluster::step`] processes all due events in order, and
//! [`DatabaseCluster::next_step_at_s`] returns the time at which it must be called again.
//!
//! | part | module |
//! | --- | --- |
//! | state of services, servers and sessions, and queries on it | `model` |
//! | events at their due times | `timeline` |
//! | connections, and the queue for execution slots | `sessions` |
//! | client statements | `statements` |
//! | control's statements `STATUS`, `PAUSE`, `RESUME`, `STEPDOWN`; the routers' `RESET` | `administration` |
//! | commits and their acknowledgement | `commits` |
//! | promotions, crashes, and which primary replicas follow | `failover` |

mod administration;
mod commits;
mod failover;
mod model;
mod sessions;
mod statements;
mod timeline;

pub use model::{
    AnnouncedState, ConnectionId, ConnectionOutput, DatabaseCluster, Rejection, ServerSpec,
    ServiceSpec, Timing,
};
