//! The file that lists the servers known to a control machine: it survives a restart, damaged files
//! and files of another format are ignored, and a fixture pins its bytes.

use super::{MembersFile, verify_checksum, with_checksum};
use crate::tests::hex::{hex, unhex};
use badgerstream_control::{
    ControlConfig, Controller, FOUNDING_INCARNATION, FailoverConfig, HardState, MemberInfo, Voter,
};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn damaged_file_fails_its_checksum() {
    let bytes = with_checksum(b"123456789");
    assert_eq!(bytes[..4], 0xCBF4_3926_u32.to_le_bytes());
    assert_eq!(verify_checksum(&bytes), Some(&b"123456789"[..]));
    for length in 0..bytes.len() {
        assert_eq!(verify_checksum(&bytes[..length]), None, "{length}");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(verify_checksum(&changed), None, "{at}");
    }
}

/// In the former format, the body followed its 64-bit FNV-1a hash.
#[test]
fn file_of_the_former_format_is_ignored() {
    let body = b"123456789";
    let sum = body.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    });
    let mut bytes = sum.to_le_bytes().to_vec();
    bytes.extend_from_slice(body);
    assert_eq!(verify_checksum(&bytes), None);
}

/// Returns a controller that knows draining servers with these ids.
fn controller(known: &[&str]) -> Controller {
    let member = |id: &&str| MemberInfo {
        id: (*id).to_owned(),
        service: "s".to_owned(),
        endpoint: "10.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        slots: 4,
        draining: true,
        departed: false,
        call_seq: 0,
    };
    let failover = FailoverConfig {
        primary_poll_interval: 0.2,
        replica_poll_interval: 1.0,
        primary_timeout: 0.6,
        query_timeout: 0.6,
        heartbeat_interval: 1.2,
        drain_timeout: 7.0,
    };
    let config = ControlConfig {
        lease_duration: 1.5,
        election_timeout: 0.6,
        contact_timeout: 1.0,
        platform_call_timeout: 1.0,
        platform_handover_delay: 0.0,
        request_timeout: 0.9,
        member_timeout: 4.8,
        failover,
    };
    let mut controller = Controller::new(
        Voter {
            node: 1,
            incarnation: FOUNDING_INCARNATION,
        },
        HardState::default(),
        0.0,
        7,
        config,
    );
    controller.restore_members(0.0, known.iter().map(member).collect(), 0.0);
    controller
}

/// A write replaces the file completely, and the partial file of an interrupted write is ignored.
#[test]
fn persisted_members_are_read_by_the_next_incarnation() {
    let directory = std::env::temp_dir().join(format!(
        "badgerstream-pooler-servers-{}",
        std::process::id()
    ));
    std::fs::create_dir_all(&directory).unwrap();
    let file = MembersFile::new(directory.join("servers"));
    for known in [&["a"][..], &["a", "b"]] {
        std::fs::write(directory.join("servers.next"), b"half of it").unwrap();
        assert!(file.persist(1.0, &controller(known)));
        let read: Vec<String> = file.read().into_iter().map(|member| member.id).collect();
        assert_eq!(read, known);
    }
    std::fs::remove_dir_all(&directory).unwrap();
    assert!(
        !file.persist(2.0, &controller(&["a"])),
        "the directory was removed"
    );
    assert!(
        MembersFile::new(Path::new("/nowhere/servers").to_path_buf())
            .read()
            .is_empty()
    );
}

/// Guards against a file that stays outdated after a write that failed, until the servers change
/// again: the next incarnation would not know of a server that joined before.
#[test]
fn failed_write_is_repeated() {
    let name = format!(
        "badgerstream-pooler-servers-repeated-{}",
        std::process::id()
    );
    let directory = std::env::temp_dir().join(name);
    let file = MembersFile::new(directory.join("servers"));
    let controller = controller(&["a"]);
    file.persist_if_changed(1.0, &controller);
    std::fs::create_dir_all(&directory).unwrap();
    file.persist_if_changed(1.4, &controller);
    assert!(file.read().is_empty(), "repeated sooner than changes are");
    file.persist_if_changed(1.6, &controller);
    assert_eq!(file.read().len(), 1);
    std::fs::remove_file(directory.join("servers")).unwrap();
    file.persist_if_changed(3.0, &controller);
    assert!(file.read().is_empty(), "nothing has changed");
    std::fs::remove_dir_all(&directory).unwrap();
}

/// Returns the servers in `fixtures/servers.txt`: a draining one, whose call sequence number is
/// stored, and one in service with this call sequence number, which is not stored.
fn pinned_servers(call_seq_in_service: u64) -> Vec<MemberInfo> {
    let draining = MemberInfo {
        id: "i-0a".to_owned(),
        service: "catalog".to_owned(),
        endpoint: "10.0.0.1:5432".to_owned(),
        zone: "lima-a".to_owned(),
        slots: 500,
        draining: true,
        departed: false,
        call_seq: 0x4142_4344,
    };
    let in_service = MemberInfo {
        id: "i-0b".to_owned(),
        service: "billing".to_owned(),
        endpoint: "10.0.0.2:5433".to_owned(),
        zone: "lima-b".to_owned(),
        slots: 8,
        draining: false,
        departed: false,
        call_seq: call_seq_in_service,
    };
    vec![draining, in_service]
}

/// Writes the servers that a controller knows after it was told of `known`, and compares the file
/// with the fixture. Returns the servers that are read from the fixture.
fn check_fixture(fixture: &str, known: Vec<MemberInfo>) -> Vec<MemberInfo> {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let pinned = unhex(fixture.trim());
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!(
        "badgerstream-pooler-servers-pinned-{}-{number}",
        std::process::id()
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("servers");
    std::fs::write(&path, &pinned).unwrap();
    let read = MembersFile::new(path.clone()).read();
    std::fs::remove_file(&path).unwrap();
    let mut controller = controller(&[]);
    controller.restore_members(0.0, known, 0.0);
    assert!(MembersFile::new(path.clone()).persist(1.0, &controller));
    let written = std::fs::read(&path).unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(hex(&written), hex(&pinned));
    read
}

/// The file of an earlier release is read, and writing the same servers produces the same bytes.
#[test]
fn file_has_the_bytes_of_its_fixture() {
    let read = check_fixture(include_str!("fixtures/servers.txt"), pinned_servers(9));
    assert_eq!(
        read,
        pinned_servers(0),
        "only the call sequence number of a draining server is stored"
    );
}

/// Departed servers are in the file, in the format of earlier releases, until their logs are
/// superseded.
#[test]
fn file_lists_departed_servers() {
    let departed = |id: &str, service: &str, endpoint: &str, zone: &str| MemberInfo {
        id: id.to_owned(),
        service: service.to_owned(),
        endpoint: endpoint.to_owned(),
        zone: zone.to_owned(),
        slots: 8,
        draining: false,
        departed: true,
        call_seq: 0,
    };
    let in_order = MemberInfo {
        slots: 500,
        draining: true,
        call_seq: u64::MAX,
        ..departed("i-0c", "catalog", "10.0.0.3:5432", "lima-c")
    };
    let silent = departed("i-0d", "billing", "10.0.0.4:5433", "lima-b");
    let superseded = departed("i-0e", "billing", "", "lima-b");
    let listed = vec![pinned_servers(0).remove(0), in_order, silent];
    let known = [&listed[..], &[superseded]].concat();
    let read = check_fixture(include_str!("fixtures/servers_with_departed.txt"), known);
    assert_eq!(read, listed);
}
