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
    /// The number of the commit, unique in a run and rising in every log.
    pub commit: u64,
}

/// What a server is to its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It receives the primary's log.
    Replica,
}

/// One database server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its instance id.
    pub id: String,
    /// Its address.
    pub endpoint: String,
    /// Whether it answers.
    pub health: Health,
    /// It takes writes.
    pub is_primary: bool,
    /// The primary term that it is in.
    pub primary_term: u64,
    /// Its commits.
    pub log: Vec<LogEntry>,
    /// The term at which it was paused, if it is: it receives nothing.
    pub paused_at_term: Option<u64>,
    /// The highest term of any `PAUSE` or `STEPDOWN`.
    pub highest_term_seen: u64,
    /// It receives nothing of the primary, though it answers.
    pub receives_nothing: bool,
    /// It reports that it drains.
    pub draining: bool,
    /// It has said that it departs, and sends no heartbeats any more.
    pub departed: bool,
    /// Whether it sends heartbeats.
    pub sends_heartbeats: bool,
    /// It receives nothing before this second, as it has just come back.
    pub(super) reconnects_at: f64,
    /// The number of its last heartbeat.
    pub(super) heartbeat_sequence: u64,
    /// As a primary: the length of its log up to which everything is acknowledged.
    pub(super) acknowledged_length: usize,
}

/// What servers do where the users' pages leave it open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CommandRules {
    /// The reported term is the highest seen, and stays; otherwise it is that of the pause, or 0.
    pub(super) reports_highest_term_seen: bool,
    /// A second `PAUSE` of the same term is rejected.
    pub(super) rejects_repeated_pause: bool,
}

impl Server {
    /// A server without commits, in primary term 1.
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
            draining: false,
            departed: false,
            sends_heartbeats: true,
            reconnects_at: 0.0,
            heartbeat_sequence: 0,
            acknowledged_length: 0,
        }
    }

    /// Whether it works.
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// Whether it works as the primary.
    pub fn is_active_primary(&self) -> bool {
        self.is_primary && self.is_up()
    }

    /// Whether the commit is in its log.
    pub(super) fn has_commit(&self, commit: u64) -> bool {
        self.log
            .binary_search_by_key(&commit, |entry| entry.commit)
            .is_ok()
    }

    fn position(&self) -> Position {
        let primary_term = self.log.last().map_or(0, |entry| entry.primary_term);
        (primary_term, self.log.len() as u64)
    }

    /// Runs a command; `None` if it is rejected.
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

    /// Pauses a replica; `None` if the term is too low. A primary ignores it.
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

/// A heartbeat of a server of the service.
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
