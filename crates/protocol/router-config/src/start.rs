//! The file that a router starts from.

use crate::pairs::Pairs;
use serde_json::Value;
use std::net::SocketAddr;

/// Lives as long as the router.
pub struct Provision {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// Memory that it may use, in megabytes.
    pub memory_mb: f64,
    /// The list of nodes as this router last had it.
    pub known: Value,
    pub pairs: Pairs,
}

impl Provision {
    pub fn read(text: &str) -> Result<Provision, String> {
        let told: Value = serde_json::from_str(text).map_err(|e| format!("it is no JSON: {e}"))?;
        let field = |path: &str| {
            told.pointer(path)
                .ok_or_else(|| format!("{path} is missing"))
        };
        let text = |path: &str| {
            field(path)?
                .as_str()
                .ok_or_else(|| format!("{path} is no text"))
        };
        let address = |path: &str| {
            text(path)?
                .parse::<SocketAddr>()
                .map_err(|e| format!("{path} can't be read: {e}"))
        };
        let seed = u64::from_str_radix(text("/seed")?, 16)
            .map_err(|e| format!("/seed can't be read: {e}"))?;
        let limit = |path: &str| {
            let told = field(path)?.as_f64().filter(|limit| *limit >= 0.0);
            told.ok_or_else(|| format!("{path} is no number"))
        };
        Ok(Provision {
            name: text("/name")?.to_string(),
            listen: address("/listen")?,
            discovery: address("/discovery")?,
            seed,
            descriptors: limit("/limits/sockets")? as usize,
            memory_mb: limit("/limits/memory_mb")?,
            known: field("/known")?.clone(),
            pairs: Pairs::from_json(field("/settings")?),
        })
    }
}
