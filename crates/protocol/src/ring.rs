//! The one buffer of a connection's direction. It holds nothing until bytes come, grows by doubling up to the
//! most that one message may need, and gives large pieces of memory back once it is empty.

const FIRST: usize = 1 << 10;
/// Most messages fit into this; a ring that is larger is not kept for a connection that falls idle.
const KEPT: usize = 1 << 14;

pub struct Ring {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    most: usize,
}

impl Ring {
    pub fn new(most: usize) -> Ring {
        Ring { bytes: Vec::new(), head: 0, len: 0, most }
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

    /// Where the next bytes go, without a break; empty once the ring is as full as it may get.
    pub fn room(&mut self) -> &mut [u8] {
        if self.len == self.bytes.len() && self.len < self.most {
            self.resize((2 * self.len).clamp(FIRST, self.most));
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

    /// So many bytes were put where `room` showed.
    pub fn filled(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends all of it; what the router itself writes is bounded by what it has read.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if self.len + bytes.len() > self.bytes.len() {
            self.resize((self.len + bytes.len()).next_power_of_two().max(FIRST));
        }
        while !bytes.is_empty() {
            let room = self.room();
            let count = room.len().min(bytes.len());
            room[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
    }

    fn resize(&mut self, size: usize) {
        let mut bytes = vec![0; size];
        self.copy(0, &mut bytes[..self.len]);
        (self.bytes, self.head) = (bytes, 0);
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
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.bytes.len() };
        if self.len == 0 && self.bytes.len() > KEPT {
            self.bytes = Vec::new();
        }
    }

    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let mut taken = vec![0; count.min(self.len)];
        self.copy(0, &mut taken);
        self.skip(count);
        taken
    }
}
