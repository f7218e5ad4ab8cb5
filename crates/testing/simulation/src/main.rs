//! `badgerstream-simulate`: the control side under faults by chance, for as many seeds as wanted; and days for the users' bench, drawn
//! from seeds.

use badgerstream_simulation::days::{Day, Site};
use badgerstream_simulation::faults::{FaultRun, LossPolicy};
use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Plays the control side with faults by chance and checks safety and liveness.
#[derive(Parser)]
#[command(
    name = "badgerstream-simulate",
    version,
    args_conflicts_with_subcommands = true
)]
struct Arguments {
    #[command(subcommand)]
    draw: Option<Draw>,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 100)]
    runs: u64,
    /// Seconds of simulated time with faults in each run.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Control machines; every combination of 3, 5 and 6 with its budget if it isn't told.
    #[arg(long)]
    machines: Option<u32>,
    /// How many may be lost at once.
    #[arg(long, default_value_t = 1)]
    budget: usize,
    /// Any number of machines may be lost at once, and be cut into halves; only disks are kept to the budget.
    #[arg(long)]
    beyond: bool,
    /// Prints what each run was and its digest, in one line: of the same run always the same, also with other names in the code.
    #[arg(long)]
    digest: bool,
}

#[derive(Subcommand)]
enum Draw {
    /// Prints a day for the bench, drawn from a seed: several troubles on the same machine within the same second.
    Day {
        /// The kind of deployment that it is drawn for.
        #[arg(long)]
        site: Site,
        /// The same seed always draws the same day.
        #[arg(long)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    if let Some(Draw::Day { site, seed }) = arguments.draw {
        print!("{}", Day::draw(site, seed));
        return ExitCode::SUCCESS;
    }
    let losses = if arguments.beyond {
        LossPolicy::BeyondBudget
    } else {
        LossPolicy::WithinBudget
    };
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let (machines, budget) = match arguments.machines {
            Some(machines) => (machines, arguments.budget),
            None => [(3, 1), (5, 2), (6, 2), (4, 1)][(seed % 4) as usize],
        };
        let mut run = FaultRun::new(seed, machines, budget, losses);
        let played =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run.play(arguments.seconds)));
        if played.is_err() {
            broken += 1;
            println!(
                "seed {seed} machines {machines} budget {budget}: broken; {}",
                run.fault_log.join("; ")
            );
        } else if arguments.digest {
            let losses = if arguments.beyond { "beyond" } else { "within" };
            println!(
                "seed={seed} machines={machines} budget={budget} losses={losses} seconds={} digest={}",
                arguments.seconds,
                run.simulation.digest()
            );
        }
    }
    println!("runs={} broken={broken}", arguments.runs);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
