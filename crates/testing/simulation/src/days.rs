//! Generates days from seeds. A day is a scenario for the users' bench with several faults on the
//! same machine within the same second.
//!
//! A scenario that mixes faults uniformly at random rarely hits the critical moment of a mechanism
//! in the control machines. The days generated here therefore consist of a few *moments*. Within
//! half a second around a moment several faults occur, mostly on the leader, while two operators
//! change the configuration throughout the day. Further losses are scheduled immediately after the
//! first one: the bench delays an entry until the fault budget allows it, so each of these losses
//! occurs as soon as the machines have caught up after the previous one.
//!
//! Reports identify days by their seeds. The order of draws and the texts of entries determine the
//! day of a seed, so neither may change. Nothing here uses the simulation.

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

/// The duration of the traffic, in seconds. No faults are drawn for the last seconds, so that
/// lasting effects of earlier faults become visible.
pub const TRAFFIC_DURATION_S: f64 = 34.0;

/// The second of the day by which all faults must have begun.
const LAST_START_S: f64 = 29.0;

/// The earliest second of the day for the faults of a moment: all machines are in contact by then.
const FIRST_START_S: f64 = 4.0;

/// The span within which the concurrent faults of one moment begin, in seconds.
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
    /// Returns the maximum number of control machines that may be lost at the same time.
    pub fn fault_budget(self) -> u64 {
        match self {
            Site::Small | Site::Control => 1,
            Site::Grown => 2,
        }
    }
}

/// A scenario for the bench. Its `Display` form is the file that the bench reads.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    site: Site,
    seed: u64,
    closing: Option<ClosingFault>,
    plan: Vec<Entry>,
    faults: Vec<Entry>,
}

impl Day {
    /// Draws the day of this seed. Equal seeds always give equal days.
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

    /// Returns the planned work, in order of time.
    pub fn plan(&self) -> &[Entry] {
        &self.plan
    }

    /// Returns the faults, in order of time.
    pub fn faults(&self) -> &[Entry] {
        &self.faults
    }

    /// Draws pairs of concurrent configuration changes throughout the day. Some days also get
    /// changes of a large configuration, lost acknowledgements, or a turnover of the seed nodes.
    fn draw_config_changes(&mut self, rng: &mut Rng) {
        let gap = pick(rng, &[0.15, 0.3, 0.5, 0.5, 1.0]);
        let start = number(rng, 2.0, 6.0);
        let pairs = ((TRAFFIC_DURATION_S - start) / gap) as u64;
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

    /// Draws the entries of one moment: losses, each of which occurs as soon as the budget allows
    /// it, concurrent faults, and possibly planned work and a loss of all control machines.
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

/// Draws two or three moments, far enough apart for a loss of one to be over before the next.
fn draw_moments(rng: &mut Rng) -> Vec<f64> {
    let mut moments = Vec::new();
    let mut at = number(rng, FIRST_START_S + 1.0, 13.0);
    while at < LAST_START_S - 2.0 && moments.len() < 3 {
        moments.push(at);
        at += number(rng, 5.0, 12.0);
    }
    moments
}

/// Draws the fault at the end of the day; one day in six has none.
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
