//! Operators send configuration requests to control machines that run as processes, over
//! connections with injected faults. Each test ends with a check that a single order of versions
//! explains all responses (`history`).

use async_executor::LocalExecutor;
use async_io::Timer;
use badgerstream_control_api::request::BASE_VERSION_HEADER;
use badgerstream_control_api::status::Status;
use badgerstream_http_codec::encode_request;
use badgerstream_pooler::clock;
use badgerstream_testbed::child_processes::ChildProcesses;
use badgerstream_testbed::deployment::{CONTROL_MACHINE_COUNT, Deployment, LoopbackNet};
use badgerstream_testbed::fault_relay::{Direction, Fault, Relay};
use badgerstream_testbed::history::{ConfigRequest, History, Outcome, Version};
use badgerstream_testbed::http_client::{self, HttpRequest};
use badgerstream_testbed::operator::Operator;
use futures_lite::future;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a test.
const TEST_TIMEOUT_S: f64 = 58.0;
/// Timeout for a condition in a system without faults; it allows for a busy machine.
const STEP_TIMEOUT_S: f64 = 25.0;
/// Minimum number of requests that must be acknowledged during a partition. It is low because a
/// sync may take seconds on a disk that is shared with other work.
const MIN_ACKNOWLEDGED_REQUESTS: usize = 3;
/// Duration of a partition.
const PARTITION_S: f64 = 20.0;

/// Three control machines as processes, with a relay on each link between them, and one between the
/// operators and each control machine.
struct TestSystem {
    executor: Rc<LocalExecutor<'static>>,
    deployment: Deployment,
    child_processes: RefCell<ChildProcesses>,
    /// The relays between control machines, by caller and callee.
    peers: Vec<Vec<Option<Rc<Relay>>>>,
    /// For each control machine, the relay between operators and it.
    operator_relays: Vec<Rc<Relay>>,
    folder: PathBuf,
    history: Rc<RefCell<History>>,
    /// Number of configurations created.
    texts: Cell<u64>,
    /// Set to stop the operators.
    done: Rc<Cell<bool>>,
}

impl TestSystem {
    fn start(executor: &Rc<LocalExecutor<'static>>, number: u32) -> TestSystem {
        clock::now();
        let mark = std::process::id() * 8 + number;
        let net = LoopbackNet([127, 16 + (mark % 200) as u8, (mark / 200 % 250) as u8]);
        let mut deployment = Deployment::new(net, 1, 1).unwrap();
        deployment.peers_relayed = true;
        let folder = std::env::temp_dir().join(format!(
            "badgerstream-testbed-orders-{}-{number}",
            std::process::id()
        ));
        let relay = |at: SocketAddr, to: SocketAddr| Relay::start(executor, at, to).unwrap();
        let peer = |from: usize, to: usize| {
            (from != to).then(|| {
                relay(
                    deployment.peer_relay_address(from, to),
                    deployment.peer_address(to),
                )
            })
        };
        let peers = (0..CONTROL_MACHINE_COUNT)
            .map(|from| {
                (0..CONTROL_MACHINE_COUNT)
                    .map(|to| peer(from, to))
                    .collect()
            })
            .collect();
        let operator_relays = (0..CONTROL_MACHINE_COUNT)
            .map(|n| {
                relay(
                    deployment.operator_relay_address(n),
                    deployment.control_addresses()[n],
                )
            })
            .collect();
        let mut child_processes = ChildProcesses::default();
        for file in deployment
            .write_settings(&folder, true)
            .unwrap()
            .into_iter()
            .take(CONTROL_MACHINE_COUNT)
        {
            start_node(
                &mut child_processes,
                &file.process_name,
                &file.path,
                &folder,
            );
        }
        let (history, texts, done) = Default::default();
        let executor = executor.clone();
        TestSystem {
            executor,
            deployment,
            child_processes: RefCell::new(child_processes),
            peers,
            operator_relays,
            folder,
            history,
            texts,
            done,
        }
    }

    fn operator_relay_addresses(&self) -> Vec<SocketAddr> {
        (0..CONTROL_MACHINE_COUNT)
            .map(|n| self.deployment.operator_relay_address(n))
            .collect()
    }

    /// Sets a fault on the links from a control machine to the others (`outgoing`), or on those
    /// from the others to it. Each machine sends its messages on connections that it opened itself,
    /// so a fault on the requests of a link affects all messages in that direction.
    fn set_fault(&self, node: usize, outgoing: bool, fault: Option<Fault>) {
        for other in (0..CONTROL_MACHINE_COUNT).filter(|other| *other != node) {
            let (from, to) = if outgoing {
                (node, other)
            } else {
                (other, node)
            };
            self.peers[from][to]
                .as_ref()
                .unwrap()
                .set_fault(Direction::Requests, fault);
        }
    }

    /// Waits until a control machine reports in its status that it leads, and returns its index.
    async fn leader(&self) -> usize {
        let until = clock::now() + STEP_TIMEOUT_S;
        loop {
            for (n, at) in self.deployment.control_addresses().into_iter().enumerate() {
                let asked =
                    http_client::send(at, 0.5, &HttpRequest::get("/api/System.Status")).await;
                let status = asked
                    .ok()
                    .and_then(|answer| Status::parse(&answer.body).ok());
                if status.is_some_and(|s| s.leads) {
                    return n;
                }
            }
            assert!(clock::now() < until, "nobody leads");
            pause(0.05).await;
        }
    }

    /// Returns a configuration with this epoch and a unique body.
    fn version(&self, epoch: u64) -> Version {
        self.texts.set(self.texts.get() + 1);
        let idle = format!("\"idle_timeout_ms\":{}", 15_000 + self.texts.get());
        let body = self
            .deployment
            .config_json(epoch)
            .replace("\"idle_timeout_ms\":15000", &idle);
        Version { epoch, body }
    }

    /// Sends a configuration until it is acknowledged or rejected, and records the request.
    async fn replace_config(&self, operator: &Operator, base: u64, version: Version) -> Outcome {
        let request = operator
            .replace_config(base, version, clock::now() + STEP_TIMEOUT_S)
            .await;
        let outcome = request
            .attempts
            .last()
            .map_or(Outcome::Unknown, |t| t.outcome);
        self.history.borrow_mut().requests.push(request);
        outcome
    }

    /// Reads until a read succeeds, records the read, and returns the epoch of the version.
    async fn read(&self, operator: &Operator) -> u64 {
        let until = clock::now() + STEP_TIMEOUT_S;
        loop {
            if let Some(read) = operator.read_config().await {
                let epoch = read.version.as_ref().map_or(0, |v| v.epoch);
                self.history.borrow_mut().reads.push(read);
                return epoch;
            }
            assert!(clock::now() < until, "nothing can be read");
            pause(0.05).await;
        }
    }

    /// Runs an operator until the end of the test: it reads the configuration and sends one based
    /// on the version that it read.
    async fn replace_config_repeatedly(&self, number: usize) {
        let operator = Operator::new(&self.operator_relay_addresses(), number);
        let mut turn = 0;
        while !self.done.get() {
            let base = self.read(&operator).await;
            // Sometimes both operators choose the same epoch.
            turn += 1;
            let version = self.version(base + 1 + turn % 2);
            self.replace_config(&operator, base, version).await;
            pause(0.03).await;
        }
    }

    /// Runs two operators while faults are injected and cleared, and for a short time after.
    async fn with_operators_at_work(&self, faults: impl Future<Output = ()>) {
        let operators = future::zip(
            self.replace_config_repeatedly(1),
            self.replace_config_repeatedly(2),
        );
        let faults = async {
            faults.await;
            pause(1.5).await;
            self.done.set(true);
        };
        future::zip(operators, faults).await;
    }

    /// Returns the number of requests that were acknowledged in this time.
    fn acknowledged(&self, from: f64, to: f64) -> usize {
        let history = self.history.borrow();
        let attempts = history
            .requests
            .iter()
            .flat_map(|request| &request.attempts);
        let within = |ended_at_s: f64| (from..to).contains(&ended_at_s);
        attempts
            .filter(|t| t.outcome == Outcome::Acknowledged && within(t.ended_at_s))
            .count()
    }

    /// Checks that all machines return the same version in the end, and that a single order of
    /// versions explains all responses.
    async fn check_history(&self) {
        let reader = Operator::new(&self.operator_relay_addresses(), 0);
        let mut newest = Vec::new();
        for _ in 0..CONTROL_MACHINE_COUNT {
            newest.push(self.read(&reader).await);
        }
        let history = self.history.borrow();
        let count = |outcome: fn(&Outcome) -> bool| {
            history
                .requests
                .iter()
                .flat_map(|o| &o.attempts)
                .filter(|t| outcome(&t.outcome))
                .count()
        };
        println!(
            "orders={} acknowledged={} refused={} unclear={} reads={}",
            history.requests.len(),
            count(|o| *o == Outcome::Acknowledged),
            count(|o| matches!(o, Outcome::Rejected(_))),
            count(|o| *o == Outcome::Unknown),
            history.reads.len()
        );
        match history.linearize() {
            Ok(chain) => assert!(
                newest.iter().all(|n| Some(n) == chain.last()),
                "{newest:?} {chain:?}"
            ),
            Err(violation) => panic!("{violation}: {history:#?}"),
        }
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
    let log = folder.join(format!("{name}.log"));
    child_processes
        .start(name, program, &["serve", "--settings", &settings], &log)
        .unwrap();
}

async fn pause(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}

/// Runs a test on a system that has applied its first configuration, and checks the history.
fn run_test(number: u32, test: impl AsyncFnOnce(&TestSystem)) {
    let executor = Rc::new(LocalExecutor::new());
    let system = TestSystem::start(&executor, number);
    let all = async {
        let first = Operator::new(&system.operator_relay_addresses(), 0);
        assert_eq!(
            system.replace_config(&first, 0, system.version(1)).await,
            Outcome::Acknowledged
        );
        test(&system).await;
        system.check_history().await;
    };
    let timed_out = async {
        pause(TEST_TIMEOUT_S).await;
        panic!("not done within {TEST_TIMEOUT_S} s");
    };
    async_io::block_on(system.executor.run(future::or(all, timed_out)));
}

#[test]
fn config_requests_succeed_while_leader_cannot_send() {
    run_test(0, async |system| {
        let leader = system.leader().await;
        let cut = Cell::new(0.0);
        system
            .with_operators_at_work(async {
                pause(1.0).await;
                system.set_fault(leader, true, Some(Fault::Drop));
                cut.set(clock::now());
                pause(PARTITION_S).await;
                system.set_fault(leader, true, None);
            })
            .await;
        let requests = system.acknowledged(cut.get() + 2.0, cut.get() + PARTITION_S);
        assert!(
            requests >= MIN_ACKNOWLEDGED_REQUESTS,
            "{requests} orders were acknowledged while the link was cut"
        );
    });
}

#[test]
fn config_requests_succeed_while_leader_cannot_receive() {
    run_test(1, async |system| {
        let leader = system.leader().await;
        let cut = Cell::new(0.0);
        system
            .with_operators_at_work(async {
                pause(1.0).await;
                system.set_fault(leader, false, Some(Fault::Drop));
                system.operator_relays[leader].set_fault(Direction::Responses, Some(Fault::Drop));
                cut.set(clock::now());
                pause(PARTITION_S).await;
                system.set_fault(leader, false, None);
                system.operator_relays[leader].set_fault(Direction::Responses, None);
            })
            .await;
        let requests = system.acknowledged(cut.get() + 2.0, cut.get() + PARTITION_S);
        assert!(
            requests >= MIN_ACKNOWLEDGED_REQUESTS,
            "{requests} orders were acknowledged while the links were cut"
        );
    });
}

/// The leader is repeatedly partitioned from the others in both directions, while operators still
/// reach it: it must not acknowledge or return a version that the next leader doesn't know.
#[test]
fn a_leader_that_is_cut_off_serves_nothing_old() {
    run_test(5, async |system| {
        system
            .with_operators_at_work(async {
                for _ in 0..4 {
                    let leader = system.leader().await;
                    for outgoing in [true, false] {
                        system.set_fault(leader, outgoing, Some(Fault::Drop));
                    }
                    pause(2.5).await;
                    for outgoing in [true, false] {
                        system.set_fault(leader, outgoing, None);
                    }
                    pause(0.5).await;
                }
            })
            .await;
    });
}

/// Returns the length of a request to this address, in bytes.
fn encoded_length(at: SocketAddr, request: &ConfigRequest) -> usize {
    let base = request.base_epoch.to_string();
    let headers = [(BASE_VERSION_HEADER, base.as_str())];
    let body = request.version.body.as_bytes();
    encode_request(
        "POST",
        "/api/Config.Replace",
        &at.to_string(),
        &headers,
        body,
    )
    .len()
}

#[test]
fn an_order_whose_connection_is_reset_at_any_stage_has_one_outcome() {
    run_test(2, async |system| {
        for node in 0..CONTROL_MACHINE_COUNT {
            for stage in 0..4 {
                let at = system.deployment.operator_relay_address(node);
                let operator = Operator::new(&system.operator_relay_addresses(), node + 1);
                let base = system.read(&operator).await;
                let mut request = ConfigRequest {
                    base_epoch: base,
                    version: system.version(base + 2),
                    attempts: Vec::new(),
                };
                let request_bytes = encoded_length(at, &request);
                let (direction, passes) = match stage {
                    0 => (Direction::Requests, 0),
                    1 => (Direction::Requests, request_bytes / 2),
                    2 => (Direction::Requests, request_bytes),
                    _ => (Direction::Responses, 0),
                };
                let relay = &system.operator_relays[node];
                let resets = relay.reset_count();
                relay.set_fault(direction, Some(Fault::ResetAfter(passes)));
                let first = operator.send_once(at, &request).await;
                relay.set_fault(direction, None);
                assert_eq!(first.outcome, Outcome::Unknown, "stage {stage}");
                assert_eq!(relay.reset_count(), resets + 1, "stage {stage}");
                request.attempts.push(first);
                // The same request sent to the other machines: it is applied now, or was before.
                let again = operator
                    .replace_config(base, request.version.clone(), clock::now() + STEP_TIMEOUT_S)
                    .await;
                request.attempts.extend(again.attempts);
                let ended = request.attempts.last().map(|t| t.outcome);
                system.history.borrow_mut().requests.push(request);
                assert_eq!(ended, Some(Outcome::Acknowledged), "stage {stage}");
                // Another request with the same base is rejected.
                let late_request = system
                    .replace_config(&operator, base, system.version(base + 3))
                    .await;
                assert_eq!(late_request, Outcome::Rejected(412), "stage {stage}");
            }
        }
    });
}

#[test]
fn delayed_responses_reach_only_their_requests() {
    run_test(3, async |system| {
        let leader = system.leader().await;
        system
            .with_operators_at_work(async {
                pause(0.5).await;
                // Longer than an operator's request timeout of 1 s.
                system.operator_relays[leader].set_fault(
                    Direction::Responses,
                    Some(Fault::Delay(Duration::from_millis(2500))),
                );
                pause(3.0).await;
                system.operator_relays[leader].set_fault(Direction::Responses, None);
                let other = (leader + 1) % CONTROL_MACHINE_COUNT;
                for (from, to) in [(leader, other), (other, leader)] {
                    let link = system.peers[from][to].as_ref().unwrap();
                    link.set_fault(
                        Direction::Requests,
                        Some(Fault::Delay(Duration::from_millis(1500))),
                    );
                }
                pause(4.0).await;
                for (from, to) in [(leader, other), (other, leader)] {
                    system.peers[from][to]
                        .as_ref()
                        .unwrap()
                        .set_fault(Direction::Requests, None);
                }
            })
            .await;
    });
}

/// The leader receives a request that it can't answer, because it reaches no other machine. It is
/// stopped then, and continued once another machine has led for a while.
#[test]
fn a_leader_that_is_stopped_between_reading_and_answering() {
    run_test(4, async |system| {
        for _ in 0..2 {
            let leader = system.leader().await;
            let name = format!("control-{}", leader + 1);
            let at = system.deployment.operator_relay_address(leader);
            let operator = Operator::new(&system.operator_relay_addresses(), leader + 1);
            let base = system.read(&operator).await;
            let mut request = ConfigRequest {
                base_epoch: base,
                version: system.version(base + 2),
                attempts: Vec::new(),
            };
            system.set_fault(leader, true, Some(Fault::Drop));
            let sent = operator.send_once(at, &request);
            let stopped = async {
                pause(0.25).await;
                system.child_processes.borrow().signal(&name, Signal::STOP);
                system.set_fault(leader, true, None);
            };
            let (first, ()) = future::zip(sent, stopped).await;
            request.attempts.push(first);
            // Another request with the same base, while the first may be in flight, and then one
            // based on the version that was applied.
            system
                .replace_config(&operator, base, system.version(base + 3))
                .await;
            let newest = system.read(&operator).await;
            system
                .replace_config(&operator, newest, system.version(newest + 5))
                .await;
            system.child_processes.borrow().signal(&name, Signal::CONT);
            // If it still handles the request that it received before it was stopped, it must check
            // the base against the version in force now.
            let again = operator
                .replace_config(base, request.version.clone(), clock::now() + STEP_TIMEOUT_S)
                .await;
            request.attempts.extend(again.attempts);
            system.history.borrow_mut().requests.push(request);
            let direct = Operator::new(&[at], 0);
            system.read(&direct).await;
        }
    });
}
