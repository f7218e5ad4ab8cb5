//! Runs against a scripted server: outcomes by count and order, never by how long something took. Clients wait
//! for half a minute where nothing is to time out.

use super::{of, place, played, scenario};
use crate::attempts::Outcome;
use crate::keep;
use crate::run::{Setup, play};
use crate::scenario::{Follows, Retries, Shape};
use crate::series::each;
use badgerstream_postgres_protocol::comment::Statement;
use badgerstream_store_emulator::scripted::{Scripted, Turn};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use test_case::test_case;

const LONG: f64 = 30_000.0;

#[test_case(Turn::Answer, LONG, Outcome::Completed; "answered")]
#[test_case(Turn::Drip(Duration::from_micros(50)), LONG, Outcome::Completed; "a byte at a time")]
#[test_case(Turn::Leave, LONG, Outcome::Completed; "closed behind each answer")]
#[test_case(Turn::Twice, LONG, Outcome::Completed; "answers out of turn")]
#[test_case(Turn::Reject(None), LONG, Outcome::Rejected; "rejected")]
#[test_case(Turn::Fail, LONG, Outcome::Aborted; "failed")]
#[test_case(Turn::BreakOff, LONG, Outcome::Aborted; "reset half way")]
#[test_case(Turn::Silence, 300.0, Outcome::TimedOut; "never answered")]
fn every_statement_has_the_one_outcome(turn: Turn, patience_ms: f64, outcome: Outcome) {
    let (played, server) = played(scenario(), patience_ms, move |_, _| turn);
    assert_eq!(played.summary.statements, 200);
    // An answer out of turn spoils the connection, and none of the statements. On a slow machine some are late.
    let late = if outcome == Outcome::Completed {
        of(&played, Outcome::Late)
    } else {
        0
    };
    assert_eq!(
        of(&played, outcome) + late,
        200,
        "{:?}",
        played.summary.outcomes()
    );
    assert!(server.asked() >= 200);
}

#[test]
fn nobody_at_home_leaves_all_unsent() {
    let mut scenario = scenario();
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    scenario.target = free.local_addr().unwrap();
    drop(free);
    let played = play(&scenario, &Setup::default(), None).unwrap();
    assert_eq!(of(&played, Outcome::Unsent), 200);
    assert_eq!(played.summary.connections.refused, 200);
}

#[test]
fn a_pause_is_charged_to_all_that_were_due_in_it() {
    let mut scenario = scenario();
    (scenario.connections, scenario.phases[0].for_ms) = (32, 1500.0);
    scenario
        .workloads
        .iter_mut()
        .for_each(|w| w.patience_ms = LONG);
    let pause = Duration::from_millis(600);
    let pausing = || {
        let server = Scripted::start(false, |_, _| Turn::Answer).unwrap();
        let paused = server.clone();
        let thread = std::thread::spawn(move || {
            while paused.asked() < 50 {
                std::thread::sleep(Duration::from_millis(1));
            }
            paused.pause(pause)
        });
        (server, thread)
    };
    let (server, thread) = pausing();
    scenario.target = server.address;
    let folder = place("open");
    let open = play(&scenario, &Setup::default(), Some((&folder, "{}"))).unwrap();
    let (from, until) = thread.join().unwrap();
    assert_eq!(
        (
            open.summary.statements,
            of(&open, Outcome::Completed) + of(&open, Outcome::Late)
        ),
        (300, 300)
    );
    // What each one due within the pause had still to wait, at least; one that was answered as it began is none.
    let (mut due, mut charged) = (0, 0);
    each(&folder, |seen| {
        let at = open.start + Duration::from_secs_f64(seen.at_ms / 1e3);
        if at > from && at < until {
            due += 1;
            charged += u32::from(Duration::from_micros(seen.latency_us + 1000) >= until - at);
        }
    })
    .unwrap();
    assert!(due >= 100 && charged >= due * 9 / 10, "{charged} of {due}");
    let (server, thread) = pausing();
    scenario.target = server.address;
    let closed = play(
        &scenario,
        &Setup {
            closed: Some(1),
            ..Setup::default()
        },
        None,
    )
    .unwrap();
    thread.join().unwrap();
    let slow = closed.latency.count_between(300_000, u64::MAX >> 1);
    assert!(
        slow >= 1 && slow < u64::from(charged) / 4,
        "one client that waits meets the pause once: {slow}"
    );
    assert_eq!(
        (
            open.summary.loop_kind.as_str(),
            closed.summary.loop_kind.as_str()
        ),
        ("open", "closed")
    );
}

#[test]
fn rejections_are_tried_again_with_the_same_mark() {
    let mut scenario = scenario();
    scenario.retries = Retries {
        most: 4,
        base_ms: 1.0,
        most_ms: 2.0,
        told: true,
        ..Retries::default()
    };
    let (played, server) = played(scenario, LONG, |number, _| {
        if number % 2 == 0 {
            Turn::Reject(Some(1))
        } else {
            Turn::Answer
        }
    });
    let attempts: u64 = played.summary.workloads.iter().map(|w| w.attempts).sum();
    assert_eq!((played.summary.statements, attempts), (200, server.asked()));
    assert!(of(&played, Outcome::Completed) > 150 && of(&played, Outcome::Aborted) == 0);
    // No mark was answered twice, and no id came twice.
    let (mut ids, mut marks) = (BTreeSet::new(), BTreeMap::<String, u32>::new());
    for (_, text) in server.heard() {
        let read = Statement::parse(&text).unwrap();
        assert!(ids.insert(read.id.clone()), "{} came twice", read.id);
        *marks.entry(read.mark.unwrap_or_default()).or_default() += 1;
    }
    assert!(
        marks.len() > 30
            && marks
                .iter()
                .any(|(mark, times)| !mark.is_empty() && *times > 1)
    );
}

#[test]
fn what_breaks_within_its_answer_is_never_sent_again() {
    let mut scenario = scenario();
    scenario.connections = 1;
    let (played, server) = played(scenario, LONG, |number, _| {
        if number % 10 == 5 {
            Turn::BreakOff
        } else {
            Turn::Answer
        }
    });
    // Broken within its answer, it may have run: those are never sent again.
    assert_eq!((of(&played, Outcome::Aborted), server.asked()), (20, 200));
    let connections = played.summary.connections;
    assert!(
        connections.most_open == 1 && connections.opened >= 20,
        "{connections:?}"
    );
}

#[test]
fn sessions_are_shown_their_writes_or_it_is_told() {
    let sessions = |script: fn(u64, &str) -> Turn| {
        let mut scenario = scenario();
        let mut reader = scenario.workloads[0].clone();
        (reader.name, reader.share) = ("again".to_string(), 0.0);
        reader.follows = Some(Follows {
            of: "write".to_string(),
            chance: 1.0,
            times: 1,
            think_ms: 200.0,
            check: true,
        });
        scenario.workloads[0].share = 1e-9;
        scenario.workloads.push(reader);
        // One writer at a time: the scripted server keeps a single value.
        scenario.phases[0].shape = Shape::Constant { per_s: 20.0 };
        played(scenario, LONG, script)
    };
    let (played, server) = sessions(|_, _| Turn::Answer);
    let again = &played.summary.workloads[2];
    assert!(again.statements == 20 && again.stale <= 20);
    let carried = server
        .heard()
        .iter()
        .filter(|(_, text)| text.contains("after=1767225600123"))
        .count();
    assert_eq!(carried, 20, "the position of the write's answer is carried");
    // The server shows the last value of anybody: who is overtaken by another's write must see that as stale.
    let mut last = String::new();
    let mut stale = 0;
    for (_, text) in server.heard() {
        let read = Statement::parse(&text).unwrap();
        if read.writes {
            last = read.key;
        } else {
            stale += u64::from(read.key != last);
        }
    }
    assert_eq!(again.stale, stale);
    assert!(stale > 0);
}

#[test]
fn connections_are_held_as_told() {
    let mut scenario = scenario();
    scenario.holding.uses = Some(10);
    let (played, _) = played(scenario, LONG, |_, _| Turn::Answer);
    assert!(played.summary.connections.opened >= 20);
    assert_eq!(
        of(&played, Outcome::Completed) + of(&played, Outcome::Late),
        200
    );
}

#[test]
fn threads_together_send_all_of_it_once() {
    let mut scenario = scenario();
    (scenario.threads, scenario.connections) = (3, 7);
    let (played, server) = played(scenario, LONG, |_, _| Turn::Answer);
    let ids: BTreeSet<String> = server
        .heard()
        .iter()
        .map(|(_, text)| Statement::parse(text).unwrap().id)
        .collect();
    assert_eq!(
        (played.summary.statements, ids.len(), server.asked()),
        (200, 200, 200)
    );
    assert!(server.most_open() <= 7);
}

#[test]
fn an_interrupted_run_keeps_what_was_measured() {
    let mut scenario = scenario();
    scenario.phases[0].for_ms = 600_000.0;
    let server = Scripted::start(false, |number, _| {
        if number < 20 {
            Turn::Answer
        } else {
            Turn::Silence
        }
    })
    .unwrap();
    scenario.target = server.address;
    scenario
        .workloads
        .iter_mut()
        .for_each(|w| w.patience_ms = LONG);
    let (setup, folder) = (Setup::default(), place("interrupted"));
    let stop = setup.stop.clone();
    let begun = Instant::now();
    let played = std::thread::scope(|scope| {
        scope.spawn(|| {
            while server.asked() < 40 {
                std::thread::sleep(Duration::from_millis(1));
            }
            stop.store(2, Ordering::Relaxed);
        });
        play(&scenario, &setup, Some((&folder, "{}"))).unwrap()
    });
    assert!(begun.elapsed() < Duration::from_secs(300));
    let summary = keep::summary(&folder).unwrap();
    let mut kept = 0;
    each(&folder, |_| kept += 1).unwrap();
    assert!(summary.interrupted && kept == summary.statements && kept >= 40);
    // What was open is given up, and said to be so: it was sent.
    assert_eq!(
        of(&played, Outcome::Completed) + of(&played, Outcome::Late),
        20
    );
    assert_eq!(
        of(&played, Outcome::TimedOut) + of(&played, Outcome::Unsent),
        kept - 20
    );
}

#[test]
fn a_folder_is_never_overwritten() {
    let folder = place("taken");
    let scenario = scenario();
    play(&scenario, &Setup::default(), Some((&folder, "{}"))).unwrap();
    let again = play(&scenario, &Setup::default(), Some((&folder, "{}")))
        .err()
        .unwrap();
    assert!(again.to_string().contains("holds a run already"), "{again}");
}
