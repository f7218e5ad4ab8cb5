//! Traces: read in every form, broken rows told, changed without harm to sessions.

use super::place;
use crate::trace::{Broken, Change, Changed, Row, Survey, Writer, open};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn row(at_ms: f64, session: &str) -> Row {
    Row {
        at_ms,
        workload: "read".to_string(),
        key: format!("k{session}"),
        patience_ms: 1500.5,
        session: session.to_string(),
        ..Row::default()
    }
}

fn rows() -> Vec<Row> {
    let write = Row {
        writes: true,
        bytes: 77,
        marked: true,
        group: 3,
        customer: "acme".to_string(),
        ..row(0.0, "a")
    };
    vec![
        write,
        Row {
            own: true,
            ..row(0.1234567, "a")
        },
        row(250.25, ""),
        Row {
            retry: true,
            ..row(250.25, "b")
        },
    ]
}

#[test_case("t.csv")]
#[test_case("t.jsonl")]
#[test_case("t.parquet")]
fn what_is_written_is_read_back(name: &str) {
    let file = place(name);
    let mut writer = Writer::new(&file).unwrap();
    rows().iter().for_each(|row| writer.row(row).unwrap());
    writer.close().unwrap();
    let read: Result<Vec<Row>, Broken> = open(&file).unwrap().collect();
    assert_eq!(read.unwrap(), rows());
    assert!(Writer::new(&file).is_err(), "a trace is never overwritten");
}

#[test_case("t.csv", "at_ms,workload,key,patience_ms\n0,r,k,9\n1,r,,9\n2,r,k,nine\n3,r,k,9\n", 2; "an empty key, and no number, in csv")]
#[test_case("t.csv", "at_ms,workload,key,patience_ms\n5,r,k,9\n1,r,k,9\n6,r,k\n", 2; "back in time, and a column short")]
#[test_case("t.csv", "at_ms,workload,key\n5,r,k\n", 1; "a column that nobody wrote")]
#[test_case("t.jsonl", "{\"at_ms\":0,\"workload\":\"r\",\"key\":\"k\",\"patience_ms\":9}\n{\"at_ms\":1\n\n[]\n", 2; "half a line, and another kind")]
#[test_case("t.jsonl", "{\"at_ms\":0,\"workload\":\"r r\",\"key\":\"k\",\"patience_ms\":9}\n", 1; "letters that no statement carries")]
#[test_case("t.jsonl", "{\"at_ms\":-1,\"workload\":\"r\",\"key\":\"k\",\"patience_ms\":9}\n", 1; "before the start")]
#[test_case("t.jsonl", "{\"at_ms\":0,\"workload\":\"r\",\"key\":\"k\",\"patience_ms\":9,\"bytes\":70000}\n", 1; "too large")]
fn broken_rows_are_told_by_their_number(name: &str, text: &str, broken: u64) {
    let file = place(name);
    std::fs::write(&file, text).unwrap();
    let survey = Survey::of(&file).unwrap();
    assert_eq!(survey.broken, broken, "{survey:?}");
    assert!(
        survey
            .first_broken
            .iter()
            .all(|row| row.starts_with("row ")),
        "{survey:?}"
    );
    let good: u64 = survey.workloads.values().sum();
    assert_eq!(
        survey.rows,
        good + survey.broken,
        "nothing is dropped silently"
    );
}

#[test]
fn what_is_no_trace_is_said_to_be_none() {
    let wrong = |name: &str, text: &str| {
        let file = place(name);
        std::fs::write(&file, text).unwrap();
        open(&file).err().map(|e| e.to_string()).unwrap_or_default()
    };
    assert!(wrong("t.txt", "").contains("ends with .csv"));
    assert!(wrong("t.parquet", "PAR1 and nothing more").contains("t.parquet"));
    assert!(open(&place("missing.csv")).is_err());
}

fn changed(rows: Vec<Row>, change: Change) -> Vec<Row> {
    Changed::new(rows.into_iter(), change).collect()
}

fn trace() -> impl Strategy<Value = Vec<Row>> {
    prop::collection::vec((0u32..2000, 0u8..6, any::<bool>()), 0..60).prop_map(|mut all| {
        all.sort();
        let of = |(at, session, retry): (u32, u8, bool)| {
            // Session 0 is none.
            let session = if session == 0 {
                String::new()
            } else {
                session.to_string()
            };
            Row {
                retry: retry && at % 7 == 0,
                ..row(f64::from(at) / 4.0, &session)
            }
        };
        all.into_iter().map(of).collect()
    })
}

/// The gaps of each session's rows, in their order.
fn sessions(rows: &[Row]) -> BTreeMap<String, Vec<f64>> {
    let mut all: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for row in rows.iter().filter(|row| !row.session.is_empty()) {
        all.entry(row.session.clone()).or_default().push(row.at_ms);
    }
    all
}

proptest! {
    #[test]
    fn copies_are_whole_and_in_order(
        rows in trace(), speed in 0.25f64..8.0, times in 1u32..5, spread_ms in 0.0f64..300.0, seed: u64,
    ) {
        let change = Change { speed, times, spread_ms, seed, ..Change::default() };
        let sent: Vec<Row> = rows.iter().filter(|row| !row.retry).cloned().collect();
        let out = changed(rows, change);
        prop_assert_eq!(out.len(), sent.len() * times as usize);
        prop_assert!(out.iter().map(|row| row.at_ms).is_sorted());
        let (before, after) = (sessions(&sent), sessions(&out));
        prop_assert_eq!(after.len(), before.len() * times as usize);
        for (name, moments) in &after {
            let of = &before[name.split('.').next().unwrap_or_default()];
            prop_assert_eq!(moments.len(), of.len());
            // One shift for the whole session, and all gaps scaled alike.
            for (now, then) in moments.iter().zip(of) {
                prop_assert!((now - moments[0] - (then - of[0]) / speed).abs() < 1e-6);
            }
            prop_assert!((-1e-6..=spread_ms + 1e-6).contains(&(moments[0] - of[0] / speed)));
        }
        let keys: BTreeSet<&String> = out.iter().map(|row| &row.key).collect();
        let old: BTreeSet<&String> = sent.iter().map(|row| &row.key).collect();
        prop_assert_eq!(keys.len(), old.len() * times as usize, "a copy's records are its own");
    }

    #[test]
    fn a_cut_has_sessions_whole_or_not_at_all(rows in trace(), from in 0.0f64..500.0, length in 1.0f64..300.0) {
        let rows: Vec<Row> = rows.into_iter().map(|row| Row { retry: false, ..row }).collect();
        let until = from + length;
        let out = changed(rows.clone(), Change { from_ms: from, until_ms: until, ..Change::default() });
        let (before, after) = (sessions(&rows), sessions(&out));
        for (name, of) in &before {
            let kept = after.get(name).map_or(0, Vec::len);
            let begins_within = (from..until).contains(&of[0]);
            prop_assert_eq!(kept, if begins_within { of.len() } else { 0 }, "{}", name);
        }
        let alone = rows.iter().filter(|row| row.session.is_empty() && (from..until).contains(&row.at_ms)).count();
        prop_assert_eq!(out.iter().filter(|row| row.session.is_empty()).count(), alone);
        prop_assert!(out.iter().all(|row| row.at_ms >= 0.0) && out.iter().map(|row| row.at_ms).is_sorted());
    }
}

#[test]
fn retries_are_left_out_unless_asked_for() {
    assert_eq!(changed(rows(), Change::default()).len(), 3);
    assert_eq!(
        changed(
            rows(),
            Change {
                retries: true,
                ..Change::default()
            }
        )
        .len(),
        4
    );
}

#[test_case(Change { speed: 0.0, ..Change::default() }, "speed")]
#[test_case(Change { from_ms: 5.0, until_ms: 5.0, ..Change::default() }, "cut")]
#[test_case(Change { times: 0, ..Change::default() }, "no copy")]
#[test_case(Change { spread_ms: f64::NAN, ..Change::default() }, "spread")]
fn changes_that_make_no_sense_are_told(change: Change, problem: &str) {
    assert!(change.problem().unwrap().contains(problem));
}
