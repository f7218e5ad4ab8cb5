//! Which node leads after a sequence of evidence.

use super::{A, B, C};
use crate::{Evidence, Phase, Term};
use test_case::test_case;

fn leads(at: f64) -> Evidence {
    Evidence::Leads { at }
}

fn follows(at: f64) -> Evidence {
    Evidence::Follows { at }
}

/// Returns the term after this evidence: A led at 9 s and was settled, and from 10 s on the pieces come 0.1 s apart.
fn term_after(sequence: &[(u32, Evidence)]) -> Term {
    let mut term = Term::default();
    term.observe(9.0, A, leads(9.0));
    term.settle(9.5);
    for (i, (node, evidence)) in sequence.iter().enumerate() {
        term.observe(10.0 + i as f64 / 10.0, *node, *evidence);
    }
    term
}

#[test_case(&[], Some(A), Phase::Settled, 1; "no evidence")]
#[test_case(&[(A, Evidence::Unreachable)], Some(A), Phase::Suspected, 1; "the leader is unreachable")]
#[test_case(&[(A, Evidence::Unreachable), (A, leads(9.9))], Some(A), Phase::Suspected, 1; "a claim from before the suspicion does not end it")]
#[test_case(&[(A, Evidence::Unreachable), (A, leads(10.1))], Some(A), Phase::Settling, 1; "the leader was only slow: the same term goes on")]
#[test_case(&[(A, Evidence::Unreachable), (B, leads(10.1))], Some(B), Phase::Settling, 2; "another node leads")]
#[test_case(&[(B, leads(10.0))], Some(B), Phase::Settling, 2; "another node leads before the first one is suspected")]
#[test_case(&[(B, leads(8.9))], Some(A), Phase::Settled, 1; "a claim from an earlier term is ignored")]
#[test_case(&[(B, leads(10.0)), (A, leads(10.1)), (A, leads(10.2))], Some(B), Phase::Settling, 2; "a deposed node is not believed again")]
#[test_case(&[(B, leads(10.0)), (A, follows(10.1)), (A, leads(10.2))], Some(A), Phase::Settling, 3; "a deposed node is believed after it has followed")]
#[test_case(&[(B, leads(10.0)), (A, follows(8.5)), (A, leads(10.2))], Some(B), Phase::Settling, 2; "a denial from before it led does not count as following")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Unreachable), (A, leads(10.2))], Some(A), Phase::Settling, 3; "a deposed node is believed while its successor is suspected")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Unreachable), (A, leads(10.05))], Some(B), Phase::Suspected, 2; "a claim from before the successor was suspected is ignored")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Unreachable), (C, leads(10.2))], Some(C), Phase::Settling, 3; "a second change while the first settles")]
#[test_case(&[(A, follows(10.0))], None, Phase::NoLeader, 1; "the leader says that it no longer leads")]
#[test_case(&[(A, follows(8.0))], Some(A), Phase::Settled, 1; "a denial from before the last claim is ignored")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::ListedAsPrimary)], None, Phase::Candidate, 1; "the list names a candidate")]
#[test_case(&[(A, follows(10.0)), (A, Evidence::ListedAsPrimary)], None, Phase::NoLeader, 1; "a late list does not undo what a node said of itself")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::ListedAsPrimary), (B, follows(10.2))], None, Phase::NoLeader, 1; "the candidate says that it does not lead")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::ListedAsPrimary), (B, Evidence::Unreachable)], None, Phase::NoLeader, 1; "the candidate is unreachable")]
#[test_case(&[(B, Evidence::ListedAsPrimary)], Some(A), Phase::Settled, 1; "the list alone deposes no leader")]
#[test_case(&[(A, Evidence::ListedAsLeaving)], Some(A), Phase::Suspected, 1; "the leader drains")]
#[test_case(&[(A, Evidence::ListedAsLeaving), (A, leads(10.1))], Some(A), Phase::Suspected, 1; "a claim of a draining leader does not end the suspicion")]
#[test_case(&[(A, Evidence::ListedAsLeaving), (A, Evidence::ListedInService)], Some(A), Phase::Settling, 1; "the drain is cancelled")]
#[test_case(&[(A, Evidence::ListedAsLeaving), (B, leads(10.1)), (A, Evidence::ListedInService), (A, leads(10.3))], Some(B), Phase::Settling, 2; "handed over")]
#[test_case(&[(C, Evidence::Unreachable), (C, Evidence::ListedAsLeaving)], Some(A), Phase::Settled, 1; "evidence about a replica changes nothing")]
fn evidence_determines_the_leader(
    sequence: &[(u32, Evidence)],
    leader: Option<u32>,
    phase: Phase,
    number: u64,
) {
    let term = term_after(sequence);
    assert_eq!(
        (term.leader, term.phase, term.number),
        (leader, phase, number)
    );
}

#[test]
fn claims_from_both_sides_of_a_partition_make_one_change() {
    let claims = (0..50).flat_map(|i| {
        [
            (B, leads(10.0 + f64::from(i) / 5.0)),
            (A, leads(10.1 + f64::from(i) / 5.0)),
        ]
    });
    let term = term_after(&claims.collect::<Vec<_>>());
    assert_eq!((term.leader, term.number), (Some(B), 2));
}

#[test]
fn a_second_failure_while_settling_extends_the_change() {
    let mut term = term_after(&[
        (A, Evidence::Unreachable),
        (B, leads(10.1)),
        (B, Evidence::Unreachable),
        (C, leads(10.3)),
    ]);
    assert!(
        (term.settle(13.0) - 3.0).abs() < 1e-9,
        "since the first suspicion"
    );
    term.forget_node(C);
    assert_eq!(
        term.leader,
        Some(C),
        "only evidence ends the leadership of a node"
    );
}
