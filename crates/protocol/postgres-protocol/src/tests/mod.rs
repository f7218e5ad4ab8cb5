//! Shared by the tests of the state machines: messages as bytes, and summaries of messages.

mod client;
mod comment;
mod damage;
mod discovery;
mod node;
mod ring_buffer;

use crate::RingBuffer;
use crate::message::put;

pub(crate) const READ: &str =
    "SELECT v FROM records WHERE k = '7f3a' /* id=9b1f,c=basket,t=acme,d=480,cluster=2 */";

pub(crate) fn ring(bytes: &[u8]) -> RingBuffer {
    let mut ring = RingBuffer::new(1 << 18);
    ring.push(bytes);
    ring
}

pub(crate) fn all(mut ring: RingBuffer) -> Vec<u8> {
    let length = ring.len();
    ring.take(length)
}

pub(crate) fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut ring = RingBuffer::new(1 << 18);
    put(&mut ring, kind, &[body]);
    all(ring)
}

/// Returns the types of messages, and for an `ErrorResponse` its SQLSTATE.
pub(crate) fn outline(mut bytes: &[u8]) -> String {
    let mut outline = Vec::new();
    while let Some((head, rest)) = bytes.split_at_checked(5) {
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let (body, behind) = rest.split_at(length - 4);
        let code = (head[0] == b'E').then(|| crate::message::error_code(body).unwrap());
        let code = code.map_or(String::new(), |c| String::from_utf8(c.to_vec()).unwrap());
        outline.push(format!("{}{code}", head[0] as char));
        bytes = behind;
    }
    outline.join(" ")
}
