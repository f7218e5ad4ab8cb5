//! Tests of the complete system on loopback: three control machines and two routers run as
//! processes; database servers, platform, operator and clients run in this process. Tests wait for
//! conditions, each with a timeout; they sleep only where a fault must last for some time.

use async_executor::LocalExecutor;
use async_io::Timer;
use badgerstream_control_api::status::Status;
use badgerstream_line_protocol::{ErrorCode, ExecutionOutcome};
use badgerstream_pooler::clock;
use badgerstream_pooler::notify::Notify;
use badgerstream_testbed::child_processes::ChildProcesses;
use badgerstream_testbed::client::Client;
use badgerstream_testbed::cluster_host::ClusterHost;
use badgerstream_testbed::database_cluster::ServerSpec;
use badgerstream_testbed::deployment::{Deployment, LoopbackNet, METRICS_PORT};
use badgerstream_testbed::fault_relay::{Direction, Fault, Relay};
use badgerstream_testbed::http_client::{self, HttpRequest};
use badgerstream_testbed::up;
use futures_lite::future;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a test.
const TEST_TIMEOUT_S: f64 = 30.0;

/// Timeout of a test with several faults: each fault may take seconds on a busy machine.
const LONG_TEST_TIMEOUT_S: f64 = 58.0;

/// Timeout for a condition after a fault; it allows for a disk on which a sync takes seconds.
const STEP_TIMEOUT_S: f64 = 25.0;

/// Number of writers; each has its own key, and a reader of that key.
const WRITERS: usize = 6;

/// A system under test.
struct TestSystem {
    executor: Rc<LocalExecutor<'static>>,
    deployment: Deployment,
    cluster_host: Rc<ClusterHost>,
    /// The relay in front of the platform.
    platform: Rc<Relay>,
    /// The relay in front of each database server, with the server's id.
    databases: Vec<(String, Rc<Relay>)>,
    child_processes: RefCell<ChildProcesses>,
    folder: PathBuf,
}

/// Observations of the clients.
#[derive(Default)]
struct ClientObservations {
    /// For each writer, the last value that was acknowledged, and the last that was sent.
    acknowledged: [Cell<u64>; WRITERS],
    sent: [Cell<u64>; WRITERS],
    writes: Cell<u64>,
    reads: Cell<u64>,
    /// Number of writes that definitely have no effect, and of those that may have one.
    rejected: Cell<u64>,
    unknown: Cell<u64>,
    /// Time of the last acknowledged write, and the longest time between two of them.
    last_write_at_s: Cell<f64>,
    longest_gap_s: Cell<f64>,
    stale_reads: RefCell<Vec<String>>,
    /// The ids of writes whose connection ended without a response.
    unacknowledged: RefCell<Vec<String>>,
    done: Cell<bool>,
    changed: Notify,
}

impl TestSystem {
    /// Starts a system at its own addresses, so that tests can run concurrently, and beside a quick
    /// start.
    fn start(executor: &Rc<LocalExecutor<'static>>, number: u32) -> Self {
        let mark = std::process::id() * 2 + number;
        let net = LoopbackNet([127, 16 + (mark % 200) as u8, (mark / 200 % 250) as u8]);
        let mut deployment = Deployment::new(net, 1, 2).unwrap();
        (deployment.platform_relayed, deployment.databases_relayed) = (true, true);
        let platform = Relay::start(
            executor,
            deployment.platform_relay_address(),
            deployment.platform_address(),
        )
        .unwrap();
        let servers = deployment
            .services()
            .into_iter()
            .flat_map(|service| service.servers);
        let database = |server: ServerSpec| {
            (
                server.id,
                Relay::start(executor, server.advertised_address, server.listen_address).unwrap(),
            )
        };
        let databases = servers.map(database).collect();
        let folder = std::env::temp_dir().join(format!(
            "badgerstream-testbed-system-{}-{number}",
            std::process::id()
        ));
        let cluster_host = up::start_cluster_host(executor, &deployment).unwrap();
        let mut child_processes = ChildProcesses::default();
        for file in deployment.write_settings(&folder, true).unwrap() {
            start_node(
                &mut child_processes,
                &file.process_name,
                &file.path,
                &folder,
            );
        }
        let (executor, child_processes) = (executor.clone(), RefCell::new(child_processes));
        Self {
            executor,
            deployment,
            cluster_host,
            platform,
            databases,
            child_processes,
            folder,
        }
    }

    fn client(&self, n: usize, observations: &Rc<ClientObservations>) {
        let front = self.deployment.router_addresses()[n % 2];
        self.executor
            .spawn(write(n, front, observations.clone()))
            .detach();
        self.executor
            .spawn(read(n, front, observations.clone()))
            .detach();
    }
}

impl Drop for TestSystem {
    fn drop(&mut self) {
        let ended = self.child_processes.borrow_mut().terminate_all();
        if std::thread::panicking() {
            eprintln!("the logs are in {}: {ended:?}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn start_node(child_processes: &mut ChildProcesses, name: &str, file: &Path, folder: &Path) {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerstream-testbed"));
    let settings = file.display().to_string();
    let metrics = METRICS_PORT.to_string();
    let arguments = ["serve", "--settings", &settings, "--metrics", &metrics];
    child_processes
        .start(
            name,
            program,
            &arguments,
            &folder.join(format!("{name}.log")),
        )
        .unwrap();
}

/// Writes 1, 2, 3 and so on to the writer's key, each value once.
async fn write(n: usize, front: SocketAddr, observations: Rc<ClientObservations>) {
    let mut client = None;
    while !observations.done.get() {
        let Some(session) = session(&mut client, front, "fresh1").await else {
            continue;
        };
        let value = observations.sent[n].get() + 1;
        observations.sent[n].set(value);
        let id = format!("w{n}-{value}");
        let answered = session.query(&id, &format!("PUT t{n} {value}")).await;
        let now = clock::now();
        match answered.as_ref().map(|a| a.result.error) {
            Ok(None) => {
                observations.acknowledged[n].set(value);
                observations.writes.set(observations.writes.get() + 1);
                observations.longest_gap_s.set(
                    observations
                        .longest_gap_s
                        .get()
                        .max(now - observations.last_write_at_s.get()),
                );
                observations.last_write_at_s.set(now);
            }
            Ok(Some(code)) if is_definite_failure(code) => {
                observations.rejected.set(observations.rejected.get() + 1);
            }
            unknown => {
                if unknown.is_err() {
                    observations.unacknowledged.borrow_mut().push(id);
                }
                observations.unknown.set(observations.unknown.get() + 1);
                client = None;
            }
        }
        observations.changed.notify_waiters();
    }
}

/// Reads the key of one writer, and records values older than one acknowledged before the read.
async fn read(n: usize, front: SocketAddr, observations: Rc<ClientObservations>) {
    let mut client = None;
    let mut count = 0;
    while !observations.done.get() {
        let Some(session) = session(&mut client, front, "fresh1").await else {
            continue;
        };
        count += 1;
        let least = observations.acknowledged[n].get();
        match session
            .query(&format!("r{n}-{count}"), &format!("FETCH t{n}"))
            .await
        {
            Ok(answered) if answered.result.error.is_none() => {
                let value: u64 = answered.first_row().map_or(0, |row| row.parse().unwrap());
                if value < least || value > observations.sent[n].get() {
                    observations
                        .stale_reads
                        .borrow_mut()
                        .push(format!("t{n}={value} after {least}"));
                }
                observations.reads.set(observations.reads.get() + 1);
            }
            Ok(_) => {}
            Err(_) => client = None,
        }
        observations.changed.notify_waiters();
    }
}

fn is_definite_failure(code: ErrorCode) -> bool {
    code.execution_outcome() == ExecutionOutcome::NotRun || code == ErrorCode::Aborted
}

async fn session<'a>(
    client: &'a mut Option<Client>,
    at: SocketAddr,
    database: &str,
) -> Option<&'a mut Client> {
    if client.is_none() {
        *client = Client::connect(at, database, "u1", 6.0).await.ok();
    }
    if client.is_none() {
        // The address refuses connections for a moment.
        future::yield_now().await;
    }
    client.as_mut()
}

impl ClientObservations {
    /// Waits until a condition holds; the test fails after the timeout.
    async fn until(&self, seconds: f64, what: &str, holds: impl Fn(&Self) -> bool) {
        let timed_out = async {
            Timer::after(Duration::from_secs_f64(seconds)).await;
            panic!("not within {seconds} s: {what}; {}", self.line());
        };
        let condition_met = async {
            loop {
                let generation = self.changed.generation();
                if holds(self) {
                    return;
                }
                self.changed.notified_since(generation).await;
            }
        };
        future::or(condition_met, timed_out).await;
    }

    fn line(&self) -> String {
        format!(
            "writes={} reads={} refused={} unclear={} gap_s={:.2}",
            self.writes.get(),
            self.reads.get(),
            self.rejected.get(),
            self.unknown.get(),
            self.longest_gap_s.get()
        )
    }

    /// Stops all clients, and compares the acknowledged values with the data of the primary.
    fn check(&self, system: &TestSystem) {
        self.done.set(true);
        let cluster = system.cluster_host.cluster.borrow();
        let primary = cluster.primary("db1").expect("somebody leads");
        for n in 0..WRITERS {
            let value_at_primary: u64 = cluster
                .read(primary, &format!("t{n}"))
                .map_or(0, |v| v.parse().unwrap());
            let (acknowledged, sent) = (self.acknowledged[n].get(), self.sent[n].get());
            assert!(
                (acknowledged..=sent).contains(&value_at_primary),
                "t{n}: {value_at_primary} held, {acknowledged} acknowledged, {sent} sent"
            );
        }
        assert_eq!(
            cluster.rule_checker.violation_count(),
            0,
            "{}",
            cluster.rule_checker.summary()
        );
        assert_eq!(*self.stale_reads.borrow(), Vec::<String>::new());
        println!("{} {}", self.line(), cluster.rule_checker.summary());
    }
}

fn run_test(number: u32, test: impl AsyncFnOnce(&TestSystem, &Rc<ClientObservations>)) {
    run_test_within(TEST_TIMEOUT_S, number, test);
}

fn run_test_within(
    limit: f64,
    number: u32,
    test: impl AsyncFnOnce(&TestSystem, &Rc<ClientObservations>),
) {
    let executor = Rc::new(LocalExecutor::new());
    let system = TestSystem::start(&executor, number);
    let observations = Rc::<ClientObservations>::default();
    let all = async {
        up::wait_until_ready(&system.deployment).await.unwrap();
        observations.last_write_at_s.set(clock::now());
        (0..WRITERS).for_each(|n| system.client(n, &observations));
        test(&system, &observations).await;
        observations.check(&system);
    };
    let timed_out = async {
        Timer::after(Duration::from_secs_f64(limit)).await;
        panic!("not done within {limit} s; {}", observations.line());
    };
    async_io::block_on(executor.run(future::or(all, timed_out)));
}

#[test]
fn writes_continue_after_primary_crash() {
    run_test(0, async |system, observations| {
        observations
            .until(10.0, "300 writes", |s| s.writes.get() >= 300)
            .await;
        let before = system
            .cluster_host
            .cluster
            .borrow()
            .primary("db1")
            .unwrap()
            .to_owned();
        system.cluster_host.crash_server(&before);
        let count = observations.writes.get();
        // A few writes may have been acknowledged just before.
        let more = count + WRITERS as u64 + 1;
        observations
            .until(6.0, "a write after the kill", |s| s.writes.get() > more)
            .await;
        assert_ne!(
            system.cluster_host.cluster.borrow().primary("db1"),
            Some(before.as_str())
        );
        // It restarts as a replica.
        system.cluster_host.restart_server(&before).unwrap();
        let more = observations.writes.get() + 300;
        observations
            .until(10.0, "300 more writes", |s| s.writes.get() >= more)
            .await;
        assert!(
            system
                .cluster_host
                .cluster
                .borrow()
                .status_row(&before)
                .unwrap()
                .starts_with("follower 2 ")
        );
    });
}

#[test]
fn writes_continue_after_drain_of_primary_and_loss_of_control_machine() {
    run_test(1, async |system, observations| {
        observations
            .until(10.0, "200 writes", |s| s.writes.get() >= 200)
            .await;
        system.child_processes.borrow_mut().kill("control-1");
        let more = observations.writes.get() + 200;
        observations
            .until(10.0, "writes after the loss", |s| s.writes.get() >= more)
            .await;
        let before = system
            .cluster_host
            .cluster
            .borrow()
            .primary("db1")
            .unwrap()
            .to_owned();
        system.cluster_host.drain_server(&before);
        observations
            .until(8.0, "another leads", |_| {
                system
                    .cluster_host
                    .cluster
                    .borrow()
                    .primary("db1")
                    .is_some_and(|now| now != before)
            })
            .await;
        let more = observations.writes.get() + 200;
        observations
            .until(6.0, "writes after the change", |s| s.writes.get() >= more)
            .await;
    });
}

impl TestSystem {
    fn primary(&self) -> String {
        self.cluster_host
            .cluster
            .borrow()
            .primary("db1")
            .expect("somebody leads")
            .to_owned()
    }

    /// Returns the relay in front of a database server.
    fn relay(&self, id: &str) -> &Relay {
        let found = self.databases.iter().find(|(of, _)| of == id);
        &found.expect("each database has a relay").1
    }

    /// Returns the primary term.
    fn term(&self) -> u64 {
        let status = self
            .cluster_host
            .cluster
            .borrow()
            .status_row(&self.primary())
            .expect("the primary runs");
        status
            .split(' ')
            .nth(1)
            .and_then(|term| term.parse().ok())
            .expect("a term")
    }

    /// Returns the name of the control machine that leads.
    async fn leader(&self) -> String {
        loop {
            for (n, at) in self.deployment.control_addresses().into_iter().enumerate() {
                let asked =
                    http_client::send(at, 0.5, &HttpRequest::get("/api/System.Status")).await;
                if asked
                    .ok()
                    .and_then(|a| Status::parse(&a.body).ok())
                    .is_some_and(|s| s.leads)
                {
                    return format!("control-{}", n + 1);
                }
            }
        }
    }

    /// Waits until the platform's relay meets a condition; the test fails after the timeout.
    async fn platform_until(&self, seconds: f64, what: &str, holds: impl Fn(&Relay) -> bool) {
        let timed_out = async {
            Timer::after(Duration::from_secs_f64(seconds)).await;
            panic!("not within {seconds} s: {what}");
        };
        let condition_met = async {
            loop {
                let rings = self.platform.changed.generation();
                if holds(&self.platform) {
                    return;
                }
                self.platform.changed.notified_since(rings).await;
            }
        };
        future::or(condition_met, timed_out).await;
    }
}

/// The platform call that promotes another server is reset before its first byte, in its middle or
/// after its response, or its response is lost: each time exactly one server is promoted, and no
/// acknowledged write is lost.
#[test]
fn a_promotion_whose_call_breaks_off_at_any_stage_happens_once() {
    run_test_within(LONG_TEST_TIMEOUT_S, 2, async |system, observations| {
        let faults = [
            (Direction::Requests, Fault::ResetAfter(0)),
            (Direction::Requests, Fault::ResetAfter(60)),
            (Direction::Responses, Fault::ResetAfter(0)),
            (Direction::Responses, Fault::Drop),
        ];
        for (direction, fault) in faults {
            let more = observations.writes.get() + 60;
            observations
                .until(STEP_TIMEOUT_S, "60 writes", |s| s.writes.get() >= more)
                .await;
            let (before, term) = (system.primary(), system.term());
            let (requests, resets) = (
                system.platform.request_count(),
                system.platform.reset_count(),
            );
            system.platform.set_fault(direction, Some(fault));
            system.cluster_host.crash_server(&before);
            system
                .platform_until(
                    STEP_TIMEOUT_S,
                    "a call to the platform",
                    |platform| match fault {
                        Fault::Drop => platform.request_count() > requests,
                        _ => platform.reset_count() > resets,
                    },
                )
                .await;
            let silence = if fault == Fault::Drop { 1.2 } else { 0.0 };
            Timer::after(Duration::from_secs_f64(silence)).await;
            system.platform.set_fault(direction, None);
            let more = observations.writes.get() + WRITERS as u64 + 1;
            observations
                .until(STEP_TIMEOUT_S, "writes at another primary", |s| {
                    s.writes.get() > more
                })
                .await;
            assert_eq!(system.term(), term + 1, "{fault:?}");
            system.cluster_host.restart_server(&before).unwrap();
        }
    });
}

/// The leader is stopped between its call to the platform and the response, and continued once
/// another machine has led for a while.
#[test]
fn a_leader_that_is_stopped_in_the_middle_of_a_promotion() {
    run_test_within(LONG_TEST_TIMEOUT_S, 3, async |system, observations| {
        for _ in 0..2 {
            let more = observations.writes.get() + 60;
            observations
                .until(STEP_TIMEOUT_S, "60 writes", |s| s.writes.get() >= more)
                .await;
            let (before, leader, requests) = (
                system.primary(),
                system.leader().await,
                system.platform.request_count(),
            );
            system.cluster_host.crash_server(&before);
            system
                .platform_until(STEP_TIMEOUT_S, "a call to the platform", |platform| {
                    platform.request_count() > requests
                })
                .await;
            system
                .child_processes
                .borrow()
                .signal(&leader, Signal::STOP);
            let more = observations.writes.get() + WRITERS as u64 + 1;
            observations
                .until(STEP_TIMEOUT_S, "writes at another primary", |s| {
                    s.writes.get() > more
                })
                .await;
            system
                .child_processes
                .borrow()
                .signal(&leader, Signal::CONT);
            system.cluster_host.restart_server(&before).unwrap();
        }
    });
}

/// Connections of routers and control to the primary are reset at each stage of a statement, or
/// responses are lost: no write takes effect twice, and no acknowledged write is lost.
#[test]
fn statements_whose_connection_is_reset_at_any_stage_run_at_most_once() {
    run_test_within(LONG_TEST_TIMEOUT_S, 4, async |system, observations| {
        let faults = [
            (Direction::Requests, Fault::ResetAfter(0)),
            (Direction::Requests, Fault::ResetAfter(30)),
            (Direction::Requests, Fault::ResetAfter(400)),
            (Direction::Responses, Fault::ResetAfter(0)),
            (Direction::Responses, Fault::ResetAfter(300)),
            (Direction::Responses, Fault::Drop),
        ];
        for (direction, fault) in faults {
            let more = observations.writes.get() + 60;
            observations
                .until(STEP_TIMEOUT_S, "60 writes", |s| s.writes.get() >= more)
                .await;
            let primary = system.primary();
            let resets = system.relay(&primary).reset_count();
            system.relay(&primary).set_fault(direction, Some(fault));
            Timer::after(Duration::from_secs_f64(0.4)).await;
            system.relay(&primary).set_fault(direction, None);
            assert!(
                fault == Fault::Drop || system.relay(&primary).reset_count() > resets,
                "{fault:?}"
            );
        }
        let more = observations.writes.get() + 60;
        observations
            .until(STEP_TIMEOUT_S, "60 writes after all", |s| {
                s.writes.get() >= more
            })
            .await;
    });
}

/// Connections to replicas are reset at each stage of a query, or their responses are delayed, while
/// the primary is replaced.
#[test]
fn failover_with_broken_replica_queries_loses_no_write() {
    run_test_within(LONG_TEST_TIMEOUT_S, 5, async |system, observations| {
        for (direction, fault) in [
            (Direction::Requests, Fault::ResetAfter(30)),
            (Direction::Responses, Fault::ResetAfter(0)),
            (
                Direction::Responses,
                Fault::Delay(Duration::from_millis(900)),
            ),
        ] {
            let more = observations.writes.get() + 60;
            observations
                .until(STEP_TIMEOUT_S, "60 writes", |s| s.writes.get() >= more)
                .await;
            let before = system.primary();
            let replicas = system.databases.iter().filter(|(id, _)| *id != before);
            let replicas: Vec<&Relay> = replicas.map(|(_, relay)| &**relay).collect();
            system.cluster_host.crash_server(&before);
            replicas
                .iter()
                .for_each(|relay| relay.set_fault(direction, Some(fault)));
            Timer::after(Duration::from_secs_f64(1.5)).await;
            replicas
                .iter()
                .for_each(|relay| relay.set_fault(direction, None));
            let more = observations.writes.get() + WRITERS as u64 + 1;
            observations
                .until(STEP_TIMEOUT_S, "writes at another primary", |s| {
                    s.writes.get() > more
                })
                .await;
            system.cluster_host.restart_server(&before).unwrap();
        }
    });
}

/// Each router in turn gets SIGTERM while it serves clients, and a primary is drained at the same
/// time: the router answers every statement that it received, reports at once that it isn't ready,
/// and exits by itself within the grace period.
#[test]
fn a_router_that_is_asked_to_end_cuts_no_statement() {
    run_test_within(LONG_TEST_TIMEOUT_S, 6, async |system, observations| {
        for (n, readiness) in system
            .deployment
            .readiness_addresses()
            .into_iter()
            .enumerate()
        {
            let more = observations.writes.get() + 100;
            observations
                .until(STEP_TIMEOUT_S, "100 writes", |s| s.writes.get() >= more)
                .await;
            let name = format!("router-{}", n + 1);
            system.child_processes.borrow().signal(&name, Signal::TERM);
            system.cluster_host.drain_server(&system.primary());
            let ready =
                http_client::send(readiness, 0.5, &HttpRequest::get("/api/readiness")).await;
            assert!(
                ready.is_ok_and(|answer| answer.status == 503),
                "asked to end, it is still ready"
            );
            let asked = clock::now();
            let ended = loop {
                if let Some(ended) = system.child_processes.borrow_mut().take_exited() {
                    break ended;
                }
                Timer::after(Duration::from_millis(5)).await;
            };
            assert!(ended.name == name && ended.status.success(), "{ended:?}");
            assert!(clock::now() - asked < 6.0, "within the grace period");
            let file = system.folder.join(format!("{name}.conf"));
            start_node(
                &mut system.child_processes.borrow_mut(),
                &name,
                &file,
                &system.folder,
            );
            up::wait_until_ready(&system.deployment).await.unwrap();
        }
        let cluster = system.cluster_host.cluster.borrow();
        let cut = |id: &&String| cluster.rule_checker.has_committed(id);
        let unacknowledged = observations.unacknowledged.borrow();
        let cut: Vec<&String> = unacknowledged.iter().filter(cut).collect();
        assert!(
            cut.is_empty(),
            "they ran, and their clients were told nothing: {cut:?}"
        );
    });
}

/// Each machine serves the metrics of its role in the `OpenMetrics` format, and nothing else at
/// that address.
#[test]
fn each_machine_serves_its_metrics() {
    run_test(7, async |system, observations| {
        observations
            .until(10.0, "100 writes", |s| s.writes.get() >= 100)
            .await;
        let ask = async |at: SocketAddr, path: &str| {
            let at = SocketAddr::new(at.ip(), METRICS_PORT);
            http_client::send(at, 2.0, &HttpRequest::get(path))
                .await
                .expect("it answers")
        };
        let mut writes = 0.0;
        for front in system.deployment.router_addresses() {
            let answer = ask(front, "/metrics").await;
            assert!(
                answer
                    .header("Content-Type")
                    .is_some_and(|t| t.starts_with("application/openmetrics-text"))
            );
            let text = String::from_utf8(answer.body).unwrap();
            assert!(text.ends_with("# EOF\n"), "{text}");
            writes += metric(
                &text,
                "badgerstream_router_statements_total{statement=\"PUT\",end=\"complete\"}",
            );
            assert!(metric(&text, "badgerstream_router_lease_remaining_seconds") > 0.0);
            assert_eq!(metric(&text, "badgerstream_router_grants"), 1.0);
            assert_eq!(ask(front, "/").await.status, 404);
        }
        assert!(writes >= 100.0, "{writes}");
        let mut leaders = 0.0;
        for control in system.deployment.control_addresses() {
            let text = String::from_utf8(ask(control, "/metrics").await.body).unwrap();
            leaders += metric(&text, "badgerstream_control_leads");
            assert_eq!(metric(&text, "badgerstream_control_voters"), 3.0);
            assert!(metric(&text, "badgerstream_control_save_seconds_count") > 0.0);
        }
        assert_eq!(leaders, 1.0);
    });
}

/// Returns the value of the metric with this name and these labels.
fn metric(text: &str, name: &str) -> f64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok())
        .unwrap_or_else(|| panic!("no {name} in {text}"))
}
