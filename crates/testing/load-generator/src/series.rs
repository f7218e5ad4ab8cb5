//! A kept run read back, second by second: for comparing and for plots.

use crate::attempts::{OUTCOMES, Outcome};
use crate::keep::STATEMENTS;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::{Field, Row};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Parquet(PathBuf, parquet::errors::ParquetError),
    #[error("{0}: no column {1}, or of another kind: is it a run's?")]
    Column(PathBuf, &'static str),
    #[error("{0}: there is nothing in it")]
    Empty(PathBuf),
}

/// Latencies within one percent of each other are counted together.
const RATIO: f64 = 1.01;

/// How many latencies fell into each bin, sparse and in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bins(BTreeMap<u16, u32>);

impl Bins {
    pub fn one(&mut self, us: u64) {
        let bin = ((us.max(1) as f64).ln() / RATIO.ln()) as u16;
        *self.0.entry(bin).or_default() += 1;
    }

    /// A bin's middle in milliseconds.
    fn middle(bin: u16) -> f64 {
        RATIO.powf(f64::from(bin) + 0.5) / 1e3
    }

    pub fn add_to(&self, sums: &mut Sums) {
        for (bin, count) in &self.0 {
            let bin = usize::from(*bin);
            if sums.bins.len() <= bin {
                sums.bins.resize(bin + 1, 0);
            }
            sums.bins[bin] += u64::from(*count);
            sums.all += u64::from(*count);
        }
    }
}

/// Bins of several windows added up.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    bins: Vec<u64>,
    pub all: u64,
}

impl Sums {
    pub fn clear(&mut self) {
        self.bins.iter_mut().for_each(|bin| *bin = 0);
        self.all = 0;
    }

    /// In milliseconds; none of nothing.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let wanted = ((self.all as f64 * quantile).ceil() as u64).clamp(1, self.all.max(1));
        let mut seen = 0;
        let bin = self.bins.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        bin.map(|bin| Bins::middle(bin as u16))
    }
}

/// What was due within one stretch of time.
#[derive(Clone, Debug, Default)]
pub struct Window {
    pub outcomes: [u64; OUTCOMES.len()],
    pub attempts: u64,
    pub latency: Bins,
    pub longest_us: u64,
}

impl Window {
    pub fn all(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    pub fn ended(&mut self, outcome: Outcome, us: u64, attempts: u64) {
        self.outcomes[outcome as usize] += 1;
        self.attempts += attempts;
        self.latency.one(us);
        self.longest_us = self.longest_us.max(us);
    }
}

/// A run by the time at which its statements were due.
#[derive(Clone, Debug)]
pub struct Series {
    /// What it is called in a plot or a table.
    pub name: String,
    pub window_s: f64,
    pub windows: Vec<Window>,
}

impl Series {
    /// A run's folder, of all workloads or of one.
    ///
    /// # Errors
    /// It holds no run, or none of that workload.
    pub fn read(folder: &Path, workload: Option<&str>, window_s: f64) -> Result<Series, Fault> {
        let mut windows: Vec<Window> = Vec::new();
        each(folder, |seen| {
            if workload.is_some_and(|wanted| wanted != seen.workload) {
                return;
            }
            let place = (seen.at_ms / 1e3 / window_s) as usize;
            if windows.len() <= place {
                windows.resize_with(place + 1, Window::default);
            }
            windows[place].ended(seen.outcome, seen.latency_us, seen.attempts);
        })?;
        if windows.is_empty() {
            return Err(Fault::Empty(folder.join(STATEMENTS)));
        }
        let name = folder
            .file_name()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        Ok(Series {
            name,
            window_s,
            windows,
        })
    }

    pub fn sums(&self) -> Sums {
        let mut sums = Sums::default();
        self.windows
            .iter()
            .for_each(|window| window.latency.add_to(&mut sums));
        sums
    }
}

/// One statement of a kept run.
pub struct Seen<'a> {
    pub at_ms: f64,
    pub workload: &'a str,
    pub latency_us: u64,
    pub attempts: u64,
    pub outcome: Outcome,
}

/// Every statement that a folder holds, in the order in which they ended.
///
/// # Errors
/// It holds no run.
pub fn each(folder: &Path, mut see: impl FnMut(&Seen<'_>)) -> Result<(), Fault> {
    let path = folder.join(STATEMENTS);
    let file = File::open(&path).map_err(|e| Fault::File(path.clone(), e))?;
    let wrong = |e| Fault::Parquet(path.clone(), e);
    let reader = SerializedFileReader::new(file).map_err(wrong)?;
    for row in reader.get_row_iter(None).map_err(wrong)? {
        let row = row.map_err(wrong)?;
        let seen = seen(&row).map_err(|column| Fault::Column(path.clone(), column))?;
        see(&seen);
    }
    Ok(())
}

/// Or the column that is missing.
fn seen(row: &Row) -> Result<Seen<'_>, &'static str> {
    let whole = |name: &'static str| match field(row, name) {
        Some(Field::Long(value)) => u64::try_from(*value).map_err(|_| name),
        _ => Err(name),
    };
    Ok(Seen {
        at_ms: if let Some(Field::Double(at)) = field(row, "at_ms") {
            *at
        } else {
            return Err("at_ms");
        },
        workload: text(row, "workload").ok_or("workload")?,
        latency_us: whole("latency_us")?,
        attempts: whole("attempts")?,
        outcome: text(row, "outcome")
            .and_then(Outcome::read)
            .ok_or("outcome")?,
    })
}

fn field<'a>(row: &'a Row, name: &str) -> Option<&'a Field> {
    row.get_column_iter()
        .find(|(column, _)| *column == name)
        .map(|(_, field)| field)
}

fn text<'a>(row: &'a Row, name: &str) -> Option<&'a str> {
    if let Some(Field::Str(text)) = field(row, name) {
        Some(text)
    } else {
        None
    }
}
