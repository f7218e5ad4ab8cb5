//! The error for invalid configurations.

use thiserror::Error;

use crate::json::JsonError;

/// Why a configuration is invalid. The text is one line and is sent to the operator.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The text can't be parsed: it is not JSON, ends too early, or a field has the wrong type.
    #[error("can't be read: {0}")]
    Unreadable(#[from] JsonError),
    /// A required field is missing.
    #[error("{place}: {field} is missing")]
    MissingField {
        /// The route, service or part of the configuration that lacks the field.
        place: String,
        /// The name of the field.
        field: &'static str,
    },
    /// The mode of a route is not one of the three modes.
    #[error("{place}: mode {mode:?} is unknown")]
    UnknownMode {
        /// The route.
        place: String,
        /// The unknown mode.
        mode: String,
    },
    /// A route refers to a service that the configuration doesn't define.
    #[error("{place}: backend {service:?} is unknown")]
    UnknownService {
        /// The route.
        place: String,
        /// The name of the service.
        service: String,
    },
    /// Two routes have the same authority and the same prefix.
    #[error(
        "{place}: authority {authority:?} with path_prefix {path_prefix:?} already belongs to {other}"
    )]
    DuplicateRoute {
        /// The later route.
        place: String,
        /// The earlier route.
        other: String,
        /// The authority of both routes.
        authority: String,
        /// The prefix of both routes.
        path_prefix: String,
    },
    /// The deadline of this route is 0, which leaves no time for a response.
    #[error("{0}: deadline_ms is 0, but must be at least 1")]
    ZeroDeadline(String),
}
