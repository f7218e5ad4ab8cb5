//! Reading a trace, a row at a time: CSV, JSON lines and Parquet by the file's ending.

use super::{Broken, Fault, Row};
use crate::soonest::Soonest;
use parquet::errors::ParquetError;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::{Field, Row as Cells, reader::RowIter};
use parquet::schema::types::Type;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Lines};
use std::path::Path;

enum Form {
    Csv(csv::DeserializeRecordsIntoIter<File, Row>),
    Lines(Lines<BufReader<File>>),
    Parquet(Box<RowIter<'static>>),
}

/// The rows of a trace, in their order, each a good one or a broken one with its number.
pub struct Reader {
    form: Form,
    row: u64,
    before: f64,
    /// Nothing more can be read behind a file's own damage.
    over: bool,
    /// A kept run's statements stand in the order in which they ended: how far back in time one may go.
    disorder: f64,
    held: Soonest<Row>,
    newest: f64,
}

/// Opens a trace, or a kept run's statements.
///
/// # Errors
/// The file can't be read, or is none of the three kinds.
pub fn open(path: &Path) -> Result<Reader, Fault> {
    let file = || File::open(path).map_err(|e| Fault::File(path.to_path_buf(), e));
    let mut disorder = 0.0;
    let form = match path.extension().and_then(|ending| ending.to_str()) {
        Some("csv") => {
            let mut reader = csv::ReaderBuilder::new()
                .trim(csv::Trim::All)
                .from_reader(file()?);
            // A heading that can't be read is no row's fault.
            reader
                .headers()
                .map_err(|e| Fault::Csv(path.to_path_buf(), e))?;
            Form::Csv(reader.into_deserialize())
        }
        Some("jsonl" | "ndjson") => Form::Lines(BufReader::new(file()?).lines()),
        Some("parquet") => {
            let wrong = |e| Fault::Parquet(path.to_path_buf(), e);
            let reader = SerializedFileReader::new(file()?).map_err(wrong)?;
            disorder = disorder_of(&reader).map_err(wrong)?;
            Form::Parquet(Box::new(RowIter::from_file_into(Box::new(reader))))
        }
        _ => return Err(Fault::Kind(path.to_path_buf())),
    };
    Ok(Reader {
        form,
        row: 0,
        before: 0.0,
        over: false,
        disorder,
        held: Soonest::default(),
        newest: 0.0,
    })
}

/// How far a kept run's rows go back in time at most: those of a run have a column that no trace has.
fn disorder_of(reader: &SerializedFileReader<File>) -> Result<f64, ParquetError> {
    let schema = reader.metadata().file_metadata().schema();
    let has = |name: &str| {
        schema
            .get_fields()
            .iter()
            .find(|field| field.name() == name)
            .cloned()
    };
    let (Some(at), Some(_)) = (has("at_ms"), has("ended_ns")) else {
        return Ok(0.0);
    };
    let only = Type::group_type_builder("statements")
        .with_fields(vec![at])
        .build()?;
    let (mut newest, mut disorder) = (0f64, 0f64);
    for row in reader.get_row_iter(Some(only))? {
        if let Some((_, Field::Double(at))) = row?.get_column_iter().next() {
            newest = newest.max(*at);
            disorder = disorder.max(newest - at);
        }
    }
    Ok(disorder)
}

impl Reader {
    /// The next row as it stands; true where nothing can follow.
    fn raw(&mut self) -> Option<Result<Row, (String, bool)>> {
        match &mut self.form {
            Form::Csv(rows) => rows.next().map(|row| {
                // All but the disk's own errors leave the next line readable.
                row.map_err(|e| (csv_problem(&e), matches!(e.kind(), csv::ErrorKind::Io(_))))
            }),
            Form::Lines(lines) => loop {
                return match lines.next()? {
                    Ok(line) if line.trim().is_empty() => continue,
                    Ok(line) => {
                        Some(serde_json::from_str(&line).map_err(|e| (e.to_string(), false)))
                    }
                    // A line that is not UTF-8 is over at its end all the same.
                    Err(e) => Some(Err((
                        e.to_string(),
                        e.kind() != std::io::ErrorKind::InvalidData,
                    ))),
                };
            },
            Form::Parquet(rows) => rows.next().map(|cells| {
                let cells = cells.map_err(|e| (e.to_string(), true))?;
                serde_json::from_value(Value::Object(object(&cells)))
                    .map_err(|e| (e.to_string(), false))
            }),
        }
    }
}

impl Iterator for Reader {
    type Item = Result<Row, Broken>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if self
                .held
                .at()
                .is_some_and(|first| self.over || first + self.disorder <= self.newest)
            {
                return self.held.pop().map(Ok);
            }
            if self.over {
                return None;
            }
            let Some(raw) = self.raw() else {
                self.over = true;
                continue;
            };
            match self.checked(raw) {
                Ok(row) if self.disorder > 0.0 => {
                    self.newest = self.newest.max(row.at_ms);
                    self.held.push(row.at_ms, self.row, row);
                }
                row => return Some(row),
            }
        }
    }
}

impl Reader {
    /// A row as it was read, if nothing is wrong with it.
    fn checked(&mut self, raw: Result<Row, (String, bool)>) -> Result<Row, Broken> {
        self.row += 1;
        let broken = |problem| Broken {
            row: self.row,
            problem,
        };
        match raw {
            Err((problem, over)) => {
                self.over = over;
                Err(broken(problem))
            }
            Ok(row) => match row.problem() {
                Some(problem) => Err(broken(problem)),
                None if row.at_ms + self.disorder < self.before => Err(broken(format!(
                    "goes back in time, from {} ms to {} ms",
                    self.before, row.at_ms
                ))),
                None => {
                    self.before = row.at_ms;
                    Ok(row)
                }
            },
        }
    }
}

fn csv_problem(e: &csv::Error) -> String {
    match (e.kind(), e.position()) {
        (csv::ErrorKind::Deserialize { err, .. }, Some(at)) => format!("line {}: {err}", at.line()),
        _ => e.to_string(),
    }
}

/// Columns of any fitting type: other programs write times and numbers in several.
fn object(cells: &Cells) -> Map<String, Value> {
    let value = |field: &Field| match field {
        Field::Bool(flag) => Value::from(*flag),
        Field::Byte(n) => Value::from(*n),
        Field::Short(n) => Value::from(*n),
        Field::Int(n) => Value::from(*n),
        Field::Long(n) => Value::from(*n),
        Field::UByte(n) => Value::from(*n),
        Field::UShort(n) => Value::from(*n),
        Field::UInt(n) => Value::from(*n),
        Field::ULong(n) => Value::from(*n),
        Field::Float(n) => Value::from(f64::from(*n)),
        Field::Double(n) => Value::from(*n),
        Field::Str(text) => Value::from(text.as_str()),
        Field::Bytes(bytes) => bytes.as_utf8().map_or(Value::Null, Value::from),
        _ => Value::Null,
    };
    let named = cells
        .get_column_iter()
        .map(|(name, field)| (name.clone(), value(field)));
    // What is not there has its default, or is missing by name.
    named.filter(|(_, value)| !value.is_null()).collect()
}
