//! Hard cases of a change of primaries: a real router, as a process, against the emulator. Verdicts go by the
//! store's ledger and by order, never by how long something took.

use badgerstream_experiments::client::{Client, Outcome};
use badgerstream_experiments::router::{Router, Setup, Signal};
use badgerstream_store_emulator::node::Point;
use badgerstream_store_emulator::script::{Plan, Step};
use badgerstream_store_emulator::{Emulator, Shape};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// So long that no verdict hangs on the machine's speed.
const PATIENCE: Duration = Duration::from_secs(30);
const OWN: &str = "{succession: {expected_change_ms: 500, outcomes: true}}";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_badgerstream-experiments"))
}

fn lab(arguments: &[&str]) -> Value {
    let mut command = Command::new(program());
    command
        .args(["primary-changes", "--json", "--rate", "400"])
        .args(arguments);
    let output = command.output().unwrap();
    let said = String::from_utf8(output.stdout).unwrap();
    serde_json::from_str(&said)
        .unwrap_or_else(|_| panic!("{said} {}", String::from_utf8_lossy(&output.stderr)))
}

#[test_case(&["--plan", "kill"]; "killed in the midst of writes")]
#[test_case(&["--plan", "switchover"]; "planned")]
#[test_case(&["--plan", "double"]; "a second change while the first settles")]
#[test_case(&["--plan", "hang"]; "hung or cut off, and back as if it still led")]
#[test_case(&["--plan", "mixed", "--routers", "5"]; "five routers hold for the same groups")]
#[test_case(&["--plan", "kill", "--mark-memory-ms", "100"]; "marks are forgotten sooner than changes end")]
#[test_case(&["--plan", "impatient"]; "clients wait less than a change takes")]
#[test_case(&["--plan", "mixed", "--baseline"]; "each statement by itself")]
fn every_effect_once_and_every_answer_true(arguments: &[&str]) {
    let report = lab(&[arguments, &["--writes", "1200", "--seed", "5"]].concat());
    for figure in [
        "missing",
        "doubled",
        "rejected_and_applied",
        "unanswered",
        "out_of_order",
        "stale",
    ] {
        assert_eq!(report[figure], 0, "{figure}: {report}");
    }
    assert_eq!(report["asked"], 1200, "{report}");
    assert!(
        report["changes"].as_u64() >= Some(2) && report["completed"].as_u64() > Some(300),
        "{report}"
    );
}

#[test_case("kill")]
#[test_case("mixed")]
fn what_an_asynchronous_store_loses_is_told_to_the_last_write(plan: &str) {
    let report = lab(&[
        "--plan",
        plan,
        "--asynchronous",
        "--writes",
        "1200",
        "--seed",
        "5",
    ]);
    assert_eq!(
        (&report["losses_told"], &report["doubled"]),
        (&report["missing"], &Value::from(0)),
        "{report}"
    );
    assert_eq!(
        (&report["stale"], &report["unanswered"]),
        (&Value::from(0), &Value::from(0)),
        "{report}"
    );
}

struct Rig {
    emulator: Arc<Emulator>,
    router: Router,
}

fn rig(name: &str, own: &str, shape: Shape) -> Rig {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let emulator = Emulator::start(shape, &[]).unwrap();
    let setup = Setup {
        folder: &folder,
        program: program(),
        emulator: &emulator,
        routers: 1,
        seed: 3,
        timeout_ms: PATIENCE.as_millis() as u64,
        mark_memory_ms: shape.replication.mark_memory_ms,
        memory_mb: 32,
        descriptors: 256,
        own: Some(own),
    };
    let router = Router::start(&setup, 0).unwrap();
    Rig { emulator, router }
}

fn write(id: &str, class: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('s-{id}', '\\x01') RETURNING v /* id={id},c={class},t=lab,d={},k=m-{id},cluster=0 */",
        PATIENCE.as_millis()
    )
}

impl Rig {
    /// A client of its own asks; its outcome comes with the thread's end.
    fn ask(&self, text: String) -> thread::JoinHandle<Outcome> {
        let router = self.router.address;
        thread::spawn(move || Client::new(router).ask(&text, PATIENCE))
    }

    fn now(&self, id: &str) -> Outcome {
        self.ask(write(id, "episode-write")).join().unwrap()
    }

    fn until(&self, said: &str) {
        let begun = Instant::now();
        while !self.router.said().contains(said) {
            assert!(
                begun.elapsed() < PATIENCE,
                "{said:?} was not said: {}",
                self.router.said()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn effects(&self) -> Vec<String> {
        self.emulator
            .ledger(0)
            .effects
            .iter()
            .filter_map(|entry| entry.mark.clone())
            .collect()
    }

    /// The primary dies at this point of the next write, and the router knows that it is gone.
    fn dies(&self, point: Point, id: &str, class: &str) -> thread::JoinHandle<Outcome> {
        self.emulator.step(0, Step::Arm(point));
        let asked = self.ask(write(id, class));
        self.until("Suspected");
        asked
    }
}

fn completed(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Completed(Some(_)))
}

#[test_case(Point::Before, "episode-write", true; "before it ran")]
#[test_case(Point::During, "episode-write", true; "before it was replicated")]
#[test_case(Point::After, "episode-write", true; "before it was answered")]
#[test_case(Point::After, "one-off", false; "one that must not be repeated")]
fn a_primary_dies_under_a_write(point: Point, class: &str, answered: bool) {
    let rig = rig(&format!("dies-{point:?}-{class}"), OWN, Shape::default());
    assert!(completed(&rig.now("a")));
    let asked = rig.dies(point, "b", class);
    assert!(rig.emulator.promote(0, None));
    let outcome = asked.join().unwrap();
    if answered {
        assert!(completed(&outcome), "{outcome:?}");
        assert_eq!(rig.effects(), ["m-a", "m-b"]);
    } else {
        // Its outcome was asked for by its mark, as this store offers that: the row is the one it made.
        assert!(
            completed(&outcome) || matches!(outcome, Outcome::Aborted(_)),
            "{outcome:?}"
        );
        assert_eq!(
            rig.effects().iter().filter(|mark| *mark == "m-b").count(),
            1
        );
    }
}

#[test]
fn what_is_held_is_finished_after_sigterm() {
    let mut rig = rig("sigterm", OWN, Shape::default());
    assert!(completed(&rig.now("a")));
    let asked = rig.dies(Point::Before, "b", "episode-write");
    rig.router.send(Signal::TERM);
    rig.until("asked to end");
    assert!(rig.emulator.promote(0, None));
    assert!(completed(&asked.join().unwrap()));
    assert!(rig.router.end(PATIENCE), "it ends in order");
}

#[test]
fn a_full_hold_rejects_with_advice_and_a_client_that_leaves_makes_room() {
    let own = "{succession: {expected_change_ms: 500, hold: {statements: 1, bytes: 4096}, hold_group: {statements: 1, bytes: 4096}}}";
    let rig = rig("full", own, Shape::default());
    assert!(completed(&rig.now("a")));
    let asked = rig.dies(Point::Before, "b", "episode-write");
    let refused = rig.now("c");
    assert!(
        matches!(refused, Outcome::Rejected(Some(ms)) if ms > 0),
        "{refused:?}"
    );
    assert!(rig.emulator.promote(0, None));
    assert!(completed(&asked.join().unwrap()));
    assert_eq!(rig.effects(), ["m-a", "m-b"]);
}

#[test]
fn a_list_that_names_the_wrong_one_deposes_nobody() {
    let rig = rig(
        "list",
        OWN,
        Shape {
            late_ms: 60_000,
            ..Shape::default()
        },
    );
    assert!(completed(&rig.now("a")));
    // The list goes on naming the dead one, and was never right about the next.
    let asked = rig.dies(Point::After, "b", "episode-write");
    assert!(rig.emulator.promote(0, Some(2)));
    assert!(completed(&asked.join().unwrap()) && completed(&rig.now("c")));
    assert_eq!(rig.effects(), ["m-a", "m-b", "m-c"]);
}

#[test]
fn settings_are_read_again_at_sighup() {
    let rig = rig("reload", OWN, Shape::default());
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reload/router-0-settings.json5");
    std::fs::write(&file, "{succession: {hold: 5}}").unwrap();
    rig.router.send(Signal::HUP);
    rig.until("line 1, column");
    std::fs::write(&file, "{}").unwrap();
    rig.router.send(Signal::HUP);
    rig.until("the file was read again");
    assert!(completed(&rig.now("a")));
}

#[test]
fn plans_have_names() {
    assert_eq!("kill".parse::<Plan>(), Ok(Plan::Kill));
    assert!("fire".parse::<Plan>().is_err());
}
