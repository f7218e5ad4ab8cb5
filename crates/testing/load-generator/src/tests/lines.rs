//! What a scenario sends, and what is told of a wrong one.

use super::{SCENARIO, scenario, shared};
use crate::scenario::{Follows, Hot, Scenario, Size};
use crate::traffic::Plan;
use crate::work::{Asked, Work, Wrote, written_by};
use badgerstream_postgres_protocol::comment::Statement;
use test_case::test_case;

const FIRST: Asked = Asked {
    run: 5,
    attempt: 1,
    told: true,
    left: 1_500_000,
    wrote: None,
};

fn works(scenario: Scenario) -> Vec<Work> {
    Plan::new(&shared(scenario), 0, 1).collect()
}

fn long() -> Scenario {
    let mut scenario = scenario();
    scenario.phases[0].for_ms = 20_000.0;
    scenario
}

#[test]
fn statements_are_of_the_protocols_form() {
    let all = works(long());
    let (mut writes, mut first) = (0, 0);
    for work in &all {
        let name = ["read", "write"][usize::from(work.workload)];
        let read = Statement::parse(&work.text(name, &FIRST)).unwrap();
        assert_eq!(
            (read.writes, read.mark.is_some()),
            (work.workload == 1, work.workload == 1)
        );
        assert_eq!((read.wait_s, read.workload.as_str()), (0.002, name));
        writes += usize::from(read.writes);
        first += usize::from(!read.writes && read.key == "k0");
    }
    assert_eq!(all.len(), 4000);
    assert!((900..1100).contains(&writes), "{writes}");
    // The first of fifty keys has 0.27 of the popularity with an exponent of 1.2.
    assert!((700..950).contains(&first), "{first}");
    assert_eq!(all, works(long()), "the same seed, the same statements");
}

#[test]
fn threads_share_the_work_without_loss() {
    let mut follows = long();
    follow(&mut follows);
    let scenario = shared(follows);
    let mut parts: Vec<Work> = (0..3)
        .flat_map(|place| Plan::new(&scenario, place, 3))
        .collect();
    let all: Vec<Work> = Plan::new(&scenario, 0, 1).collect();
    assert!(all.iter().map(|work| work.due).is_sorted());
    parts.sort_by_key(|work| (work.due, work.number));
    let mut all = all;
    all.sort_by_key(|work| (work.due, work.number));
    assert_eq!(parts, all);
}

fn follow(scenario: &mut Scenario) {
    let mut reader = scenario.workloads[0].clone();
    (reader.name, reader.share) = ("again".to_string(), 0.0);
    reader.follows = Some(Follows {
        of: "write".to_string(),
        chance: 0.5,
        times: 2,
        think_ms: 100.0,
        check: true,
    });
    scenario.workloads.push(reader);
    assert_eq!(scenario.fault(), None);
}

#[test]
fn sessions_read_what_they_wrote() {
    let mut scenario = long();
    follow(&mut scenario);
    let all = works(scenario);
    let reads: Vec<&Work> = all.iter().filter(|work| work.workload == 2).collect();
    let writes = all.iter().filter(|work| work.workload == 1).count();
    assert!(
        reads.len().abs_diff(writes) < writes / 10,
        "{} behind {writes}",
        reads.len()
    );
    for read in reads {
        let write = all
            .iter()
            .find(|work| work.session == read.session && work.writes.is_some())
            .unwrap();
        assert!(read.own && read.due >= write.due);
        assert_eq!((&read.key, read.group), (&write.key, write.group));
        let wrote = Some(Wrote {
            number: write.number,
            position: Some(77),
        });
        let text = read.text("again", &Asked { wrote, ..FIRST });
        assert_eq!(Statement::parse(&text).unwrap().after, Some(0.077));
    }
}

#[test]
fn a_further_attempt_has_a_new_id_and_the_same_mark() {
    let all = works(long());
    let write = all.iter().find(|work| work.writes.is_some()).unwrap();
    let [first, second] = [1, 2].map(|attempt| write.text("write", &Asked { attempt, ..FIRST }));
    let [a, b] = [&first, &second].map(|text| Statement::parse(text).unwrap());
    assert!(a.id != b.id && a.mark == b.mark);
    assert!(second.contains(",r=1") && !first.contains(",r=1"));
}

#[test]
fn hot_keys_customers_and_sizes_are_drawn_as_told() {
    let mut scenario = long();
    scenario.workloads[0].hot = Some(Hot {
        keys: 2,
        share: 0.5,
    });
    scenario.workloads[0].zipf = 0.0;
    scenario.workloads[1].customers = 10;
    scenario.workloads[1].bytes = Size::Drawn {
        median: 200.0,
        p99: 2000.0,
    };
    assert_eq!(scenario.fault(), None);
    let all = works(scenario);
    let reads = all.iter().filter(|work| work.workload == 0);
    let hot = reads
        .clone()
        .filter(|work| work.key == "k0" || work.key == "k1")
        .count() as f64;
    let part = hot / reads.count() as f64;
    // Half of them, and two in fifty of the others.
    assert!((0.48..0.56).contains(&part), "{part}");
    let mut sizes: Vec<u32> = all.iter().filter_map(|work| work.writes).collect();
    sizes.sort();
    let (median, p99) = (sizes[sizes.len() / 2], sizes[sizes.len() * 99 / 100]);
    assert!(
        (170..230).contains(&median) && (1300..3000).contains(&p99),
        "{median}, {p99}"
    );
    let first = all.iter().filter(|work| work.customer == "acme-0").count() as f64;
    // The first of ten has 1 / 2.93 with an exponent of 1.
    assert!(
        (0.29..0.39).contains(&(first / sizes.len() as f64)),
        "{first}"
    );
}

#[test]
fn a_value_tells_who_wrote_it() {
    let work = Work {
        number: 0x0102_0304,
        writes: Some(20),
        key: "k".to_string(),
        ..Work::default()
    };
    let text = work.text("w", &FIRST);
    assert!(text.contains("'\\x0000000001020304"), "{text}");
    assert!(written_by(&[0, 0, 0, 0, 1, 2, 3, 4, 99], 0x0102_0304));
    assert!(!written_by(&[0, 0, 0, 0, 1, 2, 3, 5], 0x0102_0304) && !written_by(&[], 0));
}

#[test_case("share: 3", "share: 0", "workloads.share"; "no share")]
#[test_case("per_s: 200", "per_s: -1", "phases.shape"; "a negative rate")]
#[test_case("for_ms: 1000", "for_ms: 0", "phases.for_ms"; "no time")]
#[test_case("'read'", "'a b'", "workloads.name"; "a name that no statement carries")]
#[test_case("'read'", "'write'", "stands twice"; "a name that stands twice")]
#[test_case("shape:", "form:", "unknown field"; "a slip of the pen")]
#[test_case("zipf: 1.2", "marked: true", "only writes carry marks"; "a marked read")]
#[test_case("zipf: 1.2", "hot: {keys: 60, share: 0.1}", "workloads.hot"; "more hot keys than keys")]
#[test_case("zipf: 1.2", "bytes: 70000", "over 64 KiB"; "too large a value")]
#[test_case("zipf: 1.2", "bytes: {median: 10, p99: 5}", "must rise"; "sizes upside down")]
#[test_case("share: 3", "follows: {of: 'read', think_ms: 5}", "workloads.follows"; "it follows itself")]
#[test_case("phases: [{", "retries: {base_ms: 9, most_ms: 1}, phases: [{", "retries.base_ms"; "a pause that shrinks")]
#[test_case("phases: [{", "phases: [{together: {statements: 0, within_ms: 1}, ", "phases.together"; "bunches of nobody")]
#[test_case("constant: {per_s: 200}", "release: {base_per_s: 1, peak_per_s: 9, at_ms: 1000, half_ms: 5}", "phases.at_ms"; "a release behind its phase")]
fn wrong_scenarios_are_told_with_their_place(from: &str, to: &str, problem: &str) {
    assert!(SCENARIO.contains(from));
    let fault = Scenario::read(&SCENARIO.replacen(from, to, 1)).unwrap_err();
    assert!(
        fault.problem.contains(problem) && fault.line >= 1,
        "{fault}"
    );
}
