//! A control machine: the decisions of `badgerstream-control` with links, disk and clock.

mod calls;
mod disk;
mod duties;
mod links;
mod sessions;
mod status;

use crate::asker::{self, Whom};
use crate::bell::Bell;
use crate::frames::{self, Frame};
use crate::servers::Servers;
use crate::{clock, http};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use badgerstream_calls::call::{self, Operation, Reply};
use badgerstream_calls::config::Config;
use badgerstream_calls::http::{Request, Responses, response};
use badgerstream_calls::members as beats;
use badgerstream_calls::promotion;
use badgerstream_calls::settings::Settings;
use badgerstream_calls::status::{MemberStatus, PrimaryStatus, ReadStatus, Status};
use badgerstream_control::{
    Answer, Ballot, Beat, Call, Controller, GrantNews, MemberNews, Node, Output, PeerMessage, Phase, State,
    Statement,
};
use badgerstream_control::{ControlTiming, Timing, ToRouter};
use badgerstream_store::{Fresh, Store};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future, io};
use sessions::Sessions;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Messages that wait for a link or a session, at most; what is over is lost, and mended by what comes next.
const WAITING: usize = 256;

/// The control part of a process.
pub struct Control {
    tasks: Rc<LocalExecutor<'static>>,
    me: Node,
    name: String,
    port: u16,
    settings: Settings,
    controller: RefCell<Controller>,
    store: RefCell<Store>,
    /// The servers that are known, for the next life.
    servers: Servers,
    /// What is on the disk.
    kept: RefCell<badgerstream_store::Record>,
    links: RefCell<HashMap<Node, Sender<PeerMessage>>>,
    heard: RefCell<HashMap<Node, Rc<Bell>>>,
    sessions: Sessions,
    askers: RefCell<HashMap<String, Sender<Statement>>>,
    calls: RefCell<HashMap<u64, Sender<Answer>>>,
    next: Cell<u64>,
    /// The configuration whose services were last told to the controller, and whether it led then.
    read: Cell<(u64, bool)>,
    /// Requests that are not answered yet.
    pub open: Rc<Cell<usize>>,
    /// The process is to end: no new duty is begun.
    pub ending: Cell<bool>,
    lease: f64,
}

/// The spans that this deployment's settings give.
fn timing(settings: &Settings) -> ControlTiming {
    let suspect = settings.own.suspect_ms as f64 / 1000.0;
    let heartbeat = settings.heartbeat_ms as f64 / 1000.0;
    let service = Timing {
        ask: 0.2,
        ask_replica: 1.0,
        silence: suspect,
        answer: suspect,
        heartbeat,
        drain: settings.bounds.drain_ms / 1000.0,
    };
    let lease = settings.own.lease_ms as f64 / 1000.0;
    ControlTiming { lease, suspect, platform: 1.0, call: 2.5, forget: 4.0 * heartbeat, service }
}

/// The control machines that the settings name.
fn known_nodes(settings: &Settings) -> Vec<Node> {
    settings.seeds.iter().filter_map(|s| node_of(s.ip())).collect()
}

/// How many control machines may be lost at once: a zone or a region may hold one of them, or more; one is what is counted.
fn losses(settings: &Settings) -> usize {
    let budget = &settings.fault_budget;
    budget.machine_loss.max(budget.zones).max(budget.sites) as usize
}

fn node_of(address: IpAddr) -> Option<Node> {
    match address {
        IpAddr::V4(ip) => Some(u32::from(ip)),
        IpAddr::V6(_) => None,
    }
}

impl Control {
    /// Opens the disk and starts all tasks. An error tells why this machine can't take part.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>, settings: &Settings, seed: u64,
    ) -> Result<Rc<Control>, String> {
        let folder =
            settings.state_dir.as_ref().ok_or("state_dir is missing: control keeps its state there")?;
        let control = settings.control.ok_or("bind_addrs.control is missing")?;
        let (store, kept, fresh) =
            Store::open(&folder.join("agreed"), seed).map_err(|e| format!("{}: {e}", folder.display()))?;
        let me = u32::from(settings.ip);
        let first = fresh == Fresh::New;
        let seeds: Vec<Node> = settings.seeds.iter().filter_map(|s| node_of(s.ip())).collect();
        let state = if kept.value.is_empty() {
            State::first(seeds)
        } else {
            State::read(&kept.value).ok_or("the state on disk can't be read")?
        };
        let votes = settings.bootstrap || !first && !kept.value.is_empty();
        let record = badgerstream_control::Record {
            promised: Ballot(kept.promised),
            accepted: Ballot(kept.accepted),
            state,
        };
        log::info!(
            "event=control_starts node={} epoch={} promised={} votes={votes}",
            settings.node_name,
            record.state.epoch,
            record.promised.0
        );
        let now = clock::now();
        let timing = timing(settings);
        let mut controller = Controller::new(me, record, votes, now, seed, timing);
        controller.settings(known_nodes(settings), losses(settings));
        let servers = Servers::new(folder.join("servers"));
        let known = servers.read();
        log::info!("event=servers_recalled count={}", known.len());
        controller.recall(now, known);
        let this = Rc::new(Control {
            tasks: tasks.clone(),
            me,
            name: settings.node_name.clone(),
            port: settings.port_range.0,
            settings: settings.clone(),
            controller: RefCell::new(controller),
            store: RefCell::new(store),
            kept: RefCell::new(kept),
            servers,
            links: RefCell::default(),
            heard: RefCell::default(),
            sessions: Sessions::default(),
            askers: RefCell::default(),
            calls: RefCell::default(),
            next: Cell::new(0),
            read: Cell::new((0, false)),
            open: Rc::default(),
            ending: Cell::new(false),
            lease: timing.lease,
        });
        if votes {
            // What this machine starts from is on its disk before anybody hears of it.
            this.save().map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let bind = |at: SocketAddr| http::listen(at).map_err(|e| format!("{at}: {e}"));
        let peers = bind(SocketAddr::from((settings.ip, this.port)))?;
        let calls = bind(control)?;
        tasks.spawn(this.clone().accept(peers)).detach();
        tasks.spawn(http::serve(tasks.clone(), calls, this.clone(), 2 << 20, this.open.clone())).detach();
        tasks.spawn(this.clone().run()).detach();
        Ok(this)
    }

    /// The process is about to end.
    pub fn end(self: &Rc<Self>) {
        self.ending.set(true);
        let out = self.controller.borrow_mut().resign(clock::now());
        self.perform(out);
    }

    /// The settings have changed: other control machines may be named.
    pub fn changed(&self, settings: &Settings) {
        self.controller.borrow_mut().settings(known_nodes(settings), losses(settings));
    }

    async fn run(self: Rc<Self>) {
        loop {
            let out = self.controller.borrow_mut().tick(clock::now());
            self.perform(out);
            self.servers.keep(clock::now(), &self.controller.borrow());
            let pause = if self.controller.borrow().leads() { 20 } else { 50 };
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    /// Does what was decided, in order. Nothing here waits but for the disk.
    fn perform(self: &Rc<Self>, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Save => {
                    if let Err(e) = self.save() {
                        // What can't be kept must not be told: the rest of this step is left out, as if it was lost.
                        log::error!("event=disk_failed error={e}");
                        return;
                    }
                }
                Output::Peer(node, message) => self.link(node, message),
                Output::Router(session, message) => self.sessions.answer(session, message),
                Output::News(session, news) => self.sessions.tell(session, news),
                Output::Ask { id, endpoint, service, statement } => {
                    self.ask(id, &endpoint, service, statement)
                }
                Output::Promote { service, id, fence, before } => self.promote(service, id, fence, before),
                Output::Reply(call, answer) => {
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
        let now = (controller.config().0, controller.leads());
        if self.read.replace(now) != now
            && let Ok(config) = Config::read(controller.config().1)
        {
            let sync = config.services.iter().map(|s| (s.name.clone(), s.sync_replicas)).collect();
            controller.replicas_waited_for(sync);
        }
    }

    async fn settle(self: &Rc<Self>, call: Call) -> Answer {
        let id = self.next.get() + 1;
        self.next.set(id);
        let (sender, receiver) = async_channel::bounded(1);
        self.calls.borrow_mut().insert(id, sender);
        let out = self.controller.borrow_mut().call(clock::now(), id, call);
        self.perform(out);
        let none = Answer { status: 503, body: b"no answer\n".to_vec() };
        receiver.recv().await.unwrap_or(none)
    }
}
