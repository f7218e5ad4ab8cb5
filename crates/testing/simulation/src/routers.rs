//! Routers: their leases, grants and traffic.

use crate::operators::epoch_of;
use crate::servers::{Health, SERVICE};
use crate::world::{Event, World};
use badgerstream_control::{
    ConfigUpdate, HealthReport, LeaseRequest, NodeId, PrimaryGrant, RouterMessage, Term,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Clone, Debug)]
struct Conn {
    node: NodeId,
    life: u64,
    id: u64,
    /// When the newest message on it arrives: they stay in order.
    last: f64,
}

/// A router.
#[derive(Clone)]
pub struct Router {
    pub name: String,
    life: u64,
    pub frozen: bool,
    pub(crate) offset: f64,
    conn: Option<Conn>,
    turn: usize,
    hint: Option<NodeId>,
    renewed: f64,
    answered: f64,
    known: (Term, u64),
    grants: HashMap<String, PrimaryGrant>,
    pub lease_until: f64,
    fading: HashMap<String, (PrimaryGrant, f64)>,
    /// The configuration that it holds; empty if it holds none.
    config: Rc<[u8]>,
    /// The highest epoch that was in force in this life; 0 before the first.
    pub in_force: u64,
    /// The control machines that it knows.
    nodes: Vec<NodeId>,
    /// When each server last answered it anything, by its own clock.
    pub(crate) evidence: BTreeMap<String, f64>,
    pub(crate) inbox: Vec<Event>,
}

impl Router {
    /// The text that it goes by once it was told this. What it can make nothing of it asks for whole.
    fn read_config(&mut self, news: &ConfigUpdate) -> Rc<[u8]> {
        self.config = news.resolve(&self.config).unwrap_or_else(|| Rc::from([]));
        self.config.clone()
    }

    /// The server that it may use as primary at that second of its own clock.
    pub(crate) fn primary(&self, clock: f64) -> Option<&PrimaryGrant> {
        match self.grants.get(SERVICE) {
            Some(grant) => (clock < self.lease_until && !grant.revoking).then_some(grant),
            None => self
                .fading
                .get(SERVICE)
                .filter(|(_, until)| clock < *until)
                .map(|(grant, _)| grant),
        }
    }
}

impl Router {
    /// The process at the other end of its connection is gone.
    pub(crate) fn forget_connection(&mut self, node: NodeId) {
        if self.conn.as_ref().is_some_and(|conn| conn.node == node) {
            self.conn = None;
        }
    }
}

impl World {
    /// What a control machine says on this connection.
    pub(crate) fn send_news(&mut self, node: NodeId, conn: u64, message: RouterMessage) {
        let way = self.way();
        let life = self.controls[&node].life;
        let found = self.routers.iter().position(|r| {
            r.conn
                .as_ref()
                .is_some_and(|c| c.id == conn && c.node == node && c.life == life)
        });
        let Some(router) = found.filter(|router| !self.apart.contains(&(node, *router))) else {
            return;
        };
        let now = self.now;
        let Some(connection) = self.routers[router].conn.as_mut() else {
            return;
        };
        connection.last = (now + way).max(connection.last + 1e-5);
        let after = connection.last - now;
        self.put(
            after,
            Event::News {
                router,
                conn,
                message,
            },
        );
    }

    /// Adds a router.
    pub fn add_router(&mut self, at: usize) {
        self.routers.push(Router {
            name: format!("r{at}"),
            life: 100 + at as u64,
            frozen: false,
            offset: 7777.0 * (at + 1) as f64,
            conn: None,
            turn: at,
            hint: None,
            renewed: 0.0,
            answered: 0.0,
            known: (Term(0), 0),
            grants: HashMap::new(),
            lease_until: f64::NEG_INFINITY,
            fading: HashMap::new(),
            config: Rc::from([]),
            in_force: 0,
            nodes: self.seeds.clone(),
            evidence: BTreeMap::new(),
            inbox: Vec::new(),
        });
        self.put(0.001, Event::RouterTick(at));
        self.put(0.003, Event::Statement(at));
    }

    pub(crate) fn statement(&mut self, router: usize) {
        let it = &self.routers[router];
        if it.frozen || !self.traffic {
            return;
        }
        self.read_at_replicas(router);
        let it = &self.routers[router];
        let Some(grant) = it.primary(self.now + it.offset) else {
            return;
        };
        let server = grant.server_id.clone();
        let (seen, sent) = (self.acked.len(), self.now);
        let write = self.draw(3) == 0;
        let way = self.way();
        self.put(
            way,
            Event::At {
                router,
                server,
                write,
                seen,
                sent,
            },
        );
    }

    /// Reads at all replicas that are up, of which only counts that they are answered.
    fn read_at_replicas(&mut self, router: usize) {
        let up = self
            .servers
            .values()
            .filter(|server| server.health == Health::Up && !server.leader);
        let up: Vec<String> = up.map(|server| server.id.clone()).collect();
        for server in up {
            self.put(2.0 * self.delay, Event::Answered { router, server });
        }
    }

    pub(crate) fn at(&mut self, router: usize, id: &str, write: bool, seen: usize, sent: f64) {
        let way = self.way();
        let commit = self.next_commit + 1;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.health != Health::Up {
            return;
        }
        if write {
            if server.leader {
                self.next_commit = commit;
                server.log.push((server.term, commit));
            }
        } else {
            // What lies further back was looked for by the reads before.
            let lacks = |c: &&u64| server.log.binary_search_by_key(*c, |e| e.1).is_err();
            let missed = self.acked[seen.saturating_sub(60)..seen]
                .iter()
                .filter(lacks)
                .count();
            assert!(
                missed == 0,
                "{}: a read of {sent} at {id} lacks {missed} commits",
                self.now
            );
        }
        self.put(
            way,
            Event::Answered {
                router,
                server: id.to_owned(),
            },
        );
    }

    pub fn freeze_router(&mut self, router: usize) {
        self.routers[router].frozen = true;
    }

    pub fn thaw_router(&mut self, router: usize) {
        self.routers[router].frozen = false;
        for event in std::mem::take(&mut self.routers[router].inbox) {
            self.handle(event);
        }
    }

    pub(crate) fn router_tick(&mut self, router: usize) {
        let it = &mut self.routers[router];
        if it.frozen {
            return;
        }
        let now = self.now + it.offset;
        if let Some(conn) = &it.conn {
            let broken = self.controls[&conn.node].life != conn.life;
            if broken || now - it.answered > 0.6 && it.renewed > it.answered {
                it.conn = None;
            } else if now - it.renewed >= 0.3 {
                self.renew(router);
            }
            return;
        }
        let node = it.hint.take().unwrap_or(it.nodes[it.turn % it.nodes.len()]);
        it.turn += 1;
        let control = &self.controls[&node];
        if control.health == Health::Up && !self.apart.contains(&(node, router)) {
            self.connections += 1;
            it.conn = Some(Conn {
                node,
                life: control.life,
                id: self.connections,
                last: self.now,
            });
            it.answered = now;
            self.renew(router);
        }
    }

    pub(crate) fn renew(&mut self, router: usize) {
        let way = self.way();
        let it = &mut self.routers[router];
        let now = self.now + it.offset;
        it.renewed = now;
        let evidence = it.evidence.iter().map(|(id, at)| HealthReport {
            service: SERVICE.to_owned(),
            server_id: id.clone(),
            answered_seconds_ago: now - at,
        });
        let call = LeaseRequest {
            router: it.name.clone(),
            process_incarnation: it.life,
            sent_at: now,
            update_watermark: it.known,
            config_epoch: epoch_of(&it.config),
            health_reports: evidence.collect(),
        };
        let Some(conn) = &mut it.conn else { return };
        conn.last = (self.now + way).max(conn.last + 1e-5);
        let after = conn.last - self.now;
        let event = Event::Renew {
            node: conn.node,
            life: conn.life,
            conn: conn.id,
            router,
            call,
        };
        self.put(after, event);
    }

    pub(crate) fn news(&mut self, router: usize, conn: u64, message: RouterMessage) {
        let it = &mut self.routers[router];
        if it.conn.as_ref().is_none_or(|c| c.id != conn) {
            return;
        }
        let now = self.now + it.offset;
        let (known, sent, lease, whole, grants, config, voters) = match message {
            RouterMessage::NotLeader { leader, voters } => {
                let node = it.conn.take().map(|c| c.node);
                it.hint = leader.filter(|l| Some(*l) != node);
                let told: Vec<NodeId> = voters
                    .into_iter()
                    .filter(|node| !it.nodes.contains(node))
                    .collect();
                it.nodes.extend(told);
                return;
            }
            RouterMessage::Update {
                update_watermark: known,
                request_sent_at: sent,
                lease_duration: lease,
                is_snapshot: whole,
                grants,
                config,
                voters,
                ..
            } => (known, sent, lease, whole, grants, config, voters),
        };
        let mut told = None;
        if known.0 >= it.known.0 {
            if !voters.is_empty() {
                it.nodes = voters;
            }
            told = config.map(|news| it.read_config(&news));
            if whole {
                let until = it.lease_until;
                let old = it.grants.drain().filter(|(_, g)| !g.revoking);
                it.fading = old
                    .map(|(service, grant)| (service, (grant, until)))
                    .collect();
                it.lease_until = f64::NEG_INFINITY;
            }
            for grant in grants {
                it.fading.remove(&grant.service);
                it.grants.insert(grant.service.clone(), grant);
            }
            if let Some(sent) = sent
                && lease > 0.0
            {
                it.lease_until = it.lease_until.max(sent + lease);
            }
            it.known = known;
        }
        if sent.is_some() {
            it.answered = now;
        }
        if let Some(text) = told {
            self.put_in_force(router, &text);
        }
        if sent.is_none() {
            self.renew(router);
        }
    }

    /// A router goes by this configuration if it is newer than the one before.
    fn put_in_force(&mut self, router: usize, text: &[u8]) {
        let epoch = epoch_of(text);
        if epoch > self.routers[router].in_force {
            self.judge_in_force(router, epoch, text);
            self.routers[router].in_force = epoch;
        }
    }

    /// The primary that all routers may use, if it leads.
    pub fn in_use(&self) -> Option<String> {
        let mut used = None;
        for router in self.routers.iter().filter(|r| !r.frozen) {
            let grant = router.primary(self.now + router.offset)?;
            if used.as_ref().is_some_and(|u| *u != grant.server_id) {
                return None;
            }
            used = Some(grant.server_id.clone());
        }
        used.filter(|id| {
            self.servers
                .get(id)
                .is_some_and(|s| s.leader && s.health == Health::Up)
        })
    }

    /// Writes are acknowledged again: one was within the last 0.4 s.
    pub fn writes(&self) -> bool {
        self.served.last().is_some_and(|at| self.now - at < 0.4)
    }
}
