//! Tests of the data plane between scripted servers and simple clients on loopback, all on one
//! thread. The tests don't sleep: every wait is for an event.

mod consistency;
mod harness;
mod leases;
mod lost_answers;
mod observation;
mod pooling;
mod retries;
mod shutdown;
mod transactions;
