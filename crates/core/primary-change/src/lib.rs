//! Decisions while a group's primary changes: who leads, who waits for it and for how long, in which order and
//! how fast they go on, what becomes of writes that may have run, and which answered commits are gone.
//!
//! No I/O and no clock: facts and the present (f64 seconds on the front's clock) are handed in, verdicts come
//! back. Chance comes from the seed. docs/design/primary-changes.md tells why it is so.

#![allow(
    missing_docs,
    reason = "the router in service and its rigs get their documentation with the second part of this work (issue 55)"
)]

mod doubt;
mod history;
mod hold;
mod loss;
mod pace;
mod settings;
mod term;

pub use doubt::{Next, Repeat, next};
pub use history::History;
pub use hold::{Hold, Room, Wish};
pub use loss::{Loss, Losses};
pub use pace::Pace;
pub use settings::Settings;
pub use term::{Evidence, NEVER, Phase, Term};

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

/// A trial statement goes to whoever may lead this often while nobody is known to: an untouched miss harms nobody.
const TRIAL_S: f64 = 0.1;
/// So long after a connection to the leader broke, nobody knows whether it lives: three probes' time, and more.
const UNCERTAIN_S: f64 = 1.0;
/// A leader is settled once nothing waited for this long, so that one more failure is still the same change.
const QUIET_S: f64 = 0.25;

/// What is to become of a statement that needs its group's primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may be sent to whoever leads, or may lead.
    Go,
    Hold,
    /// It would wait in vain, or there is no room for it: to come back after so many seconds.
    Refuse {
        after: f64,
    },
}

#[derive(Clone, Debug, Default)]
struct Group {
    term: Term,
    pace: Pace,
    /// The one trial that is out, and when the last one began.
    trial: Option<u32>,
    tried: f64,
    /// When something last waited or failed.
    stirred: f64,
}

/// Lives from one start of the router to the next.
#[derive(Clone, Debug)]
pub struct Succession {
    settings: Settings,
    routers: f64,
    chance: fastrand::Rng,
    groups: BTreeMap<u16, Group>,
    /// Those that are not settled: the others cost nothing.
    unsettled: BTreeSet<u16>,
    hold: Hold,
    history: History,
    losses: Losses,
    /// Given up to make room for worthier ones: told so when they ask next.
    evicted: Vec<u32>,
    lines: Vec<String>,
}

impl Succession {
    pub fn new(settings: Settings, seed: u64, routers: f64) -> Succession {
        Succession {
            routers: routers.max(1.0),
            chance: fastrand::Rng::with_seed(seed),
            groups: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            hold: Hold::new(settings.hold_group, settings.hold),
            history: History::new(settings.expected_change_ms / 1e3),
            losses: Losses::new(settings.answered_kept),
            evicted: Vec::new(),
            lines: Vec::new(),
            settings,
        }
    }

    /// Other settings from now on; what is held and known stays.
    pub fn reset(&mut self, settings: Settings) {
        self.hold.resize(settings.hold_group, settings.hold);
        self.losses.resize(settings.answered_kept);
        if self.history.changes() == 0 {
            self.history = History::new(settings.expected_change_ms / 1e3);
        }
        self.settings = settings;
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes one piece of evidence of a node of the group; true where it moved the group.
    pub fn hear(&mut self, now: f64, group: u16, node: u32, told: Evidence) -> bool {
        let of = self.groups.entry(group).or_default();
        let before = (of.term.phase, of.term.number, of.term.leader);
        if !of.term.hear(now, node, told) {
            return false;
        }
        let (phase, number, leader) = (of.term.phase, of.term.number, of.term.leader);
        of.stirred = now;
        self.unsettled.insert(group);
        if phase == Phase::Settling && (before.0, before.1) != (phase, number) {
            let spread = self.settings.release_spread_ms / 1e3;
            of.pace.begin(now, self.routers, spread, self.chance.f64());
        }
        let held = self.hold.of(group);
        self.lines.push(format!(
            "{now:.3} group {group}: term {number} {phase:?}, led by {leader:?} (was {:?}, led by {:?}; node {node}: {told:?}), {} held, {} bytes",
            before.0, before.2, held.statements, held.bytes
        ));
        true
    }

    /// Who leads, by its own word; also while it is in doubt.
    pub fn leader(&self, group: u16) -> Option<u32> {
        self.groups.get(&group).and_then(|of| of.term.leader)
    }

    /// The number of the group's present term.
    pub fn term(&self, group: u16) -> u64 {
        self.groups.get(&group).map_or(0, |of| of.term.number)
    }

    pub fn phase(&self, group: u16) -> Phase {
        self.groups
            .get(&group)
            .map_or(Phase::Vacant, |of| of.term.phase)
    }

    /// Somebody works as the primary and nothing waits: the ordinary case, in which nothing is asked here.
    pub fn settled(&self, group: u16) -> bool {
        self.phase(group) == Phase::Settled
    }

    /// Somebody leads by its own word, and nothing speaks against it.
    fn led(&self, group: u16) -> bool {
        matches!(self.phase(group), Phase::Settled | Phase::Settling)
    }

    /// The statements and bytes that are held now, and the most there ever were.
    pub fn held(&self) -> (Room, Room) {
        (self.hold.used(), self.hold.peak)
    }

    pub fn holds(&self, stmt: u32) -> bool {
        self.hold.holds(stmt)
    }

    /// Asked again each time that something happened, by every statement that needs a primary and is not out.
    pub fn admit(&mut self, now: f64, stmt: u32, wish: &Wish) -> Verdict {
        let of = self.groups.entry(wish.group).or_default();
        if of.term.phase == Phase::Settled {
            return Verdict::Go;
        }
        if of.term.began == NEVER && of.term.number > 0 {
            of.term.began = now;
        }
        if let Some(place) = self.evicted.iter().position(|other| *other == stmt) {
            self.evicted.swap_remove(place);
            return self.refuse(now, wish.group);
        }
        let goes = match of.term.phase {
            Phase::Settled => true,
            Phase::Settling if of.pace.is_out(stmt) => return Verdict::Go,
            // Who goes is picked among all that wait, once it is one of them.
            Phase::Settling => false,
            // A drain lets the primary work on for its first part; who is lost is asked by probes alone: what is
            // sent there may not come back.
            Phase::Doubted => {
                of.term.leaving && !of.term.lost && wish.served && self.hold.first(stmt, wish)
            }
            Phase::Vacant | Phase::Claimed => {
                wish.tries && self.hold.first(stmt, wish) && of.tries(now, stmt)
            }
        };
        if goes {
            self.hold.leave(stmt);
            return Verdict::Go;
        }
        of.pace.leave(stmt);
        if self.hopeless(now, wish) || !self.hold.enter(stmt, *wish, &mut self.evicted) {
            self.hold.leave(stmt);
            return self.refuse(now, wish.group);
        }
        let of = self.groups.get_mut(&wish.group).expect("made above");
        let settling = of.term.phase == Phase::Settling;
        if settling
            && self
                .hold
                .among_first(stmt, wish.group, of.pace.free(now), |s, wish| {
                    of.pace.blocks(s, wish)
                })
        {
            of.pace.release(stmt, wish.session);
            return Verdict::Go;
        }
        of.stirred = now;
        Verdict::Hold
    }

    /// What may go was sent: it no longer waits.
    pub fn sent(&mut self, stmt: u32) {
        self.hold.leave(stmt);
    }

    /// By what past changes took, it would not make its time.
    fn hopeless(&self, now: f64, wish: &Wish) -> bool {
        let term = &self.groups[&wish.group].term;
        // Who leads is known, and what is held goes out at the pace of completions; or nobody was ever heard of, as
        // at a start, which is no change: the due time tells the rest.
        if term.phase == Phase::Settling || term.number == 0 {
            return now >= wish.due;
        }
        let left = wish
            .due
            .min(wish.arrived + self.settings.longest_hold_ms / 1e3)
            - now;
        left <= 0.0 || self.history.chance(now - term.began, left) < self.settings.least_chance
    }

    /// All would be back at once: each is told a time of its own behind the expected end.
    fn refuse(&mut self, now: f64, group: u16) -> Verdict {
        let began = self.groups[&group].term.began;
        let left = self
            .history
            .left(if began == NEVER { 0.0 } else { now - began });
        Verdict::Refuse {
            after: left * (1.0 + self.chance.f64()),
        }
    }

    /// An execution at the group's leader ended while it was not settled.
    pub fn executed(
        &mut self,
        now: f64,
        group: u16,
        stmt: u32,
        node: u32,
        completed: bool,
        failed: bool,
    ) {
        let Some(of) = self
            .groups
            .get_mut(&group)
            .filter(|of| of.term.phase != Phase::Settled)
        else {
            return;
        };
        of.trial = of.trial.filter(|trial| *trial != stmt);
        if of.term.leader != Some(node) {
            of.pace.leave(stmt);
            return;
        }
        if completed {
            of.pace.completed();
        } else if failed {
            of.pace.failed(now);
            of.pace.leave(stmt);
            of.stirred = now;
        }
    }

    /// A write was answered as completed, at this position.
    pub fn answered(&mut self, group: u16, node: u32, commit: f64) {
        if commit.is_finite() {
            self.losses.answered(group, node, commit);
        }
    }

    /// A later term deposed it, and it has not said since that it follows: it may be cut off with a log of its
    /// own, and what it tells of its position says nothing of the group's.
    pub fn deposed(&self, group: u16, node: u32) -> bool {
        self.groups
            .get(&group)
            .is_some_and(|of| of.term.deposed.contains_key(&node))
    }

    /// Whether a node's word that it completed a write holds. Of a store that can lose, one that was deposed
    /// answers from a branch that is given up: the write may have run, and that is all.
    pub fn vouches(&self, group: u16, node: u32) -> bool {
        self.settings.branch_field.is_empty() || !self.deposed(group, node)
    }

    /// What a node tells of the log that it leads or follows: up to where the term's primary took it over, and
    /// since when it leads.
    pub fn taken_over(&mut self, now: f64, group: u16, node: u32, branch: f64, promoted: f64) {
        if let Some(loss) = self
            .losses
            .taken_over(group, branch, promoted, self.leader(group))
        {
            let more = if loss.exact { "" } else { " or more" };
            self.lines.push(format!(
                "{now:.3} group {group}: LOSS, by node {node} the log goes on without the commits after {:.3} up to {:.3}: {}{more} answered writes are gone",
                loss.after, loss.to, loss.writes
            ));
        }
    }

    /// While nobody leads for sure, a replica's position may already be of another log, in a store that can lose.
    pub fn log_in_doubt(&self, group: u16) -> bool {
        !self.led(group) && !self.settings.branch_field.is_empty()
    }

    /// Whether a commit at this position is known to be gone: no read may pretend to see it.
    pub fn lost(&self, group: u16, commit: f64) -> bool {
        self.losses.lost(group, commit)
    }

    /// It has its final answer, or its client has left.
    pub fn leave(&mut self, group: u16, stmt: u32) {
        self.hold.leave(stmt);
        self.evicted.retain(|other| *other != stmt);
        if let Some(of) = self.groups.get_mut(&group) {
            of.pace.leave(stmt);
            of.trial = of.trial.filter(|trial| *trial != stmt);
        }
    }

    /// A node is no longer known.
    pub fn forget(&mut self, group: u16, node: u32) {
        if let Some(of) = self.groups.get_mut(&group) {
            of.term.forget(node);
        }
    }

    /// What only time brings: a leader that works, with nothing held and nothing stirring, is settled.
    /// Statements that were given up for worthier ones are in the result: they are owed an answer now.
    pub fn settle(&mut self, now: f64) -> Vec<u32> {
        let mut settled = Vec::new();
        for group in &self.unsettled {
            let Some(of) = self.groups.get_mut(group) else {
                continue;
            };
            let calm = self.hold.of(*group).statements == 0 && now - of.stirred >= QUIET_S;
            if of.term.phase == Phase::Settling && calm && now >= of.pace.begins() {
                // What the quiet itself took is no part of the change.
                let took = (of.term.settle(now) - (now - of.stirred)).max(0.0);
                if took > 0.0 && of.pace.proved {
                    self.history.took(took);
                }
                of.pace = Pace::default();
                settled.push(*group);
                let (number, peak) = (of.term.number, self.hold.peak);
                self.lines.push(format!(
                    "{now:.3} group {group}: settled in term {number} after {took:.3} s, most held so far {} statements, {} bytes",
                    peak.statements, peak.bytes
                ));
            }
        }
        settled
            .iter()
            .for_each(|group| _ = self.unsettled.remove(group));
        self.evicted.clone()
    }

    /// Lines for the log, each once.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// Nobody leads for sure: the leader is in doubt or gone, or has said nothing since a connection to it broke.
    pub fn in_doubt(&self, now: f64, group: u16) -> bool {
        let unheard = |term: &Term| term.broke > term.claimed && now - term.broke < UNCERTAIN_S;
        !self.led(group) || self.groups.get(&group).is_some_and(|of| unheard(&of.term))
    }

    /// Groups that look for a leader, whose members are probed at short intervals: somebody waits, or the outcome
    /// of what a connection broke under hangs on whether the leader lives.
    pub fn searching(&self, now: f64, group: u16) -> bool {
        let asked = if self.led(group) {
            self.settings.outcomes
        } else {
            self.hold.of(group).statements > 0
        };
        asked && self.in_doubt(now, group)
    }
}

impl Group {
    fn tries(&mut self, now: f64, stmt: u32) -> bool {
        let fires = self.trial == Some(stmt) || self.trial.is_none() && now - self.tried >= TRIAL_S;
        if fires && self.trial.is_none() {
            (self.trial, self.tried) = (Some(stmt), now);
        }
        fires
    }
}
