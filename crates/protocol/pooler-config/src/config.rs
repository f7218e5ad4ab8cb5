//! The operator's configuration: the databases, the service that holds each database, and the
//! limits for client connections.
//!
//! A configuration is rejected only for the reasons that the user documentation lists: it can't be
//! parsed, a route refers to a service that doesn't exist, two routes have the same authority and
//! prefix, a `deadline_ms` is 0 or missing, or a mode is unknown. The controller checks that the
//! `epoch` is above the current one, which it owns.

mod diff;
mod error;
mod text;

use std::collections::{HashMap, HashSet};

pub use self::diff::diff;
pub use self::error::ConfigError;
pub use self::text::fields_without_effect;

/// How recent the data must be that reads of a route return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mode {
    /// Reads see every commit that was acknowledged before the read.
    Leader,
    /// Reads see every commit that was acknowledged more than `staleness_ms` before the read.
    BoundedStaleness,
    /// As [`Mode::BoundedStaleness`]; reads also see every commit of their own session.
    InHouse,
}

impl Mode {
    /// Returns the name of the mode in the configuration.
    pub fn as_str(self) -> &'static str {
        match self {
            Mode::Leader => "leader",
            Mode::BoundedStaleness => "bounded_staleness",
            Mode::InHouse => "in_house",
        }
    }

    fn parse(text: &str) -> Option<Mode> {
        [Mode::Leader, Mode::BoundedStaleness, Mode::InHouse]
            .into_iter()
            .find(|mode| mode.as_str() == text)
    }
}

/// A database that clients can connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// The name of the database in `CONNECT`.
    pub authority: String,
    /// A path prefix, which has no meaning for databases; `/` by default.
    pub path_prefix: String,
    /// How recent the data must be that reads return.
    pub mode: Mode,
    /// Deadline for a statement, in milliseconds; never 0.
    pub deadline_ms: u64,
    /// Latency target for an operation, in milliseconds; the deadline by default.
    pub target_ms: u64,
    /// The priority: a lower number goes first, and 0 is the highest priority. 1 by default.
    pub rank: u32,
    /// The name of the service that holds the database. The configuration defines this service.
    pub service: String,
    /// Maximum number of attempts of an operation, including the first; 1 by default.
    pub tries: u32,
    /// Maximum staleness of a read in the modes with a staleness bound, in milliseconds. In these
    /// modes `None` allows no staleness.
    pub staleness_ms: Option<u64>,
}

/// A group of database servers that hold the same databases: a primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name of the service, which servers report as `backend`.
    pub name: String,
    /// The path of the health check of the servers; `/health` by default.
    pub probe: String,
    /// Maximum number of connections that a server accepts from all routers together; 16 by
    /// default.
    pub max_conns: u32,
    /// The operator's name for the protocol of the servers; empty by default.
    pub protocol: String,
    /// Whether the servers require TLS; false by default.
    pub tls: bool,
    /// Number of replicas that must receive a commit before it is acknowledged; 0 by default.
    pub sync_replicas: u32,
}

/// Limits for each client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a message's head, in bytes; 16384 by default.
    pub header_bytes: u64,
    /// Maximum size of a message's body, in bytes; 262144 by default.
    pub body_bytes: u64,
    /// Timeout for receiving a message's head, in milliseconds; 3000 by default.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds; 15000 by default.
    pub idle_timeout_ms: u64,
    /// How long a transaction may be idle before it can be ended, in milliseconds; 3000 by default.
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
    /// The epoch, which identifies the version of the configuration.
    pub epoch: u64,
    /// The routes, one for each database and path prefix, in the operator's order.
    pub routes: Vec<Route>,
    /// The services, in the operator's order.
    pub services: Vec<Service>,
    /// The limits for each client connection.
    pub limits: Limits,
    /// The index in `routes` of the route in force for each authority.
    route_index_by_authority: HashMap<String, usize>,
}

impl Config {
    /// Parses and validates the body of `POST /api/Config.Replace`. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for the first error that is found.
    pub fn parse(body: &[u8]) -> Result<Config, ConfigError> {
        let parsed = text::parse(body)?;
        check_routes(&parsed.routes, &parsed.services)?;
        Ok(Config {
            epoch: parsed.epoch,
            route_index_by_authority: index_by_authority(&parsed.routes),
            routes: parsed.routes,
            services: parsed.services,
            limits: parsed.limits,
        })
    }

    /// Returns the route in force for the database with this name.
    pub fn route(&self, authority: &str) -> Option<&Route> {
        self.route_index_by_authority
            .get(authority)
            .map(|index| &self.routes[*index])
    }

    /// Returns the service with this name; if there are several, the first one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Checks that the service of each route exists, and that no two routes have the same authority and
/// prefix.
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

/// Returns the index of the route in force for each authority. Paths have no meaning for databases:
/// of several routes with one authority, the route with the prefix `/` is in force, or the first
/// route if none has this prefix.
fn index_by_authority(routes: &[Route]) -> HashMap<String, usize> {
    let mut index_by_authority: HashMap<String, usize> = HashMap::with_capacity(routes.len());
    for (index, route) in routes.iter().enumerate() {
        let in_force = index_by_authority
            .entry(route.authority.clone())
            .or_insert(index);
        if route.path_prefix == "/" && routes[*in_force].path_prefix != "/" {
            *in_force = index;
        }
    }
    index_by_authority
}

/// Returns the description of a route in error texts: its index, counted from 0, and its name.
fn route_place(index: usize, name: &str) -> String {
    format!("routes[{index}] ({name})")
}
