//! A process from its start to its end: which parts it runs, its signals, its settings file.

use crate::clock;
use crate::control::ControlNode;
use crate::edge::{Edge, EdgeLimits};
use crate::http::{self, Handler};
use crate::leader_session::{LeaderSession, LeaderSessionConfig};
use crate::metrics::Metrics;
use crate::view::SharedView;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use badgerstream_control::HealthReport;
use badgerstream_http_codec::{Request, response};
use badgerstream_pooler_config::settings::Settings;
use futures_lite::{StreamExt, future};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The variable that names the settings file.
pub const BOOT: &str = "BADGERSTREAM_BOOT";

/// The settings file is read again this often, in seconds, as it may change without a signal.
const RELOAD_S: f64 = 5.0;
/// What control is told of a primary that never answered, in seconds.
const NEVER_ANSWERED_S: f64 = 1e9;
/// The part of the grace period for which a router stays at least.
const MIN_DRAIN_OF_GRACE: f64 = 0.4;
/// A machine without a router stays so long at least, in seconds.
const MIN_CONTROL_DRAIN_S: f64 = 0.3;
/// The part of the grace period for which a process stays at most: its last answers leave a little
/// earlier.
const DRAIN_OF_GRACE: f64 = 0.94;
/// Between two looks at what is still in work.
const DRAIN_LOOK: Duration = Duration::from_millis(25);
/// The most bytes that the body of a readiness request may have.
const READINESS_BODY_BYTES: usize = 4096;

/// A control machine that ends waits so long to be left out of the voters, in seconds.
const LEAVE_S: f64 = 1.2;

/// Whether this router can serve: it knows a configuration and servers and holds a lease, and is
/// not asked to end.
struct Readiness {
    shared: SharedView,
}

impl Readiness {
    fn ready(&self) -> bool {
        let view = self.shared.view.borrow();
        let able = view.config.is_some()
            && !view.servers.is_empty()
            && clock::now() < view.leased_until() + 1.0;
        able && self.shared.shutdown_started_at.get().is_none()
    }
}

impl Handler for Readiness {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let path = request.path.split('?').next().unwrap_or_default();
        let status = match path {
            "/api/readiness" if self.ready() => 200,
            "/api/readiness" => 503,
            _ => 404,
        };
        response(status, &[], b"", request.keep_alive)
    }
}

/// Reads the settings file.
pub fn read(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Settings::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Runs the parts of this machine until SIGTERM; with a port for its figures somebody may ask for
/// these there.
pub fn run(path: PathBuf, metrics: Option<u16>) -> Result<(), String> {
    clock::now();
    let settings = read(&path)?;
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(serve(tasks.clone(), path, settings, metrics)))
}

/// The router's part of a machine.
struct Router {
    edge: Rc<Edge>,
    session: Rc<LeaderSession>,
}

async fn serve(
    tasks: Rc<LocalExecutor<'static>>,
    path: PathBuf,
    settings: Settings,
    metrics: Option<u16>,
) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("signals can't be heard: {e}"))?;
    let seed = fastrand::u64(..) >> 1;
    let shared = SharedView::default();
    let control = match settings.control {
        Some(_) => Some(ControlNode::start(&tasks, &settings, seed).map_err(|e| e.to_string())?),
        None => None,
    };
    let router = settings
        .front
        .map(|front| start_router(&tasks, &settings, front, &shared, seed));
    if let Some(at) = settings.readiness {
        readiness(&tasks, at, &shared)?;
    }
    if let Some(port) = metrics {
        let router = router
            .as_ref()
            .map(|router| (router.edge.clone(), shared.clone()));
        let metrics = Metrics {
            router,
            control: control.clone(),
        };
        metrics.serve(&tasks, SocketAddr::from((settings.ip, port)));
    }
    log::info!(
        "event=started node={} front={} control={}",
        settings.node_name,
        router.is_some(),
        control.is_some()
    );
    let settings = follow_settings(
        &mut signals,
        &path,
        settings,
        control.as_ref(),
        router.as_ref(),
    )
    .await;
    let asked = clock::now();
    log::info!("event=ending");
    shared.shutdown_started_at.set(Some(asked));
    shared.changed.notify_waiters();
    if let Some(control) = &control {
        control.shut_down();
    }
    drain(
        asked,
        settings.bounds.grace_s,
        control.as_ref(),
        router.as_ref(),
    )
    .await;
    Ok(())
}

/// Starts the data plane and its session with control.
fn start_router(
    tasks: &Rc<LocalExecutor<'static>>,
    settings: &Settings,
    front: SocketAddr,
    shared: &SharedView,
    seed: u64,
) -> Router {
    let limits = EdgeLimits {
        file_limit: settings.limits.file_limit as usize,
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        seed,
        grace_s: settings.bounds.grace_s,
    };
    let edge = Edge::start(tasks, shared.clone(), front, limits);
    let observed = edge.clone();
    let evidence = move |services: &[String], now: f64| {
        observed
            .evidence(services, now)
            .into_iter()
            .map(|e| to_control(e, now))
            .collect()
    };
    // A machine that leads no longer is left while the lease still has time to be had from the next
    // one.
    let config = LeaderSessionConfig {
        router: settings.node_name.clone(),
        process_incarnation: seed,
        port: settings.port_range.0,
        renew_interval_s: settings.own.renew_ms as f64 / 1000.0,
        silence_timeout_s: settings.own.suspect_ms as f64 / 1500.0,
    };
    let session = LeaderSession::new(config, shared.clone(), evidence);
    session.add_seeds(&settings.seeds);
    tasks.spawn(session.clone().run()).detach();
    Router { edge, session }
}

/// The evidence of the data plane as control is told.
fn to_control(evidence: crate::edge::Evidence, now: f64) -> HealthReport {
    let answered = if evidence.last_answer > 0.0 {
        now - evidence.last_answer
    } else {
        NEVER_ANSWERED_S
    };
    HealthReport {
        service: evidence.service,
        server_id: evidence.id,
        answered_seconds_ago: answered,
    }
}

/// Reads the settings file again at each SIGHUP, and from time to time, until SIGTERM; returns the
/// settings in force.
async fn follow_settings(
    signals: &mut Signals,
    path: &Path,
    settings: Settings,
    control: Option<&Rc<ControlNode>>,
    router: Option<&Router>,
) -> Settings {
    let mut in_force = settings;
    loop {
        let signal = future::or(async { signals.next().await }, async {
            Timer::after(Duration::from_secs_f64(RELOAD_S)).await;
            None
        });
        let signal = signal.await;
        if let Some(Ok(Signal::Term | Signal::Int)) = signal {
            return in_force;
        }
        match read(path) {
            Ok(settings) if settings != in_force => {
                log::info!("event=settings_changed signal={}", signal.is_some());
                if let Some(control) = control {
                    control.reload(&settings);
                }
                if let Some(router) = router {
                    router.session.add_seeds(&settings.seeds);
                }
                in_force = settings;
            }
            Ok(_) => {}
            Err(e) => log::error!("event=settings_refused error={e:?}"),
        }
    }
}

/// Waits until nothing is in work, within the grace period that began when the process was asked to
/// end.
async fn drain(asked: f64, grace: f64, control: Option<&Rc<ControlNode>>, router: Option<&Router>) {
    // The platform passes connections on for a moment longer, and callers of control are answered.
    let least = if router.is_some() {
        MIN_DRAIN_OF_GRACE * grace
    } else {
        MIN_CONTROL_DRAIN_S
    };
    loop {
        Timer::after(DRAIN_LOOK).await;
        let past = clock::now() - asked;
        let statements = router.map_or(0, |r| r.edge.open());
        let calls = control.map_or(0, |c| c.in_flight_requests());
        let left = past > LEAVE_S || control.is_none_or(|control| control.may_shut_down());
        if (past > least && left && statements + calls == 0) || past > DRAIN_OF_GRACE * grace {
            log::info!("event=ended open={} after_s={past:.2}", statements + calls);
            return;
        }
    }
}

/// Answers readiness probes at this address.
fn readiness(
    tasks: &Rc<LocalExecutor<'static>>,
    at: SocketAddr,
    shared: &SharedView,
) -> Result<(), String> {
    let listener = http::listen(at).map_err(|e| format!("{at}: {e}"))?;
    let handler = Rc::new(Readiness {
        shared: shared.clone(),
    });
    tasks
        .spawn(http::serve(
            tasks.clone(),
            listener,
            handler,
            READINESS_BODY_BYTES,
            Rc::new(Cell::new(0)),
        ))
        .detach();
    Ok(())
}
