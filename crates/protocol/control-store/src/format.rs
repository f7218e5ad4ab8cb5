//! The bytes of a row: a version, a checksum, and the body in bincode with integers of fixed width.

use bincode::config::{Configuration, Fixint, LittleEndian};
use bincode::enc::write::SizeWriter;
use bincode::{Decode, Encode};

/// The version of the rows that this program writes and reads.
pub(crate) const VERSION: u8 = 2;

/// The bytes before the body: the version and the checksum.
const HEADER: usize = 5;

const LAYOUT: Configuration<LittleEndian, Fixint> = bincode::config::standard()
    .with_little_endian()
    .with_fixed_int_encoding();

/// The row that each ballot rewrites.
#[derive(Encode, Decode)]
pub(crate) struct Ballots {
    pub(crate) promised: u64,
    pub(crate) accepted: u64,
}

/// The row that each new value rewrites, as written: the value is borrowed.
#[derive(Encode)]
pub(crate) struct Value<'a> {
    pub(crate) identity: u64,
    pub(crate) value: &'a [u8],
}

/// The row that each new value rewrites, as read back.
#[derive(Decode)]
pub(crate) struct OwnedValue {
    pub(crate) identity: u64,
    pub(crate) value: Vec<u8>,
}

/// How many bytes the row takes.
pub(crate) fn length(body: &impl Encode) -> usize {
    let mut size = bincode::enc::EncoderImpl::new(SizeWriter::default(), LAYOUT);
    // Neither integers nor bytes can fail to be encoded, and a count has no end to run over.
    body.encode(&mut size).expect("plain fields encode");
    HEADER + size.into_writer().bytes_written
}

/// Fills `row`, which has the row's length.
pub(crate) fn encode(body: &impl Encode, row: &mut [u8]) {
    let (header, rest) = row.split_at_mut(HEADER);
    bincode::encode_into_slice(body, rest, LAYOUT).expect("the row has the length of its body");
    header[0] = VERSION;
    header[1..].copy_from_slice(&checksum(&[VERSION], rest).to_le_bytes());
}

/// Reads a row, or tells what is wrong with it.
pub(crate) fn decode<Body: Decode<()>>(row: &[u8]) -> Result<Body, &'static str> {
    let Some((header, rest)) = row.split_first_chunk::<HEADER>() else {
        return Err("holds a row that is cut short");
    };
    let [version, sum @ ..] = *header;
    if checksum(&[version], rest) != u32::from_le_bytes(sum) {
        return Err("holds a row whose checksum is wrong");
    }
    if version != VERSION {
        return Err("holds a row of another version");
    }
    match bincode::decode_from_slice(rest, LAYOUT) {
        Ok((body, read)) if read == rest.len() => Ok(body),
        _ => Err("holds a row that can't be read"),
    }
}

/// CRC-32 as in IEEE 802.3 (reflected, 0xEDB88320), over both parts one after the other.
pub(crate) fn checksum(first: &[u8], second: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(first);
    hasher.update(second);
    hasher.finalize()
}
