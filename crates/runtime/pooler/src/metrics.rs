//! The metrics of this machine in the text format of `OpenMetrics`, for a monitoring system that
//! fetches them over HTTP.
//!
//! The control machine and the data plane update counters and histograms continuously
//! ([`crate::counters`]). All other values are read from them when metrics are requested, so that
//! metrics which nobody requests cost next to nothing. Neither of them depends on this module. The
//! names, help texts and labels are documented on the page `operators/metrics.md`.

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
/// Maximum size of the body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// The labels of one sample: pairs of name and value.
type Labels = Vec<(&'static str, String)>;
type FloatGauge = Gauge<f64, AtomicU64>;

/// The samples of all metrics at one point in time, for one response.
pub struct Exposition(Registry);

impl Default for Exposition {
    fn default() -> Self {
        Self(Registry::with_prefix(PREFIX))
    }
}

impl Exposition {
    /// Adds a gauge without labels.
    fn gauge(&mut self, name: &str, help: &str, value: f64) {
        self.gauges(name, help, [(Labels::new(), value)]);
    }

    /// Adds a gauge that is 1 if `set`, otherwise 0.
    fn flag(&mut self, name: &str, help: &str, set: bool) {
        self.gauge(name, help, f64::from(u8::from(set)));
    }

    /// Adds a gauge with one sample for each set of labels.
    fn gauges(&mut self, name: &str, help: &str, values: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, FloatGauge>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Adds a counter with one sample for each set of labels. Counters never decrease within one
    /// incarnation of the process; the names of their samples get the suffix `_total`.
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

    /// Adds a histogram.
    fn histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.0.register(name, help, histogram.clone());
    }

    /// Returns all metrics in the text format.
    fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string doesn't fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

/// The parts of a router that its metrics are read from.
pub struct RouterSource {
    /// The router's data plane.
    pub data_plane: Rc<DataPlane>,
    /// The router's view of the system.
    pub shared: SharedView,
}

/// Serves the metrics of the router and the control machine that this process runs.
pub struct MetricsServer {
    /// The router, if this process runs one.
    pub router: Option<RouterSource>,
    /// The control machine, if this process runs one.
    pub control: Option<Rc<ControlNode>>,
}

impl MetricsServer {
    /// Returns the current values of all metrics in the text format.
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

    /// Serves metrics at this address for as long as the executor runs. If the address can't be
    /// bound, the error is logged and the process runs without metrics.
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
            return encode_response(
                404,
                &[],
                b"unknown path: the metrics are at /metrics\n",
                keep_alive,
            );
        }
        if request.method != "GET" {
            return encode_response(405, &[], b"method not allowed: use GET\n", keep_alive);
        }
        let headers = [("Content-Type", CONTENT_TYPE)];
        encode_response(200, &headers, self.text().as_bytes(), keep_alive)
    }
}

#[cfg(test)]
#[path = "tests/metrics.rs"]
mod tests;
