//! The leader's duty for each service: a step of its failover, and what that asks for.

use super::{
    Controller, Grant, Leadership, Output, PRIMARY_CHANGES_KEPT, PendingProposal, ProposedChange,
    Requester,
};
use crate::failover::{
    CommandOutcome, Failover, FailoverAction, FailoverConfig, FailoverContext, ServerCandidate,
    UnresponsiveRole,
};
use crate::members::Member;
use crate::message::PrimaryGrant;
use crate::promotion::PromotionOutcome;
use std::collections::{BTreeSet, HashMap};

/// So many services are stepped in one tick, at most.
pub(crate) const SERVICES_A_TICK: usize = 128;
/// Of these so many at most are such whose primary isn't settled, while there are others.
const UNSETTLED_A_TICK: usize = 96;
/// So many questions go to servers in one tick, at most; the services that had no turn have theirs in the next.
pub(crate) const QUESTIONS_A_TICK: usize = 64;
/// Routers are asked about so many primaries at a time, at most.
pub(crate) const EVIDENCE_WANTED: usize = 32;
/// Each primary is asked so seldom that no more than so many are asked a second.
const PRIMARIES_A_SECOND: f64 = 1250.0;
/// Replicas of primaries in use are asked so seldom that no more than so many connections to them stay open.
const REPLICAS_KEPT: f64 = 700.0;
/// Replicas of a service that are reckoned with.
const REPLICAS: f64 = 2.0;
/// For so many seconds a connection to a server stays open without a question.
const IDLE: f64 = 6.0;
/// Ticks that come this far apart, in seconds, have all that one tick may do; later ones have less each.
const PUNCTUAL: f64 = 0.1;
/// Which services are stepped next.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceScheduler {
    /// The service that was stepped last in its turn: the next turn begins behind it.
    last: String,
    /// Services whose primary isn't settled and that had an answer since their last step: these don't wait for their turn.
    answered: BTreeSet<String>,
    /// The changes of members after which the services were last looked through.
    members_seen: Option<u64>,
    ticked: f64,
    /// The pause before this tick, in seconds.
    pause: f64,
}

impl ServiceScheduler {
    pub(super) fn begin_tick(&mut self, now: f64) {
        self.pause = now - self.ticked;
        self.ticked = now;
    }

    /// What this tick may do of something of which a punctual one does this much: a machine that is late does less of what can
    /// wait, so that leases and agreement have their time.
    pub(super) fn share(&self, most: usize) -> usize {
        let share = (PUNCTUAL / self.pause.max(PUNCTUAL)).max(0.25);
        (most as f64 * share) as usize
    }
}

/// The spans that go with so many services: with many, servers are asked less often, and a silence is longer.
fn paced(timing: FailoverConfig, services: usize) -> FailoverConfig {
    let services = services as f64;
    let slower = (services / PRIMARIES_A_SECOND / timing.primary_poll_interval).max(1.0);
    let replicas = REPLICAS * services;
    let closed = if replicas > REPLICAS_KEPT {
        IDLE * replicas / REPLICAS_KEPT
    } else {
        0.0
    };
    FailoverConfig {
        primary_poll_interval: timing.primary_poll_interval * slower,
        replica_poll_interval: (timing.replica_poll_interval * slower).max(closed),
        primary_timeout: timing.primary_timeout * slower,
        ..timing
    }
}

/// The services that are stepped in this tick.
fn next_turns(lead: &Leadership) -> Vec<String> {
    let from = (
        std::ops::Bound::Excluded(lead.turns.last.clone()),
        std::ops::Bound::Unbounded,
    );
    let behind = lead
        .services
        .range(from)
        .chain(lead.services.range(..=lead.turns.last.clone()));
    let (steady, unsettled): (Vec<_>, Vec<_>) = behind.partition(|(_, f)| f.is_steady());
    let first = unsettled
        .len()
        .min(UNSETTLED_A_TICK.max(SERVICES_A_TICK.saturating_sub(steady.len())));
    let turns = unsettled.into_iter().take(first).chain(steady);
    turns
        .map(|(service, _)| service.clone())
        .take(SERVICES_A_TICK)
        .collect()
}

/// The services that routers are to tell evidence of: those whose primary nobody heard for the longest, then those with a replica
/// that is silent.
fn evidence_wanted(now: f64, lead: &Leadership) -> Vec<String> {
    let silent = |(service, failover): (_, &Failover)| Some((failover.unresponsive(now)?, service));
    let mut wanted: Vec<((UnresponsiveRole, f64), &String)> =
        lead.services.iter().filter_map(silent).collect();
    wanted.sort_by(|((a, for_a), _), ((b, for_b), _)| b.cmp(a).then(for_b.total_cmp(for_a)));
    wanted
        .into_iter()
        .take(EVIDENCE_WANTED)
        .map(|(_, service)| service.clone())
        .collect()
}

fn questions(out: &[Output]) -> usize {
    out.iter()
        .filter(|o| matches!(o, Output::SendCommand { .. }))
        .count()
}

impl Controller {
    /// How many replicas each service waits for: the driver tells it with each configuration that it has read.
    pub fn set_sync_replicas(&mut self, sync: HashMap<String, u32>) {
        if let Some(lead) = &mut self.lead {
            lead.sync = sync;
        }
    }

    /// Services of which a server was heard for the first time get their failover.
    pub(super) fn know_services(&mut self) {
        let timing = self.timing.failover;
        let Some(lead) = &mut self.lead else { return };
        if lead.turns.members_seen == Some(self.members.change_count()) {
            return;
        }
        lead.turns.members_seen = Some(self.members.change_count());
        for service in self.members.services() {
            lead.services
                .entry(service)
                .or_insert_with(|| Failover::new(timing));
        }
    }

    /// One step of the services that have their turn: those whose primary isn't settled go first.
    pub(super) fn step(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.lead else { return };
        let timing = paced(self.timing.failover, lead.services.len());
        let answered: Vec<String> = std::mem::take(&mut lead.turns.answered)
            .into_iter()
            .collect();
        let services = next_turns(lead);
        let most_questions = lead.turns.share(QUESTIONS_A_TICK);
        let asked_before = out.len();
        for service in answered {
            self.step_of(now, &service, timing, out);
        }
        for service in services {
            if questions(&out[asked_before..]) >= most_questions {
                break;
            }
            self.step_of(now, &service, timing, out);
            if let Some(lead) = &mut self.lead {
                lead.turns.last = service;
            }
        }
        if let Some(lead) = &mut self.lead {
            let wanted = evidence_wanted(now, lead);
            lead.telling.want_evidence(wanted);
        }
    }

    fn step_of(&mut self, now: f64, service: &str, timing: FailoverConfig, out: &mut Vec<Output>) {
        let members: Vec<ServerCandidate> =
            self.members.of_service(service).map(candidate).collect();
        let informed = self.informed();
        let Some(lead) = &mut self.lead else { return };
        let Some(failover) = lead.services.get_mut(service) else {
            return;
        };
        failover.begin_step(now, timing);
        let departed = self
            .members
            .departed_of(service, self.timing.failover.heartbeat_interval);
        let record = self.current.primaries.get(service);
        let leases = &lead.leases;
        let all_know = |number: u64| leases.all_acknowledged(now, number);
        let succeeds = |old: &str, new: &str| self.members.succeeds(old, new);
        let same_address = |one: &str, other: &str| self.members.share_an_address(one, other);
        // What another leader granted or asked for may hold until then, and what it knew must be known here.
        let not_before = match informed {
            true => (leases.former_leases_until() + self.timing.platform_call_timeout)
                .max(lead.since + self.timing.duty_handover_delay),
            false => f64::INFINITY,
        };
        let acts = failover.tick(&FailoverContext {
            now,
            members: &members,
            departed: &departed,
            recorded_primary: record,
            succeeds: &succeeds,
            same_address: &same_address,
            all_acknowledged: &all_know,
            leading_since: lead.since,
            not_before,
            sync_replicas: lead.sync.get(service).copied().unwrap_or(1),
        });
        self.act(now, service, acts, out);
    }

    pub(super) fn act(
        &mut self,
        now: f64,
        service: &str,
        acts: Vec<FailoverAction>,
        out: &mut Vec<Output>,
    ) {
        for act in acts {
            match act {
                FailoverAction::SendCommand {
                    server_id: id,
                    command: statement,
                } => {
                    let Some(member) = self.members.get(&id) else {
                        self.command_completed(now, service, &id, CommandOutcome::TimedOut);
                        continue;
                    };
                    let endpoint = member.info.endpoint.clone();
                    let fencing_token = self.lead.as_ref().map_or(0, |l| l.fencing_token);
                    out.push(Output::SendCommand {
                        server_id: id,
                        endpoint,
                        service: service.to_owned(),
                        command: statement,
                        fencing_token,
                    });
                }
                FailoverAction::ProposePrimary {
                    server_id: to,
                    after_term: above,
                } => {
                    let wanted = ProposedChange::Primary {
                        service: service.to_owned(),
                        to,
                        above,
                        settled: false,
                    };
                    let until = now + 2.0;
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_front(PendingProposal {
                            origin: Requester::Nobody,
                            until,
                            wanted,
                        });
                    }
                    self.next(now, out);
                }
                FailoverAction::RecordComplete {
                    server_id: id,
                    primary_term,
                } => {
                    let wanted = ProposedChange::Primary {
                        service: service.to_owned(),
                        to: id,
                        above: primary_term,
                        settled: true,
                    };
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_back(PendingProposal {
                            origin: Requester::Nobody,
                            until: now + 2.0,
                            wanted,
                        });
                    }
                    self.next(now, out);
                }
                FailoverAction::Promote { server_id: to } => {
                    let fencing_token = self.lead.as_ref().map_or(0, |l| l.fencing_token);
                    let before = self.consensus.authority_until();
                    out.push(Output::Promote {
                        service: service.to_owned(),
                        server_id: to,
                        fencing_token,
                        deadline: before,
                    });
                }
                FailoverAction::Grant {
                    server_id: id,
                    primary_term,
                    revoking: closing,
                } => {
                    let Some(lead) = &mut self.lead else { return };
                    log::info!(
                        "event=grant service={service} id={id} term={primary_term} closing={closing}"
                    );
                    if closing {
                        lead.withdrawn.entry(service.to_owned()).or_insert(now);
                    } else if let Some(since) = lead.withdrawn.remove(service)
                        && self.primary_changes.len() < PRIMARY_CHANGES_KEPT
                    {
                        self.primary_changes.push(now - since);
                    }
                    lead.number += 1;
                    lead.leases.grant_changed(lead.number);
                    let news = PrimaryGrant {
                        service: service.to_owned(),
                        server_id: id,
                        primary_term,
                        revoking: closing,
                    };
                    lead.grants.insert(
                        service.to_owned(),
                        Grant {
                            news,
                            stamp: lead.number,
                        },
                    );
                    let number = lead.number;
                    if let Some(failover) = lead.services.get_mut(service) {
                        failover.grant_announced(number);
                    }
                    self.news_due = true;
                }
            }
        }
    }

    /// Whether this machine leads under this ballot: nothing that was asked under another one counts any more.
    pub fn leads_with(&self, fencing_token: u64) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|l| l.fencing_token == fencing_token)
    }

    /// Whether this machine leads under this ballot and knows that nobody else does: to be looked at just before a call
    /// leaves that a former leader must not make.
    pub fn may_act_with(&self, now: f64, fencing_token: u64) -> bool {
        self.leads_with(fencing_token) && self.may_act(now)
    }

    /// What a question to a server came to.
    pub fn command_completed(&mut self, now: f64, service: &str, id: &str, asked: CommandOutcome) {
        if matches!(asked, CommandOutcome::Status { .. } | CommandOutcome::Busy) {
            self.members.seen_alive(now, id);
        }
        if asked == CommandOutcome::Refused {
            let stamp = self.lead.as_ref().map_or(0, |lead| lead.number + 1);
            if let Some(news) = self.members.refused(now, id, stamp) {
                self.news_due |= stamp > 0;
                self.refreshed.add(news);
            }
        }
        let Some(lead) = &mut self.lead else { return };
        let Some(failover) = lead.services.get_mut(service) else {
            return;
        };
        failover.command_completed(now, id, asked);
        if !failover.is_steady() && !lead.turns.answered.contains(service) {
            lead.turns.answered.insert(service.to_owned());
        }
    }

    /// How a call to the platform that names this server has ended.
    pub fn promotion_completed(
        &mut self,
        now: f64,
        service: &str,
        id: &str,
        outcome: PromotionOutcome,
    ) {
        if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(service)) {
            failover.promotion_completed(now, id, outcome);
        }
    }
}

fn candidate(member: &Member) -> ServerCandidate {
    ServerCandidate {
        id: member.info.id.clone(),
        draining_since: member.draining_since,
        last_seen: member.last_seen,
    }
}
