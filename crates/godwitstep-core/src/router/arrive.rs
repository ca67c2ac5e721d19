//! Arrival and admission of requests.

use super::item::{Item, Phase};
use super::{Action, Outcome, Refusal, Request, Router, Sequence};
use crate::admission::wait;
use crate::id::ServiceId;
use crate::reason::Reason;
use std::time::Duration;

/// Time to come back while nothing may start through this entry.
const HALTED_RETRY: Duration = Duration::from_secs(2);
/// Time to come back while a service has no target; agents announce within 1 s of a reconnect.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
/// Share of the time left that the expected wait may take up at arrival. The rest is for the error
/// of the estimate: a request is better refused at once than after it has waited.
const ADMITTED_SHARE: f64 = 0.6;

impl Router {
    pub(super) fn arrive(&mut self, now: Duration, request: Request, actions: &mut Vec<Action>) {
        let sequence = request.sequence;
        if self.items.contains_key(&sequence) {
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
        let over = self.is_over_limit(&request);
        let service = request.service.clone();
        let mut item = Item::new(request, priority);
        item.doubt = repeated;
        self.items.insert(sequence, item);
        if over {
            let drain = self.drain_time(now, &service);
            let back = self.come_back(drain);
            self.give_up(now, sequence, Reason::LimitReached, back, actions);
        } else if repeated {
            self.start_fence(now, sequence, actions);
        } else {
            self.admit(now, sequence, actions);
        }
    }

    /// Queues a request that has not run, or refuses it.
    pub(super) fn admit(&mut self, now: Duration, sequence: Sequence, actions: &mut Vec<Action>) {
        match self.refusal(now, sequence) {
            Some((reason, after)) => {
                self.set_phase(now, sequence, Phase::Idle);
                let back = self.come_back(after);
                self.give_up(now, sequence, reason, back, actions);
            }
            None => self.set_phase(now, sequence, Phase::Queued),
        }
    }

    fn refusal(&mut self, now: Duration, sequence: Sequence) -> Option<(Reason, Duration)> {
        let request = &self.items.get(&sequence)?.request;
        if self.stopping {
            return Some((Reason::Stopping, Duration::ZERO));
        }
        if !self.standing.may_start() {
            return Some((Reason::Halted, HALTED_RETRY));
        }
        if !self.fleet.has_prospect(&request.service) {
            return Some((Reason::NoTarget, NO_TARGET_RETRY));
        }
        if !self.is_timely(now, sequence) {
            let service = self.items.get(&sequence)?.request.service.clone();
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
        self.counts.of_workspace(&request.workspace) >= limit
            || self.counts.of_service(&request.service) >= self.settings.max_queued
    }

    /// Reports whether the request is expected to end in time without making another one late:
    /// the queue ahead of it, then its own service time.
    fn is_timely(&mut self, now: Duration, sequence: Sequence) -> bool {
        let Some(item) = self.items.get_mut(&sequence) else {
            return false;
        };
        let request = &item.request;
        let kind = (
            request.service.clone(),
            request.workspace.clone(),
            request.kind.clone(),
        );
        let own = self
            .by_kind
            .get_mut(&kind)
            .and_then(|observed| observed.p90(now))
            .unwrap_or_default();
        item.latest = request.deadline.saturating_sub(own);
        let limit = self.settings.heartbeat_limit;
        if self.fleet.has_free(now, &request.service, limit) {
            return now <= item.latest;
        }
        let mean = self
            .by_service
            .get_mut(&request.service)
            .and_then(|observed| observed.mean(now))
            .unwrap_or_default();
        let each = wait(1, self.fleet.slots(&request.service), mean);
        let taken = match self.queues.get(&request.service) {
            Some(queue) => queue.place(now, item.priority, request.deadline, each),
            None => Some(now),
        };
        let most = item.latest.saturating_sub(now).mul_f64(ADMITTED_SHARE);
        taken.is_some_and(|taken| taken + each <= now + most)
    }

    /// Returns the time in which the queue of a service is expected to drain.
    pub(super) fn drain_time(&mut self, now: Duration, service: &ServiceId) -> Duration {
        let slots = self.fleet.slots(service);
        let queued = self.queues.get(service).map_or(0, super::Queue::len);
        let mean = self
            .by_service
            .get_mut(service)
            .and_then(|observed| observed.mean(now))
            .unwrap_or_default();
        wait(queued + 1, slots, mean)
    }

    /// Refuses all queued requests: nothing may start through this entry.
    pub(super) fn halt(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.drop_queued(now, &Reason::Halted, HALTED_RETRY, |_, _| true, actions);
    }

    /// Refuses the queued requests of services that have no target left.
    pub(super) fn drop_hopeless(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let hopeless = |router: &Self, service: &ServiceId| !router.fleet.has_prospect(service);
        self.drop_queued(now, &Reason::NoTarget, NO_TARGET_RETRY, hopeless, actions);
    }

    fn drop_queued(
        &mut self,
        now: Duration,
        reason: &Reason,
        after: Duration,
        of: impl Fn(&Self, &ServiceId) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let dropped: Vec<_> = self
            .queues
            .iter()
            .filter(|(service, _)| of(self, service))
            .flat_map(|(_, queue)| queue.order())
            .collect();
        for sequence in dropped {
            let back = self.come_back(after);
            self.give_up(now, sequence, reason.clone(), back, actions);
        }
    }
}
