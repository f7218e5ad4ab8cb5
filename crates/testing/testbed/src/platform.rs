//! The HTTP interface of the simulated platform: `POST /promotions`, with a rate limit.
//! `database_cluster` decides whether a promotion takes place.

use crate::cluster_host::{ClusterHost, ListenError, listen};
use async_executor::LocalExecutor;
use badgerstream_control_api::promotion::PROMOTIONS_PATH;
use badgerstream_http_codec::{Request, encode_response};
use badgerstream_pooler::clock;
use badgerstream_pooler::http::{self, Handler};
use nanoserde::DeJson;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum size of a request's body.
const MAX_BODY_BYTES: usize = 64 << 10;

struct Platform {
    host: Rc<ClusterHost>,
    max_calls_per_s: usize,
    /// Arrival times of the calls admitted in the last second, in seconds of the process clock.
    recent_calls_s: RefCell<VecDeque<f64>>,
}

/// The JSON body of a call; the field names are part of the platform's interface.
#[derive(DeJson)]
struct PromotionRequest {
    backend: String,
    id: String,
}

impl Platform {
    /// Handles a call and returns the status of the response: 404 for any other method or path, 429
    /// above the rate limit, 400 if a header or the body is missing or invalid, otherwise the
    /// status that the cluster returns.
    fn promote(&self, request: &Request) -> u16 {
        if request.method != "POST" || request.path != PROMOTIONS_PATH {
            return 404;
        }
        let now = clock::now();
        if !self.admit(now) {
            return 429;
        }
        let fence = request.header("X-Fence-Token").and_then(|f| f.parse().ok());
        let (Some(fencing_token), Some(_)) = (fence, request.header("X-Duty-Holder")) else {
            return 400;
        };
        let text = String::from_utf8_lossy(&request.body);
        let Ok(PromotionRequest { backend, id }) = PromotionRequest::deserialize_json(&text) else {
            return 400;
        };
        let mut cluster = self.host.cluster.borrow_mut();
        let status = cluster.request_promotion(now, &backend, &id, fencing_token);
        drop(cluster);
        self.host.changed.notify_waiters();
        log::info!(
            "event=promotion_requested service={backend} id={id} fencing_token={fencing_token} \
             status={status}"
        );
        status
    }

    /// Counts a call and returns true, or returns false if the rate limit is reached.
    fn admit(&self, now: f64) -> bool {
        let mut calls = self.recent_calls_s.borrow_mut();
        while calls.front().is_some_and(|called| *called < now - 1.0) {
            calls.pop_front();
        }
        if calls.len() >= self.max_calls_per_s {
            return false;
        }
        calls.push_back(now);
        true
    }
}

impl Handler for Platform {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        encode_response(self.promote(&request), &[], b"", request.keep_alive)
    }
}

/// Serves the platform at this address for as long as the executor runs.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    host: &Rc<ClusterHost>,
    address: SocketAddr,
    max_calls_per_s: usize,
) -> Result<(), ListenError> {
    let platform = Rc::new(Platform {
        host: host.clone(),
        max_calls_per_s,
        recent_calls_s: RefCell::default(),
    });
    let in_flight = Rc::new(Cell::new(0));
    let serve = http::serve(
        executor.clone(),
        listen(address)?,
        platform,
        MAX_BODY_BYTES,
        in_flight,
    );
    executor.spawn(serve).detach();
    Ok(())
}
