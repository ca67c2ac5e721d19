//! Settings of the router.

use crate::id::DomainId;
use std::time::Duration;

/// Limits and timeouts of the router.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Failure domain of this entry. Its targets are preferred among equally loaded ones.
    pub domain: DomainId,
    /// Greatest number of requests of one service that may wait in this entry.
    pub max_queued: usize,
    /// Time for which agents store keys. A target that was lost within this time may have run a
    /// key.
    pub key_window: Duration,
    /// Greatest age of the last heartbeat at which a target is still sent requests.
    pub heartbeat_limit: Duration,
    /// Longest wait for the replies of agents to a fence request.
    pub fence_time: Duration,
    /// Time after the first event during which no fence is concluded, so that agents that have not
    /// connected yet and targets that peer entries have not reported yet are taken into account.
    pub warm_up: Duration,
}

impl Settings {
    /// Returns the default settings for an entry in a failure domain.
    #[must_use]
    pub fn new(domain: impl Into<DomainId>) -> Self {
        Self {
            domain: domain.into(),
            max_queued: 10_000,
            key_window: Duration::from_secs(600),
            heartbeat_limit: Duration::from_millis(1_500),
            fence_time: Duration::from_secs(1),
            warm_up: Duration::from_secs(2),
        }
    }

    /// Sets the greatest number of requests of one service that may wait.
    #[must_use]
    pub const fn max_queued(mut self, count: usize) -> Self {
        self.max_queued = count;
        self
    }

    /// Sets the time for which agents store keys.
    #[must_use]
    pub const fn key_window(mut self, window: Duration) -> Self {
        self.key_window = window;
        self
    }

    /// Sets the time after the first event during which no fence is concluded.
    #[must_use]
    pub const fn warm_up(mut self, time: Duration) -> Self {
        self.warm_up = time;
        self
    }
}
