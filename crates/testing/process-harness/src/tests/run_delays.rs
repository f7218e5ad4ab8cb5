//! What threads waited for a processor, from the kernel's own figures.

use crate::run_delay::{Readings, delays, run_delay};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use test_case::test_case;

fn reading(thread: &str, ms: u64) -> (PathBuf, Duration) {
    (PathBuf::from(thread), Duration::from_millis(ms))
}

#[test_case("2278396 6739209 3", Some(6_739_209); "as the kernel tells it")]
#[test_case("2278396", None; "cut off")]
#[test_case("a b c", None; "no numbers")]
fn the_second_number_is_the_delay(line: &str, nanoseconds: Option<u64>) {
    assert_eq!(run_delay(line), nanoseconds.map(Duration::from_nanos));
}

#[test]
fn half_a_second_of_one_thread_is_added_up() {
    let mut readings = Readings::from(vec![reading("a", 900), reading("b", 0)]);
    readings.sample(&[reading("a", 930), reading("b", 20)]);
    assert_eq!(
        readings.longest,
        Duration::from_millis(30),
        "what it waited before counts for nothing"
    );
    for more in 1..=4 {
        readings.sample(&[reading("a", 930 + more * 10), reading("b", 20)]);
    }
    assert_eq!(
        readings.longest,
        Duration::from_millis(70),
        "five readings, of one thread"
    );
    readings.sample(&[reading("a", 980), reading("b", 20)]);
    assert_eq!(
        readings.longest,
        Duration::from_millis(70),
        "the first of them is half a second old"
    );
    readings.sample(&[reading("c", 200)]);
    assert_eq!(
        readings.longest,
        Duration::from_millis(200),
        "a new one's counts from its start"
    );
}

/// Children that share one processor, and end with the test.
struct Busy(Vec<Child>);

impl Busy {
    fn start(count: usize) -> Busy {
        // Children go where the thread that starts them may go.
        let start = move || {
            let allowed = sched_getaffinity(None).unwrap();
            let first = (0..CpuSet::MAX_CPU)
                .find(|cpu| allowed.is_set(*cpu))
                .unwrap();
            let mut one = CpuSet::new();
            one.set(first);
            sched_setaffinity(None, &one).unwrap();
            let child = || {
                Command::new("sh")
                    .args(["-c", "while :; do :; done"])
                    .spawn()
                    .unwrap()
            };
            Busy((0..count).map(|_| child()).collect())
        };
        std::thread::spawn(start).join().unwrap()
    }

    fn ids(&self) -> Vec<u32> {
        self.0.iter().map(Child::id).collect()
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0
            .iter_mut()
            .for_each(|child| _ = (child.kill(), child.wait()));
    }
}

#[test]
fn who_shares_a_processor_is_seen_to_wait() {
    let busy = Busy::start(2);
    let mut readings = Readings::from(delays(&busy.ids()));
    let begun = Instant::now();
    while readings.longest < Duration::from_millis(150) {
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "{:?}",
            readings.longest
        );
        std::thread::sleep(Duration::from_millis(100));
        readings.sample(&delays(&busy.ids()));
    }
}

/// Who is stopped does not wait for the machine.
#[test]
fn a_process_that_is_stopped_waits_for_nothing() {
    let stopped = Busy::start(1);
    let process = Pid::from_raw(stopped.ids()[0] as i32).unwrap();
    kill_process(process, Signal::STOP).unwrap();
    waitpid(Some(process), WaitOptions::UNTRACED).unwrap();
    let before = delays(&stopped.ids());
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(delays(&stopped.ids()), before);
    assert_eq!(before.len(), 1);
}
