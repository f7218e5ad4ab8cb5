//! Tests that a directory of an earlier release, kept as a fixture, can be read and saved to.
//!
//! During a rolling upgrade, machines of both releases run side by side. Within a format version,
//! neither the fixture nor the record read from it may therefore change.
//!
//! `fixtures/control.redb.deflate` is the database file, compressed with DEFLATE.
//! `fixtures/value.txt` is the value in it, in hexadecimal: an encoded state of
//! `badgerstream-control`, which this crate does not interpret.

use std::fs;
use std::path::PathBuf;

use badgerstream_control_store::{DiskState, Record, STORE_FILE_NAME, Store};

const COMPRESSED_FILE: &[u8] = include_bytes!("fixtures/control.redb.deflate");
const VALUE_HEX: &str = include_str!("fixtures/value.txt");

/// Returns the record in the fixture.
fn fixture_record() -> Record {
    let digits = VALUE_HEX.trim();
    let value = (0..digits.len()).step_by(2).map(|start| {
        u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal digits")
    });
    Record {
        voted_term: 0x1112_1314_1516_1718,
        accepted_term: 0x0102_0304_0506_0708,
        value: value.collect(),
        incarnation: 0x3132_3334_3536_3738,
    }
}

/// A directory that is removed when the test ends.
struct TempDirectory(PathBuf);

impl TempDirectory {
    /// Creates a directory with the decompressed fixture.
    fn with_fixture() -> TempDirectory {
        let name = format!("store-kept-{}", std::process::id());
        let directory = TempDirectory(std::env::temp_dir().join(name));
        fs::create_dir(&directory.0).unwrap();
        let file = miniz_oxide::inflate::decompress_to_vec(COMPRESSED_FILE)
            .expect("the fixture is a complete DEFLATE stream");
        fs::write(directory.0.join(STORE_FILE_NAME), file).unwrap();
        directory
    }

    /// Opens the store, which must report an existing disk.
    fn open(&self) -> (Store, Record) {
        let opened = Store::open(&self.0, 5).unwrap();
        assert_eq!(opened.disk_state, DiskState::Existing);
        (opened.store, opened.record)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn directory_of_an_earlier_release_can_be_read_and_saved_to() {
    let directory = TempDirectory::with_fixture();
    let (mut store, found) = directory.open();
    assert_eq!(found, fixture_record());
    let next = Record {
        voted_term: found.voted_term + 2,
        accepted_term: found.accepted_term + 1,
        value: b"another value".to_vec(),
        ..found
    };
    store.save(&next).unwrap();
    drop(store);
    let (mut store, found) = directory.open();
    assert_eq!(found, next);
    store
        .save_terms(next.voted_term + 3, next.accepted_term)
        .unwrap();
    drop(store);
    let (_, found) = directory.open();
    let voted_term = next.voted_term + 3;
    assert_eq!(found, Record { voted_term, ..next });
}
