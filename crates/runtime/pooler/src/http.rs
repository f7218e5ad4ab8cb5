//! A small HTTP/1.1 server: one task a connection, requests answered one after the other.
//!
//! Each service (control calls, readiness, metrics) implements [`Handler`] and owns its listener;
//! this module owns the connections and how many there are. It never routes: paths are the
//! handler's concern.

use crate::net;
use async_executor::LocalExecutor;
use async_io::Async;
use badgerstream_http_codec::{Request, RequestDecoder, encode_response};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// A connection without a request for so many seconds is closed.
const IDLE_TIMEOUT_S: f64 = 30.0;
/// A peer that acknowledges nothing for so many seconds is given up.
const USER_TIMEOUT_S: f64 = 3.0;
/// Connections at a time; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1024;
/// Pause after a connection could not be accepted, in seconds: the process may be short of
/// descriptors.
const ACCEPT_RETRY_S: f64 = 0.02;
/// Size of a connection's read buffer, in bytes.
const READ_BYTES: usize = 2048;

/// Answers requests.
pub trait Handler {
    /// The complete response, as bytes.
    fn answer(self: Rc<Self>, request: Request) -> impl Future<Output = Vec<u8>>;
}

/// Serves connections of this listener for as long as the executor runs. Requests with a body of
/// more than `max_body_bytes` are rejected; `in_flight` counts the requests that are not answered
/// yet.
pub async fn serve<H: Handler + 'static>(
    tasks: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handler: Rc<H>,
    max_body_bytes: usize,
    in_flight: Rc<Cell<usize>>,
) {
    let connections = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            net::sleep(ACCEPT_RETRY_S).await;
            continue;
        };
        if connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        net::try_set_options(&stream, USER_TIMEOUT_S);
        connections.set(connections.get() + 1);
        let handler = handler.clone();
        let in_flight = in_flight.clone();
        let connections = connections.clone();
        tasks
            .spawn(async move {
                serve_connection(stream, handler, max_body_bytes, in_flight).await;
                connections.set(connections.get() - 1);
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
    let mut bytes = vec![0; READ_BYTES];
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
/// Those of the system.
pub fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}
