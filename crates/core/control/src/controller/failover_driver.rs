//! Steps the failover of each service while this machine leads, and reports to it what comes of its
//! commands. The decisions of a step are in [`crate::failover`], and `failover_actions` carries them
//! out.

use super::service_scheduler::scaled_config;
use super::{Controller, Output};
use crate::failover::{
    CommandOutcome, Failover, FailoverConfig, FailoverContext, ServerCandidate, UnresponsiveRole,
};
use crate::promotion::{LATE_EFFECT_S, PromotionOutcome};
use std::collections::{BTreeMap, HashMap};

/// Number of commands to servers after which no further service has its turn in a tick. The
/// remaining services have their turns in the next tick.
pub(crate) const MAX_COMMANDS_PER_TICK: usize = 64;
/// Maximum number of services on whose servers routers report at a time.
pub(crate) const MAX_HEALTH_REPORT_SERVICES: usize = 32;
/// Number of replicas that have a write before it is acknowledged, unless the configuration sets
/// it.
const DEFAULT_SYNC_REPLICAS: u32 = 1;

impl Controller {
    /// Sets, by service, the number of replicas that have a write before it is acknowledged. The
    /// driver calls this with each configuration that it has read.
    pub fn set_sync_replicas(&mut self, sync_replicas: HashMap<String, u32>) {
        if let Some(lead) = &mut self.leadership {
            lead.sync_replicas = sync_replicas;
        }
    }

    /// Returns whether this machine leads with this fencing token. Outcomes of work that was begun
    /// under another token no longer count.
    pub fn leads_with(&self, fencing_token: u64) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|lead| lead.fencing_token == fencing_token)
    }

    /// Returns whether this machine leads with this fencing token and knows that no other machine
    /// leads. The driver checks this just before it sends anything that a former leader must not
    /// send.
    pub fn may_act_with(&self, now: f64, fencing_token: u64) -> bool {
        self.leads_with(fencing_token) && self.may_act(now)
    }

    /// Handles the outcome of a command of [`Output::SendCommand`].
    pub fn command_completed(
        &mut self,
        now: f64,
        service: &str,
        server_id: &str,
        outcome: CommandOutcome,
    ) {
        match outcome {
            CommandOutcome::Status { .. } | CommandOutcome::Busy => {
                self.members.seen_alive(now, server_id);
            }
            CommandOutcome::Refused => self.handle_refused_connection(server_id),
            CommandOutcome::TimedOut | CommandOutcome::NotSent => {}
        }
        self.report_outcome(now, service, server_id, outcome);
    }

    /// Reports the outcome of a command to the failover of the service.
    pub(super) fn report_outcome(
        &mut self,
        now: f64,
        service: &str,
        server_id: &str,
        outcome: CommandOutcome,
    ) {
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let Some(failover) = lead.failovers.get_mut(service) else {
            return;
        };
        failover.command_completed(now, server_id, outcome);
        if !failover.is_steady() {
            lead.scheduler.server_answered(service);
        }
    }

    /// Handles a refused connection to a server: one that departs undrained gets no more work.
    fn handle_refused_connection(&mut self, server_id: &str) {
        let update_number = self.next_update_number();
        let has_departed = self.members.connection_refused(server_id, update_number);
        self.update_due |= has_departed && update_number > 0;
    }

    /// Handles the outcome of a request of [`Output::Promote`].
    pub fn promotion_completed(
        &mut self,
        now: f64,
        service: &str,
        server_id: &str,
        outcome: PromotionOutcome,
    ) {
        if let Some(failover) = self.failover_mut(service) {
            failover.promotion_completed(now, server_id, outcome);
        }
    }

    /// Returns the failover of a service, if this machine leads.
    pub(super) fn failover_mut(&mut self, service: &str) -> Option<&mut Failover> {
        self.leadership.as_mut()?.failovers.get_mut(service)
    }

    /// Creates failovers for services that have members and no failover yet.
    pub(super) fn add_new_services(&mut self) {
        let config = self.config.failover;
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let change_count = Some(self.members.change_count());
        if lead.services_added_at_change == change_count {
            return;
        }
        lead.services_added_at_change = change_count;
        for service in self.members.services() {
            lead.failovers
                .entry(service)
                .or_insert_with(|| Failover::new(config));
        }
    }

    /// Steps failovers that don't wait for their turn, because a server has answered while the
    /// failover isn't steady, and then the failovers that have their turn in this tick.
    pub(super) fn step_failovers(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let config = scaled_config(self.config.failover, lead.failovers.len());
        let answered = lead.scheduler.take_answered();
        let turns = lead.scheduler.next_turns(&lead.failovers);
        let command_budget = lead.scheduler.budget(MAX_COMMANDS_PER_TICK);
        let outputs_before = out.len();
        let unreported_until = lead.leases.last_unreported_end(now);
        for service in answered {
            self.step_failover(now, &service, config, unreported_until, out);
        }
        for service in turns {
            if count_commands(&out[outputs_before..]) >= command_budget {
                break;
            }
            self.step_failover(now, &service, config, unreported_until, out);
            if let Some(lead) = &mut self.leadership {
                lead.scheduler.turn_done(service);
            }
        }
        if let Some(lead) = &mut self.leadership {
            let services = services_to_report_on(now, &lead.failovers);
            lead.updates.set_health_reports_wanted(services);
        }
    }

    fn step_failover(
        &mut self,
        now: f64,
        service: &str,
        config: FailoverConfig,
        unreported_until: f64,
        out: &mut Vec<Output>,
    ) {
        let members = self.service_candidates(service);
        let not_before = self.failover_not_before();
        let Some(lead) = &mut self.leadership else {
            return;
        };
        let Some(failover) = lead.failovers.get_mut(service) else {
            return;
        };
        failover.begin_step(now, config);
        let departed = self
            .members
            .departed_of(service, self.config.failover.heartbeat_interval);
        let leases = &lead.leases;
        let actions = failover.tick(&FailoverContext {
            now,
            members: &members,
            departed: &departed,
            recorded_primary: self.committed.primaries.get(service),
            is_replaced_by: &|old, new| self.members.is_replaced_by(old, new),
            same_address: &|one, other| self.members.share_address(one, other),
            all_acknowledged: &|number| leases.all_acknowledged(now, number),
            acknowledged_position: &|number, since| {
                leases.acknowledged_position(service, number, since)
            },
            surpassed_position: &|| leases.surpassed_position(service),
            unreported_until,
            leading_since: lead.since,
            not_before,
            sync_replicas: lead
                .sync_replicas
                .get(service)
                .copied()
                .unwrap_or(DEFAULT_SYNC_REPLICAS),
        });
        self.perform_actions(now, service, actions, out);
    }

    /// Returns what a failover needs to know about the members of its service.
    fn service_candidates(&self, service: &str) -> Vec<ServerCandidate> {
        let heartbeat_interval = self.config.failover.heartbeat_interval;
        self.members
            .of_service(service)
            .map(|member| ServerCandidate {
                id: member.info.id.clone(),
                draining_since: member.draining_since,
                last_seen: member.last_seen,
                inactivity: member.inactivity(heartbeat_interval),
            })
            .collect()
    }

    /// Returns the time from which failovers may change anything. Until then, grants and platform
    /// requests of former leaders may be in force. The time is infinite while this leader may not
    /// know all members that former leaders knew.
    fn failover_not_before(&self) -> f64 {
        match &self.leadership {
            Some(lead) if self.knows_former_members() => {
                let former_requests_until =
                    lead.leases.former_leases_until() + self.config.platform_call_timeout;
                let given_up_requests_until =
                    lead.since + self.config.platform_call_timeout + LATE_EFFECT_S;
                former_requests_until
                    .max(given_up_requests_until)
                    .max(lead.since + self.config.platform_handover_delay)
            }
            _ => f64::INFINITY,
        }
    }
}

fn count_commands(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::SendCommand { .. }))
        .count()
}

/// Returns the services on whose servers routers are to report: first those with an unresponsive
/// primary, then those with an unresponsive replica, each group ordered from the longest silence to
/// the shortest.
fn services_to_report_on(now: f64, failovers: &BTreeMap<String, Failover>) -> Vec<String> {
    let mut unresponsive: Vec<((UnresponsiveRole, f64), &String)> = failovers
        .iter()
        .filter_map(|(service, failover)| Some((failover.unresponsive_server(now)?, service)))
        .collect();
    unresponsive.sort_by(|((role, seconds), _), ((other_role, other_seconds), _)| {
        other_role.cmp(role).then(other_seconds.total_cmp(seconds))
    });
    unresponsive
        .into_iter()
        .take(MAX_HEALTH_REPORT_SERVICES)
        .map(|(_, service)| service.clone())
        .collect()
}
