//! Calls that only the leader can settle, and the changes that it proposes one at a time.

use super::{Answer, Call, Controller, Output};
use crate::consensus::Recipient;
use crate::membership::Voter;
use crate::message::{CallId, LeaderCall, PeerMessage};
use crate::state::{Change, Primary, Text, Verdict};
use std::collections::VecDeque;
use std::rc::Rc;

/// Who waits for an answer.
#[derive(Clone, Debug)]
pub(super) enum Origin {
    /// Nobody: a step of a service proposed it.
    Nobody,
    /// Whoever made the call of this number here.
    Here(u64),
    /// Another control machine, which passed the call on.
    There(Voter, CallId),
}

/// What waits until it can be settled.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) origin: Origin,
    pub(super) until: f64,
    pub(super) wanted: Wanted,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub(super) enum Wanted {
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
pub(super) struct Passed {
    /// The number of the call here.
    call: u64,
    /// Whom it was passed on to: nobody else's answer is taken.
    to: Voter,
    until: f64,
    /// The call, in case its text has to be sent whole.
    what: Call,
}

impl Controller {
    /// Proposes the next of what waits.
    pub(super) fn next(&mut self, now: f64, out: &mut Vec<Output>) {
        loop {
            let authority = self.consensus.authority();
            let Some(lead) = &mut self.lead else { return };
            if lead.proposed.is_some() || now >= authority || self.consensus.agreed().is_none() {
                return;
            }
            let Some(one) = lead.queue.pop_front() else {
                return;
            };
            let change = match &one.wanted {
                Wanted::Read => {
                    reply(
                        &one.origin,
                        Answer::until(authority, 200, self.current.config.clone()),
                        out,
                    );
                    continue;
                }
                Wanted::Config { base, epoch, body } => {
                    match self.current.judge(*base, *epoch, body) {
                        Verdict::Next => self.current.change_config(*epoch, body),
                        verdict => {
                            reply(
                                &one.origin,
                                refusal(verdict, self.current.epoch, authority),
                                out,
                            );
                            continue;
                        }
                    }
                }
                // By now another change may have begun.
                Wanted::Primary {
                    service,
                    to,
                    above,
                    settled: true,
                } if !lead
                    .services
                    .get(service)
                    .is_some_and(|f| f.is_steady(to, *above)) =>
                {
                    continue;
                }
                Wanted::Primary {
                    service, to, above, ..
                } => {
                    let primary = Primary {
                        id: to.clone(),
                        above: *above,
                    };
                    Change::Primary {
                        service: service.clone(),
                        primary,
                    }
                }
            };
            let mut outs = Vec::new();
            let seq = self.consensus.propose(now, change, &mut outs);
            if let (Some(seq), Some(lead)) = (seq, &mut self.lead) {
                lead.proposed = Some((seq, one));
            }
            self.settle(now, outs, out);
        }
    }

    /// What has waited too long is told so; a change that is under way goes on, and whoever asked comes again and finds it
    /// taken, or not.
    pub(super) fn sweep_orders(&mut self, now: f64, out: &mut Vec<Output>) {
        let Some(lead) = &mut self.lead else { return };
        let queue = std::mem::take(&mut lead.queue);
        let (late, kept): (VecDeque<Waiting>, _) =
            queue.into_iter().partition(|one| now > one.until);
        lead.queue = kept;
        if let Some((_, one)) = lead.proposed.as_mut().filter(|(_, one)| now > one.until) {
            let origin = std::mem::replace(&mut one.origin, Origin::Nobody);
            one.until = f64::INFINITY;
            reply(&origin, Answer::error(503, "not agreed on yet"), out);
        }
        for one in late {
            self.give_up(now, one, out);
        }
    }

    fn give_up(&mut self, now: f64, one: Waiting, out: &mut Vec<Output>) {
        match one.wanted {
            Wanted::Primary { settled: true, .. } => {}
            Wanted::Primary { service, .. } => {
                if let Some(failover) = self
                    .lead
                    .as_mut()
                    .and_then(|lead| lead.services.get_mut(&service))
                {
                    failover.agreed(now, false);
                }
            }
            _ => reply(
                &one.origin,
                Answer::error(503, "nothing could be agreed on in time"),
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
                out.push(Output::Reply(
                    number,
                    Answer::error(503, "no machine leads"),
                ));
            } else if let Some(lead) = &mut self.lead {
                let wanted = wanted(call);
                lead.queue.push_back(Waiting {
                    origin: Origin::Here(number),
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
        call: Call,
        until: f64,
        out: &mut Vec<Output>,
    ) {
        self.passing += 1;
        let id = CallId {
            life: self.life,
            number: self.passing,
        };
        let message = match &call {
            Call::Replace { base, epoch, body } => {
                let text = Text::from_to(&self.consensus.record().state.config, body);
                LeaderCall::Replace {
                    base: *base,
                    epoch: *epoch,
                    text,
                }
            }
            _ => LeaderCall::Read,
        };
        self.passed.insert(
            self.passing,
            Passed {
                call: number,
                to: leader,
                until,
                what: call,
            },
        );
        out.push(Output::Peer(
            Recipient::Voter(leader),
            PeerMessage::Call { id, call: message },
        ));
    }

    /// Another machine passes on a call.
    pub(super) fn on_call(
        &mut self,
        now: f64,
        from: Voter,
        id: CallId,
        call: LeaderCall,
        out: &mut Vec<Output>,
    ) {
        let origin = Origin::There(from, id);
        let current = &self.current.config;
        let wanted = match call {
            LeaderCall::Read => Some(Wanted::Read),
            LeaderCall::Replace { base, epoch, text } => text
                .resolve(current)
                .map(|body| Wanted::Config { base, epoch, body }),
        };
        let until = now + self.timing.call;
        match (&mut self.lead, wanted) {
            (None, _) => reply(
                &origin,
                Answer::error(503, "this machine doesn't lead"),
                out,
            ),
            (Some(_), None) => out.push(Output::Peer(
                Recipient::Voter(from),
                PeerMessage::SendWhole { id },
            )),
            (Some(lead), Some(wanted)) => lead.queue.push_back(Waiting {
                origin,
                until,
                wanted,
            }),
        }
        self.next(now, out);
    }

    /// The leader has not the configuration against which the text of a call was written.
    pub(super) fn on_send_whole(&mut self, from: Voter, id: CallId, out: &mut Vec<Output>) {
        let passed = self
            .passed
            .get(&id.number)
            .filter(|passed| passed.to == from && id.life == self.life);
        let Some(Passed {
            what: Call::Replace { base, epoch, body },
            ..
        }) = passed
        else {
            return;
        };
        let call = LeaderCall::Replace {
            base: *base,
            epoch: *epoch,
            text: Text::Whole(body.clone()),
        };
        out.push(Output::Peer(
            Recipient::Voter(from),
            PeerMessage::Call { id, call },
        ));
    }

    /// An answer to a call that was passed on: taken only from the one that was asked, for a call of this life.
    pub(super) fn on_answer(
        &mut self,
        from: Voter,
        id: CallId,
        status: u16,
        body: Rc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        let asked = self
            .passed
            .get(&id.number)
            .is_some_and(|passed| passed.to == from);
        if asked
            && id.life == self.life
            && let Some(passed) = self.passed.remove(&id.number)
        {
            out.push(Output::Reply(
                passed.call,
                Answer::until(passed.until, status, body),
            ));
        }
    }

    /// Calls that were passed on and have no answer in time.
    pub(super) fn sweep_passed(&mut self, now: f64, out: &mut Vec<Output>) {
        for passed in self.passed.values().filter(|passed| now > passed.until) {
            let answer = Answer::error(503, "no answer from the machine that leads");
            out.push(Output::Reply(passed.call, answer));
        }
        self.passed.retain(|_, passed| now <= passed.until);
    }
}

fn wanted(call: Call) -> Wanted {
    match call {
        Call::Replace { base, epoch, body } => Wanted::Config { base, epoch, body },
        _ => Wanted::Read,
    }
}

fn refusal(verdict: Verdict, epoch: u64, authority: f64) -> Answer {
    let text = |text: String| Rc::from(text.into_bytes());
    match verdict {
        Verdict::AlreadyTaken => Answer::lasting(200, Rc::from([])),
        Verdict::Conflict => Answer::until(
            authority,
            412,
            text(format!("version {epoch} is in place\n")),
        ),
        // Whether it was taken long ago isn't known any more: neither yes nor no.
        Verdict::Forgotten => Answer::error(
            503,
            "too old to tell whether it was taken; read the configuration",
        ),
        Verdict::Stale | Verdict::Next => Answer::until(
            authority,
            400,
            text(format!("epoch is not above {epoch}\n")),
        ),
    }
}

/// Answers whoever waits.
pub(super) fn reply(origin: &Origin, answer: Answer, out: &mut Vec<Output>) {
    match origin {
        Origin::Nobody => {}
        Origin::Here(call) => out.push(Output::Reply(*call, answer)),
        Origin::There(voter, id) => {
            let message = PeerMessage::Answer {
                id: *id,
                status: answer.status,
                body: answer.body,
            };
            out.push(Output::Peer(Recipient::Voter(*voter), message));
        }
    }
}
