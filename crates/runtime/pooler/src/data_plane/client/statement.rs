//! A statement that runs at a server, and its line there.

use crate::data_plane::pool::Checkout;
use badgerstream_line_protocol::StatementKind;
use badgerstream_pooling::session::Shape;

/// A statement of a client that runs at a server.
#[derive(Clone, Copy)]
pub(super) struct Statement<'a> {
    /// The client's id of it.
    pub(super) id: &'a str,
    /// Its text, as the client sent it.
    pub(super) text: &'a str,
    /// Whether it reads or writes.
    pub(super) kind: StatementKind,
    /// The prepared statement that it executes, if it does.
    pub(super) execution: Option<Execution<'a>>,
    /// When it arrived, in seconds.
    pub(super) arrived_at: f64,
}

/// An `EXECUTE` of a prepared statement.
#[derive(Clone, Copy)]
pub(super) struct Execution<'a> {
    /// The prepared statement.
    pub(super) shape: &'a Shape,
    /// What follows its name.
    pub(super) parameters: &'a str,
}

impl<'a> Statement<'a> {
    /// The prepared statement that the connection must know.
    pub(super) fn shape(&self) -> Option<&'a Shape> {
        self.execution.map(|execution| execution.shape)
    }

    /// Its line for this connection, where the prepared statement has a name of the router. None if
    /// the connection doesn't know it. `waitpos` is empty or ends with a blank.
    pub(super) fn line(&self, checkout: &Checkout, waitpos: &str) -> Option<Vec<u8>> {
        let id = self.id;
        let line = match self.execution {
            None => format!("QUERY {id} {waitpos}{}\r\n", self.text),
            Some(Execution { shape, parameters }) => {
                let number = checkout.prepared_number(shape)?;
                let blank = if parameters.is_empty() { "" } else { " " };
                format!("QUERY {id} {waitpos}EXECUTE p{number}{blank}{parameters}\r\n")
            }
        };
        Some(line.into_bytes())
    }
}
