//! A router's session with the leading control machine: it renews the lease on primaries, reports
//! on servers, and applies all updates to the view.
//!
//! One task runs [`LeaderSession::run`]; it is the only writer of the view. The session ends when
//! the leader sends nothing for the silence time-out while a request is unanswered. Whoever still
//! receives something has not lost the leader, however long a frame takes on a slow link. `search`
//! decides which control machine to try; nothing here sends to database servers.

mod search;
mod update;

use crate::frames::{self, Frame};
use crate::view::SharedView;
use crate::{clock, net};
use async_channel::Receiver;
use async_io::Async;
use badgerstream_control::{HealthReport, LeaseRequest, NodeId, RouterMessage, Term};
use futures_lite::{AsyncRead, future, io};
use search::{ControlNodes, LeaderSearch};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use update::UnconfirmedServers;

/// A connection that lasted for so many seconds was a session with a leader.
const MIN_SESSION_S: f64 = 1.0;
/// Pause after a connection failed, in seconds.
const RECONNECT_INTERVAL_S: f64 = 0.02;
/// Pause while no control machine is known, in seconds.
const NO_NODE_INTERVAL_S: f64 = 0.1;
/// The shortest wait between two looks at the timers of a connection, in seconds.
const MIN_WAIT_S: f64 = 0.001;
/// Messages that were read and not applied yet; further ones are not read before.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Size of a connection's read buffer, in bytes.
const READ_BYTES: usize = 1024;

/// What a session needs to know of its router and its timing.
#[derive(Clone, Debug)]
pub struct LeaderSessionConfig {
    /// The router's name.
    pub router: String,
    /// Random, drawn at the start of the router's process.
    pub process_incarnation: u64,
    /// The port at which control machines accept routers.
    pub port: u16,
    /// Between two lease requests, in seconds.
    pub renew_interval_s: f64,
    /// Without a byte for so many seconds after a request, another control machine is tried.
    pub silence_timeout_s: f64,
}

/// Reports when the servers of these services last answered, as of this time of the monotonic
/// clock.
type HealthReports = dyn Fn(&[String], f64) -> Vec<HealthReport>;

/// The session of one router.
pub struct LeaderSession {
    config: LeaderSessionConfig,
    shared: SharedView,
    /// The newest leader's term, and how far its updates are applied.
    update_watermark: Cell<(Term, u64)>,
    control_nodes: RefCell<ControlNodes>,
    unconfirmed_servers: RefCell<UnconfirmedServers>,
    health_reports: Box<HealthReports>,
    /// Services of whose servers the leader wants health reports.
    health_reports_wanted: RefCell<Vec<String>>,
    /// The text of the configuration in force, to which deltas are applied; empty if the full text
    /// has to be sent.
    config_text: RefCell<Rc<[u8]>>,
}

/// The state of one connection's lease requests, in seconds of the monotonic clock.
struct RequestTimer {
    /// When the last request was sent.
    sent_at: f64,
    /// When the oldest request without a response was sent.
    unanswered_since: Option<f64>,
}

impl RequestTimer {
    /// The first request of a connection was sent just now.
    fn start(now: f64) -> RequestTimer {
        RequestTimer {
            sent_at: now,
            unanswered_since: Some(now),
        }
    }

    fn sent(&mut self, now: f64) {
        self.sent_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Since when nothing has come though a response is due; `None` if none is due.
    fn silent_since(&self, last_received: f64) -> Option<f64> {
        self.unanswered_since
            .map(|sent_at| sent_at.max(last_received))
    }
}

impl LeaderSession {
    /// A session that isn't connected yet. `health_reports` says what the data plane saw of the
    /// servers of some services.
    pub fn new(
        config: LeaderSessionConfig,
        shared: SharedView,
        health_reports: impl Fn(&[String], f64) -> Vec<HealthReport> + 'static,
    ) -> Rc<LeaderSession> {
        Rc::new(LeaderSession {
            config,
            shared,
            update_watermark: Cell::default(),
            control_nodes: RefCell::default(),
            unconfirmed_servers: RefCell::default(),
            health_reports: Box::new(health_reports),
            health_reports_wanted: RefCell::default(),
            config_text: RefCell::new(Rc::from([])),
        })
    }

    /// Adds control machines that may be tried: the seeds, at the start and whenever the settings
    /// change.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let node = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        };
        let seeds: Vec<NodeId> = seeds.iter().filter_map(node).collect();
        self.control_nodes.borrow_mut().add_others(&seeds);
    }

    /// Finds the leader and holds the session with it, over and over, for as long as the process
    /// runs.
    pub async fn run(self: Rc<Self>) {
        let mut search = LeaderSearch::new(self.config.process_incarnation as usize);
        loop {
            let node = search.next_node(&self.control_nodes.borrow());
            let Some(node) = node else {
                net::sleep(NO_NODE_INTERVAL_S).await;
                continue;
            };
            let connected_at = clock::now();
            let result = self.run_connection(node).await;
            if clock::now() - connected_at > MIN_SESSION_S {
                search.session_ended();
            }
            match result {
                Ok(leader) => {
                    let router_count = self.shared.view.borrow().router_count;
                    if let Some(pause_s) = search.not_leader(node, leader, router_count) {
                        net::sleep(pause_s).await;
                    }
                }
                Err(e) => {
                    let address = Ipv4Addr::from(node);
                    log::debug!("event=leader_session_lost node={address} error={e}");
                    net::sleep(RECONNECT_INTERVAL_S).await;
                }
            }
        }
    }

    /// One connection, until it breaks or the machine says that it doesn't lead; returns the leader
    /// that it names, if any.
    async fn run_connection(&self, node: NodeId) -> io::Result<Option<NodeId>> {
        let address = SocketAddr::from((Ipv4Addr::from(node), self.config.port));
        let user_timeout_s = self.config.silence_timeout_s * 2.0;
        let stream =
            net::connect_with_timeout(address, frames::CONNECT_TIMEOUT_S, user_timeout_s).await?;
        let (sender, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let last_received = Cell::new(clock::now());
        let read = async {
            let source = TimedReader {
                stream: &stream,
                last_received: &last_received,
            };
            let mut reader = io::BufReader::with_capacity(READ_BYTES, source);
            loop {
                let Frame::RouterUpdate(message) = frames::read(&mut reader).await? else {
                    return Err(io::ErrorKind::InvalidData.into());
                };
                if sender.send(Rc::unwrap_or_clone(message)).await.is_err() {
                    return Ok(None);
                }
            }
        };
        future::or(read, self.hold_lease(&stream, &messages, &last_received)).await
    }

    /// Requests the lease again and again, and applies the messages that come.
    async fn hold_lease(
        &self,
        stream: &Async<TcpStream>,
        messages: &Receiver<RouterMessage>,
        last_received: &Cell<f64>,
    ) -> io::Result<Option<NodeId>> {
        let renew_interval_s = self.config.renew_interval_s;
        self.request_lease(stream).await?;
        let mut timer = RequestTimer::start(clock::now());
        loop {
            let wait_s = self.wait_s(&timer, last_received.get())?;
            let message = future::or(async { messages.recv().await.ok() }, async {
                net::sleep(wait_s).await;
                None
            });
            let must_renew = match message.await {
                Some(RouterMessage::NotLeader { leader, voters }) => {
                    self.control_nodes.borrow_mut().add_others(&voters);
                    return Ok(leader);
                }
                Some(message) => {
                    let is_response = self.apply(message);
                    if is_response {
                        timer.unanswered_since = None;
                    }
                    // An update that responds to nothing: the leader waits to learn that it is
                    // applied here.
                    !is_response
                }
                None => clock::now() - timer.sent_at >= renew_interval_s,
            };
            if must_renew {
                self.request_lease(stream).await?;
                timer.sent(clock::now());
            }
        }
    }

    /// For how many seconds to wait for a message: until the next request is due, or the silence
    /// time-out ends.
    fn wait_s(&self, timer: &RequestTimer, last_received: f64) -> io::Result<f64> {
        let now = clock::now();
        let silence_timeout_s = self.config.silence_timeout_s;
        let silent_since = timer.silent_since(last_received);
        if silent_since.is_some_and(|since| now - since > silence_timeout_s) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let silence_ends = silent_since.map_or(f64::INFINITY, |since| since + silence_timeout_s);
        let renew_at = timer.sent_at + self.config.renew_interval_s;
        Ok((silence_ends.min(renew_at) - now).max(MIN_WAIT_S))
    }

    /// Sends a lease request, which also acknowledges the updates that are applied.
    async fn request_lease(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        let now = clock::now();
        let request = LeaseRequest {
            router: self.config.router.clone(),
            process_incarnation: self.config.process_incarnation,
            sent_at: now,
            update_watermark: self.update_watermark.get(),
            config_epoch: self.known_config_epoch(),
            health_reports: self.wanted_health_reports(now),
        };
        let mut writer = stream;
        net::with_timeout(
            self.config.silence_timeout_s,
            frames::write(&mut writer, &Frame::LeaseRequest(request)),
        )
        .await
    }

    /// The epoch of the configuration to which deltas can be applied here; 0 asks for the full
    /// text.
    fn known_config_epoch(&self) -> u64 {
        if self.config_text.borrow().is_empty() {
            return 0;
        }
        let view = self.shared.view.borrow();
        view.config.as_ref().map_or(0, |config| config.epoch)
    }

    fn wanted_health_reports(&self, now: f64) -> Vec<HealthReport> {
        let wanted = self.health_reports_wanted.borrow();
        if wanted.is_empty() {
            return Vec::new();
        }
        (self.health_reports)(&wanted, now)
    }
}

/// A connection that notes when something was last received on it, also within a frame that takes
/// long.
struct TimedReader<'a> {
    stream: &'a Async<TcpStream>,
    /// In seconds of the monotonic clock.
    last_received: &'a Cell<f64>,
}

impl AsyncRead for TimedReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, bytes);
        if read.is_ready() {
            self.last_received.set(clock::now());
        }
        read
    }
}
