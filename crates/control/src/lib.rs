//! The decisions of control: agreement, members, leases, failover; no I/O, no clock.
