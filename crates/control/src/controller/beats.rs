//! Beats of servers. That one leaves is told to the other control machines at once, a new one at the next tick; that a server was
//! merely heard again is gathered, as most beats tell nothing else.

use super::*;

/// Beats are gathered for so many seconds: far less than the silence after which a server is forgotten.
const GATHERED: f64 = 0.25;

/// Beats since the last were passed on.
#[derive(Clone, Debug, Default)]
pub(super) struct Refreshed {
    news: Vec<MemberNews>,
    passed_on: f64,
    /// Some of it is new.
    due: bool,
}

impl Controller {
    pub(super) fn beat(&mut self, now: f64, id: &str, beat: &Beat, out: &mut Vec<Output>) {
        let stamp = self.lead.as_ref().map_or(0, |l| l.number + 1);
        let changes = self.members.changes();
        let Some(news) = self.members.beat(now, id, beat, stamp) else { return };
        self.news_due |= stamp > 0 && self.members.is_stamped(id, stamp);
        if news.draining {
            self.spread(&news, out);
            return;
        }
        self.refreshed.due |= self.members.changes() != changes;
        self.refreshed.news.push(news);
    }

    /// Passes on what was gathered, once it is time.
    pub(super) fn spread_refreshed(&mut self, now: f64, out: &mut Vec<Output>) {
        let due = self.refreshed.due || now - self.refreshed.passed_on >= GATHERED;
        if self.refreshed.news.is_empty() || !due {
            return;
        }
        (self.refreshed.passed_on, self.refreshed.due) = (now, false);
        let news = std::mem::take(&mut self.refreshed.news);
        for voter in self.voters().iter().filter(|v| **v != self.me) {
            out.push(Output::Peer(*voter, PeerMessage::Members(news.clone())));
        }
    }
}
