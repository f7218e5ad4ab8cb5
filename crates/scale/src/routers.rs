//! Hollow routers: each holds its session with control as a router does, and keeps nothing but what is counted.

use crate::plan::PEERS;
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use badgerstream_control::{Ballot, Evidence, GrantNews, Node, ToControl, ToRouter};
use badgerstream_node::clock;
use badgerstream_node::frames::{self, Frame, within};
use futures_lite::{AsyncRead, AsyncWriteExt, future, io};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Between two renewals, in seconds: the default of routers.
const RENEW: f64 = 0.3;
/// Without an answer, and without anything else that comes, for so long another machine is tried, in seconds: the default of
/// routers.
const SUSPECT: f64 = 0.4;
/// What the kernel may hold for a router whose link is limited, in bytes: the rest waits at control's side.
const RECEIVE_BUFFER: usize = 8 << 10;
/// What is read at once from a limited link, in bytes.
const LINK_READ: usize = 4 << 10;

/// What has passed between all hollow routers and control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes of frames to control.
    pub out: u64,
    /// Bytes of frames from control.
    pub into: u64,
    /// Frames to control.
    pub asked: u64,
    /// Frames from control.
    pub told: u64,
    /// Connections that were tried.
    pub connects: u64,
}

/// One hollow router.
pub struct Router {
    name: String,
    life: u64,
    known: Cell<(Ballot, u64)>,
    /// The configuration that it knows, and since when.
    epoch: Cell<(u64, f64)>,
    lease_until: Cell<f64>,
    /// Since when it holds a lease of the leader in `known`.
    leased: Cell<(Ballot, f64)>,
    /// By service: server and term, and since when; none while a change is under way.
    grants: RefCell<HashMap<String, (GrantNews, f64)>>,
    /// Services of whose primaries control wants to be told.
    evidence_wanted: RefCell<Vec<String>>,
}

impl Router {
    /// The epoch that it knows, and the second from which on it did.
    pub fn epoch(&self) -> (u64, f64) {
        self.epoch.get()
    }

    /// Whether it holds a lease now.
    pub fn holds(&self, now: f64) -> bool {
        now < self.lease_until.get()
    }

    /// Whose lease it held last, and the second from which on.
    pub fn leased(&self) -> (Ballot, f64) {
        self.leased.get()
    }

    /// Since when it may use a primary of this service that leads at least this term; none if it may not.
    pub fn granted(&self, service: &str, term: u64) -> Option<f64> {
        let grants = self.grants.borrow();
        grants.get(service).filter(|(g, _)| !g.closing && g.term >= term).map(|(_, at)| *at)
    }

    /// How many services it may use the primary of.
    pub fn granted_count(&self) -> usize {
        self.grants.borrow().values().filter(|(g, _)| !g.closing).count()
    }

    fn take(&self, news: ToRouter) -> bool {
        let ToRouter::News { known, sent, lease, whole, grants, config, evidence_wanted, .. } = news else {
            return false;
        };
        let now = clock::now();
        if known.0 < self.known.get().0 {
            return sent.is_some();
        }
        if whole {
            self.grants.borrow_mut().clear();
            self.lease_until.set(f64::NEG_INFINITY);
        }
        for grant in grants {
            self.grants.borrow_mut().insert(grant.service.clone(), (grant, now));
        }
        // Routers read it whole; here only its epoch counts, as one process stands for all of them.
        if let Some(epoch) = config.as_deref().and_then(epoch)
            && epoch > self.epoch.get().0
        {
            self.epoch.set((epoch, now));
        }
        if let Some(sent) = sent
            && lease > 0.0
        {
            self.lease_until.set(self.lease_until.get().max(sent + lease));
            if self.leased.get().0 < known.0 {
                self.leased.set((known.0, now));
            }
        }
        self.known.set(self.known.get().max(known));
        *self.evidence_wanted.borrow_mut() = evidence_wanted;
        sent.is_some()
    }
}

/// The epoch of a configuration in which it stands first.
pub fn epoch(body: &[u8]) -> Option<u64> {
    let rest = body.strip_prefix(b"{\"epoch\":")?;
    let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

/// All hollow routers; they end with this.
pub struct Routers {
    /// Each of them.
    pub all: Vec<Rc<Router>>,
    common: Rc<Common>,
    _tasks: Vec<Task<()>>,
}

struct Common {
    controls: Vec<Node>,
    /// Of how many primaries each tells what it saw, at most; it tells only of those that control asks about.
    evidence: usize,
    /// Bytes a second that a router's link carries from control; none is as fast as loopback.
    link: Option<f64>,
    traffic: Cell<Traffic>,
}

impl Common {
    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }
}

impl Routers {
    /// Starts so many; `link` is what each one's link carries, in bytes a second.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>, count: usize, controls: &[SocketAddr], evidence: usize,
        link: Option<f64>,
    ) -> Routers {
        let nodes = controls.iter().filter_map(|at| match at.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        });
        let common = Rc::new(Common { controls: nodes.collect(), evidence, link, traffic: Cell::default() });
        let one = |n: usize| {
            Rc::new(Router {
                name: format!("edge-local-{n}"),
                life: 1 + n as u64,
                known: Cell::default(),
                epoch: Cell::default(),
                lease_until: Cell::new(f64::NEG_INFINITY),
                leased: Cell::default(),
                grants: RefCell::default(),
                evidence_wanted: RefCell::default(),
            })
        };
        let all: Vec<Rc<Router>> = (0..count).map(one).collect();
        let run = |(n, router): (usize, &Rc<Router>)| {
            let late = RENEW * n as f64 / count as f64;
            tasks.spawn(run(router.clone(), common.clone(), late))
        };
        let running = all.iter().enumerate().map(run).collect();
        Routers { all, common, _tasks: running }
    }

    /// What has passed so far.
    pub fn traffic(&self) -> Traffic {
        self.common.traffic.get()
    }
}

/// Holds the session with whoever leads, as a router's does.
async fn run(router: Rc<Router>, common: Rc<Common>, late: f64) {
    // All begin within one span of renewals, not at one moment.
    Timer::after(Duration::from_secs_f64(late)).await;
    let mut hint = None;
    let mut turn = router.life as usize;
    loop {
        let node = hint.take().unwrap_or(common.controls[turn % common.controls.len()]);
        turn = turn.wrapping_add(1);
        let pause = match with(&router, &common, node).await {
            Ok(leader) => {
                hint = leader.filter(|l| *l != node);
                if hint.is_some() { 0 } else { 40 }
            }
            Err(_) => 20,
        };
        if pause > 0 {
            Timer::after(Duration::from_millis(pause)).await;
        }
    }
}

async fn with(router: &Router, common: &Common, node: Node) -> io::Result<Option<Node>> {
    common.count(|t| t.connects += 1);
    let to = SocketAddr::from((Ipv4Addr::from(node), PEERS));
    let stream = frames::connect(to, frames::CONNECT, SUSPECT * 2.0).await?;
    if common.link.is_some() {
        let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER);
    }
    let (news, told) = async_channel::bounded(64);
    let heard = Cell::new(clock::now());
    let read = async {
        let mut reader = io::BufReader::with_capacity(1024, Counted::new(&stream, common, &heard));
        loop {
            let Frame::News(one) = frames::read(&mut reader).await? else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            common.count(|t| t.told += 1);
            if news.send(Rc::unwrap_or_clone(one)).await.is_err() {
                return Ok(None);
            }
        }
    };
    future::or(read, talk(router, common, &stream, &told, &heard)).await
}

async fn talk(
    router: &Router, common: &Common, stream: &Async<TcpStream>, told: &Receiver<ToRouter>, heard: &Cell<f64>,
) -> io::Result<Option<Node>> {
    renew(router, common, stream).await?;
    let mut renewed = clock::now();
    // The oldest call that has no answer yet.
    let mut unanswered = Some(renewed);
    loop {
        let now = clock::now();
        let silent_since = unanswered.map(|asked: f64| asked.max(heard.get()));
        if silent_since.is_some_and(|since| now - since > SUSPECT) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let late = silent_since.map_or(f64::INFINITY, |since| since + SUSPECT);
        let until = (late.min(renewed + RENEW) - now).max(0.001);
        let one = future::or(async { told.recv().await.ok() }, async {
            Timer::after(Duration::from_secs_f64(until)).await;
            None
        });
        match one.await {
            Some(ToRouter::Elsewhere { leader, .. }) => return Ok(leader),
            Some(news) => {
                if router.take(news) {
                    unanswered = None;
                } else {
                    renew(router, common, stream).await?;
                    renewed = clock::now();
                    unanswered.get_or_insert(renewed);
                }
            }
            None if clock::now() - renewed >= RENEW => {
                renew(router, common, stream).await?;
                renewed = clock::now();
                unanswered.get_or_insert(renewed);
            }
            None => {}
        }
    }
}

async fn renew(router: &Router, common: &Common, stream: &Async<TcpStream>) -> io::Result<()> {
    let seen = |(grant, _): &(GrantNews, f64)| Evidence {
        service: grant.service.clone(),
        id: grant.id.clone(),
        answered: 0.05,
    };
    let wanted = router.evidence_wanted.borrow();
    let grants = router.grants.borrow();
    let asked_about = grants.values().filter(|(grant, _)| wanted.contains(&grant.service));
    let evidence = asked_about.take(common.evidence).map(seen).collect();
    let call = ToControl {
        router: router.name.clone(),
        life: router.life,
        sent: clock::now(),
        known: router.known.get(),
        epoch: router.epoch.get().0,
        evidence,
    };
    drop((wanted, grants));
    let bytes = frames::bytes(&Frame::Renew(call));
    common.count(|t| {
        t.asked += 1;
        t.out += bytes.len() as u64;
    });
    let mut writer = stream;
    within(SUSPECT, writer.write_all(&bytes)).await
}

/// A connection whose bytes are counted, and that carries no more than the router's link does.
struct Counted<'a> {
    stream: &'a Async<TcpStream>,
    common: &'a Common,
    /// When something came last.
    heard: &'a Cell<f64>,
    /// When the link has carried what was read so far, in seconds.
    free_at: f64,
    pause: Option<Timer>,
}

impl<'a> Counted<'a> {
    fn new(stream: &'a Async<TcpStream>, common: &'a Common, heard: &'a Cell<f64>) -> Self {
        Counted { stream, common, heard, free_at: 0.0, pause: None }
    }

    /// Waits until the link is free again.
    fn poll_link(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let now = clock::now();
        if self.free_at <= now {
            self.pause = None;
            return Poll::Ready(());
        }
        let after = Duration::from_secs_f64(self.free_at - now);
        let pause = self.pause.get_or_insert_with(|| Timer::after(after));
        match Pin::new(pause).poll(cx) {
            Poll::Ready(_) => {
                self.pause = None;
                Poll::Ready(())
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Counted<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.common.link.is_some() && self.poll_link(cx).is_pending() {
            return Poll::Pending;
        }
        let most = if self.common.link.is_some() { bytes.len().min(LINK_READ) } else { bytes.len() };
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut bytes[..most]);
        if let Poll::Ready(Ok(count)) = &read {
            self.common.count(|t| t.into += *count as u64);
            self.heard.set(clock::now());
            if let Some(link) = self.common.link {
                self.free_at = self.free_at.max(clock::now()) + *count as f64 / link;
            }
        }
        read
    }
}
