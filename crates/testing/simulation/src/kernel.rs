//! The kernel of the simulation: clock, event queue and random source.
//!
//! Every part gets it as `&mut Kernel` to read the time, to draw and to schedule what follows. It
//! knows nothing of the parts' states. A run is determined by the order of draws and of scheduled
//! events, so a change of either changes the digests of all runs.

mod event_queue;
mod random;

pub use event_queue::EventQueue;
pub use random::RandomSource;

use crate::digest::{EntryKind, RunDigest};
use crate::event::Event;

/// The environment variable that makes a run write what happens to standard error.
const TRACE_VARIABLE: &str = "LOUD";

/// The mean one-way delay of a message between zones of one region, in seconds.
const DEFAULT_MESSAGE_DELAY_S: f64 = 0.0015;

/// Clock, event queue and random source of one run.
#[derive(Clone)]
pub struct Kernel {
    now: f64,
    queue: EventQueue<Event>,
    /// The run's random source.
    pub random: RandomSource,
    /// The mean one-way delay of a message, in seconds.
    pub message_delay_s: f64,
    /// The digest of what happened so far.
    pub(crate) digest: RunDigest,
    traces: bool,
}

impl Kernel {
    /// The kernel of a run with this seed, at second 0.
    pub fn new(seed: u64) -> Kernel {
        Kernel {
            now: 0.0,
            queue: EventQueue::default(),
            random: RandomSource::new(seed),
            message_delay_s: DEFAULT_MESSAGE_DELAY_S,
            digest: RunDigest::default(),
            traces: std::env::var(TRACE_VARIABLE).is_ok(),
        }
    }

    /// The simulated time, in seconds since the run began.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event in so many seconds.
    pub(crate) fn schedule(&mut self, after_s: f64, event: impl Into<Event>) {
        self.queue.push(self.now + after_s, event.into());
    }

    /// Whether an event for which this holds is scheduled.
    pub(crate) fn is_scheduled(&self, matches: impl Fn(&Event) -> bool) -> bool {
        self.queue.pending().any(matches)
    }

    /// Takes the next event due no later than at that second, and advances the clock to it.
    pub(crate) fn next_event(&mut self, until: f64) -> Option<Event> {
        let (at, event) = self.queue.pop_until(until)?;
        // An event may be due in the past: microseconds are cut off in the queue.
        self.now = self.now.max(at);
        Some(event)
    }

    /// Sets the clock to that second.
    pub(crate) fn advance_to(&mut self, second: f64) {
        self.now = second;
    }

    /// Draws the one-way delay of a message, in seconds.
    pub(crate) fn message_delay(&mut self) -> f64 {
        self.message_delay_s * (0.8 + 0.004 * self.random.below(100) as f64)
    }

    /// Adds what happened now to the run's digest.
    pub(crate) fn record(&mut self, kind: EntryKind, numbers: &[u64]) {
        self.digest.number(kind as u64);
        self.digest.time(self.now);
        for number in numbers {
            self.digest.number(*number);
        }
    }

    /// Writes a line to standard error if the run is traced.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.traces {
            eprintln!("{:9.4} {}", self.now, text());
        }
    }
}
