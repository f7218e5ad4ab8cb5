//! HTTP as a server: one task a connection, one answer a request.

use crate::frames;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_http_codec::{Request, Requests, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A connection on which nothing is asked is closed after so many seconds.
const IDLE_S: f64 = 30.0;

/// Connections at a time, at most: more are closed at once.
const MAX_CONNECTIONS: usize = 1024;

/// What answers requests.
pub trait Handler {
    /// The whole answer, as bytes.
    fn answer(self: Rc<Self>, request: Request) -> impl Future<Output = Vec<u8>>;
}

/// Serves this address for as long as the program runs. `open` counts requests that are not answered yet.
pub async fn serve<H: Handler + 'static>(
    tasks: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handler: Rc<H>,
    body: usize,
    open: Rc<Cell<usize>>,
) {
    let connections = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        if connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        frames::prepare(&stream, 3.0);
        connections.set(connections.get() + 1);
        let (handler, open, connections) = (handler.clone(), open.clone(), connections.clone());
        tasks
            .spawn(async move {
                connection(stream, handler, body, open).await;
                connections.set(connections.get() - 1);
            })
            .detach();
    }
}

async fn connection<H: Handler>(
    mut stream: Async<TcpStream>,
    handler: Rc<H>,
    body: usize,
    open: Rc<Cell<usize>>,
) {
    let mut requests = Requests::new(body);
    let mut bytes = vec![0; 2048];
    loop {
        match requests.next() {
            Ok(Some(request)) => {
                let keep = request.keep_alive;
                open.set(open.get() + 1);
                let answer = handler.clone().answer(request).await;
                let written = stream.write_all(&answer).await;
                open.set(open.get() - 1);
                if written.is_err() || !keep {
                    return;
                }
            }
            Ok(None) => {
                let read = frames::within(IDLE_S, async { stream.read(&mut bytes).await }).await;
                match read {
                    Ok(count) if count > 0 => requests.feed(&bytes[..count]),
                    _ => return,
                }
            }
            Err(e) => {
                let answer = response(e.status(), &[], format!("{e}\n").as_bytes(), false);
                let _ = stream.write_all(&answer).await;
                return;
            }
        }
    }
}

/// Listens at this address.
pub fn listen(at: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(at)
}
