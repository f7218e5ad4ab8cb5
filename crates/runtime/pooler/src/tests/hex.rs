//! Bytes of fixtures as text.

/// These bytes in hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes written by [`hex`].
pub(crate) fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "an odd number of digits");
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}
