//! Connections with other control machines, and the listener that routers use as well.
//!
//! Each pair of control machines has two connections, one for each direction: who has messages for
//! another connects to it and only writes there. Messages may be lost with a connection; the
//! controller sends again whatever matters.

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

/// Messages that wait for a connection to one machine; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// After a failed attempt to connect only so many queued messages are kept: older ones are
/// outdated, and heartbeats and appends are sent again.
const MAX_QUEUED_AFTER_FAILURE: usize = 4;
/// Pause after a failed attempt to connect, in seconds.
const RECONNECT_INTERVAL_S: f64 = 0.06;
/// A machine whose connection takes nothing for so many seconds gets a new one.
const WRITE_STALL_TIMEOUT_S: f64 = 1.0;
/// On a connection that this machine opened: a peer that acknowledges nothing for so many seconds
/// is given up.
const OUTGOING_USER_TIMEOUT_S: f64 = 1.0;
/// On a connection that was accepted: a peer that acknowledges nothing for so many seconds is given
/// up.
const INCOMING_USER_TIMEOUT_S: f64 = 1.5;
/// Pause after a connection could not be accepted, in seconds.
const ACCEPT_RETRY_S: f64 = 0.02;
/// Size of a connection's read buffer, in bytes.
const READ_BYTES: usize = 1024;

/// What is known of the connections with other control machines.
#[derive(Default)]
pub(super) struct Peers {
    /// Messages for each machine; a task of its own sends them.
    queues: RefCell<HashMap<NodeId, Sender<Frame>>>,
    /// The number of the newest connection that each machine has opened to here.
    newest_incoming: RefCell<HashMap<NodeId, u64>>,
    /// Notified whenever that machine has opened a connection to here: it is reachable.
    connected: RefCell<HashMap<NodeId, Rc<Notify>>>,
}

impl Peers {
    fn connected(&self, node: NodeId) -> Rc<Notify> {
        self.connected.borrow_mut().entry(node).or_default().clone()
    }
}

/// A connection that another control machine has opened to here.
#[derive(Clone, Copy)]
struct IncomingPeer {
    from: Voter,
    connection: u64,
}

impl ControlNode {
    /// Queues a message for another control machine. A full queue drops it: the machine is
    /// unreachable.
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

    /// Sends the messages for another control machine, for as long as this process runs.
    async fn run_outgoing(self: Rc<Self>, node: NodeId, messages: Receiver<Frame>) {
        while let Ok(first) = messages.recv().await {
            match self.connect_to_peer(node).await {
                Ok(stream) => {
                    // The error is of no matter: whatever ended the connection, the next message
                    // opens a new one.
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

    /// Connects to another control machine. After a failure it returns once it is worth while to
    /// try again.
    async fn connect_to_peer(&self, node: NodeId) -> io::Result<Async<TcpStream>> {
        let address = SocketAddr::from((Ipv4Addr::from(node), self.peer_port()));
        let connected = self.peers.connected(node);
        let generation = connected.generation();
        let connect =
            net::connect_with_timeout(address, frames::CONNECT_TIMEOUT_S, OUTGOING_USER_TIMEOUT_S);
        let interrupted = async {
            // It has just connected to here: an attempt from before it was up would only run into
            // its time-out.
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

    /// Sends the handshake and messages on a new connection, until it ends.
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
        // Also if that failed: the machine takes connections again, so what it may have missed is
        // sent once more.
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
                Err(_) => net::sleep(ACCEPT_RETRY_S).await,
            }
        }
    }

    /// Handles what another process sends on a connection, until it ends.
    async fn serve_connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let mut reader = io::BufReader::with_capacity(READ_BYTES, &*stream);
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
                    // Whatever comes on an older connection may be of an earlier incarnation of
                    // that process.
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
                Frame::RouterUpdate(_) => break,
            }
        }
    }

    /// Another control machine has connected to here: this connection replaces the ones before it.
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

    /// Gives a message to the controller, unless it is for an earlier machine at this address.
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

/// Waits for the end of a connection on which the other side never writes: whatever is read is the
/// end.
async fn closed<T>(stream: &Async<TcpStream>) -> io::Result<T> {
    let mut byte = [0];
    let mut reader = stream;
    let _ = reader.read(&mut byte).await;
    Err(io::ErrorKind::ConnectionReset.into())
}
