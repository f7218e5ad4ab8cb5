//! What is handed in and out of a failover: servers as they are seen from outside, questions, answers and actions.

/// A position in a service's log: term and number.
pub type Position = (u64, u64);

/// What a server tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// It sees itself as the primary.
    pub is_primary: bool,
    /// The term of its log.
    pub primary_term: u64,
    /// How far its log goes.
    pub received: Position,
    /// The highest term that it has heard of.
    pub highest_term: u64,
}

/// What a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCommand {
    /// How it stands.
    Status,
    /// To receive nothing until a promote.
    Pause(u64),
    /// To receive again.
    Resume,
    /// To follow, if its term is lower.
    StepDown(u64),
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The answer, to what was asked at that second.
    Status {
        command: ServerCommand,
        status: ServerStatus,
        sent_at: f64,
    },
    /// It answered, but not with a row.
    Busy,
    /// No answer in time, or the connection broke.
    TimedOut,
    /// Nobody listens at its address, or somebody else does.
    Refused,
    /// It was not sent: this machine may no longer act.
    NotSent,
}

/// Spans, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct FailoverConfig {
    /// Between two questions to a primary.
    pub primary_poll_interval: f64,
    /// Between two questions to a replica.
    pub replica_poll_interval: f64,
    /// A primary of which nobody had an answer for so long counts as dead.
    pub primary_timeout: f64,
    /// What a server is given for its answer.
    pub query_timeout: f64,
    /// Heartbeats come this often.
    pub heartbeat_interval: f64,
    /// A draining server is used for no longer than this from when it said so.
    pub drain_timeout: f64,
}

/// What a server looks like from outside.
#[derive(Clone, Debug)]
pub(crate) struct ServerCandidate {
    pub id: String,
    pub draining_since: Option<f64>,
    pub heard: f64,
}

/// What a step goes by.
pub(crate) struct FailoverContext<'a> {
    pub now: f64,
    /// The members of the service.
    pub members: &'a [ServerCandidate],
    /// Those that left or fell silent a while ago, and from when on they took part in nothing.
    pub lost: &'a [(String, f64)],
    /// The primary that was agreed on last: it leads this term or a later one. Just this one, once no router can use
    /// another any more.
    pub record: Option<(&'a str, u64)>,
    /// Whether the second server has taken the place of the first one, at its address and with its log.
    pub succeeds: &'a dyn Fn(&str, &str) -> bool,
    /// Whether these are two ids at one address of the service: one log.
    pub same_address: &'a dyn Fn(&str, &str) -> bool,
    /// Whether all routers know of all that was told up to this number.
    pub all_know: &'a dyn Fn(u64) -> bool,
    /// Since when this machine leads.
    pub since: f64,
    /// Nothing may be changed before this: leases and calls of former leaders.
    pub not_before: f64,
    /// How many replicas must have a commit before it is acknowledged.
    pub sync: u32,
}

impl FailoverContext<'_> {
    /// Whether this server is a member of the service.
    pub(super) fn is_member(&self, id: &str) -> bool {
        self.members.iter().any(|m| m.id == id)
    }

    /// The member that has taken the place of this server, with its log.
    pub(super) fn successor(&self, id: &str) -> Option<&ServerCandidate> {
        self.members
            .iter()
            .find(|member| (self.succeeds)(id, &member.id))
    }

    /// Whether this server, which leads that term, is the primary that was agreed on last, under whatever id.
    pub(super) fn is_of_record(&self, id: &str, primary_term: u64) -> bool {
        self.record.is_some_and(|(of_record, above)| {
            primary_term >= above && (of_record == id || (self.succeeds)(of_record, id))
        })
    }

    /// Since when this member drains.
    pub(super) fn draining_since(&self, id: &str) -> Option<f64> {
        self.members
            .iter()
            .find(|m| m.id == id)
            .and_then(|m| m.draining_since)
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum FailoverAction {
    Query(String, ServerCommand),
    ProposePrimary {
        server_id: String,
        after_term: u64,
    },
    /// The change to this primary is complete.
    RecordComplete {
        server_id: String,
        primary_term: u64,
    },
    Promote {
        server_id: String,
    },
    /// The grant of this service is now this.
    Grant {
        server_id: String,
        primary_term: u64,
        revoking: bool,
    },
}
