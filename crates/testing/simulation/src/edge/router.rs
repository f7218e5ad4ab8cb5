//! One router: what it knows of the control machines' updates.

use crate::event::{Process, RouterEvent};
use crate::operators::config_epoch;
use crate::service::SERVICE;
use badgerstream_control::{
    ConfigUpdate, HealthReport, LeaseRequest, NodeId, PrimaryGrant, RouterMessage, Term,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// By how much the clock of each router is ahead of that of the router before it, in seconds.
const CLOCK_OFFSET_STEP_S: f64 = 7777.0;

/// The incarnation of the first router's process.
const FIRST_INCARNATION: u64 = 100;

/// The least time between two arrivals on a connection, in seconds.
const ARRIVAL_SPACING_S: f64 = 1e-5;

/// A router's connection to a control machine.
#[derive(Clone, Debug)]
pub(super) struct RouterConnection {
    /// The process at the other end.
    pub(super) process: Process,
    /// Its number.
    pub(super) id: u64,
    /// When the newest message on it arrives: they stay in order.
    last_arrival: f64,
}

impl RouterConnection {
    pub(super) fn new(process: Process, id: u64, now: f64) -> RouterConnection {
        RouterConnection {
            process,
            id,
            last_arrival: now,
        }
    }

    /// When a message that is sent now with this delay arrives.
    pub(super) fn arrival_time(&mut self, now: f64, delay: f64) -> f64 {
        self.last_arrival = (now + delay).max(self.last_arrival + ARRIVAL_SPACING_S);
        self.last_arrival
    }
}

/// A grant of an earlier leader, usable until its lease ends.
#[derive(Clone, Debug)]
struct ExpiringGrant {
    grant: PrimaryGrant,
    lease_until: f64,
}

/// One router. All times are seconds of its own clock.
#[derive(Clone)]
pub struct Router {
    /// Its name.
    pub name: String,
    process_incarnation: u64,
    /// Its process is stopped, as by SIGSTOP.
    pub frozen: bool,
    /// Its clock is ahead of simulated time by so many seconds.
    pub clock_offset: f64,
    pub(super) connection: Option<RouterConnection>,
    /// The index of the control machine to try next, counted on without end.
    next_node: usize,
    leader_hint: Option<NodeId>,
    pub(super) requested_at: f64,
    pub(super) answered_at: f64,
    update_watermark: (Term, u64),
    grants: HashMap<String, PrimaryGrant>,
    /// When its lease ends.
    pub lease_until: f64,
    previous_grants: HashMap<String, ExpiringGrant>,
    /// The configuration that it holds; empty if it holds none.
    config: Rc<[u8]>,
    /// The highest configuration epoch that was active in this process; 0 before the first.
    pub active_config_epoch: u64,
    /// The control machines that it knows.
    control_nodes: Vec<NodeId>,
    /// When each server last answered it.
    pub(super) last_answers: BTreeMap<String, f64>,
    /// Messages that arrived while it was frozen.
    pub(super) inbox: Vec<RouterEvent>,
}

/// What the router has to do after a message of a control machine.
#[derive(Default)]
pub(super) struct UpdateEffect {
    /// It holds this configuration now.
    pub(super) config: Option<Rc<[u8]>>,
    /// The update was no response: the router acknowledges it with a lease request.
    pub(super) must_acknowledge: bool,
}

/// The body of [`RouterMessage::Update`], as far as the simulation reads it.
struct Update {
    watermark: (Term, u64),
    request_sent_at: Option<f64>,
    lease_duration: f64,
    is_snapshot: bool,
    grants: Vec<PrimaryGrant>,
    config: Option<ConfigUpdate>,
    voters: Vec<NodeId>,
}

impl Router {
    /// A router of this index, which knows these control machines.
    pub(super) fn new(index: usize, control_nodes: Vec<NodeId>) -> Router {
        Router {
            name: format!("r{index}"),
            process_incarnation: FIRST_INCARNATION + index as u64,
            frozen: false,
            clock_offset: CLOCK_OFFSET_STEP_S * (index + 1) as f64,
            connection: None,
            next_node: index,
            leader_hint: None,
            requested_at: 0.0,
            answered_at: 0.0,
            update_watermark: (Term(0), 0),
            grants: HashMap::new(),
            lease_until: f64::NEG_INFINITY,
            previous_grants: HashMap::new(),
            config: Rc::from([]),
            active_config_epoch: 0,
            control_nodes,
            last_answers: BTreeMap::new(),
            inbox: Vec::new(),
        }
    }

    /// The router's clock at this second of simulated time.
    pub fn clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// The primary that it may use at this second of its clock.
    pub(crate) fn usable_primary(&self, clock: f64) -> Option<&PrimaryGrant> {
        if let Some(grant) = self.grants.get(SERVICE) {
            return (clock < self.lease_until && !grant.revoking).then_some(grant);
        }
        let previous = self.previous_grants.get(SERVICE)?;
        (clock < previous.lease_until).then_some(&previous.grant)
    }

    /// The machine's process at the other end of its connection has ended.
    pub(super) fn close_connection_to(&mut self, node: NodeId) {
        let is_connected = |connection: &RouterConnection| connection.process.node == node;
        if self.connection.as_ref().is_some_and(is_connected) {
            self.connection = None;
        }
    }

    /// The control machine to connect to next: the leader that the last one named, or the next of
    /// the list.
    pub(super) fn take_next_node(&mut self) -> NodeId {
        let in_turn = self.control_nodes[self.next_node % self.control_nodes.len()];
        self.next_node += 1;
        self.leader_hint.take().unwrap_or(in_turn)
    }

    /// A lease request that is sent at this second of its clock.
    pub(super) fn lease_request(&self, clock: f64) -> LeaseRequest {
        let health_reports = self.last_answers.iter().map(|(id, at)| HealthReport {
            service: SERVICE.to_owned(),
            server_id: id.clone(),
            answered_seconds_ago: clock - at,
        });
        LeaseRequest {
            router: self.name.clone(),
            process_incarnation: self.process_incarnation,
            sent_at: clock,
            update_watermark: self.update_watermark,
            config_epoch: config_epoch(&self.config),
            health_reports: health_reports.collect(),
        }
    }

    /// Takes in a message of a control machine at this second of its clock.
    pub(super) fn receive(&mut self, clock: f64, message: RouterMessage) -> UpdateEffect {
        match message {
            RouterMessage::NotLeader { leader, voters } => {
                self.leave_for(leader, voters);
                UpdateEffect::default()
            }
            RouterMessage::Update {
                update_watermark,
                request_sent_at,
                lease_duration,
                is_snapshot,
                grants,
                config,
                voters,
                ..
            } => {
                let update = Update {
                    watermark: update_watermark,
                    request_sent_at,
                    lease_duration,
                    is_snapshot,
                    grants,
                    config,
                    voters,
                };
                self.receive_update(clock, update)
            }
        }
    }

    /// Leaves a machine that doesn't lead for the one that it names.
    fn leave_for(&mut self, leader: Option<NodeId>, voters: Vec<NodeId>) {
        let left = self.connection.take().map(|c| c.process.node);
        self.leader_hint = leader.filter(|leader| Some(*leader) != left);
        let known = &self.control_nodes;
        let unknown: Vec<NodeId> = voters.into_iter().filter(|n| !known.contains(n)).collect();
        self.control_nodes.extend(unknown);
    }

    fn receive_update(&mut self, clock: f64, update: Update) -> UpdateEffect {
        let request_sent_at = update.request_sent_at;
        // A former leader grants nothing any more.
        let config = if update.watermark.0 >= self.update_watermark.0 {
            self.apply_update(update)
        } else {
            None
        };
        if request_sent_at.is_some() {
            self.answered_at = clock;
        }
        UpdateEffect {
            config,
            must_acknowledge: request_sent_at.is_none(),
        }
    }

    /// Returns the configuration if the update brought one.
    fn apply_update(&mut self, update: Update) -> Option<Rc<[u8]>> {
        if !update.voters.is_empty() {
            self.control_nodes = update.voters;
        }
        let config = update.config.map(|config| self.resolve_config(&config));
        if update.is_snapshot {
            self.retire_grants();
        }
        for grant in update.grants {
            self.previous_grants.remove(&grant.service);
            self.grants.insert(grant.service.clone(), grant);
        }
        if let Some(sent_at) = update.request_sent_at
            && update.lease_duration > 0.0
        {
            let lease_until = sent_at + update.lease_duration;
            self.lease_until = self.lease_until.max(lease_until);
        }
        self.update_watermark = update.watermark;
        config
    }

    /// A new leader's snapshot: what the one before granted may be used until its lease ends.
    fn retire_grants(&mut self) {
        let lease_until = self.lease_until;
        let usable = self.grants.drain().filter(|(_, grant)| !grant.revoking);
        self.previous_grants = usable
            .map(|(service, grant)| (service, ExpiringGrant { grant, lease_until }))
            .collect();
        self.lease_until = f64::NEG_INFINITY;
    }

    /// The complete text after this update. If it can't be resolved the router holds none, and so
    /// requests the full one.
    fn resolve_config(&mut self, update: &ConfigUpdate) -> Rc<[u8]> {
        let resolved = update.resolve(&self.config);
        self.config = resolved.unwrap_or_else(|| Rc::from([]));
        self.config.clone()
    }
}
