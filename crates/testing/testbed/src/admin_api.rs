//! What answers HTTP: the platform, and the desk where people and scripts tell the stand-in what to do.

use crate::cluster_host::ClusterHost;
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

/// The platform.
struct Platform {
    cluster_host: Rc<ClusterHost>,
    /// Calls that it takes a second.
    per_s: usize,
    calls: RefCell<VecDeque<f64>>,
}

#[derive(DeJson)]
struct Promotion {
    backend: String,
    id: String,
}

impl Platform {
    fn status(&self, request: &Request) -> u16 {
        if request.method != "POST" || request.path != PROMOTIONS_PATH {
            return 404;
        }
        let now = clock::now();
        let mut calls = self.calls.borrow_mut();
        while calls.front().is_some_and(|at| *at < now - 1.0) {
            calls.pop_front();
        }
        if calls.len() >= self.per_s {
            return 429;
        }
        calls.push_back(now);
        let fence = request.header("X-Fence-Token").and_then(|f| f.parse().ok());
        let (Some(fence), Some(_)) = (fence, request.header("X-Duty-Holder")) else {
            return 400;
        };
        let text = String::from_utf8_lossy(&request.body);
        let Ok(asked) = Promotion::deserialize_json(&text) else {
            return 400;
        };
        let status =
            self.cluster_host
                .cluster
                .borrow_mut()
                .promote(now, &asked.backend, &asked.id, fence);
        self.cluster_host.changed.notify_waiters();
        log::info!(
            "event=promotion service={} id={} fence={fence} status={status}",
            asked.backend,
            asked.id
        );
        status
    }
}

impl Handler for Platform {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        encode_response(self.status(&request), &[], b"", request.keep_alive)
    }
}

/// The desk.
struct AdminApi {
    cluster_host: Rc<ClusterHost>,
}

impl AdminApi {
    fn act(&self, request: &Request) -> (u16, String) {
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        let known = |id: &str| self.cluster_host.cluster.borrow().status(id).is_some();
        match parts[..] {
            ["servers"] => {
                let cluster = self.cluster_host.cluster.borrow();
                let line = |id: &String| {
                    let at = cluster
                        .endpoint(id)
                        .map_or("down".to_owned(), |at| at.to_string());
                    format!(
                        "id={id} at={at} status={:?}\n",
                        cluster.status(id).unwrap_or_default()
                    )
                };
                (200, cluster.ids().iter().map(line).collect())
            }
            ["ledger"] => (
                200,
                format!(
                    "{}\n",
                    self.cluster_host.cluster.borrow().rule_checker.line()
                ),
            ),
            [_, id] if !known(id) => (404, format!("{id}: no such server\n")),
            ["crash", id] => {
                self.cluster_host.crash(id);
                (200, String::new())
            }
            ["start", id] => match self.cluster_host.revive(id) {
                Ok(()) => (200, String::new()),
                Err(e) => (503, format!("{e}\n")),
            },
            ["drain", id] => {
                self.cluster_host.retire(id);
                (200, String::new())
            }
            _ => (404, "there is no such call\n".to_owned()),
        }
    }
}

impl Handler for AdminApi {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let (status, text) = self.act(&request);
        encode_response(
            status,
            &[("Content-Type", "text/plain")],
            text.as_bytes(),
            request.keep_alive,
        )
    }
}

/// Opens the platform at one address and the desk at the other.
pub fn open(
    tasks: &Rc<LocalExecutor<'static>>,
    cluster_host: &Rc<ClusterHost>,
    platform: SocketAddr,
    admin_api: SocketAddr,
    per_s: usize,
) -> Result<(), String> {
    let bind = |at: SocketAddr| http::listen(at).map_err(|e| format!("{at}: {e}"));
    let calls = Rc::new(Platform {
        cluster_host: cluster_host.clone(),
        per_s,
        calls: RefCell::default(),
    });
    let none = Rc::new(Cell::new(0));
    tasks
        .spawn(http::serve(
            tasks.clone(),
            bind(platform)?,
            calls,
            64 << 10,
            none.clone(),
        ))
        .detach();
    let orders = Rc::new(AdminApi {
        cluster_host: cluster_host.clone(),
    });
    tasks
        .spawn(http::serve(
            tasks.clone(),
            bind(admin_api)?,
            orders,
            4096,
            none,
        ))
        .detach();
    Ok(())
}
