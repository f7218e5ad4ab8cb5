//! The highest rate at which a service level holds: which rate is tried next, and when it is found. No I/O and
//! no clock; a play's verdict is handed in.

use serde::Serialize;

/// What a play at one rate came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    Held,
    Broken,
    /// The generator could not send so much: nothing is known of the server.
    Limited,
}

/// What is stated, and how well it is to be found.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Where to begin, and what is not gone beyond or below; statements a second.
    pub first: f64,
    pub least: f64,
    pub most: f64,
    /// The rates that hold and do not hold are no further apart than this part.
    pub precision: f64,
    /// What was found must hold so many times more.
    pub confirm: u32,
    /// Plays in all.
    pub plays: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Found {
    /// It holds up to here; a little above it does not.
    Highest { per_s: f64, broken_at_per_s: f64 },
    /// It holds here, and the bounds or the generator end before it breaks.
    AtLeast {
        per_s: f64,
        limited_by_generator: bool,
    },
    /// It does not hold even at the lowest rate.
    Nowhere { least_per_s: f64 },
    /// Plays ran out: it lies between these.
    Between { per_s: f64, broken_at_per_s: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Play(f64),
    Done(Found),
}

/// A search under way.
#[derive(Clone, Debug)]
pub struct Search {
    bounds: Bounds,
    held: Option<f64>,
    broken: Option<f64>,
    limited: bool,
    confirmed: u32,
    plays: u32,
}

impl Search {
    pub fn new(bounds: Bounds) -> Search {
        Search {
            bounds,
            held: None,
            broken: None,
            limited: false,
            confirmed: 0,
            plays: 0,
        }
    }

    pub fn next(&self) -> Step {
        let b = &self.bounds;
        if self.plays >= b.plays {
            return Step::Done(self.out_of_plays());
        }
        match (self.held, self.broken) {
            (None, None) => Step::Play(b.first.clamp(b.least, b.most)),
            (Some(held), None) if held >= b.most => self.confirm(
                held,
                Found::AtLeast {
                    per_s: held,
                    limited_by_generator: self.limited,
                },
            ),
            (Some(held), None) => Step::Play((held * 2.0).min(b.most)),
            (None, Some(broken)) if broken <= b.least => Step::Done(Found::Nowhere {
                least_per_s: broken,
            }),
            (None, Some(broken)) => Step::Play((broken / 2.0).max(b.least)),
            (Some(held), Some(broken)) if broken <= held * (1.0 + b.precision) => {
                let found = if self.limited {
                    Found::AtLeast {
                        per_s: held,
                        limited_by_generator: true,
                    }
                } else {
                    Found::Highest {
                        per_s: held,
                        broken_at_per_s: broken,
                    }
                };
                self.confirm(held, found)
            }
            // Halfway in proportion: rates are compared by their ratio.
            (Some(held), Some(broken)) => Step::Play((held * broken).sqrt()),
        }
    }

    fn confirm(&self, held: f64, found: Found) -> Step {
        if self.confirmed < self.bounds.confirm {
            Step::Play(held)
        } else {
            Step::Done(found)
        }
    }

    fn out_of_plays(&self) -> Found {
        match (self.held, self.broken) {
            (Some(per_s), Some(broken_at_per_s)) => Found::Between {
                per_s,
                broken_at_per_s,
            },
            (Some(per_s), None) => Found::AtLeast {
                per_s,
                limited_by_generator: self.limited,
            },
            (None, broken) => Found::Nowhere {
                least_per_s: broken.unwrap_or(self.bounds.least),
            },
        }
    }

    /// A play at this rate has ended.
    pub fn told(&mut self, rate: f64, verdict: Verdict) {
        self.plays += 1;
        let again = self.held == Some(rate);
        match verdict {
            Verdict::Held if again => self.confirmed += 1,
            Verdict::Held => (self.held, self.confirmed) = (Some(rate), 0),
            Verdict::Broken | Verdict::Limited => {
                // A rate that held by luck: what is below it has to be found again.
                if again {
                    (self.held, self.confirmed) = (None, 0);
                }
                (self.broken, self.limited) = (Some(rate), verdict == Verdict::Limited);
            }
        }
    }
}
