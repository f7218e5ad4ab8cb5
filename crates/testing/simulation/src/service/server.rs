//! One database server.

use crate::health::Health;
use badgerstream_control::{Heartbeat, MemberPhase, Position, ServerCommand, ServerStatus};

/// The name of the simulated service.
pub const SERVICE: &str = "s";

/// One commit in a server's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The term of the primary that committed it.
    pub primary_term: u64,
    /// The number of the commit: unique within a run, and increasing in every log.
    pub commit: u64,
}

/// The role of a server in its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRole {
    /// It accepts writes.
    Primary,
    /// It receives the primary's log.
    Replica,
}

/// One database server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's instance id.
    pub id: String,
    /// The server's address.
    pub endpoint: String,
    /// Whether the server answers.
    pub health: Health,
    /// Whether the server accepts writes.
    pub is_primary: bool,
    /// The server's current primary term.
    pub primary_term: u64,
    /// The server's commits, oldest first.
    pub log: Vec<LogEntry>,
    /// The term of the `PAUSE` in force, if any. A paused server receives no log entries.
    pub paused_at_term: Option<u64>,
    /// The highest term of any `PAUSE` or `STEPDOWN` that the server has executed.
    pub highest_term_seen: u64,
    /// Whether the server receives no log entries from the primary although it answers.
    pub receives_nothing: bool,
    /// Additional time that log entries take to reach the server, in seconds.
    pub receive_delay_s: f64,
    /// Whether the server reports that it is draining.
    pub draining: bool,
    /// Whether the server has announced its departure and stopped its heartbeats.
    pub departed: bool,
    /// Whether the server sends heartbeats.
    pub sends_heartbeats: bool,
    /// After a restart, the server receives no log entries before this second of simulated time.
    pub(super) reconnects_at: f64,
    /// The sequence number of the last heartbeat.
    pub(super) heartbeat_sequence: u64,
    /// On a primary: the length of the log prefix whose commits are all acknowledged.
    pub(super) acknowledged_length: usize,
}

/// The behavior of servers on points that the users' documentation leaves open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CommandRules {
    /// Whether a server keeps and reports the highest term it has seen. Otherwise it reports the
    /// term of its current pause, or 0.
    pub(super) reports_highest_term_seen: bool,
    /// Whether a second `PAUSE` of the same term is rejected.
    pub(super) rejects_repeated_pause: bool,
}

impl Server {
    /// Creates a server without commits, in primary term 1.
    pub(super) fn new(id: &str, endpoint: &str, role: ServerRole) -> Server {
        Server {
            id: id.to_owned(),
            endpoint: endpoint.to_owned(),
            health: Health::Up,
            is_primary: role == ServerRole::Primary,
            primary_term: 1,
            log: Vec::new(),
            paused_at_term: None,
            highest_term_seen: 0,
            receives_nothing: false,
            receive_delay_s: 0.0,
            draining: false,
            departed: false,
            sends_heartbeats: true,
            reconnects_at: 0.0,
            heartbeat_sequence: 0,
            acknowledged_length: 0,
        }
    }

    /// Returns whether the server is up.
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// Returns whether the server is a primary and up.
    pub fn is_active_primary(&self) -> bool {
        self.is_primary && self.is_up()
    }

    /// Returns whether the server's log contains the commit.
    pub(super) fn has_commit(&self, commit: u64) -> bool {
        self.log
            .binary_search_by_key(&commit, |entry| entry.commit)
            .is_ok()
    }

    /// Returns the end of the server's log.
    pub(super) fn position(&self) -> Position {
        let primary_term = self.log.last().map_or(0, |entry| entry.primary_term);
        (primary_term, self.log.len() as u64)
    }

    /// Executes a command and returns the server's status; `None` if the server rejects it.
    pub(super) fn execute(
        &mut self,
        command: ServerCommand,
        rules: CommandRules,
    ) -> Option<ServerStatus> {
        match command {
            ServerCommand::Status => {}
            ServerCommand::Pause(term) => self.pause(term, rules)?,
            ServerCommand::Resume => self.paused_at_term = None,
            ServerCommand::StepDown(term) => self.step_down(term),
        }
        Some(self.status(rules))
    }

    /// Pauses a replica. Returns `None` if it rejects the term as too low or as a repeat. A primary
    /// ignores the command.
    fn pause(&mut self, term: u64, rules: CommandRules) -> Option<()> {
        if self.is_primary {
            return Some(());
        }
        let newest = if rules.reports_highest_term_seen {
            self.primary_term.max(self.highest_term_seen)
        } else {
            self.primary_term
        };
        let is_accepted_repeat = self.paused_at_term == Some(term) && !rules.rejects_repeated_pause;
        let is_newer = term > newest && self.paused_at_term.is_none_or(|paused| term > paused);
        if !is_accepted_repeat && !is_newer {
            return None;
        }
        self.paused_at_term = Some(term);
        self.highest_term_seen = self.highest_term_seen.max(term);
        Some(())
    }

    fn step_down(&mut self, term: u64) {
        self.highest_term_seen = self.highest_term_seen.max(term);
        if self.primary_term < term {
            self.is_primary = false;
        }
    }

    fn status(&self, rules: CommandRules) -> ServerStatus {
        let highest_term = if rules.reports_highest_term_seen {
            self.highest_term_seen.max(self.primary_term)
        } else {
            self.paused_at_term.unwrap_or(0)
        };
        ServerStatus {
            is_primary: self.is_primary,
            primary_term: self.primary_term,
            received: self.position(),
            highest_term,
        }
    }
}

/// Returns a heartbeat of a server of the simulated service.
pub fn heartbeat(endpoint: &str, sequence: u64, phase: MemberPhase) -> Heartbeat {
    Heartbeat {
        service: SERVICE.to_owned(),
        endpoint: endpoint.to_owned(),
        zone: "z".to_owned(),
        slots: 4,
        phase,
        call_seq: sequence,
    }
}
