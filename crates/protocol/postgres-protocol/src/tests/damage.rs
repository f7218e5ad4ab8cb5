//! Streams with bytes changed, lost, doubled or random: the state machines report errors and never panic.

use super::{READ, message};
use crate::client::{Client, ClientAction};
use crate::comment::Statement;
use crate::discovery::Watch;
use crate::message::MAX_MESSAGE_BYTES;
use crate::node::Node;
use crate::{Close, RingBuffer};

const ROUNDS: u64 = 3000;

fn damaged(whole: &[u8], chance: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = whole.to_vec();
    for _ in 0..chance.usize(1..6) {
        let at = chance.usize(0..bytes.len().max(1));
        bytes.resize(bytes.len().max(1), 0);
        match chance.u8(0..4) {
            0 => bytes[at] = chance.u8(..),
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, chance.u8(..)),
            _ => bytes.truncate(at.max(1)),
        }
    }
    bytes
}

/// Damages a stream in many ways and feeds it in pieces; a round ends once `feed` returns false.
fn hurt(whole: &[u8], mut feed: impl FnMut() -> Box<dyn FnMut(&mut RingBuffer) -> bool>) {
    for seed in 0..ROUNDS {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (bytes, mut input, mut machine) = (
            damaged(whole, &mut chance),
            RingBuffer::new(MAX_MESSAGE_BYTES),
            feed(),
        );
        for piece in bytes.chunks(chance.usize(1..40)) {
            input.push(piece);
            if !machine(&mut input) {
                break;
            }
        }
    }
}

#[test]
fn a_client() {
    let start = b"\0\0\0\x12\0\x03\0\0user\0svc\0\0".to_vec();
    let query = message(b'Q', &[READ.as_bytes(), &[0]].concat());
    let whole = [
        start,
        query.clone(),
        message(b'P', b"\0\0\0\0"),
        message(b'S', b""),
        query,
    ]
    .concat();
    hurt(&whole, || {
        let (mut client, mut output) = (Client::default(), RingBuffer::new(MAX_MESSAGE_BYTES));
        Box::new(move |input| {
            loop {
                match client.next(input, &mut output) {
                    Ok(ClientAction::Read) => return true,
                    Ok(ClientAction::Write) => output.skip(output.len()),
                    Ok(ClientAction::Execute(_)) => client.aborted(&mut output),
                    Err(_) => return false,
                }
            }
        })
    });
}

#[test]
fn a_node() {
    let row = message(b'D', b"\0\x01\0\0\0\x01v");
    let described = message(
        b'T',
        b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01",
    );
    let received = message(b'S', b"as_of\x001767225600123\0");
    let parts = [
        message(b'R', &[0; 4]),
        message(b'Z', b"I"),
        described,
        row,
        message(b'C', b"SELECT 1\0"),
        received,
    ];
    let whole = [
        parts.concat(),
        message(b'Z', b"I"),
        message(b'E', b"SERROR\0CXX000\0Mno\0\0"),
    ]
    .concat();
    hurt(&whole, || {
        let mut output = RingBuffer::new(MAX_MESSAGE_BYTES);
        let mut node = Node::start(&mut output);
        Box::new(move |input| {
            loop {
                match node.next(input) {
                    Ok(None) => return true,
                    Ok(Some(_)) => node.execute(&mut output, READ),
                    Err(_) => return node.ended().is_some(),
                }
            }
        })
    });
}

#[test]
fn discovery() {
    let whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"a\":1}\n\r\n1\r\n\n\r\n0\r\n\r\n";
    hurt(whole.as_bytes(), || {
        let mut watch = Watch::default();
        Box::new(move |input| {
            loop {
                match watch.next(input) {
                    Ok(None) => return true,
                    Ok(Some(_)) => {}
                    Err(close) => return close == Close::PeerClosed,
                }
            }
        })
    });
}

#[test]
fn a_statement_that_is_taken_has_the_protocol_s_form_for_a_node_too() {
    for seed in 0..ROUNDS {
        let bytes = damaged(READ.as_bytes(), &mut fastrand::Rng::with_seed(seed));
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(s) = Statement::parse(&text) {
            let passed_on = s.for_node(s.wait_s / 2.0);
            let again = Statement::parse(&passed_on).unwrap();
            assert_eq!((again.key, again.group), (s.key, s.group), "{passed_on}");
        }
    }
}
