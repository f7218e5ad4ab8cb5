//! Tests of single decisions. Each sets up only the state that it needs, then calls one function.

use crate::state::{Execution, Node, Rate, Session};
use crate::*;
use test_case::test_case;

mod deployments;
mod fleet_sharing;
mod shared_types;
mod succession;

/// Clock reading at which the tests start.
const T: f64 = 1000.0;
/// The group that they use, and its nodes.
const G: u16 = 0;
const A: u32 = 11;
const B: u32 = 12;
const C: u32 = 13;

/// Indices of the workloads of [`router`].
const WRITE: usize = 0;
const OWN: usize = 1;
const RECENT: usize = 2;
const LOOSE: usize = 3;
const LATEST: usize = 4;
const ONCE: usize = 5;

/// The actions of the policy, as texts.
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

fn workload(consistency: Consistency, repeat: Repeat, importance: f64) -> Workload {
    Workload {
        slo: 0.4,
        slo_stretch: 0.0,
        timeout: 2.0,
        importance,
        late_value: 0.2,
        repeat,
        consistency,
    }
}

/// Returns the policy for one group: A is the primary, and B and C are replicas without lag. `nodes_check` says
/// whether nodes check the freshness of reads themselves.
fn router(nodes_check: bool) -> Instance {
    let deduplicated = Repeat::Deduplicated {
        scope: DedupScope::Group,
        memory_s: 1.2,
    };
    let workloads = vec![
        workload(Consistency::Primary, deduplicated, 6.0),
        workload(Consistency::OwnWrites, Repeat::Idempotent, 1.0),
        workload(
            Consistency::Recent { max_age_s: 0.5 },
            Repeat::Idempotent,
            3.0,
        ),
        workload(Consistency::Loose, Repeat::Idempotent, 1.0),
        workload(Consistency::Latest, Repeat::Idempotent, 1.0),
        workload(Consistency::Primary, Repeat::NonIdempotent, 6.0),
    ];
    let fairness = Fairness {
        overall: 1.0,
        worst_workload: 0.0,
        worst_tenant: 0.0,
    };
    let replication = Replication {
        nodes_check_freshness: nodes_check,
        sessions_carry_write_age: true,
    };
    let cold_start = ColdStart {
        initial_share: 0.2,
        duration_s: 10.0,
        overload_factor: 2.0,
        window_s: 1.0,
    };
    let drain = Drain {
        grace_s: 0.5,
        only_draining_binds: false,
    };
    let limits = PolicyLimits {
        max_executions: 8,
        hedging: true,
        cancellation: true,
        probes: true,
        probe_cost_share: 0.03,
        max_retry_after_s: 1.0,
        clock_step_s: 0.005,
    };
    let quotas = vec![Quota {
        per_s: 10.0,
        excess_value: 0.2,
    }];
    let mut router = Instance::new(
        7,
        2,
        workloads,
        quotas,
        fairness,
        replication,
        cold_start,
        drain,
        limits,
    );
    router.list_begins();
    for id in [A, B, C] {
        router.list_member(T, id, (G, 0), NodeStatus::Ready, 0.0, id == A);
        let node = router.nodes.get_mut(&id).unwrap();
        (node.lsn, node.last_heard_at, node.latency_s) = (T, T, 0.1);
        node.denied_primary_at = if id == A { node.denied_primary_at } else { T };
    }
    router.list_ends(T, true);
    router.nodes.get_mut(&A).unwrap().claimed_primary_at = T;
    let group = router.groups.get_mut(&G).unwrap();
    (group.primary, group.members, group.rotation) = (Some(A), vec![A, B, C], Rotation::default());
    router
}

/// Returns a rate of events as of T.
fn rate(per_s: f64) -> Rate {
    Rate {
        updated_at: T,
        per_s,
    }
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

fn sent(node: u32, at: f64, ended: Option<ExecutionOutcome>) -> Execution {
    Execution {
        outcome: ended,
        ..Execution::new(node, at)
    }
}

#[test_case(WRITE, 0, 0.0, A; "a write goes to the primary")]
#[test_case(LATEST, 0, 0.0, A; "a read of the latest data goes to the primary")]
#[test_case(OWN, 5, 0.3, A; "a recent write age gives primary affinity")]
#[test_case(OWN, 5, 3.5, B; "after an old write a replica known to have it is used")]
#[test_case(OWN, 5, 0.0, B; "a session without affinity or writes rotates")]
#[test_case(RECENT, 0, 0.0, B; "a read with a maximum age rotates")]
#[test_case(LOOSE, 0, 0.0, B; "a read of any age rotates")]
fn choice_by_consistency(workload: usize, session: u64, age: f64, expected: u32) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, session, age);
    assert_eq!(router.choose(1, T), Some(expected));
}

#[test]
fn the_rotation_wraps_over_the_replicas() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let order: Vec<_> = (0..4).map(|_| router.choose(1, T).unwrap()).collect();
    assert_eq!(order, [B, C, B, C]);
}

#[test_case(2.9, A; "within three seconds")]
#[test_case(3.1, B; "after three seconds")]
fn a_send_to_the_primary_starts_affinity(later: f64, expected: u32) {
    let mut router = router(true);
    let session = Session {
        affinity: PrimaryAffinity::at(T),
        last_write_lsn: T - 9.0,
    };
    router.sessions.insert(5, session);
    for id in [B, C] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.lsn, node.last_heard_at) = (T + later, T + later);
    }
    take(&mut router, T + later, 1, OWN, 5, 0.0);
    assert_eq!(router.choose(1, T + later), Some(expected));
}

#[test_case(T, Some(B); "the replicas have the write")]
#[test_case(T - 0.4, None; "the replicas are not known to have the write: the read waits")]
fn a_read_with_affinity_moves_from_a_full_primary_to_a_replica(lsn: f64, expected: Option<u32>) {
    let mut router = router(false);
    let primary = router.nodes.get_mut(&A).unwrap();
    primary.in_flight = primary.concurrency_limit as usize;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().lsn = lsn;
    }
    take(&mut router, T, 1, OWN, 5, 0.3);
    assert_eq!(router.choose(1, T), expected);
}

#[test_case(false, T - 0.6, false; "too old, and nodes do not check")]
#[test_case(false, T - 0.4, true; "within the maximum age")]
#[test_case(true, T - 0.1, true; "the position probably suffices, and nodes check")]
fn no_read_is_older_than_its_maximum_age(nodes_check: bool, lsn: f64, expected: bool) {
    let mut router = router(nodes_check);
    router.nodes.get_mut(&B).unwrap().lsn = lsn;
    take(&mut router, T, 1, RECENT, 0, 0.0);
    assert_eq!(router.fresh_enough(&router.statements[&1], B, T), expected);
}

#[test]
fn a_deposed_primary_gets_no_read_of_the_latest_data() {
    let mut router = router(false);
    take(&mut router, T + 1.0, 1, LATEST, 0, 0.0);
    router.nodes.get_mut(&A).unwrap().denied_primary_at = T + 0.5;
    assert!(!router.fresh_enough(&router.statements[&1], A, T + 1.0));
}

#[test_case(T - 0.5, Some(A); "a late report has an older claim")]
#[test_case(T + 0.5, Some(B); "a newer claim")]
#[test_case(T + 9.0, Some(A); "a claim from the future is invalid")]
fn of_two_claimants_the_later_is_the_primary(claim: f64, expected: Option<u32>) {
    let mut router = router(false);
    router.nodes.get_mut(&B).unwrap().denied_primary_at = T - 2.0;
    router.reported(T + 1.0, B, Some(true), claim);
    settle(&mut router, T + 1.0);
    assert_eq!(router.groups[&G].primary, expected);
}

#[test]
fn a_declined_write_tells_all_writes_which_node_is_not_the_primary() {
    let mut router = router(false);
    for id in [A, B, C] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.claimed_primary_at, node.denied_primary_at) =
            (f64::NEG_INFINITY, if id == C { T - 1.0 } else { T });
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
            ExecutionOutcome::NotEligible,
            0.001,
            false,
            Some(Role::Replica),
            none,
        );
    }
    assert!(
        settle(&mut router, T).is_empty(),
        "held after each member was tried once"
    );
    assert!(
        !settle(&mut router, T + 0.11).is_empty(),
        "sent again after the hold"
    );
}

/// Guards against held writes that wait out their hold although the new primary is already known.
#[test]
fn a_known_primary_releases_held_writes() {
    let mut router = router(false);
    router.nodes.get_mut(&A).unwrap().denied_primary_at = T + 0.1;
    settle(&mut router, T + 0.1);
    [A, B, C]
        .iter()
        .for_each(|id| router.nodes.get_mut(id).unwrap().denied_primary_at = T + 0.1);
    take(&mut router, T + 0.1, 1, ONCE, 0, 0.0);
    assert!(settle(&mut router, T + 0.1).is_empty());
    router.reported(T + 0.15, B, Some(true), T + 0.14);
    assert_eq!(settle(&mut router, T + 0.15), ["execute 1 12"]);
}

#[test_case(0.1, 1, false; "one answer owed for a moment")]
#[test_case(0.5, 3, true; "many answers owed")]
fn owed_answers_make_a_silent_node_a_suspect(waited: f64, in_flight: usize, expected: bool) {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.in_flight, node.waited_until) = (in_flight, T);
    settle(&mut router, T + waited);
    assert_eq!(router.nodes[&B].suspected_at.is_some(), expected);
}

/// Guards against false suspicion of all nodes at once if the router itself gets no processor for some milliseconds,
/// seen with thousands of statements per second that were answered in 2 ms.
#[test_case(0.03, false; "for less than the limit of silence")]
#[test_case(0.5, true; "for long")]
fn a_pause_of_the_router_makes_no_suspects(pause: f64, expected: bool) {
    let mut router = router(false);
    for node in router.nodes.values_mut() {
        (
            node.in_flight,
            node.waited_until,
            node.latency_s,
            node.last_heard_at,
        ) = (8, T, 0.002, T);
    }
    settle(&mut router, T + pause);
    assert_eq!(router.nodes[&B].suspected_at.is_some(), expected);
}

/// Guards against a slow execution that makes all later ones look overdue: each is waited for from its own send.
#[test]
fn an_execution_is_owed_only_since_its_own_send() {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.in_flight, node.waited_until) = (1, T);
    for stmt in 1..4 {
        take(&mut router, T + 0.5, stmt, LOOSE, 0, 0.0);
    }
    settle(&mut router, T + 0.5);
    settle(&mut router, T + 0.55);
    assert!(router.nodes[&B].suspected_at.is_none());
}

/// Guards against suspicion at the router's start, when no answer has set a latency estimate yet.
#[test]
fn no_node_is_a_suspect_before_its_latency_is_known() {
    let mut router = router(false);
    for node in router.nodes.values_mut() {
        *node = Node::new(G, 0, 8.0, 1.0, 0.2, 4.0);
        (node.in_flight, node.waited_until) = (3, T);
    }
    settle(&mut router, T + 0.3);
    assert!(router.nodes.values().all(|n| n.suspected_at.is_none()));
}

#[test_case(ExecutionOutcome::ConnectFailed, 1, true; "out of reach")]
#[test_case(ExecutionOutcome::ConnectionLost, 5, false; "five lost connections")]
#[test_case(ExecutionOutcome::ConnectionLost, 6, true; "six lost connections in a row")]
#[test_case(ExecutionOutcome::SendInterrupted, 6, true; "six connections lost before the last byte")]
#[test_case(ExecutionOutcome::InvalidAnswer, 6, true; "six invalid answers in a row")]
#[test_case(ExecutionOutcome::Errored, 9, false; "errors that may be the statements' own")]
fn faults_make_a_suspect(outcome: ExecutionOutcome, times: u8, expected: bool) {
    let mut router = router(false);
    for _ in 0..times {
        router.executed(T, 99, 0, B, outcome, 0.001, false, None, f64::NEG_INFINITY);
    }
    settle(&mut router, T);
    assert_eq!(router.nodes[&B].suspected_at.is_some(), expected);
}

#[test_case(&[B], C; "a single suspect is skipped")]
#[test_case(&[A, B, C], B; "if all members are suspects they are still used")]
fn suspects_are_avoided(suspects: &[u32], expected: u32) {
    let mut router = router(false);
    for id in suspects {
        let node = router.nodes.get_mut(id).unwrap();
        (node.suspected_at, node.last_trial_at) = (Some(T), T);
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), Some(expected));
}

/// Guards against a node that fails two connections in three and is cleared by each third one.
#[test]
fn a_node_that_fails_most_connections_stays_a_suspect() {
    let mut router = router(false);
    for ending in [
        ExecutionOutcome::ConnectFailed,
        ExecutionOutcome::ConnectFailed,
        ExecutionOutcome::Completed,
    ] {
        router.executed(T, 99, 0, B, ending, 0.1, false, None, T);
        settle(&mut router, T + 0.1);
    }
    assert!(router.nodes[&B].suspected_at.is_some());
}

#[test_case(LOOSE, Some(B); "a repeatable read may try a suspect")]
#[test_case(ONCE, None; "a non-idempotent write never does")]
fn trial_of_a_suspect(workload: usize, expected: Option<u32>) {
    let mut router = router(false);
    router.groups.get_mut(&G).unwrap().primary = Some(B);
    for id in [A, B] {
        let node = router.nodes.get_mut(&id).unwrap();
        (node.suspected_at, node.last_trial_at) = (Some(T - 9.0), T - 9.0);
    }
    router.nodes.get_mut(&A).unwrap().denied_primary_at = T;
    router.nodes.get_mut(&C).unwrap().in_flight = 99;
    router.nodes.get_mut(&A).unwrap().in_flight = 99;
    take(&mut router, T, 1, workload, 0, 0.0);
    assert_eq!(router.choose(1, T), expected);
}

#[test_case(LOOSE, &["execute 1 13"]; "a read is sent to another node")]
#[test_case(ONCE, &[]; "a write is not")]
fn executions_at_a_suspect_are_hedged(workload: usize, expected: &[&str]) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    router.groups.get_mut(&G).unwrap().waiting.clear();
    push(&mut router, sent(B, T, None));
    let node = router.nodes.get_mut(&B).unwrap();
    (node.suspected_at, node.last_trial_at, node.in_flight) = (Some(T), T, 1);
    assert_eq!(settle(&mut router, T + 0.1), expected);
}

#[test_case(LOOSE, ExecutionOutcome::TimedOut, 0.1, true; "idempotent")]
#[test_case(ONCE, ExecutionOutcome::TimedOut, 0.1, false; "non-idempotent that may have run")]
#[test_case(ONCE, ExecutionOutcome::ConnectionLost, 0.1, false; "non-idempotent, connection lost")]
#[test_case(ONCE, ExecutionOutcome::Errored, 0.1, false; "non-idempotent that errored")]
#[test_case(ONCE, ExecutionOutcome::NotEligible, 0.1, true; "non-idempotent that certainly did not run")]
#[test_case(WRITE, ExecutionOutcome::ConnectionLost, 0.5, true; "deduplicated within the memory")]
#[test_case(WRITE, ExecutionOutcome::ConnectionLost, 1.1, false; "deduplicated near the end of the memory")]
fn which_statements_may_be_repeated(
    workload: usize,
    outcome: ExecutionOutcome,
    later: f64,
    expected: bool,
) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    push(&mut router, sent(A, T, Some(outcome)));
    assert_eq!(
        router.repeatable(&router.statements[&1], Some(A), T + later),
        expected
    );
}

#[test_case(LOOSE, None, "reject 1"; "a read may always be retried")]
#[test_case(WRITE, None, "abort 1"; "a deduplicated write in flight")]
#[test_case(WRITE, Some(ExecutionOutcome::NotEligible), "reject 1"; "a deduplicated write that never ran")]
#[test_case(ONCE, Some(ExecutionOutcome::TimedOut), "abort 1"; "a non-idempotent write that may have run")]
fn each_statement_gets_one_answer_before_its_deadline(
    workload: usize,
    ended: Option<ExecutionOutcome>,
    expected: &str,
) {
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
        "nothing is sent after the answer"
    );
}

#[test_case(WRITE, true, &[], true; "a write")]
#[test_case(RECENT, true, &[], true; "a read that only the primary can answer")]
#[test_case(WRITE, true, &[ExecutionOutcome::ConnectFailed, ExecutionOutcome::NeverIssued], true; "no node had all of it")]
#[test_case(WRITE, true, &[ExecutionOutcome::NotEligible], false; "a node had it")]
#[test_case(WRITE, false, &[], true; "the primary is full and an answer would be late")]
#[test_case(ONCE, false, &[], false; "the primary is full and an answer would be in time")]
fn a_statement_is_rejected_after_half_of_its_time_without_a_node(
    workload: usize,
    suspect: bool,
    tried: &[ExecutionOutcome],
    expected: bool,
) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    if workload == ONCE {
        router.statements.get_mut(&1).unwrap().slo_deadline = T + 1.5;
    }
    router
        .nodes
        .values_mut()
        .for_each(|n| (n.in_flight, n.lsn) = (99, T - 9.0));
    tried
        .iter()
        .for_each(|ending| push(&mut router, sent(A, T, Some(*ending))));
    router.groups.get_mut(&G).unwrap().primary = Some(A);
    let leader = router.nodes.get_mut(&A).unwrap();
    (
        leader.claimed_primary_at,
        leader.suspected_at,
        leader.last_trial_at,
    ) = (T, suspect.then_some(T), T + 0.9);
    // With this latency, and waited for from now on, the executions in flight do not make it a suspect.
    (leader.waited_until, leader.latency_s) = (T, 99.0);
    let s = &router.statements[&1];
    assert!(!router.held_too_long(s, T + 0.98) || !expected);
    assert_eq!(router.held_too_long(s, T + 0.99), expected);
    let rejected = settle(&mut router, T + 0.99).contains(&"reject 1".to_string());
    assert_eq!(rejected, expected);
}

/// Guards against nodes that stay suspects for seconds after a network partition between data centers has ended.
#[test_case(true, false, &["execute 1 12"]; "it completes a trial: the next one follows at once")]
#[test_case(false, true, &["execute 1 12"]; "it answers a probe: the trials start again")]
#[test_case(false, false, &[]; "it answers nothing")]
fn a_suspect_that_recovers_is_tried_again(completes: bool, probed: bool, expected: &[&str]) {
    let mut router = router(false);
    for (id, node) in &mut router.nodes {
        (node.in_flight, node.latency_s, node.waited_until) =
            if *id == B { (0, 0.1, T) } else { (99, 99.0, T) };
    }
    let node = router.nodes.get_mut(&B).unwrap();
    let tried = if completes { T - 0.2 } else { T - 1.0 };
    (
        node.suspected_at,
        node.faults,
        node.trials,
        node.last_trial_at,
    ) = (Some(T - 9.0), 9, 3, tried);
    if completes {
        router.executed(T, 99, 0, B, ExecutionOutcome::Completed, 0.1, true, None, T);
        assert!(
            router.nodes[&B].suspected_at.is_some(),
            "one good answer does not clear a suspect"
        );
    }
    if probed {
        router.probed(T, B, true, Some(false), T);
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(settle(&mut router, T + 0.01), expected);
}

#[test]
fn an_answer_cancels_the_other_executions() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    let executions = vec![sent(B, T, None), sent(C, T, None)];
    router.statements.get_mut(&1).unwrap().executions = executions;
    router.executed(
        T + 0.1,
        1,
        0,
        B,
        ExecutionOutcome::Completed,
        0.1,
        true,
        Some(Role::Replica),
        T,
    );
    assert_eq!(settle(&mut router, T + 0.1), ["cancel 1 1"]);
}

#[test]
fn a_read_without_late_value_is_given_up_once_it_would_be_late() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    router.statements.get_mut(&1).unwrap().workload.late_value = 0.0;
    router.nodes.values_mut().for_each(|n| n.in_flight = 99);
    assert_eq!(settle(&mut router, T + 0.21), ["reject 1"]);
}

#[test_case(NodeStatus::Draining, 0.1, true, false; "a draining primary within half of the grace")]
#[test_case(NodeStatus::Draining, 0.1, false, true; "a draining replica")]
#[test_case(NodeStatus::Draining, 0.3, true, true; "a draining primary after that")]
#[test_case(NodeStatus::Gone, 0.0, true, true; "a node that is gone")]
fn closed_nodes(status: NodeStatus, later: f64, last_resort: bool, expected: bool) {
    let mut router = router(false);
    router.list_member(T, B, (G, 0), status, 0.0, false);
    let drain = Drain {
        grace_s: 0.5,
        only_draining_binds: false,
    };
    assert_eq!(
        router.nodes[&B].is_closed(&drain, last_resort, T + later),
        expected
    );
}

/// Guards against overload of the primary by reads if the list wrongly has every node as gone.
#[test_case(true, None, Some(B); "only drains bind: the node stays in service")]
#[test_case(true, Some(T), None; "only drains bind: a suspect is closed")]
#[test_case(false, None, None; "a node that is gone is closed")]
fn listed_as_gone_without_a_drain(
    only_draining: bool,
    suspected_at: Option<f64>,
    expected: Option<u32>,
) {
    let mut router = router(false);
    router.drain.only_draining_binds = only_draining;
    router.list_begins();
    router.list_ends(T, true);
    router.nodes.get_mut(&C).unwrap().listed_draining = true;
    router.nodes.get_mut(&B).unwrap().suspected_at = suspected_at;
    router.nodes.get_mut(&A).unwrap().in_flight = 99;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    assert_eq!(router.choose(1, T), expected);
}

#[test]
fn a_node_missing_from_a_complete_list_is_gone() {
    let mut router = router(false);
    router.list_begins();
    router.list_member(T, A, (G, 0), NodeStatus::Ready, 0.0, true);
    router.list_ends(T, true);
    assert_eq!(router.nodes[&B].status, NodeStatus::Gone);
}

/// Guards against overload of a cold node by many routers: with at least one send per router and window, 244 routers
/// sent it 3.5 times its capacity. Below one send per window, the admission ranks of the statements decide.
#[test_case(0, 0.0, 0.0, true; "the lowest rank goes before any load is known")]
#[test_case(0, 0.0, 0.99, false; "the highest rank does not")]
#[test_case(2, 60.0, 0.99, true; "below what warm nodes complete")]
#[test_case(15, 60.0, 0.0, false; "above what warm nodes complete")]
fn a_cold_node_gets_its_share(sent: usize, completions_per_s: f64, rank: f64, expected: bool) {
    let mut router = router(false);
    router.routers = 40.0;
    router.list_member(T, B, (G, 0), NodeStatus::Ready, T, false);
    (router.completions, router.warm_nodes) = (rate(completions_per_s), 2.0);
    router.nodes.get_mut(&B).unwrap().recent_sends = vec![T; sent].into();
    take(&mut router, T, 1, LOOSE, 0, 0.0);

    router.statements.get_mut(&1).unwrap().admission_rank = rank;
    router.groups.get_mut(&G).unwrap().arrivals = rate(1.0);
    let statement = &router.statements[&1];
    assert_eq!(
        router.within_cold_budget(&router.nodes[&B], B, statement, T + 0.5),
        expected
    );
}

/// Guards against the cost of probes at fixed intervals: with 280 routers they cost more than the value of all
/// statements.
#[test_case(0.03, &["probe 12"]; "a waiting read probes for a position")]
#[test_case(0.2, &["execute 1 11"]; "a probe that costs too much is not sent")]
fn statements_probe_only_if_they_need_it(cost_share: f64, expected: &[&str]) {
    let mut router = router(false);
    router.limits.probe_cost_share = cost_share;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().lsn = T - 5.0;
    }
    take(&mut router, T, 1, RECENT, 0, 0.0);
    let mut seen = Seen::default();
    router.settle(T, &mut seen);
    assert_eq!(seen.0, expected);
}

/// Guards against statements that fail on every node: when half of them did, the nodes became suspects and each
/// such statement was executed eight times.
#[test_case(&[B], ExecutionOutcome::Completed, 2, &[]; "another node completes it: the error is the first node's")]
#[test_case(&[B], ExecutionOutcome::Errored, 0, &["reject 1"]; "another node errs, too: the error is the statement's and final")]
fn errors_are_attributed_to_the_node_or_the_statement(
    before: &[u32],
    ending: ExecutionOutcome,
    faults: u32,
    expected: &[&str],
) {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    before
        .iter()
        .for_each(|id| push(&mut router, sent(*id, T, Some(ExecutionOutcome::Errored))));
    push(&mut router, sent(C, T, None));
    let over = ending == ExecutionOutcome::Completed;
    router.executed(T, 1, 1, C, ending, 0.1, over, Some(Role::Replica), T);
    assert_eq!(settle(&mut router, T + 0.01), expected);
    assert_eq!(router.nodes[&B].faults, faults);
}

/// Guards against overload of nodes that restart without notice, which happened within a second of their start.
#[test_case(ExecutionOutcome::ConnectFailed, true; "out of reach")]
#[test_case(ExecutionOutcome::Errored, false; "an error")]
#[test_case(ExecutionOutcome::InvalidAnswer, false; "an invalid answer")]
#[test_case(ExecutionOutcome::ConnectionLost, true; "a lost connection")]
#[test_case(ExecutionOutcome::SendInterrupted, true; "a connection lost before the last byte")]
fn a_node_out_of_reach_counts_as_cold(outcome: ExecutionOutcome, expected: bool) {
    let mut router = router(false);
    router.executed(T, 99, 0, B, outcome, 0.1, false, None, f64::NEG_INFINITY);
    assert_eq!(
        router.nodes[&B].warm_share(&router.cold_start, T + 1.0) < 1.0,
        expected
    );
}

/// Guards against an idle primary after a lost connection: it counted as cold, and for seconds it was sent nothing that
/// could prove the opposite, while all statements waited for it.
#[test_case(0.05, 0.1, false; "it answers what was sent before")]
#[test_case(0.15, 0.1, false; "it answers what was sent right after")]
#[test_case(0.5, 0.1, true; "it answers only what was sent later")]
fn a_node_that_keeps_answering_has_not_restarted(answered: f64, took: f64, cold: bool) {
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
    end(&mut router, 0.0, ExecutionOutcome::ConnectionLost);
    assert_eq!(
        router.nodes[&B].warm_share(&router.cold_start, T + 0.09),
        1.0,
        "at first it may prove that it still runs"
    );
    assert!(router.nodes[&B].warm_share(&router.cold_start, T + 0.11) < 1.0);
    end(&mut router, answered, ExecutionOutcome::Completed);
    assert_eq!(
        router.nodes[&B].warm_share(&router.cold_start, T + 1.0) < 1.0,
        cold
    );
}

#[test]
fn timers_are_removed_with_their_statement() {
    let mut router = router(false);
    for stmt in 0..100 {
        router.arrived(T, stmt, LOOSE, G, 0, 9, 0.0, T + 86_400.0, 0.0);
        settle(&mut router, T);
        router.abandoned(stmt);
        settle(&mut router, T);
    }
    assert!(router.timers.is_empty());
}

/// Guards against overload of a group that is back by the writes that were held for it, all with low admission ranks.
#[test]
fn statements_that_waited_for_a_cold_node_are_not_sent_all_at_once() {
    let mut router = router(false);
    router.routers = 40.0;
    (router.completions, router.warm_nodes) = (rate(1.0), 2.0);
    router.list_member(T, A, (G, 0), NodeStatus::Ready, T, true);
    for stmt in 1..9 {
        take(&mut router, T, stmt, WRITE, 0, 0.0);
        let s = router.statements.get_mut(&stmt).unwrap();
        (s.admission_rank, s.halfway_at) = (0.1, s.deadline);
    }
    assert!(settle(&mut router, T + 1.6).is_empty());
}

/// Guards against needless hedging: late executions are hedged only while most late ones are never answered.
#[test_case(LOOSE, 0.9, 0.4, &["execute 1 13"]; "most late ones were never answered")]
#[test_case(LOOSE, 0.3, 0.4, &[]; "most were only slow")]
#[test_case(LOOSE, 0.9, 0.2, &[]; "not late yet")]
#[test_case(WRITE, 0.9, 0.4, &["execute 1 11"]; "a deduplicated write is sent to the primary again")]
#[test_case(ONCE, 0.9, 0.4, &[]; "a non-idempotent write is never sent again")]
fn late_executions_are_hedged(
    workload: usize,
    unanswered_share: f64,
    later: f64,
    expected: &[&str],
) {
    let mut router = router(false);
    take(&mut router, T, 1, workload, 0, 0.0);
    router.groups.get_mut(&G).unwrap().waiting.clear();
    router.unanswered_share = unanswered_share;
    push(
        &mut router,
        sent(if workload == LOOSE { B } else { A }, T, None),
    );
    assert_eq!(settle(&mut router, T + later), expected);
}

/// Guards against a single lost answer that counts as congestion.
#[test_case(1, 0.9, false; "one, where answers get lost")]
#[test_case(2, 0.9, true; "two in a row")]
#[test_case(1, 0.1, true; "one, where all answers come")]
fn unanswered_executions_count_as_congestion(times: u8, unanswered_share: f64, expected: bool) {
    let mut router = router(false);
    router.unanswered_share = unanswered_share;
    for stmt in 1..=u32::from(times) {
        take(&mut router, T, stmt, LOOSE, 0, 0.0);
        router.executed(
            T,
            stmt,
            0,
            B,
            ExecutionOutcome::TimedOut,
            0.4,
            false,
            None,
            f64::NEG_INFINITY,
        );
    }
    assert_eq!(router.nodes[&B].congestion > 0.0, expected);
}

/// Guards against a restarted node that keeps the congestion of its old process's queue.
#[test]
fn a_restart_clears_congestion_and_suspicion() {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.congestion, node.unanswered_in_a_row, node.suspected_at) = (0.9, 3, Some(T));
    router.list_member(T, B, (G, 0), NodeStatus::Ready, T - 0.5, false);
    let node = &router.nodes[&B];
    assert_eq!(
        (node.congestion, node.unanswered_in_a_row, node.suspected_at),
        (0.0, 0, None)
    );
}

/// Guards against a concurrency limit that grows without use: in calm times it grew so far that it hid congestion from a
/// router for half a minute.
#[test_case(0.05, 0.2, true; "a limit that is used grows")]
#[test_case(0.05, 0.01, false; "a limit above the usual number in flight does not")]
fn a_limit_below_one_grows_if_used(limit: f64, mean_in_flight: f64, expected: bool) {
    let mut router = router(false);
    router.nodes.get_mut(&B).unwrap().concurrency_limit = limit;
    // Three members share the arrivals, and each answers in 0.1 s.
    router.groups.get_mut(&G).unwrap().arrivals = rate(mean_in_flight * 30.0);
    router.executed(
        T,
        99,
        0,
        B,
        ExecutionOutcome::Completed,
        0.01,
        false,
        None,
        T,
    );
    assert_eq!(router.nodes[&B].concurrency_limit > limit, expected);
}

#[test_case(1, 3.0; "within the quota")]
#[test_case(60, 0.6; "far over it")]
fn a_tenant_over_its_quota_has_less_value(times: u32, expected: f64) {
    let mut router = router(false);
    for stmt in 0..times {
        router.arrived(T, stmt, RECENT, G, 0, 0, 0.0, T + 2.0, 0.0);
    }
    assert!((router.statements[&(times - 1)].value - expected).abs() < 1e-9);
}

#[test]
fn the_most_valuable_statement_takes_the_last_capacity() {
    let mut router = router(false);
    router.nodes.get_mut(&A).unwrap().concurrency_limit = 1.0;
    for id in [B, C] {
        router.nodes.get_mut(&id).unwrap().in_flight = 99;
    }
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    take(&mut router, T, 2, WRITE, 0, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 2 11"]);
}

#[test]
fn a_position_never_goes_back() {
    let mut router = router(false);
    router.list_member(T, B, (G, 0), NodeStatus::Ready, T + 1.0, false);
    router.reported(T + 2.0, B, Some(false), T - 5.0);
    assert_eq!(router.nodes[&B].lsn, T);
}

/// Guards against an invalid position ahead of the clock, which would allow stale reads until the clock reaches it.
#[test_case(T + 1.0, T + 0.999; "at the present")]
#[test_case(T + 9.0, T; "ahead of the clock")]
fn a_position_ahead_of_the_clock_is_ignored(lsn: f64, expected: f64) {
    let mut router = router(false);
    router.executed(
        T + 1.0,
        99,
        0,
        B,
        ExecutionOutcome::Completed,
        0.1,
        true,
        Some(Role::Replica),
        lsn,
    );
    assert!((router.nodes[&B].lsn - expected).abs() < 1e-9);
}

/// Guards against statements that are sent at the end of their SLO time, come back late and occupy a core meanwhile.
#[test_case(0.15, &["execute 1 11"]; "two latencies are left")]
#[test_case(0.25, &["reject 1"]; "less than two latencies are left")]
fn a_statement_that_would_be_late_is_not_sent(later: f64, expected: &[&str]) {
    let mut router = router(false);
    take(&mut router, T, 1, LATEST, 0, 0.0);
    router.statements.get_mut(&1).unwrap().workload.late_value = 0.0;
    assert_eq!(settle(&mut router, T + later), expected);
}

/// Guards against rejections while nodes are idle, seen by clients that wait for only half of the SLO time.
#[test]
fn an_impatient_client_is_served_at_once() {
    let mut router = router(false);
    router.arrived(T, 1, LOOSE, G, 0, 9, 0.0, T + 0.19, 0.0);
    assert_eq!(settle(&mut router, T), ["execute 1 12"]);
}

/// Guards against rejections by a router that has just started and does not know the latency of its nodes.
#[test]
fn nodes_of_unknown_latency_are_tried() {
    let mut router = router(false);
    router.nodes.values_mut().for_each(|n| n.latency_s = 9.0);
    take(&mut router, T, 1, LATEST, 0, 0.0);
    router.statements.get_mut(&1).unwrap().workload.late_value = 0.0;
    assert_eq!(settle(&mut router, T), ["execute 1 11"]);
}

#[test]
fn a_limit_is_reduced_once_per_jam() {
    let mut router = router(false);
    let before = router.nodes[&B].concurrency_limit;
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    for _ in 0..5 {
        router.executed(
            T,
            1,
            0,
            B,
            ExecutionOutcome::Rejected,
            0.0,
            false,
            None,
            f64::NEG_INFINITY,
        );
    }
    let limit = router.nodes[&B].concurrency_limit;
    assert!(limit < before && limit > before * 0.4, "{limit}");
}

/// Guards against queues of abandoned statements: with 177 routers, one execution per router filled a node's queue.
#[test_case(0.1, 0.9, true; "a node without congestion takes all")]
#[test_case(0.9, 0.1, true; "a congested node takes the lowest ranks")]
#[test_case(0.9, 0.9, false; "a congested node does not take the others")]
fn a_congested_node_takes_a_part(congestion: f64, rank: f64, expected: bool) {
    let mut router = router(false);
    let node = router.nodes.get_mut(&B).unwrap();
    (node.concurrency_limit, node.congestion, node.congestion_at) = (0.1, congestion, T);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    router.groups.get_mut(&G).unwrap().arrivals = rate(3.0);
    router.statements.get_mut(&1).unwrap().admission_rank = rank;
    assert_eq!(router.has_capacity(&router.statements[&1], B, T), expected);
}

/// The admission ranks of the most important workload are lower than those of the others.
#[test]
fn admission_ranks_follow_importance() {
    let mut router = router(false);
    take(&mut router, T, 1, WRITE, 0, 0.0);
    take(&mut router, T, 2, LOOSE, 0, 0.0);
    assert!(router.statements[&2].admission_rank >= 0.5);
}

#[test_case(NodeStatus::Gone, 0, false, true; "gone for a long time")]
#[test_case(NodeStatus::Draining, 0, false, false; "it only drains")]
#[test_case(NodeStatus::Gone, 1, false, false; "an execution is in flight there")]
#[test_case(NodeStatus::Gone, 0, true, false; "only drains bind: it may only be listed as gone")]
fn gone_nodes_are_forgotten(
    status: NodeStatus,
    in_flight: usize,
    only_draining: bool,
    expected: bool,
) {
    let mut router = router(false);
    router.drain.only_draining_binds = only_draining;
    router.nodes.get_mut(&C).unwrap().set_status(status, T);
    router.nodes.get_mut(&C).unwrap().in_flight = in_flight;
    assert!(router.forget_gone(T + 59.0).is_empty());
    assert_eq!(
        router.forget_gone(T + 61.0),
        if expected { vec![C] } else { vec![] }
    );
    assert_eq!(router.groups[&G].members.contains(&C), !expected);
}

#[test]
fn a_node_with_an_open_statement_is_not_forgotten() {
    let mut router = router(false);
    take(&mut router, T, 1, LOOSE, 0, 0.0);
    settle(&mut router, T);
    let sent = router.statements[&1].executions[0].node;
    router
        .nodes
        .get_mut(&sent)
        .unwrap()
        .set_status(NodeStatus::Gone, T);
    router.nodes.get_mut(&sent).unwrap().in_flight = 0;
    assert!(router.forget_gone(T + 100.0).is_empty());
}
