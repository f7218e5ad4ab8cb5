use crate::freshness::{MAX_SAMPLES, PositionHistory};
use arbtest::arbtest;
use badgerstream_line_protocol::Position;

fn at(number: u64) -> Position {
    Position { term: 3, number }
}

/// Commits at random seconds; samples whose answers come in any order; whatever is proven must hold.
#[test]
fn a_proof_covers_all_that_was_acknowledged_before() {
    arbtest(|u| {
        let mut commits = Vec::new();
        let mut t = 0.0;
        for _ in 0..u.int_in_range(0..=40)? {
            t += f64::from(u.int_in_range(0..=300u32)?) / 1000.0;
            commits.push(t);
        }
        let log = |t: f64| commits.iter().filter(|c| **c < t).count() as u64;
        let mut history = PositionHistory::default();
        let mut samples = Vec::new();
        for _ in 0..u.int_in_range(0..=120)? {
            let asked = f64::from(u.int_in_range(0..=6000u32)?) / 1000.0;
            // The position is that of the moment at which the server answered.
            let answered = asked + f64::from(u.int_in_range(0..=500u32)?) / 1000.0;
            history.record(asked, at(log(answered)));
            samples.push((asked, log(answered)));
        }
        for _ in 0..10 {
            let since = f64::from(u.int_in_range(0..=6000u32)?) / 1000.0;
            if let Some(proof) = history.proof(since) {
                assert!(
                    proof >= at(log(since)),
                    "{proof} lacks a commit before {since}"
                );
                assert!(samples.iter().any(|(t, p)| *t >= since && at(*p) == proof));
            }
        }
        Ok(())
    });
}

#[test]
fn the_earliest_sample_inside_the_bound_is_the_proof() {
    let mut history = PositionHistory::default();
    for i in 0..100u64 {
        history.record(i as f64 / 10.0, at(i));
    }
    // What is older than the bound on samples is forgotten, never made up.
    assert_eq!(history.proof(0.0), Some(at(100 - MAX_SAMPLES as u64)));
    assert_eq!(history.proof(5.0), Some(at(50)));
    assert_eq!(history.proof(5.01), Some(at(51)));
    assert_eq!(history.proof(9.91), None);
    assert_eq!(history.newest_query_at(), Some(9.9));
}

#[test]
fn samples_close_together_take_one_place() {
    let mut history = PositionHistory::default();
    for i in 0..1000u64 {
        history.record(1.0 + i as f64 / 1000.0, at(i));
    }
    assert!(history.proof(1.0).is_some());
    assert!(history.proof(1.94).is_some());
    // A quiet log keeps the youngest second at the one position.
    let mut quiet = PositionHistory::default();
    quiet.record(1.0, at(7));
    quiet.record(1.01, at(7));
    assert_eq!(quiet.proof(1.01), Some(at(7)));
}

#[test]
fn a_new_term_comes_after_the_old_one() {
    let mut history = PositionHistory::default();
    history.record(1.0, at(900));
    history.record(2.0, Position { term: 4, number: 3 });
    assert_eq!(history.proof(0.5), Some(at(900)));
    assert_eq!(history.proof(1.5), Some(Position { term: 4, number: 3 }));
}
