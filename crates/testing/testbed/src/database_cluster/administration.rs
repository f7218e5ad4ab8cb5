//! Statements that clients don't send: control's `STATUS`, `PAUSE`, `RESUME` and `STEPDOWN`, whose
//! response is the server's status row, and `RESET`, with which a router clears a session before
//! another client uses it.

use super::model::{ConnectionId, DatabaseCluster, Rejection, Work};
use super::sessions::NO_STATEMENT_ID;
use badgerstream_line_protocol::ErrorCode;

impl DatabaseCluster {
    /// Runs an administration statement and returns true; returns false without effect for any
    /// other statement.
    pub(super) fn run_administration_statement(
        &mut self,
        connection: ConnectionId,
        server_id: &str,
        statement: &str,
    ) -> bool {
        let (keyword, argument) = statement.split_once(' ').unwrap_or((statement, ""));
        match keyword {
            "STATUS" => {}
            "RESET" => {
                self.reset_session(connection);
                return true;
            }
            "PAUSE" | "STEPDOWN" => {
                let Ok(term) = argument.parse::<u64>() else {
                    let rejection = Rejection::new(ErrorCode::Malformed, "no term");
                    self.reject(connection, &rejection);
                    return true;
                };
                if keyword == "PAUSE" {
                    self.pause(server_id, term);
                } else {
                    self.step_down_for(server_id, term);
                }
            }
            "RESUME" => self.resume(server_id),
            _ => return false,
        }
        self.enqueue(connection, NO_STATEMENT_ID, Work::Status);
        true
    }

    fn reset_session(&mut self, connection: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.values.clear();
            session.prepared.clear();
            self.respond(connection, "COMPLETE -");
        }
    }

    /// Pauses a replica: it receives no commits until the future primary term `term` has begun.
    fn pause(&mut self, server_id: &str, term: u64) {
        let newest_term = self.services[&self.servers[server_id].service].term;
        let server = self.server_mut(server_id);
        if !server.is_primary && term > newest_term {
            let paused_for_term = server.paused_for_term.unwrap_or(0).max(term);
            server.paused_for_term = Some(paused_for_term);
        }
    }

    fn resume(&mut self, server_id: &str) {
        self.server_mut(server_id).paused_for_term = None;
        let service = self.servers[server_id].service.clone();
        self.rejoin_replicas(&service);
    }

    /// Makes a server step down if it is a primary of an older term than `term`.
    fn step_down_for(&mut self, server_id: &str, term: u64) {
        let server = &self.servers[server_id];
        if server.is_primary && server.term < term {
            self.step_down(server_id);
        }
    }
}
