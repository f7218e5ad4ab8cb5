//! `badgerpool`: the program of every machine of the system.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A database pooler with failover.
#[derive(Parser)]
#[command(name = "badgerpool", version, about)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs this machine's part of the system, until SIGTERM.
    Node {
        /// The settings file; the variable BADGERSTREAM_BOOT names it otherwise.
        #[arg(long, env = "BADGERSTREAM_BOOT")]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let ended = match Arguments::parse().what {
        What::Node { settings } => badgerstream_node::node::run(settings),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=failed error={e:?}");
            eprintln!("badgerpool: {e}");
            ExitCode::FAILURE
        }
    }
}
