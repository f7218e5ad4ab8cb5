//! `badgerstream-testbed`: the command line of the testbed, for the quick start and for trials. It
//! reads arguments, prints results and sets the exit status; the library does the work.

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

/// Databases, platform, operator and clients on loopback, with the system between them.
#[derive(Parser)]
#[command(name = "badgerstream-testbed", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a whole system and keeps it up until Ctrl-C or SIGTERM.
    Up {
        /// Where settings, logs and state go, made if it isn't there; by default a new one among
        /// the temporary files.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Services, each a primary and two replicas.
        #[arg(long, default_value_t = 1)]
        services: usize,
        /// Routers.
        #[arg(long, default_value_t = 2)]
        routers: usize,
        /// The first three parts of all addresses.
        #[arg(long, default_value = "127.1.0")]
        net: LoopbackNet,
        /// The system's program; by default `badgerstream-pooler` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Sends statements in one session and prints the answers.
    Ask {
        /// A router's front, 127.1.0.21:8784 say.
        address: SocketAddr,
        /// The database.
        database: String,
        /// The statements, `PUT a 1` say.
        #[arg(required = true)]
        statements: Vec<String>,
    },
    /// Tells the stand-in what to do: servers, ledger, crash ID, start ID, drain ID.
    Tell {
        /// Its desk, 127.1.0.2:8786 say.
        address: SocketAddr,
        /// What to do.
        #[arg(required = true)]
        words: Vec<String>,
    },
    /// Runs one machine's part of the system: for tests, which know of no other program.
    #[command(hide = true)]
    Serve {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// The port on which the machine tells its figures.
        #[arg(long)]
        metrics: Option<u16>,
    },
}

/// Why a command has failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("tell --program")]
    ProgramUnknown,
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    #[error("{}: {source}", folder.display())]
    Folder {
        folder: PathBuf,
        source: std::io::Error,
    },
    #[error(transparent)]
    Up(#[from] UpError),
    #[error("{address} {database}: {source}")]
    Connect {
        address: SocketAddr,
        database: String,
        source: std::io::Error,
    },
    #[error("{statement}: no answer: {source}")]
    NoResponse {
        statement: String,
        source: std::io::Error,
    },
    #[error("{statement}: {}", code.as_str())]
    StatementFailed { statement: String, code: ErrorCode },
    #[error("{address}: {source}")]
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

/// The system's program beside this one.
fn default_program() -> Result<PathBuf, CommandError> {
    let this = std::env::current_exe().map_err(|_| CommandError::ProgramUnknown)?;
    Ok(this.with_file_name("badgerstream-pooler"))
}

fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("badgerstream-testbed-{}", std::process::id()))
}

/// Settings files name the folder in full: processes must find it from any working directory.
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
    // Statement ids must be unique in the whole system: made of the time and this process.
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
