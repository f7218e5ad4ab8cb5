//! A small HTTP/1.1 server. Each connection has one task, which answers its requests one after the
//! other.
//!
//! Each service (control API, readiness, metrics) implements [`Handler`] and binds its own
//! listener. This module owns the connections and limits their number. It does not route requests;
//! the handler interprets the paths.

use crate::net;
use async_executor::LocalExecutor;
use async_io::Async;
use badgerstream_http_codec::{Request, RequestDecoder, encode_response};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// How long a connection may stay without receiving bytes before it is closed, in seconds.
const IDLE_TIMEOUT_S: f64 = 30.0;
/// `TCP_USER_TIMEOUT` of connections, in seconds: the connection is closed if the peer leaves sent
/// data unacknowledged for this long.
const USER_TIMEOUT_S: f64 = 3.0;
/// Maximum number of connections at a time. Further connections are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// Pause after a connection could not be accepted, in seconds. The process may be short of file
/// descriptors.
const ACCEPT_RETRY_INTERVAL_S: f64 = 0.02;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 2048;

/// Answers HTTP requests.
pub trait Handler {
    /// Returns the complete, encoded response to a request.
    fn answer(self: Rc<Self>, request: Request) -> impl Future<Output = Vec<u8>>;
}

/// Serves the connections of a listener for as long as the executor runs. Requests with a body of
/// more than `max_body_bytes` are rejected. `in_flight` counts the requests that have not been
/// answered yet.
pub async fn serve<H: Handler + 'static>(
    tasks: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handler: Rc<H>,
    max_body_bytes: usize,
    in_flight: Rc<Cell<usize>>,
) {
    let connection_count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            net::sleep(ACCEPT_RETRY_INTERVAL_S).await;
            continue;
        };
        if connection_count.get() >= MAX_CONNECTIONS {
            continue;
        }
        net::try_set_options(&stream, USER_TIMEOUT_S);
        connection_count.set(connection_count.get() + 1);
        let handler = handler.clone();
        let in_flight = in_flight.clone();
        let connection_count = connection_count.clone();
        tasks
            .spawn(async move {
                serve_connection(stream, handler, max_body_bytes, in_flight).await;
                connection_count.set(connection_count.get() - 1);
            })
            .detach();
    }
}

async fn serve_connection<H: Handler>(
    mut stream: Async<TcpStream>,
    handler: Rc<H>,
    max_body_bytes: usize,
    in_flight: Rc<Cell<usize>>,
) {
    let mut requests = RequestDecoder::new(max_body_bytes);
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        match requests.next_request() {
            Ok(Some(request)) => {
                let keep_alive = request.keep_alive;
                in_flight.set(in_flight.get() + 1);
                let answer = handler.clone().answer(request).await;
                let written = stream.write_all(&answer).await;
                in_flight.set(in_flight.get() - 1);
                if written.is_err() || !keep_alive {
                    return;
                }
            }
            Ok(None) => {
                let read =
                    net::with_timeout(IDLE_TIMEOUT_S, async { stream.read(&mut bytes).await });
                match read.await {
                    Ok(count) if count > 0 => requests.feed(&bytes[..count]),
                    _ => return,
                }
            }
            Err(e) => {
                let answer = encode_response(e.status(), &[], format!("{e}\n").as_bytes(), false);
                let _ = stream.write_all(&answer).await;
                return;
            }
        }
    }
}

/// Binds a listener to this address.
///
/// # Errors
///
/// Errors of the operating system.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}
