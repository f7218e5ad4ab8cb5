//! Differences between texts, and the changes that a machine remembers.

use super::common::arbtest_budget_ms;
use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::message::ConfigUpdate;
use crate::state::{ConfigPayload, PrimaryRecord, State, StateChange};
use crate::text_delta::TextDelta;
use arbtest::arbtest;
use std::rc::Rc;

fn config(epoch: u64, routes: usize, changed: usize) -> Rc<[u8]> {
    let route = |at: usize| {
        let deadline = if at == changed { 1000 + epoch } else { 1000 };
        format!(
            "{{\"name\":\"r-{at}\",\"authority\":\"db{at}\",\"deadline_ms\":{deadline},\"rank\":1}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"epoch\":{epoch},\"routes\":[{}]}}", routes.join(","))
        .into_bytes()
        .into()
}

#[test]
fn a_small_change_of_a_large_configuration_is_small() {
    let (old, new) = (config(7, 300, 5), config(8, 300, 211));
    let difference = TextDelta::between(&old, &new).expect("it pays");
    assert!(
        difference.size() < 300,
        "{} of {} bytes",
        difference.size(),
        new.len()
    );
    assert_eq!(difference.apply(&old).as_deref(), Some(&*new));
    assert_eq!(difference.apply(&new), None, "it leads from the other one");
    let ConfigPayload::Delta(_) = ConfigPayload::relative_to(&old, &new) else {
        panic!("sent whole")
    };
    assert_eq!(
        ConfigPayload::relative_to(b"", &new),
        ConfigPayload::Full(new.clone()),
        "nothing is held"
    );
}

#[test]
fn a_difference_that_was_tampered_with_makes_nothing() {
    let (old, new) = (config(7, 20, 5), config(8, 20, 6));
    let difference = TextDelta::between(&old, &new).expect("it pays");
    let bytes = bincode::encode_to_vec(&difference, bincode::config::standard()).unwrap();
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        let read =
            bincode::decode_from_slice::<TextDelta, _>(&changed, bincode::config::standard());
        let made = read.ok().and_then(|(difference, _)| difference.apply(&old));
        assert!(made.is_none_or(|made| made == *new), "byte {at}");
    }
}

#[test]
fn any_text_comes_from_any_other() {
    arbtest(|u| {
        let (old, new): (Vec<u8>, Vec<u8>) = (u.arbitrary()?, u.arbitrary()?);
        let text = ConfigPayload::relative_to(&old, &new.clone().into());
        assert_eq!(text.resolve(&old).as_deref(), Some(&*new));
        Ok(())
    })
    .budget_ms(arbtest_budget_ms());
}

/// Changes that are known lead from any state in between to the newest one.
#[test]
fn a_history_leads_from_where_one_was() {
    let mut history = ChangeHistory::default();
    let mut states = vec![State::founding(vec![1, 2, 3])];
    for epoch in 1..40 {
        let before = states.last().unwrap().clone();
        let change = match epoch % 5 {
            0 => {
                let primary = PrimaryRecord {
                    server_id: "a".to_owned(),
                    min_term: epoch,
                };
                StateChange::Primary {
                    service: "s".to_owned(),
                    primary,
                }
            }
            _ => before.config_change(epoch, &config(epoch, 50, epoch as usize)),
        };
        states.push(before.apply(&change).expect("it fits"));
        history.push(&before, before.digest(), Rc::new(change));
    }
    let newest = states.last().unwrap().clone();
    for state in &states[..states.len() - 1] {
        let changes = history.since(state.digest()).expect("all are known");
        let made = changes
            .iter()
            .try_fold(state.clone(), |state, change| state.apply(change));
        assert_eq!(made.as_ref(), Some(&newest));
    }
    assert_eq!(history.since(Digest::of(b"another")), None);
    let changes = |from: u64, to: u64| history.config_deltas(from, to).map(ConfigUpdate::Deltas);
    let all = changes(states[3].config_epoch, newest.config_epoch).expect("all are known");
    assert_eq!(
        all.resolve(&states[3].config).as_ref(),
        Some(&newest.config)
    );
    assert_eq!(all.resolve(&states[4].config), None, "made for another one");
    // Up to an earlier one: what came behind it isn't told.
    let some = changes(states[3].config_epoch, states[7].config_epoch).expect("all are known");
    assert_eq!(
        some.resolve(&states[3].config).as_ref(),
        Some(&states[7].config)
    );
    assert_eq!(changes(999, newest.config_epoch), None);
    assert_eq!(changes(states[3].config_epoch, 999), None);
    assert_eq!(
        changes(states[7].config_epoch, states[3].config_epoch),
        None
    );
    // Another state's changes lead nowhere from this one.
    let other = State {
        config_epoch: 5,
        config: config(5, 50, 1),
        ..State::default()
    };
    let changes = history.since(states[6].digest()).unwrap();
    assert!(
        changes
            .iter()
            .try_fold(other, |state, change| state.apply(change))
            .is_none()
    );
}

/// However many changes there are, what is remembered of them is bounded.
#[test]
fn a_history_is_bounded() {
    let mut history = ChangeHistory::default();
    let mut state = State::founding(vec![1, 2, 3]);
    let first = state.digest();
    for epoch in 1..3000 {
        let body: Rc<[u8]> = format!("{epoch}{}", "x".repeat(500)).into_bytes().into();
        let change = StateChange::Config {
            epoch,
            config: ConfigPayload::Full(body),
        };
        let next = state.apply(&change).unwrap();
        history.push(&state, state.digest(), Rc::new(change));
        state = next;
    }
    assert_eq!(history.since(first), None, "too long ago");
    let bytes =
        bincode::encode_to_vec(format!("{history:?}"), bincode::config::standard()).unwrap();
    assert!(bytes.len() < 8 << 20);
}
