//! What goes into and comes out of a [`Failover`](super::Failover): its settings, the members and
//! leadership that it goes by, the commands that it sends to servers, and their outcomes.

use crate::members::DepartedMember;
use crate::state::PrimaryRecord;

/// A position in a service's log: primary term and number within it, compared in that order.
pub type Position = (u64, u64);

/// The status that a server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// The server sees itself as the primary.
    pub is_primary: bool,
    /// The primary term of its log.
    pub primary_term: u64,
    /// The end of its log.
    pub received: Position,
    /// The highest primary term that it has seen, in its log or in a command.
    pub highest_term: u64,
}

/// A command to a server. The commands and their answers are described in the users' wire page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// Report the status; changes nothing.
    Status,
    /// Receive nothing more of the log until a promotion or [`ServerCommand::Resume`]; from then
    /// on the server holds this primary term.
    Pause(u64),
    /// Receive the log again.
    Resume,
    /// Become a replica if the own primary term is below this one.
    StepDown(u64),
}

/// What came of a command to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The server answered with its status.
    Status {
        /// The command that it answered.
        command: ServerCommand,
        /// Its status.
        status: ServerStatus,
        /// When the command was sent, in seconds of this machine's clock.
        sent_at: f64,
    },
    /// The server answered, but without a status.
    Busy,
    /// No answer in time, or the connection broke.
    TimedOut,
    /// Nothing listens at the server's address, or another server does.
    Refused,
    /// The command was not sent, since this machine may no longer act as the leader.
    NotSent,
}

/// The settings of failover; all spans in seconds.
#[derive(Clone, Copy, Debug)]
pub struct FailoverConfig {
    /// Between two status queries to a primary.
    pub primary_poll_interval: f64,
    /// Between two status queries to a replica.
    pub replica_poll_interval: f64,
    /// A primary that has answered nobody for this long counts as dead.
    pub primary_timeout: f64,
    /// How long an answer to a command is awaited.
    pub query_timeout: f64,
    /// Between two heartbeats of a server.
    pub heartbeat_interval: f64,
    /// How long a draining server may be used, from when it first reported that it drains.
    pub drain_timeout: f64,
}

/// A member of the service, as far as failover needs to know it.
#[derive(Clone, Debug)]
pub(crate) struct ServerCandidate {
    /// The member's server id.
    pub id: String,
    /// Since when it has been draining.
    pub draining_since: Option<f64>,
    /// When any control machine or router last saw it alive.
    pub last_seen: f64,
}

/// Everything outside the service's own state that a step depends on.
pub(crate) struct FailoverContext<'a> {
    /// The current second of this machine's clock.
    pub now: f64,
    /// The members of the service.
    pub members: &'a [ServerCandidate],
    /// Former members that left or timed out a while ago.
    pub departed: &'a [DepartedMember],
    /// The primary that the control machines committed last. Its term is a lower bound until the
    /// change is complete, that is, until no router can use another server any more.
    pub recorded_primary: Option<&'a PrimaryRecord>,
    /// Whether the second server has replaced the first one at its address, and so has its log.
    pub succeeds: &'a dyn Fn(&str, &str) -> bool,
    /// Whether two ids of the service stand for one address, and so for one log.
    pub same_address: &'a dyn Fn(&str, &str) -> bool,
    /// Whether every router that holds a lease has acknowledged the updates up to this number.
    pub all_acknowledged: &'a dyn Fn(u64) -> bool,
    /// Since when this machine has been the leader.
    pub leading_since: f64,
    /// Until then leases and platform requests of former leaders may be in force, and nothing may
    /// be changed; infinite while the members may not all be known.
    pub not_before: f64,
    /// How many replicas have a write before it is acknowledged to the client.
    pub sync_replicas: u32,
}

impl FailoverContext<'_> {
    /// The member with this id.
    fn member(&self, server_id: &str) -> Option<&ServerCandidate> {
        self.members.iter().find(|member| member.id == server_id)
    }

    /// Whether this server is a member of the service.
    pub(super) fn is_member(&self, server_id: &str) -> bool {
        self.member(server_id).is_some()
    }

    /// Since when this member has been draining.
    pub(super) fn draining_since(&self, server_id: &str) -> Option<f64> {
        self.member(server_id)
            .and_then(|member| member.draining_since)
    }

    /// Whether a member has replaced this server at its address, and so has its log.
    pub(super) fn has_successor(&self, server_id: &str) -> bool {
        self.members
            .iter()
            .any(|member| (self.succeeds)(server_id, &member.id))
    }

    /// All members but this one.
    pub(super) fn members_except<'c>(
        &'c self,
        excluded_id: Option<&'c str>,
    ) -> impl Iterator<Item = &'c ServerCandidate> {
        self.members
            .iter()
            .filter(move |member| Some(member.id.as_str()) != excluded_id)
    }

    /// Whether this primary is the recorded one: itself or its successor at the address, at the
    /// recorded term or a later one.
    pub(super) fn is_recorded(&self, server_id: &str, primary_term: u64) -> bool {
        self.recorded_primary.is_some_and(|record| {
            primary_term >= record.min_term
                && (record.server_id == server_id || (self.succeeds)(&record.server_id, server_id))
        })
    }

    /// Whether a primary is recorded, and it isn't exactly this one.
    pub(super) fn records_another(&self, server_id: &str, primary_term: u64) -> bool {
        self.recorded_primary
            .is_some_and(|record| record.server_id != server_id || record.min_term != primary_term)
    }
}

/// What a step of the failover asks its owner to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FailoverAction {
    /// Send a command to a server, and report the outcome with
    /// [`Failover::command_completed`](super::Failover::command_completed).
    SendCommand {
        server_id: String,
        command: ServerCommand,
    },
    /// Have the control machines commit that this server is to be the primary of a term above
    /// `after_term`, and call [`Failover::proposal_decided`](super::Failover::proposal_decided).
    ProposePrimary { server_id: String, after_term: u64 },
    /// Have the control machines commit that the change to this primary is complete.
    RecordComplete {
        server_id: String,
        primary_term: u64,
    },
    /// Request the platform to promote this server, and report the outcome with
    /// [`Failover::promotion_completed`](super::Failover::promotion_completed).
    Promote { server_id: String },
    /// Publish the grant of the service, and call
    /// [`Failover::grant_announced`](super::Failover::grant_announced).
    Grant {
        server_id: String,
        primary_term: u64,
        /// The grant is taken back: routers must not use the server any more.
        revoking: bool,
    },
}
