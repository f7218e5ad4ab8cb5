//! Whether a statement is tried again and when, and which of the six outcomes it ends in. No I/O and no clock:
//! moments are handed in.

use crate::scenario::Retries;
use crate::work::Moment;
use serde::{Deserialize, Serialize};

/// Each statement ends in exactly one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Completed,
    /// Completed after its SLO time.
    Late,
    Rejected,
    /// An error, or a connection that broke under it: it may have run.
    Aborted,
    /// Sent, and not answered within its client's time.
    TimedOut,
    /// Its client's time was over before it could be sent.
    Unsent,
}

pub const OUTCOMES: [Outcome; 6] = [
    Outcome::Completed,
    Outcome::Late,
    Outcome::Rejected,
    Outcome::Aborted,
    Outcome::TimedOut,
    Outcome::Unsent,
];

impl Outcome {
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Late => "late",
            Outcome::Rejected => "rejected",
            Outcome::Aborted => "aborted",
            Outcome::TimedOut => "timed_out",
            Outcome::Unsent => "unsent",
        }
    }

    pub fn read(name: &str) -> Option<Outcome> {
        OUTCOMES.into_iter().find(|outcome| outcome.name() == name)
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Completed,
    /// Trying again is harmless, after so many nanoseconds where that was told.
    Rejected(Option<u64>),
    /// It may have run.
    Aborted,
    /// No connection, or it broke before the last byte was handed over: it has not run.
    Unreached,
    /// The client's time is over; whether the last byte was handed over.
    GivenUp {
        sent: bool,
    },
}

/// What stays the same for a statement.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    pub due: Moment,
    pub slo: u64,
    pub deadline: Moment,
    pub repeatable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    Again(Moment),
    Over(Outcome),
}

/// What the attempts so far have come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attempts {
    /// Those that were begun, the present one included.
    pub count: u32,
    rejected: bool,
    /// One of them may have run.
    doubtful: bool,
}

impl Attempts {
    pub fn begun(&mut self) {
        self.count += 1;
    }

    /// What was sent went out whole and was lost with its connection, and goes once more: it may have run,
    /// whatever comes of that.
    pub fn doubt(&mut self) {
        self.doubtful = true;
    }

    /// An attempt has ended; `lot` is from 0 to 1.
    pub fn ended(
        &mut self,
        ended: Ended,
        now: Moment,
        facts: &Facts,
        rules: &Retries,
        lot: f64,
    ) -> Next {
        self.rejected |= matches!(ended, Ended::Rejected(_));
        self.doubtful |= matches!(ended, Ended::Aborted | Ended::GivenUp { sent: true });
        match self.again(ended, now, facts, rules, lot) {
            Some(at) => Next::Again(at),
            None => Next::Over(self.outcome(ended, now, facts)),
        }
    }

    fn again(
        &self,
        ended: Ended,
        now: Moment,
        facts: &Facts,
        rules: &Retries,
        lot: f64,
    ) -> Option<Moment> {
        let wanted = match ended {
            Ended::Completed | Ended::GivenUp { .. } => false,
            // What may have run before must not run again, though this attempt has not.
            Ended::Rejected(_) | Ended::Unreached => {
                rules.rejected && (facts.repeatable || !self.doubtful)
            }
            Ended::Aborted => rules.aborted && facts.repeatable,
        };
        if !wanted || self.count > rules.most {
            return None;
        }
        let most = (rules.base_ms * f64::from(self.count - 1).exp2()).min(rules.most_ms);
        let pause = (most * lot * 1e6) as u64;
        let advised = match ended {
            // Spread behind the advice, so that those who were told the same do not come back together.
            Ended::Rejected(Some(advice)) if rules.advice => advice.saturating_add(pause),
            _ => pause,
        };
        Some(now.saturating_add(advised)).filter(|at| *at < facts.deadline)
    }

    fn outcome(&self, ended: Ended, now: Moment, facts: &Facts) -> Outcome {
        match ended {
            Ended::Completed if now <= facts.due.saturating_add(facts.slo) => Outcome::Completed,
            Ended::Completed => Outcome::Late,
            Ended::GivenUp { sent: true } => Outcome::TimedOut,
            _ if self.doubtful => Outcome::Aborted,
            _ if self.rejected => Outcome::Rejected,
            _ => Outcome::Unsent,
        }
    }
}
