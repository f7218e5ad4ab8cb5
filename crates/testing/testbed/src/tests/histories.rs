//! The judge finds what is wrong with a history, and nothing where all is well.

use crate::history::{History, Order, Outcome, Read, Try, Violation};
use crate::history::{Outcome::Acknowledged, Outcome::Refused, Outcome::Unclear, Version};
use arbtest::{arbitrary, arbtest};

fn version(epoch: u64) -> Version {
    Version {
        epoch,
        body: format!("v{epoch}"),
    }
}

fn order(base: u64, epoch: u64, tries: &[(f64, f64, Outcome)]) -> Order {
    let tries = tries.iter().map(|(began, ended, outcome)| Try {
        began: *began,
        ended: *ended,
        outcome: *outcome,
    });
    Order {
        base,
        version: version(epoch),
        tries: tries.collect(),
    }
}

fn read(began: f64, ended: f64, epoch: u64) -> Read {
    Read {
        began,
        ended,
        version: (epoch > 0).then(|| version(epoch)),
    }
}

fn judge(orders: Vec<Order>, reads: Vec<Read>) -> Result<Vec<u64>, Violation> {
    History { orders, reads }.judge()
}

#[test]
fn what_may_be_is_let_pass() {
    let orders = vec![
        order(0, 1, &[(0.0, 1.0, Acknowledged)]),
        // Taken without a word, and acknowledged when it was sent again.
        order(1, 3, &[(1.0, 2.0, Unclear), (2.0, 2.5, Acknowledged)]),
        // Its base went while it was under way.
        order(1, 2, &[(1.5, 3.0, Refused(412))]),
        // Never acknowledged, and read later on.
        order(3, 7, &[(4.0, 5.0, Unclear)]),
        order(3, 8, &[(4.0, 5.0, Unclear), (9.0, 9.1, Refused(412))]),
        order(7, 9, &[(10.0, 11.0, Acknowledged)]),
    ];
    let reads = vec![
        read(0.0, 0.5, 0),
        read(0.5, 1.2, 0),
        read(1.1, 1.8, 3),
        read(8.0, 8.1, 7),
        read(12.0, 12.1, 9),
    ];
    assert_eq!(judge(orders, reads), Ok(vec![1, 3, 7, 9]));
    assert_eq!(judge(vec![], vec![read(0.0, 1.0, 0)]), Ok(vec![]));
}

#[test]
fn two_on_one_base_are_a_fork() {
    let first = order(0, 1, &[(0.0, 1.0, Acknowledged)]);
    let (one, other) = (
        order(1, 5, &[(1.0, 2.0, Acknowledged)]),
        order(1, 6, &[(1.0, 2.0, Acknowledged)]),
    );
    assert_eq!(
        judge(vec![first.clone(), one.clone(), other], vec![]),
        Err(Violation::Fork(5, 6))
    );
    // Two texts under one number.
    let mut same = order(1, 5, &[(1.0, 2.0, Acknowledged)]);
    same.version.body = "another".to_owned();
    assert_eq!(
        judge(vec![first, one, same], vec![]),
        Err(Violation::Fork(5, 5))
    );
}

#[test]
fn what_was_refused_is_in_force_nowhere() {
    let orders = || {
        vec![
            order(0, 1, &[(0.0, 1.0, Acknowledged)]),
            order(1, 2, &[(1.0, 2.0, Unclear), (2.0, 3.0, Refused(412))]),
        ]
    };
    assert_eq!(
        judge(orders(), vec![read(4.0, 4.1, 2)]),
        Err(Violation::RefusedAndTaken(2))
    );
    // The base was the newest version all the while.
    assert_eq!(
        judge(orders(), vec![read(4.0, 4.1, 1)]),
        Err(Violation::WronglyRefused(2))
    );
    // One that was acknowledged is refused when it is sent again.
    let again = order(0, 1, &[(0.0, 1.0, Acknowledged), (2.0, 3.0, Refused(412))]);
    assert_eq!(
        judge(vec![again], vec![]),
        Err(Violation::RefusedAndTaken(1))
    );
}

#[test]
fn what_is_read_is_no_older_than_what_was_acknowledged_or_read() {
    let orders = || {
        vec![
            order(0, 1, &[(0.0, 1.0, Acknowledged)]),
            order(1, 2, &[(1.0, 2.0, Acknowledged)]),
        ]
    };
    let late = |epoch| judge(orders(), vec![read(3.0, 4.0, epoch)]);
    assert!(
        matches!(late(1), Err(Violation::OutOfOrder(..)))
            && matches!(late(0), Err(Violation::OutOfOrder(..)))
    );
    assert_eq!(late(2), Ok(vec![1, 2]));
    let back = vec![read(1.1, 1.2, 2), read(1.3, 1.4, 1)];
    assert!(matches!(
        judge(orders(), back),
        Err(Violation::OutOfOrder(..))
    ));
    // Before it was sent at all.
    assert!(matches!(
        judge(orders(), vec![read(0.1, 0.9, 2)]),
        Err(Violation::OutOfOrder(..))
    ));
    assert_eq!(
        judge(orders(), vec![read(3.0, 4.0, 9)]),
        Err(Violation::Unknown(9))
    );
}

/// A register that is what it should be: what clients see of it always passes, however their calls overlap and are lost. With
/// one answer changed to something older, or one refusal taken for an acknowledgement, it doesn't.
#[test]
fn histories_of_a_real_register_pass_and_altered_ones_do_not() {
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
                (_, true) => Unclear,
                (true, _) => Acknowledged,
                (false, _) => Refused(412),
            };
            history
                .orders
                .push(order(base, highest, &[(began, at + 0.5, outcome)]));
            if won {
                current = highest;
            }
        }
        history.reads.push(read(now + 10.0, now + 11.0, current));
        let chain = history
            .judge()
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
        .orders
        .iter()
        .position(|o| matches!(o.tries[0].outcome, Refused(_)));
    if let (Some(at), true) = (refused, u.arbitrary()?) {
        history.orders[at].tries[0].outcome = Acknowledged;
        assert!(history.judge().is_err(), "{history:?}");
    } else if chain.len() > 1 {
        // The last read came long after everything else.
        let end = history.reads.last().map_or(0.0, |r| r.ended);
        history.reads.push(read(
            end + 1.0,
            end + 2.0,
            chain[u.int_in_range(0..=chain.len() - 2)?],
        ));
        assert!(history.judge().is_err(), "{history:?}");
    }
    Ok(())
}
