//! The primary of one service: who it is, when it is to be replaced, and by whom.
//!
//! Nobody tells that a primary is dead. It counts as dead when it refuses connections, or when neither we nor any router
//! has had an answer from it for a while. Before another is promoted, all routers have given up the old one, and all
//! other copies are paused and asked how far they got: what a client was promised is then at the furthest of them.
//!
//! A primary that is to leave is replaced while it goes on: all copies but the coming primary are paused, so that whatever
//! is acknowledged from then on is there; only once it leads do the routers let go of the old one.

mod load;

use std::collections::BTreeMap;

/// A position in a service's log: term and number.
pub type Position = (u64, u64);

/// What a server tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// It sees itself as the primary.
    pub leader: bool,
    /// The term of its log.
    pub term: u64,
    /// How far its log goes.
    pub received: Position,
    /// The highest term that it has heard of.
    pub held: u64,
}

/// What a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// How it stands.
    Status,
    /// To receive nothing until a promote.
    Pause(u64),
    /// To receive again.
    Resume,
    /// To follow, if its term is lower.
    StepDown(u64),
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    /// The answer, to what was asked at that second.
    Row { statement: Statement, row: Row, asked: f64 },
    /// It answered, but not with a row.
    Busy,
    /// No answer in time, or the connection broke.
    Silent,
    /// Nobody listens at its address, or somebody else does.
    Refused,
}

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two questions to a primary.
    pub ask: f64,
    /// Between two questions to a replica.
    pub ask_replica: f64,
    /// A primary of which nobody had an answer for so long counts as dead.
    pub silence: f64,
    /// What a server is given for its answer.
    pub answer: f64,
    /// Heartbeats come this often.
    pub heartbeat: f64,
    /// A draining server is used for no longer than this from when it said so.
    pub drain: f64,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Seen {
    row: Option<Row>,
    /// When the question to that row was sent.
    row_asked: f64,
    answered: f64,
    failing: Option<f64>,
    refused: bool,
    asked: f64,
    waiting: bool,
    /// Paused at this term, with its log as it was then.
    paused: Option<(u64, Position)>,
    /// It was asked to pause at this term, and may have, whatever came back.
    pausing: Option<u64>,
    /// Its row shows the term at which it is paused.
    shows: bool,
    /// It answered last without a row.
    busy: bool,
    /// It was asked to receive again, and answered.
    resumed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Who leads isn't known.
    Finding,
    Steady,
    /// The primary is given up: routers let go, and the others are paused.
    Closing {
        term: u64,
    },
    /// The primary leaves: all but the coming one are paused.
    Handing {
        to: String,
        term: u64,
        since: f64,
    },
    /// What is to be promoted is being agreed on.
    Agreeing {
        to: String,
        above: u64,
        planned: bool,
    },
    /// The platform is asked.
    Promoting {
        to: String,
        above: u64,
        planned: bool,
        posted: f64,
        tries: u32,
        since: f64,
    },
    /// The new one leads; routers let go of the old one.
    Switching {
        to: String,
        term: u64,
    },
}

/// What a server looks like from outside.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub id: String,
    pub draining_since: Option<f64>,
    pub heard: f64,
}

/// What a step goes by.
pub(crate) struct Around<'a> {
    pub now: f64,
    /// The members of the service.
    pub members: &'a [Candidate],
    /// Those that left or fell silent a while ago, and from when on they took part in nothing.
    pub lost: &'a [(String, f64)],
    /// The primary that was agreed on last: it leads this term or a later one. Just this one, once no router can use
    /// another any more.
    pub record: Option<(&'a str, u64)>,
    /// Whether all routers know of all that was told up to this number.
    pub all_know: &'a dyn Fn(u64) -> bool,
    /// Since when this machine leads.
    pub since: f64,
    /// Nothing may be changed before this: leases and calls of former leaders.
    pub not_before: f64,
    /// How many replicas must have a commit before it is acknowledged.
    pub sync: u32,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Act {
    Ask(String, Statement),
    Agree {
        to: String,
        above: u64,
    },
    /// The change to this primary is complete.
    Settle {
        id: String,
        term: u64,
    },
    Promote {
        to: String,
    },
    /// The grant of this service is now this.
    Grant {
        id: String,
        term: u64,
        closing: bool,
    },
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Failover {
    timing: Timing,
    phase: Phase,
    seen: BTreeMap<String, Seen>,
    /// The primary in use or last in use, and its term.
    primary: Option<(String, u64)>,
    /// The grant was taken back with news of this number; none while it stands.
    closed: Option<u64>,
    /// The last answer of the primary that any router told of.
    evidence: f64,
    /// Positions of the primary, with when it was asked.
    trail: Vec<(f64, Position)>,
    /// A planned change that came to nothing is tried again after this.
    retry: f64,
    /// That a change is complete is told again after this.
    settle: f64,
    pace: load::Pace,
}

impl Failover {
    pub fn new(timing: Timing) -> Failover {
        Failover {
            timing,
            phase: Phase::Finding,
            seen: BTreeMap::new(),
            primary: None,
            closed: None,
            evidence: f64::NEG_INFINITY,
            trail: Vec::new(),
            retry: 0.0,
            settle: f64::NEG_INFINITY,
            pace: load::Pace::default(),
        }
    }

    /// The name of the phase, for logs.
    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Finding => "finding",
            Phase::Steady => "steady",
            Phase::Closing { .. } => "closing",
            Phase::Handing { .. } => "handing",
            Phase::Agreeing { .. } => "agreeing",
            Phase::Promoting { .. } => "promoting",
            Phase::Switching { .. } => "switching",
        }
    }

    /// A router had an answer of this server at that second.
    pub fn evidence(&mut self, id: &str, at: f64) {
        if self.primary.as_ref().is_some_and(|(p, _)| p == id) {
            self.evidence = self.evidence.max(at);
        }
    }

    /// The grant was told to the routers under this number.
    pub fn told(&mut self, number: u64) {
        if self.closed == Some(u64::MAX) {
            self.closed = Some(number);
        }
    }

    /// What a question came to.
    pub fn asked(&mut self, now: f64, id: &str, asked: Asked) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.waiting = false;
        match asked {
            Asked::Row { statement, row, asked } => {
                seen.answered = now;
                seen.failing = None;
                seen.refused = false;
                seen.row = Some(row);
                seen.row_asked = asked;
                seen.busy = false;
                match statement {
                    Statement::Pause(term) => {
                        seen.paused = Some((term, row.received));
                        seen.shows = row.held >= term;
                    }
                    Statement::Resume => {
                        (seen.paused, seen.pausing) = (None, None);
                        seen.resumed = true;
                    }
                    _ => match (seen.pausing, seen.paused) {
                        // The answer to the pause was lost, or it came from another try.
                        (Some(term), None) if !row.leader && row.held >= term => {
                            seen.paused = Some((term, row.received));
                        }
                        // It restarted, or was resumed by somebody else.
                        (_, Some((term, _))) if seen.shows && row.held < term => {
                            (seen.paused, seen.pausing) = (None, None);
                        }
                        (Some(term), None) if seen.shows && row.held < term => seen.pausing = None,
                        _ => {}
                    },
                }
                if row.leader && self.primary.as_ref().is_some_and(|(p, t)| p == id && *t == row.term) {
                    self.trail.push((asked, row.received));
                    if self.trail.len() > 32 {
                        self.trail.remove(0);
                    }
                }
            }
            Asked::Busy => {
                seen.busy = true;
                seen.answered = now;
                seen.failing = None;
                seen.refused = false;
            }
            Asked::Silent | Asked::Refused => {
                // Whoever restarted receives again; of whoever is silent it isn't known.
                seen.paused = None;
                seen.busy = false;
                if asked == Asked::Refused {
                    seen.pausing = None;
                }
                seen.failing.get_or_insert(now);
                seen.refused = asked == Asked::Refused;
            }
        }
    }

    /// What was to be agreed on holds, or doesn't.
    pub fn agreed(&mut self, now: f64, holds: bool) -> Option<Act> {
        let Phase::Agreeing { to, above, planned } = &self.phase else { return None };
        let (to, above, planned) = (to.clone(), *above, *planned);
        if !holds {
            self.phase = Phase::Finding;
            return None;
        }
        let act = Act::Promote { to: to.clone() };
        self.phase = Phase::Promoting { to, above, planned, posted: now, tries: 1, since: now };
        Some(act)
    }

    /// The platform's answer; none if there was none in time.
    pub fn promoted(&mut self, now: f64, status: Option<u16>) {
        let Phase::Promoting { posted, above, planned, .. } = &mut self.phase else { return };
        match status {
            Some(409) => {
                // It is not running, says the platform: choose again.
                let (above, planned) = (*above, *planned);
                self.retry = now + 1.0;
                if planned {
                    self.phase = Phase::Finding;
                } else {
                    self.phase = Phase::Closing { term: above + 1 };
                }
            }
            Some(status) if status < 300 => *posted = now + 1.0,
            // Too many calls, or the platform is in trouble: again soon.
            _ => *posted = now - 0.8,
        }
    }

    fn ask(&mut self, now: f64, id: &str, every: f64, statement: Statement, acts: &mut Vec<Act>) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        if seen.waiting || now - seen.asked < every {
            return;
        }
        seen.waiting = true;
        seen.asked = now;
        if let Statement::Pause(term) = statement {
            seen.pausing = Some(term);
            seen.resumed = false;
        }
        acts.push(Act::Ask(id.to_owned(), statement));
    }

    fn row(&self, id: &str) -> Option<Row> {
        self.seen.get(id).and_then(|s| s.row)
    }

    fn highest_term(&self) -> u64 {
        let rows = self.seen.values().filter_map(|s| s.row);
        let told = rows.map(|r| r.term.max(r.held)).max().unwrap_or(0);
        told.max(self.primary.as_ref().map_or(0, |p| p.1))
    }

    /// The highest term that anybody led. Pauses raise the term that a server holds, not the one of its log.
    fn highest_led(&self) -> u64 {
        let rows = self.seen.values().filter_map(|s| s.row).map(|r| r.term);
        rows.max().unwrap_or(0).max(self.primary.as_ref().map_or(0, |p| p.1))
    }

    /// Whether just this primary is in use, in steady order.
    pub fn is_steady(&self, id: &str, term: u64) -> bool {
        self.phase == Phase::Steady && self.primary.as_ref().is_some_and(|p| p.0 == id && p.1 == term)
    }

    /// Lets time pass.
    pub fn tick(&mut self, around: &Around<'_>) -> Vec<Act> {
        let mut acts = Vec::new();
        let known: Vec<String> = around.members.iter().map(|m| m.id.clone()).collect();
        self.seen.retain(|id, _| known.contains(id) || self.primary.as_ref().is_some_and(|p| p.0 == *id));
        match self.phase.clone() {
            Phase::Finding => self.find(around, &mut acts),
            Phase::Steady => self.watch(around, &mut acts),
            Phase::Closing { term } => self.close(around, term, &mut acts),
            Phase::Handing { to, term, since } => self.hand(around, &to, term, since, &mut acts),
            Phase::Agreeing { .. } => {}
            Phase::Promoting { to, above, planned, posted, tries, since } => {
                self.promote(around, &to, above, planned, (posted, tries, since), &mut acts);
            }
            Phase::Switching { to, term } => self.switch(around, &to, term, &mut acts),
        }
        acts
    }

    fn steady(&mut self, now: f64, id: &str, term: u64, acts: &mut Vec<Act>) {
        let other = self.primary.as_ref().is_none_or(|p| p.0 != id || p.1 != term);
        if other {
            self.trail.clear();
        }
        for seen in self.seen.values_mut() {
            seen.paused = None;
        }
        if let Some(seen) = self.seen.get_mut(id) {
            seen.pausing = None;
        }
        self.primary = Some((id.to_owned(), term));
        self.closed = None;
        self.evidence = now;
        self.phase = Phase::Steady;
        acts.push(Act::Grant { id: id.to_owned(), term, closing: false });
    }

    fn give_up(&mut self, acts: &mut Vec<Act>) {
        let term = self.highest_term() + 1;
        let (id, of) = self.primary.clone().unwrap_or_default();
        if self.closed.is_none() {
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id, term: of, closing: true });
        }
        self.phase = Phase::Closing { term };
    }

    /// Whether the grant, if there was one, is given back by all.
    fn given_back(&self, around: &Around<'_>) -> bool {
        match self.closed {
            None => self.primary.is_none() && around.now >= around.not_before,
            Some(u64::MAX) => false,
            Some(number) => (around.all_know)(number) && around.now >= around.not_before,
        }
    }

    fn find(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        for member in around.members {
            self.ask(now, &member.id, self.timing.ask, Statement::Status, acts);
        }
        if around.members.is_empty() {
            return;
        }
        if let Some((id, term)) = self.found(around) {
            match (&self.primary, self.closed) {
                (Some((old, led)), None) if *old != id || *led != term => {
                    // Routers may still use the one before.
                    let (id, term) = (old.clone(), *led);
                    self.closed = Some(u64::MAX);
                    acts.push(Act::Grant { id, term, closing: true });
                    return;
                }
                // Under the leader before us routers may have used another until a moment ago.
                (None, None) if around.record.is_some_and(|r| r.1 != term) && !(around.all_know)(0) => return,
                (_, Some(_)) if !self.given_back(around) => return,
                _ => {}
            }
            self.steady(now, &id, term, acts);
            return;
        }
        // Nobody leads whom we may use: after a while somebody is to be promoted. Beats of all must have had their time.
        let waited = now - self.asked_since(around) > self.timing.silence.max(2.5 * self.timing.heartbeat);
        if waited && now > around.not_before && now > self.retry {
            if self.primary.is_none() && self.closed.is_none() {
                // Nothing is granted by us, and the grants of those before us have ended.
                self.closed = Some(0);
            }
            log::info!("event=primary_missing top={}", self.highest_led());
            self.give_up(acts);
        }
    }

    /// The server that leads and may be used, with its term.
    fn found(&self, around: &Around<'_>) -> Option<(String, u64)> {
        let top = self.highest_led();
        let leads = |id: &str| {
            let seen = self.seen.get(id)?;
            let fresh = seen.failing.is_none() && around.now - seen.answered < 1.0;
            seen.row.filter(|r| r.leader && fresh && r.term >= top)
        };
        let (id, term) = around.members.iter().find_map(|m| leads(&m.id).map(|r| (m.id.clone(), r.term)))?;
        let of_record = match around.record {
            Some((of, above)) => of == id && term >= above,
            // Nobody was promoted by us: whoever leads is the primary, once all that are known were asked.
            None => {
                let told = |m: &Candidate| self.seen.get(&m.id).is_some_and(|s| s.row.is_some());
                around.members.iter().all(told) || around.now - self.asked_since(around) > 1.0
            }
        };
        of_record.then_some((id, term))
    }

    fn watch(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let now = around.now;
        let Some((primary, term)) = self.primary.clone() else {
            self.phase = Phase::Finding;
            return;
        };
        self.ask(now, &primary, self.timing.ask, Statement::Status, acts);
        for member in around.members.iter().filter(|m| m.id != primary) {
            let deposed = self.row(&member.id).is_some_and(|r| r.leader && r.term < term);
            // Who holds a term above the primary's was paused, by us or by a leader before us.
            let paused = self.seen.get(&member.id).is_some_and(|s| {
                s.pausing.is_some() || !s.resumed && s.row.is_some_and(|r| !r.leader && r.held > term)
            });
            let busy = self.seen.get(&member.id).is_some_and(|s| s.busy);
            if deposed {
                self.ask(now, &member.id, 0.1, Statement::StepDown(term), acts);
            } else if paused {
                let statement = if busy { Statement::Status } else { Statement::Resume };
                self.ask(now, &member.id, 0.1, statement, acts);
            } else {
                self.ask(now, &member.id, self.timing.ask_replica, Statement::Status, acts);
            }
        }
        let seen = self.seen.get(&primary).cloned().unwrap_or_default();
        if let Some(row) = seen.row
            && seen.failing.is_none()
            && (!row.leader || row.term != term)
            && seen.row_asked > self.evidence
        {
            log::info!("event=primary_changed_itself id={primary} term={}", row.term);
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id: primary, term, closing: true });
            self.phase = Phase::Finding;
            return;
        }
        if around.record.is_some_and(|(id, above)| id == primary && above != term) && now > self.settle {
            self.settle = now + 1.0;
            acts.push(Act::Settle { id: primary.clone(), term });
        }
        let heard = seen.answered.max(self.evidence);
        let refused = seen.refused && seen.failing.is_some_and(|f| f > self.evidence);
        if refused || now - heard > self.timing.silence {
            log::info!("event=primary_dead id={primary} refused={refused} silent_s={:.2}", now - heard);
            self.give_up(acts);
            return;
        }
        let leaves = around.members.iter().find(|m| m.id == primary).and_then(|m| m.draining_since);
        if let Some(since) = leaves {
            if now - since > self.timing.drain - 0.7 {
                log::info!("event=primary_leaves_unreplaced id={primary}");
                self.give_up(acts);
            } else if now > self.retry && now >= around.not_before {
                self.begin_handing(around, acts);
            }
        }
    }

    /// Who is furthest of those that could lead.
    fn best<'a>(
        &self, around: &'a Around<'_>, fit: impl Fn(&Candidate) -> bool,
    ) -> Option<(&'a str, Position)> {
        let fit = around.members.iter().filter(|m| fit(m));
        let with = fit.filter_map(|m| {
            let seen = self.seen.get(&m.id)?;
            let row = seen.row.filter(|_| seen.failing.is_none())?;
            Some((m, seen.paused.map_or(row.received, |p| p.1)))
        });
        let best = with.max_by(|(a, x), (b, y)| {
            (x, a.draining_since.is_none(), &b.id).cmp(&(y, b.draining_since.is_none(), &a.id))
        });
        best.map(|(m, at)| (m.id.as_str(), at))
    }

    fn begin_handing(&mut self, around: &Around<'_>, acts: &mut Vec<Act>) {
        let Some((primary, _)) = self.primary.clone() else { return };
        if around.sync == 0 {
            // Nothing but its own end keeps the old one from acknowledging: routers let go of it first.
            self.give_up(acts);
            return;
        }
        let best = self.best(around, |m| m.id != primary && m.draining_since.is_none());
        if let Some((to, _)) = best {
            let (to, term) = (to.to_owned(), self.highest_term() + 1);
            log::info!("event=primary_leaves id={primary} to={to}");
            self.phase = Phase::Handing { to, term, since: around.now };
        }
    }

    fn hand(&mut self, around: &Around<'_>, to: &str, term: u64, since: f64, acts: &mut Vec<Act>) {
        let now = around.now;
        let Some((primary, of)) = self.primary.clone() else { return };
        let seen = self.seen.get(&primary).cloned().unwrap_or_default();
        let heard = seen.answered.max(self.evidence);
        if now - heard > self.timing.silence
            || (seen.refused && seen.failing.is_some_and(|f| f > self.evidence))
        {
            self.give_up(acts);
            return;
        }
        self.ask(now, &primary, self.timing.ask, Statement::Status, acts);
        let mut furthest = (0, 0);
        let mut ready = true;
        let mut paused_at = f64::NEG_INFINITY;
        for member in around.members.iter().filter(|m| m.id != primary && m.id != to) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            match seen.paused {
                Some((at, position)) if at == term => {
                    furthest = furthest.max(position);
                    paused_at = paused_at.max(seen.answered);
                }
                _ => {
                    ready = false;
                    self.ask(now, &member.id, 0.05, Statement::Pause(term), acts);
                }
            }
        }
        self.ask(now, to, 0.04, Statement::Status, acts);
        let it = self.seen.get(to).cloned().unwrap_or_default();
        let caught_up = it.failing.is_none()
            && it.row.is_some_and(|r| !r.leader && r.received >= furthest)
            && (it.row_asked > paused_at || furthest == (0, 0));
        // Whoever is gone may have had commits that only the primary has as well.
        let has = it.row.map_or((0, 0), |r| r.received);
        let gone = around.lost.iter().filter(|(id, _)| *id != primary);
        let covered =
            |since: f64| self.trail.iter().any(|(asked, position)| *asked > since && *position <= has);
        if ready && caught_up && gone.into_iter().all(|(_, since)| covered(*since)) {
            let above = self.highest_led().max(of);
            self.phase = Phase::Agreeing { to: to.to_owned(), above, planned: true };
            acts.push(Act::Agree { to: to.to_owned(), above });
        } else if now - since > 1.5 {
            log::info!("event=handing_given_up to={to}");
            self.retry = now + 0.5;
            self.phase = Phase::Steady;
        }
    }

    fn close(&mut self, around: &Around<'_>, term: u64, acts: &mut Vec<Act>) {
        let now = around.now;
        let primary = self.primary.clone();
        let of = primary.as_ref().map(|p| p.0.as_str());
        let draining = around
            .members
            .iter()
            .find(|m| Some(m.id.as_str()) == of)
            .is_some_and(|m| m.draining_since.is_some());
        if let Some((id, led)) = &primary {
            // It may be back with all that it had.
            if around.members.iter().any(|m| m.id == *id) {
                self.ask(now, id, 0.1, Statement::Status, acts);
            }
            let seen = self.seen.get(id).cloned().unwrap_or_default();
            let back = seen.failing.is_none() && now - seen.answered < 0.3 && seen.row_asked > now - 0.5;
            let leads = seen.row.is_some_and(|r| r.leader && r.term == *led);
            let of_record = around.record.is_none_or(|(r, above)| r == id && *led >= above);
            if back && leads && of_record && !draining && self.highest_led() <= *led {
                log::info!("event=primary_back id={id}");
                let (id, led) = (id.clone(), *led);
                self.steady(now, &id, led, acts);
                return;
            }
        }
        // Once it has given up the lead it is a copy like the others.
        let replica = |id: &&str| {
            let seen = self.seen.get(*id);
            seen.is_some_and(|s| {
                s.failing.is_none() && s.row_asked > now - 1.0 && s.row.is_some_and(|r| !r.leader)
            })
        };
        let of = of.filter(|id| !replica(id));
        // Whoever was promoted before may lead by now.
        if let Some((id, led)) = self.found(around).filter(|(id, _)| Some(id.as_str()) != of)
            && self.given_back(around)
        {
            log::info!("event=primary_found id={id} term={led}");
            self.steady(now, &id, led, acts);
            return;
        }
        let given = self.given_back(around);
        let mut ready = given;
        let mut low = false;
        for member in around.members.iter().filter(|m| Some(m.id.as_str()) != of) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            if seen.paused.is_some_and(|(at, _)| at >= term) {
                self.ask(now, &member.id, self.timing.ask, Statement::Status, acts);
                continue;
            }
            ready &= self.excused(around, member, &seen);
            low |= seen.failing.is_none() && seen.row.is_some_and(|r| r.term.max(r.held) >= term);
            let leads = seen.failing.is_none() && seen.row.is_some_and(|r| r.leader);
            let statement = match leads {
                // A primary can't be paused: once nobody uses it, it becomes a replica.
                true if given => Statement::StepDown(term),
                true => Statement::Status,
                false if seen.busy => Statement::Status,
                false => Statement::Pause(term),
            };
            self.ask(now, &member.id, 0.05, statement, acts);
        }
        if low {
            // Another term has come up meanwhile, and below it nobody pauses.
            self.phase = Phase::Closing { term: self.highest_term() + 1 };
            return;
        }
        if !ready {
            return;
        }
        let best = self.best(around, |m| {
            Some(m.id.as_str()) != of && self.seen.get(&m.id).is_some_and(|s| s.paused.is_some())
        });
        let Some((to, at)) = best else { return };
        // A commit is acknowledged once it is at so many replicas besides the primary: if no more than these can't be
        // asked, whoever else is furthest has all. Of the others it must be known that they had nothing that this one
        // lacks, as the primary had no more when they were gone already.
        let mut spare = i64::from(around.sync) - i64::from(of.is_some());
        let covered =
            |since: f64| self.trail.iter().any(|(asked, position)| *asked > since && *position <= at);
        for member in around.members.iter().filter(|m| Some(m.id.as_str()) != of) {
            let seen = self.seen.get(&member.id);
            if seen.is_none_or(|s| s.paused.is_none()) {
                let since = seen.and_then(|s| s.failing).unwrap_or(now);
                spare -= i64::from(!covered(since + 0.5));
            }
        }
        for (_, since) in around.lost.iter().filter(|(id, _)| Some(id.as_str()) != of) {
            // Whoever went long before this machine led was followed by others since.
            let long = self.trail.is_empty() && *since < around.since - 5.0;
            spare -= i64::from(!covered(*since) && !long);
        }
        if spare < 0 && around.sync > 0 {
            return;
        }
        let (to, above) = (to.to_owned(), self.highest_led().min(term.saturating_sub(1)));
        log::info!("event=primary_chosen to={to} position={}.{} above={above}", at.0, at.1);
        self.phase = Phase::Agreeing { to: to.clone(), above, planned: false };
        acts.push(Act::Agree { to, above });
    }

    /// A replica that can't be asked may be left out once it has been gone for a while and the primary went on without it.
    fn excused(&self, around: &Around<'_>, member: &Candidate, seen: &Seen) -> bool {
        let Some(since) = seen.failing else { return false };
        member.heard < since + 0.5 && around.now - since > 0.5
    }

    fn promote(
        &mut self, around: &Around<'_>, to: &str, above: u64, planned: bool, post: (f64, u32, f64),
        acts: &mut Vec<Act>,
    ) {
        let (now, (posted, tries, since)) = (around.now, post);
        self.ask(now, to, 0.025, Statement::Status, acts);
        let it = self.seen.get(to).cloned().unwrap_or_default();
        if let Some(row) = it.row.filter(|r| r.leader && r.term > above && it.failing.is_none()) {
            log::info!("event=promoted id={to} term={} after_s={:.3}", row.term, now - since);
            if planned {
                let (id, of) = self.primary.clone().unwrap_or_default();
                if self.closed.is_none() {
                    self.closed = Some(u64::MAX);
                    acts.push(Act::Grant { id: id.clone(), term: of, closing: true });
                }
                self.ask(now, &id, 0.0, Statement::StepDown(row.term), acts);
                self.phase = Phase::Switching { to: to.to_owned(), term: row.term };
            } else if self.given_back(around) {
                self.steady(now, to, row.term, acts);
            }
            return;
        }
        let of = self.primary.clone().unwrap_or_default();
        let leaves = around.members.iter().find(|m| m.id == of.0).and_then(|m| m.draining_since);
        if planned
            && self.closed.is_none()
            && leaves.is_some_and(|since| now - since > self.timing.drain - 0.7)
        {
            // The platform has not done it in time, and nothing new may reach the old one any more.
            log::info!("event=primary_leaves_unreplaced id={}", of.0);
            self.closed = Some(u64::MAX);
            acts.push(Act::Grant { id: of.0, term: of.1, closing: true });
        }
        // Nobody else may acknowledge anything now that the new one would lack: not the old primary if it is back, nor
        // those that come back or are new.
        let (of, term) = (self.primary.clone().map(|p| p.0), self.highest_term());
        for member in around.members.iter().filter(|m| m.id != to) {
            let seen = self.seen.get(&member.id).cloned().unwrap_or_default();
            let leads = seen.failing.is_none() && seen.row.is_some_and(|r| r.leader);
            let statement = if Some(&member.id) == of.as_ref() {
                if leads && !planned { Statement::StepDown(above + 1) } else { Statement::Status }
            } else if seen.paused.is_none() && !leads && !seen.busy {
                Statement::Pause(term + 1)
            } else {
                Statement::Status
            };
            self.ask(now, &member.id, 0.1, statement, acts);
        }
        let silent = it.failing.is_some() && now - it.answered > self.timing.silence;
        if silent || !around.members.iter().any(|m| m.id == to) {
            log::info!("event=promoted_is_silent id={to}");
            self.give_up(acts);
        } else if now - posted > 1.0 {
            self.phase =
                Phase::Promoting { to: to.to_owned(), above, planned, posted: now, tries: tries + 1, since };
            acts.push(Act::Promote { to: to.to_owned() });
        }
    }

    fn switch(&mut self, around: &Around<'_>, to: &str, term: u64, acts: &mut Vec<Act>) {
        self.ask(around.now, to, self.timing.ask, Statement::Status, acts);
        if self.given_back(around) {
            self.steady(around.now, to, term, acts);
        }
    }
}
