//! What each statement asks for: answered here, or run at a server.

use super::Talk;
use super::reply::{Told, error};
use super::statement::Statement;
use badgerstream_pooling::session::Transaction;
use badgerstream_wire::{Code, Kind, State, Text};

impl Talk {
    pub(super) async fn query(&mut self, id: &str, text: &str, arrived: f64) -> Told {
        let parsed = match Text::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return self.malformed(&e.to_string()),
        };
        let transaction = self.session.transaction;
        if transaction == Transaction::Failed {
            return match parsed {
                Text::Commit => {
                    self.end_failed();
                    error(Code::Aborted, "the transaction had failed", State::Idle)
                }
                Text::Abort => {
                    self.end_failed();
                    Told::Done
                }
                _ if !self.told => {
                    self.told = true;
                    error(Code::Aborted, "the transaction was ended", State::Failed)
                }
                _ => error(Code::Malformed, "the transaction has failed", State::Failed),
            };
        }
        let (kind, execute) = match parsed {
            Text::Set { name, value } => {
                return match self.session.set(name, value) {
                    Ok(()) => Told::Done,
                    Err(e) => self.malformed(&e.to_string()),
                };
            }
            Text::Prepare { name, kind, shape } => {
                return match self.session.prepare(name, kind, shape) {
                    Ok(()) => Told::Done,
                    Err(e) => self.malformed(&e.to_string()),
                };
            }
            Text::Release { name } => {
                return match self.session.release(name) {
                    Ok(()) => Told::Done,
                    Err(_) => self.unknown(name),
                };
            }
            Text::Begin { fetch } => {
                if transaction != Transaction::None {
                    return self.malformed("inside a transaction");
                }
                self.session.transaction = Transaction::Open { fetch, arrived, wrote: false };
                return Told::Done;
            }
            Text::Abort => {
                if transaction == Transaction::None {
                    return self.malformed("outside a transaction");
                }
                self.end_failed();
                return Told::Done;
            }
            Text::Commit => {
                if transaction == Transaction::None {
                    return self.malformed("outside a transaction");
                }
                return self.commit(id, text, arrived).await;
            }
            Text::Fetch => (Kind::Fetch, None),
            Text::Put => (Kind::Put, None),
            Text::Execute { name, rest } => {
                let Some(shape) = self.session.shape(name).cloned() else { return self.unknown(name) };
                (shape.kind, Some((shape, rest)))
            }
        };
        let execute = execute.as_ref().map(|(shape, rest)| (shape, *rest));
        let statement = Statement { id, text, kind, execute, arrived };
        if transaction == Transaction::None {
            self.single(&statement).await
        } else {
            self.inside(&statement).await
        }
    }

    pub(super) fn malformed(&mut self, why: &str) -> Told {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail();
        }
        error(Code::Malformed, why, self.session.transaction.state())
    }

    pub(super) fn unknown(&mut self, name: &str) -> Told {
        if let Transaction::Open { .. } = self.session.transaction {
            self.fail();
        }
        error(Code::Unknown, name, self.session.transaction.state())
    }
}
