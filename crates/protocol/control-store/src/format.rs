//! The bytes of a row, and their version: a version byte, a CRC-32, and the body in bincode with
//! little-endian integers of fixed width.
//!
//! A release that changes a body raises [`FORMAT_VERSION`]; a row of another version is refused,
//! never guessed at. `tests/kept_folder.rs` holds the bytes that an earlier release wrote.

use bincode::config::{Configuration, Fixint, LittleEndian};
use bincode::enc::write::SizeWriter;
use bincode::{Decode, Encode};

/// The version of the rows that this program writes and reads.
pub(crate) const FORMAT_VERSION: u8 = 2;

/// The bytes before the body: one of the version and four of the checksum.
const HEADER_BYTES: usize = 5;

const BINCODE_CONFIG: Configuration<LittleEndian, Fixint> = bincode::config::standard()
    .with_little_endian()
    .with_fixed_int_encoding();

/// The body of the row that each vote rewrites.
#[derive(Encode, Decode)]
pub(crate) struct TermsRow {
    pub(crate) voted_term: u64,
    pub(crate) accepted_term: u64,
}

/// The body of the row that each new value rewrites, as written: the value is borrowed.
#[derive(Encode)]
pub(crate) struct ValueRowRef<'a> {
    pub(crate) incarnation: u64,
    pub(crate) value: &'a [u8],
}

/// The body of the row that each new value rewrites, as read back.
#[derive(Decode)]
pub(crate) struct ValueRow {
    pub(crate) incarnation: u64,
    pub(crate) value: Vec<u8>,
}

/// The length of the row with this body, in bytes.
pub(crate) fn encoded_length(body: &impl Encode) -> usize {
    let mut encoder = bincode::enc::EncoderImpl::new(SizeWriter::default(), BINCODE_CONFIG);
    body.encode(&mut encoder)
        .expect("integers and bytes always encode, and a size writer takes any number of bytes");
    HEADER_BYTES + encoder.into_writer().bytes_written
}

/// Fills `row`, which has the [`encoded_length`] of `body`.
pub(crate) fn encode(body: &impl Encode, row: &mut [u8]) {
    let (header, encoded_body) = row.split_at_mut(HEADER_BYTES);
    bincode::encode_into_slice(body, &mut *encoded_body, BINCODE_CONFIG)
        .expect("the row has the length of its body");
    header[0] = FORMAT_VERSION;
    header[1..].copy_from_slice(&checksum(&[FORMAT_VERSION], encoded_body).to_le_bytes());
}

/// Decodes the body of a row.
///
/// # Errors
///
/// What is wrong with the row.
pub(crate) fn decode<Body: Decode<()>>(row: &[u8]) -> Result<Body, &'static str> {
    let Some((header, encoded_body)) = row.split_first_chunk::<HEADER_BYTES>() else {
        return Err("holds a row that is cut short");
    };
    let [version, stored_checksum @ ..] = *header;
    if checksum(&[version], encoded_body) != u32::from_le_bytes(stored_checksum) {
        return Err("holds a row whose checksum is wrong");
    }
    if version != FORMAT_VERSION {
        return Err("holds a row of another version");
    }
    match bincode::decode_from_slice(encoded_body, BINCODE_CONFIG) {
        Ok((body, read_bytes)) if read_bytes == encoded_body.len() => Ok(body),
        _ => Err("holds a row that can't be read"),
    }
}

/// The CRC-32 of IEEE 802.3 (reflected polynomial 0xEDB88320) over one part after the other.
pub(crate) fn checksum(first: &[u8], second: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(first);
    hasher.update(second);
    hasher.finalize()
}
