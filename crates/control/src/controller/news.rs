//! What routers are told: sessions, grants, servers, configurations.

use super::{Controller, Lead, Output, SETTLED, Session};
use crate::ballot::Ballot;
use crate::message::{MemberNews, ToControl, ToRouter};

impl Controller {
    pub(super) fn elsewhere(&self) -> ToRouter {
        let leader = self.leader().filter(|l| *l != self.me || self.lead.is_some());
        ToRouter::Elsewhere { leader, voters: self.voters() }
    }

    pub(super) fn news(
        &self, now: f64, lead: &Lead, session: &Session, sent: Option<f64>, lease: f64, whole: bool,
    ) -> ToRouter {
        let after = if whole { 0 } else { session.told };
        // Most calls only renew the lease: nothing is looked through for them.
        let any = after < lead.number || self.news_due;
        let grants =
            lead.grants.values().filter(|g| any && g.stamp > after).map(|g| g.news.clone()).collect();
        let members = any.then(|| self.members.all().filter(|m| m.stamp > after && !(whole && m.news.gone)));
        let newer = self.current.epoch > session.epoch;
        ToRouter::News {
            known: (Ballot(lead.fence), lead.number),
            sent,
            lease,
            whole,
            grants,
            members: members.into_iter().flatten().map(|m| m.news.clone()).collect::<Vec<MemberNews>>(),
            config: newer.then(|| self.current.config.clone()),
            voters: self.voters(),
            routers: if now - lead.since < SETTLED { 0 } else { lead.leases.held(now) as u32 },
        }
    }

    /// Tells every router what it doesn't know yet.
    pub(super) fn tell_all(&mut self, now: f64, out: &mut Vec<Output>) {
        if now >= self.consensus.authority() {
            self.news_due = true;
            return;
        }
        let Some(mut lead) = self.lead.take() else { return };
        let mut sessions = std::mem::take(&mut lead.sessions);
        for (id, session) in &mut sessions {
            if session.told < lead.number || session.epoch < self.current.epoch {
                out.push(Output::Router(*id, self.news(now, &lead, session, None, 0.0, false)));
                session.told = lead.number;
                session.epoch = self.current.epoch;
            }
        }
        lead.sessions = sessions;
        self.lead = Some(lead);
    }

    /// A router asks for its lease on this session.
    pub fn router(&mut self, now: f64, session: u64, call: ToControl) -> Vec<Output> {
        let mut out = Vec::new();
        let authority = self.consensus.authority();
        let elsewhere = self.elsewhere();
        if self.lead.is_some() && now >= authority + 0.5 * self.timing.suspect {
            // Cut off from the others: somebody else may lead by now.
            out.push(Output::Router(session, ToRouter::Elsewhere { leader: None, voters: self.voters() }));
            return out;
        }
        let Some(mut lead) = self.lead.take() else {
            out.push(Output::Router(session, elsewhere));
            return out;
        };
        for seen in &call.evidence {
            if let Some(failover) = lead.services.get_mut(&seen.service) {
                failover.evidence(&seen.id, now - seen.answered);
            }
        }
        let ours = call.known.0 == Ballot(lead.fence);
        let known = if ours { call.known.1 } else { 0 };
        let mut lease = 0.0;
        if now < authority {
            lease = self.timing.lease;
            lead.leases.renew(now, &call.router, call.life, known, lease);
        }
        let of = Session { router: call.router, told: known, epoch: call.epoch };
        out.push(Output::Router(session, self.news(now, &lead, &of, Some(call.sent), lease, !ours)));
        let told = lead.number;
        let epoch = self.current.epoch.max(of.epoch);
        lead.sessions.insert(session, Session { told, epoch, ..of });
        self.lead = Some(lead);
        out
    }

    /// A session's connection has ended. The lease that its router holds goes on.
    pub fn gone(&mut self, session: u64) {
        if let Some(lead) = &mut self.lead
            && let Some(session) = lead.sessions.remove(&session)
        {
            log::debug!("event=session_ended router={}", session.router);
        }
    }
}
