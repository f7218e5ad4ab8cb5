//! The figures of this machine as text in the OpenMetrics form, for a monitoring system that
//! fetches them over HTTP.
//!
//! What is counted all the time is a handful of cells; all else is read from the parts of the
//! machine when somebody asks, so that a machine which nobody asks pays next to nothing.

mod control;
mod router;

use crate::clock;
use crate::control::ControlNode;
use crate::edge::Edge;
use crate::http::{self, Handler};
use crate::view::SharedView;
use async_executor::LocalExecutor;
use badgerstream_http_codec::{Request, response};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;

/// Where the figures are asked for.
pub const PATH: &str = "/metrics";
/// What all names begin with.
const PREFIX: &str = "badgerstream";
/// The type of the answer.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The most bytes that the body of a request may have.
const MAX_BODY_BYTES: usize = 4096;

/// Labels of one figure: names and values.
type Labels = Vec<(&'static str, String)>;
type GaugeOfNumbers = Gauge<f64, AtomicU64>;

/// Figures as they stand, to be written out once.
pub struct Snapshot(Registry);

impl Default for Snapshot {
    fn default() -> Self {
        Self(Registry::with_prefix(PREFIX))
    }
}

impl Snapshot {
    /// A figure that goes up and down.
    fn gauge(&mut self, name: &str, help: &str, value: f64) {
        self.gauges(name, help, [(Labels::new(), value)]);
    }

    /// A gauge that is 1 or 0.
    fn flag(&mut self, name: &str, help: &str, set: bool) {
        self.gauge(name, help, f64::from(u8::from(set)));
    }

    /// The same with labels.
    fn gauges(&mut self, name: &str, help: &str, values: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, GaugeOfNumbers>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Counts that only rise within one life of the process; their names get `_total`.
    fn counters(
        &mut self,
        name: &str,
        help: &str,
        values: impl IntoIterator<Item = (Labels, u64)>,
    ) {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).inc_by(value);
        }
        self.0.register(name, help, family);
    }

    /// A distribution that is kept all the time.
    fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.0.register(name, help, histogram.clone());
    }

    /// The text.
    fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string doesn't fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

/// Answers with the figures of the parts that this machine runs.
pub struct Metrics {
    /// What the router knows, and its data plane.
    pub router: Option<(Rc<Edge>, SharedView)>,
    /// The control machine.
    pub control: Option<Rc<ControlNode>>,
}

impl Metrics {
    /// All figures as they stand.
    pub fn text(&self) -> String {
        let mut snapshot = Snapshot::default();
        if let Some((edge, shared)) = &self.router {
            router::add(&mut snapshot, edge, shared);
        }
        if let Some(control) = &self.control {
            control::add(
                &mut snapshot,
                &control.snapshot(clock::now()),
                control.counts(),
            );
        }
        snapshot.text()
    }

    /// Answers at this address for as long as the executor runs. Where it can't listen nobody can
    /// ask, which is logged: the machine serves all the same.
    pub fn serve(self, tasks: &Rc<LocalExecutor<'static>>, at: SocketAddr) {
        let listener = match http::listen(at) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("event=metrics_not_bound at={at} error={error}");
                return;
            }
        };
        let open = Rc::new(Cell::new(0));
        tasks
            .spawn(http::serve(
                tasks.clone(),
                listener,
                Rc::new(self),
                MAX_BODY_BYTES,
                open,
            ))
            .detach();
    }
}

impl Handler for Metrics {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let path = request.path.split('?').next().unwrap_or_default();
        if path != PATH {
            return response(
                404,
                &[],
                b"the figures are at /metrics\n",
                request.keep_alive,
            );
        }
        if request.method != "GET" {
            return response(405, &[], b"ask with GET\n", request.keep_alive);
        }
        response(
            200,
            &[("Content-Type", CONTENT_TYPE)],
            self.text().as_bytes(),
            request.keep_alive,
        )
    }
}

#[cfg(test)]
#[path = "tests/metrics.rs"]
mod tests;
