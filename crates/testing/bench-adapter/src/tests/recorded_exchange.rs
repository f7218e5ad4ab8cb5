//! Replays an exchange with the simulator that was recorded from an earlier version: two instances, six nodes, all
//! kinds of statements, a node that stops answering, and a change of primary. Each reply must be the same byte for
//! byte.
//!
//! In the recording, a line that starts with `>` is a batch in hexadecimal; the next line, with `<`, is its reply.

use super::hex;
use crate::link::serve;

const EXCHANGE: &str = include_str!("recorded_exchange.txt");

#[test]
fn a_recorded_exchange_is_answered_byte_for_byte() {
    let lines = |mark: &str| -> Vec<Vec<u8>> {
        let marked = EXCHANGE.lines().filter_map(|line| line.strip_prefix(mark));
        marked.map(hex).collect()
    };
    let (batches, replies) = (lines("> "), lines("< "));
    assert_eq!((batches.len(), replies.len()), (47, 47));
    let mut output = Vec::new();
    serve(&mut &batches.concat()[..], &mut output).unwrap();
    let mut rest = &output[..];
    for (number, expected) in replies.iter().enumerate() {
        let (reply, behind) = rest.split_at_checked(expected.len()).unwrap_or((rest, &[]));
        assert_eq!(reply, expected, "batch {}", number + 1);
        rest = behind;
    }
    assert!(rest.is_empty(), "{} bytes too many", rest.len());
}
