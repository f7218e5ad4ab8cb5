//! Ring buffer for one direction of a connection. It allocates nothing until bytes arrive, grows by doubling up to its
//! maximum size, and releases large allocations once it is empty. All large allocations together are limited by a
//! [`MemoryBudget`].

use std::cell::Cell;
use std::rc::Rc;

/// Size of the first allocation of a buffer, in bytes.
const INITIAL_BYTES: usize = 1 << 10;
/// Maximum size of an allocation that is kept while the buffer is empty, in bytes. Most messages fit into it. Only
/// larger allocations count against the memory budget.
const MAX_KEPT_BYTES: usize = 1 << 14;

/// Limits the total memory of large messages and statements.
pub struct MemoryBudget {
    used: Cell<usize>,
    limit: usize,
}

/// Reserves memory of a budget until it is dropped.
pub struct MemoryReservation {
    memory: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            used: Cell::new(0),
            limit,
        })
    }

    /// Reserves memory, or returns `None` if the budget does not have it. Sizes of up to 16 KiB are always granted and
    /// not counted.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let fits = bytes <= MAX_KEPT_BYTES || bytes <= self.limit.saturating_sub(self.used.get());
        fits.then(|| self.reserve_unchecked(bytes))
    }

    /// Reserves memory even beyond the limit.
    fn reserve_unchecked(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        let bytes = if bytes > MAX_KEPT_BYTES { bytes } else { 0 };
        self.used.set(self.used.get() + bytes);
        MemoryReservation {
            memory: self.clone(),
            bytes,
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}

/// Growing ring buffer, see the description of the module.
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    max_len: usize,
    /// Known size of the message that has begun, in bytes.
    expected_len: usize,
    memory: Rc<MemoryBudget>,
    reservation: Option<MemoryReservation>,
}

impl RingBuffer {
    /// Creates a buffer of up to `max_len` bytes with an unlimited memory budget of its own.
    pub fn new(max_len: usize) -> RingBuffer {
        RingBuffer::with_memory(max_len, &MemoryBudget::new(usize::MAX))
    }

    /// Creates a buffer of up to `max_len` bytes that shares a memory budget.
    pub fn with_memory(max_len: usize, memory: &Rc<MemoryBudget>) -> RingBuffer {
        RingBuffer {
            bytes: Vec::new(),
            head: 0,
            len: 0,
            max_len,
            expected_len: 0,
            memory: memory.clone(),
            reservation: None,
        }
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the maximum number of buffered bytes.
    pub fn max_len(&self) -> usize {
        self.max_len
    }

    /// Returns contiguous free space for the next bytes. It is empty if the buffer has reached its maximum length, or
    /// while the memory budget is exhausted.
    pub fn room(&mut self) -> &mut [u8] {
        if self.len == self.bytes.len() && self.len < self.max_len {
            let size = (2 * self.len)
                .max(self.expected_len)
                .clamp(INITIAL_BYTES, self.max_len);
            if let Some(reservation) = self.memory.reserve(size) {
                self.resize(size, reservation);
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

    /// Sets the total size of the message that has begun. Its memory is then allocated at once, so that incomplete
    /// messages can't block each other.
    pub fn expect_len(&mut self, count: usize) {
        self.expected_len = count;
    }

    /// Records that `count` bytes were written to the space returned by `room`.
    pub fn filled(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Appends bytes even beyond the maximum length: the size of the router's own output is bounded by its input.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if self.len + bytes.len() > self.bytes.len() {
            let size = (self.len + bytes.len())
                .next_power_of_two()
                .max(INITIAL_BYTES);
            self.resize(size, self.memory.reserve_unchecked(size));
        }
        while !bytes.is_empty() {
            let room = self.room();
            let count = room.len().min(bytes.len());
            room[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
    }

    fn resize(&mut self, size: usize, reservation: MemoryReservation) {
        let mut bytes = vec![0; size];
        self.copy(0, &mut bytes[..self.len]);
        (self.bytes, self.head, self.reservation) = (bytes, 0, Some(reservation));
    }

    /// Returns the first bytes, as far as they are contiguous.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Copies bytes from offset `at`. The caller must check with `len` that they are buffered.
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

    /// Removes up to `count` bytes from the front.
    pub fn skip(&mut self, count: usize) {
        self.len -= count.min(self.len);
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.bytes.len()
        };
        self.expected_len = 0;
        if self.len == 0 && self.bytes.len() > MAX_KEPT_BYTES {
            (self.bytes, self.reservation) = (Vec::new(), None);
        }
    }

    /// Removes up to `count` bytes from the front and returns them.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let mut taken = Vec::with_capacity(count.min(self.len));
        self.move_to(count, &mut taken);
        taken
    }

    /// Removes up to `count` bytes from the front and appends them to `to`.
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

    /// Appends bytes. An empty buffer takes the vector without copying, since copying large answers would be a large
    /// share of the router's work.
    pub fn adopt(&mut self, bytes: Vec<u8>) {
        if self.len > 0 || bytes.is_empty() {
            return self.push(&bytes);
        }
        let reservation = self.memory.reserve_unchecked(bytes.len());
        (self.len, self.head, self.bytes, self.reservation) =
            (bytes.len(), 0, bytes, Some(reservation));
    }
}
