//! Relays: every link between two processes runs through one, so that a fault lies on one link and one direction.
//! One thread carries all of them. Clients come by a front, which hands them to routers and notices late that one
//! has died.

use crate::run_delay;
use crate::script::{Ends, Fault, Way};
use async_channel::{Receiver, Sender, bounded, unbounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::RingBuffer;
use badgerstream_postgres_protocol::message::{self, put};
use badgerstream_postgres_protocol::node::Node;
use futures_lite::future;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often what is stalled, refused or dead is looked at again.
const LOOK: Duration = Duration::from_millis(2);
const BEAT: Duration = Duration::from_millis(20);
/// A router that answers no empty query within this is not admitted.
const ADMITTED: Duration = Duration::from_millis(500);
const CHUNK: usize = 16 << 10;
/// A connection that does not come up within this never will.
const UP: Duration = Duration::from_secs(5);

/// A link's name: between which ends, which router, which node.
pub type Name = (Ends, usize, usize);

/// Which router a front's connection was led to, and from when to when, in microseconds of Unix time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Route {
    pub front: usize,
    pub router: usize,
    pub from_us: u64,
    pub to_us: u64,
}

struct Link {
    to: SocketAddr,
    /// Outgoing connections come from here, so that the other end can tell who calls.
    from: Option<Ipv4Addr>,
    faults: Cell<[Option<Fault>; 2]>,
    open: RefCell<HashMap<u64, Open>>,
    numbered: Cell<u64>,
    changed: (Sender<()>, Receiver<()>),
}

struct Open {
    abort: Sender<()>,
    /// Some of its bytes have vanished: it can't go on.
    lossy: Rc<Cell<bool>>,
}

impl Link {
    fn new(to: SocketAddr, from: Option<Ipv4Addr>) -> Rc<Link> {
        let (faults, open, numbered) = Default::default();
        Rc::new(Link {
            to,
            from,
            faults,
            open,
            numbered,
            changed: bounded(1),
        })
    }

    fn fault(&self, back: bool) -> Option<Fault> {
        self.faults.get()[usize::from(back)]
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.get().contains(&Some(fault))
    }

    fn set(&self, way: Way, fault: Option<Fault>) {
        let mut faults = self.faults.get();
        if way != Way::Back {
            faults[0] = fault;
        }
        if way != Way::There {
            faults[1] = fault;
        }
        self.faults.set(faults);
        let broken = fault == Some(Fault::Reset);
        for open in self
            .open
            .borrow()
            .values()
            .filter(|open| broken || fault.is_none() && open.lossy.get())
        {
            open.abort.close();
        }
        let _ = self.changed.0.try_send(());
    }
}

enum Command {
    Link(Name, Rc<Link>, TcpListener),
    Fronts(Vec<TcpListener>, Vec<SocketAddr>, Duration),
}

/// What the rig's thread may ask of the relays'.
enum Asked {
    /// A link from a new door to `to`; its address goes back.
    Link(
        Name,
        SocketAddr,
        Option<Ipv4Addr>,
        Sender<std::io::Result<SocketAddr>>,
    ),
    Fronts(
        Vec<SocketAddr>,
        Duration,
        Sender<std::io::Result<Vec<SocketAddr>>>,
    ),
    Set(Vec<Name>, Way, Option<Fault>, Sender<()>),
}

/// The relays of a run; they end with it.
pub struct Relays {
    asked: Sender<Asked>,
    routes: Arc<Mutex<Vec<Route>>>,
}

impl Relays {
    /// Their doors are at this address.
    pub fn start(at: Ipv4Addr) -> Relays {
        let (asked, asks) = unbounded();
        let routes = Arc::new(Mutex::new(Vec::new()));
        let kept = routes.clone();
        let carry = move || {
            let world = Rc::new(World {
                executor: LocalExecutor::new(),
                links: RefCell::default(),
                routes: kept,
                at,
            });
            async_io::block_on(world.executor.run(world.clone().obey(asks)));
        };
        // Without the thread nobody answers, and the first link fails.
        let _ = std::thread::Builder::new()
            .name(run_delay::RELAYS.to_string())
            .spawn(carry);
        Relays { asked, routes }
    }

    /// A new link; where to call it.
    ///
    /// # Errors
    /// The system's, where it has no port left.
    pub fn link(
        &self,
        name: Name,
        to: SocketAddr,
        from: Option<Ipv4Addr>,
    ) -> std::io::Result<SocketAddr> {
        let (tell, told) = bounded(1);
        let _ = self.asked.try_send(Asked::Link(name, to, from, tell));
        told.recv_blocking().map_err(std::io::Error::other)?
    }

    /// A front a router, each with clients of its own.
    ///
    /// # Errors
    /// The system's.
    pub fn fronts(
        &self,
        routers: &[SocketAddr],
        notices: Duration,
    ) -> std::io::Result<Vec<SocketAddr>> {
        let (tell, told) = bounded(1);
        let _ = self
            .asked
            .try_send(Asked::Fronts(routers.to_vec(), notices, tell));
        told.recv_blocking().map_err(std::io::Error::other)?
    }

    /// Puts a fault on links, or heals them; it holds once this returns.
    pub fn set(&self, links: Vec<Name>, way: Way, fault: Option<Fault>) {
        let (tell, told) = bounded(1);
        let _ = self.asked.try_send(Asked::Set(links, way, fault, tell));
        let _ = told.recv_blocking();
    }

    /// Which clients were led where; those that are open end now.
    pub fn routes(&self) -> Vec<Route> {
        let now = crate::now_us();
        let routes = self
            .routes
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        routes
            .iter()
            .map(|r| Route {
                to_us: if r.to_us == 0 { now } else { r.to_us },
                ..*r
            })
            .collect()
    }
}

struct World {
    executor: LocalExecutor<'static>,
    links: RefCell<HashMap<Name, Rc<Link>>>,
    routes: Arc<Mutex<Vec<Route>>>,
    at: Ipv4Addr,
}

/// Which routers a front takes for alive.
struct Front {
    links: Vec<Rc<Link>>,
    alive: Vec<Cell<bool>>,
    notices: Duration,
    turn: Cell<usize>,
}

impl World {
    async fn obey(self: Rc<Self>, asks: Receiver<Asked>) {
        while let Ok(asked) = asks.recv().await {
            match asked {
                Asked::Set(names, way, fault, tell) => {
                    let links = self.links.borrow();
                    names
                        .iter()
                        .filter_map(|name| links.get(name))
                        .for_each(|link| link.set(way, fault));
                    let _ = tell.try_send(());
                }
                Asked::Link(name, to, from, tell) => {
                    let opened = TcpListener::bind((self.at, 0)).and_then(|door| {
                        let address = door.local_addr()?;
                        self.begin(Command::Link(name, Link::new(to, from), door));
                        Ok(address)
                    });
                    let _ = tell.try_send(opened);
                }
                Asked::Fronts(routers, notices, tell) => {
                    let doors: std::io::Result<Vec<_>> = routers
                        .iter()
                        .map(|_| TcpListener::bind((self.at, 0)))
                        .collect();
                    let opened = doors.and_then(|doors| {
                        let addresses: std::io::Result<Vec<_>> =
                            doors.iter().map(TcpListener::local_addr).collect();
                        self.begin(Command::Fronts(doors, routers, notices));
                        addresses
                    });
                    let _ = tell.try_send(opened);
                }
            }
        }
    }

    fn begin(self: &Rc<Self>, command: Command) {
        match command {
            Command::Link(name, link, door) => {
                self.links.borrow_mut().insert(name, link.clone());
                let world = self.clone();
                self.executor
                    .spawn(async move { world.listen(link, door).await })
                    .detach();
            }
            Command::Fronts(doors, routers, notices) => {
                let links: Vec<_> = routers
                    .iter()
                    .map(|router| Link::new(*router, None))
                    .collect();
                for (router, link) in links.iter().enumerate() {
                    self.links
                        .borrow_mut()
                        .insert((Ends::Clients, router, 0), link.clone());
                }
                let alive = routers.iter().map(|_| Cell::new(true)).collect();
                let front = Rc::new(Front {
                    links,
                    alive,
                    notices,
                    turn: Cell::new(0),
                });
                for (number, door) in doors.into_iter().enumerate() {
                    let (world, front) = (self.clone(), front.clone());
                    self.executor
                        .spawn(async move { world.admit(front, number, door).await })
                        .detach();
                }
            }
        }
    }

    /// Takes connections for one link, unless it refuses them.
    async fn listen(self: Rc<Self>, link: Rc<Link>, door: TcpListener) {
        let Ok(address) = door.local_addr() else {
            return;
        };
        let mut door = Async::new(door).ok();
        loop {
            if link.has(Fault::Refuse) {
                door = None;
                let _ = link.changed.1.recv().await;
                continue;
            }
            let Some(open) = &door else {
                door = TcpListener::bind(address).and_then(Async::new).ok();
                Timer::after(LOOK).await;
                continue;
            };
            let came = async { open.accept().await.ok().map(|(stream, _)| stream) };
            let changed = async {
                let _ = link.changed.1.recv().await;
                None
            };
            if let Some(stream) = future::or(came, changed).await {
                let carry = carry(link.clone(), stream);
                self.executor.spawn(async move { _ = carry.await }).detach();
            }
        }
    }

    /// Takes the clients of one front.
    async fn admit(self: Rc<Self>, front: Rc<Front>, number: usize, door: TcpListener) {
        let Ok(door) = Async::new(door) else { return };
        while let Ok((stream, _)) = door.accept().await {
            let alive: Vec<usize> = (0..front.alive.len())
                .filter(|r| front.alive[*r].get())
                .collect();
            let turn = front.turn.replace(front.turn.get() + 1);
            let router = match alive.get(turn % alive.len().max(1)) {
                _ if front.alive[number].get() => number,
                Some(other) => *other,
                None => number,
            };
            let place = {
                let mut routes = self
                    .routes
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                routes.push(Route {
                    front: number,
                    router,
                    from_us: crate::now_us(),
                    to_us: 0,
                });
                routes.len() - 1
            };
            let (world, front) = (self.clone(), front.clone());
            let carried = async move {
                let came_up = carry(front.links[router].clone(), stream).await;
                if let Some(route) = world
                    .routes
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .get_mut(place)
                {
                    route.to_us = crate::now_us();
                }
                if !came_up {
                    front.miss(router).await;
                }
            };
            self.executor.spawn(carried).detach();
        }
    }
}

impl Front {
    /// A router was not there: some time later that is known, and it is asked until it answers.
    async fn miss(&self, router: usize) {
        Timer::after(self.notices).await;
        if !self.alive[router].get() || admitted(self.links[router].to).await {
            return;
        }
        self.alive[router].set(false);
        while !admitted(self.links[router].to).await {
            Timer::after(BEAT).await;
        }
        self.alive[router].set(true);
    }
}

/// Whether a router answers an empty query.
pub async fn admitted(router: SocketAddr) -> bool {
    let asked = async {
        let stream = Async::<TcpStream>::connect(router).await?;
        let mut greeting = RingBuffer::new(message::MAX_MESSAGE_BYTES);
        Node::start(&mut greeting);
        put(&mut greeting, b'Q', &[&[0]]);
        write_all(&stream, greeting.front()).await?;
        let (mut seen, mut room) = (Vec::new(), [0; 512]);
        loop {
            let count = stream.read_with(|mut s| s.read(&mut room)).await?;
            seen.extend_from_slice(&room[..count]);
            // EmptyQueryResponse.
            if seen.windows(5).any(|w| w == b"I\0\0\0\x04") {
                return Ok(true);
            }
            if count == 0 {
                return Ok(false);
            }
        }
    };
    let late = async {
        Timer::after(ADMITTED).await;
        Ok::<bool, std::io::Error>(false)
    };
    future::or(asked, late).await.unwrap_or(false)
}

async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match stream.write_with(|mut s| s.write(bytes)).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

async fn connect(to: SocketAddr, from: Option<Ipv4Addr>) -> std::io::Result<Async<TcpStream>> {
    let Some(from) = from else {
        return Async::<TcpStream>::connect(to).await;
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    rustix::net::bind(&socket, &SocketAddrV4::new(from, 0))?;
    match rustix::net::connect(&socket, &to) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        None => Ok(stream),
        Some(e) => Err(e),
    }
}

/// Makes the end of a socket a reset.
fn abrupt(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}

/// Carries one connection to its end; false if the other side did not let it in.
async fn carry(link: Rc<Link>, near: Async<TcpStream>) -> bool {
    let _ = near.get_ref().set_nodelay(true);
    let (abort, aborted) = bounded::<()>(1);
    let number = link.numbered.replace(link.numbered.get() + 1);
    let lossy = Rc::new(Cell::new(false));
    link.open.borrow_mut().insert(
        number,
        Open {
            abort,
            lossy: lossy.clone(),
        },
    );
    let came_up = Cell::new(false);
    let whole = async {
        if link.has(Fault::Reset) {
            return false;
        }
        if link.fault(false) == Some(Fault::Drop) {
            // It never comes up.
            lossy.set(true);
            future::pending::<()>().await;
        }
        let far = future::or(async { connect(link.to, link.from).await.ok() }, async {
            Timer::after(UP).await;
            None
        });
        let Some(far) = far.await else { return false };
        came_up.set(true);
        let _ = far.get_ref().set_nodelay(true);
        let there = pump(&link, false, &near, &far, &lossy);
        let back = pump(&link, true, &far, &near, &lossy);
        let (there, back) = future::zip(there, back).await;
        let ended = there && back;
        if !ended {
            abrupt(&far);
        }
        ended
    };
    let stopped = async {
        let _ = aborted.recv().await;
        false
    };
    let in_order = future::or(whole, stopped).await;
    if !in_order {
        abrupt(&near);
    }
    link.open.borrow_mut().remove(&number);
    came_up.get()
}

/// Carries one direction until it ends; false if it broke.
async fn pump(
    link: &Link,
    back: bool,
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    lossy: &Cell<bool>,
) -> bool {
    let (mut room, mut passed) = (vec![0; CHUNK], 0);
    let broken = || {
        // The other direction ends with it.
        let _ = (
            from.get_ref().shutdown(Shutdown::Both),
            to.get_ref().shutdown(Shutdown::Both),
        );
        false
    };
    loop {
        let Ok(count) = from.read_with(|mut s| s.read(&mut room)).await else {
            return broken();
        };
        let mut bytes = &room[..count];
        while link.fault(back) == Some(Fault::Stall) {
            Timer::after(LOOK).await;
        }
        match link.fault(back) {
            Some(Fault::Drop) => {
                lossy.set(true);
                if count == 0 {
                    // The other side does not learn of the end either.
                    future::pending::<()>().await;
                }
                continue;
            }
            Some(Fault::DelayMs(ms)) => _ = Timer::after(Duration::from_millis(ms)).await,
            Some(Fault::CutAfter(most)) => {
                let left = most.saturating_sub(passed);
                bytes = &bytes[..bytes.len().min(left as usize)];
            }
            _ => {}
        }
        if count == 0 {
            let _ = to.get_ref().shutdown(Shutdown::Write);
            return true;
        }
        if write_all(to, bytes).await.is_err() || bytes.len() < count {
            return broken();
        }
        passed += bytes.len() as u64;
    }
}
