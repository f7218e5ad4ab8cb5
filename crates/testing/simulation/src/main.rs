//! `badgerstream-simulate`: simulates the control machines under random faults for a range of
//! seeds, and generates days for the users' bench from seeds.

use badgerstream_simulation::days::{Day, Site};
use badgerstream_simulation::faults::{FaultRun, LossPolicy, ServerFaultRun};
use clap::{Parser, Subcommand};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// The numbers of machines and their fault budgets. The seed selects one if `--machines` isn't
/// given.
const CLUSTER_SIZES: [(u32, usize); 4] = [(3, 1), (5, 2), (6, 2), (4, 1)];

/// Plays the control side with random faults and checks safety and liveness.
#[derive(Parser)]
#[command(
    name = "badgerstream-simulate",
    version,
    args_conflicts_with_subcommands = true
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 100)]
    runs: u64,
    /// Seconds of simulated time with faults in each run.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Control machines; every combination of 3, 5 and 6 with its budget if not given.
    #[arg(long)]
    machines: Option<u32>,
    /// How many may be lost at once.
    #[arg(long, default_value_t = 1)]
    budget: usize,
    /// Any number of machines may be lost at once, and be partitioned into halves; only losses of
    /// disks are kept to the budget.
    #[arg(long)]
    beyond: bool,
    /// Faults of database servers, with three control machines that are killed beside them.
    #[arg(long, conflicts_with_all = ["machines", "budget", "beyond", "digest"])]
    servers: bool,
    /// Faults that mislead control are drawn among those of servers: servers that it has not heard
    /// of, cuts that refuse connections, and calls at the platform that run late.
    #[arg(long, requires = "servers")]
    misleading: bool,
    /// Prints the parameters and the digest of each run in one line. The digest of a run does not
    /// depend on names in the code.
    #[arg(long)]
    digest: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Prints a day for the bench, drawn from a seed: several faults on the same machine within the
    /// same second.
    Day {
        /// The kind of deployment that it is drawn for.
        #[arg(long)]
        site: Site,
        /// The same seed always draws the same day.
        #[arg(long)]
        seed: u64,
    },
}

impl Arguments {
    fn loss_policy(&self) -> LossPolicy {
        if self.beyond {
            LossPolicy::BeyondBudget
        } else {
            LossPolicy::WithinBudget
        }
    }

    /// Returns the number of machines and the fault budget of the run with this seed.
    fn cluster_size(&self, seed: u64) -> (u32, usize) {
        match self.machines {
            Some(machines) => (machines, self.budget),
            None => CLUSTER_SIZES[(seed % CLUSTER_SIZES.len() as u64) as usize],
        }
    }
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    match arguments.command {
        Some(Command::Day { site, seed }) => {
            print!("{}", Day::draw(site, seed));
            ExitCode::SUCCESS
        }
        None => play_runs(&arguments),
    }
}

fn play_runs(arguments: &Arguments) -> ExitCode {
    let seeds = arguments.seed..arguments.seed + arguments.runs;
    let play = if arguments.servers {
        play_server_run
    } else {
        play_run
    };
    let broken = seeds.filter(|seed| !play(arguments, *seed)).count();
    println!("runs={} broken={broken}", arguments.runs);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Plays one run and prints its digest line, if requested, or its failure. Returns whether the run
/// completed without a panic, by which the oracle reports a violation.
fn play_run(arguments: &Arguments, seed: u64) -> bool {
    let (machines, budget) = arguments.cluster_size(seed);
    let seconds = arguments.seconds;
    let mut run = FaultRun::new(seed, machines, budget, arguments.loss_policy());
    if catch_unwind(AssertUnwindSafe(|| run.play(seconds))).is_err() {
        let faults = run.fault_log.join("; ");
        println!("seed {seed} machines {machines} budget {budget}: broken; {faults}");
        return false;
    }
    if arguments.digest {
        let losses = if arguments.beyond { "beyond" } else { "within" };
        println!(
            "seed={seed} machines={machines} budget={budget} losses={losses} seconds={seconds} \
             digest={}",
            run.simulation.digest()
        );
    }
    true
}

/// Plays one run with faults of servers and prints its failure. Returns whether the run completed.
fn play_server_run(arguments: &Arguments, seed: u64) -> bool {
    let mut run = if arguments.misleading {
        ServerFaultRun::with_misleading_faults(seed)
    } else {
        ServerFaultRun::new(seed)
    };
    let completed = catch_unwind(AssertUnwindSafe(|| run.play(arguments.seconds))).is_ok();
    if !completed {
        let faults = run.fault_log.join("; ");
        println!("seed {seed} servers: broken; {faults}");
    }
    completed
}
