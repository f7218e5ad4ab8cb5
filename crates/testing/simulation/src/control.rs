//! The control machines, their disks and the network between them.
//!
//! [`ControlCluster`] owns them. It schedules its own events and returns the outputs of the
//! controllers' decisions. [`crate::Simulation`] carries these out, because they also involve other
//! components.

mod cluster;
mod disk;
mod machine;
mod network;
mod partitions;
mod persistence;
mod timing;
mod transport;

pub use cluster::ControlCluster;
pub use disk::{Disk, DiskHealth, HEALTHY_DISK, WriteOutcome};
pub use machine::ControlMachine;
pub use network::{PeerEnvelope, PeerNetwork};
pub use partitions::Isolation;
pub use timing::timing;
pub(crate) use transport::Delivery;
