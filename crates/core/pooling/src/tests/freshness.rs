//! Tests of freshness proofs, which are built from samples of the primary's log position.

use crate::freshness::{MAX_SAMPLES, PositionHistory};
use arbtest::arbtest;
use badgerstream_line_protocol::Position;

fn position(number: u64) -> Position {
    Position { term: 3, number }
}

/// Commits happen at random times and samples are recorded in any order. Every proof must cover all
/// commits acknowledged before the requested time.
#[test]
fn proof_covers_every_commit_acknowledged_before() {
    arbtest(|u| {
        let mut commits = Vec::new();
        let mut t = 0.0;
        for _ in 0..u.int_in_range(0..=40)? {
            t += f64::from(u.int_in_range(0..=300u32)?) / 1000.0;
            commits.push(t);
        }
        let position_number_at = |t: f64| commits.iter().filter(|c| **c < t).count() as u64;
        let mut history = PositionHistory::default();
        let mut samples = Vec::new();
        for _ in 0..u.int_in_range(0..=120)? {
            let queried_at = f64::from(u.int_in_range(0..=6000u32)?) / 1000.0;
            // The server reports its position at the time of its response.
            let answered_at = queried_at + f64::from(u.int_in_range(0..=500u32)?) / 1000.0;
            history.record(queried_at, position(position_number_at(answered_at)));
            samples.push((queried_at, position_number_at(answered_at)));
        }
        for _ in 0..10 {
            let since = f64::from(u.int_in_range(0..=6000u32)?) / 1000.0;
            if let Some(proof) = history.proof(since) {
                assert!(
                    proof >= position(position_number_at(since)),
                    "{proof} lacks a commit before {since}"
                );
                assert!(
                    samples
                        .iter()
                        .any(|(t, p)| *t >= since && position(*p) == proof)
                );
            }
        }
        Ok(())
    });
}

#[test]
fn earliest_sample_within_staleness_is_the_proof() {
    let mut history = PositionHistory::default();
    for i in 0..100u64 {
        history.record(i as f64 / 10.0, position(i));
    }
    // Only the newest MAX_SAMPLES samples are kept. Without an older one, the proof is the position
    // of the oldest sample kept; it is never extrapolated.
    assert_eq!(history.proof(0.0), Some(position(100 - MAX_SAMPLES as u64)));
    assert_eq!(history.proof(5.0), Some(position(50)));
    assert_eq!(history.proof(5.01), Some(position(51)));
    assert_eq!(history.proof(9.91), None);
    assert_eq!(history.newest_query_at(), Some(9.9));
}

#[test]
fn samples_below_minimum_spacing_are_merged() {
    let mut history = PositionHistory::default();
    for i in 0..1000u64 {
        history.record(1.0 + i as f64 / 1000.0, position(i));
    }
    assert!(history.proof(1.0).is_some());
    assert!(history.proof(1.94).is_some());
    // While the position stays the same, the latest query time is kept.
    let mut quiet = PositionHistory::default();
    quiet.record(1.0, position(7));
    quiet.record(1.01, position(7));
    assert_eq!(quiet.proof(1.01), Some(position(7)));
}

#[test]
fn position_of_a_new_primary_term_is_higher() {
    let mut history = PositionHistory::default();
    history.record(1.0, position(900));
    history.record(2.0, Position { term: 4, number: 3 });
    assert_eq!(history.proof(0.5), Some(position(900)));
    assert_eq!(history.proof(1.5), Some(Position { term: 4, number: 3 }));
}
