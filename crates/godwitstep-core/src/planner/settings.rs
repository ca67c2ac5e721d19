//! Timeouts, intervals and limits of the planner.

use std::time::Duration;

/// Timeouts, intervals and limits of the planner. The defaults are those of the design
/// documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time in which all parts of a gang must be held.
    pub reserve_limit: Duration,
    /// Time from a failed reservation to the next attempt.
    pub retry_delay: Duration,
    /// Time between resends of commits and settles.
    pub resend_interval: Duration,
    /// Time in which all commits must be acknowledged.
    pub commit_limit: Duration,
    /// Time for which settles are resent. A part that has not received one by then has stopped
    /// itself.
    pub settle_limit: Duration,
    /// Time in which a job may save its state; afterwards it is stopped without a checkpoint.
    pub checkpoint_limit: Duration,
    /// Time between resends of stops.
    pub stop_resend_interval: Duration,
    /// Duration of a worker's lease. Gangs with parts on a worker that is lost for longer are
    /// stopped.
    pub lease: Duration,
    /// Time after which a lost worker that is still running has stopped its parts for lack of
    /// contact. Jobs that had a part there are restarted only afterwards.
    pub silence_limit: Duration,
    /// Time after an announcement in which the end of a part that its inventory lacks may still be
    /// reported.
    pub inventory_grace: Duration,
    /// Time between two attempts to place the holder of a reservation on other accelerators.
    pub review_interval: Duration,
    /// Time after which a reservation is planned again.
    pub reservation_lifetime: Duration,
    /// Largest number of simultaneous reservations. Each takes up to 512 workers out of use for
    /// jobs that run too long, so more reservations would cost more capacity than they gain.
    pub max_reservations: usize,
    /// Time after a takeover, and after the last new worker, in which more workers may announce
    /// themselves. Only afterwards is a job refused as too large, because workers whose links are
    /// down are not counted.
    pub discovery_window: Duration,
    /// Jobs per second that are moved out of a failure domain, or started in one that returned to
    /// service.
    pub jobs_per_second: u32,
    /// Time for which starts are rate-limited in a failure domain that returned to service.
    pub ramp_up: Duration,
    /// Largest number of jobs considered on one event. Bounds the decision time; the next event
    /// continues with the rest.
    pub attempts_per_event: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reserve_limit: Duration::from_secs(5),
            retry_delay: Duration::from_secs(5),
            resend_interval: Duration::from_millis(500),
            commit_limit: Duration::from_secs(5),
            settle_limit: Duration::from_secs(10),
            checkpoint_limit: Duration::from_secs(20),
            stop_resend_interval: Duration::from_secs(1),
            lease: Duration::from_secs(10),
            silence_limit: Duration::from_secs(30),
            inventory_grace: Duration::from_secs(1),
            review_interval: Duration::from_secs(5),
            reservation_lifetime: Duration::from_secs(60),
            max_reservations: 4,
            discovery_window: Duration::from_secs(60),
            jobs_per_second: 16,
            ramp_up: Duration::from_secs(30),
            attempts_per_event: 32,
        }
    }
}
