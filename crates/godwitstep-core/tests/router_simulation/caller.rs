//! Simulated callers that retry unanswered requests, and the comparison of their results with the
//! ledger of the targets.

use super::{ENTRIES, Simulation, ms};
use godwitstep_core::id::Key;
use godwitstep_core::key::Owner;
use godwitstep_core::router::{Outcome, Request};

const MAX_ATTEMPTS: usize = 5;

/// Result of one attempt, as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptResult {
    /// Not answered yet.
    Pending,
    /// The connection broke, or the caller closed it.
    Disconnected,
    Answered,
    Failed,
    NotRun,
    Unknown,
}

pub struct Caller {
    key: Key,
    idempotent: bool,
    /// Entry, identity and result of each attempt.
    attempts: Vec<(usize, Owner, AttemptResult)>,
    /// Time of the next attempt, or of the disconnect if an attempt is pending.
    next_action: u64,
    done: bool,
}

/// Numbers of requests by outcome.
#[derive(Debug, Default)]
pub struct Summary {
    pub submitted: usize,
    /// Answered, or reported as failed by the target.
    pub answered: usize,
    /// Answered after more than one attempt; included in `answered`.
    pub answered_after_retry: usize,
    pub not_run: usize,
}

impl Simulation {
    /// Adds callers until [`FAULTS_END`](super::FAULTS_END), starts the attempts that are due, and
    /// disconnects the callers that no longer wait.
    pub fn tick_callers(&mut self) {
        if !self.faults_ended() && self.rng.u8(..10) < 3 {
            self.active_callers.push(self.callers.len());
            self.callers.push(Caller {
                key: format!("w/{}", self.callers.len()).into(),
                idempotent: self.rng.u8(..3) == 0,
                attempts: Vec::new(),
                next_action: self.now,
                done: false,
            });
        }
        let callers = &self.callers;
        self.active_callers.retain(|index| !callers[*index].done);
        for index in self.active_callers.clone() {
            let caller = &self.callers[index];
            if caller.done || caller.next_action > self.now {
                continue;
            }
            if caller
                .attempts
                .last()
                .is_some_and(|(_, _, result)| *result == AttemptResult::Pending)
            {
                self.disconnect_caller(index);
            } else {
                self.attempt(index);
            }
        }
    }

    /// Submits a caller's request to a random entry.
    fn attempt(&mut self, index: usize) {
        let entry = self.rng.usize(..ENTRIES);
        let caller = &self.callers[index];
        let request = Request {
            sequence: 0,
            service: "s".into(),
            workspace: "w".into(),
            kind: "k".into(),
            key: caller.key.clone(),
            idempotent: caller.idempotent,
            attempt: u32::try_from(caller.attempts.len()).unwrap() + 1,
            deadline: ms(if self.inject_faults {
                self.rng.u64(150..3_000)
            } else {
                3_000
            }),
        };
        self.callers[index].next_action = if self.inject_faults && self.rng.u8(..20) == 0 {
            self.now + self.rng.u64(5..200)
        } else {
            u64::MAX
        };
        self.submitting_caller = index;
        if self.submit(entry, request).is_none() {
            self.callers[index].next_action = self.now + 20;
        }
    }

    /// Records an attempt before the entry handles it, because the answer may come at once.
    pub fn record_attempt(&mut self, entry: usize, incarnation: u64, sequence: u64) {
        let owner = Owner {
            incarnation,
            sequence,
        };
        let index = self.submitting_caller;
        self.callers[index]
            .attempts
            .push((entry, owner, AttemptResult::Pending));
        self.caller_by_request
            .insert((incarnation, sequence), index);
    }

    fn disconnect_caller(&mut self, index: usize) {
        let Some((entry, owner, result)) = self.callers[index].attempts.last_mut() else {
            return;
        };
        *result = AttemptResult::Disconnected;
        let (entry, sequence) = (*entry, owner.sequence);
        self.callers[index].next_action = self.now + 1;
        if self.callers[index].attempts.len() >= MAX_ATTEMPTS {
            self.callers[index].done = true;
        }
        self.deliver_to_entry(
            entry,
            godwitstep_core::router::Event::CallerDisconnected { sequence },
            None,
        );
    }

    /// Records the answer to an attempt, unless the caller has disconnected.
    pub fn record_outcome(&mut self, owner: Owner, outcome: &Outcome) {
        let index = self.caller_by_request[&(owner.incarnation, owner.sequence)];
        let caller = &mut self.callers[index];
        let attempt = caller
            .attempts
            .iter_mut()
            .find(|(_, attempt_owner, _)| *attempt_owner == owner)
            .unwrap();
        if attempt.2 != AttemptResult::Pending {
            return;
        }
        attempt.2 = match outcome {
            Outcome::Answered { .. } => AttemptResult::Answered,
            Outcome::Failed { .. } => AttemptResult::Failed,
            Outcome::NotRun(_) => AttemptResult::NotRun,
            Outcome::Unknown { .. } => AttemptResult::Unknown,
        };
        let has_result = matches!(attempt.2, AttemptResult::Answered | AttemptResult::Failed);
        let stops_retrying = caller.attempts.len() >= MAX_ATTEMPTS || self.rng.u8(..5) == 0;
        caller.done = has_result || stops_retrying;
        caller.next_action = self.now + self.rng.u64(1..600);
    }

    /// Breaks the connections of all callers that wait for an answer from an entry.
    pub fn disconnect_callers_of(&mut self, entry: usize) {
        for index in self.active_callers.clone() {
            let now = self.now;
            let caller = &mut self.callers[index];
            if let Some((attempt_entry, _, result @ AttemptResult::Pending)) =
                caller.attempts.last_mut()
                && *attempt_entry == entry
            {
                *result = AttemptResult::Disconnected;
                caller.next_action = now + self.rng.u64(1..400);
                caller.done = caller.attempts.len() >= MAX_ATTEMPTS;
            }
        }
    }

    /// Checks the results that the callers received against the runs at the targets, and returns
    /// the numbers of outcomes.
    pub fn check_results(&self) -> Summary {
        let mut summary = Summary::default();
        for caller in &self.callers {
            let key = &caller.key;
            let runs = self.runs.get(key).map_or(&[][..], Vec::as_slice);
            let attempts = &caller.attempts;
            assert!(
                caller.idempotent || runs.len() <= 1,
                "{key} ran for {runs:?}: {attempts:?}"
            );
            for (number, (_, owner, result)) in attempts.iter().enumerate() {
                assert_ne!(
                    *result,
                    AttemptResult::Pending,
                    "{key} has no answer: {attempts:?}"
                );
                if *result != AttemptResult::NotRun {
                    continue;
                }
                // Neither this attempt nor, unless the request is idempotent, any earlier one may
                // have run, before or after the answer.
                let first = if caller.idempotent { number } else { 0 };
                let contradicted = attempts[first..=number]
                    .iter()
                    .any(|(_, owner, _)| runs.contains(owner));
                assert!(
                    !contradicted,
                    "{key} was answered as not run for {owner:?}, but ran for {runs:?}"
                );
            }
            let last = attempts.last().map(|(_, _, result)| *result);
            let answered =
                last == Some(AttemptResult::Answered) || last == Some(AttemptResult::Failed);
            assert!(
                !answered || !runs.is_empty(),
                "{key} was answered but did not run"
            );
            summary.submitted += 1;
            summary.answered += usize::from(answered);
            summary.answered_after_retry += usize::from(answered && attempts.len() > 1);
            summary.not_run += usize::from(last == Some(AttemptResult::NotRun));
        }
        summary
    }
}
