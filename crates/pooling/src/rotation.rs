//! The counter of the design: other reads take the next eligible replica.

/// Counts on at each read, and wraps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rotation {
    next: u32,
}

impl Rotation {
    /// Begins anywhere, so that routers which start together do not all go to the same replica.
    pub fn from(start: u32) -> Self {
        Self { next: start }
    }

    /// The place of the next among this many; none of none.
    pub fn next(&mut self, among: usize) -> Option<usize> {
        if among == 0 {
            return None;
        }
        let at = self.next as usize % among;
        self.next = self.next.wrapping_add(1);
        Some(at)
    }
}
