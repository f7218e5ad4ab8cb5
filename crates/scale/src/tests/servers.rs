//! Hollow servers answer as the users' databases do, as far as control asks.

use crate::plan::{Net, Plan};
use crate::servers::World;
use badgerstream_node::server_queries::read_row;

fn world() -> (World, Vec<String>) {
    let servers = Plan::new(Net([127, 9]), 1, 2, Vec::new()).unwrap().servers();
    (World::new(&servers), servers.into_iter().map(|s| s.id).collect())
}

fn row(world: &mut World, id: &str, statement: &str) -> badgerstream_control::Row {
    read_row(world.ask(id, statement).unwrap().as_bytes()).unwrap()
}

#[test]
fn control_reads_their_rows() {
    let (mut world, ids) = world();
    let first = row(&mut world, &ids[0], "STATUS");
    assert!(first.leader && first.term == 1 && first.held == 0);
    assert!(!row(&mut world, &ids[1], "STATUS").leader);
    assert_eq!(world.ask(&ids[0], "FETCH x"), None);
    assert_eq!(world.ask("nobody", "STATUS"), None);
}

/// A pause raises what a replica holds, never its term, and says nothing to a primary.
#[test]
fn pauses_are_held_until_resumed() {
    let (mut world, ids) = world();
    assert_eq!(row(&mut world, &ids[0], "PAUSE 9").held, 0);
    assert_eq!(row(&mut world, &ids[1], "PAUSE 9").held, 9);
    assert_eq!(row(&mut world, &ids[1], "PAUSE 4").held, 9);
    let after = row(&mut world, &ids[1], "RESUME");
    assert_eq!((after.held, after.term), (0, 1));
}

/// The next term is above all that was held; the other service goes on as it was.
#[test]
fn a_promoted_server_leads_the_next_term_alone() {
    let (mut world, ids) = world();
    world.crash(&ids[0]);
    row(&mut world, &ids[2], "PAUSE 5");
    assert!(world.promote(&ids[1]) && world.promote(&ids[1]) && !world.promote(&ids[0]));
    let (new, other) = (row(&mut world, &ids[1], "STATUS"), row(&mut world, &ids[2], "STATUS"));
    assert!(new.leader && !other.leader);
    assert_eq!((new.term, other.term, other.held), (6, 6, 0));
    let elsewhere = row(&mut world, &ids[3], "STATUS");
    assert!(elsewhere.leader && elsewhere.term == 1);
}

/// Steps down only for a higher term.
#[test]
fn a_primary_steps_down_for_a_higher_term_only() {
    let (mut world, ids) = world();
    assert!(row(&mut world, &ids[0], "STEPDOWN 1").leader);
    assert!(!row(&mut world, &ids[0], "STEPDOWN 2").leader);
}
