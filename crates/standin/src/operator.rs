//! The operator: sends a configuration until it is taken.

use crate::call;
use async_io::Timer;
use badgerstream_calls::call::BASE_VERSION;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends this configuration, which builds on version `base`, to one control machine after the other until one
/// acknowledges it. An error tells why it never will. Goes on for as long as nobody answers: whoever calls has a limit.
pub async fn replace(controls: &[SocketAddr], base: u64, body: &str) -> Result<(), String> {
    let base = base.to_string();
    let mut pause = 0.05_f64;
    for control in controls.iter().cycle() {
        let headers = [(BASE_VERSION, base.as_str())];
        let sent =
            call::follow(*control, 1.0, "POST", "/api/Config.Replace", &headers, body.as_bytes()).await;
        match sent {
            Ok(answer) if answer.status == 200 => return Ok(()),
            Ok(answer) if matches!(answer.status, 400 | 409 | 412 | 413 | 422) => {
                let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                return Err(format!("{control} answers {}: {text}", answer.status));
            }
            Ok(answer) => log::debug!("event=config_not_taken by={control} status={}", answer.status),
            Err(e) => log::debug!("event=config_not_taken by={control} error={e}"),
        }
        Timer::after(Duration::from_secs_f64(pause)).await;
        pause = (pause * 1.5).min(0.5);
    }
    Err("there is no control machine".to_owned())
}
