//! The commit of a transaction, under the lease.

use super::response::{Response, error};
use super::{ClientSession, HOLD_FRACTION};
use crate::clock;
use crate::edge::pool::{Checkout, ExchangeError};
use badgerstream_line_protocol::{Answer, Code, Outcome, State};
use badgerstream_pooling::session::Transaction;

fn aborted(why: &str) -> Response {
    error(Code::Aborted, why, State::Idle)
}

impl ClientSession {
    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, id: &str, text: &str, arrived: f64) -> Response {
        if let Err(response) = self.begin_at_server(arrived, None).await {
            // The client has asked for the end, and has it.
            self.finish_transaction();
            return match response {
                Response::Error(code, text, _) => error(code, text, State::Idle),
                response => response,
            };
        }
        let Transaction::Open { wrote, .. } = self.session.transaction else {
            return Response::ClientGone;
        };
        let (Some(mut checkout), Some(terms)) = (self.checkout.take(), self.terms.take()) else {
            return Response::ClientGone;
        };
        self.finish_transaction();
        let deadline = arrived + terms.deadline;
        let give_up = arrived + terms.deadline * HOLD_FRACTION;
        let handle = self.handle.clone();
        let ready = self.ready_to_commit(&mut checkout, &terms.service, wrote);
        if handle.before_refusal(give_up, ready).await != Some(true) {
            checkout.roll_back();
            return aborted("the primary changes");
        }
        let line = format!("QUERY {id} {text}\r\n");
        let mut answer = Answer::default();
        let term = self.edge.granted_term(&checkout.pool.server, clock::now());
        checkout.keep_changes();
        let pass = async |_: &[u8]| true;
        let asked =
            checkout.ask_patiently(line.as_bytes(), &mut answer, terms.target, deadline, pass);
        let mut outcome = self.handle.before_cut_off(asked).await;
        if outcome == Err(ExchangeError::Overdue) && wrote {
            checkout.leave();
            let waited = checkout.wait(&mut answer, deadline, pass);
            outcome = self.handle.before_cut_off(waited).await;
        }
        self.conclude_commit(&checkout, term, answer.raw, wrote, outcome)
    }

    /// Waits until the commit may be sent; false if it may not.
    async fn ready_to_commit(
        &mut self,
        checkout: &mut Checkout,
        service: &str,
        wrote: bool,
    ) -> bool {
        // Values that were set since are its client's wherever it runs.
        if checkout.prepare(&self.session.values, None).await.is_err() {
            return false;
        }
        checkout.enter().await;
        if !wrote {
            return true;
        }
        self.session.mark.touch(clock::now());
        let server = &checkout.pool.server;
        loop {
            // A write is kept only under the lease; a lease that has run out may be renewed in time.
            let generation = self.edge.shared.changed.generation();
            if self.edge.is_leased(server, clock::now()) {
                return true;
            }
            if self.edge.is_granted_elsewhere(service, server) {
                return false;
            }
            self.edge.shared.changed.notified_since(generation).await;
        }
    }

    /// The commit was sent: what the client may know of it.
    fn conclude_commit(
        &mut self,
        checkout: &Checkout,
        term: Option<u64>,
        raw: Vec<u8>,
        wrote: bool,
        outcome: Result<Outcome, ExchangeError>,
    ) -> Response {
        match outcome {
            Ok(outcome) => {
                if outcome.error.is_none() && wrote {
                    if !self.is_granted_still(&checkout.pool.server, term) {
                        return error(Code::InDoubt, "the primary changes", State::Idle);
                    }
                    self.session.wrote(outcome.position);
                }
                self.forward(raw, &outcome)
            }
            Err(ExchangeError::Unsent) => aborted("the server was lost"),
            // Nothing was written, so nothing is kept.
            Err(_) if !wrote => aborted("the server was lost"),
            Err(_) => {
                let server = &checkout.pool.server.id;
                log::info!("event=in_doubt server={server} database={}", self.database);
                error(Code::InDoubt, "no clear answer to COMMIT", State::Idle)
            }
        }
    }
}
