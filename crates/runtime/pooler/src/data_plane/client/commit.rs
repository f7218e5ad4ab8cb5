//! The commit of a transaction, under the lease.

use super::response::{Response, error};
use super::{ClientSession, PLACEMENT_DEADLINE_FRACTION};
use crate::clock;
use crate::data_plane::pool::{Checkout, ExchangeError};
use badgerstream_line_protocol::{Answer, Code, Outcome, State};
use badgerstream_pooling::session::Transaction;

fn aborted(why: &str) -> Response {
    error(Code::Aborted, why, State::Idle)
}

impl ClientSession {
    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, id: &str, text: &str, arrived_at: f64) -> Response {
        if let Err(response) = self.begin_at_server(arrived_at, None).await {
            // The client has asked for the end, and has it.
            self.finish_transaction();
            return match response {
                Response::Error(code, text, _) => error(code, text, State::Idle),
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
        let mut answer = Answer::default();
        let term = self
            .data_plane
            .granted_term(&checkout.pool.server, clock::now());
        checkout.expect_commit();
        let pass = async |_: &[u8]| true;
        let asked = checkout.exchange_until_overdue(
            line.as_bytes(),
            &mut answer,
            terms.target_s,
            deadline,
            pass,
        );
        let mut outcome = self.handle.until_final_answer(asked).await;
        if outcome == Err(ExchangeError::Overdue) && has_written {
            checkout.release_slot();
            let waited = checkout.await_answer(&mut answer, deadline, pass);
            outcome = self.handle.until_final_answer(waited).await;
        }
        self.conclude_commit(&checkout, term, answer.raw, has_written, outcome)
    }

    /// Waits until the commit may be sent; false if it may not.
    async fn ready_to_commit(
        &mut self,
        checkout: &mut Checkout,
        service: &str,
        has_written: bool,
    ) -> bool {
        // Values that were set since are its client's wherever it runs.
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
            // A write is kept only under the lease; a lease that has run out may be renewed in time.
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

    /// The commit was sent: what the client may know of it.
    fn conclude_commit(
        &mut self,
        checkout: &Checkout,
        term: Option<u64>,
        raw: Vec<u8>,
        has_written: bool,
        outcome: Result<Outcome, ExchangeError>,
    ) -> Response {
        match outcome {
            Ok(outcome) => {
                if outcome.error.is_none() && has_written {
                    if !self.is_granted_still(&checkout.pool.server, term) {
                        return error(Code::InDoubt, "the primary changes", State::Idle);
                    }
                    self.session.record_write(outcome.position);
                }
                self.forward(raw, &outcome)
            }
            Err(ExchangeError::Unsent) => aborted("the server was lost"),
            // Nothing was written, so nothing is kept.
            Err(_) if !has_written => aborted("the server was lost"),
            Err(_) => {
                let server = &checkout.pool.server.id;
                log::info!("event=in_doubt server={server} database={}", self.database);
                error(Code::InDoubt, "no clear answer to COMMIT", State::Idle)
            }
        }
    }
}
