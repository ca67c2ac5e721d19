//! An agent's view of the current incarnation of its worker: its clock, its lease and its runs.

use super::RunKey;
use crate::bounds::WORKER_CLOCK_DRIFT;
use crate::message::{Ended, Reachability, Running, WorkerInfo};
use std::time::Duration;

/// Number of consecutive unanswered polls after which a worker counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// A registration or heartbeat of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Properties of the worker.
    pub info: WorkerInfo,
    /// Sequence number, increasing within an incarnation; older registrations are ignored.
    pub sequence: u64,
}

/// A worker's answer to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunLists {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Active runs.
    pub running: Vec<Running>,
    /// Ended runs that the worker has not forgotten, ordered by sequence number.
    pub ended: Vec<Ended>,
    /// Whether rows are left out because they can't be read. Runs that are not listed may then be active or ended.
    pub incomplete: bool,
    /// Highest sequence number that may be acknowledged, because the end after it can't be read; `None` if all may be.
    pub acknowledgeable: Option<u64>,
}

/// State of one incarnation of the worker.
#[derive(Debug)]
pub(super) struct Session {
    pub info: WorkerInfo,
    /// Sequence number of the registration from which `info` was taken.
    sequence: u64,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
    /// Highest sequence number up to which all ends are recorded.
    pub recorded: u64,
    /// Highest sequence number that may be acknowledged, from the newest answer; `None` if all may be.
    acknowledgeable: Option<u64>,
    /// Whether a poll has been answered.
    pub polled: bool,
    /// Number of consecutive unanswered polls.
    pub failed_polls: u32,
    /// When the worker's clock was last read, and its value in milliseconds.
    clock_reading: Option<(Duration, u64)>,
    /// Latest end of a lease that a call requested, in milliseconds on the worker's clock.
    lease_end: u64,
}

impl Session {
    pub fn new(registration: Registration) -> Self {
        Self {
            info: registration.info,
            sequence: registration.sequence,
            running: Vec::new(),
            ended: Vec::new(),
            recorded: 0,
            acknowledgeable: None,
            polled: false,
            failed_polls: 0,
            clock_reading: None,
            lease_end: 0,
        }
    }

    /// Applies a registration of the same incarnation unless it is older than the current one. Draining never ends
    /// within an incarnation.
    pub fn refresh(&mut self, registration: Registration) {
        if registration.sequence >= self.sequence {
            let draining = self.info.draining || registration.info.draining;
            self.info = registration.info;
            self.info.draining = draining;
            self.sequence = registration.sequence;
        }
    }

    /// Estimates the time on the worker's clock; at most slightly behind its true value.
    pub fn clock(&mut self, now: Duration) -> Option<u64> {
        let (read_at, clock) = self.clock_reading?;
        Some(clock + super::millis(now.saturating_sub(read_at)))
    }

    /// Records that a call which may extend the lease to this time was sent.
    pub fn extend_lease(&mut self, deadline: Option<u64>) {
        self.lease_end = self.lease_end.max(deadline.unwrap_or_default());
    }

    /// Returns whether the worker can be reached.
    pub fn reachability(&self, now: Duration) -> Reachability {
        match self.clock_reading {
            _ if !self.polled => Reachability::Unknown,
            _ if self.failed_polls < UNREACHABLE_AFTER => Reachability::Reachable,
            Some((read_at, clock)) if self.lease_expired(now, read_at, clock) => {
                Reachability::LeaseExpired
            }
            _ => Reachability::Unreachable,
        }
    }

    /// Returns whether the lease has certainly expired, given the maximum clock drift since the worker's clock was
    /// read.
    fn lease_expired(&self, now: Duration, read_at: Duration, clock: u64) -> bool {
        let elapsed = now
            .saturating_sub(read_at)
            .mul_f64(1.0 - 2.0 * WORKER_CLOCK_DRIFT);
        clock + super::millis(elapsed) > self.lease_end
    }

    /// Applies the answer to a poll. Returns whether it differs from the previous answer.
    pub fn update(&mut self, now: Duration, lists: RunLists) -> bool {
        let runs = |listed_runs: &[Running]| {
            listed_runs
                .iter()
                .map(|listed_run| (listed_run.task, listed_run.run))
                .collect::<Vec<_>>()
        };
        let changed = !self.polled
            || self.failed_polls > 0
            || runs(&self.running) != runs(&lists.running)
            || self.ended != lists.ended;
        self.polled = true;
        self.failed_polls = 0;
        self.clock_reading = Some((now, lists.clock));
        self.running = lists.running;
        self.ended = lists.ended;
        self.acknowledgeable = lists.acknowledgeable;
        changed
    }

    /// Returns whether a run is listed as active.
    pub fn lists_active(&self, key: &RunKey) -> bool {
        self.running
            .iter()
            .any(|listed_run| (listed_run.task, listed_run.run) == *key)
    }

    /// Returns whether a run is listed as ended.
    pub fn lists_ended(&self, key: &RunKey) -> bool {
        self.ended.iter().any(|end| (end.task, end.run) == *key)
    }

    /// Returns whether an end is listed that is not recorded yet, or that can't be.
    pub fn has_unrecorded_ends(&self) -> bool {
        self.acknowledgeable.is_some() || self.ended.iter().any(|end| end.number > self.recorded)
    }

    /// Returns the sequence number up to which the worker may forget all ends.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledgeable
            .map_or(self.recorded, |limit| limit.min(self.recorded))
    }
}
