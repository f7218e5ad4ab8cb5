use crate::choice::{Access, ChoiceInput, Consistency, Destination, choose};
use crate::freshness::PositionHistory;
use crate::health::{Health, LAG_BACKOFF_S, MIN_BACKOFF_S};
use crate::session::Session;
use badgerstream_line_protocol::Position;
use badgerstream_routing::MARK_S;
use badgerstream_routing::Rotation;

fn at(number: u64) -> Position {
    Position { term: 3, number }
}

fn ask(consistency: Consistency, access: Access, arrived: f64) -> ChoiceInput {
    ChoiceInput {
        consistency,
        access,
        arrived_at: arrived,
        avoid_primary: false,
    }
}

fn history() -> PositionHistory {
    let mut history = PositionHistory::default();
    history.record(9.0, at(50));
    history.record(9.5, at(60));
    history
}

#[test]
fn writes_and_fresh_reads_go_to_the_primary() {
    let session = Session::default();
    for consistency in [
        Consistency::Strong,
        Consistency::Bounded(1.5),
        Consistency::ReadYourWrites(2.5),
    ] {
        let ask = ask(consistency, Access::Write, 10.0);
        assert_eq!(
            choose(&ask, &session, &history(), 10.0),
            Destination::Primary
        );
    }
    let mut fresh = ask(Consistency::Strong, Access::Read, 10.0);
    assert_eq!(
        choose(&fresh, &session, &history(), 10.0),
        Destination::Primary
    );
    // Also when it is slow: nobody else can prove that it has any commit.
    fresh.avoid_primary = true;
    assert_eq!(
        choose(&fresh, &session, &history(), 10.0),
        Destination::Primary
    );
}

#[test]
fn bounded_reads_take_the_smallest_proof_inside_their_bound() {
    let session = Session::default();
    let read = |s, arrived| {
        choose(
            &ask(Consistency::Bounded(s), Access::Read, arrived),
            &session,
            &history(),
            arrived,
        )
    };
    assert_eq!(read(1.5, 10.0), Destination::Replica(at(50)));
    assert_eq!(read(0.7, 10.0), Destination::Replica(at(60)));
    // No proof is as young as this one needs.
    assert_eq!(read(0.4, 10.0), Destination::Primary);
}

#[test]
fn a_session_that_touched_the_primary_reads_there_for_a_while() {
    let mut session = Session::default();
    session.primary_affinity.touch(7.5);
    let mut read = ask(Consistency::ReadYourWrites(5.0), Access::Read, 10.0);
    assert_eq!(
        choose(&read, &session, &history(), 10.0),
        Destination::Primary
    );
    assert_eq!(
        choose(&read, &session, &history(), 7.5 + MARK_S),
        Destination::Replica(at(50))
    );
    // A full or slow primary is left for a replica that is known past the session's write.
    session.record_write(Some(at(70)));
    read.avoid_primary = true;
    assert_eq!(
        choose(&read, &session, &history(), 10.0),
        Destination::Replica(at(70))
    );
}

#[test]
fn only_in_house_reads_owe_their_own_writes() {
    let mut session = Session::default();
    session.record_write(Some(at(70)));
    session.record_write(Some(at(65)));
    session.record_write(None);
    let own = ask(Consistency::ReadYourWrites(2.5), Access::Read, 10.0);
    let bounded = ask(Consistency::Bounded(2.5), Access::Read, 10.0);
    assert_eq!(
        choose(&own, &session, &history(), 10.0),
        Destination::Replica(at(70))
    );
    assert_eq!(
        choose(&bounded, &session, &history(), 10.0),
        Destination::Replica(at(50))
    );
}

#[test]
fn the_counter_takes_each_in_turn_and_wraps() {
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
fn a_replica_that_lags_or_fails_is_left_for_a_moment() {
    let mut health = Health::default();
    assert!(health.may_have_position(at(5), 1.0) && health.is_up(1.0));
    health.record_lag(1.0, at(5));
    assert!(!health.may_have_position(at(6), 1.0));
    assert!(health.may_have_position(at(4), 1.0));
    assert!(health.may_have_position(at(6), 1.0 + LAG_BACKOFF_S));
    health.record_answer(Some(at(6)));
    assert!(health.may_have_position(at(6), 1.0));

    health.record_failure(2.0);
    health.record_failure(2.0);
    assert!(!health.is_up(2.0));
    assert!(health.is_up(2.0 + MIN_BACKOFF_S));
    health.record_failure(3.0);
    assert!(!health.is_up(3.0 + MIN_BACKOFF_S));
    health.record_answer(None);
    assert!(health.is_up(3.0));
}
