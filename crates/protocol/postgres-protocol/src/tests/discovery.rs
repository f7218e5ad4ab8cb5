use super::ring;
use crate::discovery::{Watch, parse_list, request};
use crate::{Close, RingBuffer};
use serde_json::json;
use test_case::test_case;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds a response in pieces; returns its lines and how it ended.
fn lines(bytes: &[u8], piece: usize) -> (Vec<String>, Option<Close>) {
    let (mut watch, mut input, mut lines) =
        (Watch::default(), RingBuffer::new(1 << 16), Vec::new());
    for piece in bytes.chunks(piece) {
        input.push(piece);
        loop {
            match watch.next(&mut input) {
                Ok(Some(line)) => lines.push(String::from_utf8(line).unwrap()),
                Ok(None) => break,
                Err(close) => return (lines, Some(close)),
            }
        }
    }
    (lines, None)
}

#[test_case(1; "byte by byte")]
#[test_case(13; "in thirteens")]
#[test_case(10_000; "at once")]
fn lines_come_out_of_chunks(piece: usize) {
    // A line in two chunks, an empty line, two lines in one chunk, the end.
    let bytes =
        format!("{HEAD}4\r\n{{\"a\"\r\n4\r\n:1}}\n\r\n1\r\n\n\r\n6\r\n{{}}\n[]\n\r\n0\r\n\r\n");
    let (received, end) = lines(bytes.as_bytes(), piece);
    assert_eq!(received, ["{\"a\":1}\n", "\n", "{}\n", "[]\n"]);
    assert_eq!(end, Some(Close::PeerClosed));
}

#[test]
fn a_body_without_chunks_is_read_too() {
    let (received, end) = lines(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n", 2);
    assert_eq!(
        (received, end),
        (vec!["{}\n".to_string()], Some(Close::PeerClosed))
    );
}

#[test_case("nonsense\r\n\r\n"; "no http")]
#[test_case("HTTP/1.1 503 Gone\r\nContent-Length: 0\r\n\r\n"; "an error")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"; "no length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"; "no chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\nxx"; "a chunk that does not end")]
fn garbage_ends_the_watch(bytes: &str) {
    assert!(matches!(
        lines(bytes.as_bytes(), 5).1,
        Some(Close::Malformed(_))
    ));
}

#[test]
fn an_endless_head_ends_the_watch() {
    let bytes = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(1 << 15));
    assert!(matches!(
        lines(bytes.as_bytes(), 1000).1,
        Some(Close::Malformed(_))
    ));
}

#[test]
fn the_request_has_the_known_version() {
    let asked = request("127.0.0.1:8500".parse().unwrap(), 41);
    assert!(
        asked.starts_with("GET /v1/servers?stream=1&index=41 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n")
    );
    assert!(asked.ends_with("\r\n\r\n"));
    assert!(Watch::default().next(&mut ring(b"")).unwrap().is_none());
}

#[test]
fn a_list_is_passed_on_node_by_node() {
    let received = json!({"seq": 43, "whole": true, "hosts": [
        {"host": "s-1", "dial": "127.0.0.1:6432", "site": "a", "class": "m2", "block": 3,
         "health": "terminating", "share": 1.0, "born_ms": 1767225600123u64, "rank": "source"},
        {"host": "s-2", "dial": "127.0.0.2:6432", "site": "b", "block": 3, "health": "in_service", "born_ms": 0}]});
    let mut nodes = Vec::new();
    let heard = parse_list(
        &received,
        |name, dial, zone, group, standing, since, leads| {
            nodes.push(format!(
                "{name} {dial} {zone} {group} {standing:?} {since} {leads}"
            ));
        },
    );
    assert_eq!(heard, Ok((43, true)));
    assert_eq!(
        nodes[0],
        "s-1 127.0.0.1:6432 a 3 Draining 1767225600.123 true"
    );
    assert_eq!(nodes[1], "s-2 127.0.0.2:6432 b 3 Ready 0 false");
}

#[test_case("health", json!("unheard of"); "an unknown standing")]
#[test_case("dial", json!("nowhere"); "no address")]
#[test_case("block", json!(70000); "no group")]
#[test_case("born_ms", json!(-1); "born before time")]
#[test_case("host", json!(7); "no name")]
fn an_invalid_list_passes_on_no_node(field: &str, wrong: serde_json::Value) {
    let good = json!({"host": "s-1", "dial": "127.0.0.1:6432", "site": "a", "block": 3,
                      "health": "in_service", "born_ms": 0});
    let mut bad = good.clone();
    bad[field] = wrong;
    let received = json!({"seq": 43, "whole": true, "hosts": [good, bad]});
    let mut count = 0;
    assert!(parse_list(&received, |_, _, _, _, _, _, _| count += 1).is_err());
    assert_eq!(count, 0);
}
