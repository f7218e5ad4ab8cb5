//! HTTP calls of servers and operators.

use super::*;

impl http::Handler for Control {
    async fn answer(self: Rc<Self>, request: Request) -> Vec<u8> {
        let keep = request.keep_alive && !self.ending.get();
        let operation = match call::dispatch(&request) {
            Ok(operation) => operation,
            Err(e) => return response(400, &[], format!("{e}\n").as_bytes(), keep),
        };
        let call = match operation {
            Operation::Heartbeat { id, beat } => ControlRequest::Heartbeat {
                server_id: id,
                heartbeat: read_beat(beat),
            },
            Operation::Depart { id } => ControlRequest::Depart { server_id: id },
            Operation::Replace { base, body } => match Config::read(body) {
                Ok(config) => ControlRequest::ReplaceConfig {
                    base_epoch: base.unwrap_or(0),
                    epoch: config.epoch,
                    body: body.into(),
                },
                Err(e) => {
                    log::info!("event=config_refused error={:?}", e.to_string());
                    self.counts.responded("replace", 400);
                    return response(400, &[], format!("{e}\n").as_bytes(), keep);
                }
            },
            Operation::Read => ControlRequest::ReadConfig,
            Operation::Readiness => return response(200, &[], b"", keep),
            Operation::Other if ReadStatus::asked(&request) => {
                return call::reply(&Reply::Done(self.status()), &request.path, keep);
            }
            Operation::Other => return response(404, &[], b"there is no such call\n", keep),
        };
        let is_read = matches!(call, ControlRequest::ReadConfig);
        let answer = self.settle(call).await;
        if clock::now() >= answer.valid_until {
            // It rested on contact with a majority, which may be over: a process may have stood still since.
            return response(
                503,
                &[],
                b"out of contact with the other control machines\n",
                keep,
            );
        }
        if is_read && answer.status == 200 && answer.body.is_empty() {
            return response(404, &[], b"there is no configuration yet\n", keep);
        }
        response(answer.status, &[], &answer.body, keep)
    }
}

fn read_beat(beat: beats::Heartbeat) -> Heartbeat {
    let phase = match beat.phase {
        beats::Phase::Ready => MemberPhase::Ready,
        beats::Phase::Draining => MemberPhase::Draining,
    };
    Heartbeat {
        service: beat.backend,
        endpoint: beat.endpoint,
        zone: beat.zone,
        slots: beat.capacity.max(1),
        phase,
        call_seq: beat.call_seq,
    }
}
