//! One control machine: agreement, members, sessions and the primaries of all services put together.

use crate::consensus::{Consensus, ConsensusOutput, ConsensusTiming, Recipient, Record};
use crate::failover::{Failover, Statement, Timing};
use crate::leases::Leases;
use crate::members::{Beat, Members};
use crate::membership::{Node, Voter};
use crate::message::{GrantNews, MemberNews, PeerMessage, ToRouter};
use crate::state::State;
use beats::Refreshed;
use members_news::{Rosters, Rounds};
#[cfg(test)]
pub(crate) use news::SESSIONS_A_TICK;
use news::{Session, Telling};
use orders::{Origin, Passed, Waiting, Wanted, reply};
use services::Turns;
#[cfg(test)]
pub(crate) use services::{EVIDENCE_WANTED, QUESTIONS_A_TICK, SERVICES_A_TICK};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

mod beats;
mod members_news;
mod news;
mod orders;
mod services;

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ControlTiming {
    /// A router's lease.
    pub lease: f64,
    /// A leader is missed after so long.
    pub suspect: f64,
    /// A follower answers for the whole for so long after its last contact with a majority.
    pub contact: f64,
    /// What a call to the platform may take, at most.
    pub platform: f64,
    /// Holders of the duty at the platform don't take turns within so long; 0 where nothing is asked.
    pub turn: f64,
    /// What a call of an operator may take before it is told to come again.
    pub call: f64,
    /// A server that sends no beats for so long is forgotten.
    pub forget: f64,
    /// Those of each service.
    pub service: Timing,
}

/// A call from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A heartbeat.
    Beat { id: String, beat: Beat },
    /// A server has left.
    Depart { id: String },
    /// A valid configuration of this epoch, building on that version.
    Replace {
        base: u64,
        epoch: u64,
        body: Rc<[u8]>,
    },
    /// The newest configuration.
    Read,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// As in HTTP.
    pub status: u16,
    /// The body; for an error one line of text.
    pub body: Rc<[u8]>,
    /// It rests on contact with a majority, and holds only if it leaves before this second.
    pub until: f64,
}

impl Answer {
    /// One that holds whenever it leaves.
    fn lasting(status: u16, body: Rc<[u8]>) -> Answer {
        Answer {
            status,
            body,
            until: f64::INFINITY,
        }
    }

    /// An error, with its reason in one line.
    pub fn error(status: u16, reason: &str) -> Answer {
        Answer::lasting(status, format!("{reason}\n").into_bytes().into())
    }

    /// One that holds if it leaves before this second.
    fn until(until: f64, status: u16, body: Rc<[u8]>) -> Answer {
        Answer {
            status,
            body,
            until,
        }
    }
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The record is to be saved, and [`Controller::saved`] or [`Controller::save_failed`] called before anything else.
    Save,
    /// The servers that are known ([`Members::kept`]) are to be on the disk, and only then is this to be done; if they can't be
    /// saved it isn't.
    KeepServers(Vec<Output>),
    /// To another control machine.
    Peer(Recipient, PeerMessage),
    /// To the router on this session: an answer, or where else to ask.
    Router(u64, ToRouter),
    /// News to the router on this session, behind all that went there before. Sessions that lack the same share it.
    News(u64, Rc<ToRouter>),
    /// To a database server. What changes it must be sent only while this machine may act under the ballot `fence`.
    Ask {
        id: String,
        endpoint: String,
        service: String,
        statement: Statement,
        fence: u64,
    },
    /// To the platform, if it can be sent before this second; `fence` rises with every holder of the duty.
    Promote {
        service: String,
        id: String,
        fence: u64,
        before: f64,
    },
    /// To whoever made the call of this number.
    Reply(u64, Answer),
}

#[derive(Clone, Debug)]
struct Grant {
    news: GrantNews,
    stamp: u64,
}

/// So many changes of primaries are kept for whoever asks how long they took.
pub const PRIMARY_CHANGES_KEPT: usize = 256;

/// A leader knows how many routers there are after so many seconds: by then each has asked.
const SETTLED: f64 = 2.0;

/// Everything that exists only while this machine leads.
#[derive(Clone, Debug)]
struct Lead {
    since: f64,
    fence: u64,
    /// The number of the newest news.
    number: u64,
    leases: Leases,
    services: BTreeMap<String, Failover>,
    grants: BTreeMap<String, Grant>,
    /// Since when each service whose grant was taken back has had no primary in use.
    withdrawn: BTreeMap<String, f64>,
    sessions: BTreeMap<u64, Session>,
    telling: Telling,
    turns: Turns,
    /// Under way: what is being agreed on.
    proposed: Option<(u64, Waiting)>,
    queue: VecDeque<Waiting>,
    sync: HashMap<String, u32>,
    /// What the others have told of servers.
    rosters: Rosters,
}

/// One control machine.
#[derive(Clone, Debug)]
pub struct Controller {
    me: Node,
    /// Drawn at the start of the process.
    life: u64,
    timing: ControlTiming,
    consensus: Consensus,
    members: Members,
    /// The newest state that was agreed on, as far as it is known here.
    current: Rc<State>,
    lead: Option<Lead>,
    /// Calls passed on to the leader: by the number they carry there.
    passed: BTreeMap<u64, Passed>,
    passing: u64,
    /// Calls that wait for somebody to lead.
    held: VecDeque<(u64, Call, f64)>,
    /// What servers said and the others don't know yet.
    rounds: Rounds,
    /// Bodies of members that changed while leading, told under the next number.
    news_due: bool,
    /// Beats that told nothing new, for the other control machines.
    refreshed: Refreshed,
    /// For how long services had no primary in use, at the changes of late, in seconds.
    primary_changes: Vec<f64>,
    /// When it was last looked for members that are silent.
    swept: f64,
    /// When this process began.
    started: f64,
}

/// After so many heartbeats of servers a machine that has started knows all that are there.
const HEARTBEATS_LISTENED: f64 = 2.5;
/// Between two looks for members that are silent, in seconds.
const SWEEP: f64 = 0.1;

impl Controller {
    /// A machine that starts with this on its disk, in a life that was drawn for it. See [`Consensus::new`].
    pub fn new(
        me: Voter,
        record: Record,
        now: f64,
        life: u64,
        timing: ControlTiming,
    ) -> Controller {
        let of_consensus = ConsensusTiming {
            suspect: timing.suspect,
            contact: timing.contact,
        };
        Controller {
            me: me.node,
            life,
            timing,
            current: record.state.clone(),
            consensus: Consensus::new(me, record, now, life, of_consensus),
            members: Members::default(),
            lead: None,
            passed: BTreeMap::new(),
            passing: 0,
            held: VecDeque::new(),
            rounds: Rounds::default(),
            news_due: false,
            refreshed: Refreshed::default(),
            primary_changes: Vec::new(),
            swept: f64::NEG_INFINITY,
            started: now,
        }
    }

    /// What is to be on disk.
    pub fn record(&self) -> &Record {
        self.consensus.record()
    }

    /// The addresses of the machines that decide, as far as they are known here.
    pub fn voters(&self) -> Vec<Node> {
        self.consensus
            .voters()
            .iter()
            .map(|voter| voter.node)
            .collect()
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<Node> {
        self.consensus.leader().map(|leader| leader.node)
    }

    /// How this machine stands with the others.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// A save of the record has succeeded.
    pub fn saved(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.saved(now, &mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// A save of the record has failed: until the disk is opened anew this machine takes no part.
    pub fn save_failed(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.save_failed(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// The disk is opened anew and holds this.
    pub fn reopened(&mut self, now: f64, record: Record) {
        self.consensus.reopened(now, record);
    }

    /// A control machine has this address: it may be asked to let this one join.
    pub fn contact(&mut self, node: Node) -> Vec<Output> {
        self.consensus.contact(node);
        Vec::new()
    }

    /// Whether this machine, which is about to end, need not wait to be left out of the voters.
    pub fn may_end(&self) -> bool {
        self.consensus.may_end()
    }

    /// Whether this machine leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// This machine is about to end: whatever it leads goes to another at once.
    pub fn resign(&mut self, now: f64) -> Vec<Output> {
        let (mut out, mut outs) = (Vec::new(), Vec::new());
        self.consensus.resign(&mut outs);
        self.settle(now, outs, &mut out);
        out
    }

    /// What the settings say of other control machines, and how many may be lost at once.
    pub fn settings(&mut self, seeds: Vec<Node>, losses: usize) {
        self.consensus.seeds(seeds);
        self.consensus.outlives(losses);
    }

    /// Whether this machine's word counts.
    pub fn votes(&self) -> bool {
        self.consensus.votes()
    }

    /// Whether this machine leads and knows that nobody else does.
    pub fn acts(&self, now: f64) -> bool {
        self.lead.is_some() && now < self.consensus.authority()
    }

    /// What is known of the servers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// For logs and operators: service, phase, primary and its term.
    pub fn primaries(&self) -> Vec<(String, &'static str, GrantNews)> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let of = |(service, f): (&String, &Failover)| {
            let empty = GrantNews {
                service: service.clone(),
                id: String::new(),
                term: 0,
                closing: true,
            };
            let news = lead.grants.get(service).map_or(empty, |g| g.news.clone());
            (service.clone(), f.phase(), news)
        };
        lead.services.iter().map(of).collect()
    }

    /// For how long services had no primary in use, at changes since this was last asked, in seconds; of the last
    /// [`PRIMARY_CHANGES_KEPT`] at most.
    pub fn take_primary_changes(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.primary_changes)
    }

    /// The routers that hold a lease.
    pub fn routers(&self, now: f64) -> usize {
        self.lead.as_ref().map_or(0, |l| l.leases.held(now))
    }

    /// The configuration's epoch and text as agreed, as far as is known here.
    pub fn config(&self) -> (u64, &[u8]) {
        let state = if self.lead.is_some() {
            &self.current
        } else {
            &self.consensus.record().state
        };
        (state.epoch, &state.config)
    }

    fn settle(&mut self, now: f64, outs: Vec<ConsensusOutput>, out: &mut Vec<Output>) {
        for one in outs {
            match one {
                ConsensusOutput::Save => out.push(Output::Save),
                ConsensusOutput::Send(to, message) => {
                    out.push(Output::Peer(to, PeerMessage::Consensus(message)));
                }
                ConsensusOutput::Won => self.won(now, out),
                ConsensusOutput::Lost => self.lost(out),
                ConsensusOutput::Agreed => self.agreed(now, out),
            }
        }
    }

    fn won(&mut self, now: f64, out: &mut Vec<Output>) {
        let fence = self.consensus.leads().map_or(0, |b| b.0);
        self.current = self.consensus.record().state.clone();
        log::info!("event=leads fence={fence} epoch={}", self.current.epoch);
        // Leases that another leader gave may run for their length from when it last could act, which was before this.
        let before_us = now + self.timing.lease + 0.05;
        self.lead = Some(Lead {
            since: now,
            fence,
            number: 1,
            leases: Leases::begin(before_us),
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            sessions: BTreeMap::new(),
            telling: Telling::default(),
            turns: Turns::default(),
            proposed: None,
            queue: VecDeque::new(),
            sync: HashMap::new(),
            rosters: Rosters::default(),
        });
        for member in self
            .members
            .all()
            .map(|m| m.news.id.clone())
            .collect::<Vec<_>>()
        {
            self.members.restamp(&member, 1);
        }
        self.know_services();
        self.ask_for_rosters(now, out);
    }

    fn lost(&mut self, out: &mut Vec<Output>) {
        log::info!("event=leads_no_longer");
        let Some(lead) = self.lead.take() else { return };
        for (session, _) in lead.sessions {
            out.push(Output::Router(session, self.elsewhere()));
        }
        let waiting = lead.proposed.map(|(_, w)| w).into_iter().chain(lead.queue);
        for one in waiting {
            // It may hold or not: whoever asked must ask again.
            reply(
                &one.origin,
                Answer::error(503, "another machine leads now"),
                out,
            );
        }
    }

    fn agreed(&mut self, now: f64, out: &mut Vec<Output>) {
        self.current = self.consensus.record().state.clone();
        let Some(lead) = &mut self.lead else { return };
        if let Some((_, one)) = lead.proposed.take() {
            match one.wanted {
                Wanted::Config { epoch, .. } => {
                    log::info!("event=config epoch={epoch}");
                    reply(&one.origin, Answer::lasting(200, Rc::from([])), out);
                }
                Wanted::Primary {
                    service, settled, ..
                } => {
                    if !settled && let Some(failover) = lead.services.get_mut(&service) {
                        let act = failover.agreed(now, true);
                        self.act(now, &service, act.into_iter().collect(), out);
                    }
                }
                Wanted::Read => {}
            }
        }
        self.know_services();
        // A change of the voters goes before what waits: it may wait for nothing but a moment without another change.
        let mut outs = Vec::new();
        self.consensus.change_membership(now, &mut outs);
        self.settle(now, outs, out);
        self.next(now, out);
        self.tell_all(now, out);
    }

    /// Lets time pass; to be called every few hundredths of a second while this machine leads.
    pub fn tick(&mut self, now: f64) -> Vec<Output> {
        let mut out = Vec::new();
        let mut outs = Vec::new();
        self.consensus.tick(now, &mut outs);
        self.settle(now, outs, &mut out);
        self.spread_refreshed(now, &mut out);
        self.begin_next_round(now, &mut out);
        let number = self.lead.as_ref().map_or(0, |l| l.number + 1);
        if now - self.swept >= SWEEP {
            self.swept = now;
            self.news_due |= self.members.sweep(now, self.timing.forget, number);
        }
        self.sweep_passed(now, &mut out);
        self.sweep_rounds(now, &mut out);
        self.retry_held(now, &mut out);
        if let Some(lead) = &mut self.lead {
            lead.turns.begin_tick(now);
            if now < self.consensus.authority() {
                self.step(now, &mut out);
            }
            self.next(now, &mut out);
            self.tell_all(now, &mut out);
            if let Some(lead) = &mut self.lead {
                lead.leases.sweep(now);
            }
            self.sweep_orders(now, &mut out);
            self.ask_for_rosters(now, &mut out);
        }
        out
    }

    /// A message of another control machine.
    pub fn peer(&mut self, now: f64, from: Voter, message: PeerMessage) -> Vec<Output> {
        let mut out = Vec::new();
        match message {
            PeerMessage::Consensus(message) => {
                let mut outs = Vec::new();
                self.consensus.message(now, from, message, &mut outs);
                self.settle(now, outs, &mut out);
            }
            PeerMessage::Members { round, news } => {
                self.on_members(now, from, round, news, &mut out)
            }
            PeerMessage::MembersKept { round } => self.on_members_kept(from, round, &mut out),
            PeerMessage::RosterWanted { ballot } => self.on_roster_wanted(from, ballot, &mut out),
            PeerMessage::Roster { ballot, news } => {
                self.on_roster(now, from, ballot, news, &mut out)
            }
            PeerMessage::Call { id, call } => self.on_call(now, from, id, call, &mut out),
            PeerMessage::SendWhole { id } => self.on_send_whole(from, id, &mut out),
            PeerMessage::Answer { id, status, body } => {
                self.on_answer(from, id, status, body, &mut out)
            }
        }
        out
    }

    /// A call from outside; its answer comes as [`Output::Reply`] under this number.
    pub fn call(&mut self, now: f64, number: u64, call: Call) -> Vec<Output> {
        let mut out = Vec::new();
        let stamp = self.lead.as_ref().map_or(0, |lead| lead.number + 1);
        match call {
            Call::Beat { id, beat } => {
                let news = self.members.beat(now, &id, &beat, stamp);
                self.news_due |= news.is_some() && stamp > 0 && self.members.is_stamped(&id, stamp);
                self.take_beat(now, number, &id, news, &mut out);
            }
            // Its server may be known to the others, and this machine would acknowledge what nobody learns.
            Call::Depart { id } if !self.members.knows(&id) && !self.has_listened(now) => {
                out.push(Output::Reply(
                    number,
                    Answer::error(503, "this server isn't known here yet"),
                ));
            }
            Call::Depart { id } => {
                let news = self.members.depart(now, &id, stamp);
                if news.as_ref().is_some_and(|news| !news.gone) {
                    log::info!("event=departs_undrained id={id}");
                }
                self.news_due |= news.is_some() && stamp > 0;
                self.take_beat(now, number, &id, news, &mut out);
            }
            call => {
                self.held.push_back((number, call, now + self.timing.call));
                self.retry_held(now, &mut out);
            }
        }
        out
    }

    /// Whether this machine has run for so long that it knows all servers that are there.
    fn has_listened(&self, now: f64) -> bool {
        now - self.started > HEARTBEATS_LISTENED * self.timing.service.heartbeat
    }

    /// A machine that is out of contact keeps what it heard, but sends its caller on: a server that only it knows of may
    /// hold what the others miss.
    fn take_beat(
        &mut self,
        now: f64,
        call: u64,
        id: &str,
        news: Option<MemberNews>,
        out: &mut Vec<Output>,
    ) {
        self.know_services();
        if !self.consensus.in_contact(now) {
            out.push(Output::Reply(
                call,
                Answer::error(503, "no contact with a majority of the control machines"),
            ));
            return;
        }
        match news {
            Some(news) => self.tell_voters(now, news, call, out),
            None => self.already_told(id, call, out),
        }
    }
}
