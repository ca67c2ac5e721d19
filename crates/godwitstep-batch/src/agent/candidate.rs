//! Registered incarnations that may replace an agent's worker.
//!
//! A registration may come from another writer, or from a worker that has crashed since. It therefore makes its
//! incarnation a candidate only, which the agent polls to learn whether it is alive.

use super::session::{Facts, Registration};
use crate::id::Incarnation;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of candidates; the one whose last registration is the oldest is dropped first.
const MAX_CANDIDATES: usize = 4;
/// Time after its last registration for which a candidate is kept. Workers register several times within it.
const CANDIDATE_RETENTION: Duration = Duration::from_secs(10);
/// Time after a registration within which a candidate that does not answer is polled again.
const RETRY_WINDOW: Duration = Duration::from_secs(1);
/// Pause between two polls of a candidate.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A registered incarnation that has not taken over.
#[derive(Debug)]
pub(super) struct Candidate {
    pub facts: Facts,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// When it registered first.
    registered_at: Duration,
    /// When it registered last.
    last_registered_at: Duration,
    /// Whether a worker with its name has deregistered.
    pub leaving: bool,
    /// Whether its address has refused a connection or answered as another incarnation.
    absent: bool,
    /// When it was polled last.
    probed_at: Option<Duration>,
    /// When it is polled next; `None` if that waits for another event.
    probe_at: Option<Duration>,
}

/// The candidates of an agent.
#[derive(Debug)]
pub(super) struct Candidates(Vec<Candidate>);

impl Candidates {
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds or updates a candidate, which is then due to be polled. Returns whether it is new.
    pub fn register(
        &mut self,
        now: Duration,
        registration: Registration,
        address: SocketAddr,
    ) -> bool {
        self.0
            .retain(|candidate| now < candidate.last_registered_at + CANDIDATE_RETENTION);
        let incarnation = registration.info.incarnation.clone();
        if let Some(candidate) = self.get_mut(&incarnation) {
            candidate.facts.register(now, registration);
            candidate.address = address;
            candidate.last_registered_at = now;
            candidate.probe_at.get_or_insert(now);
            return false;
        }
        if self.0.len() >= MAX_CANDIDATES {
            let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].last_registered_at);
            self.0.remove(oldest.unwrap_or_default());
        }
        self.0.push(Candidate {
            facts: Facts::new(now, registration),
            address,
            registered_at: now,
            last_registered_at: now,
            leaving: false,
            absent: false,
            probed_at: None,
            probe_at: Some(now),
        });
        true
    }

    /// Marks the candidates with a worker's name as deregistered; they are then due to be polled.
    pub fn deregister(&mut self, now: Duration, worker: &str) {
        let with_name =
            |candidate: &&mut Candidate| &*candidate.facts.incarnation().worker == worker;
        for candidate in self.0.iter_mut().filter(with_name) {
            candidate.leaving = true;
            candidate.probe_at = Some(now);
        }
    }

    /// Returns whether a worker with a candidate's name has deregistered.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.0
            .iter()
            .any(|candidate| candidate.leaving && candidate.facts.incarnation() == incarnation)
    }

    fn get_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Candidate> {
        self.0
            .iter_mut()
            .find(|candidate| candidate.facts.incarnation() == incarnation)
    }

    /// Returns the candidate to poll at this time: the one that was not polled for the longest time, so that others
    /// that do not answer delay it by one poll each; among equal ones the one that registered last.
    pub fn due(&self, now: Duration) -> Option<&Candidate> {
        let due = |candidate: &&Candidate| candidate.probe_at.is_some_and(|at| at <= now);
        self.0
            .iter()
            .filter(due)
            .min_by_key(|candidate| (candidate.probed_at, Reverse(candidate.last_registered_at)))
    }

    /// Records that an incarnation is polled. Returns whether it is a candidate that was not polled before.
    pub fn probed(&mut self, now: Duration, incarnation: &Incarnation) -> bool {
        self.get_mut(incarnation)
            .is_some_and(|candidate| candidate.probed_at.replace(now).is_none())
    }

    /// Returns the earliest time at which a candidate is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.0
            .iter()
            .filter_map(|candidate| candidate.probe_at)
            .min()
    }

    /// Schedules the next poll of a candidate that was polled without success.
    pub fn retry(&mut self, now: Duration, incarnation: &Incarnation) {
        if let Some(candidate) = self.get_mut(incarnation) {
            let again = now < candidate.last_registered_at + RETRY_WINDOW;
            candidate.probe_at = again.then_some(now + RETRY_DELAY);
        }
    }

    /// Records that a candidate's address refused a connection or answered as another incarnation.
    pub fn note_absence(&mut self, incarnation: &Incarnation) {
        if let Some(candidate) = self.get_mut(incarnation) {
            candidate.absent = true;
        }
    }

    /// Returns whether another candidate may be alive beside the one that has answered at an address.
    pub fn has_other(&self, incarnation: &Incarnation, address: SocketAddr) -> bool {
        self.0.iter().any(|candidate| {
            let other = candidate.facts.incarnation() != incarnation;
            other && candidate.address != address && !candidate.absent
        })
    }

    /// Makes all candidates due, because the current worker may be gone.
    pub fn expedite(&mut self, now: Duration) {
        for candidate in &mut self.0 {
            candidate.probe_at = Some(now);
        }
    }

    /// Removes a candidate that takes over.
    pub fn take(&mut self, incarnation: &Incarnation) -> Option<Candidate> {
        let index = self
            .0
            .iter()
            .position(|candidate| candidate.facts.incarnation() == incarnation)?;
        Some(self.0.swap_remove(index))
    }

    /// Removes the candidates that registered by this time, because the current worker was alive after it.
    pub fn take_registered_by(&mut self, time: Duration) -> Vec<Incarnation> {
        let (refuted, kept) = std::mem::take(&mut self.0)
            .into_iter()
            .partition(|candidate| candidate.registered_at <= time);
        self.0 = kept;
        let refuted: Vec<Candidate> = refuted;
        refuted
            .iter()
            .map(|candidate| candidate.facts.incarnation().clone())
            .collect()
    }
}
