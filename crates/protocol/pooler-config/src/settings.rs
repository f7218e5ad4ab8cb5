//! The settings file that a process is told at its start, and again at SIGHUP: lines of `a.b=value`, lists
//! joined by commas.
//!
//! Fields that aren't known are passed over, since more may be added. Those that are known must be right.

use java_properties::{LineContent, PropertiesIter};
use quick_error::quick_error;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

quick_error! {
    /// Why a settings file can't be used, in one line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// A line isn't one of a properties file; lines count from 1, 0 is unknown.
        Line(line: usize, what: String) {
            display("line {}: {}", line, what)
        }
        /// A field that every process needs is missing.
        Missing(field: &'static str) {
            display("field {}: missing", field)
        }
        /// A field's value is wrong; lines count from 1, 0 is that of a default.
        Wrong(line: usize, field: String, value: String, what: String) {
            display("line {}: field {}: {:?} {}", line, field, value, what)
        }
    }
}

/// What a process is told.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The process's name, like no other's. Required.
    pub node_name: String,
    /// Its role in the deploy file. Required.
    pub role: String,
    /// Its machine's class, `edge` or `core`; empty by default.
    pub machine_class: String,
    /// Whom it serves: `edge`, `coordinator`; nobody by default.
    pub serves: Vec<String>,
    /// Its machine's address. Required.
    pub ip: Ipv4Addr,
    /// The zone of its machine. Required.
    pub zone: String,
    /// The region of its machine; by default what `zones` says of its zone, else empty.
    pub region: String,
    /// The region of each zone; by default none.
    pub zones: BTreeMap<String, String>,
    /// Where clients arrive, if this process serves them (`bind_addrs.front`); by default none.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether it is ready (`bind_addrs.readiness`); by default none.
    pub readiness: Option<SocketAddr>,
    /// Where database servers and the operator call (`bind_addrs.control`); by default none.
    pub control: Option<SocketAddr>,
    /// The first and the last port for what the system's processes say to each other; 7440 to 7455 by
    /// default.
    pub port_range: (u16, u16),
    /// `control` addresses of processes that were there when the file was written; by default none.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, on empty disks; false by default.
    pub bootstrap: bool,
    /// Whether the fault budget counts this machine; false by default.
    pub voting: bool,
    /// What the machine gives this process.
    pub limits: Limits,
    /// The folder on the machine's disk; none without a disk, and by default.
    pub state_dir: Option<PathBuf>,
    /// How often database servers call, in milliseconds; 1000 by default.
    pub heartbeat_ms: u64,
    /// What may be lost at one time while every rule holds.
    pub fault_budget: FaultBudget,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// The platform that takes the calls of duties; none by default, and without `provider.endpoint`.
    pub provider: Option<Provider>,
    /// The parts of the rules that are in force; by default none is told.
    pub invariants: Vec<String>,
    /// Settings of this project's own.
    pub own: Own,
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

/// The figures of the rules, in the unit that each name ends with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// How far the lists of callers lag, in seconds; 3 by default.
    pub seed_stale_s: f64,
    /// How soon another service's server may have a gone one's address, in seconds; 2 by default.
    pub addr_reuse_s: f64,
    /// How long nothing may have happened to a machine in touch, in milliseconds; 4000 by default.
    pub quiet_ms: f64,
    /// Within what an order is acknowledged, in milliseconds; 5000 by default.
    pub ack_ms: f64,
    /// How long a machine still counts as lost once it is back, in seconds; 4 by default.
    pub catchup_s: f64,
    /// How long a draining server may still be used, in milliseconds; 7000 by default.
    pub drain_ms: f64,
    /// How long after SIGTERM the process is killed, in seconds; 6 by default.
    pub grace_s: f64,
    /// How long a request may go without an answer when a connection closes, in milliseconds; 200 by
    /// default.
    pub loss_slack_ms: f64,
    /// Within what an acknowledged configuration is applied, in milliseconds; 3000 by default.
    pub apply_ms: f64,
    /// How long after a version's effect an older one may still show, in milliseconds; 250 by default.
    pub revert_slack_ms: f64,
    /// By how much an unsettled core extends `apply_ms`, in milliseconds; 12000 by default.
    pub stretch_ms: f64,
    /// Within what service is back after a loss, in seconds; 12 by default.
    pub recovery_s: f64,
    /// Whether the platform refuses a fence lower than one it has seen; false by default.
    pub fencing: bool,
    /// Within what holders of a duty don't take turns, in milliseconds; 0 by default, as not every deployment tells it.
    pub lease_ms: f64,
    /// How long after a freeze a process is excused, in milliseconds; 300 by default.
    pub thaw_ms: f64,
}

/// The platform that takes the calls of duties.
#[derive(Debug, Clone, PartialEq)]
pub struct Provider {
    /// Its address.
    pub endpoint: SocketAddr,
    /// How many calls a second it takes; 50 by default.
    pub rate_per_s: f64,
    /// How many calls of duties a second it takes from all processes together; 50 by default.
    pub duty_per_s: f64,
    /// The duties, `failover` say; none by default.
    pub duties: Vec<String>,
}

/// Settings of this project's own, under `badgerstream.`; the bench tells none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// How long a router may use a primary without asking again, in milliseconds; 1500 by default
    /// (`badgerstream.lease_ms`). A fail-over waits as long.
    pub lease_ms: u64,
    /// How often a lease is renewed, in milliseconds; 300 by default (`badgerstream.renew_ms`), below
    /// `lease_ms`.
    pub renew_ms: u64,
    /// How long a process or a server may be silent before it is suspected, in milliseconds; 600 by default
    /// (`badgerstream.suspect_ms`).
    pub suspect_ms: u64,
}

impl Settings {
    /// Reads the text of a settings file.
    pub fn read(text: &str) -> Result<Settings, SettingsError> {
        let fields = Fields::read(text)?;
        let zone = fields.required("zone")?;
        let zones: BTreeMap<String, String> = fields
            .values
            .iter()
            .filter_map(|(field, (_, region))| {
                Some((field.strip_prefix("zones.")?.to_owned(), region.clone()))
            })
            .collect();
        let region = fields
            .text("region")
            .or(zones.get(&zone).map(String::as_str))
            .unwrap_or_default()
            .to_owned();
        Ok(Settings {
            node_name: fields.required("node_name")?,
            role: fields.required("role")?,
            machine_class: fields.text("machine_class").unwrap_or_default().to_owned(),
            serves: fields.words("serves"),
            ip: match fields.parsed("ip", "is no IPv4 address")? {
                Some(ip) => ip,
                None => return Err(SettingsError::Missing("ip")),
            },
            region,
            zone,
            zones,
            front: fields.address("bind_addrs.front")?,
            readiness: fields.address("bind_addrs.readiness")?,
            control: fields.address("bind_addrs.control")?,
            port_range: fields.ports("port_range")?.unwrap_or((7440, 7455)),
            seeds: fields.addresses("seeds")?,
            bootstrap: fields.flag("bootstrap", false)?,
            voting: fields.flag("voting", false)?,
            limits: Limits {
                cpu_fraction: fields.above_0("limits.cpu_fraction", 1.0)?,
                cpus: fields.whole("limits.cpus", 1)?,
                mem_mb: fields.whole("limits.mem_mb", 256)?,
                file_limit: fields.whole("limits.file_limit", 1024)?,
                bandwidth_mbps: fields.above_0("limits.bandwidth_mbps", 1000.0)?,
                storage_mb: fields.whole("limits.storage_mb", 0)?,
            },
            state_dir: fields.text("state_dir").map(PathBuf::from),
            heartbeat_ms: fields.span("heartbeat_ms", 1000)?,
            fault_budget: FaultBudget {
                machine_loss: fields.whole("fault_budget.machine_loss", 0)?,
                zones: fields.whole("fault_budget.zones", 0)?,
                sites: fields.whole("fault_budget.sites", 0)?,
            },
            bounds: Bounds {
                seed_stale_s: fields.number("bounds.seed_stale_s", 3.0)?,
                addr_reuse_s: fields.number("bounds.addr_reuse_s", 2.0)?,
                quiet_ms: fields.number("bounds.quiet_ms", 4000.0)?,
                ack_ms: fields.number("bounds.ack_ms", 5000.0)?,
                catchup_s: fields.number("bounds.catchup_s", 4.0)?,
                drain_ms: fields.number("bounds.drain_ms", 7000.0)?,
                grace_s: fields.number("bounds.grace_s", 6.0)?,
                loss_slack_ms: fields.number("bounds.loss_slack_ms", 200.0)?,
                apply_ms: fields.number("bounds.apply_ms", 3000.0)?,
                revert_slack_ms: fields.number("bounds.revert_slack_ms", 250.0)?,
                stretch_ms: fields.number("bounds.stretch_ms", 12000.0)?,
                recovery_s: fields.number("bounds.recovery_s", 12.0)?,
                fencing: fields.flag("bounds.fencing", false)?,
                lease_ms: fields.number("bounds.lease_ms", 0.0)?,
                thaw_ms: fields.number("bounds.thaw_ms", 300.0)?,
            },
            provider: match fields.address("provider.endpoint")? {
                Some(endpoint) => Some(Provider {
                    endpoint,
                    rate_per_s: fields.number("provider.rate_per_s", 50.0)?,
                    duty_per_s: fields.number("provider.duty_per_s", 50.0)?,
                    duties: fields.words("provider.duties"),
                }),
                None => None,
            },
            invariants: fields.words("invariants"),
            own: fields.own()?,
        })
    }

    /// Whether this process serves `whom`: `edge` or `coordinator`.
    pub fn serves(&self, whom: &str) -> bool {
        self.serves.iter().any(|served| served == whom)
    }
}

/// The file's fields, each with its line.
struct Fields {
    values: HashMap<String, (usize, String)>,
}

impl Fields {
    fn read(text: &str) -> Result<Fields, SettingsError> {
        let mut values = HashMap::new();
        for line in PropertiesIter::new(latin(text).as_bytes()) {
            let line =
                line.map_err(|e| SettingsError::Line(e.line_number().unwrap_or(0), e.to_string()))?;
            let number = line.line_number();
            if let LineContent::KVPair(field, value) = line.consume_content() {
                values.insert(field, (number, value.trim().to_owned()));
            }
        }
        Ok(Fields { values })
    }

    /// The field's text; a field without one counts as absent.
    fn text(&self, field: &str) -> Option<&str> {
        self.values
            .get(field)
            .map(|(_, value)| value.as_str())
            .filter(|value| !value.is_empty())
    }

    fn required(&self, field: &'static str) -> Result<String, SettingsError> {
        self.text(field)
            .map(str::to_owned)
            .ok_or(SettingsError::Missing(field))
    }

    fn wrong(&self, field: &str, value: &str, what: &str) -> SettingsError {
        let line = self.values.get(field).map_or(0, |(line, _)| *line);
        SettingsError::Wrong(line, field.to_owned(), value.to_owned(), what.to_owned())
    }

    fn parsed<T: FromStr>(&self, field: &str, what: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.text(field) else {
            return Ok(None);
        };
        value
            .parse()
            .map(Some)
            .map_err(|_| self.wrong(field, value, what))
    }

    fn items(&self, field: &str) -> impl Iterator<Item = &str> {
        self.text(field)
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
    }

    fn words(&self, field: &str) -> Vec<String> {
        self.items(field).map(str::to_owned).collect()
    }

    fn address(&self, field: &str) -> Result<Option<SocketAddr>, SettingsError> {
        self.parsed(field, "is no address with a port")
    }

    fn addresses(&self, field: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        let read = |item: &str| {
            item.parse()
                .map_err(|_| self.wrong(field, item, "is no address with a port"))
        };
        self.items(field).map(read).collect()
    }

    fn ports(&self, field: &str) -> Result<Option<(u16, u16)>, SettingsError> {
        let Some(value) = self.text(field) else {
            return Ok(None);
        };
        let ports = value.split_once(',').and_then(|(first, last)| {
            Some((
                first.trim().parse::<u16>().ok()?,
                last.trim().parse::<u16>().ok()?,
            ))
        });
        match ports {
            Some((first, last)) if 0 < first && first <= last => Ok(Some((first, last))),
            _ => Err(self.wrong(field, value, "is no range of ports (first,last)")),
        }
    }

    fn flag(&self, field: &str, default: bool) -> Result<bool, SettingsError> {
        match self.text(field) {
            None => Ok(default),
            Some(value) if value.eq_ignore_ascii_case("true") => Ok(true),
            Some(value) if value.eq_ignore_ascii_case("false") => Ok(false),
            Some(value) => Err(self.wrong(field, value, "is neither true nor false")),
        }
    }

    fn number(&self, field: &str, default: f64) -> Result<f64, SettingsError> {
        let number: f64 = self.parsed(field, "is no number")?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        Err(self.wrong(
            field,
            self.text(field).unwrap_or_default(),
            "is no number from 0 on",
        ))
    }

    fn above_0(&self, field: &str, default: f64) -> Result<f64, SettingsError> {
        let number = self.number(field, default)?;
        if number > 0.0 {
            return Ok(number);
        }
        Err(self.wrong(
            field,
            self.text(field).unwrap_or_default(),
            "is not above 0",
        ))
    }

    /// A whole number; `260.0` is one too.
    fn whole<T: TryFrom<u64>>(&self, field: &str, default: T) -> Result<T, SettingsError> {
        let Some(value) = self.text(field) else {
            return Ok(default);
        };
        let fraction = |value: &str| {
            let number: f64 = value.parse().ok()?;
            (number.fract() == 0.0 && (0.0..1e15).contains(&number)).then_some(number as u64)
        };
        let whole = value.parse().ok().or_else(|| fraction(value));
        whole
            .and_then(|whole| T::try_from(whole).ok())
            .ok_or_else(|| self.wrong(field, value, "is no whole number from 0 on, or too great"))
    }

    /// A span of time, above 0.
    fn span(&self, field: &str, default: u64) -> Result<u64, SettingsError> {
        match self.whole(field, default)? {
            0 => Err(self.wrong(
                field,
                self.text(field).unwrap_or_default(),
                "is not above 0",
            )),
            span => Ok(span),
        }
    }

    fn own(&self) -> Result<Own, SettingsError> {
        let own = Own {
            lease_ms: self.span("badgerstream.lease_ms", 1500)?,
            renew_ms: self.span("badgerstream.renew_ms", 300)?,
            suspect_ms: self.span("badgerstream.suspect_ms", 600)?,
        };
        if own.renew_ms >= own.lease_ms {
            let told = if self.text("badgerstream.renew_ms").is_some() {
                "renew_ms"
            } else {
                "lease_ms"
            };
            let field = format!("badgerstream.{told}");
            let value = self.text(&field).unwrap_or_default();
            return Err(self.wrong(&field, value, "leaves renew_ms not below lease_ms"));
        }
        Ok(own)
    }
}

/// The text with what isn't ASCII escaped: java-properties takes its input for Windows-1252.
fn latin(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_ascii() {
            out.push(c);
        } else if u32::from(c) <= 0xffff {
            out.push_str(&format!("\\u{:04x}", u32::from(c)));
        } else {
            // Beyond what such an escape can tell.
            out.push('?');
        }
    }
    out
}
