//! Connections with other control machines, and whose a new connection is.

use super::*;

impl Control {
    /// Rung whenever this control machine has opened a connection to here.
    pub(super) fn heard_of(&self, node: Node) -> Rc<Bell> {
        self.heard.borrow_mut().entry(node).or_default().clone()
    }

    pub(super) fn link(self: &Rc<Self>, node: Node, message: PeerMessage) {
        let mut links = self.links.borrow_mut();
        let link = links.entry(node).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(WAITING);
            self.tasks.spawn(self.clone().speak(node, receiver)).detach();
            sender
        });
        let _ = link.try_send(message);
    }

    /// Passes messages on to another control machine, for as long as this process runs.
    pub(super) async fn speak(self: Rc<Self>, node: Node, messages: Receiver<PeerMessage>) {
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
            let met = self.controller.borrow_mut().met(node);
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

    pub(super) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
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
    pub(super) async fn hear(self: Rc<Self>, stream: Async<TcpStream>) {
        let stream = Rc::new(stream);
        let mut reader = io::BufReader::with_capacity(1024, &*stream);
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
                    let out = self.controller.borrow_mut().peer(now, from, message);
                    self.perform(out);
                }
                Frame::Renew(call) => {
                    let session = session.get_or_insert_with(|| self.open_session(&stream));
                    let out = self.controller.borrow_mut().router(now, session.id, call);
                    self.perform(out);
                }
                Frame::News(_) => break,
            }
        }
    }
}
