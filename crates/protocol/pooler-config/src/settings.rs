//! The settings file of a process, which reads it when it starts and again on SIGHUP. The file has
//! lines of the form `a.b=value`; the items of a list are separated by commas.
//!
//! Unknown fields are ignored, since later versions may add fields. Known fields must be valid. The
//! process reads the file; this module turns its text into typed values or a typed error.

mod error;
mod properties;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use self::properties::Properties;

pub use self::error::SettingsError;

/// The ports for connections between processes if the file doesn't set `port_range`.
const DEFAULT_PORT_RANGE: PortRange = PortRange {
    first: 7440,
    last: 7455,
};

/// The settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The unique name of the process. Required.
    pub node_name: String,
    /// The role of the process in the deploy file. Required.
    pub role: String,
    /// The class of the machine, `edge` or `core`; empty by default.
    pub machine_class: String,
    /// The parts of the system that the process serves as, `edge` or `coordinator`; none by
    /// default.
    pub serves: Vec<String>,
    /// The address of the machine. Required.
    pub ip: Ipv4Addr,
    /// The zone of the machine. Required.
    pub zone: String,
    /// The region of the machine; by default the region that `zones` gives for `zone`, otherwise
    /// empty.
    pub region: String,
    /// The region of each zone; empty by default.
    pub zones: BTreeMap<String, String>,
    /// The address for client connections, if the process serves clients (`bind_addrs.front`); none
    /// by default.
    pub front_address: Option<SocketAddr>,
    /// The address for the platform's readiness checks (`bind_addrs.readiness`); none by default.
    pub readiness_address: Option<SocketAddr>,
    /// The address for requests of database servers and the operator (`bind_addrs.control`); none
    /// by default.
    pub control_address: Option<SocketAddr>,
    /// The ports for connections between the processes of the system; 7440 to 7455 by default.
    pub port_range: PortRange,
    /// The `control_address` of each process that was running when the file was written; none
    /// by default.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system is starting for the first time, with empty disks; false by default.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against the fault budget; false by default.
    pub voting: bool,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The directory for state on the machine's disk; none by default and if there is no disk.
    pub state_dir: Option<PathBuf>,
    /// The interval between heartbeats of a database server, in milliseconds; 1000 by default.
    pub heartbeat_ms: u64,
    /// The losses that the system must tolerate at the same time without violating a rule.
    pub fault_budget: FaultBudget,
    /// The time limits and other parameters of the rules.
    pub bounds: Bounds,
    /// The platform that promotes servers; none if `provider.endpoint` is not set.
    pub provider: Option<Provider>,
    /// The names of the rules that are in force; empty by default.
    pub invariants: Vec<String>,
    /// Settings that are specific to badgerstream and not part of the user documentation.
    pub tuning: Tuning,
}

/// An inclusive range of ports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The first port; not 0.
    pub first: u16,
    /// The last port; not less than the first.
    pub last: u16,
}

/// The resources that a process may use.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The share of a processor core, above 0; 1 by default.
    pub cpu_fraction: f64,
    /// The speed of that core as a multiple of the normal speed; 1 by default.
    pub cpus: u32,
    /// The memory limit in MB, above which the process is killed; 256 by default.
    pub mem_mb: u64,
    /// Maximum number of file descriptors, of which 200 are reserved for files outside `state_dir`;
    /// 1024 by default.
    pub file_limit: u64,
    /// The bandwidth of the machine's network link in Mbit/s; 1000 by default.
    pub bandwidth_mbps: f64,
    /// The size of the disk in MB; 0, which means no disk, by default.
    pub storage_mb: u64,
}

/// The losses that the system must tolerate at the same time without violating a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultBudget {
    /// How many machines whose `voting` is true may be lost; 0 by default.
    pub machine_loss: u32,
    /// How many zones may be lost; 0 by default.
    pub zones: u32,
    /// How many regions may be lost; 0 by default.
    pub sites: u32,
}

/// The time limits and other parameters of the rules, in the unit with which each name ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum staleness of the callers' endpoint lists, in seconds; 3 by default.
    pub seed_stale_s: f64,
    /// Minimum time before the address of a departed server may be reused by a server of another
    /// service, in seconds; 2 by default.
    pub addr_reuse_s: f64,
    /// How long a machine must have been free of disturbances before it counts as in contact, in
    /// milliseconds; 4000 by default.
    pub quiet_ms: f64,
    /// Deadline for acknowledging a configuration, in milliseconds; 5000 by default.
    pub ack_ms: f64,
    /// How long a machine that has returned still counts as lost, in seconds; 4 by default.
    pub catchup_s: f64,
    /// Maximum time for which a draining server may still be used, in milliseconds; 7000 by
    /// default.
    pub drain_ms: f64,
    /// Time from SIGTERM until the process is killed, in seconds; 6 by default.
    pub grace_s: f64,
    /// How long a request may remain unanswered when its connection closes, in milliseconds; 200 by
    /// default.
    pub loss_slack_ms: f64,
    /// Deadline for applying an acknowledged configuration, in milliseconds; 3000 by default.
    pub apply_ms: f64,
    /// How long after a configuration version takes effect an older version may still be visible,
    /// in milliseconds; 250 by default.
    pub revert_slack_ms: f64,
    /// Time added to `apply_ms` while the core machines are unsettled, in milliseconds; 12000 by
    /// default.
    pub stretch_ms: f64,
    /// Deadline for restoring service after a loss, in seconds; 12 by default.
    pub recovery_s: f64,
    /// Whether the platform rejects a fencing token that is lower than the highest one it has seen;
    /// false by default.
    pub fencing: bool,
    /// Minimum time between two changes of the leader, in milliseconds; 0 by default, since not
    /// every deployment sets it.
    pub lease_ms: f64,
    /// How long after a freeze a process is exempt from the rules, in milliseconds; 300 by default.
    pub thaw_ms: f64,
}

/// The platform that promotes servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Provider {
    /// The address of the platform.
    pub endpoint: SocketAddr,
    /// Maximum number of requests per second that the platform accepts; 50 by default.
    pub rate_per_s: f64,
    /// Maximum number of promotion requests per second that the platform accepts from all processes
    /// together; 50 by default.
    pub duty_per_s: f64,
    /// The duties for which the platform is used, for example `failover`; none by default.
    pub duties: Vec<String>,
}

/// Settings that are specific to badgerstream, under `badgerstream.`. The bench sets none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// The duration of a router's lease, in milliseconds (`badgerstream.lease_ms`); 1500 by
    /// default. A failover waits this long for a router that can't be reached.
    pub lease_ms: u64,
    /// The interval between renewals of a lease, in milliseconds (`badgerstream.renew_ms`); 300 by
    /// default. It must be less than `lease_ms`.
    pub renew_ms: u64,
    /// The time without a message after which a process or a server is suspected to have failed, in
    /// milliseconds (`badgerstream.suspect_ms`); 600 by default.
    pub suspect_ms: u64,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] for the first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let properties = Properties::parse(text)?;
        let zone = properties.required("zone")?;
        let zones = properties.values_with_prefix("zones.");
        let region = properties
            .value("region")
            .or(zones.get(&zone).map(String::as_str))
            .unwrap_or_default()
            .to_owned();
        Ok(Settings {
            node_name: properties.required("node_name")?,
            role: properties.required("role")?,
            machine_class: properties
                .value("machine_class")
                .unwrap_or_default()
                .to_owned(),
            serves: properties.string_list("serves"),
            ip: match properties.parsed("ip", "is not an IPv4 address")? {
                Some(ip) => ip,
                None => return Err(SettingsError::Missing("ip")),
            },
            region,
            zone,
            zones,
            front_address: properties.address("bind_addrs.front")?,
            readiness_address: properties.address("bind_addrs.readiness")?,
            control_address: properties.address("bind_addrs.control")?,
            port_range: properties
                .port_range("port_range")?
                .unwrap_or(DEFAULT_PORT_RANGE),
            seeds: properties.address_list("seeds")?,
            bootstrap: properties.boolean("bootstrap", false)?,
            voting: properties.boolean("voting", false)?,
            limits: Limits::from_properties(&properties)?,
            state_dir: properties.value("state_dir").map(PathBuf::from),
            heartbeat_ms: properties.positive_integer("heartbeat_ms", 1000)?,
            fault_budget: FaultBudget::from_properties(&properties)?,
            bounds: Bounds::from_properties(&properties)?,
            provider: Provider::from_properties(&properties)?,
            invariants: properties.string_list("invariants"),
            tuning: Tuning::from_properties(&properties)?,
        })
    }

    /// Returns whether the process serves as `part`, which is `edge` or `coordinator`.
    pub fn serves(&self, part: &str) -> bool {
        self.serves.iter().any(|served| served == part)
    }
}

impl Limits {
    fn from_properties(properties: &Properties) -> Result<Limits, SettingsError> {
        Ok(Limits {
            cpu_fraction: properties.positive_number("limits.cpu_fraction", 1.0)?,
            cpus: properties.integer("limits.cpus", 1)?,
            mem_mb: properties.integer("limits.mem_mb", 256)?,
            file_limit: properties.integer("limits.file_limit", 1024)?,
            bandwidth_mbps: properties.positive_number("limits.bandwidth_mbps", 1000.0)?,
            storage_mb: properties.integer("limits.storage_mb", 0)?,
        })
    }
}

impl FaultBudget {
    fn from_properties(properties: &Properties) -> Result<FaultBudget, SettingsError> {
        Ok(FaultBudget {
            machine_loss: properties.integer("fault_budget.machine_loss", 0)?,
            zones: properties.integer("fault_budget.zones", 0)?,
            sites: properties.integer("fault_budget.sites", 0)?,
        })
    }
}

impl Bounds {
    fn from_properties(properties: &Properties) -> Result<Bounds, SettingsError> {
        Ok(Bounds {
            seed_stale_s: properties.non_negative_number("bounds.seed_stale_s", 3.0)?,
            addr_reuse_s: properties.non_negative_number("bounds.addr_reuse_s", 2.0)?,
            quiet_ms: properties.non_negative_number("bounds.quiet_ms", 4000.0)?,
            ack_ms: properties.non_negative_number("bounds.ack_ms", 5000.0)?,
            catchup_s: properties.non_negative_number("bounds.catchup_s", 4.0)?,
            drain_ms: properties.non_negative_number("bounds.drain_ms", 7000.0)?,
            grace_s: properties.non_negative_number("bounds.grace_s", 6.0)?,
            loss_slack_ms: properties.non_negative_number("bounds.loss_slack_ms", 200.0)?,
            apply_ms: properties.non_negative_number("bounds.apply_ms", 3000.0)?,
            revert_slack_ms: properties.non_negative_number("bounds.revert_slack_ms", 250.0)?,
            stretch_ms: properties.non_negative_number("bounds.stretch_ms", 12000.0)?,
            recovery_s: properties.non_negative_number("bounds.recovery_s", 12.0)?,
            fencing: properties.boolean("bounds.fencing", false)?,
            lease_ms: properties.non_negative_number("bounds.lease_ms", 0.0)?,
            thaw_ms: properties.non_negative_number("bounds.thaw_ms", 300.0)?,
        })
    }
}

impl Provider {
    fn from_properties(properties: &Properties) -> Result<Option<Provider>, SettingsError> {
        let Some(endpoint) = properties.address("provider.endpoint")? else {
            return Ok(None);
        };
        Ok(Some(Provider {
            endpoint,
            rate_per_s: properties.non_negative_number("provider.rate_per_s", 50.0)?,
            duty_per_s: properties.non_negative_number("provider.duty_per_s", 50.0)?,
            duties: properties.string_list("provider.duties"),
        }))
    }
}

impl Tuning {
    fn from_properties(properties: &Properties) -> Result<Tuning, SettingsError> {
        let tuning = Tuning {
            lease_ms: properties.positive_integer("badgerstream.lease_ms", 1500)?,
            renew_ms: properties.positive_integer("badgerstream.renew_ms", 300)?,
            suspect_ms: properties.positive_integer("badgerstream.suspect_ms", 600)?,
        };
        if tuning.renew_ms >= tuning.lease_ms {
            // One of the two may be a default: the error names the field that is in the file.
            let field = match properties.value("badgerstream.renew_ms") {
                Some(_) => "badgerstream.renew_ms",
                None => "badgerstream.lease_ms",
            };
            let problem = format!(
                "is invalid: badgerstream.renew_ms ({}) must be less than badgerstream.lease_ms ({})",
                tuning.renew_ms, tuning.lease_ms
            );
            return Err(properties.invalid_field(field, &problem));
        }
        Ok(tuning)
    }
}
