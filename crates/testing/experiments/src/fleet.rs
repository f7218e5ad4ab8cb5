//! `fleet`: what the choices of hundreds of routers add up to, in simulated time. Real `routing::Instance`s against
//! a plain model (`crowd`), with the settings' part `fleet` and without it. All figures are of a simulated store.

use crate::crowd::{Do, Of, Ran, Second, Shape, play};
use crate::router::Fault;
use badgerstream_router_config::RouterSettings;
use plotters::prelude::*;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Nothing goes wrong (calm), seven in ten routers and an eighth of the nodes restarted (herd), a zone's routers
    /// and nodes lost for 5 s (zone), a third of the routers cut off from a third of the nodes (split), six in ten
    /// nodes replaced (join), one router with twenty times the mean beside one with hardly any, swapped (uneven),
    /// from 5 routers to all within a second, then down to 3 (grow)
    #[arg(long, value_enum, default_value_t = Plan::Calm)]
    pub plan: Plan,
    #[arg(long, default_value_t = 300)]
    pub routers: usize,
    /// Nodes in all, in groups of four.
    #[arg(long, default_value_t = 120)]
    pub nodes: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Statements a second over all routers; without it 25 for each node
    #[arg(long)]
    pub per_s: Option<f64>,
    /// The same without our settings
    #[arg(long)]
    pub baseline: bool,
    /// Both, side by side
    #[arg(long, conflicts_with = "baseline")]
    pub beside: bool,
    /// 3, 30, 300 and 1,000 routers under the same load, with our settings and without
    #[arg(long, conflicts_with_all = ["baseline", "beside"])]
    pub scale: bool,
    /// Settings of one's own for the routers, in place of the experiment's
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// Draw refusals, probes and connections over time, or with --scale over the number of routers
    #[arg(long)]
    pub plot: Option<PathBuf>,
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Plan {
    Calm,
    Herd,
    Zone,
    Split,
    Join,
    Uneven,
    Grow,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub asked: usize,
    /// The share of the worth due that was completed in time, in all and behind the fault.
    pub served: f64,
    pub served_after: f64,
    pub refused_share: f64,
    pub probes_each: f64,
    /// Connections opened and executions, for each statement.
    pub opened_each: f64,
    pub executions_each: f64,
    pub copies: usize,
    pub turned_away: usize,
    pub stale: usize,
    pub lost: usize,
    pub cold_most: f64,
    /// The most and the fewest executions of a node, over the mean, in a run without faults.
    pub node_spread: (f64, f64),
    /// Pairs of a router and a node that hold a connection at the end.
    pub pairs: usize,
    /// From the last start to the first second from which on 95 % of the former share is served for 3 s.
    pub full_service_s: Option<f64>,
    /// The least evenness of served shares per unit of demand (Jain's index) in any second counted.
    pub evenness_least: f64,
    /// Final answers of ours, by what truly stood in the way.
    pub refusals: BTreeMap<&'static str, usize>,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub plan: Plan,
    pub seed: u64,
    pub routers: usize,
    pub nodes: usize,
    pub per_s: f64,
    pub with: Option<Figures>,
    pub baseline: Option<Figures>,
    /// With `--scale`: routers, then with our settings and without.
    pub scale: Vec<(usize, Figures, Figures)>,
    pub broken: Vec<String>,
}

const MEMBERS: usize = 4;
/// Nothing goes wrong before this; what a calm second is like comes from behind the first three seconds.
const CALM_S: f64 = 10.0;
const WARM_UP_S: usize = 3;
/// Routers whose demand in a second is under this worth say nothing of fairness.
const LEAST_DEMAND: f64 = 8.0;

fn shape(options: &Options, routers: usize) -> Shape {
    let groups = options.nodes.div_ceil(MEMBERS);
    Shape {
        routers,
        told: if options.plan == Plan::Grow {
            5
        } else {
            routers
        },
        groups,
        members: MEMBERS,
        slots: 2,
        service_s: 0.02,
        handshake_s: 0.04,
        connections: (3 * routers).max(16),
        cold_from: 0.3,
        cold_s: 4.0,
        factor: 2.0,
        window_s: 1.0,
        late_s: 1.0,
        lag_s: 0.02,
        per_s: options.per_s.unwrap_or(25.0 * options.nodes as f64),
        writes: 0.2,
        patience_s: 2.0,
        slo_s: 0.4,
        retries: 3,
        length_s: if options.plan == Plan::Calm {
            30.0
        } else {
            36.0
        },
    }
}

/// What a plan does, and how many routers are up at first.
fn deeds(plan: Plan, shape: &Shape, seed: u64) -> (Vec<(f64, Do)>, usize) {
    let mut chance = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut some = |count: usize, share: f64| {
        let mut all: Vec<usize> = (0..count).collect();
        chance.shuffle(&mut all);
        all.truncate((share * count as f64).round() as usize);
        all.sort_unstable();
        all
    };
    let (routers, nodes) = (shape.routers, shape.groups * shape.members);
    let third = |of: usize| (0..of).filter(|i| i % 3 == 0).collect::<Vec<_>>();
    let deeds = match plan {
        Plan::Calm => vec![],
        Plan::Herd => {
            let (these, cold) = (some(routers, 0.7), some(nodes, 0.125));
            vec![
                (CALM_S, Do::KillRouters(these.clone())),
                (CALM_S, Do::KillNodes(cold.clone())),
                (CALM_S + 0.6, Do::StartRouters(these)),
                (CALM_S + 1.0, Do::StartNodes(cold)),
            ]
        }
        Plan::Zone => vec![
            (CALM_S, Do::KillRouters(third(routers))),
            (CALM_S, Do::KillNodes(third(nodes))),
            (CALM_S + 5.0, Do::StartNodes(third(nodes))),
            (CALM_S + 5.0, Do::StartRouters(third(routers))),
        ],
        Plan::Split => {
            vec![
                (CALM_S, Do::Cut(third(routers), third(nodes))),
                (CALM_S + 6.0, Do::Heal),
            ]
        }
        Plan::Join => {
            let these = some(nodes, 0.6);
            let step = |(i, node): (usize, &usize)| {
                let at = CALM_S + 7.0 * i as f64 / these.len() as f64;
                [
                    (at, Do::KillNodes(vec![*node])),
                    (at + 1.0, Do::StartNodes(vec![*node])),
                ]
            };
            these.iter().enumerate().flat_map(step).collect()
        }
        Plan::Uneven => {
            let weights = |big: usize, small: usize| {
                let weight = |i| {
                    if i == big {
                        20.0
                    } else if i == small {
                        0.002
                    } else {
                        1.0
                    }
                };
                Do::Weights((0..routers).map(weight).collect())
            };
            vec![
                (0.0, weights(0, routers - 1)),
                (CALM_S + 3.0, weights(routers - 1, 0)),
            ]
        }
        Plan::Grow => vec![
            (CALM_S, Do::StartRouters((5..routers).collect())),
            (CALM_S + 12.0, Do::KillRouters((3..routers).collect())),
        ],
    };
    let up = if plan == Plan::Grow {
        5.min(routers)
    } else {
        routers
    };
    let mut deeds = deeds;
    deeds.sort_by(|a, b| a.0.total_cmp(&b.0));
    (deeds, up)
}

/// The experiment's settings: routers are named, but where the fleet grows.
fn own(options: &Options, routers: usize) -> Result<RouterSettings, Fault> {
    let text = match &options.settings {
        Some(file) => std::fs::read_to_string(file).map_err(|e| Fault::File(file.clone(), e))?,
        None => {
            let named = options.plan != Plan::Grow;
            let names: Vec<String> = (0..routers)
                .filter(|_| named)
                .map(|r| format!("router-{r}"))
                .collect();
            json!({"fleet": {"routers": names, "held_field": "x4", "subset": 2, "little_per_s": 5.0}})
                .to_string()
        }
    };
    RouterSettings::parse(&text, 1 << 20).map_err(|e| Fault::Wrong(e.to_string()))
}

fn share(seconds: &[Second]) -> f64 {
    let sum = |of: fn(&Second) -> f64| seconds.iter().map(of).sum::<f64>();
    sum(|s| s.served) / sum(|s| s.due).max(f64::MIN_POSITIVE)
}

/// Jain's index of what each was served of what it asked.
fn evenness(of: &[Of]) -> f64 {
    let parts: Vec<f64> = of
        .iter()
        .filter(|o| o.demand >= LEAST_DEMAND)
        .map(|o| o.served / o.demand)
        .collect();
    let (sum, squares) = (
        parts.iter().sum::<f64>(),
        parts.iter().map(|p| p * p).sum::<f64>(),
    );
    if squares > 0.0 {
        sum * sum / (parts.len() as f64 * squares)
    } else {
        1.0
    }
}

/// Over three seconds, as a second of one router is a handful of statements.
fn evenness_around(seconds: &[Second]) -> f64 {
    let routers = seconds.first().map_or(0, |s| s.by_router.len());
    let sum = |r: usize| {
        let add = |sum: Of, s: &Second| Of {
            demand: sum.demand + s.by_router[r].demand,
            served: sum.served + s.by_router[r].served,
        };
        seconds.iter().fold(Of::default(), add)
    };
    evenness(&(0..routers).map(sum).collect::<Vec<_>>())
}

fn figures(ran: &Ran, plan: Plan, deeds: &[(f64, Do)]) -> Figures {
    // What is due in the last seconds has no time to end, and the first ones open what later ones use.
    let end = ran.seconds.len().saturating_sub(2);
    let counted = &ran.seconds[WARM_UP_S.min(end)..end];
    let count = |of: fn(&Second) -> usize| counted.iter().map(of).sum::<usize>();
    let asked = count(|s| s.asked).max(1);
    let fault = if plan == Plan::Calm {
        WARM_UP_S
    } else {
        CALM_S as usize
    };
    let calm = share(&ran.seconds[WARM_UP_S..CALM_S as usize]);
    let last = deeds
        .iter()
        .rfind(|d| matches!(d.1, Do::StartRouters(_) | Do::Heal | Do::StartNodes(_)));
    let last = last.map(|deed| deed.0);
    let whole = |from: usize| from + 3 <= end && share(&ran.seconds[from..from + 3]) >= 0.95 * calm;
    let full = last.and_then(|last| {
        (last.ceil() as usize..end)
            .find(|from| whole(*from))
            .map(|s| s as f64 - last)
    });
    let evens = (fault + 3..end.saturating_sub(2)).map(|s| evenness_around(&ran.seconds[s..s + 3]));
    let mean = ran.by_node.iter().sum::<usize>() as f64 / ran.by_node.len().max(1) as f64;
    let spread = |of: Option<&usize>| of.map_or(0.0, |most| *most as f64 / mean.max(1.0));
    Figures {
        asked,
        served: share(counted),
        served_after: share(&ran.seconds[fault..end]),
        refused_share: count(|s| s.refused) as f64 / asked as f64,
        probes_each: count(|s| s.probes) as f64 / asked as f64,
        opened_each: count(|s| s.opened) as f64 / asked as f64,
        executions_each: ran.executions as f64
            / ran.seconds.iter().map(|s| s.asked).sum::<usize>().max(1) as f64,
        copies: ran.copies,
        turned_away: ran.turned_away,
        stale: ran.stale,
        lost: ran.lost,
        cold_most: ran.cold_most,
        node_spread: (
            spread(ran.by_node.iter().max()),
            spread(ran.by_node.iter().min()),
        ),
        pairs: ran.pairs,
        full_service_s: full,
        evenness_least: evens.fold(1.0, f64::min),
        refusals: ran.refusals.clone(),
    }
}

/// # Errors
/// Settings that can't be read, or a plot that can't be written.
pub fn run(options: &Options) -> Result<Report, Fault> {
    if options.routers < 3
        || options.nodes < MEMBERS
        || options.routers > 5000
        || options.nodes > 2000
    {
        return Err(Fault::Wrong(
            "it takes 3 to 5000 routers and 4 to 2000 nodes".to_string(),
        ));
    }
    if options
        .per_s
        .is_some_and(|per_s| !(1.0..=100_000.0).contains(&per_s))
    {
        return Err(Fault::Wrong(
            "it takes 1 to 100000 statements a second".to_string(),
        ));
    }
    let played = |routers: usize, with: bool| {
        let (shape, own) = (shape(options, routers), own(options, routers)?);
        let (deeds, up) = deeds(options.plan, &shape, options.seed);
        let own = if with { own } else { RouterSettings::default() };
        let ran = play(&shape, &deeds, &own, up, options.seed).map_err(Fault::Wrong)?;
        Ok::<(Figures, Ran), Fault>((figures(&ran, options.plan, &deeds), ran))
    };
    let (mut scale, mut with, mut baseline) = (Vec::new(), None, None);
    if options.scale {
        for routers in [3, 30, 300, 1000] {
            scale.push((routers, played(routers, true)?.0, played(routers, false)?.0));
        }
    } else {
        let both = options.beside;
        with = (!options.baseline)
            .then(|| played(options.routers, true))
            .transpose()?;
        baseline = (options.baseline || both)
            .then(|| played(options.routers, false))
            .transpose()?;
    }
    if let Some(place) = &options.plot {
        let over_time = |ran: &Ran, of: fn(&Second) -> f64| {
            ran.seconds
                .iter()
                .enumerate()
                .map(|(at, s)| (at as f64, of(s)))
                .collect::<Vec<_>>()
        };
        let lines = |of: fn(&Second) -> f64, by: fn(&Figures) -> f64| {
            let with_line = with.as_ref().map(|w| ("with", over_time(&w.1, of)));
            let without = baseline.as_ref().map(|b| ("without", over_time(&b.1, of)));
            if options.scale {
                let line = |name, pick: fn(&(usize, Figures, Figures)) -> &Figures| {
                    (
                        name,
                        scale
                            .iter()
                            .map(|row| ((row.0 as f64).log10(), by(pick(row))))
                            .collect(),
                    )
                };
                return vec![line("with", |row| &row.1), line("without", |row| &row.2)];
            }
            with_line.into_iter().chain(without).collect()
        };
        let panels = [
            (
                "Served share of the worth due",
                lines(|s| s.served / s.due.max(1e-9), |f| f.served),
            ),
            (
                "Refused, for each statement",
                lines(
                    |s| s.refused as f64 / s.asked.max(1) as f64,
                    |f| f.refused_share,
                ),
            ),
            (
                "Probes, for each statement",
                lines(
                    |s| s.probes as f64 / s.asked.max(1) as f64,
                    |f| f.probes_each,
                ),
            ),
            (
                "Connections opened, for each statement",
                lines(
                    |s| s.opened as f64 / s.asked.max(1) as f64,
                    |f| f.opened_each,
                ),
            ),
        ];
        let along = if options.scale {
            "routers, powers of ten"
        } else {
            "seconds"
        };
        plot(&panels, along, place).map_err(Fault::Wrong)?;
    }
    let (with, baseline) = (with.map(|w| w.0), baseline.map(|b| b.0));
    let broken = broken(options.plan, with.as_ref(), baseline.as_ref(), &scale);
    let per_s = shape(options, options.routers).per_s;
    let (routers, nodes) = (options.routers, options.nodes);
    Ok(Report {
        plan: options.plan,
        seed: options.seed,
        routers,
        nodes,
        per_s,
        with,
        baseline,
        scale,
        broken,
    })
}

/// Which stated bounds do not hold.
fn broken(
    plan: Plan,
    with: Option<&Figures>,
    baseline: Option<&Figures>,
    scale: &[(usize, Figures, Figures)],
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut holds = |fits: bool, what: String| {
        if !fits {
            broken.push(what);
        }
    };
    let all = with
        .into_iter()
        .chain(baseline)
        .chain(scale.iter().flat_map(|row| [&row.1, &row.2]));
    for figures in all {
        holds(
            figures.stale == 0,
            format!("{} reads did not show their session's write", figures.stale),
        );
        holds(
            figures.cold_most <= 1.0,
            format!(
                "a cold node was sent {:.2} of what it bears",
                figures.cold_most
            ),
        );
    }
    let Some(f) = with else { return broken };
    match plan {
        Plan::Calm => {
            holds(
                f.refused_share < 0.05,
                format!("{:.3} refused, under 0.05 is allowed", f.refused_share),
            );
            holds(
                f.probes_each < 0.05,
                format!(
                    "{:.3} probes a statement, under 0.05 is allowed",
                    f.probes_each
                ),
            );
        }
        Plan::Herd => {
            let took = f.full_service_s;
            holds(
                took.is_some_and(|s| s <= 5.0),
                format!("full service after {took:?} s, 5 are allowed"),
            );
        }
        Plan::Grow => {
            let least = f.evenness_least;
            holds(
                least >= 0.95,
                format!("evenness {least:.3}, at least 0.95 is asked for"),
            );
        }
        Plan::Zone | Plan::Split | Plan::Join | Plan::Uneven => {}
    }
    broken
}

type Panel = (&'static str, Vec<(&'static str, Vec<(f64, f64)>)>);

fn plot(panels: &[Panel], along: &str, place: &Path) -> Result<(), String> {
    fn told(e: impl std::fmt::Display) -> String {
        e.to_string()
    }
    let area = SVGBackend::new(place, (960, 1000)).into_drawing_area();
    area.fill(&WHITE).map_err(told)?;
    for (part, (title, lines)) in area.split_evenly((panels.len(), 1)).iter().zip(panels) {
        let points = || lines.iter().flat_map(|line| &line.1);
        let right = points().map(|p| p.0).fold(1.0, f64::max);
        let top = points().map(|p| p.1).fold(0.01, f64::max);
        let mut chart = ChartBuilder::on(part)
            .caption(*title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.1)
            .map_err(told)?;
        chart
            .configure_mesh()
            .x_desc(along)
            .light_line_style(WHITE)
            .draw()
            .map_err(told)?;
        for ((name, points), colour) in lines
            .iter()
            .zip([RGBColor(31, 92, 171), RGBColor(196, 56, 42)])
        {
            let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour);
            chart
                .draw_series(line)
                .map_err(told)?
                .label(*name)
                .legend(legend);
        }
        let mut labels = chart.configure_series_labels();
        labels
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(told)?;
    }
    area.present().map_err(told)
}

/// For people.
pub fn print(report: &Report) {
    println!(
        "plan {:?}, seed {}, {} routers, {} nodes, {:.0} statements a second; a simulated store in simulated time",
        report.plan, report.seed, report.routers, report.nodes, report.per_s
    );
    let line = |name: &str, f: &Figures| {
        println!(
            "{name}: served {:.3} ({:.3} behind the fault)  refused {:.3}  probes {:.3}  opened {:.3}  executions {:.2} a statement",
            f.served,
            f.served_after,
            f.refused_share,
            f.probes_each,
            f.opened_each,
            f.executions_each
        );
        println!(
            "  full service after {} s; evenness {:.3}; cold {:.2} of the bound; nodes {:.2} to {:.2} of the mean; {} pairs; {} copies; {} turned away; {} lost; stale {}",
            f.full_service_s
                .map_or("-".to_string(), |s| format!("{s:.1}")),
            f.evenness_least,
            f.cold_most,
            f.node_spread.1,
            f.node_spread.0,
            f.pairs,
            f.copies,
            f.turned_away,
            f.lost,
            f.stale
        );
        println!("  refused while: {:?}", f.refusals);
    };
    report.baseline.iter().for_each(|f| line("without", f));
    report.with.iter().for_each(|f| line("with", f));
    for (routers, with, without) in &report.scale {
        println!("{routers} routers");
        line("without", without);
        line("with", with);
    }
    report
        .broken
        .iter()
        .for_each(|line| println!("BROKEN: {line}"));
}
