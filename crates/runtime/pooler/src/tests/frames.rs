//! Frames, long and short.

use crate::frames::{self, Frame, MAX_FRAME_BYTES};
use async_io::{Async, Timer};
use badgerstream_control::{MemberInfo, PeerMessage, Recipient, Term, Voter};
use futures_lite::{AsyncReadExt, future, io::Cursor};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

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

/// A thousand servers take some 50 KB uncompressed; their names and addresses repeat themselves.
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

/// A few bytes that decompress to more than any frame may hold are rejected.
#[test]
fn frame_that_decompresses_beyond_the_limit_is_rejected() {
    let body = miniz_oxide::deflate::compress_to_vec(&vec![0; 2 * MAX_FRAME_BYTES], 6);
    let mut bytes = (body.len() as u32 | 1 << 31).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    assert!(bytes.len() < 64 << 10);
    for rejected in [&bytes[..], &[0x80, 0, 0, 2, 1, 2]] {
        assert_eq!(
            read(rejected).unwrap_err().to_string(),
            "a frame can't be decompressed"
        );
    }
}

/// Two ends of a connection.
fn connection() -> (Async<TcpStream>, Async<TcpStream>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (other, _) = listener.accept().unwrap();
    (Async::new(one).unwrap(), Async::new(other).unwrap())
}

/// A write that takes longer than the stall time-out succeeds as long as it makes progress; one
/// that makes none times out.
#[test]
fn slow_reader_gets_everything_and_a_stalled_one_times_out() {
    const STALLED_S: f64 = 0.4;
    let bytes = vec![7; 12 << 20];
    let (mut writer, mut reader) = connection();
    let slow = async {
        let (mut read, mut room) = (0, vec![0; 256 << 10]);
        while read < bytes.len() {
            Timer::after(Duration::from_millis(20)).await;
            read += reader.read(&mut room).await.unwrap();
        }
    };
    let begin = std::time::Instant::now();
    let written = frames::write_with_stall_timeout(&mut writer, &bytes, STALLED_S);
    let (written, ()) = future::block_on(future::zip(written, slow));
    written.unwrap();
    assert!(
        begin.elapsed().as_secs_f64() > 1.5 * STALLED_S,
        "it was not slow"
    );
    let (mut writer, _reader) = connection();
    let stalled = future::block_on(frames::write_with_stall_timeout(
        &mut writer,
        &bytes,
        STALLED_S,
    ));
    assert_eq!(stalled.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
}
