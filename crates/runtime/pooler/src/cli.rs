//! The commands for operators.
//!
//! `main` parses a [`Command`] and calls [`run`]. Commands check files (`settings`, `config`), or
//! call any control machine over HTTP (`client`) and print its answer (`status`, `output`,
//! `table`). They keep no state and run in their own process, never in one that serves the system.
//!
//! The doc comments on commands and their fields are the texts of `--help`.

mod client;
mod config;
mod error;
mod files;
mod output;
mod settings;
mod status;
mod table;

use clap::{Args, Subcommand};
pub use client::{Client, CurrentConfig};
pub use error::{AttemptError, CliError, FailedAttempts};
use output::{print, print_value};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Name of the environment variable that holds the addresses of control machines.
pub const CONTROL_VARIABLE: &str = "BADGERSTREAM_CONTROL";

/// A command for operators.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Checks a settings file and reports the first error with its line and field.
    Check {
        /// The settings file, or `-` for standard input.
        file: PathBuf,
        /// Prints the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks, reads, replaces and compares the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Prints the leader, the voters, the version of the configuration in force, the number of
    /// servers and the primaries.
    Status(CallArguments),
    /// Prints the known database servers.
    Members(CallArguments),
    /// Prints the primary of each service.
    Primaries(CallArguments),
}

/// A command for the configuration.
#[derive(Debug, Clone, Subcommand)]
pub enum ConfigCommand {
    /// Checks a configuration without sending it.
    Check {
        /// The configuration file (JSON), or `-` for standard input.
        file: PathBuf,
        /// Prints the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints the configuration in force, byte for byte as it was sent.
    Get(CallArguments),
    /// Checks a configuration and puts it in force.
    Put {
        /// The configuration file (JSON), or `-` for standard input.
        file: PathBuf,
        /// The version that the new configuration replaces; 0 if there is none. By default, the
        /// command reads the version in force first.
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// The control machines to call, and the output format.
        #[command(flatten)]
        arguments: CallArguments,
    },
    /// Prints the differences between the configuration in force and a new one.
    Diff {
        /// The new configuration file (JSON), or `-` for standard input.
        file: PathBuf,
        /// The control machines to call, and the output format.
        #[command(flatten)]
        arguments: CallArguments,
    },
}

/// The control machines to call, and the output format.
#[derive(Debug, Clone, Args)]
pub struct CallArguments {
    /// Addresses of control machines, separated by commas or given one by one. If a call to one
    /// fails, the next one is called.
    #[arg(long = "at", env = CONTROL_VARIABLE, value_name = "ADDR", value_delimiter = ',', required = true)]
    pub addresses: Vec<SocketAddr>,
    /// Prints the result as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Runs a command and writes its result to `out`. With `--json`, the verdict that a file is invalid
/// is also written to `out`, in addition to the error.
///
/// # Errors
/// [`CliError`] if the command failed, a file is invalid, or `out` can't be written.
pub fn run(command: Command, out: &mut impl Write) -> Result<(), CliError> {
    match command {
        Command::Check { file, json } => settings::check(&file, json, out),
        Command::Config(ConfigCommand::Check { file, json }) => config::check(&file, json, out),
        Command::Config(ConfigCommand::Get(arguments)) => {
            let current = Client::new(&arguments.addresses).config()?;
            let mut text = current.ok_or(CliError::NoConfig)?.text;
            if text.last() != Some(&b'\n') {
                text.push(b'\n');
            }
            print(out, &text)
        }
        Command::Config(ConfigCommand::Put {
            file,
            base,
            arguments,
        }) => config::put(&file, base, &arguments, out),
        Command::Config(ConfigCommand::Diff { file, arguments }) => {
            config::diff(&file, &arguments, out)
        }
        Command::Status(arguments) => {
            let status = Client::new(&arguments.addresses).status()?;
            print_value(out, arguments.json, &status, status::overview)
        }
        Command::Members(arguments) => {
            let status = Client::new(&arguments.addresses).status()?;
            print_value(out, arguments.json, &status.members, |_| {
                status::members(&status)
            })
        }
        Command::Primaries(arguments) => {
            let status = Client::new(&arguments.addresses).status()?;
            print_value(out, arguments.json, &status.primaries, |_| {
                status::primaries(&status)
            })
        }
    }
}
