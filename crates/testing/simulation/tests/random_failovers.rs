//! Random faults of servers, routers and control machines around failovers, in simulated time.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use badgerstream_simulation::{Health, ServerRole, Simulation};
use common::arbtest_budget_ms;

/// A simulation with a random platform, network and kind of servers.
fn random_simulation(u: &mut Unstructured<'_>) -> arbitrary::Result<Simulation> {
    let mut simulation = Simulation::new(u.int_in_range(0..=1000)?);
    simulation.service.reports_highest_term_seen = u.arbitrary()?;
    simulation.service.rejects_repeated_pause = u.arbitrary()?;
    simulation.platform.checks_fencing_tokens = u.arbitrary()?;
    // Zones in one region, or three regions.
    let (message_delay_s, promotion_duration_s) = *u.choose(&[(0.0015, 0.6), (0.012, 0.3)])?;
    simulation.kernel.message_delay_s = message_delay_s;
    simulation.platform.promotion_duration_s = promotion_duration_s;
    simulation.service.command_answers_lost_per_mille = u.int_in_range(0..=60)?;
    simulation.platform.answers_lost_per_mille = u.int_in_range(0..=500)?;
    Ok(simulation)
}

/// Ids for servers that are added, and how many came back with a new one.
struct NewServers {
    next_id: u8,
    restarted_with_new_id: usize,
}

impl NewServers {
    fn take_id(&mut self) -> String {
        let id = char::from(self.next_id).to_string();
        self.next_id += 1;
        id
    }
}

/// One random fault or the end of some, at a random control machine and server.
fn inject_random_fault(
    u: &mut Unstructured<'_>,
    simulation: &mut Simulation,
    new_servers: &mut NewServers,
) -> arbitrary::Result<()> {
    let node = u.int_in_range(1..=3)?;
    let servers = simulation.service.servers.values();
    let present = servers.filter(|server| !server.departed);
    let ids: Vec<String> = present.map(|server| server.id.clone()).collect();
    let id = u.choose(&ids)?.clone();
    let health = simulation.server(&id).health;
    let runs = simulation.control.machines[&node].controller.is_some();
    let is_frozen = simulation.control.machines[&node].frozen;
    match u.int_in_range(0..=14)? {
        0 => simulation.kill(node),
        1 if !runs => simulation.start(node),
        2 if runs => simulation.freeze(node),
        3 if is_frozen => simulation.thaw(node),
        4 if health == Health::Up => simulation.crash(&id),
        5 if health == Health::Up => simulation.make_unresponsive(&id),
        6 if health != Health::Up => simulation.recover(&id),
        7 => {
            let server = simulation.server_mut(&id);
            server.receives_nothing = !server.receives_nothing;
        }
        8 => simulation.drain(&id),
        9 if simulation.server(&id).draining && health == Health::Up => {
            let new_id = new_servers.take_id();
            simulation.depart(&id);
            let endpoint = format!("10.0.1.{}:1", new_servers.next_id);
            simulation.add_server(&new_id, &endpoint, ServerRole::Replica);
        }
        10 => {
            let other = 1 + node % 3;
            simulation.control.network.blocked.insert((node, other));
            if u.arbitrary()? {
                simulation.control.network.blocked.insert((other, node));
            }
        }
        11 => simulation.freeze_router(u.int_in_range(0..=1)?),
        12 => {
            simulation.control.partitioned_from_servers.insert(node);
        }
        13 if health == Health::Down => {
            simulation.recover_with_new_id(&id, &new_servers.take_id());
            new_servers.restarted_with_new_id += 1;
        }
        _ => {
            simulation.heal_all();
            simulation.control.partitioned_from_servers.clear();
            simulation.edge.blocked.clear();
        }
    }
    Ok(())
}

/// Ends all faults; servers that departed stay away.
fn end_all_faults(simulation: &mut Simulation) {
    simulation.heal_all();
    simulation.control.partitioned_from_servers.clear();
    simulation.service.command_answers_lost_per_mille = 0;
    simulation.platform.answers_lost_per_mille = 0;
    for router in 0..2 {
        simulation.thaw_router(router);
    }
    for node in 1..=3 {
        if simulation.control.machines[&node].frozen {
            simulation.thaw(node);
        } else if simulation.control.machines[&node].controller.is_none() {
            simulation.start(node);
        }
    }
    let ids: Vec<String> = simulation.service.servers.keys().cloned().collect();
    for id in ids {
        let server = simulation.server_mut(&id);
        server.receives_nothing = false;
        server.draining = false;
        if !server.departed && server.health != Health::Up {
            simulation.recover(&id);
            simulation.run(0.5);
        }
    }
}

/// All kinds of faults, one after the other: safety is checked at every event, and once all faults
/// have ended writes are acknowledged again.
fn play_random_faults(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut simulation = random_simulation(u)?;
    simulation.run(3.0);
    let mut new_servers = NewServers {
        next_id: b'd',
        restarted_with_new_id: 0,
    };
    for _ in 0..u.int_in_range(1..=8)? {
        inject_random_fault(u, &mut simulation, &mut new_servers)?;
        let wait: u16 = u.int_in_range(0..=1500)?;
        simulation.run(f64::from(wait) / 1000.0);
    }
    end_all_faults(&mut simulation);
    // If two servers departed during faults, nobody can tell which commits only they had.
    let servers = simulation.service.servers.values();
    let departed = servers.filter(|server| server.departed).count();
    if departed < 2 + new_servers.restarted_with_new_id {
        simulation.run(0.2);
        simulation.run_until(
            25.0,
            "writes once all is calm",
            Simulation::acknowledges_writes,
        );
    }
    Ok(())
}

#[test]
fn failover_survives_random_faults() {
    arbtest(play_random_faults)
        .size_min(64)
        .size_max(400)
        .budget_ms(arbtest_budget_ms());
}
