//! What makes one text of another one, for configurations of which little has changed.
//!
//! A configuration that grew by a third, or one weight of which is another, is sent to a
//! data centre as what is new in it. Both texts are cut behind closing braces and line ends,
//! so that the cuts fall at the same places whatever came in between; pieces that stand in
//! the old text are named by where they stand there. What is left is compressed.

use std::collections::HashMap;
use std::fmt;

use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, uncompressed_size};
use prost::Message;
use wingbridge_wire::gossip::TextPatch;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes after which a piece ends.
const PIECE_ENDS: &[u8] = b"}\n";
/// Shortest piece in bytes, but for the last one: naming one takes some ten.
const SHORTEST_PIECE: usize = 32;
/// Longest piece in bytes, for texts without ends.
const LONGEST_PIECE: usize = 4096;
/// Longest patch that is unpacked, and longest text that is made, in bytes: a value of the
/// store's megabyte, several times over.
const LONGEST_TEXT: usize = 8 << 20;

/// A patch that does not make what it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatchError {
    /// It can't be unpacked.
    Malformed,
    /// It makes, or unpacks to, more than is allowed.
    TooLong,
    /// It takes bytes from where there are none.
    OutOfRange,
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PatchError::Malformed => "the patch can't be unpacked",
            PatchError::TooLong => "the patch makes too long a text",
            PatchError::OutOfRange => "the patch takes bytes that its base lacks",
        })
    }
}

impl std::error::Error for PatchError {}

/// What makes `new` of `old`.
pub fn make_patch(old: &[u8], new: &[u8]) -> Vec<u8> {
    let mut known: HashMap<u64, usize> = HashMap::new();
    let mut start = 0;
    for piece in pieces(old) {
        known.entry(xxh3_64(piece)).or_insert(start);
        start += piece.len();
    }
    let mut writer = PatchWriter::default();
    for piece in pieces(new) {
        let at = known.get(&xxh3_64(piece)).copied();
        match at.filter(|at| old.get(*at..at + piece.len()) == Some(piece)) {
            Some(at) => writer.take(at, piece.len()),
            None => writer.add(piece),
        }
    }
    compress_prepend_size(&writer.finish().encode_to_vec())
}

/// Makes the text that `patch` makes of `old`.
///
/// # Errors
/// The patch is not one for `old`.
pub fn apply_patch(old: &[u8], patch: &[u8]) -> Result<Vec<u8>, PatchError> {
    let (length, _) = uncompressed_size(patch).map_err(|_| PatchError::Malformed)?;
    if length > LONGEST_TEXT {
        return Err(PatchError::TooLong);
    }
    let bytes = decompress_size_prepended(patch).map_err(|_| PatchError::Malformed)?;
    let patch = TextPatch::decode(&bytes[..]).map_err(|_| PatchError::Malformed)?;
    let mut text = Vec::new();
    let mut added = 0;
    for piece in patch.pieces.chunks(3) {
        let [add, at, take] = piece else {
            return Err(PatchError::Malformed);
        };
        let [add, at, take] = [add, at, take].map(|number| *number as usize);
        if text.len() + add + take > LONGEST_TEXT {
            return Err(PatchError::TooLong);
        }
        let new = patch.new.get(added..added + add).ok_or(PatchError::OutOfRange)?;
        let kept = old.get(at..at + take).ok_or(PatchError::OutOfRange)?;
        text.extend_from_slice(new);
        text.extend_from_slice(kept);
        added += add;
    }
    Ok(text)
}

#[derive(Default)]
struct PatchWriter {
    patch: TextPatch,
    /// The piece that still grows: new bytes, and where how many are taken from.
    add: usize,
    at: usize,
    take: usize,
}

impl PatchWriter {
    fn add(&mut self, piece: &[u8]) {
        if self.take > 0 {
            self.end_piece();
        }
        self.add += piece.len();
        self.patch.new.extend_from_slice(piece);
    }

    fn take(&mut self, at: usize, length: usize) {
        if self.take > 0 && self.at + self.take != at {
            self.end_piece();
        }
        if self.take == 0 {
            self.at = at;
        }
        self.take += length;
    }

    fn end_piece(&mut self) {
        let short = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        self.patch.pieces.extend([self.add, self.at, self.take].map(short));
        (self.add, self.at, self.take) = (0, 0, 0);
    }

    fn finish(mut self) -> TextPatch {
        self.end_piece();
        self.patch
    }
}

/// Cuts a text so that equal parts of two texts are mostly cut alike.
fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let longest = rest.len().min(LONGEST_PIECE);
        let from = (SHORTEST_PIECE - 1).min(longest);
        let end = rest[from..longest].iter().position(|byte| PIECE_ENDS.contains(byte));
        let length = end.map_or(longest, |end| from + end + 1);
        let (piece, left) = rest.split_at(length);
        rest = left;
        Some(piece)
    })
}
