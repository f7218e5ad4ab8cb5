//! One group of a primary and its replicas, without sockets or clock: logs, replication, marks, promotion.
//! Times are milliseconds of Unix time. A write's effect is an entry of the log that survives.

use std::collections::HashMap;
use std::sync::Arc;

/// One effect of one write.
#[derive(Debug, PartialEq, Eq)]
pub struct Entry {
    /// The commit's position. In an asynchronous store no two commits share one, so that what is lost is parted
    /// exactly from what is not; the answer waits until its position is past.
    pub at: u64,
    /// The term whose primary made it, and its number in the group: both tell it from any other.
    pub term: u64,
    pub number: u64,
    pub mark: Option<String>,
    /// The id of the statement.
    pub statement: String,
    pub key: String,
    pub value: Vec<u8>,
}

/// How the store behaves.
#[derive(Clone, Copy, Debug)]
pub struct Replication {
    /// A write is on a majority before it is answered; else replicas follow by `lag_ms`.
    pub synchronous: bool,
    pub lag_ms: u64,
    /// A mark is remembered for so long after its write.
    pub mark_memory_ms: u64,
}

#[derive(Default)]
struct Member {
    log: Vec<Arc<Entry>>,
    /// Last place in the log by mark and by key.
    marks: HashMap<String, usize>,
    keys: HashMap<String, usize>,
    term: u64,
    leads: bool,
    alive: bool,
    /// It reaches the other members.
    linked: bool,
    /// Grows whenever what it had taken and not begun is void: its end, its start, its stepping down.
    epoch: u64,
    /// A replica shows all commits up to here.
    seen_to: u64,
    /// The beginning of the term that it leads or follows: the last commit that was taken over, and when its
    /// primary was promoted.
    took_over: Option<(u64, u64)>,
}

pub struct Group {
    replication: Replication,
    members: Vec<Member>,
    term: u64,
    numbered: u64,
    discarded: Vec<Arc<Entry>>,
}

/// What became of a write.
#[derive(Debug, PartialEq, Eq)]
pub enum Written {
    /// Its effect is in the log, or was already; the commit's position and the value.
    Done {
        at: u64,
        value: Vec<u8>,
        repeat: bool,
    },
    /// This member is no primary; nothing happened.
    NoPrimary,
    /// It can't be replicated now: it waits.
    Blocked,
}

/// What became of an earlier write, by its mark.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Ran(Vec<u8>),
    Never,
    /// Only the primary of the present term can tell.
    Unknown,
}

/// What is left of a group's history, by which a run is judged.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Effects in the order of the log that survives.
    pub effects: Vec<Arc<Entry>>,
    /// Effects of members that turned out to be on a branch of their own.
    pub discarded: Vec<Arc<Entry>>,
}

impl Member {
    fn push(&mut self, entry: Arc<Entry>) {
        let place = self.log.len();
        if let Some(mark) = &entry.mark {
            self.marks.insert(mark.clone(), place);
        }
        self.keys.insert(entry.key.clone(), place);
        self.log.push(entry);
    }

    /// Gives up what lies beyond so many entries.
    fn cut(&mut self, length: usize) -> Vec<Arc<Entry>> {
        if length >= self.log.len() {
            return Vec::new();
        }
        let gone = self.log.split_off(length);
        let kept = std::mem::take(&mut self.log);
        (self.marks, self.keys) = (HashMap::new(), HashMap::new());
        kept.into_iter().for_each(|entry| self.push(entry));
        gone
    }

    fn head(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.at)
    }
}

impl Group {
    /// All alive and linked; the first leads.
    pub fn new(replication: Replication, members: usize) -> Group {
        let member = |i| Member {
            alive: true,
            linked: true,
            term: 1,
            leads: i == 0,
            ..Member::default()
        };
        let members = (0..members).map(member).collect();
        Group {
            replication,
            members,
            term: 1,
            numbered: 0,
            discarded: Vec::new(),
        }
    }

    /// Who leads the present term, if that one lives.
    pub fn primary(&self) -> Option<usize> {
        self.members
            .iter()
            .position(|m| m.alive && m.leads && m.term == self.term)
    }

    pub fn leads(&self, member: usize) -> bool {
        self.members[member].leads
    }

    pub fn alive(&self, member: usize) -> bool {
        self.members[member].alive
    }

    pub fn epoch(&self, member: usize) -> u64 {
        self.members[member].epoch
    }

    pub fn took_over(&self, member: usize) -> Option<(u64, u64)> {
        self.members[member].took_over
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Lets time pass: replicas follow, and who hears of a later term steps down.
    pub fn pass(&mut self, now: u64) {
        let Some(leader) = self.primary().filter(|leader| self.members[*leader].linked) else {
            return;
        };
        let synchronous = self.replication.synchronous;
        let horizon = if synchronous {
            now
        } else {
            now.saturating_sub(self.replication.lag_ms)
        };
        for i in (0..self.members.len()).filter(|i| *i != leader) {
            if !(self.members[i].alive && self.members[i].linked) {
                continue;
            }
            self.step_down(i);
            self.follow(i, leader, horizon);
        }
    }

    fn step_down(&mut self, member: usize) {
        let (term, m) = (self.term, &mut self.members[member]);
        if m.leads && m.term < term {
            (m.leads, m.epoch) = (false, m.epoch + 1);
        }
        m.term = term;
    }

    fn follow(&mut self, member: usize, leader: usize, horizon: u64) {
        let same = |a: &[Arc<Entry>], b: &[Arc<Entry>], n: usize| n == 0 || a[n - 1] == b[n - 1];
        let mut common = self.members[member]
            .log
            .len()
            .min(self.members[leader].log.len());
        while !same(&self.members[member].log, &self.members[leader].log, common) {
            common -= 1;
        }
        let gone = self.members[member].cut(common);
        self.discarded.extend(gone);
        let new: Vec<Arc<Entry>> = self.members[leader].log[common..]
            .iter()
            .take_while(|e| e.at <= horizon)
            .cloned()
            .collect();
        let took_over = self.members[leader].took_over;
        let m = &mut self.members[member];
        m.took_over = took_over;
        new.into_iter().for_each(|entry| m.push(entry));
        m.seen_to = m.seen_to.max(horizon);
    }

    /// The position that a member tells: a primary stands at the present.
    pub fn position(&self, member: usize, now: u64) -> u64 {
        let m = &self.members[member];
        if m.leads {
            now.max(m.head())
        } else {
            m.seen_to.max(m.head())
        }
    }

    /// `epoch` is the member's when it took the write. With `alone`, it is not replicated: its primary is about
    /// to die.
    pub fn write(
        &mut self,
        now: u64,
        member: usize,
        epoch: u64,
        alone: bool,
        mut entry: Entry,
    ) -> Written {
        self.pass(now);
        let (memory, majority) = (self.replication.mark_memory_ms, self.majority());
        let reached = self.members.iter().filter(|m| m.alive && m.linked).count();
        let m = &self.members[member];
        if !m.alive || !m.leads || m.epoch != epoch {
            return Written::NoPrimary;
        }
        let known = entry
            .mark
            .as_ref()
            .and_then(|mark| m.marks.get(mark))
            .map(|place| &m.log[*place]);
        if let Some(known) = known.filter(|known| now.saturating_sub(known.at) < memory) {
            return Written::Done {
                at: known.at,
                value: known.value.clone(),
                repeat: true,
            };
        }
        if self.replication.synchronous
            && !alone
            && !(m.linked && m.term == self.term && reached >= majority)
        {
            return Written::Blocked;
        }
        self.numbered += 1;
        let apart = u64::from(!self.replication.synchronous);
        (entry.at, entry.term, entry.number) = (now.max(m.head() + apart), m.term, self.numbered);
        let (at, value) = (entry.at, entry.value.clone());
        self.members[member].push(Arc::new(entry));
        if self.replication.synchronous && !alone {
            self.pass(at);
        }
        Written::Done {
            at,
            value,
            repeat: false,
        }
    }

    pub fn read(&mut self, now: u64, member: usize, key: &str) -> Option<Vec<u8>> {
        self.pass(now);
        let m = &self.members[member];
        m.keys.get(key).map(|place| m.log[*place].value.clone())
    }

    /// How the last write with a mark ended, however long ago. Who led before can no longer make it run.
    pub fn outcome(&mut self, now: u64, member: usize, mark: &str) -> Outcome {
        self.pass(now);
        let m = &self.members[member];
        if !(m.leads && m.term == self.term && m.linked) {
            return Outcome::Unknown;
        }
        m.marks.get(mark).map_or(Outcome::Never, |place| {
            Outcome::Ran(m.log[*place].value.clone())
        })
    }

    /// The member, or whoever has most of the log, leads from now on. None where the store would not promote:
    /// a synchronous one needs a majority, which surely has all that was answered.
    pub fn promote(&mut self, now: u64, wanted: Option<usize>) -> Option<usize> {
        self.pass(now);
        let able: Vec<usize> = (0..self.members.len())
            .filter(|i| self.members[*i].alive && self.members[*i].linked)
            .collect();
        if self.replication.synchronous && able.len() < self.majority() {
            return None;
        }
        let log = |i: &usize| {
            (
                self.members[*i].log.last().map_or(0, |e| e.term),
                self.members[*i].log.len(),
            )
        };
        let most = able.iter().map(&log).max()?;
        let fits = |i: &usize| !self.replication.synchronous || log(i) == most;
        let chosen = match wanted {
            Some(wanted) => Some(wanted).filter(|i| able.contains(i) && fits(i)),
            None => able
                .iter()
                .copied()
                .filter(|i| !self.members[*i].leads && log(i) == most)
                .min(),
        }?;
        self.term += 1;
        let (term, m) = (self.term, &mut self.members[chosen]);
        (m.term, m.leads, m.took_over) = (term, true, Some((m.head(), now)));
        self.pass(now);
        Some(chosen)
    }

    /// Its process ends; what it has is kept on its disk.
    pub fn kill(&mut self, member: usize) {
        let m = &mut self.members[member];
        (m.alive, m.epoch) = (false, m.epoch + 1);
    }

    /// It starts again. One that led believes that it still does until it hears of a later term.
    pub fn restart(&mut self, now: u64, member: usize) {
        let m = &mut self.members[member];
        (m.alive, m.epoch) = (true, m.epoch + 1);
        self.pass(now);
    }

    /// Cuts it off from the other members, or joins it again.
    pub fn link(&mut self, now: u64, member: usize, linked: bool) {
        self.members[member].linked = linked;
        self.pass(now);
    }

    pub fn ledger(&self) -> Ledger {
        let last = self
            .members
            .iter()
            .max_by_key(|m| (m.leads && m.term == self.term, m.term, m.log.len()));
        Ledger {
            effects: last.map_or(Vec::new(), |m| m.log.clone()),
            discarded: self.discarded.clone(),
        }
    }
}
