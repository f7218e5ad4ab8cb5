//! Tests of the line buffer with bytes that are split at any point.

use crate::{LineBuffer, LineError, MAX_LINE_BYTES};
use arbtest::arbtest;

#[test]
fn split_bytes_give_the_same_lines() {
    arbtest(|random| {
        let count = random.int_in_range(0..=6)?;
        let mut lines: Vec<Vec<u8>> = Vec::new();
        for _ in 0..count {
            let mut line = Vec::new();
            for _ in 0..random.int_in_range(0..=9)? {
                line.push(*random.choose(b"ab \r\n")?);
            }
            // A line that ends in CR or contains CR LF can't be sent as one line.
            while line.last() == Some(&b'\r') {
                line.pop();
            }
            if !line.windows(2).any(|pair| pair == b"\r\n") {
                lines.push(line);
            }
        }
        let stream: Vec<u8> = lines
            .iter()
            .flat_map(|line| [line.as_slice(), b"\r\n"].concat())
            .collect();
        let mut buffer = LineBuffer::default();
        let mut taken = Vec::new();
        let mut rest = stream.as_slice();
        while !rest.is_empty() {
            let (first, remaining) = rest.split_at(random.int_in_range(1..=rest.len())?);
            buffer.feed(first);
            while let Some(line) = buffer.next_line().unwrap() {
                taken.push(line.to_vec());
            }
            if random.arbitrary()? {
                buffer.shrink();
            }
            rest = remaining;
        }
        assert_eq!(taken, lines);
        assert!(buffer.is_empty());
        Ok(())
    });
}

#[test]
fn line_above_the_limit_is_an_error() {
    let mut at_limit = LineBuffer::default();
    at_limit.feed(&vec![b'x'; MAX_LINE_BYTES]);
    assert_eq!(at_limit.next_line(), Ok(None));
    at_limit.feed(b"\r\n");
    assert_eq!(at_limit.next_line().unwrap().unwrap().len(), MAX_LINE_BYTES);

    let mut endless = LineBuffer::default();
    endless.feed(&vec![b'x'; MAX_LINE_BYTES + 2]);
    assert_eq!(endless.next_line(), Err(LineError::TooLong));
}
