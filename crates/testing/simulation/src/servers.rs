//! The database servers of one service, and what they replicate. Logs hold commits, so that what was acknowledged can be
//! looked for.

use crate::digest::note;
use crate::simulation::{Event, Simulation};
use badgerstream_control::{ControlRequest, Heartbeat, MemberPhase, ServerCommand, ServerStatus};
use std::collections::HashSet;

/// The service.
pub const SERVICE: &str = "s";

/// Whether a machine or a server is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// The process is gone: connections are refused.
    Down,
    /// Nothing comes back, and nothing is done.
    Unresponsive,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub endpoint: String,
    pub health: Health,
    pub is_primary: bool,
    pub primary_term: u64,
    /// Term and number of each commit.
    pub log: Vec<(u64, u64)>,
    pub paused_at_term: Option<u64>,
    pub highest_term_seen: u64,
    /// Receives nothing, though it answers.
    pub receives_nothing: bool,
    pub draining: bool,
    /// Takes its leave: sends no beats any more.
    pub departed: bool,
    pub sends_heartbeats: bool,
    /// Receives nothing before this: it has just come back.
    pub(crate) reconnects_at: f64,
    pub(crate) heartbeat_sequence: u64,
    /// Length up to which all is acknowledged.
    pub(crate) acknowledged_length: usize,
}

impl Server {
    fn position(&self) -> (u64, u64) {
        (self.log.last().map_or(0, |e| e.0), self.log.len() as u64)
    }
}

/// A heartbeat of a server.
pub fn beat(endpoint: &str, seq: u64, draining: bool) -> Heartbeat {
    let phase = if draining {
        MemberPhase::Draining
    } else {
        MemberPhase::Ready
    };
    Heartbeat {
        service: SERVICE.to_owned(),
        endpoint: endpoint.to_owned(),
        zone: "z".to_owned(),
        slots: 4,
        phase,
        call_seq: seq,
    }
}

impl Simulation {
    /// Adds a server.
    pub fn add_server(&mut self, id: &str, endpoint: &str, leader: bool) {
        let server = Server {
            id: id.to_owned(),
            endpoint: endpoint.to_owned(),
            health: Health::Up,
            is_primary: leader,
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
        };
        self.servers.insert(id.to_owned(), server);
        let wait = 0.01 * self.draw(100) as f64;
        self.schedule(wait, Event::Heartbeat(id.to_owned()));
    }

    pub fn crash(&mut self, id: &str) {
        self.trace(|| format!("server {id} crashes"));
        let server = self.servers.get_mut(id).unwrap();
        server.health = Health::Down;
        server.paused_at_term = None;
    }

    pub fn make_unresponsive(&mut self, id: &str) {
        self.trace(|| format!("server {id} goes dark"));
        self.servers.get_mut(id).unwrap().health = Health::Unresponsive;
    }

    /// It is back with its log, as a replica if another was promoted meanwhile.
    pub fn recover(&mut self, id: &str) {
        self.trace(|| format!("server {id} is back"));
        let top = self.servers.values().map(|s| s.primary_term).max().unwrap();
        let server = self.servers.get_mut(id).unwrap();
        server.health = Health::Up;
        // It follows whoever was promoted last, and nobody before.
        if server.primary_term < top {
            (server.is_primary, server.primary_term) = (false, top);
        }
        server.paused_at_term = None;
        // Whoever returns has to find the primary first; a pause that comes at once finds it as it was.
        server.reconnects_at = self.now + 0.25;
        self.schedule(0.01, Event::Heartbeat(id.to_owned()));
    }

    /// A server that is gone is back at its address under another id, with its log; it leads if nobody was promoted since.
    pub fn recover_with_new_id(&mut self, old: &str, new: &str) {
        let gone = self.servers.get_mut(old).expect("the server exists");
        gone.departed = true;
        gone.health = Health::Down;
        let gone = gone.clone();
        let top = self
            .servers
            .values()
            .map(|server| server.primary_term)
            .max()
            .unwrap_or(0);
        self.add_server(
            new,
            &gone.endpoint,
            gone.is_primary && gone.primary_term == top,
        );
        let apart_until = self.now + 0.25;
        let server = self.servers.get_mut(new).expect("it was added");
        (server.log, server.primary_term, server.acknowledged_length) =
            (gone.log, top, gone.acknowledged_length);
        server.reconnects_at = apart_until;
        self.servers
            .get_mut(old)
            .expect("the server exists")
            .is_primary = false;
    }

    pub fn drain(&mut self, id: &str) {
        self.trace(|| format!("server {id} drains"));
        self.servers.get_mut(id).unwrap().draining = true;
        self.schedule(0.0, Event::Heartbeat(id.to_owned()));
    }

    /// It leaves and ends.
    pub fn depart(&mut self, id: &str) {
        self.trace(|| format!("server {id} departs"));
        let server = self.servers.get_mut(id).unwrap();
        server.departed = true;
        server.health = Health::Down;
        if let Some(node) = self.random_reachable_machine() {
            self.submit_request(
                node,
                0,
                ControlRequest::Depart {
                    server_id: id.to_owned(),
                },
            );
        }
    }

    /// It says that it leaves without having drained, and serves on.
    pub fn depart_while_serving(&mut self, id: &str) {
        self.trace(|| format!("server {id} departs and serves on"));
        self.servers
            .get_mut(id)
            .expect("the server exists")
            .departed = true;
        if let Some(node) = self.random_reachable_machine() {
            self.submit_request(
                node,
                0,
                ControlRequest::Depart {
                    server_id: id.to_owned(),
                },
            );
        }
    }

    pub(crate) fn execute_command(
        &mut self,
        id: &str,
        statement: ServerCommand,
    ) -> Option<ServerStatus> {
        let heard = self.reports_highest_term_seen;
        let once = self.rejects_repeated_pause;
        let server = self.servers.get_mut(id).unwrap();
        match statement {
            ServerCommand::Status => {}
            ServerCommand::Pause(term) => {
                let newest = if heard {
                    server.primary_term.max(server.highest_term_seen)
                } else {
                    server.primary_term
                };
                let again = server.paused_at_term == Some(term) && !once;
                if !server.is_primary {
                    if !(again || term > newest && server.paused_at_term.is_none_or(|h| term > h)) {
                        return None;
                    }
                    server.paused_at_term = Some(term);
                    server.highest_term_seen = server.highest_term_seen.max(term);
                }
            }
            ServerCommand::Resume => server.paused_at_term = None,
            ServerCommand::StepDown(term) => {
                server.highest_term_seen = server.highest_term_seen.max(term);
                if server.is_primary && server.primary_term < term {
                    server.is_primary = false;
                }
            }
        }
        let held = if heard {
            server.highest_term_seen.max(server.primary_term)
        } else {
            server.paused_at_term.unwrap_or(0)
        };
        Some(ServerStatus {
            is_primary: server.is_primary,
            primary_term: server.primary_term,
            received: server.position(),
            highest_term: held,
        })
    }

    /// A promotion takes effect.
    pub fn promote(&mut self, id: &str) {
        let top = self
            .servers
            .values()
            .map(|s| s.primary_term.max(s.highest_term_seen))
            .max()
            .unwrap();
        let most = self
            .servers
            .values()
            .filter(|s| s.is_primary)
            .map(|s| s.primary_term)
            .max()
            .unwrap_or(0);
        let now = self.now;
        let server = self.servers.get_mut(id).unwrap();
        if server.health != Health::Up || server.is_primary && server.primary_term >= most {
            return;
        }
        server.is_primary = true;
        server.primary_term = top + 1;
        server.paused_at_term = None;
        let (term, log) = (server.primary_term, server.log.clone());
        self.trace(|| format!("server {id} leads term {term}"));
        let has: HashSet<u64> = log.iter().map(|e| e.1).collect();
        let lost: Vec<&u64> = self
            .acknowledged_commits
            .iter()
            .filter(|c| !has.contains(c))
            .collect();
        assert!(
            lost.is_empty(),
            "{now}: {id} was promoted without acknowledged commits {lost:?}"
        );
        self.promotions.push((id.to_owned(), now));
        self.record(note::PROMOTED, &[term]);
        self.run_digest.bytes(id.as_bytes());
        let others: Vec<String> = self.servers.keys().filter(|o| *o != id).cloned().collect();
        for other in others {
            let server = self.servers.get_mut(&other).unwrap();
            if server.is_primary {
                self.schedule(1.0, Event::Depose(other, term));
            } else if server.health == Health::Up {
                server.primary_term = term;
                server.paused_at_term = None;
                // Whoever was ahead is cut back.
                let same = server
                    .log
                    .iter()
                    .zip(&log)
                    .take_while(|(a, b)| a == b)
                    .count();
                server.log.truncate(same);
            }
        }
    }

    pub(crate) fn send_heartbeat(&mut self, id: &str) {
        let server = &self.servers[id];
        if server.departed {
            return;
        }
        let up = server.health == Health::Up && server.sends_heartbeats;
        if up && let Some(node) = self.random_reachable_machine() {
            let number = self.register_server_request(id);
            let server = self.servers.get_mut(id).unwrap();
            server.heartbeat_sequence += 1;
            let one = beat(&server.endpoint, server.heartbeat_sequence, server.draining);
            let id = id.to_owned();
            self.submit_request(
                node,
                number,
                ControlRequest::Heartbeat {
                    server_id: id,
                    heartbeat: one,
                },
            );
        }
        // Only one chain of beats goes on.
        let waiting = self.is_scheduled(|e| matches!(e, Event::Heartbeat(of) if of == id));
        if !waiting {
            self.schedule(1.2, Event::Heartbeat(id.to_owned()));
        }
    }

    pub(crate) fn acknowledge(&mut self, primary: &str, term: u64, commits: Vec<u64>) {
        let top = self
            .servers
            .values()
            .filter(|s| s.is_primary)
            .max_by_key(|s| s.primary_term)
            .unwrap();
        let before = self.acknowledged_commits.len();
        for commit in commits {
            assert!(
                top.log.binary_search_by_key(&commit, |e| e.1).is_ok(),
                "{}: {primary} of term {term} acknowledges a commit that {} of term {} lacks",
                self.now,
                top.id,
                top.primary_term
            );
            self.acknowledged_commits.push(commit);
            self.acknowledgement_times.push(self.now);
        }
        for commit in &self.acknowledged_commits[before..] {
            self.run_digest.number(note::COMMIT_ACKNOWLEDGED);
            self.run_digest.time(self.now);
            self.run_digest.number(term);
            self.run_digest.number(*commit);
        }
    }

    pub(crate) fn replicate(&mut self) {
        let leaders: Vec<String> = self
            .servers
            .values()
            .filter(|s| s.is_primary && s.health == Health::Up)
            .map(|s| s.id.clone())
            .collect();
        let ids: Vec<String> = self.servers.keys().cloned().collect();
        for leader in leaders {
            let (term, log, acked) = {
                let s = &self.servers[&leader];
                (s.primary_term, s.log.clone(), s.acknowledged_length)
            };
            for id in ids.iter().filter(|i| **i != leader) {
                let to = &self.servers[id];
                if to.health == Health::Up
                    && (to.log != log || acked < log.len() || to.primary_term < term)
                {
                    let way = self.message_delay();
                    let event = Event::Append {
                        from: leader.clone(),
                        to: id.clone(),
                        term,
                        log: log.clone(),
                    };
                    self.schedule(way, event);
                }
            }
        }
    }
}
