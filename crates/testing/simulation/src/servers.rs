//! The database servers of one service, and what they replicate. Logs hold commits, so that what was acknowledged can be
//! looked for.

use crate::digest::note;
use crate::world::{Event, World};
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
    Dark,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub endpoint: String,
    pub health: Health,
    pub leader: bool,
    pub term: u64,
    /// Term and number of each commit.
    pub log: Vec<(u64, u64)>,
    pub held: Option<u64>,
    pub heard_of: u64,
    /// Receives nothing, though it answers.
    pub deaf: bool,
    pub draining: bool,
    /// Takes its leave: sends no beats any more.
    pub left: bool,
    pub beats: bool,
    /// Receives nothing before this: it has just come back.
    pub(crate) apart_until: f64,
    pub(crate) seq: u64,
    /// Length up to which all is acknowledged.
    pub(crate) acked: usize,
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

impl World {
    /// Adds a server.
    pub fn add_server(&mut self, id: &str, endpoint: &str, leader: bool) {
        let server = Server {
            id: id.to_owned(),
            endpoint: endpoint.to_owned(),
            health: Health::Up,
            leader,
            term: 1,
            log: Vec::new(),
            held: None,
            heard_of: 0,
            deaf: false,
            draining: false,
            left: false,
            beats: true,
            apart_until: 0.0,
            seq: 0,
            acked: 0,
        };
        self.servers.insert(id.to_owned(), server);
        let wait = 0.01 * self.draw(100) as f64;
        self.put(wait, Event::Heartbeat(id.to_owned()));
    }

    pub fn crash(&mut self, id: &str) {
        self.say(|| format!("server {id} crashes"));
        let server = self.servers.get_mut(id).unwrap();
        server.health = Health::Down;
        server.held = None;
    }

    pub fn darken(&mut self, id: &str) {
        self.say(|| format!("server {id} goes dark"));
        self.servers.get_mut(id).unwrap().health = Health::Dark;
    }

    /// It is back with its log, as a replica if another was promoted meanwhile.
    pub fn recover(&mut self, id: &str) {
        self.say(|| format!("server {id} is back"));
        let top = self.servers.values().map(|s| s.term).max().unwrap();
        let server = self.servers.get_mut(id).unwrap();
        server.health = Health::Up;
        // It follows whoever was promoted last, and nobody before.
        if server.term < top {
            (server.leader, server.term) = (false, top);
        }
        server.held = None;
        // Whoever returns has to find the primary first; a pause that comes at once finds it as it was.
        server.apart_until = self.now + 0.25;
        self.put(0.01, Event::Heartbeat(id.to_owned()));
    }

    /// A server that is gone is back at its address under another id, with its log; it leads if nobody was promoted since.
    pub fn recover_as(&mut self, old: &str, new: &str) {
        let gone = self.servers.get_mut(old).expect("the server exists");
        gone.left = true;
        gone.health = Health::Down;
        let gone = gone.clone();
        let top = self
            .servers
            .values()
            .map(|server| server.term)
            .max()
            .unwrap_or(0);
        self.add_server(new, &gone.endpoint, gone.leader && gone.term == top);
        let apart_until = self.now + 0.25;
        let server = self.servers.get_mut(new).expect("it was added");
        (server.log, server.term, server.acked) = (gone.log, top, gone.acked);
        server.apart_until = apart_until;
        self.servers.get_mut(old).expect("the server exists").leader = false;
    }

    pub fn drain(&mut self, id: &str) {
        self.say(|| format!("server {id} drains"));
        self.servers.get_mut(id).unwrap().draining = true;
        self.put(0.0, Event::Heartbeat(id.to_owned()));
    }

    /// It leaves and ends.
    pub fn depart(&mut self, id: &str) {
        self.say(|| format!("server {id} departs"));
        let server = self.servers.get_mut(id).unwrap();
        server.left = true;
        server.health = Health::Down;
        if let Some(node) = self.any_control() {
            self.call(
                node,
                0,
                ControlRequest::Depart {
                    server_id: id.to_owned(),
                },
            );
        }
    }

    /// It says that it leaves without having drained, and serves on.
    pub fn depart_first(&mut self, id: &str) {
        self.say(|| format!("server {id} departs and serves on"));
        self.servers.get_mut(id).expect("the server exists").left = true;
        if let Some(node) = self.any_control() {
            self.call(
                node,
                0,
                ControlRequest::Depart {
                    server_id: id.to_owned(),
                },
            );
        }
    }

    pub(crate) fn run_statement(
        &mut self,
        id: &str,
        statement: ServerCommand,
    ) -> Option<ServerStatus> {
        let heard = self.held_is_heard;
        let once = self.pause_once;
        let server = self.servers.get_mut(id).unwrap();
        match statement {
            ServerCommand::Status => {}
            ServerCommand::Pause(term) => {
                let newest = if heard {
                    server.term.max(server.heard_of)
                } else {
                    server.term
                };
                let again = server.held == Some(term) && !once;
                if !server.leader {
                    if !(again || term > newest && server.held.is_none_or(|h| term > h)) {
                        return None;
                    }
                    server.held = Some(term);
                    server.heard_of = server.heard_of.max(term);
                }
            }
            ServerCommand::Resume => server.held = None,
            ServerCommand::StepDown(term) => {
                server.heard_of = server.heard_of.max(term);
                if server.leader && server.term < term {
                    server.leader = false;
                }
            }
        }
        let held = if heard {
            server.heard_of.max(server.term)
        } else {
            server.held.unwrap_or(0)
        };
        Some(ServerStatus {
            is_primary: server.leader,
            primary_term: server.term,
            received: server.position(),
            highest_term: held,
        })
    }

    /// A promotion takes effect.
    pub fn promote(&mut self, id: &str) {
        let top = self
            .servers
            .values()
            .map(|s| s.term.max(s.heard_of))
            .max()
            .unwrap();
        let most = self
            .servers
            .values()
            .filter(|s| s.leader)
            .map(|s| s.term)
            .max()
            .unwrap_or(0);
        let now = self.now;
        let server = self.servers.get_mut(id).unwrap();
        if server.health != Health::Up || server.leader && server.term >= most {
            return;
        }
        server.leader = true;
        server.term = top + 1;
        server.held = None;
        let (term, log) = (server.term, server.log.clone());
        self.say(|| format!("server {id} leads term {term}"));
        let has: HashSet<u64> = log.iter().map(|e| e.1).collect();
        let lost: Vec<&u64> = self.acked.iter().filter(|c| !has.contains(c)).collect();
        assert!(
            lost.is_empty(),
            "{now}: {id} was promoted without acknowledged commits {lost:?}"
        );
        self.promoted.push((id.to_owned(), now));
        self.note(note::PROMOTED, &[term]);
        self.run_digest.bytes(id.as_bytes());
        let others: Vec<String> = self.servers.keys().filter(|o| *o != id).cloned().collect();
        for other in others {
            let server = self.servers.get_mut(&other).unwrap();
            if server.leader {
                self.put(1.0, Event::Depose(other, term));
            } else if server.health == Health::Up {
                server.term = term;
                server.held = None;
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

    pub(crate) fn beat(&mut self, id: &str) {
        let server = &self.servers[id];
        if server.left {
            return;
        }
        let up = server.health == Health::Up && server.beats;
        if up && let Some(node) = self.any_control() {
            let number = self.call_for_server(id);
            let server = self.servers.get_mut(id).unwrap();
            server.seq += 1;
            let one = beat(&server.endpoint, server.seq, server.draining);
            let id = id.to_owned();
            self.call(
                node,
                number,
                ControlRequest::Heartbeat {
                    server_id: id,
                    heartbeat: one,
                },
            );
        }
        // Only one chain of beats goes on.
        let waiting = self.waits_for(|e| matches!(e, Event::Heartbeat(of) if of == id));
        if !waiting {
            self.put(1.2, Event::Heartbeat(id.to_owned()));
        }
    }

    pub(crate) fn acknowledge(&mut self, primary: &str, term: u64, commits: Vec<u64>) {
        let top = self
            .servers
            .values()
            .filter(|s| s.leader)
            .max_by_key(|s| s.term)
            .unwrap();
        let before = self.acked.len();
        for commit in commits {
            assert!(
                top.log.binary_search_by_key(&commit, |e| e.1).is_ok(),
                "{}: {primary} of term {term} acknowledges a commit that {} of term {} lacks",
                self.now,
                top.id,
                top.term
            );
            self.acked.push(commit);
            self.served.push(self.now);
        }
        for commit in &self.acked[before..] {
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
            .filter(|s| s.leader && s.health == Health::Up)
            .map(|s| s.id.clone())
            .collect();
        let ids: Vec<String> = self.servers.keys().cloned().collect();
        for leader in leaders {
            let (term, log, acked) = {
                let s = &self.servers[&leader];
                (s.term, s.log.clone(), s.acked)
            };
            for id in ids.iter().filter(|i| **i != leader) {
                let to = &self.servers[id];
                if to.health == Health::Up && (to.log != log || acked < log.len() || to.term < term)
                {
                    let way = self.way();
                    let event = Event::Append {
                        from: leader.clone(),
                        to: id.clone(),
                        term,
                        log: log.clone(),
                    };
                    self.put(way, event);
                }
            }
        }
    }
}
