//! The start file of a router, JSON.

use crate::flat_settings::FlatSettings;
use serde_json::Value;
use std::net::SocketAddr;

/// Contents of the start file.
pub struct StartConfig {
    /// Name of the router.
    pub name: String,
    /// Address on which the router accepts clients.
    pub listen: SocketAddr,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub descriptors: usize,
    /// Maximum memory of the process, in units of 1 MiB.
    pub memory_mb: f64,
    /// The last list of nodes that is known for this router, in the format of discovery.
    pub known: Value,
    /// Settings of the platform.
    pub settings: FlatSettings,
}

impl StartConfig {
    /// Parses a start file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid JSON, or a field is missing or has an invalid value.
    pub fn parse(text: &str) -> Result<StartConfig, String> {
        let root: Value =
            serde_json::from_str(text).map_err(|e| format!("the file is not valid JSON: {e}"))?;
        let field = |path: &str| {
            root.pointer(path)
                .ok_or_else(|| format!("{path} is missing"))
        };
        let text = |path: &str| {
            let value = field(path)?;
            value
                .as_str()
                .ok_or_else(|| format!("{path} must be a string, found {value}"))
        };
        let address = |path: &str| {
            let text = text(path)?;
            text.parse::<SocketAddr>()
                .map_err(|e| format!("{path} must be an IP address and port, found {text:?}: {e}"))
        };
        let seed = text("/seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|e| {
            format!("/seed must be a hexadecimal number of 64 bits, found {seed:?}: {e}")
        })?;
        let limit = |path: &str| {
            let value = field(path)?;
            let limit = value.as_f64().filter(|limit| *limit >= 0.0);
            limit.ok_or_else(|| format!("{path} must be a number of at least 0, found {value}"))
        };
        Ok(StartConfig {
            name: text("/name")?.to_string(),
            listen: address("/listen")?,
            discovery: address("/discovery")?,
            seed,
            descriptors: limit("/limits/sockets")? as usize,
            memory_mb: limit("/limits/memory_mb")?,
            known: field("/known")?.clone(),
            settings: FlatSettings::from_json(field("/settings")?),
        })
    }
}
