//! The small parts: what ends mean, the shared descriptors, idle clients, lists that change.

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
fn only_what_was_not_written_is_proved_unrun(
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
        "what ends gives its own back"
    );
}

/// Who of these is asked to close, in this order.
fn asked(places: &[&IdleEntry]) -> Vec<usize> {
    let tasks = Tasks::default();
    let is_asked =
        |i: &usize| super::run(&tasks, future::poll_once(places[*i].close_requested())).is_some();
    (0..places.len()).filter(is_asked).collect()
}

#[test]
fn the_silent_make_room_first_then_who_is_idle_for_longest() {
    let budget = Budget::new(1024);
    let leases: Vec<_> = (0..5).map(|_| budget.for_client().unwrap()).collect();
    let kinds = [
        WaitKind::IdleNode,
        WaitKind::IdleClient,
        WaitKind::Incomplete,
        WaitKind::Incomplete,
        WaitKind::IdleClient,
    ];
    let mut places: Vec<_> = leases
        .iter()
        .zip(kinds)
        .map(|(l, kind)| l.register_idle(kind))
        .collect();
    // A silent one that reads a byte keeps its turn: it came when it came.
    drop(places.remove(2));
    places.insert(2, leases[2].register_idle(WaitKind::Incomplete));
    for expected in [&[2][..], &[2, 3], &[0, 2, 3], &[0, 1, 2, 3]] {
        assert!(budget.close_one_idle());
        assert_eq!(asked(&places.iter().collect::<Vec<_>>()), expected);
    }
    drop(places);
    assert!(!budget.close_one_idle(), "who is at work does not wait");
}

#[test]
fn at_the_end_who_has_just_come_is_closed_last() {
    let budget = Budget::new(1024);
    let leases: Vec<_> = (0..3).map(|_| budget.for_client().unwrap()).collect();
    let [silent, client, node] = [
        (0, WaitKind::Incomplete),
        (1, WaitKind::IdleClient),
        (2, WaitKind::IdleNode),
    ]
    .map(|(i, kind)| leases[i].register_idle(kind));
    budget.close_idle_clients();
    assert_eq!(
        asked(&[&silent, &client, &node]),
        [1],
        "its first statement may be on its way"
    );
    assert_eq!(
        asked(&[&leases[1].register_idle(WaitKind::IdleClient)]),
        [0],
        "who falls idle later closes, too"
    );
    budget.close_all_clients();
    assert_eq!(asked(&[&silent, &client, &node]), [0, 1]);
}

/// Found in an incident: clients that asked once and stayed left the others no connection.
#[test]
fn who_stays_without_asking_goes_while_many_are_connected() {
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
    let places: Vec<_> = leases
        .iter()
        .zip(kinds)
        .map(|(lease, kind)| lease.register_idle(kind))
        .collect();
    budget.close_excess_idle_clients(Duration::from_secs(60));
    assert!(
        asked(&places.iter().collect::<Vec<_>>()).is_empty(),
        "nobody has waited for long"
    );
    budget.close_excess_idle_clients(Duration::ZERO);
    assert_eq!(
        asked(&places.iter().collect::<Vec<_>>()),
        [0, 1],
        "a quarter stays, the longest idle go"
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
fn lines_that_peers_can_cause_are_counted_not_written() {
    let seldom = crate::wire::LogThrottle::new();
    assert_eq!(
        (seldom.due(), seldom.due(), seldom.due()),
        (Some(0), None, None)
    );
}

#[test]
fn what_takes_too_long_ends_but_what_is_there_counts() {
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
fn nodes_that_are_replaced_for_ever_leave_nothing_behind() {
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
    // The last two, and the two before them, which are gone for half a minute.
    assert_eq!((born.nodes.len(), born.groups[&2].members.len()), (4, 4));
    assert!(registry.address(0) == Err(Close::Refused) && registry.address(199).is_ok());
}

#[test]
fn a_list_changes_standing_and_address() {
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
        "a whole list leaves it out"
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
        "half a list takes nobody away"
    );
}
