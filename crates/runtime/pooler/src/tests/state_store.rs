//! The state store of a control machine reads and writes the encoding of an earlier release. The
//! fixtures in `crates/protocol/control-store/tests/fixtures` hold the database file that this
//! release wrote, and the encoded state in it.

use super::{STORE_DIRECTORY_NAME, StateStore};
use crate::tests::hex::hex;
use badgerstream_control::{
    AppliedConfig, Digest, HardState, PrimaryRecord, State, Term, Voter, VoterSet,
};
use badgerstream_control_store::{DiskState, STORE_FILE_NAME, Store};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

/// The database file, compressed with DEFLATE.
const PACKED: &[u8] =
    include_bytes!("../../../../protocol/control-store/tests/fixtures/control.redb.deflate");

/// The encoded state in the database file, in hexadecimal.
const VALUE: &str = include_str!("../../../../protocol/control-store/tests/fixtures/value.txt");

/// The disk incarnation in the database file.
const INCARNATION: u64 = 0x3132_3334_3536_3738;

/// Returns the state in the database file: a joint voter set, a configuration, an applied
/// configuration and a primary.
fn state() -> State {
    let founders = VoterSet::founding([0x0A01_0204, 0x0A01_0205, 7]);
    let joining = Voter {
        node: 0x0A01_0203,
        incarnation: 0xFEDC_BA98_7654_3210,
    };
    let leaving = Voter {
        node: 7,
        incarnation: 0,
    };
    let voters = founders.replacing(Some(joining), Some(leaving));
    let config: Rc<[u8]> = Rc::from(&b"{\"a\":1}"[..]);
    let applied = AppliedConfig {
        epoch: 252,
        digest: Digest::of(&config),
    };
    let primary = PrimaryRecord {
        server_id: "i-0a".to_owned(),
        min_term: 70_000,
    };
    State {
        version: 65_536,
        voters: founders.joint_with(voters).expect("a change of the voters"),
        config_epoch: 252,
        config,
        applied_configs: vec![applied],
        primaries: BTreeMap::from([("catalog".to_owned(), primary)]),
    }
}

/// Returns the hard state in the database file.
fn hard_state() -> HardState {
    HardState {
        voted_term: Term(0x1112_1314_1516_1718),
        accepted_term: Term(0x0102_0304_0506_0708),
        state: Rc::new(state()),
    }
}

/// A directory that is removed when the test ends.
struct TempDirectory(PathBuf);

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Unpacks the database file into a state directory, where a control machine expects it.
fn unpack_fixture() -> TempDirectory {
    let name = format!("badgerstream-pooler-disk-{}", std::process::id());
    let state_dir = TempDirectory(std::env::temp_dir().join(name));
    let store = state_dir.0.join(STORE_DIRECTORY_NAME);
    std::fs::create_dir_all(&store).unwrap();
    let file = miniz_oxide::inflate::decompress_to_vec(PACKED).expect("a complete file");
    std::fs::write(store.join(STORE_FILE_NAME), file).unwrap();
    state_dir
}

#[test]
fn store_of_an_earlier_release_is_read_and_written_in_the_same_encoding() {
    let state_dir = unpack_fixture();
    let mut store = StateStore::open(&state_dir.0, 5, &[1, 2, 3]).unwrap();
    assert_eq!(
        (store.incarnation(), store.hard_state()),
        (INCARNATION, &hard_state())
    );
    assert_eq!(hex(&state().encode()), VALUE.trim());

    // A different state is saved, and then the state of the fixture again.
    let other = HardState {
        state: Rc::new(State::default()),
        ..hard_state()
    };
    for saved in [&other, &hard_state()] {
        store.save(saved).unwrap();
    }
    drop(store);
    let opened = Store::open(&state_dir.0.join(STORE_DIRECTORY_NAME), 5).unwrap();
    drop(opened.store);
    assert_eq!(opened.disk_state, DiskState::Existing);
    let found = opened.record;
    assert_eq!(
        (found.voted_term, found.accepted_term, found.incarnation),
        (0x1112_1314_1516_1718, 0x0102_0304_0506_0708, INCARNATION)
    );
    assert_eq!(hex(&found.value), VALUE.trim());
    let store = StateStore::open(&state_dir.0, 5, &[1, 2, 3]).unwrap();
    assert_eq!(store.hard_state(), &hard_state());
}
