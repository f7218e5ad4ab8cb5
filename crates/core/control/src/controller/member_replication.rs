//! What control machines tell each other of database servers.
//!
//! What a server says of itself is kept in memory: each server repeats it with every beat. But a caller that is told
//! that something new was taken (a server is there, is draining, is gone) relies on it. So that is told only once the leader
//! and a majority know it; and a new leader asks a majority for all that it knows before it replaces any primary. That a server
//! leaves is on the disks of that majority, too, before it is acknowledged.

use super::{ControlResponse, Controller, Output};
use crate::consensus::Recipient;
use crate::members::outlives_power_loss;
use crate::message::{MemberInfo, PeerMessage};
use crate::term::Term;
use crate::voter_set::{NodeId, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// A caller waits so long for the others to know what it said, in seconds; it goes to another machine after a second.
const KEEP_WITHIN: f64 = 0.8;
/// A new leader asks again after so many seconds for what the others know.
const ASK_AGAIN: f64 = 0.2;

/// What has been told to the others, until a majority has said that it knows.
#[derive(Clone, Debug)]
struct PendingUpdate {
    calls: Vec<u64>,
    news: Vec<MemberInfo>,
    kept: BTreeSet<Voter>,
    until: f64,
}

/// Rounds under way.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingUpdates {
    all: BTreeMap<u64, PendingUpdate>,
    newest: u64,
    /// What goes with the next tick: many servers are new at once when a machine starts.
    next: Vec<(MemberInfo, u64)>,
}

/// What a new leader has been told of servers by the others.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotCollection {
    told: BTreeSet<Voter>,
    asked: f64,
}

impl Controller {
    /// Servers as they were known in a life before this one: who is gone by now will be missed as all others are. Those that
    /// drain have done so for so many seconds, as far as is known.
    pub fn restore_members(&mut self, now: f64, kept: Vec<MemberInfo>, drained: f64) {
        self.members.restore(now, kept, drained);
    }

    /// A control machine has a connection again: it is told all that is known, as it may have missed it.
    pub fn peer_connected(&mut self, node: NodeId) -> Vec<Output> {
        let news = self.all_news();
        if news.is_empty() {
            return Vec::new();
        }
        vec![Output::SendToPeer(
            Recipient::Node(node),
            PeerMessage::MembersUpdate {
                update_id: None,
                members: news,
            },
        )]
    }

    fn all_news(&self) -> Vec<MemberInfo> {
        self.members
            .all()
            .map(|member| member.info.clone())
            .collect()
    }

    /// Takes what another machine knows.
    pub(super) fn on_members(
        &mut self,
        now: f64,
        from: Voter,
        round: Option<u64>,
        news: Vec<MemberInfo>,
        out: &mut Vec<Output>,
    ) {
        let number = self.lead.as_ref().map_or(0, |lead| lead.number + 1);
        let to_disk = news.iter().any(outlives_power_loss);
        for one in news {
            let id = one.id.clone();
            let newer = self.members.merge(now, one, number);
            self.news_due |= newer && number > 0 && self.members.is_stamped(&id, number);
        }
        self.know_services();
        if let Some(round) = round {
            let kept = Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::MembersUpdateAck { update_id: round },
            );
            out.push(if to_disk {
                Output::PersistMembers(vec![kept])
            } else {
                kept
            });
        }
    }

    /// Tells the other voters what is new; `call` is answered once the leader and a majority know it. That a server was merely
    /// heard again is told to them later, and acknowledged at once.
    pub(super) fn tell_voters(
        &mut self,
        now: f64,
        news: MemberInfo,
        call: u64,
        out: &mut Vec<Output>,
    ) {
        if self.members.majority_knows(&news.id) {
            self.refreshed.add(news);
            out.push(Output::Respond(call, accepted()));
            return;
        }
        if news.draining || news.departed {
            self.begin_round(now, vec![(news, call)], out);
        } else {
            self.rounds.next.push((news, call));
        }
    }

    /// Tells the other voters what is new since the last tick.
    pub(super) fn begin_next_round(&mut self, now: f64, out: &mut Vec<Output>) {
        let next = std::mem::take(&mut self.rounds.next);
        if !next.is_empty() {
            self.begin_round(now, next, out);
        }
    }

    fn begin_round(&mut self, now: f64, told: Vec<(MemberInfo, u64)>, out: &mut Vec<Output>) {
        let (news, calls): (Vec<MemberInfo>, Vec<u64>) = told.into_iter().unzip();
        self.rounds.newest += 1;
        let round = self.rounds.newest;
        let mut told = Vec::new();
        for voter in self.other_voters() {
            let message = PeerMessage::MembersUpdate {
                update_id: Some(round),
                members: news.clone(),
            };
            told.push(Output::SendToPeer(Recipient::Voter(voter), message));
        }
        let kept = BTreeSet::from([self.consensus.me()]);
        let to_disk = news.iter().any(outlives_power_loss);
        self.rounds.all.insert(
            round,
            PendingUpdate {
                calls,
                news,
                kept,
                until: now + KEEP_WITHIN,
            },
        );
        self.finish_round(round, &mut told);
        match to_disk {
            // After a loss of all processes nobody may say it again in time.
            true => out.push(Output::PersistMembers(told)),
            false => out.append(&mut told),
        }
    }

    /// A call that says nothing new is answered at once, or with the round in which that is told.
    pub(super) fn already_told(&mut self, id: &str, call: u64, out: &mut Vec<Output>) {
        if self.members.majority_knows(id) {
            out.push(Output::Respond(call, accepted()));
            return;
        }
        if let Some(news) = self
            .rounds
            .next
            .iter()
            .find(|(news, _)| news.id == id)
            .map(|(news, _)| news.clone())
        {
            self.rounds.next.push((news, call));
            return;
        }
        let tells = |round: &&mut PendingUpdate| round.news.iter().any(|news| news.id == id);
        match self.rounds.all.values_mut().rev().find(tells) {
            Some(round) => round.calls.push(call),
            None => out.push(Output::Respond(call, accepted())),
        }
    }

    pub(super) fn on_members_kept(&mut self, from: Voter, round: u64, out: &mut Vec<Output>) {
        if let Some(under_way) = self.rounds.all.get_mut(&round) {
            under_way.kept.insert(from);
            self.finish_round(round, out);
        }
    }

    fn finish_round(&mut self, round: u64, out: &mut Vec<Output>) {
        let Some(under_way) = self.rounds.all.get(&round) else {
            return;
        };
        let leader = self.consensus.leader();
        let membership = &self.consensus.hard_state().state.voters;
        let kept = |voter| under_way.kept.contains(&voter);
        if !leader.is_some_and(kept) || !membership.is_quorum(kept) {
            return;
        }
        if let Some(under_way) = self.rounds.all.remove(&round) {
            under_way
                .news
                .iter()
                .for_each(|news| self.members.mark_majority_knows(news));
            out.extend(
                under_way
                    .calls
                    .into_iter()
                    .map(|call| Output::Respond(call, accepted())),
            );
        }
    }

    /// Gives up rounds that take too long: the caller goes to another machine.
    pub(super) fn sweep_rounds(&mut self, now: f64, out: &mut Vec<Output>) {
        let late = |round: &PendingUpdate| now > round.until;
        for round in self.rounds.all.values().filter(|round| late(round)) {
            let answer = || ControlResponse::error(503, "the other control machines don't answer");
            out.extend(
                round
                    .calls
                    .iter()
                    .map(|call| Output::Respond(*call, answer())),
            );
        }
        self.rounds.all.retain(|_, round| !late(round));
    }

    /// The leader asks until a majority has told it all that it knows.
    pub(super) fn ask_for_rosters(&mut self, now: f64, out: &mut Vec<Output>) {
        let others = self.other_voters();
        let informed = self.informed();
        let Some(lead) = &mut self.lead else { return };
        if informed || now - lead.rosters.asked < ASK_AGAIN {
            return;
        }
        lead.rosters.asked = now;
        let term = Term(lead.fencing_token);
        for voter in others
            .into_iter()
            .filter(|voter| !lead.rosters.told.contains(voter))
        {
            out.push(Output::SendToPeer(
                Recipient::Voter(voter),
                PeerMessage::MembersSnapshotRequest { term },
            ));
        }
    }

    /// Whether a majority has told this leader all that it knew when this machine began to lead: whatever was
    /// acknowledged to a server before is known here.
    pub(super) fn informed(&self) -> bool {
        let Some(lead) = &self.lead else { return false };
        let membership = &self.consensus.hard_state().state.voters;
        membership
            .is_quorum(|voter| voter == self.consensus.me() || lead.rosters.told.contains(&voter))
    }

    pub(super) fn on_roster_wanted(&mut self, from: Voter, term: Term, out: &mut Vec<Output>) {
        if self.consensus.leader() == Some(from) {
            let news = self.all_news();
            out.push(Output::SendToPeer(
                Recipient::Voter(from),
                PeerMessage::MembersSnapshot {
                    term,
                    members: news,
                },
            ));
        }
    }

    pub(super) fn on_roster(
        &mut self,
        now: f64,
        from: Voter,
        term: Term,
        news: Vec<MemberInfo>,
        out: &mut Vec<Output>,
    ) {
        self.on_members(now, from, None, news, out);
        if let Some(lead) = &mut self.lead
            && Term(lead.fencing_token) == term
        {
            lead.rosters.told.insert(from);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<Voter> {
        let membership = &self.consensus.hard_state().state.voters;
        membership
            .all()
            .filter(|voter| *voter != self.consensus.me())
            .collect()
    }
}

fn accepted() -> ControlResponse {
    ControlResponse::lasting(200, b"{}".as_slice().into())
}
