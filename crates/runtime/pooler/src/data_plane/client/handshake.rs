//! The handshake with a client: `CONNECT` names the database that it wants.

use super::connection::ClientConnection;
use super::response::retry_after_ms;
use crate::clock;
use crate::data_plane::DataPlane;
use crate::data_plane::placement::RETRY_AFTER_S;
use crate::net;
use badgerstream_line_protocol::Request;
use std::rc::Rc;

/// Timeout for the `CONNECT` of a client, in seconds.
const HANDSHAKE_TIMEOUT_S: f64 = 10.0;
/// How long a client's `CONNECT` waits for the router's first configuration, in seconds.
const CONFIG_TIMEOUT_S: f64 = 1.5;

/// Performs the handshake and returns the database that the client connects to; `None` if the
/// client was rejected or has disconnected.
pub(super) async fn handshake(
    data_plane: &Rc<DataPlane>,
    client: &ClientConnection,
) -> Option<Rc<str>> {
    let first_line = first_line(data_plane, client);
    let line = net::with_deadline(clock::now() + HANDSHAKE_TIMEOUT_S, first_line).await??;
    let Ok(Request::Connect { database, .. }) = Request::parse(&line) else {
        client
            .write(b"ERROR MALFORMED CONNECT comes first\r\n")
            .await;
        return None;
    };
    let give_up_at = clock::now() + CONFIG_TIMEOUT_S;
    loop {
        let generation = data_plane.shared_view.changed.generation();
        let config = data_plane.shared_view.view.borrow().config.clone();
        if let Some(config) = config {
            if config.route(database).is_none() {
                let line = format!("ERROR NODB {database}\r\n");
                client.write(line.as_bytes()).await;
                return None;
            }
            let is_connected = client.write(b"IDLE I -\r\n").await;
            return is_connected.then(|| database.into());
        }
        let changed = data_plane.shared_view.changed.notified_since(generation);
        if net::with_deadline(give_up_at, changed).await.is_none() {
            let line = format!("ERROR RETRY {}\r\n", retry_after_ms(RETRY_AFTER_S));
            client.write(line.as_bytes()).await;
            return None;
        }
    }
}

/// Returns the first line of the client; `None` if it disconnects.
async fn first_line(data_plane: &DataPlane, client: &ClientConnection) -> Option<Vec<u8>> {
    loop {
        if let Some(line) = client.next_line().ok()? {
            return Some(line);
        }
        if !client.read(data_plane).await {
            return None;
        }
    }
}
