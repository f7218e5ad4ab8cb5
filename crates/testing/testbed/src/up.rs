//! The quick start (`badgerstream-testbed up`): a complete system on loopback, with its settings,
//! logs and state in one folder. It owns the processes of control machines and routers; database
//! servers, platform and operator run in this process.

use crate::child_processes::{ChildProcesses, ExitedProcess};
use crate::cluster_host::{ClusterHost, ListenError, StartServerError};
use crate::database_cluster::{DatabaseCluster, Timing};
use crate::deployment::{Deployment, METRICS_PORT};
use crate::heartbeats::HeartbeatSettings;
use crate::http_client::{self, HttpRequest};
use crate::operator::{self, ReplaceConfigError};
use crate::{admin_api, platform};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use badgerstream_pooler::clock;
use futures_lite::{StreamExt, future};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// The system must be ready after so long.
const READY_TIMEOUT_S: f64 = 30.0;

/// How often it is looked for processes that have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often a router is asked whether it is ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// From the acknowledgement that a server drains until its end; `bounds.drain_ms` of the settings.
const SERVER_DRAIN_S: f64 = 7.0;

/// What the platform takes; more is answered 429.
const MAX_PLATFORM_CALLS_PER_S: usize = 50;

/// Why the stand-ins can't be started.
#[derive(Debug, Error)]
pub enum StartHostError {
    /// A database server can't.
    #[error(transparent)]
    Server(#[from] StartServerError),
    /// The platform or the admin endpoint can't.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Why a deployment can't be started or kept up.
#[derive(Debug, Error)]
pub enum UpError {
    /// SIGINT and SIGTERM can't be received.
    #[error("signals can't be heard: {0}")]
    Signals(std::io::Error),
    /// The system's program isn't where it should be.
    #[error("{} isn't there: is it built?", .0.display())]
    ProgramMissing(PathBuf),
    /// The stand-ins can't be started; their addresses may be taken.
    #[error("{0} (is another one up? --net gives other addresses)")]
    StartHost(StartHostError),
    /// The folder holds the state of an earlier run.
    #[error("{} holds an earlier run: take another folder", .0.display())]
    FolderInUse(PathBuf),
    /// The settings files can't be written.
    #[error("{}: {source}", folder.display())]
    WriteSettings {
        /// The folder they belong into.
        folder: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A process can't be started.
    #[error("{}: {source}", program.display())]
    StartProcess {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A process has ended by itself.
    #[error("{name} ended with {status}; its log is {}", log.display())]
    ProcessExited {
        /// Its name in the deployment.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// Its log file.
        log: PathBuf,
    },
    /// The system took too long.
    #[error("not ready within {READY_TIMEOUT_S} s; the logs are in {}", .0.display())]
    NotReady(PathBuf),
    /// The first configuration was rejected.
    #[error(transparent)]
    ReplaceConfig(#[from] ReplaceConfigError),
}

/// Starts a deployment and keeps it up until SIGINT or SIGTERM. Whatever ends it, no process that
/// it started is left.
pub fn run(deployment: &Deployment, folder: &Path, program: &Path) -> Result<(), UpError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(UpError::Signals)?;
    let executor = Rc::new(LocalExecutor::new());
    let mut quick_start = QuickStart {
        executor: executor.clone(),
        deployment,
        folder,
        program,
        processes: ChildProcesses::default(),
    };
    let signalled = async {
        signals.next().await;
        Ok(())
    };
    let ended = future::block_on(executor.run(future::or(signalled, quick_start.run())));
    for ExitedProcess { name, status } in quick_start.processes.terminate_all() {
        if !status.success() {
            let log = log_file(folder, &name);
            println!("{}", UpError::ProcessExited { name, status, log });
        }
    }
    ended
}

fn log_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

struct QuickStart<'a> {
    executor: Rc<LocalExecutor<'static>>,
    deployment: &'a Deployment,
    folder: &'a Path,
    /// The system's program.
    program: &'a Path,
    processes: ChildProcesses,
}

impl QuickStart<'_> {
    /// Starts everything and watches it; ends only with an error.
    async fn run(&mut self) -> Result<(), UpError> {
        if !self.program.is_file() {
            return Err(UpError::ProgramMissing(self.program.to_owned()));
        }
        let _host =
            start_cluster_host(&self.executor, self.deployment).map_err(UpError::StartHost)?;
        self.start_processes()?;
        let (deployment, folder) = (self.deployment, self.folder);
        let serve = async {
            let timed_out = async {
                Timer::after(Duration::from_secs_f64(READY_TIMEOUT_S)).await;
                Err(UpError::NotReady(folder.to_owned()))
            };
            let ready = async { Ok(wait_until_ready(deployment).await?) };
            future::or(timed_out, ready).await?;
            print_instructions(deployment, folder);
            future::pending().await
        };
        future::or(self.watch_processes(), serve).await
    }

    fn start_processes(&mut self) -> Result<(), UpError> {
        // Database servers begin empty each time: the state of an earlier run would know of commits
        // that they don't have.
        if self.folder.join("control-1").exists() {
            return Err(UpError::FolderInUse(self.folder.to_owned()));
        }
        let written = self.deployment.write_settings(self.folder, true);
        let files = written.map_err(|source| UpError::WriteSettings {
            folder: self.folder.to_owned(),
            source,
        })?;
        for file in files {
            let settings = file.path.display().to_string();
            let metrics = METRICS_PORT.to_string();
            let arguments = ["serve", "--settings", &settings, "--metrics", &metrics];
            let log = log_file(self.folder, &file.process_name);
            self.processes
                .start(&file.process_name, self.program, &arguments, &log)
                .map_err(|source| UpError::StartProcess {
                    program: self.program.to_owned(),
                    source,
                })?;
        }
        Ok(())
    }

    /// Ends with an error once a process has exited.
    async fn watch_processes(&mut self) -> Result<(), UpError> {
        loop {
            if let Some(ExitedProcess { name, status }) = self.processes.take_exited() {
                let log = log_file(self.folder, &name);
                return Err(UpError::ProcessExited { name, status, log });
            }
            Timer::after(EXIT_POLL_INTERVAL).await;
        }
    }
}

/// Starts the database servers, the platform and the admin endpoint of a deployment.
pub fn start_cluster_host(
    executor: &Rc<LocalExecutor<'static>>,
    deployment: &Deployment,
) -> Result<Rc<ClusterHost>, StartHostError> {
    let cluster = DatabaseCluster::new(
        deployment.services(),
        Timing::default(),
        true,
        u64::from(std::process::id()),
    );
    // The process clock counts from here.
    clock::now();
    let heartbeat_settings = HeartbeatSettings {
        control_addresses: deployment.control_addresses(),
        interval_s: deployment.heartbeat_ms as f64 / 1000.0,
        drain_s: SERVER_DRAIN_S,
    };
    let host = ClusterHost::start(executor, cluster, heartbeat_settings)?;
    let platform_address = deployment.platform_address();
    platform::start(executor, &host, platform_address, MAX_PLATFORM_CALLS_PER_S)?;
    admin_api::start(executor, &host, deployment.admin_api_address())?;
    Ok(host)
}

/// Sends the first configuration, and waits until all routers are ready. There is no time-out: the
/// caller limits the time.
pub async fn wait_until_ready(deployment: &Deployment) -> Result<(), ReplaceConfigError> {
    operator::replace_config_until_applied(
        &deployment.control_addresses(),
        0,
        &deployment.config_json(1),
    )
    .await?;
    log::info!("event=config_applied epoch=1");
    let request = HttpRequest::get("/api/readiness");
    for router in deployment.readiness_addresses() {
        while !http_client::send(router, 1.0, &request)
            .await
            .is_ok_and(|response| response.status == 200)
        {
            Timer::after(READINESS_POLL_INTERVAL).await;
        }
        log::info!("event=router_ready at={router}");
    }
    Ok(())
}

fn print_instructions(deployment: &Deployment, folder: &Path) {
    let routers = deployment.router_addresses();
    let clients_connect_to: Vec<String> = routers.iter().map(ToString::to_string).collect();
    println!("ready: {}", deployment.database_names().join(" "));
    println!("clients connect to {}", clients_connect_to.join(" or "));
    println!(
        "    badgerstream-testbed ask {} fresh1 'PUT a 1' 'FETCH a'",
        routers[0]
    );
    println!(
        "the databases:   badgerstream-testbed tell {} servers    (also ledger, crash ID, start ID, drain ID)",
        deployment.admin_api_address()
    );
    let metrics = SocketAddr::new(routers[0].ip(), METRICS_PORT);
    println!("the figures:     http://{metrics}/metrics    (of each machine at its own address)");
    println!("the logs:        {}", folder.display());
    println!("Ctrl-C ends all of it");
}
