//! The first line of a client: the database that it connects to.

use super::connection::ClientConnection;
use super::response::retry_after_ms;
use crate::clock;
use crate::data_plane::placement::RETRY_AFTER_S;
use crate::data_plane::{DataPlane, net};
use badgerstream_line_protocol::Request;
use std::rc::Rc;

/// A client may take so long to say whom it wants, in seconds.
const HANDSHAKE_TIMEOUT_S: f64 = 10.0;
/// Before the first configuration a client waits for it so long, in seconds.
const CONFIG_WAIT_S: f64 = 1.5;

/// The database that the client connects to, once it has its answer; none if it was refused or has gone.
pub(super) async fn handshake(
    data_plane: &Rc<DataPlane>,
    client: &ClientConnection,
) -> Option<Rc<str>> {
    let line = net::until(clock::now() + HANDSHAKE_TIMEOUT_S, async {
        loop {
            if let Some(line) = client.next_line().ok()? {
                return Some(line);
            }
            if !client.read(data_plane).await {
                return None;
            }
        }
    })
    .await??;
    let Ok(Request::Connect { database, .. }) = Request::parse(&line) else {
        client
            .write(b"ERROR MALFORMED CONNECT comes first\r\n")
            .await;
        return None;
    };
    let until = clock::now() + CONFIG_WAIT_S;
    loop {
        let generation = data_plane.shared_view.changed.generation();
        let config = data_plane.shared_view.view.borrow().config.clone();
        match config {
            Some(config) if config.route(database).is_some() => {
                let answered = client.write(b"IDLE I -\r\n").await;
                return answered.then(|| database.into());
            }
            Some(_) => {
                client
                    .write(format!("ERROR NODB {database}\r\n").as_bytes())
                    .await;
                return None;
            }
            None => {
                if net::until(
                    until,
                    data_plane.shared_view.changed.notified_since(generation),
                )
                .await
                .is_none()
                {
                    let line = format!("ERROR RETRY {}\r\n", retry_after_ms(RETRY_AFTER_S));
                    client.write(line.as_bytes()).await;
                    return None;
                }
            }
        }
    }
}
