//! One leading control machine beside many routers and many services, in a time that the test moves: what it says to whom is
//! counted, and any of it can be held up.

use crate::controller::ControlConfig;
use crate::controller::{ControlRequest, Controller, Output};
use crate::{
    CommandOutcome, FOUNDING_INCARNATION, FailoverConfig, HardState, HealthReport, Heartbeat,
    LeaseRequest, MemberPhase, PrimaryGrant, RouterMessage, ServerCommand, ServerStatus, State,
    Term, Voter,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Between two ticks, in seconds, unless a test says otherwise.
pub const TICK: f64 = 0.02;
const RENEW: f64 = 0.3;
const HEARTBEAT: f64 = 1.2;

/// As the program sets them by default, with heartbeats of 1.2 s.
pub fn timing() -> ControlConfig {
    let service = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: 0.6,
        query_timeout: 0.6,
        heartbeat_interval: HEARTBEAT,
        drain_timeout: 7.0,
    };
    ControlConfig {
        lease_duration: 1.0,
        election_timeout: 0.6,
        contact_timeout: 1.0,
        platform_call_timeout: 1.0,
        duty_handover_delay: 0.0,
        request_timeout: 0.9,
        member_timeout: 4.8,
        failover: service,
    }
}

/// A router as far as its session goes.
#[derive(Default)]
pub struct Router {
    pub known: (Term, u64),
    pub epoch: u64,
    config_text: Vec<u8>,
    pub lease_until: f64,
    pub grants: HashMap<String, PrimaryGrant>,
    pub members: BTreeSet<String>,
    /// It takes news from then on: its link is slow.
    pub reads_from: f64,
    /// It neither takes news nor renews.
    pub silent: bool,
    /// News that it hasn't taken yet.
    pub unread: Vec<Rc<RouterMessage>>,
    renewed: f64,
    /// Answers of control, newest last.
    pub answers: Vec<RouterMessage>,
    /// What it could tell of primaries; it tells what is wanted.
    pub evidence: Vec<HealthReport>,
    pub evidence_wanted: Vec<String>,
}

/// All that a tick and the renewals behind it led to.
#[derive(Default)]
pub struct Said {
    pub news: Vec<(usize, Rc<RouterMessage>)>,
    pub questions: Vec<(String, ServerCommand)>,
    pub promotions: usize,
}

/// The machine and all round it.
pub struct Fleet {
    pub now: f64,
    pub controller: Controller,
    pub routers: Vec<Router>,
    /// Servers by id, with their service; the first of each service leads.
    servers: BTreeMap<String, String>,
    /// These answer nothing.
    pub dark: BTreeSet<String>,
    /// Calls to the platform so far; none is answered.
    pub promoted: usize,
    calls: u64,
    beaten: f64,
}

impl Fleet {
    /// It leads, and all servers have sent a beat.
    pub fn new(routers: usize, services: usize) -> Fleet {
        let record = HardState {
            state: Rc::new(State::founding(vec![1])),
            ..HardState::default()
        };
        let server = |n: usize| (format!("server-{n}"), format!("service-{:04}", n / 3));
        let mut fleet = Fleet {
            now: 0.0,
            controller: Controller::new(
                Voter {
                    node: 1,
                    incarnation: FOUNDING_INCARNATION,
                },
                record,
                0.0,
                7,
                timing(),
            ),
            routers: (0..routers).map(|_| Router::default()).collect(),
            servers: (0..3 * services).map(server).collect(),
            dark: BTreeSet::new(),
            promoted: 0,
            calls: 0,
            beaten: f64::NEG_INFINITY,
        };
        while !fleet.controller.is_leader() {
            fleet.now += TICK;
            let out = fleet.controller.tick(fleet.now);
            fleet.perform(out);
        }
        fleet.beat_all();
        fleet
    }

    fn beat_all(&mut self) {
        self.beaten = self.now;
        for id in self.servers.keys().cloned().collect::<Vec<_>>() {
            self.beat(&id, MemberPhase::Ready);
        }
    }

    /// A server says how it is; what control does with that.
    pub fn beat(&mut self, id: &str, phase: MemberPhase) -> Vec<Output> {
        self.calls += 1;
        let beat = Heartbeat {
            service: self.servers[id].clone(),
            endpoint: "10.0.0.9:5432".to_owned(),
            zone: "a".to_owned(),
            slots: 4,
            phase,
            call_seq: self.calls,
        };
        self.controller.handle_request(
            self.now,
            self.calls,
            ControlRequest::Heartbeat {
                server_id: id.to_owned(),
                heartbeat: beat,
            },
        )
    }

    /// A configuration is sent; one machine alone agrees on it at once.
    pub fn configure(&mut self, epoch: u64, body: &[u8]) -> Said {
        self.calls += 1;
        let call = ControlRequest::ReplaceConfig {
            base_epoch: self.controller.config().0,
            epoch,
            body: body.into(),
        };
        let out = self.controller.handle_request(self.now, self.calls, call);
        self.perform(out)
    }

    fn leads(id: &str) -> bool {
        id.trim_start_matches("server-")
            .parse::<usize>()
            .is_ok_and(|n| n % 3 == 0)
    }

    fn perform(&mut self, out: Vec<Output>) -> Said {
        let mut said = Said::default();
        let mut waiting = VecDeque::from(out);
        while let Some(one) = waiting.pop_front() {
            match one {
                Output::Persist => waiting.extend(self.controller.persisted(self.now)),
                Output::SendUpdate(session, news) => {
                    let router = session as usize - 1;
                    self.routers[router].unread.push(news.clone());
                    said.news.push((router, news));
                }
                Output::SendToRouter(session, answer) => {
                    self.routers[session as usize - 1].take(&answer)
                }
                Output::SendCommand {
                    server_id: id,
                    command: statement,
                    ..
                } => said.questions.push((id, statement)),
                Output::Promote { .. } => {
                    said.promotions += 1;
                    self.promoted += 1;
                }
                Output::PersistMembers(then) => waiting.extend(then),
                Output::SendToPeer(..) | Output::Respond(..) => {}
            }
        }
        said
    }

    /// A tick after so many seconds, the answers of servers, and what routers say.
    pub fn tick_after(&mut self, seconds: f64) -> Said {
        self.now += seconds;
        if self.now - self.beaten >= HEARTBEAT {
            self.beat_all();
        }
        let out = self.controller.tick(self.now);
        let said = self.perform(out);
        for (id, statement) in &said.questions {
            let (service, leader) = (self.servers[id].clone(), Self::leads(id));
            let row = ServerStatus {
                is_primary: leader,
                primary_term: 1,
                received: (1, 5),
                highest_term: 1,
            };
            let answer = match self.dark.contains(id) {
                true => CommandOutcome::TimedOut,
                false => CommandOutcome::Status {
                    command: *statement,
                    status: row,
                    sent_at: self.now,
                },
            };
            self.controller
                .command_completed(self.now, &service, id, answer);
        }
        for router in 0..self.routers.len() {
            self.read(router);
        }
        said
    }

    pub fn tick(&mut self) -> Said {
        self.tick_after(TICK)
    }

    /// The router takes what has come, and renews if that or the time calls for it.
    fn read(&mut self, router: usize) {
        let it = &mut self.routers[router];
        if it.silent {
            return;
        }
        let mut due = self.now - it.renewed >= RENEW;
        if self.now >= it.reads_from {
            for news in std::mem::take(&mut it.unread) {
                it.take(&news);
                due = true;
            }
        }
        if due {
            self.renew(router);
        }
    }

    /// The router asks for its lease.
    pub fn renew(&mut self, router: usize) {
        let it = &mut self.routers[router];
        it.renewed = self.now;
        let evidence = it
            .evidence
            .iter()
            .filter(|seen| it.evidence_wanted.contains(&seen.service));
        let call = LeaseRequest {
            router: format!("router-{router}"),
            process_incarnation: 1,
            sent_at: self.now,
            update_watermark: it.known,
            config_epoch: it.epoch,
            health_reports: evidence.cloned().collect(),
        };
        let out = self
            .controller
            .handle_lease_request(self.now, router as u64 + 1, call);
        let said = self.perform(out);
        assert!(said.news.is_empty(), "an answer brings no news with it");
    }

    /// Ticks until this is so, for so many seconds at most; what was said meanwhile.
    pub fn until(&mut self, seconds: f64, what: &str, so: impl Fn(&Fleet) -> bool) -> Said {
        let end = self.now + seconds;
        let mut all = Said::default();
        while !so(self) {
            assert!(self.now < end, "{what} within {seconds} s");
            let said = self.tick();
            all.news.extend(said.news);
            all.questions.extend(said.questions);
            all.promotions += said.promotions;
        }
        all
    }

    /// Routers that hold a lease and know of so many primaries.
    pub fn served(&self, services: usize) -> usize {
        let serves = |r: &&Router| {
            self.now < r.lease_until
                && r.grants.values().filter(|g| !g.revoking).count() == services
        };
        self.routers.iter().filter(serves).count()
    }
}

impl Router {
    /// It can make nothing of its configuration any more.
    pub fn forget_config(&mut self) {
        (self.epoch, self.config_text) = (0, Vec::new());
    }

    pub fn take(&mut self, news: &RouterMessage) {
        let RouterMessage::Update {
            update_watermark: known,
            request_sent_at: sent,
            lease_duration: lease,
            is_snapshot: whole,
            grants,
            members,
            config,
            health_reports_wanted: evidence_wanted,
            ..
        } = news
        else {
            return;
        };
        self.evidence_wanted.clone_from(evidence_wanted);
        if *whole {
            self.grants.clear();
            self.members.clear();
            self.lease_until = f64::NEG_INFINITY;
        }
        self.grants
            .extend(grants.iter().map(|g| (g.service.clone(), g.clone())));
        self.members.extend(members.iter().map(|m| m.id.clone()));
        if let Some(text) = config
            .as_ref()
            .and_then(|news| news.resolve(&self.config_text))
        {
            self.epoch = text.len() as u64;
            self.config_text = text.to_vec();
        }
        self.known = self.known.max(*known);
        if let Some(sent) = sent {
            self.answers.push(news.clone());
            if *lease > 0.0 {
                self.lease_until = self.lease_until.max(sent + lease);
            }
        }
    }
}
