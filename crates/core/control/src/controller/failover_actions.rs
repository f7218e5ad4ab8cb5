//! Carries out what the failovers of services decide: commands to servers, proposals, requests to
//! the platform, and grants to routers.

use super::proposals::{PendingProposal, Proposal, Requester};
use super::{Controller, MAX_PRIMARY_CHANGE_DURATIONS, Output};
use crate::failover::{CommandOutcome, FailoverAction, ServerCommand};
use crate::message::PrimaryGrant;

/// Maximum time that a proposal of a failover may wait.
const PROPOSAL_TIMEOUT_S: f64 = 2.0;

impl Controller {
    /// Carries out the actions that the failover of a service decided.
    pub(super) fn perform_actions(
        &mut self,
        now: f64,
        service: &str,
        actions: impl IntoIterator<Item = FailoverAction>,
        out: &mut Vec<Output>,
    ) {
        for action in actions {
            match action {
                FailoverAction::SendCommand { server_id, command } => {
                    self.send_command(now, service, server_id, command, out);
                }
                FailoverAction::QueryDeparted { server_id } => {
                    self.query_departed(service, server_id, out);
                }
                FailoverAction::ProposePrimary {
                    server_id,
                    after_term,
                } => self.propose_primary(now, service, server_id, after_term, out),
                FailoverAction::RecordComplete {
                    server_id,
                    primary_term,
                } => self.propose_completion(now, service, server_id, primary_term, out),
                FailoverAction::MarkSuperseded { server_id } => self.mark_superseded(&server_id),
                FailoverAction::Promote { server_id } => {
                    out.push(self.promotion_request(service, server_id));
                }
                FailoverAction::Grant {
                    server_id,
                    primary_term,
                    revoking,
                } => self.publish_grant(
                    now,
                    PrimaryGrant {
                        service: service.to_owned(),
                        server_id,
                        primary_term,
                        revoking,
                    },
                ),
            }
        }
    }

    fn send_command(
        &mut self,
        now: f64,
        service: &str,
        server_id: String,
        command: ServerCommand,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.members.get(&server_id) else {
            // The failover awaits an outcome, but the server's address isn't known, so the command
            // can't be sent.
            self.report_outcome(now, service, &server_id, CommandOutcome::TimedOut);
            return;
        };
        let endpoint = member.info.endpoint.clone();
        out.push(self.command_output(service, server_id, endpoint, command));
    }

    /// Queries the status of a server that has departed.
    fn query_departed(&self, service: &str, server_id: String, out: &mut Vec<Output>) {
        if let Some(endpoint) = self.members.endpoint(&server_id) {
            let endpoint = endpoint.to_owned();
            out.push(self.command_output(service, server_id, endpoint, ServerCommand::Status));
        }
    }

    fn command_output(
        &self,
        service: &str,
        server_id: String,
        endpoint: String,
        command: ServerCommand,
    ) -> Output {
        Output::SendCommand {
            endpoint,
            server_id,
            service: service.to_owned(),
            command,
            fencing_token: self.fencing_token(),
        }
    }

    /// Records that the log of a departed server is superseded, and tells the other machines.
    fn mark_superseded(&mut self, server_id: &str) {
        if let Some(superseded) = self.members.mark_superseded(server_id) {
            self.heartbeat_batch.add(superseded);
        }
    }

    fn promotion_request(&self, service: &str, server_id: String) -> Output {
        Output::Promote {
            service: service.to_owned(),
            server_id,
            fencing_token: self.fencing_token(),
            deadline: self.consensus.authority_until(),
        }
    }

    /// Queues the promotion target before all waiting proposals, since the service may have no
    /// primary in the meantime, and proposes what can be proposed now.
    fn propose_primary(
        &mut self,
        now: f64,
        service: &str,
        server_id: String,
        after_term: u64,
        out: &mut Vec<Output>,
    ) {
        if let Some(lead) = &mut self.leadership {
            lead.proposals.push_front(PendingProposal {
                requester: Requester::Failover,
                deadline: now + PROPOSAL_TIMEOUT_S,
                proposal: Proposal::PromotePrimary {
                    service: service.to_owned(),
                    server_id,
                    after_term,
                },
            });
        }
        self.propose_next(now, out);
    }

    fn propose_completion(
        &mut self,
        now: f64,
        service: &str,
        server_id: String,
        primary_term: u64,
        out: &mut Vec<Output>,
    ) {
        if let Some(lead) = &mut self.leadership {
            lead.proposals.push_back(PendingProposal {
                requester: Requester::Failover,
                deadline: now + PROPOSAL_TIMEOUT_S,
                proposal: Proposal::RecordPrimary {
                    service: service.to_owned(),
                    server_id,
                    primary_term,
                },
            });
        }
        self.propose_next(now, out);
    }

    /// Publishes the grant in a new update to routers, which is sent with the next tick.
    fn publish_grant(&mut self, now: f64, grant: PrimaryGrant) {
        let Some(lead) = &mut self.leadership else {
            return;
        };
        log::info!(
            "event=grant service={} server={} term={} revoking={}",
            grant.service,
            grant.server_id,
            grant.primary_term,
            grant.revoking
        );
        let update_number = lead.updates.begin_update();
        lead.leases.record_grant_change(update_number);
        if let Some(failover) = lead.failovers.get_mut(&grant.service) {
            failover.grant_announced(update_number);
        }
        if let Some(outage_s) = lead.grants.replace(now, grant, update_number)
            && self.primary_change_durations_s.len() < MAX_PRIMARY_CHANGE_DURATIONS
        {
            self.primary_change_durations_s.push(outage_s);
        }
        self.update_due = true;
    }
}
