//! A folder that an earlier release wrote, held as a fixture: its record is read, and the folder takes further ones.
//!
//! `fixtures/control.redb.deflate` is the database file, compressed with DEFLATE; `fixtures/value.txt` the value in it, in
//! hexadecimal: an encoded state of `badgerstream-control`, which means nothing here.

use badgerstream_control_store::{FILE, Fresh, Record, Store};
use std::fs;
use std::path::PathBuf;

const PACKED: &[u8] = include_bytes!("fixtures/control.redb.deflate");
const VALUE: &str = include_str!("fixtures/value.txt");

/// The record in the fixture.
fn pinned() -> Record {
    let digits = VALUE.trim();
    let value = (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits"));
    Record {
        promised: 0x1112_1314_1516_1718,
        accepted: 0x0102_0304_0506_0708,
        value: value.collect(),
        identity: 0x3132_3334_3536_3738,
    }
}

/// A folder that is removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    /// The fixture unpacked.
    fn unpacked() -> Folder {
        let name = format!("store-kept-{}", std::process::id());
        let folder = Folder(std::env::temp_dir().join(name));
        fs::create_dir(&folder.0).unwrap();
        let file = miniz_oxide::inflate::decompress_to_vec(PACKED).expect("a whole file");
        fs::write(folder.0.join(FILE), file).unwrap();
        folder
    }

    /// The record in it; the store must not take it for new.
    fn open(&self) -> (Store, Record) {
        let (store, record, fresh) = Store::open(&self.0, 5).unwrap();
        assert_eq!(fresh, Fresh::Kept);
        (store, record)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_folder_of_an_earlier_release_is_read_and_takes_further_records() {
    let folder = Folder::unpacked();
    let (mut store, found) = folder.open();
    assert_eq!(found, pinned());
    let next = Record {
        promised: found.promised + 2,
        accepted: found.accepted + 1,
        value: b"another value".to_vec(),
        ..found
    };
    store.save(&next).unwrap();
    drop(store);
    let (mut store, found) = folder.open();
    assert_eq!(found, next);
    store
        .save_ballots(next.promised + 3, next.accepted)
        .unwrap();
    drop(store);
    let (_, found) = folder.open();
    let promised = next.promised + 3;
    assert_eq!(found, Record { promised, ..next });
}
