//! What database servers and the platform do, without sockets or clock: commits and their
//! replication, sessions and their statements, promotions, crashes.
//!
//! `cluster_host` owns the one [`DatabaseCluster`] of a process and gives it the time, in seconds,
//! and the lines received; the cluster returns what is to be written ([`ConnectionOutput`]). It is
//! deterministic: the same calls at the same times give the same output. Time passes in steps:
//! [`DatabaseCluster::step`] does all that is due, in order, and
//! [`DatabaseCluster::next_step_at_s`] tells when it is to be called again.
//!
//! | part | module |
//! | --- | --- |
//! | state of services, servers and sessions; what can be asked of it | `model` |
//! | what happens when its time has come | `timeline` |
//! | connections, and the slots that statements wait for | `sessions` |
//! | statements of clients | `statements` |
//! | statements of control: `STATUS`, `PAUSE`, `RESUME`, `STEPDOWN`, and `RESET` of routers | `administration` |
//! | commits and their acknowledgement | `commits` |
//! | promotions, crashes, and whom replicas follow | `failover` |

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
