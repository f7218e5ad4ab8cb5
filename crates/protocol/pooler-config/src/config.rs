//! The operator's configuration: which databases there are, which service holds each, and within what
//! bounds.
//!
//! A configuration is refused on the grounds that the users' pages list and on no other: it can't be read
//! whole, a route names a service that isn't there, two routes share their place, a `deadline_ms` is 0 or
//! missing, a mode is unknown. Whether its `epoch` is above the current one is known to who keeps them.

#![allow(clippy::question_mark, reason = "code that nanoserde derives")]

use crate::json::{self, JsonError};
use nanoserde::DeJson;
use quick_error::quick_error;
use std::collections::{BTreeMap, HashMap, HashSet};

quick_error! {
    /// Why a configuration is invalid, told to the operator in one line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// It can't be read: not JSON, broken off, or a field of another kind.
        Unreadable(at: JsonError) {
            display("can't be read: {}", at)
            from()
        }
        /// A field that every configuration has is missing.
        Missing(place: String, field: &'static str) {
            display("{}: {} is missing", place, field)
        }
        /// A mode that isn't one of the three.
        UnknownMode(place: String, mode: String) {
            display("{}: mode {:?} is unknown", place, mode)
        }
        /// A route names a service that the configuration doesn't have.
        UnknownService(place: String, service: String) {
            display("{}: backend {:?} is unknown", place, service)
        }
        /// Two routes have the same authority and the same prefix.
        SamePlace(place: String, other: String, authority: String, prefix: String) {
            display("{}: authority {:?} with path_prefix {:?} already belongs to {}", place, authority, prefix, other)
        }
        /// A route without time to answer.
        NoDeadline(place: String) {
            display("{}: deadline_ms is 0", place)
        }
    }
}

/// How fresh a route's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// They see every commit acknowledged before.
    Leader,
    /// They see every commit acknowledged more than `staleness_ms` before.
    BoundedStaleness,
    /// Like [`Mode::BoundedStaleness`], and besides every commit of their own session.
    InHouse,
}

impl Mode {
    /// The word in the configuration.
    pub fn word(self) -> &'static str {
        match self {
            Mode::Leader => "leader",
            Mode::BoundedStaleness => "bounded_staleness",
            Mode::InHouse => "in_house",
        }
    }

    fn read(word: &str) -> Option<Mode> {
        [Mode::Leader, Mode::BoundedStaleness, Mode::InHouse]
            .into_iter()
            .find(|mode| mode.word() == word)
    }
}

/// A database that clients can connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The database's name in `CONNECT`.
    pub authority: String,
    /// Of no meaning to databases; `/` if it isn't told.
    pub path_prefix: String,
    /// How fresh reads must be.
    pub mode: Mode,
    /// The most a statement may take, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// What an operation aims at, in milliseconds; the deadline if it isn't told.
    pub target_ms: u64,
    /// 0 goes first; 1 if it isn't told.
    pub rank: u32,
    /// The name of the service that holds the database; one that the configuration has.
    pub service: String,
    /// How often an operation may be tried in all; 1 if it isn't told.
    pub tries: u32,
    /// How old a read may be in the modes with a bound, in milliseconds. Where those lack it nothing may be
    /// old.
    pub staleness_ms: Option<u64>,
}

/// Database servers that hold the same databases: a primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which servers tell as `backend`.
    pub name: String,
    /// The path of its servers' health check; `/health` if it isn't told.
    pub probe: String,
    /// How many connections from all callers together a server of it takes; 16 if it isn't told.
    pub max_conns: u32,
    /// What its servers speak, as the operator calls it.
    pub protocol: String,
    /// Whether its servers want TLS; false if it isn't told.
    pub tls: bool,
    /// How many replicas receive a commit before it is acknowledged; 0 if it isn't told.
    pub sync_replicas: u32,
}

/// Bounds for every connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of a message's head; 16384 if it isn't told.
    pub header_bytes: u64,
    /// The most bytes of a message's body; 262144 if it isn't told.
    pub body_bytes: u64,
    /// How long a message's head may take, in milliseconds; 3000 if it isn't told.
    pub header_timeout_ms: u64,
    /// How long a connection may rest, in milliseconds; 15000 if it isn't told.
    pub idle_timeout_ms: u64,
    /// How long a transaction may rest before it may be ended, in milliseconds; 3000 if it isn't told.
    pub txn_idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16384,
            body_bytes: 262_144,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
            txn_idle_ms: 3000,
        }
    }
}

/// A configuration that was found valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Its version.
    pub epoch: u64,
    /// The databases, in the operator's order.
    pub routes: Vec<Route>,
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// Bounds for every connection of a client.
    pub limits: Limits,
    /// Where in `routes` an authority stands.
    by_authority: HashMap<String, usize>,
}

// What nanoserde fills in. Nothing is required of it: which field is missing where is told better by name.
#[derive(DeJson)]
struct ConfigText {
    epoch: Option<u64>,
    routes: Option<Vec<RouteText>>,
    backends: Option<Vec<ServiceText>>,
    limits: Option<LimitsText>,
}

#[derive(DeJson)]
struct RouteText {
    name: Option<String>,
    authority: Option<String>,
    path_prefix: Option<String>,
    mode: Option<String>,
    deadline_ms: Option<u64>,
    target_ms: Option<u64>,
    rank: Option<u32>,
    backend: Option<String>,
    tries: Option<u32>,
    staleness_ms: Option<u64>,
}

#[derive(DeJson)]
struct ServiceText {
    name: Option<String>,
    probe: Option<String>,
    max_conns: Option<u32>,
    protocol: Option<String>,
    tls: Option<bool>,
    sync_replicas: Option<u32>,
}

#[derive(DeJson)]
struct LimitsText {
    header_bytes: Option<u64>,
    body_bytes: Option<u64>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
    txn_idle_ms: Option<u64>,
}

/// The fields that mean something here, by where they stand.
const KNOWN_PLACES: [&str; 25] = [
    "epoch",
    "routes",
    "routes[].name",
    "routes[].authority",
    "routes[].path_prefix",
    "routes[].mode",
    "routes[].deadline_ms",
    "routes[].target_ms",
    "routes[].rank",
    "routes[].backend",
    "routes[].tries",
    "routes[].staleness_ms",
    "backends",
    "backends[].name",
    "backends[].probe",
    "backends[].max_conns",
    "backends[].protocol",
    "backends[].tls",
    "backends[].sync_replicas",
    "limits",
    "limits.header_bytes",
    "limits.body_bytes",
    "limits.header_timeout_ms",
    "limits.idle_timeout_ms",
    "limits.txn_idle_ms",
];

/// Fields that are kept as they were sent and have no effect here, by where they stand: those of contracts that are not in force,
/// as `routes[].split` is, and those that were mistyped. Of what stands inside such a field nothing is told.
pub fn without_effect(body: &[u8]) -> Result<Vec<String>, ConfigError> {
    let places = json::places(body)?;
    let known = |place: &str| KNOWN_PLACES.contains(&place);
    let mut found: Vec<String> = Vec::new();
    for place in places {
        let inside = |outer: &String| {
            place
                .strip_prefix(outer.as_str())
                .is_some_and(|rest| rest.starts_with(['.', '[']))
        };
        if !known(&place) && !found.iter().any(inside) {
            found.push(place);
        }
    }
    Ok(found)
}

impl Config {
    /// Reads the body of `POST /api/Config.Replace` and checks it. Fields that aren't known are passed over.
    pub fn read(body: &[u8]) -> Result<Config, ConfigError> {
        let text: ConfigText = json::read(body)?;
        let missing = |field| ConfigError::Missing("configuration".to_owned(), field);
        let epoch = text.epoch.ok_or_else(|| missing("epoch"))?;
        let routes = text.routes.ok_or_else(|| missing("routes"))?;
        let backends = text.backends.ok_or_else(|| missing("backends"))?;

        let services: Vec<Service> = backends
            .into_iter()
            .enumerate()
            .map(|(at, text)| text.service(at))
            .collect::<Result<_, _>>()?;
        let routes: Vec<Route> = routes
            .into_iter()
            .enumerate()
            .map(|(at, text)| text.route(at))
            .collect::<Result<_, _>>()?;

        let names: HashSet<&str> = services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let mut places: HashMap<(&str, &str), usize> = HashMap::with_capacity(routes.len());
        let mut by_authority: HashMap<String, usize> = HashMap::with_capacity(routes.len());
        for (at, route) in routes.iter().enumerate() {
            if !names.contains(route.service.as_str()) {
                return Err(ConfigError::UnknownService(
                    place(at, &route.name),
                    route.service.clone(),
                ));
            }
            if let Some(other) = places.insert((&route.authority, &route.path_prefix), at) {
                return Err(ConfigError::SamePlace(
                    place(at, &route.name),
                    place(other, &routes[other].name),
                    route.authority.clone(),
                    route.path_prefix.clone(),
                ));
            }
            // A database has no paths. Of several routes with its name the one for all paths is meant, else
            // the first.
            let first = *by_authority.entry(route.authority.clone()).or_insert(at);
            if route.path_prefix == "/" && routes[first].path_prefix != "/" {
                by_authority.insert(route.authority.clone(), at);
            }
        }
        let limits = text.limits.map(LimitsText::limits).unwrap_or_default();
        Ok(Config {
            epoch,
            routes,
            services,
            limits,
            by_authority,
        })
    }

    /// The route of the database with that name.
    pub fn route(&self, authority: &str) -> Option<&Route> {
        self.by_authority.get(authority).map(|at| &self.routes[*at])
    }

    /// The service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// How a route is called in an error: its name, and its place in the list, counted from 0.
fn place(at: usize, name: &str) -> String {
    format!("routes[{at}] ({name})")
}

impl RouteText {
    fn route(self, at: usize) -> Result<Route, ConfigError> {
        let place = place(at, self.name.as_deref().unwrap_or("no name"));
        let missing = |field| ConfigError::Missing(place.clone(), field);
        let mode = self.mode.ok_or_else(|| missing("mode"))?;
        let mode =
            Mode::read(&mode).ok_or_else(|| ConfigError::UnknownMode(place.clone(), mode))?;
        let deadline_ms = self.deadline_ms.ok_or_else(|| missing("deadline_ms"))?;
        if deadline_ms == 0 {
            return Err(ConfigError::NoDeadline(place));
        }
        Ok(Route {
            authority: self.authority.ok_or_else(|| missing("authority"))?,
            service: self.backend.ok_or_else(|| missing("backend"))?,
            name: self.name.ok_or_else(|| missing("name"))?,
            path_prefix: self.path_prefix.unwrap_or_else(|| "/".to_owned()),
            mode,
            deadline_ms,
            target_ms: self.target_ms.unwrap_or(deadline_ms),
            rank: self.rank.unwrap_or(1),
            tries: self.tries.unwrap_or(1),
            staleness_ms: self.staleness_ms,
        })
    }
}

impl ServiceText {
    fn service(self, at: usize) -> Result<Service, ConfigError> {
        Ok(Service {
            name: self
                .name
                .ok_or_else(|| ConfigError::Missing(format!("backends[{at}]"), "name"))?,
            probe: self.probe.unwrap_or_else(|| "/health".to_owned()),
            max_conns: self.max_conns.unwrap_or(16),
            protocol: self.protocol.unwrap_or_default(),
            tls: self.tls.unwrap_or(false),
            sync_replicas: self.sync_replicas.unwrap_or(0),
        })
    }
}

impl LimitsText {
    fn limits(self) -> Limits {
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

/// A thing's fields by their names in the configuration, as texts.
type Fields = Vec<(&'static str, String)>;

impl Route {
    fn fields(&self) -> Fields {
        vec![
            ("name", self.name.clone()),
            ("mode", self.mode.word().to_owned()),
            ("deadline_ms", self.deadline_ms.to_string()),
            ("target_ms", self.target_ms.to_string()),
            ("rank", self.rank.to_string()),
            ("backend", self.service.clone()),
            ("tries", self.tries.to_string()),
            (
                "staleness_ms",
                self.staleness_ms
                    .map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            ),
        ]
    }
}

impl Service {
    fn fields(&self) -> Fields {
        vec![
            ("probe", self.probe.clone()),
            ("max_conns", self.max_conns.to_string()),
            ("protocol", self.protocol.clone()),
            ("tls", self.tls.to_string()),
            ("sync_replicas", self.sync_replicas.to_string()),
        ]
    }
}

impl Limits {
    fn fields(&self) -> Fields {
        vec![
            ("header_bytes", self.header_bytes.to_string()),
            ("body_bytes", self.body_bytes.to_string()),
            ("header_timeout_ms", self.header_timeout_ms.to_string()),
            ("idle_timeout_ms", self.idle_timeout_ms.to_string()),
            ("txn_idle_ms", self.txn_idle_ms.to_string()),
        ]
    }
}

/// What changes from `a` to `b`, for operators: one line of key=value pairs for each route and service that
/// was added or removed and for each field that changed. None where nothing changes. Routes go by their
/// place, which is theirs alone.
pub fn diff(a: &Config, b: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    let whole = |config: &Config| {
        let mut fields = config.limits.fields();
        fields.insert(0, ("epoch", config.epoch.to_string()));
        BTreeMap::from([("part=whole".to_owned(), fields)])
    };
    let services = |config: &Config| {
        config
            .services
            .iter()
            .rev()
            .map(|s| (format!("service={}", s.name), s.fields()))
            .collect()
    };
    let routes = |config: &Config| {
        let place = |r: &Route| format!("route={} path_prefix={}", r.authority, r.path_prefix);
        config
            .routes
            .iter()
            .map(|r| (place(r), r.fields()))
            .collect()
    };
    compare(&mut lines, &whole(a), &whole(b));
    compare(&mut lines, &services(a), &services(b));
    compare(&mut lines, &routes(a), &routes(b));
    lines
}

fn compare(lines: &mut Vec<String>, a: &BTreeMap<String, Fields>, b: &BTreeMap<String, Fields>) {
    for what in a.keys().filter(|what| !b.contains_key(*what)) {
        lines.push(format!("{what} change=removed"));
    }
    for (what, now) in b {
        let Some(before) = a.get(what) else {
            lines.push(format!("{what} change=added"));
            continue;
        };
        for ((field, from), (_, to)) in before.iter().zip(now).filter(|(from, to)| from != to) {
            lines.push(format!(
                "{what} change=changed field={field} from={from} to={to}"
            ));
        }
    }
}
