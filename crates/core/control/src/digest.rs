//! Digests that identify texts and states by their content.

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Length of a digest in bytes. At 128 bits, two different values have the same digest with
/// negligible probability.
const DIGEST_BYTES: usize = 16;

/// The first 128 bits of a SHA-256 digest (FIPS 180-4).
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        let sha256 = Sha256::digest(bytes);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&sha256[..DIGEST_BYTES]);
        Digest(digest)
    }

    /// Returns the bytes of the digest.
    pub fn bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

/// Prints the first four bytes in hexadecimal, which is enough to tell digests apart in a log.
impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
