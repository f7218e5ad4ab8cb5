//! The encoding of every type that processes exchange or keep on disk, held by fixtures.
//!
//! Control machines, routers and disks of different releases read each other's bytes, so renaming or moving a type must not
//! change its encoding. Each line of `fixtures/encoding.txt` is a name and the bytes, in hexadecimal, of the sample with that
//! name. An intended change of the encoding needs a new line under a new name, written by hand.

use badgerstream_control::{
    AppliedConfig, ConfigPayload, ConfigUpdate, ConsensusMessage, Digest, HealthReport,
    LeaderRequest, LeaseRequest, MemberInfo, PeerMessage, PrimaryGrant, PrimaryRecord, Recipient,
    RequestId, RouterMessage, State, StateChange, StateId, StatePayload, Term, TextDelta, Voter,
    VoterSet,
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
fn term() -> Term {
    Term(0x0102_0304_0506_0708)
}

/// A higher ballot than [`term`], for fields that stand beside it.
fn higher_ballot() -> Term {
    Term(0x1112_1314_1516_1718)
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
fn holds() -> StateId {
    StateId {
        accepted_term: Term(0x2122_2324_2526_2728),
        version: 300,
        digest: Digest::of(b"held"),
    }
}

/// Three founders, no change under way.
fn single_set() -> VoterSet {
    VoterSet::founding([0x0A01_0204, 0x0A01_0205, 7])
}

/// The change that replaces a founder by another voter, both sets counted for the quorum.
fn joint_set() -> VoterSet {
    let founders = single_set();
    let next = founders.replacing(Some(voter()), Some(founder()));
    founders.joint_with(next).expect("a change of the voters")
}

fn primary() -> PrimaryRecord {
    PrimaryRecord {
        server_id: "i-0a".to_owned(),
        min_term: 70_000,
    }
}

fn order() -> AppliedConfig {
    AppliedConfig {
        epoch: 251,
        digest: Digest::of(b"order"),
    }
}

/// A state with every collection filled.
fn state() -> State {
    let other = PrimaryRecord {
        server_id: "i-0b".to_owned(),
        min_term: 3,
    };
    let older = AppliedConfig {
        epoch: 250,
        digest: Digest::of(b"older"),
    };
    State {
        version: 65_536,
        voters: joint_set(),
        config_epoch: 252,
        config: config(),
        applied_configs: vec![older, order()],
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
fn difference() -> Rc<TextDelta> {
    let old = "\"field\":\"value\",".repeat(40);
    let new = format!("{old}\"added\":\"text\",");
    let difference = TextDelta::between(old.as_bytes(), new.as_bytes());
    Rc::new(difference.expect("a difference shorter than the text"))
}

fn call_id() -> RequestId {
    RequestId {
        process_incarnation: 0x3132_3334_3536_3738,
        sequence: 400,
    }
}

/// A server that drains.
fn draining_server() -> MemberInfo {
    MemberInfo {
        id: "i-0c".to_owned(),
        service: "catalog".to_owned(),
        endpoint: "10.0.0.1:5432".to_owned(),
        zone: "lima-a".to_owned(),
        slots: 500,
        draining: true,
        departed: false,
        call_seq: 0x4142_4344,
    }
}

/// A server that has left.
fn gone_server() -> MemberInfo {
    MemberInfo {
        id: "i-0d".to_owned(),
        service: "billing".to_owned(),
        endpoint: "10.0.0.2:5433".to_owned(),
        zone: "lima-b".to_owned(),
        slots: 8,
        draining: false,
        departed: true,
        call_seq: 9,
    }
}

fn grant() -> PrimaryGrant {
    PrimaryGrant {
        service: "catalog".to_owned(),
        server_id: "i-0e".to_owned(),
        primary_term: 600,
        revoking: true,
    }
}

fn evidence() -> HealthReport {
    HealthReport {
        service: "billing".to_owned(),
        server_id: "i-0f".to_owned(),
        answered_seconds_ago: 0.75,
    }
}

/// The types that stand inside messages.
fn parts() -> Vec<Sample> {
    vec![
        sample("Ballot", term()),
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
        sample("Text.Whole", ConfigPayload::Full(config())),
        sample("Text.Difference", ConfigPayload::Delta(difference())),
        sample("Change.Config", change_of_config()),
        sample("Change.Primary", change_of_primary()),
        sample("Change.Membership", StateChange::Voters(joint_set())),
        sample("Content.Whole", StatePayload::Snapshot(Rc::new(state()))),
        sample("Content.Changes", content_changes()),
        sample("CallId", call_id()),
        sample("LeaderCall.Replace", replace()),
        sample("LeaderCall.Read", LeaderRequest::ReadConfig),
        sample("MemberNews.draining", draining_server()),
        sample("MemberNews.gone", gone_server()),
        sample("GrantNews", grant()),
        sample("Evidence", evidence()),
        sample("ConfigNews.Whole", ConfigUpdate::Full(config())),
        sample(
            "ConfigNews.Changes",
            ConfigUpdate::Deltas(vec![difference()]),
        ),
    ]
}

fn change_of_config() -> StateChange {
    StateChange::Config {
        epoch: 253,
        config: ConfigPayload::Full(config()),
    }
}

fn change_of_primary() -> StateChange {
    StateChange::Primary {
        service: "billing".to_owned(),
        primary: primary(),
    }
}

fn content_changes() -> StatePayload {
    StatePayload::Delta {
        base: Digest::of(b"base"),
        steps: vec![Rc::new(change_of_config()), Rc::new(change_of_primary())],
        result: Digest::of(b"result"),
    }
}

fn replace() -> LeaderRequest {
    LeaderRequest::ReplaceConfig {
        base_epoch: 254,
        epoch: 70_001,
        config: ConfigPayload::Full(config()),
    }
}

/// Every message of the consensus.
fn consensus_messages() -> Vec<Sample> {
    use ConsensusMessage::*;
    let (term, holds) = (term(), holds());
    let promised = higher_ballot();
    let (sent, at) = (1.5, -2.25);
    let contacts = vec![voter(), founder()];
    vec![
        sample(
            "ConsensusMessage.Canvass",
            PreVoteRequest {
                term,
                last_state: holds,
            },
        ),
        sample(
            "ConsensusMessage.Canvassed",
            PreVoteResponse {
                term,
                granted: true,
                voted_term: promised,
            },
        ),
        sample(
            "ConsensusMessage.Prepare",
            VoteRequest {
                term,
                last_state: holds,
            },
        ),
        sample(
            "ConsensusMessage.Promise.none",
            VoteResponse {
                term,
                last_state: holds,
                newer_state: None,
            },
        ),
        sample(
            "ConsensusMessage.Promise.newer",
            VoteResponse {
                term,
                last_state: holds,
                newer_state: Some(Rc::new(state())),
            },
        ),
        sample(
            "ConsensusMessage.Refuse",
            TermRejected {
                term,
                voted_term: promised,
            },
        ),
        sample(
            "ConsensusMessage.Accept",
            AppendRequest {
                term,
                payload: content_changes(),
            },
        ),
        sample(
            "ConsensusMessage.Accepted",
            AppendResponse {
                term,
                last_state: holds,
            },
        ),
        sample(
            "ConsensusMessage.Mismatch",
            AppendMismatch {
                term,
                last_state: holds,
            },
        ),
        sample(
            "ConsensusMessage.Heartbeat.none",
            Heartbeat {
                term,
                sent_at: sent,
                confirmed_answer_at: None,
            },
        ),
        sample(
            "ConsensusMessage.Heartbeat.confirms",
            Heartbeat {
                term,
                sent_at: sent,
                confirmed_answer_at: Some(at),
            },
        ),
        sample(
            "ConsensusMessage.HeartbeatAck",
            HeartbeatResponse {
                term,
                heartbeat_sent_at: sent,
                answered_at: at,
                last_state: holds,
            },
        ),
        sample("ConsensusMessage.Resign", Resign { term }),
        sample("ConsensusMessage.Join", JoinRequest { last_state: holds }),
        sample(
            "ConsensusMessage.Contacts",
            KnownVoters { voters: contacts },
        ),
        sample("ConsensusMessage.Leave", LeaveRequest),
        sample("ConsensusMessage.Left", LeaveResponse),
    ]
}

/// Every message between control machines.
fn peer_messages() -> Vec<Sample> {
    use PeerMessage::*;
    let news = || vec![draining_server(), gone_server()];
    let (term, id) = (term(), call_id());
    let resign = ConsensusMessage::Resign { term };
    vec![
        sample("PeerMessage.Consensus", Consensus(resign)),
        sample(
            "PeerMessage.Members.none",
            MembersUpdate {
                update_id: None,
                members: news(),
            },
        ),
        sample(
            "PeerMessage.Members.round",
            MembersUpdate {
                update_id: Some(700),
                members: news(),
            },
        ),
        sample(
            "PeerMessage.MembersKept",
            MembersUpdateAck { update_id: 701 },
        ),
        sample("PeerMessage.RosterWanted", MembersSnapshotRequest { term }),
        sample(
            "PeerMessage.Roster",
            MembersSnapshot {
                term,
                members: news(),
            },
        ),
        sample(
            "PeerMessage.Call",
            ForwardedRequest {
                id,
                request: replace(),
            },
        ),
        sample("PeerMessage.SendWhole", FullConfigRequest { id }),
        sample(
            "PeerMessage.Answer",
            ForwardedResponse {
                id,
                status: 409,
                body: Rc::from(&b"no"[..]),
            },
        ),
    ]
}

/// Every message between control machines and routers.
fn router_messages() -> Vec<Sample> {
    let renewal = LeaseRequest {
        router: "router-1".to_owned(),
        process_incarnation: 0x5152_5354_5556_5758,
        sent_at: 3.125,
        update_watermark: (term(), 800),
        config_epoch: 70_002,
        health_reports: vec![evidence()],
    };
    let elsewhere = |leader| RouterMessage::NotLeader {
        leader,
        voters: vec![0x0A01_0207, 5],
    };
    let news = RouterMessage::Update {
        update_watermark: (higher_ballot(), 900),
        request_sent_at: None,
        lease_duration: 0.0,
        is_snapshot: true,
        grants: vec![grant()],
        members: vec![draining_server(), gone_server()],
        config: Some(ConfigUpdate::Full(config())),
        voters: vec![0x0A01_0208, 6],
        router_count: 1000,
        health_reports_wanted: vec!["catalog".to_owned(), "billing".to_owned()],
    };
    let answer = RouterMessage::Update {
        update_watermark: (term(), 901),
        request_sent_at: Some(4.5),
        lease_duration: 1.75,
        is_snapshot: false,
        grants: Vec::new(),
        members: Vec::new(),
        config: None,
        voters: vec![6],
        router_count: 2,
        health_reports_wanted: Vec::new(),
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
    let (difference, _): (TextDelta, usize) =
        bincode::decode_from_slice(bytes, standard()).unwrap();
    let old = "\"field\":\"value\",".repeat(40);
    let new = difference.apply(old.as_bytes()).expect("the old text");
    assert_eq!(new, format!("{old}\"added\":\"text\",").into_bytes());
}
