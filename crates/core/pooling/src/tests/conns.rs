//! Sessions of several clients on one pooled connection, played against a server that only does what it is told.

use crate::connection::{ConnectionState, Distance, StateChange};
use crate::session::{MAX_NAMES, Session, SessionError};
use arbtest::arbtest;
use badgerstream_line_protocol::{Kind, Text};
use std::collections::BTreeMap;

/// What the server's end of a connection really holds, by the texts that it got.
#[derive(Default)]
struct Held {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (Kind, String)>,
}

impl Held {
    fn run(&mut self, text: &str) {
        if text == "RESET" {
            *self = Self::default();
            return;
        }
        match Text::parse(text).unwrap() {
            Text::Set { name, value } => drop(self.values.insert(name.into(), value.into())),
            Text::Prepare { name, kind, shape } => {
                drop(self.prepared.insert(name.into(), (kind, shape.into())));
            }
            _ => panic!("{text}"),
        }
    }
}

#[test]
fn every_statement_meets_its_own_clients_values_and_shape() {
    arbtest(|u| {
        let mut sessions: Vec<Session> = (0..3).map(|_| Session::default()).collect();
        let mut conns: Vec<(ConnectionState, Held)> = (0..2).map(|_| Default::default()).collect();
        for _ in 0..u.int_in_range(1..=40)? {
            let session = &mut sessions[u.choose_index(3)?];
            let name = *u.choose(&["a", "b", "c"])?;
            match u.int_in_range(0..=4)? {
                0 => session.set(name, u.choose(&["1", "2 2"])?).unwrap(),
                1 => {
                    let kind = *u.choose(&[Kind::Fetch, Kind::Put])?;
                    session
                        .prepare(name, kind, u.choose(&["q1", "q2", "q3 x"])?)
                        .unwrap();
                }
                2 => {
                    let known = session.shape(name).is_some();
                    assert_eq!(session.deallocate(name).is_ok(), known);
                }
                _ => {
                    let (conn, held) = &mut conns[u.choose_index(2)?];
                    let shape = session.shape(name).cloned();
                    let before = conn.distance(&session.values);
                    let changes = conn.changes(&session.values, shape.as_ref());
                    assert_eq!(
                        changes.contains(&StateChange::Reset),
                        before == Distance::ResetNeeded
                    );
                    for change in &changes {
                        held.run(&change.text());
                        conn.record_acknowledged(change);
                    }
                    assert_eq!(conn.distance(&session.values), Distance::Same);
                    assert!(conn.changes(&session.values, shape.as_ref()).is_empty());
                    let expected: BTreeMap<String, String> = session
                        .values
                        .iter()
                        .map(|(n, v)| (n.into(), v.into()))
                        .collect();
                    assert_eq!(held.values, expected);
                    if let Some(shape) = shape {
                        let ours = format!("p{}", conn.prepared_number(&shape).unwrap());
                        assert_eq!(held.prepared[&ours], (shape.kind, shape.text.to_string()));
                    }
                    if u.ratio(1, 8)? {
                        // A rolled back transaction may have taken anything back.
                        held.values.clear();
                        held.prepared.clear();
                        conn.mark_uncertain();
                    }
                }
            }
        }
        Ok(())
    });
}

#[test]
fn what_is_not_acknowledged_is_not_held() {
    let mut session = Session::default();
    session.set("a", "1").unwrap();
    session.set("b", "2").unwrap();
    let mut conn = ConnectionState::default();
    let changes = conn.changes(&session.values, None);
    conn.record_acknowledged(&changes[0]);
    assert_eq!(conn.distance(&session.values), Distance::ValuesMissing);
    assert_eq!(conn.changes(&session.values, None), changes[1..]);
}

#[test]
fn many_shapes_reset_the_connection_rather_than_fill_it() {
    let mut conn = ConnectionState::default();
    let mut resets = 0;
    for i in 0..400 {
        let mut session = Session::default();
        session.prepare("s", Kind::Fetch, &format!("q{i}")).unwrap();
        for change in conn.changes(&session.values, session.shape("s")) {
            resets += usize::from(change == StateChange::Reset);
            conn.record_acknowledged(&change);
        }
        assert!(conn.prepared_number(session.shape("s").unwrap()).is_some());
    }
    assert_eq!(resets, 3);
}

#[test]
fn a_session_has_bounds() {
    let mut session = Session::default();
    for i in 0..MAX_NAMES {
        session.set(&format!("n{i}"), "v").unwrap();
        session.prepare(&format!("n{i}"), Kind::Put, "q").unwrap();
    }
    assert_eq!(session.set("more", "v"), Err(SessionError::Full));
    assert_eq!(
        session.prepare("more", Kind::Put, "q"),
        Err(SessionError::Full)
    );
    // An older name is replaced all the same.
    assert_eq!(session.prepare("n1", Kind::Fetch, "q2"), Ok(()));
    assert_eq!(session.shape("n1").unwrap().kind, Kind::Fetch);
}
