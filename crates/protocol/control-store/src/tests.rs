//! Power is cut at every write, on a disk of our own that keeps what was synced and does as it likes with the rest; and real
//! folders are opened, damaged and told apart.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arbtest::{arbitrary, arbtest};
use redb::StorageBackend;

use crate::folder::Folder as Names;
use crate::{FILE, Fresh, MAX_VALUE, Record, Store, StoreError, UNFINISHED, format};

const IDENTITY: u64 = 77;

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// A disk that remembers in which order it was changed.
#[derive(Clone, Debug, Default)]
struct Recorder {
    state: Arc<Mutex<(Vec<u8>, Vec<Change>)>>,
    /// So many changes more are taken, and then none; all if it isn't told.
    takes: Arc<Mutex<Option<u64>>>,
}

impl Recorder {
    fn holding(content: Vec<u8>) -> Recorder {
        Recorder {
            state: Arc::new(Mutex::new((content, Vec::new()))),
            ..Recorder::default()
        }
    }

    fn changes(&self) -> Vec<Change> {
        self.state.lock().unwrap().1.clone()
    }

    fn done(&self) -> usize {
        self.state.lock().unwrap().1.len()
    }

    fn refuse_after(&self, changes: Option<u64>) {
        *self.takes.lock().unwrap() = changes;
    }

    fn change(&self, change: Change) -> io::Result<()> {
        match &mut *self.takes.lock().unwrap() {
            Some(0) => return Err(io::ErrorKind::StorageFull.into()),
            Some(left) => *left -= 1,
            None => {}
        }
        let (content, changes) = &mut *self.state.lock().unwrap();
        apply(content, &change);
        changes.push(change);
        Ok(())
    }
}

impl StorageBackend for Recorder {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state.lock().unwrap().0.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let from = offset as usize;
        match state.0.get(from..from + out.len()) {
            Some(bytes) => out.copy_from_slice(bytes),
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.change(Change::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write(offset, data.to_vec()))
    }
}

fn apply(content: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(offset, data) => {
            let from = *offset as usize;
            content.resize(content.len().max(from + data.len()), 0);
            content[from..from + data.len()].copy_from_slice(data);
        }
        Change::Length(length) => content.resize(*length as usize, 0),
        Change::Sync => {}
    }
}

/// What became of the writes since the last sync.
#[derive(Clone, Copy, Debug)]
enum Cut {
    AllGone,
    AllThere,
    /// Each is there, gone or torn, drawn by lot.
    Lot(u64),
}

/// Numbers by lot (xorshift64*).
fn draw(seed: &mut u64) -> u64 {
    *seed ^= *seed >> 12;
    *seed ^= *seed << 25;
    *seed ^= *seed >> 27;
    seed.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 16
}

fn tear(content: &mut Vec<u8>, offset: u64, data: &[u8], seed: &mut u64) {
    if draw(seed).is_multiple_of(2) {
        let kept = draw(seed) as usize % (data.len() + 1);
        return apply(content, &Change::Write(offset, data[..kept].to_vec()));
    }
    // By sectors, in any order.
    for (sector, part) in data.chunks(512).enumerate() {
        if draw(seed).is_multiple_of(2) {
            apply(
                content,
                &Change::Write(offset + 512 * sector as u64, part.to_vec()),
            );
        }
    }
}

/// The disk as a loss of power after the first `at` changes leaves it, on top of `start`.
fn after_cut(start: &[u8], changes: &[Change], at: usize, cut: Cut) -> Vec<u8> {
    let synced = changes[..at]
        .iter()
        .rposition(|change| matches!(change, Change::Sync))
        .map_or(0, |last| last + 1);
    let mut content = start.to_vec();
    changes[..synced]
        .iter()
        .for_each(|change| apply(&mut content, change));
    let mut seed = match cut {
        Cut::Lot(lot) => lot.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        _ => 1,
    };
    for change in &changes[synced..at] {
        match (cut, change) {
            (Cut::AllGone, _) => {}
            (Cut::AllThere, _) => apply(&mut content, change),
            (Cut::Lot(_), _) => match (draw(&mut seed) % 3, change) {
                (0, _) => {}
                (1, Change::Write(offset, data)) => tear(&mut content, *offset, data, &mut seed),
                _ => apply(&mut content, change),
            },
        }
    }
    content
}

fn reopen(content: Vec<u8>) -> Result<Record, StoreError> {
    Store::read(Recorder::holding(content), PathBuf::from("disk")).map(|(_, record)| record)
}

fn record(round: u64, length: usize) -> Record {
    let mut seed = round + 1;
    let value = (0..length).map(|_| draw(&mut seed) as u8).collect();
    Record {
        promised: 10 * round,
        accepted: 10 * round - 3,
        value,
        identity: IDENTITY,
    }
}

/// A history on a disk: after how many changes which record was safe, from which record it began.
struct History {
    start: Vec<u8>,
    changes: Vec<Change>,
    /// Once so many changes are done, the record is safe.
    safe: Vec<(usize, Record)>,
}

impl History {
    /// Saves and promises by turns, each value of its own length, and ends as a killed process does: nothing is closed.
    fn play(start: Vec<u8>, lengths: &[usize], from: u64) -> History {
        let (mut history, disk, store) = History::begin(start, lengths, from);
        std::mem::forget(store);
        history.changes = disk.changes();
        history
    }

    /// As [`play`](History::play), but the store is closed at the end.
    fn play_and_close(start: Vec<u8>, lengths: &[usize], from: u64) -> History {
        let (mut history, disk, store) = History::begin(start, lengths, from);
        drop(store);
        history.changes = disk.changes();
        history
    }

    fn begin(start: Vec<u8>, lengths: &[usize], from: u64) -> (History, Recorder, Store) {
        let disk = Recorder::holding(start.clone());
        let path = PathBuf::from("disk");
        let (mut store, mut current) = if start.is_empty() {
            Store::make(disk.clone(), path, IDENTITY).unwrap()
        } else {
            Store::read(disk.clone(), path).unwrap()
        };
        let mut safe = vec![(
            if start.is_empty() { disk.done() } else { 0 },
            current.clone(),
        )];
        for (round, length) in (from..).zip(lengths) {
            current = record(round, *length);
            store.save(&current).unwrap();
            safe.push((disk.done(), current.clone()));
            current.promised += 1;
            current.accepted += 1;
            store
                .save_ballots(current.promised, current.accepted)
                .unwrap();
            safe.push((disk.done(), current.clone()));
        }
        (
            History {
                start,
                changes: Vec::new(),
                safe,
            },
            disk,
            store,
        )
    }

    /// Cuts after each change and reads back the last safe record or the next one; gives how often it was which.
    fn cut_everywhere(&self, cuts: &[Cut]) -> (usize, usize) {
        let (mut last, mut next) = (0, 0);
        for at in self.safe[0].0..=self.changes.len() {
            for cut in cuts {
                let found = reopen(after_cut(&self.start, &self.changes, at, *cut))
                    .unwrap_or_else(|error| panic!("cut {at} {cut:?}: {error}"));
                let safe = self.safe.iter().rposition(|(done, _)| *done <= at).unwrap();
                if found == self.safe[safe].1 {
                    last += 1;
                } else if self
                    .safe
                    .get(safe + 1)
                    .is_some_and(|(_, record)| *record == found)
                {
                    next += 1;
                } else {
                    panic!(
                        "cut {at} {cut:?}: promised {} accepted {}",
                        found.promised, found.accepted
                    );
                }
            }
        }
        (last, next)
    }
}

const CUTS: [Cut; 8] = [
    Cut::AllGone,
    Cut::AllThere,
    Cut::Lot(1),
    Cut::Lot(2),
    Cut::Lot(3),
    Cut::Lot(4),
    Cut::Lot(5),
    Cut::Lot(6),
];

fn killed(lengths: &[usize]) -> Vec<u8> {
    let history = History::play(Vec::new(), lengths, 1);
    after_cut(&[], &history.changes, history.changes.len(), Cut::AllThere)
}

#[test]
fn a_cut_leaves_the_last_saved_record_or_the_next() {
    let (last, next) =
        History::play(Vec::new(), &[0, 10, 300, 5_000, 40, 20_000, 1], 1).cut_everywhere(&CUTS);
    assert!(last > 100 && next > 10, "both are met: {last} {next}");
}

#[test]
fn a_cut_while_the_file_grows_and_shrinks_does_too() {
    let _ = History::play(Vec::new(), &[150_000, 5, 400_000], 1).cut_everywhere(&CUTS[..4]);
}

#[test]
fn a_cut_while_a_killed_store_is_opened_does_too() {
    for lengths in [&[7, 3_000][..], &[200_000, 9]] {
        let history = History::play(killed(lengths), &[500, 4_000], 20);
        assert!(history.changes.len() > 10);
        history.cut_everywhere(&CUTS);
    }
}

#[test]
fn a_cut_while_a_store_is_closed_or_opened_after_it_does_too() {
    let history = History::play_and_close(Vec::new(), &[900, 30_000, 3], 1);
    history.cut_everywhere(&CUTS);
    let closed = after_cut(&[], &history.changes, history.changes.len(), Cut::AllThere);
    History::play_and_close(closed, &[10], 9).cut_everywhere(&CUTS);
}

#[test]
fn cuts_upon_cuts_lose_nothing() {
    arbtest(|lots: &mut arbitrary::Unstructured<'_>| {
        let (mut disk, mut oldest) = (killed(&[100]), reopen(killed(&[100])).unwrap());
        for life in 2..6 {
            let history = History::play(disk.clone(), &[lots.int_in_range(0..=9_000)?], life);
            let at = lots.int_in_range(0..=history.changes.len())?;
            let cut = Cut::Lot(lots.arbitrary()?);
            assert_eq!(history.safe[0].1, oldest);
            disk = after_cut(&disk, &history.changes, at, cut);
            let found = reopen(disk.clone()).unwrap();
            let safe = history
                .safe
                .iter()
                .rposition(|(done, _)| *done <= at)
                .unwrap();
            assert!(
                history.safe[safe..]
                    .iter()
                    .take(2)
                    .any(|(_, record)| *record == found)
            );
            oldest = found;
        }
        Ok(())
    })
    .budget_ms(1_000);
}

#[test]
fn a_save_syncs_once_and_a_promise_does_not_write_the_value() {
    let disk = Recorder::default();
    let (mut store, _) = Store::make(disk.clone(), PathBuf::from("disk"), IDENTITY).unwrap();
    store.save(&record(1, 60_000)).unwrap();
    let cost = |from: usize| {
        let changes = disk.changes().split_off(from);
        let syncs = changes
            .iter()
            .filter(|change| matches!(change, Change::Sync))
            .count();
        let bytes: usize = changes
            .iter()
            .map(|change| {
                if let Change::Write(_, data) = change {
                    data.len()
                } else {
                    0
                }
            })
            .sum();
        (syncs, bytes)
    };
    for round in 2..40 {
        let before = disk.done();
        store.save(&record(round, 60_000)).unwrap();
        let (syncs, bytes) = cost(before);
        assert!(
            (1..=3).contains(&syncs) && bytes < 200_000,
            "{syncs} syncs, {bytes} bytes"
        );
        let before = disk.done();
        store.save_ballots(10 * round + 1, 10 * round).unwrap();
        let (syncs, bytes) = cost(before);
        assert!(
            (1..=2).contains(&syncs) && bytes < 40_000,
            "{syncs} syncs, {bytes} bytes"
        );
    }
}

/// A folder that goes when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("store-{}-{number}", std::process::id()));
        fs::create_dir(&folder).unwrap();
        Folder(folder)
    }

    fn open(&self) -> Result<(Store, Record, Fresh), StoreError> {
        Store::open(&self.0, IDENTITY)
    }

    fn file(&self) -> PathBuf {
        self.0.join(FILE)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn an_empty_folder_is_told_and_gets_an_identity_for_good() {
    let folder = Folder::new();
    let (store, first, fresh) = folder.open().unwrap();
    assert!(fresh.is_new());
    assert_eq!(
        first,
        Record {
            identity: IDENTITY,
            ..Record::default()
        }
    );
    drop(store);
    let (_store, again, fresh) = Store::open(&folder.0, 5).unwrap();
    assert_eq!((again, fresh), (first, Fresh::Kept));
}

#[test]
fn a_missing_folder_is_made() {
    let folder = Folder::new();
    let inner = folder.0.join("a/b");
    assert!(Store::open(&inner, IDENTITY).unwrap().2.is_new());
    assert_eq!(Store::open(&inner, IDENTITY).unwrap().2, Fresh::Kept);
}

#[test]
fn a_first_open_that_lost_power_is_begun_anew() {
    let folder = Folder::new();
    fs::write(folder.0.join(UNFINISHED), b"half").unwrap();
    let (_store, _, fresh) = folder.open().unwrap();
    assert!(fresh.is_new());
    let names: BTreeSet<_> = fs::read_dir(&folder.0)
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .collect();
    assert_eq!(names, BTreeSet::from([FILE.into()]));
}

#[test]
fn what_was_saved_is_read_back_after_a_kill_and_after_a_close() {
    let folder = Folder::new();
    let (mut store, ..) = folder.open().unwrap();
    let mut saved = record(4, 100_000);
    store.save(&saved).unwrap();
    let copy = Folder::new();
    fs::copy(folder.file(), copy.file()).unwrap();
    assert_eq!(copy.open().unwrap().1, saved);
    store.save_ballots(99, 98).unwrap();
    (saved.promised, saved.accepted) = (99, 98);
    drop(store);
    assert_eq!(folder.open().unwrap().1, saved);
}

#[test]
fn a_foreign_file_is_named_and_left() {
    let folder = Folder::new();
    let foreign = folder.0.join("db");
    fs::write(&foreign, b"other").unwrap();
    match folder.open() {
        Err(StoreError::Foreign(path)) => assert_eq!(path, foreign),
        other => panic!("{other:?}"),
    }
    assert_eq!(fs::read(&foreign).unwrap(), b"other");
}

#[test]
fn a_damaged_file_is_named_and_never_taken_for_nothing() {
    let whole = killed(&[5_000]);
    let folder = Folder::new();
    let damaged = [
        Vec::new(),
        vec![0; 4_096],
        whole[..whole.len() / 2].to_vec(),
        vec![7; whole.len()],
    ];
    for content in damaged {
        fs::write(folder.file(), &content).unwrap();
        let error = folder.open().unwrap_err();
        assert!(error.to_string().contains(FILE), "{error}");
        assert!(
            matches!(error, StoreError::Database(..) | StoreError::Record(..)),
            "{error:?}"
        );
    }
}

#[test]
fn a_flipped_bit_gives_the_true_record_or_an_error() {
    let folder = Folder::new();
    let (mut store, ..) = folder.open().unwrap();
    let saved = record(3, 3_000);
    store.save(&saved).unwrap();
    let killed = fs::read(folder.file()).unwrap();
    drop(store);
    let closed = fs::read(folder.file()).unwrap();
    for whole in [killed, closed] {
        let mut errors = 0;
        for at in (0..whole.len()).filter(|at| *at < 320 || at.is_multiple_of(251)) {
            let mut content = whole.clone();
            content[at] ^= 1 << (at % 8);
            match reopen(content) {
                Ok(found) => {
                    // The older of the two roots may be all that is whole.
                    let first = Record {
                        identity: IDENTITY,
                        ..Record::default()
                    };
                    assert!(found == saved || found == first, "byte {at}");
                }
                Err(_) => errors += 1,
            }
        }
        assert!(errors > 0);
    }
}

#[test]
fn big_values_stay_within_the_bound_of_the_disk() {
    let folder = Folder::new();
    let (mut store, ..) = folder.open().unwrap();
    let mut longest = 0;
    let filled = |round: u64, length| Record {
        value: vec![round as u8; length],
        ..record(round, 0)
    };
    for round in 1..=300 {
        store.save(&filled(round, 256 * 1024)).unwrap();
        longest = longest.max(fs::metadata(folder.file()).unwrap().len());
    }
    assert!(longest < 8 << 20, "{longest} bytes");
    assert!(matches!(
        store.save(&Record {
            value: vec![0; MAX_VALUE + 1],
            ..Record::default()
        }),
        Err(StoreError::TooLarge(_))
    ));
    store.save(&filled(301, MAX_VALUE)).unwrap();
    assert!(fs::metadata(folder.file()).unwrap().len() < 64 << 20);
    drop(store);
    assert_eq!(folder.open().unwrap().1, filled(301, MAX_VALUE));
}

#[test]
fn a_row_is_refused_when_cut_changed_or_of_another_version() {
    assert_eq!(format::checksum(b"1234", b"56789"), 0xCBF4_3926);
    let ballots = format::Ballots {
        promised: 0x0102,
        accepted: 0x03,
    };
    let mut row = vec![0; format::length(&ballots)];
    format::encode(&ballots, &mut row);
    assert_eq!(
        row[5..],
        [2, 1, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0],
        "the page says so"
    );
    assert_eq!(
        row[1..5],
        0xAD07_9812_u32.to_le_bytes(),
        "a CRC-32 as any other program computes it"
    );
    assert_eq!(row[0], format::VERSION);
    let read = format::decode::<format::Ballots>(&row).unwrap();
    assert_eq!((read.promised, read.accepted), (0x0102, 0x03));
    for at in 0..row.len() {
        assert!(format::decode::<format::Ballots>(&row[..at]).is_err());
        let mut changed = row.clone();
        changed[at] ^= 4;
        assert!(format::decode::<format::Ballots>(&changed).is_err());
    }
    for other in [1, 3] {
        let mut row = row.clone();
        row[0] = other;
        let sum = format::checksum(&[other], &row[5..]);
        row[1..5].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(
            format::decode::<format::Ballots>(&row).err(),
            Some("holds a row of another version")
        );
    }
}

/// A disk that takes no more bytes fails the save; once it takes bytes again the store that is opened anew has the record
/// before it or the one that was refused, and goes on.
#[test]
fn a_refused_save_costs_only_itself() {
    for refused_from in 0..12 {
        let disk = Recorder::default();
        let (mut store, _) = Store::make(disk.clone(), PathBuf::from("f"), IDENTITY).unwrap();
        store.save(&record(1, 50_000)).unwrap();
        disk.refuse_after(Some(refused_from));
        let refused = store.save(&record(2, 60_000)).is_err();
        assert!(refused || refused_from > 2, "nothing was refused");
        if refused {
            assert!(
                store.save(&record(3, 100)).is_err(),
                "a store that failed says nothing more"
            );
        }
        drop(store);
        disk.refuse_after(None);
        let (mut store, found) = Store::read(disk.clone(), PathBuf::from("f")).unwrap();
        assert!(
            found == record(2, 60_000) || refused && found == record(1, 50_000),
            "{refused_from}"
        );
        store.save(&record(4, 70_000)).unwrap();
        drop(store);
        let (_, found) = Store::read(disk, PathBuf::from("f")).unwrap();
        assert_eq!(found, record(4, 70_000));
    }
}

/// A folder whose names are kept or lost by a loss of power, and whose files hold what was written.
#[derive(Clone, Default)]
struct Entries {
    state: Arc<Mutex<EntriesState>>,
}

#[derive(Clone, Default)]
struct EntriesState {
    /// The folder is there; and would be after a loss of power.
    made: (bool, bool),
    /// What each name stands for; and what it would after a loss of power.
    names: BTreeMap<String, (Option<Recorder>, Option<Recorder>)>,
    /// So many operations more are done, and at the next one the process is killed.
    left: Option<u64>,
}

impl Entries {
    fn killed_after(&self, operations: Option<u64>) {
        self.state.lock().unwrap().left = operations;
    }

    /// Counts an operation; an error if the process is killed before it.
    fn begin(&self) -> io::Result<std::sync::MutexGuard<'_, EntriesState>> {
        let mut state = self.state.lock().unwrap();
        match &mut state.left {
            Some(0) => return Err(io::Error::other("killed")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(state)
    }

    /// The folder after a loss of power: of each name that wasn't synced, and of the folder, this lot says whether it is kept.
    fn after_cut(&self, lot: u64) -> Entries {
        let state = self.state.lock().unwrap().clone();
        let keeps = |bit: usize| lot >> bit & 1 == 1;
        let there = state.made.1 || state.made.0 && keeps(0);
        let mut after = EntriesState {
            made: (there, there),
            ..EntriesState::default()
        };
        for (bit, (name, (now, synced))) in state.names.into_iter().enumerate() {
            let kept = if keeps(bit + 1) { now } else { synced };
            if there && let Some(file) = kept {
                let file = Recorder::holding(file.state.lock().unwrap().0.clone());
                after.names.insert(name, (Some(file.clone()), Some(file)));
            }
        }
        Entries {
            state: Arc::new(Mutex::new(after)),
        }
    }

    fn open_store(&self) -> Result<(Store, Record, Fresh), StoreError> {
        Store::open_in(self, Path::new("/state"), IDENTITY)
    }
}

impl Names for Entries {
    type File = Recorder;

    fn make(&self) -> io::Result<()> {
        self.begin()?.made.0 = true;
        Ok(())
    }

    fn names(&self) -> io::Result<Vec<OsString>> {
        let state = self.begin()?;
        let there = state.names.iter().filter(|(_, (now, _))| now.is_some());
        Ok(there.map(|(name, _)| name.into()).collect())
    }

    fn create(&self, name: &str) -> io::Result<Recorder> {
        let file = Recorder::default();
        // The store syncs it before it does anything else with the folder, so that its first name lasts.
        self.begin()?
            .names
            .insert(name.to_owned(), (Some(file.clone()), Some(file.clone())));
        Ok(file)
    }

    fn open(&self, name: &str) -> io::Result<Recorder> {
        let found = self
            .begin()?
            .names
            .get(name)
            .and_then(|(now, _)| now.clone());
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if let Some((now, _)) = self.begin()?.names.get_mut(name) {
            *now = None;
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin()?;
        let file = state.names.get_mut(from).and_then(|(now, _)| now.take());
        state.names.entry(to.to_owned()).or_default().0 = file;
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.begin()?;
        state.made.1 = state.made.0;
        state
            .names
            .values_mut()
            .for_each(|(now, synced)| synced.clone_from(now));
        Ok(())
    }
}

/// The process is killed before each operation on the folder in turn, is started again and saves; then power is lost, and of
/// each name that wasn't synced it is drawn by lot whether it is kept. What was saved is read back, whichever are.
#[test]
fn names_that_were_not_synced_take_nothing_along() {
    const OPERATIONS: u64 = 8;
    for kills in 0..OPERATIONS * OPERATIONS {
        let folder = Entries::default();
        for killed in [kills / OPERATIONS, kills % OPERATIONS] {
            folder.killed_after(Some(killed));
            let _ = folder.open_store();
            folder.killed_after(None);
        }
        let (mut store, first, _) = folder.open_store().unwrap();
        let saved = Record {
            promised: 9,
            identity: first.identity,
            ..record(4, 300)
        };
        store.save(&saved).unwrap();
        std::mem::forget(store);
        for lot in 0..8 {
            let after = folder.after_cut(lot);
            let (_, read, fresh) = after.open_store().unwrap();
            assert_eq!(
                (&read, fresh),
                (&saved, Fresh::Kept),
                "killed at {kills}, names kept by {lot}"
            );
        }
    }
}

/// A first open during which power is lost leaves a folder that can be opened, whichever names are kept.
#[test]
fn a_first_open_may_lose_power_at_any_operation() {
    for killed in 0..8 {
        let folder = Entries::default();
        folder.killed_after(Some(killed));
        let opened = folder.open_store();
        folder.killed_after(None);
        for lot in 0..8 {
            let (_, read, fresh) = folder.after_cut(lot).open_store().unwrap();
            assert_eq!(
                read,
                Record {
                    identity: IDENTITY,
                    ..Record::default()
                }
            );
            assert!(opened.is_err() || fresh == Fresh::Kept, "it had returned");
        }
    }
}
