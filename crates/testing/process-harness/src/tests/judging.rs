//! The judge finds each breach, tells one statement's way, and blames nobody for what a fault explains.

use crate::clients::{Asked, Heard, Outcome};
use crate::judge::{Verdict, judge};
use crate::play::{Deed, Evidence, What};
use crate::relay::Route;
use crate::script::Script;
use crate::store::{Arrived, Effect, Kind, Seen};
use test_case::test_case;

const START: u64 = 1_000_000_000;
const MS: u64 = 1000;

/// One completed marked write by router 0 at node 0, and nothing wrong.
fn evidence() -> Evidence {
    let script =
        "{routers: 2, calm_ms: 1000, for_ms: 9000, steps: [], store: {groups: 1, members: 3}}";
    let asked = Asked {
        number: 7,
        front: 0,
        workload: 2,
        group: 0,
        key: "k1".into(),
        marked: true,
        writes: true,
        due_us: START + 100 * MS,
        sent_us: Some(START + 101 * MS),
        asked_us: Some(START + 101 * MS),
        first_us: Some(START + 110 * MS),
        ended_us: START + 110 * MS,
        deadline_us: START + 2100 * MS,
        outcome: Outcome::Completed,
        attempts: 1,
        stale: false,
    };
    let id = asked.id();
    let route = Route {
        front: 0,
        router: 0,
        from_us: START,
        to_us: START + 9000 * MS,
    };
    let effect = Effect {
        group: 0,
        mark: Some(asked.mark()),
        statement: id.clone(),
        key: "k1".into(),
    };
    Evidence {
        script: Script::read(script).unwrap(),
        seed: 1,
        heard: Heard {
            start_us: START,
            asked: vec![asked],
        },
        seen: Seen {
            arrivals: vec![arrived(105, 0, &id)],
            effects: vec![effect],
            ..Seen::default()
        },
        routes: vec![route],
        deeds: Vec::new(),
        crashed: Vec::new(),
        hung: Vec::new(),
        stood_still_ms: 0,
        run_delay_ms: 0,
    }
}

fn arrived(at_ms: u64, node: usize, id: &str) -> Arrived {
    let at_us = START + at_ms * MS;
    Arrived {
        at_us,
        node,
        router: Some(0),
        held: 1,
        kind: Kind::Statement,
        id: id.to_string(),
    }
}

fn deed(at_ms: u64, what: What) -> Deed {
    Deed {
        at_us: START + at_ms * MS,
        what,
        router: Some(0),
        told: String::new(),
    }
}

fn silence(evidence: &mut Evidence) {
    let asked = &mut evidence.heard.asked[0];
    (asked.outcome, asked.first_us, asked.ended_us) = (Outcome::TimedOut, None, asked.deadline_us);
}

/// Its router is on its way out, and its connection ended 2 ms behind its send, without an answer.
fn crosses(evidence: &mut Evidence) {
    let asked = &mut evidence.heard.asked[0];
    (asked.outcome, asked.first_us, asked.ended_us) = (Outcome::Aborted, None, START + 103 * MS);
    evidence.routes[0].to_us = START + 103 * MS;
    evidence.deeds = vec![Deed {
        at_us: START - 350 * MS,
        ..deed(0, What::Ended)
    }];
    (evidence.seen.arrivals, evidence.seen.effects) = (Vec::new(), Vec::new());
}

fn told(evidence: &mut Evidence) {
    evidence.seen.told.push((START + 50 * MS, 0, vec![1]));
}

fn rules(verdict: &Verdict) -> Vec<&'static str> {
    verdict.broken.iter().map(|broken| broken.rule).collect()
}

#[test_case(|_| {}, &[]; "all is well")]
#[test_case(silence, &["one final answer, in time"]; "no answer")]
#[test_case(|e| { silence(e); e.deeds = vec![deed(150, What::Killed), deed(900, What::Admitted)]; }, &[]; "its router was killed under it")]
#[test_case(|e| { silence(e); e.deeds = vec![deed(10, What::Killed), deed(50, What::Admitted)]; }, &["one final answer, in time"]; "its router was back before")]
#[test_case(|e| { silence(e); e.deeds = vec![deed(150, What::Stopped), deed(900, What::Continued)]; }, &[]; "its router stood still")]
#[test_case(|e| { silence(e); e.deeds = vec![deed(150, What::Killed)]; e.deeds[0].router = Some(1); }, &["one final answer, in time"]; "another one was killed")]
#[test_case(crosses, &[]; "it crossed the close of an idle connection")]
#[test_case(|e| { crosses(e); e.seen.arrivals = vec![arrived(102, 0, "1-7")]; }, &["one final answer, in time"]; "its router took it and went")]
#[test_case(|e| { crosses(e); e.deeds[0].at_us = START; }, &["one final answer, in time"]; "no router closes what is idle so early")]
#[test_case(|e| e.crashed.push(1), &["no router crashes"]; "it ended by itself")]
#[test_case(|e| e.hung.push(1), &["no router crashes"]; "it did not end")]
#[test_case(|e| { let again = e.seen.effects[0].clone(); e.seen.effects.push(again); }, &["no effect twice"]; "twice")]
#[test_case(|e| { let mut again = e.seen.effects[0].clone(); again.statement += "-2"; e.seen.effects.push(again); }, &["no effect twice"]; "twice, by its client's second attempt")]
#[test_case(|e| e.seen.effects.clear(), &["answers are true"]; "completed and not there")]
#[test_case(|e| e.heard.asked[0].outcome = Outcome::Rejected, &["answers are true"]; "rejected and there")]
#[test_case(|e| { e.heard.asked[0].outcome = Outcome::Aborted; e.seen.effects.clear(); }, &[]; "aborted tells nothing")]
#[test_case(|e| { told(e); e.seen.arrivals.push(arrived(300, 1, "1-9")); }, &[]; "within the grace")]
#[test_case(|e| { told(e); e.seen.arrivals.push(arrived(900, 1, "1-9")); }, &["drains' grace"]; "behind it")]
#[test_case(|e| { told(e); e.seen.told.push((START + 400 * MS, 0, vec![])); e.seen.arrivals.push(arrived(900, 1, "1-9")); }, &[]; "back in service")]
#[test_case(|e| { told(e); e.seen.arrivals.push(arrived(900, 2, "1-9")); }, &[]; "another node")]
#[test_case(|e| { told(e); e.deeds = vec![deed(40, What::Faulted)]; e.deeds[0].told = "Lists [0]".into(); e.seen.arrivals.push(arrived(900, 1, "1-9")); }, &[]; "the list did not arrive")]
#[test_case(|e| { told(e); e.deeds = vec![deed(800, What::Started)]; e.seen.arrivals.push(arrived(1500, 1, "1-9")); }, &["drains' grace"]; "its start list says so")]
#[test_case(|e| { e.seen.born = vec![(2, START)]; e.seen.arrivals = (0..900).map(|i| arrived(i / 2, 2, "1-7")).collect(); }, &["no cold node pushed over"]; "too much for a cold node")]
#[test_case(|e| { e.seen.born = vec![(2, START)]; e.seen.arrivals = (0..300).map(|i| arrived(i * 3, 2, "1-7")).collect(); }, &[]; "what it bears")]
#[test_case(|e| e.heard.asked[0].stale = true, &["no stale read"]; "stale")]
fn the_judge_finds(spoil: fn(&mut Evidence), broken: &[&str]) {
    let mut evidence = evidence();
    spoil(&mut evidence);
    let verdict = judge(&evidence);
    assert_eq!(rules(&verdict), broken, "{:?}", verdict.broken);
}

#[test]
fn a_breach_tells_one_way_through_all_processes() {
    let mut evidence = evidence();
    silence(&mut evidence);
    evidence.deeds.push(Deed {
        what: What::Store,
        router: None,
        told: "drain".into(),
        ..deed(60, What::Store)
    });
    let way = judge(&evidence).broken[0].way.join("\n");
    for part in [
        "episode-write 1-7 is due",
        "a connection to router 0",
        "node 0: 1-7 from router 0",
        "drain",
        "TimedOut",
        "ledger",
    ] {
        assert!(way.contains(part), "{part} is missing: {way}");
    }
}

/// Completed writes, one every 10 ms, but none within these milliseconds.
fn stream(hole: std::ops::Range<u64>) -> Evidence {
    let mut evidence = evidence();
    let one = evidence.heard.asked.remove(0);
    evidence.heard.asked = (0..900)
        .map(|i| {
            let due_us = START + i * 10 * MS;
            let outcome = if hole.contains(&(i * 10)) {
                Outcome::Rejected
            } else {
                Outcome::Completed
            };
            Asked {
                number: i,
                due_us,
                outcome,
                ..one.clone()
            }
        })
        .collect();
    evidence
}

#[test_case(2000..3500, Some(1400.0); "served again 1.5 s behind the start")]
#[test_case(2000..2000, Some(0.0); "nothing was missed")]
#[test_case(2000..7000, None; "too late to be seen for 3 s")]
fn full_service_is_a_second_from_which_on_it_holds(hole: std::ops::Range<u64>, took: Option<f64>) {
    let mut evidence = stream(hole);
    evidence.deeds = vec![deed(2000, What::Killed), deed(2000, What::Started)];
    let figures = judge(&evidence).figures;
    let near = |a: f64, b: f64| (a - b).abs() <= 100.0;
    match (figures.full_service_ms, took) {
        (Some(ms), Some(took)) => assert!(near(ms, took), "{ms}"),
        (told, took) => assert_eq!(told, took),
    }
}

#[test]
fn bursts_are_counted_over_any_window() {
    let mut evidence = evidence();
    let opened = |at| Arrived {
        kind: Kind::Opened,
        ..arrived(at, 1, "")
    };
    // Five within 100 ms, across a full hundred; one probe.
    evidence.seen.arrivals = [2050, 2080, 2099, 2110, 2149, 2400].map(opened).to_vec();
    evidence.seen.arrivals.push(Arrived {
        kind: Kind::Probe,
        ..arrived(2500, 1, "")
    });
    evidence.deeds = vec![deed(2000, What::Killed)];
    let figures = judge(&evidence).figures;
    assert_eq!(
        (figures.burst_opened, figures.burst_probes, figures.opened),
        (5, 1, 6)
    );
    assert_eq!(figures.windows[20].opened_most, 3);
}

/// Two fronts, a completed write each every 10 ms; of the second one's only so many in ten.
#[test_case(10, 1.0; "both are served alike")]
#[test_case(5, 0.9; "one has half")]
#[test_case(0, 0.5; "one has nothing")]
fn evenness_is_told_by_what_each_front_was_served(of_ten: u64, index: f64) {
    let mut evidence = stream(0..0);
    evidence.deeds = vec![deed(2000, What::Killed), deed(2000, What::Started)];
    let mut other = evidence.heard.asked.clone();
    for (i, asked) in (0..).zip(&mut other) {
        (asked.front, asked.number) = (1, asked.number + 10_000);
        asked.outcome = if i % 10 < of_ten {
            Outcome::Completed
        } else {
            Outcome::Rejected
        };
    }
    evidence.heard.asked.extend(other);
    evidence.heard.asked.sort_by_key(|asked| asked.due_us);
    let told = judge(&evidence).figures.evenness_least.unwrap();
    assert!((told - index).abs() < 0.01, "{told}");
}
