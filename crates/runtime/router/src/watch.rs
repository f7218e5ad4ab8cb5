//! Discovery: the list of nodes, first from the start file and then from a watch that receives changes.

use crate::execute::StatementDispatcher;
use crate::wire;
use async_io::{Async, Timer};
use badgerstream_postgres_protocol::{Close, RingBuffer, discovery};
use badgerstream_routing::Instance;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time without a line from discovery. It corresponds to two missing empty lines, so the watch hangs; changes
/// of the list become binding 6 s after discovery sends them.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4500);
/// Interval between removals of departed nodes; their exact time does not matter.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the watch is opened again; it doubles at each failed attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maps the node names used by discovery to numbers, and the numbers to addresses. A node is removed together with
/// the instance's state for it.
#[derive(Default)]
pub(crate) struct NodeRegistry {
    nodes: RefCell<HashMap<String, u32>>,
    addresses: RefCell<HashMap<u32, SocketAddr>>,
    next_number: Cell<u32>,
    zones: RefCell<Vec<String>>,
}

impl NodeRegistry {
    pub(crate) fn new(zones: Vec<String>) -> Rc<NodeRegistry> {
        Rc::new(NodeRegistry {
            zones: RefCell::new(zones),
            ..NodeRegistry::default()
        })
    }

    /// Returns the address of a node, or the error for an unreachable node if it is not listed.
    pub(crate) fn address(&self, node: u32) -> Result<SocketAddr, Close> {
        self.addresses
            .borrow()
            .get(&node)
            .copied()
            .ok_or(Close::Refused)
    }

    /// Passes the names of all nodes to the instance.
    pub(crate) fn name_all(&self, instance: &mut Instance) {
        self.nodes
            .borrow()
            .iter()
            .for_each(|(name, node)| instance.node_named(*node, name));
    }

    /// Removes nodes that the instance has forgotten.
    pub(crate) fn remove(&self, gone: &[u32]) {
        self.nodes
            .borrow_mut()
            .retain(|_, node| !gone.contains(node));
        self.addresses
            .borrow_mut()
            .retain(|node, _| !gone.contains(node));
    }

    /// Returns the number of a node, assigning one to a new name, and sets its address.
    fn node(&self, name: &str, address: SocketAddr) -> u32 {
        let (mut nodes, mut addresses) = (self.nodes.borrow_mut(), self.addresses.borrow_mut());
        let node = nodes.get(name).copied().unwrap_or_else(|| {
            let node = self.next_number.replace(self.next_number.get() + 1);
            nodes.insert(name.to_string(), node);
            node
        });
        addresses.insert(node, address);
        node
    }

    fn zone(&self, name: &str) -> u8 {
        let mut zones = self.zones.borrow_mut();
        let max_zones = usize::from(u8::MAX);
        let index = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            // Bounds the memory used if discovery keeps sending new names: zones beyond the limit share a number.
            if zones.len() < max_zones {
                zones.push(name.to_string());
            }
            zones.len() - 1
        });
        index.min(max_zones) as u8
    }

    /// Passes a list of nodes to the instance and returns the list's version. Fails if the list is malformed.
    pub(crate) fn apply_list(
        &self,
        instance: &mut Instance,
        now: f64,
        list: &Value,
    ) -> Result<u64, Close> {
        instance.list_begins();
        let (seq, whole) =
            discovery::parse_list(list, |name, address, zone, group, status, since, leads| {
                let (node, zone) = (self.node(name, address), self.zone(zone));
                instance.node_named(node, name);
                instance.list_member(now, node, (group, zone), status, since, leads);
            })?;
        instance.list_ends(now, whole);
        Ok(seq)
    }
}

/// Watches discovery until it is dropped, reopening the watch whenever it ends. The last list stays in use meanwhile.
/// Calls `on_answer` at each valid line.
pub(crate) async fn watch(
    dispatcher: Rc<StatementDispatcher>,
    registry: Rc<NodeRegistry>,
    address: SocketAddr,
    seq: Rc<Cell<u64>>,
    on_answer: impl Fn(),
) {
    let mut tries = 0;
    loop {
        let before = seq.get();
        let close = follow(
            &dispatcher,
            &registry,
            address,
            &seq,
            &mut tries,
            &on_answer,
        )
        .await;
        let seq = seq.get();
        tracing::info!(
            "discovery at {address}: the watch has ended at list version {seq} (opened at version {before}): \
             {close}"
        );
        let delay = (MIN_RETRY_DELAY * (1 << tries.min(8))).min(MAX_RETRY_DELAY);
        // With restart pacing, routers that lost discovery at the same time reconnect at different times.
        let spread = dispatcher.recovery(false, |recovery, _| recovery.watch_delay_s(tries));
        Timer::after(spread.map_or(delay, Duration::from_secs_f64)).await;
        tries += 1;
    }
}

/// Periodically removes nodes that departed long ago, while the router runs.
pub(crate) async fn remove_departed(
    dispatcher: Rc<StatementDispatcher>,
    registry: Rc<NodeRegistry>,
) {
    loop {
        Timer::after(REMOVAL_INTERVAL).await;
        registry.remove(&dispatcher.update(|instance, now| instance.forget_gone(now)));
    }
}

/// Opens the watch and applies its lines until it ends; returns why it ended.
async fn follow(
    dispatcher: &StatementDispatcher,
    registry: &NodeRegistry,
    address: SocketAddr,
    seq: &Cell<u64>,
    tries: &mut u32,
    on_answer: &impl Fn(),
) -> Close {
    let (mut input, mut output) = (RingBuffer::new(1 << 16), RingBuffer::new(1 << 12));
    let mut machine = discovery::Watch::default();
    output.push(discovery::request(address, seq.get()).as_bytes());
    let opened = async {
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|_| Close::Refused)?;
        wire::write(&stream, &mut output).await?;
        Ok(stream)
    };
    let stream = match wire::within(WATCH_TIMEOUT, Close::PeerTimeout, opened).await {
        Ok(stream) => stream,
        Err(close) => return close,
    };
    loop {
        match machine.next(&mut input) {
            Ok(Some(line)) => {
                match apply_line(dispatcher, registry, &line) {
                    Ok(version) => seq.set(version.unwrap_or(seq.get())),
                    Err(close) => return close,
                }
                // Only a valid line resets the delay; otherwise a server that answers garbage at once would be
                // asked without pause.
                *tries = 0;
                dispatcher.update(|instance, now| instance.discovery_answered(now));
                on_answer();
            }
            Ok(None) => {
                let read = wire::read(&stream, &mut input);
                if let Err(close) = wire::within(WATCH_TIMEOUT, Close::PeerTimeout, read).await {
                    return close;
                }
            }
            Err(close) => return close,
        }
    }
}

/// Applies a line and returns the version of its list, or `None` for an empty line: nothing has changed.
fn apply_line(
    dispatcher: &StatementDispatcher,
    registry: &NodeRegistry,
    line: &[u8],
) -> Result<Option<u64>, Close> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let list: Value = serde_json::from_slice(line)
        .map_err(|_| Close::Malformed("a line from discovery is not valid JSON"))?;
    dispatcher
        .update(|instance, now| registry.apply_list(instance, now, &list))
        .map(Some)
}
