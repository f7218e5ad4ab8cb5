//! The way into the decisions: exactly one answer a statement, and the truth of executions.

use super::{desk, ended, node, settled};
use crate::decide::{Desk, Final, Order, Ticket};
use crate::spawn::Tasks;
use badgerstream_routing::{ExecutionOutcome, NodeStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use test_case::test_case;

type Any = Desk<&'static str, &'static str>;

fn nodes() -> Vec<SocketAddr> {
    (1..4)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// A read that was taken, and the execution that it was sent on.
fn sent() -> (Rc<Any>, Ticket<&'static str, &'static str>, u32, u8) {
    let (desk, _) = desk(&nodes());
    let ticket = desk.arrived("read", 0, 2, 0, 0, 60.0, None);
    let mut orders = settled(&desk);
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
    (desk, ticket, stmt, execution)
}

fn answer(tasks: &Tasks, ticket: &Ticket<&'static str, &'static str>) -> Final<&'static str> {
    super::run(tasks, ticket.answer())
}

#[test]
fn a_completion_is_the_answer() {
    let tasks = Tasks::default();
    let (desk, ticket, stmt, execution) = sent();
    desk.out(stmt, execution).ended(
        ExecutionOutcome::Completed,
        None,
        f64::NEG_INFINITY,
        None,
        Some("row"),
    );
    assert_eq!(answer(&tasks, &ticket), Final::Completed("row"));
    settled(&desk);
    desk.tell(|instance, _| {
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
    let (desk, ticket, stmt, execution) = sent();
    let [first, late] = [0, 1].map(|_| desk.out(stmt, execution));
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
    let (desk, _ticket, stmt, execution) = sent();
    desk.out(stmt, execution).ended(
        ExecutionOutcome::Rejected,
        None,
        f64::NEG_INFINITY,
        None,
        None,
    );
    let orders = settled(&desk);
    assert!(matches!(orders[..], [Order::Execute { execution: 1, .. }]));
}

#[test]
fn an_execution_that_is_lost_without_a_word_may_have_run() {
    let (desk, _ticket, stmt, execution) = sent();
    drop(desk.out(stmt, execution));
    assert_eq!(ended(&desk), Some(ExecutionOutcome::ConnectionLost));
}

#[test]
fn a_client_that_left_frees_its_executions() {
    let (desk, _) = desk::<&str, &str>(&nodes());
    let ticket = desk.arrived("read", 0, 2, 0, 0, 60.0, None);
    let Some(Order::Execute {
        stmt,
        execution,
        unwanted,
        ..
    }) = settled(&desk).pop()
    else {
        panic!("unsent")
    };
    assert!(!unwanted.is_closed());
    drop(ticket);
    assert!(settled(&desk).is_empty() && unwanted.is_closed());
    desk.tell(|instance, _| assert!(instance.statements.is_empty()));
    // Two ends of one execution count once, and an answer goes nowhere.
    let [first, second] = [0, 1].map(|_| desk.out(stmt, execution));
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
    desk.tell(|instance, _| {
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
    let (desk, _) = desk::<&str, &str>(&nodes());
    let beat = || desk.settle(&|_| {});
    assert!(beat().is_some());
    assert!(
        beat().is_some(),
        "the beat asked for before is still to come"
    );
}

#[test]
fn no_time_left_means_an_answer_at_once() {
    let tasks = Tasks::default();
    let (desk, _) = desk::<&str, &str>(&nodes());
    let ticket = desk.arrived("read", 0, 2, 0, 0, 0.0, None);
    assert!(settled(&desk).is_empty());
    assert_eq!(answer(&tasks, &ticket), Final::Rejected(0.0));
}

#[test_case(NodeStatus::Ready, true; "in service")]
#[test_case(NodeStatus::Gone, false; "gone")]
fn what_let_it_go_is_looked_at_again(standing: NodeStatus, expected: bool) {
    let (desk, _ticket, stmt, _) = sent();
    desk.tell(|instance, now| {
        instance
            .nodes
            .get_mut(&1)
            .unwrap()
            .set_status(standing, now);
    });
    assert_eq!(desk.still_stands(stmt, 1), expected);
    assert!(
        !desk.still_stands(stmt + 1, 1) && !desk.still_stands(stmt, 9),
        "neither is known"
    );
}

#[test]
fn a_read_that_waited_too_long_for_its_connection_is_not_sent() {
    let (desk, _ticket, stmt, _) = sent();
    desk.tell(|instance, now| {
        let s = instance.statements.get_mut(&stmt).unwrap();
        s.workload.consistency = badgerstream_routing::Consistency::Recent { max_age_s: 0.5 };
        instance.nodes.get_mut(&1).unwrap().lsn = now - 0.6;
    });
    assert!(!desk.still_stands(stmt, 1));
}

#[test]
fn positions_share_the_clock() {
    let (desk, _) = desk::<&str, &str>(&[node(&[super::Script::Hangs])]);
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    desk.tell(|_, now| assert!((now - unix).abs() < 60.0));
    let _ticket = desk.arrived("read", 0, 2, 5, 0, 60.0, Some(unix + 0.0005));
    desk.tell(|instance, _| {
        let owed = instance.statements.values().next().unwrap().required_lsn;
        assert!(
            owed > unix,
            "a commit that is rounded up to just ahead of now is owed all the same"
        );
    });
}
