//! Tests that the settings, fields and messages that callers, operators and the platform read or
//! write keep their exact names and bytes, whatever the names in the code are.

use badgerstream_http_codec::{RequestDecoder, encode_request};
use badgerstream_pooler_config::config::{Config, Mode, fields_without_effect};
use badgerstream_pooler_config::settings::Settings;
use nanoserde::SerJson;

use crate::dispatch::{Operation, dispatch};
use crate::members::{DbRole, Heartbeat, HeartbeatResponse, Phase};
use crate::promotion::encode_promotion_request;
use crate::request::ApiRequest;
use crate::response::{ApiResponse, ConfigResponse, EmptyResponse, ResponseBody, encode_response};
use crate::status::{MemberStatus, PrimaryStatus, ReadStatusRequest, Status};

fn utf8_text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("valid UTF-8")
}

/// All settings, each with a value that differs from its default.
const SETTINGS: &str = include_str!("fixtures/settings.txt");

const REQUIRED_SETTINGS: &str =
    "node_name=n\nrole=r\nip=10.1.0.8\nzone=z\nprovider.endpoint=10.0.0.1:1\n";

/// Each key of the fixture has an effect, and has none under another name.
#[test]
fn every_setting_is_parsed_under_its_key() {
    let defaults = Settings::parse(REQUIRED_SETTINGS).expect("the required settings are valid");
    for line in SETTINGS.lines() {
        let (key, _) = line.split_once('=').expect(line);
        let changed = Settings::parse(&format!("{REQUIRED_SETTINGS}{line}\n")).expect(line);
        assert_ne!(changed, defaults, "{key} has no effect");
        let other = Settings::parse(&format!("{REQUIRED_SETTINGS}x{line}\n")).expect(line);
        assert_eq!(other, defaults, "x{key} has an effect");
    }
}

/// All fields of a configuration, each with a value that differs from its default.
const CONFIG: &str = r#"{"epoch":7,"routes":[{"name":"r","authority":"a","path_prefix":"/p","mode":"in_house","deadline_ms":1000,"target_ms":500,"rank":2,"backend":"b","tries":3,"staleness_ms":1500}],"backends":[{"name":"b","probe":"/up","max_conns":80,"protocol":"h1","tls":true,"sync_replicas":1}],"limits":{"header_bytes":1,"body_bytes":2,"header_timeout_ms":3,"idle_timeout_ms":4,"txn_idle_ms":5}}"#;

/// A field under another name has no effect and is reported as such: the configuration is rejected
/// or differs from the original.
#[test]
fn every_field_of_a_configuration_is_parsed_under_its_name() {
    let config = Config::parse(CONFIG.as_bytes()).expect("valid");
    assert_eq!(fields_without_effect(CONFIG.as_bytes()), Ok(Vec::new()));
    let ends: Vec<usize> = CONFIG.match_indices("\":").map(|(at, _)| at).collect();
    assert_eq!(ends.len(), 25);
    for end in ends {
        let renamed = format!("{}_x{}", &CONFIG[..end], &CONFIG[end..]);
        assert_ne!(
            Config::parse(renamed.as_bytes()).ok().as_ref(),
            Some(&config),
            "{renamed}"
        );
        let unknown = fields_without_effect(renamed.as_bytes()).expect("JSON");
        assert!(
            unknown.len() == 1 && unknown[0].ends_with("_x"),
            "{unknown:?}"
        );
    }
    let modes = [Mode::Leader, Mode::BoundedStaleness, Mode::InHouse].map(Mode::as_str);
    assert_eq!(modes, ["leader", "bounded_staleness", "in_house"]);
}

/// Covers the requests of database servers, operators and the platform.
#[test]
fn request_bytes_are_stable() {
    let heartbeat = r#"{"backend":"b","endpoint":"10.0.0.9:1","zone":"z","epoch":"v1","capacity":7,"phase":"ready","cold_left_ms":0,"db_role":"leader","call_seq":4}"#;
    for (method, path, headers, body, operation) in [
        (
            "POST",
            "/api/Members.Heartbeat/i-1",
            vec![],
            heartbeat,
            Some("i-1"),
        ),
        ("POST", "/api/Members.Depart/i-1", vec![], "", Some("i-1")),
        (
            "POST",
            "/api/Config.Replace",
            vec![("X-Base-Version", "5")],
            "{}",
            Some("5"),
        ),
        ("GET", "/api/Config.Read", vec![], "", Some("")),
        ("GET", "/api/readiness", vec![], "", Some("")),
        ("GET", "/api/System.Status", vec![], "", None),
    ] {
        let mut expected = format!("{method} {path} HTTP/1.1\r\nHost: h:1\r\n");
        for (name, value) in &headers {
            expected += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() {
            expected += "Content-Type: application/json\r\n";
        }
        if method == "POST" {
            expected += &format!("Content-Length: {}\r\n", body.len());
        }
        expected += &format!("\r\n{body}");
        let bytes = encode_request(method, path, "h:1", &headers, body.as_bytes());
        assert_eq!(utf8_text(bytes.clone()), expected);
        let mut decoder = RequestDecoder::new(1000);
        decoder.feed(&bytes);
        let read = decoder.next_request().unwrap().unwrap();
        let found = dispatch(&read).expect(path);
        let is_unknown = found == Operation::Unknown;
        assert_eq!(is_unknown, operation.is_none(), "{path}");
        assert!(format!("{found:?}").contains(operation.unwrap_or_default()));
        assert_eq!(
            ReadStatusRequest::matches(&read),
            operation.is_none(),
            "{path}"
        );
    }
    let phase_and_role_json =
        |phase: Phase, role: DbRole| (phase.serialize_json(), role.serialize_json());
    assert_eq!(
        phase_and_role_json(Phase::Ready, DbRole::Leader),
        ("\"ready\"".to_owned(), "\"leader\"".to_owned())
    );
    assert_eq!(
        phase_and_role_json(Phase::Draining, DbRole::Follower),
        ("\"draining\"".to_owned(), "\"follower\"".to_owned())
    );
    assert_eq!(
        Heartbeat::parse(heartbeat.as_bytes())
            .unwrap()
            .serialize_json(),
        heartbeat
    );
    assert_eq!(
        utf8_text(encode_promotion_request(
            "b",
            "i-1",
            "core-1",
            12,
            "10.0.0.1:1"
        )),
        "POST /promotions HTTP/1.1\r\nHost: 10.0.0.1:1\r\nX-Duty-Holder: core-1\r\nX-Fence-Token: 12\r\n\
         Content-Type: application/json\r\nContent-Length: 26\r\n\r\n{\"backend\":\"b\",\"id\":\"i-1\"}"
    );
}

fn encoded<B: ResponseBody>(response: ApiResponse<B>) -> String {
    utf8_text(encode_response(&response, "/api/Config.Replace", true))
}

#[test]
fn response_bytes_are_stable() {
    let json = |status: &str, body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    };
    let empty = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    let redirecting = HeartbeatResponse {
        beat_endpoint: Some("10.0.0.4:1".to_owned()),
    };
    assert_eq!(
        encoded(ApiResponse::Success(EmptyResponse)),
        empty("200 OK")
    );
    assert_eq!(
        encoded(ApiResponse::Success(HeartbeatResponse::default())),
        json("200 OK", "{}")
    );
    assert_eq!(
        encoded(ApiResponse::Success(redirecting)),
        json("200 OK", r#"{"beat_endpoint":"10.0.0.4:1"}"#)
    );
    assert_eq!(
        encoded(ApiResponse::Success(ConfigResponse(b"{ }".to_vec()))),
        json("200 OK", "{ }")
    );
    assert_eq!(
        encoded(ApiResponse::<EmptyResponse>::Redirect(
            "10.0.0.4:1".parse().unwrap()
        )),
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://10.0.0.4:1/api/Config.Replace\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(
        encoded(ApiResponse::<EmptyResponse>::Invalid("a \"b\"".to_owned())),
        json("400 Bad Request", r#"{"error":"a \"b\""}"#)
    );
    assert_eq!(
        encoded(ApiResponse::<EmptyResponse>::NotFound),
        empty("404 Not Found")
    );
    assert_eq!(
        encoded(ApiResponse::<EmptyResponse>::BaseEpochMismatch(5)),
        json(
            "412 Precondition Failed",
            r#"{"error":"version 5 is in place"}"#
        )
    );
    assert_eq!(
        encoded(ApiResponse::<EmptyResponse>::Unavailable(
            "no majority".to_owned()
        )),
        json("503 Service Unavailable", r#"{"error":"no majority"}"#)
    );
    assert_eq!(
        utf8_text(encode_response(
            &ApiResponse::Success(EmptyResponse),
            "/",
            false
        )),
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
}

#[test]
fn status_json_is_stable() {
    let status = Status {
        node: "core-1".to_owned(),
        leads: true,
        out_of_contact_s: 1.5,
        leader: Some("10.0.0.1".to_owned()),
        voters: vec!["10.0.0.1".to_owned()],
        epoch: 7,
        routers: 9,
        lease_s: 1.25,
        primaries: vec![PrimaryStatus {
            service: "b".to_owned(),
            phase: "steady".to_owned(),
            id: "i-1".to_owned(),
            term: 3,
            in_use: true,
        }],
        members: vec![MemberStatus {
            id: "i-1".to_owned(),
            service: "b".to_owned(),
            endpoint: "10.0.0.9:1".to_owned(),
            zone: "z".to_owned(),
            slots: 4,
            draining: false,
        }],
        ..Status::default()
    };
    assert_eq!(
        utf8_text(status.body()),
        include_str!("fixtures/status.json").trim_end()
    );
    assert_eq!(
        utf8_text(Status::default().body()),
        include_str!("fixtures/status_default.json").trim_end()
    );
}
