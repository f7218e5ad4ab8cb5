//! The digest of a run: one number for all that it decided and when.
//!
//! It is fed with numbers and bytes that the decisions settle on: times, leaders, terms, epochs, states. Nothing in it is the
//! name or the text of a type, a variant or an event, so renaming code leaves it as it is. It draws no chance and
//! changes no event.

use crate::operators::ChangeOutcome;
use crate::simulation::Simulation;
use badgerstream_control::NodeId;
use std::fmt;

/// FNV-1a with 64 bits.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The kinds of notes, as numbers that never change their meaning.
pub(crate) mod note {
    pub(crate) const LEADER: u64 = 1;
    pub(crate) const AGREED: u64 = 2;
    pub(crate) const ORDER_ACKNOWLEDGED: u64 = 3;
    pub(crate) const ORDER_REFUSED: u64 = 4;
    pub(crate) const CONFIG_READ: u64 = 5;
    pub(crate) const CONFIG_IN_FORCE: u64 = 6;
    pub(crate) const PRIMARY_GRANTED: u64 = 7;
    pub(crate) const PROMOTION_ASKED: u64 = 8;
    pub(crate) const PROMOTED: u64 = 9;
    pub(crate) const COMMIT_ACKNOWLEDGED: u64 = 10;
    pub(crate) const END: u64 = 11;
}

/// A hash that runs along with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDigest(u64);

impl Default for RunDigest {
    fn default() -> RunDigest {
        RunDigest(OFFSET_BASIS)
    }
}

impl RunDigest {
    /// Adds bytes, with their length, so that two texts in a row are told from another two.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// Adds a time, to its last bit.
    pub fn time(&mut self, seconds: f64) {
        self.number(seconds.to_bits());
    }

    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}

impl fmt::Display for RunDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What the digest last noted of what is looked at after every event.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastRecorded {
    leader: Option<NodeId>,
    /// The primary that each router may use, and its term.
    primaries: Vec<Option<(String, u64)>>,
}

/// 0 stands for nobody.
fn node_number(node: Option<NodeId>) -> u64 {
    node.map_or(0, u64::from)
}

impl Simulation {
    /// Notes that something of this kind happened now, with its numbers.
    pub(crate) fn record(&mut self, kind: u64, numbers: &[u64]) {
        self.run_digest.number(kind);
        self.run_digest.time(self.now);
        for number in numbers {
            self.run_digest.number(*number);
        }
    }

    /// Notes who leads and which primary each router may use, where that has changed.
    pub(crate) fn record_changes(&mut self) {
        let leader = self.leader();
        if leader != self.last_recorded.leader {
            self.last_recorded.leader = leader;
            self.record(note::LEADER, &[node_number(leader)]);
        }
        self.last_recorded
            .primaries
            .resize(self.routers.len(), None);
        for at in 0..self.routers.len() {
            let router = &self.routers[at];
            let primary = router
                .usable_primary(self.now + router.clock_offset)
                .map(|grant| (grant.server_id.as_str(), grant.primary_term));
            let before = self.last_recorded.primaries[at].as_ref();
            if primary == before.map(|(id, term)| (id.as_str(), *term)) {
                continue;
            }
            let primary = primary.map(|(id, term)| (id.to_owned(), term));
            let (id, term) = primary.clone().unwrap_or_default();
            self.record(note::PRIMARY_GRANTED, &[at as u64, term]);
            self.run_digest.bytes(id.as_bytes());
            self.last_recorded.primaries[at] = primary;
        }
    }

    /// The digest of the run so far: what was noted on the way, and how all stands now.
    pub fn digest(&self) -> RunDigest {
        let mut digest = self.run_digest;
        digest.number(note::END);
        digest.time(self.now);
        digest.number(node_number(self.leader()));
        digest.number(self.config_changes.len() as u64);
        for order in &self.config_changes {
            digest.number(order.base_epoch);
            digest.number(order.epoch);
            digest.bytes(&order.body);
            digest.number(match order.outcome {
                ChangeOutcome::Pending => 0,
                ChangeOutcome::Acknowledged => 1,
                ChangeOutcome::Rejected => 2,
            });
            digest.time(order.acknowledged_at);
        }
        for (node, machine) in &self.machines {
            digest.number(u64::from(*node));
            digest.number(u64::from(machine.removed));
            let Some(controller) = &machine.controller else {
                continue;
            };
            let record = controller.consensus().hard_state();
            digest.number(record.voted_term.0);
            digest.number(record.state.version);
            digest.number(record.state.config_epoch);
            digest.bytes(record.state.digest().bytes());
        }
        for router in &self.routers {
            digest.number(router.active_config_epoch);
            digest.time(router.lease_until);
        }
        for (id, server) in &self.servers {
            digest.bytes(id.as_bytes());
            digest.number(u64::from(server.is_primary));
            digest.number(server.primary_term);
            for (term, commit) in &server.log {
                digest.number(*term);
                digest.number(*commit);
            }
        }
        digest.number(self.acknowledged_commits.len() as u64);
        digest.number(self.promotions.len() as u64);
        // How often chance was asked shows in what it would give next.
        digest.number(self.chance.clone().below(u64::MAX));
        digest
    }
}
