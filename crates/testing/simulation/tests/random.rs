//! Faults by chance on fixed seeds; many more are played with `badgerstream-simulate`.

use badgerstream_simulation::faults::{FaultRun, Losses};

fn play(losses: Losses, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let (machines, budget) = [(3, 1), (5, 2), (6, 2), (4, 1)][(seed % 4) as usize];
        let mut run = FaultRun::new(seed, machines, budget, losses);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run.play(40.0)));
        assert!(
            played.is_ok(),
            "seed {seed}, machines {machines}, budget {budget}: {}",
            run.story.join("; ")
        );
    }
}

#[test]
fn faults_by_chance() {
    play(Losses::WithinBudget, 0..120);
}

/// Any number of machines is lost at once, halves are cut from each other, and no more disks are lost than the budget allows: what
/// holds for every machine, in touch or not, holds all along, and service is back `RECOVERY` behind the last return.
#[test]
fn faults_beyond_the_budget() {
    play(Losses::BeyondBudget, 0..80);
}
