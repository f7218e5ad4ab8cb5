//! Encoding and decoding of frames, and writes to slow connections.

use crate::frames::{self, Frame, MAX_FRAME_BYTES};
use async_io::{Async, Timer};
use badgerstream_control::{MemberInfo, PeerMessage, Recipient, Term, Voter};
use futures_lite::{AsyncReadExt, future, io::Cursor};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns a frame that lists this number of servers.
fn members(count: usize) -> Frame {
    let member = |n: usize| MemberInfo {
        id: format!("i-{:010x}", n * 2_654_435),
        service: format!("catalog-{}", n / 3),
        endpoint: format!("10.0.{}.{}:5432", n / 200, n % 200),
        zone: "lima-a".to_owned(),
        slots: 4,
        draining: false,
        departed: false,
        call_seq: n as u64,
    };
    Frame::Peer {
        to: Recipient::Node(7),
        message: PeerMessage::MembersUpdate {
            update_id: None,
            members: (0..count).map(member).collect(),
        },
    }
}

fn read(bytes: &[u8]) -> std::io::Result<Frame> {
    future::block_on(frames::read(&mut Cursor::new(bytes)))
}

#[test]
fn written_frames_are_read_back() {
    for frame in [
        Frame::Handshake {
            from: Voter {
                node: 7,
                incarnation: 3,
            },
            process_incarnation: 9,
        },
        members(1),
        members(15),
        members(1000),
    ] {
        assert_eq!(read(&frames::encode(&frame)).unwrap(), frame);
    }
}

/// The list of a thousand servers takes about 50 KB uncompressed. Its names and addresses are
/// repetitive, so it compresses to less than half. Short frames are not compressed.
#[test]
fn long_frames_are_compressed() {
    let length = frames::encode(&members(1000)).len();
    assert!(length < 25_000, "{length} bytes");
    let short = Frame::Peer {
        to: Recipient::Node(7),
        message: PeerMessage::MembersSnapshotRequest { term: Term(1) },
    };
    assert!(frames::encode(&short).len() < 32);
}

/// A small compressed body that decompresses to more than [`MAX_FRAME_BYTES`] is rejected, and so
/// is a body that is not a DEFLATE stream.
#[test]
fn frame_that_decompresses_beyond_the_limit_is_rejected() {
    let body = miniz_oxide::deflate::compress_to_vec(&vec![0; 2 * MAX_FRAME_BYTES], 6);
    let mut bytes = (body.len() as u32 | 1 << 31).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    assert!(bytes.len() < 64 << 10);
    for rejected in [&bytes[..], &[0x80, 0, 0, 2, 1, 2]] {
        assert_eq!(
            read(rejected).unwrap_err().to_string(),
            "frame body can't be decompressed: invalid DEFLATE stream or more than 8388608 bytes"
        );
    }
}

/// Returns the two ends of a connection.
fn connection() -> (Async<TcpStream>, Async<TcpStream>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (other, _) = listener.accept().unwrap();
    (Async::new(one).unwrap(), Async::new(other).unwrap())
}

/// A write that takes longer than the stall timeout succeeds as long as it makes progress. A write
/// that makes no progress times out.
#[test]
fn slow_reader_gets_everything_and_a_stalled_one_times_out() {
    const STALL_TIMEOUT_S: f64 = 0.4;
    let bytes = vec![7; 12 << 20];
    let (mut writer, mut reader) = connection();
    let slow = async {
        let (mut read, mut buffer) = (0, vec![0; 256 << 10]);
        while read < bytes.len() {
            Timer::after(Duration::from_millis(20)).await;
            read += reader.read(&mut buffer).await.unwrap();
        }
    };
    let begin = std::time::Instant::now();
    let written = frames::write_with_stall_timeout(&mut writer, &bytes, STALL_TIMEOUT_S);
    let (written, ()) = future::block_on(future::zip(written, slow));
    written.unwrap();
    assert!(
        begin.elapsed().as_secs_f64() > 1.5 * STALL_TIMEOUT_S,
        "the write was faster than the slow reader allows"
    );
    let (mut writer, _reader) = connection();
    let stalled = future::block_on(frames::write_with_stall_timeout(
        &mut writer,
        &bytes,
        STALL_TIMEOUT_S,
    ));
    assert_eq!(stalled.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
}
