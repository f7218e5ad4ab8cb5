//! `badgerstream-testbed`: the command line of the testbed, for the quick start and for manual
//! trials. It parses arguments, prints results and sets the exit status; the library does the rest.

use badgerstream_line_protocol::ErrorCode;
use badgerstream_pooler::process::ProcessError;
use badgerstream_testbed::client::Client;
use badgerstream_testbed::deployment::{Deployment, DeploymentError, LoopbackNet};
use badgerstream_testbed::http_client::{self, HttpRequest};
use badgerstream_testbed::up::{self, UpError};
use clap::{Parser, Subcommand};
use futures_lite::future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Runs the system on loopback with simulated databases, platform, operator and clients.
#[derive(Parser)]
#[command(name = "badgerstream-testbed", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a complete system and keeps it running until Ctrl-C or SIGTERM.
    Up {
        /// Folder for settings, logs and state, created if missing. Default: a new folder in the
        /// system's temporary directory.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Number of services; each has a primary and two replicas.
        #[arg(long, default_value_t = 1)]
        services: usize,
        /// Number of routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// First three octets of all addresses; the first must be 127.
        #[arg(long, default_value = "127.1.0")]
        net: LoopbackNet,
        /// Program to run. Default: `badgerstream-pooler` in the same directory as this program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Sends statements to a router in one session and prints the responses.
    Ask {
        /// Address at which a router accepts clients, e.g. 127.1.0.21:8784.
        address: SocketAddr,
        /// Name of the database.
        database: String,
        /// Statements, e.g. `PUT a 1`.
        #[arg(required = true)]
        statements: Vec<String>,
    },
    /// Controls the simulated database servers: servers, ledger, crash ID, start ID, drain ID.
    Tell {
        /// Address of the testbed's admin API, e.g. 127.1.0.2:8786.
        address: SocketAddr,
        /// Command and its argument, e.g. `crash db1-a`.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Runs a control machine or a router in this process, for tests that only have this program.
    #[command(hide = true)]
    Serve {
        /// Settings file.
        #[arg(long)]
        settings: PathBuf,
        /// Port at which the machine serves its metrics.
        #[arg(long)]
        metrics: Option<u16>,
    },
}

/// The reason why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("the path of this program can't be determined: pass --program")]
    ProgramUnknown,
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    #[error("can't resolve the folder {}: {source}", folder.display())]
    Folder {
        folder: PathBuf,
        source: std::io::Error,
    },
    #[error(transparent)]
    Up(#[from] UpError),
    #[error("can't open a session with {database} at {address}: {source}")]
    Connect {
        address: SocketAddr,
        database: String,
        source: std::io::Error,
    },
    #[error("{statement}: no response: {source}")]
    NoResponse {
        statement: String,
        source: std::io::Error,
    },
    #[error("{statement}: {}", code.as_str())]
    StatementFailed { statement: String, code: ErrorCode },
    #[error("the call to the admin API at {address} failed: {source}")]
    AdminCall {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("{0}")]
    AdminRejected(String),
    #[error(transparent)]
    Serve(#[from] ProcessError),
}

fn main() -> ExitCode {
    let command = Arguments::parse().command;
    let default_level = if matches!(command, Command::Serve { .. }) {
        "info"
    } else {
        "warn"
    };
    let level = env_logger::Env::default().default_filter_or(default_level);
    env_logger::Builder::from_env(level).init();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("badgerstream-testbed: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Up {
            folder,
            services,
            routers,
            net,
            program,
        } => {
            let program = program.map_or_else(default_program, Ok)?;
            let deployment = Deployment::new(net, services, routers)?;
            let folder = absolute(folder.unwrap_or_else(default_folder))?;
            Ok(up::run(&deployment, &folder, &program)?)
        }
        Command::Ask {
            address,
            database,
            statements,
        } => future::block_on(run_statements(address, &database, &statements)),
        Command::Tell { address, words } => future::block_on(call_admin_api(address, &words)),
        Command::Serve { settings, metrics } => {
            Ok(badgerstream_pooler::process::run(settings, metrics)?)
        }
    }
}

/// Returns the path of `badgerstream-pooler` in the directory of this program.
fn default_program() -> Result<PathBuf, CommandError> {
    let this = std::env::current_exe().map_err(|_| CommandError::ProgramUnknown)?;
    Ok(this.with_file_name("badgerstream-pooler"))
}

fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("badgerstream-testbed-{}", std::process::id()))
}

/// Makes the folder's path absolute: settings files contain it, and processes must find it from any
/// working directory.
fn absolute(folder: PathBuf) -> Result<PathBuf, CommandError> {
    std::path::absolute(&folder).map_err(|source| CommandError::Folder { folder, source })
}

async fn run_statements(
    address: SocketAddr,
    database: &str,
    statements: &[String],
) -> Result<(), CommandError> {
    let caller = format!("badgerstream-testbed-{}", std::process::id());
    let mut client = Client::connect(address, database, &caller, 10.0)
        .await
        .map_err(|source| CommandError::Connect {
            address,
            database: database.to_owned(),
            source,
        })?;
    // Statement ids must be unique in the whole system, so they are made of the current time and
    // the id of this process.
    let started_ns = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_nanos() as u64);
    let first_id = started_ns ^ (u64::from(std::process::id()) << 40);
    let mut first_failure = None;
    for (n, statement) in statements.iter().enumerate() {
        println!("{statement}");
        let id = format!("{:016x}", first_id.wrapping_add(n as u64));
        let response = client.query(&id, statement).await;
        let response = response.map_err(|source| CommandError::NoResponse {
            statement: statement.clone(),
            source,
        })?;
        for line in response.text.lines() {
            println!("    {line}");
        }
        if let Some(code) = response.result.error {
            first_failure.get_or_insert_with(|| CommandError::StatementFailed {
                statement: statement.clone(),
                code,
            });
        }
    }
    first_failure.map_or(Ok(()), Err)
}

async fn call_admin_api(address: SocketAddr, words: &[String]) -> Result<(), CommandError> {
    let path = format!("/{}", words.join("/"));
    let response = http_client::send(address, 5.0, &HttpRequest::post(&path, b""))
        .await
        .map_err(|source| CommandError::AdminCall { address, source })?;
    let text = String::from_utf8_lossy(&response.body);
    match response.status {
        200 => {
            print!("{text}");
            Ok(())
        }
        _ => Err(CommandError::AdminRejected(text.trim().to_owned())),
    }
}
