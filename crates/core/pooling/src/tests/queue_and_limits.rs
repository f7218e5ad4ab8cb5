//! Tests of admission by rank and latest start, in-flight limits, connection quotas, latencies and
//! retry delays.

use crate::connection_quota::{ConnectionQuota, in_flight_limit};
use crate::latency::{Latency, RefusalStreak};
use crate::queue::{Queue, QueueEntry};
use arbtest::arbtest;

#[test]
fn admits_up_to_limit_then_by_rank_and_arrival() {
    let mut queue = Queue::new(1);
    assert_eq!(queue.enter(5, 9.0), None);
    let low = queue.enter(2, 9.0).unwrap();
    let high = queue.enter(0, 9.0).unwrap();
    let later = queue.enter(0, 9.0).unwrap();
    assert_eq!(queue.admit_next(1.0), None);
    queue.release();
    assert_eq!(queue.admit_next(1.0), Some(high));
    assert!(queue.cancel(later));
    assert!(!queue.cancel(high));
    queue.release();
    assert_eq!(queue.admit_next(1.0), Some(low));
}

#[test]
fn never_exceeds_limit_and_loses_no_entry() {
    arbtest(|u| {
        let limit = u.int_in_range(1..=4)?;
        let mut queue = Queue::new(limit);
        let (mut admitted, mut waiting, mut now) = (0usize, Vec::new(), 0.0);
        for _ in 0..u.int_in_range(0..=60)? {
            match u.int_in_range(0..=3)? {
                0 => {
                    let (rank, latest_start) = (
                        u.int_in_range(0..=2)?,
                        now + f64::from(u.int_in_range(-2..=4)?),
                    );
                    let ahead = queue.entries_ahead(rank, latest_start, now);
                    match queue.enter(rank, latest_start) {
                        None => admitted += 1,
                        Some(entry) => {
                            let is_ahead = |&&(other, other_start): &&(QueueEntry, f64)| {
                                (other_start < now, other) < (latest_start < now, entry)
                            };
                            assert_eq!(ahead, waiting.iter().filter(is_ahead).count());
                            waiting.push((entry, latest_start));
                        }
                    }
                }
                3 => now += 1.0,
                1 if admitted > 0 => {
                    queue.release();
                    admitted -= 1;
                }
                2 if !waiting.is_empty() => {
                    let (entry, _) = waiting.remove(u.choose_index(waiting.len())?);
                    assert!(queue.cancel(entry));
                }
                _ => {}
            }
            while let Some(entry) = queue.admit_next(now) {
                // Entries past their latest start come last. Within both groups, rank and arrival
                // decide.
                let next = waiting
                    .iter()
                    .copied()
                    .min_by_key(|(other, latest_start)| (*latest_start < now, *other));
                assert_eq!(next.map(|(other, _)| other), Some(entry));
                waiting.retain(|(other, _)| *other != entry);
                admitted += 1;
            }
            assert_eq!(queue.admitted(), admitted);
            assert!(admitted <= limit && (admitted == limit || waiting.is_empty()));
        }
        Ok(())
    });
}

#[test]
fn connection_quota_divides_connections_among_routers() {
    let mut connection_quota = ConnectionQuota::new(68, 14);
    assert_eq!(
        (connection_quota.base_limit(), connection_quota.limit(0.0)),
        (4, 4)
    );
    connection_quota.update(68, 9);
    connection_quota.record_refusal(1.0);
    assert_eq!(
        (connection_quota.limit(1.0), connection_quota.limit(6.0)),
        (3, 6)
    );
    // The quotas of all routers together stay below the server's maximum as long as the maximum
    // allows at least two connections per router.
    for routers in 1..=30 {
        connection_quota.update(80, routers);
        assert!(connection_quota.limit(6.0) * routers < 80);
    }
    connection_quota.update(4, 14);
    assert_eq!(
        (connection_quota.base_limit(), connection_quota.limit(6.0)),
        (2, 2)
    );
    connection_quota.update(1, 14);
    assert_eq!(connection_quota.limit(6.0), 2);
}

#[test]
fn entry_past_its_latest_start_comes_after_those_in_time() {
    let mut queue = Queue::new(1);
    assert_eq!(queue.enter(0, 9.0), None);
    let missed = queue.enter(0, 1.0).unwrap();
    let low = queue.enter(2, 9.0).unwrap();
    // Until its latest start, the entry of rank 0 is ahead of entries of higher rank numbers;
    // afterwards it is behind them.
    assert_eq!(
        (
            queue.entries_ahead(1, 9.0, 0.5),
            queue.entries_ahead(1, 9.0, 2.0),
            queue.entries_ahead(2, 9.0, 2.0)
        ),
        (1, 0, 1)
    );
    assert_eq!(queue.entries_ahead(0, 1.0, 2.0), 2);
    queue.release();
    assert_eq!(queue.admit_next(2.0), Some(low));
    queue.release();
    assert_eq!(queue.admit_next(2.0), Some(missed));
    assert!(!queue.cancel(missed));
}

#[test]
fn in_flight_limit_is_twice_the_equal_share_and_at_least_two() {
    let limits = [
        (4, 9),
        (4, 3),
        (4, 1),
        (7, 9),
        (7, 6),
        (7, 4),
        (1, 9),
        (0, 0),
    ]
    .map(|(slots, routers)| in_flight_limit(slots, routers, 1.0));
    assert_eq!(limits, [2, 3, 4, 2, 3, 4, 2, 2]);
    // Across a slow network more statements are in flight, but not more than the server has slots.
    assert_eq!(
        [1.0, 2.0, 3.0, 8.0].map(|factor| in_flight_limit(7, 9, factor)),
        [2, 4, 5, 7]
    );
    let mut latency = Latency::default();
    assert_eq!(latency.network_overhead_factor(), 1.0);
    latency.record_response(0.034);
    latency.record_round_trip(0.026);
    assert!((latency.network_overhead_factor() - 4.25).abs() < 1e-6);
    // A shorter round trip lowers the estimate at once; a longer one raises it slowly.
    latency.record_round_trip(0.017);
    assert!((latency.network_overhead_factor() - 2.0).abs() < 1e-6);
    latency.record_round_trip(0.033);
    assert!(latency.network_overhead_factor() < 2.2);
}

#[test]
fn overdue_threshold_follows_latency_and_is_at_least_a_quarter_of_target() {
    let mut latency = Latency::default();
    assert_eq!(
        (
            latency.mean_s(),
            latency.overdue_after_s(0.04),
            latency.overdue_after_s(0.4)
        ),
        (0.0, 0.025, 0.1)
    );
    for _ in 0..100 {
        latency.record_response(0.02);
    }
    assert!(
        (latency.mean_s() - 0.02).abs() < 1e-6
            && (latency.overdue_after_s(0.12) - 0.08).abs() < 1e-3
    );
    assert!((latency.queue_wait_s(9, 2) - 0.1).abs() < 1e-6);
    // The threshold rises when a server becomes slow.
    for _ in 0..12 {
        latency.record_response(0.12);
    }
    assert!(latency.overdue_after_s(0.12) > 0.3);
}

#[test]
fn retry_delay_grows_with_the_refusal_streak() {
    let mut refusals = RefusalStreak::default();
    let retry_delays = [
        (5.0, 0.2),
        (5.5, 0.2),
        (6.25, 0.2),
        (6.5, 3.0),
        (7.75, 0.25),
    ];
    let retry_delays = retry_delays.map(|(now, wait)| refusals.record_refusal(now, wait));
    // After a gap of more than a second, a new streak begins.
    assert_eq!(retry_delays, [0.2, 0.5, 1.25, 3.0, 0.25]);
}
