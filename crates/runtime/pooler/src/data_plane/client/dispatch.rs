//! Parses each statement, and answers it in the router or has it run at a server.

use super::ClientSession;
use super::response::{Response, error, retry_later};
use super::statement::{Execution, Statement};
use crate::data_plane::drain::DrainStage;
use crate::data_plane::placement::RETRY_AFTER_S;
use badgerstream_line_protocol::{ErrorCode, ParsedStatement, StatementKind, TransactionState};
use badgerstream_pooling::session::{SessionError, Transaction};

/// Error text for a transaction that shutdown rejects.
pub(super) const DRAINING_REASON: &str = "the router ends";

/// The kind of request that is rejected while the router drains.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RejectedRequest {
    /// A statement, inside or outside a transaction.
    Statement,
    /// The `COMMIT` of a transaction.
    Commit,
}

impl ClientSession {
    /// Answers a statement of the client.
    pub(super) async fn query(&mut self, id: &str, text: &str, arrived_at: f64) -> Response {
        let parsed = match ParsedStatement::parse(text) {
            Ok(parsed) => parsed,
            Err(error) => return self.malformed(&error.to_string()),
        };
        let transaction = self.session.transaction;
        if transaction == Transaction::Failed {
            return self.in_failed_transaction(&parsed);
        }
        let statement = |kind, execution| Statement {
            id,
            text,
            kind,
            execution,
            arrived_at,
        };
        match parsed {
            ParsedStatement::Set { name, value } => {
                let set = self.session.set(name, value);
                self.session_update_response(set)
            }
            ParsedStatement::Prepare { name, kind, shape } => {
                let prepared = self.session.prepare(name, kind, shape);
                self.session_update_response(prepared)
            }
            ParsedStatement::Release { name } => match self.session.deallocate(name) {
                Ok(()) => Response::Done,
                Err(_) => self.unknown_shape(name),
            },
            ParsedStatement::Begin { .. } if transaction != Transaction::None => {
                self.malformed("inside a transaction")
            }
            ParsedStatement::Begin { read_only } => self.begin(read_only, arrived_at),
            ParsedStatement::Abort | ParsedStatement::Commit
                if transaction == Transaction::None =>
            {
                self.malformed("outside a transaction")
            }
            ParsedStatement::Abort => {
                self.roll_back();
                Response::Done
            }
            ParsedStatement::Commit if self.is_draining() => {
                self.reject_while_draining(RejectedRequest::Commit)
            }
            ParsedStatement::Commit => self.commit(id, text, arrived_at).await,
            ParsedStatement::Fetch => {
                self.run_at_server(&statement(StatementKind::Fetch, None))
                    .await
            }
            ParsedStatement::Put => {
                self.run_at_server(&statement(StatementKind::Put, None))
                    .await
            }
            ParsedStatement::Execute { name, arguments } => {
                let Some(shape) = self.session.shape(name).cloned() else {
                    return self.unknown_shape(name);
                };
                let execution = Execution {
                    shape: &shape,
                    parameters: arguments,
                };
                self.run_at_server(&statement(shape.kind, Some(execution)))
                    .await
            }
        }
    }

    /// Opens a transaction. It begins at a server only with its first statement.
    fn begin(&mut self, read_only: bool, arrived_at: f64) -> Response {
        self.session.transaction = Transaction::Open {
            read_only,
            arrived_at,
            has_written: false,
        };
        Response::Done
    }

    /// Runs a statement at a server.
    async fn run_at_server(&mut self, statement: &Statement<'_>) -> Response {
        if self.is_draining() {
            return self.reject_while_draining(RejectedRequest::Statement);
        }
        if self.session.transaction == Transaction::None {
            self.run_single(statement).await
        } else {
            self.run_in_transaction(statement).await
        }
    }

    /// Returns whether shutdown has reached the stage at which requests that arrive now are no
    /// longer sent to a server.
    fn is_draining(&self) -> bool {
        self.handle.drain_stage.get() >= DrainStage::RejectUnplaced
    }

    /// Rejects a request that may no longer be sent to a server, and rolls back the transaction.
    fn reject_while_draining(&mut self, rejected: RejectedRequest) -> Response {
        if self.session.transaction == Transaction::None {
            return retry_later(RETRY_AFTER_S, TransactionState::Idle);
        }
        match rejected {
            RejectedRequest::Commit => {
                self.roll_back();
                error(ErrorCode::Aborted, DRAINING_REASON, TransactionState::Idle)
            }
            RejectedRequest::Statement => {
                self.fail_transaction();
                error(
                    ErrorCode::Aborted,
                    DRAINING_REASON,
                    TransactionState::Failed,
                )
            }
        }
    }

    /// Answers a statement in a failed transaction, which accepts only `COMMIT` and `ABORT`.
    fn in_failed_transaction(&mut self, parsed: &ParsedStatement<'_>) -> Response {
        match parsed {
            ParsedStatement::Commit => {
                self.roll_back();
                error(
                    ErrorCode::Aborted,
                    "the transaction had failed",
                    TransactionState::Idle,
                )
            }
            ParsedStatement::Abort => {
                self.roll_back();
                Response::Done
            }
            _ if !self.failure_reported => {
                self.failure_reported = true;
                error(
                    ErrorCode::Aborted,
                    "the transaction was ended",
                    TransactionState::Failed,
                )
            }
            _ => error(
                ErrorCode::Malformed,
                "the transaction has failed",
                TransactionState::Failed,
            ),
        }
    }

    /// Returns the response to a change of the session's values or prepared statements.
    fn session_update_response(&mut self, updated: Result<(), SessionError>) -> Response {
        match updated {
            Ok(()) => Response::Done,
            Err(error) => self.malformed(&error.to_string()),
        }
    }

    /// Returns the error for a request that is invalid here, and fails an open transaction.
    pub(super) fn malformed(&mut self, reason: &str) -> Response {
        self.fail_open_transaction();
        error(
            ErrorCode::Malformed,
            reason,
            self.session.transaction.state(),
        )
    }

    /// Returns the error for an unknown prepared statement, and fails an open transaction.
    fn unknown_shape(&mut self, name: &str) -> Response {
        self.fail_open_transaction();
        error(ErrorCode::Unknown, name, self.session.transaction.state())
    }

    fn fail_open_transaction(&mut self) {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail_transaction();
        }
    }
}
