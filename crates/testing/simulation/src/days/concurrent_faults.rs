//! Faults that begin within the same second as a loss of a control machine.

use super::random::{number, pick};
use super::{Entry, Site};
use fastrand::Rng;

/// A fault that the fault budget does not limit.
#[derive(Clone, Copy)]
enum ConcurrentFault {
    ControlConnectionResets,
    AllConnectionResets,
    LostAcknowledgements,
    LostAnswers,
    ClockSteps,
    PrimaryCrash,
    PrimaryPartition,
    ReplicationLag,
    SlowMachines,
    RouterPartitions,
    ServerPartitions,
    FlappingServers,
    FalseHealthChecks,
}

/// Draws a fault that begins at the second `at`.
pub(super) fn draw(rng: &mut Rng, at: f64, site: Site) -> Entry {
    let mut candidates = vec![
        ConcurrentFault::ControlConnectionResets,
        ConcurrentFault::ControlConnectionResets,
        ConcurrentFault::AllConnectionResets,
        ConcurrentFault::LostAcknowledgements,
        ConcurrentFault::LostAnswers,
        ConcurrentFault::ClockSteps,
        ConcurrentFault::PrimaryCrash,
        ConcurrentFault::PrimaryCrash,
        ConcurrentFault::PrimaryPartition,
        ConcurrentFault::ReplicationLag,
        ConcurrentFault::SlowMachines,
        ConcurrentFault::RouterPartitions,
        ConcurrentFault::ServerPartitions,
    ];
    if site == Site::Grown {
        candidates.extend([
            ConcurrentFault::FlappingServers,
            ConcurrentFault::FalseHealthChecks,
        ]);
    }
    let fault = pick(rng, &candidates);
    entry(rng, at, fault)
}

/// Returns the entry of a fault. Draws a duration for every kind of fault, even for kinds that have
/// none; omitting that draw would change the days of existing seeds.
fn entry(rng: &mut Rng, at: f64, fault: ConcurrentFault) -> Entry {
    let seconds = number(rng, 1.0, 6.0);
    match fault {
        ConcurrentFault::ControlConnectionResets => control_connection_resets(rng, at),
        ConcurrentFault::AllConnectionResets => all_connection_resets(rng, at),
        ConcurrentFault::LostAcknowledgements => lost_acknowledgements(rng, at, seconds),
        ConcurrentFault::LostAnswers => lost_answers(rng, at, seconds),
        ConcurrentFault::ClockSteps => clock_steps(rng, at, seconds),
        ConcurrentFault::PrimaryCrash => primary_crash(rng, at),
        ConcurrentFault::PrimaryPartition => primary_partition(rng, at, seconds),
        ConcurrentFault::ReplicationLag => replication_lag(rng, at, seconds),
        ConcurrentFault::SlowMachines => slow_machines(rng, at, seconds),
        ConcurrentFault::RouterPartitions => router_partitions(rng, at, seconds),
        ConcurrentFault::ServerPartitions => server_partitions(rng, at, seconds),
        ConcurrentFault::FlappingServers => flapping_servers(at, seconds),
        ConcurrentFault::FalseHealthChecks => false_health_checks(rng, at, seconds),
    }
}

fn control_connection_resets(rng: &mut Rng, at: f64) -> Entry {
    Entry::new(at, "reset_conns")
        .text("on", "core")
        .number("share", 1.0)
        .number("x", number(rng, 0.4, 1.0))
}

fn all_connection_resets(rng: &mut Rng, at: f64) -> Entry {
    Entry::new(at, "reset_conns")
        .number("share", 0.6)
        .number("x", number(rng, 0.3, 1.0))
}

fn lost_acknowledgements(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    Entry::new(at, "ack_lost")
        .number("x", number(rng, 0.5, 1.0))
        .lasting(seconds)
}

fn lost_answers(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["", "primary", "reset primary"]);
    Entry::new(at, "answer_lost")
        .number("share", 0.5)
        .number("x", 0.05)
        .lasting(seconds)
        .how(how)
}

fn clock_steps(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["back", "ahead"]);
    let step = Entry::new(at, "clock_step")
        .number("share", 0.6)
        .number("x", number(rng, 1000.0, 5000.0));
    step.lasting(seconds).how(how)
}

fn primary_crash(rng: &mut Rng, at: f64) -> Entry {
    let how = pick(rng, &["primary", "dark primary"]);
    Entry::new(at, "srv_crash")
        .lasting(number(rng, 5.0, 8.0))
        .how(how)
}

fn primary_partition(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["", "replicas", "core", "one_way"]);
    Entry::new(at, "primary_cut")
        .number("share", 0.5)
        .lasting(seconds)
        .how(how)
}

fn replication_lag(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["", "deaf", "deaf crash"]);
    Entry::new(at, "replica_lag")
        .count(1)
        .number("x", 60.0)
        .lasting(seconds)
        .how(how)
}

fn slow_machines(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    Entry::new(at, "node_slow")
        .number("share", 0.3)
        .number("x", number(rng, 3.0, 6.0))
        .lasting(seconds)
}

fn router_partitions(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["", "reset", "refuse"]);
    Entry::new(at, "node_cut")
        .number("share", 0.3)
        .lasting(seconds)
        .how(how)
}

fn server_partitions(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(
        rng,
        &["", "fronts", "some", "some lossy", "one_way", "reset"],
    );
    let partition = Entry::new(at, "srv_cut")
        .number("share", 0.4)
        .number("x", 0.5);
    partition.lasting(seconds).how(how)
}

fn flapping_servers(at: f64, seconds: f64) -> Entry {
    Entry::new(at, "srv_flap")
        .number("share", 0.1)
        .number("gap_s", 1.4)
        .lasting(seconds)
}

fn false_health_checks(rng: &mut Rng, at: f64, seconds: f64) -> Entry {
    let how = pick(rng, &["errors", "hang", "reset", "bad"]);
    Entry::new(at, "srv_lying_health")
        .number("share", 0.1)
        .lasting(seconds)
        .how(how)
}
