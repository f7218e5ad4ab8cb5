//! The state that exists only while this machine leads, and how leadership begins and ends.

use super::grants::Grants;
use super::member_replication::SnapshotCollection;
use super::proposals::{ProposalQueue, respond};
use super::router_updates::RouterUpdates;
use super::service_scheduler::ServiceScheduler;
use super::{ControlResponse, Controller, Output};
use crate::consensus::ConsensusOutput;
use crate::failover::Failover;
use crate::leases::Leases;
use crate::message::PeerMessage;
use crate::term::Term;
use std::collections::{BTreeMap, HashMap};

/// Leases of the former leader count as running for this time beyond their duration.
const FORMER_LEASES_MARGIN_S: f64 = 0.05;

/// The state of a leader. It is created anew for each term that this machine leads, and dropped
/// when the leadership is lost.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// Time at which the leadership began.
    pub(super) since: f64,
    /// Number of the term that this machine leads.
    pub(super) fencing_token: u64,
    pub(super) leases: Leases,
    /// The failovers, by service.
    pub(super) failovers: BTreeMap<String, Failover>,
    /// The change count of the members when services were last added to `failovers`.
    pub(super) services_added_at_change: Option<u64>,
    pub(super) scheduler: ServiceScheduler,
    pub(super) grants: Grants,
    pub(super) updates: RouterUpdates,
    pub(super) proposals: ProposalQueue,
    /// By service, the number of replicas that have a write before it is acknowledged.
    pub(super) sync_replicas: HashMap<String, u32>,
    pub(super) member_snapshots: SnapshotCollection,
}

impl Leadership {
    /// Creates the state of a leadership that begins now. Leases of former leaders may run until
    /// the time `former_leases_until`.
    fn new(now: f64, fencing_token: u64, former_leases_until: f64) -> Leadership {
        Leadership {
            since: now,
            fencing_token,
            leases: Leases::new(former_leases_until),
            failovers: BTreeMap::new(),
            services_added_at_change: None,
            scheduler: ServiceScheduler::default(),
            grants: Grants::default(),
            updates: RouterUpdates::new(Term(fencing_token)),
            proposals: ProposalQueue::default(),
            sync_replicas: HashMap::new(),
            member_snapshots: SnapshotCollection::default(),
        }
    }
}

impl Controller {
    /// Returns the number of the update to routers that will announce the next change; 0 unless
    /// this machine leads.
    pub(super) fn next_update_number(&self) -> u64 {
        self.leadership
            .as_ref()
            .map_or(0, |lead| lead.updates.number() + 1)
    }

    /// Returns the number of the term that this machine leads; 0 unless it leads.
    pub(super) fn fencing_token(&self) -> u64 {
        self.leadership
            .as_ref()
            .map_or(0, |lead| lead.fencing_token)
    }

    /// Processes the outputs of the consensus.
    pub(super) fn apply_consensus(
        &mut self,
        now: f64,
        consensus_outputs: Vec<ConsensusOutput>,
        out: &mut Vec<Output>,
    ) {
        for output in consensus_outputs {
            match output {
                ConsensusOutput::Persist => out.push(Output::Persist),
                ConsensusOutput::Send(to, message) => {
                    out.push(Output::SendToPeer(to, PeerMessage::Consensus(message)));
                }
                ConsensusOutput::BecameLeader => self.become_leader(now, out),
                ConsensusOutput::SteppedDown => self.lose_leadership(out),
                ConsensusOutput::Committed => self.handle_commit(now, out),
            }
        }
    }

    fn become_leader(&mut self, now: f64, out: &mut Vec<Output>) {
        let fencing_token = self.consensus.leader_term().map_or(0, |term| term.0);
        self.committed = self.consensus.hard_state().state.clone();
        log::info!(
            "event=leader_elected term={fencing_token} epoch={}",
            self.committed.config_epoch
        );
        // The former leader can't act any more, but may have granted leases until just before now,
        // which run for their full duration.
        let former_leases_until = now + self.config.lease_duration + FORMER_LEASES_MARGIN_S;
        let lead = Leadership::new(now, fencing_token, former_leases_until);
        self.members.mark_all_changed_in(lead.updates.number());
        self.leadership = Some(lead);
        self.add_new_services();
        self.request_member_snapshots(now, out);
    }

    fn lose_leadership(&mut self, out: &mut Vec<Output>) {
        log::info!("event=leadership_lost");
        let Some(lead) = self.leadership.take() else {
            return;
        };
        for session_id in lead.updates.into_session_ids() {
            out.push(Output::SendToRouter(session_id, self.not_leader_message()));
        }
        for pending in lead.proposals.into_pending() {
            // The proposal may or may not be committed, so the requester has to try again.
            let response = ControlResponse::error(
                503,
                "this control machine lost its leadership before the request was known to be \
                 committed; try again",
            );
            respond(&pending.requester, response, out);
        }
    }

    /// Handles the commit of the hard state's state: completes the proposal that it contains, and
    /// continues with voter changes, proposals and updates to routers.
    fn handle_commit(&mut self, now: f64, out: &mut Vec<Output>) {
        self.committed = self.consensus.hard_state().state.clone();
        let Some(lead) = &mut self.leadership else {
            return;
        };
        if let Some(pending) = lead.proposals.take_committed() {
            self.proposal_committed(now, pending, out);
        }
        self.add_new_services();
        // A change of the voters has priority over all proposals: until it is complete, the control
        // machines tolerate fewer faults.
        let mut consensus_outputs = Vec::new();
        self.consensus
            .advance_voter_change(now, &mut consensus_outputs);
        self.apply_consensus(now, consensus_outputs, out);
        self.propose_next(now, out);
        self.send_router_updates(now, out);
    }
}
