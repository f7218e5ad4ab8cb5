//! A client's connection: reads lines and writes responses.

use crate::clock;
use crate::data_plane::DataPlane;
use crate::net;
use async_io::Async;
use badgerstream_line_protocol::{LineBuffer, LineError};
use std::cell::RefCell;
use std::future::pending;
use std::net::TcpStream;

/// A client counts as disconnected if a write to it takes longer than this, in seconds.
const WRITE_TIMEOUT_S: f64 = 10.0;

/// The connection of a client.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) lines: RefCell<LineBuffer>,
}

impl ClientConnection {
    /// Writes all bytes. Returns `false` if the client has disconnected or didn't take them within
    /// [`WRITE_TIMEOUT_S`].
    pub(super) async fn write(&self, bytes: &[u8]) -> bool {
        let written = net::with_deadline(
            clock::now() + WRITE_TIMEOUT_S,
            net::write(&self.stream, bytes),
        )
        .await;
        matches!(written, Some(Ok(())))
    }

    /// Waits for bytes. Returns `false` if the client has disconnected.
    pub(super) async fn read(&self, data_plane: &DataPlane) -> bool {
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            let mut lines = self.lines.borrow_mut();
            match net::try_read(&self.stream, &data_plane.scratch, &mut lines) {
                Ok(None) => {}
                Ok(Some(n)) => return n > 0,
                Err(_) => return false,
            }
        }
    }

    /// Waits until the client has disconnected, then returns `None`. If the client sends more bytes
    /// meanwhile, it is still connected, and this never returns.
    pub(super) async fn until_closed<T>(&self, data_plane: &DataPlane) -> Option<T> {
        if self.lines.borrow().is_empty() && !self.read(data_plane).await {
            return None;
        }
        pending().await
    }

    /// Returns the next complete line among the bytes read so far; `None` if there is none yet.
    pub(super) fn next_line(&self) -> Result<Option<Vec<u8>>, LineError> {
        let mut lines = self.lines.borrow_mut();
        Ok(lines.next_line()?.map(<[u8]>::to_vec))
    }
}
