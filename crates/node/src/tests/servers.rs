//! The file of the servers that a control machine knows: torn ones and those of other forms are passed over.

use super::{pack, unpack};

#[test]
fn a_torn_file_is_told_from_a_whole_one() {
    let bytes = pack(b"123456789");
    assert_eq!(bytes[..4], 0xCBF4_3926_u32.to_le_bytes());
    assert_eq!(unpack(&bytes), Some(&b"123456789"[..]));
    for length in 0..bytes.len() {
        assert_eq!(unpack(&bytes[..length]), None, "{length}");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(unpack(&changed), None, "{at}");
    }
}

/// Before, the body stood behind its FNV-1a of 64 bits.
#[test]
fn a_file_of_the_former_form_is_passed_over() {
    let body = b"123456789";
    let sum = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    });
    let mut bytes = sum.to_le_bytes().to_vec();
    bytes.extend_from_slice(body);
    assert_eq!(unpack(&bytes), None);
}
