//! What a router is in the midst of, from its start or its waking until all is as ever. Each phase has an entry,
//! an exit and a longest stay.

use crate::Settings;

/// | phase | entered | may do | left for |
/// | --- | --- | --- | --- |
/// | listing | start; a standstill | nothing is sent, opened or probed | sounding (discovery spoke), turns (it did not in time) |
/// | sounding | the list is there | one connection in all | full (others hold theirs), turns (others come back, refusals, no answer in time) |
/// | turns | it is not alone, or can't tell | a connection a node and turn, one more statement a good answer | climbing (a cycle and the calm time without a sign) |
/// | climbing | no sign of others | connections double, one more statement a good answer | full (the calm time without a sign), turns (a sign) |
/// | full | | all, but no more new connections at once than there are; turns at a node that is crowded | listing (a standstill) |
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    #[default]
    Listing,
    Sounding,
    Turns,
    Climbing,
    Full,
}

/// What tells whether others come back at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sign {
    /// A node holds about as many connections as the others should have there.
    Alone,
    /// A node refuses, is late with a handshake, or has many new connections.
    Crowd,
}

/// How often it goes back from climbing to turns: beyond, it would never end.
const STEPS_BACK: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct Course {
    pub phase: Phase,
    since: f64,
    /// When there was a sign of others last, in this phase.
    signed: f64,
    back: u32,
    /// Discovery has spoken since the start or the standstill.
    spoke: bool,
}

impl Course {
    pub(crate) fn begin(now: f64) -> Course {
        Course {
            phase: Phase::Listing,
            since: now,
            signed: now,
            back: 0,
            spoke: false,
        }
    }

    pub(crate) fn done(now: f64) -> Course {
        Course {
            phase: Phase::Full,
            ..Course::begin(now)
        }
    }

    pub(crate) fn spoke(&mut self) {
        self.spoke = true;
    }

    /// A sign that is there.
    pub(crate) fn sign(&mut self, now: f64, sign: Sign) {
        match (self.phase, sign) {
            (Phase::Sounding, Sign::Alone) => self.enter(now, Phase::Full),
            (Phase::Sounding, Sign::Crowd) => self.enter(now, Phase::Turns),
            (Phase::Climbing, Sign::Crowd) if self.back < STEPS_BACK => {
                self.back += 1;
                self.enter(now, Phase::Turns);
            }
            (Phase::Turns | Phase::Climbing, Sign::Crowd) => self.signed = now,
            _ => {}
        }
    }

    fn enter(&mut self, now: f64, phase: Phase) {
        (self.phase, self.since, self.signed) = (phase, now, now);
    }

    /// Goes on where a phase's exit or longest stay is there; true if it did.
    pub(crate) fn pass(&mut self, now: f64, settings: &Settings, cycle: f64) -> bool {
        let stayed = (now - self.since) * 1e3;
        let quiet = (now - self.signed) * 1e3;
        let over = stayed >= settings.longest_ms;
        let next = match self.phase {
            Phase::Listing if self.spoke => Phase::Sounding,
            // A silent discovery is a sign of a trouble that others share.
            Phase::Listing if stayed >= settings.list_wait_ms => Phase::Turns,
            Phase::Sounding if stayed >= settings.sounding_ms => Phase::Turns,
            Phase::Turns if quiet >= (cycle * 1e3).max(settings.calm_ms) || over => Phase::Climbing,
            Phase::Climbing if quiet >= settings.calm_ms || over => Phase::Full,
            _ => return false,
        };
        self.enter(now, next);
        true
    }
}
