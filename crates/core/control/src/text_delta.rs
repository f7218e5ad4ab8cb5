//! What has to be sent so that a process which holds one text can make another one from it.

use crate::digest::Digest;
use bincode::{Decode, Encode};
use similar::{Algorithm, DiffOp, capture_diff_slices};

/// A stretch of the new text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum Piece {
    /// So many bytes of the old text, from this byte on.
    Copy { start: u32, length: u32 },
    /// Bytes that the old text doesn't have there.
    Insert(Vec<u8>),
}

/// The way from one text to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TextDelta {
    old: Digest,
    new: Digest,
    pieces: Vec<Piece>,
}

/// Texts of more pieces than this are not compared: they are sent whole.
const MAX_TOKENS: usize = 100_000;

/// No text is longer, in bytes: what a difference claims to make is bounded before it is made.
const MAX_TEXT: usize = 8 << 20;

impl TextDelta {
    /// The way from `old` to `new`; none where sending `new` whole is no dearer.
    pub fn between(old: &[u8], new: &[u8]) -> Option<TextDelta> {
        let (old_tokens, new_tokens) = (tokens(old), tokens(new));
        if old_tokens.len() + new_tokens.len() > MAX_TOKENS {
            return None;
        }
        let mut pieces = Pieces::default();
        let (old_starts, new_starts) = (starts(&old_tokens), starts(&new_tokens));
        for operation in capture_diff_slices(Algorithm::Myers, &old_tokens, &new_tokens) {
            match operation {
                DiffOp::Equal { old_index, len, .. } => {
                    pieces.copy(old_starts[old_index], old_starts[old_index + len]);
                }
                DiffOp::Delete { .. } => {}
                DiffOp::Insert {
                    new_index, new_len, ..
                }
                | DiffOp::Replace {
                    new_index, new_len, ..
                } => {
                    pieces.insert(&new[new_starts[new_index]..new_starts[new_index + new_len]]);
                }
            }
        }
        let difference = TextDelta {
            old: Digest::of(old),
            new: Digest::of(new),
            pieces: pieces.0,
        };
        (difference.size() < new.len()).then_some(difference)
    }

    /// The new text; none if `old` is not the text from which this leads, or the result not the one to which it leads.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        if Digest::of(old) != self.old || self.length() > MAX_TEXT {
            return None;
        }
        let mut new = Vec::with_capacity(self.length());
        for piece in &self.pieces {
            match piece {
                Piece::Copy { start, length } => {
                    let start = *start as usize;
                    new.extend_from_slice(old.get(start..start.checked_add(*length as usize)?)?);
                }
                Piece::Insert(bytes) => new.extend_from_slice(bytes),
            }
        }
        (Digest::of(&new) == self.new).then_some(new)
    }

    /// The digest of the text from which this leads.
    pub fn base_digest(&self) -> Digest {
        self.old
    }

    /// The digest of the text to which this leads.
    pub fn result_digest(&self) -> Digest {
        self.new
    }

    /// About how many bytes it takes to send this.
    pub fn size(&self) -> usize {
        let of = |piece: &Piece| match piece {
            Piece::Copy { .. } => 11,
            Piece::Insert(bytes) => bytes.len() + 6,
        };
        32 + self.pieces.iter().map(of).sum::<usize>()
    }

    fn length(&self) -> usize {
        let of = |piece: &Piece| match piece {
            Piece::Copy { length, .. } => *length as usize,
            Piece::Insert(bytes) => bytes.len(),
        };
        self.pieces.iter().map(of).sum()
    }
}

/// Pieces in order; neighbours of one kind become one.
#[derive(Default)]
struct Pieces(Vec<Piece>);

impl Pieces {
    fn copy(&mut self, from: usize, to: usize) {
        if let Some(Piece::Copy { start, length }) = self.0.last_mut()
            && (*start + *length) as usize == from
        {
            *length += (to - from) as u32;
            return;
        }
        self.0.push(Piece::Copy {
            start: from as u32,
            length: (to - from) as u32,
        });
    }

    fn insert(&mut self, bytes: &[u8]) {
        match self.0.last_mut() {
            Some(Piece::Insert(before)) => before.extend_from_slice(bytes),
            _ => self.0.push(Piece::Insert(bytes.to_vec())),
        }
    }
}

/// Fields and objects of a JSON text, roughly: any cut would do, these keep together what changes together.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b',' | b'}'))
        .collect()
}

/// Where each token starts, and the end of the last one.
fn starts(tokens: &[&[u8]]) -> Vec<usize> {
    let mut at = 0;
    let mut starts = vec![0];
    for token in tokens {
        at += token.len();
        starts.push(at);
    }
    starts
}
