//! Which services' failovers are stepped in a tick, and how much a tick may do. A leader with
//! thousands of services steps them in turn, so that leases and consensus have their time.

use crate::failover::{Failover, FailoverConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// How many services have their turn in one tick, at most.
pub(crate) const MAX_SERVICES_PER_TICK: usize = 128;
/// How many of these may be services whose primary isn't steady, while there are others.
const MAX_UNSTEADY_SERVICES_PER_TICK: usize = 96;
/// How many primaries are polled in one second, at most.
const MAX_PRIMARY_POLLS_PER_S: f64 = 1250.0;
/// How many connections to replicas are kept open for polling, at most.
const MAX_REPLICA_CONNECTIONS: f64 = 700.0;
/// How many replicas a service is assumed to have.
const ASSUMED_REPLICAS_PER_SERVICE: f64 = 2.0;
/// After this time without a command the driver closes the connection to a server.
const IDLE_CONNECTION_TIMEOUT_S: f64 = 6.0;
/// Ticks that come no further apart than this may do all that one tick may do.
const PUNCTUAL_TICK_INTERVAL_S: f64 = 0.1;
/// The least part of its work that a late tick does.
const MIN_BUDGET_SHARE: f64 = 0.25;

/// Schedules the steps of the services' failovers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceScheduler {
    /// The service that had the last turn: the next turns begin behind it.
    last_service: String,
    /// Services whose primary isn't steady, and a server of which has answered since their last
    /// step: they don't wait for their turn.
    answered: BTreeSet<String>,
    last_tick_at: f64,
    /// The time between this tick and the last.
    tick_interval: f64,
}

impl ServiceScheduler {
    /// A tick begins.
    pub(super) fn begin_tick(&mut self, now: f64) {
        self.tick_interval = now - self.last_tick_at;
        self.last_tick_at = now;
    }

    /// How much this tick may do of work of which a punctual one may do `most`: on a machine that
    /// is late, what can wait must leave time to leases and consensus.
    pub(super) fn budget(&self, most: usize) -> usize {
        let share = PUNCTUAL_TICK_INTERVAL_S / self.tick_interval.max(PUNCTUAL_TICK_INTERVAL_S);
        (most as f64 * share.max(MIN_BUDGET_SHARE)) as usize
    }

    /// A server of this service has answered, and its primary isn't steady.
    pub(super) fn server_answered(&mut self, service: &str) {
        if !self.answered.contains(service) {
            self.answered.insert(service.to_owned());
        }
    }

    /// The services that don't wait for their turn.
    pub(super) fn take_answered(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.answered)
    }

    /// The service has had its turn.
    pub(super) fn turn_done(&mut self, service: String) {
        self.last_service = service;
    }

    /// The services that have their turn in this tick: those whose primary isn't steady first.
    pub(super) fn next_turns(&self, failovers: &BTreeMap<String, Failover>) -> Vec<String> {
        let behind = (Bound::Excluded(self.last_service.clone()), Bound::Unbounded);
        let (steady, unsteady): (Vec<_>, Vec<_>) = failovers
            .range(behind)
            .chain(failovers.range(..=self.last_service.clone()))
            .partition(|(_, failover)| failover.is_steady());
        let unsteady_turns =
            MAX_UNSTEADY_SERVICES_PER_TICK.max(MAX_SERVICES_PER_TICK.saturating_sub(steady.len()));
        unsteady
            .into_iter()
            .take(unsteady_turns)
            .chain(steady)
            .map(|(service, _)| service.clone())
            .take(MAX_SERVICES_PER_TICK)
            .collect()
    }
}

/// The configuration of failovers for this number of services: with many, servers are polled less
/// often, and time-outs are longer.
pub(super) fn scaled_config(config: FailoverConfig, services: usize) -> FailoverConfig {
    let services = services as f64;
    let factor = (services / MAX_PRIMARY_POLLS_PER_S / config.primary_poll_interval).max(1.0);
    let replicas = ASSUMED_REPLICAS_PER_SERVICE * services;
    // So rarely that connections to replicas are closed between two polls.
    let interval_of_closed = if replicas > MAX_REPLICA_CONNECTIONS {
        IDLE_CONNECTION_TIMEOUT_S * replicas / MAX_REPLICA_CONNECTIONS
    } else {
        0.0
    };
    FailoverConfig {
        primary_poll_interval: config.primary_poll_interval * factor,
        replica_poll_interval: (config.replica_poll_interval * factor).max(interval_of_closed),
        primary_timeout: config.primary_timeout * factor,
        ..config
    }
}
