//! HTTP requests from servers and operators (`control-api`). Each request is either passed to the
//! controller or answered here.

use super::ControlNode;
use crate::{clock, http};
use badgerstream_control::{ControlRequest, ControlResponse, Heartbeat, MemberPhase};
use badgerstream_control_api::dispatch::{Operation, dispatch};
use badgerstream_control_api::members;
use badgerstream_control_api::request::{ApiRequest, ReplaceConfigRequest};
use badgerstream_control_api::response::{self, ApiResponse};
use badgerstream_control_api::status::ReadStatusRequest;
use badgerstream_http_codec::{Request, encode_response};
use badgerstream_pooler_config::config::Config;
use std::rc::Rc;

impl http::Handler for ControlNode {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let keep_alive = request.keep_alive && !self.shutting_down.get();
        let operation = match dispatch(&request) {
            Ok(operation) => operation,
            Err(e) => return encode_response(400, &[], format!("{e}\n").as_bytes(), keep_alive),
        };
        let control_request = match operation {
            Operation::Heartbeat(request) => ControlRequest::Heartbeat {
                server_id: request.server_id,
                heartbeat: heartbeat_of(request.heartbeat),
            },
            Operation::Depart(request) => ControlRequest::Depart {
                server_id: request.server_id,
            },
            Operation::ReplaceConfig(ReplaceConfigRequest { base_epoch, body }) => {
                match Config::parse(body) {
                    Ok(config) => ControlRequest::ReplaceConfig {
                        base_epoch: base_epoch.unwrap_or(0),
                        epoch: config.epoch,
                        body: body.into(),
                    },
                    Err(e) => {
                        log::info!("event=config_rejected error={:?}", e.to_string());
                        self.counts.record_response("replace", 400);
                        return encode_response(400, &[], format!("{e}\n").as_bytes(), keep_alive);
                    }
                }
            }
            Operation::ReadConfig => ControlRequest::ReadConfig,
            Operation::Readiness => return encode_response(200, &[], b"", keep_alive),
            Operation::Unknown if ReadStatusRequest::matches(&request) => {
                let response = ApiResponse::Success(self.status());
                return response::encode_response(&response, &request.path, keep_alive);
            }
            Operation::Unknown => {
                return encode_response(404, &[], b"unknown method or path\n", keep_alive);
            }
        };
        let is_read = matches!(control_request, ControlRequest::ReadConfig);
        let answer = self.submit(control_request).await;
        encode_control_response(&answer, is_read, keep_alive)
    }
}

/// Encodes the controller's response as an HTTP response.
fn encode_control_response(answer: &ControlResponse, is_read: bool, keep_alive: bool) -> Vec<u8> {
    if clock::now() >= answer.valid_until {
        // The response is valid only while this machine is in contact with a majority. The contact
        // may be over, for example because this process was suspended in the meantime.
        let text = b"out of contact with the other control machines\n";
        return encode_response(503, &[], text, keep_alive);
    }
    if is_read && answer.status == 200 && answer.body.is_empty() {
        return encode_response(404, &[], b"there is no configuration yet\n", keep_alive);
    }
    encode_response(answer.status, &[], &answer.body, keep_alive)
}

/// Converts the heartbeat of a server to the type of the controller. A server that reports no
/// capacity counts as having one slot.
fn heartbeat_of(body: members::Heartbeat) -> Heartbeat {
    let phase = match body.phase {
        members::Phase::Ready => MemberPhase::Ready,
        members::Phase::Draining => MemberPhase::Draining,
    };
    Heartbeat {
        service: body.backend,
        endpoint: body.endpoint,
        zone: body.zone,
        slots: body.capacity.max(1),
        phase,
        call_seq: body.call_seq,
    }
}
