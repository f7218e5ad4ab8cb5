//! The dispatcher: each statement gets exactly one answer, and each execution's outcome is recorded once.

use super::{dispatcher, ended, node, settled};
use crate::decide::{Dispatcher, Final, Order, Ticket};
use crate::spawn::Tasks;
use badgerstream_routing::{ExecutionOutcome, NodeStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;

type Any = Dispatcher<&'static str, &'static str>;

fn nodes() -> Vec<SocketAddr> {
    (1..4)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// Accepts a read and returns its ticket, number and first execution.
fn sent() -> (Rc<Any>, Ticket<&'static str, &'static str>, u32, u8) {
    let (dispatcher, _) = dispatcher(&nodes());
    let ticket = dispatcher.arrived("read", 0, 2, 0, 0, 60.0, None);
    let mut orders = settled(&dispatcher);
    let Some(Order::Execute {
        stmt,
        execution,
        statement,
        ..
    }) = orders.pop()
    else {
        panic!("no execution was ordered")
    };
    assert!(orders.is_empty() && *statement == "read");
    (dispatcher, ticket, stmt, execution)
}

fn answer(tasks: &Tasks, ticket: &Ticket<&'static str, &'static str>) -> Final<&'static str> {
    super::run(tasks, ticket.answer())
}

#[test]
fn a_completed_execution_answers_its_statement() {
    let tasks = Tasks::default();
    let (dispatcher, ticket, stmt, execution) = sent();
    dispatcher.running_execution(stmt, execution).ended(
        ExecutionOutcome::Completed,
        None,
        f64::NEG_INFINITY,
        None,
        Some("row"),
    );
    assert_eq!(answer(&tasks, &ticket), Final::Completed("row"));
    settled(&dispatcher);
    dispatcher.update(|instance, _| {
        assert!(
            instance.statements.is_empty(),
            "the instance has no open statement either"
        );
        assert_eq!(
            instance.nodes.values().map(|n| n.in_flight).sum::<usize>(),
            0
        );
    });
}

#[test]
fn a_second_completion_of_a_statement_is_ignored() {
    let tasks = Tasks::default();
    let (dispatcher, ticket, stmt, execution) = sent();
    let [first, late] = [0, 1].map(|_| dispatcher.running_execution(stmt, execution));
    first.ended(
        ExecutionOutcome::Completed,
        None,
        f64::NEG_INFINITY,
        None,
        Some("row"),
    );
    late.ended(
        ExecutionOutcome::Completed,
        None,
        f64::NEG_INFINITY,
        None,
        Some("another"),
    );
    assert_eq!(answer(&tasks, &ticket), Final::Completed("row"));
    assert_eq!(
        answer(&tasks, &ticket),
        Final::Aborted,
        "the channel is closed after the one answer"
    );
}

#[test]
fn a_failed_execution_is_repeated() {
    let (dispatcher, _ticket, stmt, execution) = sent();
    dispatcher.running_execution(stmt, execution).ended(
        ExecutionOutcome::Rejected,
        None,
        f64::NEG_INFINITY,
        None,
        None,
    );
    let orders = settled(&dispatcher);
    assert!(matches!(orders[..], [Order::Execute { execution: 1, .. }]));
}

#[test]
fn a_dropped_execution_counts_as_connection_lost() {
    let (dispatcher, _ticket, stmt, execution) = sent();
    drop(dispatcher.running_execution(stmt, execution));
    assert_eq!(ended(&dispatcher), Some(ExecutionOutcome::ConnectionLost));
}

#[test]
fn a_disconnected_client_cancels_its_executions() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let ticket = dispatcher.arrived("read", 0, 2, 0, 0, 60.0, None);
    let Some(Order::Execute {
        stmt,
        execution,
        cancelled,
        ..
    }) = settled(&dispatcher).pop()
    else {
        panic!("no execution was ordered")
    };
    assert!(!cancelled.is_closed());
    drop(ticket);
    assert!(settled(&dispatcher).is_empty() && cancelled.is_closed());
    dispatcher.update(|instance, _| assert!(instance.statements.is_empty()));
    // Two ends of one execution count once, and the answer is ignored.
    let [first, second] = [0, 1].map(|_| dispatcher.running_execution(stmt, execution));
    first.ended(
        ExecutionOutcome::Cancelled,
        None,
        f64::NEG_INFINITY,
        None,
        None,
    );
    second.ended(
        ExecutionOutcome::Completed,
        None,
        f64::NEG_INFINITY,
        None,
        Some("row"),
    );
    dispatcher.update(|instance, _| {
        assert_eq!(
            instance.nodes.values().map(|n| n.in_flight).sum::<usize>(),
            0
        );
        assert_eq!(
            instance.nodes.values().map(|n| n.answers).sum::<f64>(),
            12.0,
            "nothing was added to the initial estimates"
        );
    });
}

#[test]
fn settling_keeps_earlier_wake_requests() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let settle = || dispatcher.settle(&|_| {});
    assert!(settle().is_some());
    assert!(
        settle().is_some(),
        "the wake requested by the first call is still due"
    );
}

#[test]
fn a_statement_without_time_left_is_rejected_at_once() {
    let tasks = Tasks::default();
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let ticket = dispatcher.arrived("read", 0, 2, 0, 0, 0.0, None);
    assert!(settled(&dispatcher).is_empty());
    assert_eq!(answer(&tasks, &ticket), Final::Rejected(0.0));
}

#[test_case(NodeStatus::Ready, true; "in service")]
#[test_case(NodeStatus::Gone, false; "gone")]
fn eligibility_is_checked_again_before_sending(status: NodeStatus, expected: bool) {
    let (dispatcher, _ticket, stmt, _) = sent();
    dispatcher.update(|instance, now| {
        instance.nodes.get_mut(&1).unwrap().set_status(status, now);
    });
    assert_eq!(dispatcher.may_still_send(stmt, 1), expected);
    assert!(
        !dispatcher.may_still_send(stmt + 1, 1) && !dispatcher.may_still_send(stmt, 9),
        "an unknown statement and an unknown node are not eligible"
    );
}

#[test]
fn a_read_that_waited_too_long_for_its_connection_is_not_sent() {
    let (dispatcher, _ticket, stmt, _) = sent();
    dispatcher.update(|instance, now| {
        let s = instance.statements.get_mut(&stmt).unwrap();
        s.workload.consistency = badgerstream_routing::Consistency::Recent { max_age_s: 0.5 };
        instance.nodes.get_mut(&1).unwrap().lsn = now - 0.6;
    });
    assert!(!dispatcher.may_still_send(stmt, 1));
}

#[test]
fn the_clock_is_comparable_with_positions() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&[node(&[super::Script::Hangs])]);
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    dispatcher.update(|_, now| assert!((now - unix).abs() < 60.0));
    let _ticket = dispatcher.arrived("read", 0, 2, 5, 0, 60.0, Some(unix + 0.0005));
    dispatcher.update(|instance, _| {
        let required = instance.statements.values().next().unwrap().required_lsn;
        assert!(
            required > unix,
            "a commit position that was rounded up into the future is still required"
        );
    });
}
