//! Tests that the result of decoding does not depend on how the bytes are split.

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use arbtest::arbtest;

use super::{decode_requests, decode_responses};
use crate::{HttpError, MAX_HEAD_BYTES};

const REQUEST_FRAGMENTS: &[&str] = &[
    "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET / HTTP/1.0\r\n\r\n",
    "\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
    "POST /a HTTP/1.1\r\ncontent-length: 51\r\n\r\n",
    "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nwiki\r\n",
    "1f\r\n0123456789012345678901234567890\r\n",
    "3;x=y\r\nabc\r\n",
    "0\r\n\r\n",
    "0\r\nA: b\r\n\r\n",
];

/// Splits the bytes into chunks at random offsets.
fn split<'a>(random: &mut Unstructured<'_>, bytes: &'a [u8]) -> ArbitraryResult<Vec<&'a [u8]>> {
    let mut chunks = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let max_chunk = if random.ratio(1, 2)? { 3 } else { rest.len() };
        let (chunk, after) = rest.split_at(random.int_in_range(1..=rest.len().min(max_chunk))?);
        chunks.push(chunk);
        rest = after;
    }
    Ok(chunks)
}

/// Returns the bytes of random messages, some of them invalid.
fn random_messages(random: &mut Unstructured<'_>, fragments: &[&str]) -> ArbitraryResult<Vec<u8>> {
    let mut bytes = Vec::new();
    for _ in 0..random.int_in_range(1..=6)? {
        bytes.extend_from_slice(random.choose(fragments)?.as_bytes());
    }
    if random.ratio(1, 3)? && !bytes.is_empty() {
        let offset = random.choose_index(bytes.len())?;
        bytes[offset] = *random.choose(b"\r\n 0:x\0\xff")?;
    }
    Ok(bytes)
}

#[test]
fn split_requests_decode_as_unsplit() {
    arbtest(|random| {
        let bytes = random_messages(random, REQUEST_FRAGMENTS)?;
        let chunks = split(random, &bytes)?;
        assert_eq!(decode_requests(50, &chunks), decode_requests(50, &[&bytes]));
        Ok(())
    });
}

#[test]
fn split_responses_decode_as_unsplit() {
    arbtest(|random| {
        let fragments = [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 500 Oh\r\n\r\nuntil the end",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nwiki\r\n",
            "0\r\n\r\n",
        ];
        let bytes = random_messages(random, &fragments)?;
        let chunks = split(random, &bytes)?;
        assert_eq!(
            decode_responses(50, &chunks),
            decode_responses(50, &[&bytes])
        );
        Ok(())
    });
}

/// Random splits seldom fall between the two bytes of a line ending, so this test splits the bytes
/// at every offset.
#[test]
fn split_at_every_offset_or_into_single_bytes_decodes_as_unsplit() {
    let chunked = "4;x=y\r\nwiki\r\nA\r\n0123456789\r\n0\r\nA: b\r\n\r\n";
    let get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let post = "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    let bytes = format!(
        "{get}POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}\r\n{post}{get}"
    );
    let bytes = bytes.as_bytes();
    let unsplit = decode_requests(50, &[bytes]);
    assert_eq!((unsplit.0.len(), unsplit.1), (4, None));
    assert_eq!(unsplit.0[1].body, b"wiki0123456789");
    for offset in 1..bytes.len() {
        assert_eq!(
            decode_requests(50, &[&bytes[..offset], &bytes[offset..]]),
            unsplit,
            "split at {offset}"
        );
    }
    assert_eq!(
        decode_requests(50, &bytes.chunks(1).collect::<Vec<_>>()),
        unsplit
    );

    let bytes = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}HTTP/1.1 204 No\r\n\r\nHTTP/1.1 503 Oh\r\n\r\nend"
    );
    let bytes = bytes.as_bytes();
    let unsplit = decode_responses(50, &[bytes]);
    assert_eq!((unsplit.0.len(), unsplit.1), (3, None));
    for offset in 1..bytes.len() {
        assert_eq!(
            decode_responses(50, &[&bytes[..offset], &bytes[offset..]]),
            unsplit,
            "split at {offset}"
        );
    }
    assert_eq!(
        decode_responses(50, &bytes.chunks(1).collect::<Vec<_>>()),
        unsplit
    );
}

#[test]
fn head_at_its_limit_decodes_as_unsplit() {
    let head = |total: usize| {
        let start = "GET / HTTP/1.1\r\nX: ";
        format!("{start}{}\r\n\r\n", "y".repeat(total - start.len() - 4)).into_bytes()
    };
    for (total, error) in [
        (MAX_HEAD_BYTES, None),
        (MAX_HEAD_BYTES + 1, Some(HttpError::HeadTooLarge)),
    ] {
        let bytes = head(total);
        let unsplit = decode_requests(0, &[&bytes]);
        assert_eq!(unsplit.1, error);
        for offset in [1, MAX_HEAD_BYTES - 1, MAX_HEAD_BYTES, total - 1] {
            let (first, second) = bytes.split_at(offset);
            assert_eq!(
                decode_requests(0, &[first, second]),
                unsplit,
                "{total} split at {offset}"
            );
        }
    }
}
