//! Conversion of fixtures between bytes and hexadecimal text.

/// Returns these bytes as hexadecimal text.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes of a text that [`hex`] returned.
pub(crate) fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "the number of digits is odd");
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}
