//! What the hold costs on the ordinary path: two routers of one store, one with it and one without, take turns
//! under the same closed loop; only ratios of one run are told.

use crate::client::{Client, Outcome};
use crate::router::{self, Fault, Router, Setup};
use badgerstream_store_emulator::group::Replication;
use badgerstream_store_emulator::{Emulator, Shape};
use clap::Args;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
const WAIT_MS: u64 = 5_000;
/// The most that the two may differ in processor time a statement. Rates and percentiles of a shared machine vary
/// by more from turn to turn, as their quartiles show: they are told beside it.
const MOST: f64 = 0.02;

#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Turns of each router
    #[arg(long, default_value_t = 120)]
    pub turns: usize,
    /// How long a turn is
    #[arg(long, default_value_t = 250)]
    pub turn_ms: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Always on: one JSON object
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub turns: usize,
    pub statements: u64,
    /// Statements a second and the 99th percentile with the hold, by those without it: medians over pairs of turns.
    pub rate_ratio: f64,
    pub p99_ratio: f64,
    /// Processor time a statement, with the hold by without it, over the whole run: what varies least.
    pub processor_ratio: f64,
    /// The middle half of the pairs' ratios of rates: what a single pair may differ by.
    pub rate_quartiles: (f64, f64),
    pub p99_quartiles: (f64, f64),
    pub broken: Vec<String>,
}

pub fn run(options: &Options) -> Result<Report, Fault> {
    let shape = Shape {
        groups: 2,
        replication: Replication {
            synchronous: true,
            lag_ms: 0,
            mark_memory_ms: 60_000,
        },
        ..Shape::default()
    };
    let emulator = Emulator::start(shape, &[]).map_err(Fault::Start)?;
    let (folder, program) = (router::folder(None)?, router::program()?);
    let setup = |own| Setup {
        folder: &folder,
        program: &program,
        emulator: &emulator,
        routers: 1,
        seed: options.seed,
        timeout_ms: WAIT_MS,
        mark_memory_ms: 60_000,
        memory_mb: 32,
        descriptors: 256,
        own,
    };
    let with = Router::start(&setup(Some("{succession: {}}")), 0)?;
    let without = Router::start(&setup(None), 1)?;
    let (mut rates, mut tails, mut counts) = (Vec::new(), Vec::new(), [0; 2]);
    let mut before = [0; 2];
    for turn in 0..options.turns + 2 {
        // Who goes first changes: whatever drifts within a pair counts for both alike.
        let mut order = [(true, with.address), (false, without.address)];
        if turn % 2 == 1 {
            order.reverse();
        }
        let mut seen = [(0.0, 0.0); 2];
        for (place, router) in order {
            let (count, p99) = load(router, turn, options.turn_ms);
            if turn >= 2 {
                counts[usize::from(!place)] += count;
            }
            seen[usize::from(!place)] = (count as f64, p99);
        }
        if turn == 1 {
            before = [with.ticks(), without.ticks()];
        }
        // The first turns open connections and learn paces.
        if turn >= 2 {
            rates.push(seen[0].0 / seen[1].0.max(1.0));
            tails.push(seen[0].1 / seen[1].1.max(1e-9));
        }
    }
    let used = [with.ticks() - before[0], without.ticks() - before[1]];
    let each = |place: usize| used[place] as f64 / counts[place].max(1) as f64;
    let processor_ratio = each(0) / each(1).max(f64::MIN_POSITIVE);
    let _ = std::fs::remove_dir_all(&folder);
    let (rate, tail) = (quartiles(&mut rates), quartiles(&mut tails));
    let mut broken = Vec::new();
    if processor_ratio > 1.0 + MOST {
        broken.push(format!(
            "{:.1} % more processor time a statement",
            (processor_ratio - 1.0) * 1e2
        ));
    }
    Ok(Report {
        turns: options.turns,
        statements: counts.iter().sum(),
        rate_ratio: rate[1],
        p99_ratio: tail[1],
        processor_ratio,
        rate_quartiles: (rate[0], rate[2]),
        p99_quartiles: (tail[0], tail[2]),
        broken,
    })
}

fn quartiles(values: &mut [f64]) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    let at =
        |part: usize| values.get((values.len() * part / 4).min(values.len().saturating_sub(1)));
    [1, 2, 3].map(|part| at(part).copied().unwrap_or(f64::NAN))
}

/// One turn: how many statements completed, and the 99th percentile of their times.
fn load(router: SocketAddr, turn: usize, turn_ms: u64) -> (u64, f64) {
    let end = Instant::now() + Duration::from_millis(turn_ms);
    let each = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || ask(router, turn, number, end)))
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });
    // Constants that fit: microseconds up to a minute.
    let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    each.iter()
        .flatten()
        .for_each(|took| all.saturating_record(took.as_micros() as u64));
    (all.len(), all.value_at_quantile(0.99) as f64)
}

/// One write to three reads, as fast as answers come.
fn ask(router: SocketAddr, turn: usize, number: usize, end: Instant) -> Vec<Duration> {
    let (mut client, mut took, mut i) = (Client::new(router), Vec::new(), 0);
    while Instant::now() < end {
        let (id, group) = (format!("{turn}-{number}-{i}"), number % 2);
        let text = if i % 4 == 0 {
            format!(
                "INSERT INTO records (k, v) VALUES ('k{number}', '\\x00') RETURNING v /* id={id},c=episode-write,t=lab,d={WAIT_MS},k=m{id},cluster={group} */"
            )
        } else {
            format!(
                "SELECT v FROM records WHERE k = 'k{number}' /* id={id},c=feed-read,t=lab,d={WAIT_MS},cluster={group} */"
            )
        };
        let asked = Instant::now();
        if let Outcome::Completed(_) = client.ask(&text, Duration::from_millis(WAIT_MS)) {
            took.push(asked.elapsed());
        }
        i += 1;
    }
    took
}
