//! Tests of the store, one module per concern, and the helpers that several of them use.

mod directory;
mod directory_power_loss;
mod format;
mod power_loss;
mod recording_disk;

use std::path::PathBuf;

use self::power_loss::History;
use self::recording_disk::{RecordingDisk, next_random};
use crate::{Record, Store, StoreError};

const INCARNATION: u64 = 77;

/// Reads the record from a file with this content.
fn read_record(content: Vec<u8>) -> Result<Record, StoreError> {
    let disk = RecordingDisk::with_content(content);
    Store::read(disk, PathBuf::from("disk")).map(|(_, record)| record)
}

/// Returns the record of a new store.
fn empty_record() -> Record {
    Record {
        incarnation: INCARNATION,
        ..Record::default()
    }
}

/// Returns a record that is different for each number, with a value of this length in bytes.
fn record(number: u64, value_length: usize) -> Record {
    let mut seed = number + 1;
    let value = (0..value_length)
        .map(|_| next_random(&mut seed) as u8)
        .collect();
    Record {
        voted_term: 10 * number,
        accepted_term: 10 * number - 3,
        value,
        incarnation: INCARNATION,
    }
}

/// Returns the content that a process leaves on the disk if it is killed after saving values of
/// these lengths in bytes.
fn content_after_kill(value_lengths: &[usize]) -> Vec<u8> {
    let history = History::until_kill(Vec::new(), value_lengths, 1);
    history.final_content()
}
