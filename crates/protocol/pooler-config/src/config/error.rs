//! The error of configurations that are invalid.

use thiserror::Error;

use crate::json::JsonError;

/// Why a configuration is invalid; the operator gets it in one line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// It can't be parsed: not JSON, broken off, or a field of another type.
    #[error("can't be read: {0}")]
    Unreadable(#[from] JsonError),
    /// A field that every configuration has is missing.
    #[error("{place}: {field} is missing")]
    MissingField {
        /// The route, service or part of the configuration.
        place: String,
        /// The field's name.
        field: &'static str,
    },
    /// A mode that isn't one of the three.
    #[error("{place}: mode {mode:?} is unknown")]
    UnknownMode {
        /// The route.
        place: String,
        /// Its mode.
        mode: String,
    },
    /// A route names a service that the configuration doesn't have.
    #[error("{place}: backend {service:?} is unknown")]
    UnknownService {
        /// The route.
        place: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same authority and the same prefix.
    #[error(
        "{place}: authority {authority:?} with path_prefix {path_prefix:?} already belongs to {other}"
    )]
    DuplicateRoute {
        /// The later route.
        place: String,
        /// The earlier one.
        other: String,
        /// Their authority.
        authority: String,
        /// Their prefix.
        path_prefix: String,
    },
    /// A route without time to respond.
    #[error("{0}: deadline_ms is 0")]
    ZeroDeadline(String),
}
