//! Discovery: the list of nodes as it was handed over, then as the watch tells its changes.

use crate::execute::Router;
use crate::wire;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::{Close, Ring, discovery};
use badgerstream_routing::Instance;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Two empty lines that did not come: the watch hangs. What it has to tell binds after 6 s.
const SILENT: Duration = Duration::from_millis(4500);
/// Records leave in steps of this; nothing depends on when.
const FORGETTING: Duration = Duration::from_secs(5);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Numbers for the names that discovery uses, and where each node is reached. Nodes leave with what the
/// instance remembers of them.
#[derive(Default)]
pub(crate) struct Roster {
    nodes: RefCell<HashMap<String, u32>>,
    dials: RefCell<HashMap<u32, SocketAddr>>,
    numbered: Cell<u32>,
    zones: RefCell<Vec<String>>,
}

impl Roster {
    pub(crate) fn new(zones: Vec<String>) -> Rc<Roster> {
        Rc::new(Roster {
            zones: RefCell::new(zones),
            ..Roster::default()
        })
    }

    pub(crate) fn dial(&self, node: u32) -> Result<SocketAddr, Close> {
        self.dials
            .borrow()
            .get(&node)
            .copied()
            .ok_or(Close::Refused)
    }

    /// Tells the instance the names of all nodes again.
    pub(crate) fn name_all(&self, instance: &mut Instance) {
        self.nodes
            .borrow()
            .iter()
            .for_each(|(name, node)| instance.node_named(*node, name));
    }

    pub(crate) fn forget(&self, gone: &[u32]) {
        self.nodes
            .borrow_mut()
            .retain(|_, node| !gone.contains(node));
        self.dials
            .borrow_mut()
            .retain(|node, _| !gone.contains(node));
    }

    fn node(&self, name: &str, dial: SocketAddr) -> u32 {
        let (mut nodes, mut dials) = (self.nodes.borrow_mut(), self.dials.borrow_mut());
        let node = nodes.get(name).copied().unwrap_or_else(|| {
            let node = self.numbered.replace(self.numbered.get() + 1);
            nodes.insert(name.to_string(), node);
            node
        });
        dials.insert(node, dial);
        node
    }

    fn zone(&self, name: &str) -> u8 {
        let mut zones = self.zones.borrow_mut();
        let most = usize::from(u8::MAX);
        let place = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            // A list of ever new names must not grow without end: beyond these all count as one.
            if zones.len() < most {
                zones.push(name.to_string());
            }
            zones.len() - 1
        });
        place.min(most) as u8
    }

    /// Tells the instance a list; its version, or why it can't be read.
    pub(crate) fn list(
        &self,
        instance: &mut Instance,
        now: f64,
        told: &Value,
    ) -> Result<u64, Close> {
        instance.list_begins();
        let (seq, whole) =
            discovery::list(told, |name, dial, zone, group, standing, since, leads| {
                let (node, zone) = (self.node(name, dial), self.zone(zone));
                instance.node_named(node, name);
                instance.list_member(now, node, (group, zone), standing, since, leads);
            })?;
        instance.list_ends(now, whole);
        Ok(seq)
    }
}

/// Watches until it is dropped; the last list stays in use whatever happens to the watch. `heard` is called
/// at each answer.
pub(crate) async fn watch(
    desk: Rc<Router>,
    roster: Rc<Roster>,
    address: SocketAddr,
    seq: Rc<Cell<u64>>,
    heard: impl Fn(),
) {
    let mut tries = 0;
    loop {
        let before = seq.get();
        let close = follow(&desk, &roster, address, &seq, &mut tries, &heard).await;
        let seq = seq.get();
        tracing::info!(
            "discovery: the watch has ended at version {seq} (opened at {before}): {close}"
        );
        let pause = (FIRST_PAUSE * (1 << tries.min(8))).min(LONGEST_PAUSE);
        // Routers that lost it together do not ask together again, where settings have it so.
        let spread = desk.recovery(false, |recovery, _| recovery.watch_delay_s(tries));
        Timer::after(spread.map_or(pause, Duration::from_secs_f64)).await;
        tries += 1;
    }
}

/// Lets what is long gone leave, for as long as the router runs.
pub(crate) async fn forget(desk: Rc<Router>, roster: Rc<Roster>) {
    loop {
        Timer::after(FORGETTING).await;
        roster.forget(&desk.tell(|instance, now| instance.forget_gone(now)));
    }
}

async fn follow(
    desk: &Router,
    roster: &Roster,
    address: SocketAddr,
    seq: &Cell<u64>,
    tries: &mut u32,
    heard: &impl Fn(),
) -> Close {
    let (mut input, mut output) = (Ring::new(1 << 16), Ring::new(1 << 12));
    let mut machine = discovery::Watch::default();
    output.push(discovery::request(address, seq.get()).as_bytes());
    let opened = async {
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|_| Close::Refused)?;
        wire::write(&stream, &mut output).await?;
        Ok(stream)
    };
    let stream = match wire::within(SILENT, Close::Silent, opened).await {
        Ok(stream) => stream,
        Err(close) => return close,
    };
    loop {
        match machine.next(&mut input) {
            Ok(Some(line)) => {
                match told(desk, roster, &line) {
                    Ok(told) => seq.set(told.unwrap_or(seq.get())),
                    Err(close) => return close,
                }
                // Only what could be read counts: garbage that comes at once would be asked for without end.
                *tries = 0;
                desk.tell(|instance, now| instance.discovery_answered(now));
                heard();
            }
            Ok(None) => {
                let read = wire::read(&stream, &mut input);
                if let Err(close) = wire::within(SILENT, Close::Silent, read).await {
                    return close;
                }
            }
            Err(close) => return close,
        }
    }
}

/// An empty line tells that nothing has changed.
fn told(desk: &Router, roster: &Roster, line: &[u8]) -> Result<Option<u64>, Close> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let list: Value = serde_json::from_slice(line)
        .map_err(|_| Close::Malformed("a line of discovery's is no JSON"))?;
    desk.tell(|instance, now| roster.list(instance, now, &list))
        .map(Some)
}
