//! The session of one router with the leader: which updates were sent, and which of them the router
//! acknowledged.

/// An update that isn't acknowledged within this time is sent again. The time doubles with each
/// lost update, up to [`MAX_RETRY_BACKOFF_S`].
const INITIAL_RETRY_BACKOFF_S: f64 = 1.0;
const MAX_RETRY_BACKOFF_S: f64 = 8.0;
/// Minimum time between two requests for health reports that aren't part of a lease response.
const HEALTH_REQUEST_INTERVAL_S: f64 = 0.2;

/// What the router of a session lacks, which determines the updates that can be sent to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingUpdates {
    /// The number of the last update that was sent; 0 for none of this leader.
    pub(super) after_number: u64,
    /// A snapshot must not be older than the update with this number.
    pub(super) min_snapshot_number: u64,
    /// The epoch of the router's configuration, if that configuration is outdated.
    pub(super) base_config_epoch: Option<u64>,
}

/// The state of one router's connection.
#[derive(Clone, Debug)]
pub(super) struct RouterSession {
    router: String,
    /// The number of the last update that was sent; 0 for none of this leader.
    sent_number: u64,
    /// The number of the last update that the router acknowledged.
    acknowledged_number: u64,
    /// The number of the last update that the router acknowledged on an earlier session. The router
    /// must not be sent an older snapshot.
    min_snapshot_number: u64,
    /// The epoch of the configuration that was sent, or that the router has.
    config_epoch: u64,
    /// Time at which the last update was sent.
    sent_at: f64,
    /// The last update counts as lost if it isn't acknowledged within this time, in seconds.
    retry_backoff: f64,
    /// Id of the last request for health reports that was sent.
    health_request_id: u64,
    /// Time at which a request for health reports was last sent separately, not as part of a lease
    /// response.
    health_requested_at: f64,
}

impl RouterSession {
    /// Creates the session of a router that has acknowledged the update `acknowledged_number` of
    /// this leader.
    pub(super) fn new(
        router: String,
        acknowledged_number: u64,
        min_snapshot_number: u64,
        config_epoch: u64,
    ) -> RouterSession {
        RouterSession {
            router,
            sent_number: acknowledged_number,
            acknowledged_number,
            min_snapshot_number,
            config_epoch,
            sent_at: f64::NEG_INFINITY,
            retry_backoff: INITIAL_RETRY_BACKOFF_S,
            health_request_id: 0,
            health_requested_at: f64::NEG_INFINITY,
        }
    }

    /// Returns the router's name.
    pub(super) fn router(&self) -> &str {
        &self.router
    }

    /// Returns the number of the last update that the router acknowledged; 0 for none of this
    /// leader.
    pub(super) fn acknowledged_number(&self) -> u64 {
        self.acknowledged_number
    }

    fn has_update_in_flight(&self) -> bool {
        self.sent_number > self.acknowledged_number
    }

    /// Records that the router acknowledges the updates up to this number, and that it uses the
    /// configuration with this epoch: 0 if it could not use the one that was sent. If an update in
    /// flight counts as lost, the session goes back to what was acknowledged.
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

    /// Returns whether an update is to be sent, given the number of the newest update and the epoch
    /// of the newest configuration.
    pub(super) fn is_update_due(&self, number: u64, config_epoch: u64) -> bool {
        let is_outdated = self.sent_number < number || self.config_epoch < config_epoch;
        !self.has_update_in_flight() && is_outdated
    }

    /// Returns what the router lacks, given the epoch of the newest configuration.
    pub(super) fn missing(&self, config_epoch: u64) -> MissingUpdates {
        MissingUpdates {
            after_number: self.sent_number,
            min_snapshot_number: self.min_snapshot_number,
            base_config_epoch: (self.config_epoch < config_epoch).then_some(self.config_epoch),
        }
    }

    /// Records that the update with this number is sent, with the configuration of this epoch; 0 if
    /// it contains no configuration.
    pub(super) fn update_sent(&mut self, now: f64, number: u64, config_epoch: u64) {
        self.sent_number = number;
        self.config_epoch = self.config_epoch.max(config_epoch);
        self.sent_at = now;
    }

    /// Returns whether the request for health reports with this id wasn't sent yet and may be sent
    /// separately now.
    pub(super) fn is_health_request_due(&self, now: f64, request_id: u64) -> bool {
        self.health_request_id < request_id
            && now - self.health_requested_at > HEALTH_REQUEST_INTERVAL_S
    }

    /// Returns whether no update is in flight, so that a message may be sent that is neither an
    /// update nor a response.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_update_in_flight()
    }

    /// Records that the request for health reports is sent separately.
    pub(super) fn health_requested(&mut self, now: f64, request_id: u64) {
        self.health_request_id = request_id;
        self.health_requested_at = now;
    }

    /// Records that the request for health reports is sent as part of a lease response.
    pub(super) fn health_requested_in_response(&mut self, request_id: u64) {
        self.health_request_id = request_id;
    }
}
