//! Tests of the deltas between texts and of the history of changes.

use super::common::arbtest_budget_ms;
use crate::change_history::ChangeHistory;
use crate::digest::Digest;
use crate::message::ConfigUpdate;
use crate::state::{ConfigPayload, PrimaryRecord, State, StateChange};
use crate::text_delta::TextDelta;
use arbtest::arbtest;
use std::rc::Rc;

/// Returns a configuration with `routes` routes. The route at the index `changed` has a deadline
/// that differs from that of the others.
fn config(epoch: u64, routes: usize, changed: usize) -> Rc<[u8]> {
    let route = |index: usize| {
        let deadline = if index == changed { 1000 + epoch } else { 1000 };
        format!(
            "{{\"name\":\"r-{index}\",\"authority\":\"db{index}\",\"deadline_ms\":{deadline},\"rank\":1}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"epoch\":{epoch},\"routes\":[{}]}}", routes.join(","))
        .into_bytes()
        .into()
}

#[test]
fn delta_of_a_small_change_is_small() {
    let (old, new) = (config(7, 300, 5), config(8, 300, 211));
    let delta = TextDelta::between(&old, &new).expect("the delta is smaller");
    assert!(
        delta.estimated_bytes() < 300,
        "{} of {} bytes",
        delta.estimated_bytes(),
        new.len()
    );
    assert_eq!(delta.apply(&old).as_deref(), Some(&*new));
    assert_eq!(delta.apply(&new), None, "the delta has another base");
    let ConfigPayload::Delta(_) = ConfigPayload::relative_to(&old, &new) else {
        panic!("not a delta")
    };
    assert_eq!(
        ConfigPayload::relative_to(b"", &new),
        ConfigPayload::Full(new.clone()),
        "a receiver without a text is sent the complete text"
    );
}

#[test]
fn corrupted_delta_is_rejected() {
    let (old, new) = (config(7, 20, 5), config(8, 20, 6));
    let delta = TextDelta::between(&old, &new).expect("the delta is smaller");
    let bytes = bincode::encode_to_vec(&delta, bincode::config::standard()).unwrap();
    for index in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[index] ^= 1;
        let decoded =
            bincode::decode_from_slice::<TextDelta, _>(&corrupted, bincode::config::standard());
        let result = decoded.ok().and_then(|(delta, _)| delta.apply(&old));
        assert!(
            result.is_none_or(|result| result == *new),
            "the delta with a corrupted byte {index} gives another text"
        );
    }
}

#[test]
fn any_text_can_be_sent_relative_to_any_other() {
    arbtest(|u| {
        let (old, new): (Vec<u8>, Vec<u8>) = (u.arbitrary()?, u.arbitrary()?);
        let payload = ConfigPayload::relative_to(&old, &new.clone().into());
        assert_eq!(payload.resolve(&old).as_deref(), Some(&*new));
        Ok(())
    })
    .budget_ms(arbtest_budget_ms());
}

/// The changes in the history lead from every earlier state to the newest one.
#[test]
fn history_leads_from_every_remembered_state_to_the_newest() {
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
        states.push(before.apply(&change).expect("the delta is from this state"));
        history.push(&before, before.digest(), Rc::new(change));
    }
    let newest = states.last().unwrap().clone();
    for state in &states[..states.len() - 1] {
        let changes = history
            .changes_since(state.digest())
            .expect("the history has all changes");
        let result = changes
            .iter()
            .try_fold(state.clone(), |state, change| state.apply(change));
        assert_eq!(result.as_ref(), Some(&newest));
    }
    assert_eq!(history.changes_since(Digest::of(b"another")), None);
    let deltas = |from: u64, to: u64| history.config_deltas(from, to).map(ConfigUpdate::Deltas);
    let all =
        deltas(states[3].config_epoch, newest.config_epoch).expect("the history has all changes");
    assert_eq!(
        all.resolve(&states[3].config).as_ref(),
        Some(&newest.config)
    );
    assert_eq!(
        all.resolve(&states[4].config),
        None,
        "the deltas are from another configuration"
    );
    // The deltas up to an earlier epoch leave out newer changes.
    let some = deltas(states[3].config_epoch, states[7].config_epoch)
        .expect("the history has all changes");
    assert_eq!(
        some.resolve(&states[3].config).as_ref(),
        Some(&states[7].config)
    );
    assert_eq!(deltas(999, newest.config_epoch), None);
    assert_eq!(deltas(states[3].config_epoch, 999), None);
    assert_eq!(deltas(states[7].config_epoch, states[3].config_epoch), None);
    // Deltas from one state can't be applied to another state.
    let other = State {
        config_epoch: 5,
        config: config(5, 50, 1),
        ..State::default()
    };
    let changes = history.changes_since(states[6].digest()).unwrap();
    assert!(
        changes
            .iter()
            .try_fold(other, |state, change| state.apply(change))
            .is_none()
    );
}

/// The history removes the oldest changes when it exceeds its limits.
#[test]
fn history_is_bounded() {
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
    assert_eq!(
        history.changes_since(first),
        None,
        "the oldest change has been removed"
    );
    let bytes =
        bincode::encode_to_vec(format!("{history:?}"), bincode::config::standard()).unwrap();
    assert!(bytes.len() < 8 << 20);
}
