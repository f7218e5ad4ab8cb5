//! badgerstream-experiments: experiments on real routers against the emulator, one sub-command each. Exit code 1 where a
//! stated bound does not hold, 2 where the experiment itself can't be made.

use badgerstream_experiments::router::Fault;
use badgerstream_experiments::{
    cluster_fleet, comeback, fleet, honest_load, primary_changes, succession_cost, tally,
};
use badgerstream_process_harness::{clients, play, store};
use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "badgerstream-experiments",
    version,
    about = "Experiments on badgerstream, against simulated servers on loopback"
)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Primaries change all through a run of marked writes; judged by the store's ledger
    PrimaryChanges(primary_changes::Options),
    /// What a hold costs while nothing changes: the same router with it and without, turn by turn
    SuccessionCost(succession_cost::Options),
    /// Whether badgerstream-load tells a stall as it was, and how much it can send
    HonestLoad(honest_load::Options),
    /// Most routers are restarted at once, or break otherwise, under load: many processes, faults between them
    Comeback(comeback::Options),
    /// What the choices of hundreds of routers add up to, in simulated time
    Fleet(fleet::Options),
    /// The same with real processes, and faults between them
    ClusterFleet(cluster_fleet::Options),
    /// What routers gave up, by which rule, added up from their logs
    Tally(tally::Options),
    /// The store of a rig, as a process of an experiment
    #[command(hide = true, name = play::STORE)]
    ClusterStore,
    /// The clients of a rig, as a process of an experiment
    #[command(hide = true, name = play::CLIENTS)]
    ClusterClients { file: std::path::PathBuf },
    /// A scripted server, as a process of an experiment
    #[command(hide = true)]
    Scripted,
    /// The router itself, as a process of an experiment
    #[command(hide = true)]
    Router {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
}

fn main() -> ExitCode {
    match Cli::parse().experiment {
        Experiment::Router { arguments } => badgerstream::main_with(arguments),
        Experiment::ClusterStore => helper("store", store::serve()),
        Experiment::ClusterClients { file } => helper("clients", clients::send(&file)),
        Experiment::Comeback(options) if options.print => {
            let script = comeback::script(options.plan, options.routers, options.nodes);
            println!(
                "{}",
                serde_json::to_string_pretty(&script).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Experiment::Comeback(options) => told(comeback::run(&options), |report| {
            if !options.json {
                comeback::print(report);
            }
            (
                if options.json {
                    json(report)
                } else {
                    String::new()
                },
                !report.broken.is_empty(),
            )
        }),
        Experiment::Fleet(options) => told(fleet::run(&options), |report| {
            if !options.json {
                fleet::print(report);
            }
            (
                if options.json {
                    json(report)
                } else {
                    String::new()
                },
                !report.broken.is_empty(),
            )
        }),
        Experiment::ClusterFleet(options) if options.print => {
            let script = cluster_fleet::script(options.plan, options.routers, options.nodes);
            println!(
                "{}",
                serde_json::to_string_pretty(&script).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Experiment::ClusterFleet(options) => told(cluster_fleet::run(&options), |report| {
            if !options.json {
                cluster_fleet::print(report);
            }
            (
                if options.json {
                    json(report)
                } else {
                    String::new()
                },
                !report.broken.is_empty(),
            )
        }),
        Experiment::Tally(options) => told(tally::run(&options), |report| {
            if !options.json {
                tally::print(report);
            }
            (
                if options.json {
                    json(report)
                } else {
                    String::new()
                },
                false,
            )
        }),
        Experiment::Scripted => ExitCode::from(u8::from(honest_load::scripted().is_err())),
        Experiment::HonestLoad(options) => told(honest_load::run(&options), |report| {
            (json(report), !report.broken.is_empty())
        }),
        Experiment::SuccessionCost(options) => told(succession_cost::run(&options), |report| {
            (json(report), !report.broken.is_empty())
        }),
        Experiment::PrimaryChanges(options) => told(primary_changes::run(&options), |report| {
            if !options.json {
                primary_changes::print(report, options.keep.as_deref());
            }
            (
                if options.json {
                    json(report)
                } else {
                    String::new()
                },
                !report.broken.is_empty(),
            )
        }),
    }
}

/// A process of a rig: what it could not do is told on standard error.
fn helper(name: &str, done: std::io::Result<()>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("badgerstream-experiments: the {name} of a rig: {e}");
            ExitCode::from(2)
        }
    }
}

fn json(report: &impl serde::Serialize) -> String {
    serde_json::to_string(report).unwrap_or_default()
}

/// Prints what an experiment came to; a bound that does not hold is 1, an experiment that can't be made 2.
fn told<R>(result: Result<R, Fault>, say: impl FnOnce(&R) -> (String, bool)) -> ExitCode {
    match result {
        Ok(report) => {
            let (said, broken) = say(&report);
            if !said.is_empty() {
                println!("{said}");
            }
            ExitCode::from(u8::from(broken))
        }
        Err(fault) => {
            eprintln!("badgerstream-experiments: {fault}");
            ExitCode::from(2)
        }
    }
}
