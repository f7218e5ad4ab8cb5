//! The metrics of this machine in the text format of `OpenMetrics`, for a monitoring system that
//! fetches them over HTTP.
//!
//! Counters and histograms are kept by the parts in [`crate::counters`]; all else is read from the
//! parts when somebody asks, so that a machine which nobody asks pays next to nothing. This module
//! reads control and the data plane, and neither knows it. The names, help texts and labels are
//! those of the page `operators/metrics.md`.

mod control;
mod router;

use crate::clock;
use crate::control::ControlNode;
use crate::data_plane::DataPlane;
use crate::http::{self, Handler};
use crate::view::SharedView;
use async_executor::LocalExecutor;
use badgerstream_http_codec::{Request, encode_response};
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

/// The path of the metrics.
pub const PATH: &str = "/metrics";
/// The prefix of all metric names.
const PREFIX: &str = "badgerstream";
/// The media type of the response.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Labels of one sample: names and values.
type Labels = Vec<(&'static str, String)>;
type FloatGauge = Gauge<f64, AtomicU64>;

/// The samples of all metrics at one time, to be written out once.
pub struct Exposition(Registry);

impl Default for Exposition {
    fn default() -> Self {
        Self(Registry::with_prefix(PREFIX))
    }
}

impl Exposition {
    /// A value that goes up and down.
    fn gauge(&mut self, name: &str, help: &str, value: f64) {
        self.gauges(name, help, [(Labels::new(), value)]);
    }

    /// A gauge that is 1 or 0.
    fn flag(&mut self, name: &str, help: &str, set: bool) {
        self.gauge(name, help, f64::from(u8::from(set)));
    }

    /// Gauges with labels.
    fn gauges(&mut self, name: &str, help: &str, values: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, FloatGauge>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Counts that only rise within one incarnation of the process; their names get the suffix
    /// `_total`.
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

/// What the metrics of a router are read from.
pub struct RouterSource {
    /// Its data plane.
    pub data_plane: Rc<DataPlane>,
    /// What it knows.
    pub shared: SharedView,
}

/// Serves the metrics of the parts that this machine runs.
pub struct MetricsServer {
    /// The router.
    pub router: Option<RouterSource>,
    /// The control machine.
    pub control: Option<Rc<ControlNode>>,
}

impl MetricsServer {
    /// All metrics as they stand.
    pub fn text(&self) -> String {
        let now = clock::now();
        let mut exposition = Exposition::default();
        if let Some(router) = &self.router {
            router::add(&mut exposition, router, now);
        }
        if let Some(control) = &self.control {
            control::add(&mut exposition, &control.snapshot(now), control.counts());
        }
        exposition.text()
    }

    /// Serves at this address for as long as the executor runs. If the address can't be bound, that
    /// is logged and the machine works without metrics.
    pub fn serve(self, tasks: &Rc<LocalExecutor<'static>>, address: SocketAddr) {
        let listener = match http::listen(address) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("event=metrics_bind_failed address={address} error={error}");
                return;
            }
        };
        let in_flight = Rc::new(Cell::new(0));
        tasks
            .spawn(http::serve(
                tasks.clone(),
                listener,
                Rc::new(self),
                MAX_BODY_BYTES,
                in_flight,
            ))
            .detach();
    }
}

impl Handler for MetricsServer {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let keep_alive = request.keep_alive;
        let path = request.path.split('?').next().unwrap_or_default();
        if path != PATH {
            return encode_response(404, &[], b"the figures are at /metrics\n", keep_alive);
        }
        if request.method != "GET" {
            return encode_response(405, &[], b"ask with GET\n", keep_alive);
        }
        let headers = [("Content-Type", CONTENT_TYPE)];
        encode_response(200, &headers, self.text().as_bytes(), keep_alive)
    }
}

#[cfg(test)]
#[path = "tests/metrics.rs"]
mod tests;
