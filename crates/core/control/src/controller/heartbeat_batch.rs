//! Beats of servers that tell nothing new: that a server was heard again is gathered for the other control machines, as most
//! beats tell nothing else.

use super::{Controller, Output};
use crate::consensus::Recipient;
use crate::message::{MemberInfo, PeerMessage};

/// Beats are gathered for so many seconds: far less than the silence after which a server is forgotten.
const GATHERED: f64 = 0.25;

/// Beats since the last were passed on.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatBatch {
    news: Vec<MemberInfo>,
    passed_on: f64,
}

impl HeartbeatBatch {
    /// A server was heard again.
    pub(super) fn add(&mut self, news: MemberInfo) {
        self.news.push(news);
    }
}

impl Controller {
    /// Passes on what was gathered, once it is time.
    pub(super) fn spread_refreshed(&mut self, now: f64, out: &mut Vec<Output>) {
        if self.refreshed.news.is_empty() || now - self.refreshed.passed_on < GATHERED {
            return;
        }
        self.refreshed.passed_on = now;
        let news = std::mem::take(&mut self.refreshed.news);
        for voter in self.other_voters() {
            let message = PeerMessage::MembersUpdate {
                update_id: None,
                members: news.clone(),
            };
            out.push(Output::SendToPeer(Recipient::Voter(voter), message));
        }
    }
}
