//! A statement that runs at a server, and its line there.

use crate::data_plane::pool::Checkout;
use badgerstream_line_protocol::Kind;
use badgerstream_pooling::session::Shape;

/// A statement that runs at a server.
#[derive(Clone, Copy)]
pub(super) struct Statement<'a> {
    pub(super) id: &'a str,
    pub(super) text: &'a str,
    /// What it does.
    pub(super) kind: Kind,
    /// What follows our name for the shape, where it runs a prepared one.
    pub(super) execute: Option<(&'a Shape, &'a str)>,
    pub(super) arrived_at: f64,
}

impl Statement<'_> {
    /// Its line for this connection.
    pub(super) fn line(&self, out: &Checkout, waitpos: &str) -> Option<Vec<u8>> {
        Some(
            match self.execute {
                None => format!("QUERY {} {waitpos}{}\r\n", self.id, self.text),
                Some((shape, rest)) => {
                    let number = out.prepared_number(shape)?;
                    let blank = if rest.is_empty() { "" } else { " " };
                    format!(
                        "QUERY {} {waitpos}EXECUTE p{number}{blank}{rest}\r\n",
                        self.id
                    )
                }
            }
            .into_bytes(),
        )
    }
}
