//! A router's session with control: the lease on primaries, and all news. Whoever still receives something has not lost the
//! leader, however long a frame takes on a slow link.

use crate::frames::{self, Frame};
use crate::view::{Grant, Server, Shared};
use crate::{clock, net};
use async_io::{Async, Timer};
use badgerstream_control::{
    ConfigUpdate, HealthReport, LeaseRequest, MemberInfo, NodeId, PrimaryGrant, RouterMessage, Term,
};
use badgerstream_pooler_config::config::Config;
use futures_lite::{AsyncRead, future, io};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A server that a new leader says nothing of is kept for so many seconds: it may not have heard of it yet.
const UNTOLD: f64 = 6.0;

/// While nobody leads, the first pause before the next machine is asked, and by how much each pause grows, in seconds.
const PAUSE: f64 = 0.04;
const PAUSE_GROWS: f64 = 1.5;
/// Its bound, by the number of routers that ask as well: together they ask this often a second.
const ASKED_A_SECOND: f64 = 1500.0;
/// So many routers are reckoned with before control has told how many there are.
const ROUTERS: usize = 300;

/// A connection that lasted for so many seconds was a session with a leader.
const HELD: f64 = 1.0;

/// So many control machines are remembered besides those who decide.
const MAX_OTHERS: usize = 16;

/// The spans of a session, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// Between two renewals.
    pub renew: f64,
    /// Without an answer for so long, another control machine is tried.
    pub suspect: f64,
}

/// Tells what the data plane saw of the servers of these services, at that second of the steady clock.
type TellEvidence = dyn Fn(&[String], f64) -> Vec<HealthReport>;

/// The session of one router.
pub struct Session {
    router: String,
    life: u64,
    port: u16,
    spans: Spans,
    shared: Shared,
    known: Cell<(Term, u64)>,
    /// Who decides, as the last leader told it; empty before that.
    voters: RefCell<Vec<NodeId>>,
    /// Other control machines that may be there, those heard of last at the end.
    others: RefCell<Vec<NodeId>>,
    /// Servers that the newest leader has not told of, and since when.
    untold: RefCell<HashMap<String, f64>>,
    evidence: Box<TellEvidence>,
    /// The text of the configuration in force, against which changes are told; empty if it has to be told whole.
    config_text: RefCell<Rc<[u8]>>,
    /// Services of whose primaries control wants to be told.
    evidence_wanted: RefCell<Vec<String>>,
}

impl Session {
    /// A router of this name, in a life that was drawn at its start.
    pub fn new(
        router: String,
        life: u64,
        port: u16,
        spans: Spans,
        shared: Shared,
        evidence: impl Fn(&[String], f64) -> Vec<HealthReport> + 'static,
    ) -> Rc<Session> {
        Rc::new(Session {
            router,
            life,
            port,
            spans,
            shared,
            known: Cell::default(),
            voters: RefCell::default(),
            others: RefCell::default(),
            untold: RefCell::default(),
            evidence: Box::new(evidence),
            config_text: RefCell::new(Rc::from([])),
            evidence_wanted: RefCell::default(),
        })
    }

    /// These control machines may be asked, too: the seeds, at the start and whenever the settings change.
    pub fn seeds(&self, seeds: &[SocketAddr]) {
        let address = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        };
        let seeds: Vec<NodeId> = seeds.iter().filter_map(address).collect();
        self.may_ask(&seeds);
    }

    /// These control machines may be asked where those who decide don't answer: the settings name them, or somebody who doesn't
    /// lead has told of them, who may go by machines that are gone.
    fn may_ask(&self, told: &[NodeId]) {
        let mut others = self.others.borrow_mut();
        others.retain(|node| !told.contains(node));
        others.extend(told);
        let too_many = others.len().saturating_sub(MAX_OTHERS);
        others.drain(..too_many);
    }

    /// Whom to ask after so many tries in vain: those who decide in turn, and then all.
    fn next_node(&self, turn: usize, tries: usize) -> Option<NodeId> {
        let voters = self.voters.borrow();
        let others = self.others.borrow();
        let others = others
            .iter()
            .filter(|node| tries >= voters.len() && !voters.contains(node));
        let all: Vec<NodeId> = voters.iter().chain(others).copied().collect();
        all.get(turn % all.len().max(1)).copied()
    }

    /// Holds the session with whoever leads, for as long as the program runs.
    pub async fn run(self: Rc<Self>) {
        let mut hint = None;
        let mut turn = self.life as usize;
        let mut pause = PAUSE;
        // Since a session was held.
        let mut tries = 0;
        loop {
            let node = hint.take().or_else(|| self.next_node(turn, tries));
            turn = turn.wrapping_add(1);
            tries += 1;
            let Some(node) = node else {
                Timer::after(Duration::from_millis(100)).await;
                continue;
            };
            let began = clock::now();
            let ended = self.with(node).await;
            if clock::now() - began > HELD {
                pause = PAUSE;
                tries = 0;
            }
            match ended {
                Ok(leader) => {
                    hint = leader.filter(|l| *l != node);
                    if hint.is_none() {
                        let lot = 0.75 + 0.5 * fastrand::f64();
                        Timer::after(Duration::from_secs_f64(pause * lot)).await;
                        pause = (pause * PAUSE_GROWS).min(self.longest_pause());
                    } else {
                        pause = PAUSE;
                    }
                }
                Err(e) => {
                    log::debug!("event=session_lost node={} error={e}", Ipv4Addr::from(node));
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Between two machines that know of no leader: all routers ask at that time.
    fn longest_pause(&self) -> f64 {
        let routers = match self.shared.view.borrow().routers {
            0 => ROUTERS,
            routers => routers,
        };
        (routers as f64 / ASKED_A_SECOND).max(PAUSE)
    }

    /// One connection, until it breaks or another machine leads.
    async fn with(&self, node: NodeId) -> io::Result<Option<NodeId>> {
        let to = SocketAddr::from((Ipv4Addr::from(node), self.port));
        let stream =
            net::connect_with_timeout(to, frames::CONNECT_TIMEOUT_S, self.spans.suspect * 2.0)
                .await?;
        let (news, told) = async_channel::bounded(64);
        let heard = Cell::new(clock::now());
        let read = async {
            let mut reader = io::BufReader::with_capacity(
                1024,
                Heard {
                    stream: &stream,
                    at: &heard,
                },
            );
            loop {
                let Frame::RouterUpdate(one) = frames::read(&mut reader).await? else {
                    return Err(io::ErrorKind::InvalidData.into());
                };
                if news.send(Rc::unwrap_or_clone(one)).await.is_err() {
                    return Ok(None);
                }
            }
        };
        future::or(read, self.talk(&stream, &told, &heard)).await
    }

    async fn talk(
        &self,
        stream: &Async<TcpStream>,
        told: &async_channel::Receiver<RouterMessage>,
        heard: &Cell<f64>,
    ) -> io::Result<Option<NodeId>> {
        self.renew(stream).await?;
        let mut renewed = clock::now();
        // The oldest call that has no answer yet.
        let mut unanswered = Some(renewed);
        loop {
            let now = clock::now();
            let silent_since = unanswered.map(|asked| asked.max(heard.get()));
            if silent_since.is_some_and(|since| now - since > self.spans.suspect) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let late = silent_since.map_or(f64::INFINITY, |since| since + self.spans.suspect);
            let until = (late.min(renewed + self.spans.renew) - now).max(0.001);
            let one = future::or(async { told.recv().await.ok() }, async {
                Timer::after(Duration::from_secs_f64(until)).await;
                None
            });
            match one.await {
                Some(RouterMessage::NotLeader { leader, voters }) => {
                    self.may_ask(&voters);
                    return Ok(leader);
                }
                Some(news) => {
                    if self.take(news) {
                        unanswered = None;
                    } else {
                        // Nobody asked for it: control waits to hear what is known here.
                        self.renew(stream).await?;
                        renewed = clock::now();
                        unanswered.get_or_insert(renewed);
                    }
                }
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
        let known = self
            .shared
            .view
            .borrow()
            .config
            .as_ref()
            .map_or(0, |c| c.epoch);
        let epoch = if self.config_text.borrow().is_empty() {
            0
        } else {
            known
        };
        let call = LeaseRequest {
            router: self.router.clone(),
            process_incarnation: self.life,
            sent_at: now,
            update_watermark: self.known.get(),
            config_epoch: epoch,
            health_reports: self.wanted_evidence(now),
        };
        let mut writer = stream;
        net::with_timeout(
            self.spans.suspect,
            frames::write(&mut writer, &Frame::LeaseRequest(call)),
        )
        .await
    }

    /// The configuration that control tells, against the text that is held. What can't be read is asked for whole.
    fn read_config(&self, news: &ConfigUpdate) -> Option<Config> {
        let text = news.resolve(&self.config_text.borrow());
        let config = text.as_ref().and_then(|text| Config::read(text).ok());
        if config.is_none() {
            log::warn!("event=config_not_read");
        }
        *self.config_text.borrow_mut() = text
            .filter(|_| config.is_some())
            .unwrap_or_else(|| Rc::from([]));
        config
    }

    /// What is known of the servers that control asked about.
    fn wanted_evidence(&self, now: f64) -> Vec<HealthReport> {
        let wanted = self.evidence_wanted.borrow();
        if wanted.is_empty() {
            return Vec::new();
        }
        (self.evidence)(&wanted, now)
    }

    /// Takes news into the view; true if it answers a call of ours.
    fn take(&self, news: RouterMessage) -> bool {
        let RouterMessage::Update {
            update_watermark: known,
            request_sent_at: sent,
            lease_duration: lease,
            is_snapshot: whole,
            grants,
            members,
            config,
            voters,
            router_count: routers,
            health_reports_wanted: evidence_wanted,
        } = news
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
            let old: Vec<(String, Grant)> =
                view.grants.drain().filter(|(_, g)| !g.closing).collect();
            view.fading.retain(|_, (_, until)| now < *until);
            if now < until {
                view.fading.extend(
                    old.into_iter()
                        .map(|(service, grant)| (service, (grant, until))),
                );
            }
            // The lease of the leader before goes on only for what it granted.
            view.lease_until = f64::NEG_INFINITY;
            *self.untold.borrow_mut() = view.servers.keys().map(|id| (id.clone(), now)).collect();
            changed = true;
        }
        for PrimaryGrant {
            service,
            server_id: id,
            primary_term: term,
            revoking: closing,
        } in grants
        {
            // Under the old lease the same primary may be used until the new one is there.
            let same = view
                .fading
                .get(&service)
                .is_some_and(|(old, _)| old.id == id && old.term == term);
            if closing || !same {
                view.fading.remove(&service);
            }
            view.grants.insert(service, Grant { id, term, closing });
        }
        for member in members {
            self.untold.borrow_mut().remove(&member.id);
            if member.departed {
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
        if let Some(config) = config.and_then(|news| self.read_config(&news))
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
        // An answer may tell less than is known by now: news that came before it was on its way then.
        self.known.set(self.known.get().max(known));
        if routers > 0 {
            view.routers = routers as usize;
        }
        if !voters.is_empty() {
            *self.voters.borrow_mut() = voters;
        }
        if changed {
            view.changes += 1;
            drop(view);
            self.shared.changed.notify_waiters();
        }
        *self.evidence_wanted.borrow_mut() = evidence_wanted;
        sent.is_some()
    }
}

/// A connection, and when something came on it last.
struct Heard<'a> {
    stream: &'a Async<TcpStream>,
    at: &'a Cell<f64>,
}

impl AsyncRead for Heard<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, bytes);
        if read.is_ready() {
            self.at.set(clock::now());
        }
        read
    }
}

fn read_member(member: MemberInfo) -> Option<Server> {
    let endpoint = member.endpoint.parse().ok()?;
    let MemberInfo {
        id,
        service,
        zone,
        slots,
        draining,
        ..
    } = member;
    Some(Server {
        id,
        service,
        endpoint,
        zone,
        slots,
        draining,
    })
}
