//! The settings file. It is read at the start, at each SIGHUP and periodically.

use super::{ProcessError, Roles};
use crate::net;
use async_signal::{Signal, Signals};
use badgerstream_pooler_config::settings::Settings;
use futures_lite::{StreamExt, future};
use std::path::Path;

/// Interval at which the settings file is read again, in seconds. It may change without a signal.
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

/// Reads the settings file again at each SIGHUP and after each [`RELOAD_INTERVAL_S`], and passes
/// changed settings to the roles. Returns the settings in force once SIGTERM or SIGINT arrives.
pub(super) async fn follow(
    signals: &mut Signals,
    path: &Path,
    settings: Settings,
    roles: &Roles,
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
                roles.reload(&settings);
                in_force = settings;
            }
            Ok(_) => {}
            Err(e) => log::error!("event=settings_rejected error={:?}", e.to_string()),
        }
    }
}
