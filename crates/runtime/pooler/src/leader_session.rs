//! A router's session with the leader of the control machines: renews the lease on primaries, sends
//! health reports on servers, and applies all updates to the view.
//!
//! One task runs [`LeaderSession::run`]; it is the only writer of the view. The session ends when a
//! request is unanswered and no byte has arrived from the leader for the silence timeout. As long
//! as bytes arrive the leader is not lost, however long a frame takes on a slow link. `search`
//! decides which control machine to try; nothing here sends to database servers.

mod search;
mod update;

use crate::frames::{self, Frame};
use crate::view::SharedView;
use crate::{clock, net};
use async_channel::Receiver;
use async_io::Async;
use badgerstream_control::{
    AcknowledgedPosition, HealthReport, LeaseRequest, NodeId, ReportingLeaseRequest, RouterMessage,
    Term,
};
use badgerstream_pooling::acknowledged::AcknowledgedWrites;
use futures_lite::{AsyncRead, future, io};
use search::{ControlNodes, LeaderSearch};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use update::UnconfirmedServers;

/// A connection that lasted longer than this counts as a session with a leader, in seconds.
const MIN_SESSION_S: f64 = 1.0;
/// Pause after a failed connection, in seconds.
const RECONNECT_INTERVAL_S: f64 = 0.02;
/// Pause while no control machine is known, in seconds.
const NO_NODE_INTERVAL_S: f64 = 0.1;
/// Minimum wait between two checks of the timers of a connection, in seconds.
const MIN_WAIT_S: f64 = 0.001;
/// Maximum number of messages that are read but not yet applied; reading pauses at this limit.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;

/// Identity of the router, and timing of its session.
#[derive(Clone, Debug)]
pub struct LeaderSessionConfig {
    /// The router's name.
    pub router: String,
    /// Random number drawn when the router's process started.
    pub process_incarnation: u64,
    /// The port on which control machines accept routers.
    pub port: u16,
    /// Interval between two lease requests, in seconds.
    pub renew_interval_s: f64,
    /// If no byte arrives for this many seconds while a request is unanswered, another control
    /// machine is tried.
    pub silence_timeout_s: f64,
}

/// Returns the health reports on the servers of these services at this time, in seconds of the
/// monotonic clock.
type HealthReports = dyn Fn(&[String], f64) -> Vec<HealthReport>;

/// Returns the writes of this service whose success was passed on to clients.
type AcknowledgedWritesOf = dyn Fn(&str) -> AcknowledgedWrites;

/// The session of one router.
pub struct LeaderSession {
    config: LeaderSessionConfig,
    shared: SharedView,
    /// The term of the newest leader, and the number of its last applied update.
    update_watermark: Cell<(Term, u64)>,
    control_nodes: RefCell<ControlNodes>,
    unconfirmed_servers: RefCell<UnconfirmedServers>,
    health_reports: Box<HealthReports>,
    /// Services for whose servers the leader wants health reports.
    health_reports_wanted: RefCell<Vec<String>>,
    acknowledged_writes: Box<AcknowledgedWritesOf>,
    /// Whether the machine at the other end of the present connection wants to know what was passed
    /// on. One of an earlier release doesn't.
    positions_wanted: Cell<bool>,
    /// The text of the configuration in force, to which deltas are applied; empty if the leader has
    /// to send the full text.
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
    /// Creates the timer of a connection whose first request was sent at `now`.
    fn start(now: f64) -> RequestTimer {
        RequestTimer {
            sent_at: now,
            unanswered_since: Some(now),
        }
    }

    fn record_sent(&mut self, now: f64) {
        self.sent_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns since when nothing has been received although a response is due; `None` if none is
    /// due.
    fn silent_since(&self, last_received: f64) -> Option<f64> {
        self.unanswered_since
            .map(|sent_at| sent_at.max(last_received))
    }
}

impl LeaderSession {
    /// Creates a session that isn't connected yet. `health_reports` returns what the data plane
    /// observed of the servers of the given services at the given time, and `acknowledged_writes`
    /// of which writes of a service it has passed the success on.
    pub fn new(
        config: LeaderSessionConfig,
        shared: SharedView,
        health_reports: impl Fn(&[String], f64) -> Vec<HealthReport> + 'static,
        acknowledged_writes: impl Fn(&str) -> AcknowledgedWrites + 'static,
    ) -> Rc<LeaderSession> {
        Rc::new(LeaderSession {
            config,
            shared,
            update_watermark: Cell::default(),
            control_nodes: RefCell::default(),
            unconfirmed_servers: RefCell::default(),
            health_reports: Box::new(health_reports),
            health_reports_wanted: RefCell::default(),
            acknowledged_writes: Box::new(acknowledged_writes),
            positions_wanted: Cell::default(),
            config_text: RefCell::new(Rc::from([])),
        })
    }

    /// Adds the seeds to the control machines that may be tried. Called at the start and whenever
    /// the settings change.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let node = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        };
        let seeds: Vec<NodeId> = seeds.iter().filter_map(node).collect();
        self.control_nodes.borrow_mut().add_others(&seeds);
    }

    /// Searches for the leader and holds a session with it, repeatedly, for as long as the process
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
                search.reset();
            }
            match result {
                Ok(leader) => {
                    let router_count = self.shared.view.borrow().router_count;
                    if let Some(pause_s) = search.record_not_leader(node, leader, router_count) {
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

    /// Runs one connection until it breaks or the machine answers that it isn't the leader. Returns
    /// the leader that the machine names, if any.
    async fn run_connection(&self, node: NodeId) -> io::Result<Option<NodeId>> {
        let address = SocketAddr::from((Ipv4Addr::from(node), self.config.port));
        let user_timeout_s = self.config.silence_timeout_s * 2.0;
        let stream =
            net::connect_with_timeout(address, frames::CONNECT_TIMEOUT_S, user_timeout_s).await?;
        self.positions_wanted.set(false);
        let (sender, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        let last_received = Cell::new(clock::now());
        let read = async {
            let source = TimedReader {
                stream: &stream,
                last_received: &last_received,
            };
            let mut reader = io::BufReader::with_capacity(READ_BUFFER_BYTES, source);
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

    /// Requests the lease at the renew interval, and applies the messages received.
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
            let wait_s = self.next_wait_s(&timer, last_received.get())?;
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
                    // The leader waits for the acknowledgement of an update that isn't a response,
                    // so the next request is sent at once.
                    !is_response
                }
                None => clock::now() - timer.sent_at >= renew_interval_s,
            };
            if must_renew {
                self.request_lease(stream).await?;
                timer.record_sent(clock::now());
            }
        }
    }

    /// Returns how many seconds to wait for a message: until the next request is due or the silence
    /// timeout ends.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] once the silence timeout has passed.
    fn next_wait_s(&self, timer: &RequestTimer, last_received: f64) -> io::Result<f64> {
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

    /// Sends a lease request, which also acknowledges the applied updates.
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
        let frame = if self.positions_wanted.get() {
            Frame::ReportingLeaseRequest(ReportingLeaseRequest {
                request,
                acknowledged_positions: self.acknowledged_positions(),
            })
        } else {
            Frame::LeaseRequest(request)
        };
        let mut writer = stream;
        net::with_timeout(
            self.config.silence_timeout_s,
            frames::write(&mut writer, &frame),
        )
        .await
    }

    /// Returns up to which position successes were passed on, for each service whose grant is
    /// revoked: no more are passed on there.
    fn acknowledged_positions(&self) -> Vec<AcknowledgedPosition> {
        let view = self.shared.view.borrow();
        let revoked = view.grants.iter().filter(|(_, grant)| grant.revoking);
        revoked
            .filter_map(|(service, _)| {
                let acknowledged = (self.acknowledged_writes)(service);
                let position = acknowledged.position()?;
                let surpassed = acknowledged.surpassed();
                Some(AcknowledgedPosition {
                    service: service.clone(),
                    position: (position.term, position.number),
                    surpassed: surpassed.map_or((0, 0), |at| (at.term, at.number)),
                })
            })
            .collect()
    }

    /// Returns the epoch of the configuration to which deltas can be applied here; 0 asks for the
    /// full text.
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

/// A connection that records when bytes were last received on it, also within a frame that takes a
/// long time.
struct TimedReader<'a> {
    stream: &'a Async<TcpStream>,
    /// When bytes were last received, in seconds of the monotonic clock.
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
