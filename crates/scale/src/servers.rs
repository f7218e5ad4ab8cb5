//! Hollow database servers, and the platform: they beat, tell their status, pause and are promoted, and run no statement.

use crate::plan::{HEARTBEAT_MS, ServerSpec};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use badgerstream_calls::http::{Request, response};
use badgerstream_calls::members::{DbRole, HEARTBEAT, Heartbeat, Phase};
use badgerstream_calls::promotion::PROMOTIONS;
use badgerstream_node::clock;
use badgerstream_node::frames;
use badgerstream_node::http::{self, Handler};
use badgerstream_standin::call;
use badgerstream_wire::LineBuffer;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use nanoserde::{DeJson, SerJson};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// From the platform's answer until the named server leads, in seconds, as the users' databases take.
const PROMOTE: f64 = 0.6;

/// What a server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Server {
    service: String,
    leads: bool,
    term: u64,
    /// The number up to which its log goes, in its term.
    number: u64,
    /// The highest term that a pause named.
    held: u64,
}

/// The rules that control relies on, without sockets and clock.
#[derive(Debug, Default)]
pub struct World {
    all: HashMap<String, Server>,
}

impl World {
    /// All servers as they start, in their first term.
    pub fn new(specs: &[ServerSpec]) -> World {
        let one = |s: &ServerSpec| {
            let server = Server { service: s.service.clone(), leads: s.leads, term: 1, number: 7, held: 0 };
            (s.id.clone(), server)
        };
        World { all: specs.iter().map(one).collect() }
    }

    /// Whether it sees itself as the primary.
    pub fn leads(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|s| s.leads)
    }

    /// Does what a statement of control asks for; the row that answers it.
    pub fn ask(&mut self, id: &str, statement: &str) -> Option<String> {
        let server = self.all.get_mut(id)?;
        let mut words = statement.split(' ');
        match (words.next()?, words.next().and_then(|t| t.parse::<u64>().ok())) {
            ("STATUS", _) => {}
            ("PAUSE", Some(term)) if !server.leads => server.held = server.held.max(term),
            ("PAUSE", Some(_)) => {}
            ("RESUME", _) => server.held = 0,
            ("STEPDOWN", Some(term)) => server.leads &= server.term >= term,
            _ => return None,
        }
        let role = if server.leads { "leader" } else { "follower" };
        Some(format!("{role} {} {}.{} {} 0 0 1", server.term, server.term, server.number, server.held))
    }

    /// The named server leads the next term of its service; false if there is none of that name.
    pub fn promote(&mut self, id: &str) -> bool {
        let Some(service) = self.all.get(id).map(|s| s.service.clone()) else { return false };
        if self.leads(id) {
            return true;
        }
        let of = || self.all.values().filter(|s| s.service == service);
        let term = of().map(|s| s.term.max(s.held)).max().unwrap_or(0) + 1;
        for server in self.all.values_mut().filter(|s| s.service == service) {
            (server.leads, server.held, server.term, server.number) = (false, 0, term, server.number);
        }
        if let Some(server) = self.all.get_mut(id) {
            server.leads = true;
        }
        true
    }

    /// It runs no more.
    pub fn crash(&mut self, id: &str) {
        self.all.remove(id);
    }
}

struct Stage {
    world: RefCell<World>,
    tasks: Rc<LocalExecutor<'static>>,
    controls: Vec<SocketAddr>,
    beats: Arc<AtomicU64>,
    /// Listener, connections and beats of each server.
    running: RefCell<HashMap<String, Vec<Task<()>>>>,
}

/// All hollow servers, on a thread of their own; they end with this.
pub struct Servers {
    orders: Option<Sender<String>>,
    beats: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Servers {
    /// Starts all of them, and the platform. An error tells which address can't be had.
    pub fn start(
        specs: Vec<ServerSpec>, controls: Vec<SocketAddr>, platform: SocketAddr,
    ) -> Result<Servers, String> {
        let bind = |at: SocketAddr| std::net::TcpListener::bind(at).map_err(|e| format!("{at}: {e}"));
        let listeners: Result<Vec<TcpListener>, String> = specs.iter().map(|s| bind(s.endpoint)).collect();
        let (listeners, platform) = (listeners?, bind(platform)?);
        let (orders, taken) = async_channel::bounded::<String>(64);
        let beats = Arc::new(AtomicU64::new(0));
        let counted = beats.clone();
        let work = move || {
            let tasks = Rc::new(LocalExecutor::new());
            let stage = Rc::new(Stage {
                world: RefCell::new(World::new(&specs)),
                tasks: tasks.clone(),
                controls,
                beats: counted,
                running: RefCell::default(),
            });
            let Ok(platform) = Async::new(platform) else { return };
            let calls = Rc::new(Platform { stage: stage.clone() });
            tasks
                .spawn(http::serve(tasks.clone(), platform, calls, 64 << 10, Rc::new(Cell::new(0))))
                .detach();
            for (n, (spec, listener)) in specs.into_iter().zip(listeners).enumerate() {
                let Ok(listener) = Async::new(listener) else { return };
                let accept =
                    tasks.spawn(stage.clone().accept(spec.id.clone(), spec.service.clone(), listener));
                let id = spec.id.clone();
                let beat = tasks.spawn(stage.clone().beat(spec, n));
                stage.running.borrow_mut().insert(id, vec![accept, beat]);
            }
            future::block_on(tasks.run(async {
                while let Ok(id) = taken.recv().await {
                    stage.running.borrow_mut().remove(&id);
                    stage.world.borrow_mut().crash(&id);
                }
            }));
            stage.running.borrow_mut().clear();
        };
        let thread = std::thread::Builder::new().name("servers".to_owned()).spawn(work);
        let thread = thread.map_err(|e| format!("no thread: {e}"))?;
        Ok(Servers { orders: Some(orders), beats, thread: Some(thread) })
    }

    /// Ends a server's process: its address refuses, its connections break, its beats cease.
    pub fn crash(&self, id: &str) {
        if let Some(orders) = &self.orders {
            let _ = orders.try_send(id.to_owned());
        }
    }

    /// Beats that were acknowledged so far.
    pub fn beats(&self) -> u64 {
        self.beats.load(Ordering::Relaxed)
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Stage {
    async fn accept(self: Rc<Self>, id: String, service: String, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            frames::prepare(&stream, 3.0);
            let task = self.tasks.spawn(self.clone().connection(id.clone(), service.clone(), stream));
            let mut running = self.running.borrow_mut();
            let Some(tasks) = running.get_mut(&id) else { return };
            tasks.retain(|t| !t.is_finished());
            tasks.push(task);
        }
    }

    async fn connection(self: Rc<Self>, id: String, service: String, mut stream: Async<TcpStream>) {
        let mut lines = LineBuffer::default();
        let mut bytes = [0; 512];
        loop {
            let answer = match lines.next() {
                Ok(Some(line)) => {
                    let line = String::from_utf8_lossy(line);
                    match line.split_once(' ') {
                        Some(("CONNECT", rest)) if rest.starts_with(&service) && rest.ends_with(&id) => {
                            "IDLE I -\r\n".to_owned()
                        }
                        Some(("CONNECT", _)) => format!("ERROR WRONGNODE {id}\r\n"),
                        Some(("QUERY", rest)) => {
                            let text = rest.split_once(' ').map_or("", |(_, text)| text);
                            match self.world.borrow_mut().ask(&id, text) {
                                Some(row) => format!("ROW {row}\r\nCOMPLETE -\r\nIDLE I 1.7\r\n"),
                                None => "ERROR MALFORMED not here\r\nIDLE I -\r\n".to_owned(),
                            }
                        }
                        _ => return,
                    }
                }
                Ok(None) => match stream.read(&mut bytes).await {
                    Ok(count) if count > 0 => {
                        lines.feed(&bytes[..count]);
                        continue;
                    }
                    _ => return,
                },
                Err(_) => return,
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn beat(self: Rc<Self>, spec: ServerSpec, n: usize) {
        let pause = HEARTBEAT_MS as f64 / 1000.0;
        // Not all at one moment: by the golden section, whatever their number.
        let late = pause * (n as f64 * 0.618_034).fract();
        Timer::after(Duration::from_secs_f64(0.1 + late)).await;
        let mut turn = n;
        let mut call_seq = 0;
        let path = format!("{HEARTBEAT}{}", spec.id);
        loop {
            call_seq += 1;
            let leads = self.world.borrow().leads(&spec.id);
            let beat = Heartbeat {
                backend: spec.service.clone(),
                endpoint: spec.endpoint.to_string(),
                zone: spec.zone.clone(),
                epoch: "v1".to_owned(),
                capacity: 4,
                phase: Phase::Ready,
                cold_left_ms: 0,
                db_role: Some(if leads { DbRole::Leader } else { DbRole::Follower }),
                call_seq,
            };
            let to = self.controls[turn % self.controls.len()];
            let sent = clock::now();
            let body = beat.serialize_json();
            let answer =
                call::once(to, 1.0, "POST", &path, &[("Connection", "close")], body.as_bytes()).await;
            if answer.is_ok_and(|a| (200..300).contains(&a.status)) {
                self.beats.fetch_add(1, Ordering::Relaxed);
                let left = sent + pause - clock::now();
                Timer::after(Duration::from_secs_f64(left.max(0.02))).await;
            } else {
                turn += 1;
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

struct Platform {
    stage: Rc<Stage>,
}

#[derive(DeJson)]
struct Promotion {
    id: String,
}

impl Handler for Platform {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let asked = Promotion::deserialize_json(&text).ok().filter(|_| request.path == PROMOTIONS);
        let status = match asked {
            Some(asked) if self.stage.world.borrow().all.contains_key(&asked.id) => {
                let stage = self.stage.clone();
                let work = async move {
                    Timer::after(Duration::from_secs_f64(PROMOTE)).await;
                    stage.world.borrow_mut().promote(&asked.id);
                };
                self.stage.tasks.spawn(work).detach();
                200
            }
            Some(_) => 409,
            None => 400,
        };
        response(status, &[], b"", request.keep_alive)
    }
}
