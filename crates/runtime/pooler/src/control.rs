//! The driver of a control machine: it connects [`Controller`] (crate `badgerstream-control`) to
//! sockets, a clock and a disk.
//!
//! The controller makes decisions and has no side effects. The driver passes events to it and
//! executes the outputs that it returns (`outputs`). Events come from the timer in
//! `ControlNode::run`, from other control machines (`peers`), from routers (`router_sessions`),
//! from servers and operators over HTTP (`requests`), and as outcomes of commands to servers
//! (`commands`) and of calls to the platform (`platform`). `persistence` writes the hard state;
//! `status` provides the status for operators and the values for metrics.
//!
//! All tasks run on one thread, so the state is in cells: the controller, the store and each table
//! are borrowed for one synchronous step, and nothing is awaited while any of them is borrowed. The
//! driver itself makes no decision about consensus or failover.

mod commands;
mod config;
mod outputs;
mod peers;
mod persistence;
mod platform;
mod requests;
mod router_sessions;
mod state_store;
mod status;

use crate::clock;
use crate::counters::ControlCounts;
use crate::http;
use crate::members_file::MembersFile;
use crate::net;
use async_executor::LocalExecutor;
use badgerstream_control::{
    ControlRequest, ControlResponse, Controller, FOUNDING_INCARNATION, HardState, Voter,
};
use badgerstream_pooler_config::settings::Settings;
use commands::CommandQueues;
use peers::Peers;
use router_sessions::RouterSessions;
use state_store::{StateStore, StateStoreError};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

pub use status::ControlSnapshot;

/// Interval between two ticks of the controller while this machine is the leader, in seconds.
const LEADER_TICK_INTERVAL_S: f64 = 0.02;
/// Interval between two ticks of the controller while this machine is not the leader, in seconds.
const FOLLOWER_TICK_INTERVAL_S: f64 = 0.05;
/// Maximum size of the body of an HTTP request, in bytes. The largest body is a configuration.
const MAX_REQUEST_BODY_BYTES: usize = 2 << 20;
/// Name of the file in the state directory that lists the known database servers.
const MEMBERS_FILE_NAME: &str = "servers";

/// The reason why a control machine can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings name no state directory.
    #[error("setting state_dir is missing: a control machine stores its state there")]
    MissingStateDir,
    /// The settings name no address for HTTP requests.
    #[error(
        "setting bind_addrs.control is missing: a control machine answers HTTP requests at this \
         address"
    )]
    MissingControlAddress,
    /// The hard state can't be read from the disk or initialized.
    #[error(transparent)]
    StateStore(#[from] StateStoreError),
    /// A listener can't be bound to an address.
    #[error("can't listen on {address}: {error}")]
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// The error from the operating system.
        error: std::io::Error,
    },
}

/// The configuration whose services were last passed to the controller, and whether this machine
/// was the leader at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AppliedServices {
    config_epoch: u64,
    was_leader: bool,
}

/// A control machine.
pub struct ControlNode {
    tasks: Rc<LocalExecutor<'static>>,
    /// The settings that were in force when the process started.
    settings: Settings,
    /// This machine as a voter: its node id and the incarnation of its disk.
    voter: Voter,
    /// A random number that identifies this run of the process.
    process_incarnation: u64,
    /// Duration of a router's lease, in seconds.
    lease_duration_s: f64,
    controller: RefCell<Controller>,
    store: RefCell<StateStore>,
    members_file: MembersFile,
    peers: Peers,
    router_sessions: RouterSessions,
    command_queues: CommandQueues,
    /// HTTP requests that wait for the controller's response, by request number.
    pending_requests: RefCell<HashMap<u64, async_channel::Sender<ControlResponse>>>,
    /// The number that was last given to a connection, a session or a request.
    last_id: Cell<u64>,
    applied_services: Cell<AppliedServices>,
    /// Number of HTTP requests that have not been answered yet.
    in_flight_requests: Rc<Cell<usize>>,
    shutting_down: Cell<bool>,
    counts: ControlCounts,
}

impl ControlNode {
    /// Opens the state directory, binds the addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a required setting is missing, the state can't be read or initialized, or
    /// an address can't be bound.
    pub fn start(
        tasks: &Rc<LocalExecutor<'static>>,
        settings: &Settings,
        process_incarnation: u64,
    ) -> Result<Rc<ControlNode>, StartError> {
        let state_dir = settings
            .state_dir
            .as_ref()
            .ok_or(StartError::MissingStateDir)?;
        let address = settings
            .control_address
            .ok_or(StartError::MissingControlAddress)?;
        let node = ControlNode::new(tasks, settings, state_dir, process_incarnation)?;
        let node = Rc::new(node);
        let bind =
            |address| http::listen(address).map_err(|error| StartError::Bind { address, error });
        let peers = bind(SocketAddr::from((settings.ip, node.peer_port())))?;
        let requests = bind(address)?;
        tasks.spawn(node.clone().accept_connections(peers)).detach();
        tasks
            .spawn(http::serve(
                tasks.clone(),
                requests,
                node.clone(),
                MAX_REQUEST_BODY_BYTES,
                node.in_flight_requests.clone(),
            ))
            .detach();
        tasks.spawn(node.clone().run()).detach();
        Ok(node)
    }

    /// Opens the state directory and restores the hard state and the known servers from it.
    fn new(
        tasks: &Rc<LocalExecutor<'static>>,
        settings: &Settings,
        state_dir: &Path,
        process_incarnation: u64,
    ) -> Result<ControlNode, StateStoreError> {
        let incarnation_if_new = if settings.bootstrap {
            FOUNDING_INCARNATION
        } else {
            process_incarnation.max(FOUNDING_INCARNATION + 1)
        };
        let seeds = config::seed_nodes(settings);
        let store = StateStore::open(state_dir, incarnation_if_new, &seeds)?;
        let voter = Voter {
            node: u32::from(settings.ip),
            incarnation: store.incarnation(),
        };
        let members_file = MembersFile::new(state_dir.join(MEMBERS_FILE_NAME));
        let control_config = config::control_config(settings);
        let mut controller = Controller::new(
            voter,
            store.hard_state().clone(),
            clock::now(),
            process_incarnation,
            control_config,
        );
        controller.set_seeds_and_budget(seeds, config::fault_budget(settings));
        log_start(settings, voter, store.hard_state());
        restore_members(&mut controller, &members_file, settings);
        Ok(ControlNode {
            tasks: tasks.clone(),
            settings: settings.clone(),
            voter,
            process_incarnation,
            lease_duration_s: control_config.lease_duration,
            controller: RefCell::new(controller),
            store: RefCell::new(store),
            members_file,
            peers: Peers::default(),
            router_sessions: RouterSessions::default(),
            command_queues: CommandQueues::default(),
            pending_requests: RefCell::default(),
            last_id: Cell::new(0),
            applied_services: Cell::default(),
            in_flight_requests: Rc::default(),
            shutting_down: Cell::new(false),
            counts: ControlCounts::default(),
        })
    }

    /// Begins the shutdown: resigns as leader and asks the other machines to remove this one from
    /// the voters.
    pub fn shut_down(self: &Rc<Self>) {
        self.shutting_down.set(true);
        let outputs = self.controller.borrow_mut().resign(clock::now());
        self.execute(outputs);
    }

    /// Returns whether this machine, which is shutting down, need not wait any longer to be removed
    /// from the voters.
    pub fn may_shut_down(&self) -> bool {
        self.controller.borrow().may_shut_down()
    }

    /// Returns the number of HTTP requests that have not been answered yet.
    pub fn in_flight_requests(&self) -> usize {
        self.in_flight_requests.get()
    }

    /// Applies the seeds and the fault budget of new settings. All other settings take effect at
    /// the next start.
    pub fn reload(&self, settings: &Settings) {
        self.controller
            .borrow_mut()
            .set_seeds_and_budget(config::seed_nodes(settings), config::fault_budget(settings));
    }

    /// Ticks the controller at regular intervals, for as long as the process runs.
    async fn run(self: Rc<Self>) {
        loop {
            let outputs = self.controller.borrow_mut().tick(clock::now());
            self.execute(outputs);
            let primary_changes = self.controller.borrow_mut().take_primary_change_durations();
            for duration_s in primary_changes {
                self.counts.record_primary_change(duration_s);
            }
            self.members_file
                .persist_if_changed(clock::now(), &self.controller.borrow());
            let is_leader = self.controller.borrow().is_leader();
            net::sleep(if is_leader {
                LEADER_TICK_INTERVAL_S
            } else {
                FOLLOWER_TICK_INTERVAL_S
            })
            .await;
        }
    }

    /// Submits a request to the controller and waits for its response.
    async fn submit(self: &Rc<Self>, request: ControlRequest) -> ControlResponse {
        let name = request_name(&request);
        let id = self.next_id();
        let (sender, receiver) = async_channel::bounded(1);
        self.pending_requests.borrow_mut().insert(id, sender);
        let outputs = self
            .controller
            .borrow_mut()
            .handle_request(clock::now(), id, request);
        self.execute(outputs);
        let response = receiver
            .recv()
            .await
            .unwrap_or_else(|_| ControlResponse::error(503, "the request was dropped"));
        self.counts.record_response(name, response.status);
        response
    }

    /// Returns a number that no connection, session or request of this process has been given yet.
    fn next_id(&self) -> u64 {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        id
    }

    /// Returns the port on which every control machine accepts connections of the other control
    /// machines and of routers.
    fn peer_port(&self) -> u16 {
        self.settings.port_range.first
    }
}

fn log_start(settings: &Settings, voter: Voter, hard_state: &HardState) {
    log::info!(
        "event=control_started node={} voter={voter} epoch={} voted_term={}",
        settings.node_name,
        hard_state.state.config_epoch,
        hard_state.voted_term.0
    );
}

/// Passes the servers that an earlier incarnation of this process knew to the controller.
fn restore_members(controller: &mut Controller, file: &MembersFile, settings: &Settings) {
    let members = file.read();
    log::info!("event=members_restored count={}", members.len());
    let drained_s = config::drained_before_start_s(settings);
    controller.restore_members(clock::now(), members, drained_s);
}

/// Returns the name of a request in metrics.
fn request_name(request: &ControlRequest) -> &'static str {
    match request {
        ControlRequest::Heartbeat { .. } => "heartbeat",
        ControlRequest::Depart { .. } => "depart",
        ControlRequest::ReplaceConfig { .. } => "replace",
        ControlRequest::ReadConfig => "read",
    }
}
