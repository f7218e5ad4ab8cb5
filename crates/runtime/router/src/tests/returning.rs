//! Restart pacing with real connections: statements and connections wait until it allows them.

use super::Script::{Answers, AnswersLate};
use super::{answer, ended, instance, listed, node, paced_pool, run, settled, statement};
use crate::decide::{Clock, Dispatcher, Order};
use crate::execute::StatementDispatcher;
use crate::pool::Pool;
use crate::restart_pacing::RestartPacing;
use crate::spawn::Tasks;
use crate::watch::NodeRegistry;
use async_io::Timer;
use badgerstream_postgres_protocol::Close;
use badgerstream_routing::ExecutionOutcome;
use badgerstream_routing::recovery::{Phase, Settings};
use futures_lite::future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;

/// Longer than any test takes, in milliseconds.
const FOREVER_MS: f64 = 500_000.0;
const MOMENT: Duration = Duration::from_millis(50);

/// A router that has just started, with timeouts so long that only events change its phase.
fn started(dials: &[SocketAddr], linger_ms: f64) -> (Rc<StatementDispatcher>, Rc<NodeRegistry>) {
    let settings = Settings {
        list_wait_ms: FOREVER_MS,
        sounding_ms: FOREVER_MS,
        stood_still_ms: FOREVER_MS,
        linger_ms,
        ..Settings::default()
    };
    let (mut born, clock, registry) = (
        instance(),
        Clock::new(),
        NodeRegistry::new(vec!["a".to_string()]),
    );
    born.set_restart_pacing(clock.now(), Some(settings), 1, "r");
    registry
        .apply_list(&mut born, clock.now(), &listed(1, dials))
        .unwrap();
    (Dispatcher::new(born, clock), registry)
}

/// The same in phase full: it is the only router, and a connection has been opened.
fn in_full_phase(
    dials: &[SocketAddr],
    linger_ms: f64,
) -> (Rc<StatementDispatcher>, Rc<NodeRegistry>) {
    let (dispatcher, registry) = started(dials, linger_ms);
    dispatcher.update(|instance, now| instance.discovery_answered(now));
    dispatcher.recovery(true, |recovery, now| {
        recovery.connection_opened(now, 0, 0.0);
    });
    assert_eq!(
        dispatcher.recovery(false, |recovery, _| recovery.phase()),
        Some(Phase::Full)
    );
    (dispatcher, registry)
}

fn pool(tasks: &Tasks, dispatcher: &Rc<StatementDispatcher>, paced: bool) -> Rc<Pool> {
    paced_pool(
        tasks,
        if paced {
            RestartPacing::for_dispatcher(dispatcher)
        } else {
            RestartPacing::disabled()
        },
    )
}

/// A listener that never answers on a connection.
fn unresponsive() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn no_statement_is_sent_before_the_list_arrives() {
    let (dispatcher, _) = started(&[node(&[Answers(answer)])], 0.0);
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    assert!(settled(&dispatcher).is_empty());
    dispatcher.update(|instance, now| instance.discovery_answered(now));
    let sent = |order: &Order<_>| matches!(order, Order::Execute { .. });
    assert!(
        settled(&dispatcher).iter().any(sent),
        "the statement is sent once the list has arrived"
    );
}

#[test_case(true, 1; "one at a time with restart pacing")]
#[test_case(false, 3; "one per waiter without restart pacing")]
fn waiters_at_one_node_open_connections(paced: bool, opening: usize) {
    let tasks = Tasks::default();
    let (listener, address) = unresponsive();
    let (dispatcher, _) = in_full_phase(&[address], 0.0);
    let pool = pool(&tasks, &dispatcher, paced);
    let all = async {
        let takes = future::zip(
            pool.acquire(0, address),
            future::zip(pool.acquire(0, address), pool.acquire(0, address)),
        );
        future::or(async { drop(takes.await) }, async {
            _ = Timer::after(MOMENT).await;
        })
        .await;
        pool.connection_counts(0).0
    };
    assert_eq!(run(&tasks, all), opening);
    drop(listener);
}

#[test]
fn all_waiters_fail_if_the_node_is_unreachable() {
    let tasks = Tasks::default();
    let address = unresponsive().1;
    let (dispatcher, _) = in_full_phase(&[address], 0.0);
    let pool = pool(&tasks, &dispatcher, true);
    let both = run(
        &tasks,
        future::zip(pool.acquire(0, address), pool.acquire(0, address)),
    );
    assert!(matches!(
        (both.0.err(), both.1.err()),
        (Some(Close::Refused), Some(Close::Refused))
    ));
}

#[test_case(FOREVER_MS, 1; "the connection is kept with lingering")]
#[test_case(0.0, 0; "the connection is closed without lingering")]
fn a_cancelled_execution_lingers(linger_ms: f64, idle: usize) {
    let tasks = Tasks::default();
    let (dispatcher, registry) = in_full_phase(&[node(&[AnswersLate(answer)])], linger_ms);
    let pool = pool(&tasks, &dispatcher, true);
    let connection = run(&tasks, pool.acquire(0, registry.address(0).unwrap()))
        .unwrap()
        .0;
    pool.release(0, connection);
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    let order = settled(&dispatcher).pop().expect("sent");
    let Order::Execute { cancelled, .. } = &order else {
        panic!("no execution")
    };
    cancelled.close();
    run(
        &tasks,
        crate::execute::run_order(dispatcher.clone(), pool.clone(), registry, order),
    );
    assert_eq!(
        ended(&dispatcher),
        Some(ExecutionOutcome::Cancelled),
        "it counts as cancelled whether or not it completes"
    );
    let waited = async {
        for _ in 0..600 {
            if pool.idle() > 0 {
                break;
            }
            Timer::after(MOMENT / 10).await;
        }
        pool.idle()
    };
    assert_eq!(run(&tasks, waited), idle);
}

#[test]
fn enabling_restart_pacing_at_run_time_holds_nothing_back() {
    let (dispatcher, registry) = super::dispatcher(&[node(&[Answers(answer)])]);
    dispatcher.update(|instance, now| {
        instance.set_restart_pacing(now, Some(Settings::default()), 1, "r");
        registry.name_all(instance);
    });
    let _ticket: crate::decide::Ticket<_, Vec<u8>> =
        dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    assert!(!settled(&dispatcher).is_empty());
    assert_eq!(
        dispatcher.recovery(false, |recovery, _| recovery.known_nodes()),
        Some(1)
    );
}
