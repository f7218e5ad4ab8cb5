//! Tests of the encoding of a row.

use crate::format::{self, TermsRow};

#[test]
fn truncated_or_changed_row_or_row_of_another_version_is_rejected() {
    assert_eq!(format::checksum(b"1234", b"56789"), 0xCBF4_3926);
    let terms = TermsRow {
        voted_term: 0x0102,
        accepted_term: 0x03,
    };
    let mut row = vec![0; format::encoded_length(&terms)];
    format::encode(&terms, &mut row);
    assert_eq!(
        row[5..],
        [2, 1, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0],
        "the encoding that docs/design/on-disk-format.md specifies"
    );
    assert_eq!(
        row[1..5],
        0xAD07_9812_u32.to_le_bytes(),
        "the standard CRC-32, computed by another program"
    );
    assert_eq!(row[0], format::FORMAT_VERSION);
    let read = format::decode::<TermsRow>(&row).unwrap();
    assert_eq!((read.voted_term, read.accepted_term), (0x0102, 0x03));
    for offset in 0..row.len() {
        assert!(format::decode::<TermsRow>(&row[..offset]).is_err());
        let mut changed = row.clone();
        changed[offset] ^= 4;
        assert!(format::decode::<TermsRow>(&changed).is_err());
    }
    for other_version in [1, 3] {
        let mut row = row.clone();
        row[0] = other_version;
        let checksum = format::checksum(&[other_version], &row[5..]);
        row[1..5].copy_from_slice(&checksum.to_le_bytes());
        assert_eq!(
            format::decode::<TermsRow>(&row).err(),
            Some(format!(
                "contains a row of format version {other_version}, but this program reads only \
                 version 2"
            ))
        );
    }
}
