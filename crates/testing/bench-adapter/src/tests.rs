//! Tests of the protocol with the simulator, by frames written out byte for byte. Some are the examples of the
//! protocol's description.

mod recorded_exchange;

use crate::codec::{Batch, EVENT_BYTES, Fields, Reply};
use crate::link::{Link, serve};
use test_case::test_case;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// Returns a record from its code and fields in hexadecimal, filled up with zeros.
fn record(text: &str) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(EVENT_BYTES, 0);
    bytes
}

fn frame(number: u32, now: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = (records.len() * EVENT_BYTES + tail.len()) as u32;
    let mut bytes = Vec::new();
    for field in [number, length, records.len() as u32] {
        bytes.extend(field.to_le_bytes());
    }
    bytes.extend(now.to_le_bytes());
    bytes.extend(records.concat());
    bytes.extend(tail);
    bytes
}

fn batch(now: f64, records: &[Vec<u8>], tail: &[u8]) -> Batch {
    Batch::read(&mut &frame(1, now, records, tail)[..])
        .unwrap()
        .unwrap()
}

const SETUP: &str = "classes.count=2
classes.0.aim_ms=400.0
classes.0.group=all
classes.0.hard_limit_ms=2000.0
classes.0.importance=3.0
classes.0.late_worth=0.0
classes.0.memory_span_ms=5000.0
classes.0.repeat=pure
classes.1.aim_ms=600.0
classes.1.group=cell
classes.1.hard_limit_ms=2000.0
classes.1.importance=6.0
classes.1.late_worth=0.3
classes.1.memory_span_ms=1200.0
classes.1.repeat=token
discovery=pushed
domain.checks=none
domain.max_age_ms=0.0,0.0
domain.needs_by_class=loose,update
domain.origin_time_ms=1000.0
domain.token_mode=client
load_info.columns=x0,x1
policy_limits.cancelling=true
policy_limits.max_attempts=8
policy_limits.max_retry_after_ms=2000.0
policy_limits.probes=true
policy_limits.retry_after=true
policy_limits.second_copies=true
safety.cold_from=0.27
safety.cold_ms=18000.0
safety.fall_ms=3000.0
safety.overload_factor=3.0
safety.stop_sending_within_ms=250.0
siblings=2
tick_ms=5.0
something.new=7
";

/// Starts instance 3 with one ready node in group 11, adds further records, and returns the reply to the batch.
fn hosted(records: &[&str]) -> Result<Vec<u8>, String> {
    let entry = hex("074a1203 00 00 0b00 01 0000803f 0000000000000000 0000803f");
    let (lines, members) = (SETUP.len() as u32, hex("01000000"));
    let mut open = hex("0a 0100000000000000 00000000");
    open.extend(lines.to_le_bytes());
    open.resize(EVENT_BYTES, 0);
    let mut list = hex("6e 0000");
    list.extend(lines.to_le_bytes());
    list.extend(members);
    list.resize(EVENT_BYTES, 0);
    let mut all = vec![
        record("78 03000000"),
        open,
        list,
        record("14 0000 01 2900000000000000"),
    ];
    all.extend(records.iter().map(|r| record(r)));
    let mut output = Vec::new();
    let input = frame(1, 45200.0, &all, &[SETUP.as_bytes(), &entry].concat());
    serve(&mut &input[..], &mut output).map(|()| output)
}

fn codes(output: &[u8]) -> Vec<u8> {
    let count = Fields {
        bytes: output,
        at: 4,
    }
    .u32() as usize;
    output[12..].chunks(24).take(count).map(|r| r[0]).collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let mut output = Vec::new();
    serve(
        &mut &hex("01000000 00000000 00000000 00000000206ec040")[..],
        &mut output,
    )
    .unwrap();
    assert_eq!(output, hex("01000000 00000000 00000000"));
}

#[test]
fn the_example_batch_is_decoded() {
    let records = [
        "78 03000000",
        "1e c4913a5d 0000 0000000000002840 640ad2557c3bf091 0000 0000000020e6c040 01 00003041 0040ce43",
    ];
    let read = batch(8412.25, &records.map(record), &[]);
    assert_eq!((read.number, read.count, read.now), (1, 2, 8.41225));
    let (code, mut f) = read.record(1);
    assert_eq!(
        (code, f.u32(), f.u16(), f.seconds()),
        (30, 0x5d3a_91c4, 0, 0.012)
    );
    assert_eq!(
        (f.u64(), f.u16(), f.seconds()),
        (0x91f0_3b7c_55d2_0a64, 0, 8.65225)
    );
    assert_eq!((f.u8(), f.f32(), f.f32()), (1, 11.0, 412.5));
}

#[test]
fn the_example_reply_is_encoded_byte_for_byte() {
    let mut reply = Reply::default();
    reply.record(30, &[&3u32.to_le_bytes()]);
    let (stmt, node) = (0x5d3a_91c4_u32.to_le_bytes(), 0x0312_4a07_u32.to_le_bytes());
    reply.record(90, &[&stmt, &node, &80f64.to_le_bytes()]);
    reply.record(40, &[&500f64.to_le_bytes(), &77u32.to_le_bytes()]);
    reply.record(30, &[&5u32.to_le_bytes()]);
    reply.text(120, "two servers known");
    let mut output = Vec::new();
    reply.send(12, &mut output).unwrap();
    let zeros = |n: usize| "00".repeat(n);
    let expected = [
        "0c000000 05000000 89000000".to_string(),
        format!("1e 03000000 {}", zeros(19)),
        format!("5a c4913a5d 074a1203 0000000000005440 {}", zeros(7)),
        format!("28 0000000000407f40 4d000000 {}", zeros(11)),
        format!("1e 05000000 {}", zeros(19)),
        format!("78 00000000 11000000 {}", zeros(15)),
        "74776f2073657276657273206b6e6f776e".to_string(),
    ];
    assert_eq!(output, hex(&expected.concat()));
}

#[test]
fn a_panic_is_reported_as_in_the_example() {
    let (mut reply, mut output) = (Reply::default(), Vec::new());
    Link::default()
        .fault(Some(3), Box::new("index out of range"), &mut reply)
        .unwrap();
    reply.send(1, &mut output).unwrap();
    let fault = format!("6e 00000000 12000000 {}", "00".repeat(15));
    assert_eq!(
        output[12 + 24..],
        hex(&(fault + "696e646578206f7574206f662072616e6765"))
    );
}

#[test]
fn a_hosted_instance_probes_and_executes() {
    let stmt = "1e c4913a5d 0000 0000000000002840 0000000000000000 0000 0000000000bae640 00 00003041 00000000";
    let codes = codes(&hosted(&[stmt]).unwrap());
    assert_eq!(codes[0], 30, "the instance is selected first");
    assert!(codes.contains(&20) && codes.contains(&90), "{codes:?}");
}

#[test]
fn an_instance_that_stops_in_its_first_batch_sends_nothing() {
    let stmt = "1e c4913a5d 0000 0000000000002840 0000000000000000 0000 0000000000bae640 00 00003041 00000000";
    assert!(codes(&hosted(&[stmt, "64"]).unwrap()).is_empty());
}

#[test_case("46 4d000000"; "a timer that was never set")]
#[test_case("3c 192b6f0e"; "an unknown client leaves")]
#[test_case("32 c4913a5d 00 074a1203 3101"; "a late outcome for an unknown statement")]
#[test_case("5a 0200 00000000 00000000"; "a message from a peer")]
#[test_case("28 c4913a5d 00 074a1203"; "an unknown stream")]
#[test_case("14 0000 00"; "a failed list")]
fn unusual_events_are_accepted(event: &str) {
    assert!(hosted(&[event]).is_ok());
}

#[test_case("63", "batch 1, record 4: event code 99 is unknown"; "unknown code")]
#[test_case("14 0900 01", "batch 1, record 4: list 9 was never sent"; "unknown list")]
#[test_case("6e 0000 00000000 ff000000", "lie outside the tail"; "a list outside the tail")]
#[test_case("0a 01 00000000000000 00000000 ffffff00", "lie outside the tail"; "settings outside the tail")]
#[test_case("32 c4913a5d 00 074a1203 e703", "outcome code 999 is unknown"; "unknown outcome")]
#[test_case("1e c4913a5d 0000 0000000000002840 0000000000000000 0900", "class 9 is unknown: the settings define 2 classes"; "unknown class")]
fn invalid_events_are_refused(event: &str, expected: &str) {
    let problem = hosted(&[event]).unwrap_err();
    assert!(problem.contains(expected), "{problem}");
}

#[test]
fn an_event_needs_a_running_instance() {
    let records = [record("78 09000000"), record("46 4d000000")];
    let answered = Link::default().answer(&batch(1.0, &records, &[]), &mut Reply::default());
    assert_eq!(
        answered.unwrap_err(),
        "batch 1, record 1: instance 9 is not running"
    );
}

#[test_case("01000000 00000000", "a batch header ends after 8 of 20 bytes"; "truncated header")]
#[test_case("07000000 30000000 01000000 00000000206ec040 78", "batch 7: the body ends after 1 of 48 bytes"; "truncated body")]
#[test_case("07000000 30000000 02000000 00000000206ec040", "batch 7: a length of 48 bytes is invalid for 2 records of 48 bytes"; "wrong length")]
fn damaged_frames_are_refused(bytes: &str, expected: &str) {
    let problem = serve(&mut &hex(bytes)[..], &mut Vec::new()).unwrap_err();
    assert!(problem.contains(expected), "{problem}");
}
