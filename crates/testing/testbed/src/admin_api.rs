//! The testbed's admin API, for people and scripts (`badgerstream-testbed tell`): it lists the
//! database servers, prints the counts of `rule_checker`, and crashes, starts and drains servers.
//! The system under test never calls it.

use crate::cluster_host::{ClusterHost, ListenError, listen};
use async_executor::LocalExecutor;
use badgerstream_http_codec::{Request, encode_response};
use badgerstream_pooler::http::{self, Handler};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum size of a request's body; bodies are ignored.
const MAX_BODY_BYTES: usize = 4096;

struct AdminApi {
    host: Rc<ClusterHost>,
}

/// Status and body of a response.
struct AdminResponse {
    status: u16,
    text: String,
}

impl AdminResponse {
    fn new(status: u16, text: String) -> Self {
        Self { status, text }
    }

    fn done() -> Self {
        Self::new(200, String::new())
    }
}

impl AdminApi {
    fn handle(&self, request: &Request) -> AdminResponse {
        let segments: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match segments[..] {
            ["servers"] => AdminResponse::new(200, self.server_list()),
            ["ledger"] => {
                let summary = self.host.cluster.borrow().rule_checker.summary();
                AdminResponse::new(200, format!("{summary}\n"))
            }
            [_, id] if self.host.cluster.borrow().status_row(id).is_none() => {
                AdminResponse::new(404, format!("{id}: no such server\n"))
            }
            ["crash", id] => {
                self.host.crash_server(id);
                AdminResponse::done()
            }
            ["start", id] => match self.host.restart_server(id) {
                Ok(()) => AdminResponse::done(),
                Err(e) => AdminResponse::new(503, format!("{e}\n")),
            },
            ["drain", id] => {
                self.host.drain_server(id);
                AdminResponse::done()
            }
            _ => AdminResponse::new(404, "there is no such call\n".to_owned()),
        }
    }

    /// Returns one line for each server: its id, its address or `down`, and its `STATUS` row.
    fn server_list(&self) -> String {
        let cluster = self.host.cluster.borrow();
        let line = |id: &String| {
            let address = cluster
                .listen_address(id)
                .map_or("down".to_owned(), |address| address.to_string());
            let status = cluster.status_row(id).unwrap_or_default();
            format!("id={id} at={address} status={status:?}\n")
        };
        cluster.server_ids().iter().map(line).collect()
    }
}

impl Handler for AdminApi {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let response = self.handle(&request);
        encode_response(
            response.status,
            &[("Content-Type", "text/plain")],
            response.text.as_bytes(),
            request.keep_alive,
        )
    }
}

/// Serves the admin API at this address for as long as the executor runs.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    host: &Rc<ClusterHost>,
    address: SocketAddr,
) -> Result<(), ListenError> {
    let admin_api = Rc::new(AdminApi { host: host.clone() });
    let in_flight = Rc::new(Cell::new(0));
    let serve = http::serve(
        executor.clone(),
        listen(address)?,
        admin_api,
        MAX_BODY_BYTES,
        in_flight,
    );
    executor.spawn(serve).detach();
    Ok(())
}
