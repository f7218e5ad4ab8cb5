//! What the control machines agree on.

use bincode::{Decode, Encode};
use std::collections::BTreeMap;

/// So many configurations are remembered, so that a repeated call is told from one that came too late.
const PAST: usize = 64;

/// The server that is, or is about to be, the primary of a service: the one with this id, once it leads a term above
/// that one. Agreed on before the platform is asked to promote, so that whoever takes over knows of it; and again with
/// the term that it leads, once no router can use another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Primary {
    /// Its id.
    pub id: String,
    /// The highest term known when it was chosen; its own once the change to it is complete.
    pub above: u64,
}

/// The whole of it, one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Rises with every change.
    pub seq: u64,
    /// The machines that decide: addresses in order.
    pub voters: Vec<u32>,
    /// The configuration's epoch; 0 before the first.
    pub epoch: u64,
    /// The configuration as the operator sent it.
    pub config: Vec<u8>,
    /// Epochs and digests of configurations that were taken, the newest last.
    pub past: Vec<(u64, u64)>,
    /// Primaries by service, of services whose primary was changed by us.
    pub primaries: BTreeMap<String, Primary>,
}

/// What becomes of a configuration that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is the next one, to be agreed on.
    Next,
    /// Just this one was taken before.
    Before,
    /// Another version is in place.
    Conflict,
    /// Its epoch is not above the current one's.
    Old,
}

impl State {
    /// The state of machines that start for the first time.
    pub fn first(mut voters: Vec<u32>) -> State {
        voters.sort_unstable();
        voters.dedup();
        State { voters, ..State::default() }
    }

    /// What is to be done with a valid configuration of this epoch that builds on that version.
    pub fn judge(&self, base: u64, epoch: u64, body: &[u8]) -> Taken {
        if self.past.contains(&(epoch, digest(body))) {
            Taken::Before
        } else if base != self.epoch {
            Taken::Conflict
        } else if epoch <= self.epoch {
            Taken::Old
        } else {
            Taken::Next
        }
    }

    /// This state with that configuration.
    pub fn with_config(&self, epoch: u64, body: &[u8]) -> State {
        let mut next = State { seq: self.seq + 1, epoch, config: body.to_vec(), ..self.clone() };
        next.past.push((epoch, digest(body)));
        if next.past.len() > PAST {
            next.past.remove(0);
        }
        next
    }

    /// This state with that primary.
    pub fn with_primary(&self, service: &str, primary: Primary) -> State {
        let mut next = State { seq: self.seq + 1, ..self.clone() };
        next.primaries.insert(service.to_owned(), primary);
        next
    }

    /// As bytes, for disks and links.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::encode_to_vec(self, bincode::config::standard()).expect("a state can be written to memory")
    }

    /// From bytes; none if they are not a whole state.
    pub fn read(bytes: &[u8]) -> Option<State> {
        let read =
            bincode::decode_from_slice(bytes, bincode::config::standard().with_limit::<{ 16 << 20 }>());
        read.ok().filter(|(_, used)| *used == bytes.len()).map(|(state, _)| state)
    }
}

/// FNV-1a with the length behind it: tells bodies of one epoch apart.
fn digest(body: &[u8]) -> u64 {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    let hash = body.iter().fold(0xcbf2_9ce4_8422_2325, mix);
    (body.len() as u64).to_le_bytes().iter().fold(hash, mix)
}
