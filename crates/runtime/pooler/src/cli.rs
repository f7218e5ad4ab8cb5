//! The operators' commands.
//!
//! `main` parses a [`Command`] and calls [`run`]. Commands check files (`settings`, `config`) or
//! call any control machine over HTTP (`client`) and print what it says (`status`, `output`,
//! `table`). They hold no state and run in a process of their own, never beside the system's.
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

/// The environment variable with the addresses of control machines.
pub const CONTROL_VARIABLE: &str = "BADGERSTREAM_CONTROL";

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
    Status(CallArguments),
    /// Prints the database servers that are there.
    Members(CallArguments),
    /// Prints the primary of each service.
    Primaries(CallArguments),
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
    Get(CallArguments),
    /// Checks a configuration and puts it in force.
    Put {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// The version that it builds on, 0 for the first; by default the one in force, read first.
        #[arg(long, value_name = "N")]
        base: Option<u64>,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        arguments: CallArguments,
    },
    /// Prints what a configuration would change, against the one in force.
    Diff {
        /// The configuration, JSON; `-` is the standard input.
        file: PathBuf,
        /// Whom to ask, and how to print.
        #[command(flatten)]
        arguments: CallArguments,
    },
}

/// Whom to ask, and how to print.
#[derive(Debug, Clone, Args)]
pub struct CallArguments {
    /// Control addresses, joined by commas or told one by one; the next is asked where one fails.
    #[arg(long = "at", env = CONTROL_VARIABLE, value_name = "ADDR", value_delimiter = ',', required = true)]
    pub addresses: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long)]
    pub json: bool,
}

/// Runs a command and writes its result to `out`. As JSON, that a file is invalid is a result, too.
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
