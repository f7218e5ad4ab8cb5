//! A relay on the link between two processes, on which faults are laid, each way by itself.
//!
//! The relays of the cluster rig lie between routers and nodes and choose their own addresses; those of control machines must
//! stand at given ones, as an address there is an identity.

use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_pooler::notify::Notify;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What is carried at once, in bytes.
const CHUNK: usize = 16 << 10;

/// A way along a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who calls to who is called.
    Requests,
    /// Back.
    Responses,
}

/// What befalls the bytes of one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// They vanish, and nobody is told: neither that they were lost nor that a connection has ended.
    Drop,
    /// They arrive later by so much.
    Delay(Duration),
    /// So many of a connection pass, then both its ends are reset; with none, as soon as the first one is sent.
    ResetAfter(usize),
}

/// One link.
pub struct Relay {
    to: SocketAddr,
    faults: [Cell<Option<Fault>>; 2],
    /// Connections of which bytes have vanished; they are reset once the fault is lifted.
    lossy: RefCell<Vec<Sender<()>>>,
    /// How many connections were reset because of [`Fault::ResetAfter`].
    resets: Cell<usize>,
    /// How many connections have brought a request.
    requests: Cell<usize>,
    /// Rings at each of these.
    pub changed: Notify,
}

impl Relay {
    /// Takes connections at one address and leads them to the other.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        at: SocketAddr,
        to: SocketAddr,
    ) -> std::io::Result<Rc<Relay>> {
        let listener = Async::<TcpListener>::bind(at)?;
        let relay = Rc::new(Relay {
            to,
            faults: Default::default(),
            lossy: RefCell::default(),
            resets: Cell::new(0),
            requests: Cell::new(0),
            changed: Notify::default(),
        });
        let (taking, spawner) = (relay.clone(), tasks.clone());
        let take = async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                };
                spawner.spawn(taking.clone().carry(stream)).detach();
            }
        };
        tasks.spawn(take).detach();
        Ok(relay)
    }

    /// Lays a fault on one way, or lifts it.
    pub fn set(&self, way: Direction, fault: Option<Fault>) {
        self.faults[way as usize].set(fault);
        if fault.is_none() {
            for connection in self.lossy.borrow_mut().drain(..) {
                connection.close();
            }
        }
    }

    /// How many connections were reset because of [`Fault::ResetAfter`].
    pub fn resets(&self) -> usize {
        self.resets.get()
    }

    /// How many connections have brought a request.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    async fn carry(self: Rc<Self>, near: Async<TcpStream>) {
        let Ok(far) = Async::<TcpStream>::connect(self.to).await else {
            return reset(&near);
        };
        for end in [&near, &far] {
            let _ = end.get_ref().set_nodelay(true);
        }
        let (lossy, lifted) = bounded(1);
        let both = async {
            let requests = self.pump(Direction::Requests, &near, &far, &lossy);
            let answers = self.pump(Direction::Responses, &far, &near, &lossy);
            let (requests, answers) = future::zip(requests, answers).await;
            requests && answers
        };
        let broken_off = async {
            let _: Result<(), _> = Receiver::recv(&lifted).await;
            false
        };
        if !future::or(both, broken_off).await {
            reset(&near);
            reset(&far);
        }
    }

    /// Carries one way until its end; false if the connection is to be reset.
    async fn pump(
        &self,
        way: Direction,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        lossy: &Sender<()>,
    ) -> bool {
        let mut bytes = vec![0; CHUNK];
        let mut passed = 0;
        loop {
            let Ok(count) = from.read(&mut bytes).await else {
                return self.broken(lossy);
            };
            let mut part = &bytes[..count];
            match self.faults[way as usize].get() {
                Some(Fault::Drop) => {
                    self.lossy.borrow_mut().push(lossy.clone());
                    if count == 0 {
                        future::pending::<()>().await;
                    }
                    continue;
                }
                Some(Fault::Delay(late)) => drop(Timer::after(late).await),
                Some(Fault::ResetAfter(most)) => {
                    part = &part[..count.min(most.saturating_sub(passed))];
                }
                None => {}
            }
            if count == 0 {
                let _ = to.get_ref().shutdown(Shutdown::Write);
                return true;
            }
            if to.write_all(part).await.is_err() {
                return self.broken(lossy);
            }
            if way == Direction::Requests && passed == 0 && !part.is_empty() {
                self.requests.set(self.requests.get() + 1);
                self.changed.notify_waiters();
            }
            passed += part.len();
            if matches!(self.faults[way as usize].get(), Some(Fault::ResetAfter(most)) if passed >= most)
            {
                self.resets.set(self.resets.get() + 1);
                self.changed.notify_waiters();
                return self.broken(lossy);
            }
        }
    }

    /// Ends the other way of this connection as well.
    fn broken(&self, connection: &Sender<()>) -> bool {
        connection.close();
        false
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &Async<TcpStream>) {
    badgerstream_pooler::net::reset_on_close(stream, true);
}
