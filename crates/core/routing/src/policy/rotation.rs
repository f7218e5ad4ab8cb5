//! Rotation over the members of a group.

/// The counter of one group, which wraps: each choice begins behind the last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rotation {
    /// The place where the next choice begins; any number will do, as it wraps.
    pub next: usize,
}

impl Rotation {
    /// The next of `count` members that is eligible, by its place. Where none is, the counter stays.
    pub fn next(&mut self, count: usize, eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let chosen = (0..count)
            .map(|i| (self.next % count + i) % count)
            .find(|i| eligible(*i))?;
        self.next = (chosen + 1) % count;
        Some(chosen)
    }
}
