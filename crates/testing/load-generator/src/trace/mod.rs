//! Recorded traffic: what stands in a trace, and what makes a row of it one that can be sent.

mod change;
mod read;
mod write;

pub use change::{Change, Changed};
pub use read::{Reader, open};
pub use write::{COLUMNS, Writer, cells};

use crate::scenario::{LARGEST, plain};
use crate::work::Work;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};

/// One statement of a trace. Rows stand in the order of `at_ms`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Since the trace's start, in milliseconds.
    pub at_ms: f64,
    pub workload: String,
    #[serde(default)]
    pub customer: String,
    #[serde(default)]
    pub group: u16,
    pub key: String,
    #[serde(default)]
    pub writes: bool,
    /// The written value's size.
    #[serde(default)]
    pub bytes: u32,
    /// A write that carries a mark against repeats.
    #[serde(default)]
    pub marked: bool,
    /// How long its client waited.
    pub patience_ms: f64,
    /// An answer within it is in time; 0 for as long as its client waits.
    #[serde(default)]
    pub slo_ms: f64,
    /// Statements of one session belong together; may be empty.
    #[serde(default)]
    pub session: String,
    /// A read that has to show its session's last write.
    #[serde(default)]
    pub own: bool,
    /// A client's own further attempt: a replay makes those by itself.
    #[serde(default)]
    pub retry: bool,
}

/// A row that can't be sent.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("row {row}: {problem}")]
pub struct Broken {
    /// From 1 on, a heading not counted.
    pub row: u64,
    pub problem: String,
}

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Csv(PathBuf, csv::Error),
    #[error("{0}: {1}")]
    Parquet(PathBuf, parquet::errors::ParquetError),
    #[error("{0}: a trace ends with .csv, .jsonl or .parquet")]
    Kind(PathBuf),
    #[error("{file}: {broken} of {rows} rows are broken and nothing was sent; the first: {}",
            first.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Broken {
        file: PathBuf,
        broken: u64,
        rows: u64,
        first: Vec<Broken>,
    },
    #[error("{0}: there is nothing in it to send")]
    Empty(PathBuf),
}

impl Row {
    /// What is wrong with it, beside its place.
    fn problem(&self) -> Option<String> {
        if !self.at_ms.is_finite() || !(0.0..=1e12).contains(&self.at_ms) {
            return Some(format!("at_ms is no time: {}", self.at_ms));
        }
        if self.workload.is_empty() || !plain(&self.workload) || !plain(&self.customer) {
            return Some(format!(
                "no statement carries workload {:?} of {:?}",
                self.workload, self.customer
            ));
        }
        if self.key.is_empty() || !plain(&self.key) {
            return Some(format!("no statement carries key {:?}", self.key));
        }
        if !(self.patience_ms > 0.0 && self.patience_ms <= 86_400_000.0) {
            return Some(format!("patience_ms is no time: {}", self.patience_ms));
        }
        if !(0.0..=86_400_000.0).contains(&self.slo_ms) {
            return Some(format!("slo_ms is no time: {}", self.slo_ms));
        }
        if self.bytes as usize > LARGEST {
            return Some(format!("{} bytes are over 64 KiB", self.bytes));
        }
        if (self.marked && !self.writes) || (self.own && self.writes) {
            return Some("only writes are marked, and only reads have to show a write".to_string());
        }
        None
    }

    /// The statement that it stands for.
    pub fn work(&self, number: u64, workload: u16) -> Work {
        let patience = (self.patience_ms * 1e6) as u64;
        Work {
            number,
            due: (self.at_ms * 1e6).round() as u64,
            workload,
            group: self.group,
            customer: self.customer.clone(),
            key: self.key.clone(),
            writes: self.writes.then_some(self.bytes),
            marked: self.marked,
            patience,
            slo: if self.slo_ms > 0.0 {
                (self.slo_ms * 1e6) as u64
            } else {
                patience
            },
            session: named(&self.session),
            own: self.own,
            check: false,
        }
    }
}

/// A number that stands for a name; 0 for none.
pub fn named(name: &str) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish().max(1)
}

/// What is in a trace, as a first reading tells.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Survey {
    pub rows: u64,
    /// Rows that can't be sent, and the first of them.
    pub broken: u64,
    pub first_broken: Vec<String>,
    /// Clients' own further attempts.
    pub retries: u64,
    pub seconds: f64,
    /// The most that are due within one second.
    pub most_in_a_second: u64,
    pub writes: u64,
    /// Statements that belong to a session.
    pub in_sessions: u64,
    pub workloads: BTreeMap<String, u64>,
    pub groups: BTreeMap<u16, u64>,
}

/// Broken rows that are told in full.
const TOLD: usize = 10;

impl Survey {
    /// Reads all of it.
    ///
    /// # Errors
    /// It can't be read at all.
    pub fn of(file: &Path) -> Result<Survey, Fault> {
        let mut survey = Survey::default();
        let (mut second, mut in_it) = (0, 0);
        for row in open(file)? {
            survey.rows += 1;
            let row = match row {
                Ok(row) => row,
                Err(broken) => {
                    survey.broken += 1;
                    if survey.first_broken.len() < TOLD {
                        survey.first_broken.push(broken.to_string());
                    }
                    continue;
                }
            };
            let now = (row.at_ms / 1e3) as u64;
            in_it = if now == second { in_it + 1 } else { 1 };
            second = now;
            survey.most_in_a_second = survey.most_in_a_second.max(in_it);
            survey.seconds = row.at_ms / 1e3;
            survey.retries += u64::from(row.retry);
            survey.writes += u64::from(row.writes);
            survey.in_sessions += u64::from(!row.session.is_empty());
            *survey.workloads.entry(row.workload).or_default() += 1;
            *survey.groups.entry(row.group).or_default() += 1;
        }
        Ok(survey)
    }
}
