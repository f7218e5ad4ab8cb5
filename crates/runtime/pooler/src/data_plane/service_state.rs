//! State that the data plane keeps for each service: freshness proofs, the rotation over replicas,
//! and the streak of refused placements.

use super::DataPlane;
use crate::view::Server;
use badgerstream_line_protocol::Position;
use badgerstream_pooling::acknowledged::AcknowledgedWrites;
use badgerstream_pooling::freshness::PositionHistory;
use badgerstream_pooling::latency::RefusalStreak;
use badgerstream_routing::Rotation;

/// The state of one service.
#[derive(Default)]
pub(super) struct ServiceState {
    /// Positions that its primary reported while the lease was valid.
    pub(super) history: PositionHistory,
    /// Chooses the next replica.
    pub(super) rotation: Rotation,
    /// Consecutive statements without a placement.
    pub(super) refusals: RefusalStreak,
    /// The writes whose success was passed on to clients.
    acknowledged: AcknowledgedWrites,
    /// The newest position in an answer of a primary under its lease.
    newest_position: Option<Position>,
}

/// Under what a write was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteGrant {
    /// The term of the primary that the router was granted.
    pub(super) primary_term: u64,
    /// The newest position that a primary had told before.
    position_before: Option<Position>,
}

/// The age of a service's newest freshness proof.
#[derive(Debug, Clone, PartialEq)]
pub struct ProofAge {
    /// Name of the service.
    pub service: String,
    /// Time since the query to its primary that gave the proof, in seconds.
    pub age_s: f64,
}

impl DataPlane {
    /// Records a position of the primary that control reported: it covers every commit acknowledged
    /// before `covers_from`, in seconds of the monotonic clock.
    pub fn record_confirmed_position(&self, service: &str, covers_from: f64, position: Position) {
        self.update_service(service, |state| state.history.record(covers_from, position));
    }

    /// Records the position in a server's answer to a query that was sent at `queried_at` (seconds
    /// of the monotonic clock) while the lease was valid.
    pub(super) fn record_answer_position(
        &self,
        server: &Server,
        queried_at: f64,
        position: Option<Position>,
    ) {
        if let Some(position) = position {
            self.update_service(&server.service, |state| {
                state.history.record(queried_at, position);
                state.newest_position = state.newest_position.max(Some(position));
            });
        }
    }

    /// Records that the success of a write is passed on, whose answer carried this position.
    pub(super) fn record_acknowledged(
        &self,
        service: &str,
        sent_under: WriteGrant,
        position: Option<Position>,
    ) {
        self.update_service(service, |state| {
            state
                .acknowledged
                .record(position, sent_under.position_before);
        });
    }

    /// Returns the writes of a service whose success was passed on.
    pub fn acknowledged_writes(&self, service: &str) -> AcknowledgedWrites {
        let services = self.services.borrow();
        let acknowledged = services.get(service).map(|state| state.acknowledged);
        acknowledged.unwrap_or_default()
    }

    /// Returns under what a write that is sent to this server now is sent; `None` if the server may
    /// not be used as the primary.
    pub(super) fn write_grant(&self, server: &Server, now: f64) -> Option<WriteGrant> {
        let primary_term = self.granted_term(server, now)?;
        let services = self.services.borrow();
        let position_before = services
            .get(&server.service)
            .and_then(|state| state.newest_position);
        Some(WriteGrant {
            primary_term,
            position_before,
        })
    }

    /// Returns the age of the newest freshness proof of each service that has one.
    pub fn proof_ages(&self, now: f64) -> Vec<ProofAge> {
        let services = self.services.borrow();
        services
            .iter()
            .filter_map(|(service, state)| {
                Some(ProofAge {
                    service: service.clone(),
                    age_s: now - state.history.newest_query_at()?,
                })
            })
            .collect()
    }

    /// Reads or changes the state of a service, creating it at its first use.
    pub(super) fn update_service<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        // Every statement comes here: looking the state up first avoids allocating a key.
        if let Some(state) = services.get_mut(service) {
            return update(state);
        }
        // Starts at a random replica, so that routers which start together don't all use the same
        // one.
        let rotation = Rotation {
            next: self.random.borrow_mut().usize(..),
        };
        let state = services.entry(service.to_owned()).or_insert(ServiceState {
            rotation,
            ..ServiceState::default()
        });
        update(state)
    }
}
