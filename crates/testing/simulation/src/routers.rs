//! Routers: their leases, grants and traffic.

use crate::operators::epoch_of;
use crate::servers::{Health, SERVICE};
use crate::simulation::{Event, Simulation};
use badgerstream_control::{
    ConfigUpdate, HealthReport, LeaseRequest, NodeId, PrimaryGrant, RouterMessage, Term,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Clone, Debug)]
struct RouterConnection {
    node: NodeId,
    process_incarnation: u64,
    id: u64,
    /// When the newest message on it arrives: they stay in order.
    last_arrival: f64,
}

/// A router.
#[derive(Clone)]
pub struct Router {
    pub name: String,
    process_incarnation: u64,
    pub frozen: bool,
    pub(crate) clock_offset: f64,
    connection: Option<RouterConnection>,
    next_node: usize,
    leader_hint: Option<NodeId>,
    requested_at: f64,
    answered_at: f64,
    update_watermark: (Term, u64),
    grants: HashMap<String, PrimaryGrant>,
    pub lease_until: f64,
    previous_grants: HashMap<String, (PrimaryGrant, f64)>,
    /// The configuration that it holds; empty if it holds none.
    config: Rc<[u8]>,
    /// The highest epoch that was in force in this life; 0 before the first.
    pub active_config_epoch: u64,
    /// The control machines that it knows.
    control_nodes: Vec<NodeId>,
    /// When each server last answered it anything, by its own clock.
    pub(crate) last_answers: BTreeMap<String, f64>,
    pub(crate) inbox: Vec<Event>,
}

impl Router {
    /// The text that it goes by once it was told this. What it can make nothing of it asks for whole.
    fn resolve_config(&mut self, news: &ConfigUpdate) -> Rc<[u8]> {
        self.config = news.resolve(&self.config).unwrap_or_else(|| Rc::from([]));
        self.config.clone()
    }

    /// The server that it may use as primary at that second of its own clock.
    pub(crate) fn usable_primary(&self, clock: f64) -> Option<&PrimaryGrant> {
        match self.grants.get(SERVICE) {
            Some(grant) => (clock < self.lease_until && !grant.revoking).then_some(grant),
            None => self
                .previous_grants
                .get(SERVICE)
                .filter(|(_, until)| clock < *until)
                .map(|(grant, _)| grant),
        }
    }
}

impl Router {
    /// The process at the other end of its connection is gone.
    pub(crate) fn forget_connection(&mut self, node: NodeId) {
        if self
            .connection
            .as_ref()
            .is_some_and(|conn| conn.node == node)
        {
            self.connection = None;
        }
    }
}

impl Simulation {
    /// What a control machine says on this connection.
    pub(crate) fn send_to_router(&mut self, node: NodeId, conn: u64, message: RouterMessage) {
        let way = self.message_delay();
        let life = self.machines[&node].process_incarnation;
        let found = self.routers.iter().position(|r| {
            r.connection
                .as_ref()
                .is_some_and(|c| c.id == conn && c.node == node && c.process_incarnation == life)
        });
        let Some(router) = found.filter(|router| !self.cut_from_routers.contains(&(node, *router)))
        else {
            return;
        };
        let now = self.now;
        let Some(connection) = self.routers[router].connection.as_mut() else {
            return;
        };
        connection.last_arrival = (now + way).max(connection.last_arrival + 1e-5);
        let after = connection.last_arrival - now;
        self.schedule(
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
            process_incarnation: 100 + at as u64,
            frozen: false,
            clock_offset: 7777.0 * (at + 1) as f64,
            connection: None,
            next_node: at,
            leader_hint: None,
            requested_at: 0.0,
            answered_at: 0.0,
            update_watermark: (Term(0), 0),
            grants: HashMap::new(),
            lease_until: f64::NEG_INFINITY,
            previous_grants: HashMap::new(),
            config: Rc::from([]),
            active_config_epoch: 0,
            control_nodes: self.seed_nodes.clone(),
            last_answers: BTreeMap::new(),
            inbox: Vec::new(),
        });
        self.schedule(0.001, Event::RouterTick(at));
        self.schedule(0.003, Event::Statement(at));
    }

    pub(crate) fn send_statement(&mut self, router: usize) {
        let it = &self.routers[router];
        if it.frozen || !self.statements_enabled {
            return;
        }
        self.read_at_replicas(router);
        let it = &self.routers[router];
        let Some(grant) = it.usable_primary(self.now + it.clock_offset) else {
            return;
        };
        let server = grant.server_id.clone();
        let (seen, sent) = (self.acknowledged_commits.len(), self.now);
        let write = self.draw(3) == 0;
        let way = self.message_delay();
        self.schedule(
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
            .filter(|server| server.health == Health::Up && !server.is_primary);
        let up: Vec<String> = up.map(|server| server.id.clone()).collect();
        for server in up {
            self.schedule(
                2.0 * self.message_delay_s,
                Event::Answered { router, server },
            );
        }
    }

    pub(crate) fn statement_arrived(
        &mut self,
        router: usize,
        id: &str,
        write: bool,
        seen: usize,
        sent: f64,
    ) {
        let way = self.message_delay();
        let commit = self.last_commit + 1;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.health != Health::Up {
            return;
        }
        if write {
            if server.is_primary {
                self.last_commit = commit;
                server.log.push((server.primary_term, commit));
            }
        } else {
            // What lies further back was looked for by the reads before.
            let lacks = |c: &&u64| server.log.binary_search_by_key(*c, |e| e.1).is_err();
            let missed = self.acknowledged_commits[seen.saturating_sub(60)..seen]
                .iter()
                .filter(lacks)
                .count();
            assert!(
                missed == 0,
                "{}: a read of {sent} at {id} lacks {missed} commits",
                self.now
            );
        }
        self.schedule(
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
        let now = self.now + it.clock_offset;
        if let Some(conn) = &it.connection {
            let broken = self.machines[&conn.node].process_incarnation != conn.process_incarnation;
            if broken || now - it.answered_at > 0.6 && it.requested_at > it.answered_at {
                it.connection = None;
            } else if now - it.requested_at >= 0.3 {
                self.request_lease(router);
            }
            return;
        }
        let node = it
            .leader_hint
            .take()
            .unwrap_or(it.control_nodes[it.next_node % it.control_nodes.len()]);
        it.next_node += 1;
        let control = &self.machines[&node];
        if control.health == Health::Up && !self.cut_from_routers.contains(&(node, router)) {
            self.last_router_connection += 1;
            it.connection = Some(RouterConnection {
                node,
                process_incarnation: control.process_incarnation,
                id: self.last_router_connection,
                last_arrival: self.now,
            });
            it.answered_at = now;
            self.request_lease(router);
        }
    }

    pub(crate) fn request_lease(&mut self, router: usize) {
        let way = self.message_delay();
        let it = &mut self.routers[router];
        let now = self.now + it.clock_offset;
        it.requested_at = now;
        let evidence = it.last_answers.iter().map(|(id, at)| HealthReport {
            service: SERVICE.to_owned(),
            server_id: id.clone(),
            answered_seconds_ago: now - at,
        });
        let call = LeaseRequest {
            router: it.name.clone(),
            process_incarnation: it.process_incarnation,
            sent_at: now,
            update_watermark: it.update_watermark,
            config_epoch: epoch_of(&it.config),
            health_reports: evidence.collect(),
        };
        let Some(conn) = &mut it.connection else {
            return;
        };
        conn.last_arrival = (self.now + way).max(conn.last_arrival + 1e-5);
        let after = conn.last_arrival - self.now;
        let event = Event::Renew {
            node: conn.node,
            life: conn.process_incarnation,
            conn: conn.id,
            router,
            call,
        };
        self.schedule(after, event);
    }

    pub(crate) fn router_message_arrived(
        &mut self,
        router: usize,
        conn: u64,
        message: RouterMessage,
    ) {
        let it = &mut self.routers[router];
        if it.connection.as_ref().is_none_or(|c| c.id != conn) {
            return;
        }
        let now = self.now + it.clock_offset;
        let (known, sent, lease, whole, grants, config, voters) = match message {
            RouterMessage::NotLeader { leader, voters } => {
                let node = it.connection.take().map(|c| c.node);
                it.leader_hint = leader.filter(|l| Some(*l) != node);
                let told: Vec<NodeId> = voters
                    .into_iter()
                    .filter(|node| !it.control_nodes.contains(node))
                    .collect();
                it.control_nodes.extend(told);
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
        if known.0 >= it.update_watermark.0 {
            if !voters.is_empty() {
                it.control_nodes = voters;
            }
            told = config.map(|news| it.resolve_config(&news));
            if whole {
                let until = it.lease_until;
                let old = it.grants.drain().filter(|(_, g)| !g.revoking);
                it.previous_grants = old
                    .map(|(service, grant)| (service, (grant, until)))
                    .collect();
                it.lease_until = f64::NEG_INFINITY;
            }
            for grant in grants {
                it.previous_grants.remove(&grant.service);
                it.grants.insert(grant.service.clone(), grant);
            }
            if let Some(sent) = sent
                && lease > 0.0
            {
                it.lease_until = it.lease_until.max(sent + lease);
            }
            it.update_watermark = known;
        }
        if sent.is_some() {
            it.answered_at = now;
        }
        if let Some(text) = told {
            self.activate_config(router, &text);
        }
        if sent.is_none() {
            self.request_lease(router);
        }
    }

    /// A router goes by this configuration if it is newer than the one before.
    fn activate_config(&mut self, router: usize, text: &[u8]) {
        let epoch = epoch_of(text);
        if epoch > self.routers[router].active_config_epoch {
            self.check_active_config(router, epoch, text);
            self.routers[router].active_config_epoch = epoch;
        }
    }

    /// The primary that all routers may use, if it leads.
    pub fn primary_in_use(&self) -> Option<String> {
        let mut used = None;
        for router in self.routers.iter().filter(|r| !r.frozen) {
            let grant = router.usable_primary(self.now + router.clock_offset)?;
            if used.as_ref().is_some_and(|u| *u != grant.server_id) {
                return None;
            }
            used = Some(grant.server_id.clone());
        }
        used.filter(|id| {
            self.servers
                .get(id)
                .is_some_and(|s| s.is_primary && s.health == Health::Up)
        })
    }

    /// Writes are acknowledged again: one was within the last 0.4 s.
    pub fn acknowledges_writes(&self) -> bool {
        self.acknowledgement_times
            .last()
            .is_some_and(|at| self.now - at < 0.4)
    }
}
