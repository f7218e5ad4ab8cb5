//! Where a statement goes that needs a connection: the choice, the waiting for it, and the lease just before use.

use super::DataPlane;
use super::net;
use super::pool::{AdmissionTerms, Checkout, CheckoutError, Pool};
use crate::clock;
use badgerstream_line_protocol::Position;
use badgerstream_pooler_config::config::{Mode, Route};
use badgerstream_pooling::choice::{Access, ChoiceInput, Consistency, Destination, choose};
use badgerstream_pooling::session::{Session, Shape};
use futures_lite::future::or;
use std::rc::Rc;

/// When a client is told to come back if no server is to be had, in seconds.
pub(super) const RETRY_AFTER_S: f64 = 0.2;
/// A route that allows fewer tries than this is given as many.
const MIN_ATTEMPTS: u32 = 2;
/// Tries beyond those that a route allows.
const EXTRA_ATTEMPTS: u32 = 2;
/// A primary that is in a pause is looked at again after this, in seconds.
const PRIMARY_RECHECK_INTERVAL_S: f64 = 0.05;

/// What a route asks of its statements, as it stood when the statement or its transaction came.
#[derive(Debug, Clone)]
pub struct RouteTerms {
    /// The service that holds the database.
    pub service: Rc<str>,
    /// How consistent reads must be.
    pub consistency: Consistency,
    /// The most that a statement may take, in seconds.
    pub deadline_s: f64,
    /// The time in which an operation should be answered, in seconds.
    pub target_s: f64,
    /// 0 goes first.
    pub rank: u32,
    /// How often an operation may be tried.
    pub configured_attempts: u32,
    /// How many connections a server of the service takes.
    pub max_conns: usize,
}

impl RouteTerms {
    /// Those of a route.
    pub fn from_route(route: &Route, max_conns: usize) -> Self {
        let staleness = route.staleness_ms.map(|ms| ms as f64 / 1000.0);
        let consistency = match (route.mode, staleness) {
            (Mode::Leader, _) | (_, None) => Consistency::Strong,
            (Mode::BoundedStaleness, Some(s)) => Consistency::Bounded(s),
            (Mode::InHouse, Some(s)) => Consistency::ReadYourWrites(s),
        };
        Self {
            service: route.service.as_str().into(),
            consistency,
            deadline_s: route.deadline_ms as f64 / 1000.0,
            target_s: route.target_ms as f64 / 1000.0,
            rank: route.rank,
            configured_attempts: route.tries,
            max_conns,
        }
    }

    /// How often a statement is sent at most.
    pub fn max_attempts(&self) -> u32 {
        self.configured_attempts.max(MIN_ATTEMPTS) + EXTRA_ATTEMPTS
    }

    /// The retry delay of a client, which is no longer than a statement may take.
    pub fn bound_retry_after(&self, wait: f64) -> f64 {
        wait.min(self.deadline_s.max(RETRY_AFTER_S))
    }
}

/// What needs a connection.
pub struct PlacementRequest<'a> {
    /// Its route's terms.
    pub terms: &'a RouteTerms,
    /// It reads or writes.
    pub access: Access,
    /// When its first byte, or that of its transaction, arrived.
    pub arrived_at: f64,
    /// When the statement arrived that waits now: its target counts from there.
    pub waiting_since: f64,
    /// The shape that the connection must know.
    pub shape: Option<&'a Shape>,
    /// It takes a slot of the server, as all but a `BEGIN`.
    pub takes_slot: bool,
}

impl PlacementRequest<'_> {
    /// How it waits at this server, until this second at most.
    pub fn admission_terms(&self, pool: &Pool, give_up_at: f64) -> AdmissionTerms {
        let latest_start = self.waiting_since + self.terms.target_s - pool.latency().mean();
        AdmissionTerms {
            rank: self.terms.rank.saturating_add(1),
            latest_start,
            give_up_at,
        }
    }
}

/// A connection that the statement may be sent on now.
pub struct Placement {
    /// The connection.
    pub checkout: Checkout,
    /// What must be asked of the replica; none at the primary.
    pub proof: Option<Position>,
}

/// Who is to be asked.
enum PlacementTarget {
    Primary(Rc<Pool>),
    Replica(Rc<Pool>, Position),
    /// Nobody before this second, or before the view changes.
    RetryAt(f64),
}

impl DataPlane {
    /// Waits for a connection to a server that may serve this, until this second at most; if there is none, or it
    /// is plain that there will be none by then: in how many seconds to come back. Servers that were `tried_servers` in vain
    /// come last.
    pub async fn place(
        self: &Rc<Self>,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        give_up_at: f64,
    ) -> Result<Placement, f64> {
        let began = clock::now();
        let placed = self
            .wait_for_placement(request, session, tried_servers, give_up_at)
            .await;
        if let Ok(placement) = &placed {
            self.counts
                .placed(placement.proof.is_none(), clock::now() - began);
        }
        placed.map_err(|wait| {
            self.counts.unplaced();
            let service = &*request.terms.service;
            self.update_freshness(service, |f| f.refusals.record_refusal(clock::now(), wait))
        })
    }

    async fn wait_for_placement(
        self: &Rc<Self>,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        give_up_at: f64,
    ) -> Result<Placement, f64> {
        loop {
            let now = clock::now();
            if now >= give_up_at {
                return Err(RETRY_AFTER_S);
            }
            let generation = self.shared_view.changed.generation();
            let (pool, proof) = match self.pick(request, session, tried_servers, now) {
                PlacementTarget::Primary(pool) => (pool, None),
                PlacementTarget::Replica(pool, proof) => (pool, Some(proof)),
                PlacementTarget::RetryAt(at) => {
                    net::until(
                        at.min(give_up_at),
                        self.shared_view.changed.notified_since(generation),
                    )
                    .await;
                    continue;
                }
            };
            let admission_terms = request.admission_terms(&pool, give_up_at);
            let (values, shape) = (&session.values, request.shape);
            let take = async {
                Some(
                    Checkout::acquire(
                        self,
                        &pool,
                        &admission_terms,
                        values,
                        shape,
                        request.takes_slot,
                    )
                    .await,
                )
            };
            let invalid = async {
                self.until_invalid(&pool, proof.is_none(), generation).await;
                None
            };
            match net::until(give_up_at, or(take, invalid)).await {
                None => return Err(pool.estimated_wait(&admission_terms, clock::now())),
                Some(Some(Err(CheckoutError::Busy(wait)))) => return Err(wait),
                Some(Some(Ok(checkout))) => {
                    // The lease is looked at once more: time has passed.
                    if proof.is_some() || self.is_leased(&pool.server, clock::now()) {
                        return Ok(Placement { checkout, proof });
                    }
                }
                Some(None | Some(Err(CheckoutError::Unreachable))) => {}
            }
        }
    }

    /// Waits until this server is no longer the right one. The place in its queue is kept through news that doesn't
    /// concern it.
    async fn until_invalid(&self, pool: &Pool, primary: bool, mut generation: u64) {
        loop {
            self.shared_view.changed.notified_since(generation).await;
            generation = self.shared_view.changed.generation();
            if !self.is_still_valid(pool, primary) {
                return;
            }
        }
    }

    fn is_still_valid(&self, pool: &Pool, primary: bool) -> bool {
        let view = self.shared_view.view.borrow();
        if primary {
            view.primary(&pool.server.service, clock::now())
                .is_some_and(|g| g.server_id == pool.server.id)
        } else {
            view.servers
                .get(&pool.server.id)
                .is_some_and(|s| !s.draining && s.endpoint == pool.server.endpoint)
        }
    }

    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        session: &Session,
        tried_servers: &[String],
        now: f64,
    ) -> PlacementTarget {
        let view = self.shared_view.view.borrow();
        let service = &*request.terms.service;
        let max_conns = request.terms.max_conns;
        let primary = view
            .primary(service, now)
            .and_then(|g| view.servers.get(&g.server_id))
            .map(|s| self.pool(s, max_conns));
        let slow = primary
            .as_ref()
            .is_none_or(|p| p.is_full() || !p.health().is_up(now));
        let input = ChoiceInput {
            consistency: request.terms.consistency,
            access: request.access,
            arrived_at: request.arrived_at,
            avoid_primary: slow
                || tried_servers
                    .iter()
                    .any(|t| primary.as_ref().is_some_and(|p| p.server.id == *t)),
        };
        if let Destination::Replica(proof) =
            self.update_freshness(service, |f| choose(&input, session, &f.history, now))
        {
            let leads = view.grants.get(service).map(|g| &g.server_id);
            let mut replicas: Vec<_> = view
                .servers
                .values()
                .filter(|s| {
                    s.service == service
                        && !s.draining
                        && Some(&s.id) != leads
                        && !tried_servers.contains(&s.id)
                })
                .map(|s| self.pool(s, max_conns))
                .filter(|p| p.health().is_up(now) && p.health().may_have_position(proof, now))
                .collect();
            replicas.sort_by(|a, b| a.server.id.cmp(&b.server.id));
            if let Some(at) =
                self.update_freshness(service, |f| f.rotation.next(replicas.len(), |_| true))
            {
                return PlacementTarget::Replica(replicas.swap_remove(at), proof);
            }
        }
        match primary {
            Some(primary) if primary.health().is_up(now) => PlacementTarget::Primary(primary),
            // Short pauses are looked at again; a change of the view is heard at once.
            _ => PlacementTarget::RetryAt(now + PRIMARY_RECHECK_INTERVAL_S),
        }
    }
}
