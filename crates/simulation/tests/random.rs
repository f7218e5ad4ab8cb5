//! Faults by chance on fixed seeds; many more are played with `badgersimulate`.

use badgerstream_simulation::faults::FaultRun;

#[test]
fn faults_by_chance() {
    for seed in 0..120 {
        let (machines, budget) = [(3, 1), (5, 2), (6, 2), (4, 1)][(seed % 4) as usize];
        let mut run = FaultRun::new(seed, machines, budget);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run.play(40.0)));
        assert!(
            played.is_ok(),
            "seed {seed}, machines {machines}, budget {budget}: {}",
            run.story.join("; ")
        );
    }
}
