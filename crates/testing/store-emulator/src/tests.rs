//! The store's model: what survives a promotion, which repeats are dropped, who may commit. And a script's form.

use crate::group::{Entry, Group, Outcome, Replication, Written};
use crate::script::{Plan, Step, draw};
use test_case::test_case;

fn group(synchronous: bool) -> Group {
    Group::new(
        Replication {
            synchronous,
            lag_ms: 100,
            mark_memory_ms: 1000,
        },
        3,
    )
}

fn entry(mark: &str) -> Entry {
    let mark = Some(mark.to_string());
    Entry {
        at: 0,
        term: 0,
        number: 0,
        mark,
        statement: "id".into(),
        key: "k".into(),
        value: b"v".to_vec(),
    }
}

/// The positions at which writes with these marks were done; 0 for one that was not.
fn write(group: &mut Group, now: u64, member: usize, mark: &str) -> u64 {
    let epoch = group.epoch(member);
    match group.write(now, member, epoch, false, entry(mark)) {
        Written::Done { at, .. } => at,
        Written::NoPrimary | Written::Blocked => 0,
    }
}

fn marks(group: &Group) -> Vec<String> {
    group
        .ledger()
        .effects
        .iter()
        .filter_map(|e| e.mark.clone())
        .collect()
}

#[test_case(true, &["a", "b"], 0; "synchronous: nothing that was answered is lost")]
#[test_case(false, &["a"], 1; "asynchronous: what replicas did not have yet is")]
fn a_promotion_keeps_what_replicas_have(synchronous: bool, kept: &[&str], discarded: usize) {
    let mut group = group(synchronous);
    assert!(write(&mut group, 1000, 0, "a") > 0 && write(&mut group, 1150, 0, "b") > 0);
    group.kill(0);
    assert_eq!(group.promote(1200, None), Some(1));
    group.restart(1300, 0);
    assert_eq!(marks(&group), kept);
    assert_eq!(
        (group.ledger().discarded.len(), group.leads(0)),
        (discarded, false)
    );
    assert_eq!(
        group.took_over(1),
        Some((if synchronous { 1150 } else { 1000 }, 1200))
    );
}

#[test_case(500, 1; "remembered")]
#[test_case(1500, 2; "forgotten")]
fn a_repeat_is_dropped_while_its_mark_is_remembered(after: u64, effects: usize) {
    let mut group = group(true);
    write(&mut group, 1000, 0, "a");
    group.kill(0);
    group.promote(1001, None);
    write(&mut group, 1000 + after, 1, "a");
    assert_eq!(marks(&group).len(), effects, "marks come with the log");
}

#[test]
fn who_is_cut_off_commits_nothing_and_steps_down_when_joined() {
    let mut group = group(true);
    group.link(1000, 0, false);
    let taken = group.epoch(0);
    assert_eq!(
        group.write(1000, 0, taken, false, entry("a")),
        Written::Blocked
    );
    assert!(
        group.promote(1100, Some(1)).is_some() && group.leads(0),
        "both halves claim it"
    );
    group.link(1200, 0, true);
    assert_eq!(
        group.write(1200, 0, taken, false, entry("a")),
        Written::NoPrimary
    );
    assert!(marks(&group).is_empty());
}

#[test]
fn a_minority_promotes_nobody() {
    let mut group = group(true);
    [0, 1].iter().for_each(|member| group.kill(*member));
    assert_eq!(group.promote(1000, None), None);
    group.restart(1100, 1);
    assert_eq!(group.promote(1200, None), Some(1));
}

#[test]
fn only_the_primary_of_the_present_term_tells_outcomes() {
    let mut group = group(true);
    write(&mut group, 1000, 0, "a");
    group.kill(0);
    group.promote(1100, Some(1));
    assert_eq!(
        group.outcome(9000, 1, "a"),
        Outcome::Ran(b"v".to_vec()),
        "however long ago"
    );
    assert_eq!(group.outcome(9000, 1, "b"), Outcome::Never);
    assert_eq!(group.outcome(9000, 2, "a"), Outcome::Unknown);
}

#[test]
fn replicas_show_what_lies_a_lag_behind() {
    let mut group = group(false);
    write(&mut group, 1000, 0, "a");
    assert_eq!(
        (group.read(1050, 1, "k"), group.position(1, 1050)),
        (None, 950)
    );
    assert_eq!(
        (group.read(1100, 1, "k"), group.position(1, 1100)),
        (Some(b"v".to_vec()), 1000)
    );
    assert_eq!(
        group.position(0, 1100),
        1100,
        "a primary stands at the present"
    );
}

#[test]
fn an_effect_that_no_other_member_has_dies_with_its_primary() {
    let mut group = group(true);
    let epoch = group.epoch(0);
    assert!(matches!(
        group.write(1000, 0, epoch, true, entry("a")),
        Written::Done { .. }
    ));
    group.kill(0);
    group.promote(1100, None);
    group.restart(1200, 0);
    assert_eq!(
        (marks(&group).len(), group.ledger().discarded.len()),
        (0, 1)
    );
}

#[test_case(Plan::Kill)]
#[test_case(Plan::Switchover)]
#[test_case(Plan::Double)]
#[test_case(Plan::Hang)]
#[test_case(Plan::Mixed)]
#[test_case(Plan::Impatient)]
fn scripts_are_drawn_from_their_seed(plan: Plan) {
    let script = draw(plan, 3, 2, 100, 5000);
    assert_eq!(script, draw(plan, 3, 2, 100, 5000));
    assert_ne!(script, draw(plan, 4, 2, 100, 5000));
    assert!(script.is_sorted_by_key(|step| step.0));
    for group in 0..2 {
        let promotions = script
            .iter()
            .filter(|s| s.1 == group && s.2 == Step::Promote)
            .count();
        assert!(promotions >= 3, "{promotions} changes in five seconds");
    }
}
