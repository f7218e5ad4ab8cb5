//! The bytes of frames on a connection, held by fixtures: processes of different releases read each
//! other's frames.
//!
//! Each line of `fixtures/frames.txt` is a name and the whole frame, length prefix included, in
//! hexadecimal.

use super::hex::{hex, unhex};
use crate::frames::{self, Frame};
use badgerstream_control::{
    HealthReport, LeaseRequest, PeerMessage, PrimaryGrant, Recipient, RouterMessage, Term, Voter,
};
use futures_lite::{future, io::Cursor};
use std::collections::BTreeMap;
use std::rc::Rc;

const FIXTURES: &str = include_str!("fixtures/frames.txt");

/// The sample whose frame is compressed.
const COMPRESSED: &str = "News.compressed";

fn voter() -> Voter {
    Voter {
        node: 0x0A01_0203,
        incarnation: 0xFEDC_BA98_7654_3210,
    }
}

fn peer(to: Recipient) -> Frame {
    let message = PeerMessage::MembersSnapshotRequest {
        term: Term(0x0102_0304_0506_0708),
    };
    Frame::Peer { to, message }
}

fn lease_request() -> Frame {
    let evidence = HealthReport {
        service: "billing".to_owned(),
        server_id: "i-0f".to_owned(),
        answered_seconds_ago: 0.75,
    };
    Frame::LeaseRequest(LeaseRequest {
        router: "router-1".to_owned(),
        process_incarnation: 0x5152_5354_5556_5758,
        sent_at: 3.125,
        update_watermark: (Term(0x1112_1314_1516_1718), 800),
        config_epoch: 70_002,
        health_reports: vec![evidence],
    })
}

/// An update with so many grants.
fn router_update(grants: u64) -> Frame {
    let grant = |number| PrimaryGrant {
        service: format!("catalog-{number}"),
        server_id: format!("i-{:08x}", number * 2_654_435),
        primary_term: 240 + number,
        revoking: number % 3 == 0,
    };
    Frame::RouterUpdate(Rc::new(RouterMessage::Update {
        update_watermark: (Term(0x2122_2324_2526_2728), 900),
        request_sent_at: Some(4.5),
        lease_duration: 1.75,
        is_snapshot: true,
        grants: (1..=grants).map(grant).collect(),
        members: Vec::new(),
        config: None,
        voters: vec![0x0A01_0208, 6],
        router_count: 1000,
        health_reports_wanted: vec!["catalog-1".to_owned()],
    }))
}

/// One sample at least for every variant, under the names that the fixture has for them.
fn samples() -> BTreeMap<&'static str, Frame> {
    let handshake = Frame::Handshake {
        from: voter(),
        process_incarnation: 0x3132_3334_3536_3738,
    };
    BTreeMap::from([
        ("Hello", handshake),
        ("Peer.voter", peer(Recipient::Voter(voter()))),
        ("Peer.node", peer(Recipient::Node(0x0A01_0206))),
        ("Renew", lease_request()),
        ("News", router_update(1)),
        (COMPRESSED, router_update(60)),
    ])
}

#[test]
fn every_frame_has_the_bytes_of_its_fixture() {
    let lines: Vec<(&str, Vec<u8>)> = FIXTURES
        .lines()
        .map(|line| line.split_once(' ').expect("a name and its bytes"))
        .map(|(name, bytes)| (name, unhex(bytes)))
        .collect();
    let samples = samples();
    let names: Vec<&str> = samples.keys().copied().collect();
    let pinned: Vec<&str> = lines.iter().map(|(name, _)| *name).collect();
    assert_eq!(
        names, pinned,
        "samples and lines do not match, or the order"
    );
    for (name, bytes) in lines {
        let read = |bytes: &[u8]| future::block_on(frames::read(&mut Cursor::new(bytes))).unwrap();
        let frame = read(&bytes);
        assert_eq!(frame, samples[name], "{name}");
        let compressed = bytes[0] & 0x80 != 0;
        assert_eq!(compressed, name == COMPRESSED, "{name}");
        let written = frames::encode(&frame);
        if compressed {
            // Another release of the compressor may choose other bytes for the same body.
            assert_eq!(written[0] & 0x80, 0x80, "{name} is compressed");
            assert_eq!(read(&written), frame, "{name}");
        } else {
            assert_eq!(hex(&written), hex(&bytes), "{name}");
        }
    }
}
