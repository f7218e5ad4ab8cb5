//! `cluster-fleet`: what the choices of many routers add up to, with real processes on the rig: the same bounds as
//! `fleet` has in simulated time, and both on the same small day.

use crate::router::Fault;
use crate::runs::{Runs, plot, print_rules, rules};
use badgerstream_process_harness::judge::Verdict;
use badgerstream_process_harness::script::Script;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::PathBuf;

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Nothing goes wrong (calm), from 5 routers to all within a second, then down to 3 (grow), a tenth of the routers
    /// stopped while a node hangs and wakes (stop), a third of the links to nodes lose answers (oneway), two sides that
    /// each reach half of the nodes (split), a third of the routers killed and a node of each group restarted (zone)
    #[arg(long, value_enum, default_value_t = Plan::Calm)]
    pub plan: Plan,
    #[arg(long, default_value_t = 40)]
    pub routers: usize,
    /// Nodes in all, in groups of four.
    #[arg(long, default_value_t = 12)]
    pub nodes: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The same script without our settings
    #[arg(long)]
    pub baseline: bool,
    /// Both, one after the other
    #[arg(long, conflicts_with = "baseline")]
    pub beside: bool,
    /// Settings of one's own for the routers, in place of the experiment's
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// A built `badgerstream` to start, in place of this program
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Print the script that the plan comes to, and play nothing
    #[arg(long)]
    pub print: bool,
    /// Keep configurations, logs and all that was seen in this folder
    #[arg(long)]
    pub keep: Option<PathBuf>,
    /// Draw what was served and what arrived over time
    #[arg(long)]
    pub plot: Option<PathBuf>,
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Plan {
    Calm,
    Grow,
    Stop,
    Oneway,
    Split,
    Zone,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub plan: Plan,
    pub seed: u64,
    pub routers: usize,
    pub with: Option<Verdict>,
    pub baseline: Option<Verdict>,
    pub broken: Vec<String>,
}

const CALM_MS: u64 = 4000;
const MEMBERS: usize = 4;

/// What a plan comes to, on the store of `comeback`.
pub fn script(plan: Plan, routers: usize, nodes: usize) -> Value {
    let groups = nodes.div_ceil(MEMBERS);
    let step = |after: u64, within: u64, deed: Value| json!({"at_ms": CALM_MS + after, "within_ms": within, "do": deed});
    let third: Vec<usize> = (0..routers).filter(|r| r % 3 == 0).collect();
    let each = |deed: &dyn Fn(usize) -> Value, after: u64| -> Vec<Value> {
        (0..groups)
            .map(|group| step(after, 0, json!({"store": deed(group)})))
            .collect()
    };
    let last = MEMBERS - 1;
    let (steps, behind) = match plan {
        Plan::Calm => (vec![], 8000),
        Plan::Grow => {
            let rest: Vec<usize> = (3..routers).collect();
            (
                vec![
                    step(0, 1000, json!({"start": "down"})),
                    step(9000, 0, json!({"kill": {"these": rest}})),
                ],
                17_000,
            )
        }
        Plan::Stop => {
            let mut steps = each(
                &|group| json!({"hang": {"group": group, "member": last}}),
                0,
            );
            steps.push(step(100, 0, json!({"stop": {"share": 0.1}})));
            steps.extend(each(
                &|group| json!({"wake": {"group": group, "member": last}}),
                2500,
            ));
            steps.push(step(5000, 0, json!({"continue": "same"})));
            (steps, 10_000)
        }
        Plan::Oneway => {
            let links = json!({"of": "nodes", "nodes": {"share": 0.34}, "way": "back", "fault": "drop", "for_ms": 3000});
            (vec![step(0, 0, json!({"links": links}))], 9000)
        }
        Plan::Split => {
            let half =
                |side: usize| -> Vec<usize> { (0..routers).filter(|r| r % 2 == side).collect() };
            let nodes_of = |side: usize| -> Vec<usize> {
                (0..groups * MEMBERS).filter(|n| n % 2 == side).collect()
            };
            let cut = |side: usize| {
                let links = json!({"of": "nodes", "routers": {"these": half(side)}, "nodes": {"these": nodes_of(side)},
                    "fault": "drop", "for_ms": 3000});
                step(0, 0, json!({"links": links}))
            };
            (vec![cut(0), cut(1)], 9000)
        }
        Plan::Zone => {
            let mut steps = vec![step(0, 0, json!({"kill": {"these": third}}))];
            steps.extend(each(
                &|group| json!({"kill": {"group": group, "member": last}}),
                0,
            ));
            steps.extend(each(&|group| json!({"restart": {"group": group}}), 2000));
            steps.push(step(2000, 200, json!({"start": "down"})));
            (steps, 9000)
        }
    };
    let grows = plan == Plan::Grow;
    json!({
        "store": {"groups": groups, "members": MEMBERS, "service_ms": 20.0, "slots": 2, "connections": 120,
                  "handshake_ms": 40.0, "cold_from": 0.3, "cold_ms": 4000, "fall_ms": 1000,
                  "overload_factor": 2.0, "late_ms": 500},
        "routers": routers,
        "up": if grows { 5.min(routers) } else { routers },
        "told": if grows { 5 } else { routers },
        "load": {"per_s": 50.0 * (groups * MEMBERS) as f64, "connections": 20 * routers, "patience_ms": 2000.0,
                 "slo_ms": 400.0, "writes": 0.2, "retries": 3},
        "notice_ms": 500,
        "calm_ms": CALM_MS,
        "for_ms": CALM_MS + behind,
        "steps": steps,
    })
}

/// The experiment's settings: routers are named, but where the fleet grows, and nodes tell of their connections.
pub fn own(plan: Plan, routers: usize) -> String {
    let named = plan != Plan::Grow;
    let names: Vec<String> = (0..routers)
        .filter(|_| named)
        .map(|router| format!("router-{router}"))
        .collect();
    json!({
        "recovery": {"routers": names, "held_field": "x4", "opened_field": "x5", "handshake_ms": 100.0,
                     "opens_in_100ms": 4.0, "linger_ms": 1000.0},
        "fleet": {"routers": names, "held_field": "x4", "subset": 2, "little_per_s": 20.0},
    })
    .to_string()
}

/// # Errors
/// What can't be read, or a process that can't be started.
pub fn run(options: &Options) -> Result<Report, Fault> {
    let text = script(options.plan, options.routers, options.nodes).to_string();
    let script = Script::read(&text)
        .map_err(|e| Fault::Wrong(format!("the plan makes no script of these numbers: {e}")))?;
    let own = match &options.settings {
        Some(file) => std::fs::read_to_string(file).map_err(|e| Fault::File(file.clone(), e))?,
        None => own(options.plan, options.routers),
    };
    let runs = Runs {
        script: &script,
        own: &own,
        seed: options.seed,
        router: options.router.as_deref(),
        keep: options.keep.as_deref(),
    };
    let (with, baseline) = runs.play(options.baseline, options.beside)?;
    if let Some(place) = &options.plot {
        plot(with.as_ref(), baseline.as_ref(), "with our settings", place)?;
    }
    let broken = broken(options.plan, with.as_ref(), baseline.as_ref());
    Ok(Report {
        plan: options.plan,
        seed: options.seed,
        routers: options.routers,
        with,
        baseline,
        broken,
    })
}

/// Which stated bounds do not hold.
fn broken(plan: Plan, with: Option<&Verdict>, baseline: Option<&Verdict>) -> Vec<String> {
    let mut broken = rules([("baseline", baseline), ("with our settings", with)]);
    let Some(figures) = with.map(|verdict| &verdict.figures) else {
        return broken;
    };
    let mut holds = |fits: bool, what: String| {
        if !fits {
            broken.push(what);
        }
    };
    let (refused, probes) = (figures.refused_share, figures.probes_each);
    match plan {
        Plan::Calm => {
            holds(
                refused < 0.05,
                format!("{refused:.3} refused, under 0.05 is allowed"),
            );
            holds(
                probes < 0.05,
                format!("{probes:.3} probes a statement, under 0.05 is allowed"),
            );
        }
        Plan::Grow => {
            let least = figures.evenness_least;
            holds(
                least.is_some_and(|least| least >= 0.95),
                format!("evenness {least:?}, at least 0.95 is asked for"),
            );
        }
        Plan::Stop | Plan::Oneway | Plan::Split | Plan::Zone => {}
    }
    if let Some(before) = baseline.map(|verdict| &verdict.figures) {
        let (served, was) = (figures.served_after, before.served_after);
        holds(
            served >= was - 0.05,
            format!("{served:.3} served behind the fault, the baseline {was:.3}"),
        );
        holds(
            probes <= before.probes_each,
            format!("{probes:.3} probes, the baseline {:.3}", before.probes_each),
        );
    }
    broken
}

/// For people.
pub fn print(report: &Report) {
    println!(
        "plan {:?}, seed {}, {} routers; simulated clients and nodes",
        report.plan, report.seed, report.routers
    );
    for (name, verdict) in [
        ("baseline", &report.baseline),
        ("with our settings", &report.with),
    ] {
        let Some(verdict) = verdict else { continue };
        let f = &verdict.figures;
        println!(
            "{name}: served {:.3} in the calm, {:.3} behind  refused {:.3}  probes {:.3}  opened {:.3}  executions {:.2} a statement",
            f.served_calm,
            f.served_after,
            f.refused_share,
            f.probes_each,
            f.opened_each,
            f.executions_each
        );
        println!(
            "  most in 100 ms at a node: {} connections, {} probes; {} turned away; evenness {}; {} pairs in the calm; cold {:.2} of the bound",
            f.burst_opened,
            f.burst_probes,
            f.turned_away,
            f.evenness_least
                .map_or("-".to_string(), |e| format!("{e:.3}")),
            f.pairs_calm,
            f.cold_most
        );
        print_rules(verdict);
    }
    report
        .broken
        .iter()
        .for_each(|line| println!("BROKEN: {line}"));
}
