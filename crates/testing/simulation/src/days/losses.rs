//! Losses of control machines.

use super::random::{happens, number, pick};
use super::{Entry, Site};
use fastrand::Rng;

/// Losses of control machines, which the fault budget bounds.
#[derive(Clone, Copy)]
enum MachineLoss {
    Kill,
    Freeze,
    Partition,
    Replacement,
    KillAfterAcknowledgement,
    DiskLossAfterAcknowledgement,
    DiskFull,
    DiskStall,
    DiskSlow,
}

/// What a loss is drawn from; what stands there twice is twice as likely.
const LOSSES: [MachineLoss; 13] = [
    MachineLoss::Kill,
    MachineLoss::Freeze,
    MachineLoss::Partition,
    MachineLoss::Partition,
    MachineLoss::Replacement,
    MachineLoss::Replacement,
    MachineLoss::KillAfterAcknowledgement,
    MachineLoss::DiskLossAfterAcknowledgement,
    MachineLoss::DiskLossAfterAcknowledgement,
    MachineLoss::DiskFull,
    MachineLoss::DiskFull,
    MachineLoss::DiskStall,
    MachineLoss::DiskSlow,
];

/// The bench's words for what a partition is between.
const PARTITION_SIDES: [&str; 16] = [
    "",
    "",
    "one_way",
    "one_way",
    "seeds",
    "both",
    "reset",
    "refuse",
    "split",
    "split one_way",
    "behind",
    "lure",
    "relieve",
    "near",
    "all",
    "oldest",
];

/// A loss of control machines, most often of the leader's.
pub(super) fn draw(rng: &mut Rng, at: f64, site: Site) -> Entry {
    let kind = pick(rng, &LOSSES);
    let count = rng.u64(1..=site.fault_budget());
    match kind {
        MachineLoss::Kill => {
            let power = pick(rng, &["", "power"]);
            let how = join_words(&[power, &target(rng), &concurrent_work(rng)]);
            Entry::new(at, "node_kill")
                .on_control(count)
                .lasting(number(rng, 0.4, 5.0))
                .how(how)
        }
        MachineLoss::Freeze => {
            let how = join_words(&[&target(rng), &concurrent_work(rng)]);
            Entry::new(at, "node_freeze")
                .on_control(count)
                .lasting(number(rng, 0.4, 6.0))
                .how(how)
        }
        MachineLoss::Partition => partition(rng, at, count),
        MachineLoss::Replacement => {
            let how = join_words(&[pick(rng, &["", "planned", "oldest"]), &target(rng)]);
            Entry::new(at, "replace_core")
                .number("x", number(rng, 0.3, 3.0))
                .how(how)
        }
        MachineLoss::KillAfterAcknowledgement => {
            let how = pick(rng, &["", "kill", "timed", "taken"]);
            Entry::new(at, "after_ack_kill")
                .count(count)
                .lasting(number(rng, 0.4, 3.0))
                .how(how)
        }
        MachineLoss::DiskLossAfterAcknowledgement => {
            let how = pick(rng, &["", "", "timed", "taken", "oldest"]);
            Entry::new(at, "after_ack_wipe")
                .count(count)
                .lasting(number(rng, 0.4, 2.0))
                .how(how)
        }
        MachineLoss::DiskFull => disk_fault(rng, at, "disk_full", count),
        MachineLoss::DiskStall => disk_fault(rng, at, "disk_stall", count),
        MachineLoss::DiskSlow => {
            disk_fault(rng, at, "disk_slow", count).number("x", number(rng, 15.0, 60.0))
        }
    }
}

/// A partition within the control machines; of three, one lasts for twenty seconds or so.
fn partition(rng: &mut Rng, at: f64, count: u64) -> Entry {
    let seconds = if happens(rng, 0.33) {
        number(rng, 15.0, 22.0)
    } else {
        number(rng, 0.5, 6.0)
    };
    let side = pick(rng, &PARTITION_SIDES);
    let how = join_words(&[&target(rng), side, &concurrent_work(rng)]);
    Entry::new(at, "core_cut")
        .count(count)
        .lasting(seconds)
        .how(how)
}

fn disk_fault(rng: &mut Rng, at: f64, kind: &'static str, count: u64) -> Entry {
    Entry::new(at, kind)
        .count(count)
        .lasting(number(rng, 0.5, 4.0))
        .how(target(rng))
}

/// All control machines at once, which no budget bounds.
pub(super) fn draw_of_all(rng: &mut Rng, at: f64) -> Entry {
    let how = pick(rng, &["", "", "power", "off", "taken", "taken all"]);
    Entry::new(at, "herd_kill")
        .text("on", "core")
        .lasting(number(rng, 0.3, 0.9))
        .how(how)
}

/// Which machine is struck.
fn target(rng: &mut Rng) -> String {
    pick(
        rng,
        &["leader", "leader", "leader", "leader", "seed", "reader", ""],
    )
    .to_owned()
}

/// What is sent to that machine when it returns, and during a partition.
fn concurrent_work(rng: &mut Rng) -> String {
    let changes = pick(rng, &["", "meet", "race", "race", "hard"]);
    let servers = pick(rng, &["", "", "drain"]);
    join_words(&[changes, servers])
}

/// The words that aren't empty, with a blank between them.
fn join_words(words: &[&str]) -> String {
    let words: Vec<&str> = words
        .iter()
        .copied()
        .filter(|word| !word.is_empty())
        .collect();
    words.join(" ")
}
