//! The leader's duty for each service: a step of its failover, and what that asks for.

use super::{Controller, Grant, Origin, Output, Waiting, Wanted};
use crate::failover::{Act, Around, Asked, Candidate, Failover};
use crate::members::Member;
use crate::message::GrantNews;
use std::collections::HashMap;

impl Controller {
    /// How many replicas each service waits for: the driver tells it with each configuration that it has read.
    pub fn replicas_waited_for(&mut self, sync: HashMap<String, u32>) {
        if let Some(lead) = &mut self.lead {
            lead.sync = sync;
        }
    }

    pub(super) fn know_services(&mut self) {
        let timing = self.timing.service;
        let services = self.members.services();
        if let Some(lead) = &mut self.lead {
            for service in services {
                lead.services.entry(service).or_insert_with(|| Failover::new(timing));
            }
        }
    }

    /// One step of every service.
    pub(super) fn step(&mut self, now: f64, out: &mut Vec<Output>) {
        let services: Vec<String> = match &self.lead {
            Some(lead) => lead.services.keys().cloned().collect(),
            None => return,
        };
        let informed = self.informed();
        for service in services {
            let members: Vec<Candidate> = self.members.of(&service).map(candidate).collect();
            let Some(lead) = &mut self.lead else { return };
            let Some(mut failover) = lead.services.remove(&service) else { continue };
            let lost = self.members.lost(&service, self.timing.service.heartbeat);
            let record = self.current.primaries.get(&service);
            let leases = &lead.leases;
            let all_know = |number: u64| leases.all_know(now, number);
            // What another leader granted or asked for may hold until then, and what it knew must be known here.
            let not_before = match informed {
                true => lead.leases.before_us() + self.timing.platform,
                false => f64::INFINITY,
            };
            let acts = failover.tick(&Around {
                now,
                members: &members,
                lost: &lost,
                record: record.map(|p| (p.id.as_str(), p.above)),
                all_know: &all_know,
                since: lead.since,
                not_before,
                sync: lead.sync.get(&service).copied().unwrap_or(1),
            });
            lead.services.insert(service.clone(), failover);
            self.act(now, &service, acts, out);
        }
    }

    pub(super) fn act(&mut self, now: f64, service: &str, acts: Vec<Act>, out: &mut Vec<Output>) {
        for act in acts {
            match act {
                Act::Ask(id, statement) => {
                    let Some(member) = self.members.get(&id) else {
                        self.asked(now, service, &id, Asked::Silent);
                        continue;
                    };
                    let endpoint = member.news.endpoint.clone();
                    out.push(Output::Ask { id, endpoint, service: service.to_owned(), statement });
                }
                Act::Agree { to, above } => {
                    let wanted = Wanted::Primary { service: service.to_owned(), to, above, settled: false };
                    let until = now + 2.0;
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_front(Waiting { origin: Origin::Nobody, until, wanted });
                    }
                    self.next(now, out);
                }
                Act::Settle { id, term } => {
                    let wanted =
                        Wanted::Primary { service: service.to_owned(), to: id, above: term, settled: true };
                    if let Some(lead) = &mut self.lead {
                        lead.queue.push_back(Waiting { origin: Origin::Nobody, until: now + 2.0, wanted });
                    }
                    self.next(now, out);
                }
                Act::Promote { to } => {
                    let fence = self.lead.as_ref().map_or(0, |l| l.fence);
                    let before = self.consensus.authority();
                    out.push(Output::Promote { service: service.to_owned(), id: to, fence, before });
                }
                Act::Grant { id, term, closing } => {
                    let Some(lead) = &mut self.lead else { return };
                    log::info!("event=grant service={service} id={id} term={term} closing={closing}");
                    lead.number += 1;
                    let news = GrantNews { service: service.to_owned(), id, term, closing };
                    lead.grants.insert(service.to_owned(), Grant { news, stamp: lead.number });
                    let number = lead.number;
                    if let Some(failover) = lead.services.get_mut(service) {
                        failover.told(number);
                    }
                    self.news_due = true;
                }
            }
        }
    }

    /// What a question to a server came to.
    pub fn asked(&mut self, now: f64, service: &str, id: &str, asked: Asked) {
        if matches!(asked, Asked::Row { .. } | Asked::Busy) {
            self.members.answered(now, id);
        }
        if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(service)) {
            failover.asked(now, id, asked);
        }
    }

    /// What a call to the platform came to; none if nothing came in time.
    pub fn promoted(&mut self, now: f64, service: &str, status: Option<u16>) {
        log::info!("event=promotion_answered service={service} status={}", status.unwrap_or(0));
        if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(service)) {
            failover.promoted(now, status);
        }
    }
}

fn candidate(member: &Member) -> Candidate {
    Candidate { id: member.news.id.clone(), draining_since: member.draining_since, heard: member.heard }
}
