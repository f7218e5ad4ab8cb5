//! The encoding of every type that processes exchange or keep on disk, held by fixtures.
//!
//! Control machines, routers and disks of different releases read each other's bytes, so renaming or moving a type must not
//! change its encoding. Each line of `fixtures/encoding.txt` is a name and the bytes, in hexadecimal, of the sample with that
//! name. An intended change of the encoding needs a new line under a new name, written by hand.

use badgerstream_control::{
    Ballot, CallId, Change, ConfigNews, ConsensusMessage, Content, Difference, Digest, Evidence,
    GrantNews, Holds, LeaderCall, MemberNews, Membership, Order, PeerMessage, Primary, Recipient,
    State, Text, ToControl, ToRouter, Voter,
};
use bincode::config::standard;
use bincode::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;

const FIXTURES: &str = include_str!("fixtures/encoding.txt");

/// Compares the bytes of a fixture with a value, in both directions.
type Check = dyn Fn(&[u8]);

/// A value whose encoding is pinned.
struct Sample {
    name: &'static str,
    check: Box<Check>,
}

/// The sample of this name. Decoding must consume all bytes and give the value; encoding the decoded value must give the same
/// bytes.
fn sample<T: Encode + Decode<()> + PartialEq + Debug + 'static>(
    name: &'static str,
    value: T,
) -> Sample {
    let check = move |bytes: &[u8]| {
        let (decoded, used): (T, usize) = bincode::decode_from_slice(bytes, standard())
            .unwrap_or_else(|e| panic!("{name} cannot be decoded: {e}"));
        assert_eq!(used, bytes.len(), "{name} leaves bytes over");
        assert_eq!(decoded, value, "{name} decodes to another value");
        let encoded = bincode::encode_to_vec(&decoded, standard()).unwrap();
        assert_eq!(hex(&encoded), hex(bytes), "{name} encodes to other bytes");
    };
    Sample {
        name,
        check: Box::new(check),
    }
}

/// These bytes in hexadecimal.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes written by [`hex`].
fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "an odd number of digits");
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

/// A ballot whose varint takes nine bytes.
fn ballot() -> Ballot {
    Ballot(0x0102_0304_0506_0708)
}

/// A higher ballot than [`ballot`], for fields that stand beside it.
fn higher_ballot() -> Ballot {
    Ballot(0x1112_1314_1516_1718)
}

/// A voter whose address takes five bytes and whose incarnation takes nine.
fn voter() -> Voter {
    Voter {
        node: 0x0A01_0203,
        incarnation: 0xFEDC_BA98_7654_3210,
    }
}

/// Another voter, one of the founders.
fn founder() -> Voter {
    Voter {
        node: 0x0A01_0204,
        incarnation: 0,
    }
}

/// What a machine reports of the state that it accepted; its sequence number takes three bytes.
fn holds() -> Holds {
    Holds {
        accepted: Ballot(0x2122_2324_2526_2728),
        seq: 300,
        digest: Digest::of(b"held"),
    }
}

/// Three founders, no change under way.
fn single_set() -> Membership {
    Membership::founding([0x0A01_0204, 0x0A01_0205, 7])
}

/// The change that replaces a founder by another voter, both sets counted for the quorum.
fn joint_set() -> Membership {
    let founders = single_set();
    let next = founders.with(Some(voter()), Some(founder()));
    founders.changed_to(next).expect("a change of the voters")
}

fn primary() -> Primary {
    Primary {
        id: "i-0a".to_owned(),
        above: 70_000,
    }
}

fn order() -> Order {
    Order {
        epoch: 251,
        digest: Digest::of(b"order"),
    }
}

/// A state with every collection filled.
fn state() -> State {
    let other = Primary {
        id: "i-0b".to_owned(),
        above: 3,
    };
    let older = Order {
        epoch: 250,
        digest: Digest::of(b"older"),
    };
    State {
        seq: 65_536,
        membership: joint_set(),
        epoch: 252,
        config: config(),
        orders: vec![older, order()],
        primaries: BTreeMap::from([
            ("catalog".to_owned(), primary()),
            ("billing".to_owned(), other),
        ]),
    }
}

/// A short configuration text.
fn config() -> Rc<[u8]> {
    Rc::from(&b"{\"a\":1}"[..])
}

/// A difference with a copied and an inserted piece; the length of the copied one takes three bytes.
fn difference() -> Rc<Difference> {
    let old = "\"field\":\"value\",".repeat(40);
    let new = format!("{old}\"added\":\"text\",");
    let difference = Difference::between(old.as_bytes(), new.as_bytes());
    Rc::new(difference.expect("a difference shorter than the text"))
}

fn call_id() -> CallId {
    CallId {
        life: 0x3132_3334_3536_3738,
        number: 400,
    }
}

/// A server that drains.
fn draining_server() -> MemberNews {
    MemberNews {
        id: "i-0c".to_owned(),
        service: "catalog".to_owned(),
        endpoint: "10.0.0.1:5432".to_owned(),
        zone: "lima-a".to_owned(),
        slots: 500,
        draining: true,
        gone: false,
        call_seq: 0x4142_4344,
    }
}

/// A server that has left.
fn gone_server() -> MemberNews {
    MemberNews {
        id: "i-0d".to_owned(),
        service: "billing".to_owned(),
        endpoint: "10.0.0.2:5433".to_owned(),
        zone: "lima-b".to_owned(),
        slots: 8,
        draining: false,
        gone: true,
        call_seq: 9,
    }
}

fn grant() -> GrantNews {
    GrantNews {
        service: "catalog".to_owned(),
        id: "i-0e".to_owned(),
        term: 600,
        closing: true,
    }
}

fn evidence() -> Evidence {
    Evidence {
        service: "billing".to_owned(),
        id: "i-0f".to_owned(),
        answered: 0.75,
    }
}

/// The types that stand inside messages.
fn parts() -> Vec<Sample> {
    vec![
        sample("Ballot", ballot()),
        sample("Digest", Digest::of(b"digest")),
        sample("Voter", voter()),
        sample("Membership.single", single_set()),
        sample("Membership.joint", joint_set()),
        sample("Holds", holds()),
        sample("Recipient.Voter", Recipient::Voter(voter())),
        sample("Recipient.Node", Recipient::Node(0x0A01_0206)),
        sample("Primary", primary()),
        sample("Order", order()),
        sample("State.empty", State::default()),
        sample("State", state()),
        sample("Difference", (*difference()).clone()),
        sample("Text.Whole", Text::Whole(config())),
        sample("Text.Difference", Text::Difference(difference())),
        sample("Change.Config", change_of_config()),
        sample("Change.Primary", change_of_primary()),
        sample("Change.Membership", Change::Membership(joint_set())),
        sample("Content.Whole", Content::Whole(Rc::new(state()))),
        sample("Content.Changes", content_changes()),
        sample("CallId", call_id()),
        sample("LeaderCall.Replace", replace()),
        sample("LeaderCall.Read", LeaderCall::Read),
        sample("MemberNews.draining", draining_server()),
        sample("MemberNews.gone", gone_server()),
        sample("GrantNews", grant()),
        sample("Evidence", evidence()),
        sample("ConfigNews.Whole", ConfigNews::Whole(config())),
        sample(
            "ConfigNews.Changes",
            ConfigNews::Changes(vec![difference()]),
        ),
    ]
}

fn change_of_config() -> Change {
    Change::Config {
        epoch: 253,
        text: Text::Whole(config()),
    }
}

fn change_of_primary() -> Change {
    Change::Primary {
        service: "billing".to_owned(),
        primary: primary(),
    }
}

fn content_changes() -> Content {
    Content::Changes {
        base: Digest::of(b"base"),
        changes: vec![Rc::new(change_of_config()), Rc::new(change_of_primary())],
        result: Digest::of(b"result"),
    }
}

fn replace() -> LeaderCall {
    LeaderCall::Replace {
        base: 254,
        epoch: 70_001,
        text: Text::Whole(config()),
    }
}

/// Every message of the consensus.
fn consensus_messages() -> Vec<Sample> {
    use ConsensusMessage::*;
    let (ballot, holds) = (ballot(), holds());
    let promised = higher_ballot();
    let (sent, at) = (1.5, -2.25);
    let contacts = vec![voter(), founder()];
    vec![
        sample("ConsensusMessage.Canvass", Canvass { ballot, holds }),
        sample(
            "ConsensusMessage.Canvassed",
            Canvassed {
                ballot,
                granted: true,
                promised,
            },
        ),
        sample("ConsensusMessage.Prepare", Prepare { ballot, holds }),
        sample(
            "ConsensusMessage.Promise.none",
            Promise {
                ballot,
                holds,
                newer: None,
            },
        ),
        sample(
            "ConsensusMessage.Promise.newer",
            Promise {
                ballot,
                holds,
                newer: Some(Rc::new(state())),
            },
        ),
        sample("ConsensusMessage.Refuse", Refuse { ballot, promised }),
        sample(
            "ConsensusMessage.Accept",
            Accept {
                ballot,
                content: content_changes(),
            },
        ),
        sample("ConsensusMessage.Accepted", Accepted { ballot, holds }),
        sample("ConsensusMessage.Mismatch", Mismatch { ballot, holds }),
        sample(
            "ConsensusMessage.Heartbeat.none",
            Heartbeat {
                ballot,
                sent,
                confirms: None,
            },
        ),
        sample(
            "ConsensusMessage.Heartbeat.confirms",
            Heartbeat {
                ballot,
                sent,
                confirms: Some(at),
            },
        ),
        sample(
            "ConsensusMessage.HeartbeatAck",
            HeartbeatAck {
                ballot,
                sent,
                at,
                holds,
            },
        ),
        sample("ConsensusMessage.Resign", Resign { ballot }),
        sample("ConsensusMessage.Join", Join { holds }),
        sample("ConsensusMessage.Contacts", Contacts { voters: contacts }),
        sample("ConsensusMessage.Leave", Leave),
        sample("ConsensusMessage.Left", Left),
    ]
}

/// Every message between control machines.
fn peer_messages() -> Vec<Sample> {
    use PeerMessage::*;
    let news = || vec![draining_server(), gone_server()];
    let (ballot, id) = (ballot(), call_id());
    let resign = ConsensusMessage::Resign { ballot };
    vec![
        sample("PeerMessage.Consensus", Consensus(resign)),
        sample(
            "PeerMessage.Members.none",
            Members {
                round: None,
                news: news(),
            },
        ),
        sample(
            "PeerMessage.Members.round",
            Members {
                round: Some(700),
                news: news(),
            },
        ),
        sample("PeerMessage.MembersKept", MembersKept { round: 701 }),
        sample("PeerMessage.RosterWanted", RosterWanted { ballot }),
        sample(
            "PeerMessage.Roster",
            Roster {
                ballot,
                news: news(),
            },
        ),
        sample(
            "PeerMessage.Call",
            Call {
                id,
                call: replace(),
            },
        ),
        sample("PeerMessage.SendWhole", SendWhole { id }),
        sample(
            "PeerMessage.Answer",
            Answer {
                id,
                status: 409,
                body: Rc::from(&b"no"[..]),
            },
        ),
    ]
}

/// Every message between control machines and routers.
fn router_messages() -> Vec<Sample> {
    let renewal = ToControl {
        router: "router-1".to_owned(),
        life: 0x5152_5354_5556_5758,
        sent: 3.125,
        known: (ballot(), 800),
        epoch: 70_002,
        evidence: vec![evidence()],
    };
    let elsewhere = |leader| ToRouter::Elsewhere {
        leader,
        voters: vec![0x0A01_0207, 5],
    };
    let news = ToRouter::News {
        known: (higher_ballot(), 900),
        sent: None,
        lease: 0.0,
        whole: true,
        grants: vec![grant()],
        members: vec![draining_server(), gone_server()],
        config: Some(ConfigNews::Whole(config())),
        voters: vec![0x0A01_0208, 6],
        routers: 1000,
        evidence_wanted: vec!["catalog".to_owned(), "billing".to_owned()],
    };
    let answer = ToRouter::News {
        known: (ballot(), 901),
        sent: Some(4.5),
        lease: 1.75,
        whole: false,
        grants: Vec::new(),
        members: Vec::new(),
        config: None,
        voters: vec![6],
        routers: 2,
        evidence_wanted: Vec::new(),
    };
    vec![
        sample("ToControl", renewal),
        sample("ToRouter.Elsewhere.none", elsewhere(None)),
        sample("ToRouter.Elsewhere.leader", elsewhere(Some(0x0A01_0209))),
        sample("ToRouter.News.news", news),
        sample("ToRouter.News.answer", answer),
    ]
}

/// The lines of the fixture file by name.
fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    let mut lines = BTreeMap::new();
    for line in FIXTURES.lines() {
        let (name, bytes) = line.split_once(' ').expect("a name and its bytes");
        assert!(
            lines.insert(name, unhex(bytes)).is_none(),
            "{name} has two lines"
        );
    }
    lines
}

#[test]
fn every_sample_has_the_bytes_of_its_fixture() {
    let groups = [
        parts(),
        consensus_messages(),
        peer_messages(),
        router_messages(),
    ];
    let samples: Vec<Sample> = groups.into_iter().flatten().collect();
    let lines = fixtures();
    let names: BTreeSet<&str> = samples.iter().map(|sample| sample.name).collect();
    assert_eq!(names.len(), samples.len(), "two samples share a name");
    let pinned: BTreeSet<&str> = lines.keys().copied().collect();
    assert_eq!(names, pinned, "samples and lines do not match");
    for sample in &samples {
        (sample.check)(&lines[sample.name]);
    }
}

/// The difference of the samples holds both kinds of piece, which are private: it decodes to one that still makes the text.
#[test]
fn the_pinned_difference_still_applies() {
    let bytes = &fixtures()["Difference"];
    let (difference, _): (Difference, usize) =
        bincode::decode_from_slice(bytes, standard()).unwrap();
    let old = "\"field\":\"value\",".repeat(40);
    let new = difference.apply(old.as_bytes()).expect("the old text");
    assert_eq!(new, format!("{old}\"added\":\"text\",").into_bytes());
}
