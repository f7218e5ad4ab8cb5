//! An instance from the pairs that it is born with.

use crate::pairs::{Pairs, parse};
use badgerstream_routing::{
    ColdStart, Consistency, DedupScope, Drain, Fairness, Instance, PolicyLimits, Quota, Repeat,
    Replication, Workload,
};

/// What a front itself must know to read what it is told for an instance.
pub struct Reading {
    /// Seconds on the clock from which positions count.
    pub origin: f64,
    /// Where position and role stand in a load report.
    pub position_column: Option<usize>,
    pub role_column: Option<usize>,
    /// The list must be subscribed to.
    pub subscribes: bool,
    pub workloads: Vec<Workload>,
}

/// A new instance from its settings.
pub fn instance(seed: u64, pairs: &Pairs) -> Result<(Instance, Reading), String> {
    let count: usize = pairs.read("classes.count")?;
    let needs: Vec<&str> = pairs.text("domain.needs_by_class")?.split(',').collect();
    let bounds: Vec<&str> = pairs.text("domain.max_age_ms")?.split(',').collect();
    let mut workloads = Vec::new();
    for i in 0..count {
        let need = needs
            .get(i)
            .ok_or_else(|| format!("setting domain.needs_by_class has no entry {i}"))?;
        let bound = bounds
            .get(i)
            .ok_or_else(|| format!("setting domain.max_age_ms has no entry {i}"))?;
        let bound = parse::<f64>("domain.max_age_ms", bound)? / 1e3;
        workloads.push(workload(pairs, i, need, bound)?);
    }
    let beyond = pairs.read_or("over_share_worth", 1.0)?;
    let customers: usize = pairs.read_or("tenants.count", 0)?;
    let quota = |i| {
        pairs
            .read(&format!("tenants.{i}.quota_per_s"))
            .map(|per_s| Quota {
                per_s,
                excess_value: beyond,
            })
    };
    let quotas = (0..customers).map(quota).collect::<Result<_, String>>()?;
    let fairness = Fairness {
        overall: pairs.read_or("goal.whole", 1.0)?,
        worst_workload: pairs.read_or("goal.worst_class", 0.0)?,
        worst_tenant: pairs.read_or("goal.worst_tenant", 0.0)?,
    };
    let replication = Replication {
        nodes_check_freshness: pairs.text("domain.checks")? != "none",
        sessions_carry_write_age: pairs.text("domain.token_mode")? == "client",
    };
    let cold = ColdStart {
        initial_share: pairs.read("safety.cold_from")?,
        duration_s: pairs.seconds("safety.cold_ms")?,
        overload_factor: pairs.read("safety.overload_factor")?,
        window_s: pairs.seconds("safety.fall_ms")?,
    };
    let drain = Drain {
        grace_s: pairs.seconds("safety.stop_sending_within_ms")?,
        only_draining_binds: pairs.read_or("safety.only_draining_binds", false)?,
    };
    let advice = pairs.seconds("policy_limits.max_retry_after_ms")?;
    let allowance = PolicyLimits {
        max_executions: pairs.read("policy_limits.max_attempts")?,
        hedging: pairs.read("policy_limits.second_copies")?,
        cancellation: pairs.read("policy_limits.cancelling")?,
        probes: pairs.read("policy_limits.probes")?,
        probe_cost_share: pairs.read_or("prices.probe", 0.0)?,
        max_retry_after_s: if pairs.read("policy_limits.retry_after")? {
            advice
        } else {
            0.0
        },
        clock_step_s: pairs.seconds("tick_ms")?,
    };
    let columns: Vec<&str> = pairs.text("load_info.columns")?.split(',').collect();
    let reading = Reading {
        origin: pairs.seconds("domain.origin_time_ms")?,
        position_column: columns.iter().position(|c| *c == crate::POSITION),
        role_column: columns.iter().position(|c| *c == crate::ROLE),
        subscribes: pairs.text("discovery")? == "on_request",
        workloads: workloads.clone(),
    };
    let routers = pairs.read("siblings")?;
    let instance = Instance::new(
        seed,
        routers,
        workloads,
        quotas,
        fairness,
        replication,
        cold,
        drain,
        allowance,
    );
    Ok((instance, reading))
}

fn workload(pairs: &Pairs, i: usize, need: &str, bound: f64) -> Result<Workload, String> {
    let path = |key: &str| format!("classes.{i}.{key}");
    let within = || match pairs.text(&path("group"))? {
        "all" => Ok(DedupScope::Anywhere),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Group),
        other => Err(format!("setting {} is unknown: {other:?}", path("group"))),
    };
    let repeat = match pairs.text(&path("repeat"))? {
        "pure" => Repeat::Idempotent,
        "token" => Repeat::Deduplicated {
            scope: within()?,
            memory_s: pairs.seconds(&path("memory_span_ms"))?,
        },
        "side_effect" => Repeat::NonIdempotent,
        other => return Err(format!("setting {} is unknown: {other:?}", path("repeat"))),
    };
    let consistency = match need {
        "update" => Consistency::Primary,
        "latest" => Consistency::Latest,
        "own_writes" => Consistency::OwnWrites,
        "recent" => Consistency::Recent { max_age_s: bound },
        "loose" => Consistency::Loose,
        other => {
            return Err(format!(
                "setting domain.needs_by_class is unknown: {other:?}"
            ));
        }
    };
    Ok(Workload {
        slo: pairs.seconds(&path("aim_ms"))?,
        slo_stretch: pairs.read_or(&path("aim_stretch"), 0.0)?,
        timeout: pairs.seconds(&path("hard_limit_ms"))?,
        importance: pairs.read(&path("importance"))?,
        late_value: pairs.read(&path("late_worth"))?,
        repeat,
        consistency,
    })
}
