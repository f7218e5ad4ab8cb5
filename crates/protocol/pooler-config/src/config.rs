//! The operator's configuration: which databases there are, which service holds each, and within
//! what bounds.
//!
//! A configuration is rejected on the grounds that the users' pages list and on no other: it can't
//! be parsed, a route names a service that isn't there, two routes have the same authority and
//! prefix, a `deadline_ms` is 0 or missing, a mode is unknown. Whether its `epoch` is above the
//! current one is checked by the controller, which owns the current one.

mod diff;
mod error;
mod text;

use std::collections::{HashMap, HashSet};

pub use self::diff::diff;
pub use self::error::ConfigError;
pub use self::text::fields_without_effect;

/// How fresh a route's reads must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// Reads see every commit acknowledged before.
    Leader,
    /// Reads see every commit acknowledged more than `staleness_ms` before.
    BoundedStaleness,
    /// As [`Mode::BoundedStaleness`], and reads see every commit of their own session.
    InHouse,
}

impl Mode {
    /// Its word in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            Mode::Leader => "leader",
            Mode::BoundedStaleness => "bounded_staleness",
            Mode::InHouse => "in_house",
        }
    }

    fn parse(word: &str) -> Option<Mode> {
        [Mode::Leader, Mode::BoundedStaleness, Mode::InHouse]
            .into_iter()
            .find(|mode| mode.as_str() == word)
    }
}

/// A database that clients can connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The database's name in `CONNECT`.
    pub authority: String,
    /// Without a meaning to databases; `/` by default.
    pub path_prefix: String,
    /// How fresh reads must be.
    pub mode: Mode,
    /// The deadline of a statement, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// The latency target of an operation, in milliseconds; the deadline by default.
    pub target_ms: u64,
    /// The priority, 0 before all others; 1 by default.
    pub rank: u32,
    /// The name of the service that holds the database; one that the configuration has.
    pub service: String,
    /// The most attempts of an operation, the first included; 1 by default.
    pub tries: u32,
    /// How stale a read may be in the modes with a bound, in milliseconds; `None` there allows no
    /// staleness.
    pub staleness_ms: Option<u64>,
}

/// Database servers that hold the same databases: a primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which servers report as `backend`.
    pub name: String,
    /// The path of its servers' health check; `/health` by default.
    pub probe: String,
    /// How many connections from all routers together a server of it takes; 16 by default.
    pub max_conns: u32,
    /// What its servers speak, as the operator calls it.
    pub protocol: String,
    /// Whether its servers require TLS; false by default.
    pub tls: bool,
    /// How many replicas receive a commit before it is acknowledged; 0 by default.
    pub sync_replicas: u32,
}

/// Bounds for every connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of a message's head; 16384 by default.
    pub header_bytes: u64,
    /// The most bytes of a message's body; 262144 by default.
    pub body_bytes: u64,
    /// How long a message's head may take, in milliseconds; 3000 by default.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle, in milliseconds; 15000 by default.
    pub idle_timeout_ms: u64,
    /// How long a transaction may be idle before it may be ended, in milliseconds; 3000 by default.
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

/// A valid configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Its epoch.
    pub epoch: u64,
    /// The databases, in the operator's order.
    pub routes: Vec<Route>,
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// Bounds for every connection of a client.
    pub limits: Limits,
    /// The index in `routes` of each authority.
    by_authority: HashMap<String, usize>,
}

impl Config {
    /// Parses the body of `POST /api/Config.Replace` and checks it. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`ConfigError`], for the first fault.
    pub fn read(body: &[u8]) -> Result<Config, ConfigError> {
        let parsed = text::parse(body)?;
        check_routes(&parsed.routes, &parsed.services)?;
        Ok(Config {
            epoch: parsed.epoch,
            by_authority: index_by_authority(&parsed.routes),
            routes: parsed.routes,
            services: parsed.services,
            limits: parsed.limits,
        })
    }

    /// The route of the database with that name.
    pub fn route(&self, authority: &str) -> Option<&Route> {
        self.by_authority
            .get(authority)
            .map(|index| &self.routes[*index])
    }

    /// The service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Checks that each route has a service, and an authority and prefix of its own.
fn check_routes(routes: &[Route], services: &[Service]) -> Result<(), ConfigError> {
    let service_names: HashSet<&str> = services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut seen: HashMap<(&str, &str), usize> = HashMap::with_capacity(routes.len());
    for (index, route) in routes.iter().enumerate() {
        if !service_names.contains(route.service.as_str()) {
            return Err(ConfigError::UnknownService {
                place: route_place(index, &route.name),
                service: route.service.clone(),
            });
        }
        if let Some(other) = seen.insert((&route.authority, &route.path_prefix), index) {
            return Err(ConfigError::DuplicateRoute {
                place: route_place(index, &route.name),
                other: route_place(other, &routes[other].name),
                authority: route.authority.clone(),
                path_prefix: route.path_prefix.clone(),
            });
        }
    }
    Ok(())
}

/// The index of the route of each authority. A database has no paths: of several routes of an
/// authority the one for all paths is in force, else the first.
fn index_by_authority(routes: &[Route]) -> HashMap<String, usize> {
    let mut by_authority: HashMap<String, usize> = HashMap::with_capacity(routes.len());
    for (index, route) in routes.iter().enumerate() {
        let in_force = by_authority.entry(route.authority.clone()).or_insert(index);
        if route.path_prefix == "/" && routes[*in_force].path_prefix != "/" {
            *in_force = index;
        }
    }
    by_authority
}

/// How an error names a route: by its index, counted from 0, and its name.
fn route_place(index: usize, name: &str) -> String {
    format!("routes[{index}] ({name})")
}
