//! Deltas between two versions of a text, so that a receiver that has one can make the other.
//!
//! Configurations are large and mostly change in a few places. The controller sends them to routers
//! and other control machines as deltas where those are smaller.

use crate::digest::Digest;
use bincode::{Decode, Encode};
use similar::{Algorithm, DiffOp, capture_diff_slices};

/// Texts with more tokens in sum are not compared, as that would take too long.
const MAX_COMPARED_TOKENS: usize = 100_000;
/// Largest result of a delta, in bytes. A delta of a few bytes can claim to make a huge text, so
/// the size is checked before memory is reserved.
const MAX_RESULT_BYTES: usize = 8 << 20;
/// About how many bytes a copy operation takes when encoded.
const COPY_BYTES: usize = 11;
/// About how many bytes an insert operation takes besides its text.
const INSERT_HEADER_BYTES: usize = 6;
/// The bytes of the two digests.
const DIGESTS_BYTES: usize = 32;

/// One step in making the result, which is written from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum DeltaOperation {
    /// Copies `length` bytes of the base from the offset `start`.
    Copy { start: u32, length: u32 },
    /// Inserts bytes that the base doesn't have there.
    Insert(Vec<u8>),
}

/// How to make one text, the result, from another one, the base.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TextDelta {
    base: Digest,
    result: Digest,
    operations: Vec<DeltaOperation>,
}

impl TextDelta {
    /// The delta from `base` to `result`; none if it isn't smaller than `result`, or the texts are
    /// too long to compare.
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
        (delta.size() < result.len()).then_some(delta)
    }

    /// The result; none if `base` is not the text that this delta applies to, or the delta is
    /// malformed.
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

    /// The digest of the text that this applies to.
    pub fn base_digest(&self) -> Digest {
        self.base
    }

    /// The digest of the text that this makes.
    pub fn result_digest(&self) -> Digest {
        self.result
    }

    /// About how many bytes the delta takes when encoded.
    pub fn size(&self) -> usize {
        let size = |operation: &DeltaOperation| match operation {
            DeltaOperation::Copy { .. } => COPY_BYTES,
            DeltaOperation::Insert(bytes) => bytes.len() + INSERT_HEADER_BYTES,
        };
        DIGESTS_BYTES + self.operations.iter().map(size).sum::<usize>()
    }

    fn result_bytes(&self) -> usize {
        let length = |operation: &DeltaOperation| match operation {
            DeltaOperation::Copy { length, .. } => *length as usize,
            DeltaOperation::Insert(bytes) => bytes.len(),
        };
        self.operations.iter().map(length).sum()
    }
}

/// Collects operations, and merges neighbours of one kind.
#[derive(Default)]
struct OperationsBuilder {
    operations: Vec<DeltaOperation>,
}

impl OperationsBuilder {
    /// Copies the bytes of the base from offset `from` to before `to`.
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

    fn insert(&mut self, bytes: &[u8]) {
        match self.operations.last_mut() {
            Some(DeltaOperation::Insert(before)) => before.extend_from_slice(bytes),
            _ => self.operations.push(DeltaOperation::Insert(bytes.to_vec())),
        }
    }
}

/// Cuts a JSON text about at its fields and objects. Any cut gives a correct delta; this one keeps
/// together what usually changes together.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b',' | b'}'))
        .collect()
}

/// The offset at which each token starts, and the end of the last one.
fn token_offsets(tokens: &[&[u8]]) -> Vec<usize> {
    let ends = tokens.iter().scan(0, |end, token| {
        *end += token.len();
        Some(*end)
    });
    std::iter::once(0).chain(ends).collect()
}
