//! A statement that runs at a server, and the protocol line that is sent for it.

use crate::data_plane::pool::Checkout;
use badgerstream_line_protocol::StatementKind;
use badgerstream_pooling::session::Shape;

/// A statement of a client that runs at a server.
#[derive(Clone, Copy)]
pub(super) struct Statement<'a> {
    /// The id that the client gave it.
    pub(super) id: &'a str,
    /// Its text, as the client sent it.
    pub(super) text: &'a str,
    /// Whether it reads or writes.
    pub(super) kind: StatementKind,
    /// The `EXECUTE` of a prepared statement, if it is one.
    pub(super) execution: Option<Execution<'a>>,
    /// When it arrived, in seconds of the monotonic clock.
    pub(super) arrived_at: f64,
}

/// An `EXECUTE` of a prepared statement.
#[derive(Clone, Copy)]
pub(super) struct Execution<'a> {
    /// The prepared statement.
    pub(super) shape: &'a Shape,
    /// The text after its name.
    pub(super) parameters: &'a str,
}

impl<'a> Statement<'a> {
    /// Returns the statement that must be prepared on the connection.
    pub(super) fn shape(&self) -> Option<&'a Shape> {
        self.execution.map(|execution| execution.shape)
    }

    /// Returns its line for this connection, with the router's name of the prepared statement;
    /// `None` if that isn't prepared there. `waitpos` is empty or ends with a blank.
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
