//! A harness with one leading control machine, many routers and many services. The test advances
//! the time; what the machine sends is counted by recipient, and routers can read it late.

use crate::controller::ControlConfig;
use crate::controller::{ControlRequest, Controller, Output};
use crate::{
    CommandOutcome, FOUNDING_INCARNATION, FailoverConfig, HardState, HealthReport, Heartbeat,
    LeaseRequest, MemberPhase, PrimaryGrant, RouterMessage, ServerCommand, ServerStatus, State,
    Term, Voter,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Interval between two ticks of the controller, unless a test uses another one.
pub(crate) const TICK_INTERVAL_S: f64 = 0.02;
/// Interval between two lease requests of a router.
const LEASE_REQUEST_INTERVAL_S: f64 = 0.3;
/// Interval between two heartbeats of a server.
const HEARTBEAT_INTERVAL_S: f64 = 1.2;
const SERVERS_PER_SERVICE: usize = 3;

/// Returns the program's default settings, with a heartbeat interval of 1.2 s.
pub(crate) fn timing() -> ControlConfig {
    let failover = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: 0.6,
        query_timeout: 0.6,
        heartbeat_interval: HEARTBEAT_INTERVAL_S,
        drain_timeout: 7.0,
    };
    ControlConfig {
        lease_duration: 1.0,
        election_timeout: 0.6,
        contact_timeout: 1.0,
        platform_call_timeout: 1.0,
        platform_handover_delay: 0.0,
        request_timeout: 0.9,
        member_timeout: 4.8,
        failover,
    }
}

/// A router's side of its session with the leader.
#[derive(Default)]
pub(crate) struct Router {
    /// The newest update that the router has applied.
    pub watermark: (Term, u64),
    pub config_epoch: u64,
    config_text: Vec<u8>,
    pub lease_until: f64,
    pub grants: HashMap<String, PrimaryGrant>,
    pub members: BTreeSet<String>,
    /// The router reads no updates before this time, as over a slow link.
    pub reads_updates_from: f64,
    /// The router neither reads updates nor requests leases.
    pub silent: bool,
    /// Updates that the router hasn't read yet.
    pub unread_updates: Vec<Rc<RouterMessage>>,
    lease_requested_at: f64,
    /// Responses to the router's lease requests, the newest last.
    pub responses: Vec<RouterMessage>,
    /// Reports that the router could send; it sends those that the leader requested.
    pub health_reports: Vec<HealthReport>,
    pub health_reports_wanted: Vec<String>,
}

/// The outputs of the leader in a tick.
#[derive(Default)]
pub(crate) struct TickOutputs {
    /// The updates, each with the index of its router.
    pub updates: Vec<(usize, Rc<RouterMessage>)>,
    /// The commands, each with the id of its server.
    pub commands: Vec<(String, ServerCommand)>,
    /// Number of promotion requests to the platform.
    pub promotions: usize,
}

/// The control machine with all its routers and servers.
pub(crate) struct Fleet {
    pub now: f64,
    pub controller: Controller,
    pub routers: Vec<Router>,
    /// The service of each server, by server id. The first server of each service is its primary.
    servers: BTreeMap<String, String>,
    /// Servers that answer no command.
    pub unresponsive_servers: BTreeSet<String>,
    /// Number of promotion requests to the platform so far; none is answered.
    pub promotion_requests: usize,
    request_count: u64,
    heartbeats_sent_at: f64,
}

impl Fleet {
    /// Creates a control machine that leads and has received a heartbeat from each server.
    pub(crate) fn new(routers: usize, services: usize) -> Fleet {
        let hard_state = HardState {
            state: Rc::new(State::founding(vec![1])),
            ..HardState::default()
        };
        let me = Voter {
            node: 1,
            incarnation: FOUNDING_INCARNATION,
        };
        let server = |n: usize| {
            let service = format!("service-{:04}", n / SERVERS_PER_SERVICE);
            (format!("server-{n}"), service)
        };
        let mut fleet = Fleet {
            now: 0.0,
            controller: Controller::new(me, hard_state, 0.0, 7, timing()),
            routers: (0..routers).map(|_| Router::default()).collect(),
            servers: (0..SERVERS_PER_SERVICE * services).map(server).collect(),
            unresponsive_servers: BTreeSet::new(),
            promotion_requests: 0,
            request_count: 0,
            heartbeats_sent_at: f64::NEG_INFINITY,
        };
        while !fleet.controller.is_leader() {
            fleet.now += TICK_INTERVAL_S;
            let out = fleet.controller.tick(fleet.now);
            fleet.perform(out);
        }
        fleet.send_heartbeats();
        fleet
    }

    fn send_heartbeats(&mut self) {
        self.heartbeats_sent_at = self.now;
        for id in self.servers.keys().cloned().collect::<Vec<_>>() {
            self.heartbeat(&id, MemberPhase::Ready);
        }
    }

    /// Sends a heartbeat of a server, and returns the outputs of the machine.
    pub(crate) fn heartbeat(&mut self, id: &str, phase: MemberPhase) -> Vec<Output> {
        self.request_count += 1;
        let heartbeat = Heartbeat {
            service: self.servers[id].clone(),
            endpoint: "10.0.0.9:5432".to_owned(),
            zone: "a".to_owned(),
            slots: 4,
            phase,
            call_seq: self.request_count,
        };
        let request = ControlRequest::Heartbeat {
            server_id: id.to_owned(),
            heartbeat,
        };
        self.controller
            .handle_request(self.now, self.request_count, request)
    }

    /// Replaces the configuration as an operator does; a single machine commits it at once.
    pub(crate) fn configure(&mut self, epoch: u64, body: &[u8]) -> TickOutputs {
        self.request_count += 1;
        let request = ControlRequest::ReplaceConfig {
            base_epoch: self.controller.config().0,
            epoch,
            body: body.into(),
        };
        let out = self
            .controller
            .handle_request(self.now, self.request_count, request);
        self.perform(out)
    }

    fn is_primary(id: &str) -> bool {
        id.trim_start_matches("server-")
            .parse::<usize>()
            .is_ok_and(|n| n % SERVERS_PER_SERVICE == 0)
    }

    fn perform(&mut self, out: Vec<Output>) -> TickOutputs {
        let mut performed = TickOutputs::default();
        let mut pending = VecDeque::from(out);
        while let Some(output) = pending.pop_front() {
            match output {
                Output::Persist => pending.extend(self.controller.persisted(self.now)),
                Output::SendUpdate(session, update) => {
                    let router = session as usize - 1;
                    self.routers[router].unread_updates.push(update.clone());
                    performed.updates.push((router, update));
                }
                Output::SendToRouter(session, response) => {
                    self.routers[session as usize - 1].apply(&response);
                }
                Output::SendCommand {
                    server_id, command, ..
                } => performed.commands.push((server_id, command)),
                Output::Promote { .. } => {
                    performed.promotions += 1;
                    self.promotion_requests += 1;
                }
                Output::PersistMembers(then) => pending.extend(then),
                Output::SendToPeer(..) | Output::Respond(..) => {}
            }
        }
        performed
    }

    /// Advances the time by this many seconds, and runs a tick, the answers of servers, and the
    /// lease requests of routers. Returns the outputs of the tick.
    pub(crate) fn tick_after(&mut self, seconds: f64) -> TickOutputs {
        self.now += seconds;
        if self.now - self.heartbeats_sent_at >= HEARTBEAT_INTERVAL_S {
            self.send_heartbeats();
        }
        let out = self.controller.tick(self.now);
        let performed = self.perform(out);
        for (id, command) in &performed.commands {
            self.answer_command(id, *command);
        }
        for router in 0..self.routers.len() {
            self.step_router(router);
        }
        performed
    }

    pub(crate) fn tick(&mut self) -> TickOutputs {
        self.tick_after(TICK_INTERVAL_S)
    }

    fn answer_command(&mut self, id: &str, command: ServerCommand) {
        let outcome = if self.unresponsive_servers.contains(id) {
            CommandOutcome::TimedOut
        } else {
            CommandOutcome::Status {
                command,
                status: ServerStatus {
                    is_primary: Self::is_primary(id),
                    primary_term: 1,
                    received: (1, 5),
                    highest_term: 1,
                },
                sent_at: self.now,
            }
        };
        let service = self.servers[id].clone();
        self.controller
            .command_completed(self.now, &service, id, outcome);
    }

    /// Lets the router read its updates, and request its lease if it has read any or the request is
    /// due.
    fn step_router(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.silent {
            return;
        }
        let mut is_due = self.now - router.lease_requested_at >= LEASE_REQUEST_INTERVAL_S;
        if self.now >= router.reads_updates_from {
            for update in std::mem::take(&mut router.unread_updates) {
                router.apply(&update);
                is_due = true;
            }
        }
        if is_due {
            self.request_lease(index);
        }
    }

    /// Lets the router request its lease.
    pub(crate) fn request_lease(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.lease_requested_at = self.now;
        let health_reports = router
            .health_reports
            .iter()
            .filter(|report| router.health_reports_wanted.contains(&report.service))
            .cloned()
            .collect();
        let request = LeaseRequest {
            router: format!("router-{index}"),
            process_incarnation: 1,
            sent_at: self.now,
            update_watermark: router.watermark,
            config_epoch: router.config_epoch,
            health_reports,
        };
        let session = index as u64 + 1;
        let out = self
            .controller
            .handle_lease_request(self.now, session, request);
        let performed = self.perform(out);
        assert!(
            performed.updates.is_empty(),
            "the response to a lease request came with an update"
        );
    }

    /// Runs ticks until the condition holds, and returns all outputs. Panics with the expectation
    /// if that takes longer than this many seconds.
    pub(crate) fn run_until(
        &mut self,
        seconds: f64,
        expected: &str,
        condition: impl Fn(&Fleet) -> bool,
    ) -> TickOutputs {
        let end = self.now + seconds;
        let mut all = TickOutputs::default();
        while !condition(self) {
            assert!(
                self.now < end,
                "expected within {seconds} s, but not met: {expected}"
            );
            let performed = self.tick();
            all.updates.extend(performed.updates);
            all.commands.extend(performed.commands);
            all.promotions += performed.promotions;
        }
        all
    }

    /// Returns the number of routers that hold a lease and may use the primaries of exactly this
    /// number of services.
    pub(crate) fn routers_serving(&self, services: usize) -> usize {
        self.routers
            .iter()
            .filter(|router| {
                let usable = router.grants.values().filter(|grant| !grant.revoking);
                self.now < router.lease_until && usable.count() == services
            })
            .count()
    }
}

impl Router {
    /// Lets the router lose its configuration.
    pub(crate) fn lose_config(&mut self) {
        self.config_epoch = 0;
        self.config_text.clear();
    }

    /// Lets the router apply an update or the response to a lease request.
    pub(crate) fn apply(&mut self, message: &RouterMessage) {
        let RouterMessage::Update {
            update_watermark,
            request_sent_at,
            lease_duration,
            is_snapshot,
            grants,
            members,
            config,
            health_reports_wanted,
            ..
        } = message
        else {
            return;
        };
        self.health_reports_wanted.clone_from(health_reports_wanted);
        if *is_snapshot {
            self.grants.clear();
            self.members.clear();
            self.lease_until = f64::NEG_INFINITY;
        }
        for grant in grants {
            self.grants.insert(grant.service.clone(), grant.clone());
        }
        self.members
            .extend(members.iter().map(|member| member.id.clone()));
        if let Some(text) = config
            .as_ref()
            .and_then(|update| update.resolve(&self.config_text))
        {
            // In these tests, the epoch of a configuration is the length of its text.
            self.config_epoch = text.len() as u64;
            self.config_text = text.to_vec();
        }
        self.watermark = self.watermark.max(*update_watermark);
        if let Some(sent_at) = request_sent_at {
            self.responses.push(message.clone());
            if *lease_duration > 0.0 {
                self.lease_until = self.lease_until.max(sent_at + lease_duration);
            }
        }
    }
}
