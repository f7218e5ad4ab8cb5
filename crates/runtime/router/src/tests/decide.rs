//! The way into the decisions: exactly one answer a statement, and the truth of executions.

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

/// A read that was taken, and the execution that it was sent on.
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
        panic!("nothing sent")
    };
    assert!(orders.is_empty() && *statement == "read");
    (dispatcher, ticket, stmt, execution)
}

fn answer(tasks: &Tasks, ticket: &Ticket<&'static str, &'static str>) -> Final<&'static str> {
    super::run(tasks, ticket.answer())
}

#[test]
fn a_completion_is_the_answer() {
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
        assert!(instance.statements.is_empty(), "it is over there, too");
        assert_eq!(
            instance.nodes.values().map(|n| n.in_flight).sum::<usize>(),
            0
        );
    });
}

#[test]
fn the_second_completion_of_a_statement_goes_nowhere() {
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
        "the channel is closed behind the one answer"
    );
}

#[test]
fn an_execution_that_fails_is_sent_anew() {
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
fn an_execution_that_is_lost_without_a_word_may_have_run() {
    let (dispatcher, _ticket, stmt, execution) = sent();
    drop(dispatcher.running_execution(stmt, execution));
    assert_eq!(ended(&dispatcher), Some(ExecutionOutcome::ConnectionLost));
}

#[test]
fn a_client_that_left_frees_its_executions() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let ticket = dispatcher.arrived("read", 0, 2, 0, 0, 60.0, None);
    let Some(Order::Execute {
        stmt,
        execution,
        cancelled,
        ..
    }) = settled(&dispatcher).pop()
    else {
        panic!("unsent")
    };
    assert!(!cancelled.is_closed());
    drop(ticket);
    assert!(settled(&dispatcher).is_empty() && cancelled.is_closed());
    dispatcher.update(|instance, _| assert!(instance.statements.is_empty()));
    // Two ends of one execution count once, and an answer goes nowhere.
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
            "none but the first guesses"
        );
    });
}

#[test]
fn a_settling_takes_no_wake_back() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let beat = || dispatcher.settle(&|_| {});
    assert!(beat().is_some());
    assert!(
        beat().is_some(),
        "the beat asked for before is still to come"
    );
}

#[test]
fn no_time_left_means_an_answer_at_once() {
    let tasks = Tasks::default();
    let (dispatcher, _) = dispatcher::<&str, &str>(&nodes());
    let ticket = dispatcher.arrived("read", 0, 2, 0, 0, 0.0, None);
    assert!(settled(&dispatcher).is_empty());
    assert_eq!(answer(&tasks, &ticket), Final::Rejected(0.0));
}

#[test_case(NodeStatus::Ready, true; "in service")]
#[test_case(NodeStatus::Gone, false; "gone")]
fn what_let_it_go_is_looked_at_again(standing: NodeStatus, expected: bool) {
    let (dispatcher, _ticket, stmt, _) = sent();
    dispatcher.update(|instance, now| {
        instance
            .nodes
            .get_mut(&1)
            .unwrap()
            .set_status(standing, now);
    });
    assert_eq!(dispatcher.may_still_send(stmt, 1), expected);
    assert!(
        !dispatcher.may_still_send(stmt + 1, 1) && !dispatcher.may_still_send(stmt, 9),
        "neither is known"
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
fn positions_share_the_clock() {
    let (dispatcher, _) = dispatcher::<&str, &str>(&[node(&[super::Script::Hangs])]);
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    dispatcher.update(|_, now| assert!((now - unix).abs() < 60.0));
    let _ticket = dispatcher.arrived("read", 0, 2, 5, 0, 60.0, Some(unix + 0.0005));
    dispatcher.update(|instance, _| {
        let owed = instance.statements.values().next().unwrap().required_lsn;
        assert!(
            owed > unix,
            "a commit that is rounded up to just ahead of now is owed all the same"
        );
    });
}
