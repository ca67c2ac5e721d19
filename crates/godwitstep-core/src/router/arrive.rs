//! Arrival and admission of requests.

use super::pending::{PendingRequest, Phase};
use super::{Action, Outcome, Refusal, Request, Router, Sequence};
use crate::admission::expected_wait;
use crate::id::ServiceId;
use crate::reason::Reason;
use std::time::Duration;

/// Retry-after time while no request may start through this entry.
const HALTED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry-after time while a service has no target. Agents announce their targets within 1 s of
/// reconnecting.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Greatest share of the time until the latest start that the expected wait may take at arrival.
/// The rest is a margin for estimation error: refusing a request at arrival is better than
/// refusing it after it has waited.
const MAX_WAIT_SHARE: f64 = 0.6;

impl Router {
    pub(super) fn arrive(&mut self, now: Duration, request: Request, actions: &mut Vec<Action>) {
        let sequence = request.sequence;
        if self.pending.contains_key(&sequence) {
            return;
        }
        self.budget.request(now);
        let kind = self
            .workspaces
            .get(&request.workspace)
            .and_then(|workspace| workspace.kind(&request.kind));
        let Some(priority) = kind.map(|kind| kind.priority) else {
            let detail = format!(
                "kind {} of workspace {} is not declared",
                request.kind, request.workspace
            );
            let refusal = Refusal {
                reason: Reason::Other { detail },
                retry_after: None,
            };
            let outcome = Outcome::NotRun(refusal);
            actions.push(Action::Answer { sequence, outcome });
            return;
        };
        let repeated = request.attempt != 1 && !request.idempotent;
        let over_limit = self.is_over_limit(&request);
        let service = request.service.clone();
        let mut pending = PendingRequest::new(request, priority);
        pending.may_have_run = repeated;
        self.pending.insert(sequence, pending);
        if over_limit {
            let drain = self.drain_time(now, &service);
            let retry_after = self.jittered_retry_after(drain);
            self.abort(now, sequence, Reason::LimitReached, retry_after, actions);
        } else if repeated {
            self.start_fence(now, sequence, actions);
        } else {
            self.admit(now, sequence, actions);
        }
    }

    /// Queues a request that is known not to have run, or refuses it.
    pub(super) fn admit(&mut self, now: Duration, sequence: Sequence, actions: &mut Vec<Action>) {
        match self.refusal(now, sequence) {
            Some((reason, after)) => {
                self.set_phase(now, sequence, Phase::Undecided);
                let retry_after = self.jittered_retry_after(after);
                self.abort(now, sequence, reason, retry_after, actions);
            }
            None => self.set_phase(now, sequence, Phase::Queued),
        }
    }

    fn refusal(&mut self, now: Duration, sequence: Sequence) -> Option<(Reason, Duration)> {
        let request = &self.pending.get(&sequence)?.request;
        if self.stopping {
            return Some((Reason::Stopping, Duration::ZERO));
        }
        if !self.operating_mode.may_start() {
            return Some((Reason::Halted, HALTED_RETRY_AFTER));
        }
        if !self.fleet.has_candidate(&request.service) {
            return Some((Reason::NoTarget, NO_TARGET_RETRY_AFTER));
        }
        if !self.can_meet_deadline(now, sequence) {
            let service = self.pending.get(&sequence)?.request.service.clone();
            let drain = self.drain_time(now, &service);
            return Some((Reason::DeadlineUnreachable, drain));
        }
        None
    }

    fn is_over_limit(&self, request: &Request) -> bool {
        let limit = self
            .workspaces
            .get(&request.workspace)
            .map_or(0, |workspace| workspace.max_queued as usize);
        self.counts.for_workspace(&request.workspace) >= limit
            || self.counts.for_service(&request.service) >= self.settings.max_queued
    }

    /// Reports whether the request is expected to end before its deadline, given the queue ahead
    /// of it and its own service time, without making a queued request late.
    fn can_meet_deadline(&mut self, now: Duration, sequence: Sequence) -> bool {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return false;
        };
        let request = &pending.request;
        let kind = (
            request.service.clone(),
            request.workspace.clone(),
            request.kind.clone(),
        );
        let own_time = self
            .times_by_kind
            .get_mut(&kind)
            .and_then(|observed| observed.p90(now))
            .unwrap_or_default();
        pending.latest_start = request.deadline.saturating_sub(own_time);
        let limit = self.settings.heartbeat_limit;
        if self.fleet.has_free(now, &request.service, limit) {
            return now <= pending.latest_start;
        }
        let mean = self
            .times_by_service
            .get_mut(&request.service)
            .and_then(|observed| observed.mean(now))
            .unwrap_or_default();
        let interval = expected_wait(1, self.fleet.slots(&request.service), mean);
        let dequeued_at = match self.queues.get(&request.service) {
            Some(queue) => {
                queue.expected_dequeue(now, pending.priority, request.deadline, interval)
            }
            None => Some(now),
        };
        let max_wait = pending
            .latest_start
            .saturating_sub(now)
            .mul_f64(MAX_WAIT_SHARE);
        dequeued_at.is_some_and(|dequeued_at| dequeued_at + interval <= now + max_wait)
    }

    /// Returns the time in which the queue of a service is expected to drain.
    pub(super) fn drain_time(&mut self, now: Duration, service: &ServiceId) -> Duration {
        let slots = self.fleet.slots(service);
        let queued = self.queues.get(service).map_or(0, super::Queue::len);
        let mean = self
            .times_by_service
            .get_mut(service)
            .and_then(|observed| observed.mean(now))
            .unwrap_or_default();
        expected_wait(queued + 1, slots, mean)
    }

    /// Refuses all queued requests, because no request may start through this entry.
    pub(super) fn drop_all_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.drop_queued(
            now,
            &Reason::Halted,
            HALTED_RETRY_AFTER,
            |_, _| true,
            actions,
        );
    }

    /// Refuses the queued requests of services that have no candidate target left.
    pub(super) fn drop_without_target(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let has_no_target =
            |router: &Self, service: &ServiceId| !router.fleet.has_candidate(service);
        self.drop_queued(
            now,
            &Reason::NoTarget,
            NO_TARGET_RETRY_AFTER,
            has_no_target,
            actions,
        );
    }

    fn drop_queued(
        &mut self,
        now: Duration,
        reason: &Reason,
        after: Duration,
        matches: impl Fn(&Self, &ServiceId) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let dropped: Vec<_> = self
            .queues
            .iter()
            .filter(|(service, _)| matches(self, service))
            .flat_map(|(_, queue)| queue.order())
            .collect();
        for sequence in dropped {
            let retry_after = self.jittered_retry_after(after);
            self.abort(now, sequence, reason.clone(), retry_after, actions);
        }
    }
}
