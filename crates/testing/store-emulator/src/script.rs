//! What goes wrong and when: a script drawn ahead from a seed, and its playing. Steps name roles, which are
//! looked up when they are due.

use crate::Emulator;
use crate::node::Point;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The kinds of trouble that a run is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Primaries die in the midst of a write; others are promoted, and the dead come back cold.
    Kill,
    /// Planned: the primary drains and hands over.
    Switchover,
    /// The new primary dies while the change to it is settling.
    Double,
    /// The primary hangs or is cut off and comes back believing that it still leads.
    Hang,
    /// Any of these.
    Mixed,
    /// As kill, for clients that wait less than a change takes.
    Impatient,
}

impl FromStr for Plan {
    type Err = String;

    fn from_str(name: &str) -> Result<Plan, String> {
        Ok(match name {
            "kill" => Plan::Kill,
            "switchover" => Plan::Switchover,
            "double" => Plan::Double,
            "hang" => Plan::Hang,
            "mixed" => Plan::Mixed,
            "impatient" => Plan::Impatient,
            _ => return Err(format!("there is no plan {name:?}")),
        })
    }
}

/// One thing done to a group. `Old` is who led before the last promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The primary dies at this point of its next write.
    Arm(Point),
    /// It dies now, if it has not already.
    KillPrimary,
    Promote,
    RestartOld,
    DrainPrimary,
    /// Who drains is in service again.
    EndDrain,
    HangPrimary,
    /// It is silent, and the other members no longer reach it.
    CutPrimary,
    /// The one that hung speaks again, still cut off if it was.
    WakeOld,
    JoinOld,
}

/// Steps by their time since the start, in milliseconds, and their group.
pub type Script = Vec<(u64, u16, Step)>;

/// Draws changes for all groups, one after another in each, from `from` to `until`.
pub fn draw(plan: Plan, seed: u64, groups: u16, from: u64, until: u64) -> Script {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut script = Script::new();
    for group in 0..groups {
        let mut at = from + chance.u64(0..400);
        while at < until {
            let kind = match plan {
                Plan::Mixed => *chance
                    .choice([Plan::Kill, Plan::Switchover, Plan::Double, Plan::Hang].iter())
                    .unwrap_or(&Plan::Kill),
                other => other,
            };
            let steps = change(kind, &mut chance);
            let length = steps.last().map_or(0, |last| last.0);
            script.extend(
                steps
                    .into_iter()
                    .map(|(after, step)| (at + after, group, step)),
            );
            at += length + chance.u64(400..900);
        }
    }
    script.sort_by_key(|step| step.0);
    script
}

fn change(kind: Plan, chance: &mut fastrand::Rng) -> Vec<(u64, Step)> {
    let point = [Point::Before, Point::During, Point::After][chance.usize(0..3)];
    let takes = chance.u64(250..700);
    match kind {
        Plan::Switchover => {
            vec![
                (0, Step::DrainPrimary),
                (takes, Step::Promote),
                (takes + 300, Step::EndDrain),
            ]
        }
        Plan::Double => {
            let second = takes + chance.u64(20..200);
            let again = second + chance.u64(200..500);
            vec![
                (0, Step::Arm(point)),
                (60, Step::KillPrimary),
                (takes - 20, Step::RestartOld),
                (takes, Step::Promote),
                (second, Step::KillPrimary),
                (again, Step::Promote),
                (again + 200, Step::RestartOld),
            ]
        }
        Plan::Hang => {
            let cut = chance.bool();
            let stop = if cut {
                Step::CutPrimary
            } else {
                Step::HangPrimary
            };
            let wakes = takes + chance.u64(100..400);
            vec![
                (0, stop),
                (takes, Step::Promote),
                (wakes, Step::WakeOld),
                (wakes + 200, Step::JoinOld),
            ]
        }
        _ => vec![
            (0, Step::Arm(point)),
            (60, Step::KillPrimary),
            (takes, Step::Promote),
            (takes + 250, Step::RestartOld),
        ],
    }
}

/// Plays it from now on until its end; tells how many promotions there were. `over` ends it early.
pub fn play(emulator: &Emulator, script: &Script, over: &dyn Fn() -> bool) -> usize {
    let (start, mut promoted) = (Instant::now(), 0);
    for (at, group, step) in script {
        let due = start + Duration::from_millis(*at);
        while Instant::now() < due {
            if over() && !step.mends() {
                return promoted;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        promoted += usize::from(emulator.step(*group, *step));
    }
    promoted
}

impl Step {
    /// What brings a group back into order is played to the end.
    fn mends(self) -> bool {
        !matches!(
            self,
            Step::Arm(_)
                | Step::KillPrimary
                | Step::DrainPrimary
                | Step::HangPrimary
                | Step::CutPrimary
        )
    }
}
