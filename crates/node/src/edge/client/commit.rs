//! The commit of a transaction, under the lease.

use super::response::{Response, error};
use super::{ClientSession, HOLD_FRACTION};
use crate::clock;
use crate::edge::net;
use crate::edge::pool::ExchangeError;
use badgerstream_pooling::session::Transaction;
use badgerstream_wire::{Answer, Code, State};

impl ClientSession {
    /// The end that keeps.
    pub(super) async fn commit(&mut self, id: &str, text: &str, arrived: f64) -> Response {
        if let Err(response) = self.begin_at_server(arrived, None).await {
            // The client has asked for the end, and has it.
            self.finish_transaction();
            return match response {
                Response::Error(code, text, _) => error(code, text, State::Idle),
                response => response,
            };
        }
        let aborted = |why: &str| error(Code::Aborted, why, State::Idle);
        let Transaction::Open { wrote, .. } = self.session.transaction else { return Response::ClientGone };
        let (Some(mut held), Some(terms)) = (self.checkout.take(), self.terms.take()) else {
            return Response::ClientGone;
        };
        self.finish_transaction();
        let deadline = arrived + terms.deadline;
        let give_up = arrived + terms.deadline * HOLD_FRACTION;
        let ready = net::until(give_up, async {
            // Values that were set since are its client's wherever it runs.
            if held.prepare(&self.session.values, None).await.is_err() {
                return false;
            }
            held.enter().await;
            if !wrote {
                return true;
            }
            self.session.mark.touch(clock::now());
            loop {
                // A write is kept only under the lease; a lease that has run out may be renewed in time.
                let generation = self.edge.shared.changed.generation();
                if self.edge.is_leased(&held.pool.server, clock::now()) {
                    return true;
                }
                let other = {
                    let view = self.edge.shared.view.borrow();
                    view.grants.get(&*terms.service).is_some_and(|g| g.id != held.pool.server.id || g.closing)
                };
                if other {
                    return false;
                }
                self.edge.shared.changed.notified_since(generation).await;
            }
        });
        if ready.await != Some(true) {
            held.roll_back();
            return aborted("the primary changes");
        }
        let line = format!("QUERY {id} {text}\r\n");
        let mut answer = Answer::default();
        held.keep_changes();
        let pass = async |_: &[u8]| true;
        let mut outcome =
            held.ask_patiently(line.as_bytes(), &mut answer, terms.target, deadline, pass).await;
        if outcome == Err(ExchangeError::Overdue) && wrote {
            held.leave();
            outcome = held.wait(&mut answer, deadline, pass).await;
        }
        match outcome {
            Ok(outcome) => {
                if outcome.error.is_none() && wrote {
                    self.session.wrote(outcome.position);
                }
                self.forward(answer.raw, &outcome)
            }
            Err(ExchangeError::Unsent) => aborted("the server was lost"),
            // Nothing was written, so nothing is kept.
            Err(_) if !wrote => aborted("the server was lost"),
            Err(_) => {
                log::info!("event=in_doubt server={} database={}", held.pool.server.id, self.database);
                error(Code::InDoubt, "no clear answer to COMMIT", State::Idle)
            }
        }
    }
}
