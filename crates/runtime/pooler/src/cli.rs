//! The operators' commands: they check files, and ask any control machine over HTTP.

mod client;
mod config;
mod error;
mod files;
mod output;
mod settings;
mod status;
mod text;

use clap::{Args, Subcommand};
pub use client::Client;
pub use error::CliError;
use output::{print, show};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The variable that tells the control addresses.
pub const CONTROL: &str = "BADGERSTREAM_CONTROL";

/// What operators can ask for.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Checks a settings file: says what is wrong, with line and field.
    Check {
        /// The settings file; `-` is the standard input.
        file: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks, reads, replaces and compares the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Prints which machine leads, the version in force, the primaries and how many servers there are.
    Status(Asking),
    /// Prints the database servers that are there.
    Members(Asking),
    /// Prints the primary of each service.
    Primaries(Asking),
}

/// What operators can do with the configuration.
#[derive(Debug, Clone, Subcommand)]
pub enum ConfigCommand {
    /// Checks a configuration without sending it.
    Check {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the configuration in force, as it was sent.
    Get(Asking),
    /// Checks a configuration and puts it in force.
    Put {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// The version that it builds on, 0 for the first; by default the one in force, read first.
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        asking: Asking,
    },
    /// Prints what a configuration would change, against the one in force.
    Diff {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        asking: Asking,
    },
}

/// Whom to ask, and how to print.
#[derive(Debug, Clone, Args)]
pub struct Asking {
    /// Control addresses, joined by commas or told one by one; the next is asked where one fails.
    #[arg(long, env = CONTROL, value_name = "ADDR", value_delimiter = ',', required = true)]
    pub at: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long)]
    pub json: bool,
}

/// Carries a command out and writes what it found to `out`; where it writes JSON, a file that is wrong is told
/// there too.
pub fn run(command: Command, out: &mut impl Write) -> Result<(), CliError> {
    match command {
        Command::Check { file, json } => settings::check(&file, json, out),
        Command::Config(ConfigCommand::Check { file, json }) => config::check(&file, json, out),
        Command::Config(ConfigCommand::Get(asking)) => {
            let (_, mut body) = Client::new(&asking.at)
                .config()?
                .ok_or(CliError::NoConfig)?;
            if body.last() != Some(&b'\n') {
                body.push(b'\n');
            }
            print(out, &body)
        }
        Command::Config(ConfigCommand::Put { file, base, asking }) => {
            config::put(&file, base, &asking, out)
        }
        Command::Config(ConfigCommand::Diff { file, asking }) => config::diff(&file, &asking, out),
        Command::Status(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status, status::overview)
        }
        Command::Members(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status.members, |_| {
                status::members(&status)
            })
        }
        Command::Primaries(asking) => {
            let status = Client::new(&asking.at).status()?;
            show(out, asking.json, &status.primaries, |_| {
                status::primaries(&status)
            })
        }
    }
}
