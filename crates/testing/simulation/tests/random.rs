//! Faults by chance on fixed seeds; many more are played with `badgerstream-simulate`.

use badgerstream_simulation::faults::{FaultRun, LossPolicy};

fn play(losses: LossPolicy, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let (machines, budget) = [(3, 1), (5, 2), (6, 2), (4, 1)][(seed % 4) as usize];
        let mut run = FaultRun::new(seed, machines, budget, losses);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run.play(40.0)));
        assert!(
            played.is_ok(),
            "seed {seed}, machines {machines}, budget {budget}: {}",
            run.fault_log.join("; ")
        );
    }
}

#[test]
fn faults_by_chance() {
    play(LossPolicy::WithinBudget, 0..120);
}

/// Any number of machines is lost at once, halves are cut from each other, and no more disks are lost than the budget allows: what
/// holds for every machine, in touch or not, holds all along, and service is back `RECOVERY_S` behind the last return.
#[test]
fn faults_beyond_the_budget() {
    play(LossPolicy::BeyondBudget, 0..80);
}
