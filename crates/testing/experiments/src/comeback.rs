//! `comeback`: most routers are restarted at once, or break otherwise, while the load goes on. Real routers,
//! store and clients as processes, every link through a relay; judged by `badgerstream-process-harness`.

use crate::router::Fault;
use crate::runs::{Runs, plot, print_rules, rules};
use badgerstream_process_harness::judge::Verdict;
use badgerstream_process_harness::script::Script;
use serde::Serialize;
use serde_json::{Value, json};
use std::path::PathBuf;

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Seven in ten routers killed and started together (herd), all of them (all), killed again while they come
    /// back (again), half stopped for 5 s (pause), a third of the links to nodes cut one way (cut), restarted
    /// with lists that stay as they were while a primary changes (frozen), a tenth at a time through a change of
    /// primary (roll), one beside the others (one), all killed and then 250 clients more for each within 50 ms of its
    /// start (crowd), nothing (calm)
    #[arg(long, value_enum, default_value_t = Plan::Herd)]
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
    /// Both, one after the other, and what is bounded by the baseline
    #[arg(long, conflicts_with = "baseline")]
    pub beside: bool,
    /// A script of one's own in JSON5, in place of the plan
    #[arg(long, conflicts_with = "plan")]
    pub script: Option<PathBuf>,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Plan {
    Calm,
    Herd,
    All,
    Again,
    Pause,
    Cut,
    Frozen,
    Roll,
    One,
    Crowd,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub plan: String,
    pub seed: u64,
    pub routers: usize,
    /// With our settings; none where only the baseline was asked for.
    pub with: Option<Verdict>,
    pub baseline: Option<Verdict>,
    pub broken: Vec<String>,
}

const CALM_MS: u64 = 4000;
/// Clients that come to each router at once, where a plan has them.
const CROWD: usize = 250;

/// What a plan comes to. The store is a hard one: handshakes cost more than statements, few connections are
/// held, what starts is cold, lists run late.
pub fn script(plan: Plan, routers: usize, nodes: usize) -> Value {
    let at = |after: u64| CALM_MS + after;
    let step = |after: u64, within: u64, deed: Value| json!({"at_ms": at(after), "within_ms": within, "do": deed});
    let killed = |which: Value| {
        vec![
            step(0, 0, json!({"kill": which})),
            step(600, 100, json!({"start": "down"})),
        ]
    };
    let (steps, behind) = match plan {
        Plan::Calm => (vec![], 4000),
        Plan::Herd => (killed(json!({"share": 0.7})), 9000),
        Plan::All | Plan::Crowd => (killed(json!("all")), 9000),
        Plan::One => (killed(json!({"these": [0]})), 6000),
        Plan::Again => {
            let mut steps = killed(json!({"share": 0.7}));
            steps.push(step(1000, 0, json!({"kill": {"share": 0.5}})));
            steps.push(step(1300, 100, json!({"start": "down"})));
            (steps, 9000)
        }
        Plan::Pause => {
            let steps = vec![
                step(0, 0, json!({"stop": {"share": 0.5}})),
                step(5000, 0, json!({"continue": "same"})),
            ];
            (steps, 13000)
        }
        Plan::Cut => {
            let cut = json!({"links": {"of": "nodes", "routers": "all", "nodes": {"share": 0.34},
                             "way": "back", "fault": "drop", "for_ms": 3000}});
            let lists = json!({"links": {"of": "lists", "routers": "all", "fault": {"cut_after": 700},
                               "for_ms": 3000}});
            let mut steps = vec![step(0, 0, lists), step(0, 0, cut)];
            steps.extend(killed(json!({"share": 0.7})));
            (steps, 12000)
        }
        Plan::Frozen => {
            let mut steps = vec![step(0, 0, json!({"store": "freeze"}))];
            steps.extend(killed(json!({"share": 0.7})));
            steps.push(step(100, 0, json!({"store": {"kill": {"group": 0}}})));
            steps.push(step(500, 0, json!({"store": {"promote": {"group": 0}}})));
            steps.push(step(1000, 0, json!({"store": {"restart": {"group": 0}}})));
            steps.push(step(6000, 0, json!({"store": "thaw"})));
            (steps, 12000)
        }
        Plan::Roll => {
            let tenth = routers.div_ceil(10);
            let mut steps: Vec<Value> = (0..routers.div_ceil(tenth) as u64)
                .flat_map(|turn| {
                    let first = turn as usize * tenth;
                    let these: Vec<usize> = (first..routers.min(first + tenth)).collect();
                    let end = step(turn * 700, 0, json!({"end": {"these": these}}));
                    [
                        end,
                        step(turn * 700 + 1100, 50, json!({"start": {"these": these}})),
                    ]
                })
                .collect();
            steps.push(step(2500, 0, json!({"store": {"drain": {"group": 0}}})));
            steps.push(step(3000, 0, json!({"store": {"promote": {"group": 0}}})));
            steps.push(step(3500, 0, json!({"store": {"end_drain": {"group": 0}}})));
            (steps, 14000)
        }
    };
    // Behind the last start all are admitted, and their clients come at once.
    let crowd = (plan == Plan::Crowd)
        .then(|| json!({"at_ms": at(900), "within_ms": 50, "statements": CROWD * routers}));
    let connections = if crowd.is_some() { 20 + CROWD } else { 20 } * routers;
    json!({
        "store": {"groups": nodes.div_ceil(4), "members": 4, "service_ms": 20.0, "slots": 2, "connections": 120,
                  "handshake_ms": 40.0, "cold_from": 0.3, "cold_ms": 4000, "fall_ms": 1000,
                  "overload_factor": 2.0, "late_ms": 500},
        "routers": routers,
        "load": {"per_s": 15.0 * routers as f64, "connections": connections, "patience_ms": 2000.0,
                 "slo_ms": 400.0, "writes": 0.2, "retries": 3, "crowd": crowd},
        "notice_ms": 1000,
        "calm_ms": CALM_MS,
        "for_ms": CALM_MS + behind,
        "steps": steps,
    })
}

/// The experiment's settings: routers are named, and nodes tell of their connections.
pub fn own(routers: usize) -> String {
    let names: Vec<String> = (0..routers)
        .map(|router| format!("router-{router}"))
        .collect();
    json!({"recovery": {"routers": names, "held_field": "x4", "opened_field": "x5", "handshake_ms": 100.0, "opens_in_100ms": 4.0,
                        "linger_ms": 1000.0}})
    .to_string()
}

fn read(options: &Options) -> Result<Script, Fault> {
    let wrong = |what: String| Fault::Wrong(what);
    match &options.script {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| Fault::File(file.clone(), e))?;
            Script::read(&text).map_err(|e| wrong(format!("{}: {e}", file.display())))
        }
        None => {
            let text = script(options.plan, options.routers, options.nodes).to_string();
            Script::read(&text)
                .map_err(|e| wrong(format!("the plan makes no script of these numbers: {e}")))
        }
    }
}

/// # Errors
/// What can't be read, or a process that can't be started.
pub fn run(options: &Options) -> Result<Report, Fault> {
    let script = read(options)?;
    let own = match &options.settings {
        Some(file) => std::fs::read_to_string(file).map_err(|e| Fault::File(file.clone(), e))?,
        None => own(script.routers),
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
        plot(with.as_ref(), baseline.as_ref(), "with recovery", place)?;
    }
    let broken = broken(options, &script, with.as_ref(), baseline.as_ref());
    Ok(Report {
        plan: format!("{:?}", options.plan).to_lowercase(),
        seed: options.seed,
        routers: script.routers,
        with,
        baseline,
        broken,
    })
}

/// Which stated bounds do not hold.
fn broken(
    options: &Options,
    script: &Script,
    with: Option<&Verdict>,
    baseline: Option<&Verdict>,
) -> Vec<String> {
    let mut broken = rules([("baseline", baseline), ("with recovery", with)]);
    let Some(figures) = with.map(|verdict| &verdict.figures) else {
        return broken;
    };
    let mut holds = |fits: bool, what: String| {
        if !fits {
            broken.push(what);
        }
    };
    if matches!(options.plan, Plan::Herd | Plan::All) && options.script.is_none() {
        let burst = figures.burst_opened;
        let most = (3 * figures.calm_held).max(script.store.connections);
        holds(
            burst <= most,
            format!("{burst} connections in 100 ms at one node, {most} are allowed"),
        );
        let took = figures.full_service_ms;
        holds(
            took.is_some_and(|ms| ms <= 3000.0),
            format!("full service after {took:?} ms, 3000 are allowed"),
        );
        if let Some(before) = baseline.map(|verdict| &verdict.figures) {
            let half = before.burst_opened / 2;
            holds(
                burst <= half,
                format!("{burst} connections in 100 ms at one node, the baseline's half is {half}"),
            );
            let sooner = took.unwrap_or(f64::MAX) <= before.full_service_ms.unwrap_or(f64::MAX);
            holds(
                sooner,
                format!(
                    "full service after {took:?} ms, the baseline's {:?}",
                    before.full_service_ms
                ),
            );
        }
    }
    broken
}

/// For people.
pub fn print(report: &Report) {
    println!(
        "plan {}, seed {}, {} routers; simulated clients and nodes",
        report.plan, report.seed, report.routers
    );
    for (name, verdict) in [
        ("baseline", &report.baseline),
        ("with recovery", &report.with),
    ] {
        let Some(verdict) = verdict else { continue };
        let f = &verdict.figures;
        println!(
            "{name}: asked {}  completed {}  late {}  rejected {}  aborted {}  timed out {}  unsent {}",
            f.asked, f.completed, f.late, f.rejected, f.aborted, f.timed_out, f.unsent
        );
        println!(
            "  served {:.3} in the calm, {:.3} behind the fault; full service after {} ms",
            f.served_calm,
            f.served_after,
            f.full_service_ms
                .map_or("-".to_string(), |ms| format!("{ms:.0}"))
        );
        println!(
            "  most in 100 ms: {} connections and {} probes at a node, {} calls for lists; {} of {} connections turned away",
            f.burst_opened, f.burst_probes, f.burst_lists, f.turned_away, f.opened
        );
        println!(
            "  held in the calm {}; probes {}; executions a statement {:.2}; cold {:.2} of the bound; evenness {}",
            f.calm_held,
            f.probes,
            f.executions_each,
            f.cold_most,
            f.evenness.map_or("-".to_string(), |e| format!("{e:.3}"))
        );
        print_rules(verdict);
    }
    report
        .broken
        .iter()
        .for_each(|line| println!("BROKEN: {line}"));
}
