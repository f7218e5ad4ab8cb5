//! The beats of one server, from its start to its end.

use crate::cluster_host::ClusterHost;
use crate::http_client;
use async_io::Timer;
use badgerstream_control_api::members::{
    DEPART_PATH, HEARTBEAT_PATH, HeartbeatResponse, MAX_HEARTBEAT_RESPONSE_BYTES, Phase,
};
use badgerstream_pooler::clock;
use futures_lite::future;
use nanoserde::{DeJson, SerJson};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An acknowledgement comes within so many seconds.
const ACKNOWLEDGED: f64 = 1.0;

/// A draining server whose end nobody acknowledges ends after so many seconds.
const UNHEARD: f64 = 5.0;

/// Sends beats until the server ends; one that drains ends by itself.
pub async fn run(cluster_host: Rc<ClusterHost>, id: String) {
    let mut turn = id.bytes().map(usize::from).sum::<usize>();
    let mut told_elsewhere: Option<SocketAddr> = None;
    let mut draining: Option<f64> = None;
    let mut acknowledged: Option<f64> = None;
    loop {
        let generation = cluster_host.changed.generation();
        let Some(beat) = cluster_host.cluster.borrow_mut().beat(&id) else {
            return;
        };
        let tells = cluster_host.cluster.borrow().tells(&id);
        let body = beat.serialize_json();
        let path = format!("{HEARTBEAT_PATH}{id}");
        let to = told_elsewhere.or_else(|| {
            cluster_host
                .seeds
                .get(turn % cluster_host.seeds.len().max(1))
                .copied()
        });
        let Some(to) = to else { return };
        let answer = http_client::send_following_redirects(
            to,
            ACKNOWLEDGED,
            "POST",
            &path,
            &[],
            body.as_bytes(),
        )
        .await;
        let mut pause = cluster_host.heartbeat;
        let took = answer.ok().filter(|a| {
            (200..300).contains(&a.status) && a.body.len() <= MAX_HEARTBEAT_RESPONSE_BYTES
        });
        let now = clock::now();
        if beat.phase == Phase::Draining {
            draining.get_or_insert(now);
        }
        match took {
            Some(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let other = HeartbeatResponse::deserialize_json(&text)
                    .ok()
                    .and_then(|a| a.beat_endpoint);
                told_elsewhere = other.and_then(|at| at.parse().ok()).or(told_elsewhere);
                if beat.phase == Phase::Draining {
                    acknowledged.get_or_insert(now);
                }
            }
            None => {
                turn += 1;
                told_elsewhere = None;
                log::debug!("event=beat_failed id={id} to={to}");
                pause = 0.02;
            }
        }
        let ends = match (acknowledged, draining) {
            (Some(at), _) => at + cluster_host.drain + 0.5,
            (None, Some(at)) => at + UNHEARD,
            (None, None) => f64::INFINITY,
        };
        let until = ends.min(now + pause);
        changed(&cluster_host, &id, tells, generation, until).await;
        if clock::now() >= ends {
            let _ = http_client::send_following_redirects(
                to,
                ACKNOWLEDGED,
                "POST",
                &format!("{DEPART_PATH}{id}"),
                &[],
                b"",
            )
            .await;
            // What ends this task is the end of the server: nothing may follow it.
            let (cluster_host, id) = (cluster_host.clone(), id.clone());
            return cluster_host.crash(&id);
        }
    }
}

/// Waits until this second, or until the server has something new to tell.
async fn changed(
    cluster_host: &ClusterHost,
    id: &str,
    told: (bool, bool),
    mut generation: u64,
    until: f64,
) {
    let left = (until - clock::now()).max(0.0);
    let late = async {
        Timer::after(Duration::from_secs_f64(left)).await;
    };
    let news = async {
        while cluster_host.cluster.borrow().tells(id) == told {
            cluster_host.changed.notified_since(generation).await;
            generation = cluster_host.changed.generation();
        }
    };
    future::or(late, news).await;
}
