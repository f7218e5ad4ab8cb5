//! Executions on real connections to fake nodes: which outcomes prove that a statement has not run.

use super::Script::{Answers, AnswersOnce, Greets, Hangs};
use super::{
    Script, answer, dispatcher, ended, error, executor, messages, node, row, run, statement,
};
use crate::budget::Budget;
use crate::decide::{Final, Order};
use crate::pool::Pool;
use crate::spawn::Tasks;
use badgerstream_routing::{ExecutionOutcome, NodeStatus};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use test_case::test_case;

fn pool(tasks: &Tasks) -> Rc<Pool> {
    super::pool(tasks, &Budget::new(1024))
}

/// Returns the outcome of one execution with this timeout in seconds, on an open connection or a new one.
fn executed(address: SocketAddr, limit: f64, connected: bool) -> Option<ExecutionOutcome> {
    let tasks = Tasks::default();
    let (dispatcher, registry) = dispatcher(&[address]);
    let pool = pool(&tasks);
    if connected {
        let connection = run(&tasks, pool.acquire(0, address)).unwrap().0;
        pool.release(0, connection);
    }
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    let orders = super::settled(&dispatcher);
    let Some(Order::Execute {
        stmt,
        execution,
        node,
        statement,
        cancelled,
        ..
    }) = orders.into_iter().next()
    else {
        panic!("no execution was ordered")
    };
    let order = Order::Execute {
        stmt,
        execution,
        node,
        limit,
        is_inquiry: false,
        statement,
        cancelled,
    };
    run(
        &tasks,
        crate::execute::run_order(dispatcher.clone(), pool, registry, order),
    );
    ended(&dispatcher)
}

#[test_case(&[Answers(answer)], ExecutionOutcome::Completed; "a row")]
#[test_case(&[AnswersOnce(row)], ExecutionOutcome::Completed; "a row, and the connection ends before the last message")]
#[test_case(&[Answers(|| error("53300"))], ExecutionOutcome::Rejected; "full")]
#[test_case(&[Answers(|| error("25006"))], ExecutionOutcome::NotEligible; "not the primary")]
#[test_case(&[Answers(|| error("72000"))], ExecutionOutcome::NotEligible; "too far behind")]
#[test_case(&[Answers(|| error("XX000"))], ExecutionOutcome::Errored; "an error")]
#[test_case(&[AnswersOnce(Vec::new)], ExecutionOutcome::ConnectionLost; "the connection ends after the statement was written")]
#[test_case(&[AnswersOnce(|| row()[..20].to_vec())], ExecutionOutcome::ConnectionLost; "half a row")]
#[test_case(&[Answers(|| messages(&[(b'Z', b"I")]))], ExecutionOutcome::InvalidAnswer; "a message out of order")]
#[test_case(&[Answers(|| b"D\xc0\0\0\0\0\x01".to_vec())], ExecutionOutcome::InvalidAnswer; "a value said to hold 3 GB")]
#[test_case(&[Greets(|| error("53300"))], ExecutionOutcome::Rejected; "too many connections")]
#[test_case(&[Greets(|| error("57P03"))], ExecutionOutcome::ConnectFailed; "startup rejected")]
#[test_case(&[Greets(Vec::new)], ExecutionOutcome::SendInterrupted; "the connection ends before the statement was written")]
#[test_case(&[Greets(|| b"!\0\0\0\x04".to_vec())], ExecutionOutcome::SendInterrupted; "an invalid startup answer")]
fn an_execution_has_the_outcome(scripts: &[Script], expected: ExecutionOutcome) {
    assert_eq!(executed(node(scripts), 60.0, false), Some(expected));
}

#[test]
fn a_statement_is_not_sent_if_its_node_is_gone_once_connected() {
    let tasks = Tasks::default();
    let (dispatcher, registry) = dispatcher(&[node(&[Answers(answer)])]);
    let pool = pool(&tasks);
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    let order = super::settled(&dispatcher).pop().expect("sent");
    dispatcher.update(|instance, now| {
        instance
            .nodes
            .get_mut(&0)
            .unwrap()
            .set_status(NodeStatus::Gone, now);
    });
    run(
        &tasks,
        crate::execute::run_order(dispatcher.clone(), pool.clone(), registry, order),
    );
    assert_eq!(
        (ended(&dispatcher), pool.idle()),
        (Some(ExecutionOutcome::NeverIssued), 1)
    );
}

#[test_case(false, ExecutionOutcome::NeverIssued; "before a byte was written")]
#[test_case(true, ExecutionOutcome::Cancelled; "after it was written")]
fn a_cancelled_execution_ends(connected: bool, expected: ExecutionOutcome) {
    let tasks = Tasks::default();
    let (dispatcher, registry) = dispatcher(&[node(&[Hangs])]);
    let pool = pool(&tasks);
    if connected {
        let connection = run(&tasks, pool.acquire(0, registry.address(0).unwrap()))
            .unwrap()
            .0;
        pool.release(0, connection);
    }
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    let order = super::settled(&dispatcher).pop().expect("sent");
    let Order::Execute { cancelled, .. } = &order else {
        panic!("no execution was ordered")
    };
    cancelled.close();
    run(
        &tasks,
        crate::execute::run_order(dispatcher.clone(), pool, registry, order),
    );
    assert_eq!(ended(&dispatcher), Some(expected));
}

#[test]
fn an_unreachable_node_fails_the_connect() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(
        executed(closed, 60.0, false),
        Some(ExecutionOutcome::ConnectFailed)
    );
}

#[test]
fn a_timeout_before_writing_proves_the_statement_unrun() {
    assert_eq!(
        executed(node(&[Hangs]), 0.0, false),
        Some(ExecutionOutcome::NeverIssued)
    );
}

#[test]
fn a_timeout_after_writing_proves_nothing() {
    assert_eq!(
        executed(node(&[Hangs]), 0.0, true),
        Some(ExecutionOutcome::TimedOut)
    );
}

#[test]
fn the_most_recently_used_connection_is_reused() {
    let (tasks, address) = (Tasks::default(), node(&[Answers(answer), Hangs]));
    let pool = pool(&tasks);
    run(&tasks, async {
        for round in 0..3 {
            let (mut connection, waited) = pool.acquire(0, address).await.unwrap();
            assert_eq!(waited, round == 0);
            connection
                .query("SELECT 1", &Default::default())
                .await
                .unwrap();
            pool.release(0, connection);
        }
    });
}

#[test]
fn a_connection_closed_while_idle_is_not_reused() {
    let (tasks, address) = (
        Tasks::default(),
        node(&[AnswersOnce(answer), Answers(answer)]),
    );
    let pool = pool(&tasks);
    run(&tasks, async {
        let (mut connection, _) = pool.acquire(0, address).await.unwrap();
        connection
            .query("SELECT 1", &Default::default())
            .await
            .unwrap();
        pool.release(0, connection);
        // The fake node closes it; the pool detects this without a statement.
        while pool.idle() > 0 {
            futures_lite::future::yield_now().await;
        }
        let (mut connection, waited) = pool.acquire(0, address).await.unwrap();
        assert!(waited, "a new one was opened");
        assert!(
            connection
                .query("SELECT 1", &Default::default())
                .await
                .is_ok()
        );
    });
}

#[test_case(AnswersOnce(row); "the last message of the answer is missing")]
#[test_case(AnswersOnce(|| [answer(), answer()].concat()); "a second answer")]
fn a_connection_in_an_invalid_state_is_not_kept(script: Script) {
    let (tasks, address) = (Tasks::default(), node(&[script]));
    let pool = pool(&tasks);
    run(&tasks, async {
        let (mut connection, _) = pool.acquire(0, address).await.unwrap();
        assert!(
            connection
                .query("SELECT 1", &Default::default())
                .await
                .is_ok()
        );
        pool.release(0, connection);
        assert_eq!(pool.idle(), 0);
    });
}

#[test]
fn a_connection_to_a_previous_address_is_not_reused() {
    let tasks = Tasks::default();
    let (before, now) = (node(&[Answers(answer)]), node(&[Answers(answer)]));
    let pool = pool(&tasks);
    run(&tasks, async {
        let (connection, _) = pool.acquire(0, before).await.unwrap();
        pool.release(0, connection);
        assert!(pool.acquire(0, now).await.unwrap().1);
        assert_eq!(pool.idle(), 0);
    });
}

#[test]
fn a_waiter_gets_the_first_connection_that_is_released() {
    let (tasks, address) = (Tasks::default(), node(&[Answers(answer), Hangs]));
    let pool = pool(&tasks);
    run(&tasks, async {
        let (connection, _) = pool.acquire(0, address).await.unwrap();
        // The waiter's own connection is never established: the listener does not answer.
        let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let waits = pool.acquire(0, silent.local_addr().unwrap());
        let frees = async {
            futures_lite::future::yield_now().await;
            pool.release(0, connection);
            std::future::pending().await
        };
        assert!(futures_lite::future::or(waits, frees).await.is_ok());
    });
}

#[test]
fn idle_connections_are_closed_to_free_descriptors() {
    let (tasks, address) = (Tasks::default(), node(&[Answers(answer)]));
    // Eight connections, in addition to the descriptors reserved for the process.
    let pool = super::pool(&tasks, &Budget::new(32));
    run(&tasks, async {
        let mut taken = Vec::new();
        for _ in 0..8 {
            taken.push(pool.acquire(0, address).await.unwrap().0);
        }
        let mut waits = std::pin::pin!(pool.acquire(1, address));
        assert!(
            futures_lite::future::poll_once(&mut waits).await.is_none(),
            "all connections are busy"
        );
        pool.release(0, taken.pop().unwrap());
        assert!(
            waits.await.is_ok(),
            "the idle connection was closed for the other node"
        );
    });
}

#[test]
fn a_statement_is_executed_and_answered() {
    let tasks = Tasks::default();
    let (dispatcher, registry) = dispatcher(&[node(&[Answers(answer)])]);
    let pool = pool(&tasks);
    tasks
        .spawn(
            "routing",
            dispatcher
                .clone()
                .run(executor(&tasks, &dispatcher, &pool, &registry)),
        )
        .detach();
    let ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    assert_eq!(run(&tasks, ticket.answer()), Final::Completed(row()));
}

#[test]
fn a_probe_updates_position_and_role() {
    let tasks = Tasks::default();
    let vitals = || {
        let value = b"\0\x01\0\0\0\x09x0=5,x1=0";
        let described = (
            b'T',
            b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0".as_slice(),
        );
        messages(&[described, (b'D', value), (b'C', b"SHOW\0"), (b'Z', b"I")])
    };
    let (dispatcher, registry) = dispatcher(&[node(&[Answers(vitals)])]);
    run(
        &tasks,
        crate::probe::probe(dispatcher.clone(), pool(&tasks), registry, 0),
    );
    dispatcher.update(|instance, _| {
        assert_eq!(
            (instance.nodes[&0].lsn, instance.nodes[&0].denied_primary_at),
            (4.999, 4.999)
        );
    });
}
