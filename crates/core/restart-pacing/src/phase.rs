//! The phases of a router from its start, or the end of a stall, to full service. Each phase has an entry, an exit and
//! a maximum duration.

use crate::Settings;

/// A phase of restart pacing. The log prints the names in lower case.
///
/// | phase | entered | may do | left for |
/// | --- | --- | --- | --- |
/// | listing | start; end of a stall | nothing is sent, opened or probed | sounding (discovery answered), turns (it did not in time) |
/// | sounding | the list of nodes is there | one connection in all | full (the other routers hold their connections), turns (other routers return too, refused connections, no evidence in time) |
/// | turns | other routers return too, or may do so | one connection per node in each of its slots; one more statement in flight after each good execution | climbing (one cycle of slots and `calm_ms` without evidence of others) |
/// | climbing | no evidence of others | connections grow by half at a time; one more statement in flight after each good execution | full (`calm_ms` without evidence of others), turns (evidence of others) |
/// | full | | everything, but no more connections opening at once than there are; connections only in its slots at a crowded node | listing (a stall) |
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Waits for the list of nodes from discovery.
    #[default]
    Listing,
    /// Opens one connection, to find out whether other routers return at the same time.
    Sounding,
    /// Opens connections only in this router's time slots, its turns.
    Turns,
    /// Ramps up connections and statements.
    Climbing,
    /// Full service.
    Full,
}

/// What shows whether other routers return at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// A node holds about as many connections as the other routers should have there.
    OthersInService,
    /// A node refuses connections, is slow to complete a handshake, or has many new connections.
    OthersReturning,
}

/// Maximum number of returns from climbing to turns. Without a bound, the ramp-up might never end.
const MAX_STEPS_BACK: u32 = 3;

#[derive(Clone, Debug)]
pub(crate) struct PhaseState {
    pub phase: Phase,
    since: f64,
    /// Time of the last evidence in this phase that other routers return, or else of its beginning.
    last_evidence: f64,
    steps_back: u32,
    /// Whether discovery has answered since the start or the last stall.
    discovery_answered: bool,
}

impl PhaseState {
    pub(crate) fn starting(now: f64) -> PhaseState {
        PhaseState {
            phase: Phase::Listing,
            since: now,
            last_evidence: now,
            steps_back: 0,
            discovery_answered: false,
        }
    }

    pub(crate) fn in_service(now: f64) -> PhaseState {
        PhaseState {
            phase: Phase::Full,
            ..PhaseState::starting(now)
        }
    }

    pub(crate) fn discovery_answered(&mut self) {
        self.discovery_answered = true;
    }

    pub(crate) fn observe(&mut self, now: f64, evidence: Evidence) {
        match (self.phase, evidence) {
            (Phase::Sounding, Evidence::OthersInService) => self.enter(now, Phase::Full),
            (Phase::Sounding, Evidence::OthersReturning) => self.enter(now, Phase::Turns),
            (Phase::Climbing, Evidence::OthersReturning) if self.steps_back < MAX_STEPS_BACK => {
                self.steps_back += 1;
                self.enter(now, Phase::Turns);
            }
            (Phase::Turns | Phase::Climbing, Evidence::OthersReturning) => {
                self.last_evidence = now;
            }
            _ => {}
        }
    }

    fn enter(&mut self, now: f64, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.last_evidence = now;
    }

    /// Enters the next phase if the present one has reached its exit or its maximum duration. Returns whether it did.
    pub(crate) fn advance(&mut self, now: f64, settings: &Settings, cycle_s: f64) -> bool {
        let stayed_ms = (now - self.since) * 1e3;
        let calm_ms = (now - self.last_evidence) * 1e3;
        let overdue = stayed_ms >= settings.longest_ms;
        let next = match self.phase {
            Phase::Listing if self.discovery_answered => Phase::Sounding,
            // Discovery that does not answer points to a failure that other routers share.
            Phase::Listing if stayed_ms >= settings.list_wait_ms => Phase::Turns,
            Phase::Sounding if stayed_ms >= settings.sounding_ms => Phase::Turns,
            Phase::Turns if calm_ms >= (cycle_s * 1e3).max(settings.calm_ms) || overdue => {
                Phase::Climbing
            }
            Phase::Climbing if calm_ms >= settings.calm_ms || overdue => Phase::Full,
            _ => return false,
        };
        self.enter(now, next);
        true
    }
}
