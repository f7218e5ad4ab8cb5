//! Hard cases of coming back: several processes of the router, a store and clients, every link through a relay,
//! faults between them. Verdicts go by the ledger, by counts and by order, never by how long something took. Where
//! a case guards what recovery does, the same script without it must come out differently.

mod rigged;

use badgerstream_process_harness::play::What;
use badgerstream_process_harness::store::{Arrived, Kind};
use rigged::{Played, played, script};
use test_case::test_case;

fn own(more: &str) -> String {
    own_with("handshake_ms: 150", more)
}

fn own_with(handshake: &str, more: &str) -> String {
    let names: Vec<String> = (0..8).map(|router| format!("'router-{router}'")).collect();
    format!(
        "{{recovery: {{routers: [{}], held_field: 'x4', opened_field: 'x5', {handshake}, linger_ms: 1000,
          opens_in_100ms: 2, stood_still_ms: 1500, {more}}}}}",
        names.join(",")
    )
}

const HERD: &str =
    "{at_ms: 2000, do: {kill: {share: 0.7}}}, {at_ms: 2300, within_ms: 50, do: {start: 'down'}}";
const ALL: &str =
    "{at_ms: 2000, do: {kill: 'all'}}, {at_ms: 2300, within_ms: 50, do: {start: 'down'}}";
const AGAIN: &str =
    "{at_ms: 2000, do: {kill: {share: 0.7}}}, {at_ms: 2300, within_ms: 50, do: {start: 'down'}},
    {at_ms: 2500, do: {kill: {share: 0.5}}}, {at_ms: 2700, within_ms: 50, do: {start: 'down'}}";

/// Without recovery each statement that waits asks for a connection of its own, and gives it up while its node
/// still has the work with it.
#[test_case("herd", HERD; "seven in ten")]
#[test_case("all", ALL; "all of them")]
#[test_case("again", AGAIN; "killed again while they come back")]
fn those_who_return_ask_for_less_than_half_of_the_connections(name: &str, steps: &str) {
    let script = script(steps, "");
    let (with, without) = (
        played(name, &script, Some(&own(""))),
        played(&format!("{name}-off"), &script, None),
    );
    with.keeps_the_rules();
    without.keeps_the_rules();
    assert!(with.all_came_back());
    assert!(
        with.said("from sounding to turns") > 0,
        "nobody noticed that others came back, too"
    );
    let (with, without) = (with.opened(), without.opened());
    println!("{name}: {with} connections with it, {without} without");
    assert!(
        with * 2 <= without,
        "{with} connections with it, {without} without"
    );
}

#[test]
fn one_beside_the_others_is_at_full_pace_at_once() {
    let steps = "{at_ms: 2000, do: {kill: {these: [2]}}}, {at_ms: 2300, do: {start: 'down'}}";
    // What a node tells of its connections decides, however long a busy machine takes for a handshake.
    let told = own_with(
        "handshake_ms: 1400, longest_handshake_ms: 1500",
        "sounding_ms: 3000, list_wait_ms: 3000",
    );
    let one = played("one", &script(steps, ""), Some(&told));
    assert!(one.keeps_the_rules().all_came_back());
    let log = &one.logs()[2];
    let back = log.rsplit_once("serves on").map_or("", |(_, rest)| rest);
    assert!(back.contains("from sounding to full"), "{log}");
    assert!(
        !back.contains("to turns"),
        "it took its restart for everybody's: {log}"
    );
}

/// The start list says nothing of a drain that its discovery tells late: nothing is sent before that is heard.
#[test]
fn the_list_comes_before_the_first_statement() {
    let steps = "{at_ms: 2000, do: {store: {drain: {group: 0, member: 1}}}},
        {at_ms: 2600, do: {links: {of: 'lists', way: 'back', fault: {delay_ms: 700}}}},
        {at_ms: 2700, do: {kill: 'all'}}, {at_ms: 2900, within_ms: 50, do: {start: 'down'}}";
    let script = script(steps, "known: 'first',");
    let late = |played: &Played| {
        let started = played
            .evidence
            .deeds
            .iter()
            .find(|d| d.what == What::Started)
            .map_or(0, |d| d.at_us);
        let sent = |a: &&Arrived| a.node == 1 && a.kind == Kind::Statement && a.at_us > started;
        played.evidence.seen.arrivals.iter().filter(sent).count()
    };
    let with = played("list", &script, Some(&own("list_wait_ms: 20000")));
    let without = played("list-off", &script, None);
    assert!(with.keeps_the_rules().all_came_back());
    without.keeps_the_rules();
    assert_eq!(late(&with), 0, "statements to a node that drains");
    assert!(
        late(&without) > 0,
        "without it the start list is believed: the case shows nothing"
    );
}

/// Frozen at the list of before the crash, which shows a drain; the primary of the other group changes meanwhile.
#[test]
fn a_frozen_list_is_all_that_there_is_to_go_by() {
    let steps =
        "{at_ms: 2000, do: {store: {drain: {group: 0, member: 1}}}}, {at_ms: 2600, do: {store: 'freeze'}},
        {at_ms: 2700, do: {kill: 'all'}}, {at_ms: 2750, do: {store: {kill: {group: 1}}}},
        {at_ms: 2850, do: {store: {promote: {group: 1}}}}, {at_ms: 2900, within_ms: 50, do: {start: 'down'}},
        {at_ms: 3200, do: {store: {restart: {group: 1}}}}, {at_ms: 5000, do: {store: 'thaw'}}";
    let frozen = played("frozen", &script(steps, ""), Some(&own("")));
    assert!(frozen.keeps_the_rules().all_came_back());
    let started = frozen
        .evidence
        .deeds
        .iter()
        .find(|d| d.what == What::Started)
        .map_or(0, |d| d.at_us);
    let to_it = frozen
        .evidence
        .seen
        .arrivals
        .iter()
        .filter(|a| a.node == 1 && a.at_us > started);
    assert_eq!(
        to_it.filter(|a| a.kind == Kind::Statement).count(),
        0,
        "the start list shows that it drains"
    );
    assert!(
        !frozen.evidence.seen.born.is_empty(),
        "no node started cold: the case shows nothing"
    );
}

#[test]
fn without_discovery_the_start_list_has_to_do() {
    let steps = "{at_ms: 2000, do: {links: {of: 'lists', fault: 'refuse', for_ms: 4000}}},
        {at_ms: 2000, do: {links: {of: 'lists', fault: 'reset', for_ms: 50}}},
        {at_ms: 2100, do: {links: {of: 'lists', fault: 'refuse', for_ms: 4000}}},
        {at_ms: 2200, do: {kill: 'all'}}, {at_ms: 2400, within_ms: 50, do: {start: 'down'}}";
    let alone = played("unreached", &script(steps, ""), Some(&own("")));
    assert!(alone.keeps_the_rules().all_came_back());
    assert_eq!(
        alone.said("from listing to turns"),
        8,
        "each waits for its time, then goes by what it was told"
    );
    let healed = alone
        .evidence
        .deeds
        .iter()
        .rfind(|d| d.what == What::Healed)
        .map_or(0, |d| d.at_us);
    let sent = alone
        .evidence
        .seen
        .arrivals
        .iter()
        .filter(|a| a.kind == Kind::Statement && a.at_us < healed);
    assert!(
        sent.filter(|a| a.at_us > alone.fault() + 500_000).count() > 100,
        "it did not serve without discovery"
    );
}

/// Half of the routers stand still; what drained meanwhile lies in their sockets when they go on.
#[test]
fn a_standstill_is_a_start() {
    let steps =
        "{at_ms: 2000, do: {stop: {share: 0.5}}}, {at_ms: 2300, do: {store: {drain: {group: 0, member: 2}}}},
        {at_ms: 4200, do: {continue: 'same'}}";
    let stopped = played("pause", &script(steps, ""), Some(&own("")));
    stopped.keeps_the_rules();
    assert!(
        stopped.said("stood still") >= 4,
        "each of the four notices it"
    );
    let went_on: Vec<_> = stopped
        .evidence
        .deeds
        .iter()
        .filter(|d| d.what == What::Continued)
        .collect();
    for deed in went_on {
        let after = |a: &&Arrived| {
            a.router == deed.router && a.at_us > deed.at_us && a.kind == Kind::Statement
        };
        let sent: Vec<_> = stopped
            .evidence
            .seen
            .arrivals
            .iter()
            .filter(after)
            .collect();
        assert!(
            sent.iter().all(|a| a.node != 2),
            "router {:?} went by an old list",
            deed.router
        );
        assert!(
            !sent.is_empty(),
            "router {:?} did not come back",
            deed.router
        );
    }
}

#[test_case("{of: 'nodes', nodes: {share: 0.34}, way: 'back', fault: 'drop', for_ms: 1500}"; "answers of a third are lost")]
#[test_case("{of: 'nodes', way: 'back', fault: 'stall', for_ms: 1500}"; "every answer is held, then all come")]
#[test_case("{of: 'lists', way: 'back', fault: {cut_after: 500}, for_ms: 1500}"; "half a list, and the connection breaks")]
#[test_case("{of: 'lists', way: 'back', fault: 'stall', for_ms: 1500}"; "discovery says nothing")]
#[test_case("{of: 'nodes', routers: {share: 0.5}, nodes: {these: [0, 1, 3]}, fault: 'drop', for_ms: 1500}"; "a partition")]
#[test_case("{of: 'nodes', fault: {delay_ms: 30}, for_ms: 1500}"; "every link is slow")]
fn links_break_while_they_come_back(links: &str) {
    let steps = format!("{{at_ms: 2200, do: {{links: {links}}}}}, {HERD}");
    let name: String = links.chars().filter(char::is_ascii_alphanumeric).collect();
    let script = script(&steps, "");
    let broken = played(&name, &script, Some(&own("")));
    assert!(broken.keeps_the_rules().all_came_back());
    let without = played(&format!("{name}-off"), &script, None);
    without.keeps_the_rules();
    let (with, without) = (broken.opened(), without.opened());
    println!("{links}: {with} connections with it, {without} without");
    assert!(
        with < without,
        "{with} connections with it, {without} without"
    );
}

#[test]
fn a_rolling_restart_goes_through_a_change_of_primary() {
    let turn = |i: u64| {
        let (end, start) = (2000 + i * 350, 3000 + i * 350);
        format!(
            "{{at_ms: {end}, do: {{end: {{these: [{i}]}}}}}}, {{at_ms: {start}, do: {{start: {{these: [{i}]}}}}}},"
        )
    };
    let steps = (0..8).map(turn).collect::<String>()
        + "{at_ms: 3000, do: {store: {drain: {group: 0}}}}, {at_ms: 3400, do: {store: {promote: {group: 0}}}},
           {at_ms: 3700, do: {store: {end_drain: {group: 0}}}}";
    let roll = played("roll", &script(&steps, ""), Some(&own("")));
    assert!(roll.keeps_the_rules().all_came_back());
}

#[test]
fn one_that_dies_at_every_start_harms_nobody_else() {
    let turn = |i: u64| {
        let (start, kill) = (2200 + i * 300, 2320 + i * 300);
        format!(
            "{{at_ms: {start}, do: {{start: {{these: [5]}}}}}}, {{at_ms: {kill}, do: {{kill: {{these: [5]}}}}}},"
        )
    };
    let steps = format!(
        "{{at_ms: 2000, do: {{kill: {{these: [5]}}}}}}, {}",
        (0..8).map(turn).collect::<String>()
    );
    let dying = played("dying", &script(&steps, ""), Some(&own("")));
    dying.keeps_the_rules();
    let log = dying.logs();
    let others = log.iter().enumerate().filter(|(router, _)| *router != 5);
    // Each came to full pace once, at the beginning, and stayed there, unless the machine stood still.
    for (router, log) in others {
        let starts = 1 + log.matches("stood still").count();
        assert!(
            (1..=starts).contains(&log.matches("to full").count()),
            "router {router}: {log}"
        );
    }
}

/// Nodes that hold no more connections than the fleet needs: who did not restart gives back what it took on.
#[test]
fn survivors_give_up_what_they_took_on() {
    let full = script(HERD, "").store;
    let mut tight = script(HERD, "");
    tight.store = badgerstream_process_harness::script::Store {
        connections: 12,
        ..full
    };
    let with = played("tight", &tight, Some(&own("surplus_ms: 500")));
    assert!(with.keeps_the_rules().all_came_back());
    let without = played("tight-off", &tight, None);
    let turned_away = |played: &Played| played.verdict.figures.turned_away;
    println!(
        "turned away: {} with it, {} without",
        turned_away(&with),
        turned_away(&without)
    );
    assert!(
        turned_away(&with) < turned_away(&without),
        "{} and {}",
        turned_away(&with),
        turned_away(&without)
    );
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let script = script(AGAIN, "");
    let plans: Vec<_> = (0..20).map(|_| script.draw(7)).collect();
    assert!(plans.iter().all(|plan| *plan == plans[0]) && !plans[0].is_empty());
    assert_ne!(script.draw(8), plans[0]);
}
