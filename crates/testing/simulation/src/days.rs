//! Days for the bench, drawn from a seed: several troubles on the same machine within the same second.
//!
//! A day that mixes troubles at random seldom meets the moment that a mechanism of the control side depends on. The days
//! drawn here consist of a few *moments* instead. Within half a second of a moment the leader (mostly) is struck by several
//! troubles, while orders from two operators are under way all day long. Further losses stand right behind the first one:
//! the bench makes an entry wait until the fault budget allows it, so that each of them strikes as soon as the time to
//! catch up after the one before is over.

use clap::ValueEnum;
use fastrand::Rng;
use std::fmt;

mod faults;

/// Traffic lasts for so many seconds; nothing is drawn for the last ones, so that what is left behind shows.
pub const LENGTH_S: f64 = 34.0;

/// The last second in which a trouble of the day may begin.
const LAST_START_S: f64 = 29.0;

/// No trouble begins earlier: all machines are in touch by then.
const FIRST_START_S: f64 = 4.0;

/// All troubles of one moment begin within so many seconds.
const MOMENT_SPAN_S: f64 = 0.5;

/// The deployments for which days are drawn; they differ in the kinds of trouble and in the fault budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Site {
    /// Three control machines, one of which may be lost.
    Small,
    /// The same, with the troubles of control machines in their full range.
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

/// The value of a field of an entry.
#[derive(Debug, Clone, PartialEq)]
enum Value {
    Text(String),
    Count(u64),
    Number(f64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Text(text) => write!(f, "\"{text}\""),
            Value::Count(count) => write!(f, "{count}"),
            Value::Number(number) => write!(f, "{number:.2}"),
        }
    }
}

/// One trouble, or one planned work, and when it begins.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    at: f64,
    kind: &'static str,
    fields: Vec<(&'static str, Value)>,
}

impl Entry {
    fn new(at: f64, kind: &'static str) -> Self {
        Entry {
            at,
            kind,
            fields: Vec::new(),
        }
    }

    /// Strikes `count` control machines.
    fn on_core(self, count: u64) -> Self {
        self.text("on", "core").count(count)
    }

    fn count(mut self, count: u64) -> Self {
        self.fields.push(("count", Value::Count(count)));
        self
    }

    fn number(mut self, field: &'static str, number: f64) -> Self {
        self.fields.push((field, Value::Number(number)));
        self
    }

    fn lasting(self, seconds: f64) -> Self {
        self.number("for_s", seconds)
    }

    /// Leaves the field out where the text is empty.
    fn text(mut self, field: &'static str, text: impl Into<String>) -> Self {
        let text = text.into();
        if !text.is_empty() {
            self.fields.push((field, Value::Text(text)));
        }
        self
    }

    fn how(self, how: impl Into<String>) -> Self {
        self.text("how", how)
    }

    /// The second in which it begins, from the start of traffic.
    pub fn at(&self) -> f64 {
        self.at
    }

    /// The kind, as the bench names it.
    pub fn kind(&self) -> &'static str {
        self.kind
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{{ at = {:.2}, kind = \"{}\"", self.at, self.kind)?;
        for (field, value) in &self.fields {
            write!(f, ", {field} = {value}")?;
        }
        f.write_str(" }")
    }
}

/// What strikes at the end of a day, right after one more change was acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct Closing {
    kind: &'static str,
    down_s: f64,
    how: &'static str,
}

impl fmt::Display for Closing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{{ kind = \"{}\", down_s = {:.2}",
            self.kind, self.down_s
        )?;
        if !self.how.is_empty() {
            write!(f, ", how = \"{}\"", self.how)?;
        }
        f.write_str(" }")
    }
}

/// A day; its text form is what the bench reads.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    site: Site,
    seed: u64,
    closing: Option<Closing>,
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
            closing: closing(&mut rng),
            plan: Vec::new(),
            faults: Vec::new(),
        };
        day.draw_orders(&mut rng);
        for at in moments(&mut rng) {
            day.draw_moment(&mut rng, at);
        }
        day.plan.sort_by(|a, b| a.at.total_cmp(&b.at));
        day.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        day
    }

    /// Planned work, in order of time.
    pub fn plan(&self) -> &[Entry] {
        &self.plan
    }

    /// Troubles, in order of time.
    pub fn faults(&self) -> &[Entry] {
        &self.faults
    }

    /// Pairs of changes all day long; often many, at times on many routes, or with acknowledgements that are lost.
    fn draw_orders(&mut self, rng: &mut Rng) {
        let gap = pick(rng, &[0.15, 0.3, 0.5, 0.5, 1.0]);
        let start = number(rng, 2.0, 6.0);
        let pairs = ((LENGTH_S - start) / gap) as u64;
        self.plan.push(
            Entry::new(start, "config_race")
                .count(pairs)
                .number("gap_s", gap),
        );
        if self.site == Site::Control && chance(rng, 0.1) {
            self.plan
                .push(Entry::new(1.0, "big_config").count(rng.u64(100..=300)));
        }
        if chance(rng, 0.4) {
            let lost = Entry::new(start, "ack_lost").number("x", number(rng, 0.5, 0.95));
            self.faults.push(lost.lasting(LAST_START_S - start));
        }
        if chance(rng, 0.15) {
            self.plan
                .push(Entry::new(number(rng, 1.0, 3.0), "seed_turnover"));
        }
    }

    /// Several troubles within half a second, and the losses that come as soon as the budget allows them.
    fn draw_moment(&mut self, rng: &mut Rng, moment: f64) {
        let losses = rng.u64(1..=3);
        for n in 0..losses {
            let at = moment + 0.1 * n as f64 + number(rng, 0.0, 0.1);
            let loss = faults::loss(rng, at, self.site);
            self.faults.push(loss);
        }
        for _ in 0..rng.u64(1..=3) {
            let at = moment + number(rng, -0.2, MOMENT_SPAN_S - 0.2);
            let companion = faults::companion(rng, at, self.site);
            self.faults.push(companion);
        }
        if chance(rng, 0.5) {
            let at = moment + number(rng, -0.4, 0.1);
            self.plan.push(faults::planned(rng, at));
        }
        if chance(rng, 0.3) {
            let at = moment + number(rng, 0.2, 1.2);
            self.faults.push(faults::all_killed(rng, at));
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
fn moments(rng: &mut Rng) -> Vec<f64> {
    let mut moments = Vec::new();
    let mut at = number(rng, FIRST_START_S + 1.0, 13.0);
    while at < LAST_START_S - 2.0 && moments.len() < 3 {
        moments.push(at);
        at += number(rng, 5.0, 12.0);
    }
    moments
}

fn closing(rng: &mut Rng) -> Option<Closing> {
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
    Some(Closing {
        kind,
        down_s: number(rng, 0.4, 1.5),
        how,
    })
}

/// A number between the two, with two digits behind the point as in the text of a day.
fn number(rng: &mut Rng, low: f64, high: f64) -> f64 {
    ((low + rng.f64() * (high - low)) * 100.0).round() / 100.0
}

fn chance(rng: &mut Rng, probability: f64) -> bool {
    rng.f64() < probability
}

/// One of them, each as likely as the others; what stands there twice is twice as likely.
fn pick<T: Copy>(rng: &mut Rng, among: &[T]) -> T {
    among[rng.usize(..among.len())]
}
