//! The troubles that a moment is made of.

use super::{Entry, Site, chance, number, pick};
use fastrand::Rng;

/// Losses of control machines, which the fault budget bounds.
#[derive(Clone, Copy)]
enum Loss {
    Kill,
    Freeze,
    Cut,
    Replacement,
    PowerAtAnOrder,
    Wipe,
    DiskFull,
    DiskStall,
    DiskSlow,
}

/// What comes with a loss in the same second and isn't bounded by the budget.
#[derive(Clone, Copy)]
enum Companion {
    CoreResets,
    AllResets,
    LostAcks,
    LostAnswers,
    Clocks,
    PrimaryCrash,
    PrimaryCut,
    ReplicaLag,
    SlowMachines,
    RoutersCut,
    ServersCut,
    ServersFlap,
    FalseHealth,
}

/// A loss of control machines, most often of the leader's.
pub(super) fn loss(rng: &mut Rng, at: f64, site: Site) -> Entry {
    let kind = pick(
        rng,
        &[
            Loss::Kill,
            Loss::Freeze,
            Loss::Cut,
            Loss::Cut,
            Loss::Replacement,
            Loss::Replacement,
            Loss::PowerAtAnOrder,
            Loss::Wipe,
            Loss::Wipe,
            Loss::DiskFull,
            Loss::DiskFull,
            Loss::DiskStall,
            Loss::DiskSlow,
        ],
    );
    let count = rng.u64(1..=site.fault_budget());
    match kind {
        Loss::Kill => {
            let power = pick(rng, &["", "power"]);
            let how = join(&[power, &target(rng), &meeting(rng)]);
            Entry::new(at, "node_kill")
                .on_core(count)
                .lasting(number(rng, 0.4, 5.0))
                .how(how)
        }
        Loss::Freeze => {
            let how = join(&[&target(rng), &meeting(rng)]);
            Entry::new(at, "node_freeze")
                .on_core(count)
                .lasting(number(rng, 0.4, 6.0))
                .how(how)
        }
        Loss::Cut => cut(rng, at, count),
        Loss::Replacement => {
            let how = join(&[pick(rng, &["", "planned", "oldest"]), &target(rng)]);
            Entry::new(at, "replace_core")
                .number("x", number(rng, 0.3, 3.0))
                .how(how)
        }
        Loss::PowerAtAnOrder => {
            let how = pick(rng, &["", "kill", "timed", "taken"]);
            Entry::new(at, "after_ack_kill")
                .count(count)
                .lasting(number(rng, 0.4, 3.0))
                .how(how)
        }
        Loss::Wipe => {
            let how = pick(rng, &["", "", "timed", "taken", "oldest"]);
            Entry::new(at, "after_ack_wipe")
                .count(count)
                .lasting(number(rng, 0.4, 2.0))
                .how(how)
        }
        Loss::DiskFull => disk(rng, at, "disk_full", count),
        Loss::DiskStall => disk(rng, at, "disk_stall", count),
        Loss::DiskSlow => disk(rng, at, "disk_slow", count).number("x", number(rng, 15.0, 60.0)),
    }
}

/// A cut within the control machines; of three, one lasts for twenty seconds or so.
fn cut(rng: &mut Rng, at: f64, count: u64) -> Entry {
    let seconds = if chance(rng, 0.33) {
        number(rng, 15.0, 22.0)
    } else {
        number(rng, 0.5, 6.0)
    };
    let side = pick(
        rng,
        &[
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
        ],
    );
    let how = join(&[&target(rng), side, &meeting(rng)]);
    Entry::new(at, "core_cut")
        .count(count)
        .lasting(seconds)
        .how(how)
}

fn disk(rng: &mut Rng, at: f64, kind: &'static str, count: u64) -> Entry {
    Entry::new(at, kind)
        .count(count)
        .lasting(number(rng, 0.5, 4.0))
        .how(target(rng))
}

/// What comes with a loss in the same second.
pub(super) fn companion(rng: &mut Rng, at: f64, site: Site) -> Entry {
    let mut among = vec![
        Companion::CoreResets,
        Companion::CoreResets,
        Companion::AllResets,
        Companion::LostAcks,
        Companion::LostAnswers,
        Companion::Clocks,
        Companion::PrimaryCrash,
        Companion::PrimaryCrash,
        Companion::PrimaryCut,
        Companion::ReplicaLag,
        Companion::SlowMachines,
        Companion::RoutersCut,
        Companion::ServersCut,
    ];
    if site == Site::Grown {
        among.extend([Companion::ServersFlap, Companion::FalseHealth]);
    }
    let companion = pick(rng, &among);
    companion_entry(rng, at, companion)
}

fn companion_entry(rng: &mut Rng, at: f64, companion: Companion) -> Entry {
    let seconds = number(rng, 1.0, 6.0);
    match companion {
        Companion::CoreResets => Entry::new(at, "reset_conns")
            .text("on", "core")
            .number("share", 1.0)
            .number("x", number(rng, 0.4, 1.0)),
        Companion::AllResets => Entry::new(at, "reset_conns")
            .number("share", 0.6)
            .number("x", number(rng, 0.3, 1.0)),
        Companion::LostAcks => Entry::new(at, "ack_lost")
            .number("x", number(rng, 0.5, 1.0))
            .lasting(seconds),
        Companion::LostAnswers => {
            let how = pick(rng, &["", "primary", "reset primary"]);
            Entry::new(at, "answer_lost")
                .number("share", 0.5)
                .number("x", 0.05)
                .lasting(seconds)
                .how(how)
        }
        Companion::Clocks => {
            let how = pick(rng, &["back", "ahead"]);
            let step = Entry::new(at, "clock_step")
                .number("share", 0.6)
                .number("x", number(rng, 1000.0, 5000.0));
            step.lasting(seconds).how(how)
        }
        Companion::PrimaryCrash => {
            let how = pick(rng, &["primary", "dark primary"]);
            Entry::new(at, "srv_crash")
                .lasting(number(rng, 5.0, 8.0))
                .how(how)
        }
        Companion::PrimaryCut => {
            let how = pick(rng, &["", "replicas", "core", "one_way"]);
            Entry::new(at, "primary_cut")
                .number("share", 0.5)
                .lasting(seconds)
                .how(how)
        }
        Companion::ReplicaLag => {
            let how = pick(rng, &["", "deaf", "deaf crash"]);
            Entry::new(at, "replica_lag")
                .count(1)
                .number("x", 60.0)
                .lasting(seconds)
                .how(how)
        }
        Companion::SlowMachines => Entry::new(at, "node_slow")
            .number("share", 0.3)
            .number("x", number(rng, 3.0, 6.0))
            .lasting(seconds),
        Companion::RoutersCut => {
            let how = pick(rng, &["", "reset", "refuse"]);
            Entry::new(at, "node_cut")
                .number("share", 0.3)
                .lasting(seconds)
                .how(how)
        }
        Companion::ServersCut => {
            let how = pick(
                rng,
                &["", "fronts", "some", "some lossy", "one_way", "reset"],
            );
            let cut = Entry::new(at, "srv_cut")
                .number("share", 0.4)
                .number("x", 0.5);
            cut.lasting(seconds).how(how)
        }
        Companion::ServersFlap => Entry::new(at, "srv_flap")
            .number("share", 0.1)
            .number("gap_s", 1.4)
            .lasting(seconds),
        Companion::FalseHealth => {
            let how = pick(rng, &["errors", "hang", "reset", "bad"]);
            Entry::new(at, "srv_lying_health")
                .number("share", 0.1)
                .lasting(seconds)
                .how(how)
        }
    }
}

/// Planned work that goes on while the moment's losses strike.
pub(super) fn planned(rng: &mut Rng, at: f64) -> Entry {
    match rng.u8(0..7) {
        0 | 1 => Entry::new(at, "release").how("primary"),
        2 => Entry::new(at, "release")
            .number("share", 0.5)
            .number("x", 2.0)
            .number("gap_s", 0.4),
        3 => {
            let how = pick(rng, &["", "busy"]);
            let roll = Entry::new(at, "roll_term")
                .text("on", "core")
                .number("share", 1.0)
                .number("x", 1.0);
            roll.number("gap_s", number(rng, 0.3, 1.5)).how(how)
        }
        4 => {
            let roll = Entry::new(at, "roll_term")
                .text("on", "front")
                .number("share", 0.6);
            let several = roll.number("x", pick(rng, &[1.0, 2.0, 4.0]));
            several
                .number("gap_s", number(rng, 1.0, 4.0))
                .how(pick(rng, &["", "busy"]))
        }
        5 => Entry::new(at, "bad_config").count(4).number("gap_s", 0.3),
        _ => Entry::new(at, "hup")
            .number("share", 0.6)
            .number("gap_s", 0.5),
    }
}

/// All control machines at once, which no budget bounds.
pub(super) fn all_killed(rng: &mut Rng, at: f64) -> Entry {
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

/// What is sent to that machine when it returns, and during a cut.
fn meeting(rng: &mut Rng) -> String {
    let orders = pick(rng, &["", "meet", "race", "race", "hard"]);
    let servers = pick(rng, &["", "", "drain"]);
    join(&[orders, servers])
}

/// The words that aren't empty, with a blank between them.
fn join(words: &[&str]) -> String {
    let words: Vec<&str> = words
        .iter()
        .copied()
        .filter(|word| !word.is_empty())
        .collect();
    words.join(" ")
}
