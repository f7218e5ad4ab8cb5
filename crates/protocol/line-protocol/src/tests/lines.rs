use crate::{LineBuffer, LineError, MAX_LINE};
use arbtest::arbtest;

#[test]
fn cut_anywhere_gives_the_same_lines() {
    arbtest(|u| {
        let count = u.int_in_range(0..=6)?;
        let mut lines: Vec<Vec<u8>> = Vec::new();
        for _ in 0..count {
            let mut line = Vec::new();
            for _ in 0..u.int_in_range(0..=9)? {
                line.push(*u.choose(b"ab \r\n")?);
            }
            // A line that ends by CR, or holds CR LF, is not one line on the wire.
            while line.last() == Some(&b'\r') {
                line.pop();
            }
            if !line.windows(2).any(|w| w == b"\r\n") {
                lines.push(line);
            }
        }
        let stream: Vec<u8> = lines
            .iter()
            .flat_map(|l| [l.as_slice(), b"\r\n"].concat())
            .collect();
        let mut buffer = LineBuffer::default();
        let mut got = Vec::new();
        let mut rest = stream.as_slice();
        while !rest.is_empty() {
            let (now, later) = rest.split_at(u.int_in_range(1..=rest.len())?);
            buffer.feed(now);
            while let Some(line) = buffer.next().unwrap() {
                got.push(line.to_vec());
            }
            if u.arbitrary()? {
                buffer.shrink();
            }
            rest = later;
        }
        assert_eq!(got, lines);
        assert!(buffer.is_empty());
        Ok(())
    });
}

#[test]
fn a_message_has_a_bound() {
    let mut whole = LineBuffer::default();
    whole.feed(&vec![b'x'; MAX_LINE]);
    assert_eq!(whole.next(), Ok(None));
    whole.feed(b"\r\n");
    assert_eq!(whole.next().unwrap().unwrap().len(), MAX_LINE);

    let mut endless = LineBuffer::default();
    endless.feed(&vec![b'x'; MAX_LINE + 2]);
    assert_eq!(endless.next(), Err(LineError::TooLong));
}
