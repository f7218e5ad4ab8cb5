//! Writing a trace, in the form that the file's ending names.

use super::{Fault, Row};
use crate::sheet::{Cell, Kind, Sheet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

/// The columns of a trace, in every form.
pub const COLUMNS: [(&str, Kind); 13] = [
    ("at_ms", Kind::Float),
    ("workload", Kind::Text),
    ("customer", Kind::Text),
    ("group", Kind::Whole),
    ("key", Kind::Text),
    ("writes", Kind::Flag),
    ("bytes", Kind::Whole),
    ("marked", Kind::Flag),
    ("patience_ms", Kind::Float),
    ("slo_ms", Kind::Float),
    ("session", Kind::Text),
    ("own", Kind::Flag),
    ("retry", Kind::Flag),
];

enum Form {
    Csv(Box<csv::Writer<File>>),
    Lines(BufWriter<File>),
    Parquet(Box<Sheet>),
}

pub struct Writer {
    form: Form,
    path: PathBuf,
}

impl Writer {
    /// # Errors
    /// The file can't be made, or its ending names no form.
    pub fn new(path: &Path) -> Result<Writer, Fault> {
        let named = path.to_path_buf();
        let file = || File::create_new(path).map_err(|e| Fault::File(path.to_path_buf(), e));
        let form = match path.extension().and_then(|ending| ending.to_str()) {
            Some("csv") => Form::Csv(Box::new(csv::Writer::from_writer(file()?))),
            Some("jsonl" | "ndjson") => Form::Lines(BufWriter::new(file()?)),
            Some("parquet") => {
                drop(file()?);
                Form::Parquet(Box::new(
                    Sheet::new(path, &COLUMNS).map_err(|e| Fault::Parquet(named.clone(), e))?,
                ))
            }
            _ => return Err(Fault::Kind(named)),
        };
        Ok(Writer { form, path: named })
    }

    /// # Errors
    /// The disk's.
    pub fn row(&mut self, row: &Row) -> Result<(), Fault> {
        match &mut self.form {
            Form::Csv(to) => to
                .serialize(row)
                .map_err(|e| Fault::Csv(self.path.clone(), e)),
            Form::Lines(to) => {
                let line = serde_json::to_string(row).unwrap_or_default();
                writeln!(to, "{line}").map_err(|e| Fault::File(self.path.clone(), e))
            }
            Form::Parquet(to) => to
                .row(&cells(row))
                .map_err(|e| Fault::Parquet(self.path.clone(), e)),
        }
    }

    /// # Errors
    /// The disk's.
    pub fn close(self) -> Result<(), Fault> {
        match self.form {
            Form::Csv(mut to) => to.flush().map_err(|e| Fault::File(self.path, e)),
            Form::Lines(mut to) => to.flush().map_err(|e| Fault::File(self.path, e)),
            Form::Parquet(to) => to.close().map_err(|e| Fault::Parquet(self.path, e)),
        }
    }
}

/// A row's cells in the order of `COLUMNS`.
pub fn cells(row: &Row) -> [Cell<'_>; COLUMNS.len()] {
    [
        Cell::Float(row.at_ms),
        Cell::Text(&row.workload),
        Cell::Text(&row.customer),
        Cell::Whole(row.group.into()),
        Cell::Text(&row.key),
        Cell::Flag(row.writes),
        Cell::Whole(row.bytes.into()),
        Cell::Flag(row.marked),
        Cell::Float(row.patience_ms),
        Cell::Float(row.slo_ms),
        Cell::Text(&row.session),
        Cell::Flag(row.own),
        Cell::Flag(row.retry),
    ]
}
