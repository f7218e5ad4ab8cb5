//! The inputs and outputs of a [`Failover`](super::Failover): its settings, the context of each
//! step, the commands to servers with their outcomes, and the actions for its owner.

use crate::members::{DepartedMember, Inactivity};
use crate::state::PrimaryRecord;

/// A position in a service's log: the primary term and the number within that term, compared in
/// that order.
pub type Position = (u64, u64);

/// The status that a server reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether the server considers itself the primary.
    pub is_primary: bool,
    /// Primary term of the server's log.
    pub primary_term: u64,
    /// End of the server's log.
    pub received: Position,
    /// Highest primary term that the server has seen, in its log or in a command.
    pub highest_term: u64,
}

/// A command to a server. The users' wire page documents the commands and their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// Report the status, and change nothing.
    Status,
    /// Stop receiving the log until a promotion or [`ServerCommand::Resume`], and hold this primary
    /// term: report it as the highest term seen.
    Pause(u64),
    /// Start receiving the log again.
    Resume,
    /// Become a replica if the server's own primary term is below this one.
    StepDown(u64),
}

/// The outcome of a command to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The server answered with its status.
    Status {
        /// The command that was answered.
        command: ServerCommand,
        /// The status in the answer.
        status: ServerStatus,
        /// Time at which the command was sent, in seconds of this machine's steady clock.
        sent_at: f64,
    },
    /// The server answered, but without a status.
    Busy,
    /// The server didn't answer in time, or the connection broke.
    TimedOut,
    /// Nothing listens at the server's address, or another server does.
    Refused,
    /// The command was not sent, because this machine may no longer act as the leader.
    NotSent,
}

/// The settings of failover; all durations are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct FailoverConfig {
    /// Interval between two status queries to a primary.
    pub primary_poll_interval: f64,
    /// Interval between two status queries to a replica.
    pub replica_poll_interval: f64,
    /// A primary that has answered neither the leader nor any router for this long counts as dead.
    pub primary_timeout: f64,
    /// Maximum time to wait for the answer to a command.
    pub query_timeout: f64,
    /// Interval between two heartbeats of a server.
    pub heartbeat_interval: f64,
    /// Maximum time for which a draining server may be used after its first report that it drains.
    pub drain_timeout: f64,
}

/// What failover needs to know about a member of the service.
#[derive(Clone, Debug)]
pub(crate) struct ServerCandidate {
    /// The server's id.
    pub id: String,
    /// Time since which the server has been draining.
    pub draining_since: Option<f64>,
    /// Time at which the server was last seen alive by a control machine or a router.
    pub last_seen: f64,
    /// What proves that the server, if it doesn't answer, no longer receives the log.
    pub inactivity: Inactivity,
}

/// Everything outside the [`Failover`](super::Failover) itself that a step depends on. Times are
/// seconds of this machine's steady clock.
pub(crate) struct FailoverContext<'a> {
    /// Current time.
    pub now: f64,
    /// The members of the service.
    pub members: &'a [ServerCandidate],
    /// Former members that left or timed out, and whose log may be missing elsewhere.
    pub departed: &'a [DepartedMember],
    /// The primary that the control machines committed last. The record's term is a lower bound
    /// until the change is complete, that is, until no router can use another server any more.
    pub recorded_primary: Option<&'a PrimaryRecord>,
    /// Returns whether the first server was replaced by the second one at its address. The second
    /// server then has the first one's log.
    pub is_replaced_by: &'a dyn Fn(&str, &str) -> bool,
    /// Returns whether two server ids of the service have the same address, and so the same log.
    pub same_address: &'a dyn Fn(&str, &str) -> bool,
    /// Returns whether every router that holds a lease has acknowledged all updates up to and
    /// including this number.
    pub all_acknowledged: &'a dyn Fn(u64) -> bool,
    /// Returns the highest position of the service's log up to which any router has passed a success
    /// on to a client, among the routers with a lease that ended after the given time; `None` unless
    /// all of them have reported it while they knew the update with the given number, which revoked
    /// the grant.
    pub acknowledged_position: &'a dyn Fn(u64, f64) -> Option<Position>,
    /// Returns the highest position beyond which a commit certainly lies whose success a client has
    /// read.
    pub surpassed_position: &'a dyn Fn() -> Position,
    /// Time by which the last lease ended of the routers that can't be expected to report.
    pub unreported_until: f64,
    /// Time since which this machine has been the leader.
    pub leading_since: f64,
    /// Until this time, leases and platform requests of former leaders may be in force, and nothing
    /// may be changed. Infinite while this leader may not know all members.
    pub not_before: f64,
    /// Number of replicas that have a write before it is acknowledged to the client.
    pub sync_replicas: u32,
}

impl FailoverContext<'_> {
    /// Returns the member with this id.
    fn member(&self, server_id: &str) -> Option<&ServerCandidate> {
        self.members.iter().find(|member| member.id == server_id)
    }

    /// Returns whether this server is a member of the service.
    pub(super) fn is_member(&self, server_id: &str) -> bool {
        self.member(server_id).is_some()
    }

    /// Returns the time since which this member has been draining.
    pub(super) fn draining_since(&self, server_id: &str) -> Option<f64> {
        self.member(server_id)
            .and_then(|member| member.draining_since)
    }

    /// Returns whether a member has replaced this server at its address, and so has its log.
    pub(super) fn has_replacement(&self, server_id: &str) -> bool {
        self.members
            .iter()
            .any(|member| (self.is_replaced_by)(server_id, &member.id))
    }

    /// Returns all members except this one.
    pub(super) fn members_except<'c>(
        &'c self,
        excluded_id: Option<&'c str>,
    ) -> impl Iterator<Item = &'c ServerCandidate> {
        self.members
            .iter()
            .filter(move |member| Some(member.id.as_str()) != excluded_id)
    }

    /// Returns all departed servers except this one.
    pub(super) fn departed_except<'c>(
        &'c self,
        excluded_id: Option<&'c str>,
    ) -> impl Iterator<Item = &'c DepartedMember> {
        self.departed
            .iter()
            .filter(move |departed| Some(departed.id.as_str()) != excluded_id)
    }

    /// Returns whether this primary matches the recorded one: it is the recorded server or the one
    /// that replaced it at its address, and its term isn't below the recorded one.
    pub(super) fn is_recorded_primary(&self, server_id: &str, primary_term: u64) -> bool {
        self.recorded_primary.is_some_and(|record| {
            primary_term >= record.min_term
                && (record.server_id == server_id
                    || (self.is_replaced_by)(&record.server_id, server_id))
        })
    }

    /// Returns whether a primary is recorded that differs from this one, in server or term.
    pub(super) fn is_other_primary_recorded(&self, server_id: &str, primary_term: u64) -> bool {
        self.recorded_primary
            .is_some_and(|record| record.server_id != server_id || record.min_term != primary_term)
    }
}

/// What the owner of a [`Failover`](super::Failover) is to do after a step.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FailoverAction {
    /// Send a command to a server, and report the outcome with
    /// [`Failover::command_completed`](super::Failover::command_completed).
    SendCommand {
        server_id: String,
        command: ServerCommand,
    },
    /// Query the status of a departed server, which may still run. Its answer isn't awaited.
    QueryDeparted { server_id: String },
    /// Propose to the control machines that this server becomes the primary of a term above
    /// `after_term`, and report the result with
    /// [`Failover::proposal_decided`](super::Failover::proposal_decided).
    ProposePrimary { server_id: String, after_term: u64 },
    /// Propose to the control machines to record that the change to this primary is complete.
    RecordComplete {
        server_id: String,
        primary_term: u64,
    },
    /// Record that the log of this departed server is superseded: the primary and `sync_replicas`
    /// replicas have everything that it may have had, so nobody waits for it any more.
    MarkSuperseded { server_id: String },
    /// Request the platform to promote this server, and report the outcome with
    /// [`Failover::promotion_completed`](super::Failover::promotion_completed).
    Promote { server_id: String },
    /// Publish this grant to the routers, and report the number of the update that contains it with
    /// [`Failover::grant_announced`](super::Failover::grant_announced).
    Grant {
        server_id: String,
        primary_term: u64,
        /// Whether the grant is revoked: routers must not use the server any more.
        revoking: bool,
    },
}
