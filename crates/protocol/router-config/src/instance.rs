//! Creates a routing instance from the settings of the platform.

use crate::flat_settings::{FlatSettings, parse};
use badgerstream_routing::{
    ColdStart, Consistency, DedupScope, Drain, Fairness, Instance, PolicyLimits, Quota, Repeat,
    Replication, Workload,
};

/// Settings that a front end needs itself to interpret the events that it passes to an instance.
pub struct FrontSettings {
    /// Clock time at which replication positions start, in seconds.
    pub origin_s: f64,
    /// Index of the position in the columns of a load report.
    pub position_column: Option<usize>,
    /// Index of the role in the columns of a load report.
    pub role_column: Option<usize>,
    /// Whether the list of nodes must be subscribed to.
    pub subscribes: bool,
    /// Workloads, in the order of their classes.
    pub workloads: Vec<Workload>,
}

/// Creates an instance from its settings, with this seed for its random numbers.
///
/// # Errors
///
/// Fails if a required setting is missing or a value is invalid.
pub fn instance(seed: u64, settings: &FlatSettings) -> Result<(Instance, FrontSettings), String> {
    let count: usize = settings.parse("classes.count")?;
    let needs: Vec<&str> = settings.text("domain.needs_by_class")?.split(',').collect();
    let bounds: Vec<&str> = settings.text("domain.max_age_ms")?.split(',').collect();
    let too_short = |path: &str, entries: usize| {
        format!("setting {path} has {entries} entries, expected one for each of {count} classes")
    };
    let mut workloads = Vec::new();
    for i in 0..count {
        let need = needs
            .get(i)
            .ok_or_else(|| too_short("domain.needs_by_class", needs.len()))?;
        let bound = bounds
            .get(i)
            .ok_or_else(|| too_short("domain.max_age_ms", bounds.len()))?;
        let bound = parse::<f64>("domain.max_age_ms", bound)? / 1e3;
        workloads.push(workload(settings, i, need, bound)?);
    }
    let excess_value = settings.parse_or("over_share_worth", 1.0)?;
    let customers: usize = settings.parse_or("tenants.count", 0)?;
    let quota = |i| {
        settings
            .parse(&format!("tenants.{i}.quota_per_s"))
            .map(|per_s| Quota {
                per_s,
                excess_value,
            })
    };
    let quotas = (0..customers).map(quota).collect::<Result<_, String>>()?;
    let fairness = Fairness {
        overall: settings.parse_or("goal.whole", 1.0)?,
        worst_workload: settings.parse_or("goal.worst_class", 0.0)?,
        worst_tenant: settings.parse_or("goal.worst_tenant", 0.0)?,
    };
    let replication = Replication {
        nodes_check_freshness: settings.text("domain.checks")? != "none",
        sessions_carry_write_age: settings.text("domain.token_mode")? == "client",
    };
    let cold = ColdStart {
        initial_share: settings.parse("safety.cold_from")?,
        duration_s: settings.seconds("safety.cold_ms")?,
        overload_factor: settings.parse("safety.overload_factor")?,
        window_s: settings.seconds("safety.fall_ms")?,
    };
    let drain = Drain {
        grace_s: settings.seconds("safety.stop_sending_within_ms")?,
        only_draining_binds: settings.parse_or("safety.only_draining_binds", false)?,
    };
    let max_retry_after_s = settings.seconds("policy_limits.max_retry_after_ms")?;
    let limits = PolicyLimits {
        max_executions: settings.parse("policy_limits.max_attempts")?,
        hedging: settings.parse("policy_limits.second_copies")?,
        cancellation: settings.parse("policy_limits.cancelling")?,
        probes: settings.parse("policy_limits.probes")?,
        probe_cost_share: settings.parse_or("prices.probe", 0.0)?,
        max_retry_after_s: if settings.parse("policy_limits.retry_after")? {
            max_retry_after_s
        } else {
            0.0
        },
        clock_step_s: settings.seconds("tick_ms")?,
    };
    let columns: Vec<&str> = settings.text("load_info.columns")?.split(',').collect();
    let front = FrontSettings {
        origin_s: settings.seconds("domain.origin_time_ms")?,
        position_column: columns.iter().position(|c| *c == crate::POSITION_COLUMN),
        role_column: columns.iter().position(|c| *c == crate::ROLE_COLUMN),
        subscribes: settings.text("discovery")? == "on_request",
        workloads: workloads.clone(),
    };
    let routers = settings.parse("siblings")?;
    let instance = Instance::new(
        seed,
        routers,
        workloads,
        quotas,
        fairness,
        replication,
        cold,
        drain,
        limits,
    );
    Ok((instance, front))
}

fn unknown(path: &str, value: &str, expected: &str) -> String {
    format!("setting {path} has the unknown value {value:?}, expected {expected}")
}

fn workload(settings: &FlatSettings, i: usize, need: &str, bound: f64) -> Result<Workload, String> {
    let path = |key: &str| format!("classes.{i}.{key}");
    let scope = || match settings.text(&path("group"))? {
        "all" => Ok(DedupScope::Anywhere),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Group),
        other => Err(unknown(&path("group"), other, "all, zone or cell")),
    };
    let repeat = match settings.text(&path("repeat"))? {
        "pure" => Repeat::Idempotent,
        "token" => Repeat::Deduplicated {
            scope: scope()?,
            memory_s: settings.seconds(&path("memory_span_ms"))?,
        },
        "side_effect" => Repeat::NonIdempotent,
        other => {
            return Err(unknown(
                &path("repeat"),
                other,
                "pure, token or side_effect",
            ));
        }
    };
    let consistency = match need {
        "update" => Consistency::Primary,
        "latest" => Consistency::Latest,
        "own_writes" => Consistency::OwnWrites,
        "recent" => Consistency::Recent { max_age_s: bound },
        "loose" => Consistency::Loose,
        other => {
            return Err(unknown(
                "domain.needs_by_class",
                other,
                "update, latest, own_writes, recent or loose",
            ));
        }
    };
    Ok(Workload {
        slo: settings.seconds(&path("aim_ms"))?,
        slo_stretch: settings.parse_or(&path("aim_stretch"), 0.0)?,
        timeout: settings.seconds(&path("hard_limit_ms"))?,
        importance: settings.parse(&path("importance"))?,
        late_value: settings.parse(&path("late_worth"))?,
        repeat,
        consistency,
    })
}
