//! Schedules which services' failovers are stepped in a tick, and limits the work of a tick. A
//! leader with thousands of services steps them round-robin, so that it has time for leases and
//! consensus.

use crate::failover::{Failover, FailoverConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum number of services that have their turn in one tick.
pub(crate) const MAX_SERVICES_PER_TICK: usize = 128;
/// Maximum number of services with an unsteady failover among these, while steady ones wait too.
const MAX_UNSTEADY_SERVICES_PER_TICK: usize = 96;
/// Maximum number of polls of primaries per second.
const MAX_PRIMARY_POLLS_PER_S: f64 = 1250.0;
/// Maximum number of connections to replicas that polling keeps open.
const MAX_REPLICA_CONNECTIONS: f64 = 700.0;
/// Number of replicas that a service is assumed to have.
const ASSUMED_REPLICAS_PER_SERVICE: f64 = 2.0;
/// The driver closes the connection to a server after this time without a command.
const IDLE_CONNECTION_TIMEOUT_S: f64 = 6.0;
/// A tick that follows the previous one within this time has its full budget of work.
const PUNCTUAL_TICK_INTERVAL_S: f64 = 0.1;
/// Minimum share of its full budget that a late tick has.
const MIN_BUDGET_SHARE: f64 = 0.25;

/// Schedules the steps of the services' failovers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceScheduler {
    /// The service that had the last turn. The next turns begin with the service after it.
    last_service: String,
    /// Services with an unsteady failover, a server of which has answered since their last step.
    /// They are stepped in the next tick without waiting for their turn.
    answered: BTreeSet<String>,
    last_tick_at: f64,
    /// Seconds between this tick and the previous one.
    tick_interval: f64,
}

impl ServiceScheduler {
    /// Records the start of a tick.
    pub(super) fn begin_tick(&mut self, now: f64) {
        self.tick_interval = now - self.last_tick_at;
        self.last_tick_at = now;
    }

    /// Returns the amount of work for this tick, where a punctual tick may do `full_budget`. On a
    /// machine whose ticks are late, work that can wait must leave time for leases and consensus.
    pub(super) fn budget(&self, full_budget: usize) -> usize {
        let share = PUNCTUAL_TICK_INTERVAL_S / self.tick_interval.max(PUNCTUAL_TICK_INTERVAL_S);
        (full_budget as f64 * share.max(MIN_BUDGET_SHARE)) as usize
    }

    /// Records that a server of this service, whose failover isn't steady, has answered.
    pub(super) fn server_answered(&mut self, service: &str) {
        if !self.answered.contains(service) {
            self.answered.insert(service.to_owned());
        }
    }

    /// Takes the services that don't wait for their turn.
    pub(super) fn take_answered(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.answered)
    }

    /// Records that the service has had its turn.
    pub(super) fn turn_done(&mut self, service: String) {
        self.last_service = service;
    }

    /// Returns the services that have their turn in this tick, with unsteady ones first.
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

/// Returns the configuration of failovers for this number of services. With many services, servers
/// are polled less often, and the primary timeout is longer.
pub(super) fn scaled_config(config: FailoverConfig, services: usize) -> FailoverConfig {
    let services = services as f64;
    let factor = (services / MAX_PRIMARY_POLLS_PER_S / config.primary_poll_interval).max(1.0);
    let replicas = ASSUMED_REPLICAS_PER_SERVICE * services;
    // With many replicas, they are polled so rarely that connections are closed between two polls.
    let min_replica_poll_interval = if replicas > MAX_REPLICA_CONNECTIONS {
        IDLE_CONNECTION_TIMEOUT_S * replicas / MAX_REPLICA_CONNECTIONS
    } else {
        0.0
    };
    FailoverConfig {
        primary_poll_interval: config.primary_poll_interval * factor,
        replica_poll_interval: (config.replica_poll_interval * factor)
            .max(min_replica_poll_interval),
        primary_timeout: config.primary_timeout * factor,
        ..config
    }
}
