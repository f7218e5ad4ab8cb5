//! Requests of servers and operators: heartbeats and departures of servers, which any control
//! machine accepts, and configuration requests, which wait for a leader or are forwarded to it.

use super::proposals::{ConfigRequest, PendingProposal, Proposal, Requester, respond};
use super::{ControlRequest, ControlResponse, Controller, Output};
use crate::consensus::Recipient;
use crate::members::Heartbeat;
use crate::message::{LeaderRequest, MemberInfo, PeerMessage, RequestId};
use crate::state::ConfigPayload;
use crate::voter_set::Voter;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A process that has run for longer than this many heartbeat intervals knows all running servers.
const MEMBERS_KNOWN_AFTER_HEARTBEATS: f64 = 2.5;

/// A configuration request that waits until this machine knows a leader.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    request_id: u64,
    request: ConfigRequest,
    deadline: f64,
}

/// A request that was forwarded to the leader.
#[derive(Clone, Debug)]
struct ForwardedRequest {
    /// Id of the client's request at this machine.
    request_id: u64,
    /// The leader to which the request was forwarded. Responses of other machines are ignored.
    leader: Voter,
    deadline: f64,
    /// The request, in case the leader asks for the configuration in full.
    request: ConfigRequest,
}

/// The requests that were forwarded and have no response yet.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequests {
    process_incarnation: u64,
    by_sequence: BTreeMap<u64, ForwardedRequest>,
    last_sequence: u64,
}

impl ForwardedRequests {
    /// Creates an empty collection for a process with this incarnation.
    pub(super) fn new(process_incarnation: u64) -> ForwardedRequests {
        ForwardedRequests {
            process_incarnation,
            by_sequence: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Records that a request is forwarded to this leader, and returns the id under which it is
    /// forwarded.
    fn insert(&mut self, queued: QueuedRequest, leader: Voter) -> RequestId {
        self.last_sequence += 1;
        self.by_sequence.insert(
            self.last_sequence,
            ForwardedRequest {
                request_id: queued.request_id,
                leader,
                deadline: queued.deadline,
                request: queued.request,
            },
        );
        RequestId {
            process_incarnation: self.process_incarnation,
            sequence: self.last_sequence,
        }
    }

    /// Returns the request with this id, if this incarnation of the process forwarded it to the
    /// machine `from`.
    fn get(&self, from: Voter, id: RequestId) -> Option<&ForwardedRequest> {
        self.by_sequence
            .get(&id.sequence)
            .filter(|_| id.process_incarnation == self.process_incarnation)
            .filter(|forwarded| forwarded.leader == from)
    }

    /// Removes and returns the request that [`ForwardedRequests::get`] would return.
    fn remove(&mut self, from: Voter, id: RequestId) -> Option<ForwardedRequest> {
        self.get(from, id)?;
        self.by_sequence.remove(&id.sequence)
    }

    /// Removes the requests whose deadline has passed, and returns their ids at this machine.
    fn expire(&mut self, now: f64) -> Vec<u64> {
        let mut expired = Vec::new();
        self.by_sequence.retain(|_, forwarded| {
            let is_pending = now <= forwarded.deadline;
            if !is_pending {
                expired.push(forwarded.request_id);
            }
            is_pending
        });
        expired
    }
}

impl Controller {
    /// Handles a request of a server or an operator. The response is an [`Output::Respond`] with
    /// this id.
    pub fn handle_request(
        &mut self,
        now: f64,
        request_id: u64,
        request: ControlRequest,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        match request {
            ControlRequest::Heartbeat {
                server_id,
                heartbeat,
            } => self.handle_heartbeat(now, request_id, &server_id, &heartbeat, &mut out),
            ControlRequest::Depart { server_id } => {
                self.handle_departure(now, request_id, &server_id, &mut out);
            }
            ControlRequest::ReplaceConfig {
                base_epoch,
                epoch,
                body,
            } => {
                let request = ConfigRequest::Replace {
                    base_epoch,
                    epoch,
                    body,
                };
                self.handle_config_request(now, request_id, request, &mut out);
            }
            ControlRequest::ReadConfig => {
                self.handle_config_request(now, request_id, ConfigRequest::Read, &mut out);
            }
        }
        out
    }

    fn handle_heartbeat(
        &mut self,
        now: f64,
        request_id: u64,
        server_id: &str,
        heartbeat: &Heartbeat,
        out: &mut Vec<Output>,
    ) {
        let update_number = self.next_update_number();
        let update = self
            .members
            .heartbeat(now, server_id, heartbeat, update_number);
        self.update_due |= update.is_some()
            && update_number > 0
            && self.members.is_changed_in(server_id, update_number);
        self.acknowledge_member(now, request_id, server_id, update, out);
    }

    fn handle_departure(
        &mut self,
        now: f64,
        request_id: u64,
        server_id: &str,
        out: &mut Vec<Output>,
    ) {
        if !self.members.is_known(server_id) && !self.knows_all_servers(now) {
            // Other machines may know this server. If this one acknowledged the departure, they
            // would not learn of it.
            let response = ControlResponse::error(
                503,
                "this control machine started recently and doesn't know the departing server yet; \
                 try another control machine",
            );
            out.push(Output::Respond(request_id, response));
            return;
        }
        let update_number = self.next_update_number();
        let update = self.members.depart(now, server_id, update_number);
        if update.as_ref().is_some_and(|member| !member.departed) {
            log::info!("event=departed_undrained server={server_id}");
        }
        self.update_due |= update.is_some() && update_number > 0;
        self.acknowledge_member(now, request_id, server_id, update, out);
    }

    /// Returns whether this process has run long enough for all running servers to have sent a
    /// heartbeat.
    fn knows_all_servers(&self, now: f64) -> bool {
        now - self.started_at
            > MEMBERS_KNOWN_AFTER_HEARTBEATS * self.config.failover.heartbeat_interval
    }

    /// Responds to a server after the leader and a majority know what it reported. A machine
    /// without contact to a majority keeps the report, but responds with an error, so that the
    /// server tries another machine: the leader could decide without a report that only this
    /// machine knows.
    fn acknowledge_member(
        &mut self,
        now: f64,
        request_id: u64,
        server_id: &str,
        update: Option<MemberInfo>,
        out: &mut Vec<Output>,
    ) {
        self.add_new_services();
        if !self.consensus.in_contact(now) {
            let reason = "this control machine has no contact with a majority of the control \
                          machines; try another one";
            out.push(Output::Respond(
                request_id,
                ControlResponse::error(503, reason),
            ));
            return;
        }
        match update {
            Some(member) => self.replicate_member(now, member, request_id, out),
            None => self.await_member_replication(server_id, request_id, out),
        }
    }

    fn handle_config_request(
        &mut self,
        now: f64,
        request_id: u64,
        request: ConfigRequest,
        out: &mut Vec<Output>,
    ) {
        self.queued_requests.push_back(QueuedRequest {
            request_id,
            request,
            deadline: now + self.config.request_timeout,
        });
        self.dispatch_queued_requests(now, out);
    }

    /// Passes the queued requests to the leader, if this machine leads or knows another leader.
    pub(super) fn dispatch_queued_requests(&mut self, now: f64, out: &mut Vec<Output>) {
        for _ in 0..self.queued_requests.len() {
            let Some(queued) = self.queued_requests.pop_front() else {
                return;
            };
            let other_leader = self
                .consensus
                .leader()
                .filter(|leader| *leader != self.consensus.me());
            if now > queued.deadline {
                let reason = format!(
                    "this control machine knew no leader for {} s",
                    self.config.request_timeout
                );
                out.push(Output::Respond(
                    queued.request_id,
                    ControlResponse::error(503, &reason),
                ));
            } else if let Some(lead) = &mut self.leadership {
                lead.proposals.push_back(PendingProposal {
                    requester: Requester::Local(queued.request_id),
                    deadline: queued.deadline,
                    proposal: Proposal::Config(queued.request),
                });
                self.propose_next(now, out);
            } else if let Some(leader) = other_leader {
                self.forward_request(queued, leader, out);
            } else {
                self.queued_requests.push_back(queued);
            }
        }
    }

    fn forward_request(&mut self, queued: QueuedRequest, leader: Voter, out: &mut Vec<Output>) {
        let known_config = &self.consensus.hard_state().state.config;
        let request = leader_request(&queued.request, |body| {
            ConfigPayload::relative_to(known_config, body)
        });
        let id = self.forwarded_requests.insert(queued, leader);
        out.push(Output::SendToPeer(
            Recipient::Voter(leader),
            PeerMessage::ForwardedRequest { id, request },
        ));
    }

    /// Handles a request that another machine forwarded.
    pub(super) fn handle_forwarded_request(
        &mut self,
        now: f64,
        from: Voter,
        id: RequestId,
        request: LeaderRequest,
        out: &mut Vec<Output>,
    ) {
        let requester = Requester::Peer(from, id);
        let Some(lead) = &mut self.leadership else {
            let response =
                ControlResponse::error(503, "the control machine that got this isn't the leader");
            respond(&requester, response, out);
            return;
        };
        match config_request(request, &self.committed.config) {
            Some(request) => lead.proposals.push_back(PendingProposal {
                requester,
                deadline: now + self.config.request_timeout,
                proposal: Proposal::Config(request),
            }),
            None => out.push(Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::FullConfigRequest { id },
            )),
        }
        self.propose_next(now, out);
    }

    /// Forwards a request again with the complete configuration: the leader doesn't have the
    /// configuration that the delta of the request is based on.
    pub(super) fn handle_full_config_request(
        &mut self,
        from: Voter,
        id: RequestId,
        out: &mut Vec<Output>,
    ) {
        if let Some(forwarded) = self.forwarded_requests.get(from, id)
            && matches!(forwarded.request, ConfigRequest::Replace { .. })
        {
            let request =
                leader_request(&forwarded.request, |body| ConfigPayload::Full(body.clone()));
            out.push(Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::ForwardedRequest { id, request },
            ));
        }
    }

    /// Passes on the leader's response to a forwarded request.
    pub(super) fn handle_forwarded_response(
        &mut self,
        from: Voter,
        id: RequestId,
        status: u16,
        body: Rc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        if let Some(forwarded) = self.forwarded_requests.remove(from, id) {
            out.push(Output::Respond(
                forwarded.request_id,
                ControlResponse::until(forwarded.deadline, status, body),
            ));
        }
    }

    /// Responds with an error to clients whose forwarded requests got no response in time.
    pub(super) fn expire_forwarded_requests(&mut self, now: f64, out: &mut Vec<Output>) {
        for request_id in self.forwarded_requests.expire(now) {
            let reason = format!(
                "the request was forwarded to the leader, but not answered within {} s",
                self.config.request_timeout
            );
            out.push(Output::Respond(
                request_id,
                ControlResponse::error(503, &reason),
            ));
        }
    }
}

/// Returns the message that forwards a request, with `payload` applied to the text of its
/// configuration.
fn leader_request(
    request: &ConfigRequest,
    payload: impl FnOnce(&Rc<[u8]>) -> ConfigPayload,
) -> LeaderRequest {
    match request {
        ConfigRequest::Replace {
            base_epoch,
            epoch,
            body,
        } => LeaderRequest::ReplaceConfig {
            base_epoch: *base_epoch,
            epoch: *epoch,
            config: payload(body),
        },
        ConfigRequest::Read => LeaderRequest::ReadConfig,
    }
}

/// Returns the request that a message forwards; `None` if its delta is based on a configuration
/// other than `known_config`.
fn config_request(request: LeaderRequest, known_config: &[u8]) -> Option<ConfigRequest> {
    match request {
        LeaderRequest::ReadConfig => Some(ConfigRequest::Read),
        LeaderRequest::ReplaceConfig {
            base_epoch,
            epoch,
            config,
        } => Some(ConfigRequest::Replace {
            base_epoch,
            epoch,
            body: config.resolve(known_config)?,
        }),
    }
}
