//! The events of the simulation, grouped by the component that handles them.

use crate::control::PeerEnvelope;
use crate::edge::Renewal;
use crate::service::LogEntry;
use badgerstream_control::{
    CommandOutcome, ControlRequest, NodeId, Position, PromotionOutcome, RouterMessage,
    ServerCommand,
};

/// A process of a control machine. Events for an earlier incarnation are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// The machine on which the process runs.
    pub node: NodeId,
    /// The number of the process, drawn when it starts.
    pub incarnation: u64,
}

/// An event that can be scheduled.
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

/// An event for a control machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The process's timer fires.
    Tick(Process),
    /// A message from another control machine arrives.
    PeerMessageArrived(PeerEnvelope),
    /// A process has opened a new connection to another control machine.
    PeerConnected {
        /// The process that opened it.
        process: Process,
        /// The other machine.
        peer: NodeId,
    },
    /// The disk has written the hard state.
    PersistCompleted(Process),
    /// The process tries to reopen a disk that rejected a write.
    ReopenDisk(Process),
    /// A request from an operator arrives.
    RequestArrived {
        /// The machine to which the request was sent; whichever process runs there handles it.
        node: NodeId,
        /// The number of the request.
        request_id: u64,
        /// The request.
        request: ControlRequest,
    },
    /// The process receives SIGTERM.
    ShutdownRequested(NodeId),
    /// The outcome of a command to a server is known.
    CommandCompleted {
        /// The process that sent the command.
        process: Process,
        /// The server.
        server_id: String,
        /// The outcome of the command.
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
        request: Renewal,
    },
    /// A promotion request is about to be sent to the platform.
    PromotionDue {
        /// The request.
        promotion: PromotionCall,
        /// The deadline for sending the request, in seconds of the machine's clock.
        deadline: f64,
    },
    /// The outcome of a promotion request is known.
    PromotionCompleted {
        /// The process that sent the request.
        process: Process,
        /// The server to promote.
        server_id: String,
        /// The outcome of the request.
        outcome: PromotionOutcome,
    },
}

impl ControlEvent {
    /// Returns the machine or process that handles the event. Returns `None` for disk events, which
    /// a stalled process does not delay.
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

/// The machine or process that handles a [`ControlEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Addressee {
    /// Whichever process runs on the machine.
    Machine(NodeId),
    /// Only this process.
    Process(Process),
}

impl Addressee {
    /// Returns the machine.
    pub(crate) fn node(self) -> NodeId {
        match self {
            Addressee::Machine(node) => node,
            Addressee::Process(process) => process.node,
        }
    }

    /// Returns whether a process of this incarnation handles the event.
    pub(crate) fn accepts(self, incarnation: u64) -> bool {
        match self {
            Addressee::Machine(_) => true,
            Addressee::Process(process) => process.incarnation == incarnation,
        }
    }
}

/// A control machine's command in transit to a server.
#[derive(Clone, Debug)]
pub struct CommandCall {
    /// The process that sent the command.
    pub process: Process,
    /// The server.
    pub server_id: String,
    /// The command.
    pub command: ServerCommand,
    /// The time of sending, in seconds of the sender's clock.
    pub sent_at: f64,
}

/// A control machine's request to the platform to promote a server.
#[derive(Clone, Debug)]
pub struct PromotionCall {
    /// The process that sends the request.
    pub process: Process,
    /// The server to promote.
    pub server_id: String,
    /// The fencing token: the term of the leader that sends it.
    pub fencing_token: u64,
    /// Whether the caller still waits for the answer.
    pub is_answered: bool,
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// A write, which commits.
    Write,
    /// A read.
    Read,
}

/// A statement in transit to a server.
#[derive(Clone, Debug)]
pub struct Statement {
    /// The index of the router that sent it.
    pub router: usize,
    /// The server.
    pub server_id: String,
    /// The primary term of the grant under which the router sent it.
    pub granted_term: u64,
    /// The newest position that a primary had told the router before.
    pub position_before: Position,
    /// The kind of the statement.
    pub kind: StatementKind,
    /// The number of commits that had been acknowledged when the statement was sent. A read must
    /// see all of them.
    pub acknowledged_before: usize,
    /// The time of sending, in seconds of simulated time.
    pub sent_at: f64,
}

/// A primary's answer to a write, once a replica has the commit.
#[derive(Clone, Debug)]
pub struct CommittedWrite {
    /// The index of the router that sent the write.
    pub router: usize,
    /// The primary.
    pub server_id: String,
    /// The primary term of the grant under which the router sent the write.
    pub granted_term: u64,
    /// The newest position that a primary had told the router before it sent the write.
    pub position_before: Position,
    /// The number of the commit.
    pub commit: u64,
    /// The end of the primary's log when it answered.
    pub position: Position,
    /// The time of the answer, in seconds of simulated time.
    pub answered_at: f64,
}

/// An event for a database server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// The server's next heartbeat to a control machine is due.
    HeartbeatDue(String),
    /// A command from a control machine arrives.
    CommandArrived(CommandCall),
    /// A statement from a router arrives.
    StatementArrived(Statement),
    /// All primaries are due to send their logs to the other servers.
    ReplicationDue,
    /// A primary's log arrives at a replica.
    AppendArrived {
        /// The primary.
        primary: String,
        /// The replica.
        replica: String,
        /// The primary's term.
        primary_term: u64,
        /// The primary's complete log.
        log: Vec<LogEntry>,
    },
    /// A replica's acknowledgement arrives at the primary.
    AppendAcknowledged {
        /// The primary.
        primary: String,
        /// The primary's term when it sent the log.
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

/// An event for a router.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// The router's timer fires.
    Tick(usize),
    /// A message from a control machine arrives.
    MessageArrived {
        /// The index of the router.
        router: usize,
        /// The connection on which the message was sent.
        connection: u64,
        /// The message.
        message: RouterMessage,
    },
    /// The router's next statement is due.
    StatementDue(usize),
    /// An answer from a server arrives.
    AnswerArrived {
        /// The index of the router.
        router: usize,
        /// The server.
        server_id: String,
    },
    /// The answer to a write arrives.
    WriteCommitted(CommittedWrite),
}

/// An event for the platform.
#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// A request to promote a server arrives.
    PromotionRequestArrived(PromotionCall),
    /// The platform runs a request that it has read before.
    PromotionRequestRuns(PromotionCall),
}

/// An event for an operator.
#[derive(Clone, Debug)]
pub enum OperatorEvent {
    /// The next action of the operator with this index is due.
    ActionDue(usize),
}

/// An event for the oracle.
#[derive(Clone, Debug)]
pub enum OracleEvent {
    /// The periodic liveness check is due.
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
