//! The session of one router with the leader: how far it was updated, and what it acknowledged.

/// An update that isn't acknowledged within this time is sent again. The time doubles with each
/// update that is lost.
const INITIAL_RETRY_BACKOFF_S: f64 = 1.0;
const MAX_RETRY_BACKOFF_S: f64 = 8.0;
/// Between two requests for health reports that don't come with a lease response.
const HEALTH_REQUEST_INTERVAL_S: f64 = 0.2;

/// What a session lacks, and so which update can be sent on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingUpdates {
    /// The number of the last update that was sent; 0 for none of this leader.
    pub(super) after: u64,
    /// A snapshot must not be older than the update with this number.
    pub(super) at_least: u64,
    /// The epoch of the router's configuration, if that is outdated.
    pub(super) config_since: Option<u64>,
}

/// The connection of one router.
#[derive(Clone, Debug)]
pub(super) struct RouterSession {
    router: String,
    /// The number of the last update that was sent; 0 for none of this leader.
    sent_number: u64,
    /// The number of the last update that the router acknowledged.
    acknowledged_number: u64,
    /// The number of the last update that the router acknowledged on an earlier session: it must
    /// not be sent anything older.
    earlier_number: u64,
    /// The epoch of the configuration that was sent, or that the router has.
    config_epoch: u64,
    /// When the last update was sent.
    sent_at: f64,
    /// The last update counts as lost after this time.
    retry_backoff: f64,
    /// The last request for health reports that was sent.
    health_request_id: u64,
    /// When a request for health reports was last sent apart from a lease response.
    health_requested_at: f64,
}

impl RouterSession {
    /// A session whose router has acknowledged the update `acknowledged_number` of this leader.
    pub(super) fn new(
        router: String,
        acknowledged_number: u64,
        earlier_number: u64,
        config_epoch: u64,
    ) -> RouterSession {
        RouterSession {
            router,
            sent_number: acknowledged_number,
            acknowledged_number,
            earlier_number,
            config_epoch,
            sent_at: f64::NEG_INFINITY,
            retry_backoff: INITIAL_RETRY_BACKOFF_S,
            health_request_id: 0,
            health_requested_at: f64::NEG_INFINITY,
        }
    }

    /// The router's name.
    pub(super) fn router(&self) -> &str {
        &self.router
    }

    /// The number of the last update that the router acknowledged; 0 for none of this leader.
    pub(super) fn acknowledged_number(&self) -> u64 {
        self.acknowledged_number
    }

    fn has_update_in_flight(&self) -> bool {
        self.sent_number > self.acknowledged_number
    }

    /// The router acknowledges the updates up to this number, and has the configuration of this
    /// epoch: 0 if it could not use the one that it was sent.
    pub(super) fn acknowledge(&mut self, now: f64, number: u64, config_epoch: u64) {
        if number > self.acknowledged_number {
            self.acknowledged_number = number;
            self.retry_backoff = INITIAL_RETRY_BACKOFF_S;
        }
        if !self.has_update_in_flight() {
            self.config_epoch = config_epoch;
        } else if now - self.sent_at > self.retry_backoff {
            self.retry_backoff = (2.0 * self.retry_backoff).min(MAX_RETRY_BACKOFF_S);
            self.sent_number = self.acknowledged_number;
            self.config_epoch = config_epoch;
        }
    }

    /// Whether an update is to be sent, where the newest has this number and configuration epoch.
    pub(super) fn is_update_due(&self, number: u64, config_epoch: u64) -> bool {
        let is_outdated = self.sent_number < number || self.config_epoch < config_epoch;
        !self.has_update_in_flight() && is_outdated
    }

    /// What this session lacks, where the newest configuration has this epoch.
    pub(super) fn missing(&self, config_epoch: u64) -> MissingUpdates {
        MissingUpdates {
            after: self.sent_number,
            at_least: self.earlier_number,
            config_since: (self.config_epoch < config_epoch).then_some(self.config_epoch),
        }
    }

    /// The update with this number is sent, with the configuration of this epoch; 0 for none.
    pub(super) fn update_sent(&mut self, now: f64, number: u64, config_epoch: u64) {
        self.sent_number = number;
        self.config_epoch = self.config_epoch.max(config_epoch);
        self.sent_at = now;
    }

    /// Whether the request for health reports with this id wasn't sent yet, and may be now.
    pub(super) fn is_health_request_due(&self, now: f64, request_id: u64) -> bool {
        self.health_request_id < request_id
            && now - self.health_requested_at > HEALTH_REQUEST_INTERVAL_S
    }

    /// Whether a message may be sent that is no update and no response.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_update_in_flight()
    }

    /// The request for health reports is sent by itself.
    pub(super) fn health_requested(&mut self, now: f64, request_id: u64) {
        self.health_request_id = request_id;
        self.health_requested_at = now;
    }

    /// The request for health reports is sent with a lease response.
    pub(super) fn health_requested_in_response(&mut self, request_id: u64) {
        self.health_request_id = request_id;
    }
}
