//! A router's session with control: the lease on primaries, and all news.

use crate::frames::{self, Frame};
use crate::view::{Grant, Server, Shared};
use crate::{clock, frames::within};
use async_io::{Async, Timer};
use badgerstream_calls::config::Config;
use badgerstream_control::{Ballot, Evidence, GrantNews, MemberNews, Node, ToControl, ToRouter};
use futures_lite::{future, io};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A server that a new leader says nothing of is kept for so many seconds: it may not have heard of it yet.
const UNTOLD: f64 = 6.0;

/// The spans of a session, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// Between two renewals.
    pub renew: f64,
    /// Without an answer for so long, another control machine is tried.
    pub suspect: f64,
}

/// The session of one router.
pub struct Session {
    router: String,
    life: u64,
    port: u16,
    spans: Spans,
    shared: Shared,
    known: Cell<(Ballot, u64)>,
    nodes: RefCell<Vec<Node>>,
    /// Servers that the newest leader has not told of, and since when.
    untold: RefCell<HashMap<String, f64>>,
    evidence: Box<dyn Fn(f64) -> Vec<Evidence>>,
}

impl Session {
    /// A router of this name, in a life that was drawn at its start.
    pub fn new(
        router: String, life: u64, port: u16, spans: Spans, shared: Shared,
        evidence: impl Fn(f64) -> Vec<Evidence> + 'static,
    ) -> Rc<Session> {
        Rc::new(Session {
            router,
            life,
            port,
            spans,
            shared,
            known: Cell::default(),
            nodes: RefCell::default(),
            untold: RefCell::default(),
            evidence: Box::new(evidence),
        })
    }

    /// These control machines may be asked, too: the seeds, at the start and whenever the settings change.
    pub fn seeds(&self, seeds: &[SocketAddr]) {
        let mut nodes = self.nodes.borrow_mut();
        for seed in seeds {
            if let std::net::IpAddr::V4(ip) = seed.ip()
                && !nodes.contains(&u32::from(ip))
            {
                nodes.push(u32::from(ip));
            }
        }
    }

    /// Holds the session with whoever leads, for as long as the program runs.
    pub async fn run(self: Rc<Self>) {
        let mut hint = None;
        let mut turn = self.life as usize;
        loop {
            let nodes = self.nodes.borrow().clone();
            let node = hint.take().or_else(|| nodes.get(turn % nodes.len().max(1)).copied());
            turn = turn.wrapping_add(1);
            let Some(node) = node else {
                Timer::after(Duration::from_millis(100)).await;
                continue;
            };
            match self.with(node).await {
                Ok(leader) => {
                    hint = leader.filter(|l| *l != node);
                    if hint.is_none() {
                        Timer::after(Duration::from_millis(40)).await;
                    }
                }
                Err(e) => {
                    log::debug!("event=session_lost node={} error={e}", Ipv4Addr::from(node));
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// One connection, until it breaks or another machine leads.
    async fn with(&self, node: Node) -> io::Result<Option<Node>> {
        let to = SocketAddr::from((Ipv4Addr::from(node), self.port));
        let stream = frames::connect(to, frames::CONNECT, self.spans.suspect * 2.0).await?;
        let (news, told) = async_channel::bounded(64);
        let read = async {
            let mut reader = io::BufReader::with_capacity(1024, &stream);
            loop {
                match frames::read(&mut reader).await {
                    Ok(Frame::News(one)) => {
                        if news.send(Ok(one)).await.is_err() {
                            return Ok(None);
                        }
                    }
                    Ok(_) => return Err(io::ErrorKind::InvalidData.into()),
                    Err(e) => return Err(e),
                }
            }
        };
        future::or(read, self.talk(&stream, &told)).await
    }

    async fn talk(
        &self, stream: &Async<TcpStream>, told: &async_channel::Receiver<io::Result<ToRouter>>,
    ) -> io::Result<Option<Node>> {
        self.renew(stream).await?;
        let mut renewed = clock::now();
        // The oldest call that has no answer yet.
        let mut unanswered = Some(renewed);
        loop {
            let now = clock::now();
            if unanswered.is_some_and(|asked| now - asked > self.spans.suspect) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let late = unanswered.map_or(f64::INFINITY, |asked| asked + self.spans.suspect);
            let until = (late.min(renewed + self.spans.renew) - now).max(0.001);
            let one = future::or(async { told.recv().await.ok() }, async {
                Timer::after(Duration::from_secs_f64(until)).await;
                None
            });
            match one.await {
                Some(Ok(ToRouter::Elsewhere { leader, voters })) => {
                    *self.nodes.borrow_mut() = voters;
                    return Ok(leader);
                }
                Some(Ok(news)) => {
                    let asked = self.take(news);
                    if asked {
                        unanswered = None;
                    } else {
                        // News that nobody asked for: control waits to hear that it is known here.
                        self.renew(stream).await?;
                        renewed = clock::now();
                        unanswered.get_or_insert(renewed);
                    }
                }
                Some(Err(e)) => return Err(e),
                None => {
                    if clock::now() - renewed >= self.spans.renew {
                        self.renew(stream).await?;
                        renewed = clock::now();
                        unanswered.get_or_insert(renewed);
                    }
                }
            }
        }
    }

    async fn renew(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        let now = clock::now();
        let epoch = self.shared.view.borrow().config.as_ref().map_or(0, |c| c.epoch);
        let call = ToControl {
            router: self.router.clone(),
            life: self.life,
            sent: now,
            known: self.known.get(),
            epoch,
            evidence: (self.evidence)(now),
        };
        let mut writer = stream;
        within(self.spans.suspect, frames::write(&mut writer, &Frame::Renew(call))).await
    }

    /// Takes news into the view; true if it answers a call of ours.
    fn take(&self, news: ToRouter) -> bool {
        let ToRouter::News { known, sent, lease, whole, grants, members, config, voters, routers } = news
        else {
            return false;
        };
        let now = clock::now();
        let mut view = self.shared.view.borrow_mut();
        let mut changed = !grants.is_empty() || !members.is_empty();
        if known.0 < self.known.get().0 {
            // A leader that is no longer one: a newer one has spoken.
            return sent.is_some();
        }
        if whole {
            let until = view.lease_until;
            let old: Vec<(String, Grant)> = view.grants.drain().filter(|(_, g)| !g.closing).collect();
            view.fading = old.into_iter().map(|(service, grant)| (service, (grant, until))).collect();
            // The lease of the leader before goes on only for what it granted.
            view.lease_until = f64::NEG_INFINITY;
            *self.untold.borrow_mut() = view.servers.keys().map(|id| (id.clone(), now)).collect();
            changed = true;
        }
        for GrantNews { service, id, term, closing } in grants {
            view.fading.remove(&service);
            view.grants.insert(service, Grant { id, term, closing });
        }
        for member in members {
            self.untold.borrow_mut().remove(&member.id);
            if member.gone {
                view.servers.remove(&member.id);
            } else if let Some(server) = read_member(member) {
                view.servers.insert(server.id.clone(), server);
            }
        }
        self.untold.borrow_mut().retain(|id, since| {
            let kept = now - *since < UNTOLD;
            if !kept {
                view.servers.remove(id);
                changed = true;
            }
            kept
        });
        if let Some(body) = config
            && let Ok(config) = Config::read(&body)
            && view.config.as_ref().is_none_or(|c| c.epoch < config.epoch)
        {
            log::info!("event=config_in_force epoch={}", config.epoch);
            view.config = Some(Rc::new(config));
            changed = true;
        }
        if let Some(sent) = sent
            && lease > 0.0
        {
            // Leases that had run out and are back wake those that wait for one.
            changed |= view.lease_until < now;
            view.lease_until = view.lease_until.max(sent + lease);
        }
        self.known.set(known);
        if routers > 0 {
            view.routers = routers as usize;
        }
        if !voters.is_empty() {
            *self.nodes.borrow_mut() = voters;
        }
        if changed {
            view.changes += 1;
            drop(view);
            self.shared.changed.notify_waiters();
        }
        sent.is_some()
    }
}

fn read_member(member: MemberNews) -> Option<Server> {
    let endpoint = member.endpoint.parse().ok()?;
    let MemberNews { id, service, zone, slots, draining, .. } = member;
    Some(Server { id, service, endpoint, zone, slots, draining })
}
