//! The quick start (`badgerstream-testbed up`): runs a complete system on loopback, with its
//! settings, logs and state in one folder. Control machines and routers are child processes;
//! database servers, platform and operator run in this process.

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

/// Deadline for the system to be ready after its start.
const READY_TIMEOUT_S: f64 = 30.0;

/// Interval between checks for child processes that have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between readiness requests to a router that isn't ready yet.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time from the acknowledgement of a server's drain until the server exits; equal to
/// `bounds.drain_ms` in the settings files.
const SERVER_DRAIN_S: f64 = 7.0;

/// Maximum rate of platform calls; calls above it are answered with status 429.
const MAX_PLATFORM_CALLS_PER_S: usize = 50;

/// The reason why the database servers, the platform or the admin API can't be started.
#[derive(Debug, Error)]
pub enum StartHostError {
    /// A database server can't be started.
    #[error(transparent)]
    Server(#[from] StartServerError),
    /// The platform or the admin API can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// The reason why a deployment can't be started or kept running.
#[derive(Debug, Error)]
pub enum UpError {
    /// The handlers of SIGINT and SIGTERM can't be installed.
    #[error("can't install handlers for SIGINT and SIGTERM: {0}")]
    Signals(std::io::Error),
    /// The pooler program doesn't exist at the expected path.
    #[error("the program {} doesn't exist: is it built?", .0.display())]
    ProgramMissing(PathBuf),
    /// The servers that run in this process can't be started; their addresses may be in use.
    #[error("{0} (is another testbed running? choose other addresses with --net)")]
    StartHost(StartHostError),
    /// The folder contains the state of an earlier run.
    #[error("{} contains the state of an earlier run: pass another folder with --folder", .0.display())]
    FolderInUse(PathBuf),
    /// The settings files can't be written.
    #[error("can't write the settings files to {}: {source}", folder.display())]
    WriteSettings {
        /// The folder that they are written to.
        folder: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process can't be started.
    #[error("can't start {}: {source}", program.display())]
    StartProcess {
        /// The program.
        program: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A child process exited without having been asked to.
    #[error("{name} exited with {status}; its log is {}", log.display())]
    ProcessExited {
        /// Its name in the deployment.
        name: String,
        /// Its exit status.
        status: ExitStatus,
        /// Its log file.
        log: PathBuf,
    },
    /// The system wasn't ready within `READY_TIMEOUT_S`.
    #[error("the system wasn't ready within {READY_TIMEOUT_S} s; the logs are in {}", .0.display())]
    NotReady(PathBuf),
    /// The first configuration was rejected.
    #[error(transparent)]
    ReplaceConfig(#[from] ReplaceConfigError),
}

/// Starts a deployment and keeps it running until SIGINT or SIGTERM. On return, after an error too,
/// all processes that it started have ended.
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
    /// The pooler program that control machines and routers run.
    program: &'a Path,
    processes: ChildProcesses,
}

impl QuickStart<'_> {
    /// Starts all parts of the system and watches the child processes; returns only with an error.
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
        // Database servers start empty each time, but the state of an earlier run refers to commits
        // that they no longer have.
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

    /// Returns an error once a child process has exited.
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

/// Starts the database servers, the platform and the admin API of a deployment.
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
    // The first call starts the process clock at 0.
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

/// Sends the first configuration, and waits until all routers are ready. There is no timeout: the
/// caller must set one.
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
