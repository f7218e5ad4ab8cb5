//! One value that the control machines agree on, with one of them leading under a ballot.
//!
//! Paxos on a register: a ballot is promised by a majority before anything is accepted under it, and whoever wins one goes
//! on from the newest value that a majority may have accepted. The winner leads: it alone proposes, and as long as a
//! majority answered its beats a moment ago it knows that nobody else has won. There is no log: a machine that was away
//! gets the value whole.

use crate::message::{Node, PeerMessage};
use crate::state::State;
use std::collections::HashMap;

/// Round and address of the machine that leads it; higher ones go before lower ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, bincode::Encode, bincode::Decode,
)]
pub struct Ballot(pub u64);

impl Ballot {
    fn above(self, node: Node) -> Ballot {
        Ballot(((self.0 >> 32) + 1) << 32 | u64::from(node))
    }
}

/// What a machine keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Nothing below is taken part in.
    pub promised: Ballot,
    /// Under which the value was accepted.
    pub accepted: Ballot,
    /// The value.
    pub state: State,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusOutput {
    /// The record is to be on disk before anything behind this.
    Save,
    /// To another machine.
    Send(Node, PeerMessage),
    /// This machine leads from now on, with the state as it is.
    Won,
    /// It does no longer.
    Lost,
    /// What was proposed holds.
    Agreed,
}

#[derive(Clone, Debug)]
struct Leading {
    ballot: Ballot,
    /// When the newest beat that a machine answered was sent.
    answered: HashMap<Node, f64>,
    /// What a machine has accepted under this ballot.
    holds: HashMap<Node, u64>,
    /// When a machine was last sent the value.
    sent: HashMap<Node, f64>,
    agreed: Option<u64>,
    beat: f64,
    since: f64,
    /// Those that decided before what is under way: it must hold at a majority of these, too.
    before: Vec<Node>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate { ballot: Ballot, promises: HashMap<Node, (Ballot, State)>, since: f64, asked: f64 },
    Leader(Leading),
}

/// One machine's part in it.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: Node,
    record: Record,
    /// False for an empty disk until it has caught up: it might go back on what it promised before.
    votes: bool,
    /// Promises that others told of, while this machine doesn't vote.
    told: HashMap<Node, Ballot>,
    role: Role,
    leader: Option<Node>,
    heard: f64,
    /// When a leader was last heard that may act on it; a machine that starts may have heard one just before.
    led_at: f64,
    highest: Ballot,
    pause: f64,
    lot: u64,
    /// Machines that may be asked besides those that decide.
    seeds: Vec<Node>,
    /// Those who asked to be taken in, and when.
    wants: HashMap<Node, f64>,
    /// When this machine last asked to be.
    joining: f64,
    /// This machine is about to end.
    leaving: bool,
    /// It led and lost its quorum, and has heard nothing from any other machine since.
    quorum_lost: bool,
    /// So few may decide and no fewer: a majority of them outlives what may be lost at once.
    least: usize,
    /// A leader is missed after so many seconds.
    suspect: f64,
    /// A leader that heard of a majority acts for so long, in seconds from when its beat went out.
    authority: f64,
}

/// Between two beats of the leader, in seconds.
const BEAT: f64 = 0.15;
/// The value is sent again after so many seconds without an answer.
const AGAIN: f64 = 0.5;
/// A candidate asks again after so many seconds.
const ASK_AGAIN: f64 = 0.1;
/// A machine that hears no leader for so many seconds, or is none of those that decide, asks to be one of them.
const JOIN: f64 = 0.5;
/// Who asked to join and has not asked again for so many seconds has gone.
const WANTS: f64 = 1.5;
/// One of those that decide, unheard by the leader for so many seconds, makes room for another.
const ABSENT: f64 = 3.0;

impl Consensus {
    /// A machine that starts with what its disk holds. `votes` is false if the disk is empty though the system is not new.
    pub fn new(me: Node, record: Record, votes: bool, now: f64, seed: u64, suspect: f64) -> Consensus {
        let highest = record.promised;
        let mut consensus = Consensus {
            me,
            record,
            votes,
            told: HashMap::new(),
            role: Role::Follower,
            leader: None,
            heard: now,
            led_at: f64::NEG_INFINITY,
            highest,
            pause: 0.0,
            lot: seed | 1,
            seeds: Vec::new(),
            wants: HashMap::new(),
            joining: now,
            leaving: false,
            quorum_lost: false,
            least: 3,
            suspect,
            authority: suspect,
        };
        // At the first start nobody leads: the first in order need not wait for a silence to pass.
        consensus.heard = now - suspect + 0.05;
        let promised = consensus.record.promised.0;
        if promised != 0 && promised & u64::from(u32::MAX) != u64::from(me) {
            // What this machine answered in its last life another one may act on.
            consensus.heard = now;
            consensus.led_at = now;
        }
        consensus.pause = consensus.stagger();
        consensus
    }

    /// The machines that decide.
    pub fn voters(&self) -> &[Node] {
        &self.record.state.voters
    }

    /// What is to be on disk.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether this machine's word counts.
    pub fn votes(&self) -> bool {
        self.votes
    }

    /// Who is believed to lead.
    pub fn leader(&self) -> Option<Node> {
        self.leader
    }

    /// Whether this machine leads and may act, or heard a leader a moment ago: what it takes in reaches whoever decides.
    pub fn in_touch(&self, now: f64) -> bool {
        match self.role {
            Role::Leader(_) => now < self.authority(),
            _ => self.leader.is_some() && now - self.led_at < 2.0 * self.suspect,
        }
    }

    /// The ballot under which this machine leads and has agreed on what it found.
    pub fn leads(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader(leading) if leading.agreed.is_some() => Some(leading.ballot),
            _ => None,
        }
    }

    /// Until when this machine may act as leader: nobody else had won before.
    pub fn authority(&self) -> f64 {
        let Role::Leader(leading) = &self.role else { return f64::NEG_INFINITY };
        if leading.agreed.is_none() {
            return f64::NEG_INFINITY;
        }
        let times = self.voters().iter().map(|v| {
            let never = f64::NEG_INFINITY;
            if *v == self.me { f64::INFINITY } else { leading.answered.get(v).copied().unwrap_or(never) }
        });
        let mut times: Vec<f64> = times.collect();
        times.sort_by(|a, b| b.total_cmp(a));
        match times.get(self.voters().len() / 2) {
            // One machine alone decides.
            Some(time) if time.is_infinite() && *time > 0.0 => f64::INFINITY,
            Some(time) => time + self.authority,
            None => f64::NEG_INFINITY,
        }
    }

    /// The state, if this machine leads and all before is agreed.
    pub fn agreed(&self) -> Option<&State> {
        let Role::Leader(leading) = &self.role else { return None };
        (leading.agreed == Some(self.record.state.seq)).then_some(&self.record.state)
    }

    /// Proposes the next state. None while something is under way or another machine leads.
    pub fn propose(&mut self, now: f64, next: State, out: &mut Vec<ConsensusOutput>) -> Option<u64> {
        if self.agreed().is_none() || next.seq != self.record.state.seq + 1 {
            return None;
        }
        let seq = next.seq;
        self.record.state = next;
        self.spread(now, out);
        Some(seq)
    }

    fn spread(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Leader(leading) = &mut self.role else { return };
        self.record.accepted = leading.ballot;
        out.push(ConsensusOutput::Save);
        let seq = self.record.state.seq;
        leading.holds.insert(self.me, seq);
        for voter in self.record.state.voters.iter().filter(|v| **v != self.me) {
            leading.sent.insert(*voter, now);
            let state = self.record.state.clone();
            let new = !leading.before.is_empty() && !leading.before.contains(voter);
            out.push(ConsensusOutput::Send(
                *voter,
                PeerMessage::Accept { ballot: leading.ballot, state, new },
            ));
        }
        self.count(out);
    }

    /// Whoever is not among those that decide, or hears nobody lead, asks to be taken in; who is asked need not answer.
    fn ask_to_join(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let member = self.votes && self.voters().contains(&self.me);
        let led = now - self.led_at.max(self.heard) < JOIN && self.leader.is_some();
        if member && (led || matches!(self.role, Role::Leader(_))) || now - self.joining < JOIN {
            return;
        }
        self.joining = now;
        let known: Vec<Node> =
            self.voters().iter().chain(&self.seeds).copied().filter(|v| *v != self.me).collect();
        for (at, node) in known.iter().enumerate() {
            if !known[..at].contains(node) {
                out.push(ConsensusOutput::Send(*node, PeerMessage::Join));
            }
        }
    }

    /// The leader changes the set of those that decide, one machine at a time: it takes in who asks, and lets go of who has
    /// been silent while enough are left.
    fn change_voters(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        if self.authority() < now || self.agreed().is_none() {
            return;
        }
        self.wants.retain(|_, asked| now - *asked < WANTS);
        let mut voters = self.record.state.voters.clone();
        let joins = self.wants.keys().copied().filter(|w| !voters.contains(w)).min();
        let Role::Leader(leading) = &self.role else { return };
        let silent = |node: &Node| {
            *node != self.me && now - leading.answered.get(node).copied().unwrap_or(leading.since) > ABSENT
        };
        let absent = voters.iter().copied().find(silent).filter(|_| voters.len() > self.least);
        if let Some(node) = joins {
            log::info!("event=voter_added node={}", std::net::Ipv4Addr::from(node));
            voters.push(node);
            voters.sort_unstable();
        } else if let Some(node) = absent {
            log::info!("event=voter_removed node={}", std::net::Ipv4Addr::from(node));
            voters.retain(|v| *v != node);
        } else {
            return;
        }
        let next = State { seq: self.record.state.seq + 1, voters, ..self.record.state.clone() };
        self.propose(now, next, out);
    }

    /// This machine is about to end: it leads no longer, and stands no more.
    pub fn resign(&mut self, out: &mut Vec<ConsensusOutput>) {
        self.leaving = true;
        if let Role::Leader(leading) = &self.role {
            let ballot = leading.ballot;
            let others: Vec<Node> = self.voters().iter().copied().filter(|v| *v != self.me).collect();
            self.follow(out);
            out.extend(others.into_iter().map(|v| ConsensusOutput::Send(v, PeerMessage::Resign { ballot })));
        }
    }

    /// So many machines may be lost at once: no fewer than twice that and one decide.
    pub fn outlives(&mut self, losses: usize) {
        self.least = (2 * losses + 1).max(3);
    }

    /// Machines that may be asked besides those that decide: as the settings name them.
    pub fn seeds(&mut self, seeds: Vec<Node>) {
        self.seeds = seeds;
    }

    fn count(&mut self, out: &mut Vec<ConsensusOutput>) {
        let seq = self.record.state.seq;
        let voters = self.record.state.voters.clone();
        let Role::Leader(leading) = &mut self.role else { return };
        let most = |voters: &[Node]| {
            voters.iter().filter(|v| leading.holds.get(v) == Some(&seq)).count() > voters.len() / 2
        };
        if leading.agreed == Some(seq)
            || !most(&voters)
            || !(leading.before.is_empty() || most(&leading.before))
        {
            return;
        }
        leading.before = voters;
        let first = leading.agreed.replace(seq).is_none();
        out.push(if first { ConsensusOutput::Won } else { ConsensusOutput::Agreed });
    }

    fn stagger(&mut self) -> f64 {
        let rank = self.voters().iter().position(|v| *v == self.me).unwrap_or(0);
        self.lot = self.lot.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        0.12 * rank as f64 + 0.05 * ((self.lot >> 33) as f64 / (1u64 << 31) as f64)
    }

    fn follow(&mut self, out: &mut Vec<ConsensusOutput>) {
        if let Role::Leader(leading) = &self.role {
            if leading.agreed.is_some() {
                out.push(ConsensusOutput::Lost);
            }
            self.leader = None;
        }
        self.role = Role::Follower;
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let me = self.me;
        self.ask_to_join(now, out);
        if !self.votes {
            if now - self.heard > self.suspect {
                self.heard = now;
                let others: Vec<Node> = self.voters().iter().copied().filter(|v| *v != me).collect();
                out.extend(others.into_iter().map(|v| ConsensusOutput::Send(v, PeerMessage::Recall)));
            }
            return;
        }
        self.change_voters(now, out);
        let authority = self.authority();
        match &mut self.role {
            Role::Leader(leading) => {
                // Whoever is heard and hears nobody would keep the others from having another leader.
                if now > authority.max(leading.since + self.suspect) + self.suspect {
                    log::info!("event=quorum_lost");
                    self.quorum_lost = true;
                    self.follow(out);
                    self.heard = now;
                    return;
                }
                if now - leading.beat < BEAT {
                    return;
                }
                leading.beat = now;
                let seq = self.record.state.seq;
                for voter in self.record.state.voters.iter().filter(|v| **v != me) {
                    let lags = leading.holds.get(voter) != Some(&seq);
                    if lags && now - leading.sent.get(voter).copied().unwrap_or(f64::NEG_INFINITY) > AGAIN {
                        leading.sent.insert(*voter, now);
                        let state = self.record.state.clone();
                        let new = leading.agreed != Some(seq)
                            && !leading.before.is_empty()
                            && !leading.before.contains(voter);
                        out.push(ConsensusOutput::Send(
                            *voter,
                            PeerMessage::Accept { ballot: leading.ballot, state, new },
                        ));
                    }
                    out.push(ConsensusOutput::Send(
                        *voter,
                        PeerMessage::Lead { ballot: leading.ballot, sent: now },
                    ));
                }
            }
            Role::Candidate { since, promises, ballot, asked } => {
                if now - *asked > ASK_AGAIN {
                    *asked = now;
                    // What was asked may be lost, and the newest state may name others who decide.
                    let newest = promises.values().max_by_key(|(accepted, state)| (*accepted, state.seq));
                    let named = newest.map(|(_, state)| state.voters.clone()).unwrap_or_default();
                    let all =
                        named.iter().chain(self.record.state.voters.iter().filter(|v| !named.contains(v)));
                    for voter in all.filter(|v| !promises.contains_key(v)) {
                        out.push(ConsensusOutput::Send(*voter, PeerMessage::Prepare { ballot: *ballot }));
                    }
                }
                if now - *since > 0.6 {
                    let ballot = *ballot;
                    log::info!("event=candidacy_failed ballot={}", ballot.0);
                    self.role = Role::Follower;
                    self.heard = now - self.suspect;
                    self.pause = self.stagger() + 0.05;
                }
            }
            Role::Follower => {
                if now - self.heard > self.suspect + self.pause
                    && !self.leaving
                    && !self.quorum_lost
                    && self.voters().contains(&me)
                {
                    self.stand(now, out);
                }
            }
        }
    }

    fn stand(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let ballot = self.highest.max(self.record.promised).above(self.me);
        self.highest = ballot;
        self.record.promised = ballot;
        self.leader = None;
        out.push(ConsensusOutput::Save);
        let mut promises = HashMap::new();
        promises.insert(self.me, (self.record.accepted, self.record.state.clone()));
        self.role = Role::Candidate { ballot, promises, since: now, asked: now };
        let others: Vec<Node> = self.voters().iter().copied().filter(|v| *v != self.me).collect();
        out.extend(others.into_iter().map(|v| ConsensusOutput::Send(v, PeerMessage::Prepare { ballot })));
        self.elect(now, out);
    }

    fn elect(&mut self, now: f64, out: &mut Vec<ConsensusOutput>) {
        let Role::Candidate { ballot, promises, .. } = &self.role else { return };
        let newest = promises.values().max_by_key(|(accepted, state)| (*accepted, state.seq));
        let (ballot, state) = (*ballot, newest.map(|(_, state)| state.clone()).unwrap_or_default());
        // Of those that this machine knew and of those that the newest state names: sets that follow each other share one
        // machine in any two majorities, so whoever leads by a later set is met in one of them.
        let most =
            |voters: &[Node]| voters.iter().filter(|v| promises.contains_key(v)).count() > voters.len() / 2;
        if !most(&self.record.state.voters) || !most(&state.voters) {
            return;
        }
        // Who answered the candidacy has no other leader at that moment.
        self.record.state = state;
        self.leader = Some(self.me);
        self.role = Role::Leader(Leading {
            ballot,
            answered: HashMap::new(),
            holds: HashMap::new(),
            sent: HashMap::new(),
            agreed: None,
            beat: f64::NEG_INFINITY,
            since: now,
            before: Vec::new(),
        });
        self.spread(now, out);
    }

    /// A message of another machine.
    pub fn message(&mut self, now: f64, from: Node, message: PeerMessage, out: &mut Vec<ConsensusOutput>) {
        self.quorum_lost = false;
        match message {
            PeerMessage::Prepare { ballot } => {
                self.highest = self.highest.max(ballot);
                // A leader acts on what this machine answered for so long: nobody else may win before that has passed.
                // But for the one that it was promised to last: who asks anew has given up what it led.
                let same = Some(from) == self.leader || self.record.promised.0 as u32 == from;
                let lead = !same && now - self.led_at < self.authority;
                let leads = matches!(&self.role, Role::Leader(_)) && self.authority() > now;
                // The same promise may be asked for again, as its answer may be lost: by the one that has it.
                let (again, asks) = (ballot == self.record.promised, ballot.0 as u32 == from);
                if !self.votes || lead || leads || ballot < self.record.promised || again && !asks {
                    let promised = self.record.promised;
                    out.push(ConsensusOutput::Send(from, PeerMessage::Refuse { promised, ballot }));
                    return;
                }
                self.follow(out);
                self.leader = None;
                self.heard = now;
                self.pause = self.stagger();
                self.record.promised = ballot;
                out.push(ConsensusOutput::Save);
                let (accepted, state) = (self.record.accepted, self.record.state.clone());
                out.push(ConsensusOutput::Send(from, PeerMessage::Promise { ballot, accepted, state }));
            }
            PeerMessage::Promise { ballot: of, accepted, state } => {
                if let Role::Candidate { ballot, promises, .. } = &mut self.role
                    && *ballot == of
                {
                    promises.insert(from, (accepted, state));
                    self.elect(now, out);
                }
            }
            PeerMessage::Refuse { promised, ballot: of } => {
                self.highest = self.highest.max(promised);
                let mine = match &self.role {
                    Role::Leader(leading) => Some(leading.ballot),
                    _ => None,
                };
                // Whoever leads and meets a higher promise leads no longer.
                if mine == Some(of) && promised > of {
                    self.follow(out);
                    self.heard = now;
                    self.pause = self.stagger();
                }
            }
            PeerMessage::Accept { ballot, state, new } => {
                self.highest = self.highest.max(ballot);
                // A machine that was never among those that decide has promised nothing that it could have forgotten.
                let floor = if new { Some(Ballot(0)) } else { self.floor() };
                if ballot < self.record.promised || floor.is_none_or(|f| ballot < f) {
                    let promised = self.record.promised;
                    out.push(ConsensusOutput::Send(from, PeerMessage::Refuse { promised, ballot }));
                    return;
                }
                self.led(now, from, ballot, out);
                let seq = state.seq;
                if self.record.accepted < ballot || self.record.state.seq <= seq {
                    let same = self.record.accepted == ballot && self.record.state.seq == seq;
                    self.record.promised = ballot;
                    self.record.accepted = ballot;
                    self.record.state = state;
                    self.votes = true;
                    if !same {
                        out.push(ConsensusOutput::Save);
                    }
                    out.push(ConsensusOutput::Send(from, PeerMessage::Accepted { ballot, seq }));
                }
            }
            PeerMessage::Accepted { ballot, seq } => {
                if let Role::Leader(leading) = &mut self.role
                    && leading.ballot == ballot
                {
                    let holds = leading.holds.entry(from).or_insert(seq);
                    *holds = (*holds).max(seq);
                    self.count(out);
                }
            }
            PeerMessage::Lead { ballot, sent } => {
                self.highest = self.highest.max(ballot);
                if ballot < self.record.promised || !self.votes {
                    let promised = self.record.promised;
                    out.push(ConsensusOutput::Send(from, PeerMessage::Refuse { promised, ballot }));
                    return;
                }
                self.led(now, from, ballot, out);
                // A promise that was lost on the way is as good as kept: nothing below it is taken any more.
                if ballot > self.record.promised {
                    self.record.promised = ballot;
                    out.push(ConsensusOutput::Save);
                }
                out.push(ConsensusOutput::Send(from, PeerMessage::Led { ballot, sent }));
            }
            PeerMessage::Led { ballot, sent } => {
                if let Role::Leader(leading) = &mut self.role
                    && leading.ballot == ballot
                {
                    let newest = leading.answered.entry(from).or_insert(sent);
                    *newest = newest.max(sent);
                }
            }
            PeerMessage::Recall => {
                let promised = self.record.promised;
                let voters = self.record.state.voters.clone();
                if let Role::Leader(leading) = &mut self.role {
                    // What it held is gone: it is to be sent the value again.
                    leading.holds.remove(&from);
                    leading.sent.remove(&from);
                }
                if self.votes {
                    out.push(ConsensusOutput::Send(from, PeerMessage::Recalled { promised, voters }));
                }
            }
            PeerMessage::Recalled { promised, voters } => {
                if !self.votes {
                    self.told.insert(from, promised);
                    if self.record.state.seq == 0 {
                        self.record.state.voters = voters;
                    }
                }
            }
            PeerMessage::Resign { ballot } => {
                // It acts no longer on what this machine answered: nobody need wait for that to pass.
                if self.leader == Some(from) && ballot == self.record.promised {
                    self.leader = None;
                    self.led_at = f64::NEG_INFINITY;
                    self.heard = now - self.suspect;
                    self.pause = self.stagger();
                }
            }
            PeerMessage::Join => {
                self.wants.insert(from, now);
            }
            PeerMessage::Members(_) | PeerMessage::Call { .. } | PeerMessage::Answer { .. } => {}
        }
    }

    /// The lowest ballot in which a machine that lost its disk may take part: what it promised before and has forgotten
    /// was promised by the one it was promised to as well, so all the others are asked.
    fn floor(&self) -> Option<Ballot> {
        if self.votes {
            return Some(Ballot(0));
        }
        let others = self.voters().iter().filter(|v| **v != self.me);
        let told: Option<Vec<Ballot>> = others.map(|v| self.told.get(v).copied()).collect();
        told.map(|t| t.into_iter().max().unwrap_or_default())
    }

    fn led(&mut self, now: f64, from: Node, ballot: Ballot, out: &mut Vec<ConsensusOutput>) {
        let mine = match &self.role {
            Role::Leader(leading) => Some(leading.ballot),
            Role::Candidate { ballot, .. } => Some(*ballot),
            Role::Follower => None,
        };
        if mine.is_some_and(|m| m < ballot) {
            self.follow(out);
        }
        self.leader = Some(from);
        self.heard = now;
        self.led_at = now;
        if self.pause == 0.0 {
            self.pause = self.stagger();
        }
    }
}
