//! Connections between control machines, and the listener for control machines and routers.
//!
//! Each pair of control machines has two connections, one for each direction: the sender of the
//! messages opens the connection and only writes to it. Messages may be lost with a connection; the
//! controller sends the important ones again.

use super::ControlNode;
use super::router_sessions::RouterSession;
use crate::frames::{self, Frame};
use crate::notify::Notify;
use crate::{clock, net};
use async_channel::{Receiver, Sender};
use async_io::Async;
use badgerstream_control::{NodeId, PeerMessage, Recipient, Voter};
use futures_lite::{AsyncReadExt, future, io};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Maximum number of messages that wait for a connection to one machine. Further messages are
/// dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Maximum number of queued messages that are kept after a failed attempt to connect. The older
/// ones are outdated, and heartbeats and appends are sent again.
const MAX_QUEUED_AFTER_FAILURE: usize = 4;
/// Pause after a failed attempt to connect, in seconds.
const RECONNECT_INTERVAL_S: f64 = 0.06;
/// A connection to a peer that accepts no bytes for this long, in seconds, is replaced by a new
/// one.
const WRITE_STALL_TIMEOUT_S: f64 = 1.0;
/// `TCP_USER_TIMEOUT` of connections that this machine opened, in seconds: the connection is closed
/// if the peer leaves sent data unacknowledged for this long.
const OUTGOING_USER_TIMEOUT_S: f64 = 1.0;
/// `TCP_USER_TIMEOUT` of connections that this machine accepted, in seconds.
const INCOMING_USER_TIMEOUT_S: f64 = 1.5;
/// Pause after a connection could not be accepted, in seconds.
const ACCEPT_RETRY_INTERVAL_S: f64 = 0.02;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;

/// The state of the connections with other control machines.
#[derive(Default)]
pub(super) struct Peers {
    /// The message queue of each machine. One task for each machine sends the messages.
    queues: RefCell<HashMap<NodeId, Sender<Frame>>>,
    /// The number of the newest connection that each machine has opened to this one.
    newest_incoming: RefCell<HashMap<NodeId, u64>>,
    /// Notified whenever that machine has opened a connection to this one, which shows that it is
    /// reachable.
    connected: RefCell<HashMap<NodeId, Rc<Notify>>>,
}

impl Peers {
    /// Returns the [`Notify`] that is notified when `node` opens a connection to this machine.
    fn connected(&self, node: NodeId) -> Rc<Notify> {
        self.connected.borrow_mut().entry(node).or_default().clone()
    }
}

/// A connection that another control machine has opened to this one.
#[derive(Clone, Copy)]
struct IncomingPeer {
    from: Voter,
    connection: u64,
}

impl ControlNode {
    /// Queues a message for another control machine. If the queue is full, the machine is
    /// unreachable and the message is dropped.
    pub(super) fn send_to_peer(self: &Rc<Self>, to: Recipient, message: PeerMessage) {
        let node = to.node();
        let mut queues = self.peers.queues.borrow_mut();
        let queue = queues.entry(node).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(MAX_QUEUED_MESSAGES);
            self.tasks
                .spawn(self.clone().run_outgoing(node, receiver))
                .detach();
            sender
        });
        let _ = queue.try_send(Frame::Peer { to, message });
    }

    /// Sends the queued messages to another control machine, for as long as this process runs.
    async fn run_outgoing(self: Rc<Self>, node: NodeId, messages: Receiver<Frame>) {
        while let Ok(first) = messages.recv().await {
            match self.connect_to_peer(node).await {
                Ok(stream) => {
                    // The error is ignored: whatever ended the connection, the next message opens a
                    // new one.
                    let _ = self.send_messages(&stream, node, first, &messages).await;
                }
                Err(_) => {
                    while messages.len() > MAX_QUEUED_AFTER_FAILURE {
                        let _ = messages.try_recv();
                    }
                }
            }
        }
    }

    /// Connects to another control machine. After a failure it waits until another attempt makes
    /// sense, and then returns the error.
    async fn connect_to_peer(&self, node: NodeId) -> io::Result<Async<TcpStream>> {
        let address = SocketAddr::from((Ipv4Addr::from(node), self.peer_port()));
        let connected = self.peers.connected(node);
        let generation = connected.generation();
        let connect =
            net::connect_with_timeout(address, frames::CONNECT_TIMEOUT_S, OUTGOING_USER_TIMEOUT_S);
        let interrupted = async {
            // The peer has just connected to this machine. An attempt that began before the peer
            // was up would only run into its timeout.
            connected.notified_since(generation).await;
            Err(io::ErrorKind::Interrupted.into())
        };
        let result = future::or(connect, interrupted).await;
        if result.is_err() {
            let pause = net::sleep(RECONNECT_INTERVAL_S);
            future::or(pause, connected.notified_since(generation)).await;
        }
        result
    }

    /// Sends the handshake, and then messages, on a new connection until it ends.
    async fn send_messages(
        self: &Rc<Self>,
        stream: &Async<TcpStream>,
        node: NodeId,
        first: Frame,
        messages: &Receiver<Frame>,
    ) -> io::Result<()> {
        let mut writer = stream;
        let handshake = Frame::Handshake {
            from: self.voter,
            process_incarnation: self.process_incarnation,
        };
        let mut sent = frames::write(&mut writer, &handshake).await;
        if sent.is_ok() {
            sent = frames::write(&mut writer, &first).await;
        }
        // Reported even if a write failed: the peer accepts connections again, so the controller
        // sends the messages again that the peer may have missed.
        let outputs = self.controller.borrow_mut().peer_connected(node);
        self.execute(outputs);
        sent?;
        loop {
            let next = async {
                let message = messages.recv().await;
                message.map_err(|_| io::ErrorKind::ConnectionAborted.into())
            };
            let message = future::or(next, closed(stream)).await?;
            let bytes = frames::encode(&message);
            frames::write_with_stall_timeout(&mut writer, &bytes, WRITE_STALL_TIMEOUT_S).await?;
        }
    }

    /// Accepts connections of control machines and routers for as long as the process runs.
    pub(super) async fn accept_connections(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    net::try_set_options(&stream, INCOMING_USER_TIMEOUT_S);
                    self.tasks
                        .spawn(self.clone().serve_connection(stream))
                        .detach();
                }
                Err(_) => net::sleep(ACCEPT_RETRY_INTERVAL_S).await,
            }
        }
    }

    /// Handles the frames that another process sends on a connection, until the connection ends.
    async fn serve_connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let mut reader = io::BufReader::with_capacity(READ_BUFFER_BYTES, &*stream);
        let mut peer: Option<IncomingPeer> = None;
        // Dropping the session ends it.
        let mut session: Option<RouterSession> = None;
        while let Ok(frame) = frames::read(&mut reader).await {
            match frame {
                Frame::Handshake {
                    from,
                    process_incarnation,
                } => peer = Some(self.accept_handshake(from, process_incarnation)),
                Frame::Peer { to, message } => match peer {
                    Some(peer) if self.is_newest(peer) => self.receive(peer.from, to, message),
                    // Messages on an older connection may come from an earlier incarnation of that
                    // process.
                    _ => break,
                },
                Frame::LeaseRequest(request) => {
                    let session = session.get_or_insert_with(|| self.open_session(&stream));
                    let outputs = self.controller.borrow_mut().handle_lease_request(
                        clock::now(),
                        session.id,
                        request,
                    );
                    self.execute(outputs);
                }
                Frame::ReportingLeaseRequest(request) => {
                    let session = session.get_or_insert_with(|| self.open_session(&stream));
                    let outputs = self.controller.borrow_mut().handle_reporting_lease_request(
                        clock::now(),
                        session.id,
                        request,
                    );
                    self.execute(outputs);
                }
                Frame::RouterUpdate(_) => break,
            }
        }
    }

    /// Registers a connection from another control machine. It replaces earlier connections from
    /// the same machine.
    fn accept_handshake(&self, from: Voter, process_incarnation: u64) -> IncomingPeer {
        log::debug!("event=peer_connected from={from} process_incarnation={process_incarnation:x}");
        let connection = self.next_id();
        self.peers
            .newest_incoming
            .borrow_mut()
            .insert(from.node, connection);
        self.controller.borrow_mut().peer_discovered(from.node);
        self.peers.connected(from.node).notify_waiters();
        IncomingPeer { from, connection }
    }

    fn is_newest(&self, peer: IncomingPeer) -> bool {
        let newest = self.peers.newest_incoming.borrow();
        newest.get(&peer.from.node) == Some(&peer.connection)
    }

    /// Passes a message to the controller, unless it is addressed to a machine that had this
    /// address earlier.
    fn receive(self: &Rc<Self>, from: Voter, to: Recipient, message: PeerMessage) {
        if !to.matches(self.voter) {
            return;
        }
        let outputs = self
            .controller
            .borrow_mut()
            .handle_peer_message(clock::now(), from, message);
        self.execute(outputs);
    }
}

/// Waits for the end of a connection on which the peer never writes. Any result of a read counts as
/// the end.
async fn closed<T>(stream: &Async<TcpStream>) -> io::Result<T> {
    let mut byte = [0];
    let mut reader = stream;
    let _ = reader.read(&mut byte).await;
    Err(io::ErrorKind::ConnectionReset.into())
}
