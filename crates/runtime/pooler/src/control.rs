//! A control machine: the decisions of `badgerstream-control` with links, disk and clock.

mod calls;
mod disk;
mod duties;
mod links;
mod sessions;
mod status;

use crate::frames::{self, Frame};
use crate::metrics::CallCounts;
use crate::notify::Notify;
use crate::server_queries::{Query, Target};
use crate::servers::Servers;
use crate::{clock, http};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_control::{
    ControlConfig, ControlRequest, ControlResponse, Controller, FOUNDING_INCARNATION,
    FailoverConfig, FailoverStatus, Heartbeat, MemberInfo, MemberPhase, NodeId, Output, Recipient,
    RouterMessage, Voter,
};
use badgerstream_control_api::call::{self, Operation, Reply};
use badgerstream_control_api::members as beats;
use badgerstream_control_api::promotion;
use badgerstream_control_api::status::{MemberStatus, PrimaryStatus, ReadStatus, Status};
use badgerstream_http_codec::{Request, Responses, response};
use badgerstream_pooler_config::config::Config;
use badgerstream_pooler_config::settings::Settings;
use disk::Disk;
use futures_lite::{AsyncReadExt, future, io};
use sessions::Sessions;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Messages that wait for a link or a session, at most; what is over is lost, and mended by what comes next.
const WAITING: usize = 256;

/// The control part of a process.
pub struct Control {
    tasks: Rc<LocalExecutor<'static>>,
    /// This machine, in the life of its disk.
    me: Voter,
    /// Drawn at the start of the process.
    life: u64,
    name: String,
    port: u16,
    settings: Settings,
    controller: RefCell<Controller>,
    disk: RefCell<Disk>,
    /// The servers that are known, for the next life.
    servers: Servers,
    links: RefCell<HashMap<NodeId, Sender<Frame>>>,
    /// The newest connection that each other control machine has opened to here.
    connections: RefCell<HashMap<NodeId, u64>>,
    heard: RefCell<HashMap<NodeId, Rc<Notify>>>,
    sessions: Sessions,
    /// What waits for the connection to each server.
    queries: RefCell<HashMap<String, Sender<Query>>>,
    calls: RefCell<HashMap<u64, Sender<ControlResponse>>>,
    next: Cell<u64>,
    /// The configuration whose services were last told to the controller, and whether it led then.
    read: Cell<(u64, bool)>,
    /// Requests that are not answered yet.
    pub open: Rc<Cell<usize>>,
    /// The process is to end: no new duty is begun.
    pub ending: Cell<bool>,
    lease: f64,
    counts: CallCounts,
}

/// The spans that this deployment's settings give.
fn timing(settings: &Settings) -> ControlConfig {
    let suspect = settings.own.suspect_ms as f64 / 1000.0;
    let heartbeat = settings.heartbeat_ms as f64 / 1000.0;
    let service = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: suspect,
        query_timeout: suspect,
        heartbeat_interval: heartbeat,
        drain_timeout: settings.bounds.drain_ms / 1000.0,
    };
    let lease = settings.own.lease_ms as f64 / 1000.0;
    ControlConfig {
        lease_duration: lease,
        election_timeout: suspect,
        contact_timeout: suspect + 0.4,
        platform_call_timeout: 1.0,
        duty_handover_delay: settings.bounds.lease_ms / 1000.0,
        request_timeout: 0.9,
        member_timeout: 4.0 * heartbeat,
        failover: service,
    }
}

/// The control machines that the settings name.
fn known_nodes(settings: &Settings) -> Vec<NodeId> {
    settings
        .seeds
        .iter()
        .filter_map(|s| node_of(s.ip()))
        .collect()
}

/// How many control machines may be lost at once: a zone or a region may hold one of them, or more; one is what is counted.
fn losses(settings: &Settings) -> usize {
    let budget = &settings.fault_budget;
    budget.machine_loss.max(budget.zones).max(budget.sites) as usize
}

/// For how long servers that were draining when this process began count as having drained, in seconds. How long it was away
/// isn't known; what they say holds machines that are in touch, and none is before `quiet_ms` after this start: by then they
/// have drained.
fn drained_before(settings: &Settings) -> f64 {
    (settings.bounds.drain_ms - settings.bounds.quiet_ms).max(0.0) / 1000.0
}

/// The name of a call, for its count.
fn name_of(call: &ControlRequest) -> &'static str {
    match call {
        ControlRequest::Heartbeat { .. } => "heartbeat",
        ControlRequest::Depart { .. } => "depart",
        ControlRequest::ReplaceConfig { .. } => "replace",
        ControlRequest::ReadConfig => "read",
    }
}

fn node_of(address: IpAddr) -> Option<NodeId> {
    match address {
        IpAddr::V4(ip) => Some(u32::from(ip)),
        IpAddr::V6(_) => None,
    }
}

impl Control {
    /// Opens the disk and starts all tasks. An error tells why this machine can't take part.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        settings: &Settings,
        seed: u64,
    ) -> Result<Rc<Control>, String> {
        let folder = settings
            .state_dir
            .as_ref()
            .ok_or("state_dir is missing: control keeps its state there")?;
        let control = settings.control.ok_or("bind_addrs.control is missing")?;
        let identity = if settings.bootstrap {
            FOUNDING_INCARNATION
        } else {
            seed.max(FOUNDING_INCARNATION + 1)
        };
        let disk = Disk::open(folder, identity, &known_nodes(settings))?;
        let me = Voter {
            node: u32::from(settings.ip),
            incarnation: disk.identity(),
        };
        let record = disk.kept().clone();
        log::info!(
            "event=control_starts node={} voter={me} epoch={} promised={}",
            settings.node_name,
            record.state.config_epoch,
            record.voted_term.0
        );
        let now = clock::now();
        let timing = timing(settings);
        let mut controller = Controller::new(me, record, now, seed, timing);
        controller.set_seeds_and_budget(known_nodes(settings), losses(settings));
        let servers = Servers::new(folder.join("servers"));
        let known = servers.read();
        log::info!("event=servers_recalled count={}", known.len());
        controller.restore_members(now, known, drained_before(settings));
        let this = Rc::new(Control {
            tasks: tasks.clone(),
            me,
            life: seed,
            name: settings.node_name.clone(),
            port: settings.port_range.0,
            settings: settings.clone(),
            controller: RefCell::new(controller),
            disk: RefCell::new(disk),
            servers,
            links: RefCell::default(),
            connections: RefCell::default(),
            heard: RefCell::default(),
            sessions: Sessions::default(),
            queries: RefCell::default(),
            calls: RefCell::default(),
            next: Cell::new(0),
            read: Cell::new((0, false)),
            open: Rc::default(),
            ending: Cell::new(false),
            lease: timing.lease_duration,
            counts: CallCounts::default(),
        });
        let bind = |at: SocketAddr| http::listen(at).map_err(|e| format!("{at}: {e}"));
        let peers = bind(SocketAddr::from((settings.ip, this.port)))?;
        let calls = bind(control)?;
        tasks.spawn(this.clone().accept(peers)).detach();
        tasks
            .spawn(http::serve(
                tasks.clone(),
                calls,
                this.clone(),
                2 << 20,
                this.open.clone(),
            ))
            .detach();
        tasks.spawn(this.clone().run()).detach();
        Ok(this)
    }

    /// The process is about to end.
    pub fn end(self: &Rc<Self>) {
        self.ending.set(true);
        let out = self.controller.borrow_mut().resign(clock::now());
        self.perform(out);
    }

    /// Whether this machine, which is about to end, need not wait to be left out of the voters.
    pub fn may_end(&self) -> bool {
        self.controller.borrow().may_shut_down()
    }

    /// The settings have changed: other control machines may be named.
    pub fn changed(&self, settings: &Settings) {
        self.controller
            .borrow_mut()
            .set_seeds_and_budget(known_nodes(settings), losses(settings));
    }

    async fn run(self: Rc<Self>) {
        loop {
            let out = self.controller.borrow_mut().tick(clock::now());
            self.perform(out);
            let changes = self.controller.borrow_mut().take_primary_changes();
            changes
                .into_iter()
                .for_each(|seconds| self.counts.primary_changed(seconds));
            self.servers.keep(clock::now(), &self.controller.borrow());
            let pause = if self.controller.borrow().is_leader() {
                20
            } else {
                50
            };
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    /// Does what was decided, in order. Nothing here waits but for the disk.
    fn perform(self: &Rc<Self>, out: Vec<Output>) {
        let mut waiting = VecDeque::from(out);
        while let Some(one) = waiting.pop_front() {
            match one {
                Output::Persist => {
                    // What relies on the save goes before the rest, which doesn't.
                    let mut then = VecDeque::from(self.save());
                    then.append(&mut waiting);
                    waiting = then;
                }
                Output::PersistMembers(then) => {
                    if self
                        .servers
                        .keep_now(clock::now(), &self.controller.borrow())
                    {
                        then.into_iter()
                            .rev()
                            .for_each(|next| waiting.push_front(next));
                    }
                }
                Output::SendToPeer(to, message) => self.link(to, message),
                Output::SendToRouter(session, message) => self.sessions.answer(session, message),
                Output::SendUpdate(session, news) => {
                    self.counts.told();
                    self.sessions.tell(session, news);
                }
                Output::SendCommand {
                    server_id: id,
                    endpoint,
                    service,
                    command: statement,
                    fencing_token: fence,
                } => {
                    if let Ok(endpoint) = endpoint.parse() {
                        self.ask(
                            Target {
                                id,
                                service,
                                endpoint,
                            },
                            Query { statement, fence },
                        );
                    }
                }
                Output::Promote {
                    service,
                    server_id: id,
                    fencing_token: fence,
                    deadline: before,
                } => {
                    self.promote(duties::Promotion {
                        service,
                        id,
                        fence,
                        before,
                    });
                }
                Output::Respond(call, answer) => {
                    if let Some(waits) = self.calls.borrow_mut().remove(&call) {
                        let _ = waits.try_send(answer);
                    }
                }
            }
        }
        self.tell_services();
    }

    /// The controller learns from each configuration how many replicas a commit waits for.
    fn tell_services(&self) {
        let mut controller = self.controller.borrow_mut();
        let now = (controller.config().0, controller.is_leader());
        if self.read.replace(now) != now
            && let Ok(config) = Config::read(controller.config().1)
        {
            let sync = config
                .services
                .iter()
                .map(|s| (s.name.clone(), s.sync_replicas))
                .collect();
            controller.set_sync_replicas(sync);
        }
    }

    async fn settle(self: &Rc<Self>, call: ControlRequest) -> ControlResponse {
        let name = name_of(&call);
        let id = self.next.get() + 1;
        self.next.set(id);
        let (sender, receiver) = async_channel::bounded(1);
        self.calls.borrow_mut().insert(id, sender);
        let out = self
            .controller
            .borrow_mut()
            .handle_request(clock::now(), id, call);
        self.perform(out);
        let none = ControlResponse::error(503, "no answer");
        let answer = receiver.recv().await.unwrap_or(none);
        self.counts.answered(name, answer.status);
        answer
    }
}
