//! Scripts: what is wrong is told with its place, and lots are drawn once.

use crate::script::{Act, Ends, Script};
use test_case::test_case;

const GOOD: &str = "{routers: 10, calm_ms: 1000, for_ms: 5000, steps: [
    {at_ms: 1000, do: {kill: {share: 0.7}}}, {at_ms: 1200, within_ms: 100, do: {start: 'down'}},
    {at_ms: 1500, do: {stop: {these: [1, 2]}}}, {at_ms: 1800, do: {continue: 'same'}},
    {at_ms: 2000, do: {links: {of: 'nodes', routers: {these: [0]}, nodes: {these: [3]}, way: 'back',
                               fault: {delay_ms: 50}, for_ms: 500}}}]}";

#[test]
fn lots_are_drawn_from_the_seed() {
    let script = Script::read(GOOD).unwrap();
    let plan = script.draw(1);
    assert_eq!(plan, script.draw(1));
    let killed: Vec<_> = plan
        .iter()
        .filter(|(_, act)| matches!(act, Act::Kill(_)))
        .collect();
    assert_eq!(killed.len(), 7);
    let started: Vec<_> = plan
        .iter()
        .filter(|(_, act)| matches!(act, Act::Start(_)))
        .collect();
    assert_eq!(started.len(), 7, "those that are down");
    assert!(started.iter().all(|(at, _)| (1200..=1300).contains(at)));
    let went_on: Vec<_> = plan
        .iter()
        .filter(|(_, act)| matches!(act, Act::Continue(_)))
        .collect();
    assert_eq!(went_on.len(), 2, "the same that were stopped");
    let links: Vec<_> = plan
        .iter()
        .filter(|(_, act)| matches!(act, Act::Links { .. }))
        .collect();
    assert!(
        matches!(&links[0].1, Act::Links { of: Ends::Nodes, pairs, fault: Some(_), .. } if *pairs == [(0, 3)])
    );
    assert!(
        matches!(links[1], (2500, Act::Links { fault: None, .. })),
        "healed"
    );
}

#[test]
fn who_is_not_up_at_first_is_down() {
    let text = "{routers: 6, up: 2, calm_ms: 1000, for_ms: 5000, steps: [{at_ms: 2000, do: {start: 'down'}}]}";
    let plan = Script::read(text).unwrap().draw(1);
    let started: Vec<_> = plan.iter().map(|(_, act)| act.clone()).collect();
    assert_eq!(started, (2..6).map(Act::Start).collect::<Vec<_>>());
}

#[test_case("routers: 10", "routers: 0", "line 1, column 2: routers is no number"; "no router")]
#[test_case("routers: 10", "routers: 10, up: 11", "up is no number from 1"; "more at first than there are")]
#[test_case("routers: 10", "routers: 10, told: 0", "told is no number"; "told of nobody")]
#[test_case("calm_ms: 1000", "calm_ms: 9000", "calm_ms is under 500, or nothing is left"; "no time behind the calm")]
#[test_case("at_ms: 1000, do", "at_ms: 10, do", "steps number 1: 10 ms is no moment"; "within the calm")]
#[test_case("share: 0.7", "share: 1.7", "steps number 1: names a router"; "more than all")]
#[test_case("these: [1, 2]", "these: [1, 12]", "steps number 3: names a router"; "a router that is not there")]
#[test_case("nodes: {these: [3]}", "nodes: {these: [33]}", "steps number 5: names a router"; "a node that is not there")]
#[test_case("'back'", "'forth'", "unknown variant"; "no such way")]
#[test_case("steps:", "stops:", "unknown field"; "a slip")]
#[test_case("routers: 10,", "routers: 10,,", "line 1"; "no JSON5")]
fn what_is_wrong_has_a_place(good: &str, bad: &str, told: &str) {
    let text = GOOD.replacen(good, bad, 1);
    assert_ne!(text, GOOD);
    let fault = Script::read(&text).expect_err("it is wrong").to_string();
    assert!(
        fault.contains(told) && fault.starts_with("line "),
        "{fault}"
    );
}
