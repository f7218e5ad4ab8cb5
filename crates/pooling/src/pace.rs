//! How fast a server answers, and when an answer is overdue.

/// An answer is never overdue before this many seconds.
pub const MIN_PATIENCE_S: f64 = 0.025;
/// No wait that a client is told of is shorter, in seconds.
pub const MIN_BACK_S: f64 = 0.05;

/// The mean time from a statement to its answer and how far it strays from it, both weighted towards the newest; in
/// seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    mean: Option<f64>,
    deviation: f64,
    /// The way there and back.
    way: Option<f64>,
}

impl Pace {
    /// An answer took so many seconds.
    pub fn answered(&mut self, took: f64) {
        match &mut self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += ((took - *mean).abs() - self.deviation) / 4.0;
                *mean += (took - *mean) / 8.0;
            }
        }
    }

    /// What takes no slot there was answered after so many seconds: no more than the way there and back.
    pub fn travelled(&mut self, took: f64) {
        let way = self.way.map_or(took, |way| took.min(way + (took - way) / 16.0));
        self.way = Some(way);
    }

    /// How many times as long a statement takes for us as for the server; 1 while that isn't known, 8 at most.
    pub fn stretch(&self) -> f64 {
        match (self.mean, self.way) {
            (Some(mean), Some(way)) => (mean / (mean - way).max(mean / 8.0)).max(1.0),
            _ => 1.0,
        }
    }

    /// The mean, in seconds; 0 before the first answer.
    pub fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// So many seconds after a statement with this aim was sent, its answer is overdue: lost, it may be, if the server
    /// has answered what was sent later.
    pub fn patience(&self, target: f64) -> f64 {
        let usual = (4.0 * self.mean()).max(self.mean() + 4.0 * self.deviation);
        usual.max(target / 4.0).max(MIN_PATIENCE_S)
    }

    /// In how many seconds a place comes free for one who has this many before it, where so many are let in at once.
    pub fn wait(&self, ahead: usize, limit: usize) -> f64 {
        (ahead + 1) as f64 * self.mean() / limit.max(1) as f64
    }
}

/// After so many seconds without a refusal the trouble counts as over.
pub const CALM_S: f64 = 1.0;

/// For how long statements of a service have been refused: what has lasted so long is likely to last as long again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Refusals {
    since: f64,
    last: Option<f64>,
}

impl Refusals {
    /// One is refused that would have to wait so many seconds: in how many it is to come back.
    pub fn refused(&mut self, now: f64, wait: f64) -> f64 {
        if self.last.is_none_or(|last| now - last > CALM_S) {
            self.since = now;
        }
        self.last = Some(now);
        wait.max(now - self.since)
    }
}
