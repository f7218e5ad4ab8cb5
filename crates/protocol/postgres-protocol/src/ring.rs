//! The one buffer of a connection's direction. It holds nothing until bytes come, grows by doubling up to the
//! most that one message may need, and gives large pieces of memory back once it is empty. What all of them
//! may take together beyond their small beginnings is bounded by one [`Memory`].

use std::cell::Cell;
use std::rc::Rc;

const FIRST: usize = 1 << 10;
/// Most messages fit into this; a ring that is larger is not kept for a connection that falls idle.
const KEPT: usize = 1 << 14;

/// What many peers at once may make a process hold.
pub struct Memory {
    used: Cell<usize>,
    most: usize,
}

/// A piece of it, until it is dropped.
pub struct Hold {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Memory {
    pub fn new(most: usize) -> Rc<Memory> {
        Rc::new(Memory {
            used: Cell::new(0),
            most,
        })
    }

    /// Small pieces are always there: it is the large ones that add up.
    pub fn hold(self: &Rc<Self>, bytes: usize) -> Option<Hold> {
        let fits = bytes <= KEPT || bytes <= self.most.saturating_sub(self.used.get());
        fits.then(|| self.take(bytes))
    }

    fn take(self: &Rc<Self>, bytes: usize) -> Hold {
        let bytes = if bytes > KEPT { bytes } else { 0 };
        self.used.set(self.used.get() + bytes);
        Hold {
            memory: self.clone(),
            bytes,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}

pub struct Ring {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    most: usize,
    /// How many bytes are known to come.
    wanted: usize,
    memory: Rc<Memory>,
    held: Option<Hold>,
}

impl Ring {
    /// With memory of its own.
    pub fn new(most: usize) -> Ring {
        Ring::within(most, &Memory::new(usize::MAX))
    }

    pub fn within(most: usize, memory: &Rc<Memory>) -> Ring {
        Ring {
            bytes: Vec::new(),
            head: 0,
            len: 0,
            most,
            wanted: 0,
            memory: memory.clone(),
            held: None,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn most(&self) -> usize {
        self.most
    }

    /// Where the next bytes go, without a break; empty once the ring is as full as it may get, or while memory
    /// is short.
    pub fn room(&mut self) -> &mut [u8] {
        if self.len == self.bytes.len() && self.len < self.most {
            let size = (2 * self.len).max(self.wanted).clamp(FIRST, self.most);
            if let Some(hold) = self.memory.hold(size) {
                self.resize(size, hold);
            }
        }
        let (size, tail) = (self.bytes.len(), self.head + self.len);
        if self.len == size {
            &mut []
        } else if tail < size {
            &mut self.bytes[tail..]
        } else {
            &mut self.bytes[tail - size..self.head]
        }
    }

    /// So many bytes make the message whole that has begun: its place is taken at once, so that many that are
    /// half there never wait for each other.
    pub fn want(&mut self, count: usize) {
        self.wanted = count;
    }

    /// So many bytes were put where `room` showed.
    pub fn filled(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends all of it; what the router itself writes is bounded by what it has read.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if self.len + bytes.len() > self.bytes.len() {
            let size = (self.len + bytes.len()).next_power_of_two().max(FIRST);
            self.resize(size, self.memory.take(size));
        }
        while !bytes.is_empty() {
            let room = self.room();
            let count = room.len().min(bytes.len());
            room[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
    }

    fn resize(&mut self, size: usize, hold: Hold) {
        let mut bytes = vec![0; size];
        self.copy(0, &mut bytes[..self.len]);
        (self.bytes, self.head, self.held) = (bytes, 0, Some(hold));
    }

    /// The first bytes, as far as they stand without a break.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Copies what stands from `at` on; the caller has made sure by `len` that it is there.
    pub fn copy(&self, at: usize, to: &mut [u8]) {
        let (size, from) = (self.bytes.len(), self.head + at);
        if to.is_empty() {
            return;
        }
        let from = if from >= size { from - size } else { from };
        let first = to.len().min(size - from);
        to[..first].copy_from_slice(&self.bytes[from..from + first]);
        let rest = to.len() - first;
        to[first..].copy_from_slice(&self.bytes[..rest]);
    }

    pub fn skip(&mut self, count: usize) {
        self.len -= count.min(self.len);
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.bytes.len()
        };
        self.wanted = 0;
        if self.len == 0 && self.bytes.len() > KEPT {
            (self.bytes, self.held) = (Vec::new(), None);
        }
    }

    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let mut taken = Vec::with_capacity(count.min(self.len));
        self.move_to(count, &mut taken);
        taken
    }

    /// Moves the first bytes behind others.
    pub fn move_to(&mut self, count: usize, to: &mut Vec<u8>) {
        let mut left = count.min(self.len);
        while left > 0 {
            let front = self.front();
            let piece = front.len().min(left);
            to.extend_from_slice(&front[..piece]);
            self.skip(piece);
            left -= piece;
        }
    }

    /// Holds these bytes: where it is empty they are taken as they are, as large answers are much of all work.
    pub fn adopt(&mut self, bytes: Vec<u8>) {
        if self.len > 0 || bytes.is_empty() {
            return self.push(&bytes);
        }
        let hold = self.memory.take(bytes.len());
        (self.len, self.head, self.bytes, self.held) = (bytes.len(), 0, bytes, Some(hold));
    }
}
