//! Tests that the check finds each kind of violation, and none in linearizable histories.

use crate::history::{Attempt, ConfigRead, ConfigRequest, History, Outcome, Violation};
use crate::history::{Outcome::Acknowledged, Outcome::Rejected, Outcome::Unknown, Version};
use arbtest::{arbitrary, arbtest};

fn version(epoch: u64) -> Version {
    Version {
        epoch,
        body: format!("v{epoch}"),
    }
}

fn request(base: u64, epoch: u64, attempts: &[(f64, f64, Outcome)]) -> ConfigRequest {
    let attempts = attempts.iter().map(|(began, ended, outcome)| Attempt {
        sent_at_s: *began,
        ended_at_s: *ended,
        outcome: *outcome,
    });
    ConfigRequest {
        base_epoch: base,
        version: version(epoch),
        attempts: attempts.collect(),
    }
}

fn read(sent_at_s: f64, ended_at_s: f64, epoch: u64) -> ConfigRead {
    ConfigRead {
        sent_at_s,
        ended_at_s,
        version: (epoch > 0).then(|| version(epoch)),
    }
}

fn linearize(requests: Vec<ConfigRequest>, reads: Vec<ConfigRead>) -> Result<Vec<u64>, Violation> {
    History { requests, reads }.linearize()
}

#[test]
fn linearizable_history_passes() {
    let requests = vec![
        request(0, 1, &[(0.0, 1.0, Acknowledged)]),
        // Applied without a response, and acknowledged when it was sent again.
        request(1, 3, &[(1.0, 2.0, Unknown), (2.0, 2.5, Acknowledged)]),
        // Its base was replaced while it was in flight.
        request(1, 2, &[(1.5, 3.0, Rejected(412))]),
        // Never acknowledged, but read later.
        request(3, 7, &[(4.0, 5.0, Unknown)]),
        request(3, 8, &[(4.0, 5.0, Unknown), (9.0, 9.1, Rejected(412))]),
        request(7, 9, &[(10.0, 11.0, Acknowledged)]),
    ];
    let reads = vec![
        read(0.0, 0.5, 0),
        read(0.5, 1.2, 0),
        read(1.1, 1.8, 3),
        read(8.0, 8.1, 7),
        read(12.0, 12.1, 9),
    ];
    assert_eq!(linearize(requests, reads), Ok(vec![1, 3, 7, 9]));
    assert_eq!(linearize(vec![], vec![read(0.0, 1.0, 0)]), Ok(vec![]));
}

#[test]
fn two_versions_on_one_base_are_a_fork() {
    let first = request(0, 1, &[(0.0, 1.0, Acknowledged)]);
    let (one, other) = (
        request(1, 5, &[(1.0, 2.0, Acknowledged)]),
        request(1, 6, &[(1.0, 2.0, Acknowledged)]),
    );
    assert_eq!(
        linearize(vec![first.clone(), one.clone(), other], vec![]),
        Err(Violation::Fork(5, 6))
    );
    // Two bodies with the same epoch.
    let mut same = request(1, 5, &[(1.0, 2.0, Acknowledged)]);
    same.version.body = "another".to_owned();
    assert_eq!(
        linearize(vec![first, one, same], vec![]),
        Err(Violation::Fork(5, 5))
    );
}

#[test]
fn rejected_version_is_never_in_force() {
    let requests = || {
        vec![
            request(0, 1, &[(0.0, 1.0, Acknowledged)]),
            request(1, 2, &[(1.0, 2.0, Unknown), (2.0, 3.0, Rejected(412))]),
        ]
    };
    assert_eq!(
        linearize(requests(), vec![read(4.0, 4.1, 2)]),
        Err(Violation::RejectedAndApplied(2))
    );
    // The base was the newest version during the whole attempt.
    assert_eq!(
        linearize(requests(), vec![read(4.0, 4.1, 1)]),
        Err(Violation::WronglyRejected(2))
    );
    // An acknowledged request is rejected when it is sent again.
    let again = request(0, 1, &[(0.0, 1.0, Acknowledged), (2.0, 3.0, Rejected(412))]);
    assert_eq!(
        linearize(vec![again], vec![]),
        Err(Violation::RejectedAndApplied(1))
    );
}

#[test]
fn reads_never_go_back_behind_acknowledged_or_read_versions() {
    let requests = || {
        vec![
            request(0, 1, &[(0.0, 1.0, Acknowledged)]),
            request(1, 2, &[(1.0, 2.0, Acknowledged)]),
        ]
    };
    let late = |epoch| linearize(requests(), vec![read(3.0, 4.0, epoch)]);
    assert!(
        matches!(late(1), Err(Violation::OutOfOrder(..)))
            && matches!(late(0), Err(Violation::OutOfOrder(..)))
    );
    assert_eq!(late(2), Ok(vec![1, 2]));
    let back = vec![read(1.1, 1.2, 2), read(1.3, 1.4, 1)];
    assert!(matches!(
        linearize(requests(), back),
        Err(Violation::OutOfOrder(..))
    ));
    // The read ended before the version was sent.
    assert!(matches!(
        linearize(requests(), vec![read(0.1, 0.9, 2)]),
        Err(Violation::OutOfOrder(..))
    ));
    assert_eq!(
        linearize(requests(), vec![read(3.0, 4.0, 9)]),
        Err(Violation::UnknownVersion(9))
    );
}

/// A history of a correct register always passes the check, whichever calls overlap or are lost. It
/// fails once a response is replaced by an older one, or a rejection by an acknowledgement.
#[test]
fn histories_of_a_register_pass_and_altered_ones_fail() {
    arbtest(|u| {
        let mut history = History::default();
        let (mut now, mut current, mut highest) = (0.0, 0, 0);
        for _ in 0..u.int_in_range(2..=12)? {
            let (began, at) = (now, now + 0.5);
            let overlap = if u.arbitrary()? { 0.0 } else { 2.0 };
            now += overlap;
            if u.ratio(1, 3)? {
                history.reads.push(read(began, at + 0.5, current));
                continue;
            }
            highest += u.int_in_range(1..=3)?;
            let base = if u.ratio(2, 3)? {
                current
            } else {
                u.int_in_range(0..=highest - 1)?
            };
            let won = base == current;
            let outcome = match (won, u.ratio(1, 4)?) {
                (_, true) => Unknown,
                (true, _) => Acknowledged,
                (false, _) => Rejected(412),
            };
            history
                .requests
                .push(request(base, highest, &[(began, at + 0.5, outcome)]));
            if won {
                current = highest;
            }
        }
        history.reads.push(read(now + 10.0, now + 11.0, current));
        let chain = history
            .linearize()
            .unwrap_or_else(|e| panic!("{e}: {history:?}"));
        assert_eq!(chain.last().copied().unwrap_or(0), current);
        alter(u, history, &chain)
    });
}

fn alter(
    u: &mut arbitrary::Unstructured<'_>,
    mut history: History,
    chain: &[u64],
) -> arbitrary::Result<()> {
    let refused = history
        .requests
        .iter()
        .position(|o| matches!(o.attempts[0].outcome, Rejected(_)));
    if let (Some(at), true) = (refused, u.arbitrary()?) {
        history.requests[at].attempts[0].outcome = Acknowledged;
        assert!(history.linearize().is_err(), "{history:?}");
    } else if chain.len() > 1 {
        // The last read was sent long after all other operations ended.
        let end = history.reads.last().map_or(0.0, |r| r.ended_at_s);
        history.reads.push(read(
            end + 1.0,
            end + 2.0,
            chain[u.int_in_range(0..=chain.len() - 2)?],
        ));
        assert!(history.linearize().is_err(), "{history:?}");
    }
    Ok(())
}
