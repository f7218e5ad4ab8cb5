//! Parses the start file of a router (JSON) and its settings file (JSON5) into the types of `badgerstream-routing`.
//! Settings of the platform come as lines of path=value or as nested JSON; both become [`FlatSettings`].

mod flat_settings;
mod instance;
mod router_settings;
mod start_config;

pub use flat_settings::FlatSettings;
pub use instance::{FrontSettings, instance};
pub use router_settings::{FileError, RouterSettings, parse_json5};
pub use start_config::StartConfig;

/// Column of a load report that holds the node's replication position.
pub const POSITION_COLUMN: &str = "x0";
/// Column of a load report that holds the node's role: 1 for the primary, 0 for a replica.
pub const ROLE_COLUMN: &str = "x1";

#[cfg(test)]
mod tests;
