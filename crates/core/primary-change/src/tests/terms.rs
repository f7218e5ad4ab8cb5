//! Who leads, by one sequence of evidence each.

use super::{A, B, C};
use crate::{Evidence, Phase, Term};
use test_case::test_case;

fn leads(at: f64) -> Evidence {
    Evidence::Leads { at }
}

fn follows(at: f64) -> Evidence {
    Evidence::Follows { at }
}

/// Each is heard a tenth of a second after the one before, from 10 on; A led at 9 and was settled.
fn told(sequence: &[(u32, Evidence)]) -> Term {
    let mut term = Term::default();
    term.hear(9.0, A, leads(9.0));
    term.settle(9.5);
    for (i, (node, evidence)) in sequence.iter().enumerate() {
        term.hear(10.0 + i as f64 / 10.0, *node, *evidence);
    }
    term
}

#[test_case(&[], Some(A), Phase::Settled, 1; "nothing new")]
#[test_case(&[(A, Evidence::Lost)], Some(A), Phase::Doubted, 1; "out of reach")]
#[test_case(&[(A, Evidence::Lost), (A, leads(9.9))], Some(A), Phase::Doubted, 1; "a word from before the doubt ends none")]
#[test_case(&[(A, Evidence::Lost), (A, leads(10.1))], Some(A), Phase::Settling, 1; "only slow: the same term goes on")]
#[test_case(&[(A, Evidence::Lost), (B, leads(10.1))], Some(B), Phase::Settling, 2; "another leads")]
#[test_case(&[(B, leads(10.0))], Some(B), Phase::Settling, 2; "another leads before the first was missed")]
#[test_case(&[(B, leads(8.9))], Some(A), Phase::Settled, 1; "a claim of an earlier term is no news")]
#[test_case(&[(B, leads(10.0)), (A, leads(10.1)), (A, leads(10.2))], Some(B), Phase::Settling, 2; "the deposed one is not believed again")]
#[test_case(&[(B, leads(10.0)), (A, follows(10.1)), (A, leads(10.2))], Some(A), Phase::Settling, 3; "until it has followed")]
#[test_case(&[(B, leads(10.0)), (A, follows(8.5)), (A, leads(10.2))], Some(B), Phase::Settling, 2; "not by a denial from before it led")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Lost), (A, leads(10.2))], Some(A), Phase::Settling, 3; "or its successor is in doubt")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Lost), (A, leads(10.05))], Some(B), Phase::Doubted, 2; "but not by an old word")]
#[test_case(&[(B, leads(10.0)), (B, Evidence::Lost), (C, leads(10.2))], Some(C), Phase::Settling, 3; "a second change while the first settles")]
#[test_case(&[(A, follows(10.0))], None, Phase::Vacant, 1; "it says that it no longer leads")]
#[test_case(&[(A, follows(8.0))], Some(A), Phase::Settled, 1; "an old denial is no news")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::Listed)], None, Phase::Claimed, 1; "the list names a candidate")]
#[test_case(&[(A, follows(10.0)), (A, Evidence::Listed)], None, Phase::Vacant, 1; "a late list does not undo a node's own word")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::Listed), (B, follows(10.2))], None, Phase::Vacant, 1; "the candidate says no")]
#[test_case(&[(A, follows(10.0)), (B, Evidence::Listed), (B, Evidence::Lost)], None, Phase::Vacant, 1; "the candidate is out of reach")]
#[test_case(&[(B, Evidence::Listed)], Some(A), Phase::Settled, 1; "a list alone deposes nobody")]
#[test_case(&[(A, Evidence::Leaving)], Some(A), Phase::Doubted, 1; "it drains")]
#[test_case(&[(A, Evidence::Leaving), (A, leads(10.1))], Some(A), Phase::Doubted, 1; "while it drains its own word does not help")]
#[test_case(&[(A, Evidence::Leaving), (A, Evidence::Stays)], Some(A), Phase::Settling, 1; "the drain is called off")]
#[test_case(&[(A, Evidence::Leaving), (B, leads(10.1)), (A, Evidence::Stays), (A, leads(10.3))], Some(B), Phase::Settling, 2; "handed over")]
#[test_case(&[(C, Evidence::Lost), (C, Evidence::Leaving)], Some(A), Phase::Settled, 1; "what happens to a replica is none of it")]
fn who_leads(sequence: &[(u32, Evidence)], leader: Option<u32>, phase: Phase, number: u64) {
    let term = told(sequence);
    assert_eq!(
        (term.leader, term.phase, term.number),
        (leader, phase, number)
    );
}

#[test]
fn both_halves_of_a_cut_make_one_change() {
    let halves = (0..50).flat_map(|i| {
        [
            (B, leads(10.0 + f64::from(i) / 5.0)),
            (A, leads(10.1 + f64::from(i) / 5.0)),
        ]
    });
    let term = told(&halves.collect::<Vec<_>>());
    assert_eq!((term.leader, term.number), (Some(B), 2));
}

#[test]
fn a_change_is_as_long_as_all_of_its_parts() {
    let mut term = told(&[
        (A, Evidence::Lost),
        (B, leads(10.1)),
        (B, Evidence::Lost),
        (C, leads(10.3)),
    ]);
    assert!(
        (term.settle(13.0) - 3.0).abs() < 1e-9,
        "since the first doubt"
    );
    term.forget(C);
    assert_eq!(term.leader, Some(C), "who leads is only let go by evidence");
}
