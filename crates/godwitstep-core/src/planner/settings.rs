//! Times and limits of the planner.

use std::time::Duration;

/// Times and limits of the planner. The defaults are those of the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time in which all parts of a gang must be held.
    pub reserve_limit: Duration,
    /// Time after a failed reservation until the job is tried again.
    pub retry: Duration,
    /// Time between repeated commits and settles.
    pub repeat: Duration,
    /// Time in which all commits must be acknowledged.
    pub commit_limit: Duration,
    /// Time for which settles are repeated. A part that never gets one has stopped itself by then.
    pub settle_limit: Duration,
    /// Time given to save a job's state before it is stopped without.
    pub checkpoint_limit: Duration,
    /// Time between repeated stops.
    pub stop_repeat: Duration,
    /// Life of a worker's lease: parts of a worker that is lost for longer do not run any more.
    pub lease: Duration,
    /// Time after which a lost worker that is alive has stopped its parts for want of contact. No
    /// job that had a part there is started again before.
    pub silence: Duration,
    /// Time after an announcement in which the end of a part that it lacks may still be reported.
    pub inventory_grace: Duration,
    /// Time between two looks for room elsewhere for the holder of a reservation.
    pub review: Duration,
    /// Time after which a reservation is planned anew.
    pub reservation_life: Duration,
    /// Number of reservations at the same time. Each takes up to 512 workers out of use for jobs
    /// that run too long, so more would cost more than they give.
    pub reservations: usize,
    /// Time after a take-over, and after the last new worker, in which more workers may announce
    /// themselves. A job is refused as too large only afterwards, because links that are down
    /// would make the region look small.
    pub discovery: Duration,
    /// Jobs a second that are moved out of a failure domain, or started in one that returned.
    pub pace: u32,
    /// Time for which starts are paced in a failure domain that returned.
    pub return_time: Duration,
    /// Jobs considered on one event. Bounds the time of a decision; the rest follows on the next
    /// event.
    pub attempts_per_event: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reserve_limit: Duration::from_secs(5),
            retry: Duration::from_secs(5),
            repeat: Duration::from_millis(500),
            commit_limit: Duration::from_secs(5),
            settle_limit: Duration::from_secs(10),
            checkpoint_limit: Duration::from_secs(20),
            stop_repeat: Duration::from_secs(1),
            lease: Duration::from_secs(10),
            silence: Duration::from_secs(30),
            inventory_grace: Duration::from_secs(1),
            review: Duration::from_secs(5),
            reservation_life: Duration::from_secs(60),
            reservations: 4,
            discovery: Duration::from_secs(60),
            pace: 16,
            return_time: Duration::from_secs(30),
            attempts_per_event: 32,
        }
    }
}
