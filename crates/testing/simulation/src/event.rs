//! The events of the simulation, grouped by the part that handles them.

use crate::control::PeerEnvelope;
use crate::service::LogEntry;
use badgerstream_control::{
    CommandOutcome, ControlRequest, LeaseRequest, NodeId, PromotionOutcome, RouterMessage,
    ServerCommand,
};

/// A process of a control machine: an event for an earlier incarnation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// The machine.
    pub node: NodeId,
    /// The number of the process, drawn when it starts.
    pub incarnation: u64,
}

/// Anything that is scheduled.
#[derive(Clone, Debug)]
pub enum Event {
    /// For a control machine.
    Control(ControlEvent),
    /// For a database server.
    Server(ServerEvent),
    /// For a router.
    Router(RouterEvent),
    /// For the platform.
    Platform(PlatformEvent),
    /// For an operator.
    Operator(OperatorEvent),
    /// For the oracle.
    Oracle(OracleEvent),
}

/// For a control machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The process's timer.
    Tick(Process),
    /// A message of another control machine arrives.
    PeerMessageArrived(PeerEnvelope),
    /// A new connection to another control machine is open.
    PeerConnected {
        /// The process that opened it.
        process: Process,
        /// The other machine.
        peer: NodeId,
    },
    /// The disk has written the hard state.
    PersistCompleted(Process),
    /// A disk that rejected a write is tried again.
    ReopenDisk(Process),
    /// A request of an operator arrives.
    RequestArrived {
        /// The machine it was sent to, whichever process runs there.
        node: NodeId,
        /// The number of the request.
        request_id: u64,
        /// The request.
        request: ControlRequest,
    },
    /// The process gets SIGTERM.
    ShutdownRequested(NodeId),
    /// A command to a server has its outcome.
    CommandCompleted {
        /// Who sent the command.
        process: Process,
        /// The server.
        server_id: String,
        /// What came of it.
        outcome: CommandOutcome,
    },
    /// A router's lease request arrives.
    LeaseRequestArrived {
        /// The process at the other end of the router's connection.
        process: Process,
        /// The connection.
        connection: u64,
        /// The index of the router.
        router: usize,
        /// The request.
        request: LeaseRequest,
    },
    /// The request of a promotion is about to leave.
    PromotionDue {
        /// The request.
        promotion: PromotionCall,
        /// The second of the machine's clock from which on it must not be sent.
        deadline: f64,
    },
    /// The request of a promotion has its outcome.
    PromotionCompleted {
        /// Who sent the request.
        process: Process,
        /// The server to promote.
        server_id: String,
        /// What came of it.
        outcome: PromotionOutcome,
    },
}

impl ControlEvent {
    /// The machine that takes the event in, and the process if only that one does; `None` for
    /// completions of the disk, which no standstill of the process holds up.
    pub(crate) fn addressee(&self) -> Option<Addressee> {
        match self {
            ControlEvent::PersistCompleted(_) | ControlEvent::ReopenDisk(_) => None,
            ControlEvent::PeerMessageArrived(envelope) => {
                Some(Addressee::Machine(envelope.to.node()))
            }
            ControlEvent::RequestArrived { node, .. } | ControlEvent::ShutdownRequested(node) => {
                Some(Addressee::Machine(*node))
            }
            ControlEvent::Tick(process)
            | ControlEvent::PeerConnected { process, .. }
            | ControlEvent::CommandCompleted { process, .. }
            | ControlEvent::LeaseRequestArrived { process, .. }
            | ControlEvent::PromotionCompleted { process, .. } => {
                Some(Addressee::Process(*process))
            }
            ControlEvent::PromotionDue { promotion, .. } => {
                Some(Addressee::Process(promotion.process))
            }
        }
    }
}

/// Who takes a [`ControlEvent`] in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Addressee {
    /// Whichever process runs on the machine.
    Machine(NodeId),
    /// This process alone.
    Process(Process),
}

impl Addressee {
    /// The machine.
    pub(crate) fn node(self) -> NodeId {
        match self {
            Addressee::Machine(node) => node,
            Addressee::Process(process) => process.node,
        }
    }

    /// Whether a process of this incarnation takes the event in.
    pub(crate) fn accepts(self, incarnation: u64) -> bool {
        match self {
            Addressee::Machine(_) => true,
            Addressee::Process(process) => process.incarnation == incarnation,
        }
    }
}

/// A command of a control machine on its way to a server.
#[derive(Clone, Debug)]
pub struct CommandCall {
    /// Who sent it.
    pub process: Process,
    /// The server.
    pub server_id: String,
    /// The command.
    pub command: ServerCommand,
    /// When it was sent, in seconds of the sender's clock.
    pub sent_at: f64,
}

/// A control machine's request to the platform to promote a server.
#[derive(Clone, Debug)]
pub struct PromotionCall {
    /// Who sends it.
    pub process: Process,
    /// The server to promote.
    pub server_id: String,
    /// The fencing token: the term of the leader that sends it.
    pub fencing_token: u64,
}

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// It commits something.
    Write,
    /// It reads.
    Read,
}

/// A statement on its way to a server.
#[derive(Clone, Debug)]
pub struct Statement {
    /// The index of the router that sent it.
    pub router: usize,
    /// The server.
    pub server_id: String,
    /// What it does.
    pub kind: StatementKind,
    /// How many commits had been acknowledged when it was sent: a read must see them.
    pub acknowledged_before: usize,
    /// When it was sent, in seconds of simulated time.
    pub sent_at: f64,
}

/// For a database server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// The server sends its next heartbeat to some control machine.
    HeartbeatDue(String),
    /// A command of a control machine arrives.
    CommandArrived(CommandCall),
    /// A statement of a router arrives.
    StatementArrived(Statement),
    /// All primaries send their logs to the other servers.
    ReplicationDue,
    /// A primary's log arrives at a replica.
    AppendArrived {
        /// The primary.
        primary: String,
        /// The replica.
        replica: String,
        /// The primary's term.
        primary_term: u64,
        /// The complete log.
        log: Vec<LogEntry>,
    },
    /// A replica's acknowledgement arrives at the primary.
    AppendAcknowledged {
        /// The primary.
        primary: String,
        /// Its term when it sent the log.
        primary_term: u64,
        /// The length of the log that was appended.
        length: usize,
    },
    /// A promotion by the platform takes effect.
    PromotionTakesEffect(String),
    /// A former primary learns of its successor.
    DemotionDue {
        /// The former primary.
        server_id: String,
        /// The successor's primary term.
        primary_term: u64,
    },
}

/// For a router.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// The router's timer.
    Tick(usize),
    /// A message of a control machine arrives.
    MessageArrived {
        /// The index of the router.
        router: usize,
        /// The connection it was sent on.
        connection: u64,
        /// The message.
        message: RouterMessage,
    },
    /// The router sends its next statement.
    StatementDue(usize),
    /// The answer of a server arrives.
    AnswerArrived {
        /// The index of the router.
        router: usize,
        /// The server.
        server_id: String,
    },
}

/// For the platform.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// A request to promote a server arrives.
    PromotionRequestArrived(PromotionCall),
}

/// For an operator.
#[derive(Clone, Debug)]
pub enum OperatorEvent {
    /// The operator of this index looks for something to do.
    ActionDue(usize),
}

/// For the oracle.
#[derive(Clone, Debug)]
pub enum OracleEvent {
    /// The periodic check that control does its work.
    LivenessCheckDue,
}

impl From<ControlEvent> for Event {
    fn from(event: ControlEvent) -> Event {
        Event::Control(event)
    }
}

impl From<ServerEvent> for Event {
    fn from(event: ServerEvent) -> Event {
        Event::Server(event)
    }
}

impl From<RouterEvent> for Event {
    fn from(event: RouterEvent) -> Event {
        Event::Router(event)
    }
}

impl From<PlatformEvent> for Event {
    fn from(event: PlatformEvent) -> Event {
        Event::Platform(event)
    }
}

impl From<OperatorEvent> for Event {
    fn from(event: OperatorEvent) -> Event {
        Event::Operator(event)
    }
}

impl From<OracleEvent> for Event {
    fn from(event: OracleEvent) -> Event {
        Event::Oracle(event)
    }
}
