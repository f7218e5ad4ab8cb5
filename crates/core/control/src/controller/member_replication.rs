//! Replicates among the control machines what database servers report about themselves.
//!
//! Members are kept in memory, and every heartbeat repeats the server's whole report. But a server
//! whose report was acknowledged (that it exists, drains, or departs) relies on the
//! acknowledgement. Therefore:
//!
//! - a change is acknowledged only after the leader and a majority know it;
//! - a new leader collects the members that a majority knows before it replaces any primary;
//! - a report that a server drains is on the disks of that majority before it is acknowledged.

use super::{ControlResponse, Controller, Output};
use crate::consensus::Recipient;
use crate::members::{Member, must_be_persisted};
use crate::message::{MemberInfo, PeerMessage};
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time to replicate a server's report before the server gets an error. The server itself
/// tries another machine after one second.
const REPLICATION_TIMEOUT_S: f64 = 0.8;
/// Interval between two requests of a new leader for the members that another machine knows.
const SNAPSHOT_REQUEST_INTERVAL_S: f64 = 0.2;

/// A changed member, with the request to be answered after the change is replicated.
#[derive(Clone, Debug)]
struct MemberChange {
    member: MemberInfo,
    request_id: u64,
}

/// An update of members that was sent to the other voters.
#[derive(Clone, Debug)]
struct PendingUpdate {
    changes: Vec<MemberInfo>,
    /// The requests to be answered after the leader and a majority have acknowledged the update.
    request_ids: Vec<u64>,
    acknowledged_by: BTreeSet<Voter>,
    deadline: f64,
}

/// The updates of members that the leader and a majority don't know yet.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberReplication {
    in_flight: BTreeMap<u64, PendingUpdate>,
    last_update_id: u64,
    /// Changes that are sent with the next tick, in one batch: after a start, many servers report
    /// for the first time at once.
    next_batch: Vec<MemberChange>,
}

impl MemberReplication {
    /// Begins an update with these changes, which this machine already knows. Returns the update's
    /// id.
    fn begin(&mut self, now: f64, me: Voter, changes: Vec<MemberChange>) -> u64 {
        self.last_update_id += 1;
        let (changes, request_ids) = changes
            .into_iter()
            .map(|change| (change.member, change.request_id))
            .unzip();
        self.in_flight.insert(
            self.last_update_id,
            PendingUpdate {
                changes,
                request_ids,
                acknowledged_by: BTreeSet::from([me]),
                deadline: now + REPLICATION_TIMEOUT_S,
            },
        );
        self.last_update_id
    }

    /// Attaches this request to the newest pending change of a server, so that it is answered
    /// together with that change. Returns false if no change is pending.
    fn attach_to_pending(&mut self, server_id: &str, request_id: u64) -> bool {
        let queued = self
            .next_batch
            .iter()
            .find(|change| change.member.id == server_id);
        if let Some(member) = queued.map(|change| change.member.clone()) {
            self.next_batch.push(MemberChange { member, request_id });
            return true;
        }
        let in_flight = self
            .in_flight
            .values_mut()
            .rev()
            .find(|update| update.changes.iter().any(|member| member.id == server_id));
        if let Some(update) = in_flight {
            update.request_ids.push(request_id);
            return true;
        }
        false
    }

    /// Records that a voter knows the changes of this update.
    fn acknowledge(&mut self, update_id: u64, voter: Voter) {
        if let Some(update) = self.in_flight.get_mut(&update_id) {
            update.acknowledged_by.insert(voter);
        }
    }

    /// Removes and returns an update, if `is_sufficient` returns true for the voters that have
    /// acknowledged it.
    fn take_if(
        &mut self,
        update_id: u64,
        is_sufficient: impl FnOnce(&BTreeSet<Voter>) -> bool,
    ) -> Option<PendingUpdate> {
        let update = self.in_flight.get(&update_id)?;
        if !is_sufficient(&update.acknowledged_by) {
            return None;
        }
        self.in_flight.remove(&update_id)
    }

    /// Removes the updates whose deadline has passed, and returns the requests that wait for them.
    fn expire(&mut self, now: f64) -> Vec<u64> {
        let mut expired = Vec::new();
        self.in_flight.retain(|_, update| {
            let is_pending = now <= update.deadline;
            if !is_pending {
                expired.append(&mut update.request_ids);
            }
            is_pending
        });
        expired
    }
}

/// Tracks from which voters a new leader has received their members.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotCollection {
    received_from: BTreeSet<Voter>,
    last_requested_at: f64,
}

impl Controller {
    /// Restores the members that an earlier incarnation of this process persisted. Those that have
    /// ended since then will time out. Draining members count as having drained for `draining_s`
    /// seconds already, since the actual time isn't known.
    pub fn restore_members(&mut self, now: f64, persisted: Vec<MemberInfo>, draining_s: f64) {
        self.members.restore(now, persisted, draining_s);
    }

    /// Handles the connection of another control machine. It may have missed updates, so it is sent
    /// all members.
    pub fn peer_connected(&mut self, node: NodeId) -> Vec<Output> {
        let members = self.all_members();
        if members.is_empty() {
            return Vec::new();
        }
        vec![Output::SendToPeer(
            Recipient::Node(node),
            PeerMessage::MembersUpdate {
                update_id: None,
                members,
            },
        )]
    }

    fn all_members(&self) -> Vec<MemberInfo> {
        self.members.all().map(Member::peer_info).collect()
    }

    /// Returns all voters except this machine.
    pub(super) fn other_voters(&self) -> Vec<Voter> {
        self.consensus
            .hard_state()
            .state
            .voters
            .all()
            .filter(|voter| *voter != self.consensus.me())
            .collect()
    }

    /// Handles an update of members from another machine, which awaits an acknowledgement if the
    /// update has an id.
    pub(super) fn handle_members_update(
        &mut self,
        now: f64,
        from: Voter,
        update_id: Option<u64>,
        members: Vec<MemberInfo>,
        out: &mut Vec<Output>,
    ) {
        let must_persist = members.iter().any(must_be_persisted);
        self.merge_members(now, members);
        let Some(update_id) = update_id else { return };
        let acknowledgement = Output::SendToPeer(
            Recipient::Voter(from),
            PeerMessage::MembersUpdateAck { update_id },
        );
        out.push(if must_persist {
            Output::PersistMembers(vec![acknowledgement])
        } else {
            acknowledgement
        });
    }

    fn merge_members(&mut self, now: f64, members: Vec<MemberInfo>) {
        let update_number = self.next_update_number();
        for member in members {
            let id = member.id.clone();
            let is_newer = self.members.merge(now, member, update_number);
            self.update_due |=
                is_newer && update_number > 0 && self.members.is_changed_in(&id, update_number);
        }
        self.add_new_services();
    }

    /// Replicates what a server reported, and responds to the server after the leader and a
    /// majority know it. If they already know everything except that the server was seen again, the
    /// response is sent at once, and the heartbeat is replicated with the next batch.
    pub(super) fn replicate_member(
        &mut self,
        now: f64,
        member: MemberInfo,
        request_id: u64,
        out: &mut Vec<Output>,
    ) {
        if self.members.majority_knows(&member.id) {
            self.heartbeat_batch.add(member);
            out.push(Output::Respond(request_id, acknowledgement()));
            return;
        }
        let is_urgent = member.draining || member.departed;
        let change = MemberChange { member, request_id };
        if is_urgent {
            self.begin_member_update(now, vec![change], out);
        } else {
            self.member_replication.next_batch.push(change);
        }
    }

    /// Responds to a report that changes nothing: at once if a majority knows the server's last
    /// change, otherwise together with that pending change.
    pub(super) fn await_member_replication(
        &mut self,
        server_id: &str,
        request_id: u64,
        out: &mut Vec<Output>,
    ) {
        let is_pending = !self.members.majority_knows(server_id)
            && self
                .member_replication
                .attach_to_pending(server_id, request_id);
        if !is_pending {
            out.push(Output::Respond(request_id, acknowledgement()));
        }
    }

    /// Sends the changes since the last tick to the other voters.
    pub(super) fn replicate_member_batch(&mut self, now: f64, out: &mut Vec<Output>) {
        let changes = std::mem::take(&mut self.member_replication.next_batch);
        if !changes.is_empty() {
            self.begin_member_update(now, changes, out);
        }
    }

    fn begin_member_update(&mut self, now: f64, changes: Vec<MemberChange>, out: &mut Vec<Output>) {
        let members: Vec<MemberInfo> = changes.iter().map(|change| change.member.clone()).collect();
        let must_persist = members.iter().any(must_be_persisted);
        let me = self.consensus.me();
        let update_id = self.member_replication.begin(now, me, changes);
        let mut outputs: Vec<Output> = self
            .other_voters()
            .into_iter()
            .map(|voter| {
                let message = PeerMessage::MembersUpdate {
                    update_id: Some(update_id),
                    members: members.clone(),
                };
                Output::SendToPeer(Recipient::Voter(voter), message)
            })
            .collect();
        // A single control machine is a majority by itself.
        self.complete_member_update(update_id, &mut outputs);
        if must_persist {
            // After a power failure of all machines, the server may not report this again in time.
            out.push(Output::PersistMembers(outputs));
        } else {
            out.append(&mut outputs);
        }
    }

    /// Handles another machine's acknowledgement of an update.
    pub(super) fn handle_members_update_ack(
        &mut self,
        from: Voter,
        update_id: u64,
        out: &mut Vec<Output>,
    ) {
        self.member_replication.acknowledge(update_id, from);
        self.complete_member_update(update_id, out);
    }

    /// Responds to the requests that wait for this update, if the leader and a majority know it.
    fn complete_member_update(&mut self, update_id: u64, out: &mut Vec<Output>) {
        let leader = self.consensus.leader();
        let voters = &self.consensus.hard_state().state.voters;
        let completed = self
            .member_replication
            .take_if(update_id, |acknowledged_by| {
                let knows = |voter| acknowledged_by.contains(&voter);
                leader.is_some_and(knows) && voters.is_quorum(knows)
            });
        let Some(update) = completed else { return };
        for member in &update.changes {
            self.members.mark_majority_knows(member);
        }
        let responses = update
            .request_ids
            .into_iter()
            .map(|request_id| Output::Respond(request_id, acknowledgement()));
        out.extend(responses);
    }

    /// Responds with an error to servers that have waited too long, so that they try another
    /// machine.
    pub(super) fn expire_member_updates(&mut self, now: f64, out: &mut Vec<Output>) {
        for request_id in self.member_replication.expire(now) {
            let reason = format!(
                "the leader and a majority of the control machines didn't acknowledge this report \
                 within {REPLICATION_TIMEOUT_S} s"
            );
            out.push(Output::Respond(
                request_id,
                ControlResponse::error(503, &reason),
            ));
        }
    }

    /// Requests the members that the other voters know, while this machine leads and doesn't have
    /// those of a majority yet.
    pub(super) fn request_member_snapshots(&mut self, now: f64, out: &mut Vec<Output>) {
        let other_voters = self.other_voters();
        let is_complete = self.knows_former_members();
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let collection = &mut lead.member_snapshots;
        if is_complete || now - collection.last_requested_at < SNAPSHOT_REQUEST_INTERVAL_S {
            return;
        }
        collection.last_requested_at = now;
        let term = Term(lead.fencing_token);
        let missing = other_voters
            .into_iter()
            .filter(|voter| !collection.received_from.contains(voter));
        out.extend(missing.map(|voter| {
            let request = PeerMessage::MembersSnapshotRequest { term };
            Output::SendToPeer(Recipient::Voter(voter), request)
        }));
    }

    /// Returns whether this leader has received the members that a majority knew after it became
    /// the leader. It then knows everything that was acknowledged to a server under former leaders.
    pub(super) fn knows_former_members(&self) -> bool {
        let Some(lead) = &self.leadership else {
            return false;
        };
        let received_from = &lead.member_snapshots.received_from;
        self.consensus
            .hard_state()
            .state
            .voters
            .is_quorum(|voter| voter == self.consensus.me() || received_from.contains(&voter))
    }

    /// Handles the request of a new leader for the members that this machine knows.
    pub(super) fn handle_members_snapshot_request(
        &self,
        from: Voter,
        term: Term,
        out: &mut Vec<Output>,
    ) {
        if self.consensus.leader() == Some(from) {
            let members = self.all_members();
            out.push(Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::MembersSnapshot { term, members },
            ));
        }
    }

    /// Handles the members that another machine knows, which the leader of this term requested.
    pub(super) fn handle_members_snapshot(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        members: Vec<MemberInfo>,
    ) {
        self.merge_members(now, members);
        if let Some(lead) = &mut self.leadership
            && Term(lead.fencing_token) == term
        {
            lead.member_snapshots.received_from.insert(from);
        }
    }
}

fn acknowledgement() -> ControlResponse {
    ControlResponse::permanent(200, b"{}".as_slice().into())
}
