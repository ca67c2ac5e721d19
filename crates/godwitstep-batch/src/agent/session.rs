//! An agent's view of its worker: the worker's properties, clock, lease and runs.

use super::RunKey;
use super::crash::Loss;
use super::room::Room;
use crate::bounds::WORKER_CLOCK_DRIFT;
use crate::id::Incarnation;
use crate::message::{Ended, Reachability, Running, WorkerInfo};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of consecutive unanswered polls after which a worker counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;

/// Time after its sending for which a worker waits for the acknowledgement of a heartbeat. Later ones were sent after a
/// deregistration.
const HEARTBEAT_DELAY: Duration = Duration::from_secs(1);

/// A registration or heartbeat of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Properties of the worker.
    pub info: WorkerInfo,
    /// Sequence number, increasing within an incarnation. That of another writer may be of any size.
    pub sequence: u64,
}

/// A worker's answer to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunLists {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Start of the worker in Unix milliseconds, if the answer names it.
    pub started_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<Running>,
    /// Ended runs that the worker has not forgotten, ordered by sequence number.
    pub ended: Vec<Ended>,
    /// Whether the worker may have more ended runs than it lists at a time.
    pub truncated: bool,
    /// Whether rows are left out because they can't be read. Runs that are not listed may then be active or ended.
    pub incomplete: bool,
    /// Highest sequence number that may be acknowledged, because the end after it can't be read; `None` if all may be.
    pub acknowledgeable: Option<u64>,
}

/// Properties of one incarnation of the worker, from its registrations.
///
/// They don't change within an incarnation, except that it may begin to drain and that its capacity may change. A
/// registration of another writer is therefore told from the worker's own by its properties, not by its sequence number,
/// which may be of any size.
#[derive(Debug)]
pub(super) struct Facts {
    pub info: WorkerInfo,
    /// Evidence for the capacity in `info`.
    room: Room,
    /// Properties in the last registration that differ from `info`; they apply once the next registration has the same.
    /// The capacity is that of `info`.
    unconfirmed: Option<WorkerInfo>,
}

impl Facts {
    pub fn new(now: Duration, registration: Registration) -> Self {
        Self {
            room: Room::new(now, registration.sequence, registration.info.capacity),
            info: registration.info,
            unconfirmed: None,
        }
    }

    pub const fn incarnation(&self) -> &Incarnation {
        &self.info.incarnation
    }

    /// Applies a registration of the same incarnation. Draining never ends within an incarnation, so each
    /// registration that says so counts, even a late one.
    pub fn register(&mut self, now: Duration, registration: Registration) {
        let mut info = registration.info;
        info.draining |= self.info.draining;
        self.info.draining = info.draining;
        self.room
            .register(now, registration.sequence, info.capacity);
        info.capacity = self.room.usable();
        self.info.capacity = info.capacity;
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.capacity = info.capacity;
        }
        if self.info == info {
            self.unconfirmed = None;
        } else if self.unconfirmed.as_ref() == Some(&info) {
            self.info = info;
            self.unconfirmed = None;
        } else {
            self.unconfirmed = Some(info);
        }
    }
}

/// State of the incarnation of the worker that has answered.
#[derive(Debug)]
pub(super) struct Session {
    pub facts: Facts,
    /// Address at which the worker answered first.
    pub address: SocketAddr,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
    /// When each active run was first listed.
    pub listed_since: BTreeMap<RunKey, Duration>,
    /// Highest sequence number up to which all ends are recorded.
    pub recorded: u64,
    /// Highest sequence number that may be acknowledged, from the newest answer; `None` if all may be.
    acknowledgeable: Option<u64>,
    /// Number of consecutive unanswered polls.
    pub failed_polls: u32,
    /// Whether, since the worker's last answer, its address has refused a connection or answered as another
    /// incarnation.
    pub absent: bool,
    /// Time until which the next incarnation with the worker's name, which has answered in its place, may run a start that
    /// was meant for this one; `None` if none has answered.
    pub late_starts_end: Option<Duration>,
    /// When the worker last answered any call.
    pub contact_at: Duration,
    /// What ran when the polls began to fail; `None` after an answer.
    pub loss: Option<Loss>,
    /// When a deregistration under the worker's name last arrived. It shows that the worker ends soon, or came late
    /// from an earlier incarnation.
    pub leaving_since: Option<Duration>,
    /// Sending time of the newest poll or probe that the worker answered.
    last_answered: Duration,
    /// When the worker is probed next, in addition to the regular polls.
    pub probe_at: Option<Duration>,
    /// When the worker's clock was last read, and its value in milliseconds.
    clock_reading: (Duration, u64),
    /// Latest end of a lease that a call requested, in milliseconds on the worker's clock. Not before the deadline of any
    /// start that was sent.
    lease_end: u64,
    /// Sequence number of the last report before the room became smaller; 0 while it has not. Starts that answer it or an
    /// earlier one may not fit; they wait for an order that answers a later report.
    pub larger_room_through: u64,
}

impl Session {
    /// Returns the session of a worker that has answered a poll. An earlier process of the agent may have requested a
    /// lease that ends after `lease` from then.
    pub fn new(
        now: Duration,
        facts: Facts,
        address: SocketAddr,
        lists: RunLists,
        lease: Duration,
    ) -> Self {
        let listed_since = keys(&lists.running).map(|key| (key, now)).collect();
        Self {
            facts,
            address,
            running: lists.running,
            listed_since,
            ended: lists.ended,
            recorded: 0,
            acknowledgeable: lists.acknowledgeable,
            failed_polls: 0,
            absent: false,
            late_starts_end: None,
            contact_at: now,
            loss: None,
            leaving_since: None,
            last_answered: Duration::ZERO,
            probe_at: None,
            clock_reading: (now, lists.clock),
            lease_end: lists.clock.saturating_add(super::millis(lease)),
            larger_room_through: 0,
        }
    }

    pub const fn incarnation(&self) -> &Incarnation {
        self.facts.incarnation()
    }

    /// Applies a registration of the worker, which may show that a deregistration was not meant for it. `reported` is the
    /// sequence number of the last report.
    pub fn register(&mut self, now: Duration, reported: u64, registration: Registration) {
        let room = self.facts.info.capacity;
        self.facts.register(now, registration);
        if !room.fits(&self.facts.info.capacity) {
            self.larger_room_through = reported;
        }
        let (draining, answered) = (self.facts.info.draining, self.last_answered);
        self.leaving_since
            .take_if(|since| !draining && answered > *since && now >= *since + HEARTBEAT_DELAY);
    }

    /// Returns whether the worker gets no new runs, because it drains or has deregistered.
    pub const fn draining(&self) -> bool {
        self.facts.info.draining || self.leaving_since.is_some()
    }

    /// Records that the worker answered a poll or probe that was sent at this time.
    pub fn answered(&mut self, now: Duration, requested: Duration) {
        self.last_answered = self.last_answered.max(requested);
        self.absent = false;
        self.late_starts_end = None;
        self.contact_at = now;
        self.loss = None;
    }

    /// Estimates the time on the worker's clock; at most slightly behind its true value.
    pub fn clock(&self, now: Duration) -> u64 {
        let (read_at, clock) = self.clock_reading;
        clock.saturating_add(super::millis(now.saturating_sub(read_at)))
    }

    /// Records that a call which may extend the lease to this time was sent.
    pub fn extend_lease(&mut self, deadline: Option<u64>) {
        self.lease_end = self.lease_end.max(deadline.unwrap_or_default());
    }

    /// Returns whether the last polls were not answered.
    pub const fn is_unreachable(&self) -> bool {
        self.failed_polls >= UNREACHABLE_AFTER
    }

    /// Returns whether the worker does not answer and nothing runs there any more.
    pub fn is_gone(&self, now: Duration) -> bool {
        let late_starts_ended = self.late_starts_end.is_none_or(|end| now >= end);
        self.is_unreachable() && self.has_lease_expired(now) && late_starts_ended
    }

    /// Returns whether another incarnation with the worker's name has answered in its place.
    pub const fn has_restarted(&self) -> bool {
        self.late_starts_end.is_some()
    }

    /// Returns whether the worker's process has ended and no next one with its name can run what was meant for it.
    pub fn has_left(&self, now: Duration) -> bool {
        (self.absent && !self.has_restarted()) || self.is_gone(now)
    }

    /// Returns whether the worker can be reached.
    pub fn reachability(&self, now: Duration) -> Reachability {
        if self.is_gone(now) {
            Reachability::LeaseExpired
        } else if self.is_unreachable() {
            Reachability::Unreachable
        } else {
            Reachability::Reachable
        }
    }

    /// Returns whether the lease has certainly expired, given the maximum clock drift since the worker's clock was
    /// read.
    fn has_lease_expired(&self, now: Duration) -> bool {
        let (read_at, clock) = self.clock_reading;
        let elapsed = now
            .saturating_sub(read_at)
            .mul_f64(1.0 - 2.0 * WORKER_CLOCK_DRIFT);
        clock.saturating_add(super::millis(elapsed)) > self.lease_end
    }

    /// Applies the answer to a poll. Returns whether it differs from the previous answer.
    pub fn update(&mut self, now: Duration, lists: RunLists) -> bool {
        let runs = |listed_runs: &[Running]| {
            listed_runs
                .iter()
                .map(|listed_run| (listed_run.task, listed_run.run))
                .collect::<Vec<_>>()
        };
        let changed = self.failed_polls > 0
            || runs(&self.running) != runs(&lists.running)
            || self.ended != lists.ended;
        self.failed_polls = 0;
        self.clock_reading = (now, lists.clock);
        let known = std::mem::take(&mut self.listed_since);
        self.listed_since = keys(&lists.running)
            .map(|key| (key, known.get(&key).copied().unwrap_or(now)))
            .collect();
        self.running = lists.running;
        self.ended = lists.ended;
        self.acknowledgeable = lists.acknowledgeable;
        changed
    }

    /// Returns whether a run is listed as active.
    pub fn lists_active(&self, key: &RunKey) -> bool {
        self.listed_since.contains_key(key)
    }

    /// Returns whether a run is listed as ended.
    pub fn lists_ended(&self, key: &RunKey) -> bool {
        self.ended.iter().any(|end| (end.task, end.run) == *key)
    }

    /// Returns whether an end is listed that is not recorded yet, or that can't be.
    pub fn has_unrecorded_ends(&self) -> bool {
        self.acknowledgeable.is_some() || self.ended.iter().any(|end| end.number > self.recorded)
    }

    /// Returns the sequence number up to which the worker may forget all ends; 0 once it has restarted under its name, as
    /// the next incarnation would forget its own.
    pub fn acknowledged(&self) -> u64 {
        if self.has_restarted() {
            return 0;
        }
        self.acknowledgeable
            .map_or(self.recorded, |limit| limit.min(self.recorded))
    }
}

/// Returns the keys of active runs.
fn keys(running: &[Running]) -> impl Iterator<Item = RunKey> {
    running
        .iter()
        .map(|listed_run| (listed_run.task, listed_run.run))
}
