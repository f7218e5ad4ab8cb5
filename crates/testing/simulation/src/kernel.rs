//! The kernel of the simulation: clock, event queue and random source.
//!
//! Every component receives it as `&mut Kernel` to read the time, draw random numbers and schedule
//! events. The kernel does not know the components' state. The order of random draws and of
//! scheduled events determines a run, so changing either order changes the digests of all runs.

mod event_queue;
mod random;

pub use event_queue::EventQueue;
pub use random::RandomSource;

use crate::digest::{EntryKind, RunDigest};
use crate::event::Event;

/// The environment variable that enables the trace of a run on standard error.
const TRACE_VARIABLE: &str = "LOUD";

/// The mean one-way delay of a message between zones of one region, in seconds.
const DEFAULT_MESSAGE_DELAY_S: f64 = 0.0015;

/// The clock, the event queue and the random source of one run.
#[derive(Clone)]
pub struct Kernel {
    now: f64,
    queue: EventQueue<Event>,
    /// The run's random source.
    pub random: RandomSource,
    /// The mean one-way delay of a message, in seconds.
    pub message_delay_s: f64,
    /// The digest of the run so far.
    pub(crate) digest: RunDigest,
    trace_enabled: bool,
}

impl Kernel {
    /// Creates the kernel of a run with this seed, at second 0.
    pub fn new(seed: u64) -> Kernel {
        Kernel {
            now: 0.0,
            queue: EventQueue::default(),
            random: RandomSource::new(seed),
            message_delay_s: DEFAULT_MESSAGE_DELAY_S,
            digest: RunDigest::default(),
            trace_enabled: std::env::var(TRACE_VARIABLE).is_ok(),
        }
    }

    /// Returns the simulated time, in seconds since the run began.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Schedules an event `after_s` seconds from now.
    pub(crate) fn schedule(&mut self, after_s: f64, event: impl Into<Event>) {
        self.queue.push(self.now + after_s, event.into());
    }

    /// Returns whether any scheduled event matches.
    pub(crate) fn is_scheduled(&self, matches: impl Fn(&Event) -> bool) -> bool {
        self.queue.pending().any(matches)
    }

    /// Removes and returns the next event that is due at or before `until` (in seconds), and
    /// advances the clock to it.
    pub(crate) fn next_event(&mut self, until: f64) -> Option<Event> {
        let (at, event) = self.queue.pop_until(until)?;
        // The queue rounds times down to microseconds, so an event may be due slightly in the past.
        self.now = self.now.max(at);
        Some(event)
    }

    /// Sets the clock to this second.
    pub(crate) fn advance_to(&mut self, second: f64) {
        self.now = second;
    }

    /// Draws the one-way delay of a message, in seconds.
    pub(crate) fn message_delay(&mut self) -> f64 {
        self.message_delay_s * (0.8 + 0.004 * self.random.below(100) as f64)
    }

    /// Adds an entry with the current time to the run's digest.
    pub(crate) fn record(&mut self, kind: EntryKind, numbers: &[u64]) {
        self.digest.number(kind as u64);
        self.digest.time(self.now);
        for number in numbers {
            self.digest.number(*number);
        }
    }

    /// Writes a line to standard error if tracing is enabled.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.trace_enabled {
            eprintln!("{:9.4} {}", self.now, text());
        }
    }
}
