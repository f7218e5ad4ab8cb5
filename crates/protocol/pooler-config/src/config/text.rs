//! Parses the JSON of a configuration and fills in the defaults.
//!
//! All fields are optional in the types that are parsed, so that a missing field is reported by a
//! [`ConfigError`] with its place in the configuration instead of by the JSON parser.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use nanoserde::DeJson;

use super::{ConfigError, Limits, Mode, Route, Service, route_place};
use crate::json;

// The defaults that the user documentation gives.
const DEFAULT_PATH_PREFIX: &str = "/";
const DEFAULT_RANK: u32 = 1;
const DEFAULT_TRIES: u32 = 1;
const DEFAULT_PROBE: &str = "/health";
const DEFAULT_MAX_CONNS: u32 = 16;

/// Defines the type of a JSON object whose fields are all optional, with the names of the fields in
/// `FIELDS`.
macro_rules! optional_fields {
    ($object:ident { $($field:ident: $value:ident,)* }) => {
        #[derive(DeJson)]
        struct $object {
            $($field: Option<$value>,)*
        }

        impl $object {
            const FIELDS: &'static [&'static str] = &[$(stringify!($field)),*];
        }
    };
}

/// The JSON object of the complete configuration.
#[derive(DeJson)]
struct ConfigJson {
    epoch: Option<u64>,
    routes: Option<Vec<RouteJson>>,
    backends: Option<Vec<ServiceJson>>,
    limits: Option<LimitsJson>,
}

optional_fields!(RouteJson {
    name: String,
    authority: String,
    path_prefix: String,
    mode: String,
    deadline_ms: u64,
    target_ms: u64,
    rank: u32,
    backend: String,
    tries: u32,
    staleness_ms: u64,
});

optional_fields!(ServiceJson {
    name: String,
    probe: String,
    max_conns: u32,
    protocol: String,
    tls: bool,
    sync_replicas: u32,
});

optional_fields!(LimitsJson {
    header_bytes: u64,
    body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
    txn_idle_ms: u64,
});

/// A configuration whose required fields are present, before its references are checked.
pub(super) struct ParsedConfig {
    pub(super) epoch: u64,
    pub(super) routes: Vec<Route>,
    pub(super) services: Vec<Service>,
    pub(super) limits: Limits,
}

/// Parses the text of a configuration and fills in the defaults.
pub(super) fn parse(body: &[u8]) -> Result<ParsedConfig, ConfigError> {
    let json: ConfigJson = json::parse(body)?;
    let missing = |field| ConfigError::MissingField {
        place: "configuration".to_owned(),
        field,
    };
    let epoch = json.epoch.ok_or_else(|| missing("epoch"))?;
    let routes = json.routes.ok_or_else(|| missing("routes"))?;
    let backends = json.backends.ok_or_else(|| missing("backends"))?;
    let services = backends
        .into_iter()
        .enumerate()
        .map(|(index, json)| json.into_service(index))
        .collect::<Result<_, _>>()?;
    let routes = routes
        .into_iter()
        .enumerate()
        .map(|(index, json)| json.into_route(index))
        .collect::<Result<_, _>>()?;
    Ok(ParsedConfig {
        epoch,
        routes,
        services,
        limits: json.limits.map(LimitsJson::into_limits).unwrap_or_default(),
    })
}

/// Returns whether this path, as returned by [`json::key_paths`], is that of a field that has an
/// effect.
fn has_effect(path: &str) -> bool {
    if let Some(field) = path.strip_prefix("routes[].") {
        RouteJson::FIELDS.contains(&field)
    } else if let Some(field) = path.strip_prefix("backends[].") {
        ServiceJson::FIELDS.contains(&field)
    } else if let Some(field) = path.strip_prefix("limits.") {
        LimitsJson::FIELDS.contains(&field)
    } else {
        matches!(path, "epoch" | "routes" | "backends" | "limits")
    }
}

/// Returns the paths of the fields that are stored as they were sent but have no effect: fields of
/// features that are not in force, such as `routes[].split`, and mistyped fields. Fields inside
/// such a field are not listed.
///
/// # Errors
///
/// [`ConfigError::Unreadable`] if the body is not valid JSON.
pub fn fields_without_effect(body: &[u8]) -> Result<Vec<String>, ConfigError> {
    let mut without_effect: Vec<String> = Vec::new();
    for path in json::key_paths(body)? {
        let is_inside = |outer: &String| {
            path.strip_prefix(outer.as_str())
                .is_some_and(|rest| rest.starts_with(['.', '[']))
        };
        if !has_effect(&path) && !without_effect.iter().any(is_inside) {
            without_effect.push(path);
        }
    }
    Ok(without_effect)
}

impl RouteJson {
    fn into_route(self, index: usize) -> Result<Route, ConfigError> {
        let place = route_place(index, self.name.as_deref().unwrap_or("no name"));
        let missing = |field| ConfigError::MissingField {
            place: place.clone(),
            field,
        };
        let mode = self.mode.ok_or_else(|| missing("mode"))?;
        let Some(mode) = Mode::parse(&mode) else {
            return Err(ConfigError::UnknownMode { place, mode });
        };
        let deadline_ms = self.deadline_ms.ok_or_else(|| missing("deadline_ms"))?;
        if deadline_ms == 0 {
            return Err(ConfigError::ZeroDeadline(place));
        }
        Ok(Route {
            authority: self.authority.ok_or_else(|| missing("authority"))?,
            service: self.backend.ok_or_else(|| missing("backend"))?,
            name: self.name.ok_or_else(|| missing("name"))?,
            path_prefix: self
                .path_prefix
                .unwrap_or_else(|| DEFAULT_PATH_PREFIX.to_owned()),
            mode,
            deadline_ms,
            target_ms: self.target_ms.unwrap_or(deadline_ms),
            rank: self.rank.unwrap_or(DEFAULT_RANK),
            tries: self.tries.unwrap_or(DEFAULT_TRIES),
            staleness_ms: self.staleness_ms,
        })
    }
}

impl ServiceJson {
    fn into_service(self, index: usize) -> Result<Service, ConfigError> {
        Ok(Service {
            name: self.name.ok_or_else(|| ConfigError::MissingField {
                place: format!("backends[{index}]"),
                field: "name",
            })?,
            probe: self.probe.unwrap_or_else(|| DEFAULT_PROBE.to_owned()),
            max_conns: self.max_conns.unwrap_or(DEFAULT_MAX_CONNS),
            protocol: self.protocol.unwrap_or_default(),
            tls: self.tls.unwrap_or(false),
            sync_replicas: self.sync_replicas.unwrap_or(0),
        })
    }
}

impl LimitsJson {
    fn into_limits(self) -> Limits {
        let default = Limits::default();
        Limits {
            header_bytes: self.header_bytes.unwrap_or(default.header_bytes),
            body_bytes: self.body_bytes.unwrap_or(default.body_bytes),
            header_timeout_ms: self.header_timeout_ms.unwrap_or(default.header_timeout_ms),
            idle_timeout_ms: self.idle_timeout_ms.unwrap_or(default.idle_timeout_ms),
            txn_idle_ms: self.txn_idle_ms.unwrap_or(default.txn_idle_ms),
        }
    }
}
