//! The settings file of a process, read at its start and again at SIGHUP: lines of `a.b=value`,
//! lists joined by commas, as the users' page gives them.
//!
//! Unknown fields are ignored, since more may be added. Known ones must be valid. The process owns
//! the file; here its text becomes typed values or a typed error.

mod error;
mod properties;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use self::properties::Properties;

pub use self::error::SettingsError;

/// The ports of the connections between processes where the file names none.
const DEFAULT_PORT_RANGE: PortRange = PortRange {
    first: 7440,
    last: 7455,
};

/// The settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The process's unique name. Required.
    pub node_name: String,
    /// Its role in the deploy file. Required.
    pub role: String,
    /// Its machine's class, `edge` or `core`; empty by default.
    pub machine_class: String,
    /// Whom it serves, `edge` or `coordinator`; nobody by default.
    pub serves: Vec<String>,
    /// Its machine's address. Required.
    pub ip: Ipv4Addr,
    /// The zone of its machine. Required.
    pub zone: String,
    /// The region of its machine; by default what `zones` says of its zone, else empty.
    pub region: String,
    /// The region of each zone; by default none.
    pub zones: BTreeMap<String, String>,
    /// Where clients connect, if this process serves them (`bind_addrs.front`); by default none.
    pub front: Option<SocketAddr>,
    /// Where the platform checks whether it is ready (`bind_addrs.readiness`); by default none.
    pub readiness: Option<SocketAddr>,
    /// Where database servers and the operator send requests (`bind_addrs.control`); by default
    /// none.
    pub control: Option<SocketAddr>,
    /// The ports of the connections between the system's processes; 7440 to 7455 by default.
    pub port_range: PortRange,
    /// `control` addresses of the processes that ran when the file was written; by default none.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks; false by default.
    pub bootstrap: bool,
    /// Whether the fault budget counts this machine; false by default.
    pub voting: bool,
    /// What the machine gives this process.
    pub limits: Limits,
    /// The folder on the machine's disk; none without a disk, and by default.
    pub state_dir: Option<PathBuf>,
    /// How often database servers send heartbeats, in milliseconds; 1000 by default.
    pub heartbeat_ms: u64,
    /// What may be lost at one time while every rule holds.
    pub fault_budget: FaultBudget,
    /// The bounds of the rules.
    pub bounds: Bounds,
    /// The platform that promotes servers; by default, and without `provider.endpoint`, none.
    pub provider: Option<Provider>,
    /// The rules that are in force; by default none is named.
    pub invariants: Vec<String>,
    /// Settings of this project's own, which the users' pages don't have.
    pub tuning: Tuning,
}

/// A range of ports, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The first port; not 0.
    pub first: u16,
    /// The last port; not below the first.
    pub last: u16,
}

/// What the machine gives a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The share of a core; 1 by default, above 0.
    pub cpu_fraction: f64,
    /// How many times as fast that core runs; 1 by default.
    pub cpus: u32,
    /// Memory in MB, above which the process is killed; 256 by default.
    pub mem_mb: u64,
    /// Descriptors, 200 of which are for files outside the disk folder; 1024 by default.
    pub file_limit: u64,
    /// The machine's link in Mbit/s; 1000 by default.
    pub bandwidth_mbps: f64,
    /// The disk in MB; 0, no disk, by default.
    pub storage_mb: u64,
}

/// What may be lost at one time while every rule holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultBudget {
    /// Machines for which `voting` is true; 0 by default.
    pub machine_loss: u32,
    /// Zones; 0 by default.
    pub zones: u32,
    /// Regions; 0 by default.
    pub sites: u32,
}

/// The bounds of the rules, in the unit that each name ends with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// How stale callers' endpoint lists may be, in seconds; 3 by default.
    pub seed_stale_s: f64,
    /// How soon another service's server may have the address of a departed one, in seconds; 2 by
    /// default.
    pub addr_reuse_s: f64,
    /// For how long nothing must have happened to a machine to count it as in contact, in
    /// milliseconds; 4000 by default.
    pub quiet_ms: f64,
    /// Within what a configuration is acknowledged, in milliseconds; 5000 by default.
    pub ack_ms: f64,
    /// How long a machine still counts as lost once it is back, in seconds; 4 by default.
    pub catchup_s: f64,
    /// How long a draining server may still be used, in milliseconds; 7000 by default.
    pub drain_ms: f64,
    /// How long after SIGTERM the process is killed, in seconds; 6 by default.
    pub grace_s: f64,
    /// How long a request may go without an answer when a connection closes, in milliseconds; 200
    /// by default.
    pub loss_slack_ms: f64,
    /// Within what an acknowledged configuration is applied, in milliseconds; 3000 by default.
    pub apply_ms: f64,
    /// How long after a version's effect an older one may still show, in milliseconds; 250 by
    /// default.
    pub revert_slack_ms: f64,
    /// By how much `apply_ms` is extended while the core is unsettled, in milliseconds; 12000 by
    /// default.
    pub stretch_ms: f64,
    /// Within what service is back after a loss, in seconds; 12 by default.
    pub recovery_s: f64,
    /// Whether the platform rejects a fencing token lower than one it has seen; false by default.
    pub fencing: bool,
    /// Within what the leader does not change twice, in milliseconds; 0 by default, as not every
    /// deployment sets it.
    pub lease_ms: f64,
    /// How long after a freeze a process is excused, in milliseconds; 300 by default.
    pub thaw_ms: f64,
}

/// The platform that promotes servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Provider {
    /// Its address.
    pub endpoint: SocketAddr,
    /// How many requests a second it takes; 50 by default.
    pub rate_per_s: f64,
    /// How many requests for promotions a second it takes from all processes together; 50 by
    /// default.
    pub duty_per_s: f64,
    /// The duties for which it is used, for example `failover`; none by default.
    pub duties: Vec<String>,
}

/// Settings of this project's own, under `badgerstream.`; the bench sets none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// The duration of a router's lease, in milliseconds; 1500 by default
    /// (`badgerstream.lease_ms`). A failover waits as long for a router that can't be reached.
    pub lease_ms: u64,
    /// How often a lease is renewed, in milliseconds; 300 by default (`badgerstream.renew_ms`),
    /// below `lease_ms`.
    pub renew_ms: u64,
    /// After how long without a message a process or a server is suspected, in milliseconds; 600 by
    /// default (`badgerstream.suspect_ms`).
    pub suspect_ms: u64,
}

impl Settings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], for the first field that is missing or invalid.
    pub fn read(text: &str) -> Result<Settings, SettingsError> {
        let properties = Properties::parse(text)?;
        let zone = properties.required("zone")?;
        let zones = properties.with_prefix("zones.");
        let region = properties
            .text("region")
            .or(zones.get(&zone).map(String::as_str))
            .unwrap_or_default()
            .to_owned();
        Ok(Settings {
            node_name: properties.required("node_name")?,
            role: properties.required("role")?,
            machine_class: properties
                .text("machine_class")
                .unwrap_or_default()
                .to_owned(),
            serves: properties.words("serves"),
            ip: match properties.parsed("ip", "is no IPv4 address")? {
                Some(ip) => ip,
                None => return Err(SettingsError::Missing("ip")),
            },
            region,
            zone,
            zones,
            front: properties.address("bind_addrs.front")?,
            readiness: properties.address("bind_addrs.readiness")?,
            control: properties.address("bind_addrs.control")?,
            port_range: properties
                .port_range("port_range")?
                .unwrap_or(DEFAULT_PORT_RANGE),
            seeds: properties.addresses("seeds")?,
            bootstrap: properties.flag("bootstrap", false)?,
            voting: properties.flag("voting", false)?,
            limits: Limits::read(&properties)?,
            state_dir: properties.text("state_dir").map(PathBuf::from),
            heartbeat_ms: properties.duration("heartbeat_ms", 1000)?,
            fault_budget: FaultBudget::read(&properties)?,
            bounds: Bounds::read(&properties)?,
            provider: Provider::read(&properties)?,
            invariants: properties.words("invariants"),
            tuning: Tuning::read(&properties)?,
        })
    }

    /// Whether this process serves `whom`: `edge` or `coordinator`.
    pub fn serves(&self, whom: &str) -> bool {
        self.serves.iter().any(|served| served == whom)
    }
}

impl Limits {
    fn read(properties: &Properties) -> Result<Limits, SettingsError> {
        Ok(Limits {
            cpu_fraction: properties.positive("limits.cpu_fraction", 1.0)?,
            cpus: properties.integer("limits.cpus", 1)?,
            mem_mb: properties.integer("limits.mem_mb", 256)?,
            file_limit: properties.integer("limits.file_limit", 1024)?,
            bandwidth_mbps: properties.positive("limits.bandwidth_mbps", 1000.0)?,
            storage_mb: properties.integer("limits.storage_mb", 0)?,
        })
    }
}

impl FaultBudget {
    fn read(properties: &Properties) -> Result<FaultBudget, SettingsError> {
        Ok(FaultBudget {
            machine_loss: properties.integer("fault_budget.machine_loss", 0)?,
            zones: properties.integer("fault_budget.zones", 0)?,
            sites: properties.integer("fault_budget.sites", 0)?,
        })
    }
}

impl Bounds {
    fn read(properties: &Properties) -> Result<Bounds, SettingsError> {
        Ok(Bounds {
            seed_stale_s: properties.number("bounds.seed_stale_s", 3.0)?,
            addr_reuse_s: properties.number("bounds.addr_reuse_s", 2.0)?,
            quiet_ms: properties.number("bounds.quiet_ms", 4000.0)?,
            ack_ms: properties.number("bounds.ack_ms", 5000.0)?,
            catchup_s: properties.number("bounds.catchup_s", 4.0)?,
            drain_ms: properties.number("bounds.drain_ms", 7000.0)?,
            grace_s: properties.number("bounds.grace_s", 6.0)?,
            loss_slack_ms: properties.number("bounds.loss_slack_ms", 200.0)?,
            apply_ms: properties.number("bounds.apply_ms", 3000.0)?,
            revert_slack_ms: properties.number("bounds.revert_slack_ms", 250.0)?,
            stretch_ms: properties.number("bounds.stretch_ms", 12000.0)?,
            recovery_s: properties.number("bounds.recovery_s", 12.0)?,
            fencing: properties.flag("bounds.fencing", false)?,
            lease_ms: properties.number("bounds.lease_ms", 0.0)?,
            thaw_ms: properties.number("bounds.thaw_ms", 300.0)?,
        })
    }
}

impl Provider {
    fn read(properties: &Properties) -> Result<Option<Provider>, SettingsError> {
        let Some(endpoint) = properties.address("provider.endpoint")? else {
            return Ok(None);
        };
        Ok(Some(Provider {
            endpoint,
            rate_per_s: properties.number("provider.rate_per_s", 50.0)?,
            duty_per_s: properties.number("provider.duty_per_s", 50.0)?,
            duties: properties.words("provider.duties"),
        }))
    }
}

impl Tuning {
    fn read(properties: &Properties) -> Result<Tuning, SettingsError> {
        let tuning = Tuning {
            lease_ms: properties.duration("badgerstream.lease_ms", 1500)?,
            renew_ms: properties.duration("badgerstream.renew_ms", 300)?,
            suspect_ms: properties.duration("badgerstream.suspect_ms", 600)?,
        };
        if tuning.renew_ms >= tuning.lease_ms {
            // One of them may be a default: the error names the one in the file.
            let field = match properties.text("badgerstream.renew_ms") {
                Some(_) => "badgerstream.renew_ms",
                None => "badgerstream.lease_ms",
            };
            return Err(properties.invalid(field, "leaves renew_ms not below lease_ms"));
        }
        Ok(tuning)
    }
}
