use super::{READ, all, message, outline, ring};
use crate::client::{Client, ClientAction};
use crate::message::MAX_MESSAGE_BYTES;
use crate::{Close, RingBuffer};
use test_case::test_case;

fn startup(version: u32, body: &[u8]) -> Vec<u8> {
    [
        &(8 + body.len() as u32).to_be_bytes()[..],
        &version.to_be_bytes(),
        body,
    ]
    .concat()
}

fn hello() -> Vec<u8> {
    startup(3 << 16, b"user\0svc\0database\0main\0\0")
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

/// Feeds bytes in pieces of this size and answers each statement with a row; returns the output and how it ended.
fn fed(bytes: &[u8], piece: usize) -> (Vec<u8>, Result<(), Close>) {
    let (mut client, mut input, mut output) = (
        Client::default(),
        RingBuffer::new(MAX_MESSAGE_BYTES),
        RingBuffer::new(MAX_MESSAGE_BYTES),
    );
    let mut pieces = bytes.chunks(piece);
    loop {
        match client.next(&mut input, &mut output) {
            Ok(ClientAction::Write) => {}
            Ok(ClientAction::Execute(_)) => client.completed(&mut output, message(b'D', b"v")),
            Ok(ClientAction::Read) => match pieces.next() {
                Some(piece) => input.push(piece),
                None => return (all(output), Ok(())),
            },
            Err(close) => return (all(output), Err(close)),
        }
    }
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in sevens")]
#[test_case(10_000; "at once")]
fn statements_are_answered_in_order(piece: usize) {
    let bytes = [
        startup(80_877_103, b""),
        startup(80_877_104, b""),
        hello(),
        query(""),
        query(READ),
    ]
    .concat();
    let bytes = [bytes, query("nonsense"), query(READ), message(b'X', b"")].concat();
    let (answers, end) = fed(&bytes, piece);
    assert_eq!(&answers[..2], b"NN", "neither TLS nor GSS");
    assert_eq!(outline(&answers[2..]), "R S S S Z I Z D Z E0A000 Z D Z");
    assert_eq!(end, Err(Close::PeerClosed));
}

#[test]
fn one_statement_at_a_time() {
    let (mut client, mut output) = (Client::default(), RingBuffer::new(MAX_MESSAGE_BYTES));
    let mut input = ring(&[hello(), query(READ), query(READ)].concat());
    assert_eq!(
        client.next(&mut input, &mut output),
        Ok(ClientAction::Write)
    );
    assert!(client.awaits_first_message());
    assert!(matches!(
        client.next(&mut input, &mut output),
        Ok(ClientAction::Execute(_))
    ));
    assert!(!client.awaits_first_message());
    let waiting = input.len();
    assert_eq!(client.next(&mut input, &mut output), Ok(ClientAction::Read));
    assert_eq!(input.len(), waiting, "the second stays where it is");
    client.aborted(&mut output);
    assert!(matches!(
        client.next(&mut input, &mut output),
        Ok(ClientAction::Execute(_))
    ));
}

#[test]
fn rejections_carry_the_time_to_come_back() {
    let (mut client, mut output) = (Client::default(), RingBuffer::new(MAX_MESSAGE_BYTES));
    client.rejected(&mut output, 1.5);
    let received = all(output);
    assert_eq!(outline(&received), "E53300 Z");
    assert!(received.windows(6).any(|w| w == b"D1500\0"));
}

#[test]
fn an_abort_differs_from_a_rejection() {
    let (mut client, mut output) = (Client::default(), RingBuffer::new(MAX_MESSAGE_BYTES));
    client.aborted(&mut output);
    assert_eq!(outline(&all(output)), "E40003 Z");
}

#[test]
fn the_extended_protocol_is_rejected_up_to_its_sync() {
    let asked = [
        message(b'P', b"\0\0\0\0"),
        message(b'B', b""),
        message(b'E', b""),
        message(b'S', b""),
    ]
    .concat();
    let (answers, end) = fed(&[hello(), asked, query("")].concat(), 10_000);
    assert_eq!(
        (outline(&answers).as_str(), end),
        ("R S S S Z E0A000 Z I Z", Ok(()))
    );
}

#[test]
fn a_newer_minor_version_is_negotiated() {
    let bytes = startup((3 << 16) + 2, b"user\0svc\0_pq_.x\0y\0\0");
    assert_eq!(outline(&fed(&bytes, 10_000).0), "v R S S S Z");
}

#[test_case(&[0, 0, 0, 4, 0, 0, 0, 0], "E08P01"; "a startup that is too short")]
#[test_case(&[0x7f, 0, 0, 0, 0, 3, 0, 0], "E08P01"; "a startup that is too long")]
#[test_case(&startup(2 << 16, b"\0"), "E0A000"; "version 2")]
#[test_case(&startup(3 << 16, b"database\0main\0\0"), "E28000"; "no user")]
#[test_case(&startup(3 << 16, b"user"), "E08P01"; "a startup without end")]
#[test_case(&startup(80_877_102, &[0; 8]), ""; "a request to cancel")]
#[test_case(&[hello(), b"!\0\0\0\x04".to_vec()].concat(), "R S S S Z E08P01"; "an unknown type")]
#[test_case(&[hello(), b"Q\0\0\0\x03".to_vec()].concat(), "R S S S Z E08P01"; "a length below itself")]
#[test_case(&[hello(), b"Q\x7f\0\0\0".to_vec()].concat(), "R S S S Z E08P01"; "an endless message")]
fn the_connection_ends(bytes: &[u8], expected: &str) {
    let (answers, end) = fed(bytes, 3);
    assert!(end.is_err());
    assert_eq!(outline(&answers), expected);
}

#[test_case(&query("\0"), "E08P01 Z"; "a zero byte inside")]
#[test_case(&message(b'Q', b"SELECT"), "E08P01 Z"; "no end")]
#[test_case(&message(b'Q', b"\xff\0"), "E08P01 Z"; "no text")]
#[test_case(&message(b'F', b""), "E0A000 Z"; "a function call")]
#[test_case(&message(b'H', b""), ""; "a flush")]
#[test_case(&message(b'S', b""), "Z"; "a sync")]
fn the_connection_goes_on(bytes: &[u8], expected: &str) {
    let (answers, end) = fed(&[&hello(), bytes, &query("")].concat(), 4);
    let expected = ["R S S S Z", expected, "I Z"]
        .map(str::to_string)
        .join(" ")
        .replace("  ", " ");
    assert_eq!((outline(&answers), end), (expected, Ok(())));
}

#[test]
fn a_value_of_64_kib_fits() {
    let text = format!(
        "INSERT INTO records (k, v) VALUES ('7', '\\x{}') RETURNING v /* id=9,c=b,d=480,k=5,cluster=2 */",
        "9f".repeat(1 << 16)
    );
    assert_eq!(
        outline(&fed(&[hello(), query(&text)].concat(), 1000).0),
        "R S S S Z D Z"
    );
}
