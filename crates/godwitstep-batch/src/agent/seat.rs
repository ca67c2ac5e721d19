//! The worker beside an agent: its current life, its clock, its lease and its lists.

use super::Key;
use crate::bounds::WORKER_DRIFT;
use crate::message::{About, Contact, Ended, Running};
use std::time::Duration;

/// Looks without an answer after which a worker counts as silent.
const MISSES: u32 = 2;

/// One registration of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// What it says of itself.
    pub about: About,
    /// Rises within a life; an older registration changes nothing.
    pub sequence: u64,
}

/// What a worker lists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lists {
    /// Its clock in milliseconds.
    pub clock: u64,
    /// Runs under way.
    pub running: Vec<Running>,
    /// Ended runs that it has not forgotten, by number.
    pub ended: Vec<Ended>,
}

/// One life of the worker.
#[derive(Debug)]
pub(super) struct Seat {
    pub about: About,
    /// Number of the registration that it comes from.
    sequence: u64,
    pub running: Vec<Running>,
    pub ended: Vec<Ended>,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// Whether the lists were read.
    pub seen: bool,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// The worker's clock and when it was read.
    reading: Option<(Duration, u64)>,
    /// Latest end of a lease that a call asked for, on the worker's clock.
    lease: u64,
}

impl Seat {
    pub fn new(registration: Registration) -> Self {
        Self {
            about: registration.about,
            sequence: registration.sequence,
            running: Vec::new(),
            ended: Vec::new(),
            recorded: 0,
            seen: false,
            misses: 0,
            reading: None,
            lease: 0,
        }
    }

    /// Takes a newer registration of the same life. Draining never ends within a life.
    pub fn refresh(&mut self, registration: Registration) {
        if registration.sequence >= self.sequence {
            let draining = self.about.draining || registration.about.draining;
            self.about = registration.about;
            self.about.draining = draining;
            self.sequence = registration.sequence;
        }
    }

    /// Returns the worker's clock, a little behind its true value at most.
    pub fn clock(&mut self, now: Duration) -> Option<u64> {
        let (at, clock) = self.reading?;
        Some(clock + super::millis(now.saturating_sub(at)))
    }

    /// Notes that a call was sent that may prolong the lease up to this time.
    pub fn note_deadline(&mut self, deadline: Option<u64>) {
        self.lease = self.lease.max(deadline.unwrap_or_default());
    }

    /// Tells whether the worker is reached.
    pub fn contact(&self, now: Duration) -> Contact {
        match self.reading {
            _ if !self.seen => Contact::Unseen,
            _ if self.misses < MISSES => Contact::Answers,
            Some((at, clock)) if self.lapsed(now, at, clock) => Contact::Lapsed,
            _ => Contact::Silent,
        }
    }

    /// Tells whether the lease has surely ended since the worker's clock was read.
    fn lapsed(&self, now: Duration, at: Duration, clock: u64) -> bool {
        let least = now.saturating_sub(at).mul_f64(1.0 - 2.0 * WORKER_DRIFT);
        clock + super::millis(least) > self.lease
    }

    /// Takes new lists. Returns whether they show something new.
    pub fn look(&mut self, now: Duration, lists: Lists) -> bool {
        let runs = |rows: &[Running]| {
            rows.iter()
                .map(|row| (row.task, row.run))
                .collect::<Vec<_>>()
        };
        let changed = !self.seen
            || self.misses > 0
            || runs(&self.running) != runs(&lists.running)
            || self.ended != lists.ended;
        self.seen = true;
        self.misses = 0;
        self.reading = Some((now, lists.clock));
        self.running = lists.running;
        self.ended = lists.ended;
        changed
    }

    /// Tells whether a run is listed as under way.
    pub fn lists(&self, key: &Key) -> bool {
        self.running.iter().any(|row| (row.task, row.run) == *key)
    }

    /// Tells whether a run is listed as ended.
    pub fn ended(&self, key: &Key) -> bool {
        self.ended.iter().any(|row| (row.task, row.run) == *key)
    }

    /// Tells whether an end is listed that has not been recorded.
    pub fn unrecorded(&self) -> bool {
        self.ended.iter().any(|row| row.number > self.recorded)
    }
}
