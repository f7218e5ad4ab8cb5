//! Random faults on fixed seeds; `badgerstream-simulate` plays many more.

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
fn random_faults_within_the_budget() {
    play(LossPolicy::WithinBudget, 0..120);
}

/// Any number of machines is lost at once, halves are partitioned, and no more disks are lost than
/// the budget allows: safety holds at every event, and service is back within `RECOVERY_S` of the
/// return of the last machine.
#[test]
fn random_faults_beyond_the_budget() {
    play(LossPolicy::BeyondBudget, 0..80);
}
