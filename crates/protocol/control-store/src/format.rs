//! The encoding of a row: a version byte, a CRC-32 in little-endian order, and the body in bincode
//! with little-endian integers of fixed width.
//!
//! A release that changes a body must raise [`FORMAT_VERSION`]. A row of any other version is
//! rejected. `tests/kept_folder.rs` checks that a file of an earlier release is still read.

use bincode::config::{Configuration, Fixint, LittleEndian};
use bincode::enc::write::SizeWriter;
use bincode::{Decode, Encode};

/// The only format version of rows that this program reads and writes.
pub(crate) const FORMAT_VERSION: u8 = 2;

/// Length of the header before the body, in bytes: one for the version and four for the checksum.
const HEADER_BYTES: usize = 5;

const BINCODE_CONFIG: Configuration<LittleEndian, Fixint> = bincode::config::standard()
    .with_little_endian()
    .with_fixed_int_encoding();

/// Body of the row that is rewritten for each vote.
#[derive(Encode, Decode)]
pub(crate) struct TermsRow {
    pub(crate) voted_term: u64,
    pub(crate) accepted_term: u64,
}

/// Body of the row that is rewritten for each new value, for encoding: it borrows the value.
#[derive(Encode)]
pub(crate) struct ValueRowRef<'a> {
    pub(crate) incarnation: u64,
    pub(crate) value: &'a [u8],
}

/// Body of the row that is rewritten for each new value, for decoding. Its encoding is that of
/// [`ValueRowRef`].
#[derive(Decode)]
pub(crate) struct ValueRow {
    pub(crate) incarnation: u64,
    pub(crate) value: Vec<u8>,
}

/// Returns the length of the row with this body, in bytes.
pub(crate) fn encoded_length(body: &impl Encode) -> usize {
    let mut encoder = bincode::enc::EncoderImpl::new(SizeWriter::default(), BINCODE_CONFIG);
    body.encode(&mut encoder)
        .expect("integers and bytes always encode, and a size writer takes any number of bytes");
    HEADER_BYTES + encoder.into_writer().bytes_written
}

/// Encodes `body` into `row`, whose length must be the [`encoded_length`] of `body`.
pub(crate) fn encode(body: &impl Encode, row: &mut [u8]) {
    let (header, encoded_body) = row.split_at_mut(HEADER_BYTES);
    bincode::encode_into_slice(body, &mut *encoded_body, BINCODE_CONFIG)
        .expect("the row must have the encoded length of its body");
    header[0] = FORMAT_VERSION;
    header[1..].copy_from_slice(&checksum(&[FORMAT_VERSION], encoded_body).to_le_bytes());
}

/// Decodes the body of a row.
///
/// # Errors
///
/// A description of what is wrong with the row, as a verb and its object.
pub(crate) fn decode<Body: Decode<()>>(row: &[u8]) -> Result<Body, String> {
    let Some((header, encoded_body)) = row.split_first_chunk::<HEADER_BYTES>() else {
        return Err(format!(
            "contains a truncated row of {} bytes, but the header alone has {HEADER_BYTES} bytes",
            row.len()
        ));
    };
    let [version, stored_checksum @ ..] = *header;
    let stored_checksum = u32::from_le_bytes(stored_checksum);
    let computed_checksum = checksum(&[version], encoded_body);
    if computed_checksum != stored_checksum {
        return Err(format!(
            "contains a row whose checksum is {computed_checksum:#010x} instead of the stored \
             {stored_checksum:#010x}"
        ));
    }
    if version != FORMAT_VERSION {
        return Err(format!(
            "contains a row of format version {version}, but this program reads only version \
             {FORMAT_VERSION}"
        ));
    }
    match bincode::decode_from_slice(encoded_body, BINCODE_CONFIG) {
        Ok((body, read_bytes)) if read_bytes == encoded_body.len() => Ok(body),
        _ => Err(format!(
            "contains a row whose body of {} bytes can't be decoded",
            encoded_body.len()
        )),
    }
}

/// Computes the CRC-32 of IEEE 802.3 (reflected polynomial 0xEDB88320) over `first` followed by
/// `second`.
pub(crate) fn checksum(first: &[u8], second: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(first);
    hasher.update(second);
    hasher.finalize()
}
