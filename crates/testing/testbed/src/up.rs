//! The quick start: a whole system on loopback, in one folder.

use crate::child_processes::ChildProcesses;
use crate::cluster_host::ClusterHost;
use crate::database_cluster::{DatabaseCluster, Timing};
use crate::deployment::{Deployment, METRICS_PORT};
use crate::{admin_api, http_client, operator};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use badgerstream_pooler::clock;
use futures_lite::{StreamExt, future};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The system is to be ready within so many seconds.
const READY: f64 = 30.0;

/// Starts a deployment and keeps it up until SIGINT or SIGTERM; an error tells why it can't go on. Whatever happens, no
/// process that it started is left.
pub fn run(deployment: &Deployment, folder: &Path, program: &Path) -> Result<(), String> {
    let tasks = Rc::new(LocalExecutor::new());
    future::block_on(start(&tasks, deployment, folder, program))
}

async fn start(
    tasks: &Rc<LocalExecutor<'static>>,
    deployment: &Deployment,
    folder: &Path,
    program: &Path,
) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])
        .map_err(|e| format!("signals can't be heard: {e}"))?;
    let mut child_processes = ChildProcesses::default();
    let asked = async {
        signals.next().await;
        Ok(())
    };
    let ended = tasks
        .run(future::or(
            asked,
            keep(tasks, deployment, folder, program, &mut child_processes),
        ))
        .await;
    for (name, status) in child_processes.end() {
        if !status.success() {
            println!(
                "{name} ended with {status}; its log is {}",
                log_file(folder, &name).display()
            );
        }
    }
    ended
}

fn log_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

async fn keep(
    tasks: &Rc<LocalExecutor<'static>>,
    deployment: &Deployment,
    folder: &Path,
    program: &Path,
    child_processes: &mut ChildProcesses,
) -> Result<(), String> {
    if !program.is_file() {
        return Err(format!("{} isn't there: is it built?", program.display()));
    }
    let cluster_host = cluster_host(tasks, deployment)
        .map_err(|e| format!("{e} (is another one up? --net gives other addresses)"))?;
    let wrong = |e: std::io::Error| format!("{}: {e}", folder.display());
    if folder.join("control-1").exists() {
        // The databases begin empty each time: a state from another time would know of commits that are gone.
        return Err(format!(
            "{} holds an earlier run: take another folder",
            folder.display()
        ));
    }
    for (name, file) in deployment.write(folder, true).map_err(wrong)? {
        let settings = file.display().to_string();
        let metrics = METRICS_PORT.to_string();
        let arguments = ["serve", "--settings", &settings, "--metrics", &metrics];
        child_processes
            .start(&name, program, &arguments, &log_file(folder, &name))
            .map_err(|e| format!("{}: {e}", program.display()))?;
    }
    let watch = async {
        loop {
            if let Some((name, status)) = child_processes.ended() {
                return Err(format!(
                    "{name} ended with {status}; its log is {}",
                    log_file(folder, &name).display()
                ));
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    };
    let work = async {
        let late = async {
            Timer::after(Duration::from_secs_f64(READY)).await;
            Err(format!(
                "not ready within {READY} s; the logs are in {}",
                folder.display()
            ))
        };
        future::or(late, ready(deployment)).await?;
        greet(deployment, folder);
        let _stage = cluster_host;
        future::pending::<Result<(), String>>().await
    };
    future::or(watch, work).await
}

/// Starts the databases, the platform and the desk of this deployment.
pub fn cluster_host(
    tasks: &Rc<LocalExecutor<'static>>,
    deployment: &Deployment,
) -> Result<Rc<ClusterHost>, String> {
    let cluster = DatabaseCluster::new(
        deployment.services(),
        Timing::default(),
        true,
        u64::from(std::process::id()),
    );
    clock::now();
    let cluster_host = ClusterHost::start(
        tasks,
        cluster,
        deployment.controls(),
        deployment.heartbeat_ms as f64 / 1000.0,
        7.0,
    )?;
    admin_api::open(
        tasks,
        &cluster_host,
        deployment.platform(),
        deployment.admin_api(),
        50,
    )?;
    Ok(cluster_host)
}

/// Sends the first configuration, and waits until all routers are ready.
pub async fn ready(deployment: &Deployment) -> Result<(), String> {
    operator::replace(&deployment.controls(), 0, &deployment.configuration(1)).await?;
    log::info!("event=configuration_taken epoch=1");
    for router in deployment.readiness() {
        while !http_client::send(router, 1.0, "GET", "/api/readiness", &[], b"")
            .await
            .is_ok_and(|a| a.status == 200)
        {
            Timer::after(Duration::from_millis(50)).await;
        }
        log::info!("event=router_ready at={router}");
    }
    Ok(())
}

fn greet(deployment: &Deployment, folder: &Path) {
    let fronts: Vec<String> = deployment
        .fronts()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("ready: {}", deployment.databases().join(" "));
    println!("clients connect to {}", fronts.join(" or "));
    println!(
        "    badgerstream-testbed ask {} fresh1 'PUT a 1' 'FETCH a'",
        fronts[0]
    );
    println!(
        "the databases:   badgerstream-testbed tell {} servers    (also ledger, crash ID, start ID, drain ID)",
        deployment.admin_api()
    );
    let asked = SocketAddr::new(deployment.fronts()[0].ip(), METRICS_PORT);
    println!("the figures:     http://{asked}/metrics    (of each machine at its own address)");
    println!("the logs:        {}", folder.display());
    println!("Ctrl-C ends all of it");
}
