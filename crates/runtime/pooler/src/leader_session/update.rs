//! Applies the leader's updates to the view.

use super::LeaderSession;
use crate::clock;
use crate::view::{Grant, Server, View};
use badgerstream_control::{
    ACKNOWLEDGED_POSITIONS, ConfigUpdate, MemberInfo, PrimaryGrant, RouterMessage,
};
use badgerstream_pooler_config::config::Config;
use std::collections::HashMap;
use std::rc::Rc;

/// How long a server that a new leader has not named is kept, in seconds: the server's heartbeat
/// may not have reached that leader yet.
const UNCONFIRMED_TIMEOUT_S: f64 = 6.0;

/// Ids of the servers that the newest leader has not named yet, each with the time of that leader's
/// snapshot in seconds of the monotonic clock.
#[derive(Default)]
pub(super) struct UnconfirmedServers(HashMap<String, f64>);

impl UnconfirmedServers {
    /// Marks all known servers as unconfirmed, as a new leader sends a snapshot.
    fn reset<'a>(&mut self, known: impl Iterator<Item = &'a String>, now: f64) {
        self.0 = known.map(|id| (id.clone(), now)).collect();
    }

    fn confirm(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Removes and returns the servers that were not confirmed in time.
    fn expire(&mut self, now: f64) -> Vec<String> {
        self.0
            .extract_if(|_, since| now - *since >= UNCONFIRMED_TIMEOUT_S)
            .map(|(id, _)| id)
            .collect()
    }
}

impl LeaderSession {
    /// Applies an update to the view and wakes the tasks that wait for a change. Returns whether
    /// the update responds to a lease request.
    pub(super) fn apply(&self, message: RouterMessage) -> bool {
        let RouterMessage::Update {
            update_watermark,
            request_sent_at,
            lease_duration,
            is_snapshot,
            grants,
            members,
            config,
            voters,
            router_count,
            mut health_reports_wanted,
        } = message
        else {
            return false;
        };
        let is_response = request_sent_at.is_some();
        if update_watermark.0 < self.update_watermark.get().0 {
            // The update is from a former leader: a newer one has already sent updates.
            return is_response;
        }
        let now = clock::now();
        let mut view = self.shared.view.borrow_mut();
        let mut changed = is_snapshot || !grants.is_empty() || !members.is_empty();
        if is_snapshot {
            self.begin_snapshot(&mut view, now);
        }
        for grant in grants {
            let (service, grant) = to_view_grant(grant);
            view.set_grant(service, grant);
        }
        changed |= self.apply_members(&mut view, members, now);
        if let Some(update) = config {
            changed |= self.apply_config(&mut view, &update);
        }
        if let Some(sent_at) = request_sent_at
            && lease_duration > 0.0
        {
            // The lease starts when it was requested, so that it ends here before the leader
            // considers it ended.
            changed |= view.extend_lease(sent_at + lease_duration, now);
        }
        // A response may be older than an update received before it: the watermark never goes back.
        self.update_watermark
            .set(self.update_watermark.get().max(update_watermark));
        if router_count > 0 {
            view.router_count = Some(router_count as usize);
        }
        drop(view);
        if !voters.is_empty() {
            self.control_nodes.borrow_mut().set_voters(voters);
        }
        let is_marker = |wanted: &mut String| *wanted == ACKNOWLEDGED_POSITIONS;
        if health_reports_wanted.extract_if(.., is_marker).count() > 0 {
            self.positions_wanted.set(true);
        }
        *self.health_reports_wanted.borrow_mut() = health_reports_wanted;
        if changed {
            self.shared.changed.notify_waiters();
        }
        is_response
    }

    /// Prepares the view for the snapshot of a new leader: the grants of the former leader become
    /// expiring, and all servers become unconfirmed.
    fn begin_snapshot(&self, view: &mut View, now: f64) {
        view.expire_grants(now);
        let mut unconfirmed = self.unconfirmed_servers.borrow_mut();
        unconfirmed.reset(view.servers.keys(), now);
    }

    /// Applies the leader's list of servers. Returns whether a server was removed because the
    /// leader didn't name it in time.
    fn apply_members(&self, view: &mut View, members: Vec<MemberInfo>, now: f64) -> bool {
        let mut unconfirmed = self.unconfirmed_servers.borrow_mut();
        for member in members {
            unconfirmed.confirm(&member.id);
            if member.departed {
                view.servers.remove(&member.id);
            } else if let Some(server) = to_view_server(member) {
                view.servers.insert(server.id.clone(), server);
            }
        }
        let expired = unconfirmed.expire(now);
        for id in &expired {
            view.servers.remove(id);
        }
        !expired.is_empty()
    }

    /// Puts the update's configuration in force if it is newer; returns whether it was.
    fn apply_config(&self, view: &mut View, update: &ConfigUpdate) -> bool {
        let Some(config) = self.resolve_config(update) else {
            return false;
        };
        let is_newer = view
            .config
            .as_ref()
            .is_none_or(|in_force| in_force.epoch < config.epoch);
        if is_newer {
            log::info!("event=config_applied epoch={}", config.epoch);
            view.config = Some(Rc::new(config));
        }
        is_newer
    }

    /// Resolves the configuration of an update, which may be a delta to the known text. If the
    /// delta doesn't apply or the result is invalid, returns `None`, and the next lease request
    /// asks for the full text.
    fn resolve_config(&self, update: &ConfigUpdate) -> Option<Config> {
        let text = update.resolve(&self.config_text.borrow());
        let config = text.as_ref().and_then(|text| Config::parse(text).ok());
        if config.is_none() {
            log::warn!("event=config_update_invalid");
        }
        *self.config_text.borrow_mut() = text
            .filter(|_| config.is_some())
            .unwrap_or_else(|| Rc::from([]));
        config
    }
}

/// Converts a grant to the service it is for and the grant as the view holds it.
fn to_view_grant(grant: PrimaryGrant) -> (String, Grant) {
    let view_grant = Grant {
        server_id: grant.server_id,
        primary_term: grant.primary_term,
        revoking: grant.revoking,
    };
    (grant.service, view_grant)
}

/// Converts a member to a server of the view; `None` if its endpoint is not a socket address, as
/// the router can't connect to it then.
fn to_view_server(member: MemberInfo) -> Option<Server> {
    Some(Server {
        endpoint: member.endpoint.parse().ok()?,
        id: member.id,
        service: member.service,
        zone: member.zone,
        slots: member.slots,
        draining: member.draining,
    })
}
