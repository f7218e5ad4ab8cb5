//! `badgerscale`: what control costs beside so many routers and services.

use badgerstream_scale::days::{Day, Site};
use badgerstream_scale::decisions;
use badgerstream_scale::plan::{Net, Plan};
use badgerstream_scale::run::{self, Wanted};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Real control processes beside hollow routers and hollow database servers, on loopback.
#[derive(Parser)]
#[command(name = "badgerscale", version, about)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// One run; prints a line of key=value pairs for each thing measured.
    Run {
        /// Hollow routers.
        #[arg(long, default_value_t = 10)]
        routers: usize,
        /// Services, each a primary and two replicas.
        #[arg(long, default_value_t = 3)]
        services: usize,
        /// Of how many primaries each router tells what it saw; by default of all.
        #[arg(long)]
        evidence: Option<usize>,
        /// For how long the calm system is watched, in seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// How many configurations are sent, one after the other.
        #[arg(long, default_value_t = 5)]
        changes: u64,
        /// How many primaries crash at once; none leaves that part out.
        #[arg(long, default_value_t = 1)]
        crashes: usize,
        /// Each part (the start, the changes, the crash, the leader's end) is to be over within so many seconds.
        #[arg(long, default_value_t = 60.0)]
        limit: f64,
        /// What each router's link carries from control, in Mbit/s; by default all that loopback does.
        #[arg(long)]
        link: Option<f64>,
        /// The first two parts of all addresses.
        #[arg(long, default_value = "127.2")]
        net: Net,
        /// Where settings, logs and state go; by default a new folder among the temporary files.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// The system's program; by default `badgerpool` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// A setting of the control processes, `badgerstream.lease_ms=1500` say; may be given again.
        #[arg(long = "set")]
        own: Vec<String>,
    },
    /// What the decisions of control cost by themselves, in a time of their own: no sockets, no other process.
    Decide {
        /// Routers.
        #[arg(long, default_value_t = 10)]
        routers: usize,
        /// Services, each a primary and two replicas.
        #[arg(long, default_value_t = 3)]
        services: usize,
        /// Of how many primaries each router tells what it saw; by default of all.
        #[arg(long)]
        evidence: Option<usize>,
        /// For how long the calm system is played, in seconds of its own time.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
    /// Prints a day for the bench, drawn from a seed: several troubles on the same machine within the same second.
    Day {
        /// The kind of deployment that it is drawn for.
        #[arg(long)]
        site: Site,
        /// The same seed always draws the same day.
        #[arg(long)]
        seed: u64,
    },
    /// Runs one machine's part of the system: for tests, which know of no other program.
    #[command(hide = true)]
    Node {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    let what = Arguments::parse().what;
    let level = if matches!(what, What::Node { .. }) { "info" } else { "warn" };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level)).init();
    let ended = match what {
        What::Run {
            routers,
            services,
            evidence,
            seconds,
            changes,
            crashes,
            limit,
            link,
            net,
            folder,
            program,
            own,
        } => {
            let new = || std::env::temp_dir().join(format!("badgerscale-{}", std::process::id()));
            let program =
                program.or_else(|| Some(std::env::current_exe().ok()?.with_file_name("badgerpool")));
            let Some(program) = program else { return fail("tell --program") };
            let evidence = evidence.unwrap_or(services);
            let wanted = Wanted {
                evidence,
                seconds,
                changes,
                crashes,
                limit,
                link: link.map(|mbps| mbps * 1e6 / 8.0),
            };
            let plan = Plan::new(net, routers, services, own).map_err(|e| e.to_string());
            plan.and_then(|plan| {
                run::run(&plan, wanted, &folder.unwrap_or_else(new), &program, &mut |line| println!("{line}"))
            })
        }
        What::Decide { routers, services, evidence, seconds } => {
            let plan = Plan::new(Net([127, 2]), routers, services, Vec::new()).map_err(|e| e.to_string());
            let evidence = evidence.unwrap_or(services);
            plan.and_then(|plan| decisions::run(&plan, evidence, seconds, &mut |line| println!("{line}")))
        }
        What::Day { site, seed } => {
            print!("{}", Day::draw(site, seed));
            Ok(())
        }
        What::Node { settings } => badgerstream_node::node::run(settings),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("badgerscale: {why}");
    ExitCode::FAILURE
}
