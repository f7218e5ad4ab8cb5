//! How many rigs play at once. A play is some twelve processes: more of them than the machine has room for, besides
//! what else runs on it, would show the machine.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Processors that have to be free before one more rig plays beside others.
const PROCESSORS: f64 = 3.0;
/// Who was let in last uses what it needs after this.
const SETTLED: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_millis(500);
/// Who is to play alone waits so long at most for the machine to have room.
const PATIENCE: Duration = Duration::from_secs(10);

struct Places {
    playing: usize,
    /// So many wait until nobody else plays: nobody is let in before them.
    waiting_alone: usize,
    let_in: Option<Instant>,
}

static PLACES: Mutex<Places> = Mutex::new(Places {
    playing: 0,
    waiting_alone: 0,
    let_in: None,
});
static CHANGED: Condvar = Condvar::new();

/// Plays once there is room beside the others, or, alone, once nobody else plays.
pub(super) fn with<T>(alone: bool, play: impl FnOnce() -> T) -> T {
    let _place = if alone {
        Place::enter_alone()
    } else {
        Place::enter()
    };
    play()
}

fn places() -> MutexGuard<'static, Places> {
    PLACES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Who has one plays; those that play alone keep all others out.
struct Place {
    alone: bool,
}

impl Place {
    fn enter() -> Place {
        loop {
            let free = free_processors();
            let mut places = places();
            if places.have_room(free) {
                (places.playing, places.let_in) = (places.playing + 1, Some(Instant::now()));
                return Place { alone: false };
            }
        }
    }

    fn enter_alone() -> Place {
        let mut places = places();
        places.waiting_alone += 1;
        let busy = |places: &mut Places| places.playing > 0;
        let mut places = CHANGED
            .wait_while(places, busy)
            .unwrap_or_else(PoisonError::into_inner);
        places.playing += 1;
        drop(places);
        let begun = Instant::now();
        while free_processors() < PROCESSORS && begun.elapsed() < PATIENCE {}
        Place { alone: true }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut places = places();
        places.playing -= 1;
        places.waiting_alone -= usize::from(self.alone);
        CHANGED.notify_all();
    }
}

impl Places {
    fn have_room(&self, free: f64) -> bool {
        let most = thread::available_parallelism().map_or(1, |cores| (cores.get() / 2).max(1));
        let settled = self.let_in.is_none_or(|at| at.elapsed() >= SETTLED);
        let beside = self.playing < most && settled && free >= PROCESSORS;
        self.waiting_alone == 0 && (self.playing == 0 || beside)
    }
}

/// How many processors nobody uses now; all where the system does not tell.
fn free_processors() -> f64 {
    let before = ticks();
    thread::sleep(MEASURED);
    let (Some((idle_before, all_before)), Some((idle, all))) = (before, ticks()) else {
        return f64::INFINITY;
    };
    let cores = thread::available_parallelism().map_or(1.0, |cores| cores.get() as f64);
    cores * (idle - idle_before) / (all - all_before).max(1.0)
}

/// Ticks of all processors since the system's start: idle, and in all.
fn ticks() -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string("/proc/stat").ok()?;
    let ticks = stat
        .lines()
        .next()?
        .split_whitespace()
        .skip(1)
        .filter_map(|ticks| ticks.parse().ok());
    // The last two, guests', are in the first two as well.
    let ticks: Vec<f64> = ticks.take(8).collect();
    Some((ticks.get(3)? + ticks.get(4)?, ticks.iter().sum()))
}
