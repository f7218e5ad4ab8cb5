//! The process of a machine, from start to shutdown: which roles it runs, its signals and its
//! settings file.
//!
//! A machine runs a router, a control machine, or both, as its settings say. Both share one thread
//! and one executor and own their state. This module starts them, passes new settings to them and
//! waits for them at shutdown.

mod readiness;
mod settings_file;
mod shutdown;

use crate::clock;
use crate::control::{ControlNode, StartError};
use crate::data_plane::{DataPlane, DataPlaneLimits, ServerHealth};
use crate::leader_session::{LeaderSession, LeaderSessionConfig};
use crate::metrics::{MetricsServer, RouterSource};
use crate::view::SharedView;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use badgerstream_control::HealthReport;
use badgerstream_pooler_config::settings::{Settings, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Value of `answered_seconds_ago` in a health report for a server that has never answered.
const NEVER_ANSWERED_S: f64 = 1e9;

/// The reason why a process can't start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The settings file can't be read.
    #[error("can't read settings file {}: {error}", path.display())]
    ReadSettings {
        /// The settings file.
        path: PathBuf,
        /// The error from the operating system.
        error: io::Error,
    },
    /// The settings file is invalid.
    #[error("invalid settings file {}: {error}", path.display())]
    InvalidSettings {
        /// The settings file.
        path: PathBuf,
        /// What is wrong in the file.
        error: SettingsError,
    },
    /// Signal handlers can't be installed.
    #[error("can't install handlers for SIGTERM, SIGINT and SIGHUP: {0}")]
    Signals(io::Error),
    /// The control machine can't start.
    #[error(transparent)]
    Control(#[from] StartError),
    /// The listener for readiness requests can't be bound.
    #[error("can't listen for readiness requests on {address}: {error}")]
    BindReadiness {
        /// The address to listen on.
        address: SocketAddr,
        /// The error from the operating system.
        error: io::Error,
    },
}

/// The router of a machine.
struct Router {
    data_plane: Rc<DataPlane>,
    session: Rc<LeaderSession>,
}

/// The roles that a machine runs.
struct Roles {
    control: Option<Rc<ControlNode>>,
    router: Option<Router>,
}

impl Roles {
    /// Passes new settings to the roles, which apply those that may change while the process runs.
    fn reload(&self, settings: &Settings) {
        if let Some(control) = &self.control {
            control.reload(settings);
        }
        if let Some(router) = &self.router {
            router.session.add_seeds(&settings.seeds);
        }
    }
}

/// Runs the roles of this machine until SIGTERM or SIGINT, and serves metrics on `metrics_port` if
/// there is one.
///
/// # Errors
///
/// [`ProcessError`] if the process can't start.
pub fn run(settings_path: PathBuf, metrics_port: Option<u16>) -> Result<(), ProcessError> {
    // The monotonic clock counts from its first use.
    clock::now();
    let settings = settings_file::read(&settings_path)?;
    let tasks = Rc::new(LocalExecutor::new());
    let serve = serve(tasks.clone(), settings_path, settings, metrics_port);
    async_io::block_on(tasks.run(serve))
}

async fn serve(
    tasks: Rc<LocalExecutor<'static>>,
    settings_path: PathBuf,
    settings: Settings,
    metrics_port: Option<u16>,
) -> Result<(), ProcessError> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ProcessError::Signals)?;
    let process_incarnation = fastrand::u64(..) >> 1;
    let shared = SharedView::default();
    let roles = start_roles(&tasks, &settings, &shared, process_incarnation)?;
    if let Some(address) = settings.readiness_address {
        readiness::serve(&tasks, address, &shared)?;
    }
    if let Some(port) = metrics_port {
        let address = SocketAddr::from((settings.ip, port));
        metrics_server(&roles, &shared).serve(&tasks, address);
    }
    log::info!(
        "event=process_started node={} front={} control={}",
        settings.node_name,
        roles.router.is_some(),
        roles.control.is_some()
    );
    let settings = settings_file::follow(&mut signals, &settings_path, settings, &roles).await;
    let started_at = clock::now();
    log::info!("event=shutdown_started");
    shared.shutdown_started_at.set(Some(started_at));
    shared.changed.notify_waiters();
    if let Some(control) = &roles.control {
        control.shut_down();
    }
    shutdown::drain(started_at, settings.bounds.grace_s, &roles).await;
    Ok(())
}

/// Starts the control machine, the router or both: those that the settings have addresses for.
fn start_roles(
    tasks: &Rc<LocalExecutor<'static>>,
    settings: &Settings,
    shared: &SharedView,
    process_incarnation: u64,
) -> Result<Roles, StartError> {
    let control = match settings.control_address {
        Some(_) => Some(ControlNode::start(tasks, settings, process_incarnation)?),
        None => None,
    };
    let router = settings
        .front_address
        .map(|front| start_router(tasks, settings, front, shared, process_incarnation));
    Ok(Roles { control, router })
}

/// Starts the data plane and its session with the leader.
fn start_router(
    tasks: &Rc<LocalExecutor<'static>>,
    settings: &Settings,
    front: SocketAddr,
    shared: &SharedView,
    process_incarnation: u64,
) -> Router {
    let limits = DataPlaneLimits {
        file_limit: settings.limits.file_limit as usize,
        name: settings.node_name.clone(),
        seed: process_incarnation,
        grace_s: settings.bounds.grace_s,
    };
    let data_plane = DataPlane::start(tasks, shared.clone(), front, limits);
    let observed = data_plane.clone();
    let health_reports = move |services: &[String], now: f64| {
        observed
            .server_health(services, now)
            .into_iter()
            .map(|server_health| health_report(server_health, now))
            .collect()
    };
    let config = LeaderSessionConfig {
        router: settings.node_name.clone(),
        process_incarnation,
        port: settings.port_range.first,
        renew_interval_s: settings.tuning.renew_ms as f64 / 1000.0,
        // Two thirds of the time after which control machines suspect each other: the router leaves
        // a silent leader early enough for the next leader to renew the lease before it expires.
        silence_timeout_s: settings.tuning.suspect_ms as f64 / 1500.0,
    };
    let acknowledging = data_plane.clone();
    let acknowledged_writes = move |service: &str| acknowledging.acknowledged_writes(service);
    let session = LeaderSession::new(config, shared.clone(), health_reports, acknowledged_writes);
    session.add_seeds(&settings.seeds);
    tasks.spawn(session.clone().run()).detach();
    Router {
        data_plane,
        session,
    }
}

/// Converts the data plane's observation of a server to the health report for the leader.
fn health_report(server_health: ServerHealth, now: f64) -> HealthReport {
    let answered_seconds_ago = if server_health.last_answer_at > 0.0 {
        now - server_health.last_answer_at
    } else {
        NEVER_ANSWERED_S
    };
    HealthReport {
        service: server_health.service,
        server_id: server_health.server_id,
        answered_seconds_ago,
    }
}

fn metrics_server(roles: &Roles, shared: &SharedView) -> MetricsServer {
    MetricsServer {
        router: roles.router.as_ref().map(|router| RouterSource {
            data_plane: router.data_plane.clone(),
            shared: shared.clone(),
        }),
        control: roles.control.clone(),
    }
}
