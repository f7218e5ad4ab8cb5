//! A record of operators' requests and their responses, and a check that it is linearizable: that a
//! single order of versions explains all responses. Tests fill a [`History`]; the check only reads
//! it.
//!
//! The configuration is a register with conditional writes: a request takes effect only if its base
//! version is in force. A checker for registers in general must search all orders of writes; here
//! no search is needed. Each request names its base version and no two versions have the same
//! epoch, so the versions known to have been applied form a chain, which is the order of all
//! writes. Bodies differ between requests, so a read identifies the request that it saw. What
//! remains is to compare times. Each operation has one place in the chain (a rejection may have any
//! place at which a version other than its base is in force). If one operation ended before another
//! was sent, its place must not be after the other's.

use std::collections::BTreeMap;
use thiserror::Error;

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Its `epoch`.
    pub epoch: u64,
    /// The configuration as it was sent.
    pub body: String,
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// 200: the configuration is applied.
    Acknowledged,
    /// A 4xx status that ends the request: the configuration is not applied, and never will be.
    Rejected(u16),
    /// Any other status, a connection error, or a timeout: it may be applied, now or later.
    Unknown,
}

/// One attempt to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Time at which it was sent, in seconds.
    pub sent_at_s: f64,
    /// Time at which it was answered or timed out, in seconds.
    pub ended_at_s: f64,
    /// Its outcome.
    pub outcome: Outcome,
}

/// A request to replace the configuration, with all its attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigRequest {
    /// The epoch of its base version; 0 if there is none.
    pub base_epoch: u64,
    /// The version that it sends.
    pub version: Version,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl ConfigRequest {
    fn is_acknowledged(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Outcome::Acknowledged)
    }

    fn rejections(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| matches!(attempt.outcome, Outcome::Rejected(_)))
    }

    fn is_unknown(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome == Outcome::Unknown)
    }
}

/// A read of the newest version.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigRead {
    /// Time at which it was sent, in seconds.
    pub sent_at_s: f64,
    /// Time at which it was answered, in seconds.
    pub ended_at_s: f64,
    /// The version that was read; `None` before the first version.
    pub version: Option<Version>,
}

/// All operations of all operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// The requests to replace the configuration.
    pub requests: Vec<ConfigRequest>,
    /// The successful reads.
    pub reads: Vec<ConfigRead>,
}

/// The reason why no single order of versions explains a history. Versions are identified by their
/// epochs.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// A version was read, or is the base of an applied version, but no request contained it.
    #[error(
        "version {0} was read or is the base of an applied version, but no request contained it"
    )]
    UnknownVersion(u64),
    /// Two versions were applied, and neither is based on the other.
    #[error("versions {0} and {1} were both applied, but neither is based on the other")]
    Fork(u64, u64),
    /// A version was rejected and applied.
    #[error("version {0} was rejected, but is applied")]
    RejectedAndApplied(u64),
    /// A version was rejected although its base was in force during the whole attempt.
    #[error("version {0} was rejected although its base was the newest version")]
    WronglyRejected(u64),
    /// The first operation ended before the second was sent, but comes after it in the order of
    /// versions.
    #[error("{0} ended before {1} was sent, but comes after it in the order of versions")]
    OutOfOrder(String, String),
}

/// An operation and its place in the chain. Version number `n` of the chain, counted from 1, is
/// written at place `2n` and in force at place `2n + 1`. At place 1 no version is in force yet.
#[derive(Debug, Clone, PartialEq)]
struct PlacedOperation {
    sent_at_s: f64,
    ended_at_s: f64,
    place: usize,
    name: String,
}

/// Returns the place at which the version with this index in the chain is written.
fn write_place(index: usize) -> usize {
    2 * (index + 1)
}

/// Returns whether this place lies between two writes, so that no version is being written at it.
fn is_in_force_place(place: usize) -> bool {
    place % 2 == 1
}

/// Returns the epoch in force at this place; 0 before the first version.
fn epoch_in_force(chain: &[&ConfigRequest], place: usize) -> u64 {
    place
        .checked_sub(2)
        .map_or(0, |after_first| chain[after_first / 2].version.epoch)
}

impl History {
    /// Returns the epochs of the applied versions in the single order that explains the history, or
    /// the reason why there is no such order.
    pub fn linearize(&self) -> Result<Vec<u64>, Violation> {
        let chain = self.chain()?;
        let mut placed = self.place_writes(&chain)?;
        placed.extend(self.place_reads(&chain)?);
        check_order(&placed)?;
        self.place_rejections(&chain, placed)?;
        Ok(chain.iter().map(|request| request.version.epoch).collect())
    }

    /// Returns the requests known to have been applied, each after its base.
    fn chain(&self) -> Result<Vec<&ConfigRequest>, Violation> {
        let known = self.known_applied()?;
        let mut chain = Vec::new();
        let mut next = known
            .values()
            .max_by_key(|request| request.version.epoch)
            .copied();
        while let Some(request) = next {
            chain.push(request);
            next = self.base_of(request, &known);
            if next.is_none() && request.base_epoch > 0 {
                return Err(Violation::UnknownVersion(request.base_epoch));
            }
        }
        chain.reverse();
        let newest = chain.last().map_or(0, |request| request.version.epoch);
        let in_chain = |version: &Version| chain.iter().any(|request| request.version == *version);
        match known.keys().find(|version| !in_chain(version)) {
            Some(aside) => Err(Violation::Fork(aside.epoch, newest)),
            None => Ok(chain),
        }
    }

    /// Returns the requests that were acknowledged or whose version was read.
    fn known_applied(&self) -> Result<BTreeMap<&Version, &ConfigRequest>, Violation> {
        let acknowledged = self.requests.iter().filter(|r| r.is_acknowledged());
        let mut known: BTreeMap<_, _> = acknowledged.map(|r| (&r.version, r)).collect();
        for version in self.reads.iter().filter_map(|read| read.version.as_ref()) {
            let request = self.requests.iter().find(|r| r.version == *version);
            let request = request.ok_or(Violation::UnknownVersion(version.epoch))?;
            known.insert(version, request);
        }
        Ok(known)
    }

    /// Returns the request that contains the base version of another one: preferably one known to
    /// have been applied, otherwise one with an unknown outcome.
    fn base_of<'a>(
        &'a self,
        request: &ConfigRequest,
        known: &BTreeMap<&Version, &'a ConfigRequest>,
    ) -> Option<&'a ConfigRequest> {
        let is_base = |base: &ConfigRequest| base.version.epoch == request.base_epoch;
        let applied = known.values().copied().find(|base| is_base(base));
        applied.or_else(|| {
            self.requests
                .iter()
                .find(|base| is_base(base) && base.is_unknown())
        })
    }

    fn place_writes(&self, chain: &[&ConfigRequest]) -> Result<Vec<PlacedOperation>, Violation> {
        let mut placed = Vec::new();
        for request in &self.requests {
            let Some(index) = chain.iter().position(|r| r.version == request.version) else {
                continue;
            };
            if request.rejections().next().is_some() {
                return Err(Violation::RejectedAndApplied(request.version.epoch));
            }
            placed.extend(place_write(request, write_place(index)));
        }
        Ok(placed)
    }

    fn place_reads(&self, chain: &[&ConfigRequest]) -> Result<Vec<PlacedOperation>, Violation> {
        let place = |read: &ConfigRead| {
            let Some(version) = &read.version else {
                return Ok(1);
            };
            let index = chain.iter().position(|r| r.version == *version);
            let index = index.ok_or(Violation::UnknownVersion(version.epoch))?;
            Ok(write_place(index) + 1)
        };
        let reads = self.reads.iter().map(|read| {
            let epoch = read.version.as_ref().map_or(0, |version| version.epoch);
            Ok(PlacedOperation {
                sent_at_s: read.sent_at_s,
                ended_at_s: read.ended_at_s,
                place: place(read)?,
                name: format!("the read of {epoch}"),
            })
        });
        reads.collect()
    }

    /// Gives each rejection, in the order in which they ended, the earliest place that the
    /// operations placed so far allow and at which a version other than its base is in force.
    fn place_rejections(
        &self,
        chain: &[&ConfigRequest],
        mut placed: Vec<PlacedOperation>,
    ) -> Result<(), Violation> {
        let mut rejections: Vec<(&ConfigRequest, &Attempt)> = self
            .requests
            .iter()
            .flat_map(|request| request.rejections().map(move |attempt| (request, attempt)))
            .collect();
        rejections.sort_by(|(_, a), (_, b)| a.ended_at_s.total_cmp(&b.ended_at_s));
        for (request, rejection) in rejections {
            let ended_before = placed.iter().filter(|p| p.ended_at_s < rejection.sent_at_s);
            let sent_after = placed.iter().filter(|p| p.sent_at_s > rejection.ended_at_s);
            let first = ended_before.map(|p| p.place).max().unwrap_or(1);
            let end_of_chain = 2 * chain.len() + 1;
            let last = sent_after.map(|p| p.place).min();
            let last = last.unwrap_or(end_of_chain).min(end_of_chain);
            let place = (first..=last)
                .find(|place| {
                    is_in_force_place(*place) && epoch_in_force(chain, *place) != request.base_epoch
                })
                .ok_or(Violation::WronglyRejected(request.version.epoch))?;
            placed.push(PlacedOperation {
                sent_at_s: rejection.sent_at_s,
                ended_at_s: rejection.ended_at_s,
                place,
                name: format!("the rejection of {}", request.version.epoch),
            });
        }
        Ok(())
    }
}

/// Places an applied request: it took effect after it was first sent and before it was first
/// acknowledged. An attempt with an unknown outcome may take effect at any later time, and an
/// acknowledgement may result from an earlier attempt.
fn place_write(request: &ConfigRequest, place: usize) -> Option<PlacedOperation> {
    let sent_at_s = request.attempts.first()?.sent_at_s;
    let ended_at_s = request
        .attempts
        .iter()
        .filter(|attempt| attempt.outcome == Outcome::Acknowledged)
        .map(|attempt| attempt.ended_at_s)
        .fold(f64::INFINITY, f64::min);
    Some(PlacedOperation {
        sent_at_s,
        ended_at_s,
        place,
        name: format!("version {}", request.version.epoch),
    })
}

/// Returns an error if an operation ended before another was sent, but has a later place.
fn check_order(placed: &[PlacedOperation]) -> Result<(), Violation> {
    for first in placed {
        let out_of_order = placed
            .iter()
            .find(|second| first.ended_at_s < second.sent_at_s && first.place > second.place);
        if let Some(second) = out_of_order {
            let (first, second) = (first.name.clone(), second.name.clone());
            return Err(Violation::OutOfOrder(first, second));
        }
    }
    Ok(())
}
