//! Tests of the destination of a statement, which depends on consistency, freshness proof and
//! primary affinity, and of the health of a server.

use crate::choice::{Access, ChoiceInput, Consistency, Destination, choose};
use crate::freshness::PositionHistory;
use crate::health::{Health, LAG_BACKOFF_S, MIN_BACKOFF_S};
use crate::session::Session;
use badgerstream_line_protocol::Position;
use badgerstream_routing::PRIMARY_AFFINITY_S;
use badgerstream_routing::Rotation;

fn position(number: u64) -> Position {
    Position { term: 3, number }
}

fn input(consistency: Consistency, access: Access, arrived: f64) -> ChoiceInput {
    ChoiceInput {
        consistency,
        access,
        arrived_at: arrived,
        avoid_primary: false,
    }
}

fn history() -> PositionHistory {
    let mut history = PositionHistory::default();
    history.record(9.0, position(50));
    history.record(9.5, position(60));
    history
}

#[test]
fn writes_and_strong_reads_go_to_the_primary() {
    let session = Session::default();
    for consistency in [
        Consistency::Strong,
        Consistency::Bounded(1.5),
        Consistency::ReadYourWrites(2.5),
    ] {
        let input = input(consistency, Access::Write, 10.0);
        assert_eq!(
            choose(&input, &session, &history(), 10.0),
            Destination::Primary
        );
    }
    let mut fresh = input(Consistency::Strong, Access::Read, 10.0);
    assert_eq!(
        choose(&fresh, &session, &history(), 10.0),
        Destination::Primary
    );
    // Even if the primary is to be avoided: no replica can prove that it has every commit.
    fresh.avoid_primary = true;
    assert_eq!(
        choose(&fresh, &session, &history(), 10.0),
        Destination::Primary
    );
}

#[test]
fn bounded_reads_require_the_smallest_proof_within_their_staleness() {
    let session = Session::default();
    let read = |s, arrived| {
        choose(
            &input(Consistency::Bounded(s), Access::Read, arrived),
            &session,
            &history(),
            arrived,
        )
    };
    assert_eq!(read(1.5, 10.0), Destination::Replica(position(50)));
    assert_eq!(read(0.7, 10.0), Destination::Replica(position(60)));
    // No sample is recent enough for this staleness.
    assert_eq!(read(0.4, 10.0), Destination::Primary);
}

#[test]
fn session_with_primary_affinity_reads_at_the_primary() {
    let mut session = Session::default();
    session.primary_affinity.touch(7.5);
    let mut read = input(Consistency::ReadYourWrites(5.0), Access::Read, 10.0);
    assert_eq!(
        choose(&read, &session, &history(), 10.0),
        Destination::Primary
    );
    assert_eq!(
        choose(&read, &session, &history(), 7.5 + PRIMARY_AFFINITY_S),
        Destination::Replica(position(50))
    );
    // If the primary is to be avoided, the read goes to a replica that has the session's write.
    session.record_write(Some(position(70)));
    read.avoid_primary = true;
    assert_eq!(
        choose(&read, &session, &history(), 10.0),
        Destination::Replica(position(70))
    );
}

#[test]
fn only_read_your_writes_requires_the_sessions_own_writes() {
    let mut session = Session::default();
    session.record_write(Some(position(70)));
    session.record_write(Some(position(65)));
    session.record_write(None);
    let own = input(Consistency::ReadYourWrites(2.5), Access::Read, 10.0);
    let bounded = input(Consistency::Bounded(2.5), Access::Read, 10.0);
    assert_eq!(
        choose(&own, &session, &history(), 10.0),
        Destination::Replica(position(70))
    );
    assert_eq!(
        choose(&bounded, &session, &history(), 10.0),
        Destination::Replica(position(50))
    );
}

#[test]
fn rotation_is_round_robin_across_counter_overflow() {
    let mut rotation = Rotation {
        next: usize::MAX - 1,
    };
    let taken: Vec<_> = (0..6)
        .map(|_| rotation.next(2, |_| true).unwrap())
        .collect();
    assert_eq!(taken, [0, 1, 0, 1, 0, 1]);
    assert_eq!(rotation.next(0, |_| true), None);
}

#[test]
fn lagging_or_failing_replica_is_avoided_during_its_backoff() {
    let mut health = Health::default();
    assert!(health.may_have_position(position(5), 1.0) && health.is_up(1.0));
    health.record_lag(1.0, position(5));
    assert!(!health.may_have_position(position(6), 1.0));
    assert!(health.may_have_position(position(4), 1.0));
    assert!(health.may_have_position(position(6), 1.0 + LAG_BACKOFF_S));
    health.record_response(Some(position(6)));
    assert!(health.may_have_position(position(6), 1.0));

    health.record_failure(2.0);
    health.record_failure(2.0);
    assert!(!health.is_up(2.0));
    assert!(health.is_up(2.0 + MIN_BACKOFF_S));
    health.record_failure(3.0);
    assert!(!health.is_up(3.0 + MIN_BACKOFF_S));
    health.record_response(None);
    assert!(health.is_up(3.0));
}
