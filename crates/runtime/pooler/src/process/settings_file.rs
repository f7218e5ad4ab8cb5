//! The settings file: read at the start, and again at SIGHUP and from time to time.

use super::{Parts, ProcessError};
use crate::net;
use async_signal::{Signal, Signals};
use badgerstream_pooler_config::settings::Settings;
use futures_lite::{StreamExt, future};
use std::path::Path;

/// The settings file is read again this often, in seconds, as it may change without a signal.
const RELOAD_INTERVAL_S: f64 = 5.0;

/// Reads the settings file.
///
/// # Errors
///
/// [`ProcessError::ReadSettings`] or [`ProcessError::InvalidSettings`].
pub(super) fn read(path: &Path) -> Result<Settings, ProcessError> {
    let text = std::fs::read_to_string(path).map_err(|error| ProcessError::ReadSettings {
        path: path.to_owned(),
        error,
    })?;
    Settings::parse(&text).map_err(|error| ProcessError::InvalidSettings {
        path: path.to_owned(),
        error,
    })
}

/// Reads the settings file again at each SIGHUP and at each interval, and passes changes on, until
/// SIGTERM or SIGINT; returns the settings that are in force then.
pub(super) async fn follow(
    signals: &mut Signals,
    path: &Path,
    settings: Settings,
    parts: &Parts,
) -> Settings {
    let mut in_force = settings;
    loop {
        let next_signal = future::or(async { signals.next().await }, async {
            net::sleep(RELOAD_INTERVAL_S).await;
            None
        });
        let signal = next_signal.await;
        if let Some(Ok(Signal::Term | Signal::Int)) = signal {
            return in_force;
        }
        match read(path) {
            Ok(settings) if settings != in_force => {
                log::info!("event=settings_reloaded signal={}", signal.is_some());
                parts.reload(&settings);
                in_force = settings;
            }
            Ok(_) => {}
            Err(e) => log::error!("event=settings_rejected error={:?}", e.to_string()),
        }
    }
}
