//! Connections with other control machines, and whose a new connection is.

use super::*;

/// A control machine whose connection takes nothing for so many seconds is tried on a new one.
const STALLED: f64 = 1.0;

impl Control {
    /// Rung whenever this control machine has opened a connection to here.
    pub(super) fn heard_of(&self, node: NodeId) -> Rc<Notify> {
        self.heard.borrow_mut().entry(node).or_default().clone()
    }

    /// Numbers a connection of that machine; those before are not listened to any more.
    fn newest_connection(&self, node: NodeId) -> u64 {
        let connection = self.next.get() + 1;
        self.next.set(connection);
        self.connections.borrow_mut().insert(node, connection);
        connection
    }

    pub(super) fn link(self: &Rc<Self>, to: Recipient, message: badgerstream_control::PeerMessage) {
        let node = to.node();
        let mut links = self.links.borrow_mut();
        let link = links.entry(node).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(WAITING);
            self.tasks
                .spawn(self.clone().speak(node, receiver))
                .detach();
            sender
        });
        let _ = link.try_send(Frame::Peer { to, message });
    }

    /// Passes messages on to another control machine, for as long as this process runs.
    pub(super) async fn speak(self: Rc<Self>, node: NodeId, messages: Receiver<Frame>) {
        let to = SocketAddr::from((Ipv4Addr::from(node), self.port));
        loop {
            let Ok(first) = messages.recv().await else {
                return;
            };
            let heard = self.heard_of(node);
            let generation = heard.generation();
            let Ok(mut stream) = future::or(
                net::connect_with_timeout(to, frames::CONNECT_TIMEOUT_S, 1.0),
                async {
                    // It has just called: an attempt from before it was up would only be waited for.
                    heard.notified_since(generation).await;
                    Err(io::ErrorKind::Interrupted.into())
                },
            )
            .await
            else {
                let pause = async {
                    Timer::after(Duration::from_millis(60)).await;
                };
                future::or(pause, heard.notified_since(generation)).await;
                // What waited is old by now; beats and values are sent again.
                while messages.len() > 4 {
                    let _ = messages.try_recv();
                }
                continue;
            };
            let hello = frames::write(
                &mut stream,
                &Frame::Handshake {
                    from: self.me,
                    process_incarnation: self.life,
                },
            )
            .await;
            let mut told = if hello.is_ok() {
                frames::write(&mut stream, &first).await
            } else {
                hello
            };
            let met = self.controller.borrow_mut().peer_connected(node);
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
                        frames::write_with_stall_timeout(
                            &mut &stream,
                            &frames::encode(&message),
                            STALLED,
                        )
                        .await
                    }
                    Ok(None) => return,
                    Err(e) => Err(e),
                };
            }
        }
    }

    pub(super) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    net::configure(&stream, 1.5);
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
    pub(super) async fn hear(self: Rc<Self>, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let mut reader = io::BufReader::with_capacity(1024, &*stream);
        let mut peer = None;
        let mut session = None;
        while let Ok(frame) = frames::read(&mut reader).await {
            let now = clock::now();
            match frame {
                Frame::Handshake {
                    from,
                    process_incarnation: life,
                } => {
                    log::debug!("event=peer_connected from={from} life={life:x}");
                    peer = Some((from, self.newest_connection(from.node)));
                    self.controller.borrow_mut().peer_discovered(from.node);
                    self.heard_of(from.node).notify_waiters();
                }
                Frame::Peer { to, message } => {
                    let Some((from, connection)) = peer else {
                        break;
                    };
                    // Whatever comes on a connection from before is from a life that may be over.
                    if self.connections.borrow().get(&from.node) != Some(&connection) {
                        break;
                    }
                    if to.is(self.me) {
                        let out = self
                            .controller
                            .borrow_mut()
                            .handle_peer_message(now, from, message);
                        self.perform(out);
                    }
                }
                Frame::LeaseRequest(call) => {
                    let session = session.get_or_insert_with(|| self.open_session(&stream));
                    let out = self
                        .controller
                        .borrow_mut()
                        .handle_lease_request(now, session.id, call);
                    self.perform(out);
                }
                Frame::RouterUpdate(_) => break,
            }
        }
    }
}
