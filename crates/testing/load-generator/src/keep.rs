//! What a run leaves: a folder with the scenario as played, a summary, a log of histograms and every statement.
//! And who counts while it goes on: one thread takes the records of all that send.

use crate::count::{Run, Summary, Tally, Times, micros, times};
use crate::engine::Record;
use crate::sheet::{Cell, Kind, Sheet};
use crate::trace::{self, COLUMNS, Row};
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::time::{Duration, SystemTime};

pub const SCENARIO: &str = "scenario.json5";
pub const SUMMARY: &str = "summary.json";
pub const HISTOGRAMS: &str = "latency.hlog";
pub const STATEMENTS: &str = "statements.parquet";

/// An interval of the log of histograms, in seconds, and how many later ones may come before it is written.
const INTERVAL: u64 = 1;
const HELD_BACK: u64 = 3;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Parquet(PathBuf, parquet::errors::ParquetError),
    #[error("{0}: holds a run already; nothing of it is overwritten")]
    Taken(PathBuf),
    #[error("{0}: {1}")]
    Summary(PathBuf, serde_json::Error),
}

/// A run's folder.
pub struct Folder(PathBuf);

/// Behind a trace's columns, so that what was sent can be replayed from here.
const FURTHER: [(&str, Kind); 11] = [
    ("number", Kind::Whole),
    ("begun_ns", Kind::Whole),
    ("sent_ns", Kind::Maybe),
    ("asked_ns", Kind::Maybe),
    ("first_ns", Kind::Maybe),
    ("ended_ns", Kind::Whole),
    ("latency_us", Kind::Whole),
    ("outcome", Kind::Text),
    ("attempts", Kind::Whole),
    ("resent", Kind::Flag),
    ("stale", Kind::Flag),
];

impl Folder {
    /// Makes it, with the scenario as played in it.
    ///
    /// # Errors
    /// It can't be made, or holds a run already.
    pub fn new(path: &Path, scenario: &str) -> Result<Folder, Fault> {
        let folder = Folder(path.to_path_buf());
        std::fs::create_dir_all(path).map_err(|e| Fault::File(path.to_path_buf(), e))?;
        if [SCENARIO, SUMMARY, STATEMENTS]
            .iter()
            .any(|name| path.join(name).exists())
        {
            return Err(Fault::Taken(path.to_path_buf()));
        }
        folder.write(SCENARIO, scenario)?;
        Ok(folder)
    }

    fn write(&self, name: &str, text: &str) -> Result<(), Fault> {
        let place = self.0.join(name);
        std::fs::write(&place, text).map_err(|e| Fault::File(place, e))
    }

    /// # Errors
    /// The disk's.
    pub fn summary(&self, summary: &Summary) -> Result<(), Fault> {
        let text = serde_json::to_string_pretty(summary)
            .map_err(|e| Fault::Summary(self.0.join(SUMMARY), e))?;
        self.write(SUMMARY, &(text + "\n"))
    }
}

/// Counts all records until nobody sends any more; with a folder, keeps every one of them.
///
/// # Errors
/// The disk's. What could not be written is no reason to stop counting: the tally stands beside it.
pub fn collect(
    records: &Receiver<Vec<Record>>,
    workloads: &[String],
    folder: Option<&Folder>,
) -> (Tally, Result<(), Fault>) {
    let mut tally = Tally::new(workloads);
    let kept = match folder {
        None => {
            records
                .iter()
                .flatten()
                .for_each(|record| tally.ended(&record));
            Ok(())
        }
        Some(folder) => keep(records, workloads, folder, &mut tally),
    };
    // After a disk's error those that send must still be heard out.
    records
        .iter()
        .flatten()
        .for_each(|record| tally.ended(&record));
    (tally, kept)
}

fn keep(
    records: &Receiver<Vec<Record>>,
    workloads: &[String],
    folder: &Folder,
    tally: &mut Tally,
) -> Result<(), Fault> {
    let place = folder.0.join(STATEMENTS);
    let wrong = |e| Fault::Parquet(place.clone(), e);
    let columns: Vec<_> = COLUMNS.into_iter().chain(FURTHER).collect();
    let mut sheet = Sheet::new(&place, &columns).map_err(wrong)?;
    let log = folder.0.join(HISTOGRAMS);
    let broken = |e: std::io::Error| Fault::File(log.clone(), e);
    let mut file = BufWriter::new(File::create(&log).map_err(broken)?);
    let mut serializer = V2DeflateSerializer::new();
    let mut builder = IntervalLogWriterBuilder::new();
    builder.add_comment(
        "latency from when each statement was due, microseconds, by the second of its end",
    );
    builder
        .with_start_time(SystemTime::now())
        .with_max_value_divisor(1e3);
    let mut writer = builder
        .begin_log_with(&mut file, &mut serializer)
        .map_err(broken)?;
    let mut seconds: BTreeMap<u64, Vec<Option<Times>>> = BTreeMap::new();
    let mut flush = |second: u64, of: Vec<Option<Times>>| {
        for (name, times) in workloads.iter().zip(of) {
            let Some(times) = times else { continue };
            let (start, length) = (
                Duration::from_secs(second * INTERVAL),
                Duration::from_secs(INTERVAL),
            );
            let written = writer.write_histogram(&times, start, length, Tag::new(name));
            written.map_err(|e| Fault::File(log.clone(), std::io::Error::other(e.to_string())))?;
        }
        Ok(())
    };
    for batch in records {
        for record in batch {
            tally.ended(&record);
            let second = record.ended / (INTERVAL * 1_000_000_000);
            let of = seconds
                .entry(second)
                .or_insert_with(|| vec![None; workloads.len()]);
            if let Some(of) = of.get_mut(usize::from(record.work.workload)) {
                let latency = record.ended.saturating_sub(record.work.due);
                // One that grows takes any value.
                let _ = of.get_or_insert_with(times).record(micros(latency));
            }
            put(&mut sheet, workloads, &record).map_err(wrong)?;
        }
        let newest = seconds.last_key_value().map_or(0, |(second, _)| *second);
        while let Some(first) = seconds
            .first_entry()
            .filter(|first| *first.key() + HELD_BACK < newest)
        {
            let (second, of) = first.remove_entry();
            flush(second, of)?;
        }
    }
    std::mem::take(&mut seconds)
        .into_iter()
        .try_for_each(|(second, of)| flush(second, of))?;
    drop(writer);
    file.flush()
        .map_err(|e| Fault::File(folder.0.join(HISTOGRAMS), e))?;
    sheet.close().map_err(wrong)
}

fn put(sheet: &mut Sheet, workloads: &[String], r: &Record) -> parquet::errors::Result<()> {
    let work = &r.work;
    let session = if work.session == 0 {
        String::new()
    } else {
        format!("{:x}", work.session)
    };
    let row = Row {
        at_ms: work.due as f64 / 1e6,
        workload: workloads
            .get(usize::from(work.workload))
            .cloned()
            .unwrap_or_default(),
        customer: work.customer.clone(),
        group: work.group,
        key: work.key.clone(),
        writes: work.writes.is_some(),
        bytes: work.writes.unwrap_or(0),
        marked: work.marked,
        patience_ms: work.patience as f64 / 1e6,
        slo_ms: work.slo as f64 / 1e6,
        session,
        own: work.own,
        retry: false,
    };
    let whole = |moment: Option<u64>| Cell::Maybe(moment.map(|moment| moment as i64));
    let further = [
        Cell::Whole(work.number as i64),
        Cell::Whole(r.begun as i64),
        whole(r.sent),
        whole(r.asked),
        whole(r.first),
        Cell::Whole(r.ended as i64),
        Cell::Whole(micros(r.ended.saturating_sub(work.due)) as i64),
        Cell::Text(r.outcome.name()),
        Cell::Whole(r.attempts.into()),
        Cell::Flag(r.resent),
        Cell::Flag(r.stale),
    ];
    let cells: Vec<Cell<'_>> = trace::cells(&row).into_iter().chain(further).collect();
    sheet.row(&cells)
}

/// A run's summary from its folder.
///
/// # Errors
/// It holds none.
pub fn summary(folder: &Path) -> Result<Summary, Fault> {
    let place = folder.join(SUMMARY);
    let text = std::fs::read_to_string(&place).map_err(|e| Fault::File(place.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| Fault::Summary(place, e))
}

/// What is known of a run that could not be kept.
pub fn problem(run: &mut Run, kept: &Result<(), Fault>) {
    if let Err(fault) = kept {
        run.problems
            .push(format!("not all statements were kept: {fault}"));
    }
}
