//! A recorded run sends the same statements at the same offsets.

use super::{place, scenario};
use crate::run::{self, Fault, Setup, bare, play, replay};
use crate::trace::{Change, Row, Writer, open};
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_store_emulator::scripted::{Scripted, Turn};

/// What two runs must have in common, in the order in which it was due.
fn sent(file: &std::path::Path) -> Vec<(u64, String, u16, String, bool, u32, bool)> {
    let of = |row: Row| {
        (
            (row.at_ms * 1e6).round() as u64,
            row.workload,
            row.group,
            row.key,
            row.writes,
            row.bytes,
            row.marked,
        )
    };
    let mut all: Vec<_> = open(file)
        .map(|rows| rows.filter_map(Result::ok).map(of).collect())
        .unwrap_or_default();
    all.sort();
    all
}

/// A kept run's statements, by their due time: they stand in the order in which they ended.
fn ordered(folder: &std::path::Path) -> std::path::PathBuf {
    folder.join("statements.parquet")
}

#[test]
fn the_same_statements_at_the_same_offsets() {
    let server = Scripted::start(true, |_, _| Turn::Answer).unwrap();
    let mut scenario = scenario();
    (scenario.target, scenario.threads, scenario.phases[0].random) = (server.address, 2, true);
    let (first, second) = (place("first"), place("second"));
    let setup = |run| Setup {
        run,
        ..Setup::default()
    };
    play(&scenario, &setup(1), Some((&first, "{}"))).unwrap();
    let asked = server.asked();
    let (played, survey) = replay(
        &ordered(&first),
        Change::default(),
        false,
        &scenario,
        &setup(2),
        Some((&second, "{}")),
    )
    .unwrap();
    assert_eq!((survey.rows, survey.broken), (asked, 0));
    assert_eq!(
        (played.summary.statements, server.asked()),
        (asked, 2 * asked)
    );
    assert_eq!(sent(&ordered(&first)), sent(&ordered(&second)));
    let all: Vec<Statement> = server
        .heard()
        .iter()
        .map(|(_, text)| Statement::parse(text).unwrap())
        .collect();
    let marks = |run: &str| {
        all.iter()
            .filter(|s| s.id.starts_with(run) && s.mark.is_some())
            .count()
    };
    assert!(marks("1-") > 0 && marks("1-") == marks("2-"));
}

fn trace(name: &str, rows: &[Row]) -> std::path::PathBuf {
    let file = place(name);
    let mut writer = Writer::new(&file).unwrap();
    rows.iter().for_each(|row| writer.row(row).unwrap());
    writer.close().unwrap();
    file
}

fn row(at_ms: f64, key: &str) -> Row {
    Row {
        at_ms,
        workload: "r".to_string(),
        key: key.to_string(),
        patience_ms: 30_000.0,
        ..Row::default()
    }
}

#[test]
fn a_broken_row_sends_nothing_unless_asked_to() {
    let server = Scripted::start(false, |_, _| Turn::Answer).unwrap();
    let file = trace(
        "broken.csv",
        &[row(0.0, "a"), row(9.0, "b"), row(3.0, "c"), row(9.5, "d")],
    );
    let (scenario, setup) = (bare(server.address), Setup::default());
    let fault = replay(&file, Change::default(), false, &scenario, &setup, None)
        .err()
        .unwrap();
    assert!(
        fault.to_string().contains("row 3: goes back in time"),
        "{fault}"
    );
    assert_eq!(server.asked(), 0);
    let (played, survey) = replay(&file, Change::default(), true, &scenario, &setup, None).unwrap();
    assert_eq!((played.summary.statements, survey.broken), (3, 1));
}

#[test]
fn what_can_not_be_replayed_is_told() {
    let scenario = run::bare(([127, 0, 0, 1], 1).into());
    let empty = trace("empty.jsonl", &[]);
    let wrong = |file, change| {
        replay(file, change, false, &scenario, &Setup::default(), None)
            .err()
            .unwrap()
    };
    assert!(matches!(wrong(&empty, Change::default()), Fault::Trace(_)));
    let backwards = Change {
        speed: -1.0,
        ..Change::default()
    };
    assert!(matches!(wrong(&empty, backwards), Fault::Wrong(_)));
}

#[test]
fn copies_write_records_of_their_own() {
    let server = Scripted::start(true, |_, _| Turn::Answer).unwrap();
    let file = trace("copies.jsonl", &[row(0.0, "a"), row(1.0, "b")]);
    let change = Change {
        times: 3,
        speed: 2.0,
        ..Change::default()
    };
    let (played, _) = replay(
        &file,
        change,
        false,
        &bare(server.address),
        &Setup::default(),
        None,
    )
    .unwrap();
    assert_eq!(played.summary.statements, 6);
    let mut keys: Vec<String> = server
        .heard()
        .iter()
        .map(|(_, text)| Statement::parse(text).unwrap().key)
        .collect();
    keys.sort();
    assert_eq!(keys, ["a", "a.1", "a.2", "b", "b.1", "b.2"]);
}
