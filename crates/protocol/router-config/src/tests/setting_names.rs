//! Each setting name in operators' files is parsed into its field. The values differ from each other and from the
//! defaults, so that a mix-up of two names is detected.

use crate::{FlatSettings, RouterSettings, instance};
use badgerstream_routing::{Consistency, DedupScope, Repeat};

const ROUTER_SETTINGS: &str = include_str!("setting_names.json5");
const SETTINGS: &str = include_str!("setting_names.txt");

#[test]
fn each_name_of_the_settings_file_is_parsed_into_its_field() {
    let own = RouterSettings::parse(ROUTER_SETTINGS, 64 << 20).unwrap();
    let s = own.succession.unwrap();
    assert_eq!((s.hold.statements, s.hold.bytes), (11, 1012));
    assert_eq!((s.hold_group.statements, s.hold_group.bytes), (13, 914));
    assert_eq!(
        (s.longest_hold_ms, s.expected_change_ms, s.least_chance),
        (15.5, 16.5, 0.17)
    );
    assert_eq!((s.release_spread_ms, s.answered_kept), (18.5, 19));
    assert!(s.outcomes);
    assert_eq!(
        (s.branch_field.as_str(), s.promoted_field.as_str()),
        ("x20", "x21")
    );
    let r = own.recovery.unwrap();
    assert_eq!(
        (r.opens_in_100ms, r.routers.join(",")),
        (31.0, "a,b".into())
    );
    assert_eq!(
        (r.list_wait_ms, r.sounding_ms, r.handshake_ms),
        (32.0, 33.0, 34.0)
    );
    assert_eq!((r.longest_handshake_ms, r.calm_ms), (35.0, 36.0));
    assert_eq!((r.longest_ms, r.stood_still_ms), (37.0, 238.0));
    assert_eq!((r.refused_ms, r.refused_most_ms), (39.0, 40.0));
    assert_eq!(
        (r.linger_ms, r.surplus_ms, r.turns_below),
        (41.0, 142.0, 43)
    );
    assert_eq!(
        (r.held_field.as_str(), r.opened_field.as_str()),
        ("x44", "x45")
    );
    let f = own.fleet.unwrap();
    assert_eq!((f.routers.join(","), f.forget_ms), ("c,d,e".into(), 151.0));
    assert_eq!((f.idle_probes_per_s, f.searches_per_s), (52.0, 53.0));
    assert_eq!((f.trials_per_s, f.first_sends_per_s), (54.0, 55.0));
    assert_eq!((f.copies, f.repeats, f.subset), (0.56, 0.57, 58));
    assert_eq!((f.little_per_s, f.held_field.as_str()), (59.0, "x60"));
}

#[test]
fn an_unknown_name_in_the_settings_file_is_rejected() {
    let mut names = 0;
    for (at, _) in ROUTER_SETTINGS.match_indices(':') {
        let begin = ROUTER_SETTINGS[..at]
            .rfind(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))
            .unwrap();
        let name = &ROUTER_SETTINGS[begin + 1..at];
        let changed = format!("{}z{}", &ROUTER_SETTINGS[..at], &ROUTER_SETTINGS[at..]);
        let fault = RouterSettings::parse(&changed, 64 << 20).unwrap_err();
        let expected = format!("unknown field `{name}z`");
        assert!(fault.problem.contains(&expected), "{name}: {fault}");
        names += 1;
    }
    assert_eq!(names, 3 + 14 + 16 + 11, "names in the file");
}

#[test]
fn each_name_of_the_instance_settings_is_parsed_into_its_field() {
    let (born, reading) = instance(1, &FlatSettings::from_lines(SETTINGS)).unwrap();
    let [first, second, third] = &reading.workloads[..] else {
        panic!("three workloads")
    };
    assert_eq!(
        (first.slo, first.slo_stretch, first.timeout),
        (0.4, 2.5, 1.9)
    );
    assert_eq!((first.importance, first.late_value), (3.5, 0.15));
    assert_eq!(
        (first.repeat, first.consistency),
        (Repeat::Idempotent, Consistency::Recent { max_age_s: 0.7 })
    );
    let (scope, memory_s) = (DedupScope::Zone, 1.2);
    assert_eq!(second.repeat, Repeat::Deduplicated { scope, memory_s });
    assert_eq!(second.consistency, Consistency::OwnWrites);
    assert_eq!(
        (third.repeat, third.consistency),
        (Repeat::NonIdempotent, Consistency::Primary)
    );
    assert_eq!(
        (
            reading.origin_s,
            reading.position_column,
            reading.role_column
        ),
        (1.25, Some(1), Some(2))
    );
    assert!(reading.subscribes);
    assert_eq!(born.routers, 4.0);
    assert_eq!(
        (born.drain.grace_s, born.drain.only_draining_binds),
        (0.26, true)
    );
    assert_eq!(
        (born.cold_start.initial_share, born.cold_start.duration_s),
        (0.27, 18.0)
    );
    assert_eq!(
        (born.cold_start.overload_factor, born.cold_start.window_s),
        (3.25, 3.5)
    );
    let limits = &born.limits;
    assert_eq!((limits.max_executions, limits.clock_step_s), (7, 0.005));
    assert_eq!(
        (limits.hedging, limits.cancellation, limits.probes),
        (true, false, true)
    );
    assert_eq!(
        (limits.probe_cost_share, limits.max_retry_after_s),
        (0.013, 2.125)
    );
    assert_eq!(
        (
            born.fairness.overall,
            born.fairness.worst_workload,
            born.fairness.worst_tenant
        ),
        (0.41, 0.22, 0.12)
    );
}

/// `instance` requires each of these names; without this test, a name that it no longer looks up would go unnoticed.
#[test]
fn a_missing_required_setting_is_reported_by_name() {
    let mut missing = Vec::new();
    for line in SETTINGS.lines() {
        let name = line.split('=').next().unwrap();
        let without: String = SETTINGS
            .lines()
            .filter(|other| *other != line)
            .map(|other| format!("{other}\n"))
            .collect();
        match instance(1, &FlatSettings::from_lines(&without)) {
            Ok(_) => {}
            Err(problem) => {
                assert!(problem.contains(name), "{name}: {problem}");
                missing.push(name);
            }
        }
    }
    assert_eq!(
        missing.join("\n") + "\n",
        include_str!("required_setting_names.txt")
    );
}
