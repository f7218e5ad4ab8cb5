//! Tests of several sessions on pooled connections, against a model of the server that records the
//! session state of each connection.

use crate::connection::{ConnectionState, Distance, StateChange};
use crate::session::{MAX_NAMES_PER_KIND, Session, SessionError};
use arbtest::arbtest;
use badgerstream_line_protocol::{ParsedStatement, StatementKind};
use std::collections::BTreeMap;

/// Model of the session state that the server keeps for a connection, built from the statements
/// that it received.
#[derive(Default)]
struct ServerState {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (StatementKind, String)>,
}

impl ServerState {
    fn run(&mut self, text: &str) {
        if text == "RESET" {
            *self = Self::default();
            return;
        }
        match ParsedStatement::parse(text).unwrap() {
            ParsedStatement::Set { name, value } => {
                drop(self.values.insert(name.into(), value.into()));
            }
            ParsedStatement::Prepare { name, kind, shape } => {
                drop(self.prepared.insert(name.into(), (kind, shape.into())));
            }
            _ => panic!("{text}"),
        }
    }
}

#[test]
fn every_statement_runs_with_its_sessions_values_and_shape() {
    arbtest(|u| {
        let mut sessions: Vec<Session> = (0..3).map(|_| Session::default()).collect();
        let mut connections: Vec<(ConnectionState, ServerState)> =
            (0..2).map(|_| Default::default()).collect();
        for _ in 0..u.int_in_range(1..=40)? {
            let session = &mut sessions[u.choose_index(3)?];
            let name = *u.choose(&["a", "b", "c"])?;
            match u.int_in_range(0..=4)? {
                0 => session.set(name, u.choose(&["1", "2 2"])?).unwrap(),
                1 => {
                    let kind = *u.choose(&[StatementKind::Fetch, StatementKind::Put])?;
                    session
                        .prepare(name, kind, u.choose(&["q1", "q2", "q3 x"])?)
                        .unwrap();
                }
                2 => {
                    let known = session.shape(name).is_some();
                    assert_eq!(session.deallocate(name).is_ok(), known);
                }
                _ => {
                    let (connection, server) = &mut connections[u.choose_index(2)?];
                    let shape = session.shape(name).cloned();
                    let before = connection.distance(&session.values);
                    let changes = connection.changes(&session.values, shape.as_ref());
                    assert_eq!(
                        changes.contains(&StateChange::Reset),
                        before == Distance::ResetNeeded
                    );
                    for change in &changes {
                        server.run(&change.text());
                        connection.record_acknowledged(change);
                    }
                    assert_eq!(connection.distance(&session.values), Distance::Same);
                    assert!(
                        connection
                            .changes(&session.values, shape.as_ref())
                            .is_empty()
                    );
                    let expected: BTreeMap<String, String> = session
                        .values
                        .iter()
                        .map(|(n, v)| (n.into(), v.into()))
                        .collect();
                    assert_eq!(server.values, expected);
                    if let Some(shape) = shape {
                        let router_name =
                            format!("p{}", connection.prepared_number(&shape).unwrap());
                        assert_eq!(
                            server.prepared[&router_name],
                            (shape.kind, shape.text.to_string())
                        );
                    }
                    if u.ratio(1, 8)? {
                        // A rollback may undo any of the changes; the model drops all of them.
                        server.values.clear();
                        server.prepared.clear();
                        connection.mark_uncertain();
                    }
                }
            }
        }
        Ok(())
    });
}

#[test]
fn unacknowledged_change_is_sent_again() {
    let mut session = Session::default();
    session.set("a", "1").unwrap();
    session.set("b", "2").unwrap();
    let mut connection = ConnectionState::default();
    let changes = connection.changes(&session.values, None);
    connection.record_acknowledged(&changes[0]);
    assert_eq!(
        connection.distance(&session.values),
        Distance::ValuesMissing
    );
    assert_eq!(connection.changes(&session.values, None), changes[1..]);
}

#[test]
fn connection_with_too_many_prepared_statements_is_reset() {
    let mut connection = ConnectionState::default();
    let mut resets = 0;
    for i in 0..400 {
        let mut session = Session::default();
        session
            .prepare("s", StatementKind::Fetch, &format!("q{i}"))
            .unwrap();
        for change in connection.changes(&session.values, session.shape("s")) {
            resets += usize::from(change == StateChange::Reset);
            connection.record_acknowledged(&change);
        }
        assert!(
            connection
                .prepared_number(session.shape("s").unwrap())
                .is_some()
        );
    }
    assert_eq!(resets, 3);
}

#[test]
fn session_rejects_names_above_its_limit() {
    let mut session = Session::default();
    for i in 0..MAX_NAMES_PER_KIND {
        session.set(&format!("n{i}"), "v").unwrap();
        session
            .prepare(&format!("n{i}"), StatementKind::Put, "q")
            .unwrap();
    }
    assert_eq!(session.set("more", "v"), Err(SessionError::LimitExceeded));
    assert_eq!(
        session.prepare("more", StatementKind::Put, "q"),
        Err(SessionError::LimitExceeded)
    );
    // A prepared statement of an existing name is still replaced at the limit.
    assert_eq!(session.prepare("n1", StatementKind::Fetch, "q2"), Ok(()));
    assert_eq!(session.shape("n1").unwrap().kind, StatementKind::Fetch);
}
