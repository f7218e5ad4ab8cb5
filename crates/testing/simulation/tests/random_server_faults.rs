//! Random faults that strike the database servers and all control machines, alone and overlapping:
//! servers crash, fall silent, are cut off from everybody but their primary, receive nothing, leave
//! in order or without having drained, are lost for good and join; control machines and leaders are
//! killed. The simulation fails on a promotion or a read that lacks an acknowledged commit. Once
//! the last fault is over, writes go on.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use badgerstream_control::NodeId;
use badgerstream_simulation::{Health, ServerRole, Simulation};
use common::{arbtest_budget_ms, steady_simulation};

/// Number of the control machines; their ids begin at 1.
const CONTROL_MACHINES: NodeId = 3;
/// Number of servers that may be lost for good: with more, nobody has what only they had.
const MAX_LOST_SERVERS: usize = 1;
/// Maximum number of faults in a run.
const MAX_FAULTS: usize = 12;
/// Time within which control hears of a new server and has it on its disks, in seconds.
const JOIN_S: f64 = 2.5;
/// Time within which writes go on once all faults are over, in seconds: a member timeout, the end
/// of a drain and a failover.
const RECOVERY_S: f64 = 30.0;

/// A run, and what it has done so far.
struct Run {
    simulation: Simulation,
    next_server: u8,
    lost_servers: usize,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            simulation: steady_simulation(seed),
            next_server: b'd',
            lost_servers: 0,
        }
    }

    /// The servers that haven't left.
    fn present_servers(&self) -> Vec<String> {
        let servers = self.simulation.service.servers.values();
        let present = servers.filter(|server| !server.departed);
        present.map(|server| server.id.clone()).collect()
    }

    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let node = u.int_in_range(1..=CONTROL_MACHINES)?;
        let id = u.choose(&self.present_servers())?.clone();
        let health = self.simulation.server(&id).health;
        let is_cut_off = self.is_cut_off(&id);
        match u.int_in_range(0..=13)? {
            0 => self.kill_control(node),
            1 => self.start_control(node),
            2 => {
                for node in 1..=CONTROL_MACHINES {
                    self.kill_control(node);
                }
                self.wait(u, 1000)?;
                for node in 1..=CONTROL_MACHINES {
                    self.start_control(node);
                }
            }
            3 | 4 => {
                if let Some(leader) = self.simulation.leader() {
                    self.kill_control(leader);
                }
            }
            5 if health == Health::Up => self.simulation.crash(&id),
            6 if health == Health::Up => self.simulation.make_unresponsive(&id),
            7 if health != Health::Up => self.recover(&id),
            8 if !is_cut_off => self.cut_off(&id),
            9 if is_cut_off => self.end_cut(&id),
            10 => {
                let server = self.simulation.server_mut(&id);
                server.receives_nothing = !server.receives_nothing;
            }
            11 => self.simulation.drain(&id),
            12 if !is_cut_off && health == Health::Up => self.leave(u, &id)?,
            13 => self.add_server(),
            _ => {}
        }
        Ok(())
    }

    /// Runs for up to this many milliseconds.
    fn wait(&mut self, u: &mut Unstructured<'_>, max_ms: u16) -> arbitrary::Result<()> {
        let ms = u.int_in_range(0..=max_ms)?;
        self.simulation.run(f64::from(ms) / 1000.0);
        Ok(())
    }

    fn kill_control(&mut self, node: NodeId) {
        if self.simulation.control.machines[&node].controller.is_some() {
            self.simulation.kill(node);
        }
    }

    fn start_control(&mut self, node: NodeId) {
        if self.simulation.control.machines[&node].controller.is_none() {
            self.simulation.start(node);
        }
    }

    fn is_cut_off(&self, id: &str) -> bool {
        self.simulation.service.unresponsive_to_control.contains(id)
    }

    /// Cuts a server off from the control machines and the routers, but not from other servers.
    fn cut_off(&mut self, id: &str) {
        let service = &mut self.simulation.service;
        service.unresponsive_to_control.insert(id.to_owned());
        service.unresponsive_to_routers.insert(id.to_owned());
        self.simulation.server_mut(id).sends_heartbeats = false;
    }

    fn end_cut(&mut self, id: &str) {
        let service = &mut self.simulation.service;
        service.unresponsive_to_control.remove(id);
        service.unresponsive_to_routers.remove(id);
        self.simulation.server_mut(id).sends_heartbeats = true;
    }

    /// Restarts a server, which control then hears of.
    fn recover(&mut self, id: &str) {
        self.end_cut(id);
        self.simulation.recover(id);
    }

    /// Lets a server leave for good: in order, without having drained, or without a word.
    fn leave(&mut self, u: &mut Unstructured<'_>, id: &str) -> arbitrary::Result<()> {
        if self.lost_servers == MAX_LOST_SERVERS {
            return Ok(());
        }
        self.lost_servers += 1;
        match u.int_in_range(0..=2)? {
            0 => {
                self.simulation.drain(id);
                self.wait(u, 7000)?;
                self.simulation.depart(id);
            }
            1 => {
                self.simulation.depart_while_serving(id);
                self.wait(u, 7000)?;
                self.simulation.crash(id);
            }
            _ => {
                self.simulation.crash(id);
                self.simulation.server_mut(id).departed = true;
            }
        }
        Ok(())
    }

    fn add_server(&mut self) {
        let id = char::from(self.next_server).to_string();
        let endpoint = format!("10.0.1.{}:1", self.next_server);
        self.next_server += 1;
        self.simulation
            .add_server(&id, &endpoint, ServerRole::Replica);
        self.simulation.run(JOIN_S);
    }

    /// Ends all faults; servers that left stay away.
    fn end_all_faults(&mut self) {
        for node in 1..=CONTROL_MACHINES {
            self.start_control(node);
        }
        for id in self.present_servers() {
            self.end_cut(&id);
            let server = self.simulation.server_mut(&id);
            server.receives_nothing = false;
            server.draining = false;
            if server.health != Health::Up {
                self.recover(&id);
                self.simulation.run(0.5);
            }
        }
    }
}

fn play(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut run = Run::new(u.int_in_range(0..=1000)?);
    for _ in 0..u.int_in_range(1..=MAX_FAULTS)? {
        run.inject_fault(u)?;
        let max_ms = *u.choose(&[100, 1500, 7000])?;
        run.wait(u, max_ms)?;
    }
    run.end_all_faults();
    run.simulation.run(0.2);
    run.simulation.run_until(
        RECOVERY_S,
        "writes once all faults are over",
        Simulation::acknowledges_writes,
    );
    Ok(())
}

/// Guards against any order of such faults in which silence, absence or forgetting is taken for
/// proof that nobody has a newer commit.
#[test]
fn no_commit_is_lost_by_random_faults_of_servers() {
    arbtest(play)
        .size_min(64)
        .size_max(400)
        .budget_ms(arbtest_budget_ms());
}
