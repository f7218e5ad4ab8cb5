//! Digests that stand for whole values: two different values never have the same one in practice.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// The first 128 bits of a SHA-256.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let whole = Sha256::digest(bytes);
        let mut digest = [0; 16];
        digest.copy_from_slice(&whole[..16]);
        Digest(digest)
    }

    /// Its bytes.
    pub fn bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
