//! Places that are used again, each time under a new turn: what names an old turn finds nothing.

/// A place and its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    pub place: u32,
    turn: u32,
}

impl Ticket {
    pub fn word(self) -> u64 {
        u64::from(self.place) << 32 | u64::from(self.turn)
    }

    pub fn read(word: u64) -> Ticket {
        Ticket {
            place: (word >> 32) as u32,
            turn: word as u32,
        }
    }
}

pub struct Slab<T> {
    places: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab {
            places: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn add(&mut self, thing: T) -> Ticket {
        let place = self.free.pop().unwrap_or_else(|| {
            self.places.push((0, None));
            self.places.len() as u32 - 1
        });
        let (turn, there) = &mut self.places[place as usize];
        *there = Some(thing);
        Ticket { place, turn: *turn }
    }

    pub fn get(&mut self, ticket: Ticket) -> Option<&mut T> {
        let (turn, there) = self.places.get_mut(ticket.place as usize)?;
        if *turn == ticket.turn {
            there.as_mut()
        } else {
            None
        }
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.get(ticket)?;
        let (turn, there) = &mut self.places[ticket.place as usize];
        *turn = turn.wrapping_add(1);
        self.free.push(ticket.place);
        there.take()
    }

    pub fn tickets(&self) -> Vec<Ticket> {
        let all = (0..).zip(&self.places);
        let there = all.filter(|(_, (_, there))| there.is_some());
        there
            .map(|(place, (turn, _))| Ticket { place, turn: *turn })
            .collect()
    }
}
