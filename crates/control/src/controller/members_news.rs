//! What control machines tell each other of database servers.

use super::*;

impl Controller {
    /// Servers as they were known in a life before this one: who is gone by now will be missed as all others are.
    pub fn recall(&mut self, now: f64, kept: Vec<MemberNews>) {
        for news in kept {
            self.members.merge(now, news, 0);
        }
    }

    /// A control machine has a connection again: it is told all that is known, as it may have missed it.
    pub fn met(&mut self, node: Node) -> Vec<Output> {
        let news: Vec<MemberNews> = self.members.all().map(|m| m.news.clone()).collect();
        if news.is_empty() { Vec::new() } else { vec![Output::Peer(node, PeerMessage::Members(news))] }
    }

    pub(super) fn take(&mut self, now: f64, news: MemberNews, number: u64) -> bool {
        let id = news.id.clone();
        let newer = self.members.merge(now, news, number);
        self.news_due |= newer && number > 0 && self.members.is_stamped(&id, number);
        newer
    }

    pub(super) fn spread(&self, news: &MemberNews, out: &mut Vec<Output>) {
        for voter in self.voters().iter().filter(|v| **v != self.me) {
            out.push(Output::Peer(*voter, PeerMessage::Members(vec![news.clone()])));
        }
    }

    /// The answer to a beat. A machine that is cut off from whoever leads keeps what it heard, but sends its caller on:
    /// a server that only it knows of may hold what the others miss.
    pub(super) fn taken(&self, now: f64) -> Answer {
        if self.consensus.in_touch(now) {
            Answer { status: 200, body: b"{}".to_vec() }
        } else {
            told(503, "no machine leads here")
        }
    }
}
