//! Drawn days: the same seed draws the same day, and the bench can read it.

use crate::days::{Day, Site, TRAFFIC_DURATION_S};
use clap::ValueEnum;
use std::collections::HashSet;

const SEEDS: std::ops::Range<u64> = 0..300;

/// The kinds that the bench's `kinds` lists for each of the sites.
const KINDS: [&str; 27] = [
    "ack_lost",
    "after_ack_kill",
    "after_ack_wipe",
    "answer_lost",
    "bad_config",
    "big_config",
    "clock_step",
    "config_race",
    "core_cut",
    "disk_full",
    "disk_slow",
    "disk_stall",
    "herd_kill",
    "hup",
    "node_cut",
    "node_freeze",
    "node_kill",
    "node_slow",
    "primary_cut",
    "release",
    "replace_core",
    "replica_lag",
    "reset_conns",
    "roll_term",
    "seed_turnover",
    "srv_crash",
    "srv_cut",
];

/// Kinds that only the grown site has.
const ONLY_GROWN: [&str; 2] = ["srv_flap", "srv_lying_health"];

fn days(site: Site) -> impl Iterator<Item = Day> {
    SEEDS.map(move |seed| Day::draw(site, seed))
}

#[test]
fn same_seed_draws_the_same_day() {
    for site in Site::value_variants() {
        for day in days(*site).zip(days(*site)) {
            assert_eq!(day.0, day.1);
            assert_eq!(day.0.to_string(), day.1.to_string());
        }
        let texts: HashSet<String> = days(*site).map(|day| day.to_string()).collect();
        assert_eq!(texts.len(), SEEDS.count());
    }
}

/// The full text of one seed: a change of how days are drawn makes the seeds of old reports
/// worthless, and has to say so.
#[test]
fn text_of_a_seed_is_unchanged() {
    assert_eq!(
        Day::draw(Site::Control, 7).to_string(),
        include_str!("day-control-7.toml")
    );
}

#[test]
fn only_known_kinds_are_drawn() {
    for site in Site::value_variants() {
        for day in days(*site) {
            for entry in day.plan().iter().chain(day.faults()) {
                let kind = entry.kind();
                assert!(
                    KINDS.contains(&kind) || ONLY_GROWN.contains(&kind),
                    "{kind}"
                );
                assert!(
                    *site == Site::Grown || !ONLY_GROWN.contains(&kind),
                    "{kind} on {site:?}"
                );
            }
        }
    }
}

#[test]
fn entries_are_in_order_and_within_the_day() {
    for site in Site::value_variants() {
        for day in days(*site) {
            for entries in [day.plan(), day.faults()] {
                assert!(
                    entries.is_sorted_by_key(super::super::days::Entry::at),
                    "{day}"
                );
                assert!(
                    entries
                        .iter()
                        .all(|e| e.at() >= 1.0 && e.at() < TRAFFIC_DURATION_S - 3.0),
                    "{day}"
                );
            }
        }
    }
}

/// Configuration changes go on all day, and several faults begin in the same second.
#[test]
fn faults_strike_in_the_same_second() {
    for site in Site::value_variants() {
        for day in days(*site) {
            assert!(
                day.plan().iter().any(|entry| entry.kind() == "config_race"),
                "{day}"
            );
            let neighbours = day
                .faults()
                .windows(2)
                .filter(|pair| pair[1].at() - pair[0].at() <= 1.0);
            assert!(neighbours.count() >= 1, "{day}");
        }
    }
}

/// Each line is a key with a value, or an entry of a list; brackets, braces and quotes are
/// balanced.
#[test]
fn text_has_the_form_of_a_day() {
    for site in Site::value_variants() {
        for day in days(*site) {
            let text = day.to_string();
            for key in [
                "name = \"",
                "slot = \"trouble\"",
                "seed = ",
                "plan = [",
                "faults = [",
            ] {
                assert_eq!(
                    text.lines().filter(|line| line.starts_with(key)).count(),
                    1,
                    "{key} in {text}"
                );
            }
            assert_eq!(text.matches('"').count() % 2, 0, "{text}");
            for entry in text.lines().filter(|line| line.starts_with("  ")) {
                assert!(
                    entry.starts_with("  { at = ") && entry.ends_with(" },"),
                    "{entry}"
                );
                assert_eq!(entry.matches(['{', '}']).count(), 2, "{entry}");
                assert!(
                    !entry.contains("= ,") && !entry.contains("\"\"") && !entry.contains("  }"),
                    "{entry}"
                );
            }
        }
    }
}
