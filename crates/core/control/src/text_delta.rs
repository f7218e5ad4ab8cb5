//! Deltas between two versions of a text. A receiver that has one version can build the other.
//!
//! Configurations are large, and most changes affect only a few places. The controller sends a
//! delta to routers and other control machines where that is smaller than the complete text.

use crate::digest::Digest;
use bincode::{Decode, Encode};
use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Maximum number of tokens in the two texts together. Comparing longer texts would take too long.
const MAX_COMPARED_TOKENS: usize = 100_000;
/// Maximum size of the result of a delta, in bytes. A delta of a few bytes can claim to build a
/// huge text, so the size is checked before memory is reserved.
const MAX_RESULT_BYTES: usize = 8 << 20;
/// Approximate encoded size of a copy operation, in bytes.
const ENCODED_COPY_BYTES: usize = 11;
/// Approximate encoded size of an insert operation without its text, in bytes.
const ENCODED_INSERT_HEADER_BYTES: usize = 6;
/// Encoded size of the two digests, in bytes.
const ENCODED_DIGESTS_BYTES: usize = 32;

/// One step in building the result, which is written from start to end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum DeltaOperation {
    /// Appends `length` bytes of the base, beginning at the offset `start`.
    Copy { start: u32, length: u32 },
    /// Appends these bytes, which are not copied from the base.
    Insert(Vec<u8>),
}

/// Instructions for building one text, the result, from another text, the base.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TextDelta {
    base: Digest,
    result: Digest,
    operations: Vec<DeltaOperation>,
}

impl TextDelta {
    /// Computes the delta from `base` to `result`. Returns `None` if the delta is not smaller than
    /// `result`, or if the texts are too long to compare.
    pub fn between(base: &[u8], result: &[u8]) -> Option<TextDelta> {
        let (base_tokens, result_tokens) = (tokens(base), tokens(result));
        if base_tokens.len() + result_tokens.len() > MAX_COMPARED_TOKENS {
            return None;
        }
        let base_offsets = token_offsets(&base_tokens);
        let result_offsets = token_offsets(&result_tokens);
        let mut builder = OperationsBuilder::default();
        for operation in capture_diff_slices(Algorithm::Myers, &base_tokens, &result_tokens) {
            match operation {
                DiffOp::Equal { old_index, len, .. } => {
                    builder.copy(base_offsets[old_index], base_offsets[old_index + len]);
                }
                DiffOp::Delete { .. } => {}
                DiffOp::Insert {
                    new_index, new_len, ..
                }
                | DiffOp::Replace {
                    new_index, new_len, ..
                } => {
                    let start = result_offsets[new_index];
                    let end = result_offsets[new_index + new_len];
                    builder.insert(&result[start..end]);
                }
            }
        }
        let delta = TextDelta {
            base: Digest::of(base),
            result: Digest::of(result),
            operations: builder.operations,
        };
        (delta.estimated_bytes() < result.len()).then_some(delta)
    }

    /// Builds the result. Returns `None` if `base` is not the text that this delta applies to, or
    /// if the delta is malformed.
    pub fn apply(&self, base: &[u8]) -> Option<Vec<u8>> {
        let result_bytes = self.result_bytes();
        if Digest::of(base) != self.base || result_bytes > MAX_RESULT_BYTES {
            return None;
        }
        let mut result = Vec::with_capacity(result_bytes);
        for operation in &self.operations {
            match operation {
                DeltaOperation::Copy { start, length } => {
                    let start = *start as usize;
                    let end = start.checked_add(*length as usize)?;
                    result.extend_from_slice(base.get(start..end)?);
                }
                DeltaOperation::Insert(bytes) => result.extend_from_slice(bytes),
            }
        }
        (Digest::of(&result) == self.result).then_some(result)
    }

    /// Returns the digest of the text that this delta applies to.
    pub fn base_digest(&self) -> Digest {
        self.base
    }

    /// Returns the digest of the text that this delta builds.
    pub fn result_digest(&self) -> Digest {
        self.result
    }

    /// Returns the approximate encoded size of the delta, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let operation_bytes = |operation: &DeltaOperation| match operation {
            DeltaOperation::Copy { .. } => ENCODED_COPY_BYTES,
            DeltaOperation::Insert(bytes) => bytes.len() + ENCODED_INSERT_HEADER_BYTES,
        };
        ENCODED_DIGESTS_BYTES + self.operations.iter().map(operation_bytes).sum::<usize>()
    }

    /// Returns the size of the result, in bytes, according to the operations.
    fn result_bytes(&self) -> usize {
        let length = |operation: &DeltaOperation| match operation {
            DeltaOperation::Copy { length, .. } => *length as usize,
            DeltaOperation::Insert(bytes) => bytes.len(),
        };
        self.operations.iter().map(length).sum()
    }
}

/// Collects operations, and merges adjacent operations where possible: two inserts, or two copies
/// of adjacent ranges of the base.
#[derive(Default)]
struct OperationsBuilder {
    operations: Vec<DeltaOperation>,
}

impl OperationsBuilder {
    /// Appends the bytes of the base from offset `from` up to, but not including, `to`.
    fn copy(&mut self, from: usize, to: usize) {
        if let Some(DeltaOperation::Copy { start, length }) = self.operations.last_mut()
            && (*start + *length) as usize == from
        {
            *length += (to - from) as u32;
            return;
        }
        self.operations.push(DeltaOperation::Copy {
            start: from as u32,
            length: (to - from) as u32,
        });
    }

    /// Appends bytes that are not copied from the base.
    fn insert(&mut self, bytes: &[u8]) {
        match self.operations.last_mut() {
            Some(DeltaOperation::Insert(previous)) => previous.extend_from_slice(bytes),
            _ => self.operations.push(DeltaOperation::Insert(bytes.to_vec())),
        }
    }
}

/// Splits a JSON text after each comma and closing brace, which is roughly at its fields and
/// objects. Any split gives a correct delta. This one keeps text that usually changes together in
/// one token.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b',' | b'}'))
        .collect()
}

/// Returns the offset at which each token starts, followed by the end of the last token.
fn token_offsets(tokens: &[&[u8]]) -> Vec<usize> {
    let ends = tokens.iter().scan(0, |end, token| {
        *end += token.len();
        Some(*end)
    });
    std::iter::once(0).chain(ends).collect()
}
