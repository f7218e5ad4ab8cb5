//! Runs with random faults of database servers, and of the control machines beside them.
//!
//! Servers crash, fall silent, are cut off from everybody but each other, receive nothing, are
//! replaced at their address, leave, are lost for good and join; control machines, above all the leader, are killed, alone or
//! all at once. Faults come alone, overlapping, and aimed at one moment. The servers fail the run on
//! a promotion or a read that lacks an acknowledged commit. Writes must go on once the last fault is
//! over, so waiting for ever is a failure too.
//!
//! Misleading faults, which [`ServerFaultRun::with_misleading_faults`] adds, make a part of the
//! system look other than it is: a server that receives the log and that control has not heard of,
//! a cut that refuses connections as a crashed server does, and a platform that runs a call after
//! its caller has given it up.

use super::INJECTOR_SEED_MASK;
use crate::health::Health;
use crate::kernel::RandomSource;
use crate::service::ServerRole;
use crate::simulation::Simulation;
use badgerstream_control::NodeId;
use std::collections::BTreeSet;

/// Number of control machines; their ids begin at 1.
const CONTROL_MACHINES: NodeId = 3;
/// Number of servers that may be lost for good: what more of them had alone, nobody has.
const MAX_LOST_SERVERS: usize = 1;
/// Maximum number of servers that join, or come back under another id.
const MAX_NEW_IDS: u8 = 12;
/// Time until the first fault, in seconds.
const STARTUP_S: f64 = 8.0;
/// Time within which control hears of a new server and has it on its disks, in seconds.
const JOIN_S: f64 = 2.5;
/// Maximum pauses between two faults, in seconds: a burst, the time of a failover, and more than
/// the member timeout.
const MAX_PAUSES_S: [f64; 3] = [0.1, 1.5, 7.0];
/// Maximum time for which a leaving server serves on, in seconds.
const MAX_LEAVING_S: f64 = 7.0;
/// Maximum time until the successor of a server at its address starts, in seconds.
const MAX_RESTART_S: f64 = 3.0;
/// Maximum time for which all control machines are down, in seconds.
const MAX_CONTROL_OUTAGE_S: f64 = 1.0;
/// Time within which writes go on once all faults are over, in seconds: the election of a leader, a
/// member timeout, the rest of a drain, and a failover.
const RECOVERY_S: f64 = 30.0;
/// Mean one-way delay of a message between regions, in seconds. Runs with odd seeds use it.
const MULTI_REGION_DELAY_S: f64 = 0.012;

/// Times by which servers receive the log later than others, in seconds.
const RECEIVE_DELAYS_S: [f64; 3] = [0.0, 0.03, 0.09];
/// The probability that a slow platform runs a call late, in thousandths.
const SLOW_PLATFORM_LATE_RUNS_PER_MILLE: u64 = 700;

/// A fault of a database server or of control machines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerFault {
    KillControl,
    StartControl,
    KillLeader,
    RestartAllControl,
    Crash,
    Silence,
    Recover,
    CutOff,
    EndCut,
    StopReceiving,
    Receive,
    Restart,
    LeaveInOrder,
    LeaveUndrained,
    LoseForGood,
    Join,
    CutOffRefusing,
    JoinUnheard,
    Announce,
    SlowPlatform,
    PunctualPlatform,
}

impl ServerFault {
    const ALL: [ServerFault; 16] = [
        ServerFault::KillControl,
        ServerFault::StartControl,
        ServerFault::KillLeader,
        ServerFault::RestartAllControl,
        ServerFault::Crash,
        ServerFault::Silence,
        ServerFault::Recover,
        ServerFault::CutOff,
        ServerFault::EndCut,
        ServerFault::StopReceiving,
        ServerFault::Receive,
        ServerFault::Restart,
        ServerFault::LeaveInOrder,
        ServerFault::LeaveUndrained,
        ServerFault::LoseForGood,
        ServerFault::Join,
    ];

    /// The faults of a run with misleading ones. Some come more often than the others.
    const WITH_MISLEADING: [ServerFault; 30] = [
        ServerFault::KillControl,
        ServerFault::StartControl,
        ServerFault::KillLeader,
        ServerFault::RestartAllControl,
        ServerFault::Crash,
        ServerFault::Crash,
        ServerFault::Silence,
        ServerFault::Recover,
        ServerFault::Recover,
        ServerFault::CutOff,
        ServerFault::EndCut,
        ServerFault::EndCut,
        ServerFault::StopReceiving,
        ServerFault::Receive,
        ServerFault::Receive,
        ServerFault::Restart,
        ServerFault::Restart,
        ServerFault::Restart,
        ServerFault::LeaveInOrder,
        ServerFault::LeaveUndrained,
        ServerFault::LoseForGood,
        ServerFault::Join,
        ServerFault::CutOffRefusing,
        ServerFault::CutOffRefusing,
        ServerFault::CutOffRefusing,
        ServerFault::JoinUnheard,
        ServerFault::JoinUnheard,
        ServerFault::Announce,
        ServerFault::SlowPlatform,
        ServerFault::PunctualPlatform,
    ];

    /// Returns whether the fault may take away what a primary has alone.
    fn takes_server_away(self) -> bool {
        matches!(
            self,
            ServerFault::Crash
                | ServerFault::Silence
                | ServerFault::CutOff
                | ServerFault::CutOffRefusing
                | ServerFault::LoseForGood
                | ServerFault::LeaveInOrder
                | ServerFault::LeaveUndrained
        )
    }

    fn strikes_control(self) -> bool {
        matches!(
            self,
            ServerFault::KillControl
                | ServerFault::StartControl
                | ServerFault::KillLeader
                | ServerFault::RestartAllControl
        )
    }
}

/// A simulation of one service whose servers have random faults. A write is acknowledged once the
/// primary and one replica have it.
pub struct ServerFaultRun {
    /// The simulation.
    pub simulation: Simulation,
    random: RandomSource,
    new_ids: u8,
    lost_servers: usize,
    /// The faults that are drawn.
    faults: &'static [ServerFault],
    /// Servers that have the log and that control has not heard of.
    unheard: BTreeSet<String>,
    /// The faults so far with their times, for failure messages.
    pub fault_log: Vec<String>,
}

impl ServerFaultRun {
    /// Creates a run. The seed also selects the platform and the delays.
    pub fn new(seed: u64) -> ServerFaultRun {
        let mut simulation = Simulation::new(seed);
        simulation.platform.checks_fencing_tokens = seed % 4 < 2;
        simulation.platform.answers_lost_per_mille = (seed % 5) * 60;
        simulation.service.command_answers_lost_per_mille = (seed % 3) * 20;
        if !seed.is_multiple_of(2) {
            simulation.kernel.message_delay_s = MULTI_REGION_DELAY_S;
        }
        ServerFaultRun {
            simulation,
            random: RandomSource::new(seed ^ INJECTOR_SEED_MASK),
            new_ids: 0,
            lost_servers: 0,
            faults: &ServerFault::ALL,
            unheard: BTreeSet::new(),
            fault_log: Vec::new(),
        }
    }

    /// Creates a run in which misleading faults are drawn among the others, and servers receive the
    /// log at different times.
    pub fn with_misleading_faults(seed: u64) -> ServerFaultRun {
        let mut run = ServerFaultRun::new(seed);
        run.faults = &ServerFault::WITH_MISLEADING;
        for id in run.present_servers() {
            run.delay_log(&id);
        }
        run
    }

    /// Injects faults for this many seconds of simulated time, and then ends them all.
    ///
    /// # Panics
    ///
    /// If an acknowledged commit is lost or missing in a read, or writes don't go on in the end.
    pub fn play(&mut self, seconds: f64) {
        self.simulation.run(STARTUP_S);
        let until = self.simulation.now() + seconds;
        while self.simulation.now() < until {
            self.inject();
            let max_pause_s = self.random.pick(&MAX_PAUSES_S).unwrap_or(0.0);
            self.wait(max_pause_s);
        }
        self.end_all_faults();
        self.simulation.run_until(
            RECOVERY_S,
            "writes once all faults are over",
            Simulation::acknowledges_writes,
        );
    }

    fn wait(&mut self, max_seconds: f64) {
        let seconds = self.random.between(0.0, max_seconds);
        self.simulation.run(seconds);
    }

    /// Injects one fault, if it makes sense for the server or the machine that is drawn.
    fn inject(&mut self) {
        let fault = self.random.pick(self.faults);
        let server = self.random.pick(&self.present_servers());
        let node = 1 + self.random.below(u64::from(CONTROL_MACHINES)) as NodeId;
        let (Some(fault), Some(id)) = (fault, server) else {
            return;
        };
        if fault.strikes_control() {
            self.log_fault(format!("{fault:?} {node}"));
            self.inject_on_control(fault, node);
        } else if self.may_strike(fault, &id) {
            let subject = if fault == ServerFault::Join { "" } else { &id };
            self.log_fault(format!("{fault:?} {subject}"));
            self.inject_on_server(fault, &id);
        }
    }

    /// Returns whether the server is in a state in which it may have the fault.
    fn may_strike(&self, fault: ServerFault, id: &str) -> bool {
        let server = self.simulation.server(id);
        let is_up = server.health == Health::Up;
        let is_cut_off = self.is_cut_off(id);
        let is_unheard = self.unheard.contains(id);
        // Commits that only a primary and a server unheard of by control have are lost with the
        // primary, if it doesn't return.
        if is_unheard && fault != ServerFault::Announce
            || !self.unheard.is_empty() && server.is_primary && fault.takes_server_away()
        {
            return false;
        }
        match fault {
            ServerFault::Announce => is_unheard,
            ServerFault::CutOffRefusing => is_up && !is_cut_off,
            ServerFault::SlowPlatform | ServerFault::PunctualPlatform => true,
            ServerFault::Crash | ServerFault::Silence => is_up,
            ServerFault::Recover => !is_up,
            ServerFault::CutOff => !is_cut_off,
            ServerFault::EndCut => is_cut_off,
            ServerFault::StopReceiving => !server.receives_nothing,
            ServerFault::Receive => server.receives_nothing,
            ServerFault::Restart => is_up && !is_cut_off && self.new_ids < MAX_NEW_IDS,
            ServerFault::LeaveInOrder | ServerFault::LeaveUndrained | ServerFault::LoseForGood => {
                is_up && !is_cut_off && self.lost_servers < MAX_LOST_SERVERS
            }
            // While its primary is cut off a server may have commits before control hears of it.
            ServerFault::Join => {
                self.new_ids < MAX_NEW_IDS && self.simulation.primary_in_use().is_some()
            }
            ServerFault::JoinUnheard => {
                let primary = self.simulation.primary_in_use();
                self.new_ids < MAX_NEW_IDS && primary.is_some_and(|id| !self.is_cut_off(&id))
            }
            _ => false,
        }
    }

    fn inject_on_control(&mut self, fault: ServerFault, node: NodeId) {
        match fault {
            ServerFault::KillControl => self.kill_control(node),
            ServerFault::StartControl => self.start_control(node),
            ServerFault::KillLeader => {
                if let Some(leader) = self.simulation.leader() {
                    self.kill_control(leader);
                }
            }
            _ => {
                for node in 1..=CONTROL_MACHINES {
                    self.kill_control(node);
                }
                self.wait(MAX_CONTROL_OUTAGE_S);
                for node in 1..=CONTROL_MACHINES {
                    self.start_control(node);
                }
            }
        }
    }

    fn inject_on_server(&mut self, fault: ServerFault, id: &str) {
        match fault {
            ServerFault::Crash => self.simulation.crash(id),
            ServerFault::Silence => self.simulation.make_unresponsive(id),
            ServerFault::Recover => self.recover(id),
            ServerFault::CutOff => self.simulation.cut_off_server(id),
            ServerFault::EndCut => self.simulation.end_cut_of_server(id),
            ServerFault::StopReceiving => self.simulation.server_mut(id).receives_nothing = true,
            ServerFault::Receive => self.simulation.server_mut(id).receives_nothing = false,
            ServerFault::Restart => self.restart(id),
            ServerFault::Join => self.join(),
            ServerFault::JoinUnheard => self.join_unheard(),
            ServerFault::Announce => self.announce(id),
            ServerFault::CutOffRefusing => self.simulation.cut_off_server_refusing(id),
            ServerFault::SlowPlatform => {
                self.simulation.platform.late_runs_per_mille = SLOW_PLATFORM_LATE_RUNS_PER_MILLE;
            }
            ServerFault::PunctualPlatform => self.simulation.platform.late_runs_per_mille = 0,
            _ => self.leave(fault, id),
        }
    }

    /// Returns the servers that haven't left.
    fn present_servers(&self) -> Vec<String> {
        let servers = self.simulation.service.servers.values();
        let present = servers.filter(|server| !server.departed);
        present.map(|server| server.id.clone()).collect()
    }

    fn log_fault(&mut self, text: String) {
        let now = self.simulation.now();
        self.fault_log.push(format!("{now:.3} {text}"));
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
        self.simulation.service.unresponsive_to_routers.contains(id)
    }

    /// Restarts a server. Control hears of it: a server that starts while it is cut off can't be
    /// told from one that never existed.
    fn recover(&mut self, id: &str) {
        self.simulation.end_cut_of_server(id);
        self.simulation.recover(id);
    }

    fn leave(&mut self, fault: ServerFault, id: &str) {
        self.lost_servers += 1;
        match fault {
            ServerFault::LeaveInOrder => {
                self.simulation.drain(id);
                self.wait(MAX_LEAVING_S);
                self.simulation.depart(id);
            }
            ServerFault::LeaveUndrained => {
                self.simulation.depart_while_serving(id);
                self.wait(MAX_LEAVING_S);
                self.simulation.crash(id);
            }
            _ => {
                self.simulation.crash(id);
                self.simulation.server_mut(id).departed = true;
            }
        }
    }

    /// Replaces a server in order by another one at its address, with its log.
    fn restart(&mut self, id: &str) {
        self.simulation.drain(id);
        self.wait(MAX_LEAVING_S);
        self.simulation.depart(id);
        self.wait(MAX_RESTART_S);
        let new_id = self.take_new_id();
        self.simulation.recover_with_new_id(id, &new_id);
        self.simulation.run(JOIN_S);
    }

    fn join(&mut self) {
        self.add_replica();
        self.simulation.run(JOIN_S);
    }

    /// Adds a server that receives the log at once and whose first heartbeat is late.
    fn join_unheard(&mut self) {
        let id = self.add_replica();
        self.simulation.server_mut(&id).sends_heartbeats = false;
        self.unheard.insert(id);
    }

    /// Lets control hear of a server.
    fn announce(&mut self, id: &str) {
        self.simulation.server_mut(id).sends_heartbeats = true;
        self.simulation.run(JOIN_S);
        self.unheard.remove(id);
    }

    fn add_replica(&mut self) -> String {
        let id = self.take_new_id();
        let endpoint = format!("10.0.1.{}:1", self.new_ids);
        self.simulation
            .add_server(&id, &endpoint, ServerRole::Replica);
        self.delay_log(&id);
        id
    }

    /// Draws by how much later than others this server receives the log, in runs with misleading
    /// faults.
    fn delay_log(&mut self, id: &str) {
        if self.faults.len() > ServerFault::ALL.len() {
            let delay_s = self.random.pick(&RECEIVE_DELAYS_S).unwrap_or(0.0);
            self.simulation.server_mut(id).receive_delay_s = delay_s;
        }
    }

    fn take_new_id(&mut self) -> String {
        self.new_ids += 1;
        char::from(b'c' + self.new_ids).to_string()
    }

    /// Ends all faults; servers that left stay away.
    fn end_all_faults(&mut self) {
        self.log_fault("all faults end".to_owned());
        for node in 1..=CONTROL_MACHINES {
            self.start_control(node);
        }
        self.simulation.platform.late_runs_per_mille = 0;
        self.unheard.clear();
        for id in self.present_servers() {
            self.simulation.end_cut_of_server(&id);
            let server = self.simulation.server_mut(&id);
            server.receives_nothing = false;
            if server.health != Health::Up {
                self.recover(&id);
                self.simulation.run(0.5);
            }
        }
        self.simulation.run(0.2);
    }
}
