//! One router: its lease, and the grants and configuration from the control machines' updates.

use crate::event::{Process, RouterEvent};
use crate::operators::config_epoch;
use crate::service::SERVICE;
use badgerstream_control::{
    ACKNOWLEDGED_POSITIONS, AcknowledgedPosition, ConfigUpdate, HealthReport, LeaseRequest, NodeId,
    Position, PrimaryGrant, ReportingLeaseRequest, RouterMessage, Term,
};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The difference between the clocks of two routers with consecutive indexes, in seconds.
const CLOCK_OFFSET_STEP_S: f64 = 7777.0;

/// The incarnation of the first router's process.
const FIRST_INCARNATION: u64 = 100;

/// The minimum time between two arrivals on a connection, in seconds.
const ARRIVAL_SPACING_S: f64 = 1e-5;

/// A router's connection to a control machine.
#[derive(Clone, Debug)]
pub(super) struct RouterConnection {
    /// The process at the other end.
    pub(super) process: Process,
    /// The number of the connection.
    pub(super) id: u64,
    /// The arrival time of the newest message, in seconds of simulated time. It keeps messages in
    /// order.
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

    /// Returns the arrival time of a message that is sent now with this delay.
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
    /// The router's name.
    pub name: String,
    process_incarnation: u64,
    /// Whether the router's process is stopped, as by SIGSTOP.
    pub frozen: bool,
    /// The router's clock minus simulated time, in seconds.
    pub clock_offset: f64,
    pub(super) connection: Option<RouterConnection>,
    /// The index of the control machine to try next, modulo the length of the list.
    next_node: usize,
    leader_hint: Option<NodeId>,
    pub(super) requested_at: f64,
    pub(super) answered_at: f64,
    update_watermark: (Term, u64),
    grants: HashMap<String, PrimaryGrant>,
    /// The time at which the router's lease ends.
    pub lease_until: f64,
    previous_grants: HashMap<String, ExpiringGrant>,
    /// The configuration that the router holds; empty if it holds none.
    config: Rc<[u8]>,
    /// The highest configuration epoch that was active in this process; 0 before the first.
    pub active_config_epoch: u64,
    /// The control machines that the router knows.
    control_nodes: Vec<NodeId>,
    /// The time of each server's last answer to the router.
    pub(super) last_answers: BTreeMap<String, f64>,
    /// The highest position in an answer whose success the router has passed on.
    pub(super) acknowledged_position: Position,
    /// A write whose success the router has passed on lies beyond this position.
    pub(super) surpassed_position: Position,
    /// The newest position in an answer of a primary.
    pub(super) newest_position: Position,
    /// Whether the router can report that position. Routers of earlier releases can't.
    pub reports_positions: bool,
    /// Whether the control machine at the other end of the connection wants it reported.
    positions_wanted: bool,
    /// Messages that arrived while the router was frozen.
    pub(super) inbox: Vec<RouterEvent>,
}

/// The message with which a router renews its lease.
#[derive(Clone, Debug)]
pub enum Renewal {
    /// Of a router that isn't asked what it has passed on.
    Plain(LeaseRequest),
    /// With what the router has passed on.
    Reporting(ReportingLeaseRequest),
}

/// The consequences of a control machine's message for the router.
#[derive(Default)]
pub(super) struct UpdateEffect {
    /// The configuration that the message brought, if any.
    pub(super) config: Option<Rc<[u8]>>,
    /// Whether the router must acknowledge the message with a lease request, because it is an
    /// update that does not respond to a request.
    pub(super) must_acknowledge: bool,
}

/// The fields of [`RouterMessage::Update`] that the simulation reads.
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
    /// Creates the router with this index, which knows these control machines.
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
            acknowledged_position: (0, 0),
            surpassed_position: (0, 0),
            newest_position: (0, 0),
            reports_positions: true,
            positions_wanted: false,
            inbox: Vec::new(),
        }
    }

    /// Returns the router's clock at this second of simulated time.
    pub fn clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// Returns the primary that the router may use at this second of its clock.
    pub(crate) fn usable_primary(&self, clock: f64) -> Option<&PrimaryGrant> {
        if let Some(grant) = self.grants.get(SERVICE) {
            return (clock < self.lease_until && !grant.revoking).then_some(grant);
        }
        let previous = self.previous_grants.get(SERVICE)?;
        (clock < previous.lease_until).then_some(&previous.grant)
    }

    /// Returns whether the router may use this server as the primary at this second of simulated
    /// time.
    pub fn may_use(&self, server_id: &str, now: f64) -> bool {
        self.usable_primary(self.clock(now))
            .is_some_and(|grant| grant.server_id == server_id)
    }

    /// Closes the router's connection if it is to this control machine.
    pub(super) fn close_connection_to(&mut self, node: NodeId) {
        let is_connected = |connection: &RouterConnection| connection.process.node == node;
        if self.connection.as_ref().is_some_and(is_connected) {
            self.connection = None;
        }
    }

    /// Returns the control machine to connect to next: the leader that the last machine named, or
    /// the next one in the list.
    pub(super) fn take_next_node(&mut self) -> NodeId {
        let in_turn = self.control_nodes[self.next_node % self.control_nodes.len()];
        self.next_node += 1;
        self.leader_hint.take().unwrap_or(in_turn)
    }

    /// Returns the message that is sent at this second of the router's clock to renew its lease.
    pub(super) fn renewal(&self, clock: f64) -> Renewal {
        let request = self.lease_request(clock);
        if !self.positions_wanted || !self.reports_positions {
            return Renewal::Plain(request);
        }
        let is_revoked = self.grants.get(SERVICE).is_some_and(|grant| grant.revoking);
        let acknowledged = is_revoked.then(|| AcknowledgedPosition {
            service: SERVICE.to_owned(),
            position: self.acknowledged_position,
            surpassed: self.surpassed_position,
        });
        Renewal::Reporting(ReportingLeaseRequest {
            request,
            acknowledged_positions: acknowledged.into_iter().collect(),
        })
    }

    /// Records that the router uses a new connection.
    pub(super) fn connected(&mut self, connection: RouterConnection, now: f64) {
        self.connection = Some(connection);
        self.answered_at = self.clock(now);
        self.positions_wanted = false;
    }

    fn lease_request(&self, clock: f64) -> LeaseRequest {
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

    /// Handles a message from a control machine at this second of the router's clock.
    pub(super) fn receive(&mut self, clock: f64, message: RouterMessage) -> UpdateEffect {
        match message {
            RouterMessage::NotLeader { leader, voters } => {
                self.disconnect_from_follower(leader, voters);
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
                health_reports_wanted,
                ..
            } => {
                self.positions_wanted |= health_reports_wanted
                    .iter()
                    .any(|wanted| wanted == ACKNOWLEDGED_POSITIONS);
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

    /// Disconnects from a machine that is not the leader. Remembers the leader that it named, and
    /// adds its voters to the known control machines.
    fn disconnect_from_follower(&mut self, leader: Option<NodeId>, voters: Vec<NodeId>) {
        let left = self.connection.take().map(|c| c.process.node);
        self.leader_hint = leader.filter(|leader| Some(*leader) != left);
        let known = &self.control_nodes;
        let unknown: Vec<NodeId> = voters.into_iter().filter(|n| !known.contains(n)).collect();
        self.control_nodes.extend(unknown);
    }

    fn receive_update(&mut self, clock: f64, update: Update) -> UpdateEffect {
        let request_sent_at = update.request_sent_at;
        // Updates from a former leader, whose term is lower, grant nothing.
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

    /// Applies an update. Returns its configuration if it contains one.
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

    /// Keeps the previous leader's grants until their lease ends. Called when a new leader's
    /// snapshot arrives.
    fn retire_grants(&mut self) {
        let lease_until = self.lease_until;
        let usable = self.grants.drain().filter(|(_, grant)| !grant.revoking);
        self.previous_grants = usable
            .map(|(service, grant)| (service, ExpiringGrant { grant, lease_until }))
            .collect();
        self.lease_until = f64::NEG_INFINITY;
    }

    /// Returns the complete configuration text after this update. If the update can't be resolved,
    /// the router holds no configuration, and therefore requests the full text.
    fn resolve_config(&mut self, update: &ConfigUpdate) -> Rc<[u8]> {
        let resolved = update.resolve(&self.config);
        self.config = resolved.unwrap_or_else(|| Rc::from([]));
        self.config.clone()
    }
}
