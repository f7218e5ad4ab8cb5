//! The queue of held statements: those that wait while no node can take them.
//!
//! It is bounded in number and bytes, for each group and for all groups together. Where not all statements fit, those
//! worth most stay. A statement that may have run is evicted last, as only its repeat can tell how it ended.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// A statement that needs the primary of its group and asks to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionRequest {
    /// Replication group of the statement.
    pub group: u16,
    /// Session of the statement; 0 if it belongs to none.
    pub session: u64,
    /// Size of the statement in bytes.
    pub bytes: usize,
    /// Worth of an answer, by which statements are compared.
    pub worth: f64,
    /// Time of arrival, in seconds on the caller's clock.
    pub arrived: f64,
    /// Time after which an answer is of no use, in seconds on the caller's clock.
    pub deadline: f64,
    /// An earlier execution of the statement may have run.
    pub may_have_run: bool,
    /// If the leader is about to leave, it still takes this statement: its drain does not bind yet.
    pub taken_by_draining_leader: bool,
    /// The statement may be sent as a trial to a node that may be the leader, as nothing else can tell which node is.
    pub may_be_trial: bool,
}

/// Number and total size of statements: those that are held, or the maximum.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct HoldSize {
    /// Number of statements.
    pub statements: usize,
    /// Total size of the statements in bytes.
    pub bytes: usize,
}

/// Orders held statements by eviction, the field order is the order of comparison: statements proved not to have run
/// go before those that may have, then those worth least, then the youngest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    may_have_run: bool,
    worth_micros: u64,
    /// Negated, so that the youngest comes first.
    minus_arrived_us: i64,
    stmt: u32,
}

/// Orders the statements of a session by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ArrivalRank {
    arrived_bits: u64,
    stmt: u32,
}

/// Held statements of one group.
#[derive(Clone, Debug, Default)]
struct GroupQueue {
    size: HoldSize,
    /// Number of held statements that may have run.
    may_have_run: usize,
    ranks: BTreeSet<EvictionRank>,
    /// The statements of each session, in the order of arrival.
    sessions: BTreeMap<u64, BTreeSet<ArrivalRank>>,
}

/// Held statements of all groups.
#[derive(Clone, Debug, Default)]
pub struct HoldQueue {
    group_limit: HoldSize,
    total_limit: HoldSize,
    size: HoldSize,
    /// Maximum number, and maximum size, of the statements that were held at the same time.
    pub peak: HoldSize,
    held: BTreeMap<u32, AdmissionRequest>,
    queues: BTreeMap<u16, GroupQueue>,
}

fn eviction_rank(stmt: u32, request: &AdmissionRequest) -> EvictionRank {
    EvictionRank {
        may_have_run: request.may_have_run,
        worth_micros: (request.worth.max(0.0) * 1e6) as u64,
        minus_arrived_us: -(request.arrived * 1e6) as i64,
        stmt,
    }
}

fn arrival_rank(stmt: u32, request: &AdmissionRequest) -> ArrivalRank {
    ArrivalRank {
        // Times since the clock's start are not negative, so their bits have the order of the times.
        arrived_bits: request.arrived.max(0.0).to_bits(),
        stmt,
    }
}

impl HoldSize {
    /// Returns whether one more statement of this size fits within the limit.
    fn has_room(&self, bytes: usize, limit: &HoldSize) -> bool {
        self.statements < limit.statements && self.bytes + bytes <= limit.bytes
    }

    fn add(&mut self, bytes: usize) {
        self.statements += 1;
        self.bytes += bytes;
    }

    fn subtract(&mut self, bytes: usize) {
        self.statements -= 1;
        self.bytes -= bytes;
    }
}

impl HoldQueue {
    /// Creates an empty queue with limits for each group and for all groups together.
    pub fn new(group_limit: HoldSize, total_limit: HoldSize) -> HoldQueue {
        HoldQueue {
            group_limit,
            total_limit,
            ..HoldQueue::default()
        }
    }

    /// Changes the limits. Statements beyond a smaller limit are held until they leave by themselves.
    pub fn set_limits(&mut self, group_limit: HoldSize, total_limit: HoldSize) {
        self.group_limit = group_limit;
        self.total_limit = total_limit;
    }

    /// Returns whether the statement is held.
    pub fn contains(&self, stmt: u32) -> bool {
        self.held.contains_key(&stmt)
    }

    /// Number and size of the held statements of all groups.
    pub fn size(&self) -> HoldSize {
        self.size
    }

    /// Number and size of the held statements of one group.
    pub fn group_size(&self, group: u16) -> HoldSize {
        self.queues
            .get(&group)
            .map_or(HoldSize::default(), |queue| queue.size)
    }

    /// Holds a statement and returns whether it is held, which it is not if there is no room for it. Statements
    /// removed to make room are appended to `evicted`.
    pub fn insert(&mut self, stmt: u32, request: AdmissionRequest, evicted: &mut Vec<u32>) -> bool {
        if let Some(before) = self.held.get(&stmt) {
            // Already held: at most its place in the order of eviction changes.
            if before.may_have_run != request.may_have_run {
                self.remove(stmt);
                self.enqueue(stmt, request);
            }
            return true;
        }
        let mut evictions = Vec::new();
        let fits = self.find_evictions(stmt, &request, &mut evictions);
        if fits {
            evictions.iter().for_each(|stmt| self.remove(*stmt));
            evicted.extend(evictions);
            self.enqueue(stmt, request);
        }
        fits
    }

    /// Finds the statements to evict so that this one fits, all of them of lower rank. Returns whether it fits then;
    /// if it does not, nothing is to be evicted, whatever `evictions` holds.
    fn find_evictions(
        &self,
        stmt: u32,
        request: &AdmissionRequest,
        evictions: &mut Vec<u32>,
    ) -> bool {
        let mut group_size = self.group_size(request.group);
        let mut total_size = self.size;
        let own = eviction_rank(stmt, request);
        let own_queue = self.queues.get(&request.group).map(|queue| &queue.ranks);
        // Of equal worth, the held statement stays: the arrival does not count here.
        let lower = |rank: &&EvictionRank| {
            (rank.may_have_run, rank.worth_micros) < (own.may_have_run, own.worth_micros)
        };
        let mut candidates = own_queue.into_iter().flatten().filter(lower);
        while !group_size.has_room(request.bytes, &self.group_limit) {
            let Some(next) = candidates.next() else {
                return false;
            };
            let bytes = self.held[&next.stmt].bytes;
            group_size.subtract(bytes);
            total_size.subtract(bytes);
            evictions.push(next.stmt);
        }
        if total_size.has_room(request.bytes, &self.total_limit) {
            return true;
        }
        let all_groups: BTreeSet<&EvictionRank> = self
            .queues
            .values()
            .flat_map(|queue| &queue.ranks)
            .filter(lower)
            .collect();
        for next in all_groups {
            if total_size.has_room(request.bytes, &self.total_limit) {
                break;
            }
            if !evictions.contains(&next.stmt) {
                total_size.subtract(self.held[&next.stmt].bytes);
                evictions.push(next.stmt);
            }
        }
        total_size.has_room(request.bytes, &self.total_limit)
    }

    fn enqueue(&mut self, stmt: u32, request: AdmissionRequest) {
        let queue = self.queues.entry(request.group).or_default();
        queue.size.add(request.bytes);
        queue.may_have_run += usize::from(request.may_have_run);
        queue.ranks.insert(eviction_rank(stmt, &request));
        if request.session != 0 {
            queue
                .sessions
                .entry(request.session)
                .or_default()
                .insert(arrival_rank(stmt, &request));
        }
        self.size.add(request.bytes);
        self.peak.statements = self.peak.statements.max(self.size.statements);
        self.peak.bytes = self.peak.bytes.max(self.size.bytes);
        self.held.insert(stmt, request);
    }

    /// Removes a statement; does nothing if it is not held.
    pub fn remove(&mut self, stmt: u32) {
        let Some(request) = self.held.remove(&stmt) else {
            return;
        };
        self.size.subtract(request.bytes);
        let queue = self
            .queues
            .get_mut(&request.group)
            .expect("a held statement's group has a queue");
        queue.size.subtract(request.bytes);
        queue.may_have_run -= usize::from(request.may_have_run);
        queue.ranks.remove(&eviction_rank(stmt, &request));
        if let Some(session) = queue.sessions.get_mut(&request.session) {
            session.remove(&arrival_rank(stmt, &request));
            if session.is_empty() {
                queue.sessions.remove(&request.session);
            }
        }
        if queue.size.statements == 0 {
            self.queues.remove(&request.group);
        }
    }

    /// Returns whether the statement is among the first `places` to be released in its group.
    ///
    /// The order is the reverse of the eviction: those that may have run, then those worth most, then those that
    /// wait longest. Left out are statements for which `blocked` returns true, and those that are not the first of
    /// their session, unless they may have run.
    pub fn is_among_first(
        &self,
        stmt: u32,
        group: u16,
        places: usize,
        blocked: impl Fn(u32, &AdmissionRequest) -> bool,
    ) -> bool {
        let Some(queue) = self.queues.get(&group).filter(|_| places > 0) else {
            return false;
        };
        let releasable = |stmt: &u32| {
            let request = &self.held[stmt];
            !blocked(*stmt, request)
                && (request.may_have_run || self.is_first_of_session(queue, *stmt, request))
        };
        let mut first = queue
            .ranks
            .iter()
            .rev()
            .map(|rank| rank.stmt)
            .filter(releasable)
            .take(places);
        first.any(|other| other == stmt)
    }

    fn is_first_of_session(
        &self,
        queue: &GroupQueue,
        stmt: u32,
        request: &AdmissionRequest,
    ) -> bool {
        let earliest = queue
            .sessions
            .get(&request.session)
            .and_then(|session| session.first());
        earliest.is_none_or(|first| *first >= arrival_rank(stmt, request))
    }

    /// Returns whether no held statement goes before this one: neither one that may have run, nor an earlier one of
    /// its session.
    ///
    /// A statement that may have run is always first: it was in flight before all that wait, and the group will soon
    /// forget its mark.
    pub fn is_first(&self, stmt: u32, request: &AdmissionRequest) -> bool {
        let Some(queue) = self.queues.get(&request.group) else {
            return true;
        };
        if request.may_have_run {
            return true;
        }
        queue.may_have_run == 0 && self.is_first_of_session(queue, stmt, request)
    }
}
