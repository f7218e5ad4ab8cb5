//! One control machine: agreement, members, sessions and the primaries of all services put together.

use crate::consensus::{Consensus, ConsensusConfig, ConsensusOutput, HardState, Recipient};
use crate::failover::{Failover, FailoverConfig, ServerCommand};
use crate::leases::Leases;
use crate::members::{Heartbeat, MemberRegistry};
use crate::message::{MemberInfo, PeerMessage, PrimaryGrant, RouterMessage};
use crate::state::State;
use crate::voter_set::{NodeId, Voter};
use failover_driver::ServiceScheduler;
#[cfg(test)]
pub(crate) use failover_driver::{EVIDENCE_WANTED, QUESTIONS_A_TICK, SERVICES_A_TICK};
use heartbeat_batch::HeartbeatBatch;
use member_replication::{PendingUpdates, SnapshotCollection};
use requests::{ForwardedRequest, PendingProposal, ProposedChange, Requester, reply};
#[cfg(test)]
pub(crate) use router_updates::SESSIONS_A_TICK;
use router_updates::{Session, UpdateDistributor};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

mod failover_driver;
mod heartbeat_batch;
mod member_replication;
mod requests;
mod router_updates;

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ControlConfig {
    /// A router's lease.
    pub lease_duration: f64,
    /// A leader is missed after so long.
    pub election_timeout: f64,
    /// A follower answers for the whole for so long after its last contact with a majority.
    pub contact_timeout: f64,
    /// What a call to the platform may take, at most.
    pub platform_call_timeout: f64,
    /// Holders of the duty at the platform don't take turns within so long; 0 where nothing is asked.
    pub duty_handover_delay: f64,
    /// What a call of an operator may take before it is told to come again.
    pub request_timeout: f64,
    /// A server that sends no beats for so long is forgotten.
    pub member_timeout: f64,
    /// Those of each service.
    pub failover: FailoverConfig,
}

/// A call from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// A heartbeat.
    Heartbeat {
        server_id: String,
        heartbeat: Heartbeat,
    },
    /// A server has left.
    Depart { server_id: String },
    /// A valid configuration of this epoch, building on that version.
    ReplaceConfig {
        base_epoch: u64,
        epoch: u64,
        body: Rc<[u8]>,
    },
    /// The newest configuration.
    ReadConfig,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlResponse {
    /// As in HTTP.
    pub status: u16,
    /// The body; for an error one line of text.
    pub body: Rc<[u8]>,
    /// It rests on contact with a majority, and holds only if it leaves before this second.
    pub valid_until: f64,
}

impl ControlResponse {
    /// One that holds whenever it leaves.
    fn lasting(status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse {
            status,
            body,
            valid_until: f64::INFINITY,
        }
    }

    /// An error, with its reason in one line.
    pub fn error(status: u16, reason: &str) -> ControlResponse {
        ControlResponse::lasting(status, format!("{reason}\n").into_bytes().into())
    }

    /// One that holds if it leaves before this second.
    fn until(until: f64, status: u16, body: Rc<[u8]>) -> ControlResponse {
        ControlResponse {
            status,
            body,
            valid_until: until,
        }
    }
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The record is to be saved, and [`Controller::persisted`] or [`Controller::persist_failed`] called before anything else.
    Persist,
    /// The servers that are known ([`MemberRegistry::to_persist`]) are to be on the disk, and only then is this to be done; if they can't be
    /// saved it isn't.
    PersistMembers(Vec<Output>),
    /// To another control machine.
    SendToPeer(Recipient, PeerMessage),
    /// To the router on this session: an answer, or where else to ask.
    SendToRouter(u64, RouterMessage),
    /// News to the router on this session, behind all that went there before. Sessions that lack the same share it.
    SendUpdate(u64, Rc<RouterMessage>),
    /// To a database server. What changes it must be sent only while this machine may act under the ballot `fencing_token`.
    SendCommand {
        server_id: String,
        endpoint: String,
        service: String,
        command: ServerCommand,
        fencing_token: u64,
    },
    /// To the platform, if it can be sent before this second; `fencing_token` rises with every holder of the duty.
    Promote {
        service: String,
        server_id: String,
        fencing_token: u64,
        deadline: f64,
    },
    /// To whoever made the call of this number.
    Respond(u64, ControlResponse),
}

#[derive(Clone, Debug)]
struct Grant {
    news: PrimaryGrant,
    stamp: u64,
}

/// So many changes of primaries are kept for whoever asks how long they took.
pub const PRIMARY_CHANGES_KEPT: usize = 256;

/// A leader knows how many routers there are after so many seconds: by then each has asked.
const SETTLED: f64 = 2.0;

/// Everything that exists only while this machine leads.
#[derive(Clone, Debug)]
struct Leadership {
    since: f64,
    fencing_token: u64,
    /// The number of the newest news.
    number: u64,
    leases: Leases,
    services: BTreeMap<String, Failover>,
    grants: BTreeMap<String, Grant>,
    /// Since when each service whose grant was taken back has had no primary in use.
    withdrawn: BTreeMap<String, f64>,
    sessions: BTreeMap<u64, Session>,
    telling: UpdateDistributor,
    turns: ServiceScheduler,
    /// Under way: what is being agreed on.
    proposed: Option<(u64, PendingProposal)>,
    queue: VecDeque<PendingProposal>,
    sync: HashMap<String, u32>,
    /// What the others have told of servers.
    rosters: SnapshotCollection,
}

/// One control machine.
#[derive(Clone, Debug)]
pub struct Controller {
    me: NodeId,
    /// Drawn at the start of the process.
    process_incarnation: u64,
    timing: ControlConfig,
    consensus: Consensus,
    members: MemberRegistry,
    /// The newest state that was agreed on, as far as it is known here.
    current: Rc<State>,
    lead: Option<Leadership>,
    /// Calls passed on to the leader: by the number they carry there.
    passed: BTreeMap<u64, ForwardedRequest>,
    passing: u64,
    /// Calls that wait for somebody to lead.
    held: VecDeque<(u64, ControlRequest, f64)>,
    /// What servers said and the others don't know yet.
    rounds: PendingUpdates,
    /// Bodies of members that changed while leading, told under the next number.
    news_due: bool,
    /// Beats that told nothing new, for the other control machines.
    refreshed: HeartbeatBatch,
    /// For how long services had no primary in use, at the changes of late, in seconds.
    primary_changes: Vec<f64>,
    /// When it was last looked for members that are silent.
    swept: f64,
    /// When this process began.
    started: f64,
}

/// After so many heartbeats of servers a machine that has started knows all that are there.
const HEARTBEATS_LISTENED: f64 = 2.5;
/// Between two looks for members that are silent, in seconds.
const SWEEP: f64 = 0.1;

impl Controller {
    /// A machine that starts with this on its disk, in a life that was drawn for it. See [`Consensus::new`].
    pub fn new(
        me: Voter,
        record: HardState,
        now: f64,
        process_incarnation: u64,
        timing: ControlConfig,
    ) -> Controller {
        let of_consensus = ConsensusConfig {
            election_timeout: timing.election_timeout,
            contact_timeout: timing.contact_timeout,
        };
        Controller {
            me: me.node,
            process_incarnation,
            timing,
            current: record.state.clone(),
            consensus: Consensus::new(me, record, now, process_incarnation, of_consensus),
            members: MemberRegistry::default(),
            lead: None,
            passed: BTreeMap::new(),
            passing: 0,
            held: VecDeque::new(),
            rounds: PendingUpdates::default(),
            news_due: false,
            refreshed: HeartbeatBatch::default(),
            primary_changes: Vec::new(),
            swept: f64::NEG_INFINITY,
            started: now,
        }
    }

    /// What is to be on disk.
    pub fn hard_state(&self) -> &HardState {
        self.consensus.hard_state()
    }

    /// The addresses of the machines that decide, as far as they are known here.
    pub fn voters(&self) -> Vec<NodeId> {
        self.consensus
            .voters()
            .iter()
            .map(|voter| voter.node)
            .collect()
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<NodeId> {
        self.consensus.leader().map(|leader| leader.node)
    }

    /// How this machine stands with the others.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// A save of the record has succeeded.
    pub fn persisted(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.persisted(now, &mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// A save of the record has failed: until the disk is opened anew this machine takes no part.
    pub fn persist_failed(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.persist_failed(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// The disk is opened anew and holds this.
    pub fn disk_reopened(&mut self, now: f64, record: HardState) {
        self.consensus.disk_reopened(now, record);
    }

    /// A control machine has this address: it may be asked to let this one join.
    pub fn peer_discovered(&mut self, node: NodeId) -> Vec<Output> {
        self.consensus.peer_discovered(node);
        Vec::new()
    }

    /// Whether this machine, which is about to end, need not wait to be left out of the voters.
    pub fn may_shut_down(&self) -> bool {
        self.consensus.may_shut_down()
    }

    /// Whether this machine leads.
    pub fn is_leader(&self) -> bool {
        self.lead.is_some()
    }

    /// This machine is about to end: whatever it leads goes to another at once.
    pub fn resign(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.resign(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// What the settings say of other control machines, and how many may be lost at once.
    pub fn set_seeds_and_budget(&mut self, seeds: Vec<NodeId>, losses: usize) {
        self.consensus.set_seeds(seeds);
        self.consensus.set_fault_budget(losses);
    }

    /// Whether this machine's word counts.
    pub fn is_voter(&self) -> bool {
        self.consensus.is_voter()
    }

    /// Whether this machine leads and knows that nobody else does.
    pub fn may_act(&self, now: f64) -> bool {
        self.lead.is_some() && now < self.consensus.authority_until()
    }

    /// What is known of the servers.
    pub fn members(&self) -> &MemberRegistry {
        &self.members
    }

    /// For logs and operators: service, phase, primary and its term.
    pub fn primaries(&self) -> Vec<(String, &'static str, PrimaryGrant)> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let of = |(service, f): (&String, &Failover)| {
            let empty = PrimaryGrant {
                service: service.clone(),
                server_id: String::new(),
                primary_term: 0,
                revoking: true,
            };
            let news = lead.grants.get(service).map_or(empty, |g| g.news.clone());
            (service.clone(), f.phase(), news)
        };
        lead.services.iter().map(of).collect()
    }

    /// For how long services had no primary in use, at changes since this was last asked, in seconds; of the last
    /// [`PRIMARY_CHANGES_KEPT`] at most.
    pub fn take_primary_changes(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.primary_changes)
    }

    /// The routers that hold a lease.
    pub fn leased_routers(&self, now: f64) -> usize {
        self.lead.as_ref().map_or(0, |l| l.leases.active(now))
    }

    /// The configuration's epoch and text as agreed, as far as is known here.
    pub fn config(&self) -> (u64, &[u8]) {
        let state = if self.lead.is_some() {
            &self.current
        } else {
            &self.consensus.hard_state().state
        };
        (state.config_epoch, &state.config)
    }

    fn settle(&mut self, now: f64, outs: Vec<ConsensusOutput>, out: &mut Vec<Output>) {
        for one in outs {
            match one {
                ConsensusOutput::Persist => out.push(Output::Persist),
                ConsensusOutput::Send(to, message) => {
                    out.push(Output::SendToPeer(to, PeerMessage::Consensus(message)));
                }
                ConsensusOutput::BecameLeader => self.won(now, out),
                ConsensusOutput::SteppedDown => self.lost(out),
                ConsensusOutput::Committed => self.agreed(now, out),
            }
        }
    }

    fn won(&mut self, now: f64, out: &mut Vec<Output>) {
        let fencing_token = self.consensus.leader_term().map_or(0, |b| b.0);
        self.current = self.consensus.hard_state().state.clone();
        log::info!(
            "event=leads fence={fencing_token} epoch={}",
            self.current.config_epoch
        );
        // Leases that another leader gave may run for their length from when it last could act, which was before this.
        let before_us = now + self.timing.lease_duration + 0.05;
        self.lead = Some(Leadership {
            since: now,
            fencing_token,
            number: 1,
            leases: Leases::new(before_us),
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            sessions: BTreeMap::new(),
            telling: UpdateDistributor::default(),
            turns: ServiceScheduler::default(),
            proposed: None,
            queue: VecDeque::new(),
            sync: HashMap::new(),
            rosters: SnapshotCollection::default(),
        });
        for member in self
            .members
            .all()
            .map(|m| m.info.id.clone())
            .collect::<Vec<_>>()
        {
            self.members.restamp(&member, 1);
        }
        self.know_services();
        self.ask_for_rosters(now, out);
    }

    fn lost(&mut self, out: &mut Vec<Output>) {
        log::info!("event=leads_no_longer");
        let Some(lead) = self.lead.take() else { return };
        for (session, _) in lead.sessions {
            out.push(Output::SendToRouter(session, self.elsewhere()));
        }
        let waiting = lead.proposed.map(|(_, w)| w).into_iter().chain(lead.queue);
        for one in waiting {
            // It may hold or not: whoever asked must ask again.
            reply(
                &one.origin,
                ControlResponse::error(503, "another machine leads now"),
                out,
            );
        }
    }

    fn agreed(&mut self, now: f64, out: &mut Vec<Output>) {
        self.current = self.consensus.hard_state().state.clone();
        let Some(lead) = &mut self.lead else { return };
        if let Some((_, one)) = lead.proposed.take() {
            match one.wanted {
                ProposedChange::Config { epoch, .. } => {
                    log::info!("event=config epoch={epoch}");
                    reply(
                        &one.origin,
                        ControlResponse::lasting(200, Rc::from([])),
                        out,
                    );
                }
                ProposedChange::Primary {
                    service, settled, ..
                } => {
                    if !settled && let Some(failover) = lead.services.get_mut(&service) {
                        let act = failover.proposal_decided(now, true);
                        self.act(now, &service, act.into_iter().collect(), out);
                    }
                }
                ProposedChange::Read => {}
            }
        }
        self.know_services();
        // A change of the voters goes before what waits: it may wait for nothing but a moment without another change.
        let mut outs = Vec::new();
        self.consensus.advance_voter_change(now, &mut outs);
        self.settle(now, outs, out);
        self.next(now, out);
        self.tell_all(now, out);
    }

    /// Lets time pass; to be called every few hundredths of a second while this machine leads.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        let mut outs = Vec::new();
        self.consensus.tick(now, &mut outs);
        self.settle(now, outs, &mut out);
        self.spread_refreshed(now, &mut out);
        self.begin_next_round(now, &mut out);
        let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
        if now - self.swept >= SWEEP {
            self.swept = now;
            self.news_due |= self.members.expire(now, self.timing.member_timeout, number);
        }
        self.sweep_passed(now, &mut out);
        self.sweep_rounds(now, &mut out);
        self.retry_held(now, &mut out);
        if let Some(lead) = &mut self.lead {
            lead.turns.begin_tick(now);
            if now < self.consensus.authority_until() {
                self.step(now, &mut out);
            }
            self.next(now, &mut out);
            self.tell_all(now, &mut out);
            if let Some(lead) = &mut self.lead {
                lead.leases.expire(now);
            }
            self.sweep_orders(now, &mut out);
            self.ask_for_rosters(now, &mut out);
        }
        out
    }

    /// A message of another control machine.
    pub fn handle_peer_message(
        &mut self,
        now: f64,
        from: Voter,
        message: PeerMessage,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            PeerMessage::Consensus(message) => {
                let mut outs = Vec::new();
                self.consensus.step(now, from, message, &mut outs);
                self.settle(now, outs, &mut out);
            }
            PeerMessage::MembersUpdate {
                update_id: round,
                members: news,
            } => self.on_members(now, from, round, news, &mut out),
            PeerMessage::MembersUpdateAck { update_id: round } => {
                self.on_members_kept(from, round, &mut out)
            }
            PeerMessage::MembersSnapshotRequest { term } => {
                self.on_roster_wanted(from, term, &mut out)
            }
            PeerMessage::MembersSnapshot {
                term,
                members: news,
            } => self.on_roster(now, from, term, news, &mut out),
            PeerMessage::ForwardedRequest { id, request: call } => {
                self.on_call(now, from, id, call, &mut out)
            }
            PeerMessage::FullConfigRequest { id } => self.on_send_whole(from, id, &mut out),
            PeerMessage::ForwardedResponse { id, status, body } => {
                self.on_answer(from, id, status, body, &mut out)
            }
        }
        out
    }

    /// A call from outside; its answer comes as [`Output::Respond`] under this number.
    pub fn handle_request(&mut self, now: f64, number: u64, call: ControlRequest) -> Vec<Output> {
        let mut out = Vec::new();
        let stamp = self.lead.as_ref().map_or(0, |lead| lead.number + 1);
        match call {
            ControlRequest::Heartbeat {
                server_id: id,
                heartbeat: beat,
            } => {
                let news = self.members.heartbeat(now, &id, &beat, stamp);
                self.news_due |= news.is_some() && stamp > 0 && self.members.is_stamped(&id, stamp);
                self.take_beat(now, number, &id, news, &mut out);
            }
            // Its server may be known to the others, and this machine would acknowledge what nobody learns.
            ControlRequest::Depart { server_id: id }
                if !self.members.knows(&id) && !self.has_listened(now) =>
            {
                out.push(Output::Respond(
                    number,
                    ControlResponse::error(503, "this server isn't known here yet"),
                ));
            }
            ControlRequest::Depart { server_id: id } => {
                let news = self.members.depart(now, &id, stamp);
                if news.as_ref().is_some_and(|news| !news.departed) {
                    log::info!("event=departs_undrained id={id}");
                }
                self.news_due |= news.is_some() && stamp > 0;
                self.take_beat(now, number, &id, news, &mut out);
            }
            call => {
                self.held
                    .push_back((number, call, now + self.timing.request_timeout));
                self.retry_held(now, &mut out);
            }
        }
        out
    }

    /// Whether this machine has run for so long that it knows all servers that are there.
    fn has_listened(&self, now: f64) -> bool {
        now - self.started > HEARTBEATS_LISTENED * self.timing.failover.heartbeat_interval
    }

    /// A machine that is out of contact keeps what it heard, but sends its caller on: a server that only it knows of may
    /// hold what the others miss.
    fn take_beat(
        &mut self,
        now: f64,
        call: u64,
        id: &str,
        news: Option<MemberInfo>,
        out: &mut Vec<Output>,
    ) {
        self.know_services();
        if !self.consensus.in_contact(now) {
            out.push(Output::Respond(
                call,
                ControlResponse::error(503, "no contact with a majority of the control machines"),
            ));
            return;
        }
        match news {
            Some(news) => self.tell_voters(now, news, call, out),
            None => self.already_told(id, call, out),
        }
    }
}
