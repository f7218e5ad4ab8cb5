//! Calls to the platform, which promote servers. `docs/design/calls.md` explains why this module
//! doesn't retry them.

use super::ControlNode;
use super::config::PLATFORM_CALL_TIMEOUT_S;
use crate::exchange::{self, AuthorityError, ExchangeError};
use crate::{clock, net};
use async_io::Async;
use badgerstream_control::PromotionOutcome;
use badgerstream_control_api::promotion;
use badgerstream_http_codec::ResponseDecoder;
use badgerstream_line_protocol::ExecutionOutcome;
use futures_lite::{AsyncReadExt, io};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Maximum size of a response of the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;

/// A call that promotes a server to the primary of its service.
pub(super) struct Promotion {
    pub service: String,
    pub server_id: String,
    /// The fencing token of the leader that decided on the promotion.
    pub fencing_token: u64,
    /// Deadline for sending the call, in seconds of the monotonic clock.
    pub deadline: f64,
}

impl ControlNode {
    /// Calls the platform and reports the outcome to the controller. The outcome is ignored if this
    /// machine has lost its leadership by then.
    pub(super) fn promote(self: &Rc<Self>, promotion: Promotion) {
        let Some(platform) = self.settings.provider.as_ref().map(|p| p.endpoint) else {
            log::error!(
                "event=platform_not_configured service={}",
                promotion.service
            );
            return;
        };
        let node = self.clone();
        let call = async move {
            log::info!(
                "event=promotion_requested service={} server={} fencing_token={}",
                promotion.service,
                promotion.server_id,
                promotion.fencing_token
            );
            let result = node.call_platform(platform, &promotion).await;
            log_result(&promotion, &result);
            let mut controller = node.controller.borrow_mut();
            if controller.leads_with(promotion.fencing_token) {
                let Promotion {
                    service, server_id, ..
                } = &promotion;
                let outcome = outcome_of(&result);
                controller.promotion_completed(clock::now(), service, server_id, outcome);
            }
        };
        self.tasks.spawn(call).detach();
    }

    /// Calls the platform and returns the HTTP status of its response. If there is no response, the
    /// connection is reset, so that a network partition can't delay the call and deliver it later.
    async fn call_platform(
        &self,
        platform: SocketAddr,
        promotion: &Promotion,
    ) -> Result<u16, ExchangeError> {
        exchange::run(PLATFORM_CALL_TIMEOUT_S, async |progress| {
            let mut stream = Async::<TcpStream>::connect(platform).await?;
            net::try_set_options(&stream, PLATFORM_CALL_TIMEOUT_S);
            net::set_reset_on_close(&stream, true);
            let request = promotion::encode_promotion_request(
                &promotion.service,
                &promotion.server_id,
                &self.settings.node_name,
                promotion.fencing_token,
                &platform.to_string(),
            );
            // If this process has been suspended since the decision, another machine may be the
            // leader now, so the call must not be sent.
            let now = clock::now();
            let may_act = self
                .controller
                .borrow()
                .may_act_with(now, promotion.fencing_token);
            if now >= promotion.deadline || !may_act {
                return Err(AuthorityError::NotLeader.into());
            }
            progress.send(&stream, &request).await?;
            let status = read_status_code(&mut stream).await?;
            net::set_reset_on_close(&stream, false);
            Ok(status)
        })
        .await
    }
}

/// Returns what the result of the call proves about the promotion.
fn outcome_of(result: &Result<u16, ExchangeError>) -> PromotionOutcome {
    match result {
        Ok(status) => PromotionOutcome::from_status(*status),
        Err(error) if error.execution_outcome == ExecutionOutcome::NotRun => {
            PromotionOutcome::NotSent
        }
        Err(_) => PromotionOutcome::Unknown,
    }
}

fn log_result(promotion: &Promotion, result: &Result<u16, ExchangeError>) {
    let Promotion {
        service, server_id, ..
    } = promotion;
    match result {
        Ok(status) => log::info!(
            "event=promotion_answered service={service} server={server_id} status={status}"
        ),
        Err(ExchangeError {
            execution_outcome,
            error,
        }) => log::info!(
            "event=promotion_unanswered service={service} server={server_id} execution_outcome={execution_outcome:?} \
             error={error}"
        ),
    }
}

async fn read_status_code(stream: &mut Async<TcpStream>) -> io::Result<u16> {
    let mut responses = ResponseDecoder::new(MAX_RESPONSE_BYTES);
    let mut bytes = [0; READ_BUFFER_BYTES];
    loop {
        let response = responses
            .next_response()
            .map_err(|e| io::Error::other(e.to_string()))?;
        if let Some(response) = response {
            return Ok(response.status);
        }
        match stream.read(&mut bytes).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => responses.feed(&bytes[..count]),
        }
    }
}
