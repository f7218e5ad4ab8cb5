//! Choices that add up, between several processes of the router with faults between them. Verdicts go by the ledger
//! and by counts; each case is played without our settings, too, where it guards a bound, and must come out
//! differently.

mod rigged;

use badgerstream_process_harness::play::What;
use badgerstream_process_harness::script::Script;
use badgerstream_process_harness::store::{Arrived, Kind};
use rigged::{Played, SEED, played, played_with, script, script_of};
use std::collections::BTreeSet;
use std::thread;

fn names(count: usize) -> String {
    (0..count)
        .map(|router| format!("'router-{router}'"))
        .collect::<Vec<_>>()
        .join(",")
}

/// Named routers, replicas kept to one by one, and budgets as low as a case needs them.
fn own(more: &str) -> String {
    format!(
        "{{fleet: {{routers: [{}], held_field: 'x4', subset: 1, little_per_s: 1000, {more}}}}}",
        names(8)
    )
}

/// With our settings and without, the rules kept by both.
fn both(name: &str, script: &Script, more: &str) -> (Played, Played) {
    both_with(SEED, name, script, more)
}

fn both_with(seed: u64, name: &str, script: &Script, more: &str) -> (Played, Played) {
    let with = played_with(seed, name, script, Some(&own(more)));
    let without = played_with(seed, &format!("{name}-off"), script, None);
    with.keeps_the_rules();
    without.keeps_the_rules();
    (with, without)
}

#[test]
fn who_has_little_traffic_keeps_to_its_replicas() {
    let (with, without) = both("subset", &script("", ""), "");
    let (with, without) = (
        with.verdict.figures.pairs_calm,
        without.verdict.figures.pairs_calm,
    );
    println!("pairs: {with} with it, {without} without");
    // Two groups of a primary and two replicas: four nodes a router instead of six, and a few more by chance.
    assert!(with < without, "{with} pairs with it, {without} without");
}

/// Half of the routers lose the answers of half of the nodes, and these of the other half: each side believes that
/// it is all.
#[test]
fn probes_of_both_sides_of_a_split_stay_under_the_budget() {
    let steps =
        "{at_ms: 2000, do: {links: {of: 'nodes', routers: {these: [0, 2, 4, 6]}, nodes: {these: [0, 2, 4]},
            fault: 'drop', for_ms: 2500}}},
        {at_ms: 2000, do: {links: {of: 'nodes', routers: {these: [1, 3, 5, 7]}, nodes: {these: [1, 3, 5]},
            fault: 'drop', for_ms: 2500}}}";
    let (with, without) = both(
        "split",
        &script(steps, ""),
        "searches_per_s: 4, idle_probes_per_s: 1",
    );
    // Five a second at each of six nodes over seven seconds, and a slot at each end.
    let budget = 5 * 6 * 7 + 2 * 6 * 2;
    let probes = |played: &Played| played.verdict.figures.probes;
    println!(
        "probes: {} with it, {} without",
        probes(&with),
        probes(&without)
    );
    assert!(
        probes(&with) <= budget,
        "{} probes, {budget} are allowed",
        probes(&with)
    );
    assert!(
        probes(&with) < probes(&without),
        "{} and {}",
        probes(&with),
        probes(&without)
    );
    assert!(with.all_came_back());
}

/// A node hangs, and whose turn it is to try it may be stopped: the others are back at it in any case.
#[test]
fn turns_pass_on_from_who_is_stopped() {
    let steps = "{at_ms: 2000, do: {store: {hang: {group: 0, member: 2}}}},
        {at_ms: 2100, do: {stop: {these: [1, 5]}}},
        {at_ms: 3500, do: {store: {wake: {group: 0, member: 2}}}},
        {at_ms: 6500, do: {continue: 'same'}}";
    // All have all replicas here: who keeps to others would not come back to this one.
    let own = format!("{{fleet: {{routers: [{}], trials_per_s: 8}}}}", names(8));
    // A suspect's next trial may be four seconds behind its last, and then waits for its turn and for a read.
    let mut script = script(steps, "");
    script.for_ms = 14_000;
    let stopped = played("stopped", &script, Some(&own));
    stopped.keeps_the_rules();
    let woke = stopped
        .evidence
        .deeds
        .iter()
        .find(|d| d.told.contains("wake"))
        .map_or(u64::MAX, |d| d.at_us);
    for router in [0, 2, 3, 4, 6, 7] {
        let back = |a: &&Arrived| {
            a.router == Some(router) && a.node == 2 && a.kind == Kind::Statement && a.at_us > woke
        };
        assert!(
            stopped.evidence.seen.arrivals.iter().any(|a| back(&a)),
            "router {router} never came back to it"
        );
    }
}

/// From three routers to twelve within half a second, then down to three: by what nodes tell, not by the settings.
#[test]
fn a_fleet_that_grows_and_shrinks_is_counted() {
    let rest: Vec<String> = (3..12).map(|router| router.to_string()).collect();
    let steps = format!(
        "{{at_ms: 2000, within_ms: 500, do: {{start: 'down'}}}},
         {{at_ms: 5500, do: {{kill: {{these: [{}]}}}}}}",
        rest.join(",")
    );
    let mut grows = script_of(12, &steps, "up: 3, told: 3,");
    grows.for_ms = 9500;
    let seen = played(
        "grows",
        &grows,
        Some("{fleet: {held_field: 'x4', forget_ms: 1500}}"),
    );
    let blind = played("grows-blind", &grows, Some("{fleet: {forget_ms: 1500}}"));
    seen.keeps_the_rules();
    blind.keeps_the_rules();
    assert!(
        seen.said("routers live") > 0,
        "nobody noticed that the fleet grew"
    );
    assert_eq!(
        blind.said("routers live"),
        0,
        "without the nodes' word there is nothing to go by"
    );
    let survivors = &seen.logs()[..3];
    let last = |log: &String| {
        log.lines()
            .rfind(|line| line.contains("routers live"))
            .map(str::to_string)
    };
    let counts = survivors.iter().filter_map(last).filter_map(|line| {
        line.split_once("fleet: ")?
            .1
            .split(' ')
            .next()?
            .parse::<u32>()
            .ok()
    });
    let counts: Vec<u32> = counts.collect();
    assert!(
        !counts.is_empty() && counts.iter().all(|count| *count < 9),
        "the dead are counted: {counts:?}"
    );
    // Each that was started had its share of the clients.
    let started = seen
        .evidence
        .deeds
        .iter()
        .filter(|d| d.what == What::Started && d.router >= Some(3));
    for deed in started {
        let served = |a: &&Arrived| a.router == deed.router && a.kind == Kind::Statement;
        assert!(
            seen.evidence.seen.arrivals.iter().any(|a| served(&a)),
            "router {:?} had no share",
            deed.router
        );
    }
}

/// A third of the routers and a node of each group are lost and come back, the nodes cold.
#[test]
fn a_zone_that_is_lost_and_comes_back_tips_nothing_over() {
    let steps = "{at_ms: 2000, do: {kill: {these: [0, 3, 6]}}},
        {at_ms: 2000, do: {store: {kill: {group: 0, member: 2}}}},
        {at_ms: 2000, do: {store: {kill: {group: 1, member: 2}}}},
        {at_ms: 3500, within_ms: 100, do: {start: 'down'}},
        {at_ms: 3500, do: {store: {restart: {group: 0}}}}, {at_ms: 3500, do: {store: {restart: {group: 1}}}}";
    let script = script(steps, "");
    // One play's probes are few and go by chance: what three plays of each come to is compared.
    let pair = |seed: u64| {
        both_with(
            seed,
            &format!("zone-{seed}"),
            &script,
            "first_sends_per_s: 8",
        )
    };
    let pairs: Vec<(Played, Played)> = thread::scope(|scope| {
        let playing: Vec<_> = (SEED..SEED + 3)
            .map(|seed| scope.spawn(move || pair(seed)))
            .collect();
        playing
            .into_iter()
            .map(|pair| pair.join().unwrap())
            .collect()
    });
    let (mut with_it, mut without_it) = (0, 0);
    for (with, without) in &pairs {
        assert!(with.all_came_back() && without.all_came_back());
        assert!(
            !with.evidence.seen.born.is_empty(),
            "no node started cold: the case shows nothing"
        );
        // Within the time in which it would fall a new node is sent to by no more routers than have had a turn.
        let probes = |played: &Played| played.verdict.figures.probes;
        println!(
            "probes: {} with it, {} without",
            probes(with),
            probes(without)
        );
        println!(
            "connections behind the fault: {} with it, {} without",
            with.opened(),
            without.opened()
        );
        (with_it, without_it) = (with_it + probes(with), without_it + probes(without));
    }
    assert!(
        with_it < without_it,
        "{with_it} probes with it, {without_it} without"
    );
}

/// Answers of a third of the nodes are lost for a while: executions are late, and copies and repeats stay a share of
/// what is done in any case.
#[test]
fn copies_and_repeats_stay_a_share_of_all() {
    let steps = "{at_ms: 2000, do: {links: {of: 'nodes', nodes: {share: 0.34}, way: 'back', fault: 'drop', for_ms: 2500}}}";
    let (with, without) = both(
        "oneway",
        &script(steps, ""),
        "copies: 0.004, repeats: 0.004",
    );
    // Executions behind the first one of the same statement, and statements that were executed at all.
    let again = |played: &Played| {
        let sent = played
            .evidence
            .seen
            .arrivals
            .iter()
            .filter(|a| a.kind == Kind::Statement);
        let ids: BTreeSet<&str> = sent.clone().map(|a| a.id.as_str()).collect();
        (sent.count() - ids.len(), ids.len())
    };
    let ((with, of), (without, _)) = (again(&with), again(&without));
    println!("executions again: {with} of {of} with it, {without} without");
    // Four in a thousand of each.
    assert!(
        with * 100 <= of,
        "{with} executions again, of {of} statements"
    );
    assert!(
        with < without,
        "{with} executions again with it, {without} without"
    );
}
