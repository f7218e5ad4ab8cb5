//! One control machine: it combines consensus, members, router sessions and the failover of all
//! services.
//!
//! A [`Controller`] is a state machine without I/O and without a clock. Its driver (the pooler's
//! control process, or the simulation) passes in messages, requests, outcomes and the time in
//! seconds of a steady clock, and carries out the returned [`Output`]s in order. The controller
//! owns the [`Consensus`], the [`MemberRegistry`] and, while this machine leads, a `Leadership`.
//! The driver persists what must survive a restart on [`Output::Persist`] and
//! [`Output::PersistMembers`].
//!
//! Each of the modules below holds one concern: its state and its part of the controller's methods.
//!
//! - `interface`: settings, requests, responses and outputs;
//! - `leadership`: the state that exists only while this machine leads, and how leadership begins
//!   and ends;
//! - `requests`: the requests of servers and operators, and how they reach the leader;
//! - `proposals`: the changes that the leader has committed, one at a time;
//! - `member_replication`, `heartbeat_batch`: how control machines share what servers report;
//! - `failover_driver`, `service_scheduler`: how the failovers of the services are stepped;
//! - `grants`, `router_session`, `router_updates`: what the leader sends to routers, and their
//!   leases.

mod failover_actions;
mod failover_driver;
mod grants;
mod heartbeat_batch;
mod interface;
mod leadership;
mod member_replication;
mod proposals;
mod requests;
mod router_session;
mod router_updates;
mod service_scheduler;

use crate::consensus::{Consensus, ConsensusConfig, ConsensusOutput, HardState};
use crate::members::MemberRegistry;
use crate::message::{PeerMessage, PrimaryGrant};
use crate::state::State;
use crate::voter_set::{NodeId, Voter};
#[cfg(test)]
pub(crate) use failover_driver::{MAX_COMMANDS_PER_TICK, MAX_HEALTH_REPORT_SERVICES};
use heartbeat_batch::HeartbeatBatch;
pub use interface::{ControlConfig, ControlRequest, ControlResponse, FailoverStatus, Output};
use leadership::Leadership;
use member_replication::MemberReplication;
use requests::{ForwardedRequests, QueuedRequest};
#[cfg(test)]
pub(crate) use router_updates::MAX_UPDATED_SESSIONS_PER_TICK;
#[cfg(test)]
pub(crate) use service_scheduler::MAX_SERVICES_PER_TICK;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of durations of primary changes that are kept until
/// [`Controller::take_primary_change_durations`] returns them.
pub const MAX_PRIMARY_CHANGE_DURATIONS: usize = 256;

/// Interval between two checks for members that have timed out.
const MEMBER_EXPIRY_INTERVAL_S: f64 = 0.1;

/// One control machine.
#[derive(Clone, Debug)]
pub struct Controller {
    node: NodeId,
    config: ControlConfig,
    consensus: Consensus,
    members: MemberRegistry,
    /// The newest state that this machine knows to be committed.
    committed: Rc<State>,
    leadership: Option<Leadership>,
    forwarded_requests: ForwardedRequests,
    /// Configuration requests that wait until this machine knows a leader.
    queued_requests: VecDeque<QueuedRequest>,
    member_replication: MemberReplication,
    /// Whether members or grants have changed since the last update to routers was begun.
    update_due: bool,
    heartbeat_batch: HeartbeatBatch,
    /// For each recent change of a primary, the number of seconds for which the service had none.
    primary_change_durations_s: Vec<f64>,
    last_member_expiry_at: f64,
    /// Time at which this process started.
    started_at: f64,
}

impl Controller {
    /// Creates a control machine that starts with this hard state on its disk. The process
    /// incarnation is a random number that is drawn at each start of the process. See
    /// [`Consensus::new`].
    pub fn new(
        me: Voter,
        hard_state: HardState,
        now: f64,
        process_incarnation: u64,
        config: ControlConfig,
    ) -> Controller {
        let consensus_config = ConsensusConfig {
            election_timeout_s: config.election_timeout,
            contact_timeout_s: config.contact_timeout,
        };
        Controller {
            node: me.node,
            config,
            committed: hard_state.state.clone(),
            consensus: Consensus::new(me, hard_state, now, process_incarnation, consensus_config),
            members: MemberRegistry::default(),
            leadership: None,
            forwarded_requests: ForwardedRequests::new(process_incarnation),
            queued_requests: VecDeque::new(),
            member_replication: MemberReplication::default(),
            update_due: false,
            heartbeat_batch: HeartbeatBatch::default(),
            primary_change_durations_s: Vec::new(),
            last_member_expiry_at: f64::NEG_INFINITY,
            started_at: now,
        }
    }

    /// Returns the hard state, which the driver persists.
    pub fn hard_state(&self) -> &HardState {
        self.consensus.hard_state()
    }

    /// Returns this machine's part in the consensus.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the addresses of the voters that this machine knows.
    pub fn voters(&self) -> Vec<NodeId> {
        self.consensus
            .voters()
            .iter()
            .map(|voter| voter.node)
            .collect()
    }

    /// Returns the address of the leader, if this machine knows it.
    pub fn leader(&self) -> Option<NodeId> {
        self.consensus.leader().map(|leader| leader.node)
    }

    /// Returns whether this machine leads.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns whether this machine leads and knows that no other machine does.
    pub fn may_act(&self, now: f64) -> bool {
        self.is_leader() && now < self.consensus.authority_until()
    }

    /// Returns whether this machine is a voter.
    pub fn is_voter(&self) -> bool {
        self.consensus.is_voter()
    }

    /// Returns whether this machine may shut down now, without waiting to be removed from the
    /// voters.
    pub fn may_shut_down(&self) -> bool {
        self.consensus.may_shut_down()
    }

    /// Returns the database servers that this machine knows.
    pub fn members(&self) -> &MemberRegistry {
        &self.members
    }

    /// Returns the failover status of all services, for logs and operators. Empty unless this
    /// machine leads.
    pub fn primaries(&self) -> Vec<FailoverStatus> {
        let Some(lead) = &self.leadership else {
            return Vec::new();
        };
        let no_grant = |service: &String| PrimaryGrant {
            service: service.clone(),
            server_id: String::new(),
            primary_term: 0,
            revoking: true,
        };
        lead.failovers
            .iter()
            .map(|(service, failover)| {
                let grant = lead.grants.get(service).cloned();
                FailoverStatus {
                    phase: failover.phase(),
                    grant: grant.unwrap_or_else(|| no_grant(service)),
                }
            })
            .collect()
    }

    /// Returns, for each change of a primary since the last call, the number of seconds for which
    /// the service had no primary. Of more than [`MAX_PRIMARY_CHANGE_DURATIONS`] changes, the
    /// latest are left out.
    pub fn take_primary_change_durations(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.primary_change_durations_s)
    }

    /// Returns the number of routers that hold a lease; 0 unless this machine leads.
    pub fn leased_routers(&self, now: f64) -> usize {
        self.leadership
            .as_ref()
            .map_or(0, |lead| lead.leases.active_count(now))
    }

    /// Returns the epoch and the text of the newest configuration that this machine has: the
    /// committed one if it leads, otherwise the one in its hard state.
    pub fn config(&self) -> (u64, &[u8]) {
        let state = if self.is_leader() {
            &self.committed
        } else {
            &self.consensus.hard_state().state
        };
        (state.config_epoch, &state.config)
    }

    /// Sets the control machines through which this machine may join (the seeds), and the number
    /// of machines that may fail at once.
    pub fn set_seeds_and_budget(&mut self, seeds: Vec<NodeId>, fault_budget: usize) {
        self.consensus.set_seeds(seeds);
        self.consensus.set_fault_budget(fault_budget);
    }

    /// Continues after the hard state was persisted.
    pub fn persisted(&mut self, now: f64) -> Vec<Output> {
        self.with_consensus(now, |consensus, outputs| consensus.persisted(now, outputs))
    }

    /// Records that the hard state could not be persisted. This machine takes no part in consensus
    /// until [`Controller::disk_reopened`] is called.
    pub fn persist_failed(&mut self, now: f64) -> Vec<Output> {
        self.with_consensus(now, |consensus, outputs| consensus.persist_failed(outputs))
    }

    /// Records that the disk was reopened and holds this hard state.
    pub fn disk_reopened(&mut self, now: f64, hard_state: HardState) {
        self.consensus.disk_reopened(now, hard_state);
    }

    /// Records that there is a control machine at this address, which may be asked to let this one
    /// join.
    pub fn peer_discovered(&mut self, node: NodeId) -> Vec<Output> {
        self.consensus.peer_discovered(node);
        Vec::new()
    }

    /// Prepares the shutdown of this machine: if it leads, another machine takes over at once.
    pub fn resign(&mut self, now: f64) -> Vec<Output> {
        self.with_consensus(now, |consensus, outputs| consensus.resign(outputs))
    }

    /// Calls the consensus, and processes its outputs.
    fn with_consensus(
        &mut self,
        now: f64,
        call: impl FnOnce(&mut Consensus, &mut Vec<ConsensusOutput>),
    ) -> Vec<Output> {
        let mut consensus_outputs = Vec::new();
        call(&mut self.consensus, &mut consensus_outputs);
        let mut out = Vec::new();
        self.apply_consensus(now, consensus_outputs, &mut out);
        out
    }

    /// Advances to the time `now`. The driver calls this every few hundredths of a second.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        let mut out = self.with_consensus(now, |consensus, outputs| consensus.tick(now, outputs));
        self.send_heartbeat_batch(now, &mut out);
        self.replicate_member_batch(now, &mut out);
        self.expire_members(now);
        self.expire_forwarded_requests(now, &mut out);
        self.expire_member_updates(now, &mut out);
        self.dispatch_queued_requests(now, &mut out);
        self.tick_leadership(now, &mut out);
        out
    }

    /// Marks members as departed that haven't been seen alive within the member timeout.
    fn expire_members(&mut self, now: f64) {
        if now - self.last_member_expiry_at < MEMBER_EXPIRY_INTERVAL_S {
            return;
        }
        self.last_member_expiry_at = now;
        let update_number = self.next_update_number();
        self.update_due |= self
            .members
            .expire(now, self.config.member_timeout, update_number);
    }

    fn tick_leadership(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.leadership else {
            return;
        };
        lead.scheduler.begin_tick(now);
        if now < self.consensus.authority_until() {
            self.step_failovers(now, out);
        }
        self.propose_next(now, out);
        self.send_router_updates(now, out);
        if let Some(lead) = &mut self.leadership {
            lead.leases.expire(now);
        }
        self.expire_proposals(now, out);
        self.request_member_snapshots(now, out);
    }

    /// Handles a message from another control machine.
    pub fn handle_peer_message(
        &mut self,
        now: f64,
        from: Voter,
        message: PeerMessage,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            PeerMessage::Consensus(message) => {
                return self.with_consensus(now, |consensus, outputs| {
                    consensus.step(now, from, message, outputs);
                });
            }
            PeerMessage::MembersUpdate { update_id, members } => {
                self.handle_members_update(now, from, update_id, members, &mut out);
            }
            PeerMessage::MembersUpdateAck { update_id } => {
                self.handle_members_update_ack(from, update_id, &mut out);
            }
            PeerMessage::MembersSnapshotRequest { term } => {
                self.handle_members_snapshot_request(from, term, &mut out);
            }
            PeerMessage::MembersSnapshot { term, members } => {
                self.handle_members_snapshot(now, from, term, members);
            }
            PeerMessage::ForwardedRequest { id, request } => {
                self.handle_forwarded_request(now, from, id, request, &mut out);
            }
            PeerMessage::FullConfigRequest { id } => {
                self.handle_full_config_request(from, id, &mut out);
            }
            PeerMessage::ForwardedResponse { id, status, body } => {
                self.handle_forwarded_response(from, id, status, body, &mut out);
            }
        }
        out
    }
}
