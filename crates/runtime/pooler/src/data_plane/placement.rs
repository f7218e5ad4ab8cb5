//! Placement of a statement: chooses a server, waits for a connection to it, and checks the lease
//! just before the connection is used.
//!
//! The client sessions call [`DataPlane::place`]. The statement itself is not sent here.

use super::DataPlane;
use super::admission::AdmissionTerms;
use super::pool::{Checkout, CheckoutError, Pool};
use crate::clock;
use crate::net;
use crate::view::View;
use badgerstream_line_protocol::Position;
use badgerstream_pooler_config::config::{Mode, Route};
use badgerstream_pooling::choice::{Access, ChoiceInput, Consistency, Destination, choose};
use badgerstream_pooling::session::{Session, Shape};
use futures_lite::future::or;
use std::rc::Rc;

/// Retry delay given to a client when no server is available, in seconds.
pub(super) const RETRY_AFTER_S: f64 = 0.2;
/// Lower bound of the attempts that a route allows.
const MIN_ATTEMPTS: u32 = 2;
/// Attempts added to those that a route allows.
const EXTRA_ATTEMPTS: u32 = 2;
/// Interval at which a primary that is unknown or in a backoff is checked again, in seconds.
const PRIMARY_RECHECK_INTERVAL_S: f64 = 0.05;

/// How statements of a route are to be handled, as configured when the statement arrived or its
/// transaction began at a server.
#[derive(Debug, Clone)]
pub(super) struct RouteTerms {
    /// The service that holds the database.
    pub(super) service: Rc<str>,
    /// The consistency that its reads require.
    pub(super) consistency: Consistency,
    /// Maximum duration of a statement from its arrival, in seconds.
    pub(super) deadline_s: f64,
    /// The latency target of a statement, in seconds.
    pub(super) target_s: f64,
    /// Rank in the admission queues; rank 0 is admitted first.
    pub(super) rank: u32,
    /// Number of attempts that the route allows (`tries`).
    pub(super) configured_attempts: u32,
    /// Maximum number of connections that each server of the service accepts.
    pub(super) max_connections: usize,
}

impl RouteTerms {
    /// Returns the terms of a route.
    pub(super) fn from_route(route: &Route, max_connections: usize) -> Self {
        let staleness_s = route.staleness_ms.map(|ms| ms as f64 / 1000.0);
        let consistency = match (route.mode, staleness_s) {
            (Mode::Leader, _) | (_, None) => Consistency::Strong,
            (Mode::BoundedStaleness, Some(staleness_s)) => Consistency::Bounded(staleness_s),
            (Mode::InHouse, Some(staleness_s)) => Consistency::ReadYourWrites(staleness_s),
        };
        Self {
            service: route.service.as_str().into(),
            consistency,
            deadline_s: route.deadline_ms as f64 / 1000.0,
            target_s: route.target_ms as f64 / 1000.0,
            rank: route.rank,
            configured_attempts: route.tries,
            max_connections,
        }
    }

    /// Maximum number of attempts at a statement.
    pub(super) fn max_attempts(&self) -> u32 {
        self.configured_attempts.max(MIN_ATTEMPTS) + EXTRA_ATTEMPTS
    }

    /// Limits a retry delay, in seconds, to the maximum duration of a statement, but to no less
    /// than [`RETRY_AFTER_S`].
    pub(super) fn bound_retry_after(&self, retry_after_s: f64) -> f64 {
        retry_after_s.min(self.deadline_s.max(RETRY_AFTER_S))
    }
}

/// A statement or transaction that needs a connection.
pub(super) struct PlacementRequest<'a> {
    /// The terms of its route.
    pub(super) terms: &'a RouteTerms,
    /// Whether it reads or writes.
    pub(super) access: Access,
    /// When it arrived, or the `BEGIN` of its transaction did, in seconds of the monotonic clock.
    pub(super) arrived_at: f64,
    /// When the statement that now waits arrived, in seconds of the monotonic clock: its latency
    /// target counts from then.
    pub(super) waiting_since: f64,
    /// The statement that must be prepared on the connection.
    pub(super) shape: Option<&'a Shape>,
    /// Whether it takes a slot of the server; everything but `BEGIN` does.
    pub(super) takes_slot: bool,
}

impl PlacementRequest<'_> {
    /// Returns the terms for its admission at this server, which ends at `give_up_at` at the
    /// latest.
    pub(super) fn admission_terms(&self, pool: &Pool, give_up_at: f64) -> AdmissionTerms {
        let latest_start = self.waiting_since + self.terms.target_s - pool.latency().mean_s();
        AdmissionTerms {
            // Rank 0 is reserved for transactions that have begun at the server.
            rank: self.terms.rank.saturating_add(1),
            latest_start,
            give_up_at,
        }
    }
}

/// A connection on which the statement may be sent now.
pub(super) struct Placement {
    /// The connection.
    pub(super) checkout: Checkout,
    /// The position that the replica must have reached, sent with `WAITPOS`; `None` at the primary.
    pub(super) proof: Option<Position>,
}

/// No connection was available in time. The statement has not run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Unplaced {
    /// Delay after which the client should try again, in seconds.
    pub(super) retry_after_s: f64,
}

/// The server that a statement waits for.
enum PlacementTarget {
    Primary(Rc<Pool>),
    Replica(Rc<Pool>, Position),
    /// No server is usable now; choose again at this second of the monotonic clock, or when the
    /// view changes.
    RetryAt(f64),
}

/// The wait for admission at the chosen server.
struct AdmissionWait<'a> {
    pool: &'a Rc<Pool>,
    is_primary: bool,
    /// Generation of the view when the server was chosen.
    generation: u64,
    /// When the wait ends at the latest, in seconds of the monotonic clock.
    give_up_at: f64,
}

impl DataPlane {
    /// Waits until `give_up_at` (seconds of the monotonic clock) for a connection to a server that
    /// may serve this request. Replicas in `tried_servers` are not used again; a primary among them
    /// is used only if there is no suitable replica.
    ///
    /// # Errors
    /// [`Unplaced`] if no connection is available by then, or as soon as the estimated wait exceeds
    /// it.
    pub(super) async fn place(
        self: &Rc<Self>,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        give_up_at: f64,
    ) -> Result<Placement, Unplaced> {
        let began_at = clock::now();
        let placed = self
            .wait_for_placement(request, session, tried_servers, give_up_at)
            .await;
        if let Ok(placement) = &placed {
            self.counts
                .record_placed(placement.proof.is_none(), clock::now() - began_at);
        }
        placed.map_err(|unplaced| {
            self.counts.record_unplaced();
            let retry_after_s = self.update_service(&request.terms.service, |state| {
                state
                    .refusals
                    .record_refusal(clock::now(), unplaced.retry_after_s)
            });
            Unplaced { retry_after_s }
        })
    }

    async fn wait_for_placement(
        self: &Rc<Self>,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        give_up_at: f64,
    ) -> Result<Placement, Unplaced> {
        loop {
            let now = clock::now();
            if now >= give_up_at {
                return Err(Unplaced {
                    retry_after_s: RETRY_AFTER_S,
                });
            }
            let generation = self.shared_view.changed.generation();
            let (pool, proof) = match self.choose_target(request, session, tried_servers, now) {
                PlacementTarget::Primary(pool) => (pool, None),
                PlacementTarget::Replica(pool, proof) => (pool, Some(proof)),
                PlacementTarget::RetryAt(at) => {
                    let changed = self.shared_view.changed.notified_since(generation);
                    net::with_deadline(at.min(give_up_at), changed).await;
                    continue;
                }
            };
            let wait = AdmissionWait {
                pool: &pool,
                is_primary: proof.is_none(),
                generation,
                give_up_at,
            };
            let acquired = self.acquire_while_valid(request, session, &wait).await?;
            // The lease may have ended during the wait.
            if let Some(checkout) = acquired
                && (proof.is_some() || self.is_leased(&pool.server, clock::now()))
            {
                return Ok(Placement { checkout, proof });
            }
        }
    }

    /// Waits for a connection to this server. Returns `None` if the server can't be reached or is
    /// no longer valid: the caller then chooses again.
    async fn acquire_while_valid(
        self: &Rc<Self>,
        request: &PlacementRequest<'_>,
        session: &Session,
        wait: &AdmissionWait<'_>,
    ) -> Result<Option<Checkout>, Unplaced> {
        let pool = wait.pool;
        let terms = request.admission_terms(pool, wait.give_up_at);
        let acquire = async {
            let (values, shape) = (&session.values, request.shape);
            Some(Checkout::acquire(self, pool, &terms, values, shape, request.takes_slot).await)
        };
        let invalid = async {
            self.until_invalid(pool, wait.is_primary, wait.generation)
                .await;
            None
        };
        match net::with_deadline(wait.give_up_at, or(acquire, invalid)).await {
            None => Err(Unplaced {
                retry_after_s: pool.estimated_wait(&terms, clock::now()),
            }),
            Some(Some(Err(CheckoutError::Busy { wait_s }))) => Err(Unplaced {
                retry_after_s: wait_s,
            }),
            Some(Some(Ok(checkout))) => Ok(Some(checkout)),
            Some(None | Some(Err(CheckoutError::Unreachable))) => Ok(None),
        }
    }

    /// Waits until this server is no longer valid for the waiting statement. Other changes of the
    /// view are ignored, so that the statement keeps its position in the queue.
    async fn until_invalid(&self, pool: &Pool, is_primary: bool, mut generation: u64) {
        loop {
            self.shared_view.changed.notified_since(generation).await;
            generation = self.shared_view.changed.generation();
            if !self.is_still_valid(pool, is_primary) {
                return;
            }
        }
    }

    fn is_still_valid(&self, pool: &Pool, is_primary: bool) -> bool {
        let view = self.shared_view.view.borrow();
        if is_primary {
            view.primary(&pool.server.service, clock::now())
                .is_some_and(|grant| grant.server_id == pool.server.id)
        } else {
            view.servers
                .get(&pool.server.id)
                .is_some_and(|server| !server.draining && server.endpoint == pool.server.endpoint)
        }
    }

    /// Chooses a server for this request by the present state of view, pools and health.
    fn choose_target(
        &self,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        now: f64,
    ) -> PlacementTarget {
        let view = self.shared_view.view.borrow();
        let service = &*request.terms.service;
        let primary = view
            .primary(service, now)
            .and_then(|grant| view.servers.get(&grant.server_id))
            .map(|server| self.pool(server, request.terms.max_connections));
        let avoid_primary = primary.as_ref().is_none_or(|pool| {
            pool.is_full() || !pool.health().is_up(now) || tried_servers.contains(&pool.server.id)
        });
        let input = ChoiceInput {
            consistency: request.terms.consistency,
            access: request.access,
            arrived_at: request.arrived_at,
            avoid_primary,
        };
        let destination = self.update_service(service, |state| {
            choose(&input, session, &state.history, now)
        });
        if let Destination::Replica(proof) = destination
            && let Some(pool) = self.next_replica(&view, request, proof, tried_servers, now)
        {
            return PlacementTarget::Replica(pool, proof);
        }
        match primary {
            Some(pool) if pool.health().is_up(now) => PlacementTarget::Primary(pool),
            // The end of a backoff wakes nobody, so it is polled for; a change of the view wakes
            // the statement at once.
            _ => PlacementTarget::RetryAt(now + PRIMARY_RECHECK_INTERVAL_S),
        }
    }

    /// Returns the next replica in rotation that is up and may have reached this position.
    fn next_replica(
        &self,
        view: &View,
        request: &PlacementRequest<'_>,
        proof: Position,
        tried_servers: &[String],
        now: f64,
    ) -> Option<Rc<Pool>> {
        let service = &*request.terms.service;
        let primary_id = view.grants.get(service).map(|grant| &grant.server_id);
        let mut replicas: Vec<_> = view
            .servers
            .values()
            .filter(|server| {
                server.service == service
                    && !server.draining
                    && Some(&server.id) != primary_id
                    && !tried_servers.contains(&server.id)
            })
            .map(|server| self.pool(server, request.terms.max_connections))
            .filter(|pool| {
                let health = pool.health();
                health.is_up(now) && health.may_have_position(proof, now)
            })
            .collect();
        // The rotation needs a fixed order, which the map doesn't have.
        replicas.sort_by(|a, b| a.server.id.cmp(&b.server.id));
        let index = self.update_service(service, |state| {
            state.rotation.next(replicas.len(), |_| true)
        })?;
        Some(replicas.swap_remove(index))
    }
}
