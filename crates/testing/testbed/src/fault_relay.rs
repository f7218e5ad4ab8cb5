//! A TCP relay on the link between two processes, on which tests lay faults, each direction by
//! itself. It listens at a given address, since the address of a control machine is its identity.
//! It knows nothing of the protocols: it carries bytes of connections.

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

/// How much is read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// From a failed accept to the next.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the callee.
    Requests,
    /// Back.
    Responses,
}

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// They are lost silently, the end of a connection too. Connections that lost bytes are reset
    /// once the fault is lifted.
    Drop,
    /// They arrive later by so much.
    Delay(Duration),
    /// So many bytes of a connection pass, then both its ends are reset; with 0, as soon as the
    /// first one is sent.
    ResetAfter(usize),
}

/// How one direction of a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PumpEnd {
    /// The sender has closed it.
    Closed,
    /// It broke: the connection is to be reset.
    Broken,
}

/// A relay on one link.
pub struct Relay {
    target: SocketAddr,
    /// By [`Direction`].
    faults: [Cell<Option<Fault>>; 2],
    /// Connections that lost bytes; closing a channel resets its connection.
    lossy: RefCell<Vec<Sender<()>>>,
    reset_count: Cell<usize>,
    request_count: Cell<usize>,
    /// Notified whenever one of the counts has changed.
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
            lossy: RefCell::default(),
            reset_count: Cell::new(0),
            request_count: Cell::new(0),
            changed: Notify::default(),
        });
        let accept = relay.clone().accept(executor.clone(), listener);
        executor.spawn(accept).detach();
        Ok(relay)
    }

    /// Lays a fault on one direction, or lifts it.
    pub fn set(&self, direction: Direction, fault: Option<Fault>) {
        self.faults[direction as usize].set(fault);
        if fault.is_none() {
            for connection in self.lossy.borrow_mut().drain(..) {
                connection.close();
            }
        }
    }

    /// How many connections were reset because of [`Fault::ResetAfter`].
    pub fn resets(&self) -> usize {
        self.reset_count.get()
    }

    /// How many connections have carried a byte of a request.
    pub fn requests(&self) -> usize {
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
                Ok((caller, _)) => executor.spawn(self.clone().carry(caller)).detach(),
                Err(_) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            }
        }
    }

    /// Carries both directions of a connection until its end.
    async fn carry(self: Rc<Self>, caller: Async<TcpStream>) {
        let Ok(callee) = Async::<TcpStream>::connect(self.target).await else {
            return set_reset_on_close(&caller, true);
        };
        for end in [&caller, &callee] {
            let _ = end.get_ref().set_nodelay(true);
        }
        // Closed to reset the connection: by either direction, or when a lossy fault is lifted.
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

    /// Carries one direction until its end; one that breaks closes `reset`, to end the other as
    /// well.
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
                    self.lossy.borrow_mut().push(reset.clone());
                    if count == 0 {
                        // The end is lost too: only the reset ends this connection.
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
            // Read again: the fault may have been laid or lifted while the chunk was written.
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
