//! `badgerstream-pooler`: the program that runs on every machine of the system, and the commands
//! for operators.

use badgerstream_pooler::{cli, process};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A database pooler with failover: routers, control machines and commands for operators.
#[derive(Parser)]
#[command(name = "badgerstream-pooler", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the router, the control machine or both, as the settings say, until SIGTERM or SIGINT.
    Serve {
        /// The settings file.
        #[arg(long, env = "BADGERSTREAM_BOOT")]
        settings: PathBuf,
        /// Serves this machine's metrics at `GET /metrics` on this port of its address. Without
        /// this option, no metrics are served.
        #[arg(long, value_name = "PORT")]
        metrics: Option<u16>,
    },
    #[command(flatten)]
    Operator(cli::Command),
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Serve { settings, metrics } => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
                .init();
            process::run(settings, metrics)
                .map_err(|e| e.to_string())
                .inspect_err(|e| log::error!("event=process_failed error={e:?}"))
        }
        Command::Operator(command) => {
            cli::run(command, &mut std::io::stdout().lock()).map_err(|e| e.to_string())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("badgerstream-pooler: {e}");
            ExitCode::FAILURE
        }
    }
}
