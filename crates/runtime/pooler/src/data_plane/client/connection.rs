//! A client's connection: lines in, answers out.

use crate::clock;
use crate::data_plane::{DataPlane, net};
use async_io::Async;
use badgerstream_line_protocol::LineBuffer;
use std::cell::RefCell;
use std::future::pending;
use std::net::TcpStream;

/// A client that takes no byte for so long is gone, in seconds.
const WRITE_TIMEOUT_S: f64 = 10.0;

/// The client's connection.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) lines: RefCell<LineBuffer>,
}

impl ClientConnection {
    /// Whether all of it was taken.
    pub(super) async fn write(&self, bytes: &[u8]) -> bool {
        let written = net::until(
            clock::now() + WRITE_TIMEOUT_S,
            net::write(&self.stream, bytes),
        )
        .await;
        matches!(written, Some(Ok(())))
    }

    /// Whether something came.
    pub(super) async fn read(&self, data_plane: &DataPlane) -> bool {
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            match net::read_now(
                &self.stream,
                &data_plane.scratch,
                &mut self.lines.borrow_mut(),
            ) {
                Ok(None) => {}
                Ok(Some(n)) => return n > 0,
                Err(_) => return false,
            }
        }
    }

    /// Waits until the client has gone; none then. Whoever asks on meanwhile is there.
    pub(super) async fn until_closed<T>(&self, data_plane: &DataPlane) -> Option<T> {
        if self.lines.borrow().is_empty() && !self.read(data_plane).await {
            return None;
        }
        pending().await
    }

    /// The next line; none if the stream can't be read on.
    pub(super) fn next_line(&self) -> Result<Option<Vec<u8>>, ()> {
        self.lines
            .borrow_mut()
            .next()
            .map(|l| l.map(<[u8]>::to_vec))
            .map_err(drop)
    }
}
