//! The simulation: all components, and the loop that dispatches each event to its component.
//!
//! [`Simulation`] owns all components. Each component handles what concerns it alone. The modules
//! here handle what involves several: the outputs of a control machine's decisions
//! (`control_events`), heartbeats and responses (`requests`), and the actions of a test or of the
//! fault injector (`actions`).

mod actions;
mod control_events;
mod events;
mod queries;
mod requests;

use crate::control::ControlCluster;
use crate::edge::Edge;
use crate::event::{OracleEvent, ServerEvent};
use crate::kernel::Kernel;
use crate::observer::ChangeObserver;
use crate::operators::Operators;
use crate::oracle::Oracle;
use crate::oracle::liveness::CHECK_INTERVAL_S;
use crate::platform::Platform;
use crate::requests::{Requests, Responses};
use crate::service::{ServerRole, Service};

/// The interval at which [`Simulation::run_until`] checks its condition, in seconds.
const CONDITION_INTERVAL_S: f64 = 0.005;

/// One run: all components, in simulated time. A clone continues exactly as the original would.
#[derive(Clone)]
pub struct Simulation {
    /// The clock, the event queue and the random source.
    pub kernel: Kernel,
    /// The control machines.
    pub control: ControlCluster,
    /// The routers.
    pub edge: Edge,
    /// The database servers.
    pub service: Service,
    /// The platform.
    pub platform: Platform,
    /// The operators.
    pub operators: Operators,
    /// The safety and liveness checks.
    pub oracle: Oracle,
    /// The responses to the requests of a test.
    pub responses: Responses,
    requests: Requests,
    observer: ChangeObserver,
}

impl Simulation {
    /// Creates a simulation of three control machines, two routers, and the servers a (primary), b
    /// and c, before its first event.
    pub fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation::control_only(seed, 3, 1);
        for _ in 0..2 {
            simulation.add_router();
        }
        let roles = [
            ("a", ServerRole::Primary),
            ("b", ServerRole::Replica),
            ("c", ServerRole::Replica),
        ];
        for (id, role) in roles {
            let endpoint = format!("10.0.0.{}:1", id.as_bytes()[0]);
            simulation.add_server(id, &endpoint, role);
        }
        let kernel = &mut simulation.kernel;
        kernel.schedule(0.0, ServerEvent::ReplicationDue);
        simulation
    }

    /// Creates a simulation of `machines` control machines without routers and servers. At most
    /// `fault_budget` of the machines may be lost at the same time.
    pub fn control_only(seed: u64, machines: u32, fault_budget: usize) -> Simulation {
        let mut simulation = Simulation {
            kernel: Kernel::new(seed),
            control: ControlCluster::new(machines, fault_budget),
            edge: Edge::default(),
            service: Service::default(),
            platform: Platform::default(),
            operators: Operators::default(),
            oracle: Oracle::default(),
            responses: Responses::new(),
            requests: Requests::default(),
            observer: ChangeObserver::default(),
        };
        for node in 1..=machines {
            simulation.control.add_founding_machine(node);
            simulation.start(node);
        }
        let check = OracleEvent::LivenessCheckDue;
        simulation.kernel.schedule(CHECK_INTERVAL_S, check);
        simulation
    }

    /// Runs the simulation for this many seconds of simulated time.
    pub fn run(&mut self, seconds: f64) {
        let until = self.kernel.now() + seconds;
        while let Some(event) = self.kernel.next_event(until) {
            self.handle(event);
            self.check_safety();
        }
        self.kernel.advance_to(until);
    }

    /// Handles the next event.
    pub fn step(&mut self) {
        if let Some(event) = self.kernel.next_event(f64::INFINITY) {
            self.handle(event);
            self.check_safety();
        }
    }

    /// Runs until the condition holds. Returns how long that took, in seconds of simulated time.
    ///
    /// # Panics
    ///
    /// If the condition doesn't hold within `limit_s` seconds. The message contains `what`, a
    /// description of the condition.
    pub fn run_until(
        &mut self,
        limit_s: f64,
        what: &str,
        condition: impl Fn(&Simulation) -> bool,
    ) -> f64 {
        let begin = self.kernel.now();
        while !condition(self) {
            assert!(
                self.kernel.now() - begin < limit_s,
                "condition not met within {limit_s} s: {what} (phase {})",
                self.phase()
            );
            self.run(CONDITION_INTERVAL_S);
        }
        self.kernel.now() - begin
    }

    fn check_safety(&mut self) {
        let kernel = &mut self.kernel;
        self.oracle
            .check_safety(kernel, &self.control, &self.edge, &self.operators);
        self.observer.observe(kernel, &self.control, &self.edge);
    }
}
