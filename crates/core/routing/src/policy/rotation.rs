//! Round-robin over the members of a group.

/// A counter for round-robin choices. Each choice starts behind the previous one and wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// Index at which the next choice starts. Any number is valid, as it is taken modulo the member count.
    pub next: usize,
}

impl Rotation {
    /// Returns the index of the next eligible one of `count` members and moves the counter behind it. If none is
    /// eligible, the counter stays.
    pub fn next(&mut self, count: usize, eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let chosen = (0..count)
            .map(|i| (self.next % count + i) % count)
            .find(|i| eligible(*i))?;
        self.next = (chosen + 1) % count;
        Some(chosen)
    }
}
