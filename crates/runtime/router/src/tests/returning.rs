//! Coming back on real connections: what the decisions hold back stays back, and goes once they allow it.

use super::Script::{Answers, AnswersLate};
use super::{answer, ended, instance, listed, node, pool_behind, run, settled, statement};
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

/// More than any machine takes.
const EVER: f64 = 500_000.0;
const MOMENT: Duration = Duration::from_millis(50);

/// A router that has just started, with times so generous that only what is told leads on.
fn returning(dials: &[SocketAddr], linger_ms: f64) -> (Rc<StatementDispatcher>, Rc<NodeRegistry>) {
    let settings = Settings {
        list_wait_ms: EVER,
        sounding_ms: EVER,
        stood_still_ms: EVER,
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

/// The same, at full pace: the only router that there is, with a connection that came up.
fn returned(dials: &[SocketAddr], linger_ms: f64) -> (Rc<StatementDispatcher>, Rc<NodeRegistry>) {
    let (dispatcher, registry) = returning(dials, linger_ms);
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

fn pool(tasks: &Tasks, dispatcher: &Rc<StatementDispatcher>, gated: bool) -> Rc<Pool> {
    pool_behind(
        tasks,
        if gated {
            RestartPacing::for_dispatcher(dispatcher)
        } else {
            RestartPacing::disabled()
        },
    )
}

/// Somebody listens and never says a word.
fn silent() -> (TcpListener, SocketAddr) {
    let door = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = door.local_addr().unwrap();
    (door, address)
}

#[test]
fn nothing_goes_out_before_the_list() {
    let (dispatcher, _) = returning(&[node(&[Answers(answer)])], 0.0);
    let _ticket = dispatcher.arrived(statement(), 0, 2, 0, 0, 60.0, None);
    assert!(settled(&dispatcher).is_empty());
    dispatcher.update(|instance, now| instance.discovery_answered(now));
    let sent = |order: &Order<_>| matches!(order, Order::Execute { .. });
    assert!(
        settled(&dispatcher).iter().any(sent),
        "to the node that shows how things stand"
    );
}

#[test_case(true, 1; "one after another")]
#[test_case(false, 3; "each its own, as ever")]
fn those_that_wait_at_one_node_open(gated: bool, opening: usize) {
    let tasks = Tasks::default();
    let (door, address) = silent();
    let (dispatcher, _) = returned(&[address], 0.0);
    let pool = pool(&tasks, &dispatcher, gated);
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
    drop(door);
}

#[test]
fn all_that_wait_hear_that_nobody_is_there() {
    let tasks = Tasks::default();
    let address = silent().1;
    let (dispatcher, _) = returned(&[address], 0.0);
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

#[test_case(EVER, 1; "its connection is there for the next")]
#[test_case(0.0, 0; "closed, as ever")]
fn an_execution_that_nobody_waits_for(linger_ms: f64, idle: usize) {
    let tasks = Tasks::default();
    let (dispatcher, registry) = returned(&[node(&[AnswersLate(answer)])], linger_ms);
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
        "whatever becomes of it, it was given up"
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
fn turned_on_in_service_it_holds_nothing_back() {
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
