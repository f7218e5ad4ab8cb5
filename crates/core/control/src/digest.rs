//! Digests that stand for complete values.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Length of a digest in bytes; at 128 bits two different values never have the same one in
/// practice.
const DIGEST_BYTES: usize = 16;

/// The first 128 bits of a SHA-256 (FIPS 180-4).
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        let sha256 = Sha256::digest(bytes);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&sha256[..DIGEST_BYTES]);
        Digest(digest)
    }

    /// The bytes of the digest.
    pub fn bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

/// The first four bytes in hexadecimal, which are enough to tell digests apart in a log.
impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
