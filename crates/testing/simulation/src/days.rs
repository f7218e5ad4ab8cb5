//! Days for the users' bench, drawn from a seed: several faults on the same machine within the same
//! second.
//!
//! A day that mixes faults at random seldom meets the moment that a mechanism of the control side
//! depends on. The days drawn here consist of a few *moments* instead. Within half a second of a
//! moment several faults strike, mostly the leader, while configuration changes of two operators
//! are under way all day long. Further losses stand right behind the first one: the bench makes an
//! entry wait until the fault budget allows it, so that each of them strikes as soon as the time to
//! catch up after the one before is over.
//!
//! The order of draws and the texts of entries decide what a seed means: reports name days by their
//! seeds, so neither changes. Nothing here uses the simulation.

mod concurrent_faults;
mod entry;
mod losses;
mod planned_work;
mod random;

pub use entry::Entry;

use clap::ValueEnum;
use entry::ClosingFault;
use fastrand::Rng;
use random::{happens, number, pick};
use std::fmt;

/// Traffic lasts for so many seconds; nothing is drawn for the last ones, so that what is left
/// behind shows.
pub const LENGTH_S: f64 = 34.0;

/// The last second in which a fault of the day may begin.
const LAST_START_S: f64 = 29.0;

/// No fault begins earlier: all machines are in contact by then.
const FIRST_START_S: f64 = 4.0;

/// All faults of one moment begin within so many seconds.
const MOMENT_SPAN_S: f64 = 0.5;

/// The deployments for which days are drawn; they differ in the kinds of faults and in the fault
/// budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Site {
    /// Three control machines, one of which may be lost.
    Small,
    /// The same, with the faults of control machines in their full range.
    Control,
    /// Five or six control machines, two of which may be lost, and more routers and services.
    Grown,
}

impl Site {
    /// How many control machines may be lost at once.
    pub fn fault_budget(self) -> u64 {
        match self {
            Site::Small | Site::Control => 1,
            Site::Grown => 2,
        }
    }
}

/// A day. Its `Display` form is the file that the bench reads.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    site: Site,
    seed: u64,
    closing: Option<ClosingFault>,
    plan: Vec<Entry>,
    faults: Vec<Entry>,
}

impl Day {
    /// The day of this seed; the same seed always draws the same day.
    pub fn draw(site: Site, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut day = Day {
            site,
            seed,
            closing: draw_closing_fault(&mut rng),
            plan: Vec::new(),
            faults: Vec::new(),
        };
        day.draw_config_changes(&mut rng);
        for at in draw_moments(&mut rng) {
            day.draw_moment(&mut rng, at);
        }
        day.plan.sort_by(|a, b| a.at().total_cmp(&b.at()));
        day.faults.sort_by(|a, b| a.at().total_cmp(&b.at()));
        day
    }

    /// Planned work, in order of time.
    pub fn plan(&self) -> &[Entry] {
        &self.plan
    }

    /// Faults, in order of time.
    pub fn faults(&self) -> &[Entry] {
        &self.faults
    }

    /// Pairs of configuration changes all day long; often many, at times with many routes, or with
    /// acknowledgements that are lost.
    fn draw_config_changes(&mut self, rng: &mut Rng) {
        let gap = pick(rng, &[0.15, 0.3, 0.5, 0.5, 1.0]);
        let start = number(rng, 2.0, 6.0);
        let pairs = ((LENGTH_S - start) / gap) as u64;
        self.plan.push(
            Entry::new(start, "config_race")
                .count(pairs)
                .number("gap_s", gap),
        );
        if self.site == Site::Control && happens(rng, 0.1) {
            self.plan
                .push(Entry::new(1.0, "big_config").count(rng.u64(100..=300)));
        }
        if happens(rng, 0.4) {
            let lost = Entry::new(start, "ack_lost").number("x", number(rng, 0.5, 0.95));
            self.faults.push(lost.lasting(LAST_START_S - start));
        }
        if happens(rng, 0.15) {
            self.plan
                .push(Entry::new(number(rng, 1.0, 3.0), "seed_turnover"));
        }
    }

    /// Several faults within half a second, and the losses that come as soon as the budget allows
    /// them.
    fn draw_moment(&mut self, rng: &mut Rng, moment: f64) {
        let losses = rng.u64(1..=3);
        for index in 0..losses {
            let at = moment + 0.1 * index as f64 + number(rng, 0.0, 0.1);
            let loss = losses::draw(rng, at, self.site);
            self.faults.push(loss);
        }
        for _ in 0..rng.u64(1..=3) {
            let at = moment + number(rng, -0.2, MOMENT_SPAN_S - 0.2);
            let fault = concurrent_faults::draw(rng, at, self.site);
            self.faults.push(fault);
        }
        if happens(rng, 0.5) {
            let at = moment + number(rng, -0.4, 0.1);
            self.plan.push(planned_work::draw(rng, at));
        }
        if happens(rng, 0.3) {
            let at = moment + number(rng, 0.2, 1.2);
            self.faults.push(losses::draw_of_all(rng, at));
        }
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let site = format!("{:?}", self.site).to_lowercase();
        writeln!(
            f,
            "# Drawn with `badgerstream-simulate day --site {site} --seed {}`.",
            self.seed
        )?;
        writeln!(f, "name = \"drawn-{site}-{}\"", self.seed)?;
        writeln!(f, "slot = \"trouble\"")?;
        writeln!(f, "seed = {}", self.seed)?;
        if let Some(closing) = &self.closing {
            writeln!(f, "closing = {closing}")?;
        }
        write_entries(f, "plan", &self.plan)?;
        write_entries(f, "faults", &self.faults)
    }
}

fn write_entries(f: &mut fmt::Formatter<'_>, name: &str, entries: &[Entry]) -> fmt::Result {
    writeln!(f, "{name} = [")?;
    for entry in entries {
        writeln!(f, "  {entry},")?;
    }
    writeln!(f, "]")
}

/// Two or three moments, far enough from each other for a loss to be over.
fn draw_moments(rng: &mut Rng) -> Vec<f64> {
    let mut moments = Vec::new();
    let mut at = number(rng, FIRST_START_S + 1.0, 13.0);
    while at < LAST_START_S - 2.0 && moments.len() < 3 {
        moments.push(at);
        at += number(rng, 5.0, 12.0);
    }
    moments
}

/// What strikes at the end; nothing on one day of six.
fn draw_closing_fault(rng: &mut Rng) -> Option<ClosingFault> {
    let kind = pick(
        rng,
        &[
            "power_off_all",
            "power_off_all",
            "kill_all",
            "wipe_after_ack",
            "wipe_after_ack",
            "",
        ],
    );
    let how = match kind {
        "" => return None,
        "wipe_after_ack" => pick(rng, &["", "aimed", "timed", "taken", "oldest"]),
        _ => pick(rng, &["", "", "timed", "taken"]),
    };
    Some(ClosingFault {
        kind,
        down_s: number(rng, 0.4, 1.5),
        how,
    })
}
