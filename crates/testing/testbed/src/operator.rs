//! The operator: sends configurations until they are taken or refused, reads them back, and writes down what came of it.

use crate::history::{Attempt, ConfigRead, ConfigRequest, Outcome, Version};
use crate::http_client;
use async_io::Timer;
use badgerstream_control_api::request::BASE_VERSION_HEADER;
use badgerstream_pooler::clock;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// Another control machine is called after so many seconds without an answer.
const SILENCE_S: f64 = 1.0;
/// The first pause between two tries, and the longest one, in seconds.
const PAUSES_S: (f64, f64) = (0.05, 0.5);

/// One operator.
pub struct Operator {
    controls: Vec<SocketAddr>,
    turn: Cell<usize>,
    /// The text of the last refusal.
    refusal: Cell<String>,
}

impl Operator {
    /// Calls these control machines in turn, beginning with the one at this place.
    pub fn new(controls: &[SocketAddr], first: usize) -> Operator {
        Operator {
            controls: controls.to_vec(),
            turn: Cell::new(first),
            refusal: Cell::default(),
        }
    }

    fn next(&self) -> SocketAddr {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        self.controls[turn % self.controls.len()]
    }

    /// Sends an order to one control machine after the other until there is a clear answer, or until that second.
    pub async fn order(&self, base: u64, version: Version, until: f64) -> ConfigRequest {
        let mut order = ConfigRequest {
            base,
            version,
            attempts: Vec::new(),
        };
        let mut pause = PAUSES_S.0;
        loop {
            let one = self.send_once(self.next(), &order).await;
            let ended = one.ended;
            let clear = one.outcome != Outcome::Unknown;
            order.attempts.push(one);
            if clear || ended >= until {
                return order;
            }
            Timer::after(Duration::from_secs_f64(pause)).await;
            pause = (pause * 1.5).min(PAUSES_S.1);
        }
    }

    /// Sends an order once.
    pub async fn send_once(&self, to: SocketAddr, order: &ConfigRequest) -> Attempt {
        let base = order.base.to_string();
        let headers = [(BASE_VERSION_HEADER, base.as_str())];
        let body = order.version.body.as_bytes();
        let began = clock::now();
        let sent = http_client::send_following_redirects(
            to,
            SILENCE_S,
            "POST",
            "/api/Config.Replace",
            &headers,
            body,
        )
        .await;
        let outcome = match sent {
            Ok(answer) if answer.status == 200 => Outcome::Acknowledged,
            Ok(answer) if matches!(answer.status, 400 | 409 | 412 | 413 | 422) => {
                let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                self.refusal
                    .set(format!("{to} answers {}: {text}", answer.status));
                Outcome::Rejected(answer.status)
            }
            Ok(answer) => {
                log::debug!("event=order_unclear at={to} status={}", answer.status);
                Outcome::Unknown
            }
            Err(e) => {
                log::debug!("event=order_unclear at={to} error={e}");
                Outcome::Unknown
            }
        };
        Attempt {
            began,
            ended: clock::now(),
            outcome,
        }
    }

    /// Reads the newest configuration from the next control machine; none if there is no clear answer.
    pub async fn read(&self) -> Option<ConfigRead> {
        self.read_at(self.next()).await
    }

    /// Reads the newest configuration from this control machine.
    pub async fn read_at(&self, at: SocketAddr) -> Option<ConfigRead> {
        let began = clock::now();
        let answer = http_client::send_following_redirects(
            at,
            SILENCE_S,
            "GET",
            "/api/Config.Read",
            &[],
            b"",
        )
        .await
        .ok()?;
        let version = match answer.status {
            404 => None,
            200 => Some(read_version(&answer.body)?),
            _ => return None,
        };
        Some(ConfigRead {
            began,
            ended: clock::now(),
            version,
        })
    }
}

/// The version that this configuration is.
fn read_version(body: &[u8]) -> Option<Version> {
    let epoch = badgerstream_pooler_config::config::Config::read(body)
        .ok()?
        .epoch;
    Some(Version {
        epoch,
        body: String::from_utf8(body.to_vec()).ok()?,
    })
}

/// Sends this configuration, which builds on version `base`, until it is taken. An error tells why it never will. Goes on for
/// as long as nobody answers: whoever calls has a limit.
pub async fn replace(controls: &[SocketAddr], base: u64, body: &str) -> Result<(), String> {
    if controls.is_empty() {
        return Err("there is no control machine".to_owned());
    }
    let operator = Operator::new(controls, 0);
    // The number of what is sent is the receiver's concern.
    let version = Version {
        epoch: 0,
        body: body.to_owned(),
    };
    let order = operator.order(base, version, f64::INFINITY).await;
    match order.attempts.last().map(|last| last.outcome) {
        Some(Outcome::Rejected(_)) => Err(operator.refusal.take()),
        _ => Ok(()),
    }
}
