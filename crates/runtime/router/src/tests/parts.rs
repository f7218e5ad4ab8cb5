//! Outcomes of closed connections, the descriptor budget, idle clients, and changes of the node list.

use super::{instance, listed};
use crate::budget::{Budget, IdleEntry, WaitKind};
use crate::outcome;
use crate::spawn::Tasks;
use crate::watch::NodeRegistry;
use badgerstream_postgres_protocol::Close;
use badgerstream_routing::{ExecutionOutcome, NodeStatus};
use futures_lite::{FutureExt, future};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

#[test_case(
    Close::PeerClosed,
    ExecutionOutcome::SendInterrupted,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::IoError,
    ExecutionOutcome::SendInterrupted,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::Refused,
    ExecutionOutcome::ConnectFailed,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::PeerTimeout,
    ExecutionOutcome::ConnectFailed,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::TooManyConnections,
    ExecutionOutcome::Rejected,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::Malformed("wrong"),
    ExecutionOutcome::SendInterrupted,
    ExecutionOutcome::InvalidAnswer
)]
#[test_case(
    Close::TimedOut,
    ExecutionOutcome::NeverIssued,
    ExecutionOutcome::TimedOut
)]
#[test_case(
    Close::Cancelled,
    ExecutionOutcome::NeverIssued,
    ExecutionOutcome::Cancelled
)]
#[test_case(
    Close::Withdrawn,
    ExecutionOutcome::NeverIssued,
    ExecutionOutcome::ConnectionLost
)]
#[test_case(
    Close::NoMemory,
    ExecutionOutcome::NeverIssued,
    ExecutionOutcome::Cancelled
)]
#[test_case(
    Close::NoDescriptor,
    ExecutionOutcome::NeverIssued,
    ExecutionOutcome::ConnectionLost
)]
fn only_unwritten_statements_are_proved_unrun(
    close: Close,
    unwritten: ExecutionOutcome,
    written: ExecutionOutcome,
) {
    assert_eq!(
        (
            outcome::from_close(close, false),
            outcome::from_close(close, true)
        ),
        (unwritten, written)
    );
    assert!(unwritten.proves_unrun() && !written.proves_unrun());
}

#[test]
fn clients_leave_a_quarter_of_the_descriptors_to_nodes() {
    let budget = Budget::new(24 + 8);
    let clients: Vec<_> = std::iter::from_fn(|| budget.for_client()).collect();
    let nodes: Vec<_> = std::iter::from_fn(|| budget.for_node()).collect();
    assert_eq!((clients.len(), nodes.len()), (6, 2));
    drop(clients);
    assert!(
        budget.for_client().is_some(),
        "a connection that ends returns its descriptor"
    );
}

/// Indexes of the entries that are requested to close.
fn requested_to_close(entries: &[&IdleEntry]) -> Vec<usize> {
    let tasks = Tasks::default();
    let is_requested =
        |i: &usize| super::run(&tasks, future::poll_once(entries[*i].close_requested())).is_some();
    (0..entries.len()).filter(is_requested).collect()
}

#[test]
fn incomplete_clients_close_first_then_the_longest_idle() {
    let budget = Budget::new(1024);
    let leases: Vec<_> = (0..5).map(|_| budget.for_client().unwrap()).collect();
    let kinds = [
        WaitKind::IdleNode,
        WaitKind::IdleClient,
        WaitKind::Incomplete,
        WaitKind::Incomplete,
        WaitKind::IdleClient,
    ];
    let mut entries: Vec<_> = leases
        .iter()
        .zip(kinds)
        .map(|(l, kind)| l.register_idle(kind))
        .collect();
    // A client with an incomplete message keeps its rank after it has read a byte: the rank is by connect time.
    drop(entries.remove(2));
    entries.insert(2, leases[2].register_idle(WaitKind::Incomplete));
    for expected in [&[2][..], &[2, 3], &[0, 2, 3], &[0, 1, 2, 3]] {
        assert!(budget.close_one_idle());
        assert_eq!(
            requested_to_close(&entries.iter().collect::<Vec<_>>()),
            expected
        );
    }
    drop(entries);
    assert!(!budget.close_one_idle(), "busy connections are not closed");
}

#[test]
fn shutdown_closes_clients_without_a_statement_last() {
    let budget = Budget::new(1024);
    let leases: Vec<_> = (0..3).map(|_| budget.for_client().unwrap()).collect();
    let [incomplete, client, node] = [
        (0, WaitKind::Incomplete),
        (1, WaitKind::IdleClient),
        (2, WaitKind::IdleNode),
    ]
    .map(|(i, kind)| leases[i].register_idle(kind));
    budget.close_idle_clients();
    assert_eq!(
        requested_to_close(&[&incomplete, &client, &node]),
        [1],
        "the first statement of the incomplete client may be on its way"
    );
    assert_eq!(
        requested_to_close(&[&leases[1].register_idle(WaitKind::IdleClient)]),
        [0],
        "a connection that becomes idle later closes, too"
    );
    budget.close_all_clients();
    assert_eq!(requested_to_close(&[&incomplete, &client, &node]), [0, 1]);
}

/// Guards against an incident: clients that sent one statement and stayed connected left no connection for others.
#[test]
fn idle_clients_are_closed_while_many_are_connected() {
    let budget = Budget::new(24 + 16);
    let mut leases: Vec<_> = (0..7).map(|_| budget.for_client().unwrap()).collect();
    leases
        .iter_mut()
        .take(6)
        .for_each(|lease| lease.connected());
    let kinds = [
        WaitKind::IdleClient,
        WaitKind::IdleClient,
        WaitKind::Incomplete,
        WaitKind::IdleClient,
        WaitKind::IdleClient,
        WaitKind::IdleClient,
        WaitKind::IdleNode,
    ];
    let entries: Vec<_> = leases
        .iter()
        .zip(kinds)
        .map(|(lease, kind)| lease.register_idle(kind))
        .collect();
    budget.close_excess_idle_clients(Duration::from_secs(60));
    assert!(
        requested_to_close(&entries.iter().collect::<Vec<_>>()).is_empty(),
        "no client has been idle for long"
    );
    budget.close_excess_idle_clients(Duration::ZERO);
    assert_eq!(
        requested_to_close(&entries.iter().collect::<Vec<_>>()),
        [0, 1],
        "clients down to a quarter of the budget stay, the longest idle are closed"
    );
}

#[test]
fn a_smaller_budget_takes_effect_as_connections_end() {
    let budget = Budget::new(24 + 16);
    let mut leases: Vec<_> = std::iter::from_fn(|| budget.for_node()).collect();
    budget.resize(24 + 8);
    assert!(budget.for_node().is_none());
    leases.truncate(7);
    assert!(budget.for_node().is_some() && leases.len() == 7);
}

#[test]
fn repeated_log_lines_are_suppressed_and_counted() {
    let throttle = crate::wire::LogThrottle::new();
    assert_eq!(
        (throttle.due(), throttle.due(), throttle.due()),
        (Some(0), None, None)
    );
}

#[test]
fn a_timeout_ends_pending_work_but_not_completed_work() {
    let tasks = Tasks::default();
    let within = |work| {
        super::run(
            &tasks,
            crate::wire::within(Duration::ZERO, Close::PeerTimeout, work),
        )
    };
    assert_eq!(within(future::ready(Ok(7)).boxed_local()), Ok(7));
    assert_eq!(
        within(future::pending::<Result<i32, Close>>().boxed_local()),
        Err(Close::PeerTimeout)
    );
}

#[test]
fn a_task_that_panics_ends_alone() {
    let tasks = Tasks::default();
    super::run(&tasks, async {
        tasks.spawn("a test", async { panic!("on purpose") }).await;
        tasks.spawn("a test", async {}).await;
    });
}

#[test]
fn replaced_nodes_are_removed_completely() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (mut born, registry) = (instance(), NodeRegistry::new(Vec::new()));
    for day in 0..100 {
        let now = 100.0 * f64::from(day);
        let mut list = listed(1, &dials);
        for host in list["hosts"].as_array_mut().unwrap() {
            host["host"] = format!("{}-{day}", host["host"]).into();
        }
        registry.apply_list(&mut born, now, &list).unwrap();
        registry.remove(&born.forget_gone(now + 50.0));
    }
    // The last two nodes, and the two before them, which have been gone for 50 s.
    assert_eq!((born.nodes.len(), born.groups[&2].members.len()), (4, 4));
    assert!(registry.address(0) == Err(Close::Refused) && registry.address(199).is_ok());
}

#[test]
fn a_list_changes_status_and_address() {
    let dials: Vec<SocketAddr> = (1..3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let (mut born, registry) = (instance(), NodeRegistry::new(Vec::new()));
    assert_eq!(
        registry.apply_list(&mut born, 1.0, &listed(41, &dials)),
        Ok(41)
    );
    let change = json!({"seq": 43, "whole": false, "hosts": [
        {"host": "s-1", "dial": "127.0.0.9:9", "site": "a", "block": 2, "health": "terminating", "born_ms": 0}]});
    assert_eq!(registry.apply_list(&mut born, 2.0, &change), Ok(43));
    assert_eq!(
        (born.nodes[&0].status, born.nodes[&1].status),
        (NodeStatus::Ready, NodeStatus::Draining)
    );
    assert_eq!(
        (
            born.nodes[&1].unavailable_since,
            registry.address(1).unwrap().port(),
            registry.address(0).unwrap().port()
        ),
        (2.0, 9, 1)
    );
    registry
        .apply_list(&mut born, 3.0, &listed(44, &dials[..1]))
        .unwrap();
    assert_eq!(
        born.nodes[&1].status,
        NodeStatus::Gone,
        "a complete list does not have it"
    );
    assert!(
        registry
            .apply_list(
                &mut born,
                4.0,
                &json!({"seq": 45, "whole": true, "hosts": [{}]})
            )
            .is_err()
    );
    assert_eq!(
        born.nodes[&0].status,
        NodeStatus::Ready,
        "an invalid list removes no node"
    );
}
