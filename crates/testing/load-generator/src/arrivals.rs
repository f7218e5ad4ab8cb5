//! When statements are due: drawn ahead from a seed, independent of answers. Any shape of traffic is a list of
//! pieces over which the rate goes straight from one value to another; arrivals are evenly spaced in the mass
//! under it, or at random (a Poisson process whose rate follows it). Correlated customers are a cluster process
//! (Neyman and Scott): each moment brings a bunch, spread evenly at random over a short while.

use crate::scenario::{Phase, Shape, Together};
use crate::soonest::Soonest;
use std::iter::Peekable;

/// The rate goes from `from` to `to` a second over `length` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Piece {
    pub from: f64,
    pub to: f64,
    pub length: f64,
    /// The part of it that a release brings, and to which group.
    pub release: Option<(u16, f64)>,
}

/// A day's curve, or a release's fall, is drawn in so many pieces.
const CURVE_PIECES: usize = 96;

impl Piece {
    /// Arrivals expected over it.
    pub fn mass(&self) -> f64 {
        (self.from + self.to) / 2.0 * self.length
    }

    /// The time into it by which `mass` arrivals are expected, which is no more than its own.
    fn time(&self, mass: f64) -> f64 {
        let slope = (self.to - self.from) / self.length;
        // mass = from * t + slope * t * t / 2, solved so that no large numbers cancel.
        let root = (self.from * self.from + 2.0 * slope * mass).max(0.0).sqrt();
        let sum = self.from + root;
        if sum > 0.0 {
            (2.0 * mass / sum).min(self.length)
        } else {
            self.length
        }
    }
}

/// The pieces of one phase.
pub fn pieces(phase: &Phase) -> Vec<Piece> {
    let length = phase.for_ms / 1e3;
    let straight = |from: f64, to: f64, length: f64| Piece {
        from,
        to,
        length,
        release: None,
    };
    let flat = |rate: f64, length: f64| straight(rate, rate, length);
    match &phase.shape {
        Shape::Constant { per_s } => vec![flat(*per_s, length)],
        Shape::Ramp {
            from_per_s,
            to_per_s,
        } => vec![straight(*from_per_s, *to_per_s, length)],
        Shape::Steps { per_s } => per_s
            .iter()
            .map(|rate| flat(*rate, length / per_s.len() as f64))
            .collect(),
        Shape::Bursts {
            per_s,
            on_ms,
            base_per_s,
            off_ms,
        } => {
            let (mut left, mut pieces, mut on) = (length, Vec::new(), true);
            while left > 1e-9 {
                let (rate, ms) = if on {
                    (*per_s, *on_ms)
                } else {
                    (*base_per_s, *off_ms)
                };
                pieces.push(flat(rate, (ms / 1e3).min(left)));
                (left, on) = (left - ms / 1e3, !on);
            }
            pieces
        }
        Shape::Day {
            low_per_s,
            high_per_s,
        } => {
            let rate = |i: usize| {
                let turn = i as f64 / CURVE_PIECES as f64 * std::f64::consts::TAU;
                low_per_s + (high_per_s - low_per_s) * (1.0 - turn.cos()) / 2.0
            };
            let piece = |i| straight(rate(i), rate(i + 1), length / CURVE_PIECES as f64);
            (0..CURVE_PIECES).map(piece).collect()
        }
        Shape::Release {
            base_per_s,
            peak_per_s,
            at_ms,
            half_ms,
            group,
        } => {
            let before = at_ms / 1e3;
            let step = (length - before) / CURVE_PIECES as f64;
            let extra =
                |i: usize| (peak_per_s - base_per_s) * (-(i as f64) * step * 1e3 / half_ms).exp2();
            let fall = (0..CURVE_PIECES).map(|i| {
                let mut piece = straight(base_per_s + extra(i), base_per_s + extra(i + 1), step);
                let part =
                    (extra(i) + extra(i + 1)) / (piece.from + piece.to).max(f64::MIN_POSITIVE);
                piece.release = Some((*group, part));
                piece
            });
            let calm = (before > 0.0).then(|| flat(*base_per_s, before));
            calm.into_iter().chain(fall).collect()
        }
    }
}

/// One statement's moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds since the start.
    pub at: f64,
    /// The bunch that it belongs to, where its phase has bunches: one customer, one group.
    pub bunch: Option<u64>,
    /// The part of the rate that a release brings at that moment, and to which group.
    pub release: Option<(u16, f64)>,
}

/// The moments of a Poisson process, or evenly spaced ones, over all pieces.
struct Moments {
    pieces: Vec<(Piece, bool, Option<Together>)>,
    at: usize,
    /// When the present piece began, and the mass of it that is over.
    begun: f64,
    over: f64,
    chance: fastrand::Rng,
}

impl Iterator for Moments {
    type Item = (f64, Option<(u16, f64)>, Option<Together>);

    fn next(&mut self) -> Option<Self::Item> {
        let random = self.pieces.get(self.at)?.1;
        // 1 less a number below 1 is never 0.
        let mut step = if random {
            -(1.0 - self.chance.f64()).ln()
        } else {
            1.0
        };
        loop {
            let (piece, _, together) = *self.pieces.get(self.at)?;
            let of = together.map_or(1.0, |together| f64::from(together.statements));
            let left = piece.mass() / of - self.over;
            if step <= left {
                self.over += step;
                return Some((
                    self.begun + piece.time(self.over * of),
                    piece.release,
                    together,
                ));
            }
            step -= left;
            (self.at, self.begun, self.over) = (self.at + 1, self.begun + piece.length, 0.0);
        }
    }
}

/// All arrivals of a scenario, in their order.
pub struct Arrivals {
    moments: Peekable<Moments>,
    /// Members of bunches that have begun: as many as fall into `within_ms`.
    pending: Soonest<Arrival>,
    bunches: u64,
    chance: fastrand::Rng,
}

impl Arrivals {
    pub fn new(phases: &[Phase], seed: u64) -> Arrivals {
        let of = |p: &Phase| {
            let (random, together) = (p.random, p.together);
            pieces(p)
                .into_iter()
                .map(move |piece| (piece, random, together))
                .collect::<Vec<_>>()
        };
        let pieces = phases.iter().flat_map(of).collect();
        let chance = fastrand::Rng::with_seed(seed);
        let moments = Moments {
            pieces,
            at: 0,
            begun: 0.0,
            over: 0.0,
            chance,
        };
        // Bunches draw from a sequence of their own: moments stay the same with and without them.
        let chance = fastrand::Rng::with_seed(seed ^ 0xb00c);
        Arrivals {
            moments: moments.peekable(),
            pending: Soonest::default(),
            bunches: 0,
            chance,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let first = self.pending.at();
            let coming = self.moments.peek().map(|moment| moment.0);
            if first.is_some_and(|first| coming.is_none_or(|coming| first <= coming)) {
                return self.pending.pop();
            }
            let (at, release, together) = self.moments.next()?;
            let Some(together) = together else {
                return Some(Arrival {
                    at,
                    bunch: None,
                    release,
                });
            };
            self.bunches += 1;
            for _ in 0..together.statements {
                let at = at + self.chance.f64() * together.within_ms / 1e3;
                let arrival = Arrival {
                    at,
                    bunch: Some(self.bunches),
                    release,
                };
                self.pending.push(at, self.bunches, arrival);
            }
        }
    }
}
