//! A client's connection: lines in, responses out.

use crate::clock;
use crate::data_plane::DataPlane;
use crate::net;
use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, LineError};
use std::cell::RefCell;
use std::future::pending;
use std::net::TcpStream;

/// After how many seconds a client that takes no bytes counts as disconnected.
const WRITE_TIMEOUT_S: f64 = 10.0;

/// The connection of a client.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) lines: RefCell<LineBuffer>,
}

impl ClientConnection {
    /// Writes all bytes; false if the client has disconnected or takes none.
    pub(super) async fn write(&self, bytes: &[u8]) -> bool {
        let written = net::until(
            clock::now() + WRITE_TIMEOUT_S,
            net::write(&self.stream, bytes),
        )
        .await;
        matches!(written, Some(Ok(())))
    }

    /// Waits for bytes; false if the client has disconnected.
    pub(super) async fn read(&self, data_plane: &DataPlane) -> bool {
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            let mut lines = self.lines.borrow_mut();
            match net::read_now(&self.stream, &data_plane.scratch, &mut lines) {
                Ok(None) => {}
                Ok(Some(n)) => return n > 0,
                Err(_) => return false,
            }
        }
    }

    /// Waits until the client has disconnected; returns none then. A client that sends more
    /// meanwhile is still connected.
    pub(super) async fn until_closed<T>(&self, data_plane: &DataPlane) -> Option<T> {
        if self.lines.borrow().is_empty() && !self.read(data_plane).await {
            return None;
        }
        pending().await
    }

    /// The next complete line among the bytes that were read; none if there is none yet.
    pub(super) fn next_line(&self) -> Result<Option<Vec<u8>>, LineError> {
        let mut lines = self.lines.borrow_mut();
        Ok(lines.next_line()?.map(<[u8]>::to_vec))
    }
}
