//! Commits a transaction. One that has written is committed only while the lease is valid.

use super::response::{Response, error};
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::pool::{Checkout, ExchangeError};
use crate::data_plane::service_state::WriteGrant;
use badgerstream_line_protocol::{ErrorCode, ResponseReader, StatementResult, TransactionState};
use badgerstream_pooling::session::Transaction;

/// A commit that was sent.
struct SentCommit {
    /// The connection that it was sent on.
    checkout: Checkout,
    /// The grant under which it was sent; `None` at a replica.
    sent_under: Option<WriteGrant>,
    /// Whether the transaction has written.
    has_written: bool,
}

fn aborted(reason: &str) -> Response {
    error(ErrorCode::Aborted, reason, TransactionState::Idle)
}

impl ClientSession {
    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, id: &str, text: &str, arrived_at: f64) -> Response {
        if let Err(response) = self.begin_at_server(arrived_at, None).await {
            // The client has asked to end the transaction, so it ends even though COMMIT fails.
            self.finish_transaction();
            return match response {
                Response::Error { code, text, .. } => error(code, text, TransactionState::Idle),
                response => response,
            };
        }
        let Transaction::Open { has_written, .. } = self.session.transaction else {
            return Response::ClientDisconnected;
        };
        let (Some(mut checkout), Some(terms)) = (self.checkout.take(), self.terms.take()) else {
            return Response::ClientDisconnected;
        };
        self.finish_transaction();
        let deadline = arrived_at + terms.deadline_s;
        let give_up_at = arrived_at + terms.deadline_s * PLACEMENT_DEADLINE_FRACTION;
        let handle = self.handle.clone();
        let ready = self.ready_to_commit(&mut checkout, &terms.service, has_written);
        if handle.until_rejection(give_up_at, ready).await != Some(true) {
            checkout.roll_back();
            return aborted("the primary changes");
        }
        let line = format!("QUERY {id} {text}\r\n");
        let mut answer = ResponseReader::default();
        let sent_under = self
            .data_plane
            .write_grant(&checkout.pool.server, clock::now());
        checkout.expect_commit();
        // No part of the answer may reach the client before the grant has been checked again.
        let discard = async |_: &[u8]| true;
        let (line, target_s) = (line.as_bytes(), terms.target_s);
        let exchange =
            checkout.exchange_until_overdue(line, &mut answer, target_s, deadline, discard);
        let mut outcome = self.handle.until_final_answer(exchange).await;
        if outcome == Err(ExchangeError::Overdue) && has_written {
            checkout.release_slot();
            let waited = checkout.await_answer(&mut answer, deadline, discard);
            outcome = self.handle.until_final_answer(waited).await;
        }
        let commit = SentCommit {
            checkout,
            sent_under,
            has_written,
        };
        self.conclude_commit(&commit, answer.raw, outcome)
    }

    /// Waits until the commit may be sent. Returns `false` if it must not be sent.
    async fn ready_to_commit(
        &mut self,
        checkout: &mut Checkout,
        service: &str,
        has_written: bool,
    ) -> bool {
        // Values that the client has set since its last statement take effect with the commit.
        if checkout.prepare(&self.session.values, None).await.is_err() {
            return false;
        }
        checkout.acquire_slot().await;
        if !has_written {
            return true;
        }
        self.session.primary_affinity.touch(clock::now());
        let server = &checkout.pool.server;
        loop {
            // Writes are durable only under the lease. A lease that has ended may be renewed in
            // time.
            let generation = self.data_plane.shared_view.changed.generation();
            if self.data_plane.is_leased(server, clock::now()) {
                return true;
            }
            if self.data_plane.is_granted_elsewhere(service, server) {
                return false;
            }
            self.data_plane
                .shared_view
                .changed
                .notified_since(generation)
                .await;
        }
    }

    /// Decides the response to a commit that was sent: the server's answer, aborted, or in doubt.
    fn conclude_commit(
        &mut self,
        commit: &SentCommit,
        raw: Vec<u8>,
        outcome: Result<StatementResult, ExchangeError>,
    ) -> Response {
        let server = &commit.checkout.pool.server;
        match outcome {
            Ok(outcome) => {
                if outcome.error.is_none() && commit.has_written {
                    if !self.may_acknowledge(server, commit.sent_under, outcome.position) {
                        return error(
                            ErrorCode::InDoubt,
                            "the primary changes",
                            TransactionState::Idle,
                        );
                    }
                    self.session.record_write(outcome.position);
                }
                self.forward(raw, &outcome)
            }
            Err(ExchangeError::Unsent) => aborted("the server was lost"),
            // The transaction has written nothing, so nothing is in doubt.
            Err(_) if !commit.has_written => aborted("the server was lost"),
            Err(_) => {
                let (server_id, database) = (&server.id, &self.database);
                log::info!("event=in_doubt server={server_id} database={database}");
                error(
                    ErrorCode::InDoubt,
                    "no clear answer to COMMIT",
                    TransactionState::Idle,
                )
            }
        }
    }
}
