//! A TCP relay between two processes, in which tests inject faults, separately for each direction.
//! The caller chooses its listen address, because the address of a control machine is its identity.
//! It forwards bytes and doesn't interpret any protocol.

use async_channel::{Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_pooler::net::set_reset_on_close;
use badgerstream_pooler::notify::Notify;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 << 10;

/// Delay between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the callee.
    Requests,
    /// From the callee to the caller.
    Responses,
}

/// A fault that affects the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Bytes are discarded silently, and so is the end of the stream. Connections that lost any are
    /// reset once the fault is cleared.
    Drop,
    /// Each chunk is forwarded after this delay.
    Delay(Duration),
    /// After this many bytes of a connection were forwarded, both its ends are reset; with 0, as
    /// soon as the first byte arrives.
    ResetAfter(usize),
}

/// The way in which one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PumpEnd {
    /// The sender closed it.
    Closed,
    /// It failed: the connection must be reset.
    Broken,
}

/// A relay to one target address.
pub struct Relay {
    target: SocketAddr,
    /// The current fault of each [`Direction`].
    faults: [Cell<Option<Fault>>; 2],
    /// A channel for each connection that lost bytes; closing the channel resets the connection.
    lossy_connections: RefCell<Vec<Sender<()>>>,
    reset_count: Cell<usize>,
    request_count: Cell<usize>,
    /// Notified whenever the number of resets or of requests has changed.
    pub changed: Notify,
}

impl Relay {
    /// Relays connections made to `listen_address` to `target`, for as long as the executor runs.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        listen_address: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Rc<Relay>> {
        let listener = Async::<TcpListener>::bind(listen_address)?;
        let relay = Rc::new(Relay {
            target,
            faults: Default::default(),
            lossy_connections: RefCell::default(),
            reset_count: Cell::new(0),
            request_count: Cell::new(0),
            changed: Notify::default(),
        });
        let accept = relay.clone().accept(executor.clone(), listener);
        executor.spawn(accept).detach();
        Ok(relay)
    }

    /// Sets the fault of one direction, or clears it with `None`.
    pub fn set_fault(&self, direction: Direction, fault: Option<Fault>) {
        self.faults[direction as usize].set(fault);
        if fault.is_none() {
            for connection in self.lossy_connections.borrow_mut().drain(..) {
                connection.close();
            }
        }
    }

    /// Returns the number of connections that were reset by [`Fault::ResetAfter`].
    pub fn reset_count(&self) -> usize {
        self.reset_count.get()
    }

    /// Returns the number of connections over which at least one request byte was forwarded.
    pub fn request_count(&self) -> usize {
        self.request_count.get()
    }

    fn fault(&self, direction: Direction) -> Option<Fault> {
        self.faults[direction as usize].get()
    }

    async fn accept(
        self: Rc<Self>,
        executor: Rc<LocalExecutor<'static>>,
        listener: Async<TcpListener>,
    ) {
        loop {
            match listener.accept().await {
                Ok((caller, _)) => executor
                    .spawn(self.clone().forward_connection(caller))
                    .detach(),
                Err(_) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            }
        }
    }

    /// Forwards both directions of a connection until its end.
    async fn forward_connection(self: Rc<Self>, caller: Async<TcpStream>) {
        let Ok(callee) = Async::<TcpStream>::connect(self.target).await else {
            return set_reset_on_close(&caller, true);
        };
        for end in [&caller, &callee] {
            let _ = end.get_ref().set_nodelay(true);
        }
        // Closing this channel resets the connection: either direction does it when it fails, and
        // `set_fault` does it when `Fault::Drop` is cleared.
        let (reset_sender, reset_receiver) = bounded::<()>(1);
        let both = async {
            let requests = self.pump(Direction::Requests, &caller, &callee, &reset_sender);
            let responses = self.pump(Direction::Responses, &callee, &caller, &reset_sender);
            let (requests, responses) = future::zip(requests, responses).await;
            requests == PumpEnd::Closed && responses == PumpEnd::Closed
        };
        let reset = async {
            let _ = reset_receiver.recv().await;
            false
        };
        let closed = future::or(both, reset).await;
        if !closed {
            set_reset_on_close(&caller, true);
            set_reset_on_close(&callee, true);
        }
    }

    /// Forwards one direction until its end. If it fails, it closes `reset` to end the other one
    /// too.
    async fn pump(
        &self,
        direction: Direction,
        from: &Async<TcpStream>,
        to: &Async<TcpStream>,
        reset: &Sender<()>,
    ) -> PumpEnd {
        let end = self.pump_chunks(direction, from, to, reset).await;
        if end == PumpEnd::Broken {
            reset.close();
        }
        end
    }

    async fn pump_chunks(
        &self,
        direction: Direction,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        reset: &Sender<()>,
    ) -> PumpEnd {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut passed_bytes = 0;
        loop {
            let Ok(count) = from.read(&mut buffer).await else {
                return PumpEnd::Broken;
            };
            let mut chunk = &buffer[..count];
            match self.fault(direction) {
                Some(Fault::Drop) => {
                    self.lossy_connections.borrow_mut().push(reset.clone());
                    if count == 0 {
                        // The end of the stream is discarded too: only the reset ends this
                        // connection.
                        future::pending::<()>().await;
                    }
                    continue;
                }
                Some(Fault::Delay(delay)) => drop(Timer::after(delay).await),
                Some(Fault::ResetAfter(limit)) => {
                    chunk = &chunk[..count.min(limit.saturating_sub(passed_bytes))];
                }
                None => {}
            }
            if count == 0 {
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return PumpEnd::Closed;
            }
            if to.write_all(chunk).await.is_err() {
                return PumpEnd::Broken;
            }
            if direction == Direction::Requests && passed_bytes == 0 && !chunk.is_empty() {
                self.count(&self.request_count);
            }
            passed_bytes += chunk.len();
            // The fault is read again: it may have changed while the chunk was written.
            if let Some(Fault::ResetAfter(limit)) = self.fault(direction)
                && passed_bytes >= limit
            {
                self.count(&self.reset_count);
                return PumpEnd::Broken;
            }
        }
    }

    fn count(&self, counter: &Cell<usize>) {
        counter.set(counter.get() + 1);
        self.changed.notify_waiters();
    }
}
