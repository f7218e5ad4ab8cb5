//! A process from its start to its end: which parts it runs, its signals, its settings file.

use crate::clock;
use crate::control::Control;
use crate::edge::{Edge, EdgeLimits};
use crate::http::{self, Handler};
use crate::session::{Session, Spans};
use crate::view::Shared;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use badgerstream_calls::http::{Request, response};
use badgerstream_calls::settings::Settings;
use badgerstream_control::Evidence;
use futures_lite::{StreamExt, future};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The variable that names the settings file.
pub const BOOT: &str = "BADGERSTREAM_BOOT";

/// The settings file is looked at this often, in seconds, as it may change without a signal.
const LOOK: f64 = 5.0;

/// Whether this router can serve: it knows a configuration and servers and holds a lease, and is not asked to end.
struct Readiness {
    shared: Shared,
}

impl Readiness {
    fn ready(&self) -> bool {
        let view = self.shared.view.borrow();
        let able =
            view.config.is_some() && !view.servers.is_empty() && clock::now() < view.leased_until() + 1.0;
        able && self.shared.ending.get().is_none()
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

/// Runs this machine's parts until SIGTERM.
pub fn run(path: PathBuf) -> Result<(), String> {
    clock::now();
    let settings = read(&path)?;
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(serve(tasks.clone(), path, settings)))
}

async fn serve(tasks: Rc<LocalExecutor<'static>>, path: PathBuf, settings: Settings) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("signals can't be heard: {e}"))?;
    let seed = fastrand::u64(..) >> 1;
    let shared = Shared::default();
    let control = match settings.control {
        Some(_) => Some(Control::start(&tasks, &settings, seed)?),
        None => None,
    };
    let mut router = None;
    if let Some(front) = settings.front {
        let limits = EdgeLimits {
            file_limit: settings.limits.file_limit as usize,
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            seed,
            grace_s: settings.bounds.grace_s,
        };
        let edge = Edge::start(&tasks, shared.clone(), front, limits);
        let seen = edge.clone();
        let evidence = move |now: f64| {
            let tell = |e: crate::edge::Evidence| Evidence {
                service: e.service,
                id: e.id,
                answered: if e.last_answer > 0.0 { now - e.last_answer } else { 1e9 },
            };
            seen.evidence(now).into_iter().map(tell).collect()
        };
        // A machine that leads no longer is left while the lease still has time to be had from the next one.
        let spans = Spans {
            renew: settings.own.renew_ms as f64 / 1000.0,
            suspect: settings.own.suspect_ms as f64 / 1500.0,
        };
        let session = Session::new(
            settings.node_name.clone(),
            seed,
            settings.port_range.0,
            spans,
            shared.clone(),
            evidence,
        );
        session.seeds(&settings.seeds);
        tasks.spawn(session.clone().run()).detach();
        router = Some((edge, session));
    }
    if let Some(at) = settings.readiness {
        readiness(&tasks, at, &shared)?;
    }
    log::info!(
        "event=started node={} front={} control={}",
        settings.node_name,
        router.is_some(),
        control.is_some()
    );
    let mut told = settings;
    loop {
        let signal = future::or(async { signals.next().await }, async {
            Timer::after(Duration::from_secs_f64(LOOK)).await;
            None
        });
        match signal.await {
            Some(Ok(Signal::Term | Signal::Int)) => break,
            heard => match read(&path) {
                Ok(now) if now != told => {
                    log::info!("event=settings_changed signal={}", heard.is_some());
                    if let Some(control) = &control {
                        control.changed(&now);
                    }
                    if let Some((_, session)) = &router {
                        session.seeds(&now.seeds);
                    }
                    told = now;
                }
                Ok(_) => {}
                Err(e) => log::error!("event=settings_refused error={e:?}"),
            },
        }
    }
    let asked = clock::now();
    log::info!("event=ending");
    shared.ending.set(Some(asked));
    shared.changed.ring();
    if let Some(control) = &control {
        control.end();
    }
    let grace = told.bounds.grace_s;
    // The platform passes connections on for a moment longer, and callers of control are answered.
    let least = if router.is_some() { 0.4 * grace } else { 0.3 };
    loop {
        Timer::after(Duration::from_millis(25)).await;
        let past = clock::now() - asked;
        let clients = router.as_ref().map_or(0, |(edge, _)| edge.open());
        let calls = control.as_ref().map_or(0, |c| c.open.get());
        if (past > least && clients + calls == 0) || past > grace - 0.4 {
            log::info!("event=ended open={} after_s={past:.2}", clients + calls);
            return Ok(());
        }
    }
}

fn readiness(tasks: &Rc<LocalExecutor<'static>>, at: SocketAddr, shared: &Shared) -> Result<(), String> {
    let listener = http::listen(at).map_err(|e| format!("{at}: {e}"))?;
    let handler = Rc::new(Readiness { shared: shared.clone() });
    tasks.spawn(http::serve(tasks.clone(), listener, handler, 4096, Rc::new(Cell::new(0)))).detach();
    Ok(())
}
