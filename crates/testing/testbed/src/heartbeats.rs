//! Sends the heartbeats of a database server while its process runs. `cluster_host` spawns one task
//! for each server; when the task reports that a drain is over, `cluster_host` ends the server's
//! process.

use crate::database_cluster::{AnnouncedState, DatabaseCluster};
use crate::http_client::{self, HttpRequest};
use async_io::Timer;
use badgerstream_control_api::members::{
    DEPART_PATH, HEARTBEAT_PATH, Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_RESPONSE_BYTES, Phase,
};
use badgerstream_http_codec::Response;
use badgerstream_pooler::clock;
use badgerstream_pooler::notify::Notify;
use futures_lite::future;
use nanoserde::{DeJson, SerJson};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for the response to a heartbeat or a departure.
const RESPONSE_TIMEOUT_S: f64 = 1.0;

/// Delay between a failed heartbeat and the next one, which goes to another control machine.
const RETRY_DELAY_S: f64 = 0.02;

/// Time from the first heartbeat that announces a drain until the server ends if no control machine
/// acknowledges the drain.
const UNACKNOWLEDGED_DRAIN_TIMEOUT_S: f64 = 5.0;

/// Additional time that a server runs after its drain time, for statements still in transit.
const DRAIN_MARGIN_S: f64 = 0.5;

/// The destinations and times of heartbeats, the same for all servers.
#[derive(Debug)]
pub struct HeartbeatSettings {
    /// The control machines' addresses.
    pub control_addresses: Vec<SocketAddr>,
    /// Interval between two heartbeats, in seconds.
    pub interval_s: f64,
    /// Time from the acknowledgement of a drain until the server ends, in seconds.
    pub drain_s: f64,
}

/// The reason why heartbeats ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEnd {
    /// The server's process doesn't run, or there is no control machine.
    NotRunning,
    /// The drain is over and the server's departure was sent: the caller must end its process.
    Drained,
}

/// Sends the heartbeats of one server.
pub struct HeartbeatSender {
    /// The cluster that contains the server.
    pub cluster: Rc<RefCell<DatabaseCluster>>,
    /// Notified whenever the cluster may have changed.
    pub changed: Rc<Notify>,
    /// The destinations and times of heartbeats.
    pub settings: Rc<HeartbeatSettings>,
    /// The server's id.
    pub server_id: String,
}

/// Progress of a drain; times are in seconds of the process clock.
#[derive(Default)]
struct DrainProgress {
    first_sent_at_s: Option<f64>,
    acknowledged_at_s: Option<f64>,
}

impl DrainProgress {
    /// Returns the time at which the server ends; infinity while it doesn't drain.
    fn ends_at_s(&self, drain_s: f64) -> f64 {
        match (self.acknowledged_at_s, self.first_sent_at_s) {
            (Some(acknowledged), _) => acknowledged + drain_s + DRAIN_MARGIN_S,
            (None, Some(first_sent)) => first_sent + UNACKNOWLEDGED_DRAIN_TIMEOUT_S,
            (None, None) => f64::INFINITY,
        }
    }
}

impl HeartbeatSender {
    /// Sends heartbeats until the server's process ends or its drain is over.
    pub async fn run(self) -> HeartbeatEnd {
        // Spreads the first heartbeats of the servers over the control machines.
        let mut next_control = self.server_id.bytes().map(usize::from).sum::<usize>();
        let mut redirect: Option<SocketAddr> = None;
        let mut drain = DrainProgress::default();
        loop {
            // Taken before the state is read, so that a change from here on ends the wait below.
            let generation = self.changed.generation();
            let Some(heartbeat) = self.cluster.borrow_mut().next_heartbeat(&self.server_id) else {
                return HeartbeatEnd::NotRunning;
            };
            let announced = self.cluster.borrow().announced_state(&self.server_id);
            let Some(to) = redirect.or_else(|| self.control_address(next_control)) else {
                return HeartbeatEnd::NotRunning;
            };
            let response = self.send(to, &heartbeat).await;
            let now = clock::now();
            let draining = heartbeat.phase == Phase::Draining;
            if draining {
                drain.first_sent_at_s.get_or_insert(now);
            }
            let mut delay_s = self.settings.interval_s;
            if let Some(response) = response {
                redirect = heartbeat_endpoint(&response).or(redirect);
                if draining {
                    drain.acknowledged_at_s.get_or_insert(now);
                }
            } else {
                next_control += 1;
                redirect = None;
                log::debug!("event=heartbeat_failed id={} to={to}", self.server_id);
                delay_s = RETRY_DELAY_S;
            }
            let ends_at_s = drain.ends_at_s(self.settings.drain_s);
            self.wait(announced, generation, ends_at_s.min(now + delay_s))
                .await;
            if clock::now() >= ends_at_s {
                self.send_departure(to).await;
                return HeartbeatEnd::Drained;
            }
        }
    }

    fn control_address(&self, n: usize) -> Option<SocketAddr> {
        let addresses = &self.settings.control_addresses;
        addresses.get(n % addresses.len().max(1)).copied()
    }

    /// Sends a heartbeat and returns the response if the heartbeat was acknowledged.
    async fn send(&self, to: SocketAddr, heartbeat: &Heartbeat) -> Option<Response> {
        let path = format!("{HEARTBEAT_PATH}{}", self.server_id);
        let body = heartbeat.serialize_json();
        let request = HttpRequest::post(&path, body.as_bytes());
        let response =
            http_client::send_following_redirects(to, RESPONSE_TIMEOUT_S, &request).await;
        response.ok().filter(|response| {
            (200..300).contains(&response.status)
                && response.body.len() <= MAX_HEARTBEAT_RESPONSE_BYTES
        })
    }

    /// Sends the departure once: if it is lost, control notices that heartbeats are missing.
    async fn send_departure(&self, to: SocketAddr) {
        let path = format!("{DEPART_PATH}{}", self.server_id);
        let request = HttpRequest::post(&path, b"");
        let _ = http_client::send_following_redirects(to, RESPONSE_TIMEOUT_S, &request).await;
    }

    /// Waits until `until_s`, a second of the process clock, or until the server's state differs
    /// from `announced`, the state in the last heartbeat: control must learn of a change without
    /// delay.
    async fn wait(&self, announced: AnnouncedState, mut generation: u64, until_s: f64) {
        let remaining_s = (until_s - clock::now()).max(0.0);
        let due = async {
            Timer::after(Duration::from_secs_f64(remaining_s)).await;
        };
        let state_changed = async {
            while self.cluster.borrow().announced_state(&self.server_id) == announced {
                self.changed.notified_since(generation).await;
                generation = self.changed.generation();
            }
        };
        future::or(due, state_changed).await;
    }
}

/// Returns the address for further heartbeats, if the response contains one.
fn heartbeat_endpoint(response: &Response) -> Option<SocketAddr> {
    let text = String::from_utf8_lossy(&response.body);
    HeartbeatResponse::deserialize_json(&text)
        .ok()?
        .beat_endpoint?
        .parse()
        .ok()
}
