//! What operators did and were told, and a judge of it: is there a single order of versions that explains all of it?
//!
//! The configuration is one register with conditional writes: an order takes effect only on top of the version that it names.
//! Whether a history of such a register is linearizable needs no search, which a checker for registers in general does: each
//! order names its base, and no two versions have the same number, so the versions that are known to have been taken form
//! a chain (texts differ from order to order here, so that what is read tells which one it was), and with it the order of all writes is given. What remains is to compare times. An operation belongs at one place
//! of the chain (a refusal at any place where another version than its base is in force), and one that had ended before
//! another began must not stand behind it.

use quick_error::quick_error;
use std::collections::BTreeMap;

/// A version: its number and its text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// The `epoch`.
    pub epoch: u64,
    /// The configuration as it was sent.
    pub body: String,
}

/// How one try of an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// 200: it is taken.
    Acknowledged,
    /// A 4xx that ends the order: it isn't taken, and never will be.
    Rejected(u16),
    /// A 5xx, a reset, or silence: it may be taken, now or later.
    Unknown,
}

/// One try of an order.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// When it was sent, in seconds.
    pub began: f64,
    /// When its answer was there, or it was given up.
    pub ended: f64,
    /// How it ended.
    pub outcome: Outcome,
}

/// An order with all its tries.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigRequest {
    /// The version that it builds on; 0 for none.
    pub base: u64,
    /// The version that it brings.
    pub version: Version,
    /// One after the other.
    pub attempts: Vec<Attempt>,
}

/// The newest version, read.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigRead {
    /// When it was asked for, in seconds.
    pub began: f64,
    /// When the answer was there.
    pub ended: f64,
    /// What was read; none before the first version.
    pub version: Option<Version>,
}

/// All that operators did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Their orders.
    pub orders: Vec<ConfigRequest>,
    /// What they read.
    pub reads: Vec<ConfigRead>,
}

quick_error! {
    /// Why no single order of versions explains a history.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Violation {
        /// A version was read or built on that nobody sent.
        UnknownVersion(epoch: u64) {
            display("version {epoch} was read or built on, and nobody sent it so")
        }
        /// Two versions were taken of which neither builds on the other.
        Fork(one: u64, other: u64) {
            display("versions {one} and {other} were both taken, and neither builds on the other")
        }
        /// A version was refused and taken.
        RejectedAndApplied(epoch: u64) {
            display("version {epoch} was refused and is taken")
        }
        /// It was refused though its base was the newest version all the while.
        WronglyRejected(epoch: u64) {
            display("version {epoch} was refused though it builds on the newest one")
        }
        /// An operation had ended before another one began, and stands behind it in the order of versions.
        OutOfOrder(first: String, second: String) {
            display("{first} had ended before {second}, and stands behind it")
        }
    }
}

/// Something that happened, at a place of the chain: version number `n` of it is written at `2n`, and in force at `2n + 1`.
#[derive(Debug, Clone, PartialEq)]
struct PlacedOperation {
    began: f64,
    ended: f64,
    place: usize,
    name: String,
}

impl History {
    /// Finds the single order of versions that explains all of this; its numbers, or why there is none.
    pub fn linearize(&self) -> Result<Vec<u64>, Violation> {
        let chain = self.chain()?;
        let place_of = |version: &Version| chain.iter().position(|order| order.version == *version);
        let mut placed = Vec::new();
        for order in &self.orders {
            let refused = order
                .attempts
                .iter()
                .any(|t| matches!(t.outcome, Outcome::Rejected(_)));
            match place_of(&order.version) {
                Some(_) if refused => {
                    return Err(Violation::RejectedAndApplied(order.version.epoch));
                }
                Some(place) => placed.extend(taken(order, 2 * (place + 1))),
                None => {}
            }
        }
        for read in &self.reads {
            let place = match &read.version {
                None => 1,
                Some(version) => {
                    2 * (place_of(version).ok_or(Violation::UnknownVersion(version.epoch))? + 1) + 1
                }
            };
            let name = format!(
                "the read of {}",
                read.version.as_ref().map_or(0, |v| v.epoch)
            );
            placed.push(PlacedOperation {
                began: read.began,
                ended: read.ended,
                place,
                name,
            });
        }
        in_order(&placed)?;
        self.refusals(&chain, placed)?;
        Ok(chain.iter().map(|order| order.version.epoch).collect())
    }

    /// The orders that were taken, as far as is known, in their order.
    fn chain(&self) -> Result<Vec<&ConfigRequest>, Violation> {
        let mut known: BTreeMap<&Version, &ConfigRequest> = BTreeMap::new();
        for order in &self.orders {
            if order
                .attempts
                .iter()
                .any(|t| t.outcome == Outcome::Acknowledged)
            {
                known.insert(&order.version, order);
            }
        }
        for version in self.reads.iter().filter_map(|read| read.version.as_ref()) {
            let sent = self.orders.iter().find(|order| order.version == *version);
            known.insert(
                version,
                sent.ok_or(Violation::UnknownVersion(version.epoch))?,
            );
        }
        let mut chain = Vec::new();
        let mut next = known
            .values()
            .max_by_key(|order| order.version.epoch)
            .copied();
        while let Some(order) = next {
            chain.push(order);
            next = self.base_of(order, &known);
            if next.is_none() && order.base > 0 {
                return Err(Violation::UnknownVersion(order.base));
            }
        }
        chain.reverse();
        let newest = chain.last().map_or(0, |order| order.version.epoch);
        match known
            .values()
            .find(|order| !chain.iter().any(|c| c.version == order.version))
        {
            Some(aside) => Err(Violation::Fork(aside.version.epoch, newest)),
            None => Ok(chain),
        }
    }

    /// The order that an order builds on: one that is known to have been taken, or else one that may have been.
    fn base_of<'a>(
        &'a self,
        order: &ConfigRequest,
        known: &BTreeMap<&Version, &'a ConfigRequest>,
    ) -> Option<&'a ConfigRequest> {
        let taken = known
            .values()
            .find(|o| o.version.epoch == order.base)
            .copied();
        let unclear = |o: &&ConfigRequest| {
            o.version.epoch == order.base
                && o.attempts.iter().all(|t| t.outcome == Outcome::Unknown)
        };
        taken.or_else(|| self.orders.iter().find(unclear))
    }

    /// Places each refusal as early as may be: somewhere another version than its base must be in force.
    fn refusals(
        &self,
        chain: &[&ConfigRequest],
        mut placed: Vec<PlacedOperation>,
    ) -> Result<(), Violation> {
        let mut refused: Vec<(&ConfigRequest, &Attempt)> = Vec::new();
        for order in &self.orders {
            let attempts = order
                .attempts
                .iter()
                .filter(|t| matches!(t.outcome, Outcome::Rejected(_)));
            refused.extend(attempts.map(|t| (order, t)));
        }
        refused.sort_by(|a, b| a.1.ended.total_cmp(&b.1.ended));
        for (order, refusal) in refused {
            let least = placed
                .iter()
                .filter(|p| p.ended < refusal.began)
                .map(|p| p.place)
                .max()
                .unwrap_or(1);
            let most = placed
                .iter()
                .filter(|p| p.began > refusal.ended)
                .map(|p| p.place)
                .min();
            let in_force = |place: usize| {
                place
                    .checked_sub(2)
                    .map_or(0, |n| chain[n / 2].version.epoch)
            };
            let fits = |place: &usize| place % 2 == 1 && in_force(*place) != order.base;
            let last = 2 * chain.len() + 1;
            let place = (least..=most.unwrap_or(last).min(last)).find(fits);
            let place = place.ok_or(Violation::WronglyRejected(order.version.epoch))?;
            let name = format!("the refusal of {}", order.version.epoch);
            placed.push(PlacedOperation {
                began: refusal.began,
                ended: refusal.ended,
                place,
                name,
            });
        }
        Ok(())
    }
}

/// What is known of when an order was taken: after it was first sent, and before it was first acknowledged. A try that had no
/// clear answer may take effect at any later time, and an acknowledgement may be that of an earlier try.
fn taken(order: &ConfigRequest, place: usize) -> Option<PlacedOperation> {
    let began = order.attempts.first()?.began;
    let acknowledged = order
        .attempts
        .iter()
        .filter(|t| t.outcome == Outcome::Acknowledged)
        .map(|t| t.ended);
    let ended = acknowledged.fold(f64::INFINITY, f64::min);
    Some(PlacedOperation {
        began,
        ended,
        place,
        name: format!("version {}", order.version.epoch),
    })
}

/// Whether none stands behind one that began only after its end.
fn in_order(placed: &[PlacedOperation]) -> Result<(), Violation> {
    for first in placed {
        if let Some(second) = placed
            .iter()
            .find(|second| first.ended < second.began && first.place > second.place)
        {
            return Err(Violation::OutOfOrder(
                first.name.clone(),
                second.name.clone(),
            ));
        }
    }
    Ok(())
}
