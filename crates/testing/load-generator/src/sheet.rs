//! A table in a Parquet file, written a group of rows at a time. It stands under another name until it is whole.

use parquet::basic::{Compression, LogicalType, Repetition, Type as Physical};
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::{ParquetError, Result};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Rows that are kept in memory until they are written.
const GROUP: usize = 1 << 17;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Float,
    Whole,
    /// A whole number, or none.
    Maybe,
    Flag,
    Text,
}

/// One cell of a row, of its column's kind.
pub enum Cell<'a> {
    Float(f64),
    Whole(i64),
    Maybe(Option<i64>),
    Flag(bool),
    Text(&'a str),
}

enum Column {
    Float(Vec<f64>),
    Whole(Vec<i64>),
    Maybe(Vec<i64>, Vec<i16>),
    Flag(Vec<bool>),
    Text(Vec<ByteArray>),
}

pub struct Sheet {
    writer: SerializedFileWriter<File>,
    columns: Vec<Column>,
    rows: usize,
    /// Under which name it stands until it is whole, and after.
    names: (PathBuf, PathBuf),
}

impl Sheet {
    /// # Errors
    /// The file can't be made.
    pub fn new(file: &Path, columns: &[(&str, Kind)]) -> Result<Sheet> {
        let fields = columns
            .iter()
            .map(|(name, kind)| field(name, *kind))
            .collect::<Result<Vec<_>>>()?;
        let schema = Type::group_type_builder("statements")
            .with_fields(fields)
            .build()?;
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .build();
        let part = file.with_extension("parquet.part");
        let writer = SerializedFileWriter::new(
            File::create(&part)?,
            Arc::new(schema),
            Arc::new(properties),
        )?;
        let empty = |(_, kind): &(&str, Kind)| match kind {
            Kind::Float => Column::Float(Vec::new()),
            Kind::Whole => Column::Whole(Vec::new()),
            Kind::Maybe => Column::Maybe(Vec::new(), Vec::new()),
            Kind::Flag => Column::Flag(Vec::new()),
            Kind::Text => Column::Text(Vec::new()),
        };
        let columns = columns.iter().map(empty).collect();
        Ok(Sheet {
            writer,
            columns,
            rows: 0,
            names: (part, file.to_path_buf()),
        })
    }

    /// # Errors
    /// The disk's, or a cell that is not of its column's kind.
    pub fn row(&mut self, cells: &[Cell<'_>]) -> Result<()> {
        let fits = self.columns.len() == cells.len();
        let each = self.columns.iter_mut().zip(cells);
        let fits = fits && each.fold(true, |fits, (column, cell)| column.push(cell) && fits);
        if !fits {
            return Err(ParquetError::General(
                "a row does not fit its table".to_string(),
            ));
        }
        self.rows += 1;
        if self.rows >= GROUP {
            self.flush()
        } else {
            Ok(())
        }
    }

    fn flush(&mut self) -> Result<()> {
        let mut group = self.writer.next_row_group()?;
        for column in &mut self.columns {
            let Some(mut to) = group.next_column()? else {
                break;
            };
            match column {
                Column::Float(values) => {
                    to.typed::<DoubleType>().write_batch(values, None, None)?
                }
                Column::Whole(values) => to.typed::<Int64Type>().write_batch(values, None, None)?,
                Column::Maybe(values, there) => {
                    to.typed::<Int64Type>()
                        .write_batch(values, Some(there), None)?
                }
                Column::Flag(values) => to.typed::<BoolType>().write_batch(values, None, None)?,
                Column::Text(values) => to
                    .typed::<ByteArrayType>()
                    .write_batch(values, None, None)?,
            };
            to.close()?;
            column.clear();
        }
        group.close()?;
        self.rows = 0;
        Ok(())
    }

    /// # Errors
    /// The disk's; what was written stays under its first name.
    pub fn close(mut self) -> Result<()> {
        if self.rows > 0 {
            self.flush()?;
        }
        self.writer.close()?;
        std::fs::rename(&self.names.0, &self.names.1)?;
        Ok(())
    }
}

fn field(name: &str, kind: Kind) -> Result<Arc<Type>> {
    let physical = match kind {
        Kind::Float => Physical::DOUBLE,
        Kind::Whole | Kind::Maybe => Physical::INT64,
        Kind::Flag => Physical::BOOLEAN,
        Kind::Text => Physical::BYTE_ARRAY,
    };
    let needed = if kind == Kind::Maybe {
        Repetition::OPTIONAL
    } else {
        Repetition::REQUIRED
    };
    let logical = (kind == Kind::Text).then_some(LogicalType::String);
    let field = Type::primitive_type_builder(name, physical).with_repetition(needed);
    Ok(Arc::new(field.with_logical_type(logical).build()?))
}

impl Column {
    fn push(&mut self, cell: &Cell<'_>) -> bool {
        match (self, cell) {
            (Column::Float(values), Cell::Float(value)) => values.push(*value),
            (Column::Whole(values), Cell::Whole(value)) => values.push(*value),
            (Column::Maybe(values, there), Cell::Maybe(value)) => {
                values.extend(value);
                there.push(i16::from(value.is_some()));
            }
            (Column::Flag(values), Cell::Flag(value)) => values.push(*value),
            (Column::Text(values), Cell::Text(text)) => values.push(ByteArray::from(*text)),
            _ => return false,
        }
        true
    }

    fn clear(&mut self) {
        match self {
            Column::Float(values) => values.clear(),
            Column::Whole(values) => values.clear(),
            Column::Maybe(values, there) => {
                values.clear();
                there.clear();
            }
            Column::Flag(values) => values.clear(),
            Column::Text(values) => values.clear(),
        }
    }
}
