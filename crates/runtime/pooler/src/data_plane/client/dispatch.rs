//! What each statement asks for: answered here, or run at a server.

use super::ClientSession;
use super::response::{Response, error, retry_later};
use super::statement::Statement;
use crate::data_plane::DrainStage;
use crate::data_plane::placement::RETRY_AFTER_S;
use badgerstream_line_protocol::{Code, Kind, State, Text};
use badgerstream_pooling::session::{SessionError, Transaction};

/// Why what arrives too late isn't run.
const DRAINING_REASON: &str = "the router ends";

impl ClientSession {
    /// Answers a statement.
    pub(super) async fn query(&mut self, id: &str, text: &str, arrived_at: f64) -> Response {
        let parsed = match Text::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return self.malformed(&e.to_string()),
        };
        let transaction = self.session.transaction;
        if transaction == Transaction::Failed {
            return self.in_failed_transaction(&parsed);
        }
        let (kind, execute) = match parsed {
            Text::Set { name, value } => {
                let set = self.session.set(name, value);
                return self.session_update_response(set);
            }
            Text::Prepare { name, kind, shape } => {
                let prepared = self.session.prepare(name, kind, shape);
                return self.session_update_response(prepared);
            }
            Text::Release { name } => {
                return match self.session.deallocate(name) {
                    Ok(()) => Response::Done,
                    Err(_) => self.unknown_shape(name),
                };
            }
            Text::Begin { .. } if transaction != Transaction::None => {
                return self.malformed("inside a transaction");
            }
            Text::Begin { fetch } => {
                self.session.transaction = Transaction::Open {
                    read_only: fetch,
                    arrived_at,
                    has_written: false,
                };
                return Response::Done;
            }
            Text::Abort | Text::Commit if transaction == Transaction::None => {
                return self.malformed("outside a transaction");
            }
            Text::Abort => {
                self.roll_back();
                return Response::Done;
            }
            Text::Commit if self.is_draining() => {
                self.roll_back();
                return error(Code::Aborted, DRAINING_REASON, State::Idle);
            }
            Text::Commit => return self.commit(id, text, arrived_at).await,
            Text::Fetch => (Kind::Fetch, None),
            Text::Put => (Kind::Put, None),
            Text::Execute { name, rest } => {
                let Some(shape) = self.session.shape(name).cloned() else {
                    return self.unknown_shape(name);
                };
                (shape.kind, Some((shape, rest)))
            }
        };
        if self.is_draining() {
            return self.reject_while_draining();
        }
        let execute = execute.as_ref().map(|(shape, rest)| (shape, *rest));
        let statement = Statement {
            id,
            text,
            kind,
            execute,
            arrived_at,
        };
        if transaction == Transaction::None {
            self.run_single(&statement).await
        } else {
            self.run_in_transaction(&statement).await
        }
    }

    /// Whether the router ends so soon that what arrives now may not be sent to a server.
    fn is_draining(&self) -> bool {
        self.handle.drain_stage.get() >= DrainStage::RejectUnplaced
    }

    fn reject_while_draining(&mut self) -> Response {
        if self.session.transaction == Transaction::None {
            return retry_later(RETRY_AFTER_S, State::Idle);
        }
        self.fail_transaction();
        error(Code::Aborted, DRAINING_REASON, State::Failed)
    }

    /// A failed transaction takes nothing but its end.
    fn in_failed_transaction(&mut self, parsed: &Text<'_>) -> Response {
        match parsed {
            Text::Commit => {
                self.roll_back();
                error(Code::Aborted, "the transaction had failed", State::Idle)
            }
            Text::Abort => {
                self.roll_back();
                Response::Done
            }
            _ if !self.failure_reported => {
                self.failure_reported = true;
                error(Code::Aborted, "the transaction was ended", State::Failed)
            }
            _ => error(Code::Malformed, "the transaction has failed", State::Failed),
        }
    }

    /// Answers once the session has taken a value or a prepared name, or can't.
    fn session_update_response(&mut self, taken: Result<(), SessionError>) -> Response {
        match taken {
            Ok(()) => Response::Done,
            Err(e) => self.malformed(&e.to_string()),
        }
    }

    /// The statement can't be understood here; an open transaction fails.
    pub(super) fn malformed(&mut self, why: &str) -> Response {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail_transaction();
        }
        error(Code::Malformed, why, self.session.transaction.state())
    }

    /// The prepared name isn't known; an open transaction fails.
    fn unknown_shape(&mut self, name: &str) -> Response {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail_transaction();
        }
        error(Code::Unknown, name, self.session.transaction.state())
    }
}
