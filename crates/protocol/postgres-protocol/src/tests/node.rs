use super::{READ, all, message, outline, ring};
use crate::message::{MAX_MESSAGE_BYTES, put_status};
use crate::node::{Answer, Node, NodeEvent, load_figure};
use crate::{Close, RingBuffer};
use test_case::test_case;

fn status(name: &str, value: &str) -> Vec<u8> {
    let mut output = RingBuffer::new(MAX_MESSAGE_BYTES);
    put_status(&mut output, name, value);
    all(output)
}

fn described(columns: u16) -> Vec<u8> {
    message(
        b'T',
        &[&columns.to_be_bytes()[..], b"v\0", &[0; 18]].concat(),
    )
}

fn row(columns: u16, value: &[u8]) -> Vec<u8> {
    message(
        b'D',
        &[
            &columns.to_be_bytes()[..],
            &(value.len() as u32).to_be_bytes(),
            value,
        ]
        .concat(),
    )
}

fn done() -> Vec<u8> {
    message(b'C', b"SELECT 1\0")
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

fn greeting() -> Vec<u8> {
    [
        message(b'R', &[0; 4]),
        status("server_version", "15"),
        message(b'K', &[0; 8]),
        ready(),
    ]
    .concat()
}

/// Starts a connection, sends a query, feeds an answer in pieces, and returns the result.
fn answered(bytes: &[u8], piece: usize) -> Result<Option<Answer>, Close> {
    let (mut input, mut output) = (
        RingBuffer::new(MAX_MESSAGE_BYTES),
        RingBuffer::new(MAX_MESSAGE_BYTES),
    );
    let mut node = Node::start(&mut output);
    input.push(&greeting());
    assert_eq!(node.next(&mut input), Ok(Some(NodeEvent::Ready)));
    output.skip(output.len());
    node.execute(&mut output, READ);
    assert_eq!(outline(&all(output)), "Q");
    for piece in bytes.chunks(piece) {
        input.push(piece);
        if let Some(NodeEvent::Answer(answer)) = node.next(&mut input)? {
            return Ok(Some(answer));
        }
    }
    Ok(node.ended())
}

#[test_case(1; "byte by byte")]
#[test_case(11; "in elevens")]
#[test_case(10_000; "at once")]
fn a_row_is_returned_unchanged(piece: usize) {
    let row = [described(1), row(1, b"\x9f\x00\x03"), done()].concat();
    let received = [
        status("rank", "copy"),
        status("as_of", "1767225600123"),
        status("vitals", "x0=5,x1=0"),
    ];
    let answer = answered(&[row.clone(), received.concat(), ready()].concat(), piece)
        .unwrap()
        .unwrap();
    assert_eq!(&row[answer.value.clone()], b"\x9f\x00\x03");
    assert_eq!(
        (answer.row, answer.primary, answer.as_of),
        (Ok(row), Some(false), Some(1_767_225_600.123))
    );
    assert_eq!(answer.vitals.as_deref(), Some("x0=5,x1=0"));
}

#[test_case(&status("rank", "queen"); "an unknown role")]
#[test_case(&status("as_of", "soon"); "no position")]
#[test_case(&message(b'S', b"rank"); "no pair")]
fn an_invalid_status_does_not_affect_the_row(received: &[u8]) {
    let bytes = [
        &[described(1), row(1, b"v"), done()].concat(),
        received,
        &ready(),
    ]
    .concat();
    let answer = answered(&bytes, 4).unwrap().unwrap();
    assert_eq!(
        (answer.row.is_ok(), answer.primary, answer.as_of),
        (true, None, None)
    );
}

#[test]
fn an_answer_with_an_error_has_the_status_of_its_node() {
    let bytes = [
        error("25006"),
        status("rank", "copy"),
        status("as_of", "5"),
        ready(),
    ]
    .concat();
    let answer = answered(&bytes, 3).unwrap().unwrap();
    assert_eq!(
        (answer.row, answer.primary, answer.as_of),
        (Err(*b"25006"), Some(false), Some(0.005))
    );
}

#[test_case(&[described(1), row(1, b"v")].concat(), None; "a row that is not completed")]
#[test_case(&[described(1), row(1, b"v"), done()].concat(), Some(true); "a row but for the last message")]
#[test_case(&error("XX000"), Some(false); "an error and the end")]
#[test_case(&row(1, b"v")[..8], None; "half a message")]
#[test_case(&[], None; "nothing")]
fn the_connection_ends_during_an_answer(bytes: &[u8], whole: Option<bool>) {
    assert_eq!(answered(bytes, 5).unwrap().map(|a| a.row.is_ok()), whole);
}

#[test_case(&[described(2), row(2, b"v"), done(), ready()].concat(); "two columns")]
#[test_case(&[described(1), row(0, b""), done(), ready()].concat(); "no column")]
#[test_case(&[described(1), done(), ready()].concat(); "no row")]
#[test_case(&[described(1), row(1, b"v"), row(1, b"w"), done(), ready()].concat(); "two rows")]
#[test_case(&[described(1), row(1, b"v"), done(), described(1)].concat(); "two answers")]
#[test_case(&[described(1), row(1, b"v"), done(), error("XX000"), ready()].concat(); "a row and an error")]
#[test_case(&[error("XX000"), described(1), row(1, b"v"), done(), ready()].concat(); "an error and a row")]
#[test_case(&[row(1, b"v"), done(), ready()].concat(); "no description")]
#[test_case(&ready(); "no answer at all")]
#[test_case(&message(b'I', b""); "an empty query's answer")]
#[test_case(&message(b'G', b"\0\0\0"); "a copy")]
#[test_case(b"D\0\0\0\x01"; "a length below itself")]
#[test_case(b"D\x7f\0\0\0"; "an endless message")]
#[test_case(&message(b'D', b"\0\x01\0\0\0\x09v"); "a value cut short")]
#[test_case(&message(b'E', b"SERROR\0\0"); "an error without a code")]
#[test_case(&message(b'N', b"\0").repeat(100); "too many messages")]
fn no_completion(bytes: &[u8]) {
    assert!(matches!(answered(bytes, 6), Err(Close::Malformed(_))));
}

#[test_case(b"q\0\0\0\x40"; "an unknown type")]
#[test_case(b"Z\0\0\0\x40I"; "a last message that is too long")]
#[test_case(b"D\0\0\0\x40\0\x01\0\0\0\x01v"; "a row that is longer than its value")]
#[test_case(b"D\0\0\0\x10\0\x01\0\0\0\x40v"; "a value that is longer than its row")]
#[test_case(b"D\0\0\0\x10\0\x01\xff\xff\xff\xff"; "no value in a row that has some")]
#[test_case(b"C\0\x01\0\0SELECT 1"; "a completion of 64 KiB")]
fn an_incomplete_message_with_an_invalid_header_fails_at_once(begun: &[u8]) {
    for piece in [1, 100] {
        assert!(matches!(
            answered(&[described(1), begun.to_vec()].concat(), piece),
            Err(Close::Malformed(_))
        ));
    }
}

#[test]
fn bytes_while_idle_end_the_connection() {
    let mut node = Node::start(&mut RingBuffer::new(MAX_MESSAGE_BYTES));
    let mut input = ring(&[greeting(), done()].concat());
    assert_eq!(node.next(&mut input), Ok(Some(NodeEvent::Ready)));
    assert!(matches!(node.next(&mut input), Err(Close::Malformed(_))));
}

#[test_case("53300", Close::TooManyConnections; "it holds too many connections")]
#[test_case("57P03", Close::Refused; "it does not start")]
fn a_start_that_fails(code: &str, expected: Close) {
    let mut node = Node::start(&mut RingBuffer::new(MAX_MESSAGE_BYTES));
    assert_eq!(node.next(&mut ring(&error(code))), Err(expected));
}

#[test_case("inflight=7,util=0.61", "util", Some(0.61); "there")]
#[test_case("inflight=7,util=0.61", "x0", None; "not there")]
#[test_case("x0=NaN", "x0", None; "no number")]
#[test_case("x0,=,x1=", "x1", None; "no form")]
fn figures_of_a_report(report: &str, name: &str, expected: Option<f64>) {
    assert_eq!(load_figure(report, name), expected);
}
