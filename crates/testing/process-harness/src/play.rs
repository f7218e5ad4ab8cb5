//! Plays a script: starts the processes, does what the plan says when it says so, and gathers what all sides saw.

use crate::Ground;
use crate::clients::{Heard, Sending};
use crate::relay::{Relays, Route, admitted};
use crate::router::{Fault, Program, Router, Signal, Told, free_address};
use crate::run_delay::RunDelay;
use crate::script::{Act, Ends, Fault as Broken, Known, Plan, Script, Trouble, Way};
use crate::store::{Order, Reply, Seen};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What was asked of a helper is answered within this, or it is lost.
const ENDING: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(5);

pub struct Setup<'a> {
    pub router: &'a Program,
    /// Our own settings for the routers, as JSON5; none is the baseline.
    pub own: Option<&'a str>,
    /// The binary that is also the store and the clients, by its hidden words for them.
    pub helper: &'a Path,
    pub folder: &'a Path,
    pub seed: u64,
}

pub const STORE: &str = "cluster-store";
pub const CLIENTS: &str = "cluster-clients";

/// All that a run left behind.
#[derive(Debug, Deserialize, Serialize)]
pub struct Evidence {
    pub script: Script,
    pub seed: u64,
    pub heard: Heard,
    pub seen: Seen,
    pub routes: Vec<Route>,
    pub deeds: Vec<Deed>,
    /// Routers whose process ended without having been asked to.
    pub crashed: Vec<usize>,
    /// Routers that did not end in order when asked to at the end.
    pub hung: Vec<usize>,
    /// The longest that the rig itself got no processor, while clients sent: what it shows then is the machine.
    #[serde(default)]
    pub stood_still_ms: u64,
    /// The longest that one thread of the run was ready within half a second and got no processor, while clients sent.
    #[serde(default)]
    pub run_delay_ms: u64,
}

/// Something that was done, and when.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Deed {
    pub at_us: u64,
    pub what: What,
    /// The router that it was done to, if to one.
    pub router: Option<usize>,
    pub told: String,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    Killed,
    Ended,
    Stopped,
    Continued,
    Started,
    /// It answered an empty query for the first time since.
    Admitted,
    Faulted,
    Healed,
    Store,
}

struct Store {
    child: Child,
    orders: ChildStdin,
    replies: BufReader<ChildStdout>,
}

impl Store {
    fn start(helper: &Path) -> Result<Store, Fault> {
        let mut child = Command::new(helper)
            .arg(STORE)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(Fault::Start)?;
        let lost = || Fault::Helper("store", "it has no streams".to_string());
        let orders = child.stdin.take().ok_or_else(lost)?;
        let replies = BufReader::new(child.stdout.take().ok_or_else(lost)?);
        Ok(Store {
            child,
            orders,
            replies,
        })
    }

    fn ask(&mut self, order: &Order) -> Result<Reply, Fault> {
        let wrong = |e: String| Fault::Helper("store", e);
        let line = serde_json::to_string(order).map_err(|e| wrong(e.to_string()))?;
        writeln!(self.orders, "{line}").map_err(|e| wrong(e.to_string()))?;
        let mut reply = String::new();
        self.replies
            .read_line(&mut reply)
            .map_err(|e| wrong(e.to_string()))?;
        match serde_json::from_str(&reply) {
            Ok(Reply::Wrong(why)) => Err(wrong(why)),
            Ok(reply) => Ok(reply),
            Err(e) => Err(wrong(format!("{e}: {reply:?}"))),
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// The clients' process; it goes with the run.
struct Clients(Child);

impl Drop for Clients {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

struct Rig<'a> {
    script: &'a Script,
    setup: &'a Setup<'a>,
    store: Store,
    relays: Relays,
    addresses: Vec<SocketAddr>,
    lists: Vec<SocketAddr>,
    routers: Vec<Option<Router>>,
    /// The lists from the beginning, and how often each router was started.
    first: Vec<Value>,
    starts: Vec<u64>,
    dead: BTreeSet<usize>,
    deeds: Arc<Mutex<Vec<Deed>>>,
    crashed: BTreeSet<usize>,
    run_delay: Option<RunDelay>,
}

/// # Errors
/// A process that can't be started, or is lost.
pub fn play(script: &Script, setup: &Setup<'_>) -> Result<Evidence, Fault> {
    let plan = script.draw(setup.seed);
    let mut rig = Rig::build(script, setup)?;
    for router in 0..script.up() {
        rig.start(router)?;
    }
    for router in rig.routers.iter().flatten() {
        router.serves()?;
    }
    let begun = Instant::now();
    while !rig
        .addresses
        .iter()
        .take(script.up())
        .all(|router| future::block_on(admitted(*router)))
    {
        if begun.elapsed() > ENDING {
            return Err(Fault::Wrong("a router admits nobody".to_string()));
        }
    }
    rig.deeds
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
    let heard = setup.folder.join("heard.json");
    let (mut clients, start_us) = rig.clients(&heard)?;
    let pulse = Pulse::begin();
    rig.run_delay = Some(RunDelay::begin(rig.processes(&clients)));
    rig.perform(&plan, start_us)?;
    rig.wait(&mut clients.0, start_us)?;
    let stood_still_ms = pulse.end();
    let run_delay_ms = rig.run_delay.take().map_or(0, RunDelay::end);
    Ok(Evidence {
        stood_still_ms,
        run_delay_ms,
        ..rig.finish(&heard)?
    })
}

/// A thread that does nothing but wake up, and tells by how much it was late.
struct Pulse(Arc<AtomicBool>, thread::JoinHandle<Duration>);

impl Pulse {
    fn begin() -> Pulse {
        let over = Arc::new(AtomicBool::new(false));
        let heard = over.clone();
        let beat = move || {
            let mut longest = Duration::ZERO;
            while !heard.load(Ordering::Relaxed) {
                let slept = Instant::now();
                thread::sleep(LOOK);
                longest = longest.max(slept.elapsed().saturating_sub(LOOK));
            }
            longest
        };
        Pulse(over, thread::spawn(beat))
    }

    /// The longest that it was late, in milliseconds.
    fn end(self) -> u64 {
        self.0.store(true, Ordering::Relaxed);
        self.1
            .join()
            .map_or(0, |longest| longest.as_millis() as u64)
    }
}

impl<'a> Rig<'a> {
    fn build(script: &'a Script, setup: &'a Setup<'_>) -> Result<Rig<'a>, Fault> {
        badgerstream_load_generator::run::descriptors();
        let ground = Ground::new();
        let mut store = Store::start(setup.helper)?;
        let Reply::Nodes(nodes) = store.ask(&Order::Begin(script.store, ground.nodes()))? else {
            return Err(Fault::Helper("store", "it names no nodes".to_string()));
        };
        let relays = Relays::start(ground.relays());
        let link = |of, router, node, to, from| {
            relays
                .link((of, router, node), to, from)
                .map_err(Fault::Start)
        };
        let mut dials = Vec::new();
        for router in 0..script.routers {
            let from = Some(ground.caller(router));
            let to_nodes = nodes
                .iter()
                .enumerate()
                .map(|(node, to)| link(Ends::Nodes, router, node, *to, from));
            dials.push(to_nodes.collect::<Result<Vec<_>, _>>()?);
        }
        let Reply::Views(views) = store.ask(&Order::Views(dials))? else {
            return Err(Fault::Helper("store", "it has no views".to_string()));
        };
        let lists = views
            .iter()
            .enumerate()
            .map(|(router, to)| link(Ends::Lists, router, 0, *to, None));
        let lists = lists.collect::<Result<Vec<_>, _>>()?;
        let addresses = (0..script.routers)
            .map(|router| free_address(ground.door(router)))
            .collect::<Result<Vec<SocketAddr>, Fault>>()?;
        let mut rig = Rig {
            script,
            setup,
            store,
            relays,
            addresses,
            lists,
            routers: (0..script.routers).map(|_| None).collect(),
            first: Vec::new(),
            starts: vec![0; script.routers],
            dead: BTreeSet::new(),
            deeds: Arc::default(),
            crashed: BTreeSet::new(),
            run_delay: None,
        };
        for router in 0..script.routers {
            let list = rig.list(router)?;
            rig.first.push(list);
        }
        Ok(rig)
    }

    /// All but the rig's own.
    fn processes(&self, clients: &Clients) -> Vec<u32> {
        let routers = self.routers.iter().flatten().map(Router::id);
        routers
            .chain([self.store.child.id(), clients.0.id()])
            .collect()
    }

    fn list(&mut self, router: usize) -> Result<Value, Fault> {
        match self.store.ask(&Order::List(router))? {
            Reply::List(list) => Ok(list),
            other => Err(Fault::Helper("store", format!("no list: {other:?}"))),
        }
    }

    fn did(&self, what: What, router: Option<usize>, told: String) {
        let deed = Deed {
            at_us: crate::now_us(),
            what,
            router,
            told,
        };
        self.deeds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(deed);
    }

    /// Starts one from nothing, with the list that the script lets it have.
    fn start(&mut self, router: usize) -> Result<(), Fault> {
        let known = match self.script.known {
            Known::First if self.starts[router] > 0 => self.first[router].clone(),
            _ => self.list(router)?,
        };
        self.starts[router] += 1;
        let lot = self.setup.seed ^ ((router as u64) << 20) ^ self.starts[router];
        let (store, load) = (&self.script.store, &self.script.load);
        let name = format!("router-{router}");
        let told = Told {
            name: &name,
            listen: self.addresses[router],
            discovery: self.lists[router],
            seed: fastrand::Rng::with_seed(lot).u64(..),
            memory_mb: 64,
            descriptors: 512,
            known,
            routers: self.script.told.unwrap_or(self.script.routers),
            slo_ms: load.slo_ms,
            timeout_ms: load.patience_ms,
            mark_memory_ms: 60_000.0,
            cold: (store.cold_from, store.cold_ms),
            fall: (store.fall_ms, store.overload_factor),
        };
        let address = self.addresses[router];
        let Setup {
            router: program,
            folder,
            own,
            ..
        } = *self.setup;
        let started = Router::spawn(program, folder, &name, address, &told.config(), own)?;
        self.run_delay
            .iter()
            .for_each(|watch| watch.add(started.id()));
        self.routers[router] = Some(started);
        self.did(
            What::Started,
            Some(router),
            format!("start {}", self.starts[router]),
        );
        let deeds = self.deeds.clone();
        thread::spawn(move || {
            let begun = Instant::now();
            while begun.elapsed() < ENDING {
                if future::block_on(admitted(address)) {
                    let deed = Deed {
                        at_us: crate::now_us(),
                        what: What::Admitted,
                        router: Some(router),
                        told: String::new(),
                    };
                    return deeds
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(deed);
                }
                thread::sleep(LOOK);
            }
        });
        Ok(())
    }

    fn clients(&mut self, out: &Path) -> Result<(Clients, u64), Fault> {
        let notices = Duration::from_millis(self.script.notice_ms);
        let fronts = self
            .relays
            .fronts(&self.addresses, notices)
            .map_err(Fault::Start)?;
        let sending = Sending {
            load: self.script.load.clone(),
            seed: self.setup.seed,
            calm_ms: self.script.calm_ms,
            for_ms: self.script.for_ms,
            groups: self.script.store.groups,
            fronts,
            out: out.to_path_buf(),
        };
        let file = self.setup.folder.join("sending.json");
        let text =
            serde_json::to_string(&sending).map_err(|e| Fault::Helper("clients", e.to_string()))?;
        std::fs::write(&file, text).map_err(|e| Fault::File(file.clone(), e))?;
        let mut child = Command::new(self.setup.helper)
            .arg(CLIENTS)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(Fault::Start)?;
        let out = child.stdout.take();
        let clients = Clients(child);
        let mut line = String::new();
        let read = out.map(|out| BufReader::new(out).read_line(&mut line));
        match (read, line.trim().parse()) {
            (Some(Ok(_)), Ok(start_us)) => Ok((clients, start_us)),
            _ => Err(Fault::Helper(
                "clients",
                format!("they say no beginning: {line:?}"),
            )),
        }
    }

    fn perform(&mut self, plan: &Plan, start_us: u64) -> Result<(), Fault> {
        for (at, act) in plan {
            let due = start_us + at * 1000;
            thread::sleep(Duration::from_micros(due.saturating_sub(crate::now_us())));
            self.act(act)?;
        }
        Ok(())
    }

    fn act(&mut self, act: &Act) -> Result<(), Fault> {
        let signals = |router: &Option<Router>, signal| router.iter().for_each(|r| r.send(signal));
        match act {
            Act::Kill(router) => {
                self.notice_crash(*router);
                // Before the blow: who is answered behind it was answered by nobody.
                self.did(What::Killed, Some(*router), String::new());
                // Dropped, it is killed and waited for.
                self.routers[*router] = None;
            }
            Act::End(router) => {
                self.notice_crash(*router);
                self.did(What::Ended, Some(*router), String::new());
                signals(&self.routers[*router], Signal::TERM);
            }
            Act::Stop(router) => {
                self.did(What::Stopped, Some(*router), String::new());
                signals(&self.routers[*router], Signal::STOP);
            }
            Act::Continue(router) => {
                signals(&self.routers[*router], Signal::CONT);
                self.did(What::Continued, Some(*router), String::new());
            }
            Act::Start(router) => {
                if let Some(ending) = self.routers[*router].take() {
                    self.leave(*router, ending);
                }
                self.start(*router)?;
            }
            Act::Links {
                of,
                pairs,
                way,
                fault,
            } => {
                self.link(*of, pairs, *way, *fault);
                let what = if fault.is_some() {
                    What::Faulted
                } else {
                    What::Healed
                };
                let named =
                    |fault: &Option<Broken>| serde_json::to_string(fault).unwrap_or_default();
                let mut routers: Vec<usize> = pairs.iter().map(|pair| pair.0).collect();
                routers.dedup();
                for router in routers {
                    let nodes: Vec<_> = pairs
                        .iter()
                        .filter(|p| p.0 == router)
                        .map(|p| p.1)
                        .collect();
                    let told = format!("{of:?} {nodes:?} {way:?} {}", named(fault));
                    self.did(what, Some(router), told);
                }
            }
            Act::Store(trouble) => self.trouble(trouble)?,
        }
        Ok(())
    }

    /// One that was asked to end has its time for that, and goes then.
    fn leave(&mut self, router: usize, mut ending: Router) {
        let begun = Instant::now();
        while ending.ended().is_none() && begun.elapsed() < ENDING {
            thread::sleep(LOOK);
        }
        if ending.ended().is_none_or(|in_order| !in_order) {
            self.crashed.insert(router);
        }
    }

    fn link(&self, of: Ends, pairs: &[(usize, usize)], way: Way, fault: Option<Broken>) {
        self.relays.set(
            pairs
                .iter()
                .map(|(router, node)| (of, *router, *node))
                .collect(),
            way,
            fault,
        );
    }

    fn trouble(&mut self, trouble: &Trouble) -> Result<(), Fault> {
        let Reply::Done(done) = self.store.ask(&Order::Do(trouble.clone()))? else {
            return Err(Fault::Helper(
                "store",
                "it did not say what it did".to_string(),
            ));
        };
        let routers = 0..self.script.routers;
        match (trouble, done) {
            // Nobody listens there now: the relays do as a dead node's machine does.
            (Trouble::Kill { .. }, Some(node)) => {
                self.dead.insert(node);
                let pairs: Vec<_> = routers.map(|router| (router, node)).collect();
                self.link(Ends::Nodes, &pairs, Way::Both, Some(Broken::Refuse));
            }
            (Trouble::Restart { group }, _) => {
                let members = self.script.store.members;
                let of = usize::from(*group) * members..(usize::from(*group) + 1) * members;
                let back: Vec<usize> = self.dead.extract_if(of, |_| true).collect();
                let pairs: Vec<_> = routers
                    .flat_map(|r| back.iter().map(move |n| (r, *n)))
                    .collect();
                self.link(Ends::Nodes, &pairs, Way::Both, None);
            }
            _ => {}
        }
        let told = serde_json::to_string(trouble).unwrap_or_default();
        self.did(What::Store, None, format!("{told} at node {done:?}"));
        Ok(())
    }

    fn notice_crash(&mut self, router: usize) {
        if let Some(process) = &mut self.routers[router]
            && process.ended().is_some()
        {
            self.crashed.insert(router);
        }
    }

    fn wait(&mut self, clients: &mut Child, start_us: u64) -> Result<(), Fault> {
        let length = self.script.for_ms as f64 + self.script.load.patience_ms;
        let until = start_us + length as u64 * 1000 + ENDING.as_micros() as u64;
        while crate::now_us() < until {
            match clients.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(None) => thread::sleep(LOOK),
                ended => {
                    return Err(Fault::Helper(
                        "clients",
                        format!("they ended early: {ended:?}"),
                    ));
                }
            }
        }
        Err(Fault::Helper("clients", "they don't end".to_string()))
    }

    fn finish(mut self, heard: &Path) -> Result<Evidence, Fault> {
        let seen = self.setup.folder.join("seen.json");
        self.store.ask(&Order::End(seen.clone()))?;
        let routes = self.relays.routes();
        let mut hung = Vec::new();
        (0..self.routers.len()).for_each(|router| self.notice_crash(router));
        // All at once: each takes its time to let its clients go.
        self.routers
            .iter()
            .flatten()
            .for_each(|router| router.send(Signal::TERM));
        for router in 0..self.routers.len() {
            let ended_before = self.crashed.contains(&router);
            if let Some(process) = self.routers[router].as_mut().filter(|_| !ended_before)
                && !process.end(ENDING)
            {
                hung.push(router);
            }
        }
        fn read<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T, Fault> {
            let text =
                std::fs::read_to_string(file).map_err(|e| Fault::File(file.to_path_buf(), e))?;
            serde_json::from_str(&text)
                .map_err(|e| Fault::Wrong(format!("{}: {e}", file.display())))
        }
        let mut deeds =
            std::mem::take(&mut *self.deeds.lock().unwrap_or_else(PoisonError::into_inner));
        deeds.sort_by_key(|deed| deed.at_us);
        Ok(Evidence {
            script: self.script.clone(),
            seed: self.setup.seed,
            heard: read(heard)?,
            seen: read(&seen)?,
            routes,
            deeds,
            crashed: self.crashed.iter().copied().collect(),
            hung,
            stood_still_ms: 0,
            run_delay_ms: 0,
        })
    }
}
