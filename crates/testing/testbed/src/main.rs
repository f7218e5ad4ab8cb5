//! `badgerstream-testbed`: the outside world on loopback, for the quick start and for trials.

use badgerstream_testbed::client::Client;
use badgerstream_testbed::deployment::{Deployment, LoopbackNet};
use badgerstream_testbed::{http_client, up};
use clap::{Parser, Subcommand};
use futures_lite::future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Databases, platform, operator and clients on loopback, with the system between them.
#[derive(Parser)]
#[command(name = "badgerstream-testbed", version, about)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Starts a whole system and keeps it up until Ctrl-C or SIGTERM.
    Up {
        /// Where settings, logs and state go, made if it isn't there; by default a new one among the temporary files.
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

fn main() -> ExitCode {
    let what = Arguments::parse().what;
    let level = if matches!(what, What::Serve { .. }) {
        "info"
    } else {
        "warn"
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level)).init();
    let ended = match what {
        What::Up {
            folder,
            services,
            routers,
            net,
            program,
        } => {
            let program = program.or_else(|| {
                Some(
                    std::env::current_exe()
                        .ok()?
                        .with_file_name("badgerstream-pooler"),
                )
            });
            let Some(program) = program else {
                return fail("tell --program");
            };
            let deployment = Deployment::new(net, services, routers).map_err(|e| e.to_string());
            // Processes are told where their files are from wherever they run.
            let new = || {
                std::env::temp_dir().join(format!("badgerstream-testbed-{}", std::process::id()))
            };
            let folder = folder.unwrap_or_else(new);
            let folder =
                std::path::absolute(&folder).map_err(|e| format!("{}: {e}", folder.display()));
            deployment.and_then(|deployment| up::run(&deployment, &folder?, &program))
        }
        What::Ask {
            address,
            database,
            statements,
        } => future::block_on(ask(address, &database, &statements)),
        What::Tell { address, words } => future::block_on(tell(address, &words)),
        What::Serve { settings, metrics } => {
            badgerstream_pooler::process::run(settings, metrics).map_err(|e| e.to_string())
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("badgerstream-testbed: {why}");
    ExitCode::FAILURE
}

async fn ask(address: SocketAddr, database: &str, statements: &[String]) -> Result<(), String> {
    let who = format!("badgerstream-testbed-{}", std::process::id());
    let mut client = Client::open(address, database, &who, 10.0)
        .await
        .map_err(|e| format!("{address} {database}: {e}"))?;
    // Ids are to be like no others: one is made of the time and this process.
    let began = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_nanos() as u64);
    let mark = began ^ (u64::from(std::process::id()) << 40);
    let mut failed = None;
    for (n, text) in statements.iter().enumerate() {
        println!("{text}");
        let id = format!("{:016x}", mark.wrapping_add(n as u64));
        let answered = client
            .ask(&id, text)
            .await
            .map_err(|e| format!("{text}: no answer: {e}"))?;
        for line in answered.text.lines() {
            println!("    {line}");
        }
        if let Some(code) = answered.outcome.error {
            failed.get_or_insert(format!("{text}: {}", code.as_str()));
        }
    }
    failed.map_or(Ok(()), Err)
}

async fn tell(address: SocketAddr, words: &[String]) -> Result<(), String> {
    let path = format!("/{}", words.join("/"));
    let answer = http_client::send(address, 5.0, "POST", &path, &[], b"")
        .await
        .map_err(|e| format!("{address}: {e}"))?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    match answer.status {
        200 => {
            print!("{text}");
            Ok(())
        }
        _ => Err(text.trim().to_owned()),
    }
}
