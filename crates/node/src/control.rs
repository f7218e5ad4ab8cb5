//! A control machine: the decisions of `badgerstream-control` with links, disk and clock.

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
    Answer, Ballot, Beat, Call, GrantNews, MemberNews, Node, Out, Peer, Phase, State, Statement, Steward,
};
use badgerstream_control::{StewardTiming, Timing, ToRouter};
use badgerstream_store::{Fresh, Store};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future, io};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Messages that wait for a link or a session, at most; what is over is lost, and mended by what comes next.
const WAITING: usize = 256;
/// News that waits for one router, at most.
const NEWS: usize = 16;

/// The control part of a process.
pub struct Control {
    tasks: Rc<LocalExecutor<'static>>,
    me: Node,
    name: String,
    port: u16,
    settings: Settings,
    steward: RefCell<Steward>,
    store: RefCell<Store>,
    /// The servers that are known, for the next life.
    servers: Servers,
    /// What is on the disk.
    kept: RefCell<badgerstream_store::Record>,
    links: RefCell<HashMap<Node, Sender<Peer>>>,
    heard: RefCell<HashMap<Node, Rc<Bell>>>,
    sessions: RefCell<HashMap<u64, Sender<ToRouter>>>,
    askers: RefCell<HashMap<String, Sender<Statement>>>,
    calls: RefCell<HashMap<u64, Sender<Answer>>>,
    next: Cell<u64>,
    /// The configuration whose services were last told to the steward, and whether it led then.
    read: Cell<(u64, bool)>,
    /// Requests that are not answered yet.
    pub open: Rc<Cell<usize>>,
    /// The process is to end: no new duty is begun.
    pub ending: Cell<bool>,
    lease: f64,
}

/// The spans that this deployment's settings give.
fn timing(settings: &Settings) -> StewardTiming {
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
    StewardTiming { lease, suspect, platform: 1.0, call: 2.5, forget: 4.0 * heartbeat, service }
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
        let mut steward = Steward::new(me, record, votes, now, seed, timing);
        steward.settings(known_nodes(settings), losses(settings));
        let servers = Servers::new(folder.join("servers"));
        let known = servers.read();
        log::info!("event=servers_recalled count={}", known.len());
        steward.recall(now, known);
        let this = Rc::new(Control {
            tasks: tasks.clone(),
            me,
            name: settings.node_name.clone(),
            port: settings.port_range.0,
            settings: settings.clone(),
            steward: RefCell::new(steward),
            store: RefCell::new(store),
            kept: RefCell::new(kept),
            servers,
            links: RefCell::default(),
            heard: RefCell::default(),
            sessions: RefCell::default(),
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
        let out = self.steward.borrow_mut().resign(clock::now());
        self.perform(out);
    }

    /// The settings have changed: other control machines may be named.
    pub fn changed(&self, settings: &Settings) {
        self.steward.borrow_mut().settings(known_nodes(settings), losses(settings));
    }

    fn save(&self) -> Result<(), badgerstream_store::StoreError> {
        let steward = self.steward.borrow();
        let record = steward.record();
        let mut kept = self.kept.borrow_mut();
        let next = badgerstream_store::Record {
            promised: record.promised.0,
            accepted: record.accepted.0,
            value: record.state.bytes(),
            identity: kept.identity,
        };
        if *kept != next {
            let mut store = self.store.borrow_mut();
            if next.accepted == kept.accepted && next.value == kept.value {
                store.promise(next.promised)?;
            } else {
                store.save(&next)?;
            }
            *kept = next;
        }
        Ok(())
    }

    async fn run(self: Rc<Self>) {
        loop {
            let out = self.steward.borrow_mut().tick(clock::now());
            self.perform(out);
            self.servers.keep(clock::now(), &self.steward.borrow());
            let pause = if self.steward.borrow().leads() { 20 } else { 50 };
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    /// Does what was decided, in order. Nothing here waits but for the disk.
    fn perform(self: &Rc<Self>, out: Vec<Out>) {
        for one in out {
            match one {
                Out::Save => {
                    if let Err(e) = self.save() {
                        // What can't be kept must not be told: the rest of this step is left out, as if it was lost.
                        log::error!("event=disk_failed error={e}");
                        return;
                    }
                }
                Out::Peer(node, message) => self.link(node, message),
                Out::Router(session, message) => {
                    let sent = self
                        .sessions
                        .borrow()
                        .get(&session)
                        .map(|s| s.try_send(message).is_err() && s.is_full());
                    if sent == Some(true) {
                        self.sessions.borrow_mut().remove(&session);
                    }
                }
                Out::Ask { id, endpoint, service, statement } => self.ask(id, &endpoint, service, statement),
                Out::Promote { service, id, fence, before } => self.promote(service, id, fence, before),
                Out::Reply(call, answer) => {
                    if let Some(waits) = self.calls.borrow_mut().remove(&call) {
                        let _ = waits.try_send(answer);
                    }
                }
            }
        }
        self.tell_services();
    }

    /// The steward learns from each configuration how many replicas a commit waits for.
    fn tell_services(&self) {
        let mut steward = self.steward.borrow_mut();
        let now = (steward.config().0, steward.leads());
        if self.read.replace(now) != now
            && let Ok(config) = Config::read(steward.config().1)
        {
            let sync = config.services.iter().map(|s| (s.name.clone(), s.sync_replicas)).collect();
            steward.replicas_waited_for(sync);
        }
    }

    /// Rung whenever this control machine has opened a connection to here.
    fn heard_of(&self, node: Node) -> Rc<Bell> {
        self.heard.borrow_mut().entry(node).or_default().clone()
    }

    fn link(self: &Rc<Self>, node: Node, message: Peer) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(node).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(WAITING);
            self.tasks.spawn(self.clone().speak(node, receiver)).detach();
            sender
        });
        let _ = link.try_send(message);
    }

    /// Passes messages on to another control machine, for as long as this process runs.
    async fn speak(self: Rc<Self>, node: Node, messages: Receiver<Peer>) {
        let to = SocketAddr::from((Ipv4Addr::from(node), self.port));
        loop {
            let Ok(first) = messages.recv().await else { return };
            let heard = self.heard_of(node);
            let rings = heard.rings();
            let Ok(mut stream) = future::or(frames::connect(to, frames::CONNECT, 1.0), async {
                // It has just called: an attempt from before it was up would only be waited for.
                heard.after(rings).await;
                Err(io::ErrorKind::Interrupted.into())
            })
            .await
            else {
                let pause = async {
                    Timer::after(Duration::from_millis(60)).await;
                };
                future::or(pause, heard.after(rings)).await;
                // What waited is old by now; beats and values are sent again.
                while messages.len() > 4 {
                    let _ = messages.try_recv();
                }
                continue;
            };
            let hello = frames::write(&mut stream, &Frame::Control { node: self.me }).await;
            let mut told =
                if hello.is_ok() { frames::write(&mut stream, &Frame::Peer(first)).await } else { hello };
            let met = self.steward.borrow_mut().met(node);
            self.perform(met);
            while told.is_ok() {
                let next = async {
                    match messages.recv().await {
                        Ok(message) => Ok(Some(message)),
                        Err(_) => Ok(None),
                    }
                };
                // The other side never writes here: whatever is read is the end.
                let ended = async {
                    let mut byte = [0];
                    let mut reader = &stream;
                    let _ = reader.read(&mut byte).await;
                    Err(io::ErrorKind::ConnectionReset.into())
                };
                told = match future::or(next, ended).await {
                    Ok(Some(message)) => {
                        frames::within(1.0, frames::write(&mut &stream, &Frame::Peer(message))).await
                    }
                    Ok(None) => return,
                    Err(e) => Err(e),
                };
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    frames::prepare(&stream, 1.5);
                    let this = self.clone();
                    self.tasks.spawn(this.hear(stream)).detach();
                }
                Err(_) => {
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// A connection of another process, until it ends.
    async fn hear(self: Rc<Self>, stream: Async<TcpStream>) {
        let mut reader = io::BufReader::with_capacity(1024, &stream);
        let mut node = None;
        let mut session = None;
        while let Ok(frame) = frames::read(&mut reader).await {
            let now = clock::now();
            match frame {
                Frame::Control { node: of } => {
                    node = Some(of);
                    self.heard_of(of).ring();
                }
                Frame::Peer(message) => {
                    let Some(from) = node else { break };
                    let out = self.steward.borrow_mut().peer(now, from, message);
                    self.perform(out);
                }
                Frame::Renew(call) => {
                    let id = match session {
                        Some((id, _)) => id,
                        None => {
                            let id = self.next.get() + 1;
                            self.next.set(id);
                            // A router that takes no news comes again and is told all anew.
                            let (sender, receiver) = async_channel::bounded(NEWS);
                            self.sessions.borrow_mut().insert(id, sender);
                            let Ok(copy) = stream.get_ref().try_clone().and_then(Async::new) else { break };
                            let told = self.tasks.spawn(tell(copy, receiver));
                            session = Some((id, told));
                            id
                        }
                    };
                    let out = self.steward.borrow_mut().router(now, id, call);
                    self.perform(out);
                    if !self.sessions.borrow().contains_key(&id) {
                        break;
                    }
                }
                Frame::News(_) => break,
            }
        }
        if let Some((id, _told)) = session {
            self.sessions.borrow_mut().remove(&id);
            self.steward.borrow_mut().gone(id);
        }
    }

    fn ask(self: &Rc<Self>, id: String, endpoint: &str, service: String, statement: Statement) {
        let Ok(endpoint) = endpoint.parse::<SocketAddr>() else { return };
        let key = format!("{id}@{endpoint}");
        let mut askers = self.askers.borrow_mut();
        let fits = askers.get(&key).is_some_and(|a| a.try_send(statement).is_ok());
        if fits {
            return;
        }
        let (sender, receiver) = async_channel::bounded(4);
        let _ = sender.try_send(statement);
        askers.insert(key.clone(), sender);
        let this = self.clone();
        let whom = Whom { id: id.clone(), service: service.clone(), endpoint };
        let answer = timing(&self.settings).service.answer;
        let ask = async move {
            let told = |asked| this.steward.borrow_mut().asked(clock::now(), &service, &id, asked);
            asker::ask(whom, receiver, answer, told).await;
            let mut askers = this.askers.borrow_mut();
            if askers.get(&key).is_some_and(Sender::is_closed) {
                askers.remove(&key);
            }
        };
        self.tasks.spawn(ask).detach();
    }

    fn promote(self: &Rc<Self>, service: String, id: String, fence: u64, before: f64) {
        let Some(provider) = self.settings.provider.as_ref().map(|p| p.endpoint) else {
            log::error!("event=no_provider service={service}");
            return;
        };
        let this = self.clone();
        let task = async move {
            log::info!("event=promote service={service} id={id} fence={fence}");
            let status = this.call_platform(provider, &service, &id, fence, before).await;
            if let Err(e) = &status {
                log::info!("event=promote_unanswered service={service} id={id} error={e}");
            }
            this.steward.borrow_mut().promoted(clock::now(), &service, status.ok());
        };
        self.tasks.spawn(task).detach();
    }

    async fn call_platform(
        &self, provider: SocketAddr, service: &str, id: &str, fence: u64, before: f64,
    ) -> io::Result<u16> {
        frames::within(1.0, async {
            let mut stream = Async::<TcpStream>::connect(provider).await?;
            frames::prepare(&stream, 1.0);
            let bytes = promotion::promotion(service, id, &self.name, fence, &provider.to_string());
            // Whoever was frozen since this was decided must not call: another one may hold the duty.
            if clock::now() >= before || self.steward.borrow().record().promised.0 != fence {
                return Err(io::Error::other("the duty may have gone to another"));
            }
            stream.write_all(&bytes).await?;
            let mut responses = Responses::new(64 << 10);
            let mut bytes = [0; 1024];
            loop {
                if let Some(answer) = responses.next().map_err(|e| io::Error::other(e.to_string()))? {
                    return Ok(answer.status);
                }
                match stream.read(&mut bytes).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => responses.feed(&bytes[..count]),
                }
            }
        })
        .await
    }

    async fn settle(self: &Rc<Self>, call: Call) -> Answer {
        let id = self.next.get() + 1;
        self.next.set(id);
        let (sender, receiver) = async_channel::bounded(1);
        self.calls.borrow_mut().insert(id, sender);
        let out = self.steward.borrow_mut().call(clock::now(), id, call);
        self.perform(out);
        let none = Answer { status: 503, body: b"no answer\n".to_vec() };
        receiver.recv().await.unwrap_or(none)
    }

    /// How this machine sees the system, for operators.
    fn status(&self) -> Status {
        let steward = self.steward.borrow();
        let node = |n: &Node| Ipv4Addr::from(*n).to_string();
        let primary = |(service, phase, grant): (String, &str, GrantNews)| PrimaryStatus {
            service,
            phase: phase.to_owned(),
            id: grant.id,
            term: grant.term,
            in_use: !grant.closing,
        };
        let member = |news: &MemberNews| MemberStatus {
            id: news.id.clone(),
            service: news.service.clone(),
            endpoint: news.endpoint.clone(),
            zone: news.zone.clone(),
            slots: news.slots,
            draining: news.draining,
        };
        Status {
            node: self.name.clone(),
            leads: steward.leads(),
            leader: steward.leader().as_ref().map(node),
            voters: steward.voters().iter().map(node).collect(),
            epoch: steward.config().0,
            routers: steward.routers(clock::now()) as u64,
            lease_s: self.lease,
            primaries: steward.primaries().into_iter().map(primary).collect(),
            members: steward.members().all().map(|m| &m.news).filter(|n| !n.gone).map(member).collect(),
        }
    }
}

async fn tell(mut stream: Async<TcpStream>, messages: Receiver<ToRouter>) {
    while let Ok(message) = messages.recv().await {
        let frame = Frame::News(message);
        if frames::within(1.5, frames::write(&mut stream, &frame)).await.is_err() {
            return;
        }
    }
}

impl http::Handler for Control {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let keep = request.keep_alive && !self.ending.get();
        let operation = match call::dispatch(&request) {
            Ok(operation) => operation,
            Err(e) => return response(400, &[], format!("{e}\n").as_bytes(), keep),
        };
        let call = match operation {
            Operation::Beat { id, beat } => Call::Beat { id, beat: read_beat(beat) },
            Operation::Depart { id } => Call::Depart { id },
            Operation::Replace { base, body } => match Config::read(body) {
                Ok(config) => {
                    Call::Replace { base: base.unwrap_or(0), epoch: config.epoch, body: body.to_vec() }
                }
                Err(e) => {
                    log::info!("event=config_refused error={:?}", e.to_string());
                    return response(400, &[], format!("{e}\n").as_bytes(), keep);
                }
            },
            Operation::Read => Call::Read,
            Operation::Readiness => return response(200, &[], b"", keep),
            Operation::Other if ReadStatus::asked(&request) => {
                return call::reply(&Reply::Done(self.status()), &request.path, keep);
            }
            Operation::Other => return response(404, &[], b"there is no such call\n", keep),
        };
        let is_read = matches!(call, Call::Read);
        let answer = self.settle(call).await;
        if is_read && answer.status == 200 && answer.body.is_empty() {
            return response(404, &[], b"there is no configuration yet\n", keep);
        }
        response(answer.status, &[], &answer.body, keep)
    }
}

fn read_beat(beat: beats::Heartbeat) -> Beat {
    let phase = match beat.phase {
        beats::Phase::Ready => Phase::Ready,
        beats::Phase::Draining => Phase::Draining,
    };
    Beat {
        service: beat.backend,
        endpoint: beat.endpoint,
        zone: beat.zone,
        slots: beat.capacity.max(1),
        phase,
        call_seq: beat.call_seq,
    }
}
