//! Execution of the decider's orders: which calls to the worker are due, and what their answers show.

use super::call::{Answer, Call, Operation, Pending, Resolution};
use super::{Agent, RunKey, START_TTL, millis};
use crate::bounds::DELIVERY_ALLOWANCE;
use crate::message::{Refusal, Refused, Start};
use std::time::Duration;

/// Time after the start of the agent's process within which the worker may execute a start that an earlier process sent:
/// its time to live on the worker's clock, which may be slow and was estimated.
const PREDECESSOR_START_TIME: Duration = START_TTL.saturating_add(DELIVERY_ALLOWANCE);

impl Agent {
    pub(super) fn enqueue_start(&mut self, order: u64, expires: Duration, start: Start) {
        let key = (start.task, start.run);
        let known = self.resolving.contains_key(&key)
            || self
                .session
                .as_ref()
                .is_some_and(|session| session.lists_active(&key) || session.lists_ended(&key));
        if known
            || self
                .refused
                .iter()
                .any(|(_, refused)| (refused.task, refused.run) == key)
        {
            return;
        }
        self.pending
            .entry(key)
            .or_insert_with(|| Pending::new(Operation::Start(start), order, expires))
            .extend(order, expires);
    }

    pub(super) fn enqueue_stop(&mut self, now: Duration, order: u64, key: RunKey) {
        let session = self.session.as_ref();
        if session.is_some_and(|session| session.lists_ended(&key)) {
            return;
        }
        let active = session.is_some_and(|session| session.lists_active(&key));
        let stopping = self.resolving.get(&key).is_some_and(|resolution| {
            let overdue = resolution.since + self.bounds.max_stop_time * 2 < now;
            resolution.refusal.is_some() && !(active && overdue)
        });
        if stopping
            || self
                .refused
                .iter()
                .any(|(_, refused)| (refused.task, refused.run) == key)
        {
            return;
        }
        let unanswered = match self.pending.get(&key) {
            Some(pending) if matches!(pending.operation, Operation::Stop(_)) => return,
            Some(pending) => pending.in_doubt(),
            None => true,
        };
        let mut stop = Pending::new(Operation::Stop(Refusal::Withdrawn), order, Duration::MAX);
        stop.unanswered = unanswered;
        self.pending.insert(key, stop);
    }

    /// Returns the calls that are due and marks them as in flight.
    pub fn due_calls(&mut self, now: Duration) -> Vec<Call> {
        let token = self.fence.token();
        let Some(session) = &mut self.session else {
            return Vec::new();
        };
        let clock = session.clock(now);
        let deadline = clock.saturating_add(millis(START_TTL));
        // A start on a worker that does not answer could extend the lease whose end shows that nothing runs there, and one
        // on a worker that has restarted could be carried out by its next incarnation.
        let accepts_starts = !session.draining() && !session.absent && !session.is_unreachable();
        let mut calls = Vec::new();
        for (key, pending) in &mut self.pending {
            let may_fit = pending.order > session.larger_room_through;
            let allowed = (accepts_starts && may_fit) || !pending.starts_run();
            if !allowed || !pending.due(now) {
                continue;
            }
            pending.mark_in_flight();
            calls.push(Call {
                incarnation: session.incarnation().clone(),
                key: *key,
                token,
                operation: pending.operation.clone(),
                deadline,
                clock,
                order: pending.order,
                attempt: pending.attempts,
            });
        }
        let starts = |call: &Call| matches!(call.operation, Operation::Start(_));
        if calls.iter().any(starts) {
            session.extend_lease(Some(deadline));
        }
        calls
    }

    /// Returns the time of the earliest scheduled retry.
    #[must_use]
    pub fn next_retry(&self) -> Option<Duration> {
        self.pending.values().filter_map(Pending::retry_at).min()
    }

    /// Processes the answer to a call. Returns whether to send a report at once.
    pub fn call_answered(&mut self, now: Duration, call: &Call, answer: Answer) -> bool {
        if self.incarnation() != Some(&call.incarnation) {
            return false;
        }
        if !matches!(answer, Answer::Unanswered | Answer::OtherLife)
            && let Some(session) = &mut self.session
        {
            session.contact_at = now;
        }
        let Some(pending) = self.pending.get_mut(&call.key) else {
            return false;
        };
        if !pending.matches(&call.operation) {
            // The order was replaced while the call was in flight.
            return false;
        }
        let begun = self
            .resolving
            .get(&call.key)
            .is_some_and(|resolution| resolution.begun);
        let resolution = match (answer, &pending.operation) {
            (Answer::Unanswered, _) => {
                pending.retry(now, true);
                return false;
            }
            // The worker has not carried out the call. Other answers to a stop than these show that it has.
            (Answer::Late, _)
            | (Answer::Unhealthy | Answer::Malformed | Answer::Room, Operation::Stop(_)) => {
                pending.retry(now, false);
                return false;
            }
            (Answer::Fenced, _) if call.token < self.fence.token() => {
                // The token was raised after the call was sent.
                pending.retry(now, false);
                return false;
            }
            (Answer::Fenced | Answer::OtherLife, _) => None,
            (Answer::Accepted, Operation::Start(_)) => Some(Resolution::begun(now)),
            (Answer::Superseded, Operation::Start(_)) => {
                Some(Resolution::stopped(now, begun, Refusal::Superseded))
            }
            (Answer::Unhealthy, Operation::Start(_)) => {
                return self.settle_refused(now, call.key, Refusal::Unhealthy);
            }
            (Answer::Room, Operation::Start(_)) => {
                return self.settle_refused(now, call.key, Refusal::InsufficientCapacity);
            }
            (Answer::Malformed, Operation::Start(_)) => {
                return self.settle_refused(now, call.key, Refusal::Malformed);
            }
            (_, Operation::Stop(reason)) => Some(Resolution::stopped(now, begun, *reason)),
        };
        self.pending.remove(&call.key);
        let Some(resolution) = resolution else {
            return false;
        };
        self.resolving.insert(call.key, resolution);
        true
    }

    /// Processes the refusal of a start. If an earlier call of the same start may still be executed, by this process of
    /// the agent or the one before, a stop has to rule that out first.
    fn settle_refused(&mut self, now: Duration, key: RunKey, reason: Refusal) -> bool {
        let start = self.pending.remove(&key);
        let order = start.as_ref().map_or(0, |start| start.order);
        let unanswered = start.is_some_and(|start| start.unanswered);
        if unanswered || now < self.started_at + PREDECESSOR_START_TIME {
            let stop = Pending::new(Operation::Stop(reason), order, Duration::MAX);
            self.pending.insert(key, stop);
            return false;
        }
        let (task, run) = key;
        self.refused.push((now, Refused { task, run, reason }));
        true
    }
}
