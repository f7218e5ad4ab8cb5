//! The start file and the settings file, valid and with one error.

mod setting_names;

use crate::{FlatSettings, RouterSettings, StartConfig, instance};
use badgerstream_routing::{Consistency, DedupScope, Repeat};
use test_case::test_case;

const START: &str = r#"{"name":"n0","listen":"127.0.0.1:6432","discovery":"127.0.0.1:8500",
"seed":"92094eb940cf389a","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"classes":[
{"aim_ms":600.0,"group":"all","hard_limit_ms":2000.0,"importance":3.0,"late_worth":0.0,
"memory_span_ms":5000.0,"name":"feed-read","repeat":"pure"},
{"aim_ms":600.0,"group":"cell","hard_limit_ms":2000.0,"importance":6.0,"late_worth":0.3,
"memory_span_ms":1200.0,"name":"episode-write","repeat":"token"}],
"discovery":"pushed","domain":{"checks":"none","max_age_ms":[500.0,0.0],"needs_by_class":["recent","update"],
"notes":"a, b","origin_time_ms":1000.0,"token_mode":"client"},
"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1},"load_info":{"columns":["x0","x1"]},
"policy_limits":{"cancelling":true,"dial_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":8,
"max_retry_after_ms":2000.0,"probes":true,"retry_after":true,"second_copies":true},
"safety":{"cold_from":0.27,"cold_ms":18000.0,"fall_ms":3000.0,"overload_factor":3.0,
"stop_sending_within_ms":250.0},
"siblings":2,"tenants":[{"name":"radio andina","quota_per_s":135.0}],"tick_ms":5.0,"zones":["surco","ate"]}}"#;

fn started(from: &str, to: &str) -> Result<StartConfig, String> {
    assert!(START.contains(from));
    StartConfig::parse(&START.replace(from, to))
}

#[test]
fn a_start_file_is_parsed() {
    let start = started("", "").unwrap();
    assert_eq!(
        (start.name.as_str(), start.seed, start.descriptors),
        ("n0", 0x9209_4eb9_40cf_389a, 1024)
    );
    assert_eq!(
        (start.listen.port(), start.discovery.port(), start.memory_mb),
        (6432, 8500, 192.0)
    );
    let (born, reading) = instance(start.seed, &start.settings).unwrap();
    assert_eq!(
        (
            born.routers,
            born.drain.grace_s,
            born.limits.max_retry_after_s
        ),
        (2.0, 0.25, 2.0)
    );
    assert_eq!(
        (reading.position_column, reading.role_column),
        (Some(0), Some(1))
    );
    let kinds = reading.workloads;
    assert_eq!(kinds[0].consistency, Consistency::Recent { max_age_s: 0.5 });
    assert_eq!(
        kinds[1].repeat,
        Repeat::Deduplicated {
            scope: DedupScope::Group,
            memory_s: 1.2
        }
    );
    assert_eq!(
        (kinds[1].slo, kinds[1].timeout, kinds[1].consistency),
        (0.6, 2.0, Consistency::Primary)
    );
}

#[test]
fn json_and_lines_give_the_same_settings() {
    let json = started("", "").unwrap().settings;
    let lines = FlatSettings::from_lines(
        "classes.count=2\nclasses.1.aim_ms=600.0\nzones=surco,ate\ndomain.notes=a__b",
    );
    for path in ["classes.count", "classes.1.aim_ms", "zones", "domain.notes"] {
        assert_eq!(
            json.text(path).unwrap(),
            lines.text(path).unwrap(),
            "{path}"
        );
    }
    assert_eq!(json.names("tenants").unwrap(), ["radio_andina"]);
}

#[test_case("\"siblings\":2,", "", "setting siblings is missing"; "missing")]
#[test_case("\"siblings\":2", "\"siblings\":\"many\"", "setting siblings has the invalid value \"many\""; "unreadable")]
#[test_case("\"pure\"", "\"often\"", "setting classes.0.repeat has the unknown value \"often\", expected pure, token or side_effect"; "unknown choice")]
#[test_case("\"tick_ms\":5.0", "\"tick_ms\":-5.0", "setting tick_ms must be a time from 0 to below 1e15 ms, found -5"; "a negative time")]
#[test_case("[\"recent\",\"update\"]", "[\"recent\"]", "setting domain.needs_by_class has 1 entries, expected one for each of 2 classes"; "too short")]
fn invalid_settings_are_reported(from: &str, to: &str, expected: &str) {
    let start = started(from, to).unwrap();
    assert_eq!(instance(1, &start.settings).err().unwrap(), expected);
}

#[test_case("{\"name\"", "\"name\"", "the file is not valid JSON"; "no json")]
#[test_case("\"name\":\"n0\",", "", "/name is missing"; "no name")]
#[test_case("\"127.0.0.1:6432\"", "\"here\"", "/listen must be an IP address and port, found \"here\""; "no address")]
#[test_case("92094eb940cf389a", "seed", "/seed must be a hexadecimal number of 64 bits, found \"seed\""; "no seed")]
#[test_case("\"sockets\":1024", "\"sockets\":\"all\"", "/limits/sockets must be a number of at least 0, found \"all\""; "no limit")]
#[test_case("\"memory_mb\":192", "\"memory_mb\":-1", "/limits/memory_mb must be a number of at least 0, found -1"; "no memory")]
#[test_case("\"known\"", "\"unknown\"", "/known is missing"; "no list")]
fn invalid_start_files_are_reported(from: &str, to: &str, expected: &str) {
    let problem = started(from, to).err().unwrap();
    assert!(problem.starts_with(expected), "{problem}");
}

#[test_case("{}", None; "everything off")]
#[test_case("{succession: {}}", Some(2 << 20); "on with the defaults")]
#[test_case("// ours\n{succession: {hold: {statements: 9, bytes: 1048576,}, /* more */ }}", Some(1 << 20); "with comments")]
fn router_settings_are_parsed(text: &str, bytes: Option<usize>) {
    let settings = RouterSettings::parse(text, 4 << 20).unwrap();
    assert_eq!(settings.succession.map(|s| s.hold.bytes), bytes);
}

#[test]
fn the_file_with_every_setting_has_the_defaults() {
    let settings =
        RouterSettings::parse(include_str!("../../../../deploy/settings.json5"), 16 << 20).unwrap();
    assert_eq!(
        settings,
        RouterSettings::parse("{succession: {}, recovery: {}, fleet: {}}", 16 << 20).unwrap()
    );
}

#[test_case("{recovery: {\n  opens_in_100ms: 0.2}}", (2, 3), "recovery.opens_in_100ms is 0.2"; "less than one")]
#[test_case("{recovery: {\n  routers: ['a', 'a']}}", (2, 3), "names \"a\" twice"; "one router twice")]
#[test_case("{recovery: {\n  held_field: 'x4'}}", (2, 3), "recovery.held_field is \"x4\" and opened_field is \"\"; set both or neither"; "half of the fields")]
#[test_case("{fleet: {\n  copies: 1.5}}", (2, 3), "fleet.copies is 1.5, expected a share from 0 to 1"; "a share above 1")]
#[test_case("{fleet: {\n  routers: ['a', 'a']}}", (2, 3), "names \"a\" twice"; "one of the fleet twice")]
#[test_case("{fleet: {\n  subset: -1}}", (2, 11), "expected"; "a negative number")]
#[test_case("{recovery: {list_wait_ms: 'soon'}}", (1, 27), "expected number"; "no number")]
#[test_case("{succession: {hold: {statements: 9, bytes: 64}\n", (1, 14), "EOF"; "truncated")]
#[test_case("{\n  succesion: {}}", (2, 3), "unknown field `succesion`"; "a misspelt name")]
#[test_case("{succession: {\n  longest_hold_ms: '3s'}}", (2, 20), "expected number"; "a unit")]
#[test_case("{succession: {\n  least_chance: 7}}", (2, 3), "least_chance is 7, must be a share from 0 to 1"; "no share")]
#[test_case("{succession: {\n\n    longest_hold_ms: 0}}", (3, 5), "longest_hold_ms is 0, must be a time from 1 ms to 3600000 ms (one hour)"; "no time")]
#[test_case("{succession: {hold_group: {statements: 1, bytes: 8},\n hold: {statements: 2, bytes: 999999999}}}", (2, 24), "hold.bytes is 999999999, more than the 4194304 bytes that the memory limit leaves"; "more memory than available")]
#[test_case("{succession: { // hold: {bytes: 1}\n hold: {statements: 2, bytes: 4}}}", (1, 2), "hold_group.bytes is 1048576, more than hold.bytes, the limit of 4 bytes for all groups together"; "a default bound that is too large")]
#[test_case("{succession: {\n branch_field: 'x2'}}", (2, 2), "branch_field and promoted_field must both be set or both be empty"; "half a pair")]
fn errors_in_router_settings_have_a_position(text: &str, place: (usize, usize), problem: &str) {
    let fault = RouterSettings::parse(text, 4 << 20).unwrap_err();
    assert!(fault.problem.contains(problem), "{fault}");
    assert_eq!((fault.line, fault.column), place, "{fault}");
}
