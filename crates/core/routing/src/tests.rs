//! Each test sets up just the state it needs, then calls one function.

use crate::state::{Execution, Node};
use crate::*;
use test_case::test_case;

mod fleet_sharing;
mod further;
mod pieces;
mod succession;

/// Clock reading at which tests begin, and the group that they use.
const T: f64 = 1000.0;
const G: u16 = 0;
const A: u32 = 11;
const B: u32 = 12;
const C: u32 = 13;

const WRITE: usize = 0;
const OWN: usize = 1;
const RECENT: usize = 2;
const LOOSE: usize = 3;
const LATEST: usize = 4;
const ONCE: usize = 5;

#[derive(Default)]
struct Seen(Vec<String>);

impl Outbox for Seen {
    fn execute(&mut self, stmt: u32, node: u32, _limit: f64) {
        self.0.push(format!("execute {stmt} {node}"));
    }
    fn inquire(&mut self, stmt: u32, node: u32, _limit: f64) {
        self.0.push(format!("inquire {stmt} {node}"));
    }
    fn cancel(&mut self, stmt: u32, execution: u8) {
        self.0.push(format!("cancel {stmt} {execution}"));
    }
    fn reject(&mut self, stmt: u32, _retry_after: f64) {
        self.0.push(format!("reject {stmt}"));
    }
    fn abort(&mut self, stmt: u32) {
        self.0.push(format!("abort {stmt}"));
    }
    fn probe(&mut self, node: u32) {
        self.0.push(format!("probe {node}"));
    }
    fn wake(&mut self, _after: f64) {}
    fn log(&mut self, _line: &str) {}
}

fn workload(currency: Currency, repeat: Repeat, importance: f64) -> Workload {
    Workload {
        slo: 0.4,
        slo_stretch: 0.0,
        timeout: 2.0,
        importance,
        late_worth: 0.2,
        repeat,
        currency,
    }
}

/// One group: A the primary, B and C replicas that stand at the present; nothing checked by the nodes.
fn router(checked: bool) -> Instance {
    let within = Repeat::Deduplicated {
        within: Within::Group,
        memory: 1.2,
    };
    let workloads = vec![
        workload(Currency::Primary, within, 6.0),
        workload(Currency::OwnWrites, Repeat::Idempotent, 1.0),
        workload(Currency::Recent { bound: 0.5 }, Repeat::Idempotent, 3.0),
        workload(Currency::Loose, Repeat::Idempotent, 1.0),
        workload(Currency::Latest, Repeat::Idempotent, 1.0),
        workload(Currency::Primary, Repeat::NonIdempotent, 6.0),
    ];
    let fairness = Fairness {
        whole: 1.0,
        worst_workload: 0.0,
        worst_customer: 0.0,
    };
    let replication = Replication {
        checked,
        carried: true,
    };
    let cold = ColdStart {
        share: 0.2,
        lasts: 10.0,
        factor: 2.0,
        window: 1.0,
    };
    let drain = Drain {
        grace: 0.5,
        only_draining: false,
    };
    let allowance = Allowance {
        executions: 8,
        second_copies: true,
        cancelling: true,
        probes: true,
        probe_price: 0.03,
        retry_after: 1.0,
        step: 0.005,
    };
    let quotas = vec![Quota {
        per_s: 10.0,
        beyond: 0.2,
    }];
    let mut router = Instance::new(
        7,
        2,
        workloads,
        quotas,
        fairness,
        replication,
        cold,
        drain,
        allowance,
    );
    router.listing();
    for id in [A, B, C] {
        router.member(T, id, (G, 0), Standing::Ready, 0.0, id == A);
        let node = router.nodes.get_mut(&id).unwrap();
        (node.lsn, node.heard, node.pace) = (T, T, 0.1);
        node.denied = if id == A { node.denied } else { T };
    }
    router.listed(T, true);
    router.nodes.get_mut(&A).unwrap().claimed = T;
    let group = router.groups.get_mut(&G).unwrap();
    (group.primary, group.members, group.rotation) = (Some(A), vec![A, B, C], Rotation::default());
    router
}

fn take(router: &mut Instance, now: f64, stmt: u32, workload: usize, session: u64, age: f64) {
    router.arrived(now, stmt, workload, G, session, 9, 0.0, now + 2.0, age);
}

fn settle(router: &mut Instance, now: f64) -> Vec<String> {
    let mut seen = Seen::default();
    router.settle(now, &mut seen);
    seen.0.retain(|line| !line.starts_with("probe"));
    seen.0
}

fn push(router: &mut Instance, execution: Execution) {
    router
        .statements
        .get_mut(&1)
        .unwrap()
        .executions
        .push(execution);
}

fn sent(node: u32, at: f64, ended: Option<Ending>) -> Execution {
    Execution {
        ended,
        ..Execution::new(node, at)
    }
}

#[test_case(WRITE, 0, 0.0, A; "a write goes to the primary")]
#[test_case(LATEST, 0, 0.0, A; "a fresh read goes to the primary")]
#[test_case(OWN, 5, 0.3, A; "a young carried age counts as a mark")]
#[test_case(OWN, 5, 3.5, B; "an old write is on the replicas known past it")]
#[test_case(OWN, 5, 0.0, B; "an unmarked session that owes nothing rotates")]
#[test_case(RECENT, 0, 0.0, B; "a bounded read rotates")]
#[test_case(LOOSE, 0, 0.0, B; "a read of any age rotates")]
fn steps(workload: usize, session: u64, age: f64, expected: u32) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, session, age);
    assert_eq!(router.choose(1, T), Some(expected));
}

#[test]
fn the_counter_wraps_over_replicas() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let order: Vec<_> = (0..4).map(|_| router.choose(1, T).unwrap()).collect();
    assert_eq!(order, [B, C, B, C]);
}

#[test_case(2.9, A; "within three seconds")]
#[test_case(3.1, B; "after three seconds")]
fn a_send_to_the_primary_marks_the_session(later: f64, expected: u32) {
    let mut router = router(true);
    router.sessions.insert(5, (Mark::at(T), T - 9.0));
    for id in [B, C] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.lsn, node.heard) = (T + later, T + later);
    }
    take(&mut router, T + later, 1, OWN, 5, 0.0);
    assert_eq!(router.choose(1, T + later), Some(expected));
}

#[test_case(T, Some(B); "known past the write")]
#[test_case(T - 0.4, None; "not known past the write: it waits")]
fn a_marked_read_leaves_a_full_primary_for_a_replica(known: f64, expected: Option<u32>) {
    let mut router = router(false);
    let primary = router.nodes.get_mut(&A).unwrap();
    primary.out = primary.room as usize;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().lsn = known;
    }
    take(&mut router, T, 1, OWN, 5, 0.3);
    assert_eq!(router.choose(1, T), expected);
}

#[test_case(false, T - 0.6, false; "too old without checks")]
#[test_case(false, T - 0.4, true; "inside the bound")]
#[test_case(true, T - 0.1, true; "a likely position where nodes check")]
fn no_read_staler_than_its_bound(checked: bool, lsn: f64, expected: bool) {
    let mut router = router(checked);
    router.nodes.get_mut(&B).unwrap().lsn = lsn;
    take(&mut router, T, 1, RECENT, 0, 0.0);
    assert_eq!(router.current(&router.statements[&1], B, T), expected);
}

#[test]
fn a_deposed_primary_answers_no_fresh_read() {
    let mut router = router(false);
    take(&mut router, T + 1.0, 1, LATEST, 0, 0.0);
    router.nodes.get_mut(&A).unwrap().denied = T + 0.5;
    assert!(!router.current(&router.statements[&1], A, T + 1.0));
}

#[test_case(T - 0.5, Some(A); "an older claim in a late report")]
#[test_case(T + 0.5, Some(B); "a younger claim")]
#[test_case(T + 9.0, Some(A); "a claim from the future is a broken report")]
fn of_two_that_claim_the_role_the_later_leads(claim: f64, expected: Option<u32>) {
    let mut router = router(false);
    router.nodes.get_mut(&B).unwrap().denied = T - 2.0;
    router.reported(T + 1.0, B, Some(true), claim);
    settle(&mut router, T + 1.0);
    assert_eq!(router.groups[&G].primary, expected);
}

#[test]
fn a_miss_moves_a_write_on_and_one_round_is_enough_for_all() {
    let mut router = router(false);
    for id in [A, B, C] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.claimed, node.denied) = (f64::NEG_INFINITY, if id == C { T - 1.0 } else { T });
    }
    take(&mut router, T, 1, ONCE, 0, 0.0);
    take(&mut router, T, 2, ONCE, 0, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 1 13", "execute 2 13"]);
    for stmt in [1, 2] {
        let none = f64::NEG_INFINITY;
        router.executed(
            T,
            stmt,
            0,
            C,
            Ending::Missed,
            0.001,
            false,
            Some(Role::Replica),
            none,
        );
    }
    assert!(settle(&mut router, T).is_empty(), "held after the round");
    assert!(
        !settle(&mut router, T + 0.11).is_empty(),
        "tried again after the hold"
    );
}

/// Found on reading: held writes sat out their hold although the new primary was known.
#[test]
fn a_claim_releases_held_writes() {
    let mut router = router(false);
    router.nodes.get_mut(&A).unwrap().denied = T + 0.1;
    settle(&mut router, T + 0.1);
    [A, B, C]
        .iter()
        .for_each(|id| router.nodes.get_mut(id).unwrap().denied = T + 0.1);
    take(&mut router, T + 0.1, 1, ONCE, 0, 0.0);
    assert!(settle(&mut router, T + 0.1).is_empty());
    router.reported(T + 0.15, B, Some(true), T + 0.14);
    assert_eq!(settle(&mut router, T + 0.15), ["execute 1 12"]);
}

#[test_case(0.1, 1, false; "one answer owed for a moment")]
#[test_case(0.5, 3, true; "many answers owed")]
fn silence(waited: f64, out: usize, expected: bool) {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.out, node.awaited_until) = (out, T);
    settle(&mut router, T + waited);
    assert_eq!(router.nodes[&B].suspected.is_some(), expected);
}

/// Found on a day of thousands of statements a second, answered in 2 ms: whenever the router got no processor for
/// some milliseconds, all nodes became suspects at once.
#[test_case(0.03, false; "for less than a node takes to show itself")]
#[test_case(0.5, true; "for long")]
fn a_router_that_stood_still_blames_nobody(still: f64, expected: bool) {
    let mut router = router(false);
    for node in router.nodes.values_mut() {
        (node.out, node.awaited_until, node.pace, node.heard) = (8, T, 0.002, T);
    }
    settle(&mut router, T + still);
    assert_eq!(router.nodes[&B].suspected.is_some(), expected);
}

/// Found on a standard day: a slow execution made all that were sent after it look overdue.
#[test]
fn what_was_just_sent_is_not_owed_since_the_last_answer() {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.out, node.awaited_until) = (1, T);
    for stmt in 1..4 {
        take(&mut router, T + 0.5, stmt, LOOSE, 0, 0.0);
    }
    settle(&mut router, T + 0.5);
    settle(&mut router, T + 0.55);
    assert!(router.nodes[&B].suspected.is_none());
}

/// Found on the first days: a pace that no answer had set yet made every node look silent at the start.
#[test]
fn no_node_is_silent_before_a_pace_is_known() {
    let mut router = router(false);
    for node in router.nodes.values_mut() {
        *node = Node::new(G, 0, (8.0, 1.0), (0.2, 4.0));
        (node.out, node.awaited_until) = (3, T);
    }
    settle(&mut router, T + 0.3);
    assert!(router.nodes.values().all(|n| n.suspected.is_none()));
}

#[test_case(Ending::Unconnected, 1, true; "out of reach")]
#[test_case(Ending::Dropped, 5, false; "five connections cut")]
#[test_case(Ending::Dropped, 6, true; "cut in a row")]
#[test_case(Ending::Cut, 6, true; "cut in a row before the last byte")]
#[test_case(Ending::Spoilt, 6, true; "no answers in a row")]
#[test_case(Ending::Errored, 9, false; "errors that nothing shows to be the node's")]
fn faults(ending: Ending, times: u8, expected: bool) {
    let mut router = router(false);
    for _ in 0..times {
        router.executed(T, 99, 0, B, ending, 0.001, false, None, f64::NEG_INFINITY);
    }
    settle(&mut router, T);
    assert_eq!(router.nodes[&B].suspected.is_some(), expected);
}

#[test_case(&[B], C; "one suspect is passed over")]
#[test_case(&[A, B, C], B; "a group that all looks bad keeps its members")]
fn suspicion(suspects: &[u32], expected: u32) {
    let mut router = router(false);
    for id in suspects {
        let node = router.nodes.get_mut(id).unwrap();
        (node.suspected, node.trial_at) = (Some(T), T);
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), Some(expected));
}

/// Found in an incident: a node that failed two connections in three was cleared by every third.
#[test]
fn a_node_that_fails_most_connections_stays_a_suspect() {
    let mut router = router(false);
    for ending in [Ending::Unconnected, Ending::Unconnected, Ending::Completed] {
        router.executed(T, 99, 0, B, ending, 0.1, false, None, T);
        settle(&mut router, T + 0.1);
    }
    assert!(router.nodes[&B].suspected.is_some());
}

#[test_case(LOOSE, Some(B); "a read that may repeat tries a suspect")]
#[test_case(ONCE, None; "a write that may not run twice never does")]
fn trial_of_a_suspect(workload: usize, expected: Option<u32>) {
    let mut router = router(false);
    router.groups.get_mut(&G).unwrap().primary = Some(B);
    for id in [A, B] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.suspected, node.trial_at) = (Some(T - 9.0), T - 9.0);
    }
    router.nodes.get_mut(&A).unwrap().denied = T;
    router.nodes.get_mut(&C).unwrap().out = 99;
    router.nodes.get_mut(&A).unwrap().out = 99;
    take(&mut router, T, 1, workload, 0, 0.0);
    assert_eq!(router.choose(1, T), expected);
}

#[test_case(LOOSE, &["execute 1 13"]; "a read is copied elsewhere")]
#[test_case(ONCE, &[]; "a write is not")]
fn what_a_silent_node_holds(workload: usize, expected: &[&str]) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    router.groups.get_mut(&G).unwrap().waiting.clear();
    push(&mut router, sent(B, T, None));
    let node = router.nodes.get_mut(&B).unwrap();
    (node.suspected, node.trial_at, node.out) = (Some(T), T, 1);
    assert_eq!(settle(&mut router, T + 0.1), expected);
}

#[test_case(LOOSE, Ending::TimedOut, 0.1, true; "idempotent")]
#[test_case(ONCE, Ending::TimedOut, 0.1, false; "non-idempotent that may have run")]
#[test_case(ONCE, Ending::Dropped, 0.1, false; "non-idempotent that was cut off")]
#[test_case(ONCE, Ending::Errored, 0.1, false; "non-idempotent that errored")]
#[test_case(ONCE, Ending::Missed, 0.1, true; "non-idempotent proved unrun")]
#[test_case(WRITE, Ending::Dropped, 0.5, true; "deduplicated inside the memory")]
#[test_case(WRITE, Ending::Dropped, 1.1, false; "deduplicated near the memory's end")]
fn repeats(workload: usize, ending: Ending, later: f64, expected: bool) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    push(&mut router, sent(A, T, Some(ending)));
    assert_eq!(
        router.repeatable(&router.statements[&1], Some(A), T + later),
        expected
    );
}

#[test_case(LOOSE, None, "reject 1"; "a read may always be tried again")]
#[test_case(WRITE, None, "abort 1"; "a deduplicated write still out")]
#[test_case(WRITE, Some(Ending::Missed), "reject 1"; "a deduplicated write that never ran")]
#[test_case(ONCE, Some(Ending::TimedOut), "abort 1"; "a non-idempotent write that may have run")]
fn the_last_moment_has_one_answer(workload: usize, ended: Option<Ending>, expected: &str) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    push(&mut router, sent(A, T, ended));
    let end = T + 2.0 - 0.01;
    let said = settle(&mut router, end);
    assert_eq!(
        said.iter()
            .filter(|l| !l.starts_with("cancel"))
            .collect::<Vec<_>>(),
        [expected]
    );
    assert!(
        settle(&mut router, end + 0.05).is_empty(),
        "nothing is sent after it"
    );
}

#[test_case(WRITE, true, &[], true; "a write")]
#[test_case(RECENT, true, &[], true; "a read that only the primary will do for")]
#[test_case(WRITE, true, &[Ending::Unconnected, Ending::Moot], true; "no byte was written")]
#[test_case(WRITE, true, &[Ending::Missed], false; "a node has seen it")]
#[test_case(WRITE, false, &[], true; "the primary has no room, and an answer would be late")]
#[test_case(ONCE, false, &[], false; "the primary has no room, and an answer would be in time")]
fn nobody_in_reach_for_half_of_its_time(
    workload: usize,
    suspect: bool,
    tried: &[Ending],
    expected: bool,
) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    if workload == ONCE {
        router.statements.get_mut(&1).unwrap().slo_end = T + 1.5;
    }
    router
        .nodes
        .values_mut()
        .for_each(|n| (n.out, n.lsn) = (99, T - 9.0));
    tried
        .iter()
        .for_each(|ending| push(&mut router, sent(A, T, Some(*ending))));
    router.groups.get_mut(&G).unwrap().primary = Some(A);
    let leader = router.nodes.get_mut(&A).unwrap();
    (leader.claimed, leader.suspected, leader.trial_at) = (T, suspect.then_some(T), T + 0.9);
    // Waited for from now on and at this pace, what is out makes it no suspect.
    (leader.awaited_until, leader.pace) = (T, 99.0);
    let s = &router.statements[&1];
    assert!(!router.held_too_long(s, T + 0.98) || !expected);
    assert_eq!(router.held_too_long(s, T + 0.99), expected);
    let told = settle(&mut router, T + 0.99).contains(&"reject 1".to_string());
    assert_eq!(told, expected);
}

/// Found on a day of data centres cut apart: seconds after they were joined again, nodes were still suspects.
#[test_case(true, false, &["execute 1 12"]; "it completes a trial: the next goes at once")]
#[test_case(false, true, &["execute 1 12"]; "it answers a probe: trials begin anew")]
#[test_case(false, false, &[]; "nothing is heard")]
fn a_suspect_that_is_back(completes: bool, probed: bool, expected: &[&str]) {
    let mut router = router(false);
    for (id, node) in &mut router.nodes {
        (node.out, node.pace, node.awaited_until) =
            if *id == B { (0, 0.1, T) } else { (99, 99.0, T) };
    }
    let node = router.nodes.get_mut(&B).unwrap();
    let tried = if completes { T - 0.2 } else { T - 1.0 };
    (node.suspected, node.faults, node.trials, node.trial_at) = (Some(T - 9.0), 9, 3, tried);
    if completes {
        router.executed(T, 99, 0, B, Ending::Completed, 0.1, true, None, T);
        assert!(
            router.nodes[&B].suspected.is_some(),
            "one good answer clears nobody"
        );
    }
    if probed {
        router.probed(T, B, true, Some(false), T);
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(settle(&mut router, T + 0.01), expected);
}

#[test]
fn an_answer_ends_what_else_is_out() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let executions = vec![sent(B, T, None), sent(C, T, None)];
    router.statements.get_mut(&1).unwrap().executions = executions;
    router.executed(
        T + 0.1,
        1,
        0,
        B,
        Ending::Completed,
        0.1,
        true,
        Some(Role::Replica),
        T,
    );
    assert_eq!(settle(&mut router, T + 0.1), ["cancel 1 1"]);
}

#[test]
fn a_read_worth_nothing_late_is_given_up_at_once() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    router.statements.get_mut(&1).unwrap().kind.late_worth = 0.0;
    router.nodes.values_mut().for_each(|n| n.out = 99);
    assert_eq!(settle(&mut router, T + 0.21), ["reject 1"]);
}

#[test_case(Standing::Draining, 0.1, true, false; "a draining primary within half the grace")]
#[test_case(Standing::Draining, 0.1, false, true; "a draining replica")]
#[test_case(Standing::Draining, 0.3, true, true; "a draining primary later")]
#[test_case(Standing::Gone, 0.0, true, true; "a node that is gone")]
fn drains(standing: Standing, later: f64, last_resort: bool, expected: bool) {
    let mut router = router(false);
    router.member(T, B, (G, 0), standing, 0.0, false);
    let drain = Drain {
        grace: 0.5,
        only_draining: false,
    };
    assert_eq!(
        router.nodes[&B].closed(&drain, last_resort, T + later),
        expected
    );
}

/// Found on a day on which the list called every node gone while all served: reads piled up on the primary.
#[test_case(true, None, Some(B); "a drain alone binds: it serves on")]
#[test_case(true, Some(T), None; "but not once it fails itself")]
#[test_case(false, None, None; "where gone binds it stays closed")]
fn called_gone_without_a_drain(only_draining: bool, suspected: Option<f64>, expected: Option<u32>) {
    let mut router = router(false);
    router.drain.only_draining = only_draining;
    router.listing();
    router.listed(T, true);
    router.nodes.get_mut(&C).unwrap().drained = true;
    router.nodes.get_mut(&B).unwrap().suspected = suspected;
    router.nodes.get_mut(&A).unwrap().out = 99;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), expected);
}

#[test]
fn a_whole_list_without_a_node_tells_that_it_is_gone() {
    let mut router = router(false);
    router.listing();
    router.member(T, A, (G, 0), Standing::Ready, 0.0, true);
    router.listed(T, true);
    assert_eq!(router.nodes[&B].standing, Standing::Gone);
}

/// Found at 244 routers: with a floor of one send a router and window, a cold node was sent 3.5 times what it
/// could do. Below one send a window, the lots of statements share out what is left.
#[test_case(0, 0.0, 0.0, true; "the lowest lot goes before any load is known")]
#[test_case(0, 0.0, 0.99, false; "not the highest")]
#[test_case(2, 60.0, 0.99, true; "inside what warm nodes bear")]
#[test_case(15, 60.0, 0.0, false; "beyond what warm nodes bear")]
fn a_cold_node_gets_its_part(already: usize, borne: f64, lot: f64, expected: bool) {
    let mut router = router(false);
    router.routers = 40.0;
    router.member(T, B, (G, 0), Standing::Ready, T, false);
    (router.borne, router.warm) = ((T, borne), 2.0);
    router.nodes.get_mut(&B).unwrap().sends = vec![T; already].into();
    take(&mut router, T, 1, LOOSE, 0, 0.0);

    router.statements.get_mut(&1).unwrap().lot = lot;
    router.groups.get_mut(&G).unwrap().asked = (T, 1.0);
    let statement = &router.statements[&1];
    assert_eq!(
        router.bearable(&router.nodes[&B], B, statement, T + 0.5),
        expected
    );
}

/// Found at 280 routers: probes by the clock cost more than all statements were worth.
#[test_case(0.03, &["probe 12"]; "a position that a waiting read needs is asked for")]
#[test_case(0.2, &["execute 1 11"]; "not where the price is beyond what it is worth")]
fn a_probe_is_asked_for_by_who_needs_it(price: f64, expected: &[&str]) {
    let mut router = router(false);
    router.allowance.probe_price = price;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().lsn = T - 5.0;
    }
    take(&mut router, T, 1, RECENT, 0, 0.0);
    let mut seen = Seen::default();
    router.settle(T, &mut seen);
    assert_eq!(seen.0, expected);
}

/// Found on a day on which half of the statements erred at any node: the nodes became suspects, and each such
/// statement was executed eight times.
#[test_case(&[B], Ending::Completed, 2, &[]; "another node completes it: the first is to blame")]
#[test_case(&[B], Ending::Errored, 0, &["reject 1"]; "another errs too: it is the statement, and final")]
fn errors_follow_the_node_or_the_statement(
    before: &[u32],
    ending: Ending,
    faults: u32,
    expected: &[&str],
) {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    before
        .iter()
        .for_each(|id| push(&mut router, sent(*id, T, Some(Ending::Errored))));
    push(&mut router, sent(C, T, None));
    let over = ending == Ending::Completed;
    router.executed(T, 1, 1, C, ending, 0.1, over, Some(Role::Replica), T);
    assert_eq!(settle(&mut router, T + 0.01), expected);
    assert_eq!(router.nodes[&B].faults, faults);
}

/// Found in an incident: nodes that restarted unannounced were pushed over within a second of their start.
#[test_case(Ending::Unconnected, true; "out of reach")]
#[test_case(Ending::Errored, false; "an error")]
#[test_case(Ending::Spoilt, false; "what is no answer")]
#[test_case(Ending::Dropped, true; "a connection that broke")]
#[test_case(Ending::Cut, true; "a connection that broke before the last byte")]
fn who_was_out_of_reach_may_be_cold(ending: Ending, expected: bool) {
    let mut router = router(false);
    router.executed(T, 99, 0, B, ending, 0.1, false, None, f64::NEG_INFINITY);
    assert_eq!(
        router.nodes[&B].warmth(&router.cold, T + 1.0) < 1.0,
        expected
    );
}

/// Found on a day of connections that broke: a primary stood idle for seconds while all waited for it, as it
/// counted as cold and was sent nothing that could show otherwise.
#[test_case(0.05, 0.1, false; "what was sent before is answered")]
#[test_case(0.15, 0.1, false; "what was sent right behind is answered")]
#[test_case(0.5, 0.1, true; "only what was sent later is answered")]
fn a_node_that_answers_on_has_not_restarted(answered: f64, took: f64, cold: bool) {
    let mut router = router(false);
    let end = |router: &mut Instance, at: f64, ending| {
        router.executed(
            T + at,
            99,
            0,
            B,
            ending,
            took,
            false,
            None,
            f64::NEG_INFINITY,
        );
    };
    end(&mut router, 0.0, Ending::Dropped);
    assert_eq!(
        router.nodes[&B].warmth(&router.cold, T + 0.09),
        1.0,
        "first it may show that it lives"
    );
    assert!(router.nodes[&B].warmth(&router.cold, T + 0.11) < 1.0);
    end(&mut router, answered, Ending::Completed);
    assert_eq!(router.nodes[&B].warmth(&router.cold, T + 1.0) < 1.0, cold);
}

#[test]
fn timers_end_with_their_statement() {
    let mut router = router(false);
    for stmt in 0..100 {
        router.arrived(T, stmt, LOOSE, G, 0, 9, 0.0, T + 86_400.0, 0.0);
        settle(&mut router, T);
        router.abandoned(stmt);
        settle(&mut router, T);
    }
    assert!(router.timers.is_empty());
}

/// Found in a hunt: the writes held while a group was down, all with low lots, pushed it over when back.
#[test]
fn what_waited_for_a_cold_node_does_not_go_all_at_once() {
    let mut router = router(false);
    router.routers = 40.0;
    (router.borne, router.warm) = ((T, 1.0), 2.0);
    router.member(T, A, (G, 0), Standing::Ready, T, true);
    for stmt in 1..9 {
        take(&mut router, T, stmt, WRITE, 0, 0.0);
        let s = router.statements.get_mut(&stmt).unwrap();
        (s.lot, s.halfway) = (0.1, s.due);
    }
    assert!(settle(&mut router, T + 1.6).is_empty());
}

/// Found on days of lost answers: what is late is copied only while most that is late never comes.
#[test_case(LOOSE, 0.9, 0.4, &["execute 1 13"]; "most late ones were never answered")]
#[test_case(LOOSE, 0.3, 0.4, &[]; "most were only long")]
#[test_case(LOOSE, 0.9, 0.2, &[]; "not late yet")]
#[test_case(WRITE, 0.9, 0.4, &["execute 1 11"]; "a deduplicated write goes to its primary again")]
#[test_case(ONCE, 0.9, 0.4, &[]; "a non-idempotent write never does")]
fn copies_of_what_is_late(workload: usize, in_vain: f64, later: f64, expected: &[&str]) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    router.groups.get_mut(&G).unwrap().waiting.clear();
    router.in_vain = in_vain;
    push(
        &mut router,
        sent(if workload == LOOSE { B } else { A }, T, None),
    );
    assert_eq!(settle(&mut router, T + later), expected);
}

/// Found on days of lost answers: one that stays out alone must not count as a jam.
#[test_case(1, 0.9, false; "one alone, where answers get lost")]
#[test_case(2, 0.9, true; "two in a row")]
#[test_case(1, 0.1, true; "one alone, where all come")]
fn unanswered_executions_show_a_jam(times: u8, in_vain: f64, expected: bool) {
    let mut router = router(false);
    router.in_vain = in_vain;
    for stmt in 1..=u32::from(times) {
        take(&mut router, T, stmt, LOOSE, 0, 0.0);
        router.executed(
            T,
            stmt,
            0,
            B,
            Ending::TimedOut,
            0.4,
            false,
            None,
            f64::NEG_INFINITY,
        );
    }
    assert_eq!(router.nodes[&B].strain > 0.0, expected);
}

/// Found in a mass restart: a new process stayed strained by the queue of the old one.
#[test]
fn a_restart_clears_strain_and_suspicion() {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.strain, node.missing, node.suspected) = (0.9, 3, Some(T));
    router.member(T, B, (G, 0), Standing::Ready, T - 0.5, false);
    let node = &router.nodes[&B];
    assert_eq!((node.strain, node.missing, node.suspected), (0.0, 0, None));
}

/// Found on reading a day's tap: room grown in calm times hid a jam from a router for half a minute.
#[test_case(0.05, 0.2, true; "room that is used grows")]
#[test_case(0.05, 0.01, false; "room beyond what is usually out does not")]
fn room_under_one_grows_where_used(room: f64, asked: f64, expected: bool) {
    let mut router = router(false);
    router.nodes.get_mut(&B).unwrap().room = room;
    // Asked of three members, at a pace of 0.1 s.
    router.groups.get_mut(&G).unwrap().asked = (T, asked * 30.0);
    router.executed(T, 99, 0, B, Ending::Completed, 0.01, false, None, T);
    assert_eq!(router.nodes[&B].room > room, expected);
}

#[test_case(1, 3.0; "within the quota")]
#[test_case(60, 0.6; "far beyond it")]
fn a_customer_beyond_its_quota_is_worth_less(times: u32, expected: f64) {
    let mut router = router(false);
    for stmt in 0..times {
        router.arrived(T, stmt, RECENT, G, 0, 0, 0.0, T + 2.0, 0.0);
    }
    assert!((router.statements[&(times - 1)].worth - expected).abs() < 1e-9);
}

#[test]
fn the_worthiest_statement_takes_the_last_room() {
    let mut router = router(false);
    router.nodes.get_mut(&A).unwrap().room = 1.0;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().out = 99;
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    take(&mut router, T, 2, WRITE, 0, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 2 11"]);
}

#[test]
fn a_position_never_goes_back() {
    let mut router = router(false);
    router.member(T, B, (G, 0), Standing::Ready, T + 1.0, false);
    router.reported(T + 2.0, B, Some(false), T - 5.0);
    assert_eq!(router.nodes[&B].lsn, T);
}

/// A broken answer: a position ahead of the clock would let stale reads through until the clock gets there.
#[test_case(T + 1.0, T + 0.999; "at the present")]
#[test_case(T + 9.0, T; "ahead of the clock")]
fn an_answer_tells_no_position_ahead_of_the_clock(lsn: f64, expected: f64) {
    let mut router = router(false);
    router.executed(
        T + 1.0,
        99,
        0,
        B,
        Ending::Completed,
        0.1,
        true,
        Some(Role::Replica),
        lsn,
    );
    assert!((router.nodes[&B].lsn - expected).abs() < 1e-9);
}

/// Found in an incident: what was sent in the last moment of its SLO time came back late and held a core
/// meanwhile.
#[test_case(0.15, &["execute 1 11"]; "two paces are left")]
#[test_case(0.25, &["reject 1"]; "less than two paces are left")]
fn no_send_that_cannot_be_back_in_time(later: f64, expected: &[&str]) {
    let mut router = router(false);
    take(&mut router, T, 1, LATEST, 0, 0.0);
    router.statements.get_mut(&1).unwrap().kind.late_worth = 0.0;
    assert_eq!(settle(&mut router, T + later), expected);
}

/// Found in an incident: clients that wait for half of the SLO time only were turned away by idle nodes.
#[test]
fn a_client_of_little_patience_is_served_at_once() {
    let mut router = router(false);
    router.arrived(T, 1, LOOSE, G, 0, 9, 0.0, T + 0.19, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 1 12"]);
}

/// Found by a test of the adapter: a fresh router, its nodes' pace unknown, turned away what it had just got.
#[test]
fn nodes_of_unknown_pace_are_tried() {
    let mut router = router(false);
    router.nodes.values_mut().for_each(|n| n.pace = 9.0);
    take(&mut router, T, 1, LATEST, 0, 0.0);
    router.statements.get_mut(&1).unwrap().kind.late_worth = 0.0;
    assert_eq!(settle(&mut router, T), ["execute 1 11"]);
}

#[test]
fn a_room_shrinks_once_a_jam() {
    let mut router = router(false);
    let before = router.nodes[&B].room;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    for _ in 0..5 {
        router.executed(
            T,
            1,
            0,
            B,
            Ending::TurnedAway,
            0.0,
            false,
            None,
            f64::NEG_INFINITY,
        );
    }
    let room = router.nodes[&B].room;
    assert!(room < before && room > before * 0.4, "{room}");
}

/// Found at 177 routers: one execution a router filled a node's queue with what nobody waited for any more.
#[test_case(0.1, 0.9, true; "a node without strain takes all")]
#[test_case(0.9, 0.1, true; "a strained one takes the lowest lots")]
#[test_case(0.9, 0.9, false; "and leaves the others")]
fn a_strained_node_has_room_for_a_part(strain: f64, lot: f64, expected: bool) {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.room, node.strain, node.strained_at) = (0.1, strain, T);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    router.groups.get_mut(&G).unwrap().asked = (T, 3.0);
    router.statements.get_mut(&1).unwrap().lot = lot;
    assert_eq!(router.has_room(&router.statements[&1], B, T), expected);
}

/// The worthiest workload's lots lie under those of the others.
#[test]
fn lots_go_by_worth() {
    let mut router = router(false);
    take(&mut router, T, 1, WRITE, 0, 0.0);
    take(&mut router, T, 2, LOOSE, 0, 0.0);
    assert!(router.statements[&2].lot >= 0.5);
}

#[test_case(Standing::Gone, 0, false, true; "gone for long")]
#[test_case(Standing::Draining, 0, false, false; "it only drains")]
#[test_case(Standing::Gone, 1, false, false; "something is out there")]
#[test_case(Standing::Gone, 0, true, false; "it may only be called gone")]
fn who_is_gone_leaves(standing: Standing, out: usize, only_draining: bool, expected: bool) {
    let mut router = router(false);
    router.drain.only_draining = only_draining;
    router.nodes.get_mut(&C).unwrap().stands(standing, T);
    router.nodes.get_mut(&C).unwrap().out = out;
    assert!(router.forget_gone(T + 59.0).is_empty());
    assert_eq!(
        router.forget_gone(T + 61.0),
        if expected { vec![C] } else { vec![] }
    );
    assert_eq!(router.groups[&G].members.contains(&C), !expected);
}

#[test]
fn a_node_that_an_open_statement_was_sent_to_stays() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    settle(&mut router, T);
    let sent = router.statements[&1].executions[0].node;
    router
        .nodes
        .get_mut(&sent)
        .unwrap()
        .stands(Standing::Gone, T);
    router.nodes.get_mut(&sent).unwrap().out = 0;
    assert!(router.forget_gone(T + 100.0).is_empty());
}
