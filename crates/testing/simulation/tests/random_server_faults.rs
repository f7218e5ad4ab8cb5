//! Random faults that strike the database servers and the control machines together. The same runs
//! are played by `badgerstream-simulate --servers`.

use badgerstream_simulation::faults::ServerFaultRun;

/// Number of runs.
const RUNS: u64 = 120;
/// Simulated time with faults in each run, in seconds.
const SECONDS: f64 = 40.0;
/// Number of threads that share the runs.
const THREADS: u64 = 4;

/// Guards against any order of such faults in which silence, absence or forgetting is taken for
/// proof that nobody has a newer commit, and against one after which writes stop for good.
#[test]
fn no_commit_is_lost_by_random_faults_of_servers() {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for seed in (thread..RUNS).step_by(THREADS as usize) {
                    println!("seed {seed}");
                    ServerFaultRun::new(seed).play(SECONDS);
                }
            });
        }
    });
}
