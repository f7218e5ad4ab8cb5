//! What the leader proposes to the consensus, one proposal at a time: configuration requests of
//! operators, and the primaries that failovers choose.

use super::{ControlResponse, Controller, Output};
use crate::consensus::Recipient;
use crate::message::{PeerMessage, RequestId};
use crate::state::{PrimaryRecord, ReplaceVerdict, StateChange};
use crate::voter_set::Voter;
use std::collections::VecDeque;
use std::rc::Rc;

/// The recipient of the response to a proposal.
#[derive(Clone, Debug)]
pub(super) enum Requester {
    /// The failover of a service. It gets no response, but is notified of the outcome.
    Failover,
    /// The client whose request has this id at this machine.
    Local(u64),
    /// Another control machine, which forwarded a request.
    Peer(Voter, RequestId),
    /// None, since a response was already sent when the request timed out.
    AlreadyAnswered,
}

/// An operator's request to replace or read the configuration.
#[derive(Clone, Debug)]
pub(super) enum ConfigRequest {
    /// As in [`ControlRequest::ReplaceConfig`](super::ControlRequest::ReplaceConfig).
    Replace {
        base_epoch: u64,
        epoch: u64,
        body: Rc<[u8]>,
    },
    /// As in [`ControlRequest::ReadConfig`](super::ControlRequest::ReadConfig).
    Read,
}

/// The content of a proposal.
#[derive(Clone, Debug)]
pub(super) enum Proposal {
    /// A configuration request. A read changes nothing, but waits for its turn, so that it returns
    /// everything that was proposed before it and committed.
    Config(ConfigRequest),
    /// This server is to become the primary of a term above `after_term`.
    PromotePrimary {
        service: String,
        server_id: String,
        after_term: u64,
    },
    /// This server is the primary of this term, and no router can use another one.
    RecordPrimary {
        service: String,
        server_id: String,
        primary_term: u64,
    },
}

/// A proposal that waits for its turn, or is being committed.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    pub(super) requester: Requester,
    /// Time at which the requester gets an error if the proposal isn't committed yet.
    pub(super) deadline: f64,
    pub(super) proposal: Proposal,
}

/// The proposals of a leader.
#[derive(Clone, Debug, Default)]
pub(super) struct ProposalQueue {
    /// The proposal that is being committed.
    in_flight: Option<PendingProposal>,
    waiting: VecDeque<PendingProposal>,
}

impl ProposalQueue {
    /// Adds a proposal before all waiting ones.
    pub(super) fn push_front(&mut self, proposal: PendingProposal) {
        self.waiting.push_front(proposal);
    }

    /// Adds a proposal after all waiting ones.
    pub(super) fn push_back(&mut self, proposal: PendingProposal) {
        self.waiting.push_back(proposal);
    }

    /// Takes the next proposal, if none is being committed.
    fn pop(&mut self) -> Option<PendingProposal> {
        if self.in_flight.is_some() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Takes the proposal that was being committed and now is committed.
    pub(super) fn take_committed(&mut self) -> Option<PendingProposal> {
        self.in_flight.take()
    }

    /// Returns all proposals, with the one that is being committed first.
    pub(super) fn into_pending(self) -> impl Iterator<Item = PendingProposal> {
        self.in_flight.into_iter().chain(self.waiting)
    }

    /// If the deadline of the proposal that is being committed has passed, takes its requester, who
    /// gets an error. The proposal continues without a requester.
    fn take_expired_requester(&mut self, now: f64) -> Option<Requester> {
        let in_flight = self
            .in_flight
            .as_mut()
            .filter(|pending| now > pending.deadline)?;
        in_flight.deadline = f64::INFINITY;
        Some(std::mem::replace(
            &mut in_flight.requester,
            Requester::AlreadyAnswered,
        ))
    }

    /// Takes the waiting proposals whose deadline has passed.
    fn take_expired(&mut self, now: f64) -> VecDeque<PendingProposal> {
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|pending| now > pending.deadline);
        self.waiting = waiting;
        expired
    }
}

/// What to do with a proposal whose turn has come.
enum Evaluation {
    /// Propose this change to the consensus.
    Propose(StateChange),
    /// Respond with this; nothing needs to be committed.
    Respond(ControlResponse),
    /// Do nothing, because the proposal is out of date.
    Discard,
}

impl Controller {
    /// Processes the waiting proposals in order, until one has to be committed before the next.
    pub(super) fn propose_next(&mut self, now: f64, out: &mut Vec<Output>) {
        while let Some(pending) = self.pop_proposal(now) {
            match self.evaluate(&pending.proposal) {
                Evaluation::Discard => {}
                Evaluation::Respond(response) => respond(&pending.requester, response, out),
                Evaluation::Propose(change) => self.propose(now, pending, change, out),
            }
        }
    }

    /// Takes the next proposal, if this machine may propose now.
    fn pop_proposal(&mut self, now: f64) -> Option<PendingProposal> {
        let may_propose =
            now < self.consensus.authority_until() && self.consensus.committed_state().is_some();
        self.leadership
            .as_mut()
            .filter(|_| may_propose)?
            .proposals
            .pop()
    }

    fn evaluate(&self, proposal: &Proposal) -> Evaluation {
        match proposal {
            Proposal::Config(request) => self.evaluate_config_request(request),
            Proposal::PromotePrimary {
                service,
                server_id,
                after_term,
            } => Evaluation::Propose(primary_change(service, server_id, *after_term)),
            Proposal::RecordPrimary {
                service,
                server_id,
                primary_term,
            } => {
                // Another change of the primary may have begun since the proposal was queued.
                let is_current = self
                    .leadership
                    .as_ref()
                    .and_then(|lead| lead.failovers.get(service))
                    .is_some_and(|failover| failover.is_steady_with(server_id, *primary_term));
                if is_current {
                    Evaluation::Propose(primary_change(service, server_id, *primary_term))
                } else {
                    Evaluation::Discard
                }
            }
        }
    }

    fn evaluate_config_request(&self, request: &ConfigRequest) -> Evaluation {
        let authority_until = self.consensus.authority_until();
        let committed = &self.committed;
        match request {
            ConfigRequest::Read => Evaluation::Respond(ControlResponse::until(
                authority_until,
                200,
                committed.config.clone(),
            )),
            ConfigRequest::Replace {
                base_epoch,
                epoch,
                body,
            } => match committed.check_replace(*base_epoch, *epoch, body) {
                ReplaceVerdict::Apply => Evaluation::Propose(committed.config_change(*epoch, body)),
                verdict => {
                    Evaluation::Respond(rejection(verdict, committed.config_epoch, authority_until))
                }
            },
        }
    }

    fn propose(
        &mut self,
        now: f64,
        pending: PendingProposal,
        change: StateChange,
        out: &mut Vec<Output>,
    ) {
        let mut consensus_outputs = Vec::new();
        let version = self.consensus.propose(now, change, &mut consensus_outputs);
        if version.is_some()
            && let Some(lead) = &mut self.leadership
        {
            lead.proposals.in_flight = Some(pending);
        }
        self.apply_consensus(now, consensus_outputs, out);
    }

    /// Responds with an error to requesters that have waited too long. A proposal that is being
    /// committed continues; its requester tries again, and then learns whether it was applied.
    pub(super) fn expire_proposals(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let expired = lead.proposals.take_expired(now);
        if let Some(requester) = lead.proposals.take_expired_requester(now) {
            let reason = format!(
                "the request was not committed within {} s, but may still be; try again",
                self.config.request_timeout
            );
            respond(&requester, ControlResponse::error(503, &reason), out);
        }
        for pending in expired {
            self.abandon_proposal(now, pending, out);
        }
    }

    fn abandon_proposal(&mut self, now: f64, pending: PendingProposal, out: &mut Vec<Output>) {
        match pending.proposal {
            Proposal::Config(_) => {
                let reason = format!(
                    "the request was not proposed to the other control machines within {} s",
                    self.config.request_timeout
                );
                respond(
                    &pending.requester,
                    ControlResponse::error(503, &reason),
                    out,
                );
            }
            Proposal::PromotePrimary { service, .. } => {
                if let Some(failover) = self.failover_mut(&service) {
                    failover.proposal_decided(now, false);
                }
            }
            // The failover proposes it again while it is steady.
            Proposal::RecordPrimary { .. } => {}
        }
    }

    /// Completes a proposal that was committed.
    pub(super) fn proposal_committed(
        &mut self,
        now: f64,
        pending: PendingProposal,
        out: &mut Vec<Output>,
    ) {
        match pending.proposal {
            Proposal::Config(ConfigRequest::Replace { epoch, .. }) => {
                log::info!("event=config_committed epoch={epoch}");
                let response = ControlResponse::permanent(200, Rc::from([]));
                respond(&pending.requester, response, out);
            }
            Proposal::PromotePrimary { service, .. } => {
                if let Some(failover) = self.failover_mut(&service) {
                    let action = failover.proposal_decided(now, true);
                    self.perform_actions(now, &service, action, out);
                }
            }
            Proposal::Config(ConfigRequest::Read) | Proposal::RecordPrimary { .. } => {}
        }
    }
}

fn primary_change(service: &str, server_id: &str, min_term: u64) -> StateChange {
    StateChange::Primary {
        service: service.to_owned(),
        primary: PrimaryRecord {
            server_id: server_id.to_owned(),
            min_term,
        },
    }
}

/// Returns the response to a new configuration that is not applied, where `epoch` is the epoch of
/// the committed configuration.
fn rejection(verdict: ReplaceVerdict, epoch: u64, authority_until: f64) -> ControlResponse {
    let while_leading = |status, text: String| {
        ControlResponse::until(authority_until, status, text.into_bytes().into())
    };
    match verdict {
        ReplaceVerdict::AlreadyApplied => ControlResponse::permanent(200, Rc::from([])),
        ReplaceVerdict::Conflict => while_leading(412, format!("version {epoch} is in place\n")),
        // The configuration may have been applied long ago, but that isn't known any more, so
        // neither success nor a rejection would be true.
        ReplaceVerdict::Unknown => ControlResponse::error(
            503,
            &format!(
                "this configuration is too old to tell whether it was applied; read the current \
                 one, which has epoch {epoch}"
            ),
        ),
        ReplaceVerdict::Stale | ReplaceVerdict::Apply => {
            while_leading(400, format!("epoch is not above {epoch}\n"))
        }
    }
}

/// Sends the response to the requester, if there is one.
pub(super) fn respond(requester: &Requester, response: ControlResponse, out: &mut Vec<Output>) {
    match requester {
        Requester::Failover | Requester::AlreadyAnswered => {}
        Requester::Local(request_id) => out.push(Output::Respond(*request_id, response)),
        Requester::Peer(voter, id) => {
            let message = PeerMessage::ForwardedResponse {
                id: *id,
                status: response.status,
                body: response.body,
            };
            out.push(Output::SendToPeer(Recipient::Voter(*voter), message));
        }
    }
}
