//! badgerstream-load: the command line.

use badgerstream_load_generator::arrivals::{Arrivals, pieces};
use badgerstream_load_generator::compare::{self, Comparison};
use badgerstream_load_generator::count::Summary;
use badgerstream_load_generator::run::{self, Played, Setup};
use badgerstream_load_generator::scenario::Scenario;
use badgerstream_load_generator::search::{Bounds, Found, Search, Step, Verdict};
use badgerstream_load_generator::series::Series;
use badgerstream_load_generator::trace::{Change, Survey};
use badgerstream_load_generator::{keep, plot, record};
use clap::{Args, Parser, Subcommand};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Exit codes beside 0: wrong input is 2, as everywhere.
const DIFFERS: u8 = 1;
const WRONG: u8 = 2;
const BOTTLENECK: u8 = 3;
const NOWHERE: u8 = 4;
const INTERRUPTED: u8 = 130;

#[derive(Parser)]
#[command(
    name = "badgerstream-load",
    version,
    about = "Open-loop load, counted without coordinated omission",
    after_help = "Exit codes: 0 done; 1 compare found a difference beyond noise (with --exit-code); 2 wrong input; \
                  3 the generator itself was the bottleneck; 4 no rate holds the service level; 130 interrupted"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario, or search for the highest rate at which its SLO times hold
    Run(RunOptions),
    /// Send a recorded trace again: cut, faster or slower, several times over
    Replay(ReplayOptions),
    /// Stand between clients and a server and write down every statement
    Record {
        /// Where clients connect
        #[arg(long)]
        listen: SocketAddr,
        /// The server that everything is passed on to
        #[arg(long)]
        to: SocketAddr,
        /// The trace: .csv, .jsonl or .parquet; must not be there yet
        #[arg(long)]
        out: PathBuf,
    },
    /// Tell what is in a trace, or what a kept run came to
    Inspect {
        /// A trace or a run's folder
        what: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Tell how run B differs from run A, and whether by more than noise
    Compare(CompareOptions),
    /// Draw latency by percentile, latency over time, and outcomes, as SVG
    Plot {
        /// One run's folder, or two that are laid over each other
        #[arg(num_args = 1..=2, required = true)]
        runs: Vec<PathBuf>,
        /// Where the pictures go; a single run's own folder if left out
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long)]
        workload: Option<String>,
        /// Stretches of time, in seconds
        #[arg(long, default_value_t = 1.0)]
        window: f64,
    },
    /// Say what a scenario would send, or what is wrong with it, without sending
    Check { scenario: PathBuf },
}

#[derive(Args)]
struct RunOptions {
    scenario: PathBuf,
    /// A folder for the scenario as played, the summary, histograms and every statement
    #[arg(long)]
    out: Option<PathBuf>,
    /// Another server than the scenario names
    #[arg(long)]
    target: Option<SocketAddr>,
    #[arg(long)]
    seed: Option<u64>,
    /// All rates multiplied
    #[arg(long, default_value_t = 1.0)]
    faster: f64,
    /// So many clients that wait for their answers instead: hides stalls, for comparison only
    #[arg(long, conflicts_with = "search")]
    closed: Option<usize>,
    /// Find the highest rate at which the stated share completes within its SLO time
    #[arg(long)]
    search: bool,
    /// The share of statements that must complete within their workload's SLO time
    #[arg(long, default_value_t = 0.99, requires = "search")]
    share: f64,
    /// How well the rate is to be found, as a part of it
    #[arg(long, default_value_t = 0.05, requires = "search")]
    precision: f64,
    /// The highest rate to try, statements a second
    #[arg(long, default_value_t = 200_000.0, requires = "search")]
    most: f64,
}

#[derive(Args)]
struct ReplayOptions {
    /// .csv, .jsonl or .parquet, or a kept run's folder
    trace: PathBuf,
    #[arg(long)]
    target: SocketAddr,
    #[arg(long)]
    out: Option<PathBuf>,
    /// 2 is twice as fast
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Sessions that begin from here on, in seconds of the trace
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Sessions that begin before this
    #[arg(long)]
    until: Option<f64>,
    /// Copies, each with keys and sessions of its own
    #[arg(long, default_value_t = 1)]
    times: u32,
    /// A copy's sessions begin up to so many milliseconds later
    #[arg(long, default_value_t = 0.0)]
    spread_ms: f64,
    /// Send recorded clients' own further attempts as well
    #[arg(long)]
    with_retries: bool,
    /// Send what can be sent, and tell what could not
    #[arg(long)]
    skip_broken: bool,
    /// A scenario whose connections and retries are used; its traffic is not
    #[arg(long)]
    as_in: Option<PathBuf>,
    #[arg(long)]
    threads: Option<usize>,
    #[arg(long)]
    connections: Option<usize>,
    #[arg(long, default_value_t = 0)]
    seed: u64,
}

#[derive(Args)]
struct CompareOptions {
    /// A run's folder, or several of the same kind with commas between
    #[arg(value_delimiter = ',', num_args = 1)]
    a: Vec<PathBuf>,
    #[arg(value_delimiter = ',', num_args = 1)]
    b: Vec<PathBuf>,
    /// Of this workload alone
    #[arg(long)]
    workload: Option<String>,
    /// Stretches of time, in seconds
    #[arg(long, default_value_t = 1.0)]
    window: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    json: bool,
    /// Exit with 1 where a difference exceeds noise
    #[arg(long)]
    exit_code: bool,
}

type Done = Result<ExitCode, String>;

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(options) if options.search => search(&options),
        Command::Run(options) => play(&options),
        Command::Replay(options) => replay(&options),
        Command::Record { listen, to, out } => recording(listen, to, &out),
        Command::Inspect { what, json } => inspect(&what, json),
        Command::Compare(options) => comparing(&options),
        Command::Plot {
            runs,
            out,
            workload,
            window,
        } => plotting(&runs, out.as_deref(), workload.as_deref(), window),
        Command::Check { scenario } => read(&scenario).map(|(_, scenario)| {
            tell(&scenario);
            ExitCode::SUCCESS
        }),
    };
    done.unwrap_or_else(|problem| {
        eprintln!("badgerstream-load: {problem}");
        ExitCode::from(WRONG)
    })
}

fn words(fault: impl std::fmt::Display) -> String {
    fault.to_string()
}

fn read(file: &Path) -> Result<(String, Scenario), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let scenario = Scenario::read(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok((text, scenario))
}

/// The first SIGINT or SIGTERM: nothing more is begun; the second: what is open is given up.
fn stop() -> Result<Arc<AtomicU8>, String> {
    let stop = Arc::new(AtomicU8::new(0));
    let told = stop.clone();
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGTERM,
    ])
    .map_err(words)?;
    std::thread::spawn(move || {
        for _ in &mut signals {
            if told.fetch_add(1, Ordering::Relaxed) > 1 {
                // Two were not enough.
                std::process::exit(i32::from(INTERRUPTED));
            }
        }
    });
    Ok(stop)
}

fn setup(closed: Option<usize>) -> Result<Setup, String> {
    run::descriptors();
    Ok(Setup {
        run: fastrand::u64(..),
        closed,
        stop: stop()?,
        progress: true,
    })
}

fn tell(scenario: &Scenario) {
    for (number, phase) in scenario.phases.iter().enumerate() {
        let expected: f64 = pieces(phase)
            .iter()
            .map(badgerstream_load_generator::arrivals::Piece::mass)
            .sum();
        let kind = if phase.random {
            "at random"
        } else {
            "evenly spaced"
        };
        let bunches = phase.together.map_or(String::new(), |together| {
            format!(
                ", {} at a time within {} ms",
                together.statements, together.within_ms
            )
        });
        println!(
            "phase {number} {}: {:.1} s, {expected:.0} statements expected, {kind}{bunches}",
            phase.name,
            phase.for_ms / 1e3
        );
    }
    let drawn = Arrivals::new(&scenario.phases, scenario.seed).count();
    println!(
        "with seed {}: {drawn} statements, sessions' own reads not counted",
        scenario.seed
    );
    let whole: f64 = scenario.workloads.iter().map(|w| w.share).sum();
    for w in &scenario.workloads {
        match &w.follows {
            None => println!("workload {}: {:.1} %", w.name, w.share / whole * 1e2),
            Some(f) => println!(
                "workload {}: {} read(s) behind {:.0} % of {}",
                w.name,
                f.times,
                f.chance * 1e2,
                f.of
            ),
        }
    }
}

fn play(options: &RunOptions) -> Done {
    let (text, scenario) = scenario(options)?;
    if options.closed == Some(0) {
        return Err("--closed needs a client".to_string());
    }
    let setup = setup(options.closed)?;
    let text = played(&text, options);
    let folder = options.out.as_deref().map(|path| (path, text.as_str()));
    let played = run::play(&scenario, &setup, folder).map_err(words)?;
    finish(&played)
}

/// The scenario as the options change it.
fn scenario(options: &RunOptions) -> Result<(String, Scenario), String> {
    let (text, scenario) = read(&options.scenario)?;
    if !options.faster.is_finite() || options.faster <= 0.0 {
        return Err("--faster needs a positive number".to_string());
    }
    let mut scenario = scenario.faster(options.faster);
    scenario.target = options.target.unwrap_or(scenario.target);
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    if let Some((path, why)) = scenario.fault() {
        return Err(format!("with --faster {}: {path} {why}", options.faster));
    }
    Ok((text, scenario))
}

/// The scenario's text with what the command line changed told on top.
fn played(text: &str, options: &RunOptions) -> String {
    let mut top = String::new();
    if options.faster != 1.0 {
        top += &format!("// played with all rates times {}\n", options.faster);
    }
    if let Some(target) = options.target {
        top += &format!("// played against {target}\n");
    }
    if let Some(seed) = options.seed {
        top += &format!("// played with seed {seed}\n");
    }
    if let Some(clients) = options.closed {
        top += &format!("// played as a CLOSED LOOP of {clients} clients, for comparison only\n");
    }
    top + text
}

fn finish(played: &Played) -> Done {
    warn(&played.summary);
    println!(
        "{}",
        serde_json::to_string_pretty(&played.summary).map_err(words)?
    );
    Ok(ExitCode::from(match &played.summary {
        summary if summary.interrupted => INTERRUPTED,
        summary if summary.bottleneck => BOTTLENECK,
        _ => 0,
    }))
}

fn warn(summary: &Summary) {
    for why in &summary.why {
        eprintln!("badgerstream-load: THE GENERATOR WAS THE BOTTLENECK: {why}");
    }
    if summary.loop_kind == "closed" {
        eprintln!(
            "badgerstream-load: a closed loop waits with its server and hides stalls: for comparison only"
        );
    }
    if summary.interrupted {
        eprintln!("badgerstream-load: interrupted: this is what was measured until then");
    }
}

fn search(options: &RunOptions) -> Done {
    let (_, scenario) = scenario(options)?;
    if !(0.0..=1.0).contains(&options.share) || !(0.001..1.0).contains(&options.precision) {
        return Err("--share is from 0 to 1, --precision from 0.001 up to 1".to_string());
    }
    if options.out.is_some() {
        return Err(
            "--search keeps no run; play the rate that it finds with --faster and --out"
                .to_string(),
        );
    }
    let mean = pieces_of(&scenario) / scenario.seconds();
    if mean <= 0.0 {
        return Err("the scenario sends nothing that could be made faster".to_string());
    }
    let mut setup = setup(None)?;
    setup.progress = false;
    let bounds = Bounds {
        first: mean,
        least: mean / 1024.0,
        most: options.most,
        precision: options.precision,
        confirm: 1,
        plays: 40,
    };
    let mut search = Search::new(bounds);
    loop {
        let rate = match search.next() {
            Step::Done(found) => {
                println!("{}", serde_json::to_string_pretty(&found).map_err(words)?);
                let limited = matches!(
                    found,
                    Found::AtLeast {
                        limited_by_generator: true,
                        ..
                    }
                );
                let code = match found {
                    Found::Nowhere { .. } => NOWHERE,
                    _ if limited => BOTTLENECK,
                    _ => 0,
                };
                return Ok(ExitCode::from(code));
            }
            Step::Play(rate) => rate,
        };
        setup.run = fastrand::u64(..);
        let mut faster = scenario.faster(rate / mean);
        // Another draw for each play: a rate must not hold by the luck of one.
        faster.seed = scenario.seed.wrapping_add(setup.run);
        let played = run::play(&faster, &setup, None).map_err(words)?;
        let summary = &played.summary;
        if summary.interrupted {
            eprintln!(
                "badgerstream-load: interrupted while it searched; the rates so far stand above"
            );
            return Ok(ExitCode::from(INTERRUPTED));
        }
        let share = summary.outcomes().completed as f64 / (summary.statements as f64).max(1.0);
        let verdict = match () {
            () if share >= options.share => Verdict::Held,
            () if summary.bottleneck => Verdict::Limited,
            () => Verdict::Broken,
        };
        eprintln!(
            "{rate:.0} a second: {:.3} % within their SLO times, {verdict:?}",
            share * 1e2
        );
        search.told(rate, verdict);
    }
}

/// Statements expected over the whole scenario.
fn pieces_of(scenario: &Scenario) -> f64 {
    scenario
        .phases
        .iter()
        .flat_map(pieces)
        .map(|piece| piece.mass())
        .sum()
}

fn replay(options: &ReplayOptions) -> Done {
    let folder = options.trace.join(keep::STATEMENTS);
    let trace = if options.trace.is_dir() {
        folder
    } else {
        options.trace.clone()
    };
    let mut scenario = match &options.as_in {
        None => run::bare(options.target),
        Some(file) => read(file)?.1,
    };
    scenario.target = options.target;
    scenario.threads = options.threads.unwrap_or(scenario.threads);
    scenario.connections = options.connections.unwrap_or(scenario.connections);
    if !(1..=64).contains(&scenario.threads) || scenario.connections == 0 {
        return Err("--threads is from 1 to 64, --connections at least 1".to_string());
    }
    let change = Change {
        speed: options.speed,
        from_ms: options.from * 1e3,
        until_ms: options.until.map_or(f64::INFINITY, |s| s * 1e3),
        times: options.times,
        spread_ms: options.spread_ms,
        retries: options.with_retries,
        seed: options.seed,
    };
    let setup = setup(None)?;
    let told = format!("// replayed from {} by {change:?}\n{{}}\n", trace.display());
    let out = options.out.as_deref().map(|path| (path, told.as_str()));
    let (played, survey) =
        run::replay(&trace, change, options.skip_broken, &scenario, &setup, out).map_err(words)?;
    if survey.broken > 0 {
        eprintln!(
            "badgerstream-load: {} broken rows were left out:",
            survey.broken
        );
        survey
            .first_broken
            .iter()
            .for_each(|row| eprintln!("  {row}"));
    }
    if survey.retries > 0 && !options.with_retries {
        let retries = survey.retries;
        eprintln!(
            "badgerstream-load: {retries} rows are clients' own further attempts and were left out"
        );
    }
    finish(&played)
}

fn recording(listen: SocketAddr, to: SocketAddr, out: &Path) -> Done {
    let listener = TcpListener::bind(listen).map_err(|e| format!("listening on {listen}: {e}"))?;
    let stop = stop()?;
    eprintln!(
        "badgerstream-load: recording what comes to {listen} and goes to {to}; SIGINT ends it"
    );
    let recorded = record::record(&listener, to, out, &stop).map_err(words)?;
    println!(
        "{}",
        serde_json::to_string_pretty(&recorded).map_err(words)?
    );
    Ok(ExitCode::SUCCESS)
}

fn inspect(what: &Path, json: bool) -> Done {
    if what.is_dir() {
        let summary = keep::summary(what).map_err(words)?;
        if json {
            println!("{}", serde_json::to_string_pretty(&summary).map_err(words)?);
            return Ok(ExitCode::SUCCESS);
        }
        warn(&summary);
        show(&summary);
        return Ok(ExitCode::SUCCESS);
    }
    let survey = Survey::of(what).map_err(words)?;
    println!("{}", serde_json::to_string_pretty(&survey).map_err(words)?);
    Ok(ExitCode::from(if survey.broken > 0 { WRONG } else { 0 }))
}

fn show(summary: &Summary) {
    let own = summary.own_lateness_ms;
    println!(
        "{} loop, {:.1} s, {} statements; the generator's own lateness: p99 {:.3} ms, max {:.3} ms",
        summary.loop_kind, summary.seconds, summary.statements, own.p99, own.max
    );
    println!(
        "{:<20} {:>9} {:>9} {:>7} {:>8} {:>7} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "workload",
        "all",
        "completed",
        "late",
        "rejected",
        "aborted",
        "timedout",
        "unsent",
        "p50 ms",
        "p99 ms",
        "max ms",
        "service99"
    );
    for w in &summary.workloads {
        let o = &w.outcomes;
        println!(
            "{:<20} {:>9} {:>9} {:>7} {:>8} {:>7} {:>8} {:>7} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            w.workload,
            w.statements,
            o.completed,
            o.late,
            o.rejected,
            o.aborted,
            o.timed_out,
            o.unsent,
            w.latency_ms.p50,
            w.latency_ms.p99,
            w.latency_ms.max,
            w.service_ms.p99
        );
    }
}

fn series(folders: &[PathBuf], workload: Option<&str>, window: f64) -> Result<Vec<Series>, String> {
    if !(0.01..=3600.0).contains(&window) {
        return Err("--window is from 0.01 to 3600 seconds".to_string());
    }
    folders
        .iter()
        .map(|folder| Series::read(folder, workload, window).map_err(words))
        .collect()
}

fn comparing(options: &CompareOptions) -> Done {
    let workload = options.workload.as_deref();
    let (a, b) = (
        series(&options.a, workload, options.window)?,
        series(&options.b, workload, options.window)?,
    );
    for folder in options.a.iter().chain(&options.b) {
        // What is wrong with a run is told before its figures are.
        warn(&keep::summary(folder).map_err(words)?);
    }
    let comparison = compare::compare(&a, &b, options.seed);
    if options.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&comparison).map_err(words)?
        );
    } else {
        show_comparison(&comparison);
    }
    let differs = comparison.differences.iter().any(|d| d.exceeds_noise);
    Ok(ExitCode::from(if differs && options.exit_code {
        DIFFERS
    } else {
        0
    }))
}

fn show_comparison(comparison: &Comparison) {
    println!(
        "{:<16} {:>11} {:>11} {:>11}   95 % of draws over {:?} ({} and {})",
        "", "A", "B", "B less A", comparison.drawn_over, comparison.units_a, comparison.units_b
    );
    for d in &comparison.differences {
        let verdict = match d.exceeds_noise {
            true => "exceeds noise",
            false if comparison.too_few => "too few to tell",
            false => "within noise",
        };
        println!(
            "{:<16} {:>11.3} {:>11.3} {:>+11.3}   {:+.3} to {:+.3}: {verdict}",
            format!("{:?}", d.measure),
            d.a,
            d.b,
            d.by,
            d.from,
            d.to
        );
    }
}

fn plotting(runs: &[PathBuf], out: Option<&Path>, workload: Option<&str>, window: f64) -> Done {
    let folder = match (out, runs) {
        (Some(out), _) => out.to_path_buf(),
        (None, [only]) => only.clone(),
        _ => return Err("two runs need --out, a folder for the pictures".to_string()),
    };
    let read = series(runs, workload, window)?;
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    for picture in plot::plot(&read, &folder).map_err(words)? {
        println!("{}", picture.display());
    }
    Ok(ExitCode::SUCCESS)
}
