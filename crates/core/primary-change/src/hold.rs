//! Who waits while nobody can take it: bounded in count and bytes, by group and in all. Where not all fit, the
//! worthiest stay; a write that may have run is given up last, as only its repeat can tell how it ended.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a statement that needs a primary asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wish {
    pub group: u16,
    /// 0 where it belongs to none.
    pub session: u64,
    pub bytes: usize,
    pub worth: f64,
    pub arrived: f64,
    /// Seconds on the front's clock: an answer after it is of no use.
    pub due: f64,
    /// Some earlier execution of it may have run.
    pub doubtful: bool,
    /// The leader, if it is only about to leave, still takes it: its drain does not bind yet.
    pub served: bool,
    /// It may be sent to a node that may lead, where nothing else can tell who does.
    pub tries: bool,
}

/// Statements and their bytes: what is held, or the most that may be.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Room {
    pub statements: usize,
    pub bytes: usize,
}

/// In the order in which they are given up: proved unrun before doubtful, then by worth, then the youngest.
type Rank = (bool, u64, i64, u32);

#[derive(Clone, Debug, Default)]
struct Queue {
    room: Room,
    doubtful: usize,
    ranks: BTreeSet<Rank>,
    /// By session, in the order of arrival.
    sessions: BTreeMap<u64, BTreeSet<(u64, u32)>>,
}

#[derive(Clone, Debug, Default)]
pub struct Hold {
    of_group: Room,
    of_all: Room,
    used: Room,
    /// The most that was held at once.
    pub peak: Room,
    held: BTreeMap<u32, Wish>,
    queues: BTreeMap<u16, Queue>,
}

fn rank(stmt: u32, wish: &Wish) -> Rank {
    (
        wish.doubtful,
        (wish.worth.max(0.0) * 1e6) as u64,
        -(wish.arrived * 1e6) as i64,
        stmt,
    )
}

/// Times after the clock's start are positive, so their bits are in their order.
fn moment(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Room {
    fn fits(&self, more: usize, most: &Room) -> bool {
        self.statements < most.statements && self.bytes + more <= most.bytes
    }

    fn add(&mut self, bytes: usize) {
        (self.statements, self.bytes) = (self.statements + 1, self.bytes + bytes);
    }

    fn take(&mut self, bytes: usize) {
        (self.statements, self.bytes) = (self.statements - 1, self.bytes - bytes);
    }
}

impl Hold {
    pub fn new(of_group: Room, of_all: Room) -> Hold {
        Hold {
            of_group,
            of_all,
            ..Hold::default()
        }
    }

    /// New bounds; what is held beyond smaller ones stays until it leaves.
    pub fn resize(&mut self, of_group: Room, of_all: Room) {
        (self.of_group, self.of_all) = (of_group, of_all);
    }

    pub fn holds(&self, stmt: u32) -> bool {
        self.held.contains_key(&stmt)
    }

    pub fn used(&self) -> Room {
        self.used
    }

    pub fn of(&self, group: u16) -> Room {
        self.queues
            .get(&group)
            .map_or(Room::default(), |queue| queue.room)
    }

    /// Takes it in, or tells that there is no room for it. Those in `evicted` had to make room and are out.
    pub fn enter(&mut self, stmt: u32, wish: Wish, evicted: &mut Vec<u32>) -> bool {
        if let Some(before) = self.held.get(&stmt) {
            // Held already: only what it is worth to keep may have changed.
            if before.doubtful != wish.doubtful {
                self.leave(stmt);
                self.put(stmt, wish);
            }
            return true;
        }
        let mut going = Vec::new();
        let fits = self.make_room(stmt, &wish, &mut going);
        if fits {
            going.iter().for_each(|stmt| self.leave(*stmt));
            evicted.extend(going);
            self.put(stmt, wish);
        }
        fits
    }

    /// Names whom it would displace: only less worthy ones, and nobody unless there is room then.
    fn make_room(&self, stmt: u32, wish: &Wish, going: &mut Vec<u32>) -> bool {
        let (mut group, mut all) = (self.of(wish.group), self.used);
        let own = rank(stmt, wish);
        let own_queue = self.queues.get(&wish.group).map(|queue| &queue.ranks);
        // Of the same worth, who is held stays: only the first two places of the rank displace.
        let lesser = |rank: &&Rank| (rank.0, rank.1) < (own.0, own.1);
        let mut candidates = own_queue.into_iter().flatten().filter(lesser);
        while !group.fits(wish.bytes, &self.of_group) {
            let Some(next) = candidates.next() else {
                return false;
            };
            let bytes = self.held[&next.3].bytes;
            group.take(bytes);
            all.take(bytes);
            going.push(next.3);
        }
        if all.fits(wish.bytes, &self.of_all) {
            return true;
        }
        let everywhere: BTreeSet<&Rank> = self
            .queues
            .values()
            .flat_map(|q| &q.ranks)
            .filter(lesser)
            .collect();
        for next in everywhere {
            if all.fits(wish.bytes, &self.of_all) {
                break;
            }
            if !going.contains(&next.3) {
                all.take(self.held[&next.3].bytes);
                going.push(next.3);
            }
        }
        all.fits(wish.bytes, &self.of_all)
    }

    fn put(&mut self, stmt: u32, wish: Wish) {
        let queue = self.queues.entry(wish.group).or_default();
        queue.room.add(wish.bytes);
        queue.doubtful += usize::from(wish.doubtful);
        queue.ranks.insert(rank(stmt, &wish));
        if wish.session != 0 {
            queue
                .sessions
                .entry(wish.session)
                .or_default()
                .insert((moment(wish.arrived), stmt));
        }
        self.used.add(wish.bytes);
        self.peak.statements = self.peak.statements.max(self.used.statements);
        self.peak.bytes = self.peak.bytes.max(self.used.bytes);
        self.held.insert(stmt, wish);
    }

    pub fn leave(&mut self, stmt: u32) {
        let Some(wish) = self.held.remove(&stmt) else {
            return;
        };
        self.used.take(wish.bytes);
        let queue = self
            .queues
            .get_mut(&wish.group)
            .expect("a held statement's group has a queue");
        queue.room.take(wish.bytes);
        queue.doubtful -= usize::from(wish.doubtful);
        queue.ranks.remove(&rank(stmt, &wish));
        if let Some(session) = queue.sessions.get_mut(&wish.session) {
            session.remove(&(moment(wish.arrived), stmt));
            if session.is_empty() {
                queue.sessions.remove(&wish.session);
            }
        }
        if queue.room.statements == 0 {
            self.queues.remove(&wish.group);
        }
    }

    /// Whether it is among the first `places` of its group: what may have run, then the worthiest, and of these
    /// who waits longest. Left out are those that `blocked` names, and who is not the first of its session.
    pub fn among_first(
        &self,
        stmt: u32,
        group: u16,
        places: usize,
        blocked: impl Fn(u32, &Wish) -> bool,
    ) -> bool {
        let Some(queue) = self.queues.get(&group).filter(|_| places > 0) else {
            return false;
        };
        let goes = |stmt: &u32| {
            let wish = &self.held[stmt];
            !blocked(*stmt, wish) && (wish.doubtful || self.first_of_session(queue, *stmt, wish))
        };
        let mut ready = queue
            .ranks
            .iter()
            .rev()
            .map(|rank| rank.3)
            .filter(goes)
            .take(places);
        ready.any(|other| other == stmt)
    }

    fn first_of_session(&self, queue: &Queue, stmt: u32, wish: &Wish) -> bool {
        let earlier = queue
            .sessions
            .get(&wish.session)
            .and_then(|session| session.first());
        earlier.is_none_or(|first| *first >= (moment(wish.arrived), stmt))
    }

    /// Whether nothing that is held goes before it: what may have run, then what its session sent earlier.
    /// What may have run was out before all that waits, and its mark is forgotten soon.
    pub fn first(&self, stmt: u32, wish: &Wish) -> bool {
        let Some(queue) = self.queues.get(&wish.group) else {
            return true;
        };
        if wish.doubtful {
            return true;
        }
        queue.doubtful == 0 && self.first_of_session(queue, stmt, wish)
    }
}
