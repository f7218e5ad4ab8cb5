//! The decisions of the data plane: sessions, freshness, choice of server, queues; no I/O, no clock.
