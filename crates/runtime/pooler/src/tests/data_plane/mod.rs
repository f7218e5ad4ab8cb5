//! The data plane between scripted servers and plain clients on loopback, all on one thread.
//! Nothing sleeps: every wait is for an event.

mod consistency;
mod harness;
mod leases;
mod lost_answers;
mod observation;
mod pooling;
mod retries;
mod shutdown;
mod transactions;
