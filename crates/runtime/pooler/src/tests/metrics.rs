//! The text format of metrics, what the counters count, and that clients can't add label values.

use super::{Exposition, Labels};
use crate::counters::{ControlCounts, ResponseCount, StatementCounts, StatementEnd};
use badgerstream_line_protocol::ErrorCode;

fn lines(text: &str) -> Vec<&str> {
    text.lines().collect()
}

#[test]
fn text_is_in_openmetrics_format() {
    let mut exposition = Exposition::default();
    exposition.gauge("router_clients", "Clients", 3.0);
    exposition.counters(
        "control_calls",
        "Calls",
        [(vec![("call", "read".to_owned())], 2)],
    );
    let labels: Labels = vec![("service", "a\"b\\c\n".to_owned())];
    exposition.gauges("router_waiting", "Waiting", [(labels, 1.5)]);
    let text = exposition.text();
    let expected = [
        "# HELP badgerstream_router_clients Clients.",
        "# TYPE badgerstream_router_clients gauge",
        "badgerstream_router_clients 3.0",
        "# HELP badgerstream_control_calls Calls.",
        "# TYPE badgerstream_control_calls counter",
        "badgerstream_control_calls_total{call=\"read\"} 2",
        "# HELP badgerstream_router_waiting Waiting.",
        "# TYPE badgerstream_router_waiting gauge",
        "badgerstream_router_waiting{service=\"a\\\"b\\\\c\\n\"} 1.5",
        "# EOF",
    ];
    assert_eq!(lines(&text), expected);
}

#[test]
fn statements_are_counted_by_kind_and_end() {
    let counts = StatementCounts::default();
    counts.record_ended("FETCH a", StatementEnd::Complete);
    counts.record_ended("FETCH b", StatementEnd::Complete);
    counts.record_ended("COMMIT", StatementEnd::Error(ErrorCode::InDoubt));
    counts.record_ended("PUT a 1", StatementEnd::ClientGone);
    // Statements of unknown kinds add no label values.
    for text in ["", "fetch a", "DROP TABLE", "\u{1f980}"] {
        counts.record_ended(text, StatementEnd::Error(ErrorCode::Other));
        counts.record_ended(text, StatementEnd::Error(ErrorCode::NoDb));
    }
    let all: Vec<_> = counts.ended_counts().collect();
    let expected = [
        ("FETCH", "complete", 2),
        ("PUT", "client_gone", 1),
        ("COMMIT", "INDOUBT", 1),
        ("other", "other", 8),
    ];
    assert_eq!(all, expected);
}

#[test]
fn placements_and_their_wait_times_are_counted() {
    let counts = StatementCounts::default();
    counts.record_placed(true, 0.002);
    counts.record_placed(false, -0.1);
    counts.record_placed(false, 20.0);
    counts.record_unplaced();
    assert_eq!(
        counts.placement_counts(),
        [("primary", 1), ("replica", 2), ("none", 1)]
    );
    let mut exposition = Exposition::default();
    exposition.histogram("wait_seconds", "Waits", &counts.placement_wait_seconds);
    let text = exposition.text();
    for line in [
        "badgerstream_wait_seconds_bucket{le=\"0.001\"} 1",
        "badgerstream_wait_seconds_bucket{le=\"0.005\"} 2",
        "badgerstream_wait_seconds_bucket{le=\"+Inf\"} 3",
        "badgerstream_wait_seconds_count 3",
    ] {
        assert!(lines(&text).contains(&line), "{line} in {text}");
    }
}

#[test]
fn responses_and_persists_are_counted() {
    let counts = ControlCounts::default();
    counts.record_response("read", 200);
    counts.record_response("read", 503);
    counts.record_response("read", 200);
    counts.record_persist(0.01, true);
    counts.record_persist(3.0, false);
    counts.record_router_update();
    let responses = [(200, 2), (503, 1)].map(|(status, count)| ResponseCount {
        call: "read",
        status,
        count,
    });
    assert_eq!(counts.responses(), responses);
    assert_eq!((counts.failed_persists(), counts.router_updates()), (1, 1));
}
