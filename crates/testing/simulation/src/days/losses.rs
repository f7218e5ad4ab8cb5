//! Losses of control machines.

use super::random::{happens, number, pick};
use super::{Entry, Site};
use fastrand::Rng;

/// A loss of control machines, which the fault budget limits.
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

/// The losses to draw from. A loss that is listed twice is twice as likely.
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

/// The bench's words for the sides and the type of a partition.
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

/// Draws a loss of control machines, most often of the leader.
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

/// Draws a partition between control machines. About one in three lasts for 15 to 22 s, the others
/// for at most 6 s.
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

/// Draws a loss of all control machines at once, which the fault budget does not limit.
pub(super) fn draw_of_all(rng: &mut Rng, at: f64) -> Entry {
    let how = pick(rng, &["", "", "power", "off", "taken", "taken all"]);
    Entry::new(at, "herd_kill")
        .text("on", "core")
        .lasting(number(rng, 0.3, 0.9))
        .how(how)
}

/// Draws the target of a loss: the leader in four of seven cases.
fn target(rng: &mut Rng) -> String {
    pick(
        rng,
        &["leader", "leader", "leader", "leader", "seed", "reader", ""],
    )
    .to_owned()
}

/// Draws the requests that the lost machine receives when it returns, and during a partition.
fn concurrent_work(rng: &mut Rng) -> String {
    let changes = pick(rng, &["", "meet", "race", "race", "hard"]);
    let servers = pick(rng, &["", "", "drain"]);
    join_words(&[changes, servers])
}

/// Joins the non-empty words with spaces.
fn join_words(words: &[&str]) -> String {
    let words: Vec<&str> = words
        .iter()
        .copied()
        .filter(|word| !word.is_empty())
        .collect();
    words.join(" ")
}
