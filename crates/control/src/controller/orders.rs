//! Calls that only the leader can settle, and the changes that it proposes one at a time.

use super::*;

impl Controller {
    /// Proposes the next of what waits.
    pub(super) fn next(&mut self, now: f64, out: &mut Vec<Output>) {
        loop {
            let authority = self.consensus.authority() > now;
            let Some(lead) = &mut self.lead else { return };
            if lead.proposed.is_some() || !authority || self.consensus.agreed().is_none() {
                return;
            }
            let Some(one) = lead.queue.pop_front() else { return };
            let state = match &one.what {
                Wanted::Read => {
                    answer(&one.origin, 200, self.current.config.clone(), out);
                    continue;
                }
                Wanted::Config { base, epoch, body } => match self.current.judge(*base, *epoch, body) {
                    Taken::Next => self.current.with_config(*epoch, body),
                    other => {
                        let (status, text) = match other {
                            Taken::Before => (200, String::new()),
                            Taken::Conflict => (412, format!("version {} is in place\n", self.current.epoch)),
                            _ => (400, format!("epoch is not above {}\n", self.current.epoch)),
                        };
                        answer(&one.origin, status, text.into_bytes(), out);
                        continue;
                    }
                },
                // By now another change may have begun.
                Wanted::Primary { service, to, above, settled: true }
                    if !lead.services.get(service).is_some_and(|f| f.is_steady(to, *above)) =>
                {
                    continue;
                }
                Wanted::Primary { service, to, above, .. } => {
                    self.current.with_primary(service, Primary { id: to.clone(), above: *above })
                }
            };
            let mut outs = Vec::new();
            let seq = self.consensus.propose(now, state, &mut outs);
            if let (Some(seq), Some(lead)) = (seq, &mut self.lead) {
                lead.proposed = Some((seq, one));
            }
            self.settle(now, outs, out);
        }
    }

    pub(super) fn refuse(&mut self, now: f64, one: Waiting, out: &mut Vec<Output>) {
        match one.what {
            Wanted::Primary { settled: true, .. } => {}
            Wanted::Primary { service, .. } => {
                if let Some(failover) = self.lead.as_mut().and_then(|l| l.services.get_mut(&service)) {
                    failover.agreed(now, false);
                }
            }
            _ => answer(&one.origin, 503, b"nothing could be agreed on in time\n".to_vec(), out),
        }
    }

    /// Calls that need the leader: taken here, passed on, or held until one is known.
    pub(super) fn retry_held(&mut self, now: f64, out: &mut Vec<Output>) {
        for _ in 0..self.held.len() {
            let Some((number, call, until)) = self.held.pop_front() else { return };
            if now > until {
                out.push(Output::Reply(number, told(503, "no machine leads")));
                continue;
            }
            let leader = self.consensus.leader();
            if let Some(lead) = &mut self.lead {
                let what = match call {
                    Call::Replace { base, epoch, body } => Wanted::Config { base, epoch, body },
                    _ => Wanted::Read,
                };
                lead.queue.push_back(Waiting { origin: Origin::Here(number), until, what });
                self.next(now, out);
            } else if let Some(leader) = leader.filter(|l| *l != self.me) {
                self.passing += 1;
                let id = self.passing;
                self.passed.insert(id, (number, until));
                let message = match call {
                    Call::Replace { base, epoch, body } => {
                        PeerMessage::Call { id, base, epoch, body: Some(body) }
                    }
                    _ => PeerMessage::Call { id, base: 0, epoch: 0, body: None },
                };
                out.push(Output::Peer(leader, message));
            } else {
                self.held.push_back((number, call, until));
            }
        }
    }
}
