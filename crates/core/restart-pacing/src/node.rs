//! What a router that comes back makes of one node: how far it believes it, how many connections it opens there
//! at once, and how it steps back.

use crate::Settings;

/// Statements at once beyond which a node is believed as far as any.
const BELIEVED: f64 = 32.0;
/// A grant to open that was not used within this is void.
const GRANTED_S: f64 = 0.1;

#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Its place in the order of turns.
    pub place: u64,
    /// A connection of this router's has come up there since the start or the standstill.
    pub met: bool,
    /// Statements that may be out there at once.
    pub room: f64,
    /// Refusals in a row, and until when nothing is opened after the last.
    refused: u32,
    closed_until: f64,
    /// Many new connections were seen there: turns, until then.
    pub crowded_until: f64,
    /// The slot that was used last, and a turn that was given to a statement, with its moment.
    used: Option<u64>,
    granted: Option<f64>,
    /// The most connections in use at once, in the present stretch of time and in the one before it.
    most_used: [usize; 2],
    stretch: f64,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            place: 0,
            met: false,
            room: 1.0,
            refused: 0,
            closed_until: f64::NEG_INFINITY,
            crowded_until: f64::NEG_INFINITY,
            used: None,
            granted: None,
            most_used: [0; 2],
            stretch: f64::NEG_INFINITY,
        }
    }
}

impl Node {
    /// What was known before a standstill counts for nothing; its place stays.
    pub(crate) fn doubt(&mut self) {
        *self = Node {
            place: self.place,
            most_used: self.most_used,
            stretch: self.stretch,
            ..Node::default()
        };
    }

    /// One more statement at once for each good answer, half after a bad one.
    pub(crate) fn answered(&mut self, good: bool) {
        self.room = if good {
            (self.room + 1.0).min(2.0 * BELIEVED)
        } else {
            (self.room / 2.0).max(1.0)
        };
    }

    pub(crate) fn believed(&self) -> bool {
        self.room >= BELIEVED
    }

    pub(crate) fn opened(&mut self) {
        (self.met, self.refused) = (true, 0);
    }

    /// Refused, or not come up: exponential, and by lot, so that equal routers don't return together.
    pub(crate) fn refused(&mut self, now: f64, settings: &Settings, lot: f64) {
        let longest = settings.refused_ms * f64::from(self.refused.min(20)).exp2();
        let pause = longest.min(settings.refused_most_ms) * (0.5 + lot) / 1e3;
        (self.refused, self.closed_until) = (self.refused + 1, now + pause);
    }

    /// How long nothing may be opened there yet.
    pub(crate) fn closed(&self, now: f64) -> Option<f64> {
        (self.closed_until > now).then_some(self.closed_until - now)
    }

    /// Whether the turn of this slot is still there.
    pub(crate) fn unused(&self, slot: u64) -> bool {
        self.used != Some(slot)
    }

    pub(crate) fn take(&mut self, slot: u64) {
        self.used = Some(slot);
    }

    /// A statement was sent there on the strength of this slot's turn: it may open its connection.
    pub(crate) fn grant(&mut self, now: f64, slot: u64) {
        (self.used, self.granted) = (Some(slot), Some(now));
    }

    /// Takes back a grant, if there is one that holds.
    pub(crate) fn redeem(&mut self, now: f64) -> bool {
        self.granted.take().is_some_and(|at| now - at <= GRANTED_S)
    }

    /// How many of its connections were in use at once lately; a stretch ends after this.
    pub(crate) fn in_use(&mut self, now: f64, busy: usize, stretch: f64) -> usize {
        if now - self.stretch >= stretch {
            let before = if now - self.stretch >= 2.0 * stretch {
                0
            } else {
                self.most_used[0]
            };
            (self.most_used, self.stretch) = ([0, before], now);
        }
        self.most_used[0] = self.most_used[0].max(busy);
        self.most_used[0].max(self.most_used[1])
    }
}
