//! Tests that lose power after every change of the disk. The disk keeps everything that was synced
//! and any part of the rest.

use std::path::PathBuf;

use arbtest::{arbitrary, arbtest};

use super::recording_disk::{Change, RecordingDisk, UnsyncedWrites, content_after_power_loss};
use super::{INCARNATION, content_after_kill, read_record, record};
use crate::{Record, Store};

const ALL_OUTCOMES: [UnsyncedWrites; 8] = [
    UnsyncedWrites::Lost,
    UnsyncedWrites::Written,
    UnsyncedWrites::Random(1),
    UnsyncedWrites::Random(2),
    UnsyncedWrites::Random(3),
    UnsyncedWrites::Random(4),
    UnsyncedWrites::Random(5),
    UnsyncedWrites::Random(6),
];

/// The changes that one process made to a disk, and the records that were durable after them.
pub(super) struct History {
    /// Content of the disk before the changes.
    start: Vec<u8>,
    changes: Vec<Change>,
    /// In order of changes. The first has the record that the process started with.
    safe_points: Vec<SafePoint>,
}

/// After this many changes or more, a power loss leaves this record or a later one.
struct SafePoint {
    change_count: usize,
    record: Record,
}

/// How often a power loss left the last saved record, and how often the one that was being saved.
#[derive(Default)]
struct FoundRecords {
    last_saved: usize,
    in_progress: usize,
}

impl History {
    /// Saves values of these lengths in bytes, with a vote after each, and ends like a killed
    /// process: the store is not closed.
    pub(super) fn until_kill(
        start: Vec<u8>,
        value_lengths: &[usize],
        first_number: u64,
    ) -> History {
        let (mut history, disk, store) = History::record(start, value_lengths, first_number);
        std::mem::forget(store);
        history.changes = disk.changes();
        history
    }

    /// Like [`until_kill`](History::until_kill), but closes the store at the end.
    fn until_close(start: Vec<u8>, value_lengths: &[usize], first_number: u64) -> History {
        let (mut history, disk, store) = History::record(start, value_lengths, first_number);
        drop(store);
        history.changes = disk.changes();
        history
    }

    fn record(
        start: Vec<u8>,
        value_lengths: &[usize],
        first_number: u64,
    ) -> (History, RecordingDisk, Store) {
        let disk = RecordingDisk::with_content(start.clone());
        let path = PathBuf::from("disk");
        let (mut store, mut current) = if start.is_empty() {
            Store::create(disk.clone(), path, INCARNATION).unwrap()
        } else {
            Store::read(disk.clone(), path).unwrap()
        };
        let safe_point = |record: &Record| SafePoint {
            change_count: disk.change_count(),
            record: record.clone(),
        };
        let mut safe_points = vec![SafePoint {
            change_count: if start.is_empty() {
                disk.change_count()
            } else {
                0
            },
            record: current.clone(),
        }];
        for (number, length) in (first_number..).zip(value_lengths) {
            current = record(number, *length);
            store.save(&current).unwrap();
            safe_points.push(safe_point(&current));
            current.voted_term += 1;
            current.accepted_term += 1;
            store
                .save_terms(current.voted_term, current.accepted_term)
                .unwrap();
            safe_points.push(safe_point(&current));
        }
        let history = History {
            start,
            changes: Vec::new(),
            safe_points,
        };
        (history, disk, store)
    }

    /// Returns the content of the disk at the end, without a power loss.
    pub(super) fn final_content(&self) -> Vec<u8> {
        self.content_after_power_loss(self.changes.len(), UnsyncedWrites::Written)
    }

    fn content_after_power_loss(&self, change_count: usize, unsynced: UnsyncedWrites) -> Vec<u8> {
        content_after_power_loss(&self.start, &self.changes, change_count, unsynced)
    }

    /// Returns the index of the latest safe point after this many changes.
    fn last_safe_point(&self, change_count: usize) -> usize {
        self.safe_points
            .iter()
            .rposition(|point| point.change_count <= change_count)
            .unwrap()
    }

    /// Loses power after each change, and checks that the disk then has the last saved record or
    /// the one that was being saved.
    fn lose_power_everywhere(&self, outcomes: &[UnsyncedWrites]) -> FoundRecords {
        let mut found_records = FoundRecords::default();
        for change_count in self.safe_points[0].change_count..=self.changes.len() {
            for unsynced in outcomes {
                let content = self.content_after_power_loss(change_count, *unsynced);
                let found = read_record(content).unwrap_or_else(|error| {
                    panic!("after change {change_count}, unsynced {unsynced:?}: {error}")
                });
                let safe = self.last_safe_point(change_count);
                let next = self.safe_points.get(safe + 1);
                if found == self.safe_points[safe].record {
                    found_records.last_saved += 1;
                } else if next.is_some_and(|next| next.record == found) {
                    found_records.in_progress += 1;
                } else {
                    panic!(
                        "after change {change_count}, unsynced {unsynced:?}: \
                         voted term {}, accepted term {}",
                        found.voted_term, found.accepted_term
                    );
                }
            }
        }
        found_records
    }
}

#[test]
fn power_loss_leaves_last_saved_record_or_the_one_in_progress() {
    let history = History::until_kill(Vec::new(), &[0, 10, 300, 5_000, 40, 20_000, 1], 1);
    let FoundRecords {
        last_saved,
        in_progress,
    } = history.lose_power_everywhere(&ALL_OUTCOMES);
    assert!(
        last_saved > 100 && in_progress > 10,
        "both records must occur: last saved {last_saved} times, in progress {in_progress} times"
    );
}

#[test]
fn power_loss_while_file_grows_and_shrinks_leaves_a_saved_record() {
    let history = History::until_kill(Vec::new(), &[150_000, 5, 400_000], 1);
    let _ = history.lose_power_everywhere(&ALL_OUTCOMES[..4]);
}

#[test]
fn power_loss_while_store_of_a_killed_process_is_opened_leaves_a_saved_record() {
    for value_lengths in [&[7, 3_000][..], &[200_000, 9]] {
        let history = History::until_kill(content_after_kill(value_lengths), &[500, 4_000], 20);
        assert!(history.changes.len() > 10);
        history.lose_power_everywhere(&ALL_OUTCOMES);
    }
}

#[test]
fn power_loss_while_store_is_closed_or_opened_after_it_leaves_a_saved_record() {
    let history = History::until_close(Vec::new(), &[900, 30_000, 3], 1);
    history.lose_power_everywhere(&ALL_OUTCOMES);
    let closed = history.final_content();
    History::until_close(closed, &[10], 9).lose_power_everywhere(&ALL_OUTCOMES);
}

#[test]
fn repeated_power_losses_leave_a_saved_record() {
    arbtest(|random: &mut arbitrary::Unstructured<'_>| {
        let mut content = content_after_kill(&[100]);
        let mut oldest_allowed = read_record(content_after_kill(&[100])).unwrap();
        for process in 2..6 {
            let value_length = random.int_in_range(0..=9_000)?;
            let history = History::until_kill(content.clone(), &[value_length], process);
            let change_count = random.int_in_range(0..=history.changes.len())?;
            let unsynced = UnsyncedWrites::Random(random.arbitrary()?);
            assert_eq!(history.safe_points[0].record, oldest_allowed);
            content = history.content_after_power_loss(change_count, unsynced);
            let found = read_record(content.clone()).unwrap();
            let safe = history.last_safe_point(change_count);
            assert!(
                history.safe_points[safe..]
                    .iter()
                    .take(2)
                    .any(|point| point.record == found)
            );
            oldest_allowed = found;
        }
        Ok(())
    })
    .budget_ms(1_000);
}

#[test]
fn save_syncs_at_most_three_times_and_vote_does_not_write_the_value() {
    let disk = RecordingDisk::default();
    let (mut store, _) = Store::create(disk.clone(), PathBuf::from("disk"), INCARNATION).unwrap();
    store.save(&record(1, 60_000)).unwrap();
    let cost_since = |change_count: usize| {
        let changes = disk.changes().split_off(change_count);
        let syncs = changes
            .iter()
            .filter(|change| matches!(change, Change::Sync))
            .count();
        let bytes: usize = changes
            .iter()
            .map(|change| match change {
                Change::Write(_, data) => data.len(),
                Change::SetLength(_) | Change::Sync => 0,
            })
            .sum();
        (syncs, bytes)
    };
    for number in 2..40 {
        let before = disk.change_count();
        store.save(&record(number, 60_000)).unwrap();
        let (syncs, bytes) = cost_since(before);
        assert!(
            (1..=3).contains(&syncs) && bytes < 200_000,
            "{syncs} syncs, {bytes} bytes"
        );
        let before = disk.change_count();
        store.save_terms(10 * number + 1, 10 * number).unwrap();
        let (syncs, bytes) = cost_since(before);
        assert!(
            (1..=2).contains(&syncs) && bytes < 40_000,
            "{syncs} syncs, {bytes} bytes"
        );
    }
}

/// A full disk makes a save fail. Once the disk accepts writes again, the reopened store has the
/// record of the failed save or the one before it, and saves further records.
#[test]
fn failed_save_leaves_its_own_record_or_the_one_before() {
    for accepted_changes in 0..12 {
        let disk = RecordingDisk::default();
        let (mut store, _) = Store::create(disk.clone(), PathBuf::from("f"), INCARNATION).unwrap();
        store.save(&record(1, 50_000)).unwrap();
        disk.fail_after(Some(accepted_changes));
        let failed = store.save(&record(2, 60_000)).is_err();
        assert!(
            failed || accepted_changes > 2,
            "the save must fail on a full disk"
        );
        if failed {
            assert!(
                store.save(&record(3, 100)).is_err(),
                "a store must not save again after a failed save"
            );
        }
        drop(store);
        disk.fail_after(None);
        let (mut store, found) = Store::read(disk.clone(), PathBuf::from("f")).unwrap();
        assert!(
            found == record(2, 60_000) || failed && found == record(1, 50_000),
            "{accepted_changes} changes accepted"
        );
        store.save(&record(4, 70_000)).unwrap();
        drop(store);
        let (_, found) = Store::read(disk, PathBuf::from("f")).unwrap();
        assert_eq!(found, record(4, 70_000));
    }
}
