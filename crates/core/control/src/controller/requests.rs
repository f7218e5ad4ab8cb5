//! Calls that only the leader can settle, and the changes that it proposes one at a time.

use super::{ControlRequest, ControlResponse, Controller, Output};
use crate::consensus::Recipient;
use crate::message::{LeaderRequest, PeerMessage, RequestId};
use crate::state::{ConfigPayload, PrimaryRecord, ReplaceVerdict, StateChange};
use crate::voter_set::Voter;
use std::collections::VecDeque;
use std::rc::Rc;

/// Who waits for an answer.
#[derive(Clone, Debug)]
pub(super) enum Requester {
    /// Nobody: a step of a service proposed it.
    Nobody,
    /// Whoever made the call of this number here.
    Here(u64),
    /// Another control machine, which passed the call on.
    There(Voter, RequestId),
}

/// What waits until it can be settled.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    pub(super) origin: Requester,
    pub(super) until: f64,
    pub(super) wanted: ProposedChange,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub(super) enum ProposedChange {
    /// This configuration.
    Config {
        base: u64,
        epoch: u64,
        body: Rc<[u8]>,
    },
    /// The newest configuration.
    Read,
    /// That this server is the primary; `settled` tells that it leads and that no router uses another.
    Primary {
        service: String,
        to: String,
        above: u64,
        settled: bool,
    },
}

/// A call that was passed on to the leader.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequest {
    /// The number of the call here.
    call: u64,
    /// Whom it was passed on to: nobody else's answer is taken.
    to: Voter,
    until: f64,
    /// The call, in case its text has to be sent whole.
    what: ControlRequest,
}

impl Controller {
    /// Proposes the next of what waits.
    pub(super) fn next(&mut self, now: f64, out: &mut Vec<Output>) {
        loop {
            let authority = self.consensus.authority_until();
            let Some(lead) = &mut self.lead else { return };
            if lead.proposed.is_some()
                || now >= authority
                || self.consensus.committed_state().is_none()
            {
                return;
            }
            let Some(one) = lead.queue.pop_front() else {
                return;
            };
            let change = match &one.wanted {
                ProposedChange::Read => {
                    reply(
                        &one.origin,
                        ControlResponse::until(authority, 200, self.current.config.clone()),
                        out,
                    );
                    continue;
                }
                ProposedChange::Config { base, epoch, body } => {
                    match self.current.check_replace(*base, *epoch, body) {
                        ReplaceVerdict::Apply => self.current.config_change(*epoch, body),
                        verdict => {
                            reply(
                                &one.origin,
                                refusal(verdict, self.current.config_epoch, authority),
                                out,
                            );
                            continue;
                        }
                    }
                }
                // By now another change may have begun.
                ProposedChange::Primary {
                    service,
                    to,
                    above,
                    settled: true,
                } if !lead
                    .services
                    .get(service)
                    .is_some_and(|f| f.is_steady_with(to, *above)) =>
                {
                    continue;
                }
                ProposedChange::Primary {
                    service, to, above, ..
                } => {
                    let primary = PrimaryRecord {
                        server_id: to.clone(),
                        min_term: *above,
                    };
                    StateChange::Primary {
                        service: service.clone(),
                        primary,
                    }
                }
            };
            let mut outs = Vec::new();
            let version = self.consensus.propose(now, change, &mut outs);
            if let (Some(version), Some(lead)) = (version, &mut self.lead) {
                lead.proposed = Some((version, one));
            }
            self.settle(now, outs, out);
        }
    }

    /// What has waited too long is told so; a change that is under way goes on, and whoever asked comes again and finds it
    /// taken, or not.
    pub(super) fn sweep_orders(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.lead else { return };
        let queue = std::mem::take(&mut lead.queue);
        let (late, kept): (VecDeque<PendingProposal>, _) =
            queue.into_iter().partition(|one| now > one.until);
        lead.queue = kept;
        if let Some((_, one)) = lead.proposed.as_mut().filter(|(_, one)| now > one.until) {
            let origin = std::mem::replace(&mut one.origin, Requester::Nobody);
            one.until = f64::INFINITY;
            reply(
                &origin,
                ControlResponse::error(503, "not agreed on yet"),
                out,
            );
        }
        for one in late {
            self.give_up(now, one, out);
        }
    }

    fn give_up(&mut self, now: f64, one: PendingProposal, out: &mut Vec<Output>) {
        match one.wanted {
            ProposedChange::Primary { settled: true, .. } => {}
            ProposedChange::Primary { service, .. } => {
                if let Some(failover) = self
                    .lead
                    .as_mut()
                    .and_then(|lead| lead.services.get_mut(&service))
                {
                    failover.proposal_decided(now, false);
                }
            }
            _ => reply(
                &one.origin,
                ControlResponse::error(503, "nothing could be agreed on in time"),
                out,
            ),
        }
    }

    /// Calls that need the leader: taken here, passed on, or held until one is known.
    pub(super) fn retry_held(&mut self, now: f64, out: &mut Vec<Output>) {
        for _ in 0..self.held.len() {
            let Some((number, call, until)) = self.held.pop_front() else {
                return;
            };
            let leader = self
                .consensus
                .leader()
                .filter(|leader| *leader != self.consensus.me());
            if now > until {
                out.push(Output::Respond(
                    number,
                    ControlResponse::error(503, "no machine leads"),
                ));
            } else if let Some(lead) = &mut self.lead {
                let wanted = wanted(call);
                lead.queue.push_back(PendingProposal {
                    origin: Requester::Here(number),
                    until,
                    wanted,
                });
                self.next(now, out);
            } else if let Some(leader) = leader {
                self.pass_on(number, leader, call, until, out);
            } else {
                self.held.push_back((number, call, until));
            }
        }
    }

    fn pass_on(
        &mut self,
        number: u64,
        leader: Voter,
        call: ControlRequest,
        until: f64,
        out: &mut Vec<Output>,
    ) {
        self.passing += 1;
        let id = RequestId {
            process_incarnation: self.process_incarnation,
            sequence: self.passing,
        };
        let message = match &call {
            ControlRequest::ReplaceConfig {
                base_epoch: base,
                epoch,
                body,
            } => {
                let text =
                    ConfigPayload::relative_to(&self.consensus.hard_state().state.config, body);
                LeaderRequest::ReplaceConfig {
                    base_epoch: *base,
                    epoch: *epoch,
                    config: text,
                }
            }
            _ => LeaderRequest::ReadConfig,
        };
        self.passed.insert(
            self.passing,
            ForwardedRequest {
                call: number,
                to: leader,
                until,
                what: call,
            },
        );
        out.push(Output::SendToPeer(
            Recipient::Voter(leader),
            PeerMessage::ForwardedRequest {
                id,
                request: message,
            },
        ));
    }

    /// Another machine passes on a call.
    pub(super) fn on_call(
        &mut self,
        now: f64,
        from: Voter,
        id: RequestId,
        call: LeaderRequest,
        out: &mut Vec<Output>,
    ) {
        let origin = Requester::There(from, id);
        let current = &self.current.config;
        let wanted = match call {
            LeaderRequest::ReadConfig => Some(ProposedChange::Read),
            LeaderRequest::ReplaceConfig {
                base_epoch: base,
                epoch,
                config: text,
            } => text
                .resolve(current)
                .map(|body| ProposedChange::Config { base, epoch, body }),
        };
        let until = now + self.timing.request_timeout;
        match (&mut self.lead, wanted) {
            (None, _) => reply(
                &origin,
                ControlResponse::error(503, "this machine doesn't lead"),
                out,
            ),
            (Some(_), None) => out.push(Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::FullConfigRequest { id },
            )),
            (Some(lead), Some(wanted)) => lead.queue.push_back(PendingProposal {
                origin,
                until,
                wanted,
            }),
        }
        self.next(now, out);
    }

    /// The leader has not the configuration against which the text of a call was written.
    pub(super) fn on_send_whole(&mut self, from: Voter, id: RequestId, out: &mut Vec<Output>) {
        let passed = self.passed.get(&id.sequence).filter(|passed| {
            passed.to == from && id.process_incarnation == self.process_incarnation
        });
        let Some(ForwardedRequest {
            what:
                ControlRequest::ReplaceConfig {
                    base_epoch: base,
                    epoch,
                    body,
                },
            ..
        }) = passed
        else {
            return;
        };
        let call = LeaderRequest::ReplaceConfig {
            base_epoch: *base,
            epoch: *epoch,
            config: ConfigPayload::Full(body.clone()),
        };
        out.push(Output::SendToPeer(
            Recipient::Voter(from),
            PeerMessage::ForwardedRequest { id, request: call },
        ));
    }

    /// An answer to a call that was passed on: taken only from the one that was asked, for a call of this life.
    pub(super) fn on_answer(
        &mut self,
        from: Voter,
        id: RequestId,
        status: u16,
        body: Rc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        let asked = self
            .passed
            .get(&id.sequence)
            .is_some_and(|passed| passed.to == from);
        if asked
            && id.process_incarnation == self.process_incarnation
            && let Some(passed) = self.passed.remove(&id.sequence)
        {
            out.push(Output::Respond(
                passed.call,
                ControlResponse::until(passed.until, status, body),
            ));
        }
    }

    /// Calls that were passed on and have no answer in time.
    pub(super) fn sweep_passed(&mut self, now: f64, out: &mut Vec<Output>) {
        for passed in self.passed.values().filter(|passed| now > passed.until) {
            let answer = ControlResponse::error(503, "no answer from the machine that leads");
            out.push(Output::Respond(passed.call, answer));
        }
        self.passed.retain(|_, passed| now <= passed.until);
    }
}

fn wanted(call: ControlRequest) -> ProposedChange {
    match call {
        ControlRequest::ReplaceConfig {
            base_epoch: base,
            epoch,
            body,
        } => ProposedChange::Config { base, epoch, body },
        _ => ProposedChange::Read,
    }
}

fn refusal(verdict: ReplaceVerdict, epoch: u64, authority: f64) -> ControlResponse {
    let text = |text: String| Rc::from(text.into_bytes());
    match verdict {
        ReplaceVerdict::AlreadyApplied => ControlResponse::lasting(200, Rc::from([])),
        ReplaceVerdict::Conflict => ControlResponse::until(
            authority,
            412,
            text(format!("version {epoch} is in place\n")),
        ),
        // Whether it was taken long ago isn't known any more: neither yes nor no.
        ReplaceVerdict::Unknown => ControlResponse::error(
            503,
            "too old to tell whether it was taken; read the configuration",
        ),
        ReplaceVerdict::Stale | ReplaceVerdict::Apply => ControlResponse::until(
            authority,
            400,
            text(format!("epoch is not above {epoch}\n")),
        ),
    }
}

/// Answers whoever waits.
pub(super) fn reply(origin: &Requester, answer: ControlResponse, out: &mut Vec<Output>) {
    match origin {
        Requester::Nobody => {}
        Requester::Here(call) => out.push(Output::Respond(*call, answer)),
        Requester::There(voter, id) => {
            let message = PeerMessage::ForwardedResponse {
                id: *id,
                status: answer.status,
                body: answer.body,
            };
            out.push(Output::SendToPeer(Recipient::Voter(*voter), message));
        }
    }
}
