//! The operator: sends configurations until they are applied or rejected, reads them back, and
//! returns a record of each attempt. [`crate::history`] checks the records.

use crate::history::{Attempt, ConfigRead, ConfigRequest, Outcome, Version};
use crate::http_client::{self, HttpRequest};
use async_io::Timer;
use badgerstream_control_api::request::BASE_VERSION_HEADER;
use badgerstream_pooler::clock;
use badgerstream_pooler_config::config::Config;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout for one request to a control machine; after it the next machine is called.
const REQUEST_TIMEOUT_S: f64 = 1.0;

/// Delay between the first and the second attempt.
const INITIAL_BACKOFF_S: f64 = 0.05;

/// Maximum delay between two attempts.
const MAX_BACKOFF_S: f64 = 0.5;

/// Factor by which the delay grows after each attempt.
const BACKOFF_FACTOR: f64 = 1.5;

/// The reason why a configuration will never be applied.
#[derive(Debug, Error)]
pub enum ReplaceConfigError {
    /// The list of control machines is empty.
    #[error("can't send the configuration: the list of control machines is empty")]
    NoControlMachine,
    /// A control machine rejected it with a status that a retry doesn't change.
    #[error("{by} rejected the configuration with status {status}: {text}")]
    Rejected {
        /// The control machine that was called.
        by: SocketAddr,
        /// The status of its response.
        status: u16,
        /// The body of its response.
        text: String,
    },
}

/// Sends requests to control machines in turn.
pub struct Operator {
    control_addresses: Vec<SocketAddr>,
    next_control: Cell<usize>,
    last_rejection: RefCell<Option<ReplaceConfigError>>,
}

impl Operator {
    /// Returns an operator that calls these control machines in turn, starting with index `first`.
    pub fn new(control_addresses: &[SocketAddr], first: usize) -> Self {
        Self {
            control_addresses: control_addresses.to_vec(),
            next_control: Cell::new(first),
            last_rejection: RefCell::default(),
        }
    }

    fn next_address(&self) -> SocketAddr {
        let n = self.next_control.get();
        self.next_control.set(n + 1);
        self.control_addresses[n % self.control_addresses.len()]
    }

    /// Sends a configuration with base version `base_epoch` to the control machines in turn until
    /// one acknowledges or rejects it, or until `give_up_at_s`, a second of the process clock.
    pub async fn replace_config(
        &self,
        base_epoch: u64,
        version: Version,
        give_up_at_s: f64,
    ) -> ConfigRequest {
        let mut request = ConfigRequest {
            base_epoch,
            version,
            attempts: Vec::new(),
        };
        let mut backoff_s = INITIAL_BACKOFF_S;
        loop {
            let attempt = self.send_once(self.next_address(), &request).await;
            let ended_at_s = attempt.ended_at_s;
            let clear = attempt.outcome != Outcome::Unknown;
            request.attempts.push(attempt);
            if clear || ended_at_s >= give_up_at_s {
                return request;
            }
            Timer::after(Duration::from_secs_f64(backoff_s)).await;
            backoff_s = (backoff_s * BACKOFF_FACTOR).min(MAX_BACKOFF_S);
        }
    }

    /// Sends a configuration once. Returns the attempt without adding it to the request.
    pub async fn send_once(&self, to: SocketAddr, request: &ConfigRequest) -> Attempt {
        let base = request.base_epoch.to_string();
        let http_request = HttpRequest {
            method: "POST",
            path: "/api/Config.Replace",
            headers: &[(BASE_VERSION_HEADER, base.as_str())],
            body: request.version.body.as_bytes(),
        };
        let sent_at_s = clock::now();
        let response =
            http_client::send_following_redirects(to, REQUEST_TIMEOUT_S, &http_request).await;
        let outcome = match response {
            Ok(response) if response.status == 200 => Outcome::Acknowledged,
            Ok(response) if matches!(response.status, 400 | 409 | 412 | 413 | 422) => {
                self.last_rejection
                    .replace(Some(ReplaceConfigError::Rejected {
                        by: to,
                        status: response.status,
                        text: String::from_utf8_lossy(&response.body).trim().to_owned(),
                    }));
                Outcome::Rejected(response.status)
            }
            Ok(response) => {
                log::debug!(
                    "event=config_outcome_unknown at={to} status={}",
                    response.status
                );
                Outcome::Unknown
            }
            Err(e) => {
                log::debug!("event=config_outcome_unknown at={to} error={e}");
                Outcome::Unknown
            }
        };
        Attempt {
            sent_at_s,
            ended_at_s: clock::now(),
            outcome,
        }
    }

    /// Reads the newest configuration from the next control machine. Returns `None` on an error, on
    /// a status other than 200 and 404, and if the body is invalid.
    pub async fn read_config(&self) -> Option<ConfigRead> {
        self.read_config_from(self.next_address()).await
    }

    async fn read_config_from(&self, address: SocketAddr) -> Option<ConfigRead> {
        let sent_at_s = clock::now();
        let request = HttpRequest::get("/api/Config.Read");
        let response =
            http_client::send_following_redirects(address, REQUEST_TIMEOUT_S, &request).await;
        let response = response.ok()?;
        let version = match response.status {
            404 => None,
            200 => Some(parse_version(&response.body)?),
            _ => return None,
        };
        Some(ConfigRead {
            sent_at_s,
            ended_at_s: clock::now(),
            version,
        })
    }
}

fn parse_version(body: &[u8]) -> Option<Version> {
    let epoch = Config::parse(body).ok()?.epoch;
    Some(Version {
        epoch,
        body: String::from_utf8(body.to_vec()).ok()?,
    })
}

/// Sends a configuration with base version `base_epoch` until it is applied or rejected. There is
/// no timeout: the caller must set one.
pub async fn replace_config_until_applied(
    control_addresses: &[SocketAddr],
    base_epoch: u64,
    body: &str,
) -> Result<(), ReplaceConfigError> {
    if control_addresses.is_empty() {
        return Err(ReplaceConfigError::NoControlMachine);
    }
    let operator = Operator::new(control_addresses, 0);
    // Control machines read the epoch from the body; this field is only used by the history check.
    let version = Version {
        epoch: 0,
        body: body.to_owned(),
    };
    operator
        .replace_config(base_epoch, version, f64::INFINITY)
        .await;
    operator.last_rejection.take().map_or(Ok(()), Err)
}
