//! The platform, which promotes servers at the request of a control machine.

use crate::digest::EntryKind;
use crate::event::{ControlEvent, PlatformEvent, PromotionCall, ServerEvent};
use crate::kernel::Kernel;
use crate::service::{Server, Service};
use badgerstream_control::PromotionOutcome;
use std::collections::VecDeque;

/// The timeout of a request whose answer is lost, in seconds. Its outcome is then unknown.
const REQUEST_TIMEOUT_S: f64 = 1.0;

/// Maximum time after which a slow platform runs a request that it has read, in seconds: the
/// timeout of the request and the time for which a request that was given up may still run.
const MAX_LATE_RUN_S: f64 = 1.95;

/// A request to promote a server, as the platform received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionRequest {
    /// The server.
    pub server_id: String,
    /// The fencing token of the leader that sent it.
    pub fencing_token: u64,
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    /// All requests, in the order of their arrival.
    pub promotion_requests: Vec<PromotionRequest>,
    /// The probability that a request is handled but its answer is lost, in thousandths.
    pub answers_lost_per_mille: u64,
    /// The probability that a request is run late, in thousandths.
    pub late_runs_per_mille: u64,
    /// The times after which the next requests are run, in seconds.
    pub scripted_late_runs_s: VecDeque<f64>,
    /// The HTTP statuses of the next answers. A request whose scripted status is not 200 has no
    /// effect.
    pub scripted_statuses: VecDeque<u16>,
    /// Whether a request with a lower fencing token than an earlier one is rejected.
    pub checks_fencing_tokens: bool,
    /// The time from a request's arrival until the promotion takes effect, in seconds.
    pub promotion_duration_s: f64,
    highest_fencing_token: u64,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform {
            promotion_requests: Vec::new(),
            answers_lost_per_mille: 0,
            late_runs_per_mille: 0,
            scripted_late_runs_s: VecDeque::new(),
            scripted_statuses: VecDeque::new(),
            checks_fencing_tokens: false,
            promotion_duration_s: 0.6,
            highest_fencing_token: 0,
        }
    }
}

impl Platform {
    /// Handles a request to promote a server that has arrived.
    pub(crate) fn promotion_request_arrived(
        &mut self,
        kernel: &mut Kernel,
        service: &Service,
        call: PromotionCall,
    ) {
        self.record_request(kernel, &call);
        match self.late_run_s(kernel) {
            Some(late_s) => Platform::run_late(kernel, call, late_s),
            None => self.promotion_request_runs(kernel, service, call),
        }
    }

    /// Returns by how much later the next request is run, in seconds; `None` if it is run at once.
    fn late_run_s(&mut self, kernel: &mut Kernel) -> Option<f64> {
        if let Some(scripted) = self.scripted_late_runs_s.pop_front() {
            return Some(scripted);
        }
        let is_late =
            self.late_runs_per_mille > 0 && kernel.random.per_mille(self.late_runs_per_mille);
        is_late.then(|| 0.001 * MAX_LATE_RUN_S * kernel.random.below(1000) as f64)
    }

    /// Runs a request later. The caller gives it up after its timeout.
    fn run_late(kernel: &mut Kernel, call: PromotionCall, late_s: f64) {
        kernel.trace(|| format!("platform: runs the request {late_s:.3} s late"));
        if late_s >= REQUEST_TIMEOUT_S {
            let given_up = ControlEvent::PromotionCompleted {
                process: call.process,
                server_id: call.server_id.clone(),
                outcome: PromotionOutcome::Unknown,
            };
            kernel.schedule(REQUEST_TIMEOUT_S, given_up);
        }
        let is_answered = late_s < REQUEST_TIMEOUT_S;
        let call = PromotionCall {
            is_answered,
            ..call
        };
        kernel.schedule(late_s, PlatformEvent::PromotionRequestRuns(call));
    }

    /// Runs a request to promote a server, and answers it.
    pub(crate) fn promotion_request_runs(
        &mut self,
        kernel: &mut Kernel,
        service: &Service,
        call: PromotionCall,
    ) {
        let delay = kernel.message_delay();
        let status = self.status(service, &call);
        if status == 200 {
            self.highest_fencing_token = self.highest_fencing_token.max(call.fencing_token);
            let takes_effect = ServerEvent::PromotionTakesEffect(call.server_id.clone());
            kernel.schedule(self.promotion_duration_s, takes_effect);
        }
        let is_lost = kernel.random.per_mille(self.answers_lost_per_mille);
        let completed = |outcome| ControlEvent::PromotionCompleted {
            process: call.process,
            server_id: call.server_id.clone(),
            outcome,
        };
        if !call.is_answered {
            return;
        }
        if is_lost {
            kernel.schedule(REQUEST_TIMEOUT_S, completed(PromotionOutcome::Unknown));
        } else {
            let outcome = PromotionOutcome::from_status(status);
            kernel.schedule(delay, completed(outcome));
        }
    }

    fn record_request(&mut self, kernel: &mut Kernel, call: &PromotionCall) {
        let (node, id, token) = (call.process.node, &call.server_id, call.fencing_token);
        kernel.trace(|| {
            format!("platform: control {node} requests promotion of {id}, fencing token {token}")
        });
        kernel.record(EntryKind::PromotionRequested, &[u64::from(node), token]);
        kernel.digest.bytes(id.as_bytes());
        self.promotion_requests.push(PromotionRequest {
            server_id: id.clone(),
            fencing_token: token,
        });
    }

    /// Returns the HTTP status of the answer.
    fn status(&mut self, service: &Service, call: &PromotionCall) -> u16 {
        if let Some(scripted) = self.scripted_statuses.pop_front() {
            return scripted;
        }
        let is_fenced_off =
            self.checks_fencing_tokens && call.fencing_token < self.highest_fencing_token;
        let server = service.servers.get(&call.server_id);
        if is_fenced_off || !server.is_some_and(Server::is_up) {
            409
        } else {
            200
        }
    }
}
