//! Reads and writes the rows of the open database.

use std::path::PathBuf;

use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition};

use crate::format::{self, TermsRow, ValueRow, ValueRowRef};
use crate::{MAX_VALUE_BYTES, Record, StoreError};

/// Size of the page cache of `redb`, in bytes. All rows are read only once, at the start, so a
/// larger cache would have no use.
const CACHE_BYTES: usize = 64 * 1024;

/// The table has two rows: one that changes with each vote and one that changes with each value. A
/// vote, or the same value in another term, thus writes only a few pages and not the value again.
const CONTROL_TABLE: TableDefinition<'_, u8, &[u8]> = TableDefinition::new("control");
const TERMS_KEY: u8 = 0;
const VALUE_KEY: u8 = 1;

/// An open store.
///
/// Dropping it closes the file. This may write and sync the file once more, but the saved record
/// does not depend on it.
///
/// After an error of [`save`](Store::save) or [`save_terms`](Store::save_terms), the disk has
/// either the old or the new record. The caller must reopen the store before it sends any message
/// that depends on the record.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
}

impl Store {
    /// Writes `record` to the disk. Once this returns, the record survives a power loss.
    ///
    /// # Errors
    ///
    /// [`StoreError::ValueTooLarge`] before anything is written; [`StoreError::Database`], after
    /// which the store must be reopened.
    pub fn save(&mut self, record: &Record) -> Result<(), StoreError> {
        if record.value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge(record.value.len()));
        }
        let terms = TermsRow {
            voted_term: record.voted_term,
            accepted_term: record.accepted_term,
        };
        let value = ValueRowRef {
            incarnation: record.incarnation,
            value: &record.value,
        };
        self.write_rows(&terms, Some(value))
            .map_err(|cause| self.database_error("save to", cause))
    }

    /// Writes new terms to the disk and leaves the value as it is. This writes only a few pages,
    /// however large the value is. Once this returns, the terms survive a power loss.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`], after which the store must be reopened.
    pub fn save_terms(&mut self, voted_term: u64, accepted_term: u64) -> Result<(), StoreError> {
        let terms = TermsRow {
            voted_term,
            accepted_term,
        };
        self.write_rows(&terms, None)
            .map_err(|cause| self.database_error("save to", cause))
    }

    /// Creates a database in an empty file, with an empty record that has this incarnation.
    pub(crate) fn create(
        file: impl StorageBackend,
        path: PathBuf,
        incarnation: u64,
    ) -> Result<(Store, Record), StoreError> {
        let mut store = Store::open_database(file, path, "create")?;
        let record = Record {
            incarnation,
            ..Record::default()
        };
        store.save(&record)?;
        Ok((store, record))
    }

    /// Opens the database in an existing file, and reads its record.
    pub(crate) fn read(
        file: impl StorageBackend,
        path: PathBuf,
    ) -> Result<(Store, Record), StoreError> {
        let file_length = match file.len() {
            Ok(length) => length,
            Err(source) => {
                let action = "get the length of";
                return Err(StoreError::Io {
                    action,
                    path,
                    source,
                });
            }
        };
        // `redb` would create a database in an empty file, but an empty file under the store's name
        // is damaged.
        if file_length == 0 {
            let problem = "is an empty file".to_owned();
            return Err(StoreError::InvalidRecord { path, problem });
        }
        let store = Store::open_database(file, path, "open")?;
        let record = store.read_record()?;
        Ok((store, record))
    }

    fn open_database(
        file: impl StorageBackend,
        path: PathBuf,
        action: &'static str,
    ) -> Result<Store, StoreError> {
        let opened = Builder::new()
            .set_cache_size(CACHE_BYTES)
            // Reads the whole file now. Without this check, a damaged file may cause a panic later
            // instead of an error now.
            .set_check_integrity_on_open(true)
            .create_with_backend(file);
        match opened {
            Ok(database) => Ok(Store { database, path }),
            Err(cause) => Err(StoreError::Database {
                action,
                path,
                source: Box::new(cause.into()),
            }),
        }
    }

    fn read_record(&self) -> Result<Record, StoreError> {
        let rows = self
            .read_rows()
            .map_err(|cause| self.database_error("read", cause))?;
        let invalid = |problem| StoreError::InvalidRecord {
            path: self.path.clone(),
            problem,
        };
        let terms = rows
            .terms
            .ok_or_else(|| invalid("contains no row of terms".to_owned()))?;
        let terms: TermsRow = format::decode(&terms).map_err(invalid)?;
        let value = rows
            .value
            .ok_or_else(|| invalid("contains no row of the value".to_owned()))?;
        let value: ValueRow = format::decode(&value).map_err(invalid)?;
        Ok(Record {
            voted_term: terms.voted_term,
            accepted_term: terms.accepted_term,
            value: value.value,
            incarnation: value.incarnation,
        })
    }

    fn read_rows(&self) -> Result<EncodedRows, redb::Error> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(CONTROL_TABLE)?;
        let row = |key| Ok::<_, redb::Error>(table.get(key)?.map(|row| row.value().to_vec()));
        Ok(EncodedRows {
            terms: row(TERMS_KEY)?,
            value: row(VALUE_KEY)?,
        })
    }

    /// Writes the terms, and the value if there is one, in one durable transaction.
    fn write_rows(
        &self,
        terms: &TermsRow,
        value: Option<ValueRowRef<'_>>,
    ) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(CONTROL_TABLE)?;
            let length = format::encoded_length(terms);
            format::encode(terms, table.insert_reserve(TERMS_KEY, length)?.as_mut());
            if let Some(value) = value {
                // Encoded directly into the page, because a copy would double the memory that a
                // large value takes.
                let length = format::encoded_length(&value);
                format::encode(&value, table.insert_reserve(VALUE_KEY, length)?.as_mut());
            }
        }
        transaction.commit()?;
        Ok(())
    }

    fn database_error(&self, action: &'static str, cause: redb::Error) -> StoreError {
        StoreError::Database {
            action,
            path: self.path.clone(),
            source: Box::new(cause),
        }
    }
}

/// The encoded rows; `None` for a missing row.
struct EncodedRows {
    terms: Option<Vec<u8>>,
    value: Option<Vec<u8>>,
}
