//! Up to which log position a router has told clients of the success of writes.

use badgerstream_line_protocol::Position;

/// The writes and commits of one service whose success the router has passed on, or is passing on,
/// in this life of its process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AcknowledgedWrites {
    highest: HighestPosition,
    surpassed: Option<Position>,
}

/// The highest position in the answers to these writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum HighestPosition {
    /// There are no such writes.
    #[default]
    None,
    /// The answers carried this position or lower ones.
    UpTo(Position),
    /// The answer to one of them carried no position.
    Unknown,
}

impl AcknowledgedWrites {
    /// Records that a success is passed on whose answer carried `position`. The primary had told
    /// `position_before` in an answer before the write was sent, so the write lies beyond it.
    pub fn record(&mut self, position: Option<Position>, position_before: Option<Position>) {
        self.surpassed = self.surpassed.max(position_before);
        self.highest = match (self.highest, position) {
            (HighestPosition::Unknown, _) | (_, None) => HighestPosition::Unknown,
            (HighestPosition::None, Some(position)) => HighestPosition::UpTo(position),
            (HighestPosition::UpTo(highest), Some(position)) => {
                HighestPosition::UpTo(highest.max(position))
            }
        };
    }

    /// Returns the position up to which successes were passed on, which is 0.0 for none; `None` if
    /// it isn't known.
    pub fn position(&self) -> Option<Position> {
        match self.highest {
            HighestPosition::None => Some(Position { term: 0, number: 0 }),
            HighestPosition::UpTo(position) => Some(position),
            HighestPosition::Unknown => None,
        }
    }

    /// Returns the highest position beyond which a write certainly lies whose success was passed
    /// on; `None` if none is known.
    pub fn surpassed(&self) -> Option<Position> {
        self.surpassed
    }
}
