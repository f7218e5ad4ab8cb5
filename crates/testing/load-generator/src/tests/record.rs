//! The recorder: everything passes, and what can be read is in the trace.

use super::{place, scenario};
use crate::record::record;
use crate::run::{Setup, play, replay};
use crate::scenario::Retries;
use crate::trace::{Change, Row, open};
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_store_emulator::scripted::{Scripted, Turn};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU8, Ordering};

#[test]
fn what_passes_is_written_down_and_can_be_replayed() {
    let server = Scripted::start(true, |number, _| {
        if number % 5 == 0 {
            Turn::Reject(None)
        } else {
            Turn::Answer
        }
    });
    let server = server.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (file, stop) = (place("recorded.parquet"), AtomicU8::new(0));
    let mut scenario = scenario();
    scenario.target = listener.local_addr().unwrap();
    scenario.retries = Retries {
        most: 5,
        base_ms: 1.0,
        told: true,
        ..Retries::default()
    };
    let (played, recorded) = std::thread::scope(|scope| {
        let recording = scope.spawn(|| record(&listener, server.address, &file, &stop).unwrap());
        let played = play(&scenario, &Setup::default(), None).unwrap();
        stop.store(1, Ordering::Relaxed);
        (played, recording.join().unwrap())
    });
    let attempts: u64 = played.summary.workloads.iter().map(|w| w.attempts).sum();
    assert_eq!(
        (recorded.rows, recorded.unreadable, server.asked()),
        (attempts, 0, attempts)
    );
    assert_eq!(recorded.retries, attempts - 200);
    let rows: Vec<Row> = open(&file).unwrap().collect::<Result<_, _>>().unwrap();
    let mut heard: Vec<_> = server
        .heard()
        .iter()
        .map(|(_, text)| Statement::parse(text).unwrap())
        .map(|s| {
            (
                s.key.clone(),
                s.workload.clone(),
                s.group,
                s.writes,
                s.mark.is_some(),
            )
        })
        .collect();
    let mut written: Vec<_> = rows
        .iter()
        .map(|r| {
            (
                r.key.clone(),
                r.workload.clone(),
                r.group,
                r.writes,
                r.marked,
            )
        })
        .collect();
    heard.sort();
    written.sort();
    assert_eq!(heard, written);
    assert!(
        rows.iter().all(|row| row.writes == (row.bytes == 64)),
        "the sizes of values are kept"
    );
    // The replay makes its own further attempts.
    scenario.target = server.address;
    let (again, _) = replay(
        &file,
        Change {
            speed: 4.0,
            ..Change::default()
        },
        false,
        &scenario,
        &Setup::default(),
        None,
    )
    .unwrap();
    assert_eq!(again.summary.statements, 200);
}
